//! The permit of a call in flight, whose release reports the outcome to the router and dispatches
//! the next calls.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Instant;

use super::engines::{EngineIndex, Engines};
use super::placement::{ConfiguredPlacement, PlacementPolicy};
use super::queue::{ConfiguredQueue, QueuePolicy};
use super::waiting::{RouterState, dispatch};
use super::{CallDescription, SharedState};
use crate::connection::engine::Usage;
use crate::ids::BackendServerId;

/// Permission to run one call on an engine, released when it is dropped.
///
/// Dropping a permit without [`finish`](Self::finish) or [`fail`](Self::fail) means that the call
/// was cancelled, which does not count for or against the engine.
pub struct Permit<P: PlacementPolicy = ConfiguredPlacement, Q: QueuePolicy = ConfiguredQueue> {
    /// The id of the engine in the configuration.
    pub backend_server_id: BackendServerId,
    /// The address to send the call to.
    pub address: SocketAddr,
    state: Weak<RefCell<RouterState<P, Q>>>,
    call: Rc<CallDescription>,
    index: EngineIndex,
    outcome: Outcome,
}

#[derive(Clone, Copy)]
enum Outcome {
    Cancelled,
    Finished(Usage),
    Failed,
}

impl<P: PlacementPolicy, Q: QueuePolicy> std::fmt::Debug for Permit<P, Q> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Permit({})", self.backend_server_id)
    }
}

impl<P: PlacementPolicy, Q: QueuePolicy> Permit<P, Q> {
    pub(super) fn new(
        state: &SharedState<P, Q>,
        engines: &Engines,
        call: &Rc<CallDescription>,
        index: EngineIndex,
    ) -> Self {
        let engine = engines.get(index);
        Self {
            backend_server_id: engine.backend_server_id.clone(),
            address: engine.address,
            state: Rc::downgrade(state),
            call: call.clone(),
            index,
            outcome: Outcome::Cancelled,
        }
    }

    /// Records the first token of the response, which counts as a success of the engine.
    pub fn record_first_token(&self) {
        if let Some(state) = self.state.upgrade() {
            let mut state = state.borrow_mut();
            state.engines.record_success(self.index, Instant::now());
        }
    }

    /// Records that the call is complete and what it used, and releases the permit.
    pub fn finish(mut self, usage: Usage) {
        self.outcome = Outcome::Finished(usage);
    }

    /// Records that the engine failed the call, which counts towards its circuit breaker, and
    /// releases the permit.
    pub fn fail(mut self) {
        self.outcome = Outcome::Failed;
    }
}

impl<P: PlacementPolicy, Q: QueuePolicy> Drop for Permit<P, Q> {
    fn drop(&mut self) {
        let Some(state) = self.state.upgrade() else {
            return;
        };
        release(&mut state.borrow_mut(), self);
        dispatch(&state, &self.call.model_id);
    }
}

fn release<P: PlacementPolicy, Q: QueuePolicy>(
    state: &mut RouterState<P, Q>,
    permit: &Permit<P, Q>,
) {
    let now = Instant::now();
    let call = &permit.call;
    let index = permit.index;
    match permit.outcome {
        Outcome::Cancelled => {}
        Outcome::Finished(usage) => {
            state.engines.record_success(index, now);
            state.engines.record_usage(index, call, &usage);
            state.settle(call, usage.prompt_tokens + usage.completion_tokens);
        }
        Outcome::Failed => {
            state.engines.record_failure(index, now);
            state.settle(call, 0);
        }
    }
    state.engines.record_end(index, call, now);
}
