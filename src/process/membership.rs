//! Which entries there are, and which of them seem dead.
//!
//! One task scans the entry rows each interval. An entry seems dead when its row has not changed for
//! the time of a lease, by this process's monotonic clock ([`Observations`]). That is only a reason
//! to try to fence the entry: the compare-and-set of its row decides.

use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::connection::platform::{PlatformClient, Row, Vm, VmState};
use crate::error::chain;
use crate::ids::EntryId;
use crate::process::metrics::MEMBERSHIP_SCANS;
use crate::process::notify::Notify;
use crate::process::rows::{ENTRY_PREFIX, EntryRow, EntryState};
use crate::process::timer::TimerService;

/// A gap between two scans of more than this many intervals, for example because the process was
/// paused, interrupts the observation like a failed scan.
const LONGEST_GAP_INTERVALS: u32 = 2;
/// Least pause before an additional scan, see [`Observations::next_scan`].
const LEAST_PAUSE: Duration = Duration::from_millis(20);

struct Observed {
    row: EntryRow,
    /// End of the scan that first showed the row with this incarnation and renewal counter, or of
    /// the first scan after an interruption.
    unchanged_since: Instant,
}

/// What successive scans have shown. It has no clock and no connection of its own: the caller says
/// when a scan started and ended.
pub struct Observations {
    interval: Duration,
    entries: IndexMap<EntryId, Observed>,
    last_scan: Option<Scan>,
    /// Whether the latest scan failed, so that the time since the one before does not count.
    interrupted: bool,
}

#[derive(Clone, Copy)]
struct Scan {
    started: Instant,
    ended: Instant,
}

impl Observations {
    /// Starts without any knowledge; `interval` is the planned time between scans.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            entries: IndexMap::new(),
            last_scan: None,
            interrupted: false,
        }
    }

    /// Records the rows of a scan that succeeded.
    pub fn record_scan(&mut self, started: Instant, ended: Instant, rows: Vec<EntryRow>) {
        let longest_gap = self.interval * LONGEST_GAP_INTERVALS;
        let continuous = !self.interrupted
            && self
                .last_scan
                .is_some_and(|last| ended.duration_since(last.ended) <= longest_gap);
        let mut before = std::mem::take(&mut self.entries);
        for row in rows {
            let unchanged = before
                .swap_remove(&row.entry_id)
                .filter(|observed| continuous && is_same_renewal(&observed.row, &row));
            let unchanged_since = unchanged.map_or(ended, |observed| observed.unchanged_since);
            let observed = Observed {
                row,
                unchanged_since,
            };
            self.entries.insert(observed.row.entry_id.clone(), observed);
        }
        self.last_scan = Some(Scan { started, ended });
        self.interrupted = false;
    }

    /// Records that a scan failed. The rows stay known, but no time counts until a scan succeeds,
    /// and then the observation of every entry starts again.
    pub fn record_failure(&mut self) {
        self.interrupted = true;
    }

    /// For how long the scans have shown the row unchanged: from the end of the first of them to the
    /// start of the last one, so never more than the true time.
    fn unchanged_time(&self, observed: &Observed) -> Duration {
        match self.last_scan {
            Some(last) if !self.interrupted => last
                .started
                .saturating_duration_since(observed.unchanged_since),
            _ => Duration::ZERO,
        }
    }

    /// All entries of the last scan that succeeded.
    pub fn entries(&self) -> impl Iterator<Item = &EntryRow> {
        self.entries.values().map(|observed| &observed.row)
    }

    /// The row of an entry.
    pub fn get(&self, entry_id: &str) -> Option<&EntryRow> {
        self.entries.get(entry_id).map(|observed| &observed.row)
    }

    /// Entries that should renew their lease and have not done so for `lease_ttl`.
    pub fn expired(&self, lease_ttl: Duration) -> impl Iterator<Item = &EntryRow> {
        self.entries
            .values()
            .filter(move |observed| {
                renews(&observed.row) && self.unchanged_time(observed) >= lease_ttl
            })
            .map(|observed| &observed.row)
    }

    /// When to start the next scan: after an interval, or earlier at the instant at which the lease
    /// of an entry would prove to have expired. Without that, a death would be seen up to an
    /// interval late.
    pub fn next_scan(&self, lease_ttl: Duration) -> Option<Instant> {
        let last = self.last_scan?;
        let regular = last.started + self.interval;
        let expiries = self
            .entries
            .values()
            .filter(|observed| renews(&observed.row) && !self.interrupted)
            .map(|observed| observed.unchanged_since + lease_ttl)
            .filter(|expiry| *expiry > last.started);
        let next = expiries.fold(regular, Instant::min);
        Some(next.max(last.ended + LEAST_PAUSE))
    }

    /// The end of the last scan that succeeded.
    pub fn last_success(&self) -> Option<Instant> {
        self.last_scan.map(|scan| scan.ended)
    }
}

