//! Locks that are granted in the order in which they were asked for.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

use futures_channel::oneshot;
use indexmap::IndexMap;

use crate::ids::RunId;

/// The result of asking for a lock.
pub type Result<T> = std::result::Result<T, TooManyWaiting>;

/// As many requests wait for the lock as may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooManyWaiting;

/// An entry exists while the lock is held; the queue has those that wait for it.
type Queues = IndexMap<RunId, VecDeque<oneshot::Sender<()>>>;

/// One lock for each thread of a conversation.
#[derive(Clone, Default)]
pub struct ThreadLocks {
    queues: Rc<RefCell<Queues>>,
}

impl ThreadLocks {
    /// Waits for the lock of a thread, behind everyone who asked before.
    pub async fn lock(&self, thread_number: RunId, waiting_limit: usize) -> Result<ThreadLock> {
        let granted = match self.queues.borrow_mut().get_mut(&thread_number) {
            None => None,
            Some(queue) => {
                queue.retain(|waiter| !waiter.is_canceled());
                if queue.len() >= waiting_limit {
                    return Err(TooManyWaiting);
                }
                let (grant, granted) = oneshot::channel();
                queue.push_back(grant);
                Some(granted)
            }
        };
        let queues = self.queues.clone();
        match granted {
            Some(granted) => Ok(Waiter {
                queues,
                thread_number,
                granted,
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
    /// Takes the lock of a thread if it is free.
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

/// A place in the queue. A grant that nobody took when it is dropped passes to the next one.
struct Waiter {
    queues: Rc<RefCell<Queues>>,
    thread_number: RunId,
    granted: oneshot::Receiver<()>,
}

impl Waiter {
    async fn wait(mut self) -> ThreadLock {
        // A sender is never dropped unused: the holder of the lock passes it on.
        let _ = (&mut self.granted).await;
        ThreadLock {
            queues: self.queues.clone(),
            thread_number: self.thread_number,
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if let Ok(Some(())) = self.granted.try_recv() {
            drop(ThreadLock {
                queues: self.queues.clone(),
                thread_number: self.thread_number,
            });
        }
    }
}

/// The right to run a call of a thread; dropping it grants the lock to the next request.
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
