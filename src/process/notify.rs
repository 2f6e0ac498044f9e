//! Wakes tasks of the same thread when something has changed.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::task::{Poll, Waker};

/// A counter of changes that tasks can wait on.
#[derive(Default)]
pub struct Notify {
    changes: Cell<u64>,
    wakers: RefCell<Vec<Waker>>,
}

impl Notify {
    /// The number of changes so far; pass it to [`Notify::changed_since`].
    pub fn changes(&self) -> u64 {
        self.changes.get()
    }

    /// Counts a change and wakes all waiting tasks.
    pub fn notify(&self) {
        self.changes.set(self.changes.get() + 1);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Completes when there were more changes than `seen`.
    pub async fn changed_since(&self, seen: u64) {
        poll_fn(|context| {
            if self.changes.get() > seen {
                return Poll::Ready(());
            }
            let mut wakers = self.wakers.borrow_mut();
            if !wakers.iter().any(|waker| waker.will_wake(context.waker())) {
                wakers.push(context.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }

    /// Completes when `condition` holds; it is checked now and after each change.
    pub async fn until(&self, condition: impl Fn() -> bool) {
        loop {
            let seen = self.changes();
            if condition() {
                return;
            }
            self.changed_since(seen).await;
        }
    }
}
