//! A registered backend server: its registration, its load, and what it has stated in its answers.
//!
//! The load is estimated from the server's own reports, from the reports that other gateways
//! received, and from the requests that this gateway has in flight.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sapphireford_platform::answer::{RateLimitStatement, ReportedLoad};
use sapphireford_platform::server::{ServerRecord, ServerState};
use serde::{Deserialize, Serialize};

use super::allowance::{REQUEST_CLASSES, RequestClass};
use super::crash_reports::CrashId;
use super::outcomes::ServerOutcomes;
use super::placement::{LoadPermille, NORMAL_SPEED_PERCENT};
use super::stream_origins::{StreamOrigin, stream_origin};
use crate::ids::BackendServerId;
use crate::process::breaker::CircuitBreaker;
use crate::process::overload::service_load::KnownLoad;
use crate::process::slots::placement::rendezvous_weight;

/// Time for which a load report is used. After that, the load is estimated only from the requests
/// that this gateway has in flight.
pub(super) const LOAD_REPORT_TTL: Duration = Duration::from_millis(1_000);
/// Time for which a load report is used while servers limit their request rates. An overload lasts
/// for seconds then, and on a large site most gateways know only reports that are older than
/// [`LOAD_REPORT_TTL`].
pub(super) const OVERLOAD_REPORT_TTL: Duration = Duration::from_secs(4);
/// Time for which a stated speed is used, with less weight as it ages. Speeds change many times a
/// second.
pub(super) const SPEED_TTL: Duration = Duration::from_millis(1_000);
/// Time for which a server counts as one that states its speed, after it last did.
const SPEED_STATED_TTL: Duration = Duration::from_secs(30);
/// A request without an answer whose caller leaves after this time counts as a failure of the
/// server. Callers disconnect after two seconds at the earliest if they get nothing.
const MIN_ABANDONED_WAIT: Duration = Duration::from_millis(1_000);
/// Time for which the wait for a first event is compared with the reported load.
const WAIT_TTL: Duration = Duration::from_secs(1);
/// Longest delay after which a caller is told to come back because of a rate limit. Callers that
/// wait longer have given up.
const MAX_RETURN_DELAY: Duration = Duration::from_secs(4);

/// A registered backend server. A restart under the same row key creates a new value.
pub struct Server {
    /// Key of the server's row.
    pub id: BackendServerId,
    pub(super) record: RefCell<ServerRecord>,
    in_flight: Cell<u32>,
    pub(super) report: Cell<Option<(ReportedLoad, Instant)>>,
    /// The last stated speed in percent, and when it was stated. It may be older than the report, which
    /// a gateway of an earlier build may have passed on without it.
    stated_speed: Cell<Option<(u32, Instant)>>,
    /// Requests that this gateway has sent since the report was made.
    sent_since_report: Cell<u32>,
    breaker: RefCell<CircuitBreaker>,
    /// What callers got from the server; counted only if it states its speed.
    pub(super) outcomes: RefCell<ServerOutcomes>,
    pub(super) exclusion: Cell<Option<Exclusion>>,
    /// Whether the server has said in an answer that it is about to stop. This start of the server
    /// takes no new requests from then on, whatever its row says.
    pub(super) is_leaving: Cell<bool>,
    /// Whether the server broke a connection and refused a new one, and has not answered since.
    has_crashed: Cell<bool>,
    /// The last statement on the rate limit that this gateway has heard of, in an answer or from a
    /// peer; `None` if the server has never stated a limit.
    rate_limit: Cell<Option<RateLimitObservation>>,
    /// For each request class, until when the allowance of the server is used up.
    exhausted_until: Cell<[Option<Instant>; REQUEST_CLASSES]>,
    /// The last time at which a refused caller was told to come back; see
    /// [`Server::schedule_return`].
    last_return_at: Cell<Option<Instant>>,
    /// When the server is deregistered unless its row is renewed. Set while the row is missing
    /// after an outage of the store.
    pub(super) renewal_deadline: Cell<Option<Instant>>,
    /// The last time to the first event of a request to the server, and when that event arrived.
    first_event_wait: Cell<Option<(Duration, Instant)>>,
}

impl Server {
    pub(super) fn new(id: &str, record: ServerRecord) -> Self {
        Self {
            id: id.into(),
            record: RefCell::new(record),
            in_flight: Cell::new(0),
            report: Cell::new(None),
            stated_speed: Cell::new(None),
            sent_since_report: Cell::new(0),
            breaker: RefCell::default(),
            outcomes: RefCell::default(),
            exclusion: Cell::new(None),
            is_leaving: Cell::new(false),
            has_crashed: Cell::new(false),
            rate_limit: Cell::new(None),
            exhausted_until: Cell::default(),
            last_return_at: Cell::new(None),
            renewal_deadline: Cell::new(None),
            first_event_wait: Cell::new(None),
        }
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.record.borrow().address
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn start_request(self: &Rc<Self>) -> InFlightGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        self.sent_since_report.set(self.sent_since_report.get() + 1);
        InFlightGuard {
            server: self.clone(),
            started_at: Instant::now(),
            has_ended: Cell::new(false),
        }
    }

