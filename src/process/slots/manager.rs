//! Takes, releases and checkpoints slots, and recovers entries that lost their lease.
//!
//! Three tasks run side by side, so that a long recovery does not keep slots from moving:
//!
//! - `move_slots` takes free slots that prefer this entry and releases those that prefer another,
//! - `write_checkpoints` bounds what a recovery has to read,
//! - `recover_entries` fences and recovers entries whose lease has expired.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::select;
use futures_util::stream::{self, StreamExt};
use indexmap::{IndexMap, IndexSet};

use crate::connection::platform::PlatformClient;
use crate::error::chain;
use crate::ids::{EntryId, SlotId};
use crate::process::invariant;
use crate::process::journal::{Journal, SlotChange, SlotChangeOutcome, segment};
use crate::process::membership::Membership;
use crate::process::recovery;
use crate::process::rows::{
    EntryRow, EntryState, Holder, SlotRow, checkpoint_key, conversation_object_key, entry_key,
    segment_key, slot_key,
};
use crate::process::settings::Settings;
use crate::process::slots::{ConversationCell, Slots, placement};
use crate::process::timer::{TimerService, unix_ms};

/// Pause between two looks at the slot rows while slots that prefer this entry are missing.
const MOVE_INTERVAL: Duration = Duration::from_millis(200);
/// A slot that prefers another entry is released when it is idle, and after this time in any case.
const FORCED_RELEASE_AFTER: Duration = Duration::from_secs(10);
/// Objects read or written at the same time.
const PARALLEL_OBJECTS: usize = 16;
/// Slot rows read in one request or changed in one commit.
const CHANGES_PER_COMMIT: usize = 256;

/// The slots that prefer this entry, kept while the candidates stay the same: to find them takes a
/// hash for each slot and candidate.
#[derive(Default)]
struct Preferences {
    candidates: IndexSet<EntryId>,
    own_slots: IndexSet<SlotId>,
}

/// Moves slots between this entry and the others.
pub struct SlotManager {
    slots: Rc<Slots>,
    journal: Journal,
    platform: PlatformClient,
    membership: Membership,
    timer: TimerService,
    settings: Rc<Settings>,
    leaving: Cell<bool>,
    /// Holders that were seen in slot rows; a hint only.
    holders: RefCell<IndexMap<SlotId, EntryId>>,
    unwanted_since: RefCell<IndexMap<SlotId, Instant>>,
    preferences: RefCell<Preferences>,
    next_checkpoint: Cell<u64>,
    /// Slots whose row is being changed: a periodic checkpoint and a release of the same slot derive
    /// their change from the same version of the row, so only one of them may be on its way.
    changing: RefCell<IndexSet<SlotId>>,
}

