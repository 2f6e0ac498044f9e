//! The time at which the active configuration is known to have been the newest one.
//!
//! A configuration is identified by the version of its row in the store, which grows with each
//! write. Every response of the store shows which row was the newest one at some time after the
//! *start* of the call; so does what a peer tells, after the time at which it was asked. The start
//! counts, because a response may wait in a socket buffer while the process is frozen.

use std::cell::Cell;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::error::{Error, ErrorKind, Result};
use crate::process::boot_clock::{BootClock, BootTime, Clock};
use crate::process::metrics;
use crate::process::notify::Notify;

/// Version of a row in the store.
pub type RowVersion = u64;

/// Part of the platform's limit that is kept back for differences between the clocks of VMs.
const LIMIT_MARGIN: Duration = Duration::from_millis(300);
/// Shortest interval between two reads of the configuration, and the interval at which one gateway
/// of each failure domain reads it.
pub const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Age of the proof from which a gateway reads the configuration itself.
const READ_AGE: Duration = Duration::from_millis(2_500);
/// Shortest interval between two reads while no call to the store succeeds. The reads only detect
/// the end of the outage, and the watches of the tables do so as well.
const OUTAGE_READ_INTERVAL: Duration = Duration::from_millis(2_000);
/// Longest time after which it is checked again whether a read is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Where a proof comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProofSource {
    /// A full read of the operators' table.
    Snapshot,
    /// The change feed of the operators' table.
    Feed,
    /// A read of the row of the configuration.
    Read,
    /// The response of a peer to the gossip.
    Peer,
}

impl ProofSource {
    fn label(self) -> &'static str {
        match self {
            ProofSource::Snapshot => "snapshot",
            ProofSource::Feed => "feed",
            ProofSource::Read => "read",
            ProofSource::Peer => "peer",
        }
    }
}

/// What a gateway tells its peers of its configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerProof {
    /// Version of the newest row of the configuration.
    pub row_version: RowVersion,
    /// Time since this row is known to have been the newest one, rounded up.
    pub age_ms: u64,
}

/// What a read of the configuration depends on, besides the proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadContext {
    /// Whether this gateway reads the configuration for its failure domain.
    pub is_domain_reader: bool,
    /// Whether calls to the store are made at all.
    pub is_store_available: bool,
    /// Whether no call to the store has succeeded for a while.
    pub is_store_failing: bool,
}

/// How the right to use keys changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgeChange {
    /// The proof became too old; holds its age, `None` if there has been none.
    Expired(Option<Duration>),
    /// A new proof has this age. No proof was new enough for the second duration.
    Regained(Duration, Duration),
}

/// How old the proof is that the active configuration was the newest one.
pub struct ConfigAge<C = BootClock> {
    clock: C,
    /// Oldest proof with which keys may be used; `None` if the platform sets no limit.
    limit: Option<Duration>,
    /// The row of the active configuration.
    active_row: Cell<Option<RowVersion>>,
    /// The newest row that was applied, or skipped because it has no usable configuration; at least
    /// `active_row`. All usable ones before it were applied, or are older than the active one.
    seen_row: Cell<Option<RowVersion>>,
    /// Whether the active configuration has teams.
    has_teams: Cell<bool>,
    /// Rows up to this version may have been missed: a full read showed no usable one, and there may
    /// have been others before. Nothing is proved until a row of at least this version is active.
    missed_up_to: Cell<RowVersion>,
    /// All usable configurations that the store acknowledged before this time have a row up to
    /// `active_row`. It never decreases.
    proved_at: Cell<Option<BootTime>>,
    is_read_wanted: Cell<bool>,
    last_read: Cell<Option<BootTime>>,
    /// When the last observed expiry was found; `None` while the proof is new enough.
    expired_since: Cell<Option<BootTime>>,
    /// Notified when a configuration becomes active and when a read is wanted.
    changed: Notify,
}

impl ConfigAge {
    /// Makes the age of a configuration that is not proved to be current yet.
    /// `withdrawal_limit` is the time within which a withdrawn key must be unusable.
    pub fn new(withdrawal_limit: Option<Duration>) -> Self {
        Self::with_clock(withdrawal_limit, BootClock)
    }
}

