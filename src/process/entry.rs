//! An entry process: its state, startup and graceful shutdown.
//!
//! [`Entry`] holds what all requests share. [`RunningEntry`] starts the HTTP server for callers and
//! operators, the QUIC endpoint for peers and the background tasks, and stops them in the order
//! that keeps requests in flight alive.

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

/// The result of [`RunningEntry::start`].
pub type Result<T> = std::result::Result<T, StartError>;

/// A failure that keeps an entry from starting.
#[derive(Debug)]
pub enum StartError {
    /// The HTTP listener for callers could not be opened.
    Listen(std::net::SocketAddr, std::io::Error),
    /// The peer identity could not be loaded or the peer endpoint could not be opened.
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

/// Longest wait for a control call to an engine or a status query of a tool.
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for peers to learn that their connections are closed, and the minimum limit for closing the
/// row of this entry.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Added to the membership interval for the duration of the scan in which the other entries see
/// that this entry is leaving.
const MEMBERSHIP_SCAN_MARGIN: Duration = Duration::from_millis(100);

/// State of an entry that all its requests share.
pub struct Entry {
    /// Fixed for the life of the process.
    pub settings: Rc<Settings>,
    /// Clock and timers of the process.
    pub timer: TimerService,
    /// Client of the platform's table, object store and list of VMs.
    pub platform: PlatformClient,
    /// Client of the services. Each call has a connection of its own, because the answers do not
    /// tell which call they belong to.
    pub service_http: HttpClient,
    /// Persists the events of the slots that this entry holds, and renews its lease.
    pub journal: Journal,
    /// The slots that this entry holds, with their conversations.
    pub slots: Rc<Slots>,
    /// Acquires, releases and recovers slots.
    pub slot_manager: Rc<SlotManager>,
    /// Entry rows and VMs as of the last scan; includes this entry.
    pub membership: Membership,
    /// Connections to other entries, opened on demand.
    pub peers: Peers,
    /// The configuration in force; changes while the process runs.
    pub config: ConfigWatch,
    /// Index of the caller and operator keys, rebuilt for each configuration version.
    pub keys: KeyIndexCache,
    /// Client of the engines.
    pub engines: EngineClient,
    /// Client of the tools.
    pub tools: ToolClient,
    /// Selects the engine of each model call.
    pub router: Router,
    /// Limits retries to a share of the requests.
    pub retry_budget: RetryBudget,
    /// Number of team requests in flight, up to the point where their answers begin.
    pub in_flight_requests: Cell<usize>,
    /// Renders the metrics of the process.
    pub metrics: Metrics,
}

/// A started entry, with the servers that [`RunningEntry::shut_down`] stops.
pub struct RunningEntry {
    entry: Rc<Entry>,
    server: Server,
    peer_server: PeerServer,
    endpoint: PeerEndpoint,
}

impl RunningEntry {
    /// Starts the servers and all background tasks on the current runtime.
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
        entry.slot_manager.start();
        background::start(&entry);
        Ok(Self {
            entry,
            server,
            peer_server,
            endpoint,
        })
    }

    /// The bound address of the HTTP listener for callers.
    pub fn address(&self) -> std::net::SocketAddr {
        self.server.address()
    }

    /// Shuts down gracefully: requests in flight are aborted only when the shutdown limit, which
    /// applies to all steps together, is reached.
    ///
    /// The entry row is set to `leaving` first, so that no other entry sends new work here. The
    /// slots are released before the listener closes, so that requests which still arrive can be
    /// forwarded to the new holders.
    pub async fn shut_down(self) {
        let entry = &self.entry;
        let deadline = entry.timer.now() + entry.settings.shutdown_limit;
        let remaining = || deadline.saturating_duration_since(entry.timer.now());
        self.server.disable_keep_alive();
        let release_slots = async {
            entry.slot_manager.set_state(EntryState::Leaving).await;
            // The other entries see the state in their next scan and then acquire each slot as soon
            // as it is released.
            let scan_delay = entry.settings.membership_interval + MEMBERSHIP_SCAN_MARGIN;
            entry.timer.sleep(scan_delay).await;
            entry.slot_manager.leave();
            entry.slot_manager.wait_until_released().await;
        };
        if entry
            .timer
            .timeout(remaining(), release_slots)
            .await
            .is_err()
        {
            log::warn!("shutdown limit reached before all slots were released");
        }
        let stop_result = entry.timer.timeout(remaining(), self.server.stop()).await;
        if stop_result.is_err() {
            log::warn!("shutdown limit reached with requests still in flight");
        }
        self.peer_server.stop(remaining()).await;
        if entry.slots.held().is_empty() {
            let close_row = entry.slot_manager.set_state(EntryState::Closed);
            // If the row cannot be closed, another entry recovers this one.
            let limit = remaining().max(CLOSE_TIMEOUT);
            if entry.timer.timeout(limit, close_row).await.is_err() {
                log::warn!(
                    "entry row was not closed in time; another entry will recover this entry"
                );
            }
        }
        self.endpoint.close(CLOSE_TIMEOUT).await;
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
            settings.platform_call_timeout,
        );
        let journal = Journal::new(platform.clone(), timer.clone(), settings.clone());
        let slots = Rc::new(Slots::new(settings.slot_count));
        let membership = Membership::start(
            platform.clone(),
            timer.clone(),
            settings.membership_interval,
            settings.lease_ttl,
        );
        let slot_manager = SlotManager::new(
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
            engines: EngineClient::new(http.clone(), CONTROL_CALL_TIMEOUT),
            tools: ToolClient::new(http.clone(), CONTROL_CALL_TIMEOUT),
            peers: Peers::new(endpoint),
            keys: KeyIndexCache::default(),
            retry_budget: RetryBudget::default(),
            in_flight_requests: Cell::new(0),
            metrics,
            settings,
            timer,
            platform,
            service_http: http.without_reuse(),
            journal,
            slots,
            slot_manager,
            membership,
            config,
            router,
        }
    }

    /// The engines that this entry owns, by rendezvous hashing over the live entries.
    fn owned_engines(&self, config: &Config) -> IndexSet<BackendServerId> {
        let candidates = self.slot_manager.candidates();
        let is_owned = |id: &&BackendServerId| {
            let ids = candidates.iter().map(|id| &**id);
            placement::backend_server_owner(id, ids) == Some(&*self.settings.entry_id)
        };
        let engines = config.backend_servers.keys();
        engines.filter(is_owned).cloned().collect()
    }
}
