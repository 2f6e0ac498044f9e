//! Admission to the batch: a limited number of slots, assigned in order of arrival.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use futures_channel::oneshot;

/// Slots for requests that are prefilled or decoded together.
pub struct Batch {
    limit: usize,
    running: Cell<usize>,
    waiters: RefCell<VecDeque<oneshot::Sender<BatchSlot>>>,
}

/// A slot in the batch. Dropping it passes the slot to the request that has waited longest.
pub struct BatchSlot {
    /// `None` once the slot was returned to the batch.
    batch: Option<Rc<Batch>>,
}

impl Batch {
    /// Creates an empty batch of `limit` slots, at least one.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit: limit.max(1),
            running: Cell::new(0),
            waiters: RefCell::default(),
        })
    }

    /// Returns the number of requests that hold a slot.
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Returns the number of requests that wait for a slot, without those already cancelled.
    pub fn waiting(&self) -> usize {
        let waiters = self.waiters.borrow();
        waiters
            .iter()
            .filter(|waiter| !waiter.is_canceled())
            .count()
    }

    /// Waits for a slot. Dropping the future cancels the wait.
    pub async fn admit(self: &Rc<Self>) -> BatchSlot {
        if self.running.get() < self.limit {
            self.running.set(self.running.get() + 1);
            return BatchSlot::new(self);
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().push_back(sender);
        match receiver.await {
            Ok(slot) => slot,
            Err(_) => {
                unreachable!("a waiting request leaves the queue only when it is assigned a slot")
            }
        }
    }
}

impl BatchSlot {
    fn new(batch: &Rc<Batch>) -> Self {
        Self {
            batch: Some(batch.clone()),
        }
    }
}

impl Drop for BatchSlot {
    fn drop(&mut self) {
        let Some(batch) = self.batch.take() else {
            return;
        };
        let mut slot = BatchSlot::new(&batch);
        loop {
            let waiter = batch.waiters.borrow_mut().pop_front();
            let Some(waiter) = waiter else {
                slot.batch = None;
                batch.running.set(batch.running.get() - 1);
                return;
            };
            match waiter.send(slot) {
                Ok(()) => return,
                // The request was cancelled while it waited, so the next one is tried.
                Err(unclaimed) => slot = unclaimed,
            }
        }
    }
}
