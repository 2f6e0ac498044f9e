//! A gateway process: its parts, how they start, and how they stop.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Request, Response, StatusCode};
use sapphireford_platform::directory::{
    Lookup, LookupAnswer, MAX_ADDRESSES, READY_PATH, RESOLVE_PATH,
};
use sapphireford_platform::operator;
use sapphireford_platform::store::{OPERATOR_TABLE, Row, SERVER_TABLE};

use super::budget::Budgets;
use super::directory::{self, Directory};
use super::history::History;
use super::ledger::Ledger;
use super::peers::{self, PeerCall};
use super::servers::Servers;
use super::settings::GatewaySettings;
use super::store::Store;
use super::watch::{TableChange, watch_table};
use super::writer::StoreWriter;
use crate::connection::body::Body;
use crate::connection::http_client::{ClientLimits, HttpClient};
use crate::connection::http_server::{self, Handler, HttpLimits, Server, json_response};
use crate::process::metrics::{self, Metrics};
use crate::process::timer::TimerService;
use crate::request::gateway::dispatch::GatewayDispatcher;
use crate::version::route_table::RouteTable;

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

/// Limits of the connections to servers, peers and the store, which are a millisecond away.
const CLIENT_LIMITS: ClientLimits = ClientLimits {
    connect_timeout: Duration::from_millis(400),
    keepalive_interval: Some(Duration::from_secs(1)),
    // All gateways share the connections that a server accepts. Those of a gateway that loses power
    // count at the server until it notices.
    max_idle_per_address: 4,
};
/// Idle connections of callers stay open for longer than operators let callers keep them.
const CALLER_IDLE_TIME: Duration = Duration::from_secs(90);
/// Time for which callers may keep an answer of the directory.
const LOOKUP_LIFETIME: Duration = Duration::from_secs(1);
/// Time after the request to stop in which new connections are accepted: callers keep addresses for
/// up to three times the lifetime of an answer.
const LINGER_TIME: Duration = Duration::from_millis(3_500);
/// Part of the shutdown limit that is left for the last rows to become durable.
const FLUSH_TIME: Duration = Duration::from_millis(500);
/// Part of the shutdown limit that is left for the process to end.
const EXIT_TIME: Duration = Duration::from_millis(500);
/// Pause between two rounds of upkeep.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a successful call to the store after which this gateway is not handed out.
const STORE_LOST_TIME: Duration = Duration::from_millis(2_500);

/// What all requests of a gateway share.
pub struct Gateway {
    /// The source of time.
    pub timer: TimerService,
    /// Connections to backend servers.
    pub http: HttpClient,
    /// The platform's store.
    pub store: Store,
    /// Admits turns of programs.
    pub budgets: Budgets,
    /// The turns of conversations.
    pub history: History,
    /// The backend servers.
    pub servers: Rc<Servers>,
    /// The other gateways.
    pub directory: Rc<Directory>,
    routes: RefCell<Option<Rc<RouteTable>>>,
    metrics: Metrics,
    lookup_lifetime: Duration,
    is_stopped: Cell<bool>,
}

impl Gateway {
    /// The configuration in force; `None` before the first one is known.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Takes over a configuration unless it is older than the one in force.
    fn apply_config(&self, row: &Row) {
        let Some(value) = &row.value else {
            log::warn!("the row of the configuration was removed; the last one stays in force");
            return;
        };
        let config = match operator::decode(value) {
            Ok(config) => config,
            Err(error) => {
                log::error!(row_version = row.version; "configuration skipped: {error}");
                return;
            }
        };
        let previous = self.routes().map(|routes| routes.version);
        if previous.is_some_and(|previous| previous >= config.version) {
            return;
        }
        for skipped in &config.skipped {
            log::warn!(config_version = config.version; "part of the configuration skipped: {skipped}");
        }
        log::info!(config_version = config.version, previous_version = previous.unwrap_or(0),
            routes = config.routes.len(), services = config.services.len();
            "configuration in force");
        ::metrics::gauge!(metrics::CONFIG_VERSION).set(config.version as f64);
        self.routes.replace(Some(Rc::new(RouteTable::from(config))));
    }

