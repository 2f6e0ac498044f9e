//! Acquires, releases and checkpoints slots, and recovers entries whose lease has expired.
//!
//! Slots are assigned by rendezvous hashing over the candidates ([`placement`]): each entry
//! acquires the free slots that prefer it and releases those that prefer another entry. It changes
//! the rows of its slots through the journal, which commits them under the lease of this entry.
//!
//! Three tasks run concurrently, so that a long recovery does not delay the rebalancing of slots:
//!
//! - `rebalance_slots` acquires and releases slots,
//! - `checkpoints::write_checkpoints` writes checkpoints, which bound what a recovery has to read,
//! - `recoveries::recover_entries` fences and recovers entries whose lease has expired.

mod checkpoints;
mod recoveries;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::select;
use futures_util::stream::{self, StreamExt};
use indexmap::{IndexMap, IndexSet};

use crate::connection::platform::{MAX_CHANGES_PER_COMMIT, PlatformClient};
use crate::error::chain;
use crate::ids::{EntryId, SlotId};
use crate::process::journal::{Journal, SlotChange, SlotChangeOutcome};
use crate::process::membership::Membership;
use crate::process::metrics::SLOT_CHANGES;
use crate::process::recovery;
use crate::process::rows::{EntryIncarnation, EntryState, SlotRow, slot_key};
use crate::process::settings::Settings;
use crate::process::slots::{Slots, placement};
use crate::process::timer::TimerService;

/// Interval of rebalancing. The slot rows are read only while this entry does not hold all slots
/// that prefer it.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Grace period after which a slot that prefers another entry accepts no new requests, so that it
/// becomes idle. Before that, it is released only if it is idle.
const RELEASE_GRACE_PERIOD: Duration = Duration::from_secs(10);
/// Limit of concurrent reads or writes of objects.
const MAX_CONCURRENT_OBJECT_CALLS: usize = 16;

/// The slots that prefer this entry, cached until the candidates change, because finding them takes
/// a hash for each pair of slot and candidate.
#[derive(Default)]
struct PreferredSlots {
    candidates: IndexSet<EntryId>,
    own_slots: IndexSet<SlotId>,
}

/// Assigns slots to this entry, and tracks which other entries hold the rest.
pub struct SlotManager {
    slots: Rc<Slots>,
    journal: Journal,
    platform: PlatformClient,
    membership: Membership,
    timer: TimerService,
    settings: Rc<Settings>,
    is_leaving: Cell<bool>,
    /// Lease holders of slots, as last seen in slot rows or responses of peers. They may be
    /// outdated.
    holder_hints: RefCell<IndexMap<SlotId, EntryId>>,
    /// When each held slot was first found to prefer another entry.
    release_pending_since: RefCell<IndexMap<SlotId, Instant>>,
    preferred_slots: RefCell<PreferredSlots>,
    /// Shared by the keys of checkpoints and of evicted conversations.
    next_object_number: Cell<u64>,
    /// Slots with a row change in flight. A periodic checkpoint and a release of the same slot
    /// derive their change from the same version of the row, so only one of them may be in flight.
    slots_in_change: RefCell<IndexSet<SlotId>>,
}

impl SlotManager {
    /// Creates a manager, which is inactive until [`SlotManager::start`].
    pub fn new(
        slots: Rc<Slots>,
        journal: Journal,
        platform: PlatformClient,
        membership: Membership,
        timer: TimerService,
        settings: Rc<Settings>,
    ) -> Rc<Self> {
        Rc::new(Self {
            slots,
            journal,
            platform,
            membership,
            timer,
            settings,
            is_leaving: Cell::new(false),
            holder_hints: RefCell::default(),
            release_pending_since: RefCell::default(),
            preferred_slots: RefCell::default(),
            next_object_number: Cell::new(1),
            slots_in_change: RefCell::default(),
        })
    }

    /// Starts the tasks that rebalance, checkpoint and recover. They never end.
    pub fn start(self: &Rc<Self>) {
        monoio::spawn(rebalance_slots(self.clone()));
        monoio::spawn(checkpoints::write_checkpoints(self.clone()));
        monoio::spawn(recoveries::recover_entries(self.clone()));
    }

    /// Starts the drain: the entry acquires no more slots and releases those it holds.
    pub fn leave(&self) {
        self.is_leaving.set(true);
        self.slots.changed().notify();
    }

    /// The entry that probably holds a slot: the lease holder seen last, or else the preferred
    /// candidate. `None` if there are no candidates.
    pub fn probable_holder(&self, slot: SlotId) -> Option<EntryId> {
        if self.slots.is_serving(slot) {
            return Some(self.settings.entry_id.clone());
        }
        let hint = self.holder_hints.borrow().get(&slot).cloned();
        let hint = hint.filter(|hint| *hint != self.settings.entry_id && self.may_hold(hint));
        hint.or_else(|| preferred(slot, &self.candidates()))
    }

