//! The stand-in for the platform: rows, objects, VM list and weight store (design section 5.4).
//!
//! Rows and objects follow the protocol of the users' platform. Through `POST /control`, a test
//! writes the rows that the operator and the registration of backend servers write in production.
//!
//! An accepted call takes effect even if its caller has closed the connection, so that a commit may
//! become visible after its caller has timed out.

mod control;
mod objects;
mod rows;
mod vms;
mod weights;

use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use getopts::Options;
use hyper::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use sapphireford::connection::body::Body;
use sapphireford::connection::http_server::Handler;
use sapphireford::process::timer::TimerService;
use sapphireford_platform::store::SERVER_TABLE;
use serde::Serialize;
use serde_json::json;

use crate::arguments::{self, Arguments};
use crate::response;
use control::{Control, Faults, Outage, ServerTable};
use objects::Objects;
use rows::{Rows, Transaction, TransactionOutcome, decode_percent, parse_query};
use vms::VmList;
use weights::Weights;

const DEFAULT_WEIGHT_BYTES: usize = 1 << 10;
const DEFAULT_WEIGHTS_PER_SECOND: f64 = 2.0;

/// Returns the command line options of `standin-platform`.
pub fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "",
        "weight-bytes",
        "size of the weights of each model",
        "BYTES",
    );
    options.optopt(
        "",
        "weights-per-second",
        "rate limit of the weight store",
        "RATE",
    );
    options
}

/// HTTP handler of the stand-in platform.
pub struct Platform {
    state: Rc<State>,
}

struct State {
    timer: TimerService,
    rows: Rows,
    objects: RefCell<Objects>,
    vms: RefCell<VmList>,
    weights: RefCell<Weights>,
    /// The tables served in the place of that of the backend servers, by the header `host`.
    server_tables: RefCell<IndexMap<String, String>>,
    faults: RefCell<Faults>,
    stats: RefCell<Stats>,
    /// Number of calls by path, or by path and table for calls that name a table in the query.
    calls: RefCell<IndexMap<String, u64>>,
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

impl Platform {
    /// Creates an empty platform.
    pub fn new(arguments: &Arguments, timer: TimerService) -> arguments::Result<Self> {
        let weights = Weights::new(
            arguments.value_or("weight-bytes", DEFAULT_WEIGHT_BYTES)?,
            arguments.value_or("weights-per-second", DEFAULT_WEIGHTS_PER_SECOND)?,
        );
        let state = State {
            timer,
            rows: Rows::default(),
            objects: RefCell::default(),
            vms: RefCell::default(),
            weights: RefCell::new(weights),
            server_tables: RefCell::default(),
            faults: RefCell::default(),
            stats: RefCell::default(),
            calls: RefCell::default(),
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
            (&Method::POST, "/control") => match response::decode_json(request.body()) {
                Ok(control) => state.control(control),
                Err(invalid) => invalid.response(),
            },
            (&Method::GET, "/stats") => state.stats(),
            // In a separate task, so that the call takes effect even if the caller disconnects.
            _ => monoio::spawn(handle_call(state.clone(), request)).await,
        }
    }
}

async fn handle_call(state: Rc<State>, request: Request<Bytes>) -> Response<Body> {
    let mut query = parse_query(request.uri().query().unwrap_or_default());
    state.replace_server_table(&request, &mut query);
    state.count_call(request.uri().path(), query.get("table"));
    let outage = state.faults.borrow().outage;
    match outage {
        Outage::None => {}
        Outage::Refuse => {
            return response::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "the platform is unavailable",
            );
        }
        Outage::Hang => return response::hang().await,
    }
    if state.faults.borrow_mut().should_limit_rate() {
        return response::error(StatusCode::TOO_MANY_REQUESTS, "too many calls");
    }
    let delay = state.faults.borrow().call_delay(query.get("table"));
    state.timer.sleep(delay).await;
    state.route(&request, &query).await
}

impl State {
    fn control(&self, mut control: Control) -> Response<Body> {
        if let Some(lag_ms) = control.vm_list_lag_ms {
            self.vms.borrow_mut().set_lag_ms(lag_ms);
        }
        if let Some(vms) = control.vms.take() {
            self.vms.borrow_mut().set(vms);
        }
        if let Some(ServerTable { host, table }) = control.server_table.take() {
            self.server_tables.borrow_mut().insert(host, table);
        }
        if let Some(row) = &control.put {
            self.rows.put(row);
        }
        if let Some(row) = &control.remove {
            self.rows.remove(row);
        }
        if control.compact {
            self.rows.compact();
        }
        self.faults.borrow_mut().apply(control);
        response::ok(&json!({}))
    }

