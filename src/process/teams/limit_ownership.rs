//! Takes, renews and releases the leases of shards of teams, and decides for the shards whose lease
//! this gateway holds.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind as IoErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use monoio::net::TcpStream;
use rand::Rng;
use sapphireford_platform::store::{Row, TransactionAnswer};

use super::limit_leases::{
    GatewayStart, LeaseRow, LeaseStep, LeaseWrite, ObservedRow, Probe, ShardLease, StoreTime,
    row_key,
};
use super::limit_messages::{LimitRequest, LimitResponse, SHARDS, ShardId};
use super::limit_owner::ShardBuckets;
use crate::ids::VersionNumber;
use crate::process::boot_clock::BootTime;
use crate::process::gateway::settings::TeamLimitTolerance;
use crate::process::gateway::store::Store;
use crate::process::metrics;
use crate::process::notify::Notify;
use crate::process::task;

/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of the calls that release the leases.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a connection that shows whether a process has ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);
/// Time for which a probe is not repeated.
const PROBE_VALIDITY: Duration = Duration::from_millis(250);
/// Time after a failed call to the store in which the lease of the shard is not tried again.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);
/// Calls that are made to take one lease: a read, a probe, a write that fails, and all that again.
const MAX_STEPS: usize = 7;
/// Time without a call after which a lease is not renewed any more.
const ACTIVE_TIMEOUT: Duration = Duration::from_secs(10);

struct Shard {
    lease: RefCell<ShardLease>,
    /// The buckets and the number of the tenure in which they were made.
    buckets: RefCell<Option<(u64, ShardBuckets)>>,
    /// Whether a task is taking or renewing the lease.
    is_busy: Cell<bool>,
    finished: Notify,
    failed_at: Cell<Option<BootTime>>,
    probe: Cell<Option<Probe>>,
}

/// The shards that this gateway owns or may own.
pub struct LimitOwnership {
    own: Rc<GatewayStart>,
    store: Store,
    tolerance: TeamLimitTolerance,
    shards: Vec<Shard>,
    is_stopped: Cell<bool>,
}

impl LimitOwnership {
    /// Owns no shard yet.
    pub fn new(own: GatewayStart, store: Store, tolerance: TeamLimitTolerance) -> Self {
        let own = Rc::new(own);
        let shards = (0..SHARDS).map(|_| Shard {
            lease: RefCell::new(ShardLease::new(own.clone())),
            buckets: RefCell::default(),
            is_busy: Cell::new(false),
            finished: Notify::default(),
            failed_at: Cell::new(None),
            probe: Cell::new(None),
        });
        Self {
            shards: shards.collect(),
            own,
            store,
            tolerance,
            is_stopped: Cell::new(false),
        }
    }

    fn shard(&self, shard: ShardId) -> Option<&Shard> {
        self.shards.get(usize::from(shard))
    }

    /// Address on which this gateway serves the others.
    pub fn own_address(&self) -> SocketAddr {
        self.own.peer_address
    }

    /// Decides on a call; `None` if this gateway does not hold the lease.
    pub fn decide(&self, request: &LimitRequest, now: BootTime) -> Option<LimitResponse> {
        let shard = self.shard(request.shard)?;
        let tenure = shard.lease.borrow().held(now)?;
        let mut buckets = shard.buckets.borrow_mut();
        let is_current = |(number, _): &(u64, ShardBuckets)| *number == tenure.number;
        if !buckets.as_ref().is_some_and(is_current) {
            let issuer = rand::rng().random_range(1..=u64::MAX);
            let new = ShardBuckets::new(issuer, tenure.start, self.tolerance, now);
            *buckets = Some((tenure.number, new));
        }
        let (_, buckets) = buckets.as_mut()?;
        Some(buckets.decide(request, now))
    }

    /// The version of the configuration that the limit of a team is taken from; `None` if this
    /// gateway has no bucket of the team.
    pub fn config_version(&self, shard: ShardId, team: &str) -> Option<VersionNumber> {
        let buckets = self.shard(shard)?.buckets.borrow();
        buckets.as_ref()?.1.config_version(team)
    }

    /// Tokens of a team that are there now; `None` if this gateway has no bucket of it.
    pub fn level(&self, shard: ShardId, team: &str) -> Option<f64> {
        let buckets = self.shard(shard)?.buckets.borrow();
        buckets.as_ref()?.1.level(team)
    }