impl<C: Clock> ConfigAge<C> {
    /// Like [`ConfigAge::new`], with another clock.
    pub fn with_clock(withdrawal_limit: Option<Duration>, clock: C) -> Self {
        Self {
            clock,
            limit: withdrawal_limit.map(|limit| limit.saturating_sub(LIMIT_MARGIN)),
            active_row: Cell::new(None),
            seen_row: Cell::new(None),
            has_teams: Cell::new(false),
            missed_up_to: Cell::new(0),
            proved_at: Cell::new(None),
            is_read_wanted: Cell::new(false),
            last_read: Cell::new(None),
            expired_since: Cell::new(None),
            changed: Notify::default(),
        }
    }

    /// The time to take before a call whose response may prove something.
    pub fn now(&self) -> BootTime {
        self.clock.now()
    }

    /// Whether the active configuration has teams. Without teams, proofs are not needed and no read
    /// is ever due.
    pub fn has_teams(&self) -> bool {
        self.has_teams.get()
    }

    /// Notified when a configuration becomes active and when a read is wanted.
    pub fn changed(&self) -> &Notify {
        &self.changed
    }

    /// Time since the active configuration was proved to be the newest one; `None` if it never was.
    pub fn age(&self) -> Option<Duration> {
        let proved_at = self.proved_at.get()?;
        Some(self.now().saturating_duration_since(proved_at))
    }

    /// Fails if the active configuration may lag behind one that withdraws keys.
    pub fn require_current(&self) -> Result<()> {
        let Some(limit) = self.limit else {
            return Ok(());
        };
        let age = self.age();
        if age.is_some_and(|age| age <= limit) {
            return Ok(());
        }
        let limit_ms = limit.as_millis();
        let message = match age {
            Some(age) => format!(
                "this gateway's configuration is too old: it was last known to be the newest one \
                 {} ms ago, the limit is {limit_ms} ms; retry at another gateway",
                age.as_millis()
            ),
            None => format!(
                "this gateway's configuration is too old: it is not known yet to be the newest \
                 one, which must have been so {limit_ms} ms ago at most; retry at another gateway"
            ),
        };
        Err(Error::new(ErrorKind::NotReady, message))
    }

    /// Whether the active configuration was the newest one less than `age` ago. If not, a read of
    /// the configuration is started.
    pub fn is_fresher_than(&self, age: Duration) -> bool {
        let is_fresher = self.age().is_some_and(|proof_age| proof_age < age);
        if !is_fresher {
            self.request_read();
        }
        is_fresher
    }

    /// Whether callers may be sent to this gateway.
    pub fn may_serve(&self) -> bool {
        !self.has_teams() || self.require_current().is_ok()
    }

    /// Whether a row that was read is to be applied: it is newer than all others that were read.
    pub fn is_newer(&self, row_version: RowVersion) -> bool {
        self.seen_row.get().is_none_or(|seen| row_version > seen)
    }

    /// Records that the configuration of this row is active.
    pub fn activate(&self, row_version: RowVersion, has_teams: bool) {
        self.has_teams.set(has_teams);
        self.active_row.set(Some(row_version));
        self.seen_row.set(Some(row_version));
        self.changed.notify();
    }

    /// Records that a row newer than all others has no usable configuration, so that the last one
    /// stays active.
    ///
    /// Only the change feed shows all rows before it. A read may have missed a usable one; after a
    /// full read, the feed does not bring that one either.
    pub fn skip(&self, source: ProofSource, row_version: RowVersion) {
        match source {
            ProofSource::Feed => self.seen_row.set(Some(row_version)),
            ProofSource::Snapshot => self.missed_up_to.set(row_version),
            ProofSource::Read | ProofSource::Peer => {}
        }
    }

    /// Records that a full read showed no row of the configuration.
    pub fn record_absence(&self) {
        let active_row = self.active_row.get();
        self.missed_up_to.set(active_row.map_or(0, |row| row + 1));
    }

    /// Records that the change feed showed a row. If it is the active one, it is newer than the last
    /// full read, which a read of the row may have overtaken.
    pub fn record_feed_row(&self, row_version: RowVersion) {
        if self.active_row.get() == Some(row_version) {
            self.missed_up_to.set(0);
        }
    }

