//! Group commit: the rows of many requests are written with one store call.
//!
//! Requests add rows to a queue; a task takes groups of rows from it and commits each group in one
//! transaction. Rows are written without conditions, and each row is written by one request only.
//! So no write can fail because of another one in its group, and a group may be written again after
//! a lost response.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use sapphireford_platform::store::{MAX_TRANSACTION_BYTES, MAX_TRANSACTION_ENTRIES, RowWrite};

use super::store::{Result, Store, StoreError};
use crate::process::notify::Notify;

/// Several commits may be in flight, so that a slow one does not block the others.
const MAX_COMMITS_IN_FLIGHT: usize = 8;
/// With fewer commits in flight, a commit takes rows of one partition only, because the store takes
/// twice as long for several partitions.
const SINGLE_PARTITION_COMMIT_LIMIT: usize = 4;
/// Shortest interval between the starts of two commits. It bounds the store calls of a gateway
/// under load.
const COMMIT_INTERVAL: Duration = Duration::from_millis(8);
/// Shortest and longest delay before a failed commit is retried. Each failure doubles the delay.
const RETRY_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(400));
/// Time after which a row that no request waits for is given up.
const DEFERRED_WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Rows that may be queued; beyond that, the oldest row that no request waits for is dropped.
const QUEUE_LIMIT_ROWS: usize = 10_000;
/// Largest total of the values in a group. The rest of a transaction is left for field names and
/// encoding.
const GROUP_LIMIT_BYTES: usize = MAX_TRANSACTION_BYTES / 2;

struct QueuedRow {
    write: RowWrite,
    /// The row is not written any more from then on.
    deadline: Instant,
    /// Whether the row is given up when its first commit fails.
    is_single_attempt: bool,
    /// Reports to the request that waits; `None` if no request does.
    result_tx: Option<oneshot::Sender<Result<()>>>,
}

#[derive(Default)]
struct Queue {
    rows: RefCell<VecDeque<QueuedRow>>,
    changed: Notify,
    commits_in_flight: Cell<usize>,
}

/// Writes rows in groups; clones share the queue and its task.
#[derive(Clone)]
pub struct StoreWriter {
    store: Store,
    queue: Rc<Queue>,
}

impl StoreWriter {
    /// Makes a writer and spawns the task that commits its rows, which never ends.
    pub fn start(store: Store) -> Self {
        let writer = Self {
            store,
            queue: Rc::default(),
        };
        monoio::spawn(writer.clone().run());
        writer
    }

    /// Writes a row and completes when it is durable. Failed commits are retried until `deadline`.
    pub async fn write(&self, write: RowWrite, deadline: Instant) -> Result<()> {
        self.write_and_wait(write, deadline, false).await
    }

    /// Writes a row without retries: fails as soon as one commit has failed on all paths to the
    /// store. The row may become durable nevertheless.
    pub async fn write_once(&self, write: RowWrite, deadline: Instant) -> Result<()> {
        self.write_and_wait(write, deadline, true).await
    }

    async fn write_and_wait(
        &self,
        write: RowWrite,
        deadline: Instant,
        is_single_attempt: bool,
    ) -> Result<()> {
        let (result_tx, result_rx) = oneshot::channel();
        self.enqueue(QueuedRow {
            write,
            deadline,
            is_single_attempt,
            result_tx: Some(result_tx),
        });
        let outcome = self.store.timer().timeout_at(deadline, result_rx).await;
        match outcome {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(StoreError::Outage),
            Err(elapsed) => Err(StoreError::Unreachable(elapsed.to_string())),
        }
    }

    /// Queues a row and returns at once. The row is lost if it is not durable within
    /// `DEFERRED_WRITE_TIMEOUT`, if it is the oldest deferred row when the queue is full, or if the
    /// process ends.
    pub fn write_deferred(&self, write: RowWrite) {
        self.enqueue(QueuedRow {
            write,
            deadline: Instant::now() + DEFERRED_WRITE_TIMEOUT,
            is_single_attempt: false,
            result_tx: None,
        });
    }