fn is_same_renewal(before: &EntryRow, after: &EntryRow) -> bool {
    (before.incarnation, before.renewal) == (after.incarnation, after.renewal)
}

/// Whether an entry in this state is expected to renew its lease.
fn renews(row: &EntryRow) -> bool {
    matches!(row.state, EntryState::Live | EntryState::Leaving)
}

struct State {
    observations: RefCell<Observations>,
    vms: RefCell<Vec<Vm>>,
    lease_ttl: Duration,
    /// Notified of each change that subscribers are told about.
    changed: Notify,
}

/// A handle to the membership task; clones share it. The task ends with the last handle.
#[derive(Clone)]
pub struct Membership {
    state: Rc<State>,
}

impl Membership {
    /// Starts the task that scans the entry rows.
    pub fn start(
        platform: PlatformClient,
        timer: TimerService,
        interval: Duration,
        lease_ttl: Duration,
    ) -> Self {
        let state = Rc::new(State {
            observations: RefCell::new(Observations::new(interval)),
            vms: RefCell::default(),
            lease_ttl,
            changed: Notify::default(),
        });
        let scan_state = Rc::downgrade(&state);
        monoio::spawn(scan_task(
            scan_state,
            platform.clone(),
            timer.clone(),
            interval,
        ));
        // The list of VMs is only a hint; a slow answer must not delay the scans of the rows.
        monoio::spawn(vm_task(Rc::downgrade(&state), platform, timer, interval));
        Self { state }
    }

    /// All entries, whatever their state.
    pub fn entries(&self) -> Vec<EntryRow> {
        self.state
            .observations
            .borrow()
            .entries()
            .cloned()
            .collect()
    }

    /// The entries that may get new work: their row says `live`, and the platform does not list
    /// their VM as leaving. Among them may be dead ones that no other entry has fenced yet.
    pub fn live(&self) -> Vec<EntryRow> {
        let mut entries = self.entries();
        entries.retain(|row| row.state == EntryState::Live && !self.is_vm_leaving(row));
        entries
    }

    /// Entries that have not renewed their lease for `lease_ttl` of observed time.
    pub fn expired(&self, lease_ttl: Duration) -> Vec<EntryRow> {
        let observations = self.state.observations.borrow();
        observations.expired(lease_ttl).cloned().collect()
    }

    /// The row of an entry.
    pub fn get(&self, entry_id: &str) -> Option<EntryRow> {
        self.state.observations.borrow().get(entry_id).cloned()
    }

    /// The platform's list of VMs, which lags.
    pub fn vms(&self) -> Vec<Vm> {
        self.state.vms.borrow().clone()
    }

    /// Whether the platform lists the VM of an entry as leaving.
    pub fn is_vm_leaving(&self, row: &EntryRow) -> bool {
        let is_of_entry = |vm: &Vm| [row.http_address, row.peer_address].contains(&vm.address);
        let vms = self.state.vms.borrow();
        vms.iter()
            .any(|vm| vm.state == VmState::Leaving && is_of_entry(vm))
    }

