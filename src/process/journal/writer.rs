//! The task that writes the journal.
//!
//! It registers the entry and commits one batch after the other until the entry is closed. After
//! the entry has been fenced, it registers a new incarnation. A commit without an acknowledgement
//! may have taken effect, so the task reads the rows again before it retries; no batch is committed
//! twice.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use futures_util::future::select;

use super::{
    JournalError, JournalSink, QueuedRecord, QueuedSlotChanges, Result, Shared, SlotChange,
    SlotChangeOutcome, segment,
};
use crate::connection::platform::{
    Check, CommitOutcome, MAX_CHANGES_PER_COMMIT, PlatformError, Row, Write,
};
use crate::process::conversation::Record;
use crate::process::metrics::{COMMIT_SECONDS, COMMITS};
use crate::process::recovery;
use crate::process::rows::{
    EntryIncarnation, EntryRow, EntryState, entry_key, segment_key, slot_key,
};
use crate::process::slots::OpenConversation;

/// Delay after a failed call to the platform.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Limit of the encoded events in one segment; a larger event gets a segment of its own.
const SEGMENT_LIMIT_BYTES: usize = 16 << 20;

/// The content of one commit, with the senders that its results go to.
struct Batch {
    records: Vec<Record>,
    record_waiters: Vec<RecordWaiter>,
    changes: Vec<BatchedChange>,
    change_waiters: Vec<ChangeWaiter>,
    next_row: EntryRow,
}

struct RecordWaiter {
    result_tx: oneshot::Sender<Result<()>>,
    /// Keeps the conversation open until the record has been applied to the state or has failed.
    _open_conversation: OpenConversation,
}

struct BatchedChange {
    change: SlotChange,
    outcome: Option<SlotChangeOutcome>,
}

struct ChangeWaiter {
    /// Number of changes in the batch that belong to this waiter. The changes of all waiters are in
    /// the order of the waiters.
    count: usize,
    result_tx: oneshot::Sender<Result<Vec<SlotChangeOutcome>>>,
}

enum BatchOutcome {
    Committed,
    Fenced,
}

pub(super) async fn run<S: JournalSink>(shared: &Shared, sink: &S) {
    loop {
        register(shared).await;
        loop {
            wait_for_work(shared).await;
            let Some(mut batch) = take_batch(shared) else {
                break;
            };
            match commit(shared, &mut batch).await {
                BatchOutcome::Committed => complete_batch(shared, sink, batch),
                BatchOutcome::Fenced => {
                    fail_batch_and_queue(shared, sink, batch);
                    break;
                }
            }
            let is_closed = shared
                .row
                .borrow()
                .as_ref()
                .is_none_or(|row| row.state == EntryState::Closed);
            if is_closed {
                return;
            }
        }
    }
}

/// Writes the row of a new incarnation, after recovering a previous one that was not closed.
async fn register(shared: &Shared) {
    loop {
        match try_register(shared).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                log::warn!(
                    "failed to register the entry, retrying: {}",
                    crate::error::chain(&error)
                );
            }
        }
        shared.timer.sleep(RETRY_DELAY).await;
    }
}

async fn try_register(shared: &Shared) -> std::result::Result<bool, PlatformError> {
    let settings = &shared.settings;
    let key = entry_key(&settings.entry_id);
    let previous = shared.platform.read_one(&key).await?;
    let mut incarnation = 1;
    if previous.version > 0 {
        let row: EntryRow = previous.decode()?;
        if row.state != EntryState::Closed {
            recovery::fence_and_recover(&shared.platform, &row, previous.version).await?;
            return Ok(false);
        }
        incarnation = row.incarnation + 1;
    }
    let row = EntryRow {
        entry_id: settings.entry_id.clone(),
        incarnation,
        http_address: settings.http_address,
        peer_address: settings.peer_address,
        failure_domain: settings.failure_domain.clone(),
        state: shared.desired_state.get(),
        renewal: 1,
        segment: 0,
        first_segment: 1,
        config_version: shared.config_version.get(),
    };
    let started = Instant::now();
    let check = Check {
        key: key.clone(),
        version: previous.version,
    };
    let write = Write::put(key, &row)?;
    match shared.platform.commit(&[check], &[write]).await? {
        CommitOutcome::Committed(versions) => {
            shared.first_segment.set(1);
            accept_row(shared, row, versions.first().copied().unwrap_or(0), started);
            log::info!(incarnation; "entry registered");
            Ok(true)
        }
        // The next attempt reads the row again. After a lost acknowledgement it recovers the new
        // incarnation and registers another one.
        CommitOutcome::Conflict(_) | CommitOutcome::Unknown(_) => Ok(false),
    }
}

