//! The state of a router: the queues of calls that wait for engines, and their dispatch.
//!
//! Dispatch takes calls from a queue in the order of its policy and asks the placement policy for
//! an engine. A started call receives its permit through a channel; a shed call receives an error.

use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::engines::{EngineIndex, Engines};
use super::placement::{Candidates, PlacementDecision, PlacementPolicy};
use super::queue::{CallId, QueuePolicy, QueuedCall};
use super::{CallDescription, Permit, PermitSender, RouterOptions, SharedState, overloaded};
use crate::ids::ModelId;
use crate::version::config::{Config, Priority};

/// Limit of the calls that one dispatch step tries when the first ones cannot start.
const MAX_SCANNED_CALLS: usize = 32;
/// Weight of one start in the moving average of the interval between starts of new programs.
const START_INTERVAL_SMOOTHING: f64 = 0.1;

pub(super) struct WaitingCall<P: PlacementPolicy, Q: QueuePolicy> {
    pub(super) call: Rc<CallDescription>,
    pub(super) queued: QueuedCall,
    /// When to dispatch again even if no event occurs; set while the call waits for an engine with
    /// its prefix.
    pub(super) retry_at: Option<Instant>,
    pub(super) permit_tx: PermitSender<P, Q>,
}

pub(super) struct ModelQueue<P: PlacementPolicy, Q: QueuePolicy> {
    pub(super) policy: Q,
    pub(super) calls: IndexMap<CallId, WaitingCall<P, Q>>,
    pub(super) new_program_rate: NewProgramRate,
}

/// The rate at which new programs start from the queue, which predicts the wait of further ones.
#[derive(Default)]
pub(super) struct NewProgramRate {
    /// The last start, or the time at which the first waiting program was queued; `None` while no
    /// new program waits.
    pub(super) last_start: Option<Instant>,
    /// Moving average of the interval between starts while new programs waited.
    mean_interval_s: Option<f64>,
}

impl NewProgramRate {
    /// Records a start; `others_are_waiting` is whether more new programs are in the queue.
    fn record_start(&mut self, now: Instant, others_are_waiting: bool) {
        if let Some(last_start) = self.last_start {
            let interval_s = now.saturating_duration_since(last_start).as_secs_f64();
            let mean = self.mean_interval_s.get_or_insert(interval_s);
            *mean += START_INTERVAL_SMOOTHING * (interval_s - *mean);
        }
        self.last_start = others_are_waiting.then_some(now);
    }

    /// Returns the expected time until `programs_ahead` new programs have started. The time since
    /// the last start replaces the average if it is longer; zero before the first measured
    /// interval.
    pub(super) fn expected_wait(&self, programs_ahead: usize, now: Instant) -> Duration {
        let Some(mean_interval_s) = self.mean_interval_s else {
            return Duration::ZERO;
        };
        let since_last_start_s = self.last_start.map_or(0.0, |last_start| {
            now.saturating_duration_since(last_start).as_secs_f64()
        });
        Duration::try_from_secs_f64(mean_interval_s.max(since_last_start_s) * programs_ahead as f64)
            .unwrap_or(Duration::MAX)
    }
}

impl<P: PlacementPolicy, Q: QueuePolicy> Default for ModelQueue<P, Q> {
    fn default() -> Self {
        Self {
            policy: Q::default(),
            calls: IndexMap::new(),
            new_program_rate: NewProgramRate::default(),
        }
    }
}

impl<P: PlacementPolicy, Q: QueuePolicy> ModelQueue<P, Q> {
    /// Counts the waiting new programs with at least a given priority.
    pub(super) fn waiting_new_programs(&self, min_priority: Priority) -> usize {
        let calls = self.calls.values();
        let new = calls.filter(|waiting| {
            waiting.call.is_new_program() && waiting.call.priority as u8 >= min_priority as u8
        });
        new.count()
    }
}

pub(super) struct RouterState<P: PlacementPolicy, Q: QueuePolicy> {
    pub(super) options: RouterOptions,
    pub(super) config: Option<Rc<Config>>,
    pub(super) placement: P,
    pub(super) engines: Engines,
    pub(super) queues: IndexMap<ModelId, ModelQueue<P, Q>>,
    pub(super) next_call_id: CallId,
    /// Position, among the engine indexes, of the first engine of the next polling round.
    pub(super) poll_cursor: usize,
}

impl<P: PlacementPolicy, Q: QueuePolicy> RouterState<P, Q> {
    pub(super) fn queue_for(&mut self, model_id: &ModelId) -> &mut ModelQueue<P, Q> {
        if !self.queues.contains_key(model_id) {
            let mut queue = ModelQueue::<P, Q>::default();
            if let Some(config) = &self.config {
                queue.policy.configure(&config.policy);
            }
            self.queues.insert(model_id.clone(), queue);
        }
        &mut self.queues[model_id]
    }