    /// Time since the last scan that succeeded; `None` before the first.
    pub fn age(&self) -> Option<Duration> {
        let ended = self.state.observations.borrow().last_success()?;
        Some(ended.elapsed())
    }

    /// Subscribes to changes of the set of entries, of their rows (other than renewals and
    /// segments), of the expired entries and of the list of VMs.
    pub fn subscribe(&self) -> Changes {
        Changes {
            state: self.state.clone(),
            seen: self.state.changed.changes(),
        }
    }
}

/// A subscription to changes of the membership.
pub struct Changes {
    state: Rc<State>,
    seen: u64,
}

impl Changes {
    /// Completes when something has changed since the last call or the subscription.
    pub async fn changed(&mut self) {
        self.state.changed.changed_since(self.seen).await;
        self.seen = self.state.changed.changes();
    }
}

impl State {
    /// What subscribers are told about.
    fn summary(&self) -> (Vec<EntryRow>, Vec<EntryId>) {
        let observations = self.observations.borrow();
        let mut rows: Vec<_> = observations.entries().cloned().collect();
        for row in &mut rows {
            row.renewal = 0;
            row.segment = 0;
        }
        let expired = observations.expired(self.lease_ttl);
        (rows, expired.map(|row| row.entry_id.clone()).collect())
    }

    fn record(&self, record: impl FnOnce(&mut Observations)) {
        let before = self.summary();
        record(&mut self.observations.borrow_mut());
        if before != self.summary() {
            self.changed.notify();
        }
    }
}

async fn scan_task(
    state: Weak<State>,
    platform: PlatformClient,
    timer: TimerService,
    interval: Duration,
) {
    loop {
        let started = timer.now();
        let scan = platform.scan(ENTRY_PREFIX).await;
        let ended = timer.now();
        let Some(state) = state.upgrade() else { return };
        let next = match scan {
            Ok(rows) => {
                metrics::counter!(MEMBERSHIP_SCANS, "outcome" => "ok").increment(1);
                let rows = decode_rows(&rows);
                state.record(|observations| observations.record_scan(started, ended, rows));
                let next = state.observations.borrow().next_scan(state.lease_ttl);
                next.unwrap_or(started + interval)
            }
            Err(error) => {
                metrics::counter!(MEMBERSHIP_SCANS, "outcome" => "failed").increment(1);
                log::warn!("scan of the entry rows failed: {}", chain(&error));
                state.record(Observations::record_failure);
                ended.max(started + interval)
            }
        };
        drop(state);
        timer.sleep_until(next).await;
    }
}

/// Rows that cannot be decoded are left out, so that one bad row does not hide the others.
fn decode_rows(rows: &[Row]) -> Vec<EntryRow> {
    let decode = |row: &Row| {
        let decoded = row.decode::<EntryRow>();
        decoded
            .inspect_err(|error| log::warn!(key = row.key; "entry row skipped: {}", chain(error)))
            .ok()
    };
    rows.iter().filter_map(decode).collect()
}

async fn vm_task(
    state: Weak<State>,
    platform: PlatformClient,
    timer: TimerService,
    interval: Duration,
) {
    let mut ticks = timer.subscribe(interval);
    loop {
        let vms = platform.vms().await;
        let Some(state) = state.upgrade() else { return };
        match vms {
            Ok(vms) => {
                let summary = |vms: &[Vm]| -> Vec<_> {
                    vms.iter().map(|vm| (vm.address, vm.state)).collect()
                };
                let changed = summary(&vms) != summary(&state.vms.borrow());
                *state.vms.borrow_mut() = vms;
                if changed {
                    state.changed.notify();
                }
            }
            // The last list stays in use.
            Err(error) => log::debug!("the list of VMs was not read: {}", chain(&error)),
        }
        drop(state);
        ticks.tick().await;
    }
}
