//! Group commit: rows of many requests are written with one call.
//!
//! Rows are written without conditions, and each row is written by one request only, so no write can
//! fail because of another one in its group, and a group may be written again after a lost answer.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use sapphireford_platform::store::{MAX_TRANSACTION_BYTES, MAX_TRANSACTION_ENTRIES, RowWrite};

use super::store::{Result, Store, StoreError};
use crate::process::notify::Notify;

/// Commits in progress at the same time, so that a slow one does not hold up the others.
const COMMITS_IN_PROGRESS: usize = 8;
/// Commits in progress up to which a commit takes rows of one partition only. The store takes twice
/// as long for several partitions.
const SINGLE_PARTITION_COMMITS: usize = 4;
/// Pause between the starts of two commits, which bounds the calls of a gateway under load.
const COMMIT_PAUSE: Duration = Duration::from_millis(8);
/// Shortest and longest pause before a commit that failed is made again. Each failure doubles the
/// pause.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));
/// Time for which a row that nobody waits for is tried.
const DEFERRED_TIME: Duration = Duration::from_secs(30);
/// Rows that may wait; beyond that, the oldest row that nobody waits for is dropped.
const QUEUE_ROWS: usize = 10_000;
/// Part of a transaction that is left for field names and encoding.
const GROUP_BYTES: usize = MAX_TRANSACTION_BYTES / 2;

struct Pending {
    write: RowWrite,
    /// It is not tried any more from then on.
    deadline: Instant,
    /// Whether it is given up when the store does not take it at once.
    is_tried_once: bool,
    done: Option<oneshot::Sender<Result<()>>>,
}

#[derive(Default)]
struct Queue {
    rows: RefCell<VecDeque<Pending>>,
    changed: Notify,
    commits: Cell<usize>,
}

/// Writes rows in groups; clones share the queue.
#[derive(Clone)]
pub struct StoreWriter {
    store: Store,
    queue: Rc<Queue>,
}

impl StoreWriter {
    /// Starts the task that commits.
    pub fn start(store: Store) -> Self {
        let writer = Self {
            store,
            queue: Rc::default(),
        };
        monoio::spawn(writer.clone().run());
        writer
    }

    /// Writes a row, again and again until `deadline`; completes when it is durable.
    pub async fn write(&self, write: RowWrite, deadline: Instant) -> Result<()> {
        self.write_waiting(write, deadline, false).await
    }

    /// Writes a row, and fails as soon as the store does not take it on any path. The row may
    /// become durable all the same.
    pub async fn write_once(&self, write: RowWrite, deadline: Instant) -> Result<()> {
        self.write_waiting(write, deadline, true).await
    }

    async fn write_waiting(
        &self,
        write: RowWrite,
        deadline: Instant,
        is_tried_once: bool,
    ) -> Result<()> {
        let (done, outcome) = oneshot::channel();
        self.push(Pending {
            write,
            deadline,
            is_tried_once,
            done: Some(done),
        });
        let outcome = self.store.timer().timeout_at(deadline, outcome).await;
        match outcome {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(StoreError::Outage),
            Err(elapsed) => Err(StoreError::Unreachable(elapsed.to_string())),
        }
    }

    /// Writes a row some time soon, without anybody who waits for it.
    pub fn write_later(&self, write: RowWrite) {
        self.push(Pending {
            write,
            deadline: Instant::now() + DEFERRED_TIME,
            is_tried_once: false,
            done: None,
        });
    }

    /// Completes when nothing is left to write.
    pub async fn drained(&self) {
        let queue = &self.queue;
        let is_drained = || queue.rows.borrow().is_empty() && queue.commits.get() == 0;
        queue.changed.until(is_drained).await;
    }

    fn push(&self, pending: Pending) {
        let mut rows = self.queue.rows.borrow_mut();
        if rows.len() >= QUEUE_ROWS
            && let Some(position) = rows.iter().position(|row| row.done.is_none())
        {
            rows.remove(position);
            log::warn!(limit = QUEUE_ROWS; "a deferred row was dropped: too many rows wait");
        }
        rows.push_back(pending);
        drop(rows);
        self.queue.changed.notify();
    }

    async fn run(self) {
        loop {
            let queue = &self.queue;
            let can_commit =
                || !queue.rows.borrow().is_empty() && queue.commits.get() < COMMITS_IN_PROGRESS;
            queue.changed.until(can_commit).await;
            let group = self.take_group();
            if group.is_empty() {
                continue;
            }
            queue.commits.set(queue.commits.get() + 1);
            let writer = self.clone();
            monoio::spawn(async move {
                writer.commit(group).await;
                let commits = &writer.queue.commits;
                commits.set(commits.get() - 1);
                writer.queue.changed.notify();
            });
            self.store.timer().sleep(COMMIT_PAUSE).await;
        }
    }

    /// Takes the rows of the next commit. A row that is there twice stays for a later one, because
    /// a transaction has one value for each row.
    fn take_group(&self) -> Vec<Pending> {
        let takes_one_partition = self.queue.commits.get() < SINGLE_PARTITION_COMMITS;
        let mut rows = self.queue.rows.borrow_mut();
        let mut group: Vec<Pending> = Vec::new();
        let mut bytes = 0;
        while let Some(next) = rows.front() {
            let size = next.write.value.as_ref().map_or(0, |value| value.len());
            let is_full = group.len() >= MAX_TRANSACTION_ENTRIES || bytes + size > GROUP_BYTES;
            let is_repeated = group.iter().any(|row| row.write.row == next.write.row);
            let is_other_partition = group
                .iter()
                .any(|row| row.write.row.partition != next.write.row.partition);
            let is_too_many = is_full || is_repeated || (takes_one_partition && is_other_partition);
            if !group.is_empty() && is_too_many {
                break;
            }
            bytes += size;
            group.extend(rows.pop_front());
        }
        group
    }

    /// Writes a group until it is durable, or no row of it is waited for any more.
    async fn commit(&self, mut group: Vec<Pending>) {
        let mut pause = RETRY_PAUSES.0;
        loop {
            let now = Instant::now();
            group.retain(|row| row.deadline > now && !is_abandoned(row));
            let Some(latest) = group.iter().map(|row| row.deadline).max() else {
                return;
            };
            let writes: Vec<RowWrite> = group.iter().map(|row| row.write.clone()).collect();
            match self.store.write(&writes, latest).await {
                Ok(()) => {
                    for done in group.into_iter().filter_map(|row| row.done) {
                        // A requester that no longer waits needs no answer.
                        let _ = done.send(Ok(()));
                    }
                    return;
                }
                Err(error) => log::debug!(rows = group.len(); "commit failed: {error}"),
            }
            // Dropping a row tells its requester that it was given up.
            group.retain(|row| !row.is_tried_once);
            self.store.timer().sleep(pause).await;
            pause = (pause * 2).min(RETRY_PAUSES.1);
        }
    }
}

fn is_abandoned(row: &Pending) -> bool {
    row.done.as_ref().is_some_and(oneshot::Sender::is_canceled)
}