    /// Records the load that the server reported with a response.
    pub fn record_load(&self, load: ReportedLoad) {
        self.stated_speed.set(None);
        self.set_report(load, Instant::now());
    }

    /// Whether the server has stated its speed within [`SPEED_STATED_TTL`].
    pub fn states_speed(&self, now: Instant) -> bool {
        let stated = self.stated_speed.get();
        stated.is_some_and(|(_, at)| now.saturating_duration_since(at) < SPEED_STATED_TTL)
    }

    /// Records the time to the first event of a request.
    pub fn record_wait(&self, wait: Duration, now: Instant) {
        self.first_event_wait.set(Some((wait, now)));
    }

    /// The time to the first event of a recent request; `None` if there is none.
    pub fn recent_wait(&self, now: Instant) -> Option<Duration> {
        let (wait, at) = self.first_event_wait.get()?;
        (now.saturating_duration_since(at) < WAIT_TTL).then_some(wait)
    }

    /// The load as known from a report that is younger than `report_ttl`, for the admission of
    /// programs. The slots are those of the registration, which a wrong report does not change.
    pub fn known_load(&self, report_ttl: Duration, now: Instant) -> KnownLoad {
        let report = self.reported_load(now);
        let report = report.filter(|(_, age)| *age < report_ttl);
        let report = report.map(|(load, age)| {
            let reported = load.running.saturating_add(load.waiting);
            (reported.saturating_add(self.sent_since_report.get()), age)
        });
        let speed = self.stated_speed.get();
        let speed = speed.filter(|(_, at)| now.saturating_duration_since(*at) < SPEED_TTL);
        KnownLoad {
            slots: self.record.borrow().slots.max(1),
            report,
            excess_wait_permille: None,
            speed_percent: speed.map(|(speed_percent, _)| speed_percent),
        }
    }

    /// The estimated load, from reports that are usable without an overload.
    pub fn load_permille(&self, now: Instant) -> LoadPermille {
        self.load(LOAD_REPORT_TTL, now)
    }

    pub(super) fn set_report(&self, load: ReportedLoad, reported_at: Instant) {
        self.report.set(Some((load, reported_at)));
        if let Some(speed_percent) = load.speed_percent {
            self.stated_speed.set(Some((speed_percent, reported_at)));
        }
        self.sent_since_report.set(0);
    }

    /// Reports a successful request to the circuit breaker.
    pub fn record_success(&self) {
        self.has_crashed.set(false);
        self.breaker.borrow_mut().record_success(Instant::now());
    }

    /// Reports a failed request or connection to the circuit breaker.
    pub fn record_failure(&self) {
        self.breaker.borrow_mut().record_failure(Instant::now());
        self.record_outcome(false, Instant::now());
    }

    /// Counts an outcome if the server states its speed.
    pub(super) fn record_outcome(&self, is_good: bool, now: Instant) {
        if self.stated_speed.get().is_some() {
            self.outcomes.borrow_mut().record(is_good, now);
        }
    }

    /// Whether the server is excluded because of its outcomes; see [`super::outcomes`].
    pub fn is_excluded(&self) -> bool {
        self.exclusion.get().is_some()
    }

    /// Excludes the server, or ends its exclusion.
    pub(super) fn set_excluded(&self, is_excluded: bool, now: Instant) {
        if is_excluded == self.is_excluded() {
            return;
        }
        let exclusion = is_excluded.then_some(Exclusion { next_probe_at: now });
        self.exclusion.set(exclusion);
        let own = self.outcomes.borrow().own();
        match is_excluded {
            true => {
                log::warn!(server = &*self.id, good = own.good, bad = own.bad; "backend server gets only probes: its outcomes are worse than those of its peers")
            }
            false => {
                log::info!(server = &*self.id, good = own.good, bad = own.bad; "backend server gets requests again")
            }
        }
    }