    fn apply_operator_rows(&self, change: TableChange) {
        let (TableChange::Snapshot(rows) | TableChange::Rows(rows)) = change;
        let configs = rows.iter().filter(|row| row.key == operator::CONFIG_KEY);
        configs.for_each(|row| self.apply_config(row));
    }

    fn is_ready(&self) -> bool {
        self.routes.borrow().is_some() && !self.directory.is_leaving() && !self.is_stopped.get()
    }

    /// Whether callers should be sent here.
    fn can_serve(&self, now: Instant) -> bool {
        let last_success = self.store.last_success();
        let is_store_reached = last_success
            .is_some_and(|success| now.saturating_duration_since(success) < STORE_LOST_TIME);
        self.is_ready() && is_store_reached
    }
}

/// Answers the readiness checks of the platform.
struct ReadinessHandler(Rc<Gateway>);

impl Handler for ReadinessHandler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        match request.uri().path() {
            READY_PATH if self.0.is_ready() => status(StatusCode::OK),
            READY_PATH => status(StatusCode::SERVICE_UNAVAILABLE),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

/// Answers callers that ask where to connect.
struct DirectoryHandler(Rc<Gateway>);

impl Handler for DirectoryHandler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        if request.uri().path() != RESOLVE_PATH {
            return status(StatusCode::NOT_FOUND);
        }
        let gateway = &self.0;
        let lookup = Lookup::decode(request.uri().query().unwrap_or_default());
        let now = Instant::now();
        let domain = &lookup.failure_domain;
        let can_serve = gateway.can_serve(now);
        let directory = &gateway.directory;
        let mut addresses = directory.caller_addresses(domain, can_serve, now);
        log::debug!(host = lookup.host, failure_domain = lookup.failure_domain,
            addresses = addresses.len(); "addresses looked up");
        addresses.truncate(MAX_ADDRESSES);
        let answer = LookupAnswer::new(addresses, gateway.lookup_lifetime);
        json_response(StatusCode::OK, &answer)
    }
}

/// Answers the other gateways.
struct PeerHandler(Rc<Gateway>);

impl Handler for PeerHandler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        let gateway = &self.0;
        match peers::decode_call(request) {
            Some(PeerCall::Relay(call)) => peers::relay_answer(gateway.store.relay(*call).await),
            Some(PeerCall::Admit(request)) => gateway.budgets.answer(request).await.encode(),
            Some(PeerCall::Settle(report)) => {
                gateway.budgets.record(report);
                status(StatusCode::OK)
            }
            None => status(StatusCode::NOT_FOUND),
        }
    }
}

/// Serves metrics.
struct MetricsHandler(Rc<Gateway>);

impl Handler for MetricsHandler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        match request.uri().path() {
            "/metrics" => Response::new(Body::full(self.0.metrics.render())),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// A running gateway.
pub struct RunningGateway {
    gateway: Rc<Gateway>,
    settings: GatewaySettings,
    writer: StoreWriter,
    ledger: Ledger,
    caller_server: Server,
}

impl RunningGateway {
    /// Starts all parts on the current runtime.
    pub fn start(settings: GatewaySettings, metrics: Metrics, timer: TimerService) -> Result<Self> {
        let http = HttpClient::with_limits(timer.clone(), CLIENT_LIMITS);
        let relays = Rc::new(RefCell::new(Vec::new()));
        let store = Store::new(http.clone(), settings.store_address, relays.clone());
        let writer = StoreWriter::start(store.clone());
        let directory = Rc::new(Directory::new(&settings, relays));
        let servers = Rc::new(Servers::new(settings.failure_domain.clone()));
        let ledger = Ledger::new(store.clone(), writer.clone(), directory.writer_id());
        let history = History::new(store.clone(), writer.clone(), settings.row_limit_bytes);
        let budgets = Budgets::new(
            ledger.clone(),
            http.clone(),
            directory.clone(),
            servers.clone(),
            history.cache(),
        );
        let gateway = Rc::new(Gateway {
            timer: timer.clone(),
            budgets,
            http,
            history,
            servers,
            directory,
            routes: RefCell::default(),
            metrics,
            lookup_lifetime: LOOKUP_LIFETIME.min(settings.lookup_lifetime_limit),
            is_stopped: Cell::new(false),
            store,
        });
        let caller_server = start_servers(&gateway, &settings)?;
        start_tasks(&gateway, &writer, &ledger);
        Ok(Self {
            gateway,
            ledger,
            settings,
            writer,
            caller_server,
        })
    }

