//! The registry of backend servers, and what gateways tell each other of them.
//!
//! Registrations come from the server table of the store.
//!
//! A server whose row is missing right after an outage of the store stays registered for a grace
//! period: the row may have expired only because the server could not renew it.

mod exclusions;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use sapphireford_platform::answer::{ReportedLoad, is_valid_speed};
use sapphireford_platform::server::{self as format, ServerRecord, ServerState};
use sapphireford_platform::store::Row;
use serde::{Deserialize, Serialize};

use super::crash_reports::CrashReports;
use super::outcomes::UsualTimes;
use super::peers::ServerNotices;
use super::placement::{Candidate, NORMAL_SPEED_PERCENT};
use super::server::{LOAD_REPORT_TTL, OVERLOAD_REPORT_TTL, RateLimitReport, Server};
use super::watch::TableChange;
use crate::ids::{BackendServerId, FailureDomainId};
use crate::process::topics::Topics;
use crate::process::topics::learning::ReporterId;

/// Most loads in one message between gateways. A site with up to this many servers shares all of
/// them; on larger sites the message size stays bounded.
const MAX_SHARED_LOADS: usize = 64;
/// Most rate limits in one message between gateways; beyond that, the oldest statements are left
/// out.
const MAX_SHARED_RATE_LIMITS: usize = 128;
/// Time after the last placement by topic in which the gossip carries the loads.
const LOADS_REQUESTED_FOR: Duration = Duration::from_secs(10);
/// Time for which gateways tell each other that a limit has ended. It exceeds the time in which a
/// message reaches all gateways of a failure domain.
const ENDED_LIMIT_TOLD_FOR: Duration = Duration::from_secs(10);
/// A row found missing within this time after the store recovers may have expired during the
/// outage, because its server could not renew it.
const ROW_EXPIRY_WINDOW: Duration = Duration::from_millis(1_000);
/// Time for which the last report of a server is known after its row was removed. The store performs
/// a write whose answer was lost some seconds later.
const LATE_WRITE_PERIOD: Duration = Duration::from_secs(30);
/// Time after the recovery of the store within which live servers have renewed their rows.
const RENEWAL_GRACE_PERIOD: Duration = Duration::from_millis(2_000);

/// A load report of a server as gateways share it with each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedLoad {
    /// Key of the server's row.
    pub server_id: String,
    /// Requests that the server was processing.
    pub running: u32,
    /// Requests in the queue of the server.
    pub waiting: u32,
    /// Requests that the server processes at once.
    pub slots: u32,
    /// Age of the report when it was shared. The transfer time between gateways is not included.
    pub age_ms: u32,
    /// The speed that the server stated, if any. Appended to the message as a list, because gateways
    /// of earlier builds do not know it.
    #[serde(skip)]
    pub speed_percent: Option<u32>,
}

/// A start of a server that has said that it is about to stop, as gateways tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingServer {
    /// Key of the server's row.
    pub server_id: String,
    /// When the server started. A later start under the same key is not leaving.
    pub started_unix_ms: Option<u64>,
}

/// The registered backend servers of all services.
#[derive(Default)]
pub struct Servers {
    by_id: RefCell<IndexMap<BackendServerId, Rc<Server>>>,
    /// The last reports of servers whose rows were removed, and when.
    removed: RefCell<IndexMap<BackendServerId, (ServerRecord, Instant)>>,
    /// Whether the table of servers has been read.
    is_loaded: Cell<bool>,
    own_failure_domain: Option<FailureDomainId>,
    /// Whether a server limited its request rate at the last [`Servers::maintain`].
    has_rate_limits: Cell<bool>,
    /// Whether a server had stated its speed lately at the last [`Servers::maintain`].
    has_speeds: Cell<bool>,
    /// When the loads were last needed to place a request by its topic.
    loads_requested_at: Cell<Option<Instant>>,
    usual_times: RefCell<UsualTimes>,
    /// Identifies this start of the gateway in the outcomes that it reports.
    reporter: ReporterId,
    /// What is learned of the topics of requests.
    pub topics: Topics,
    /// Whether a service is overloaded.
    is_overloaded: Cell<bool>,
    /// The requests that were running when servers crashed.
    pub crash_reports: CrashReports,
}

