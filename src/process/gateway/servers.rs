//! The backend servers: which there are, whether they take requests, and how loaded they are.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use sapphireford_platform::answer::ReportedLoad;
use sapphireford_platform::server::{self, ServerRecord, ServerState};
use sapphireford_platform::store::Row;
use serde::{Deserialize, Serialize};

use super::placement::{Candidate, LoadPermille};
use super::watch::TableChange;
use crate::ids::{BackendServerId, FailureDomainId};
use crate::process::breaker::CircuitBreaker;

/// Time for which a reported load counts. Later, only the own requests in progress are known.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_000);
/// Loads in a message between gateways. All servers of a site of that size are in it; on larger ones
/// the bytes of a message do not grow with the site.
const SHARED_LOADS: usize = 64;
/// A row that is missing this short a time after the store has returned may have expired in the
/// meantime, because its server could not renew it.
const LAPSE_WINDOW: Duration = Duration::from_millis(1_000);
/// Time after the return of the store within which living servers have written their rows again.
const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

/// A backend server.
pub struct Server {
    /// Names this life of the server.
    pub id: BackendServerId,
    record: RefCell<ServerRecord>,
    in_flight: Cell<u32>,
    report: Cell<Option<(ReportedLoad, Instant)>>,
    /// Requests that this gateway has sent since the report was made.
    sent_since_report: Cell<u32>,
    breaker: RefCell<CircuitBreaker>,
    /// Set while the server's row is missing after an absence of the store: when it counts as gone.
    lapse_ends: Cell<Option<Instant>>,
}

impl Server {
    fn new(id: &str, record: ServerRecord) -> Self {
        Self {
            id: id.into(),
            record: RefCell::new(record),
            in_flight: Cell::new(0),
            report: Cell::new(None),
            sent_since_report: Cell::new(0),
            breaker: RefCell::default(),
            lapse_ends: Cell::new(None),
        }
    }

    /// Where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.record.borrow().address
    }

    /// Counts a request until the guard is dropped.
    pub fn start_request(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        self.sent_since_report.set(self.sent_since_report.get() + 1);
        InFlight(self.clone())
    }

    /// Records the load that the server reported with an answer.
    pub fn record_load(&self, load: ReportedLoad) {
        self.set_report(load, Instant::now());
    }

    fn set_report(&self, load: ReportedLoad, made: Instant) {
        self.report.set(Some((load, made)));
        self.sent_since_report.set(0);
    }

    /// Records that the server answered as it should.
    pub fn record_success(&self) {
        self.breaker.borrow_mut().record_success(Instant::now());
    }

    /// Records that the server failed a request or could not be reached.
    pub fn record_failure(&self) {
        self.breaker.borrow_mut().record_failure(Instant::now());
    }

    /// The load as last reported, and how old the report is.
    pub fn reported_load(&self, now: Instant) -> Option<(ReportedLoad, Duration)> {
        let (load, at) = self.report.get()?;
        Some((load, now.saturating_duration_since(at)))
    }

    fn load(&self, now: Instant) -> LoadPermille {
        let own = self.in_flight.get();
        let reported = self.reported_load(now);
        let reported = reported.filter(|(_, age)| *age < REPORT_LIFETIME);
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

    fn is_allowed(&self, connection_limit: u32, now: Instant) -> bool {
        let is_ready = self.record.borrow().state == ServerState::Ready;
        let own = self.in_flight.get();
        is_ready && own < connection_limit && self.breaker.borrow().allows(now, u32::MAX, own)
    }
}

/// Counts a request as in progress on a server until it is dropped.
pub struct InFlight(Rc<Server>);

impl Drop for InFlight {
    fn drop(&mut self) {
        let in_flight = &self.0.in_flight;
        in_flight.set(in_flight.get() - 1);
    }
}

/// A load that a server reported to some gateway, as gateways pass it on to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedLoad {
    /// The server.
    pub server_id: String,
    /// Requests that it was processing.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Time since the server made the report, without the way between gateways.
    pub age_ms: u32,
}

/// All backend servers.
#[derive(Default)]
pub struct Servers {
    by_id: RefCell<IndexMap<BackendServerId, Rc<Server>>>,
    own_domain: Option<FailureDomainId>,
}

impl Servers {
    /// Makes an empty registry for a gateway in a failure domain.
    pub fn new(own_domain: FailureDomainId) -> Self {
        Self {
            by_id: RefCell::default(),
            own_domain: Some(own_domain),
        }
    }

    /// Takes over what the store says. `store_returned` is when the store last returned after an
    /// absence.
    pub fn apply(&self, change: TableChange, store_returned: Option<Instant>, now: Instant) {
        match change {
            TableChange::Snapshot(rows) => {
                let is_listed = |id: &BackendServerId| rows.iter().any(|row| *row.key == **id);
                let missing: Vec<_> = self
                    .by_id
                    .borrow()
                    .keys()
                    .filter(|id| !is_listed(id))
                    .cloned()
                    .collect();
                for id in missing {
                    self.remove(&id, store_returned, now);
                }
                rows.iter()
                    .for_each(|row| self.apply_row(row, store_returned, now));
            }
            TableChange::Rows(rows) => {
                rows.iter()
                    .for_each(|row| self.apply_row(row, store_returned, now));
            }
        }
    }

