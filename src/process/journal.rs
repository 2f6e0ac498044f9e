//! The journal of an entry: group commit of events, and everything else that needs the entry's lease.
//!
//! One task writes. It collects the events that wait, writes them as one segment object, and commits
//! the segment by a compare-and-set on the entry's own row, which also renews the lease. Changes of
//! slot rows travel in the same commits. Once another entry has fenced the row, no commit succeeds
//! any more: the task tells its sink, fails everything that waits, and registers the entry again with
//! a higher incarnation.

pub mod segment;
mod writer;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;

use crate::connection::platform::PlatformClient;
use crate::ids::{EntryId, VersionNumber};
use crate::process::conversation::Record;
use crate::process::notify::Notify;
use crate::process::rows::{EntryIncarnation, EntryRow, EntryState, SlotRow};
use crate::process::settings::Settings;
use crate::process::slots::OpenConversation;
use crate::process::timer::TimerService;

/// The result of waiting for durability.
pub type Result<T> = std::result::Result<T, JournalError>;

/// Why an event did not become durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalError {
    /// Too many bytes wait; the event was not taken.
    Full,
    /// The entry lost its lease; the event was certainly not committed.
    Fenced,
    /// The journal has not registered its entry yet, or has stopped.
    NotRunning,
}

impl fmt::Display for JournalError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            JournalError::Full => "too many events wait to become durable",
            JournalError::Fenced => "the entry lost its lease to another entry",
            JournalError::NotRunning => "the entry has no lease",
        })
    }
}

impl std::error::Error for JournalError {}

/// Told what has become durable.
pub trait JournalSink: 'static {
    /// The records of `segment` are durable, in this order. Called before anyone who waits for them.
    fn on_committed(&self, records: &[Record], segment: u64);

    /// The incarnation has lost its lease; nothing it holds is valid any more.
    fn on_fenced(&self);
}

/// A change of a slot row, made only if the row still has `version`.
#[derive(Clone, Debug)]
pub struct SlotChange {
    /// Version of the row that the change was derived from.
    pub version: u64,
    /// The row to write.
    pub row: SlotRow,
}

/// How a change of a slot row ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotChangeOutcome {
    /// Written; the new version of the row.
    Written(u64),
    /// The row had another version; nothing was written.
    Conflict,
}

type AppendId = u64;

struct QueuedRecord {
    id: AppendId,
    record: Record,
    bytes: usize,
    result_tx: oneshot::Sender<Result<()>>,
    /// Keeps the slot from being released with a checkpoint that does not include the event.
    conversation: OpenConversation,
}

struct QueuedSlotChanges {
    changes: Vec<SlotChange>,
    result_tx: oneshot::Sender<Result<Vec<SlotChangeOutcome>>>,
}

/// What the writer task and the handles share.
struct Shared {
    platform: PlatformClient,
    timer: TimerService,
    settings: Rc<Settings>,
    records: RefCell<VecDeque<QueuedRecord>>,
    changes: RefCell<VecDeque<QueuedSlotChanges>>,
    /// Sum of the encoded sizes of `records`.
    queued_bytes: Cell<usize>,
    next_append_id: Cell<AppendId>,
    /// The row as last acknowledged; `None` before registration and after fencing.
    row: RefCell<Option<EntryRow>>,
    /// Version of that row in the table.
    row_version: Cell<u64>,
    desired_state: Cell<EntryState>,
    config_version: Cell<VersionNumber>,
    /// Written with the next commit; see [`EntryRow::first_segment`].
    first_segment: Cell<u64>,
    lease_deadline: Cell<Option<Instant>>,
    failing_since: Cell<Option<Instant>>,
    last_commit_start: Cell<Option<Instant>>,
    work_queued: Notify,
    row_changed: Notify,
}

/// A handle to the journal; clones share it.
#[derive(Clone)]
pub struct Journal {
    shared: Rc<Shared>,
}

