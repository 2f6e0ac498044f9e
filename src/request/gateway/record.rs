//! The log line and the metrics of one request, emitted once when the record is dropped.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use crate::ids::{TeamId, VersionNumber};
use crate::process::gateway::fingerprint::Fingerprint;
use crate::process::gateway::placement::LoadPermille;
use crate::process::metrics;

/// What determined the outcome of a request. Dropping it writes the log line and the metrics, so
/// that requests whose caller disconnected are recorded as well.
pub struct RequestRecord {
    started_at: Instant,
    request_id: String,
    program_id: Option<String>,
    caller: String,
    fingerprint: Fingerprint,
    team: RefCell<Option<TeamId>>,
    route: RefCell<String>,
    config_version: Cell<VersionNumber>,
    servers: RefCell<Vec<String>>,
    notes: RefCell<Vec<String>>,
    /// Time from arrival until the turn was admitted by the ledger and its history was read.
    prepared_after: Cell<Option<Duration>>,
    first_event_after: Cell<Option<Duration>>,
    /// The stream that the request resumes, as the caller names it.
    resumed_stream: RefCell<String>,
    events: Cell<u64>,
    /// The status sent to the caller; 0 until [`RequestRecord::finish`].
    status: Cell<u16>,
    outcome: RefCell<String>,
}

/// A chosen server and the inputs of the choice, for the log.
#[derive(Clone, Copy, Debug)]
pub struct ServerChoice<'a> {
    /// The id under which the server is registered.
    pub server_id: &'a str,
    /// The version of its software.
    pub version: &'a str,
    /// The estimated load at the time of the choice.
    pub load: LoadPermille,
    /// The speed that the choice was based on; `None` if the server states none.
    pub speed_percent: Option<u32>,
    /// Age of the load report behind the estimate; `None` if the server has not reported.
    pub report_age: Option<Duration>,
    /// What the server was chosen by.
    pub basis: PlacementBasis,
    /// Whether the server completed the previous turn of the program and so has its prefix cached.
    pub holds_prefix: bool,
}

/// What a server is chosen by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementBasis {
    /// The topic of the request.
    Topic,
    /// The cached prefix of a model call.
    Prefix,
    /// The load alone.
    Load,
}

impl PlacementBasis {
    fn name(self) -> &'static str {
        match self {
            Self::Topic => "topic",
            Self::Prefix => "prefix",
            Self::Load => "load",
        }
    }
}

/// Outcome of a request that was dropped before [`RequestRecord::finish`], because its caller
/// disconnected.
const UNFINISHED_OUTCOME: &str = "caller left";

impl RequestRecord {
    /// Starts the record; its times count from now.
    pub fn new(
        request_id: String,
        program_id: Option<String>,
        caller: String,
        fingerprint: Fingerprint,
    ) -> Self {
        Self {
            started_at: Instant::now(),
            request_id,
            program_id,
            caller,
            fingerprint,
            team: RefCell::default(),
            route: RefCell::default(),
            config_version: Cell::new(0),
            servers: RefCell::default(),
            notes: RefCell::default(),
            prepared_after: Cell::new(None),
            first_event_after: Cell::new(None),
            resumed_stream: RefCell::default(),
            events: Cell::new(0),
            status: Cell::new(0),
            outcome: RefCell::new(UNFINISHED_OUTCOME.to_string()),
        }
    }

    /// When the record was created, on arrival of the request.
    pub fn started_at(&self) -> Instant {
        self.started_at
    }

    /// Sets the team of the caller.
    pub fn set_team(&self, team: TeamId) {
        self.team.replace(Some(team));
    }

    /// Sets the matched route and the configuration version that it belongs to.
    pub fn set_route(&self, route: &str, config_version: VersionNumber) {
        self.route.replace(route.to_string());
        self.config_version.set(config_version);
    }

