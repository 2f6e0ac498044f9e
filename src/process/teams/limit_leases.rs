//! Who owns a shard of the limits of teams: the gateway that holds its lease, a row of the store.
//!
//! The row states the time of the store, `as_of_store_ms`, at an earlier answer. Its writer counts the
//! lease from the start of the call with this answer, so its lease has ended by its own clock when
//! the time of the store is [`LEASE_TIME`] past it. A call without an answer may still be performed;
//! each one is conditional on the version of the row that was read, so it cannot end a later lease.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use sapphireford_platform::store::{RowCondition, RowKey, RowWrite};
use serde::{Deserialize, Serialize};

use super::limit_bucket::BucketStart;
use super::limit_messages::ShardId;
use crate::process::boot_clock::BootTime;

/// Table of the leases.
pub const TABLE: &str = "team-limits";
const KEY: &str = "lease";
/// Time for which a lease is valid. The store is unavailable for up to nine seconds.
pub const LEASE_TIME: Duration = Duration::from_secs(10);
/// Time by which an owner ends its lease earlier, because its clock and that of the store may run at
/// rates that differ by up to 1 %.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);
/// Time after which an owner renews its lease.
const RENEW_INTERVAL: Duration = Duration::from_secs(2);
/// Time after which a failed renewal is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Age up to which the time of the store is written into a row. An older one shortens the lease.
const FRESH_TIME: Duration = Duration::from_millis(500);

/// Identifies one start of a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayStart {
    /// The id of the gateway; the same over restarts.
    pub gateway_id: String,
    /// Unique for each start.
    pub start: String,
    /// Address on which the other gateways are served.
    pub peer_address: SocketAddr,
}

/// The row of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// The gateway that holds the lease.
    pub gateway_id: String,
    /// The start of that gateway.
    pub start: String,
    /// Address on which that gateway serves the others.
    pub peer_address: SocketAddr,
    /// Time of the store from which the lease counts.
    pub as_of_store_ms: u64,
    /// Time of the store at which the holder had ended its lease itself; absent while it holds it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub released_store_ms: Option<u64>,
}

/// The row that holds the lease of a shard.
pub fn row_key(shard: ShardId) -> RowKey {
    RowKey {
        table: TABLE,
        partition: shard.to_string(),
        key: KEY.to_string(),
    }
}

/// The time of the store in one of its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreTime {
    /// The time of the store.
    pub store_ms: u64,
    /// Start of the call.
    pub call_started: BootTime,
    /// When the answer was received.
    pub answered: BootTime,
}

impl StoreTime {
    /// An own time that is not later than the one at which the store had the time `store_ms`.
    fn earliest_own(&self, store_ms: u64) -> BootTime {
        match store_ms.checked_sub(self.store_ms) {
            Some(later_ms) => self.call_started + Duration::from_millis(later_ms),
            None => {
                let earlier = Duration::from_millis(self.store_ms - store_ms);
                self.call_started.saturating_sub(earlier)
            }
        }
    }

    /// The latest time that the store can have at `now`.
    fn latest_store_ms(&self, now: BootTime) -> u64 {
        let elapsed_ms = now.saturating_duration_since(self.call_started).as_millis() as u64;
        // The two clocks run at rates that differ by up to 1 %.
        self.store_ms + elapsed_ms + elapsed_ms / 100 + 1
    }
}

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedRow {
    /// The version of the row; 0 if it has never existed.
    pub version: u64,
    /// `None` if there is no row, or one that cannot be decoded.
    pub row: Option<LeaseRow>,
    /// The time of the store in the answer.
    pub time: StoreTime,
}

/// The next call that a gateway has to make to own a shard.
#[derive(Clone, Debug)]
pub enum LeaseStep {
    /// Read the row.
    Read,
    /// Write the row on the condition that it has not changed.
    Write(Box<LeaseWrite>),
    /// Find out whether the process that serves peers at this address has ended.
    Probe(SocketAddr),
    /// Another gateway holds the lease.
    HeldBy(SocketAddr),
}

/// What connecting to the peer address of a gateway has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The peer address.
    pub address: SocketAddr,
    /// Whether the connection was refused, so that the process has ended.
    pub is_refused: bool,
    /// When that was known.
    pub ended_at: BootTime,
}

