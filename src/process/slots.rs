//! The slots that this entry holds, and the conversations in them.
//!
//! A slot is held from the moment its row names this entry until the row is released or the entry is
//! fenced. A request opens a conversation through [`Slots::open`]; while it is open, the slot is not
//! released. A conversation that is idle for long is stored as an object of its own and leaves memory
//! until it is opened again. The journal applies durable events through [`JournalSink`], so that at any moment the
//! state in memory is exactly the fold of all committed segments, and a checkpoint taken then is
//! complete.

pub mod lock;
pub mod manager;
pub mod placement;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::{IndexMap, IndexSet};

use crate::ids::{ConversationKey, Incarnation, Micros, RequestId, RunId, SlotId};
use crate::process::conversation::{Conversation, Event, Record, RunState};
use crate::process::invariant;
use crate::process::journal::JournalSink;
use crate::process::journal::segment::Checkpoint;
use crate::process::notify::Notify;
use crate::process::recovery::SlotState;
use crate::process::rows::SlotRow;
use crate::process::slots::lock::ThreadLocks;

/// The result of opening a conversation.
pub type Result<T> = std::result::Result<T, OpenError>;

/// Why a conversation cannot be opened at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// This entry does not hold the slot at the moment.
    NotHeld,
    /// The conversation is not in memory; load this object and restore it first.
    Stored(String),
}

/// A conversation in memory, with what is not durable about it.
pub struct ConversationCell {
    /// The fold of all durable events, and the pending reservations.
    pub state: RefCell<Conversation>,
    /// One call at a time for each thread, in the order of arrival.
    pub locks: ThreadLocks,
    /// Notified when a run ends or is cancelled.
    pub run_ended: Notify,
    /// Attempts in progress of each call, see [`Attempt`]; none is 0.
    attempts: RefCell<IndexMap<RequestId, usize>>,
    /// Requests whose caller was answered while their event was still on its way into the journal.
    pub uncommitted_requests: RefCell<IndexSet<RequestId>>,
}

impl ConversationCell {
    fn new(state: Conversation) -> Self {
        Self {
            state: RefCell::new(state),
            locks: ThreadLocks::default(),
            run_ended: Notify::default(),
            attempts: RefCell::default(),
            uncommitted_requests: RefCell::default(),
        }
    }

    /// Counts an attempt of a call until the returned guard is dropped.
    pub fn begin_attempt(self: &Rc<Self>, request_id: &RequestId) -> Attempt {
        let mut attempts = self.attempts.borrow_mut();
        *attempts.entry(request_id.clone()).or_insert(0) += 1;
        Attempt {
            cell: self.clone(),
            request_id: request_id.clone(),
        }
    }

    /// Whether more than one attempt of a call is in progress.
    pub fn has_concurrent_attempts(&self, request_id: &RequestId) -> bool {
        let attempts = self.attempts.borrow();
        attempts.get(request_id).is_some_and(|count| *count > 1)
    }

    fn is_idle(&self, before_ms: u64) -> bool {
        let state = self.state.borrow();
        let mut runs = state.runs.values();
        runs.all(|run| run.state != RunState::Active && run.last_event_ms < before_ms)
    }
}

/// An attempt of a call, from its arrival to its settlement. A repeat that is refused while another
/// attempt is in progress must not be told that the request did not run.
pub struct Attempt {
    cell: Rc<ConversationCell>,
    request_id: RequestId,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let mut attempts = self.cell.attempts.borrow_mut();
        if let Some(count) = attempts.get_mut(&self.request_id) {
            *count -= 1;
            if *count == 0 {
                attempts.swap_remove(&self.request_id);
            }
        }
    }
}

struct HeldSlot {
    row: SlotRow,
    version: u64,
    conversations: IndexMap<ConversationKey, Rc<ConversationCell>>,
    /// Object keys of conversations that are not in memory, or are there as unchanged copies.
    stored: IndexMap<ConversationKey, String>,
    /// Whether `stored` has changed since the last checkpoint.
    is_stored_dirty: bool,
    /// Objects that the next checkpoint no longer needs.
    obsolete_objects: Vec<String>,
    /// The first segment with an event that no checkpoint includes.
    first_dirty_segment: Option<u64>,
    /// The last segment with an event of the slot.
    last_dirty_segment: Option<u64>,
    /// Conversations that are open.
    open_count: usize,
    /// Set while the slot is being released; then nothing is opened any more.
    is_releasing: bool,
}

