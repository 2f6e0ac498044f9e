//! The task that writes the journal.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use futures_util::future::select;

use super::{
    JournalError, JournalSink, QueuedChanges, QueuedRecord, Result, Shared, SlotChange,
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

/// Pause after a failed call to the platform.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Most bytes of events in one segment.
const SEGMENT_LIMIT_BYTES: usize = 16 << 20;

/// What one commit carries.
struct Batch {
    records: Vec<Record>,
    record_receipts: Vec<RecordReceipt>,
    changes: Vec<ChangeInBatch>,
    change_receipts: Vec<ChangeReceipt>,
    next: EntryRow,
}

struct RecordReceipt {
    done: oneshot::Sender<Result<()>>,
    /// Dropped when the record is part of the state, or void.
    _open: OpenConversation,
}

struct ChangeInBatch {
    change: SlotChange,
    outcome: Option<SlotChangeOutcome>,
}

struct ChangeReceipt {
    /// Number of changes in the batch that belong to this receipt, in order.
    count: usize,
    done: oneshot::Sender<Result<Vec<SlotChangeOutcome>>>,
}

enum Outcome {
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
                Outcome::Committed => finish(shared, sink, batch),
                Outcome::Fenced => {
                    fail_all(shared, sink, batch);
                    break;
                }
            }
            let closed = shared
                .row
                .borrow()
                .as_ref()
                .is_none_or(|row| row.state == EntryState::Closed);
            if closed {
                return;
            }
        }
    }
}