impl Journal {
    /// Makes a journal; nothing is written before [`Journal::start`].
    pub fn new(platform: PlatformClient, timer: TimerService, settings: Rc<Settings>) -> Self {
        let shared = Shared {
            platform,
            timer,
            settings,
            records: RefCell::default(),
            changes: RefCell::default(),
            queued_bytes: Cell::new(0),
            next_append_id: Cell::new(1),
            row: RefCell::new(None),
            row_version: Cell::new(0),
            desired_state: Cell::new(EntryState::Live),
            config_version: Cell::new(0),
            first_segment: Cell::new(1),
            lease_deadline: Cell::new(None),
            failing_since: Cell::new(None),
            last_commit_start: Cell::new(None),
            work_queued: Notify::default(),
            row_changed: Notify::default(),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Starts the writer task, which registers the entry first.
    pub fn start<S: JournalSink>(&self, sink: Rc<S>) {
        let shared = self.shared.clone();
        monoio::spawn(async move { writer::run(&shared, &*sink).await });
    }

    /// Queues an event of a conversation; the receipt resolves when it is durable. Until then the
    /// conversation stays open.
    ///
    /// Events that begin work are refused while the queue is full. Those that end it are not: there
    /// are at most as many of them as calls in progress, and without them a call would stay open.
    pub fn append(&self, conversation: &OpenConversation, record: Record) -> Result<Receipt> {
        let current = self
            .own_incarnation()
            .ok_or(JournalError::NotRunning)?
            .incarnation;
        if current != conversation.incarnation() {
            return Err(JournalError::Fenced);
        }
        let bytes = segment::encoded_len(&record);
        let queued = self.shared.queued_bytes.get() + bytes;
        if queued > self.shared.settings.journal_queue_bytes && record.event.begins_work() {
            return Err(JournalError::Full);
        }
        self.shared.queued_bytes.set(queued);
        let id = self.shared.next_append_id.get();
        self.shared.next_append_id.set(id + 1);
        let (result_tx, result_rx) = oneshot::channel();
        self.shared.records.borrow_mut().push_back(QueuedRecord {
            id,
            record,
            bytes,
            result_tx,
            conversation: conversation.clone(),
        });
        self.shared.work_queued.notify();
        Ok(Receipt { id, result_rx })
    }

    /// Takes a queued event back. Returns false if a commit with it is on its way or done.
    pub fn withdraw(&self, receipt: &Receipt) -> bool {
        let mut records = self.shared.records.borrow_mut();
        let Some(index) = records.iter().position(|queued| queued.id == receipt.id) else {
            return false;
        };
        if let Some(queued) = records.remove(index) {
            self.shared
                .queued_bytes
                .set(self.shared.queued_bytes.get() - queued.bytes);
        }
        true
    }

    /// Changes slot rows under the lease of this entry.
    pub async fn change_slots(&self, changes: Vec<SlotChange>) -> Result<Vec<SlotChangeOutcome>> {
        if self.own_incarnation().is_none() {
            return Err(JournalError::NotRunning);
        }
        let (result_tx, result_rx) = oneshot::channel();
        self.shared
            .changes
            .borrow_mut()
            .push_back(QueuedSlotChanges { changes, result_tx });
        self.shared.work_queued.notify();
        result_rx.await.unwrap_or(Err(JournalError::NotRunning))
    }

    /// The incarnation that is registered now.
    pub fn own_incarnation(&self) -> Option<EntryIncarnation> {
        let row = self.shared.row.borrow();
        row.as_ref().map(|row| EntryIncarnation {
            entry_id: row.entry_id.clone(),
            incarnation: row.incarnation,
        })
    }

    /// The last committed segment.
    pub fn committed_segment(&self) -> u64 {
        self.shared
            .row
            .borrow()
            .as_ref()
            .map_or(0, |row| row.segment)
    }

    /// Until when no other entry may have fenced this one.
    pub fn holds_lease_at(&self, now: Instant) -> bool {
        self.shared
            .lease_deadline
            .get()
            .is_some_and(|deadline| now < deadline)
    }

    /// How long commits have been failing; `None` while they succeed.
    pub fn commits_failing_for(&self) -> Option<Duration> {
        self.shared.failing_since.get().map(|since| since.elapsed())
    }

    /// Bytes of the events that wait.
    pub fn queued_bytes(&self) -> usize {
        self.shared.queued_bytes.get()
    }

    /// Makes the next commit state which configuration is in force here.
    pub fn set_config_version(&self, version: VersionNumber) {
        self.shared.config_version.set(version);
        self.shared.work_queued.notify();
    }

    /// Makes the next commit state that segments below `first` are no longer needed.
    pub fn set_first_segment(&self, first: u64) {
        self.shared.first_segment.set(first);
    }

    /// The segments below this one are not needed, and the row says so.
    pub fn committed_first_segment(&self) -> u64 {
        self.shared
            .row
            .borrow()
            .as_ref()
            .map_or(1, |row| row.first_segment)
    }

    /// Changes the state of the entry in its row and waits until that is durable.
    pub async fn set_state(&self, state: EntryState) {
        self.shared.desired_state.set(state);
        self.shared.work_queued.notify();
        let reached = || {
            let row = self.shared.row.borrow();
            row.as_ref().is_none_or(|row| row.state == state)
        };
        self.shared.row_changed.until(reached).await;
    }

    /// Waits until the entry is registered.
    pub async fn registered(&self) {
        self.shared
            .row_changed
            .until(|| self.shared.row.borrow().is_some())
            .await;
    }

    /// The entry of this journal.
    pub fn entry_id(&self) -> EntryId {
        self.shared.settings.entry_id.clone()
    }
}

/// Stands for an event on its way into the journal.
pub struct Receipt {
    id: AppendId,
    result_rx: oneshot::Receiver<Result<()>>,
}

impl Receipt {
    /// Waits until the event is durable.
    pub async fn durable(&mut self) -> Result<()> {
        (&mut self.result_rx)
            .await
            .unwrap_or(Err(JournalError::NotRunning))
    }
}
