//! A model engine with continuous batching and a prefix cache (design section 5.2).
//!
//! A request waits for a batch slot, is prefilled, and then generates one token per decode step.
//! Prefills run one at a time. The duration of a decode step grows with the number of requests in
//! the batch. The generated text depends only on the messages, so that tests can predict it, see
//! [`text`]; [`count_tokens`] counts the tokens of a prompt.

mod batch;
mod cache;
mod chat;
mod control;
mod events;
mod load;
mod orders;
pub mod text;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use getopts::Options;
use hyper::{Method, Request, Response, StatusCode};
use sapphireford::connection::body::Body;
use sapphireford::connection::http_server::Handler;
use sapphireford::process::timer::TimerService;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::arguments::{self, Arguments};
use crate::response;
use batch::Batch;
use cache::{Cache, ExportedEntry};
use control::Faults;
use events::EventLog;
use load::LoadReport;
use orders::Orders;
pub use text::{Message, count_tokens};

const DEFAULT_DECODE_MS: f64 = 10.0;
const DEFAULT_PREFILL_TOKENS_PER_SECOND: f64 = 20_000.0;
const DEFAULT_MAX_BATCH: usize = 32;
const DEFAULT_CACHE_TOKENS: u64 = 200_000;
const DEFAULT_BATCH_SLOWDOWN: f64 = 0.02;
const DEFAULT_REPORT_LAG_MS: f64 = 500.0;
const DEFAULT_EVENT_LAG_MS: f64 = 500.0;

/// Returns the command line options of `standin-engine`.
pub fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "",
        "decode-ms",
        "duration of a decode step for a batch of one",
        "MS",
    );
    options.optopt(
        "",
        "batch-slowdown",
        "share by which each further request lengthens a decode step",
        "SHARE",
    );
    options.optopt("", "prefill-tokens-per-second", "prefill rate", "RATE");
    options.optopt("", "max-batch", "limit of requests in the batch", "COUNT");
    options.optopt("", "cache-tokens", "capacity of the prefix cache", "TOKENS");
    options.optopt(
        "",
        "import-tokens-per-second",
        "rate of cache imports; 0 for no delay",
        "RATE",
    );
    options.optopt(
        "",
        "report-lag-ms",
        "interval of load reports; 0 to measure at each request",
        "MS",
    );
    options.optopt(
        "",
        "event-lag-ms",
        "delay until a cache event is published",
        "MS",
    );
    options.optopt(
        "",
        "event-gap-rate",
        "share of cache events that are lost",
        "SHARE",
    );
    options.optopt(
        "",
        "cancel-lag-ms",
        "delay until a closed connection cancels its request",
        "MS",
    );
    options.optopt(
        "",
        "stop-after",
        "limit of generated tokens per request",
        "TOKENS",
    );
    options.optopt(
        "",
        "seed",
        "seed of the random selection of lost cache events",
        "SEED",
    );
    options.optflag(
        "",
        "checks-fencing",
        "reject orders with a stale fencing number",
    );
    options
}

/// HTTP handler of the stand-in engine.
pub struct Engine {
    state: Rc<State>,
}

struct State {
    timer: TimerService,
    settings: Settings,
    batch: Rc<Batch>,
    cache: RefCell<Cache>,
    load: RefCell<LoadReport>,
    orders: RefCell<Orders>,
    faults: RefCell<Faults>,
    stats: RefCell<Stats>,
    /// Time at which all queued prefills are complete.
    prefills_done_at: Cell<Instant>,
}

struct Settings {
    decode_step: Duration,
    batch_slowdown: f64,
    prefill_tokens_per_second: f64,
    import_tokens_per_second: f64,
    cancel_lag: Duration,
    stop_after_tokens: u64,
}

#[derive(Clone, Default, Serialize)]
struct Stats {
    calls_started: u64,
    calls_finished: u64,
    calls_cancelled: u64,
    calls_broken: u64,
    calls_refused: u64,
    calls_started_while_leaving: u64,
    tokens_prefilled: u64,
    tokens_from_cache: u64,
    tokens_generated: u64,
    tokens_generated_without_reader: u64,
    tokens_recomputed_after_eviction: u64,
}

#[derive(Deserialize)]
struct CacheKeyBody {
    cache_key: String,
}

impl Engine {
    /// Creates an idle engine and starts its load reports.
    pub fn new(arguments: &Arguments, timer: TimerService) -> arguments::Result<Self> {
        let events = EventLog::new(
            arguments.millis_or("event-lag-ms", DEFAULT_EVENT_LAG_MS)?,
            arguments.value_or("event-gap-rate", 0.0)?,
            arguments.value_or("seed", 0)?,
        );
        let cache_tokens = arguments.value_or("cache-tokens", DEFAULT_CACHE_TOKENS)?;
        let report_lag = arguments.millis_or("report-lag-ms", DEFAULT_REPORT_LAG_MS)?;
        let state = State {
            settings: Settings::new(arguments)?,
            batch: Batch::new(arguments.value_or("max-batch", DEFAULT_MAX_BATCH)?),
            cache: RefCell::new(Cache::new(cache_tokens, events)),
            load: RefCell::new(LoadReport::new(report_lag)),
            orders: RefCell::new(Orders::new(arguments.flag("checks-fencing"))),
            faults: RefCell::default(),
            stats: RefCell::default(),
            prefills_done_at: Cell::new(timer.now()),
            timer,
        };
        let state = Rc::new(state);
        if !report_lag.is_zero() {
            monoio::spawn(load::run_reports(state.clone(), report_lag));
        }
        Ok(Self { state })
    }
}

