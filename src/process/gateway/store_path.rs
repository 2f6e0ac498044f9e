//! The choice of the path to the store: directly, or through a peer.
//!
//! The store may refuse some VMs while it serves others. A gateway that is refused relays its calls
//! through a peer that is served, so that it can continue to serve its callers. After a failed
//! direct call, a working peer is tried first for a while. During an outage of the store, requests
//! are refused without a call.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A path to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePath {
    /// A connection of this gateway to the store.
    Direct,
    /// A peer that relays the call.
    Relay(SocketAddr),
}

/// Most peers that are tried for one call. More of them would multiply the calls during an outage
/// that affects all VMs.
const MAX_RELAYS_PER_CALL: usize = 2;
/// Most peers that are tried for one call when no call has succeeded for `FAIL_FAST_THRESHOLD`.
const MAX_RELAYS_IN_OUTAGE: usize = 1;
/// Time after a failed direct call in which a working peer is tried before the direct path.
const DIRECT_BACKOFF: Duration = Duration::from_millis(1_000);
/// Time after a call that failed on all paths in which requests are refused without a call. The
/// calls of background tasks continue and detect when the store is available again.
const FAIL_FAST_DURATION: Duration = Duration::from_millis(1_000);
/// Time without any successful call after which requests are refused without a call. A shorter
/// failure may concern a single call.
const FAIL_FAST_THRESHOLD: Duration = Duration::from_millis(300);
/// Time without any successful call after which the store counts as unavailable. Shorter failures
/// are those of single calls or connections.
const OUTAGE_THRESHOLD: Duration = Duration::from_millis(500);

/// The state of the paths to the store, from the results of earlier calls.
#[derive(Debug, Default)]
pub struct StorePaths {
    direct_failed_at: Option<Instant>,
    /// The peer through which the last relayed call succeeded.
    working_relay: Option<SocketAddr>,
    last_success: Option<Instant>,
    /// When a call last failed on every path.
    last_total_failure: Option<Instant>,
    /// Time of the first failure since the last success.
    failing_since: Option<Instant>,
    /// When the store last recovered from an outage of `OUTAGE_THRESHOLD` or longer.
    last_recovery: Option<Instant>,
    next_relay: usize,
}

impl StorePaths {
    /// The paths for a call, in the order in which they are to be tried.
    pub fn plan(&mut self, peers: &[SocketAddr], now: Instant) -> Vec<StorePath> {
        let mut relays: Vec<StorePath> = Vec::new();
        let relay_count = match self.is_over_fail_fast_threshold(now) {
            true => MAX_RELAYS_IN_OUTAGE,
            false => MAX_RELAYS_PER_CALL,
        };
        let working = self.working_relay.filter(|relay| peers.contains(relay));
        relays.extend(working.map(StorePath::Relay));
        for _ in 0..peers.len() {
            if relays.len() >= relay_count {
                break;
            }
            self.next_relay = (self.next_relay + 1) % peers.len();
            let relay = StorePath::Relay(peers[self.next_relay]);
            if !relays.contains(&relay) {
                relays.push(relay);
            }
        }
        let prefers_relay = working.is_some() && self.is_direct_in_backoff(now);
        let direct_position = usize::from(prefers_relay);
        relays.insert(direct_position, StorePath::Direct);
        relays
    }

    /// Whether a direct call failed or was overtaken within `DIRECT_BACKOFF`.
    pub fn is_direct_in_backoff(&self, now: Instant) -> bool {
        let failed = self.direct_failed_at;
        failed.is_some_and(|failed| now.saturating_duration_since(failed) < DIRECT_BACKOFF)
    }

    /// Records the result of a call on one path.
    pub fn record(&mut self, path: StorePath, succeeded: bool, now: Instant) {
        match (path, succeeded) {
            (StorePath::Direct, true) => {
                self.direct_failed_at = None;
                self.working_relay = None;
            }
            (StorePath::Direct, false) => self.direct_failed_at = Some(now),
            (StorePath::Relay(relay), true) => self.working_relay = Some(relay),
            (StorePath::Relay(relay), false) => {
                if self.working_relay == Some(relay) {
                    self.working_relay = None;
                }
            }
        }
        if !succeeded {
            self.failing_since.get_or_insert(now);
            return;
        }
        self.last_success = Some(now);
        let since = self.failing_since.take();
        if since.is_some_and(|since| now.saturating_duration_since(since) >= OUTAGE_THRESHOLD) {
            self.last_recovery = Some(now);
        }
    }

    /// Records that a path had not answered a call when a later one did. The call may still be
    /// performed on it, so this does not count as a failure of the store.
    pub fn record_overtaken(&mut self, path: StorePath, now: Instant) {
        match path {
            StorePath::Direct => self.direct_failed_at = Some(now),
            StorePath::Relay(relay) if self.working_relay == Some(relay) => {
                self.working_relay = None;
            }
            StorePath::Relay(_) => {}
        }
    }

    /// Records that a call failed on every path.
    pub fn record_total_failure(&mut self, now: Instant) {
        self.last_total_failure = Some(now);
    }

    /// Whether a call is worth making now; `false` while requests are to be refused without one.
    pub fn is_available(&self, now: Instant) -> bool {
        match self.last_total_failure {
            None => true,
            Some(failure) => {
                let failing = self.failing_since;
                let is_over_threshold = failing.is_some_and(|since| {
                    now.saturating_duration_since(since) >= FAIL_FAST_THRESHOLD
                });
                !is_over_threshold || now.saturating_duration_since(failure) >= FAIL_FAST_DURATION
            }
        }
    }

    fn is_over_fail_fast_threshold(&self, now: Instant) -> bool {
        self.outage_age(now)
            .is_some_and(|age| age >= FAIL_FAST_THRESHOLD)
    }

    /// Whether no call has succeeded for so long that the store counts as unavailable. A failed
    /// call alone does not show it: calls of a single partition may fail for any time while others
    /// succeed.
    pub fn is_in_outage(&self, now: Instant) -> bool {
        self.outage_age(now)
            .is_some_and(|age| age >= OUTAGE_THRESHOLD)
    }

    /// Time since calls began to fail without any success; `None` while calls succeed.
    pub fn outage_age(&self, now: Instant) -> Option<Duration> {
        let since = self.failing_since?;
        Some(now.saturating_duration_since(since))
    }

    /// When the store last recovered from an outage on all paths of this gateway; `None` if there
    /// was none.
    pub fn last_recovery(&self) -> Option<Instant> {
        self.last_recovery
    }

    /// When a call last succeeded on any path.
    pub fn last_success(&self) -> Option<Instant> {
        self.last_success
    }
}