    /// Whether an entry may hold slots. One that is leaving still serves those that it has not
    /// released.
    fn may_hold(&self, entry_id: &EntryId) -> bool {
        let row = self.membership.get(entry_id);
        row.is_some_and(|row| matches!(row.state, EntryState::Live | EntryState::Leaving))
    }

    /// Records which entry was last seen as the lease holder of a slot; `None` if the known one
    /// turned out to be wrong or unreachable, or if the slot is free.
    pub fn update_holder_hint(&self, slot: SlotId, holder: Option<EntryId>) {
        let mut hints = self.holder_hints.borrow_mut();
        match holder {
            Some(holder) => {
                hints.insert(slot, holder);
            }
            None => {
                hints.swap_remove(&slot);
            }
        }
    }

    /// The candidates in the order in which a slot prefers them.
    pub fn ranked_candidates(&self, slot: SlotId) -> Vec<EntryId> {
        let candidates = self.candidates();
        let ranked = placement::rank(slot, candidates.iter().map(|id| &**id));
        ranked.into_iter().map(EntryId::from).collect()
    }

    /// The entries that slots are assigned to: the live ones, without this entry once it is
    /// leaving. This entry is included as soon as it is registered, even if no scan has returned
    /// its row yet.
    pub fn candidates(&self) -> IndexSet<EntryId> {
        let mut candidates: IndexSet<EntryId> = self
            .membership
            .live()
            .into_iter()
            .map(|row| row.entry_id)
            .collect();
        if self.is_leaving.get() {
            candidates.shift_remove(&self.settings.entry_id);
        } else if self.journal.own_incarnation().is_some() {
            candidates.insert(self.settings.entry_id.clone());
        }
        candidates
    }

    /// Returns the slots to acquire and the slots to release.
    fn plan_rebalance(&self) -> (Vec<SlotId>, Vec<SlotId>) {
        self.update_preferred_slots();
        let own_slots = &self.preferred_slots.borrow().own_slots;
        let missing = own_slots.iter().filter(|slot| !self.slots.is_held(**slot));
        let to_acquire = missing.copied().collect();
        let mut to_release = self.slots.held();
        to_release.retain(|slot| !own_slots.contains(slot));
        (to_acquire, to_release)
    }

    fn update_preferred_slots(&self) {
        let candidates = self.candidates();
        let mut preferred_slots = self.preferred_slots.borrow_mut();
        if preferred_slots.candidates == candidates {
            return;
        }
        let own = &self.settings.entry_id;
        preferred_slots.own_slots = (0..self.slots.slot_count())
            .filter(|slot| preferred(*slot, &candidates).as_ref() == Some(own))
            .collect();
        preferred_slots.candidates = candidates;
    }

    /// Acquires those of the given slots that are free. A slot without a row has never been held.
    async fn acquire(&self, to_acquire: &[SlotId]) -> crate::connection::platform::Result<()> {
        let Some(holder) = self.journal.own_incarnation() else {
            return Ok(());
        };
        let rows = self.read_rows(to_acquire).await?;
        let free = to_acquire.iter().filter_map(|slot| match rows.get(slot) {
            None => Some((
                SlotRow {
                    slot: *slot,
                    holder: None,
                    checkpoint: None,
                    first_segment: 0,
                },
                0,
            )),
            Some((row, version)) if row.holder.is_none() => Some((row.clone(), *version)),
            Some(_) => None,
        });
        let free: Vec<_> = free.collect();
        for chunk in free.chunks(MAX_CHANGES_PER_COMMIT) {
            self.acquire_chunk(&holder, chunk).await?;
        }
        Ok(())
    }

    /// Reads those of the slot rows that exist, and records their lease holders. Rows are read by
    /// key instead of by a scan, so that the bytes read do not depend on the number of slots of the
    /// site.
    async fn read_rows(
        &self,
        slots: &[SlotId],
    ) -> crate::connection::platform::Result<IndexMap<SlotId, (SlotRow, u64)>> {
        let keys: Vec<String> = slots.iter().map(|slot| slot_key(*slot)).collect();
        let mut rows = IndexMap::new();
        for keys in keys.chunks(MAX_CHANGES_PER_COMMIT) {
            let read = self.platform.read(keys).await?;
            for row in read.into_iter().filter(|row| row.version > 0) {
                let slot_row: SlotRow = row.decode()?;
                let holder = slot_row.holder.as_ref();
                let entry_id = holder.map(|holder| holder.entry_id.clone());
                self.update_holder_hint(slot_row.slot, entry_id);
                rows.insert(slot_row.slot, (slot_row, row.version));
            }
        }
        Ok(rows)
    }