    /// Whether an excluded server may get a request, which shows whether it has recovered.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        let exclusion = self.exclusion.get();
        exclusion.is_some_and(|exclusion| now >= exclusion.next_probe_at)
    }

    /// Records that an excluded server gets a request. The next one is due after `interval`.
    pub fn start_probe(&self, interval: Duration, now: Instant) {
        let next_probe_at = now + interval;
        let exclusion = self.exclusion.get();
        self.exclusion
            .set(exclusion.map(|_| Exclusion { next_probe_at }));
    }

    /// Makes the server available again, because its failures were not its own.
    pub fn forget_failures(&self) {
        self.has_crashed.set(false);
        self.breaker.take();
        self.outcomes.take();
        self.exclusion.set(None);
    }

    /// Identifies the crash of this start of the server, the same at all gateways.
    pub fn crash_id(&self) -> CrashId {
        let started_unix_ms = self.record.borrow().started_unix_ms;
        rendezvous_weight(started_unix_ms.unwrap_or_default(), &self.id)
    }

    /// Records that the server has crashed. It gets no requests for a while.
    pub fn record_crash(&self) {
        if !self.has_crashed.replace(true) {
            log::info!(server = &*self.id; "backend server has crashed: it broke a connection and refuses new ones");
            self.breaker.borrow_mut().open(Instant::now());
        }
    }

    /// Whether the server has crashed and has not answered since.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed.get()
    }

    /// Records that the server is about to stop, as it said in an answer.
    pub fn record_leaving(&self) {
        if !self.is_leaving.replace(true) {
            log::info!(server = &*self.id; "backend server is leaving, it gets no new requests");
        }
    }

    /// Records the limit of the request rate that the server stated in an answer.
    pub fn record_rate_limit(&self, statement: RateLimitStatement) {
        let limit_per_s = match statement {
            RateLimitStatement::Unlimited => None,
            RateLimitStatement::PerSecond(limit_per_s) => Some(limit_per_s),
            RateLimitStatement::Invalid => {
                log::warn!(server = &*self.id; "backend server stated a rate limit that is not a number, the last valid statement applies");
                return;
            }
        };
        self.observe_rate_limit(limit_per_s, Instant::now());
    }

    /// Adopts a statement on the rate limit unless a later one is known.
    pub(super) fn observe_rate_limit(&self, limit_per_s: Option<f64>, observed_at: Instant) {
        let known = self.rate_limit.get();
        let is_later = known.is_none_or(|known| observed_at > known.observed_at);
        // A server that never had a limit needs no record of having none.
        if !is_later || (known.is_none() && limit_per_s.is_none()) {
            return;
        }
        self.rate_limit.set(Some(RateLimitObservation {
            limit_per_s,
            observed_at,
        }));
        let previous = known.and_then(|known| known.limit_per_s);
        if previous != limit_per_s {
            self.exhausted_until.take();
            log::info!(server = &*self.id, limit_per_s:? = limit_per_s, previous:? = previous; "backend server changed the limit of its request rate");
        }
    }

    /// The last statement on the rate limit, as gateways tell each other; `None` if there is none.
    pub fn rate_limit_report(&self, now: Instant) -> Option<RateLimitReport> {
        let known = self.rate_limit.get()?;
        let age = now.saturating_duration_since(known.observed_at);
        Some(RateLimitReport {
            server_id: self.id.to_string(),
            started_unix_ms: self.record.borrow().started_unix_ms,
            limit_per_s: known.limit_per_s,
            age_ms: age.as_millis().try_into().unwrap_or(u32::MAX),
        })
    }

    /// Whether the server limits its request rate.
    pub fn has_rate_limit(&self) -> bool {
        let known = self.rate_limit.get();
        known.is_some_and(|known| known.limit_per_s.is_some())
    }

    /// Records that the allowance of the server is used up for a request class and for all that come
    /// after it.
    pub fn exhaust_allowance(&self, class: RequestClass, until: Instant) {
        let mut exhausted_until = self.exhausted_until.get();
        for known in exhausted_until.iter_mut().skip(class.index()) {
            *known = (*known).max(Some(until));
        }
        self.exhausted_until.set(exhausted_until);
    }

    /// Until when the allowance is used up for a request class; `None` if it is not known to be.
    fn allowance_exhausted_until(&self, class: RequestClass, now: Instant) -> Option<Instant> {
        self.exhausted_until.get()[class.index()].filter(|until| now < *until)
    }

    /// Whether the allowance is known to be used up for a request class.
    pub fn is_exhausted(&self, class: RequestClass, now: Instant) -> bool {
        self.allowance_exhausted_until(class, now).is_some()
    }

    /// When a caller that is refused because of the rate limit should come back to this server;
    /// `None` if its allowance has room. It is after the time at which the allowance has room again,
    /// and callers do not come back faster than the limit.
    pub fn return_time(&self, class: RequestClass, now: Instant) -> Option<Instant> {
        let until = self.allowance_exhausted_until(class, now)?;
        let limit_per_s = self.rate_limit.get()?.limit_per_s?;
        let spacing = Duration::try_from_secs_f64(1.0 / limit_per_s).unwrap_or(MAX_RETURN_DELAY);
        let next = self.last_return_at.get().map(|last| last + spacing);
        let latest = now + MAX_RETURN_DELAY;
        Some(next.map_or(until, |next| until.max(next.min(latest))))
    }

    /// Records that a refused caller was told to come back at this time.
    pub fn schedule_return(&self, at: Instant) {
        self.last_return_at.set(Some(at));
    }

    /// The version of the server's software.
    pub fn version(&self) -> String {
        self.record.borrow().version.clone()
    }

    /// Where a stream begins that this server runs.
    pub fn stream_origin(&self) -> StreamOrigin {
        let record = self.record.borrow();
        stream_origin(&record.service, &record.version)
    }

    /// The service that the server belongs to.
    pub fn service(&self) -> String {
        self.record.borrow().service.clone()
    }

    /// The failure domain of the server; empty if it named none.
    pub fn failure_domain(&self) -> String {
        self.record.borrow().failure_domain.clone()
    }

    /// The most recent load report and its age, or `None` if the server has not reported yet.
    pub fn reported_load(&self, now: Instant) -> Option<(ReportedLoad, Duration)> {
        let (load, at) = self.report.get()?;
        Some((load, now.saturating_duration_since(at)))
    }

    pub(super) fn is_load_known(&self, report_ttl: Duration, now: Instant) -> bool {
        let reported = self.reported_load(now);
        reported.is_some_and(|(_, age)| age < report_ttl)
    }

    pub(super) fn load(&self, report_ttl: Duration, now: Instant) -> LoadPermille {
        let own = self.in_flight.get();
        let reported = self.reported_load(now);
        let reported = reported.filter(|(_, age)| *age < report_ttl);
        let requests = match reported {
            Some((load, _)) => {
                let reported = load.running.saturating_add(load.waiting);
                own.max(reported.saturating_add(self.sent_since_report.get()))
            }
            None => own,
        };
        let slots = self.record.borrow().slots.max(1);
        requests.saturating_mul(1000) / slots
    }

    /// The stated speed, moved towards the normal one as it ages; `None` if the server has
    /// stated none within [`SPEED_TTL`].
    pub fn speed_percent(&self, now: Instant) -> Option<u32> {
        let (stated, stated_at) = self.stated_speed.get()?;
        let stated = i64::from(stated);
        let age = now.saturating_duration_since(stated_at);
        let left_ms = SPEED_TTL.saturating_sub(age).as_millis() as i64;
        let normal = i64::from(NORMAL_SPEED_PERCENT);
        let speed = normal + (stated - normal) * left_ms / SPEED_TTL.as_millis() as i64;
        (left_ms > 0).then_some(speed as u32)
    }

    pub(super) fn is_eligible(&self, connection_limit: u32, now: Instant) -> bool {
        let is_ready = self.record.borrow().state == ServerState::Ready;
        let own = self.in_flight.get();
        let is_available = is_ready && !self.is_leaving.get();
        is_available && own < connection_limit && self.breaker.borrow().allows(now, u32::MAX, own)
    }
}