/// A conditional write of the row of a lease.
#[derive(Clone, Debug)]
pub struct LeaseWrite {
    version: u64,
    row: LeaseRow,
    lease_started: BootTime,
    /// What the buckets begin with if the lease is new.
    start: BucketStart,
}

impl LeaseWrite {
    /// The condition and the write of the transaction; `None` if the row cannot be encoded.
    pub fn transaction(&self, shard: ShardId) -> Option<(RowCondition, RowWrite)> {
        let condition = RowCondition {
            row: row_key(shard),
            version: self.version,
        };
        let write = RowWrite {
            row: row_key(shard),
            value: Some(Bytes::from(serde_json::to_vec(&self.row).ok()?)),
        };
        Some((condition, write))
    }

    /// What the buckets begin with if the lease is new.
    pub fn start(&self) -> BucketStart {
        self.start
    }

    /// The row that is written.
    pub fn row(&self) -> &LeaseRow {
        &self.row
    }
}

/// The time in which this gateway owns a shard without another owner in between.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenure {
    /// What the buckets begin with.
    pub start: BucketStart,
    /// Differs for each tenure of this process.
    pub number: u64,
}

/// What this gateway knows of the lease of a shard.
#[derive(Debug)]
pub struct ShardLease {
    own: Rc<GatewayStart>,
    /// `None` if the row has not been read, or a write had no answer.
    observed: Option<ObservedRow>,
    /// `None` if this gateway has never held the lease.
    held_until: Option<BootTime>,
    /// `None` if another gateway may have granted tokens since this one held the lease.
    tenure: Option<Tenure>,
    tenures: u64,
    renew_at: BootTime,
    is_released: bool,
}

impl ShardLease {
    /// Nothing is known of the lease yet.
    pub fn new(own: Rc<GatewayStart>) -> Self {
        Self {
            own,
            observed: None,
            held_until: None,
            tenure: None,
            tenures: 0,
            renew_at: BootTime::default(),
            is_released: false,
        }
    }

    /// The tenure of this gateway if it holds the lease at `now`; it may then decide.
    pub fn held(&self, now: BootTime) -> Option<Tenure> {
        let is_held = self.held_until.is_some_and(|until| now < until);
        self.tenure.filter(|_| is_held && !self.is_released)
    }

    /// Whether no other gateway has held the lease since this one did.
    pub fn has_tenure(&self) -> bool {
        self.tenure.is_some()
    }

    /// Whether the lease is due to be renewed.
    pub fn must_renew(&self, now: BootTime) -> bool {
        self.tenure.is_some() && !self.is_released && now >= self.renew_at
    }

    /// The peer address of another gateway that held the lease when the row was last read.
    pub fn other_holder(&self) -> Option<SocketAddr> {
        let row = self.observed.as_ref()?.row.as_ref()?;
        let is_other = row.released_store_ms.is_none() && !self.is_own_start(row);
        is_other.then_some(row.peer_address)
    }

    fn is_own_start(&self, row: &LeaseRow) -> bool {
        row.gateway_id == self.own.gateway_id && row.start == self.own.start
    }

    fn is_own_valid(&self, row: &LeaseRow) -> bool {
        self.is_own_start(row) && row.released_store_ms.is_none()
    }

    /// Applies the row as the store returned it, in a read or with a condition that does not hold.
    pub fn observe(&mut self, observed: ObservedRow) {
        let now = observed.time.answered;
        match &observed.row {
            Some(row) if self.is_own_valid(row) => {
                // A write without an answer was performed. All writes are conditional on a row that
                // was read, so no other gateway has held the lease since it was read.
                let lease_started = observed.time.earliest_own(row.as_of_store_ms);
                self.extend(lease_started);
                if self.tenure.is_none() {
                    self.begin_tenure(BucketStart::Since(now));
                }
            }
            _ => {
                self.tenure = None;
                self.held_until = None;
            }
        }
        self.observed = Some(observed);
    }

    fn extend(&mut self, lease_started: BootTime) {
        let until = lease_started + (LEASE_TIME - CLOCK_MARGIN);
        self.held_until = Some(self.held_until.map_or(until, |held| held.max(until)));
    }

