//! The journal of an entry: group commit of events, and all other writes under the entry's lease.
//!
//! A single task writes. It takes a batch of queued events, writes it as one segment object, and
//! commits the segment by a compare-and-set on the entry's own row, which also renews the lease.
//! Changes of slot rows are part of the same transactions, so that an entry that lost its lease
//! cannot make any. Once the row has been fenced, no commit succeeds: the task notifies its
//! [`JournalSink`], fails everything that is queued, and registers the entry again with a higher
//! incarnation.

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

/// The result of an operation of the journal.
pub type Result<T> = std::result::Result<T, JournalError>;

/// Why an event did not become durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalError {
    /// The event would exceed the limit of queued bytes; it was not queued.
    Full,
    /// The entry lost its lease; the event is certain not to be committed.
    Fenced,
    /// The entry is not registered, or the journal has stopped.
    NotRunning,
}

impl fmt::Display for JournalError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            JournalError::Full => "the journal queue is full",
            JournalError::Fenced => "the entry was fenced and lost its lease",
            JournalError::NotRunning => "the entry has no lease",
        })
    }
}

impl std::error::Error for JournalError {}

/// Receives what has become durable.
pub trait JournalSink: 'static {
    /// The records of `segment` are durable, in this order. Called before the receipts of the
    /// records resolve.
    fn on_committed(&self, records: &[Record], segment: u64);

    /// The incarnation has lost its lease, and with it all its slots. Called before the receipts of
    /// queued records fail.
    fn on_fenced(&self);
}

/// A change of a slot row by compare-and-set on `version`.
#[derive(Clone, Debug)]
pub struct SlotChange {
    /// Version of the row that the change was derived from.
    pub version: u64,
    /// The new content.
    pub row: SlotRow,
}

/// The outcome of a change of a slot row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotChangeOutcome {
    /// Written, with this new version of the row.
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
    /// Prevents the slot from being released with a checkpoint that does not include the event.
    conversation: OpenConversation,
}

struct QueuedSlotChanges {
    changes: Vec<SlotChange>,
    result_tx: oneshot::Sender<Result<Vec<SlotChangeOutcome>>>,
}

/// The state that the writer task shares with the handles.
struct Shared {
    platform: PlatformClient,
    timer: TimerService,
    settings: Rc<Settings>,
    records: RefCell<VecDeque<QueuedRecord>>,
    changes: RefCell<VecDeque<QueuedSlotChanges>>,
    /// Sum of the encoded sizes of `records`.
    queued_bytes: Cell<usize>,
    next_append_id: Cell<AppendId>,
    /// The entry's own row as last committed; `None` before registration and after fencing.
    row: RefCell<Option<EntryRow>>,
    /// Version of `row` in the table.
    row_version: Cell<u64>,
    desired_state: Cell<EntryState>,
    config_version: Cell<VersionNumber>,
    /// Written with the next commit, see [`EntryRow::first_segment`].
    first_segment: Cell<u64>,
    lease_deadline: Cell<Option<Instant>>,
    failing_since: Cell<Option<Instant>>,
    last_commit_start: Cell<Option<Instant>>,
    work_queued: Notify,
    row_changed: Notify,
}

/// A handle to the journal of this entry; clones refer to the same journal.
#[derive(Clone)]
pub struct Journal {
    shared: Rc<Shared>,
}

impl Journal {
    /// Creates a journal, which writes nothing before [`Journal::start`].
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

    /// Starts the writer task, which first registers the entry.
    pub fn start<S: JournalSink>(&self, sink: Rc<S>) {
        let shared = self.shared.clone();
        monoio::spawn(async move { writer::run(&shared, &*sink).await });
    }

    /// Queues an event of a conversation. The receipt resolves when the event is durable; until
    /// then the conversation stays open.
    ///
    /// While the queue is full, events that begin work are refused. Events that finish work are
    /// accepted: there are at most as many of them as calls in progress, and without them a call
    /// would stay open.
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

    /// Removes an event from the queue. Returns false if it is no longer queued: its commit is in
    /// flight or done, or the entry was fenced.
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

    /// Changes slot rows under the lease of this entry. The outcomes are in the order of the
    /// changes.
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

    /// The incarnation of this entry that is registered; `None` before registration and after
    /// fencing.
    pub fn own_incarnation(&self) -> Option<EntryIncarnation> {
        let row = self.shared.row.borrow();
        row.as_ref().map(|row| EntryIncarnation {
            entry_id: row.entry_id.clone(),
            incarnation: row.incarnation,
        })
    }

    /// Number of the last committed segment of this incarnation; 0 before the first.
    pub fn committed_segment(&self) -> u64 {
        self.shared
            .row
            .borrow()
            .as_ref()
            .map_or(0, |row| row.segment)
    }

    /// Whether the lease is still valid at `now`, so that no other entry may have fenced this one.
    pub fn holds_lease_at(&self, now: Instant) -> bool {
        self.shared
            .lease_deadline
            .get()
            .is_some_and(|deadline| now < deadline)
    }

    /// Time since the first failed platform call after the last successful commit; `None` while
    /// commits succeed.
    pub fn commits_failing_for(&self) -> Option<Duration> {
        self.shared.failing_since.get().map(|since| since.elapsed())
    }

    /// Encoded size of the queued events.
    pub fn queued_bytes(&self) -> usize {
        self.shared.queued_bytes.get()
    }

    /// Publishes the configuration version in force on this entry in its row, with a commit at
    /// once.
    pub fn set_config_version(&self, version: VersionNumber) {
        self.shared.config_version.set(version);
        self.shared.work_queued.notify();
    }

    /// Publishes with the next commit that segments below `first` are no longer needed.
    pub fn set_first_segment(&self, first: u64) {
        self.shared.first_segment.set(first);
    }

    /// The first segment that is still needed according to the committed row. Segments below it may
    /// be deleted.
    pub fn committed_first_segment(&self) -> u64 {
        self.shared
            .row
            .borrow()
            .as_ref()
            .map_or(1, |row| row.first_segment)
    }

    /// Changes the state of the entry in its row and waits until the change is durable or the entry
    /// is not registered.
    pub async fn set_state(&self, state: EntryState) {
        self.shared.desired_state.set(state);
        self.shared.work_queued.notify();
        let reached = || {
            let row = self.shared.row.borrow();
            row.as_ref().is_none_or(|row| row.state == state)
        };
        self.shared.row_changed.until(reached).await;
    }

    /// Completes when the entry is registered.
    pub async fn registered(&self) {
        self.shared
            .row_changed
            .until(|| self.shared.row.borrow().is_some())
            .await;
    }

    /// The id of this entry, from its settings.
    pub fn entry_id(&self) -> EntryId {
        self.shared.settings.entry_id.clone()
    }
}

/// A handle to a queued event.
pub struct Receipt {
    id: AppendId,
    result_rx: oneshot::Receiver<Result<()>>,
}

impl Receipt {
    /// Completes when the event is durable, or is certain not to become durable.
    pub async fn durable(&mut self) -> Result<()> {
        (&mut self.result_rx)
            .await
            .unwrap_or(Err(JournalError::NotRunning))
    }
}