/// All slots that this entry holds.
pub struct Slots {
    slot_count: SlotId,
    incarnation: Cell<Incarnation>,
    held: RefCell<IndexMap<SlotId, HeldSlot>>,
    changed: Notify,
}

impl Slots {
    /// Makes an empty set of slots out of `slot_count`.
    pub fn new(slot_count: SlotId) -> Self {
        Self {
            slot_count,
            incarnation: Cell::new(0),
            held: RefCell::default(),
            changed: Notify::default(),
        }
    }

    /// Number of slots of the site.
    pub fn slot_count(&self) -> SlotId {
        self.slot_count
    }

    /// The slot of a conversation.
    pub fn slot_of(&self, key: &ConversationKey) -> SlotId {
        placement::slot_of(key, self.slot_count)
    }

    /// Notified when a slot was taken, released or lost, or a conversation was closed.
    pub fn changed(&self) -> &Notify {
        &self.changed
    }

    /// Whether the slot is held and takes requests.
    pub fn is_serving(&self, slot: SlotId) -> bool {
        self.held
            .borrow()
            .get(&slot)
            .is_some_and(|held| !held.is_releasing)
    }

    /// Whether the slot is held, also while it is being released.
    pub fn is_held(&self, slot: SlotId) -> bool {
        self.held.borrow().contains_key(&slot)
    }

    /// The slots that are held.
    pub fn held(&self) -> Vec<SlotId> {
        self.held.borrow().keys().copied().collect()
    }

    /// Number of conversations in memory.
    pub fn conversation_count(&self) -> usize {
        self.held
            .borrow()
            .values()
            .map(|held| held.conversations.len())
            .sum()
    }

    /// All conversations in memory.
    pub fn conversations(&self) -> Vec<Rc<ConversationCell>> {
        let held = self.held.borrow();
        held.values()
            .flat_map(|slot| slot.conversations.values().cloned())
            .collect()
    }

    /// Looks up a conversation of a held slot; `None` if it does not exist or is stored.
    pub fn find(&self, key: &ConversationKey) -> Result<Option<Rc<ConversationCell>>> {
        let slot = self.slot_of(key);
        let held = self.held.borrow();
        let held_slot = held.get(&slot).ok_or(OpenError::NotHeld)?;
        Ok(held_slot.conversations.get(key).cloned())
    }

    /// Opens a conversation, which is made if it does not exist.
    pub fn open(self: &Rc<Self>, key: &ConversationKey) -> Result<OpenConversation> {
        let slot = self.slot_of(key);
        let mut held = self.held.borrow_mut();
        let held_slot = held
            .get_mut(&slot)
            .filter(|held| !held.is_releasing)
            .ok_or(OpenError::NotHeld)?;
        if !held_slot.conversations.contains_key(key)
            && let Some(object) = held_slot.stored.get(key)
        {
            return Err(OpenError::Stored(object.clone()));
        }
        let cell = held_slot
            .conversations
            .entry(key.clone())
            .or_insert_with(|| Rc::new(ConversationCell::new(Conversation::new(key.clone()))))
            .clone();
        held_slot.open_count += 1;
        let incarnation = self.incarnation.get();
        Ok(OpenConversation {
            slots: self.clone(),
            slot,
            incarnation,
            cell,
        })
    }

    /// Puts a stored conversation back into memory, unless it has changed since it was loaded from
    /// `object`.
    pub fn restore(&self, object: &str, state: Conversation) {
        let slot = self.slot_of(&state.key);
        let mut held = self.held.borrow_mut();
        let Some(held_slot) = held.get_mut(&slot) else {
            return;
        };
        if held_slot.stored.get(&state.key).map(String::as_str) == Some(object) {
            held_slot
                .conversations
                .entry(state.key.clone())
                .or_insert_with(|| Rc::new(ConversationCell::new(state)));
        }
    }

    /// Conversations of a slot that may leave memory: none of their runs is active, nobody works on
    /// them, and their last event is older than `before_ms`.
    fn idle_conversations(&self, slot: SlotId, before_ms: u64) -> Vec<Rc<ConversationCell>> {
        let held = self.held.borrow();
        let Some(held_slot) = held.get(&slot) else {
            return Vec::new();
        };
        let cells = held_slot.conversations.values();
        let idle = cells.filter(|cell| Rc::strong_count(cell) == 1 && cell.is_idle(before_ms));
        idle.cloned().collect()
    }

