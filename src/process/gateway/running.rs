//! The gateway process: starts the listeners and background tasks, and shuts them down.
//!
//! On shutdown the directory first stops returning this gateway. Because callers cache addresses,
//! the listener keeps accepting connections for a grace period; then requests in flight and pending
//! rows are completed within the shutdown limit.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sapphireford_platform::operator;
use sapphireford_platform::store::Row;

use super::budget::AdmissionController;
use super::crash_reports::Verdict;
use super::directory::Directory;
use super::fingerprint::RequestIdentity;
use super::history::History;
use super::ledger::Ledger;
use super::rate_limits::RateLimits;
use super::server_path::ServerPath;
use super::servers::Servers;
use super::settings::GatewaySettings;
use super::store::Store;
use super::stream_origins::StreamOrigins;
use super::watch::TableChange;
use super::writer::StoreWriter;
use crate::connection::http_client::{ClientLimits, HttpClient};
use crate::connection::http_server::{self, Handler, HttpLimits, Server};
use crate::error::{Error, ErrorKind};
use crate::process::metrics::{self, Metrics};
use crate::process::overload::control::OverloadControl;
use crate::process::teams::config_age::{ConfigAge, ProofSource};
use crate::process::teams::limits::TeamLimits;
use crate::process::timer::TimerService;
use crate::request::gateway::dispatch::GatewayDispatcher;
use crate::version::route_table::RouteTable;
use handlers::{DirectoryHandler, MetricsHandler, PeerHandler, ReadinessHandler};

mod background;
mod handlers;

/// The result of starting a gateway.
pub type Result<T> = std::result::Result<T, StartError>;

/// Why a gateway did not start.
#[derive(Debug)]
pub enum StartError {
    /// A listener could not be opened.
    Listen(&'static str, SocketAddr, std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let StartError::Listen(setting, address, _) = self;
        write!(
            formatter,
            "could not listen on {address}; check `{setting}`"
        )
    }
}

impl std::error::Error for StartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        let StartError::Listen(_, _, error) = self;
        Some(error)
    }
}

/// Limits of the connections to backend servers, peers and the store, which are about a millisecond
/// away.
const CLIENT_LIMITS: ClientLimits = ClientLimits {
    connect_timeout: Duration::from_millis(400),
    keepalive_interval: Some(Duration::from_secs(1)),
    // All gateways share the connections that a server accepts. If a gateway loses power, its
    // connections count at the server until the server notices.
    max_idle_per_address: 4,
};
/// Timeout of idle caller connections. It is longer than operators let callers keep them.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(90);
/// Time for which callers may cache a lookup answer.
const LOOKUP_TTL: Duration = Duration::from_secs(1);
/// Time after the request to stop in which new connections are accepted: callers cache addresses
/// for up to three times the TTL of an answer.
const ACCEPT_GRACE_PERIOD: Duration = Duration::from_millis(3_500);
/// Part of the shutdown limit that is reserved for making the last rows durable.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);
/// Part of the shutdown limit that is reserved for the process to exit.
const EXIT_RESERVE: Duration = Duration::from_millis(500);
/// Time without a successful call to the store after which this gateway is not returned to callers.
/// Without requests, only the calls of the change feeds show contact, which last two seconds.
const STORE_CONTACT_TIMEOUT: Duration = Duration::from_millis(3_500);

/// State shared by all requests of a gateway.
pub struct Gateway {
    /// Clock, timers and timeouts of all parts.
    pub timer: TimerService,
    /// Connections to backend servers, peers and the store.
    pub http: HttpClient,
    /// Client of the platform's store.
    pub store: Store,
    /// Admits turns of programs against their token budgets.
    pub budgets: AdmissionController,
    /// Reads and writes the turns of conversations.
    pub history: History,
    /// Reads and writes which software version began a stream.
    pub stream_origins: StreamOrigins,
    /// Registry of the backend servers.
    pub servers: Rc<Servers>,
    /// Whether this gateway reaches the backend servers.
    pub server_path: Rc<ServerPath>,
    /// Keeps the request rates that backend servers limit.
    pub rate_limits: RateLimits,
    /// Refuses first turns of programs while services are overloaded.
    pub overload: OverloadControl,
    /// Whether the keys of the active configuration may be used.
    pub config_age: Rc<ConfigAge>,
    /// Keeps the limits of teams.
    pub team_limits: Rc<TeamLimits>,
    /// Directory of the live gateways.
    pub directory: Rc<Directory>,
    routes: RefCell<Option<Rc<RouteTable>>>,
    metrics: Metrics,
    lookup_ttl: Duration,
    /// Whether the peers have been asked what they have heard from the servers.
    has_asked_peers: Cell<bool>,
    is_stopped: Cell<bool>,
}

