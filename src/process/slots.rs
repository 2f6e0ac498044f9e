//! The slots that this entry holds, and the state of their conversations in memory.
//!
//! A slot is held from the commit that names this entry as lease holder in the slot row until the
//! slot is released or the entry is fenced. A request opens a conversation through [`Slots::open`];
//! a slot with open conversations is not released. An idle conversation is evicted: it is written
//! to an object of its own and removed from memory until it is opened again.
//!
//! The journal applies events through [`JournalSink`] only after they are durable. The state in
//! memory is therefore always the fold of all committed segments, and a snapshot of it is a
//! complete checkpoint.

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

/// Why a conversation cannot be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenError {
    /// This entry does not hold the slot, or is releasing it.
    NotHeld,
    /// The conversation was evicted. The caller loads the object with this key, passes it to
    /// [`Slots::restore`] and opens the conversation again.
    Stored(String),
}

/// A conversation in memory, with the state of its requests that is never persisted.
pub struct ConversationCell {
    /// The fold of all durable events, and the pending reservations.
    pub state: RefCell<Conversation>,
    /// Runs the calls of each thread one at a time, in order of arrival.
    pub locks: ThreadLocks,
    /// Notified when a run ends or is cancelled.
    pub run_ended: Notify,
    /// Number of attempts of each call in progress, see [`Attempt`]. A call that is not listed has
    /// 0.
    attempts: RefCell<IndexMap<RequestId, usize>>,
    /// Requests that start a run and were answered before the event was durable, while the journal
    /// still has it pending.
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

    /// Counts an attempt of a call as in progress until the returned guard is dropped.
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

/// An attempt of a call, from its arrival to its settlement.
///
/// Attempts are counted because a repeat that is refused while another attempt of the same call is
/// in progress must not be answered as if the request had not run.
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
    /// Keys of the objects of evicted conversations. A conversation that was restored and has not
    /// changed since stays listed.
    stored: IndexMap<ConversationKey, String>,
    /// Whether conversations were added to `stored` since the last checkpoint.
    is_stored_dirty: bool,
    /// Keys of objects that the next checkpoint no longer references.
    obsolete_objects: Vec<String>,
    /// The first segment with an event of the slot that its checkpoint does not include.
    first_dirty_segment: Option<u64>,
    /// The last committed segment with an event of the slot.
    last_dirty_segment: Option<u64>,
    /// Number of live [`OpenConversation`] handles.
    open_count: usize,
    /// Set while the slot is being released; no conversation can be opened then.
    is_releasing: bool,
}

/// The slots that this entry holds, with their conversations.
pub struct Slots {
    slot_count: SlotId,
    incarnation: Cell<Incarnation>,
    held: RefCell<IndexMap<SlotId, HeldSlot>>,
    changed: Notify,
}

impl Slots {
    /// Creates the state of an entry that holds none of the site's `slot_count` slots.
    pub fn new(slot_count: SlotId) -> Self {
        Self {
            slot_count,
            incarnation: Cell::new(0),
            held: RefCell::default(),
            changed: Notify::default(),
        }
    }

    /// Number of slots of the site, held or not.
    pub fn slot_count(&self) -> SlotId {
        self.slot_count
    }

    /// The slot that a conversation belongs to, held or not.
    pub fn slot_of(&self, key: &ConversationKey) -> SlotId {
        placement::slot_of(key, self.slot_count)
    }

    /// Notified when a slot is acquired, released or lost through fencing, and when a conversation
    /// is closed.
    pub fn changed(&self) -> &Notify {
        &self.changed
    }

    /// Whether the slot is held and accepts requests, i.e. is not being released.
    pub fn is_serving(&self, slot: SlotId) -> bool {
        self.held
            .borrow()
            .get(&slot)
            .is_some_and(|held| !held.is_releasing)
    }

    /// Whether the slot is held, including while it is being released.
    pub fn is_held(&self, slot: SlotId) -> bool {
        self.held.borrow().contains_key(&slot)
    }

    /// The slots that are held, including those that are being released.
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

    /// All conversations in memory; evicted ones are not among them.
    pub fn conversations(&self) -> Vec<Rc<ConversationCell>> {
        let held = self.held.borrow();
        held.values()
            .flat_map(|slot| slot.conversations.values().cloned())
            .collect()
    }

    /// Looks up a conversation of a held slot without opening it; `None` if it does not exist or
    /// was evicted.
    pub fn find(&self, key: &ConversationKey) -> Result<Option<Rc<ConversationCell>>> {
        let slot = self.slot_of(key);
        let held = self.held.borrow();
        let held_slot = held.get(&slot).ok_or(OpenError::NotHeld)?;
        Ok(held_slot.conversations.get(key).cloned())
    }

    /// Opens a conversation and creates it if it does not exist.
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

