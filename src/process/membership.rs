//! The entries of the site, and failure detection by their leases.
//!
//! One task scans the entry rows at a fixed interval. A lease counts as expired when the row has
//! not changed for the lease TTL, measured by this process's monotonic clock ([`Observations`]), so
//! that the clocks of two VMs are never compared. An expired lease is only a reason to try to fence
//! the entry; the compare-and-set of its row decides.
//!
//! A second task reads the platform's list of VMs. It is only a hint, which keeps new work from
//! entries on a VM that is leaving.

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

/// Longest gap between two scans, in scan intervals. A longer gap, for example because the process
/// was paused, restarts the observation of all entries like a failed scan.
const MAX_SCAN_GAP_INTERVALS: u32 = 2;
/// Shortest delay between the end of a scan and the start of the next, see
/// [`Observations::next_scan`].
const MIN_SCAN_DELAY: Duration = Duration::from_millis(20);

struct ObservedEntry {
    row: EntryRow,
    /// End of the scan that first returned the row with this incarnation and renewal counter, or of
    /// the first scan after an interruption, if that is later.
    unchanged_since: Instant,
}

/// The result of successive scans of the entry rows, from which expired leases are derived. It has
/// no clock and no connection of its own: the caller passes the start and the end of each scan.
pub struct Observations {
    interval: Duration,
    entries: IndexMap<EntryId, ObservedEntry>,
    last_scan: Option<Scan>,
    /// Whether the latest scan failed. The time since the last successful scan then does not count
    /// towards the expiry of a lease.
    is_interrupted: bool,
}

#[derive(Clone, Copy)]
struct Scan {
    started: Instant,
    ended: Instant,
}

impl Observations {
    /// Starts without entries; `interval` is the regular time between the starts of two scans.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            entries: IndexMap::new(),
            last_scan: None,
            is_interrupted: false,
        }
    }

    /// Records the rows that a successful scan returned.
    pub fn record_scan(&mut self, started: Instant, ended: Instant, rows: Vec<EntryRow>) {
        let max_gap = self.interval * MAX_SCAN_GAP_INTERVALS;
        let is_continuous = !self.is_interrupted
            && self
                .last_scan
                .is_some_and(|last| ended.duration_since(last.ended) <= max_gap);
        let mut previous = std::mem::take(&mut self.entries);
        for row in rows {
            let unchanged = previous
                .swap_remove(&row.entry_id)
                .filter(|observed| is_continuous && is_same_renewal(&observed.row, &row));
            let unchanged_since = unchanged.map_or(ended, |observed| observed.unchanged_since);
            let observed = ObservedEntry {
                row,
                unchanged_since,
            };
            self.entries.insert(observed.row.entry_id.clone(), observed);
        }
        self.last_scan = Some(Scan { started, ended });
        self.is_interrupted = false;
    }

    /// Records that a scan failed. The rows are retained, but no lease counts as expired until a
    /// scan succeeds, which restarts the observation of every entry.
    pub fn record_failure(&mut self) {
        self.is_interrupted = true;
    }

    /// How long the row is known to be unchanged: from the end of the first scan that returned it
    /// to the start of the last one, which never exceeds the actual time.
    fn unchanged_for(&self, observed: &ObservedEntry) -> Duration {
        match self.last_scan {
            Some(last) if !self.is_interrupted => last
                .started
                .saturating_duration_since(observed.unchanged_since),
            _ => Duration::ZERO,
        }
    }

    /// The rows of the last successful scan, in any state.
    pub fn entries(&self) -> impl Iterator<Item = &EntryRow> {
        self.entries.values().map(|observed| &observed.row)
    }

    /// The row of an entry in the last successful scan; `None` if the scan did not return one.
    pub fn get(&self, entry_id: &str) -> Option<&EntryRow> {
        self.entries.get(entry_id).map(|observed| &observed.row)
    }

    /// Entries that must renew their lease and have been observed not to for at least `lease_ttl`.
    pub fn expired(&self, lease_ttl: Duration) -> impl Iterator<Item = &EntryRow> {
        self.entries
            .values()
            .filter(move |observed| {
                must_renew(&observed.row) && self.unchanged_for(observed) >= lease_ttl
            })
            .map(|observed| &observed.row)
    }

    /// When to start the next scan: one interval after the last, or earlier, at the first instant
    /// at which a scan can prove that the lease of an entry has expired. Otherwise a crash would be
    /// detected up to one interval late. `None` before the first successful scan.
    pub fn next_scan(&self, lease_ttl: Duration) -> Option<Instant> {
        let last = self.last_scan?;
        let regular = last.started + self.interval;
        let expiries = self
            .entries
            .values()
            .filter(|observed| must_renew(&observed.row) && !self.is_interrupted)
            .map(|observed| observed.unchanged_since + lease_ttl)
            .filter(|expiry| *expiry > last.started);
        let next = expiries.fold(regular, Instant::min);
        Some(next.max(last.ended + MIN_SCAN_DELAY))
    }

    /// The end of the last successful scan; `None` before the first.
    pub fn last_scan_end(&self) -> Option<Instant> {
        self.last_scan.map(|scan| scan.ended)
    }
}