impl Settings {
    fn new(arguments: &Arguments) -> arguments::Result<Self> {
        Ok(Self {
            decode_step: arguments.millis_or("decode-ms", DEFAULT_DECODE_MS)?,
            batch_slowdown: arguments.value_or("batch-slowdown", DEFAULT_BATCH_SLOWDOWN)?,
            prefill_tokens_per_second: arguments.value_or(
                "prefill-tokens-per-second",
                DEFAULT_PREFILL_TOKENS_PER_SECOND,
            )?,
            import_tokens_per_second: arguments.value_or("import-tokens-per-second", 0.0)?,
            cancel_lag: arguments.millis_or("cancel-lag-ms", 0.0)?,
            stop_after_tokens: arguments.value_or("stop-after", u64::MAX)?,
        })
    }
}

impl Handler for Engine {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        let state = &self.state;
        let body = request.body();
        let result = match (request.method(), request.uri().path()) {
            (&Method::POST, "/control") => {
                response::decode_json(body).map(|body| state.control(body))
            }
            (&Method::GET, "/stats") => Ok(state.stats()),
            (&Method::POST, "/v1/chat/completions") => match response::decode_json(body) {
                Ok(body) => Ok(chat::complete(state.clone(), body).await),
                Err(invalid) => Err(invalid),
            },
            (&Method::GET, "/v1/load") => Ok(response::ok(&load::current_load(state))),
            (&Method::GET, "/v1/cache") => Ok(state.cache_entries()),
            (&Method::GET, "/v1/cache/events") => Ok(state.events(request.uri().query())),
            (&Method::POST, "/v1/cache/release") => {
                response::decode_json(body).map(|body| state.release(body))
            }
            (&Method::POST, "/v1/cache/export") => {
                response::decode_json(body).map(|body| state.export(body))
            }
            (&Method::POST, "/v1/cache/import") => match response::decode_json(body) {
                Ok(body) => Ok(state.import(body).await),
                Err(invalid) => Err(invalid),
            },
            (&Method::POST, "/v1/orders") => {
                response::decode_json(body).map(|body| state.orders.borrow_mut().submit(body))
            }
            _ => Ok(response::not_found()),
        };
        result.unwrap_or_else(|invalid| invalid.response())
    }
}

impl State {
    fn control(&self, control: control::Control) -> Response<Body> {
        self.faults.borrow_mut().apply(control);
        response::ok(&json!({}))
    }

    fn stats(&self) -> Response<Body> {
        let cache = self.cache.borrow();
        let mut stats = json!(&*self.stats.borrow());
        stats["tokens_evicted"] = json!(cache.evicted_tokens());
        stats["tokens_released"] = json!(cache.released_tokens());
        stats["cache_used_tokens"] = json!(cache.used_tokens());
        stats["running"] = json!(self.batch.running());
        stats["waiting"] = json!(self.batch.waiting());
        stats["orders"] = json!(self.orders.borrow().accepted());
        response::ok(&stats)
    }

    fn cache_entries(&self) -> Response<Body> {
        response::ok(&json!({"entries": self.cache.borrow().entries()}))
    }

    fn events(&self, query: Option<&str>) -> Response<Body> {
        let after = query.and_then(|query| query.strip_prefix("after="));
        let after = after.map_or(Ok(0), str::parse);
        match after {
            Ok(after) => response::ok(&self.cache.borrow().events().published_after(after)),
            Err(_) => response::error(
                StatusCode::BAD_REQUEST,
                "query parameter `after` is not a number",
            ),
        }
    }

    fn release(&self, body: CacheKeyBody) -> Response<Body> {
        if !self.faults.borrow().ignore_releases {
            self.cache.borrow_mut().release(&body.cache_key);
        }
        response::ok(&json!({}))
    }

    fn export(&self, body: CacheKeyBody) -> Response<Body> {
        match self.cache.borrow().export(&body.cache_key) {
            Some(entry) => response::ok(&entry),
            None => response::error(StatusCode::NOT_FOUND, "cache entry not found"),
        }
    }

    async fn import(&self, entry: ExportedEntry) -> Response<Body> {
        let rate = self.settings.import_tokens_per_second;
        self.timer
            .sleep(duration_at_rate(entry.tokens(), rate))
            .await;
        let tokens = self.cache.borrow_mut().import(entry);
        response::ok(&json!({"tokens": tokens}))
    }
}

/// Returns the time to process `tokens` at a rate; zero if the rate is 0.
fn duration_at_rate(tokens: u64, per_second: f64) -> Duration {
    Duration::try_from_secs_f64(tokens as f64 / per_second).unwrap_or_default()
}