    pub(super) fn start(
        &mut self,
        call: &CallDescription,
        queued: &QueuedCall,
        index: EngineIndex,
        now: Instant,
    ) {
        self.engines.record_start(index, call, now);
        let queue = self.queue_for(&call.model_id);
        queue.policy.record_start(queued, call.reserved_tokens());
    }

    /// Settles the tokens charged to a team at the start of a call against the tokens it used.
    pub(super) fn settle(&mut self, call: &CallDescription, used_tokens: u64) {
        let queue = self.queue_for(&call.model_id);
        let weight = call.team_weight();
        let reserved_tokens = call.reserved_tokens();
        queue
            .policy
            .record_settlement(&call.team_id, weight, reserved_tokens, used_tokens);
    }

    /// Removes the next call that can start now from the queue of a model, and records its start.
    fn start_next(
        &mut self,
        model_id: &ModelId,
        now: Instant,
    ) -> Option<(WaitingCall<P, Q>, EngineIndex)> {
        let group = self.engines.group(model_id)?;
        let queue = self.queues.get_mut(model_id)?;
        if queue.calls.is_empty() || group.is_full() {
            return None;
        }
        let mut chosen = None;
        for call_id in queue.policy.next_calls(now, MAX_SCANNED_CALLS) {
            let Some(waiting) = queue.calls.get_mut(&call_id) else {
                continue;
            };
            let waited = now.saturating_duration_since(waiting.queued.arrived_at);
            let candidates = Candidates {
                call: &waiting.call,
                engines: &self.engines,
                group,
                waited,
                now,
            };
            match self.placement.choose(candidates) {
                PlacementDecision::Start(index) => {
                    chosen = Some((call_id, index));
                    break;
                }
                PlacementDecision::Wait(remaining) => waiting.retry_at = Some(now + remaining),
                // Past its aging threshold, a large call blocks the queue, because smaller calls
                // would otherwise overtake it for as long as it waits.
                PlacementDecision::NoCapacity
                    if waited >= waiting.queued.aging_threshold
                        && waiting.call.excluded.is_empty() =>
                {
                    break;
                }
                PlacementDecision::NoCapacity | PlacementDecision::NoCacheSpace => {}
            }
        }
        let (call_id, index) = chosen?;
        queue.policy.remove(call_id);
        let waiting = queue.calls.swap_remove(&call_id)?;
        let call = waiting.call.clone();
        if call.is_new_program() {
            let others_are_waiting = queue.waiting_new_programs(Priority::Background) > 0;
            queue.new_program_rate.record_start(now, others_are_waiting);
        }
        self.start(&call, &waiting.queued, index, now);
        Some((waiting, index))
    }

    pub(super) fn remove(
        &mut self,
        model_id: &ModelId,
        call_id: CallId,
    ) -> Option<WaitingCall<P, Q>> {
        let queue = self.queues.get_mut(model_id)?;
        queue.policy.remove(call_id);
        queue.calls.swap_remove(&call_id)
    }
}

/// Starts all waiting calls of one model that can start now.
pub(super) fn dispatch<P: PlacementPolicy, Q: QueuePolicy>(
    state: &SharedState<P, Q>,
    model_id: &ModelId,
) {
    loop {
        let started = state.borrow_mut().start_next(model_id, Instant::now());
        let Some((waiting, index)) = started else {
            return;
        };
        let permit = Permit::new(state, &state.borrow().engines, &waiting.call, index);
        // If the call was cancelled, `send` returns the permit. It is dropped here, because its
        // release borrows the state.
        drop(waiting.permit_tx.send(Ok(permit)));
    }
}

pub(super) fn dispatch_all<P: PlacementPolicy, Q: QueuePolicy>(state: &SharedState<P, Q>) {
    let models: Vec<ModelId> = {
        let state = state.borrow();
        let queues = state.queues.iter();
        let non_empty = queues.filter(|(_, queue)| !queue.calls.is_empty());
        non_empty.map(|(model_id, _)| model_id.clone()).collect()
    };
    for model_id in models {
        dispatch(state, &model_id);
    }
}

/// Sheds the least urgent calls while the queue of a model exceeds its limit.
pub(super) fn shed_excess_calls<P: PlacementPolicy, Q: QueuePolicy>(
    state: &SharedState<P, Q>,
    model_id: &ModelId,
) {
    loop {
        let shed = {
            let mut state = state.borrow_mut();
            let limit = state.options.max_waiting_calls;
            let queue = state.queue_for(model_id);
            if queue.calls.len() <= limit {
                return;
            }
            let call_to_shed = queue.policy.call_to_shed();
            call_to_shed.and_then(|call_id| state.remove(model_id, call_id))
        };
        let Some(shed) = shed else {
            return;
        };
        let _ = shed.permit_tx.send(Err(overloaded(model_id)));
    }
}