    /// Adds an evicted conversation to memory again. Does nothing if `object`, which `state` was
    /// loaded from, is no longer the current object of the conversation.
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

    /// Conversations of a slot that may be evicted: they have no active run, nothing else
    /// references them, and their last event is older than `before_ms` (Unix time).
    fn idle_conversations(&self, slot: SlotId, before_ms: u64) -> Vec<Rc<ConversationCell>> {
        let held = self.held.borrow();
        let Some(held_slot) = held.get(&slot) else {
            return Vec::new();
        };
        let cells = held_slot.conversations.values();
        let idle = cells.filter(|cell| Rc::strong_count(cell) == 1 && cell.is_idle(before_ms));
        idle.cloned().collect()
    }

    /// Whether the conversation has an object with its current state, so that it can be evicted
    /// without writing it.
    fn is_stored(&self, slot: SlotId, key: &ConversationKey) -> bool {
        let held = self.held.borrow();
        held.get(&slot)
            .is_some_and(|slot| slot.stored.contains_key(key))
    }

    /// Removes a conversation from memory. Its state is in `object`, or, if that is `None`, in the
    /// object that `stored` already names. Does nothing if the conversation was opened in the
    /// meantime: otherwise `cell` and the slot hold the only two references.
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

    /// Starts serving a slot after the commit that made this incarnation its lease holder.
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

    /// Whether the slot has no open conversations.
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

    /// Serves a slot again that was marked for release but is still held.
    fn cancel_release(&self, slot: SlotId) {
        if let Some(held) = self.held.borrow_mut().get_mut(&slot) {
            held.is_releasing = false;
        }
    }

    fn remove(&self, slot: SlotId) {
        self.held.borrow_mut().swap_remove(&slot);
        self.changed.notify();
    }

    /// Takes a snapshot of a slot that has changed since its last checkpoint. Returns it with the
    /// keys of the objects that it makes obsolete.
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
        // A conversation that was opened but never had an event is not persisted.
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

    /// Records that `row` was committed. Its checkpoint includes all segments below
    /// `first_segment`.
    fn record_checkpoint(&self, row: SlotRow, version: u64) {
        if let Some(held) = self.held.borrow_mut().get_mut(&row.slot) {
            // Events that were committed while the checkpoint was being written are not part of it.
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

    /// The first segment that a recovery would have to read; `last_segment + 1` if checkpoints
    /// include everything up to the last committed segment.
    fn first_needed_segment(&self, last_segment: u64) -> u64 {
        let held = self.held.borrow();
        let dirty = held.values().filter_map(|slot| slot.first_dirty_segment);
        dirty.min().unwrap_or(last_segment + 1)
    }

    /// Counts another handle of a conversation that is already open, also while the slot is being
    /// released.
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
            // A read of a conversation that does not exist must not leave an empty one in memory.
            // Two references remain when nothing else uses it: the slot's and the one being closed.
            let state = cell.state.borrow();
            if state.runs.is_empty() && Rc::strong_count(cell) == 2 {
                held.conversations.swap_remove(&state.key);
            }
        }
        self.changed.notify();
    }
}

impl JournalSink for Slots {
    fn on_committed(&self, records: &[Record], segment: u64) {
        let mut held = self.held.borrow_mut();
        for record in records {
            let Some(slot) = held.get_mut(&record.slot) else {
                let detail = format!(
                    "committed an event for slot {}, which is not held",
                    record.slot
                );
                invariant::violated("slot_held", &detail);
                continue;
            };
            slot.first_dirty_segment.get_or_insert(segment);
            slot.last_dirty_segment = Some(segment);
            // The event changes the copy in memory, so the object is outdated.
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

    fn on_fenced(&self) {
        self.held.borrow_mut().clear();
        self.incarnation.set(0);
        self.changed.notify();
    }
}

fn apply(cell: &ConversationCell, record: &Record) {
    let mut state = cell.state.borrow_mut();
    if let Some((run_id, amount)) = pending_reservation(&record.event) {
        state.release_pending(run_id, amount);
    }
    state.apply(&record.event, record.at_ms);
    if matches!(record.event, Event::RunEnded { .. }) {
        cell.run_ended.notify();
    }
}

/// The pending reservation that the event makes durable.
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

/// A handle to an open conversation. The slot is not released while one exists.
pub struct OpenConversation {
    slots: Rc<Slots>,
    slot: SlotId,
    incarnation: Incarnation,
    cell: Rc<ConversationCell>,
}

impl OpenConversation {
    /// The slot of the conversation, which was held when the handle was created.
    pub fn slot(&self) -> SlotId {
        self.slot
    }

    /// The incarnation of this entry that opened the conversation. The journal refuses events of an
    /// incarnation that was fenced.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The conversation that the handle keeps open.
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