fn accept_row(shared: &Shared, row: EntryRow, version: u64, started: Instant) {
    *shared.row.borrow_mut() = Some(row);
    shared.row_version.set(version);
    shared.last_commit_start.set(Some(started));
    shared
        .lease_deadline
        .set(Some(started + shared.settings.lease_ttl));
    shared.failing_since.set(None);
    shared.row_changed.notify();
}

async fn wait_for_work(shared: &Shared) {
    loop {
        let seen = shared.work_queued.changes();
        let now = Instant::now();
        let last_start = shared.last_commit_start.get().unwrap_or(now);
        let renew_at = last_start + shared.settings.lease_renew_interval;
        let has_row_changes = !shared.changes.borrow().is_empty() || row_is_outdated(shared);
        let due_at = if has_row_changes {
            now
        } else if !shared.records.borrow().is_empty() {
            (last_start + shared.settings.commit_interval).min(renew_at)
        } else {
            renew_at
        };
        if due_at <= now {
            return;
        }
        let sleep = shared.timer.sleep_until(due_at);
        let changed = std::pin::pin!(shared.work_queued.changed_since(seen));
        select(sleep, changed).await;
    }
}

fn row_is_outdated(shared: &Shared) -> bool {
    let row = shared.row.borrow();
    row.as_ref().is_some_and(|row| {
        row.state != shared.desired_state.get() || row.config_version != shared.config_version.get()
    })
}

fn take_batch(shared: &Shared) -> Option<Batch> {
    let mut next_row = shared.row.borrow().clone()?;
    let (records, record_waiters) = take_records(shared);
    let mut changes = Vec::new();
    let mut change_waiters = Vec::new();
    let mut waiting = shared.changes.borrow_mut();
    while let Some(front) = waiting.front() {
        // Changes beyond the limit of a transaction wait for the next commit.
        if !changes.is_empty() && changes.len() + front.changes.len() > MAX_CHANGES_PER_COMMIT {
            break;
        }
        let Some(QueuedSlotChanges {
            changes: queued,
            result_tx,
        }) = waiting.pop_front()
        else {
            break;
        };
        change_waiters.push(ChangeWaiter {
            count: queued.len(),
            result_tx,
        });
        changes.extend(queued.into_iter().map(|change| BatchedChange {
            change,
            outcome: None,
        }));
    }
    drop(waiting);
    next_row.renewal += 1;
    next_row.state = shared.desired_state.get();
    next_row.config_version = shared.config_version.get();
    next_row.first_segment = shared.first_segment.get();
    if !records.is_empty() {
        next_row.segment += 1;
    }
    Some(Batch {
        records,
        record_waiters,
        changes,
        change_waiters,
        next_row,
    })
}

fn take_records(shared: &Shared) -> (Vec<Record>, Vec<RecordWaiter>) {
    let mut records = Vec::new();
    let mut waiters = Vec::new();
    let mut bytes = 0;
    let mut queue = shared.records.borrow_mut();
    while let Some(queued) = queue.pop_front() {
        if bytes > 0 && bytes + queued.bytes > SEGMENT_LIMIT_BYTES {
            queue.push_front(queued);
            break;
        }
        let QueuedRecord {
            record,
            bytes: size,
            result_tx,
            conversation,
            ..
        } = queued;
        bytes += size;
        records.push(record);
        waiters.push(RecordWaiter {
            result_tx,
            _open_conversation: conversation,
        });
    }
    shared.queued_bytes.set(shared.queued_bytes.get() - bytes);
    (records, waiters)
}

