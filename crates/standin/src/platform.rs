//! The platform: transactional table, object store, VM list and weight store (design section 5.4).
//!
//! An accepted call takes effect even when its caller has closed the connection in the meantime, so
//! a commit may become visible after its caller has given up on it.

mod control;
mod objects;
mod table;
mod vms;
mod weights;

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use getopts::Options;
use hyper::header::RANGE;
use hyper::{Method, Request, Response, StatusCode};
use sapphireford::connection::body::Body;
use sapphireford::connection::http_server::Handler;
use sapphireford::connection::platform::{Check, Write};
use sapphireford::process::timer::TimerService;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::answer;
use crate::arguments::{self, Arguments};
use control::{Control, Faults, Outage};
use objects::Objects;
use table::Table;
use vms::VmList;
use weights::Weights;

const DEFAULT_WEIGHT_BYTES: usize = 1 << 10;
const DEFAULT_WEIGHTS_PER_SECOND: f64 = 2.0;

/// The options of the binary.
pub fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "weight-bytes", "size of each model's weights", "BYTES");
    options.optopt(
        "",
        "weights-per-second",
        "rate limit of the weight store",
        "RATE",
    );
    options
}

/// The platform.
pub struct Platform {
    state: Rc<State>,
}

struct State {
    timer: TimerService,
    table: RefCell<Table>,
    objects: RefCell<Objects>,
    vms: RefCell<VmList>,
    weights: RefCell<Weights>,
    faults: RefCell<Faults>,
    stats: RefCell<Stats>,
}

#[derive(Clone, Default, Serialize)]
struct Stats {
    reads: u64,
    scans: u64,
    writes: u64,
    conflicts: u64,
    lost_acknowledgements: u64,
    object_reads: u64,
    object_writes: u64,
    object_deletes: u64,
    bytes_read: u64,
    bytes_written: u64,
    weight_reads: u64,
    weight_refusals: u64,
}

#[derive(Deserialize)]
struct ReadBody {
    keys: Vec<String>,
}

#[derive(Deserialize)]
struct ScanBody {
    prefix: String,
}

#[derive(Deserialize)]
struct CommitBody {
    checks: Vec<Check>,
    writes: Vec<Write>,
}

impl Platform {
    /// Makes an empty platform from its options.
    pub fn new(arguments: &Arguments, timer: TimerService) -> arguments::Result<Self> {
        let weights = Weights::new(
            arguments.value("weight-bytes", DEFAULT_WEIGHT_BYTES)?,
            arguments.value("weights-per-second", DEFAULT_WEIGHTS_PER_SECOND)?,
        );
        let state = State {
            timer,
            table: RefCell::default(),
            objects: RefCell::default(),
            vms: RefCell::default(),
            weights: RefCell::new(weights),
            faults: RefCell::default(),
            stats: RefCell::default(),
        };
        Ok(Self {
            state: Rc::new(state),
        })
    }
}

impl Handler for Platform {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        let state = &self.state;
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/control") => match answer::decode(request.body()) {
                Ok(control) => state.control(control),
                Err(invalid) => invalid.response(),
            },
            (&Method::GET, "/stats") => state.stats(),
            // A task of its own: the call takes effect when the caller is gone.
            _ => monoio::spawn(call(state.clone(), request)).await,
        }
    }
}

async fn call(state: Rc<State>, request: Request<Bytes>) -> Response<Body> {
    let outage = state.faults.borrow().outage;
    match outage {
        Outage::None => {}
        Outage::Refuse => {
            return answer::refused(StatusCode::SERVICE_UNAVAILABLE, "the platform is down");
        }
        Outage::Hang => return answer::hang().await,
    }
    let delay = state.faults.borrow().delay;
    state.timer.sleep(delay).await;
    state.route(&request).await
}

impl State {
    fn control(&self, mut control: Control) -> Response<Body> {
        if let Some(lag_ms) = control.vm_list_lag_ms {
            self.vms.borrow_mut().set_lag_ms(lag_ms);
        }
        if let Some(vms) = control.vms.take() {
            self.vms.borrow_mut().set(vms);
        }
        self.faults.borrow_mut().apply(control);
        answer::ok(&json!({}))
    }

