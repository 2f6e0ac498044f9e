//! An entry process: its parts, how they start, and how they stop.

pub mod background;
pub mod orders;
mod reconciliation;

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexSet;

use crate::connection::engine::EngineClient;
use crate::connection::http_client::HttpClient;
use crate::connection::http_server::{self, HttpLimits, Server};
use crate::connection::peer::{self, EndpointError, PeerEndpoint, PeerIdentity, PeerServer, Peers};
use crate::connection::platform::PlatformClient;
use crate::connection::tool::ToolClient;
use crate::ids::BackendServerId;
use crate::process::config_watch::ConfigWatch;
use crate::process::journal::Journal;
use crate::process::membership::Membership;
use crate::process::metrics::Metrics;
use crate::process::retry_budget::RetryBudget;
use crate::process::routing::placement::ConfiguredPlacement;
use crate::process::routing::{Router, RouterOptions};
use crate::process::rows::EntryState;
use crate::process::settings::Settings;
use crate::process::slots::manager::SlotManager;
use crate::process::slots::{Slots, placement};
use crate::process::timer::TimerService;
use crate::request::dispatch::Dispatcher;
use crate::version::config::Config;
use crate::version::key_index::KeyIndexCache;

/// The result of starting an entry.
pub type Result<T> = std::result::Result<T, StartError>;

/// Why an entry did not start.
#[derive(Debug)]
pub enum StartError {
    /// The listener for callers could not be opened.
    Listen(std::net::SocketAddr, std::io::Error),
    /// The endpoint for peers could not be opened.
    Peers(EndpointError),
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::Listen(address, _) => {
                write!(
                    formatter,
                    "could not listen on {address}; check `http_address`"
                )
            }
            StartError::Peers(_) => formatter.write_str("could not open the peer endpoint"),
        }
    }
}

impl std::error::Error for StartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StartError::Listen(_, error) => Some(error),
            StartError::Peers(error) => Some(error),
        }
    }
}

/// Longest control call to an engine or status query of a tool.
const CONTROL_TIME: Duration = Duration::from_secs(2);
/// Time for peers to learn that their connections are closed.
const CLOSE_TIME: Duration = Duration::from_secs(2);
/// Time for the scan that shows the others that this entry leaves.
const NOTICE_MARGIN: Duration = Duration::from_millis(100);

/// What all requests of an entry share.
pub struct Entry {
    /// The settings of the process.
    pub settings: Rc<Settings>,
    /// The source of time.
    pub timer: TimerService,
    /// The platform.
    pub platform: PlatformClient,
    /// Connections to plain services.
    pub http: HttpClient,
    /// The journal of this entry.
    pub journal: Journal,
    /// The slots that this entry holds.
    pub slots: Rc<Slots>,
    /// Moves slots.
    pub manager: Rc<SlotManager>,
    /// The other entries.
    pub membership: Membership,
    /// Connections to the other entries.
    pub peers: Peers,
    /// The configuration in force.
    pub config: ConfigWatch,
    /// The keys of the configuration in force.
    pub keys: KeyIndexCache,
    /// Connections to engines.
    pub engines: EngineClient,
    /// Connections to tools.
    pub tools: ToolClient,
    /// The choice of engines.
    pub router: Router,
    /// Bounds retries.
    pub retry_budget: RetryBudget,
    /// Requests in progress.
    pub requests: Cell<usize>,
    /// The metrics of the process.
    pub metrics: Metrics,
}

/// A running entry.
pub struct RunningEntry {
    entry: Rc<Entry>,
    server: Server,
    peer_server: PeerServer,
    endpoint: PeerEndpoint,
}

impl RunningEntry {
    /// Starts all parts on the current runtime.
    pub fn start(settings: Settings, metrics: Metrics) -> Result<Self> {
        let settings = Rc::new(settings);
        let timer = TimerService::start();
        let identity = PeerIdentity::load(&settings).map_err(StartError::Peers)?;
        let endpoint = PeerEndpoint::open(settings.peer_address, &identity, timer.clone())
            .map_err(StartError::Peers)?;
        let entry = Rc::new(Entry::new(
            settings.clone(),
            timer.clone(),
            endpoint.clone(),
            metrics,
        ));
        let dispatcher = Rc::new(Dispatcher::new(entry.clone()));
        let address = settings.http_address;
        let server = http_server::serve(address, HttpLimits::default(), timer, dispatcher.clone())
            .map_err(|error| StartError::Listen(address, error))?;
        let peer_server = peer::serve(&endpoint, dispatcher);
        entry.journal.start(entry.slots.clone());
        entry.manager.start();
        background::start(&entry);
        Ok(Self {
            entry,
            server,
            peer_server,
            endpoint,
        })
    }