    /// The peer address of the gateway that held the lease when this one last read its row.
    pub fn other_holder(&self, shard: ShardId) -> Option<SocketAddr> {
        self.shard(shard)?.lease.borrow().other_holder()
    }

    /// Takes the lease of a shard if it is free. Completes when this gateway holds it or knows why
    /// it cannot; the calls go on if the future is dropped.
    pub async fn acquire(self: &Rc<Self>, id: ShardId) {
        let Some(shard) = self.shard(id) else { return };
        self.start_task(id, false);
        shard.finished.until(|| !shard.is_busy.get()).await;
    }

    fn start_task(self: &Rc<Self>, id: ShardId, is_renewal: bool) {
        let Some(shard) = self.shard(id) else { return };
        let now = BootTime::now();
        let is_paused = shard
            .failed_at
            .get()
            .is_some_and(|failed| now.saturating_duration_since(failed) < FAILURE_PAUSE);
        if shard.is_busy.get() || self.is_stopped.get() || is_paused {
            return;
        }
        shard.is_busy.set(true);
        let ownership = self.clone();
        monoio::spawn(async move {
            task::isolate("team-limit-lease", ownership.run_steps(id, is_renewal)).await;
            // The lease may have been taken by a call that was in flight when this gateway stopped.
            ownership.release_if_stopped(id).await;
            if let Some(shard) = ownership.shard(id) {
                shard.is_busy.set(false);
                shard.finished.notify();
            }
        });
    }

    /// Makes the calls to the store that take or renew a lease.
    async fn run_steps(&self, id: ShardId, is_renewal: bool) {
        let Some(shard) = self.shard(id) else { return };
        for _ in 0..MAX_STEPS {
            let now = BootTime::now();
            let is_held = shard.lease.borrow().held(now).is_some();
            if self.is_stopped.get() || (is_held && !is_renewal) {
                return;
            }
            let is_recent =
                |probe: &Probe| now.saturating_duration_since(probe.ended_at) < PROBE_VALIDITY;
            let probe = shard.probe.get().filter(is_recent);
            let step = shard.lease.borrow().next_step(probe, now);
            match step {
                LeaseStep::HeldBy(_) => return,
                LeaseStep::Probe(address) => {
                    let probe = self.probe(address).await;
                    shard.probe.set(Some(probe));
                }
                LeaseStep::Read => {
                    if !self.read(id, shard).await {
                        return;
                    }
                }
                LeaseStep::Write(write) => {
                    if self.write(id, shard, *write).await {
                        return;
                    }
                }
            }
        }
    }

    /// A refused connection shows that the process has ended; anything else shows nothing.
    async fn probe(&self, address: SocketAddr) -> Probe {
        let connecting = TcpStream::connect_addr(address);
        let connected = self.store.timer().timeout(PROBE_TIMEOUT, connecting).await;
        let is_refused = match connected {
            Ok(Err(error)) => error.kind() == IoErrorKind::ConnectionRefused,
            Ok(Ok(_)) | Err(_) => false,
        };
        Probe {
            address,
            is_refused,
            ended_at: BootTime::now(),
        }
    }

    /// Reads the row of a lease; returns whether there was an answer.
    async fn read(&self, id: ShardId, shard: &Shard) -> bool {
        let call_started = BootTime::now();
        let deadline = Instant::now() + STORE_TIMEOUT;
        let answer = self.store.read_versioned(&row_key(id), deadline).await;
        match answer {
            Ok((row, store_ms)) => {
                self.observe(id, shard, row, store_time(store_ms, call_started));
                true
            }
            Err(error) => {
                log::debug!(shard = id; "lease of limits of teams could not be read: {error}");
                self.record_failure(shard);
                false
            }
        }
    }

    /// Writes the row of a lease; returns whether that ends the attempt.
    async fn write(&self, id: ShardId, shard: &Shard, write: LeaseWrite) -> bool {
        let Some((condition, row)) = write.transaction(id) else {
            return true;
        };
        let call_started = BootTime::now();
        let deadline = Instant::now() + STORE_TIMEOUT;
        match self.store.write_if(condition, row, deadline).await {
            Ok((TransactionAnswer::Committed(version), store_ms)) => {
                let start = write.start();
                let time = store_time(store_ms, call_started);
                let is_new = shard.lease.borrow_mut().committed(write, version, time);
                if is_new {
                    count_change("taken");
                    log::info!(shard = id, start:? = start; "lease of limits of teams taken, this gateway counts their requests");
                }
                true
            }
            Ok((TransactionAnswer::ConditionFailed(rows), store_ms)) => {
                let row = rows.into_iter().next();
                self.observe(id, shard, row, store_time(store_ms, call_started));
                false
            }
            Ok((TransactionAnswer::Refused(_), _)) => true,
            Err(error) => {
                log::debug!(shard = id; "lease of limits of teams could not be written: {error}");
                self.record_failure(shard);
                true
            }
        }
    }