    /// Completes when no row is queued and no commit is in flight.
    pub async fn drained(&self) {
        let queue = &self.queue;
        let is_drained = || queue.rows.borrow().is_empty() && queue.commits_in_flight.get() == 0;
        queue.changed.until(is_drained).await;
    }

    fn enqueue(&self, new_row: QueuedRow) {
        let mut rows = self.queue.rows.borrow_mut();
        if rows.len() >= QUEUE_LIMIT_ROWS
            && let Some(position) = rows.iter().position(|row| row.result_tx.is_none())
        {
            rows.remove(position);
            log::warn!(limit = QUEUE_LIMIT_ROWS; "dropped the oldest deferred row because the write queue is full");
        }
        rows.push_back(new_row);
        drop(rows);
        self.queue.changed.notify();
    }

    async fn run(self) {
        loop {
            let queue = &self.queue;
            let can_commit = || {
                !queue.rows.borrow().is_empty()
                    && queue.commits_in_flight.get() < MAX_COMMITS_IN_FLIGHT
            };
            queue.changed.until(can_commit).await;
            let group = self.take_group();
            if group.is_empty() {
                continue;
            }
            queue
                .commits_in_flight
                .set(queue.commits_in_flight.get() + 1);
            let writer = self.clone();
            monoio::spawn(async move {
                writer.commit(group).await;
                let commits_in_flight = &writer.queue.commits_in_flight;
                commits_in_flight.set(commits_in_flight.get() - 1);
                writer.queue.changed.notify();
            });
            self.store.timer().sleep(COMMIT_INTERVAL).await;
        }
    }

    /// Takes the rows of the next commit from the front of the queue. A second write of the same
    /// row is left for a later commit, because a transaction has one value for each row.
    fn take_group(&self) -> Vec<QueuedRow> {
        let is_single_partition =
            self.queue.commits_in_flight.get() < SINGLE_PARTITION_COMMIT_LIMIT;
        let mut rows = self.queue.rows.borrow_mut();
        let mut group: Vec<QueuedRow> = Vec::new();
        let mut bytes = 0;
        while let Some(next) = rows.front() {
            let size = next.write.value.as_ref().map_or(0, |value| value.len());
            let is_full =
                group.len() >= MAX_TRANSACTION_ENTRIES || bytes + size > GROUP_LIMIT_BYTES;
            let is_repeated = group.iter().any(|row| row.write.row == next.write.row);
            let is_other_partition = group
                .iter()
                .any(|row| row.write.row.partition != next.write.row.partition);
            let is_left_for_later =
                is_full || is_repeated || (is_single_partition && is_other_partition);
            if !group.is_empty() && is_left_for_later {
                break;
            }
            bytes += size;
            group.extend(rows.pop_front());
        }
        group
    }

    /// Commits a group, and retries until it is durable or all its rows have been given up.
    async fn commit(&self, mut group: Vec<QueuedRow>) {
        let mut retry_delay = RETRY_DELAY_RANGE.0;
        loop {
            let now = Instant::now();
            group.retain(|row| row.deadline > now && !is_abandoned(row));
            let Some(latest_deadline) = group.iter().map(|row| row.deadline).max() else {
                return;
            };
            let writes: Vec<RowWrite> = group.iter().map(|row| row.write.clone()).collect();
            match self.store.write(&writes, latest_deadline).await {
                Ok(()) => {
                    for result_tx in group.into_iter().filter_map(|row| row.result_tx) {
                        // The request may have stopped waiting.
                        let _ = result_tx.send(Ok(()));
                    }
                    return;
                }
                Err(error) => log::debug!(rows = group.len(); "failed to commit rows: {error}"),
            }
            // Dropping a row closes its channel, which reports the failure to the request.
            group.retain(|row| !row.is_single_attempt);
            self.store.timer().sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(RETRY_DELAY_RANGE.1);
        }
    }
}

/// Whether the request that queued the row has stopped waiting for it.
fn is_abandoned(row: &QueuedRow) -> bool {
    row.result_tx
        .as_ref()
        .is_some_and(oneshot::Sender::is_canceled)
}
