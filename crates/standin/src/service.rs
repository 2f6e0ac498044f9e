//! A plain service that echoes each request and counts executions (design section 5.3).
//!
//! An execution completes even if its caller has closed the connection.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use getopts::Options;
use hyper::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use sapphireford::connection::body::Body;
use sapphireford::connection::http_server::Handler;
use sapphireford::process::timer::TimerService;
use serde::Serialize;
use serde_json::json;

use crate::arguments::{self, Arguments};
use crate::fault::{Fault, FaultPlan};
use crate::response;

const REQUEST_ID_HEADER: &str = "x-request-id";

/// Returns the command line options of `standin-service`; there are none besides `--listen`.
pub fn options() -> Options {
    Options::new()
}

/// HTTP handler of the stand-in service.
pub struct Service {
    state: Rc<State>,
}

struct State {
    timer: TimerService,
    faults: FaultPlan,
    stats: RefCell<Stats>,
}

#[derive(Default, Serialize)]
struct Stats {
    requests: u64,
    executions: u64,
    /// Executions by request id; requests without an id are not included.
    executions_by_request_id: IndexMap<String, u64>,
}

impl Service {
    /// Creates a service without injected failures.
    pub fn new(_arguments: &Arguments, timer: TimerService) -> arguments::Result<Self> {
        let state = State {
            timer,
            faults: FaultPlan::default(),
            stats: RefCell::default(),
        };
        Ok(Self {
            state: Rc::new(state),
        })
    }
}

impl Handler for Service {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        let state = &self.state;
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/control") => match response::decode_json(request.body()) {
                Ok(control) => {
                    state.faults.apply(control);
                    response::ok(&json!({}))
                }
                Err(invalid) => invalid.response(),
            },
            (&Method::GET, "/stats") => response::ok(&*state.stats.borrow()),
            // In a separate task, so that the execution completes even if the caller disconnects.
            _ => monoio::spawn(echo(state.clone(), request)).await,
        }
    }
}

async fn echo(state: Rc<State>, request: Request<Bytes>) -> Response<Body> {
    state.stats.borrow_mut().requests += 1;
    let fault = state.faults.next_fault();
    match fault {
        Fault::HangBeforeExecution => return response::hang().await,
        Fault::Fail => {
            return response::error(
                StatusCode::INTERNAL_SERVER_ERROR,
                "injected failure; the call was not executed",
            );
        }
        _ => {}
    }
    state.timer.sleep(state.faults.delay()).await;
    let request_id = request.headers().get(REQUEST_ID_HEADER);
    let request_id = request_id
        .and_then(|request_id| request_id.to_str().ok())
        .map(str::to_string);
    state
        .stats
        .borrow_mut()
        .record_execution(request_id.as_deref());
    match fault {
        Fault::HangAfterExecution => response::hang().await,
        Fault::DropAfterExecution => response::abort_connection().await,
        _ => response::ok(&json!({
            "method": request.method().as_str(),
            "path": request.uri().path_and_query().map(|path| path.as_str()),
            "body": String::from_utf8_lossy(request.body()),
            "request_id": request_id,
        })),
    }
}

impl Stats {
    fn record_execution(&mut self, request_id: Option<&str>) {
        self.executions += 1;
        if let Some(request_id) = request_id {
            let executions = self.executions_by_request_id.entry(request_id.to_string());
            *executions.or_default() += 1;
        }
    }
}