/// Retries until the commit has succeeded or the entry is known to be fenced.
async fn commit(shared: &Shared, batch: &mut Batch) -> BatchOutcome {
    let started = Instant::now();
    shared.last_commit_start.set(Some(started));
    put_segment(shared, batch).await;
    let mut first_unknown = None;
    loop {
        let started = Instant::now();
        // An attempt without an acknowledgement may be the one that took effect, so the lease TTL
        // counts from the start of the first such attempt.
        let earliest = first_unknown.unwrap_or(started);
        match try_commit(shared, batch).await {
            Ok(CommitOutcome::Committed(versions)) => {
                accept_commit(shared, batch, &versions, started);
                return BatchOutcome::Committed;
            }
            Ok(CommitOutcome::Conflict(rows)) => {
                if let Some(outcome) = resolve_conflict(shared, batch, rows, earliest) {
                    return outcome;
                }
            }
            Ok(CommitOutcome::Unknown(error)) | Err(error) => {
                first_unknown = Some(earliest);
                record_failure(shared, &error);
                shared.timer.sleep(RETRY_DELAY).await;
                if let Some(outcome) = resolve_unknown(shared, batch, earliest).await {
                    return outcome;
                }
            }
        }
    }
}

async fn put_segment(shared: &Shared, batch: &Batch) {
    if batch.records.is_empty() {
        return;
    }
    let incarnation = incarnation_of(&batch.next_row);
    let key = segment_key(&incarnation, batch.next_row.segment);
    let bytes = match segment::encode(&batch.records) {
        Ok(bytes) => bytes::Bytes::from(bytes),
        Err(error) => unreachable!("records in memory always encode: {error}"),
    };
    while let Err(error) = shared.platform.put_object(&key, bytes.clone()).await {
        record_failure(shared, &error);
        shared.timer.sleep(RETRY_DELAY).await;
    }
}

async fn try_commit(
    shared: &Shared,
    batch: &Batch,
) -> std::result::Result<CommitOutcome, PlatformError> {
    let entry_row_key = entry_key(&batch.next_row.entry_id);
    let mut checks = vec![Check {
        key: entry_row_key.clone(),
        version: shared.row_version.get(),
    }];
    let mut writes = vec![Write::put(entry_row_key, &batch.next_row)?];
    for change in unresolved_changes(batch) {
        let key = slot_key(change.row.slot);
        checks.push(Check {
            key: key.clone(),
            version: change.version,
        });
        writes.push(Write::put(key, &change.row)?);
    }
    shared.platform.commit(&checks, &writes).await
}

fn unresolved_changes(batch: &Batch) -> impl Iterator<Item = &SlotChange> {
    batch
        .changes
        .iter()
        .filter(|batched| batched.outcome.is_none())
        .map(|batched| &batched.change)
}

/// Records a successful commit. `versions` are the new versions of the entry row and of the written
/// slot rows, in the order of the writes.
fn accept_commit(shared: &Shared, batch: &mut Batch, versions: &[u64], started: Instant) {
    let mut versions = versions.iter().copied();
    let row_version = versions.next().unwrap_or(0);
    let unresolved = batch
        .changes
        .iter_mut()
        .filter(|batched| batched.outcome.is_none());
    for (batched, version) in unresolved.zip(versions) {
        batched.outcome = Some(SlotChangeOutcome::Written(version));
    }
    accept_row(shared, batch.next_row.clone(), row_version, started);
    metrics::counter!(COMMITS, "outcome" => "ok").increment(1);
    metrics::histogram!(COMMIT_SECONDS).record(started.elapsed());
}

/// Handles a conflict. `None` means that the commit is to be retried without the changes whose rows
/// have another version, which are marked as conflicts.
fn resolve_conflict(
    shared: &Shared,
    batch: &mut Batch,
    rows: Vec<Row>,
    started: Instant,
) -> Option<BatchOutcome> {
    let entry_row_key = entry_key(&batch.next_row.entry_id);
    let own = rows.iter().find(|row| row.key == entry_row_key)?;
    if own.version != shared.row_version.get() {
        return resolve_changed_row(shared, batch, own, &rows, started);
    }
    for batched in batch
        .changes
        .iter_mut()
        .filter(|batched| batched.outcome.is_none())
    {
        let key = slot_key(batched.change.row.slot);
        let current = rows.iter().find(|row| row.key == key);
        if current.is_some_and(|row| row.version != batched.change.version) {
            batched.outcome = Some(SlotChangeOutcome::Conflict);
        }
    }
    None
}

