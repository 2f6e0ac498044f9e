//! Watches the configuration head and puts accepted versions in force on an entry.
//!
//! One task reads `config/head` at every interval, and immediately when a peer has a newer version.
//! A newer version is loaded, checked and put in force. The version in force never decreases, and
//! it stays while the platform is unavailable or a newer version does not pass the checks.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc;
use futures_util::StreamExt;
use futures_util::future::{Either, select};

use crate::connection::platform::PlatformClient;
use crate::error::chain;
use crate::ids::VersionNumber;
use crate::process::notify::Notify;
use crate::process::timer::TimerService;
use crate::version::check::CheckError;
use crate::version::config::Config;
use crate::version::store::{self, Head, StoreError};

/// If the last finished read started longer ago than this, the process was paused: with the default
/// settings, a failing read and the interval after it take 3 s, and the next read 2 s.
const MAX_READ_AGE: Duration = Duration::from_millis(5_500);
/// Longest wait of a request for a read of the head.
const READ_WAIT_TIMEOUT: Duration = Duration::from_secs(1);

/// The result of reading the configuration head and loading the version that it names.
pub type Result<T> = std::result::Result<T, WatchError>;

/// A failure of a read to confirm the version in force or to replace it by a newer one.
#[derive(Debug)]
pub enum WatchError {
    /// The head or the configuration object could not be read.
    Store(StoreError),
    /// The configuration object of this version did not pass the checks.
    Refused(VersionNumber, CheckError),
    /// The configuration object of this version could not be decoded.
    Undecodable(VersionNumber, StoreError),
    /// The head names a lower version than the one in force.
    LowerVersion {
        /// The version that the head names; 0 if there is no head.
        head: VersionNumber,
        /// The version in force.
        current: VersionNumber,
    },
}

impl fmt::Display for WatchError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::Store(_) => formatter
                .write_str("could not read the configuration; retrying at the next interval"),
            WatchError::Refused(version, _) => write!(
                formatter,
                "configuration version {version} is refused; apply a corrected one"
            ),
            WatchError::Undecodable(version, _) => write!(
                formatter,
                "configuration version {version} cannot be decoded; apply it again"
            ),
            WatchError::LowerVersion { head, current } => write!(
                formatter,
                "the configuration head names version {head}, lower than {current} in force; \
                 apply the configuration again until its version is higher"
            ),
        }
    }
}

impl std::error::Error for WatchError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            WatchError::Store(error) | WatchError::Undecodable(_, error) => Some(error),
            WatchError::Refused(_, error) => Some(error),
            WatchError::LowerVersion { .. } => None,
        }
    }
}

struct State {
    /// The configuration in force; its version never decreases.
    current: RefCell<Option<Rc<Config>>>,
    /// Start of the last read that showed the version in force to be the accepted one.
    confirmed: Cell<Option<Instant>>,
    /// Highest version that was refused or could not be decoded; not loaded again.
    refused: Cell<VersionNumber>,
    /// Highest version that a peer reported.
    peer_version: Cell<VersionNumber>,
    /// Start of the last finished read, successful or not.
    last_read: Cell<Option<Instant>>,
    /// Notified after each read, successful or not.
    read_done: Notify,
    /// Notified when a newer version is put in force.
    changed: Notify,
}

/// A handle to the configuration in force; clones share it.
#[derive(Clone)]
pub struct ConfigWatch {
    state: Rc<State>,
    timer: TimerService,
    /// Requests a read. All handles share one sender, because each further sender would add one to
    /// the capacity of the channel.
    read_tx: Rc<RefCell<mpsc::Sender<()>>>,
}

impl ConfigWatch {
    /// Starts the task that reads the head immediately and then at every `interval`. The task ends
    /// when the last handle is dropped.
    pub fn start(platform: PlatformClient, timer: TimerService, interval: Duration) -> Self {
        let (read_tx, read_rx) = mpsc::channel(0);
        let state = Rc::new(State {
            current: RefCell::default(),
            confirmed: Cell::default(),
            refused: Cell::default(),
            peer_version: Cell::default(),
            last_read: Cell::default(),
            read_done: Notify::default(),
            changed: Notify::default(),
        });
        let watch = Self {
            state: state.clone(),
            timer: timer.clone(),
            read_tx: Rc::new(RefCell::new(read_tx)),
        };
        monoio::spawn(run(state, platform, timer, interval, read_rx));
        watch
    }

    /// The configuration in force; `None` until the first one is loaded.
    pub fn current(&self) -> Option<Rc<Config>> {
        self.state.current.borrow().clone()
    }

    /// The version in force; 0 until the first configuration is loaded.
    pub fn version(&self) -> VersionNumber {
        self.state.version()
    }

