//! Whether this gateway reaches the backend servers, and which peers reach them for it.
//!
//! A gateway may lose its links to all servers while callers, the store and its peers still reach
//! it. Connections then hang, are reset, or live on while new ones are refused. A single failed
//! connection may mean that a server has crashed; only if new connections to several servers fail
//! as well, the path is lost. Until it is back, peers that have a path serve the requests.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::StatusCode;
use rand::seq::SliceRandom;

use super::directory::Directory;
use super::peers;
use super::servers::Servers;
use crate::connection::http_client::HttpClient;
use crate::process::notify::Notify;

/// Longest wait for a new connection to a server, which takes about a millisecond.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Servers that are probed after the first one did not accept a connection. That all of them have
/// crashed while others serve is unlikely.
const CONFIRMING_PROBES: usize = 3;
/// Time after a successful probe in which no other one is made.
const PROBE_LIFETIME: Duration = Duration::from_millis(100);
/// Interval between probes, and between questions to peers, while the path is lost.
const RECOVERY_INTERVAL: Duration = Duration::from_millis(500);
/// Peers of the own failure domain, and of others, that are asked at once whether they reach servers.
const ASKED_PEERS: usize = 4;
/// Rounds in which other peers are asked if none reaches servers.
const ROUNDS_OF_QUESTIONS: usize = 3;
/// Helpers in the own failure domain without which those of other domains help as well. With a
/// single one, its death would leave none.
const MIN_SAME_DOMAIN_HELPERS: usize = 2;
/// Time for which no peer is asked again after none was found that reaches servers.
const NO_HELPER_LIFETIME: Duration = Duration::from_millis(200);
/// Longest wait for a peer, which may have to probe servers first.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for further peers after the first one that reaches servers. Those that were cut off
/// as well take much longer to find that out.
const FURTHER_HELPERS_TIMEOUT: Duration = Duration::from_millis(20);
const RESPONSE_LIMIT_BYTES: usize = 1 << 10;

/// The path of this gateway to the backend servers.
pub struct ServerPath {
    http: HttpClient,
    directory: Rc<Directory>,
    servers: Rc<Servers>,
    is_lost: Cell<bool>,
    is_checking: Cell<bool>,
    /// When peers were last asked, if none of them reaches servers.
    no_helper_since: Cell<Option<Instant>>,
    /// Whether peers are being asked because no helper has taken a request.
    is_asking: Cell<bool>,
    /// When the last probe began that a server accepted.
    last_probe: Cell<Option<Instant>>,
    /// When a request or stream last failed in a way that may be due to the path.
    last_failure: Cell<Option<Instant>>,
    /// When a server last answered a request.
    last_answer: Cell<Option<Instant>>,
    /// Peer addresses of gateways that reach servers; empty unless the path is lost.
    helpers: RefCell<Vec<SocketAddr>>,
    /// Notified at the end of a check and when the path is lost.
    changed: Notify,
}

impl ServerPath {
    /// Creates a path that counts as intact.
    pub fn new(http: HttpClient, directory: Rc<Directory>, servers: Rc<Servers>) -> Rc<Self> {
        Rc::new(Self {
            http,
            directory,
            servers,
            is_lost: Cell::new(false),
            is_checking: Cell::new(false),
            no_helper_since: Cell::new(None),
            is_asking: Cell::new(false),
            last_probe: Cell::new(None),
            last_failure: Cell::new(None),
            last_answer: Cell::new(None),
            helpers: RefCell::default(),
            changed: Notify::default(),
        })
    }

    /// Whether this gateway reaches no server.
    pub fn is_lost(&self) -> bool {
        self.is_lost.get()
    }

    /// Completes when the path is lost.
    pub async fn lost(&self) {
        self.changed.until(|| self.is_lost()).await;
    }

    /// Records that a request or stream has failed in a way that may be due to the path.
    pub fn record_failure(&self) {
        self.last_failure.set(Some(Instant::now()));
    }