impl Gateway {
    /// The active configuration; `None` until the first one is read.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Whether the ids in the message of a peer can be used: with teams in the configuration, they
    /// must be qualified by the team.
    fn accepts_ids(&self, are_qualified: bool) -> bool {
        let has_teams = self.routes().is_some_and(|routes| routes.teams.is_some());
        are_qualified || !has_teams
    }

    /// Activates a configuration unless it is older than the active one.
    ///
    /// Versions of rows order what was read: a response may arrive after that of a later call.
    pub fn apply_config(&self, row: &Row, source: ProofSource) {
        if source == ProofSource::Feed {
            self.config_age.record_feed_row(row.version);
        }
        if !self.config_age.is_newer(row.version) {
            return;
        }
        // Reads are repeated, and the change feed brings the row as well.
        let level = |level| match source {
            ProofSource::Read => log::Level::Debug,
            _ => level,
        };
        let Some(value) = &row.value else {
            self.config_age.skip(source, row.version);
            log::log!(level(log::Level::Warn), row_version = row.version; "configuration row was removed, the last configuration stays active");
            return;
        };
        let config = match operator::decode(value) {
            Ok(config) => config,
            Err(error) => {
                self.config_age.skip(source, row.version);
                log::log!(level(log::Level::Error), row_version = row.version; "configuration skipped, it could not be decoded: {error}");
                return;
            }
        };
        let previous = self.routes().map(|routes| routes.version);
        if previous.is_some_and(|previous| previous >= config.version) {
            self.config_age.skip(source, row.version);
            log::log!(level(log::Level::Warn), row_version = row.version, config_version = config.version, previous_version = previous.unwrap_or(0); "configuration skipped, its version is not higher than that of the active one");
            return;
        }
        for skipped in &config.skipped {
            log::warn!(config_version = config.version; "part of the configuration skipped, it could not be decoded: {skipped}");
        }
        let teams = config.teams.as_ref().map_or(0, Vec::len);
        log::info!(config_version = config.version, previous_version = previous.unwrap_or(0), routes = config.routes.len(), services = config.services.len(), teams = teams; "configuration activated");
        ::metrics::gauge!(metrics::CONFIG_VERSION).set(config.version as f64);
        let table = RouteTable::from(config);
        for (team, other) in table.teams.iter().flat_map(|teams| teams.ambiguous()) {
            log::error!(config_version = table.version, team = &**team, other = &**other; "two teams have a key in common, which identifies neither of them");
        }
        let has_teams = table.teams.is_some();
        let table = Rc::new(table);
        self.team_limits.set_config(table.clone());
        self.routes.replace(Some(table));
        self.overload.set_has_teams(has_teams);
        self.config_age.activate(row.version, has_teams);
    }

    fn apply_operator_rows(&self, change: TableChange) {
        let (rows, source) = match change {
            TableChange::Snapshot(rows) => (rows, ProofSource::Snapshot),
            TableChange::Rows(rows) => (rows, ProofSource::Feed),
        };
        let configs = rows.iter().filter(|row| row.key == operator::CONFIG_KEY);
        if source == ProofSource::Snapshot && configs.clone().next().is_none() {
            self.config_age.record_absence();
        }
        configs.for_each(|row| self.apply_config(row, source));
    }

    /// Whether this gateway knows what it needs to serve a request: the configuration, the backend
    /// servers and, if they can be learned, the other gateways. It has then reached the store as
    /// well.
    pub fn is_informed(&self) -> bool {
        self.routes.borrow().is_some() && self.servers.is_loaded() && self.has_asked_peers.get()
    }