    /// Records a version that a peer reported. If it is newer than all known versions, the head is
    /// read immediately.
    pub fn observe_peer_version(&self, version: VersionNumber) {
        let state = &self.state;
        let known = state.version().max(state.refused.get());
        if version <= known.max(state.peer_version.get()) {
            return;
        }
        state.peer_version.set(version);
        // A full channel means that a read is already requested.
        let _ = self.read_tx.borrow_mut().try_send(());
    }

    /// The configuration to serve a request with; `None` if none is loaded, or if a newer version
    /// is known and cannot be read.
    ///
    /// A process that was paused first reads the head again. During an outage of the platform the
    /// version in force stays in use, because no other version can have been accepted, unless a
    /// peer has a newer one.
    pub async fn for_request(&self) -> Option<Rc<Config>> {
        if self.is_read_overdue() || self.is_outdated() {
            let _ = self.read_tx.borrow_mut().try_send(());
            let is_up_to_date = || !self.is_read_overdue() && !self.is_outdated();
            let up_to_date = self.state.read_done.until(is_up_to_date);
            let _ = self.timer.timeout(READ_WAIT_TIMEOUT, up_to_date).await;
        }
        self.current().filter(|_| !self.is_outdated())
    }

    fn is_read_overdue(&self) -> bool {
        let last_read = self.state.last_read.get();
        last_read.is_some_and(|at| self.timer.now().saturating_duration_since(at) > MAX_READ_AGE)
    }

    /// Whether a peer reported a newer version that this entry has neither loaded nor refused.
    fn is_outdated(&self) -> bool {
        let state = &self.state;
        state.peer_version.get() > state.version().max(state.refused.get())
    }

    /// Waits until a version above `after` is in force, and returns it.
    pub async fn wait_for_newer(&self, after: VersionNumber) -> Rc<Config> {
        loop {
            let seen = self.state.changed.changes();
            if let Some(config) = self.current()
                && config.version > after
            {
                return config;
            }
            self.state.changed.changed_since(seen).await;
        }
    }

    /// Time since the version in force was last confirmed as the accepted one; `None` if never.
    pub fn confirmed_age(&self) -> Option<Duration> {
        let confirmed = self.state.confirmed.get()?;
        Some(self.timer.now().saturating_duration_since(confirmed))
    }
}

impl State {
    fn version(&self) -> VersionNumber {
        let current = self.current.borrow();
        current.as_ref().map_or(0, |config| config.version)
    }

    fn put_in_force(&self, config: Config) {
        log::info!("configuration version {} is in force", config.version);
        *self.current.borrow_mut() = Some(Rc::new(config));
        self.changed.notify();
    }
}

async fn run(
    state: Rc<State>,
    platform: PlatformClient,
    timer: TimerService,
    interval: Duration,
    mut read_rx: mpsc::Receiver<()>,
) {
    let mut ticks = timer.subscribe(interval);
    let mut last_problem = None;
    loop {
        let started = timer.now();
        let refreshed = refresh(&state, &platform, &timer).await;
        state.last_read.set(Some(started));
        state.read_done.notify();
        let problem = match refreshed {
            Ok(()) => None,
            Err(error) => Some(chain(&error)),
        };
        // A problem is logged once while it persists, not at every interval.
        if let Some(problem) = &problem
            && Some(problem) != last_problem.as_ref()
        {
            log::warn!("{problem}");
        }
        last_problem = problem;
        let tick = std::pin::pin!(ticks.tick());
        if let Either::Right((None, _)) = select(tick, read_rx.next()).await {
            return;
        }
    }
}

/// Reads the head and puts a newer version in force.
async fn refresh(state: &State, platform: &PlatformClient, timer: &TimerService) -> Result<()> {
    let started = timer.now();
    let head = store::read_head(platform)
        .await
        .map_err(WatchError::Store)?;
    let accepted = head.as_ref().map_or(0, |head| head.version);
    let current = state.version();
    if accepted < current {
        let head = accepted;
        return Err(WatchError::LowerVersion { head, current });
    }
    if let Some(head) = head
        && head.version > current
    {
        if head.version <= state.refused.get() {
            return Ok(());
        }
        let loaded = load(platform, &head).await;
        if let Err(WatchError::Refused(version, _) | WatchError::Undecodable(version, _)) = &loaded
        {
            state.refused.set(*version);
        }
        state.put_in_force(loaded?);
    }
    state.confirmed.set(Some(started));
    Ok(())
}

async fn load(platform: &PlatformClient, head: &Head) -> Result<Config> {
    let loaded = store::read_document_object(platform, &head.object_key).await;
    let merged = loaded.map_err(|error| match error {
        StoreError::Decode(..) => WatchError::Undecodable(head.version, error),
        error => WatchError::Store(error),
    })?;
    let mut config =
        Config::try_from(&merged).map_err(|error| WatchError::Refused(head.version, error))?;
    config.version = head.version;
    Ok(config)
}
