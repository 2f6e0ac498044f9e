//! A backend server of the users' platform; simulates a model engine or a plain service.
//!
//! A request with the header `x-events` gets a stream of that many events, any other request an
//! echo of its body. The data of an event depends only on the request body and the event id, so
//! that a test can detect a stream that was resumed at the wrong event or for another request.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use getopts::Options;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use sapphireford::connection::body::{Body, BodySender};
use sapphireford::connection::http_server::Handler;
use sapphireford::process::slots::placement::hash_bytes;
use sapphireford::process::timer::TimerService;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::arguments::{self, Arguments};
use crate::response;

const DEFAULT_ID: &str = "i-1";
const DEFAULT_SLOTS: usize = 16;
const DEFAULT_EVENT_MS: u64 = 10;
/// Exit status of a server that a request has crashed.
const CRASH_STATUS: i32 = 70;

/// Returns the command line options of `standin-backend`.
pub fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "id", "id of the instance", "ID");
    options.optopt(
        "",
        "slots",
        "limit of concurrent requests; further ones are rejected",
        "COUNT",
    );
    options.optopt(
        "",
        "version",
        "version of the software, which each event names",
        "VERSION",
    );
    options.optopt("", "event-ms", "delay before each event or response", "MS");
    options
}

/// HTTP handler of the stand-in backend server.
pub struct BackendServer {
    state: Rc<State>,
}

struct State {
    timer: TimerService,
    id: String,
    version: String,
    slots: usize,
    event_delay: Duration,
    running: Cell<usize>,
    records: RefCell<Vec<RequestRecord>>,
    control: RefCell<Control>,
}

/// A request whose execution has started.
#[derive(Clone, Serialize)]
struct RequestRecord {
    request_id: String,
    method: String,
    path: String,
    body: String,
    last_event_id: Option<u64>,
    /// Values by name, if [`Control::record_headers`] is set; otherwise empty.
    headers: IndexMap<String, String>,
    events: u64,
    /// False while the request is running, and permanently if its stream was cut, stalled or closed
    /// by the caller.
    is_finished: bool,
}

/// Body of `POST /control`: the failures to inject. Each call replaces all settings.
#[derive(Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Control {
    /// Number of events after which the connection of a stream is aborted.
    cut_after_events: Option<u64>,
    /// Number of events after which a stream sends no more events and stays open.
    stall_after_events: Option<u64>,
    /// Executes requests and aborts their connections without a response; streams are not affected.
    lose_answer: bool,
    /// Returns the id of another request in responses.
    wrong_id: bool,
    /// Omits the signature from responses.
    unsigned: bool,
    /// Rejects all requests without executing them.
    full: bool,
    /// States in all responses that the server is about to stop.
    leaving: bool,
    /// States in all responses that the server takes this many requests a second; it takes all.
    limit_per_s: Option<f64>,
    /// States in all responses how long work takes, in percent of the normal time.
    speed_percent: Option<u32>,
    /// States this load in all responses instead of the true one.
    load: Option<String>,
    /// Ends the process when it runs a request whose body contains this text.
    crash_on: Option<String>,
    /// Returns status 500 after execution; streams are not affected.
    fail: bool,
    /// Records the headers of requests.
    record_headers: bool,
}

impl BackendServer {
    /// Creates an idle server without injected failures.
    pub fn new(arguments: &Arguments, timer: TimerService) -> arguments::Result<Self> {
        let event_ms = arguments.value_or("event-ms", DEFAULT_EVENT_MS)?;
        let state = State {
            timer,
            id: arguments.value_or("id", DEFAULT_ID.to_string())?,
            version: arguments.value_or("version", String::new())?,
            slots: arguments.value_or("slots", DEFAULT_SLOTS)?,
            event_delay: Duration::from_millis(event_ms),
            running: Cell::new(0),
            records: RefCell::default(),
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
            (&Method::POST, "/control") => match response::decode_json(request.body()) {
                Ok(control) => {
                    state.control.replace(control);
                    response::ok(&json!({}))
                }
                Err(invalid) => invalid.response(),
            },
            (&Method::GET, "/stats") => response::ok(&json!({
                "runs": &*state.records.borrow(), "running": state.running.get(),
            })),
            _ => state.serve(request).await,
        }
    }
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_string())
}

/// All headers by name; several values of one name are joined.
fn all_headers(headers: &HeaderMap) -> IndexMap<String, String> {
    let mut values: IndexMap<String, String> = IndexMap::new();
    for (name, value) in headers {
        let text = values.entry(name.to_string()).or_default();
        text.push_str(&String::from_utf8_lossy(value.as_bytes()));
    }
    values
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}

/// Counts a request as running until it is dropped; the count must have been incremented.
struct RunningGuard(Rc<State>);

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.0.running.set(self.0.running.get() - 1);
    }
}