    /// The object of a conversation that is in memory as an unchanged copy.
    fn is_stored(&self, slot: SlotId, key: &ConversationKey) -> bool {
        let held = self.held.borrow();
        held.get(&slot)
            .is_some_and(|slot| slot.stored.contains_key(key))
    }

    /// Drops a conversation from memory whose state is in `object`, or in the object that `stored`
    /// names already. Does nothing if somebody has opened it meanwhile: `cell` and the slot have the
    /// only references otherwise.
    fn evict(&self, slot: SlotId, cell: Rc<ConversationCell>, object: Option<String>) -> bool {
        let mut held = self.held.borrow_mut();
        let Some(held_slot) = held.get_mut(&slot) else {
            return false;
        };
        if Rc::strong_count(&cell) != 2 {
            return false;
        }
        let key = cell.state.borrow().key.clone();
        if let Some(object) = object {
            held_slot.stored.insert(key.clone(), object);
            held_slot.is_stored_dirty = true;
        }
        held_slot.conversations.swap_remove(&key);
        true
    }

    /// Starts to serve a slot whose row now names this incarnation.
    fn insert(&self, incarnation: Incarnation, row: SlotRow, version: u64, state: SlotState) {
        self.incarnation.set(incarnation);
        let conversations = state
            .conversations
            .into_iter()
            .map(|(key, state)| (key, Rc::new(ConversationCell::new(state))))
            .collect();
        let slot = row.slot;
        let held = HeldSlot {
            row,
            version,
            conversations,
            stored: state.stored,
            is_stored_dirty: false,
            obsolete_objects: Vec::new(),
            first_dirty_segment: None,
            last_dirty_segment: None,
            open_count: 0,
            is_releasing: false,
        };
        self.held.borrow_mut().insert(slot, held);
        self.changed.notify();
    }

    /// Whether nothing of the slot is open.
    fn is_idle(&self, slot: SlotId) -> bool {
        self.held
            .borrow()
            .get(&slot)
            .is_none_or(|held| held.open_count == 0)
    }

    fn set_releasing(&self, slot: SlotId) {
        if let Some(held) = self.held.borrow_mut().get_mut(&slot) {
            held.is_releasing = true;
        }
    }

    /// Serves a slot again whose release was not carried out.
    fn cancel_release(&self, slot: SlotId) {
        if let Some(held) = self.held.borrow_mut().get_mut(&slot) {
            held.is_releasing = false;
        }
    }

    fn remove(&self, slot: SlotId) {
        self.held.borrow_mut().swap_remove(&slot);
        self.changed.notify();
    }

    /// The state of a slot that has changed since its last checkpoint, and the objects that the new
    /// checkpoint makes obsolete.
    fn snapshot_if_changed(&self, slot: SlotId) -> Option<(Checkpoint, Vec<String>)> {
        let mut held = self.held.borrow_mut();
        let held = held.get_mut(&slot)?;
        if held.first_dirty_segment.is_none() && !held.is_stored_dirty {
            return None;
        }
        held.is_stored_dirty = false;
        let cells = held.conversations.iter();
        let cells = cells.filter(|(key, _)| !held.stored.contains_key(*key));
        let states = cells.map(|(_, cell)| cell.state.borrow().clone());
        // A conversation that was opened and never got an event is not kept.
        let conversations = states.filter(|state| !state.runs.is_empty()).collect();
        let stored = held.stored.clone().into_iter().collect();
        let checkpoint = Checkpoint {
            conversations,
            stored,
        };
        Some((checkpoint, std::mem::take(&mut held.obsolete_objects)))
    }

    fn row(&self, slot: SlotId) -> Option<(SlotRow, u64)> {
        let held = self.held.borrow();
        held.get(&slot).map(|held| (held.row.clone(), held.version))
    }

    /// Notes that the row names a checkpoint with all segments below its `first_segment`.
    fn record_checkpoint(&self, row: SlotRow, version: u64) {
        if let Some(held) = self.held.borrow_mut().get_mut(&row.slot) {
            // Events that were committed while the checkpoint was written are not part of it.
            held.first_dirty_segment = held
                .last_dirty_segment
                .filter(|last| *last >= row.first_segment)
                .map(|_| row.first_segment);
            held.row = row;
            held.version = version;
        }
    }

