//! The places in the batch, given out in the order of arrival.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;

use futures_channel::oneshot;

/// The batch of requests that are prefilled or decoded together.
pub struct Batch {
    limit: usize,
    running: Cell<usize>,
    waiters: RefCell<VecDeque<oneshot::Sender<BatchSlot>>>,
}

/// A place in the batch; dropping it hands it to the request that has waited longest.
pub struct BatchSlot {
    /// `None` once the place was given back.
    batch: Option<Rc<Batch>>,
}

impl Batch {
    /// An empty batch of at least one place.
    pub fn new(limit: usize) -> Rc<Self> {
        Rc::new(Self {
            limit: limit.max(1),
            running: Cell::new(0),
            waiters: RefCell::default(),
        })
    }

    /// Requests that hold a place.
    pub fn running(&self) -> usize {
        self.running.get()
    }

    /// Requests that wait for a place.
    pub fn waiting(&self) -> usize {
        let waiters = self.waiters.borrow();
        waiters
            .iter()
            .filter(|waiter| !waiter.is_canceled())
            .count()
    }

    /// Waits for a place.
    pub async fn admit(self: &Rc<Self>) -> BatchSlot {
        if self.running.get() < self.limit {
            self.running.set(self.running.get() + 1);
            return BatchSlot::new(self);
        }
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().push_back(sender);
        match receiver.await {
            Ok(slot) => slot,
            Err(_) => unreachable!("a waiting request is removed only when it gets a place"),
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
                // That request was cancelled while it waited.
                Err(unclaimed) => slot = unclaimed,
            }
        }
    }
}
