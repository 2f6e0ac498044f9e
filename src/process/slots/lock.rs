//! Fair asynchronous locks, one for each thread (message history) of a conversation, so that its
//! calls run one at a time.
//!
//! Waiters are served in the order in which they asked for the lock.
//! A released lock is handed to the first waiter directly, so that a later request cannot get it in
//! between.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use futures_channel::oneshot;
use indexmap::IndexMap;

use crate::ids::RunId;

/// The result of a request for a lock.
pub type Result<T> = std::result::Result<T, TooManyWaiting>;

/// The queue of the lock has reached its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyWaiting;

/// The waiters of each locked thread. A thread that is not in the map is not locked.
type Queues = IndexMap<RunId, VecDeque<oneshot::Sender<()>>>;

/// One lock for each thread of a conversation; clones share the locks.
#[derive(Clone, Default)]
pub struct ThreadLocks {
    queues: Rc<RefCell<Queues>>,
}

impl ThreadLocks {
    /// Waits for the lock of a thread in order of arrival. Fails at once if `waiting_limit`
    /// requests are already waiting for it.
    pub async fn lock(&self, thread_number: RunId, waiting_limit: usize) -> Result<ThreadLock> {
        let grant_rx = match self.queues.borrow_mut().get_mut(&thread_number) {
            None => None,
            Some(queue) => {
                queue.retain(|waiter| !waiter.is_canceled());
                if queue.len() >= waiting_limit {
                    return Err(TooManyWaiting);
                }
                let (grant_tx, grant_rx) = oneshot::channel();
                queue.push_back(grant_tx);
                Some(grant_rx)
            }
        };
        let queues = self.queues.clone();
        match grant_rx {
            Some(grant_rx) => Ok(Waiter {
                queues,
                thread_number,
                grant_rx,
            }
            .wait()
            .await),
            None => {
                self.queues
                    .borrow_mut()
                    .insert(thread_number, VecDeque::new());
                Ok(ThreadLock {
                    queues,
                    thread_number,
                })
            }
        }
    }
}

impl ThreadLocks {
    /// Acquires the lock of a thread if it is free; `None` otherwise.
    pub fn try_lock(&self, thread_number: RunId) -> Option<ThreadLock> {
        let mut queues = self.queues.borrow_mut();
        if queues.contains_key(&thread_number) {
            return None;
        }
        queues.insert(thread_number, VecDeque::new());
        Some(ThreadLock {
            queues: self.queues.clone(),
            thread_number,
        })
    }
}

/// A position in the queue. If it is dropped after the lock was granted to it, the lock passes to
/// the next waiter.
struct Waiter {
    queues: Rc<RefCell<Queues>>,
    thread_number: RunId,
    grant_rx: oneshot::Receiver<()>,
}

impl Waiter {
    async fn wait(mut self) -> ThreadLock {
        // The sender is never dropped without a grant: each guard that is dropped grants the lock
        // to the next waiter.
        let _ = (&mut self.grant_rx).await;
        ThreadLock {
            queues: self.queues.clone(),
            thread_number: self.thread_number,
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if let Ok(Some(())) = self.grant_rx.try_recv() {
            drop(ThreadLock {
                queues: self.queues.clone(),
                thread_number: self.thread_number,
            });
        }
    }
}

/// Guard of the lock of a thread; dropping it grants the lock to the next waiter.
pub struct ThreadLock {
    queues: Rc<RefCell<Queues>>,
    thread_number: RunId,
}

impl Drop for ThreadLock {
    fn drop(&mut self) {
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get_mut(&self.thread_number) else {
            return;
        };
        while let Some(waiter) = queue.pop_front() {
            if waiter.send(()).is_ok() {
                return;
            }
        }
        queues.swap_remove(&self.thread_number);
    }
}