    /// Sets the stream that the request resumes: the attempt that brought its first event, and the
    /// last event that the caller has received.
    pub fn set_resumed_stream(&self, request_id: Option<&str>, last_event_id: u64) {
        let request_id = request_id.unwrap_or("unnamed");
        let text = format!("{request_id} after event {last_event_id}");
        self.resumed_stream.replace(text);
    }

    /// Adds a server that was chosen for an attempt.
    pub fn add_server(&self, choice: &ServerChoice<'_>) {
        let ServerChoice {
            server_id,
            version,
            load,
            speed_percent,
            report_age,
            basis,
            holds_prefix,
        } = choice;
        let age = report_age.map_or("none".to_string(), |age| age.as_millis().to_string());
        let mut text = format!("{server_id} version={version} load={load} report_age_ms={age}");
        if let Some(speed_percent) = speed_percent {
            text.push_str(&format!(" speed={speed_percent}"));
        }
        text.push_str(" by=");
        text.push_str(basis.name());
        let speed = match speed_percent {
            Some(_) => "used",
            None => "none",
        };
        let labels = [
            ("route", self.route.borrow().clone()),
            ("by", basis.name().to_string()),
            ("speed", speed.to_string()),
        ];
        ::metrics::counter!(metrics::PLACEMENTS, &labels).increment(1);
        if *holds_prefix {
            text.push_str(" holds_prefix");
        }
        self.servers.borrow_mut().push(text);
    }

    /// Adds a note to the log line, such as why an attempt failed.
    pub fn note(&self, note: impl Into<String>) {
        self.notes.borrow_mut().push(note.into());
    }

    /// Sets the time at which the turn was ready to be sent to a server.
    pub fn mark_prepared(&self) {
        self.prepared_after.set(Some(self.started_at.elapsed()));
    }

    /// Counts an event that is forwarded to the caller. The first one sets the time to the first
    /// token.
    pub fn add_event(&self) {
        self.events.set(self.events.get() + 1);
        if self.first_event_after.get().is_none() {
            let elapsed = self.started_at.elapsed();
            self.first_event_after.set(Some(elapsed));
            ::metrics::histogram!(metrics::FIRST_TOKEN_SECONDS).record(elapsed.as_secs_f64());
        }
    }

    /// Whether an event was forwarded to the caller.
    pub fn has_events(&self) -> bool {
        self.events.get() > 0
    }

    /// Sets the final status and outcome. If it is never called, the outcome is that the caller
    /// disconnected.
    pub fn finish(&self, status: u16, outcome: impl Into<String>) {
        self.status.set(status);
        self.outcome.replace(outcome.into());
    }
}

fn millis_or_minus_one(duration: Option<Duration>) -> i64 {
    duration.map_or(-1, |duration| duration.as_millis() as i64)
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        let elapsed = self.started_at.elapsed();
        let route = self.route.borrow();
        let outcome = self.outcome.borrow();
        log::info!(
            request_id = self.request_id,
            program_id = self.program_id.as_deref().unwrap_or(""),
            caller = self.caller,
            team = self.team.borrow().as_deref().unwrap_or(""),
            fingerprint:% = self.fingerprint,
            route = *route,
            config_version = self.config_version.get(),
            servers:? = *self.servers.borrow(),
            notes:? = *self.notes.borrow(),
            prepared_ms = millis_or_minus_one(self.prepared_after.get()),
            first_event_ms = millis_or_minus_one(self.first_event_after.get()),
            resumes = *self.resumed_stream.borrow(),
            events = self.events.get(),
            total_ms = elapsed.as_millis() as u64,
            status = self.status.get(),
            outcome = *outcome;
            "request ended"
        );
        let labels = [
            ("route", route.clone()),
            ("status", self.status.get().to_string()),
        ];
        ::metrics::counter!(metrics::REQUESTS, &labels).increment(1);
        ::metrics::histogram!(metrics::REQUEST_SECONDS, "route" => route.clone())
            .record(elapsed.as_secs_f64());
    }
}