    /// The error for a request that crashes servers, or is suspected to; `None` if it may be sent.
    pub fn crash_refusal(&self, identity: &RequestIdentity) -> Option<Error> {
        match self.servers.crash_reports.verdict(identity, Instant::now()) {
            Verdict::MayRun => None,
            Verdict::Wait(delay) => {
                let message = "backend servers crashed while they ran this request, and it is not \
                               known yet whether it is the cause; retry later";
                let error = Error::new(ErrorKind::NoBackendServer, message);
                Some(error.with_retry_after(delay))
            }
            Verdict::Refused(crashes) => {
                let message = format!(
                    "{crashes} backend servers crashed while they ran this request, so it is not \
                     sent to another one; do not repeat it"
                );
                Some(Error::new(ErrorKind::CrashesServers, message))
            }
        }
    }

    /// Records that the peers have been asked, or cannot be learned in time.
    pub fn record_peers_asked(&self) {
        self.has_asked_peers.set(true);
    }

    fn is_ready(&self) -> bool {
        self.is_informed() && !self.directory.is_leaving() && !self.is_stopped.get()
    }

    /// Whether this gateway can serve requests that a peer relays.
    async fn can_help(&self) -> bool {
        self.is_ready() && self.server_path.check().await
    }

    /// Whether lookups may return this gateway to callers.
    fn can_serve(&self, now: Instant) -> bool {
        let last_success = self.store.last_success();
        let is_store_reachable = last_success
            .is_some_and(|success| now.saturating_duration_since(success) < STORE_CONTACT_TIMEOUT);
        self.is_ready()
            && is_store_reachable
            && !self.server_path.is_lost()
            && self.config_age.may_serve()
    }
}

/// A running gateway.
pub struct RunningGateway {
    gateway: Rc<Gateway>,
    settings: GatewaySettings,
    writer: StoreWriter,
    ledger: Ledger,
    caller_server: Server,
    /// Receives requests of callers that peers relay, among other calls.
    peer_server: Server,
}

impl RunningGateway {
    /// Starts all listeners and background tasks on the current runtime.
    pub fn start(settings: GatewaySettings, metrics: Metrics, timer: TimerService) -> Result<Self> {
        let http = HttpClient::with_limits(timer.clone(), CLIENT_LIMITS);
        let relays = Rc::new(RefCell::new(Vec::new()));
        let store = Store::new(http.clone(), settings.store_address, relays.clone());
        let writer = StoreWriter::start(store.clone());
        let directory = Rc::new(Directory::new(&settings, relays));
        let servers = Rc::new(Servers::new(settings.failure_domain.clone()));
        let ledger = Ledger::new(store.clone(), writer.clone(), directory.writer_id());
        let history = History::new(store.clone(), writer.clone(), settings.row_limit_bytes);
        let budgets = AdmissionController::new(
            ledger.clone(),
            http.clone(),
            directory.clone(),
            servers.clone(),
            history.cache(),
        );
        let rate_limits = RateLimits::new(http.clone(), directory.clone(), servers.clone());
        let server_path = ServerPath::new(http.clone(), directory.clone(), servers.clone());
        let team_limits = TeamLimits::new(
            settings.team_limit_tolerance,
            http.clone(),
            store.clone(),
            directory.clone(),
        );
        let gateway = Rc::new(Gateway {
            timer: timer.clone(),
            budgets,
            http,
            history,
            stream_origins: StreamOrigins::new(store.clone(), writer.clone()),
            servers,
            server_path,
            rate_limits,
            overload: OverloadControl::default(),
            config_age: Rc::new(ConfigAge::new(settings.key_withdrawal_limit)),
            team_limits: Rc::new(team_limits),
            directory,
            routes: RefCell::default(),
            metrics,
            lookup_ttl: LOOKUP_TTL.min(settings.lookup_lifetime_limit),
            has_asked_peers: Cell::new(false),
            is_stopped: Cell::new(false),
            store,
        });
        let RequestServers {
            caller_server,
            peer_server,
        } = start_listeners(&gateway, &settings)?;
        background::start_tasks(&gateway, &writer, &ledger);
        Ok(Self {
            gateway,
            ledger,
            settings,
            writer,
            caller_server,
            peer_server,
        })
    }