    fn stats(&self) -> Response<Body> {
        let mut stats = json!(&*self.stats.borrow());
        stats["rows"] = json!(self.table.borrow().len());
        stats["objects"] = json!(self.objects.borrow().len());
        stats["object_bytes"] = json!(self.objects.borrow().bytes());
        answer::ok(&stats)
    }

    async fn route(&self, request: &Request<Bytes>) -> Response<Body> {
        let path = request.uri().path();
        let body = request.body();
        let answer = match (request.method(), path) {
            (&Method::POST, "/table/read") => answer::decode(body).map(|body| self.read(body)),
            (&Method::POST, "/table/scan") => answer::decode(body).map(|body| self.scan(body)),
            (&Method::POST, "/table/commit") => match answer::decode(body) {
                Ok(body) => Ok(self.commit(body).await),
                Err(invalid) => Err(invalid),
            },
            (&Method::GET, "/vms") => Ok(answer::ok(&json!({"vms": self.vms.borrow_mut().list()}))),
            _ => Ok(self.route_by_prefix(request)),
        };
        answer.unwrap_or_else(|invalid| invalid.response())
    }

    fn route_by_prefix(&self, request: &Request<Bytes>) -> Response<Body> {
        let path = request.uri().path();
        if let Some(key) = path.strip_prefix("/objects/") {
            return self.object(key, request);
        }
        match path.strip_prefix("/weights/") {
            Some(_) if request.method() == Method::GET => self.weight(),
            _ => answer::no_such_path(),
        }
    }

    fn read(&self, body: ReadBody) -> Response<Body> {
        self.stats.borrow_mut().reads += 1;
        answer::ok(&json!({"rows": self.table.borrow().read(&body.keys)}))
    }

    fn scan(&self, body: ScanBody) -> Response<Body> {
        self.stats.borrow_mut().scans += 1;
        answer::ok(&json!({"rows": self.table.borrow().scan(&body.prefix)}))
    }

    async fn commit(&self, body: CommitBody) -> Response<Body> {
        if self.faults.borrow().hangs_commit(&body.writes) {
            return answer::hang().await;
        }
        let writes = body.writes.clone();
        let committed = self.table.borrow_mut().commit(&body.checks, body.writes);
        let versions = match committed {
            Ok(versions) => versions,
            Err(rows) => {
                self.stats.borrow_mut().conflicts += 1;
                let body = json!({"rows": rows});
                return sapphireford::connection::http_server::json_response(
                    StatusCode::CONFLICT,
                    &body,
                );
            }
        };
        self.stats.borrow_mut().writes += 1;
        if self.faults.borrow_mut().loses_acknowledgement(&writes) {
            self.stats.borrow_mut().lost_acknowledgements += 1;
            return answer::broken().await;
        }
        answer::ok(&json!({"versions": versions}))
    }

    fn object(&self, key: &str, request: &Request<Bytes>) -> Response<Body> {
        let mut stats = self.stats.borrow_mut();
        let mut objects = self.objects.borrow_mut();
        match *request.method() {
            Method::PUT => {
                stats.object_writes += 1;
                stats.bytes_written += request.body().len() as u64;
                objects.put(key, request.body().clone());
                answer::empty(StatusCode::NO_CONTENT)
            }
            Method::GET => {
                let range = request.headers().get(RANGE);
                let response = objects.get(key, range.and_then(|range| range.to_str().ok()));
                stats.object_reads += 1;
                stats.bytes_read += objects::length(&response);
                response
            }
            Method::DELETE => {
                stats.object_deletes += 1;
                objects.delete(key);
                answer::empty(StatusCode::NO_CONTENT)
            }
            _ => answer::no_such_path(),
        }
    }

    fn weight(&self) -> Response<Body> {
        let mut stats = self.stats.borrow_mut();
        if self.faults.borrow().refuse_weights {
            stats.weight_refusals += 1;
            return weights::refusal(std::time::Duration::ZERO);
        }
        match self.weights.borrow_mut().take(self.timer.now()) {
            Ok(bytes) => {
                stats.weight_reads += 1;
                Response::new(Body::full(bytes))
            }
            Err(wait) => {
                stats.weight_refusals += 1;
                weights::refusal(wait)
            }
        }
    }
}