    /// The address that callers connect to.
    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address()
    }

    /// Shuts down gracefully: no request in progress is cut off unless the shutdown limit, which
    /// holds for all steps together, is reached.
    ///
    /// The row says `leaving` before anything else, so that no entry sends new work here, and the
    /// slots are released before the listener closes, so that requests which still arrive can be
    /// forwarded to the new holders.
    pub async fn shut_down(self) {
        let entry = &self.entry;
        let deadline = entry.timer.now() + entry.settings.shutdown_limit;
        let left = || deadline.saturating_duration_since(entry.timer.now());
        self.server.leave();
        let release = async {
            entry.manager.set_state(EntryState::Leaving).await;
            // The others see the state in their next scan, and then take each slot once it is free.
            let notice = entry.settings.membership_interval + NOTICE_MARGIN;
            entry.timer.sleep(notice).await;
            entry.manager.leave();
            entry.manager.wait_until_released().await;
        };
        if entry.timer.timeout(left(), release).await.is_err() {
            log::warn!("not all slots were released within the shutdown limit");
        }
        let stopped = entry.timer.timeout(left(), self.server.stop()).await;
        if stopped.is_err() {
            log::warn!("some requests were still in progress at the shutdown limit");
        }
        self.peer_server.stop(left()).await;
        if entry.slots.held().is_empty() {
            let closed = entry.manager.set_state(EntryState::Closed);
            // Another entry recovers this one if its row cannot be closed.
            let limit = left().max(CLOSE_TIME);
            if entry.timer.timeout(limit, closed).await.is_err() {
                log::warn!("the row of the entry was not closed; another entry recovers it");
            }
        }
        self.endpoint.close(CLOSE_TIME).await;
        log::info!("entry stopped");
    }
}

impl Entry {
    fn new(
        settings: Rc<Settings>,
        timer: TimerService,
        endpoint: PeerEndpoint,
        metrics: Metrics,
    ) -> Self {
        let http = HttpClient::new(timer.clone());
        let platform = PlatformClient::new(
            http.clone(),
            settings.platform_address,
            settings.platform_call,
        );
        let journal = Journal::new(platform.clone(), timer.clone(), settings.clone());
        let slots = Rc::new(Slots::new(settings.slot_count));
        let membership = Membership::start(
            platform.clone(),
            timer.clone(),
            settings.membership_interval,
            settings.lease_ttl,
        );
        let manager = SlotManager::new(
            slots.clone(),
            journal.clone(),
            platform.clone(),
            membership.clone(),
            timer.clone(),
            settings.clone(),
        );
        let config = ConfigWatch::start(platform.clone(), timer.clone(), settings.config_interval);
        let options = RouterOptions::default();
        let router = Router::new(
            timer.clone(),
            options,
            ConfiguredPlacement::new(rand::random()),
        );
        Self {
            engines: EngineClient::new(http.clone(), CONTROL_TIME),
            tools: ToolClient::new(http.clone(), CONTROL_TIME),
            peers: Peers::new(endpoint),
            keys: KeyIndexCache::default(),
            retry_budget: RetryBudget::default(),
            requests: Cell::new(0),
            metrics,
            settings,
            timer,
            platform,
            http,
            journal,
            slots,
            manager,
            membership,
            config,
            router,
        }
    }

    /// The engines that this entry looks after, by rendezvous hashing over the live entries.
    fn responsible_for(&self, config: &Config) -> IndexSet<BackendServerId> {
        let candidates = self.manager.candidates();
        let is_own = |id: &&BackendServerId| {
            let ids = candidates.iter().map(|id| &**id);
            placement::backend_server_owner(id, ids) == Some(&*self.settings.entry_id)
        };
        let engines = config.backend_servers.keys();
        engines.filter(is_own).cloned().collect()
    }
}