/// Reads the rows again after a failed or unacknowledged attempt. `None` means that the commit did
/// not take effect and is to be retried.
async fn resolve_unknown(
    shared: &Shared,
    batch: &mut Batch,
    started: Instant,
) -> Option<BatchOutcome> {
    let entry_row_key = entry_key(&batch.next_row.entry_id);
    let mut keys = vec![entry_row_key.clone()];
    keys.extend(unresolved_changes(batch).map(|change| slot_key(change.row.slot)));
    let rows = loop {
        match shared.platform.read(&keys).await {
            Ok(rows) => break rows,
            Err(error) => {
                record_failure(shared, &error);
                shared.timer.sleep(RETRY_DELAY).await;
            }
        }
    };
    let own = rows.iter().find(|row| row.key == entry_row_key)?;
    if own.version == shared.row_version.get() {
        return None;
    }
    resolve_changed_row(shared, batch, own, &rows, started)
}

/// Determines who changed the entry's own row: this commit if the row has the content that it
/// writes, else an entry that fenced this one.
fn resolve_changed_row(
    shared: &Shared,
    batch: &mut Batch,
    own: &Row,
    rows: &[Row],
    started: Instant,
) -> Option<BatchOutcome> {
    if own.decode::<EntryRow>().ok().as_ref() != Some(&batch.next_row) {
        return Some(BatchOutcome::Fenced);
    }
    let mut versions = vec![own.version];
    for change in unresolved_changes(batch) {
        let key = slot_key(change.row.slot);
        versions.push(
            rows.iter()
                .find(|row| row.key == key)
                .map_or(0, |row| row.version),
        );
    }
    accept_commit(shared, batch, &versions, started);
    Some(BatchOutcome::Committed)
}

fn complete_batch<S: JournalSink>(shared: &Shared, sink: &S, batch: Batch) {
    if !batch.records.is_empty() {
        sink.on_committed(&batch.records, batch.next_row.segment);
    }
    for waiter in batch.record_waiters {
        let _ = waiter.result_tx.send(Ok(()));
    }
    let mut outcomes = batch.changes.into_iter().map(|batched| batched.outcome);
    for waiter in batch.change_waiters {
        let waiter_outcomes = outcomes.by_ref().take(waiter.count);
        let waiter_outcomes = waiter_outcomes
            .map(|outcome| outcome.unwrap_or(SlotChangeOutcome::Conflict))
            .collect();
        let _ = waiter.result_tx.send(Ok(waiter_outcomes));
    }
    shared.row_changed.notify();
}

fn fail_batch_and_queue<S: JournalSink>(shared: &Shared, sink: &S, batch: Batch) {
    log::warn!( incarnation = batch.next_row.incarnation; "entry was fenced and lost its lease; dropping all slots and registering a new incarnation" );
    *shared.row.borrow_mut() = None;
    shared.lease_deadline.set(None);
    sink.on_fenced();
    for waiter in batch.record_waiters {
        let _ = waiter.result_tx.send(Err(JournalError::Fenced));
    }
    for waiter in batch.change_waiters {
        let _ = waiter.result_tx.send(Err(JournalError::Fenced));
    }
    for queued in shared.records.borrow_mut().drain(..) {
        let _ = queued.result_tx.send(Err(JournalError::Fenced));
    }
    for queued in shared.changes.borrow_mut().drain(..) {
        let _ = queued.result_tx.send(Err(JournalError::Fenced));
    }
    shared.queued_bytes.set(0);
    shared.row_changed.notify();
}

/// Counts a failed call of a commit. Logs only the first one since the last successful commit.
fn record_failure(shared: &Shared, error: &PlatformError) {
    metrics::counter!(COMMITS, "outcome" => "failed").increment(1);
    if shared.failing_since.get().is_none() {
        log::warn!(
            "failed to commit to the journal, retrying: {}",
            crate::error::chain(error)
        );
        shared.failing_since.set(Some(Instant::now()));
    }
}

fn incarnation_of(row: &EntryRow) -> EntryIncarnation {
    EntryIncarnation {
        entry_id: row.entry_id.clone(),
        incarnation: row.incarnation,
    }
}
