//! A tool service that counts its executions (design section 5.3).
//!
//! Every request is executed, even if its idempotency key repeats, so that `GET /stats` shows
//! double executions. With `--idempotent`, a repeated key returns the stored result instead. An
//! execution completes even if its caller has closed the connection.

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use getopts::Options;
use hyper::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use sapphireford::connection::body::Body;
use sapphireford::connection::http_server::Handler;
use sapphireford::process::timer::TimerService;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::arguments::{self, Arguments};
use crate::fault::{Fault, FaultPlan};
use crate::response;

const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const ACTIONS_PATH: &str = "/v1/actions";

/// Returns the command line options of `standin-tool`.
pub fn options() -> Options {
    let mut options = Options::new();
    options.optflag(
        "",
        "idempotent",
        "return the stored result for a repeated key",
    );
    options.optflag("", "no-status-query", "do not serve GET /v1/actions/{key}");
    options.optopt(
        "",
        "price-micros",
        "charge of an action whose arguments do not specify one",
        "MICROS",
    );
    options
}

/// HTTP handler of the stand-in tool service.
pub struct Tool {
    state: Rc<State>,
}

struct State {
    timer: TimerService,
    faults: FaultPlan,
    is_idempotent: bool,
    has_status_query: bool,
    price_micros: u64,
    /// States of actions by idempotency key. A key is absent until its first execution starts.
    actions: RefCell<IndexMap<String, ActionState>>,
    stats: RefCell<Stats>,
}

#[derive(Clone)]
enum ActionState {
    Running,
    Done(ActionOutcome),
}

#[derive(Clone, Serialize)]
struct ActionOutcome {
    result: Value,
    charge_micros: u64,
}

#[derive(Default, Serialize)]
struct Stats {
    requests: u64,
    executions_by_key: IndexMap<String, u64>,
    executions_by_tool: IndexMap<String, u64>,
    charges_micros: u64,
}

#[derive(Deserialize)]
struct ActionRequest {
    tool: String,
    #[serde(default)]
    arguments: Value,
}

impl Tool {
    /// Creates a tool service without actions.
    pub fn new(arguments: &Arguments, timer: TimerService) -> arguments::Result<Self> {
        let state = State {
            timer,
            faults: FaultPlan::default(),
            is_idempotent: arguments.flag("idempotent"),
            has_status_query: !arguments.flag("no-status-query"),
            price_micros: arguments.value_or("price-micros", 0)?,
            actions: RefCell::default(),
            stats: RefCell::default(),
        };
        Ok(Self {
            state: Rc::new(state),
        })
    }
}

impl Handler for Tool {
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
            (&Method::POST, ACTIONS_PATH) => {
                // In a separate task, so that the execution completes even if the caller
                // disconnects.
                monoio::spawn(handle_action(state.clone(), request)).await
            }
            (&Method::GET, path) => match path.strip_prefix("/v1/actions/") {
                Some(key) if state.has_status_query => state.status(key),
                _ => response::not_found(),
            },
            _ => response::not_found(),
        }
    }
}

async fn handle_action(state: Rc<State>, request: Request<Bytes>) -> Response<Body> {
    state.stats.borrow_mut().requests += 1;
    let key = request.headers().get(IDEMPOTENCY_KEY_HEADER);
    let Some(key) = key.and_then(|key| key.to_str().ok()).map(str::to_string) else {
        return response::error(
            StatusCode::BAD_REQUEST,
            "the idempotency-key header is missing or invalid",
        );
    };
    let action: ActionRequest = match response::decode_json(request.body()) {
        Ok(action) => action,
        Err(invalid) => return invalid.response(),
    };
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
    let outcome = state.execute(&key, &action).await;
    match fault {
        Fault::HangAfterExecution => response::hang().await,
        Fault::DropAfterExecution => response::abort_connection().await,
        _ => response::ok(&outcome),
    }
}

impl State {
    async fn execute(&self, key: &str, action: &ActionRequest) -> ActionOutcome {
        let previous = self.actions.borrow().get(key).cloned();
        if let (true, Some(ActionState::Done(outcome))) = (self.is_idempotent, &previous) {
            return outcome.clone();
        }
        if previous.is_none() {
            let mut actions = self.actions.borrow_mut();
            actions.insert(key.to_string(), ActionState::Running);
        }
        self.timer.sleep(self.faults.delay()).await;
        // A request with the same key may have been executed during the delay.
        let previous = self.actions.borrow().get(key).cloned();
        if let (true, Some(ActionState::Done(outcome))) = (self.is_idempotent, previous) {
            return outcome;
        }
        let outcome = self.record_execution(key, action);
        let mut actions = self.actions.borrow_mut();
        actions.insert(key.to_string(), ActionState::Done(outcome.clone()));
        outcome
    }

    fn record_execution(&self, key: &str, action: &ActionRequest) -> ActionOutcome {
        let requested_charge = action
            .arguments
            .get("charge_micros")
            .and_then(Value::as_u64);
        let charge_micros = requested_charge.unwrap_or(self.price_micros);
        let mut stats = self.stats.borrow_mut();
        let by_tool = &mut stats.executions_by_tool;
        *by_tool.entry(action.tool.clone()).or_default() += 1;
        stats.charges_micros += charge_micros;
        let execution = stats.executions_by_key.entry(key.to_string()).or_default();
        *execution += 1;
        let result = json!({
            "tool": action.tool,
            "arguments": action.arguments,
            "execution": *execution,
        });
        ActionOutcome {
            result,
            charge_micros,
        }
    }

    fn status(&self, key: &str) -> Response<Body> {
        match self.actions.borrow().get(key) {
            None => response::ok(&json!({"state": "unknown"})),
            Some(ActionState::Running) => response::ok(&json!({"state": "running"})),
            Some(ActionState::Done(outcome)) => response::ok(&json!({
                "state": "done",
                "result": outcome.result,
                "charge_micros": outcome.charge_micros,
            })),
        }
    }
}