    fn observe(&self, id: ShardId, shard: &Shard, row: Option<Row>, time: StoreTime) {
        let decoded = row.as_ref().and_then(|row| {
            let value = row.value.as_ref()?;
            serde_json::from_slice::<LeaseRow>(value).ok()
        });
        let observed = ObservedRow {
            version: row.map_or(0, |row| row.version),
            row: decoded,
            time,
        };
        let mut lease = shard.lease.borrow_mut();
        let was_owner = lease.has_tenure();
        lease.observe(observed);
        if !was_owner && lease.has_tenure() {
            count_change("taken");
            log::info!(shard = id; "lease of limits of teams taken by a write without an answer, this gateway counts their requests");
        }
        if was_owner && !lease.has_tenure() {
            count_change("lost");
            let holder = lease.other_holder().map(|holder| holder.to_string());
            log::warn!(shard = id, holder = holder.unwrap_or_default(); "lease of limits of teams lost, another gateway counts their requests");
            drop(lease);
            shard.buckets.replace(None);
        }
    }

    fn record_failure(&self, shard: &Shard) {
        let now = BootTime::now();
        shard.lease.borrow_mut().unanswered(now);
        shard.failed_at.set(Some(now));
    }

    /// Renews the leases that are due and forgets idle teams. Returns whether any shard is active.
    pub fn maintain(self: &Rc<Self>, now: BootTime) -> bool {
        let mut has_active = false;
        for (id, shard) in (0..).zip(&self.shards) {
            let mut buckets = shard.buckets.borrow_mut();
            let Some((_, buckets)) = buckets.as_mut() else {
                continue;
            };
            let is_active = now.saturating_duration_since(buckets.asked_at()) < ACTIVE_TIMEOUT;
            has_active |= is_active;
            let must_renew = is_active && shard.lease.borrow().must_renew(now);
            if must_renew {
                self.start_task(id, true);
            }
        }
        has_active
    }

    /// Forgets the teams that have not been active for a while.
    pub fn remove_idle(&self, now: BootTime) {
        for shard in &self.shards {
            if let Some((_, buckets)) = shard.buckets.borrow_mut().as_mut() {
                buckets.remove_idle(now);
            }
        }
    }

    /// Ends all leases: this gateway decides no more, and tells the others by the rows.
    pub async fn release(&self) {
        self.is_stopped.set(true);
        let now = BootTime::now();
        let releases = (0..).zip(&self.shards).filter_map(|(id, shard)| {
            let write = shard.lease.borrow_mut().release(now)?;
            Some(self.write_release(id, write))
        });
        let releases: Vec<_> = releases.collect();
        join_all(releases).await;
    }

    async fn release_if_stopped(&self, id: ShardId) {
        let Some(shard) = self.shard(id).filter(|_| self.is_stopped.get()) else {
            return;
        };
        let write = shard.lease.borrow_mut().release(BootTime::now());
        if let Some(write) = write {
            self.write_release(id, write).await;
        }
    }

    async fn write_release(&self, id: ShardId, write: LeaseWrite) {
        let Some((condition, row)) = write.transaction(id) else {
            return;
        };
        let deadline = Instant::now() + RELEASE_TIMEOUT;
        match self.store.write_if(condition, row, deadline).await {
            Ok((TransactionAnswer::Committed(_), _)) => {
                count_change("released");
                log::info!(shard = id; "lease of limits of teams released");
            }
            Ok(_) => {
                log::info!(shard = id; "lease of limits of teams was taken by another gateway")
            }
            Err(error) => {
                log::warn!(shard = id; "lease of limits of teams not released, it ends by itself: {error}");
            }
        }
    }
}

fn store_time(store_ms: u64, call_started: BootTime) -> StoreTime {
    StoreTime {
        store_ms,
        call_started,
        answered: BootTime::now(),
    }
}

fn count_change(change: &'static str) {
    ::metrics::counter!(metrics::TEAM_LIMIT_LEASES, "change" => change).increment(1);
}