    async fn acquire_chunk(
        &self,
        holder: &EntryIncarnation,
        free: &[(SlotRow, u64)],
    ) -> crate::connection::platform::Result<()> {
        let loads = free
            .iter()
            .map(|(row, _)| recovery::load_checkpoint(&self.platform, row));
        let loaded: Vec<_> = stream::iter(loads)
            .buffered(MAX_CONCURRENT_OBJECT_CALLS)
            .collect()
            .await;
        let mut changes = Vec::new();
        let mut states = Vec::new();
        for ((row, version), loaded) in free.iter().zip(loaded) {
            states.push(loaded?);
            let row = SlotRow {
                holder: Some(holder.clone()),
                first_segment: self.journal.committed_segment() + 1,
                ..row.clone()
            };
            changes.push(SlotChange {
                version: *version,
                row,
            });
        }
        let rows: Vec<SlotRow> = changes.iter().map(|change| change.row.clone()).collect();
        let Ok(outcomes) = self.journal.change_slots(changes).await else {
            return Ok(());
        };
        if self.journal.own_incarnation().as_ref() != Some(holder) {
            return Ok(());
        }
        for ((row, state), outcome) in rows.into_iter().zip(states).zip(outcomes) {
            if let SlotChangeOutcome::Written(version) = outcome {
                metrics::counter!(SLOT_CHANGES, "change" => "acquired").increment(1);
                self.slots.insert(holder.incarnation, row, version, state);
            }
        }
        Ok(())
    }

    /// Serves slots again that were marked for release and now prefer this entry. Their release may
    /// have been delayed by an outage of the platform or by calls in progress.
    fn cancel_releases(&self, to_release: &[SlotId]) {
        for slot in self.slots.held() {
            if !to_release.contains(&slot) {
                self.slots.cancel_release(slot);
            }
        }
    }

    /// Releases slots that prefer another entry. Idle slots are released at once; busy ones accept
    /// no new requests after [`RELEASE_GRACE_PERIOD`] and are released when they become idle.
    async fn release(&self, to_release: &[SlotId]) -> crate::connection::platform::Result<()> {
        let now = Instant::now();
        {
            let mut since = self.release_pending_since.borrow_mut();
            since.retain(|slot, _| to_release.contains(slot));
            for slot in to_release {
                since.entry(*slot).or_insert(now);
            }
        }
        let mut idle = Vec::new();
        for slot in to_release {
            let since = self
                .release_pending_since
                .borrow()
                .get(slot)
                .copied()
                .unwrap_or(now);
            if self.slots.is_idle(*slot) {
                self.slots.set_releasing(*slot);
                idle.push(*slot);
            } else if now.duration_since(since) >= RELEASE_GRACE_PERIOD {
                self.slots.set_releasing(*slot);
            }
        }
        for chunk in idle.chunks(MAX_CHANGES_PER_COMMIT) {
            self.checkpoint(chunk, true).await?;
        }
        Ok(())
    }
}

fn preferred(slot: SlotId, candidates: &IndexSet<EntryId>) -> Option<EntryId> {
    placement::preferred(slot, candidates.iter().map(|id| &**id)).map(EntryId::from)
}

async fn rebalance_slots(manager: Rc<SlotManager>) {
    loop {
        manager.journal.registered().await;
        let (to_acquire, mut to_release) = manager.plan_rebalance();
        manager.cancel_releases(&to_release);
        if !to_acquire.is_empty()
            && let Err(error) = manager.acquire(&to_acquire).await
        {
            log::warn!("failed to acquire slots: {}", chain(&error));
        }
        let next = Instant::now() + REBALANCE_INTERVAL;
        while !to_release.is_empty() && Instant::now() < next {
            let seen = manager.slots.changed().changes();
            if let Err(error) = manager.release(&to_release).await {
                log::warn!("failed to release slots: {}", chain(&error));
                break;
            }
            to_release.retain(|slot| manager.slots.is_held(*slot));
            // A busy slot is idle only briefly between two requests, so it is checked again
            // whenever a conversation is closed.
            let changed = std::pin::pin!(manager.slots.changed().changed_since(seen));
            select(manager.timer.sleep_until(next), changed).await;
        }
        manager.timer.sleep_until(next).await;
    }
}

impl SlotManager {
    /// Completes when this entry holds no slots.
    pub async fn wait_until_released(&self) {
        self.slots
            .changed()
            .until(|| self.slots.held().is_empty())
            .await;
    }

    /// Whether the entry is draining, see [`SlotManager::leave`].
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.get()
    }

    /// Writes the state of the entry to its row.
    pub async fn set_state(&self, state: EntryState) {
        self.journal.set_state(state).await;
    }
}
