//! The client of the platform's store.
//!
//! Every call that this gateway makes has the same effect when it is performed twice, so a call that
//! got no answer is made again on the next path. Calls go directly to the store or through a peer, see
//! [`store_path`](super::store_path).

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::{Request, Response, StatusCode};
use sapphireford_platform::FormatError;
use sapphireford_platform::store::{
    self as format, RowKey, RowPage, RowWrite, StoreAnswer, TransactionAnswer,
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
    /// No path led to an answer.
    Unreachable(String),
    /// The store refused the call on every path that was tried; nothing was done.
    Refused(u16),
    /// The message could not be encoded or decoded.
    Format(FormatError),
    /// The call was not made, because the calls before it have failed.
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
            StoreError::Format(_) => formatter.write_str("a message of the store is not valid"),
            StoreError::Outage => formatter.write_str("the store does not answer at present"),
        }
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

/// Longest answer read from the store; its own limit on a page is 1 MB before encoding.
const ANSWER_LIMIT_BYTES: usize = 4 << 20;
/// Longest time that a call on one path may take, without the time that a feed waits.
const LONGEST_ATTEMPT: Duration = Duration::from_millis(1_500);
/// A call goes out on the next path as well when it has taken this many times the typical time.
const HEDGE_FACTOR: u32 = 4;
/// Bounds of the time after which a call goes out on the next path as well.
const HEDGE_DELAYS: (Duration, Duration) = (Duration::from_millis(60), Duration::from_millis(600));
/// Weight of a faster call in the typical time: one part of this many.
const FASTER_PARTS: u32 = 8;
/// Weight of a slower call in the typical time. A store that turns slow is soon recognised, so that
/// its load is not doubled.
const SLOWER_PARTS: u32 = 2;
/// The typical time before any call was made.
const INITIAL_TYPICAL_TIME: Duration = Duration::from_millis(20);
/// Time added for the way through a peer.
const RELAY_TIME: Duration = Duration::from_millis(50);
/// Calls of peers that are passed on at the same time; further ones are refused.
const RELAYED_CALLS: usize = 64;

/// Where the other gateways take store calls.
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
    /// A moving average of the time of the calls that succeed.
    typical_time: Cell<Duration>,
    /// Whether the loss of the store was logged, and not yet its return.
    is_lost: Cell<bool>,
    relayed_calls: Cell<usize>,
}

