//! The client of the platform's store.
//!
//! A call is attempted directly or through a peer, on the paths that
//! [`store_path`](super::store_path) plans for it. If an attempt fails, or takes much longer than
//! usual, the call is attempted on the next path as well. This is safe because every call that a
//! gateway makes is idempotent.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::{Request, Response, StatusCode};
use rand::Rng;
use sapphireford_platform::FormatError;
use sapphireford_platform::store::{
    self as format, Row, RowCondition, RowKey, RowPage, RowWrite, StoreAnswer, TransactionAnswer,
};

use super::peers;
use super::store_path::{StorePath, StorePaths};
use crate::connection::http_client::{ClientError, HttpClient};
use crate::process::metrics;
use crate::process::timer::TimerService;

/// The result of a call to the store.
pub type Result<T> = std::result::Result<T, StoreError>;

/// Why a call to the store failed.
#[derive(Debug)]
pub enum StoreError {
    /// No path led to a response. Holds the reason of the last failure.
    Unreachable(String),
    /// The store refused the call on every path that was tried, so it had no effect. Holds the HTTP
    /// status.
    Refused(u16),
    /// A request or a response could not be encoded or decoded.
    Format(FormatError),
    /// The call was not made, because the store is unavailable.
    Outage,
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Unreachable(reason) => {
                write!(formatter, "the store did not answer: {reason}")
            }
            StoreError::Refused(status) => {
                write!(formatter, "the store refused the call with status {status}")
            }
            StoreError::Format(_) => {
                formatter.write_str("a store request or answer could not be encoded or decoded")
            }
            StoreError::Outage => formatter.write_str("the store is unavailable"),
        }
    }
}

impl StoreError {
    /// Whether the store refused the call because of the rate of calls.
    fn is_rate_limit(&self) -> bool {
        matches!(self, StoreError::Refused(status) if *status == StatusCode::TOO_MANY_REQUESTS)
    }
}

impl std::error::Error for StoreError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StoreError::Format(error) => Some(error),
            _ => None,
        }
    }
}

impl From<FormatError> for StoreError {
    fn from(error: FormatError) -> Self {
        StoreError::Format(error)
    }
}

/// The outcome of [`Store::create`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Creation {
    /// The row is new, and the others are written.
    Created,
    /// The row exists with this value, so nothing is written. A call whose response was lost may
    /// have created it.
    Exists(Bytes),
}

/// Longest response read from the store. The store itself limits a page to 1 MB before encoding.
const ANSWER_LIMIT_BYTES: usize = 4 << 20;
/// Timeout of a call on one path, without the time for which a feed call waits for changes.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time for which a call is repeated while the store has reached the limit of its rate. The store
/// refuses calls for which a partition would need more than a second, so a second later it has
/// room, or the load does not fit at all.
const RATE_LIMIT_PATIENCE: Duration = Duration::from_millis(1_000);
/// Shortest and longest delay before such a call is repeated, before jitter. Each refusal doubles
/// the delay.
const RATE_LIMIT_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(40), Duration::from_millis(320));
/// Paths on which a call is refused because of the rate before it is delayed.
const RATE_LIMITED_PATHS_PER_CALL: usize = 2;
/// A call is also attempted on the next path (hedged) when it has taken this many times the typical
/// latency.
const HEDGE_FACTOR: u32 = 4;
/// Bounds of the delay before a call is hedged.
const HEDGE_DELAY_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(60), Duration::from_millis(600));
/// A call faster than the typical latency enters the moving average with a weight of one over this.
const FASTER_SAMPLE_DIVISOR: u32 = 8;
/// A call slower than the typical latency enters the moving average with a weight of one over this.
/// The weight is high so that a slow store is soon recognised and hedging does not double its load.
const SLOWER_SAMPLE_DIVISOR: u32 = 2;
/// The typical latency before any call has succeeded.
const INITIAL_TYPICAL_LATENCY: Duration = Duration::from_millis(20);
/// Added to the timeout of a call that is relayed by a peer.
const RELAY_EXTRA_TIMEOUT: Duration = Duration::from_millis(50);
/// Most calls relayed for peers at the same time; further ones are refused.
const MAX_RELAYED_CALLS: usize = 64;