fn is_same_renewal(before: &EntryRow, after: &EntryRow) -> bool {
    (before.incarnation, before.renewal) == (after.incarnation, after.renewal)
}

/// Whether an entry in this state is expected to renew its lease.
fn must_renew(row: &EntryRow) -> bool {
    matches!(row.state, EntryState::Live | EntryState::Leaving)
}

struct State {
    observations: RefCell<Observations>,
    vms: RefCell<Vec<Vm>>,
    lease_ttl: Duration,
    /// Notified of each change listed at [`Membership::subscribe`].
    changed: Notify,
}

/// A handle to the membership tasks; clones share them. The tasks end when the last handle and
/// subscription are dropped.
#[derive(Clone)]
pub struct Membership {
    state: Rc<State>,
}

impl Membership {
    /// Starts the tasks that scan the entry rows and read the list of VMs, both every `interval`.
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
        // The list of VMs is only a hint, so it has a task of its own: a slow response must not
        // delay the scans of the entry rows.
        monoio::spawn(vm_task(Rc::downgrade(&state), platform, timer, interval));
        Self { state }
    }

    /// All entries of the last successful scan, in any state.
    pub fn entries(&self) -> Vec<EntryRow> {
        self.state
            .observations
            .borrow()
            .entries()
            .cloned()
            .collect()
    }

    /// The entries that may receive new work: the state in their row is `live`, and the platform
    /// does not list their VM as leaving. They may include crashed entries that are not fenced yet.
    pub fn live(&self) -> Vec<EntryRow> {
        let mut entries = self.entries();
        entries.retain(|row| row.state == EntryState::Live && !self.is_vm_leaving(row));
        entries
    }

    /// Entries whose lease has expired, see [`Observations::expired`].
    pub fn expired(&self, lease_ttl: Duration) -> Vec<EntryRow> {
        let observations = self.state.observations.borrow();
        observations.expired(lease_ttl).cloned().collect()
    }

    /// The row of an entry in the last successful scan; `None` if the scan did not return one.
    pub fn get(&self, entry_id: &str) -> Option<EntryRow> {
        self.state.observations.borrow().get(entry_id).cloned()
    }

    /// The platform's list of VMs as last read. The platform updates the list with a lag.
    pub fn vms(&self) -> Vec<Vm> {
        self.state.vms.borrow().clone()
    }

    /// Whether the platform lists the VM of an entry as leaving. A VM matches by either address of
    /// the entry.
    pub fn is_vm_leaving(&self, row: &EntryRow) -> bool {
        let is_of_entry = |vm: &Vm| [row.http_address, row.peer_address].contains(&vm.address);
        let vms = self.state.vms.borrow();
        vms.iter()
            .any(|vm| vm.state == VmState::Leaving && is_of_entry(vm))
    }

    /// Time since the end of the last successful scan; `None` before the first.
    pub fn time_since_scan(&self) -> Option<Duration> {
        let ended = self.state.observations.borrow().last_scan_end()?;
        Some(ended.elapsed())
    }

    /// Subscribes to changes of the set of entries, of their rows (except the renewal counter and
    /// the last segment), of the set of expired leases and of the list of VMs.
    pub fn subscribe(&self) -> Subscription {
        Subscription {
            state: self.state.clone(),
            seen: self.state.changed.changes(),
        }
    }
}

/// A subscription to changes of the membership, see [`Membership::subscribe`].
pub struct Subscription {
    state: Rc<State>,
    seen: u64,
}

impl Subscription {
    /// Completes when something has changed since the previous call, or since the subscription for
    /// the first call.
    pub async fn changed(&mut self) {
        self.state.changed.changed_since(self.seen).await;
        self.seen = self.state.changed.changes();
    }
}

impl State {
    /// The part of the state whose changes are notified to subscribers.
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

    fn update(&self, update: impl FnOnce(&mut Observations)) {
        let before = self.summary();
        update(&mut self.observations.borrow_mut());
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
                state.update(|observations| observations.record_scan(started, ended, rows));
                let next = state.observations.borrow().next_scan(state.lease_ttl);
                next.unwrap_or(started + interval)
            }
            Err(error) => {
                metrics::counter!(MEMBERSHIP_SCANS, "outcome" => "failed").increment(1);
                log::warn!("failed to scan the entry rows: {}", chain(&error));
                state.update(Observations::record_failure);
                ended.max(started + interval)
            }
        };
        drop(state);
        timer.sleep_until(next).await;
    }
}

/// Skips rows that cannot be decoded, so that one invalid row does not hide the others.
fn decode_rows(rows: &[Row]) -> Vec<EntryRow> {
    let decode = |row: &Row| {
        let decoded = row.decode::<EntryRow>();
        decoded
            .inspect_err(
                |error| log::warn!(key = row.key; "skipped an invalid entry row: {}", chain(error)),
            )
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
            Err(error) => log::debug!(
                "failed to read the list of VMs, using the previous one: {}",
                chain(&error)
            ),
        }
        drop(state);
        ticks.tick().await;
    }
}
