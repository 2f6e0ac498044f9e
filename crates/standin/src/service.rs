//! A plain service that echoes its requests and counts its executions (design section 5.3).

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

use crate::answer;
use crate::arguments::{self, Arguments};
use crate::fault::{Fault, FaultPlan};

const REQUEST_ID_HEADER: &str = "x-request-id";

/// The options of the binary.
pub fn options() -> Options {
    Options::new()
}

/// The service.
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
    /// Executions of requests that carry an id, by that id.
    executions_by_request_id: IndexMap<String, u64>,
}

impl Service {
    /// Makes the service from its options.
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
            (&Method::POST, "/control") => match answer::decode(request.body()) {
                Ok(control) => {
                    state.faults.apply(control);
                    answer::ok(&json!({}))
                }
                Err(invalid) => invalid.response(),
            },
            (&Method::GET, "/stats") => answer::ok(&*state.stats.borrow()),
            // A task of its own: the execution goes on when the caller is gone.
            _ => monoio::spawn(echo(state.clone(), request)).await,
        }
    }
}

async fn echo(state: Rc<State>, request: Request<Bytes>) -> Response<Body> {
    state.stats.borrow_mut().requests += 1;
    let fault = state.faults.take();
    match fault {
        Fault::HangBefore => return answer::hang().await,
        Fault::Fail => {
            return answer::refused(StatusCode::INTERNAL_SERVER_ERROR, "not executed");
        }
        _ => {}
    }
    state.timer.sleep(state.faults.delay()).await;
    let id = request.headers().get(REQUEST_ID_HEADER);
    let id = id.and_then(|id| id.to_str().ok()).map(str::to_string);
    state.stats.borrow_mut().count(id.as_deref());
    match fault {
        Fault::HangAfter => answer::hang().await,
        Fault::DropAfter => answer::broken().await,
        _ => answer::ok(&json!({
            "method": request.method().as_str(),
            "path": request.uri().path_and_query().map(|path| path.as_str()),
            "body": String::from_utf8_lossy(request.body()),
            "request_id": id,
        })),
    }
}

impl Stats {
    fn count(&mut self, id: Option<&str>) {
        self.executions += 1;
        if let Some(id) = id {
            let executions = self.executions_by_request_id.entry(id.to_string());
            *executions.or_default() += 1;
        }
    }
}