    /// The address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.caller_server.address()
    }

    /// Shuts down gracefully: no request in progress is cut off before the shutdown limit.
    ///
    /// The directory stops handing this gateway out first. The listener stays open for as long as
    /// callers may still use its address.
    pub async fn shut_down(self) {
        let timer = &self.gateway.timer;
        let started = timer.now();
        let deadline = started
            + self
                .settings
                .shutdown_limit
                .saturating_sub(FLUSH_TIME + EXIT_TIME);
        self.gateway.directory.leave();
        self.caller_server.leave();
        timer.sleep(LINGER_TIME).await;
        if timer
            .timeout_at(deadline, self.caller_server.stop())
            .await
            .is_err()
        {
            log::warn!(connections = self.caller_server.connections();
                "some requests were still in progress at the shutdown limit");
        }
        self.gateway.is_stopped.set(true);
        self.ledger.close_all();
        if timer
            .timeout(FLUSH_TIME, self.writer.drained())
            .await
            .is_err()
        {
            log::warn!("some rows were not durable at the shutdown limit");
        }
        log::info!("gateway stopped");
    }

    /// Takes over changed settings. Addresses stay as they are until the next start.
    pub fn reload(&mut self, settings: GatewaySettings) {
        if settings == self.settings {
            log::info!("settings reloaded without a change");
            return;
        }
        let is_address_changed = settings.caller_address != self.settings.caller_address
            || settings.store_address != self.settings.store_address
            || settings.peer_address != self.settings.peer_address;
        if is_address_changed {
            log::warn!("changed addresses take effect at the next start");
        }
        log::info!(settings:? = settings; "settings reloaded");
        self.settings = settings;
    }
}

fn start_servers(gateway: &Rc<Gateway>, settings: &GatewaySettings) -> Result<Server> {
    let limits = HttpLimits {
        header_time: CALLER_IDLE_TIME,
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
    listen(
        "peer_address",
        settings.peer_address,
        limits,
        gateway,
        PeerHandler(gateway.clone()),
    )?;
    listen(
        "metrics_address",
        settings.metrics_address,
        limits,
        gateway,
        MetricsHandler(gateway.clone()),
    )?;
    let dispatcher = GatewayDispatcher::new(gateway.clone());
    listen(
        "caller_address",
        settings.caller_address,
        limits,
        gateway,
        dispatcher,
    )
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

fn start_tasks(gateway: &Rc<Gateway>, writer: &StoreWriter, ledger: &Ledger) {
    let store = gateway.store.clone();
    let config = gateway.clone();
    monoio::spawn(watch_table(store.clone(), OPERATOR_TABLE, move |change| {
        config.apply_operator_rows(change);
    }));
    let servers = gateway.clone();
    monoio::spawn(watch_table(store.clone(), SERVER_TABLE, move |change| {
        let store_returned = servers.store.last_return();
        servers
            .servers
            .apply(change, store_returned, Instant::now());
    }));
    let directory = gateway.directory.clone();
    monoio::spawn(directory::keep_up_to_date(directory, store, writer.clone()));
    let upkeep = gateway.clone();
    let ledger = ledger.clone();
    monoio::spawn(async move {
        let mut ticks = upkeep.timer.subscribe(UPKEEP_INTERVAL);
        loop {
            ticks.tick().await;
            upkeep.servers.remove_lapsed(Instant::now());
            ledger.close_idle(Instant::now());
            upkeep.metrics.run_upkeep();
        }
    });
}
