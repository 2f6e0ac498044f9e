//! Wakes the tasks of a thread that wait for a change of shared state.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};

use indexmap::IndexMap;

/// A change counter that tasks of the same thread can wait on.
#[derive(Default)]
pub struct Notify {
    changes: Cell<u64>,
    next_waiter_id: Cell<u64>,
    /// The wakers by waiter id. A future has at most one, however often it is polled, because a
    /// connection polls its futures with each chunk that it sends.
    wakers: RefCell<IndexMap<u64, Waker>>,
}

impl Notify {
    /// The number of changes so far, for [`Notify::changed_since`]. Read it before the state that
    /// is waited on, so that no change between the two is missed.
    pub fn changes(&self) -> u64 {
        self.changes.get()
    }

    /// Counts a change and wakes all waiting tasks.
    pub fn notify(&self) {
        self.changes.set(self.changes.get() + 1);
        for (_, waker) in self.wakers.take() {
            waker.wake();
        }
    }

    /// Completes when the change count exceeds `seen`, a result of [`Notify::changes`].
    pub fn changed_since(&self, seen: u64) -> Changed<'_> {
        Changed {
            notify: self,
            seen,
            waiter_id: None,
        }
    }

    /// Completes when `condition` holds, which is checked immediately and after each change.
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

/// The future of [`Notify::changed_since`].
pub struct Changed<'a> {
    notify: &'a Notify,
    seen: u64,
    waiter_id: Option<u64>,
}

impl Future for Changed<'_> {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let notify = self.notify;
        if notify.changes.get() > self.seen {
            return Poll::Ready(());
        }
        let waiter_id = *self.waiter_id.get_or_insert_with(|| {
            let next = &notify.next_waiter_id;
            next.replace(next.get() + 1)
        });
        let waker = context.waker().clone();
        notify.wakers.borrow_mut().insert(waiter_id, waker);
        Poll::Pending
    }
}

impl Drop for Changed<'_> {
    fn drop(&mut self) {
        if let Some(waiter_id) = self.waiter_id {
            self.notify.wakers.borrow_mut().swap_remove(&waiter_id);
        }
    }
}