impl Store {
    /// Makes a client of the store at `address`.
    pub fn new(http: HttpClient, address: SocketAddr, relays: RelayAddresses) -> Self {
        let timer = http.timer().clone();
        let shared = Shared {
            http,
            timer,
            address,
            relays,
            paths: RefCell::default(),
            typical_time: Cell::new(INITIAL_TYPICAL_TIME),
            is_lost: Cell::new(false),
            relayed_calls: Cell::new(0),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Whether a call has a chance to succeed now.
    pub fn is_available(&self) -> bool {
        self.shared.paths.borrow().is_available(Instant::now())
    }

    /// How long no call has succeeded, while calls fail.
    pub fn outage_age(&self) -> Option<Duration> {
        self.shared.paths.borrow().outage_age(Instant::now())
    }

    /// When the store last returned after it had been away.
    pub fn last_return(&self) -> Option<Instant> {
        self.shared.paths.borrow().last_return()
    }

    /// When a call last succeeded.
    pub fn last_success(&self) -> Option<Instant> {
        self.shared.paths.borrow().last_success()
    }

    /// Writes and removes rows, all or none.
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

    /// Reads one row; `None` if it does not exist.
    pub async fn read_one(&self, row: &RowKey, deadline: Instant) -> Result<Option<Bytes>> {
        let request = format::read_row_request(row)?;
        let response = self.call(request, Duration::ZERO, deadline).await?;
        let page = page(&response)?;
        let row = page.rows.into_iter().find(|found| found.key == row.key);
        Ok(row.and_then(|row| row.value))
    }

    /// Reads all rows of a partition whose keys start with `prefix`.
    pub async fn read_all(
        &self,
        table: &str,
        partition: &str,
        prefix: &str,
        deadline: Instant,
    ) -> Result<RowPage> {
        let mut rows = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let request = format::read_range_request(table, partition, prefix, after.as_deref())?;
            let response = self.call(request, Duration::ZERO, deadline).await?;
            let page = page(&response)?;
            let is_last = !page.has_more || page.rows.is_empty();
            rows.extend(page.rows);
            if is_last {
                return Ok(RowPage {
                    rows,
                    has_more: false,
                    version: page.version,
                });
            }
            after = rows.last().map(|row| row.key.clone());
        }
    }

    /// Waits for changes of a table after a version; `None` if the store no longer knows them.
    pub async fn feed(
        &self,
        table: &str,
        after_version: u64,
        wait: Duration,
    ) -> Result<Option<RowPage>> {
        let request = format::feed_request(table, after_version, wait.as_millis() as u64)?;
        let deadline = Instant::now() + wait + LONGEST_ATTEMPT;
        let response = self.call(request, wait, deadline).await?;
        match format::decode_page(&response)? {
            StoreAnswer::Done(page) => Ok(Some(page)),
            StoreAnswer::HistoryGone => Ok(None),
            StoreAnswer::Refused(status) => Err(StoreError::Refused(status)),
        }
    }

    /// Passes on the call of a peer; `None` if the store did not answer.
    pub async fn relay(&self, call: peers::RelayedCall) -> Option<Response<Bytes>> {
        let shared = &self.shared;
        if shared.relayed_calls.get() >= RELAYED_CALLS {
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

    /// Makes a call on one path after the other until one leads to an answer. A path that fails, or
    /// takes longer than usual, is followed by the next one while the call may still succeed on it:
    /// an answer that is lost is as good as one that is late.
    async fn call(
        &self,
        request: Request<Bytes>,
        wait: Duration,
        deadline: Instant,
    ) -> Result<Response<Bytes>> {
        let relays = self.shared.relays.borrow().clone();
        let plan = self.shared.paths.borrow_mut().plan(&relays, Instant::now());
        let mut plan = plan.into_iter();
        let mut started: Vec<StorePath> = Vec::new();
        let mut running = FuturesUnordered::new();
        let mut last_error = StoreError::Outage;
        loop {
            if Instant::now() >= deadline {
                break;
            }
            if let Some(path) = plan.next() {
                started.push(path);
                running.push(self.attempt(path, clone_request(&request), wait, deadline));
            } else if running.is_empty() {
                self.record_outage(&last_error);
                break;
            }
            let hedge_at = match plan.len() {
                0 => deadline,
                _ => deadline.min(Instant::now() + self.hedge_delay() + wait),
            };
            let next = self.shared.timer.timeout_at(hedge_at, running.next());
            match next.await {
                Ok(Some((path, Ok(response)))) => {
                    self.record_overtaken(&started, path);
                    self.note_return();
                    return Ok(response);
                }
                Ok(Some((path, Err(error)))) => {
                    log::debug!(path:? = path; "store call failed: {error}");
                    started.retain(|other| *other != path);
                    last_error = error;
                }
                Ok(None) | Err(_) => {}
            }
        }
        Err(last_error)
    }

    /// Records that paths did not answer before one that was tried after them.
    fn record_overtaken(&self, started: &[StorePath], winner: StorePath) {
        let mut paths = self.shared.paths.borrow_mut();
        let slower = started.iter().take_while(|path| **path != winner);
        for path in slower {
            paths.record_overtaken(*path, Instant::now());
        }
    }

    fn record_outage(&self, error: &StoreError) {
        let now = Instant::now();
        let mut paths = self.shared.paths.borrow_mut();
        paths.record_outage(now);
        if paths.is_lost(now) && !self.shared.is_lost.replace(true) {
            let age = paths.outage_age(now).unwrap_or_default();
            log::warn!(reason:% = error, outage_age_ms = age.as_millis() as u64; "store lost");
        }
    }

    fn note_return(&self) {
        if self.shared.is_lost.replace(false) {
            log::info!("store regained");
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
        let left = deadline.saturating_duration_since(started);
        let limit = left.min(LONGEST_ATTEMPT + wait);
        let fetched = match path {
            StorePath::Direct => self.fetch(self.shared.address, request, limit).await,
            StorePath::Relay(peer) => match peers::relayed(request, limit) {
                Some(request) => self.fetch(peer, request, limit + RELAY_TIME).await,
                None => {
                    let error = StoreError::Unreachable("invalid path".to_string());
                    return (path, Err(error));
                }
            },
        };
        let result = self.judge(path, fetched);
        let now = Instant::now();
        let succeeded = result.is_ok();
        self.shared.paths.borrow_mut().record(path, succeeded, now);
        let elapsed = now.saturating_duration_since(started);
        if wait.is_zero() && succeeded {
            self.learn_time(elapsed);
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
        limit: Duration,
    ) -> std::result::Result<Response<Bytes>, ClientError> {
        let http = &self.shared.http;
        http.fetch(address, request, limit, ANSWER_LIMIT_BYTES)
            .await
    }

    fn judge(
        &self,
        path: StorePath,
        fetched: std::result::Result<Response<Bytes>, ClientError>,
    ) -> Result<Response<Bytes>> {
        let response = match fetched {
            Ok(response) => response,
            Err(error) => {
                if path == StorePath::Direct {
                    // Other idle connections may be silent for the same reason.
                    self.shared.http.close_idle(self.shared.address);
                }
                return Err(StoreError::Unreachable(error.to_string()));
            }
        };
        let is_relayed = matches!(path, StorePath::Relay(_));
        if is_relayed && !peers::is_from_store(&response) {
            let reason = "the peer does not reach the store".to_string();
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
        let typical = self.shared.typical_time.get();
        let (shortest, longest) = HEDGE_DELAYS;
        (typical * HEDGE_FACTOR).clamp(shortest, longest)
    }

    fn learn_time(&self, elapsed: Duration) {
        let typical = self.shared.typical_time.get();
        let parts = if elapsed > typical {
            SLOWER_PARTS
        } else {
            FASTER_PARTS
        };
        let learned = (typical * (parts - 1) + elapsed) / parts;
        self.shared.typical_time.set(learned);
    }

    /// The timer service that bounds the calls.
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

fn page(response: &Response<Bytes>) -> Result<RowPage> {
    match format::decode_page(response)? {
        StoreAnswer::Done(page) => Ok(page),
        StoreAnswer::Refused(status) => Err(StoreError::Refused(status)),
        StoreAnswer::HistoryGone => Err(StoreError::Refused(StatusCode::GONE.as_u16())),
    }
}

fn clone_request(request: &Request<Bytes>) -> Request<Bytes> {
    let mut copy = Request::new(request.body().clone());
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    copy
}