    fn apply_row(&self, row: &Row, store_returned: Option<Instant>, now: Instant) {
        let Some(value) = &row.value else {
            self.remove(&row.key, store_returned, now);
            return;
        };
        let record = match server::decode(value) {
            Ok(record) => record,
            Err(error) => {
                log::warn!(server = row.key, row_version = row.version;
                    "server row skipped: {error}");
                return;
            }
        };
        let mut by_id = self.by_id.borrow_mut();
        if let Some(known) = by_id.get(row.key.as_str())
            && is_same_life(&known.record.borrow(), &record)
        {
            known.lapse_ends.set(None);
            if *known.record.borrow() != record {
                log::info!(server = row.key, row_version = row.version,
                    state:? = record.state; "server changed");
                known.record.replace(record);
            }
            return;
        }
        log::info!(server = row.key, service = record.service, row_version = row.version,
            state:? = record.state; "server added");
        let server = Server::new(&row.key, record);
        by_id.insert(server.id.clone(), Rc::new(server));
    }

    fn remove(&self, id: &str, store_returned: Option<Instant>, now: Instant) {
        let mut by_id = self.by_id.borrow_mut();
        let Some(server) = by_id.get(id) else {
            return;
        };
        let returned =
            store_returned.filter(|at| now.saturating_duration_since(*at) < LAPSE_WINDOW);
        let is_draining = server.record.borrow().state == ServerState::Draining;
        if let Some(returned) = returned
            && !is_draining
        {
            if server.lapse_ends.get().is_none() {
                server.lapse_ends.set(Some(returned + LAPSE_GRACE));
                log::info!(server = id; "server row is missing after an absence of the store");
            }
            return;
        }
        by_id.shift_remove(id);
        log::info!(server = id; "server removed");
    }

    /// Removes the servers whose rows did not come back after a disturbance of the store.
    pub fn remove_lapsed(&self, now: Instant) {
        self.by_id.borrow_mut().retain(|id, server| {
            let is_gone = server.lapse_ends.get().is_some_and(|end| now >= end);
            if is_gone {
                log::info!(server = &**id; "server removed: its row did not come back");
            }
            !is_gone
        });
    }

    /// The most recent loads, for other gateways.
    ///
    /// With many gateways, each one hears too seldom from each server to know its load.
    pub fn shared_loads(&self, now: Instant) -> Vec<SharedLoad> {
        let by_id = self.by_id.borrow();
        let reports = by_id.values().filter_map(|server| {
            let (load, age) = server.reported_load(now)?;
            (age < REPORT_LIFETIME).then_some((server, load, age))
        });
        let mut reports: Vec<_> = reports.collect();
        if reports.len() > SHARED_LOADS {
            reports.select_nth_unstable_by_key(SHARED_LOADS, |(_, _, age)| *age);
            reports.truncate(SHARED_LOADS);
        }
        let shared = reports.into_iter().map(|(server, load, age)| SharedLoad {
            server_id: server.id.to_string(),
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            age_ms: age.as_millis() as u32,
        });
        shared.collect()
    }

    /// Takes over the loads that are newer than the known ones.
    pub fn merge_loads(&self, loads: &[SharedLoad], now: Instant) {
        let by_id = self.by_id.borrow();
        for load in loads {
            let Some(server) = by_id.get(load.server_id.as_str()) else {
                continue;
            };
            let age = Duration::from_millis(u64::from(load.age_ms));
            let Some(made) = now.checked_sub(age) else {
                continue;
            };
            let is_newer = server.report.get().is_none_or(|(_, known)| made > known);
            if is_newer {
                let reported = ReportedLoad {
                    running: load.running,
                    waiting: load.waiting,
                    slots: load.slots,
                };
                server.set_report(reported, made);
            }
        }
    }

    /// The servers of a service.
    pub fn of_service(&self, service: &str) -> Vec<Rc<Server>> {
        let by_id = self.by_id.borrow();
        let servers = by_id.values();
        servers
            .filter(|server| server.record.borrow().service == service)
            .cloned()
            .collect()
    }

    /// What the placement needs to know of a server.
    pub fn candidate<'a>(
        &self,
        server: &'a Server,
        connection_limit: u32,
        now: Instant,
    ) -> Candidate<'a> {
        let domain = &server.record.borrow().failure_domain;
        let own_domain = self.own_domain.as_deref();
        Candidate {
            server_id: &server.id,
            load: server.load(now),
            is_allowed: server.is_allowed(connection_limit, now),
            is_near: own_domain == Some(domain.as_str()),
        }
    }
}

/// Whether two descriptions under one id are of the same start of a server.
fn is_same_life(known: &ServerRecord, new: &ServerRecord) -> bool {
    known.started_unix_ms == new.started_unix_ms
        && known.address == new.address
        && known.service == new.service
}