/// Peer addresses of the live gateways, which can relay store calls. The directory updates them.
pub type RelayAddresses = Rc<RefCell<Vec<SocketAddr>>>;

/// A client of the store; clones share their state.
#[derive(Clone)]
pub struct Store {
    shared: Rc<Shared>,
}

struct Shared {
    http: HttpClient,
    timer: TimerService,
    address: SocketAddr,
    relays: RelayAddresses,
    paths: RefCell<StorePaths>,
    /// Moving average of the latency of successful calls, without feed calls.
    typical_latency: Cell<Duration>,
    /// Whether an outage was logged whose end has not been logged yet.
    is_outage_logged: Cell<bool>,
    relayed_calls: Cell<usize>,
}

impl Store {
    /// Creates a client of the store at `address`.
    pub fn new(http: HttpClient, address: SocketAddr, relays: RelayAddresses) -> Self {
        let timer = http.timer().clone();
        let shared = Shared {
            http,
            timer,
            address,
            relays,
            paths: RefCell::default(),
            typical_latency: Cell::new(INITIAL_TYPICAL_LATENCY),
            is_outage_logged: Cell::new(false),
            relayed_calls: Cell::new(0),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Whether a call is worth making now; `false` while requests are to be refused without one.
    pub fn is_available(&self) -> bool {
        self.shared.paths.borrow().is_available(Instant::now())
    }

    /// Time since calls began to fail without any success; `None` while calls succeed.
    pub fn outage_age(&self) -> Option<Duration> {
        self.shared.paths.borrow().outage_age(Instant::now())
    }

    /// When the store last recovered from an outage; `None` if there was none.
    pub fn last_recovery(&self) -> Option<Instant> {
        self.shared.paths.borrow().last_recovery()
    }

    /// When a call last succeeded on any path.
    pub fn last_success(&self) -> Option<Instant> {
        self.shared.paths.borrow().last_success()
    }

    /// Writes and removes rows in one transaction.
    pub async fn write(&self, writes: &[RowWrite], deadline: Instant) -> Result<()> {
        let request = format::write_request(writes)?;
        let response = self.call(request, Duration::ZERO, deadline).await?;
        match format::decode_transaction(&response)? {
            TransactionAnswer::Committed(_) => Ok(()),
            TransactionAnswer::Refused(status) => Err(StoreError::Refused(status)),
            TransactionAnswer::ConditionFailed(_) => {
                let status = StatusCode::PRECONDITION_FAILED.as_u16();
                Err(StoreError::Refused(status))
            }
        }
    }

    /// Creates a row unless it exists, and writes other rows of its partition, in one transaction.
    pub async fn create(
        &self,
        new_row: RowWrite,
        others: &[RowWrite],
        deadline: Instant,
    ) -> Result<Creation> {
        let condition = RowCondition {
            row: new_row.row.clone(),
            version: 0,
        };
        let key = new_row.row.key.clone();
        let writes = [&[new_row], others].concat();
        let request = format::transaction_request(&[condition], &writes)?;
        let response = self.call(request, Duration::ZERO, deadline).await?;
        match format::decode_transaction(&response)? {
            TransactionAnswer::Committed(_) => Ok(Creation::Created),
            TransactionAnswer::Refused(status) => Err(StoreError::Refused(status)),
            TransactionAnswer::ConditionFailed(rows) => {
                let existing = rows.into_iter().find(|row| row.key == key);
                let value = existing.and_then(|row| row.value);
                Ok(Creation::Exists(value.unwrap_or_default()))
            }
        }
    }

    /// Reads the value of one row; `None` if it does not exist.
    pub async fn read_row(&self, row: &RowKey, deadline: Instant) -> Result<Option<Bytes>> {
        let row = self.find_row(row, deadline).await?;
        Ok(row.and_then(|row| row.value))
    }

    /// Reads one row with its version; `None` if it does not exist.
    pub async fn find_row(&self, row: &RowKey, deadline: Instant) -> Result<Option<Row>> {
        let request = format::read_row_request(row)?;
        let response = self.call(request, Duration::ZERO, deadline).await?;
        let page = decode_rows(&response)?;
        Ok(page.rows.into_iter().find(|found| found.key == row.key))
    }

    /// Reads one row with its version and the time of the store.
    pub async fn read_versioned(
        &self,
        row: &RowKey,
        deadline: Instant,
    ) -> Result<(Option<Row>, u64)> {
        let request = format::read_row_request(row)?;
        let response = self.call(request, Duration::ZERO, deadline).await?;
        let page = decode_rows(&response)?;
        let found = page.rows.into_iter().find(|found| found.key == row.key);
        Ok((found, store_ms(&response)?))
    }

    /// Writes a row if the condition holds. Returns the answer with the time of the store. After a
    /// call without an answer, the write may still be performed as long as the condition holds.
    pub async fn write_if(
        &self,
        condition: RowCondition,
        write: RowWrite,
        deadline: Instant,
    ) -> Result<(TransactionAnswer, u64)> {
        let request = format::transaction_request(&[condition], &[write])?;
        let response = self.call(request, Duration::ZERO, deadline).await?;
        match format::decode_transaction(&response)? {
            TransactionAnswer::Refused(status) => Err(StoreError::Refused(status)),
            answer => Ok((answer, store_ms(&response)?)),
        }
    }

    /// Reads all rows of a partition whose keys start with `prefix`, page by page.
    ///
    /// The version is that of the first page, because a row of it may change while the others are read.
    /// The changes after this version bring the rows up to date; some of them are in the rows already.
    pub async fn read_all(
        &self,
        table: &str,
        partition: &str,
        prefix: &str,
        deadline: Instant,
    ) -> Result<RowPage> {
        let mut rows = Vec::new();
        let mut after: Option<String> = None;
        let mut first_version = None;
        loop {
            let request = format::read_range_request(table, partition, prefix, after.as_deref())?;
            let response = self.call(request, Duration::ZERO, deadline).await?;
            let page = decode_rows(&response)?;
            let version = *first_version.get_or_insert(page.version);
            let is_last = !page.has_more || page.rows.is_empty();
            rows.extend(page.rows);
            if is_last {
                return Ok(RowPage {
                    rows,
                    has_more: false,
                    version,
                });
            }
            after = rows.last().map(|row| row.key.clone());
        }
    }

    /// Waits up to `wait` for changes of a table after a version; `None` if the store no longer has
    /// them.
    pub async fn feed(
        &self,
        table: &str,
        after_version: u64,
        wait: Duration,
    ) -> Result<Option<RowPage>> {
        let request = format::feed_request(table, after_version, wait.as_millis() as u64)?;
        let deadline = Instant::now() + wait + ATTEMPT_TIMEOUT;
        let response = self.call(request, wait, deadline).await?;
        match format::decode_page(&response)? {
            StoreAnswer::Done(page) => Ok(Some(page)),
            StoreAnswer::HistoryGone => Ok(None),
            StoreAnswer::Refused(status) => Err(StoreError::Refused(status)),
        }
    }

    /// Relays a call of a peer to the store; `None` if the store did not respond or too many calls
    /// are being relayed.
    pub async fn relay(&self, call: peers::RelayedCall) -> Option<Response<Bytes>> {
        let shared = &self.shared;
        if shared.relayed_calls.get() >= MAX_RELAYED_CALLS {
            return None;
        }
        shared.relayed_calls.set(shared.relayed_calls.get() + 1);
        let fetch = shared.http.fetch(
            shared.address,
            call.request,
            call.time_left,
            ANSWER_LIMIT_BYTES,
        );
        let answer = fetch.await;
        shared.relayed_calls.set(shared.relayed_calls.get() - 1);
        answer.ok()
    }

    /// Makes a call, and repeats it for a while if the store has reached the limit of its rate. That
    /// is no outage: the call may be made a little later.
    async fn call(
        &self,
        request: Request<Bytes>,
        wait: Duration,
        deadline: Instant,
    ) -> Result<Response<Bytes>> {
        let patience_end = deadline.min(Instant::now() + RATE_LIMIT_PATIENCE);
        let mut delay = RATE_LIMIT_DELAY_RANGE.0;
        loop {
            let result = self.call_on_all_paths(&request, wait, deadline).await;
            let jittered = delay.mul_f64(rand::rng().random_range(0.5..1.5));
            match result {
                Err(error)
                    if error.is_rate_limit()
                        && self.is_available()
                        && Instant::now() + jittered < patience_end =>
                {
                    log::debug!("store call is repeated: {error}");
                    self.shared.timer.sleep(jittered).await;
                    delay = (delay * 2).min(RATE_LIMIT_DELAY_RANGE.1);
                }
                result => return result,
            }
        }
    }

    /// Attempts a call on one path after the other until one answers. The next path is tried when
    /// an attempt fails or exceeds the hedge delay. Earlier attempts stay in flight and may still
    /// succeed: a lost response and a late one are treated alike.
    async fn call_on_all_paths(
        &self,
        request: &Request<Bytes>,
        wait: Duration,
        deadline: Instant,
    ) -> Result<Response<Bytes>> {
        let relays = self.shared.relays.borrow().clone();
        let plan = self.shared.paths.borrow_mut().plan(&relays, Instant::now());
        let mut plan = plan.into_iter();
        let mut started: Vec<StorePath> = Vec::new();
        let mut in_flight = FuturesUnordered::new();
        let mut last_error = StoreError::Outage;
        let mut has_failed = false;
        let mut rate_limited_paths = 0;
        loop {
            // The limit of a single VM does not apply to its peers; that of all VMs does, and more
            // attempts would only add to their calls.
            let is_limited = rate_limited_paths >= RATE_LIMITED_PATHS_PER_CALL;
            if Instant::now() >= deadline || is_limited {
                break;
            }
            if let Some(path) = plan.next() {
                started.push(path);
                in_flight.push(self.attempt(path, clone_request(request), wait, deadline));
            } else if in_flight.is_empty() {
                break;
            }
            let hedge_at = match plan.len() {
                0 => deadline,
                _ => deadline.min(Instant::now() + self.hedge_delay() + wait),
            };
            let next = self.shared.timer.timeout_at(hedge_at, in_flight.next());
            match next.await {
                Ok(Some((path, Ok(response)))) => {
                    self.record_overtaken(&started, path);
                    self.log_recovery();
                    return Ok(response);
                }
                Ok(Some((path, Err(error)))) => {
                    log::debug!(path:? = path; "store call failed: {error}");
                    started.retain(|other| *other != path);
                    has_failed = true;
                    rate_limited_paths += usize::from(error.is_rate_limit());
                    if !last_error.is_rate_limit() {
                        last_error = error;
                    }
                }
                Ok(None) | Err(_) => {}
            }
        }
        // Under a limit, some calls succeed. If none does, it is an outage like any other.
        let is_in_outage = || self.shared.paths.borrow().is_in_outage(Instant::now());
        if has_failed && in_flight.is_empty() && (rate_limited_paths == 0 || is_in_outage()) {
            self.record_total_failure(&last_error);
        }
        Err(last_error)
    }

    /// Records that paths did not respond before `winner`, which was tried after them.
    fn record_overtaken(&self, started: &[StorePath], winner: StorePath) {
        let mut paths = self.shared.paths.borrow_mut();
        let slower = started.iter().take_while(|path| **path != winner);
        for path in slower {
            paths.record_overtaken(*path, Instant::now());
        }
    }

    fn record_total_failure(&self, error: &StoreError) {
        let now = Instant::now();
        let mut paths = self.shared.paths.borrow_mut();
        paths.record_total_failure(now);
        if paths.is_in_outage(now) && !self.shared.is_outage_logged.replace(true) {
            let age = paths.outage_age(now).unwrap_or_default();
            log::warn!(reason:% = error, outage_age_ms = age.as_millis() as u64; "store unavailable: no call succeeds on any path");
        }
    }

    fn log_recovery(&self) {
        if self.shared.is_outage_logged.replace(false) {
            log::info!("store available again");
        }
    }

    async fn attempt(
        &self,
        path: StorePath,
        request: Request<Bytes>,
        wait: Duration,
        deadline: Instant,
    ) -> (StorePath, Result<Response<Bytes>>) {
        let started = Instant::now();
        let time_left = deadline.saturating_duration_since(started);
        let timeout = time_left.min(ATTEMPT_TIMEOUT + wait);
        let fetched = match path {
            StorePath::Direct => self.fetch(self.shared.address, request, timeout).await,
            StorePath::Relay(peer) => match peers::wrap_store_call(request, timeout) {
                Some(request) => {
                    self.fetch(peer, request, timeout + RELAY_EXTRA_TIMEOUT)
                        .await
                }
                None => {
                    let error =
                        StoreError::Unreachable("the request cannot be relayed".to_string());
                    return (path, Err(error));
                }
            },
        };
        let result = self.check_response(path, fetched);
        let now = Instant::now();
        let succeeded = result.is_ok();
        self.shared.paths.borrow_mut().record(path, succeeded, now);
        let elapsed = now.saturating_duration_since(started);
        if wait.is_zero() && succeeded {
            self.update_typical_latency(elapsed);
        }
        count_call(path, succeeded);
        if wait.is_zero() {
            ::metrics::histogram!(metrics::STORE_CALL_SECONDS).record(elapsed.as_secs_f64());
        }
        (path, result)
    }

    async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> std::result::Result<Response<Bytes>, ClientError> {
        let http = &self.shared.http;
        http.fetch(address, request, timeout, ANSWER_LIMIT_BYTES)
            .await
    }

    fn check_response(
        &self,
        path: StorePath,
        fetched: std::result::Result<Response<Bytes>, ClientError>,
    ) -> Result<Response<Bytes>> {
        let response = match fetched {
            Ok(response) => response,
            Err(error) => {
                if path == StorePath::Direct {
                    // Other idle connections may be dead for the same reason.
                    self.shared.http.close_idle(self.shared.address);
                }
                return Err(StoreError::Unreachable(error.to_string()));
            }
        };
        let is_relayed = matches!(path, StorePath::Relay(_));
        if is_relayed && !peers::is_from_store(&response) {
            let reason = "the peer could not reach the store".to_string();
            return Err(StoreError::Unreachable(reason));
        }
        match response.status() {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(StoreError::Refused(response.status().as_u16()))
            }
            _ => Ok(response),
        }
    }

    fn hedge_delay(&self) -> Duration {
        let typical = self.shared.typical_latency.get();
        let (shortest, longest) = HEDGE_DELAY_BOUNDS;
        (typical * HEDGE_FACTOR).clamp(shortest, longest)
    }

    fn update_typical_latency(&self, elapsed: Duration) {
        let typical = self.shared.typical_latency.get();
        let divisor = if elapsed > typical {
            SLOWER_SAMPLE_DIVISOR
        } else {
            FASTER_SAMPLE_DIVISOR
        };
        let updated = (typical * (divisor - 1) + elapsed) / divisor;
        self.shared.typical_latency.set(updated);
    }

    /// The timer service that enforces the timeouts of calls.
    pub fn timer(&self) -> &TimerService {
        &self.shared.timer
    }
}

fn count_call(path: StorePath, succeeded: bool) {
    let outcome = if succeeded { "ok" } else { "failed" };
    let label = match path {
        StorePath::Direct => "direct",
        StorePath::Relay(_) => "relay",
    };
    ::metrics::counter!(metrics::STORE_CALLS, "path" => label, "outcome" => outcome).increment(1);
}

fn decode_rows(response: &Response<Bytes>) -> Result<RowPage> {
    match format::decode_page(response)? {
        StoreAnswer::Done(page) => Ok(page),
        StoreAnswer::Refused(status) => Err(StoreError::Refused(status)),
        StoreAnswer::HistoryGone => Err(StoreError::Refused(StatusCode::GONE.as_u16())),
    }
}

fn store_ms(response: &Response<Bytes>) -> Result<u64> {
    let missing = || FormatError::Field("nowMs", "missing".to_string());
    Ok(format::decode_store_ms(response).ok_or_else(missing)?)
}

fn clone_request(request: &Request<Bytes>) -> Request<Bytes> {
    let mut copy = Request::new(request.body().clone());
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    copy
}