    /// The address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.caller_server.address()
    }

    /// Shuts down gracefully: no request in flight is cut off before the shutdown limit.
    ///
    /// The directory stops returning this gateway first. The listener stays open for as long as
    /// callers may still use its address.
    pub async fn shut_down(self) {
        let timer = &self.gateway.timer;
        let started = timer.now();
        let deadline = started
            + self
                .settings
                .shutdown_limit
                .saturating_sub(FLUSH_TIMEOUT + EXIT_RESERVE);
        self.gateway.directory.leave();
        let team_limits = self.gateway.team_limits.clone();
        monoio::spawn(async move { team_limits.release().await });
        self.caller_server.disable_keep_alive();
        timer.sleep(ACCEPT_GRACE_PERIOD).await;
        if timer
            .timeout_at(deadline, self.caller_server.stop())
            .await
            .is_err()
        {
            log::warn!(connections = self.caller_server.open_connections(); "shutdown limit reached with requests still in flight");
        }
        // Peers may have relayed requests, which end before their deadlines. Peers settle turns
        // until then as well.
        let peers_stopped = timer.timeout_at(deadline, self.peer_server.stop()).await;
        if peers_stopped.is_err() {
            log::warn!(connections = self.peer_server.open_connections(); "shutdown limit reached with calls of peers still in flight");
        }
        self.gateway.is_stopped.set(true);
        self.ledger.close_all();
        if timer
            .timeout(FLUSH_TIMEOUT, self.writer.drained())
            .await
            .is_err()
        {
            log::warn!("shutdown limit reached with rows not yet durable");
        }
        log::info!("gateway stopped");
    }

    /// Applies changed settings. Addresses do not change until the next start.
    pub fn reload(&mut self, settings: GatewaySettings) {
        if settings == self.settings {
            log::info!("settings reloaded, nothing changed");
            return;
        }
        let is_address_changed = settings.caller_address != self.settings.caller_address
            || settings.store_address != self.settings.store_address
            || settings.peer_address != self.settings.peer_address;
        if is_address_changed {
            log::warn!("changed addresses take effect only at the next start");
        }
        log::info!(settings:? = settings; "settings reloaded");
        self.settings = settings;
    }
}

/// The listeners that receive requests of callers.
struct RequestServers {
    caller_server: Server,
    peer_server: Server,
}

fn start_listeners(gateway: &Rc<Gateway>, settings: &GatewaySettings) -> Result<RequestServers> {
    let limits = HttpLimits {
        header_timeout: CALLER_IDLE_TIMEOUT,
        ..HttpLimits::default()
    };
    listen(
        "readiness_address",
        settings.readiness_address,
        limits,
        gateway,
        ReadinessHandler(gateway.clone()),
    )?;
    listen(
        "directory_address",
        settings.directory_address,
        limits,
        gateway,
        DirectoryHandler(gateway.clone()),
    )?;
    let peer_handler = PeerHandler {
        gateway: gateway.clone(),
        dispatcher: GatewayDispatcher::new(gateway.clone()),
    };
    let peer_server = listen(
        "peer_address",
        settings.peer_address,
        limits,
        gateway,
        peer_handler,
    )?;
    listen(
        "metrics_address",
        settings.metrics_address,
        limits,
        gateway,
        MetricsHandler(gateway.clone()),
    )?;
    let caller_server = listen(
        "caller_address",
        settings.caller_address,
        limits,
        gateway,
        GatewayDispatcher::new(gateway.clone()),
    )?;
    Ok(RequestServers {
        caller_server,
        peer_server,
    })
}

fn listen<H: Handler>(
    setting: &'static str,
    address: SocketAddr,
    limits: HttpLimits,
    gateway: &Rc<Gateway>,
    handler: H,
) -> Result<Server> {
    http_server::serve(address, limits, gateway.timer.clone(), Rc::new(handler))
        .map_err(|error| StartError::Listen(setting, address, error))
}
