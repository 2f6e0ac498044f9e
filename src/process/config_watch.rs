//! Keeps the accepted configuration in force on an entry.
//!
//! One task reads `config/head` at every interval, and at once when a peer knows a newer version. A
//! newer version is loaded, checked and put in force. The version in force never goes down, and
//! stays while the platform cannot be reached or a newer version does not pass the checks.

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

/// A last read that started longer ago means that the process did not run for a while: with the
/// default settings, a failing read and the pause after it take 3 s, and the next one 2 s.
const OVERDUE: Duration = Duration::from_millis(5_500);
/// Longest time that a request waits for a read.
const READ_WAIT: Duration = Duration::from_secs(1);

/// The result of one read of the configuration head.
pub type Result<T> = std::result::Result<T, WatchError>;

/// Why a read did not confirm the version in force.
#[derive(Debug)]
pub enum WatchError {
    /// The head or the object could not be read.
    Store(StoreError),
    /// The object of this version does not pass the checks.
    Refused(VersionNumber, CheckError),
    /// The object of this version cannot be decoded.
    Undecodable(VersionNumber, StoreError),
    /// The head names a lower version than the one in force.
    Lower {
        /// The version that the head names; 0 if there is no head.
        head: VersionNumber,
        /// The version in force.
        current: VersionNumber,
    },
}

impl fmt::Display for WatchError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchError::Store(_) => {
                formatter.write_str("the configuration was not read; the next read follows soon")
            }
            WatchError::Refused(version, _) => write!(
                formatter,
                "configuration version {version} is refused; apply a corrected one"
            ),
            WatchError::Undecodable(version, _) => write!(
                formatter,
                "configuration version {version} cannot be decoded; apply it again"
            ),
            WatchError::Lower { head, current } => write!(
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
            WatchError::Lower { .. } => None,
        }
    }
}

struct State {
    /// The version in force; its number only grows.
    current: RefCell<Option<Rc<Config>>>,
    /// The start of the last read which showed that the version in force is the accepted one.
    confirmed: Cell<Option<Instant>>,
    /// The highest version that was refused; it is not loaded again.
    refused: Cell<VersionNumber>,
    /// The highest version that a peer named.
    hinted: Cell<VersionNumber>,
    /// The start of the last read that has ended, whether it succeeded or not.
    last_read: Cell<Option<Instant>>,
    reads: Notify,
    /// Notified when a newer version is in force.
    changed: Notify,
}

/// A handle to the configuration in force; clones share it.
#[derive(Clone)]
pub struct ConfigWatch {
    state: Rc<State>,
    timer: TimerService,
    /// One sender shared by all handles: each further sender would add a place to the channel.
    hints: Rc<RefCell<mpsc::Sender<()>>>,
}

impl ConfigWatch {
    /// Starts the task that reads the head at once and then at every `interval`. The task ends when
    /// the last handle is dropped.
    pub fn start(platform: PlatformClient, timer: TimerService, interval: Duration) -> Self {
        let (hints, hinted) = mpsc::channel(0);
        let state = Rc::new(State {
            current: RefCell::default(),
            confirmed: Cell::default(),
            refused: Cell::default(),
            hinted: Cell::default(),
            last_read: Cell::default(),
            reads: Notify::default(),
            changed: Notify::default(),
        });
        let watch = Self {
            state: state.clone(),
            timer: timer.clone(),
            hints: Rc::new(RefCell::new(hints)),
        };
        monoio::spawn(run(state, platform, timer, interval, hinted));
        watch
    }

    /// The configuration in force; `None` until the first one is loaded.
    pub fn current(&self) -> Option<Rc<Config>> {
        self.state.current.borrow().clone()
    }

    /// The version in force; 0 while there is none.
    pub fn version(&self) -> VersionNumber {
        self.state.version()
    }

    /// Tells that a peer has this version. The head is read at once if it is newer than all known.
    pub fn hint(&self, version: VersionNumber) {
        let state = &self.state;
        let known = state.version().max(state.refused.get());
        if version <= known.max(state.hinted.get()) {
            return;
        }
        state.hinted.set(version);
        // A full channel means that a read is already due.
        let _ = self.hints.borrow_mut().try_send(());
    }

    /// The configuration to serve a request with; `None` if there is none, or if a newer version is
    /// known and cannot be read.
    ///
    /// A process that was paused first reads the head again. While the platform is out the version in
    /// force stays in use, because no other one can have been accepted, unless a peer has a newer one.
    pub async fn for_request(&self) -> Option<Rc<Config>> {
        if self.is_overdue() || self.is_outdated() {
            let _ = self.hints.borrow_mut().try_send(());
            let is_certain = || !self.is_overdue() && !self.is_outdated();
            let certain = self.state.reads.until(is_certain);
            let _ = self.timer.timeout(READ_WAIT, certain).await;
        }
        self.current().filter(|_| !self.is_outdated())
    }

    fn is_overdue(&self) -> bool {
        let last_read = self.state.last_read.get();
        last_read.is_some_and(|at| self.timer.now().saturating_duration_since(at) > OVERDUE)
    }

    /// Whether a peer has a newer version that was not refused here.
    fn is_outdated(&self) -> bool {
        let state = &self.state;
        state.hinted.get() > state.version().max(state.refused.get())
    }

    /// Waits until a version above `after` is in force, and returns it.
    pub async fn newer_than(&self, after: VersionNumber) -> Rc<Config> {
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

    /// How long ago the version in force was last confirmed as the accepted one; `None` if never.
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
    mut hints: mpsc::Receiver<()>,
) {
    let mut ticks = timer.subscribe(interval);
    let mut last_problem = None;
    loop {
        let started = timer.now();
        let refreshed = refresh(&state, &platform, &timer).await;
        state.last_read.set(Some(started));
        state.reads.notify();
        let problem = match refreshed {
            Ok(()) => None,
            Err(error) => Some(chain(&error)),
        };
        // The same problem is logged once, not at every interval.
        if let Some(problem) = &problem
            && Some(problem) != last_problem.as_ref()
        {
            log::warn!("{problem}");
        }
        last_problem = problem;
        let tick = std::pin::pin!(ticks.tick());
        if let Either::Right((None, _)) = select(tick, hints.next()).await {
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
        return Err(WatchError::Lower { head, current });
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