    fn dirty_slots(&self) -> Vec<SlotId> {
        let held = self.held.borrow();
        held.iter()
            .filter(|(_, slot)| slot.first_dirty_segment.is_some() || slot.is_stored_dirty)
            .map(|(slot, _)| *slot)
            .collect()
    }

    /// The first segment that a recovery would have to read, if the last one is `last_segment`.
    fn first_needed_segment(&self, last_segment: u64) -> u64 {
        let held = self.held.borrow();
        let dirty = held.values().filter_map(|slot| slot.first_dirty_segment);
        dirty.min().unwrap_or(last_segment + 1)
    }

    fn reopen(&self, slot: SlotId, incarnation: Incarnation) {
        if self.incarnation.get() != incarnation {
            return;
        }
        if let Some(held) = self.held.borrow_mut().get_mut(&slot) {
            held.open_count += 1;
        }
    }

    fn close(&self, slot: SlotId, incarnation: Incarnation, cell: &Rc<ConversationCell>) {
        if self.incarnation.get() != incarnation {
            return;
        }
        if let Some(held) = self.held.borrow_mut().get_mut(&slot) {
            held.open_count -= 1;
            // Reading a conversation that does not exist must not take memory for good. Two
            // references are left: the one in the slot and the one that is being closed.
            let state = cell.state.borrow();
            if state.runs.is_empty() && Rc::strong_count(cell) == 2 {
                held.conversations.swap_remove(&state.key);
            }
        }
        self.changed.notify();
    }
}

impl JournalSink for Slots {
    fn committed(&self, records: &[Record], segment: u64) {
        let mut held = self.held.borrow_mut();
        for record in records {
            let Some(slot) = held.get_mut(&record.slot) else {
                let detail = format!("an event was committed for slot {}, not held", record.slot);
                invariant::violated("slot_held", &detail);
                continue;
            };
            slot.first_dirty_segment.get_or_insert(segment);
            slot.last_dirty_segment = Some(segment);
            // The copy in memory changes, so the stored object is no longer its state.
            if let Some(object) = slot.stored.swap_remove(&record.key) {
                slot.obsolete_objects.push(object);
            }
            let cell = slot
                .conversations
                .entry(record.key.clone())
                .or_insert_with(|| {
                    Rc::new(ConversationCell::new(Conversation::new(record.key.clone())))
                });
            apply(cell, record);
        }
    }

    fn fenced(&self) {
        self.held.borrow_mut().clear();
        self.incarnation.set(0);
        self.changed.notify();
    }
}

fn apply(cell: &ConversationCell, record: &Record) {
    let mut state = cell.state.borrow_mut();
    if let Some((run_id, amount)) = pending_reservation(&record.event) {
        state.clear_pending(run_id, amount);
    }
    state.apply(&record.event, record.at_ms);
    if matches!(record.event, Event::RunEnded { .. }) {
        cell.run_ended.notify();
    }
}

/// The pending reservation that becomes durable with an event.
fn pending_reservation(event: &Event) -> Option<(RunId, Micros)> {
    match event {
        Event::TurnStarted {
            run_id,
            reserved_micros,
            ..
        } => Some((*run_id, *reserved_micros)),
        Event::ActionIntended { run_id, action, .. } => Some((*run_id, action.reserved_micros)),
        _ => None,
    }
}

/// A conversation that a request works on. The slot is not released before it is dropped.
pub struct OpenConversation {
    slots: Rc<Slots>,
    slot: SlotId,
    incarnation: Incarnation,
    cell: Rc<ConversationCell>,
}

impl OpenConversation {
    /// The slot of the conversation.
    pub fn slot(&self) -> SlotId {
        self.slot
    }

    /// The incarnation that holds the slot; events of it are refused after the entry was fenced.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The conversation.
    pub fn cell(&self) -> &Rc<ConversationCell> {
        &self.cell
    }

    /// Whether the slot is still held by the incarnation that opened the conversation.
    pub fn is_current(&self) -> bool {
        self.slots.incarnation.get() == self.incarnation && self.slots.is_held(self.slot)
    }
}

impl Clone for OpenConversation {
    fn clone(&self) -> Self {
        self.slots.reopen(self.slot, self.incarnation);
        Self {
            slots: self.slots.clone(),
            slot: self.slot,
            incarnation: self.incarnation,
            cell: self.cell.clone(),
        }
    }
}

impl Drop for OpenConversation {
    fn drop(&mut self) {
        self.slots.close(self.slot, self.incarnation, &self.cell);
    }
}