impl State {
    async fn serve(self: &Rc<Self>, request: Request<Bytes>) -> Response<Body> {
        let headers = request.headers();
        let request_id = header_text(headers, "request-id");
        if header_text(headers, "expect-instance").is_some_and(|id| id != self.id) {
            return self.not_executed(StatusCode::MISDIRECTED_REQUEST, request_id.as_deref());
        }
        let Some(request_id) = request_id else {
            return self.not_executed(StatusCode::BAD_REQUEST, None);
        };
        let control = self.control.borrow().clone();
        if control.full || self.running.get() >= self.slots {
            return self.not_executed(StatusCode::SERVICE_UNAVAILABLE, Some(&request_id));
        }
        self.running.set(self.running.get() + 1);
        let running_guard = RunningGuard(self.clone());
        let last_event_id = header_number(headers, "last-event-id");
        let events = header_number(headers, "x-events");
        let index = self.records.borrow().len();
        self.records.borrow_mut().push(RequestRecord {
            request_id: request_id.clone(),
            method: request.method().to_string(),
            path: request.uri().to_string(),
            body: String::from_utf8_lossy(request.body()).into_owned(),
            last_event_id,
            headers: match control.record_headers {
                true => all_headers(headers),
                false => IndexMap::new(),
            },
            events: 0,
            is_finished: false,
        });
        if let Some(text) = &control.crash_on
            && String::from_utf8_lossy(request.body()).contains(text)
        {
            self.timer.sleep(self.event_delay).await;
            std::process::exit(CRASH_STATUS);
        }
        let response_id = if control.wrong_id {
            "other"
        } else {
            &request_id
        };
        let Some(events) = events else {
            self.timer.sleep(self.event_delay).await;
            self.records.borrow_mut()[index].is_finished = true;
            if control.lose_answer {
                return response::abort_connection().await;
            }
            let status = match control.fail {
                true => StatusCode::INTERNAL_SERVER_ERROR,
                false => StatusCode::OK,
            };
            let mut response = Response::new(Body::full(request.into_body()));
            *response.status_mut() = status;
            self.insert_server_headers(&mut response, response_id, &control);
            return response;
        };
        let (sender, body) = Body::stream();
        let mut response = Response::new(body);
        let content_type = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert("content-type", content_type);
        self.insert_server_headers(&mut response, response_id, &control);
        let stream = EventStream {
            state: self.clone(),
            _running_guard: running_guard,
            index,
            body: request.into_body(),
            first_id: last_event_id.map_or(1, |id| id.saturating_add(1)),
            last_id: events,
            control,
        };
        monoio::spawn(stream.send(sender));
        response
    }

    fn insert_server_headers(
        &self,
        response: &mut Response<Body>,
        request_id: &str,
        control: &Control,
    ) {
        let mut load = format!("{},0,{}", self.running.get(), self.slots);
        if let Some(speed_percent) = control.speed_percent {
            load.push_str(&format!(",{speed_percent}"));
        }
        let headers = response.headers_mut();
        let mut insert = |name: &'static str, value: &str| {
            if let Ok(value) = value.parse() {
                headers.insert(name, value);
            }
        };
        insert("request-id", request_id);
        insert("server-load", control.load.as_ref().unwrap_or(&load));
        if control.leaving {
            insert("server-leaving", "1");
        }
        if let Some(limit_per_s) = control.limit_per_s {
            insert("server-limit", &limit_per_s.to_string());
        }
        if !control.unsigned {
            insert("server-signature", &format!("{}.{request_id}", self.id));
        }
    }

    fn not_executed(&self, status: StatusCode, request_id: Option<&str>) -> Response<Body> {
        let mut response = response::empty(status);
        let headers = response.headers_mut();
        headers.insert("not-executed", HeaderValue::from_static("1"));
        if let Ok(id) = self.id.parse() {
            headers.insert("instance-id", id);
        }
        if let Some(Ok(request_id)) = request_id.map(str::parse) {
            headers.insert("request-id", request_id);
        }
        let control = self.control.borrow();
        if control.leaving {
            headers.insert("server-leaving", HeaderValue::from_static("1"));
        }
        if let Some(Ok(limit)) = control.limit_per_s.map(|limit| limit.to_string().parse()) {
            headers.insert("server-limit", limit);
        }
        response
    }
}

struct EventStream {
    state: Rc<State>,
    _running_guard: RunningGuard,
    index: usize,
    body: Bytes,
    first_id: u64,
    last_id: u64,
    control: Control,
}

impl EventStream {
    async fn send(self, mut sender: BodySender) {
        let hash = hash_bytes(&self.body);
        for (sent_events, id) in (self.first_id..=self.last_id).enumerate() {
            if self.control.cut_after_events == Some(sent_events as u64) {
                // The delay lets the server flush the events before the cut.
                self.state.timer.sleep(self.state.event_delay).await;
                sender.abort().await;
                return;
            }
            if self.control.stall_after_events == Some(sent_events as u64) {
                sender.closed().await;
                return;
            }
            self.state.timer.sleep(self.state.event_delay).await;
            let data = event_data(hash, id);
            let version = &self.state.version;
            let event = format!("id: {id}\nevent: {version}\ndata: {data}\n\n");
            if sender.send(event.into()).await.is_err() {
                return;
            }
            self.state.records.borrow_mut()[self.index].events += 1;
        }
        sender.end();
        self.state.records.borrow_mut()[self.index].is_finished = true;
    }
}

fn event_data(body_hash: u64, id: u64) -> String {
    format!("{:08x}-{id}", body_hash as u32)
}

/// Returns the data of event `id` of a stream for a request with this body.
pub fn expected_event_data(body: &[u8], id: u64) -> String {
    event_data(hash_bytes(body), id)
}