/// Writes the row of a new incarnation, after recovering an earlier one that was not closed.
async fn register(shared: &Shared) {
    loop {
        match try_register(shared).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                log::warn!(
                    "could not register the entry: {}",
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
    let old = shared.platform.read_one(&key).await?;
    let mut incarnation = 1;
    if old.version > 0 {
        let row: EntryRow = old.decode()?;
        if row.state != EntryState::Closed {
            recovery::fence_and_recover(&shared.platform, &row, old.version).await?;
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
        state: shared.wanted_state.get(),
        renewal: 1,
        segment: 0,
        first_segment: 1,
        config_version: shared.config_version.get(),
    };
    let started = Instant::now();
    let check = Check {
        key: key.clone(),
        version: old.version,
    };
    let write = Write::put(key, &row)?;
    match shared.platform.commit(&[check], &[write]).await? {
        CommitOutcome::Committed(versions) => {
            shared.first_segment.set(1);
            accept_row(shared, row, versions.first().copied().unwrap_or(0), started);
            log::info!(incarnation; "entry registered");
            Ok(true)
        }
        // The next attempt reads the row again; a lost acknowledgement only costs an incarnation.
        CommitOutcome::Conflict(_) | CommitOutcome::Unknown(_) => Ok(false),
    }
}

fn accept_row(shared: &Shared, row: EntryRow, version: u64, started: Instant) {
    *shared.row.borrow_mut() = Some(row);
    shared.row_version.set(version);
    shared.last_start.set(Some(started));
    shared
        .lease_deadline
        .set(Some(started + shared.settings.lease_ttl));
    shared.failing_since.set(None);
    shared.progress.notify();
}

async fn wait_for_work(shared: &Shared) {
    loop {
        let seen = shared.work.changes();
        let now = Instant::now();
        let last = shared.last_start.get().unwrap_or(now);
        let renew_at = last + shared.settings.lease_renew;
        let has_changes = !shared.changes.borrow().is_empty() || row_is_outdated(shared);
        let due_at = if has_changes {
            now
        } else if !shared.records.borrow().is_empty() {
            (last + shared.settings.commit_interval).min(renew_at)
        } else {
            renew_at
        };
        if due_at <= now {
            return;
        }
        let sleep = shared.timer.sleep_until(due_at);
        let changed = std::pin::pin!(shared.work.changed_since(seen));
        select(sleep, changed).await;
    }
}

fn row_is_outdated(shared: &Shared) -> bool {
    let row = shared.row.borrow();
    row.as_ref().is_some_and(|row| {
        row.state != shared.wanted_state.get() || row.config_version != shared.config_version.get()
    })
}

fn take_batch(shared: &Shared) -> Option<Batch> {
    let mut next = shared.row.borrow().clone()?;
    let (records, record_receipts) = take_records(shared);
    let mut changes = Vec::new();
    let mut change_receipts = Vec::new();
    let mut waiting = shared.changes.borrow_mut();
    while let Some(next) = waiting.front() {
        // What does not fit into one transaction goes into the next commit.
        if !changes.is_empty() && changes.len() + next.changes.len() > MAX_CHANGES_PER_COMMIT {
            break;
        }
        let Some(QueuedChanges {
            changes: queued,
            done,
        }) = waiting.pop_front()
        else {
            break;
        };
        change_receipts.push(ChangeReceipt {
            count: queued.len(),
            done,
        });
        changes.extend(queued.into_iter().map(|change| ChangeInBatch {
            change,
            outcome: None,
        }));
    }
    drop(waiting);
    next.renewal += 1;
    next.state = shared.wanted_state.get();
    next.config_version = shared.config_version.get();
    next.first_segment = shared.first_segment.get();
    if !records.is_empty() {
        next.segment += 1;
    }
    Some(Batch {
        records,
        record_receipts,
        changes,
        change_receipts,
        next,
    })
}

fn take_records(shared: &Shared) -> (Vec<Record>, Vec<RecordReceipt>) {
    let mut records = Vec::new();
    let mut receipts = Vec::new();
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
            done,
            open,
            ..
        } = queued;
        bytes += size;
        records.push(record);
        receipts.push(RecordReceipt { done, _open: open });
    }
    shared.queued_bytes.set(shared.queued_bytes.get() - bytes);
    (records, receipts)
}

/// Tries until the commit has succeeded or the entry is certainly fenced.
async fn commit(shared: &Shared, batch: &mut Batch) -> Outcome {
    let started = Instant::now();
    shared.last_start.set(Some(started));
    put_segment(shared, batch).await;
    let mut first_unknown = None;
    loop {
        let started = Instant::now();
        // An attempt without an acknowledgement may be the one that took effect, so the lease
        // counts from the first of them.
        let earliest = first_unknown.unwrap_or(started);
        match try_commit(shared, batch).await {
            Ok(CommitOutcome::Committed(versions)) => {
                accept(shared, batch, &versions, started);
                return Outcome::Committed;
            }
            Ok(CommitOutcome::Conflict(rows)) => {
                if let Some(outcome) = resolve_conflict(shared, batch, rows, earliest) {
                    return outcome;
                }
            }
            Ok(CommitOutcome::Unknown(error)) | Err(error) => {
                first_unknown = Some(earliest);
                note_failure(shared, &error);
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
    let holder = holder_of(&batch.next);
    let key = segment_key(&holder, batch.next.segment);
    let bytes = match segment::encode(&batch.records) {
        Ok(bytes) => bytes::Bytes::from(bytes),
        Err(error) => unreachable!("records in memory always encode: {error}"),
    };
    while let Err(error) = shared.platform.put_object(&key, bytes.clone()).await {
        note_failure(shared, &error);
        shared.timer.sleep(RETRY_DELAY).await;
    }
}

async fn try_commit(
    shared: &Shared,
    batch: &Batch,
) -> std::result::Result<CommitOutcome, PlatformError> {
    let entry = entry_key(&batch.next.entry_id);
    let mut checks = vec![Check {
        key: entry.clone(),
        version: shared.row_version.get(),
    }];
    let mut writes = vec![Write::put(entry, &batch.next)?];
    for change in open_changes(batch) {
        let key = slot_key(change.row.slot);
        checks.push(Check {
            key: key.clone(),
            version: change.version,
        });
        writes.push(Write::put(key, &change.row)?);
    }
    shared.platform.commit(&checks, &writes).await
}

fn open_changes(batch: &Batch) -> impl Iterator<Item = &SlotChange> {
    batch
        .changes
        .iter()
        .filter(|entry| entry.outcome.is_none())
        .map(|entry| &entry.change)
}

/// Takes over the versions of the entry row and of the slot rows, in the order of the writes.
fn accept(shared: &Shared, batch: &mut Batch, versions: &[u64], started: Instant) {
    let mut versions = versions.iter().copied();
    let row_version = versions.next().unwrap_or(0);
    let open = batch
        .changes
        .iter_mut()
        .filter(|entry| entry.outcome.is_none());
    for (entry, version) in open.zip(versions) {
        entry.outcome = Some(SlotChangeOutcome::Written(version));
    }
    accept_row(shared, batch.next.clone(), row_version, started);
    metrics::counter!(COMMITS, "outcome" => "ok").increment(1);
    metrics::histogram!(COMMIT_SECONDS).record(started.elapsed());
}

/// `None` means: try again without the changes whose rows have another version.
fn resolve_conflict(
    shared: &Shared,
    batch: &mut Batch,
    rows: Vec<Row>,
    started: Instant,
) -> Option<Outcome> {
    let entry = entry_key(&batch.next.entry_id);
    let own = rows.iter().find(|row| row.key == entry)?;
    if own.version != shared.row_version.get() {
        return judge_own_row(shared, batch, own, &rows, started);
    }
    for entry in batch
        .changes
        .iter_mut()
        .filter(|entry| entry.outcome.is_none())
    {
        let key = slot_key(entry.change.row.slot);
        let current = rows.iter().find(|row| row.key == key);
        if current.is_some_and(|row| row.version != entry.change.version) {
            entry.outcome = Some(SlotChangeOutcome::Conflict);
        }
    }
    None
}

/// Reads the rows again after an acknowledgement was lost. `None` means: not committed, try again.
async fn resolve_unknown(shared: &Shared, batch: &mut Batch, started: Instant) -> Option<Outcome> {
    let entry = entry_key(&batch.next.entry_id);
    let mut keys = vec![entry.clone()];
    keys.extend(open_changes(batch).map(|change| slot_key(change.row.slot)));
    let rows = loop {
        match shared.platform.read(&keys).await {
            Ok(rows) => break rows,
            Err(error) => {
                note_failure(shared, &error);
                shared.timer.sleep(RETRY_DELAY).await;
            }
        }
    };
    let own = rows.iter().find(|row| row.key == entry)?;
    if own.version == shared.row_version.get() {
        return None;
    }
    judge_own_row(shared, batch, own, &rows, started)
}

/// The own row has changed: either this commit did it, or another entry has fenced this one.
fn judge_own_row(
    shared: &Shared,
    batch: &mut Batch,
    own: &Row,
    rows: &[Row],
    started: Instant,
) -> Option<Outcome> {
    if own.decode::<EntryRow>().ok().as_ref() != Some(&batch.next) {
        return Some(Outcome::Fenced);
    }
    let mut versions = vec![own.version];
    for change in open_changes(batch) {
        let key = slot_key(change.row.slot);
        versions.push(
            rows.iter()
                .find(|row| row.key == key)
                .map_or(0, |row| row.version),
        );
    }
    accept(shared, batch, &versions, started);
    Some(Outcome::Committed)
}

fn finish<S: JournalSink>(shared: &Shared, sink: &S, batch: Batch) {
    if !batch.records.is_empty() {
        sink.committed(&batch.records, batch.next.segment);
    }
    for receipt in batch.record_receipts {
        let _ = receipt.done.send(Ok(()));
    }
    let mut outcomes = batch.changes.into_iter().map(|entry| entry.outcome);
    for receipt in batch.change_receipts {
        let own = outcomes.by_ref().take(receipt.count);
        let own = own
            .map(|outcome| outcome.unwrap_or(SlotChangeOutcome::Conflict))
            .collect();
        let _ = receipt.done.send(Ok(own));
    }
    shared.progress.notify();
}

fn fail_all<S: JournalSink>(shared: &Shared, sink: &S, batch: Batch) {
    log::warn!(
        incarnation = batch.next.incarnation;
        "the lease was lost to another entry; dropping all slots and registering again"
    );
    *shared.row.borrow_mut() = None;
    shared.lease_deadline.set(None);
    sink.fenced();
    for receipt in batch.record_receipts {
        let _ = receipt.done.send(Err(JournalError::Fenced));
    }
    for receipt in batch.change_receipts {
        let _ = receipt.done.send(Err(JournalError::Fenced));
    }
    for queued in shared.records.borrow_mut().drain(..) {
        let _ = queued.done.send(Err(JournalError::Fenced));
    }
    for queued in shared.changes.borrow_mut().drain(..) {
        let _ = queued.done.send(Err(JournalError::Fenced));
    }
    shared.queued_bytes.set(0);
    shared.progress.notify();
}

fn note_failure(shared: &Shared, error: &PlatformError) {
    metrics::counter!(COMMITS, "outcome" => "failed").increment(1);
    if shared.failing_since.get().is_none() {
        log::warn!(
            "the platform does not take commits: {}",
            crate::error::chain(error)
        );
        shared.failing_since.set(Some(Instant::now()));
    }
}

fn holder_of(row: &EntryRow) -> EntryIncarnation {
    EntryIncarnation {
        entry_id: row.entry_id.clone(),
        incarnation: row.incarnation,
    }
}