    fn begin_tenure(&mut self, start: BucketStart) {
        self.tenures += 1;
        self.tenure = Some(Tenure {
            start,
            number: self.tenures,
        });
    }

    /// The next call to take or renew the lease. `probe` is the last result of [`LeaseStep::Probe`].
    pub fn next_step(&self, probe: Option<Probe>, now: BootTime) -> LeaseStep {
        let Some(observed) = &self.observed else {
            return LeaseStep::Read;
        };
        let is_fresh = now.saturating_duration_since(observed.time.call_started) <= FRESH_TIME;
        if !is_fresh {
            return LeaseStep::Read;
        }
        let start = match &observed.row {
            None if observed.version == 0 => BucketStart::Full,
            // Who wrote this row is not known, nor when.
            None => BucketStart::Since(observed.time.answered),
            Some(row) => match self.start_after(row, observed.time, probe) {
                Ok(start) => start,
                Err(step) => return step,
            },
        };
        LeaseStep::Write(Box::new(LeaseWrite {
            version: observed.version,
            row: LeaseRow {
                gateway_id: self.own.gateway_id.clone(),
                start: self.own.start.clone(),
                peer_address: self.own.peer_address,
                as_of_store_ms: observed.time.store_ms,
                released_store_ms: None,
            },
            lease_started: observed.time.call_started,
            start,
        }))
    }

    /// What the buckets begin with if this gateway takes the lease of `row`, or why it must not.
    fn start_after(
        &self,
        row: &LeaseRow,
        time: StoreTime,
        probe: Option<Probe>,
    ) -> Result<BucketStart, LeaseStep> {
        let lease_ms = LEASE_TIME.as_millis() as u64;
        let ended_ms = row
            .released_store_ms
            .unwrap_or(row.as_of_store_ms.saturating_add(lease_ms));
        let has_ended = time.store_ms >= ended_ms || row.released_store_ms.is_some();
        if has_ended {
            let elapsed = Duration::from_millis(time.store_ms.saturating_sub(ended_ms));
            // The store had this time at the start of the call at the earliest.
            return Ok(BucketStart::Since(time.answered.saturating_sub(elapsed)));
        }
        if row.gateway_id == self.own.gateway_id {
            return Ok(BucketStart::Since(time.answered));
        }
        match probe.filter(|probe| probe.address == row.peer_address) {
            None => Err(LeaseStep::Probe(row.peer_address)),
            // The holder may have granted tokens after the row was read.
            Some(probe) if probe.is_refused => Ok(BucketStart::Since(probe.ended_at)),
            Some(_) => Err(LeaseStep::HeldBy(row.peer_address)),
        }
    }

    /// Applies a write that took effect. Returns whether the lease is new.
    pub fn committed(&mut self, write: LeaseWrite, version: u64, time: StoreTime) -> bool {
        if write.row.released_store_ms.is_some() {
            self.observed = None;
            return false;
        }
        self.extend(write.lease_started);
        self.renew_at = time.answered + RENEW_INTERVAL;
        let is_new = self.tenure.is_none();
        if is_new {
            self.begin_tenure(write.start);
        }
        self.observed = Some(ObservedRow {
            version,
            row: Some(write.row),
            time,
        });
        is_new
    }

    /// Records that a call had no answer. A write may be performed at any time as long as its
    /// condition holds.
    pub fn unanswered(&mut self, now: BootTime) {
        self.observed = None;
        self.renew_at = now + RETRY_INTERVAL;
    }

    /// Ends the lease: this gateway decides no more. Returns the write that tells it to the others;
    /// `None` if the lease is not held. To be called again when a write that was in flight has taken or
    /// renewed the lease since.
    pub fn release(&mut self, now: BootTime) -> Option<LeaseWrite> {
        let is_held = self.tenure.is_some() && self.held_until.is_some_and(|until| now < until);
        self.is_released = true;
        let observed = self.observed.as_ref().filter(|_| is_held)?;
        let row = observed.row.as_ref().filter(|row| self.is_own_start(row))?;
        let released_store_ms = observed.time.latest_store_ms(now);
        Some(LeaseWrite {
            version: observed.version,
            row: LeaseRow {
                released_store_ms: Some(released_store_ms),
                ..row.clone()
            },
            lease_started: observed.time.call_started,
            start: BucketStart::Since(now),
        })
    }
}
