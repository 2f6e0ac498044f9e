//! The backend servers: which there are, whether they take requests, and how loaded they are.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use sapphireford_platform::answer::ReportedLoad;
use sapphireford_platform::server::{self, ServerRecord, ServerState};
use sapphireford_platform::store::Row;

use super::placement::{Candidate, LoadPermille};
use super::watch::TableChange;
use crate::ids::{BackendServerId, FailureDomainId};
use crate::process::breaker::Breaker;

/// Time for which a reported load counts. Later, only the own requests in progress are known.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_000);
/// A removed row counts as lapsed, not as left, if the store was disturbed this short a time ago.
const DISTURBANCE_WINDOW: Duration = Duration::from_millis(3_000);
/// Time within which the row of a living server is back after the store is.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);

/// A backend server.
pub struct Server {
    /// Names this life of the server.
    pub id: BackendServerId,
    record: RefCell<ServerRecord>,
    in_flight: Cell<u32>,
    report: Cell<Option<(ReportedLoad, Instant)>>,
    breaker: RefCell<Breaker>,
    /// Set while the server's row is missing after a disturbance of the store.
    lapsed_since: Cell<Option<Instant>>,
}

impl Server {
    fn new(id: &str, record: ServerRecord) -> Self {
        Self {
            id: id.into(),
            record: RefCell::new(record),
            in_flight: Cell::new(0),
            report: Cell::new(None),
            breaker: RefCell::default(),
            lapsed_since: Cell::new(None),
        }
    }

    /// Where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.record.borrow().address
    }

    /// Requests of this gateway that the server is processing.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.get()
    }

    /// Counts a request until the guard is dropped.
    pub fn start_request(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(self.clone())
    }

    /// Records the load that the server reported with an answer.
    pub fn record_load(&self, load: ReportedLoad) {
        self.report.set(Some((load, Instant::now())));
    }

    /// Records that the server answered as it should.
    pub fn record_success(&self) {
        self.breaker.borrow_mut().succeeded(Instant::now());
    }

    /// Records that the server failed a request or could not be reached.
    pub fn record_failure(&self) {
        self.breaker.borrow_mut().failed(Instant::now());
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
            Some((load, _)) => own.max(load.running.saturating_add(load.waiting)),
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

    /// Takes over what the store says. `disturbed` is when a call to the store last failed.
    pub fn apply(&self, change: TableChange, disturbed: Option<Instant>, now: Instant) {
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
                    self.remove(&id, disturbed, now);
                }
                rows.iter()
                    .for_each(|row| self.apply_row(row, disturbed, now));
            }
            TableChange::Rows(rows) => {
                rows.iter()
                    .for_each(|row| self.apply_row(row, disturbed, now));
            }
        }
    }

    fn apply_row(&self, row: &Row, disturbed: Option<Instant>, now: Instant) {
        let Some(value) = &row.value else {
            self.remove(&row.key, disturbed, now);
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
            known.lapsed_since.set(None);
            known.record.replace(record);
            log::info!(server = row.key, row_version = row.version; "server changed");
            return;
        }
        log::info!(server = row.key, service = record.service, row_version = row.version,
            state:? = record.state; "server added");
        let server = Server::new(&row.key, record);
        by_id.insert(server.id.clone(), Rc::new(server));
    }

    fn remove(&self, id: &str, disturbed: Option<Instant>, now: Instant) {
        let mut by_id = self.by_id.borrow_mut();
        let Some(server) = by_id.get(id) else {
            return;
        };
        let is_disturbed =
            disturbed.is_some_and(|at| now.saturating_duration_since(at) < DISTURBANCE_WINDOW);
        let is_draining = server.record.borrow().state == ServerState::Draining;
        if is_disturbed && !is_draining {
            if server.lapsed_since.get().is_none() {
                server.lapsed_since.set(Some(now));
                log::info!(server = id; "server row lapsed, kept for a moment");
            }
            return;
        }
        by_id.shift_remove(id);
        log::info!(server = id; "server removed");
    }

    /// Removes the servers whose rows did not come back after a disturbance of the store.
    pub fn remove_lapsed(&self, now: Instant) {
        self.by_id.borrow_mut().retain(|id, server| {
            let lapsed = server.lapsed_since.get();
            let is_gone = lapsed.is_some_and(|at| now.saturating_duration_since(at) >= LAPSE_GRACE);
            if is_gone {
                log::info!(server = &**id; "server removed: its row did not come back");
            }
            !is_gone
        });
    }

    /// Whether any server is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.borrow().is_empty()
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