impl SlotManager {
    /// Makes a manager; nothing happens before [`SlotManager::start`].
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
            leaving: Cell::new(false),
            holders: RefCell::default(),
            unwanted_since: RefCell::default(),
            preferences: RefCell::default(),
            next_checkpoint: Cell::new(1),
            changing: RefCell::default(),
        })
    }

    /// Starts the tasks.
    pub fn start(self: &Rc<Self>) {
        monoio::spawn(move_slots(self.clone()));
        monoio::spawn(write_checkpoints(self.clone()));
        monoio::spawn(recover_entries(self.clone()));
    }

    /// Makes the entry take no more slots and release those it holds.
    pub fn leave(&self) {
        self.leaving.set(true);
        self.slots.changed().notify();
    }

    /// The entry that probably serves a slot: the holder seen last, else the preferred one.
    pub fn probable_holder(&self, slot: SlotId) -> Option<EntryId> {
        if self.slots.is_open(slot) {
            return Some(self.settings.entry_id.clone());
        }
        let hint = self.holders.borrow().get(&slot).cloned();
        let hint = hint.filter(|hint| *hint != self.settings.entry_id && self.may_hold(hint));
        hint.or_else(|| preferred(slot, &self.candidates()))
    }

    /// Whether an entry may still hold slots; a leaving one serves those that it has not released.
    fn may_hold(&self, entry_id: &EntryId) -> bool {
        let row = self.membership.get(entry_id);
        row.is_some_and(|row| matches!(row.state, EntryState::Live | EntryState::Leaving))
    }

    /// Notes which entry says that it holds a slot.
    pub fn learn_holder(&self, slot: SlotId, holder: Option<EntryId>) {
        let mut holders = self.holders.borrow_mut();
        match holder {
            Some(holder) => {
                holders.insert(slot, holder);
            }
            None => {
                holders.swap_remove(&slot);
            }
        }
    }

    /// Entries in the order in which a slot prefers them.
    pub fn preference(&self, slot: SlotId) -> Vec<EntryId> {
        let candidates = self.candidates();
        let ranked = placement::rank(slot, candidates.iter().map(|id| &**id));
        ranked.into_iter().map(EntryId::from).collect()
    }

    /// Entries that may hold slots.
    pub fn candidates(&self) -> IndexSet<EntryId> {
        let mut candidates: IndexSet<EntryId> = self
            .membership
            .live()
            .into_iter()
            .map(|row| row.entry_id)
            .collect();
        if self.leaving.get() {
            candidates.shift_remove(&self.settings.entry_id);
        } else if self.journal.holder().is_some() {
            candidates.insert(self.settings.entry_id.clone());
        }
        candidates
    }

    /// The slots to take and those to release.
    fn partition(&self) -> (Vec<SlotId>, Vec<SlotId>) {
        self.update_preferences();
        let own_slots = &self.preferences.borrow().own_slots;
        let missing = own_slots.iter().filter(|slot| !self.slots.is_held(**slot));
        let wanted = missing.copied().collect();
        let mut unwanted = self.slots.held();
        unwanted.retain(|slot| !own_slots.contains(slot));
        (wanted, unwanted)
    }

    fn update_preferences(&self) {
        let candidates = self.candidates();
        let mut preferences = self.preferences.borrow_mut();
        if preferences.candidates == candidates {
            return;
        }
        let own = &self.settings.entry_id;
        preferences.own_slots = (0..self.slots.slot_count())
            .filter(|slot| preferred(*slot, &candidates).as_ref() == Some(own))
            .collect();
        preferences.candidates = candidates;
    }

    /// Takes the free ones among the slots that prefer this entry.
    async fn take(&self, wanted: &[SlotId]) -> crate::connection::platform::Result<()> {
        let Some(holder) = self.journal.holder() else {
            return Ok(());
        };
        let rows = self.read_rows(wanted).await?;
        let free = wanted.iter().filter_map(|slot| match rows.get(slot) {
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
        for chunk in free.chunks(CHANGES_PER_COMMIT) {
            self.take_chunk(&holder, chunk).await?;
        }
        Ok(())
    }

    /// Reads the rows of some slots that exist, and learns their holders. Reading them by key keeps
    /// the bytes independent of the number of slots of the site.
    async fn read_rows(
        &self,
        slots: &[SlotId],
    ) -> crate::connection::platform::Result<IndexMap<SlotId, (SlotRow, u64)>> {
        let keys: Vec<String> = slots.iter().map(|slot| slot_key(*slot)).collect();
        let mut rows = IndexMap::new();
        for keys in keys.chunks(CHANGES_PER_COMMIT) {
            let read = self.platform.read(keys).await?;
            for row in read.into_iter().filter(|row| row.version > 0) {
                let slot_row: SlotRow = row.decode()?;
                let holder = slot_row.holder.as_ref();
                let entry_id = holder.map(|holder| holder.entry_id.clone());
                self.learn_holder(slot_row.slot, entry_id);
                rows.insert(slot_row.slot, (slot_row, row.version));
            }
        }
        Ok(rows)
    }

    async fn take_chunk(
        &self,
        holder: &Holder,
        free: &[(SlotRow, u64)],
    ) -> crate::connection::platform::Result<()> {
        let loads = free
            .iter()
            .map(|(row, _)| recovery::load_checkpoint(&self.platform, row));
        let loaded: Vec<_> = stream::iter(loads)
            .buffered(PARALLEL_OBJECTS)
            .collect()
            .await;
        let mut changes = Vec::new();
        let mut states = Vec::new();
        for ((row, version), loaded) in free.iter().zip(loaded) {
            states.push(loaded?);
            let row = SlotRow {
                holder: Some(holder.clone()),
                first_segment: self.journal.segment() + 1,
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
        if self.journal.holder().as_ref() != Some(holder) {
            return Ok(());
        }
        for ((row, state), outcome) in rows.into_iter().zip(states).zip(outcomes) {
            if let SlotChangeOutcome::Written(version) = outcome {
                self.slots.insert(holder.incarnation, row, version, state);
            }
        }
        Ok(())
    }

    /// Serves slots again that prefer this entry after all, when their release was begun but the
    /// platform or calls in progress kept it from being carried out.
    fn keep_preferred(&self, unwanted: &[SlotId]) {
        for slot in self.slots.held() {
            if !unwanted.contains(&slot) {
                self.slots.keep(slot);
            }
        }
    }

    /// Releases slots that prefer another entry: idle ones at once, others when their time is up.
    async fn release(&self, unwanted: &[SlotId]) -> crate::connection::platform::Result<()> {
        let now = Instant::now();
        {
            let mut since = self.unwanted_since.borrow_mut();
            since.retain(|slot, _| unwanted.contains(slot));
            for slot in unwanted {
                since.entry(*slot).or_insert(now);
            }
        }
        let mut idle = Vec::new();
        for slot in unwanted {
            let since = self
                .unwanted_since
                .borrow()
                .get(slot)
                .copied()
                .unwrap_or(now);
            if self.slots.is_idle(*slot) {
                self.slots.set_releasing(*slot);
                idle.push(*slot);
            } else if now.duration_since(since) >= FORCED_RELEASE_AFTER {
                self.slots.set_releasing(*slot);
            }
        }
        for chunk in idle.chunks(CHANGES_PER_COMMIT) {
            self.checkpoint(chunk, true).await?;
        }
        Ok(())
    }

    /// Writes checkpoints of slots, and gives the slots up if `release` is set. Slots whose row is
    /// being changed already are left for the next time.
    async fn checkpoint(
        &self,
        slots: &[SlotId],
        release: bool,
    ) -> crate::connection::platform::Result<()> {
        let slots: Vec<SlotId> = {
            let mut changing = self.changing.borrow_mut();
            let free = slots.iter().copied();
            free.filter(|slot| changing.insert(*slot)).collect()
        };
        let result = self.change_rows(&slots, release).await;
        let mut changing = self.changing.borrow_mut();
        changing.retain(|slot| !slots.contains(slot));
        result
    }

    async fn change_rows(
        &self,
        slots: &[SlotId],
        release: bool,
    ) -> crate::connection::platform::Result<()> {
        let Some(holder) = self.journal.holder() else {
            return Ok(());
        };
        let first_segment = self.journal.segment() + 1;
        let mut changes = Vec::new();
        let mut objects = Vec::new();
        // Objects that a slot no longer needs once its new row is written.
        let mut replaced: IndexMap<SlotId, Vec<String>> = IndexMap::new();
        for slot in slots {
            let Some((mut row, version)) = self.slots.row(*slot) else {
                continue;
            };
            if let Some((checkpoint, obsolete)) = self.slots.snapshot_if_changed(*slot) {
                let replaced = replaced.entry(*slot).or_insert(obsolete);
                let key = checkpoint_key(*slot, &holder, self.next_object_number());
                match segment::encode(&checkpoint) {
                    Ok(bytes) => objects.push((key.clone(), bytes)),
                    Err(error) => unreachable!("a state in memory always encodes: {error}"),
                }
                replaced.extend(row.checkpoint.replace(key));
            }
            row.first_segment = first_segment;
            row.holder = (!release).then(|| holder.clone());
            changes.push(SlotChange { version, row });
        }
        let puts = objects
            .into_iter()
            .map(|(key, bytes)| async move { self.platform.put_object(&key, bytes.into()).await });
        let written: Vec<_> = stream::iter(puts)
            .buffered(PARALLEL_OBJECTS)
            .collect()
            .await;
        for result in written {
            result?;
        }
        let rows: Vec<SlotRow> = changes.iter().map(|change| change.row.clone()).collect();
        let Ok(outcomes) = self.journal.change_slots(changes).await else {
            return Ok(());
        };
        for (row, outcome) in rows.into_iter().zip(outcomes) {
            match outcome {
                SlotChangeOutcome::Written(_) if release => {
                    self.learn_holder(row.slot, None);
                    self.slots.remove(row.slot);
                }
                SlotChangeOutcome::Written(version) => self.slots.checkpointed(row, version),
                SlotChangeOutcome::Conflict => {
                    // The row still names the old checkpoint.
                    replaced.swap_remove(&row.slot);
                    let detail = format!("the row of held slot {} was changed", row.slot);
                    invariant::violated("slot_row", &detail);
                }
            }
        }
        for key in replaced.into_values().flatten() {
            if let Err(error) = self.platform.delete_object(&key).await {
                log::debug!(
                    "the old checkpoint `{key}` was not deleted: {}",
                    chain(&error)
                );
            }
        }
        Ok(())
    }

    /// Stores conversations that are idle for long, and drops them from memory. Until the next
    /// checkpoint names their objects, they are also part of the last one, so no order of failures
    /// loses them.
    async fn evict_idle(&self) {
        let idle_ms = self.settings.evict_idle.as_millis() as u64;
        let before_ms = unix_ms().saturating_sub(idle_ms);
        for slot in self.slots.held() {
            for cell in self.slots.idle_conversations(slot, before_ms) {
                if let Err(error) = self.evict(slot, cell).await {
                    log::debug!("an idle conversation was not stored: {}", chain(&error));
                    return;
                }
            }
        }
    }

    async fn evict(
        &self,
        slot: SlotId,
        cell: Rc<ConversationCell>,
    ) -> crate::connection::platform::Result<()> {
        let Some(holder) = self.journal.holder() else {
            return Ok(());
        };
        if !self.slots.is_open(slot) {
            return Ok(());
        }
        let key = cell.state.borrow().key.clone();
        if self.slots.is_stored(slot, &key) {
            self.slots.evict(slot, cell, None);
            return Ok(());
        }
        let object = conversation_object_key(slot, &holder, self.next_object_number());
        let bytes = match segment::encode(&*cell.state.borrow()) {
            Ok(bytes) => bytes,
            Err(error) => unreachable!("a state in memory always encodes: {error}"),
        };
        let written = cell.state.borrow().clone();
        self.platform.put_object(&object, bytes.into()).await?;
        let is_current = self.journal.holder().as_ref() == Some(&holder);
        // While the object was written, the conversation may have been opened and changed.
        let is_unchanged = self.slots.is_open(slot) && *cell.state.borrow() == written;
        if is_current && is_unchanged {
            self.slots.evict(slot, cell, Some(object));
        }
        Ok(())
    }

    fn next_object_number(&self) -> u64 {
        let number = self.next_checkpoint.get();
        self.next_checkpoint.set(number + 1);
        number
    }

    /// Deletes segments that all checkpoints include, after the entry row says so.
    async fn trim_journal(&self, deleted_below: &mut u64) {
        let Some(holder) = self.journal.holder() else {
            return;
        };
        let first = self.slots.first_needed_segment(self.journal.segment());
        self.journal.set_first_segment(first);
        let committed = self.journal.committed_first_segment();
        while *deleted_below < committed {
            let key = segment_key(&holder, *deleted_below);
            if let Err(error) = self.platform.delete_object(&key).await {
                log::debug!("the segment `{key}` was not deleted: {}", chain(&error));
                return;
            }
            *deleted_below += 1;
        }
    }
}

fn preferred(slot: SlotId, candidates: &IndexSet<EntryId>) -> Option<EntryId> {
    placement::preferred(slot, candidates.iter().map(|id| &**id)).map(EntryId::from)
}

async fn move_slots(manager: Rc<SlotManager>) {
    loop {
        manager.journal.registered().await;
        let (wanted, mut unwanted) = manager.partition();
        manager.keep_preferred(&unwanted);
        if !wanted.is_empty()
            && let Err(error) = manager.take(&wanted).await
        {
            log::warn!("slots were not taken: {}", chain(&error));
        }
        let next = Instant::now() + MOVE_INTERVAL;
        while !unwanted.is_empty() && Instant::now() < next {
            let seen = manager.slots.changed().changes();
            if let Err(error) = manager.release(&unwanted).await {
                log::warn!("slots were not released: {}", chain(&error));
                break;
            }
            unwanted.retain(|slot| manager.slots.is_held(*slot));
            // A slot in constant use is idle only for moments between two requests.
            let changed = std::pin::pin!(manager.slots.changed().changed_since(seen));
            select(manager.timer.sleep_until(next), changed).await;
        }
        manager.timer.sleep_until(next).await;
    }
}

async fn write_checkpoints(manager: Rc<SlotManager>) {
    let mut ticks = manager
        .timer
        .subscribe(manager.settings.checkpoint_interval);
    let mut incarnation = 0;
    let mut deleted_below = 1;
    loop {
        ticks.tick().await;
        let Some(holder) = manager.journal.holder() else {
            continue;
        };
        if holder.incarnation != incarnation {
            incarnation = holder.incarnation;
            deleted_below = 1;
        }
        manager.evict_idle().await;
        for chunk in manager.slots.changed_slots().chunks(CHANGES_PER_COMMIT) {
            let held: Vec<_> = chunk
                .iter()
                .copied()
                .filter(|slot| manager.slots.is_open(*slot))
                .collect();
            if let Err(error) = manager.checkpoint(&held, false).await {
                log::warn!("checkpoints were not written: {}", chain(&error));
            }
        }
        manager.trim_journal(&mut deleted_below).await;
    }
}

async fn recover_entries(manager: Rc<SlotManager>) {
    let mut ticks = manager
        .timer
        .subscribe(manager.settings.membership_interval);
    let mut first_seen: IndexMap<Holder, Instant> = IndexMap::new();
    loop {
        ticks.tick().await;
        let rows = manager.recoverable();
        first_seen.retain(|holder, _| rows.iter().any(|row| row.holder() == *holder));
        for row in rows {
            let seen = *first_seen.entry(row.holder()).or_insert_with(Instant::now);
            if !manager.should_recover(&row.entry_id, seen.elapsed()) {
                continue;
            }
            if let Err(error) = manager.recover(&row).await {
                log::warn!(entry = &*row.entry_id; "the entry was not recovered: {}", chain(&error));
            }
        }
    }
}

impl SlotManager {
    /// Entries whose lease has expired, and fenced ones whose recovery is not complete.
    fn recoverable(&self) -> Vec<EntryRow> {
        let mut rows = self.membership.expired(self.settings.lease_ttl);
        let fenced = self.membership.entries().into_iter();
        rows.extend(fenced.filter(|row| row.state == EntryState::Fenced));
        rows
    }

    async fn recover(&self, seen: &EntryRow) -> crate::connection::platform::Result<()> {
        let row = self.platform.read_one(&entry_key(&seen.entry_id)).await?;
        let current: EntryRow = row.decode()?;
        // The entry has renewed its lease since the scan, or is closed by now.
        if current != *seen {
            return Ok(());
        }
        recovery::fence_and_recover(&self.platform, &current, row.version).await
    }
}

impl SlotManager {
    /// One entry goes first, so that not all of them read the same journal; the others follow if
    /// it does not finish.
    fn should_recover(&self, entry_id: &EntryId, since_expiry: Duration) -> bool {
        /// Extra time given to the entry that goes first, in lease times.
        const FIRST_TURN_LEASES: u32 = 2;
        if *entry_id == self.settings.entry_id || self.journal.holder().is_none() {
            return false;
        }
        // The others that are lost together with this one cannot recover it either.
        let lost = self.membership.expired(self.settings.lease_ttl);
        let mut candidates = self.candidates();
        candidates.retain(|id| lost.iter().all(|row| row.entry_id != *id));
        let first = placement::first_to_recover(entry_id, candidates.iter().map(|id| &**id));
        first == Some(&*self.settings.entry_id)
            || since_expiry >= self.settings.lease_ttl * FIRST_TURN_LEASES
    }

    /// Waits until all slots are released.
    pub async fn released(&self) {
        self.slots
            .changed()
            .until(|| self.slots.held().is_empty())
            .await;
    }

    /// Whether the entry is on its way out.
    pub fn is_leaving(&self) -> bool {
        self.leaving.get()
    }

    /// Registers the state of the entry in its row.
    pub async fn set_state(&self, state: EntryState) {
        self.journal.set_state(state).await;
    }
}
