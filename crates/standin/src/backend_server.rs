//! A backend server of the users' platform: a model engine or a plain service.
//!
//! Streams have as many events as the header `x-events` says. The data of an event depends on the
//! body and the number of the event only, so that a test can tell a wrong continuation.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use getopts::Options;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use sapphireford::connection::body::{Body, BodySender};
use sapphireford::connection::http_server::Handler;
use sapphireford::process::slots::placement::hash_bytes;
use sapphireford::process::timer::TimerService;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::answer;
use crate::arguments::{self, Arguments};

const DEFAULT_ID: &str = "i-1";
const DEFAULT_SLOTS: usize = 16;
const DEFAULT_EVENT_MS: u64 = 10;

/// The options of the binary.
pub fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "id", "the id under which it registers", "ID");
    options.optopt("", "slots", "requests at once; more are refused", "COUNT");
    options.optopt("", "event-ms", "time for each event or answer", "MS");
    options
}

/// The server.
pub struct BackendServer {
    state: Rc<State>,
}

struct State {
    timer: TimerService,
    id: String,
    slots: usize,
    event_time: Duration,
    running: Cell<usize>,
    runs: RefCell<Vec<Run>>,
    control: RefCell<Control>,
}

/// A request that the server began to work on.
#[derive(Clone, Serialize)]
struct Run {
    request_id: String,
    method: String,
    path: String,
    body: String,
    last_event_id: Option<u64>,
    events: u64,
    /// Whether the server finished; otherwise it works, or its caller has left.
    is_finished: bool,
}

/// How the server fails; each call replaces the one before.
#[derive(Clone, Copy, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Control {
    /// Breaks the connection after so many events of a stream.
    cut_after_events: Option<u64>,
    /// Stops to send after so many events of a stream.
    stall_after_events: Option<u64>,
    /// Runs the request and breaks the connection without an answer.
    lose_answer: bool,
    /// Answers a request with the id of another one.
    wrong_id: bool,
    /// Answers a success without a signature.
    unsigned: bool,
    /// Refuses all requests without running them.
    full: bool,
    /// Fails requests with status 500.
    fail: bool,
}

impl BackendServer {
    /// Makes the server from its options.
    pub fn new(arguments: &Arguments, timer: TimerService) -> arguments::Result<Self> {
        let event_ms = arguments.value("event-ms", DEFAULT_EVENT_MS)?;
        let state = State {
            timer,
            id: arguments.value("id", DEFAULT_ID.to_string())?,
            slots: arguments.value("slots", DEFAULT_SLOTS)?,
            event_time: Duration::from_millis(event_ms),
            running: Cell::new(0),
            runs: RefCell::default(),
            control: RefCell::default(),
        };
        Ok(Self {
            state: Rc::new(state),
        })
    }
}

impl Handler for BackendServer {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        let state = &self.state;
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/control") => match answer::decode(request.body()) {
                Ok(control) => {
                    state.control.replace(control);
                    answer::ok(&json!({}))
                }
                Err(invalid) => invalid.response(),
            },
            (&Method::GET, "/stats") => answer::ok(&json!({
                "runs": &*state.runs.borrow(), "running": state.running.get(),
            })),
            _ => state.serve(request).await,
        }
    }
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_string())
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

/// Counts a request as running until it is dropped.
struct Running(Rc<State>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

impl State {
    async fn serve(self: &Rc<Self>, request: Request<Bytes>) -> Response<Body> {
        let headers = request.headers();
        if text(headers, "expect-instance").is_some_and(|id| id != self.id) {
            return self.not_executed(StatusCode::MISDIRECTED_REQUEST);
        }
        let Some(request_id) = text(headers, "request-id") else {
            return self.not_executed(StatusCode::BAD_REQUEST);
        };
        let control = *self.control.borrow();
        if control.full || self.running.get() >= self.slots {
            return self.not_executed(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.running.set(self.running.get() + 1);
        let running = Running(self.clone());
        let last_event_id = number(headers, "last-event-id");
        let events = number(headers, "x-events");
        let index = self.runs.borrow().len();
        self.runs.borrow_mut().push(Run {
            request_id: request_id.clone(),
            method: request.method().to_string(),
            path: request.uri().to_string(),
            body: String::from_utf8_lossy(request.body()).into_owned(),
            last_event_id,
            events: 0,
            is_finished: false,
        });
        let answered_id = if control.wrong_id {
            "other"
        } else {
            &request_id
        };
        let Some(events) = events else {
            self.timer.sleep(self.event_time).await;
            self.runs.borrow_mut()[index].is_finished = true;
            if control.lose_answer {
                return answer::broken().await;
            }
            let status = match control.fail {
                true => StatusCode::INTERNAL_SERVER_ERROR,
                false => StatusCode::OK,
            };
            let mut response = Response::new(Body::full(request.into_body()));
            *response.status_mut() = status;
            self.sign(&mut response, answered_id, &control);
            return response;
        };
        let (sender, body) = Body::stream();
        let mut response = Response::new(body);
        let content_type = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert("content-type", content_type);
        self.sign(&mut response, answered_id, &control);
        let stream = Stream {
            state: self.clone(),
            _running: running,
            index,
            body: request.into_body(),
            first: last_event_id.map_or(1, |id| id + 1),
            last: events,
            control,
        };
        monoio::spawn(stream.send(sender));
        response
    }

    fn sign(&self, response: &mut Response<Body>, request_id: &str, control: &Control) {
        let load = format!("{},0,{}", self.running.get(), self.slots);
        let headers = response.headers_mut();
        let mut insert = |name: &'static str, value: &str| {
            if let Ok(value) = value.parse() {
                headers.insert(name, value);
            }
        };
        insert("request-id", request_id);
        insert("server-load", &load);
        if !control.unsigned {
            insert("server-signature", &format!("{}.{request_id}", self.id));
        }
    }

    fn not_executed(&self, status: StatusCode) -> Response<Body> {
        let mut response = answer::empty(status);
        let headers = response.headers_mut();
        headers.insert("not-executed", HeaderValue::from_static("1"));
        if let Ok(id) = self.id.parse() {
            headers.insert("instance-id", id);
        }
        response
    }
}

struct Stream {
    state: Rc<State>,
    _running: Running,
    index: usize,
    body: Bytes,
    first: u64,
    last: u64,
    control: Control,
}

impl Stream {
    async fn send(self, mut sender: BodySender) {
        let hash = hash_bytes(&self.body);
        for (sent, id) in (self.first..=self.last).enumerate() {
            if self.control.cut_after_events == Some(sent as u64) {
                // The events before the cut are on their way by then.
                self.state.timer.sleep(self.state.event_time).await;
                sender.abort().await;
                return;
            }
            if self.control.stall_after_events == Some(sent as u64) {
                sender.closed().await;
                return;
            }
            self.state.timer.sleep(self.state.event_time).await;
            let event = format!("id: {id}\ndata: {}\n\n", event_data(hash, id));
            if sender.send(event.into()).await.is_err() {
                return;
            }
            self.state.runs.borrow_mut()[self.index].events += 1;
        }
        self.state.runs.borrow_mut()[self.index].is_finished = true;
    }
}

fn event_data(body_hash: u64, id: u64) -> String {
    format!("{:08x}-{id}", body_hash as u32)
}

/// The data that a server sends for an event of a request with this body.
pub fn expected_data(body: &[u8], id: u64) -> String {
    event_data(hash_bytes(body), id)
}