/// The state of a server that is excluded because of its outcomes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Exclusion {
    /// When this gateway may send it the next request.
    pub(super) next_probe_at: Instant,
}

/// Counts a request as in flight on a server until it is dropped.
pub struct InFlightGuard {
    server: Rc<Server>,
    started_at: Instant,
    /// Whether the request has been answered or has failed.
    has_ended: Cell<bool>,
}

impl InFlightGuard {
    /// Records that the request has been answered or has failed. Returns whether it is the first
    /// time.
    pub fn record_end(&self) -> bool {
        !self.has_ended.replace(true)
    }

    /// Records that the request has failed because of the server.
    pub fn record_failure(&self) {
        self.record_end();
        self.server.record_failure();
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let in_flight = &self.server.in_flight;
        in_flight.set(in_flight.get() - 1);
        let now = Instant::now();
        let waited = now.saturating_duration_since(self.started_at);
        if self.record_end() && waited >= MIN_ABANDONED_WAIT {
            self.server.record_outcome(false, now);
        }
    }
}

/// A statement of a server on its rate limit.
#[derive(Clone, Copy, Debug)]
struct RateLimitObservation {
    /// Requests a second from all gateways together; `None` if the limit has ended.
    limit_per_s: Option<f64>,
    observed_at: Instant,
}

/// A statement of a server on its rate limit, as gateways tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RateLimitReport {
    /// Key of the server's row.
    pub server_id: String,
    /// When the server started. A later start under the same key has its own limit, or none.
    pub started_unix_ms: Option<u64>,
    /// Requests a second from all gateways together, finite and not negative; `None` if the limit
    /// has ended.
    pub limit_per_s: Option<f64>,
    /// Age of the statement. The transfer time between gateways is not included.
    pub age_ms: u32,
}