    /// Records that all rows that existed at `started` have been applied.
    pub fn prove(&self, source: ProofSource, started: BootTime) {
        let active_row = self.active_row.get();
        let is_complete = active_row.is_some_and(|row| row >= self.missed_up_to.get());
        if !is_complete || started == BootTime::UNKNOWN {
            return;
        }
        self.proved_at.set(self.proved_at.get().max(Some(started)));
        if self.has_teams() {
            ::metrics::counter!(metrics::CONFIG_PROOFS, "source" => source.label()).increment(1);
        }
    }

    /// Records that `row_version` was the newest row at some time after `started`.
    pub fn prove_row(&self, source: ProofSource, row_version: RowVersion, started: BootTime) {
        if self.is_newer(row_version) {
            self.request_read();
        } else if self.seen_row.get() == Some(row_version) {
            self.prove(source, started);
        }
    }

    /// What to tell peers; `None` if there is nothing to tell, or the configuration has no teams.
    pub fn peer_proof(&self) -> Option<PeerProof> {
        let row_version = self.seen_row.get().filter(|_| self.has_teams())?;
        let age_ms = u64::try_from(self.age()?.as_millis()).unwrap_or(u64::MAX);
        Some(PeerProof {
            row_version,
            age_ms: age_ms.saturating_add(1),
        })
    }

    /// Records what a peer has told in the response to a request that was sent at `sent_at`.
    pub fn learn_from_peer(&self, proof: PeerProof, sent_at: BootTime) {
        if !self.has_teams() {
            return;
        }
        // A time before the start of this VM cannot be represented, and is too old in any case.
        if let Some(proved_at) = sent_at.checked_sub(Duration::from_millis(proof.age_ms)) {
            self.prove_row(ProofSource::Peer, proof.row_version, proved_at);
        }
    }

    /// Asks for a read of the configuration as soon as the interval between reads allows it.
    pub fn request_read(&self) {
        if !self.is_read_wanted.replace(true) {
            self.changed.notify();
        }
    }

    /// Whether the configuration is to be read now.
    pub fn is_read_due(&self, context: ReadContext) -> bool {
        let interval = match context.is_store_failing {
            true => OUTAGE_READ_INTERVAL,
            false => READ_INTERVAL,
        };
        let is_needed = context.is_domain_reader
            || self.is_read_wanted.get()
            || self.age().is_none_or(|age| age >= READ_AGE);
        let since_last = self.time_since_read();
        self.has_teams()
            && context.is_store_available
            && is_needed
            && since_last.is_none_or(|since| since >= interval)
    }

    /// Records that a read starts, and returns its start.
    pub fn start_read(&self) -> BootTime {
        let now = self.now();
        self.last_read.set(Some(now));
        self.is_read_wanted.set(false);
        now
    }

    /// Time after which to check again whether a read is due.
    pub fn time_to_check(&self) -> Duration {
        let since_last = self.time_since_read().unwrap_or(READ_INTERVAL);
        match READ_INTERVAL.saturating_sub(since_last) {
            Duration::ZERO => CHECK_INTERVAL,
            left => left.min(CHECK_INTERVAL),
        }
    }

    fn time_since_read(&self) -> Option<Duration> {
        let last = self.last_read.get()?;
        Some(self.now().saturating_duration_since(last))
    }

    /// Whether the proof has expired or was regained since the last call.
    pub fn observe(&self) -> Option<AgeChange> {
        let is_expired = self.has_teams() && self.require_current().is_err();
        match (is_expired, self.expired_since.get()) {
            (true, None) => {
                self.expired_since.set(Some(self.now()));
                Some(AgeChange::Expired(self.age()))
            }
            (false, Some(since)) => {
                self.expired_since.set(None);
                let expired_for = self.now().saturating_duration_since(since);
                Some(AgeChange::Regained(self.age()?, expired_for))
            }
            _ => None,
        }
    }

    /// Oldest proof with which keys may be used; `None` if the platform sets no limit.
    pub fn limit(&self) -> Option<Duration> {
        self.limit
    }
}