    /// Records that a server has answered a request.
    pub fn record_answer(&self) {
        self.last_answer.set(Some(Instant::now()));
    }

    /// Whether a server has answered within `time`.
    pub fn has_answer_within(&self, time: Duration) -> bool {
        is_within(self.last_answer.get(), time)
    }

    /// The peers that reach servers, in random order.
    pub fn helpers(&self) -> Vec<SocketAddr> {
        let mut helpers = self.helpers.borrow().clone();
        helpers.shuffle(&mut rand::rng());
        helpers
    }

    /// Forgets a peer that did not take a request.
    pub fn remove_helper(&self, peer: SocketAddr) {
        self.helpers.borrow_mut().retain(|helper| *helper != peer);
    }

    /// Checks after a failure whether the path is lost. Returns whether servers are reached.
    pub async fn check(self: &Rc<Self>) -> bool {
        let now = Instant::now();
        let since = now.checked_sub(PROBE_LIFETIME).unwrap_or(now);
        self.check_since(since).await
    }

    /// Like [`ServerPath::check`], with a probe that began after the last failure of any request. True
    /// if there was no failure.
    pub async fn check_since_last_failure(self: &Rc<Self>) -> bool {
        match self.last_failure.get() {
            Some(at) => self.check_since(at).await,
            None => true,
        }
    }

    /// Like [`ServerPath::check`], with a probe that began at `since` or later.
    pub async fn check_since(self: &Rc<Self>, since: Instant) -> bool {
        while !self.is_lost() && self.is_checking.get() {
            self.changed.until(|| !self.is_checking.get()).await;
        }
        if self.is_lost() {
            return false;
        }
        if self.last_probe.get().is_some_and(|at| at >= since) {
            return true;
        }
        let guard = CheckGuard::start(self);
        let is_reached = self.probe().await;
        if !is_reached {
            self.find_helpers().await;
            self.record_loss();
        }
        drop(guard);
        is_reached
    }

    /// Like [`ServerPath::check`], in a task of its own.
    pub fn check_in_background(self: &Rc<Self>) {
        let path = self.clone();
        monoio::spawn(async move { path.check().await });
    }

    /// Whether a new connection to a server can be opened. True if no server is registered.
    async fn probe(&self) -> bool {
        let mut addresses = self.servers.addresses();
        addresses.shuffle(&mut rand::rng());
        let Some(first) = addresses.pop() else {
            return true;
        };
        let started = Instant::now();
        addresses.truncate(CONFIRMING_PROBES);
        let is_reached = self.http.can_connect(first, PROBE_TIMEOUT).await || {
            let probes = addresses
                .into_iter()
                .map(|address| self.http.can_connect(address, PROBE_TIMEOUT));
            join_all(probes).await.contains(&true)
        };
        if is_reached {
            self.last_probe.set(Some(started));
        }
        is_reached
    }

    fn record_loss(self: &Rc<Self>) {
        self.is_lost.set(true);
        self.directory.set_connected(false);
        self.changed.notify();
        let helpers = self.helpers.borrow().len();
        log::warn!(helpers = helpers; "no path to backend servers: new connections to several of them fail");
        monoio::spawn(self.clone().recover());
    }

    /// Probes until a server is reached, and keeps up to date which peers reach servers.
    async fn recover(self: Rc<Self>) {
        let timer = self.http.timer().clone();
        let lost_at = Instant::now();
        loop {
            timer.sleep(RECOVERY_INTERVAL).await;
            if self.probe().await {
                break;
            }
            self.find_helpers().await;
        }
        // The failures were those of the path, not of the servers.
        self.servers.forget_failures();
        self.is_lost.set(false);
        self.helpers.borrow_mut().clear();
        self.directory.set_connected(true);
        let lost_ms = lost_at.elapsed().as_millis() as u64;
        log::info!(lost_ms = lost_ms; "path to backend servers is back");
    }

