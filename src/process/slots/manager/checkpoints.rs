//! Writes checkpoints of slots, evicts idle conversations, and deletes the objects and segments
//! that new checkpoints make obsolete.
//!
//! An object is deleted only after the row that replaces it is committed, so a recovery always
//! finds every object that the rows name.

use std::rc::Rc;

use futures_util::stream::{self, StreamExt};
use indexmap::IndexMap;

use super::{MAX_CHANGES_PER_COMMIT, MAX_CONCURRENT_OBJECT_CALLS, SlotManager};
use crate::connection::platform::Result;
use crate::error::chain;
use crate::ids::SlotId;
use crate::process::invariant;
use crate::process::journal::{SlotChange, SlotChangeOutcome, segment};
use crate::process::metrics::SLOT_CHANGES;
use crate::process::rows::{SlotRow, checkpoint_key, conversation_object_key, segment_key};
use crate::process::slots::ConversationCell;
use crate::process::timer::unix_ms;

pub(super) async fn write_checkpoints(manager: Rc<SlotManager>) {
    let mut ticks = manager
        .timer
        .subscribe(manager.settings.checkpoint_interval);
    let mut incarnation = 0;
    let mut deleted_below = 1;
    loop {
        ticks.tick().await;
        let Some(holder) = manager.journal.own_incarnation() else {
            continue;
        };
        if holder.incarnation != incarnation {
            incarnation = holder.incarnation;
            deleted_below = 1;
        }
        manager.evict_idle().await;
        for chunk in manager.slots.dirty_slots().chunks(MAX_CHANGES_PER_COMMIT) {
            let held: Vec<_> = chunk
                .iter()
                .copied()
                .filter(|slot| manager.slots.is_serving(*slot))
                .collect();
            if let Err(error) = manager.checkpoint(&held, false).await {
                log::warn!("failed to write checkpoints: {}", chain(&error));
            }
        }
        manager.trim_journal(&mut deleted_below).await;
    }
}

impl SlotManager {
    /// Writes checkpoints of slots, and releases the slots if `release` is set. Slots with a row
    /// change in flight are skipped.
    pub(super) async fn checkpoint(&self, slots: &[SlotId], release: bool) -> Result<()> {
        let slots: Vec<SlotId> = {
            let mut in_change = self.slots_in_change.borrow_mut();
            let requested = slots.iter().copied();
            requested.filter(|slot| in_change.insert(*slot)).collect()
        };
        let result = self.change_rows(&slots, release).await;
        let mut in_change = self.slots_in_change.borrow_mut();
        in_change.retain(|slot| !slots.contains(slot));
        result
    }

    async fn change_rows(&self, slots: &[SlotId], release: bool) -> Result<()> {
        let Some(holder) = self.journal.own_incarnation() else {
            return Ok(());
        };
        let first_segment = self.journal.committed_segment() + 1;
        let mut changes = Vec::new();
        let mut objects = Vec::new();
        // Objects that are no longer referenced once the new row of the slot is committed.
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
            .buffered(MAX_CONCURRENT_OBJECT_CALLS)
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
                    metrics::counter!(SLOT_CHANGES, "change" => "released").increment(1);
                    self.update_holder_hint(row.slot, None);
                    self.slots.remove(row.slot);
                }
                SlotChangeOutcome::Written(version) => self.slots.record_checkpoint(row, version),
                SlotChangeOutcome::Conflict => {
                    // The row still names the old checkpoint, so its objects must not be deleted.
                    replaced.swap_remove(&row.slot);
                    let detail = format!(
                        "the row of held slot {} has an unexpected version",
                        row.slot
                    );
                    invariant::violated("slot_row", &detail);
                }
            }
        }
        for key in replaced.into_values().flatten() {
            if let Err(error) = self.platform.delete_object(&key).await {
                log::debug!(
                    "failed to delete the obsolete object `{key}`: {}",
                    chain(&error)
                );
            }
        }
        Ok(())
    }

    /// Evicts conversations that have been idle for the configured time. Until the next checkpoint
    /// names their objects, a recovery still has them from the last checkpoint and the segments
    /// after it, so that no order of failures loses them.
    async fn evict_idle(&self) {
        let idle_ms = self.settings.evict_idle_after.as_millis() as u64;
        let before_ms = unix_ms().saturating_sub(idle_ms);
        for slot in self.slots.held() {
            for cell in self.slots.idle_conversations(slot, before_ms) {
                if let Err(error) = self.evict(slot, cell).await {
                    log::debug!(
                        "failed to evict an idle conversation of slot {slot}: {}",
                        chain(&error)
                    );
                    return;
                }
            }
        }
    }

    async fn evict(&self, slot: SlotId, cell: Rc<ConversationCell>) -> Result<()> {
        let Some(holder) = self.journal.own_incarnation() else {
            return Ok(());
        };
        if !self.slots.is_serving(slot) {
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
        let is_current = self.journal.own_incarnation().as_ref() == Some(&holder);
        // The conversation may have been opened and changed while the object was being written.
        let is_unchanged = self.slots.is_serving(slot) && *cell.state.borrow() == written;
        if is_current && is_unchanged {
            self.slots.evict(slot, cell, Some(object));
        }
        Ok(())
    }

    fn next_object_number(&self) -> u64 {
        let number = self.next_object_number.get();
        self.next_object_number.set(number + 1);
        number
    }

    /// Deletes segments that all checkpoints include. The entry row is advanced past them first, so
    /// that a recovery never expects a deleted segment.
    async fn trim_journal(&self, deleted_below: &mut u64) {
        let Some(holder) = self.journal.own_incarnation() else {
            return;
        };
        let first = self
            .slots
            .first_needed_segment(self.journal.committed_segment());
        self.journal.set_first_segment(first);
        let committed = self.journal.committed_first_segment();
        while *deleted_below < committed {
            let key = segment_key(&holder, *deleted_below);
            if let Err(error) = self.platform.delete_object(&key).await {
                log::debug!("failed to delete segment `{key}`: {}", chain(&error));
                return;
            }
            *deleted_below += 1;
        }
    }
}