    fn stats(&self) -> Response<Body> {
        let mut stats = json!(&*self.stats.borrow());
        stats["rows"] = json!(self.rows.len());
        stats["tables"] = json!(self.rows.by_table());
        stats["calls"] = json!(&*self.calls.borrow());
        stats["objects"] = json!(self.objects.borrow().len());
        stats["object_bytes"] = json!(self.objects.borrow().bytes());
        response::ok(&stats)
    }

    fn replace_server_table(&self, request: &Request<Bytes>, query: &mut IndexMap<String, String>) {
        let host = request.headers().get("host");
        let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
        let tables = self.server_tables.borrow();
        if let (Some(own), Some(table)) = (tables.get(host), query.get_mut("table"))
            && table == SERVER_TABLE
        {
            *table = own.clone();
        }
    }

    /// Counts a call by path, or by path and table if its query names a table.
    fn count_call(&self, path: &str, table: Option<&String>) {
        let name = match table {
            Some(table) => format!("{path} {table}"),
            None => path.to_string(),
        };
        *self.calls.borrow_mut().entry(name).or_default() += 1;
    }

    async fn route(
        &self,
        request: &Request<Bytes>,
        query: &IndexMap<String, String>,
    ) -> Response<Body> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/rows-tx") => match response::decode_json(request.body()) {
                Ok(transaction) => self.commit(transaction).await,
                Err(invalid) => invalid.response(),
            },
            (&Method::GET, "/rows-get") => self.read_rows(query),
            (&Method::GET, "/rows-feed") => self.rows.feed(query, &self.timer).await,
            (&Method::GET, "/vms") => response::ok(&json!({"vms": self.vms.borrow_mut().list()})),
            (&Method::GET, path) if path.starts_with("/weights/") => self.read_weights(),
            _ => self.handle_object(request),
        }
    }

    fn read_rows(&self, query: &IndexMap<String, String>) -> Response<Body> {
        let is_single = query.get("limit").is_some_and(|limit| limit == "1");
        let mut stats = self.stats.borrow_mut();
        match is_single {
            true => stats.reads += 1,
            false => stats.scans += 1,
        }
        self.rows.get(query)
    }

    async fn commit(&self, transaction: Transaction) -> Response<Body> {
        let first_key = transaction.first_key().to_string();
        if self.faults.borrow().should_hang_commit(&first_key) {
            return response::hang().await;
        }
        let response = match self.rows.transact(transaction) {
            TransactionOutcome::Committed(response) => response,
            TransactionOutcome::Conflict(response) => {
                self.stats.borrow_mut().conflicts += 1;
                return response;
            }
            TransactionOutcome::Invalid(response) => return response,
        };
        self.stats.borrow_mut().writes += 1;
        if self
            .faults
            .borrow_mut()
            .should_lose_acknowledgement(&first_key)
        {
            self.stats.borrow_mut().lost_acknowledgements += 1;
            return response::abort_connection().await;
        }
        if self
            .faults
            .borrow()
            .should_hang_acknowledgement(self.rows.version())
        {
            self.stats.borrow_mut().lost_acknowledgements += 1;
            return response::hang().await;
        }
        response
    }

    fn handle_object(&self, request: &Request<Bytes>) -> Response<Body> {
        let path = decode_percent(request.uri().path());
        let mut stats = self.stats.borrow_mut();
        let mut objects = self.objects.borrow_mut();
        if let Some(name) = path.strip_prefix("/blob-put/") {
            stats.object_writes += 1;
            stats.bytes_written += request.body().len() as u64;
            objects.put(name, request.body().clone());
            response::empty(StatusCode::OK)
        } else if let Some(name) = path.strip_prefix("/blob-get/") {
            let response = objects.get(name);
            stats.object_reads += 1;
            stats.bytes_read += objects::body_length(&response);
            response
        } else if let Some(name) = path.strip_prefix("/blob-drop/") {
            stats.object_deletes += 1;
            objects.delete(name);
            response::empty(StatusCode::OK)
        } else {
            response::not_found()
        }
    }

    fn read_weights(&self) -> Response<Body> {
        let mut stats = self.stats.borrow_mut();
        if self.faults.borrow().refuse_weights {
            stats.weight_refusals += 1;
            return weights::too_many_reads(std::time::Duration::ZERO);
        }
        match self.weights.borrow_mut().read(self.timer.now()) {
            Ok(bytes) => {
                stats.weight_reads += 1;
                Response::new(Body::full(bytes))
            }
            Err(wait) => {
                stats.weight_refusals += 1;
                weights::too_many_reads(wait)
            }
        }
    }
}