    /// Asks the peers again that may reach servers, unless that was done just now. Called when no
    /// helper has taken a request.
    pub async fn refresh_helpers(&self) {
        if self.is_asking.replace(true) {
            self.changed.until(|| !self.is_asking.get()).await;
            return;
        }
        let _guard = AskGuard(self);
        if !is_within(self.no_helper_since.get(), NO_HELPER_LIFETIME) {
            self.find_helpers().await;
        }
    }

    /// Asks some peers whether they reach servers, and others in further rounds if none does. Those of
    /// the own failure domain are preferred, which saves traffic between domains.
    async fn find_helpers(&self) {
        let (mut own_domain, mut others) = self.directory.possible_helpers(Instant::now());
        for peers in [&mut own_domain, &mut others] {
            peers.shuffle(&mut rand::rng());
        }
        let mut helpers = Vec::new();
        for _ in 0..ROUNDS_OF_QUESTIONS {
            let mut asked = take_last(&mut own_domain, ASKED_PEERS);
            let own_domain_count = asked.len();
            asked.extend(take_last(&mut others, ASKED_PEERS));
            helpers = self.ask_all(&asked).await;
            let own_domain = &asked[..own_domain_count];
            let is_own = |helper: &SocketAddr| own_domain.contains(helper);
            if helpers.iter().filter(|helper| is_own(helper)).count() >= MIN_SAME_DOMAIN_HELPERS {
                helpers.retain(is_own);
            }
            if !helpers.is_empty() {
                break;
            }
        }
        let no_helper_since = helpers.is_empty().then(Instant::now);
        self.no_helper_since.set(no_helper_since);
        self.directory.set_helpers(&helpers);
        self.helpers.replace(helpers);
    }

    /// The peers that reach servers. Soon after the first one has answered, the rest is not awaited.
    async fn ask_all(&self, peers: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut answers: FuturesUnordered<_> = peers.iter().map(|peer| self.ask(*peer)).collect();
        let mut helpers = Vec::new();
        let mut wait_end = Instant::now() + PEER_TIMEOUT;
        let timer = self.http.timer();
        while let Ok(Some(answer)) = timer.timeout_at(wait_end, answers.next()).await {
            if helpers.is_empty() && answer.is_some() {
                wait_end = wait_end.min(Instant::now() + FURTHER_HELPERS_TIMEOUT);
            }
            helpers.extend(answer);
        }
        helpers
    }

    async fn ask(&self, peer: SocketAddr) -> Option<SocketAddr> {
        let request = peers::server_path_request();
        let response = self
            .http
            .fetch(peer, request, PEER_TIMEOUT, RESPONSE_LIMIT_BYTES);
        let reaches_servers = response
            .await
            .is_ok_and(|response| response.status() == StatusCode::OK);
        reaches_servers.then_some(peer)
    }
}

/// Takes up to `count` items from the end of a list.
fn take_last<T>(items: &mut Vec<T>, count: usize) -> Vec<T> {
    items.split_off(items.len().saturating_sub(count))
}

fn is_within(at: Option<Instant>, time: Duration) -> bool {
    at.is_some_and(|at| at.elapsed() < time)
}

/// Marks a check as in progress until it is dropped.
struct CheckGuard(Rc<ServerPath>);

impl CheckGuard {
    fn start(path: &Rc<ServerPath>) -> Self {
        path.is_checking.set(true);
        Self(path.clone())
    }
}

impl Drop for CheckGuard {
    fn drop(&mut self) {
        self.0.is_checking.set(false);
        self.0.changed.notify();
    }
}

/// Marks the question to the peers as in progress until it is dropped.
struct AskGuard<'a>(&'a ServerPath);

impl Drop for AskGuard<'_> {
    fn drop(&mut self) {
        self.0.is_asking.set(false);
        self.0.changed.notify();
    }
}