impl Servers {
    /// Creates an empty registry for a gateway that runs in `own_failure_domain`.
    pub fn new(own_failure_domain: FailureDomainId) -> Self {
        Self {
            by_id: RefCell::default(),
            removed: RefCell::default(),
            is_loaded: Cell::new(false),
            own_failure_domain: Some(own_failure_domain),
            has_rate_limits: Cell::new(false),
            has_speeds: Cell::new(false),
            loads_requested_at: Cell::new(None),
            usual_times: RefCell::default(),
            reporter: rand::random(),
            topics: Topics::default(),
            is_overloaded: Cell::new(false),
            crash_reports: CrashReports::default(),
        }
    }

    /// Whether the table of servers has been read.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded.get()
    }

    /// Applies a change of the server table. `store_recovered_at` is when the store last recovered
    /// from an outage, `None` if there was none.
    pub fn apply(&self, change: TableChange, store_recovered_at: Option<Instant>, now: Instant) {
        match change {
            TableChange::Snapshot(rows) => {
                self.is_loaded.set(true);
                let is_listed = |id: &BackendServerId| rows.iter().any(|row| *row.key == **id);
                let missing: Vec<_> = self
                    .by_id
                    .borrow()
                    .keys()
                    .filter(|id| !is_listed(id))
                    .cloned()
                    .collect();
                for id in missing {
                    self.remove(&id, store_recovered_at, now);
                }
                rows.iter()
                    .for_each(|row| self.apply_row(row, store_recovered_at, now));
            }
            TableChange::Rows(rows) => {
                rows.iter()
                    .for_each(|row| self.apply_row(row, store_recovered_at, now));
            }
        }
    }

    fn apply_row(&self, row: &Row, store_recovered_at: Option<Instant>, now: Instant) {
        let Some(value) = &row.value else {
            self.remove(&row.key, store_recovered_at, now);
            return;
        };
        let record = match format::decode(value) {
            Ok(record) => record,
            Err(error) => {
                log::warn!(server = row.key, row_version = row.version; "backend server row skipped, registration could not be decoded: {error}");
                return;
            }
        };
        if let Some(last_number) = self.later_report(&row.key, &record) {
            log::warn!(server = row.key, row_version = row.version, state:? = record.state, report = record.report_number, last_report = last_number; "backend server row skipped, it holds an earlier report than the one before: the store has performed a write late");
            return;
        }
        let mut by_id = self.by_id.borrow_mut();
        if let Some(known) = by_id.get(row.key.as_str())
            && is_same_instance(&known.record.borrow(), &record)
        {
            known.renewal_deadline.set(None);
            let last_number = known.record.borrow().report_number;
            let numbered_alike = ServerRecord {
                report_number: last_number,
                ..record.clone()
            };
            if *known.record.borrow() != numbered_alike {
                log::info!(server = row.key, row_version = row.version, state:? = record.state; "backend server registration changed: state, slots, warm-up, version or failure domain");
            }
            known.record.replace(record);
            return;
        }
        log::info!(server = row.key, service = record.service, version = record.version, row_version = row.version, state:? = record.state; "backend server registered");
        let server = Server::new(&row.key, record);
        by_id.insert(server.id.clone(), Rc::new(server));
    }

    /// The number of the last known report of the same start of a server, if it is higher than that of
    /// `record`. Without a start time, the server may have started again, and counts anew.
    fn later_report(&self, id: &str, record: &ServerRecord) -> Option<u64> {
        let is_later = |known: &ServerRecord| {
            record.started_unix_ms?;
            let last_number = known.report_number?;
            let is_later = is_same_instance(known, record) && record.report_number? < last_number;
            is_later.then_some(last_number)
        };
        if let Some(server) = self.by_id.borrow().get(id) {
            return is_later(&server.record.borrow());
        }
        let removed = self.removed.borrow();
        removed.get(id).and_then(|(known, _)| is_later(known))
    }

    fn remove(&self, id: &str, store_recovered_at: Option<Instant>, now: Instant) {
        let mut by_id = self.by_id.borrow_mut();
        let Some(server) = by_id.get(id) else {
            return;
        };
        let recovered_at =
            store_recovered_at.filter(|at| now.saturating_duration_since(*at) < ROW_EXPIRY_WINDOW);
        let is_draining =
            server.is_leaving.get() || server.record.borrow().state == ServerState::Draining;
        if let Some(recovered_at) = recovered_at
            && !is_draining
        {
            if server.renewal_deadline.get().is_none() {
                server
                    .renewal_deadline
                    .set(Some(recovered_at + RENEWAL_GRACE_PERIOD));
                log::info!(server = id; "backend server row missing after a store outage, deregistration is delayed");
            }
            return;
        }
        let last_report = (server.record.borrow().clone(), now);
        self.removed
            .borrow_mut()
            .insert(server.id.clone(), last_report);
        by_id.shift_remove(id);
        log::info!(server = id; "backend server deregistered: its row was removed");
    }

    /// Whether this start of a server is registered and has not said that it leaves.
    pub fn is_in_service(&self, server: &Rc<Server>) -> bool {
        let by_id = self.by_id.borrow();
        let registered = by_id.get(&server.id);
        let is_registered = registered.is_some_and(|known| Rc::ptr_eq(known, server));
        is_registered
            && !server.is_leaving.get()
            && server.record.borrow().state == ServerState::Ready
    }

    /// Deregisters the servers whose rows were not renewed in time after an outage of the store,
    /// forgets old reports of crashes, and checks whether servers limit their request rates or
    /// state their speed. Called several times a second.
    pub fn maintain(&self, now: Instant) {
        self.crash_reports.remove_expired(now);
        self.removed
            .borrow_mut()
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < LATE_WRITE_PERIOD);
        let is_limited = |server: &Rc<Server>| server.has_rate_limit();
        let has_rate_limits = self.by_id.borrow().values().any(is_limited);
        self.has_rate_limits.set(has_rate_limits);
        let states_speed = |server: &Rc<Server>| server.speed_percent(now).is_some();
        let has_speeds = self.by_id.borrow().values().any(states_speed);
        self.has_speeds.set(has_speeds);
        self.update_exclusions(now);
        self.by_id.borrow_mut().retain(|id, server| { let is_expired = server.renewal_deadline.get().is_some_and(|end| now >= end); if is_expired { log::info!(server = &**id; "backend server deregistered: its row was not renewed after a store outage"); } !is_expired });
    }

    /// The most recent load reports, to be shared with other gateways.
    ///
    /// With many gateways, each one receives reports from each server too rarely to know its load.
    pub fn shared_loads(&self, now: Instant) -> Vec<SharedLoad> {
        let by_id = self.by_id.borrow();
        let reports = by_id.values().filter_map(|server| {
            let (load, age) = server.reported_load(now)?;
            (age < self.load_report_ttl()).then_some((server, load, age))
        });
        let mut reports: Vec<_> = reports.collect();
        if reports.len() > MAX_SHARED_LOADS {
            reports.select_nth_unstable_by_key(MAX_SHARED_LOADS, |(_, _, age)| *age);
            reports.truncate(MAX_SHARED_LOADS);
        }
        let shared = reports.into_iter().map(|(server, load, age)| SharedLoad {
            server_id: server.id.to_string(),
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            age_ms: age.as_millis() as u32,
            speed_percent: load.speed_percent,
        });
        shared.collect()
    }

    /// Adopts the shared load reports that are newer than the known ones.
    pub fn merge_loads(&self, loads: &[SharedLoad], now: Instant) {
        let by_id = self.by_id.borrow();
        for load in loads {
            let Some(server) = by_id.get(load.server_id.as_str()) else {
                continue;
            };
            let age = Duration::from_millis(u64::from(load.age_ms));
            let Some(reported_at) = now.checked_sub(age) else {
                continue;
            };
            let is_newer = server
                .report
                .get()
                .is_none_or(|(_, known)| reported_at > known);
            if is_newer {
                let reported = ReportedLoad {
                    running: load.running,
                    waiting: load.waiting,
                    slots: load.slots,
                    speed_percent: load.speed_percent.filter(is_valid_speed),
                };
                server.set_report(reported, reported_at);
            }
        }
    }

    /// What this gateway has heard from the servers, to be told to other gateways.
    pub fn notices(&self, now: Instant) -> ServerNotices {
        ServerNotices {
            leaving: self.leaving(),
            rate_limits: self.rate_limits(now),
            crash_reports: self.crash_reports.reports(now),
            ..ServerNotices::default()
        }
    }

    /// Makes the gossip carry the loads for a while, because requests are placed by topic.
    pub fn request_loads(&self, now: Instant) {
        self.loads_requested_at.set(Some(now));
    }

    /// What is told in the gossip: the notices, and the loads while servers limit their rates or
    /// state their speed, requests are placed by topic, or a service is overloaded. The admissions of
    /// turns exchange the loads at other times, which is enough without an overload.
    pub fn gossip_notices(&self, now: Instant) -> ServerNotices {
        let mut notices = self.notices(now);
        let requested_at = self.loads_requested_at.get();
        let are_requested =
            requested_at.is_some_and(|at| now.saturating_duration_since(at) < LOADS_REQUESTED_FOR);
        let is_loaded = self.has_rate_limits.get() || self.is_overloaded.get();
        if is_loaded || self.has_speeds.get() || are_requested {
            notices.loads = self.shared_loads(now);
        }
        notices.outcomes = self.shared_outcomes();
        notices.topic_times = self.topics.reports();
        notices
    }

    /// Adopts what another gateway has heard from the servers.
    pub fn merge_notices(&self, notices: &ServerNotices, now: Instant) {
        self.merge_leaving(&notices.leaving);
        self.merge_rate_limits(&notices.rate_limits, now);
        self.crash_reports.merge(&notices.crash_reports, now);
        self.merge_loads(&notices.loads, now);
        self.merge_outcomes(&notices.outcomes, now);
        let reporter = notices.outcomes.reporter;
        self.topics.merge(reporter, &notices.topic_times, now);
    }

    /// The registered servers that have said that they are about to stop.
    pub fn leaving(&self) -> Vec<LeavingServer> {
        let by_id = self.by_id.borrow();
        let leaving = by_id.values().filter(|server| server.is_leaving.get());
        let leaving = leaving.map(|server| LeavingServer {
            server_id: server.id.to_string(),
            started_unix_ms: server.record.borrow().started_unix_ms,
        });
        leaving.collect()
    }

    /// Adopts what another gateway has heard from servers that are about to stop.
    pub fn merge_leaving(&self, leaving: &[LeavingServer]) {
        let by_id = self.by_id.borrow();
        for told in leaving {
            let server = by_id.get(told.server_id.as_str());
            let is_same_start = |server: &&Rc<Server>| {
                server.record.borrow().started_unix_ms == told.started_unix_ms
            };
            if let Some(server) = server.filter(is_same_start) {
                server.record_leaving();
            }
        }
    }

    /// A registered server; `None` if there is none with this row key.
    pub fn get(&self, server_id: &str) -> Option<Rc<Server>> {
        self.by_id.borrow().get(server_id).cloned()
    }

    /// The addresses of the registered servers.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let by_id = self.by_id.borrow();
        by_id.values().map(|server| server.address()).collect()
    }

    /// Makes all servers available again that failed.
    pub fn forget_failures(&self) {
        let by_id = self.by_id.borrow();
        by_id.values().for_each(|server| server.forget_failures());
    }

    /// Records whether a service is overloaded. Loads are then told in the gossip.
    pub fn set_overloaded(&self, is_overloaded: bool) {
        self.is_overloaded.set(is_overloaded);
    }

    /// Time for which a load report is used.
    pub fn load_report_ttl(&self) -> Duration {
        match self.has_rate_limits.get() || self.is_overloaded.get() {
            true => OVERLOAD_REPORT_TTL,
            false => LOAD_REPORT_TTL,
        }
    }

    /// The last statements of the servers on their rate limits, to be told to other gateways.
    pub fn rate_limits(&self, now: Instant) -> Vec<RateLimitReport> {
        let by_id = self.by_id.borrow();
        let reports = by_id
            .values()
            .filter_map(|server| server.rate_limit_report(now));
        let is_told = |report: &RateLimitReport| {
            let age = Duration::from_millis(u64::from(report.age_ms));
            report.limit_per_s.is_some() || age < ENDED_LIMIT_TOLD_FOR
        };
        let mut reports: Vec<_> = reports.filter(is_told).collect();
        if reports.len() > MAX_SHARED_RATE_LIMITS {
            reports.select_nth_unstable_by_key(MAX_SHARED_RATE_LIMITS, |report| report.age_ms);
            reports.truncate(MAX_SHARED_RATE_LIMITS);
        }
        reports
    }

    /// Adopts what another gateway has heard of rate limits, unless a later statement is known.
    pub fn merge_rate_limits(&self, reports: &[RateLimitReport], now: Instant) {
        let by_id = self.by_id.borrow();
        for report in reports {
            let server = by_id.get(report.server_id.as_str());
            let is_same_start = |server: &&Rc<Server>| {
                server.record.borrow().started_unix_ms == report.started_unix_ms
            };
            let age = Duration::from_millis(u64::from(report.age_ms));
            let is_valid = report
                .limit_per_s
                .is_none_or(|limit| limit.is_finite() && limit >= 0.0);
            let observed_at = now.checked_sub(age).filter(|_| is_valid);
            if let (Some(server), Some(observed_at)) = (server.filter(is_same_start), observed_at) {
                server.observe_rate_limit(report.limit_per_s, observed_at);
            }
        }
    }

    /// The registered servers of a service, including those that take no requests at the moment.
    pub fn for_service(&self, service: &str) -> Vec<Rc<Server>> {
        let by_id = self.by_id.borrow();
        let servers = by_id.values();
        servers
            .filter(|server| server.record.borrow().service == service)
            .cloned()
            .collect()
    }

    /// Describes a server for placement. `connection_limit` bounds the requests that this gateway
    /// may have in flight on it.
    pub fn candidate<'a>(
        &self,
        server: &'a Server,
        connection_limit: u32,
        now: Instant,
    ) -> Candidate<'a> {
        let domain = &server.record.borrow().failure_domain;
        let own_failure_domain = self.own_failure_domain.as_deref();
        Candidate {
            server_id: &server.id,
            load: server.load(self.load_report_ttl(), now),
            is_load_known: server.is_load_known(self.load_report_ttl(), now),
            speed_percent: server.speed_percent(now).unwrap_or(NORMAL_SPEED_PERCENT),
            is_eligible: server.is_eligible(connection_limit, now),
            is_same_domain: own_failure_domain == Some(domain.as_str()),
        }
    }
}

/// Whether two records with the same row key come from the same start of a server.
fn is_same_instance(known: &ServerRecord, new: &ServerRecord) -> bool {
    known.started_unix_ms == new.started_unix_ms
        && known.address == new.address
        && known.service == new.service
}
