//! The calls that wait for an engine, and when they start.

use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::engines::{EngineIndex, Engines};
use super::placement::{Candidates, Choice, PlacementPolicy};
use super::queue::{CallId, QueuePolicy, QueuedCall};
use super::{CallDescription, Permit, Reply, RouterOptions, Shared, overloaded};
use crate::ids::ModelId;
use crate::version::config::{Config, Priority};

/// Calls in the queue that are tried when those before them cannot start.
const SCANNED_CALLS: usize = 32;
/// Weight of one start in the mean time between the starts of new programs.
const START_INTERVAL_STEP: f64 = 0.1;

pub(super) struct WaitingCall<P: PlacementPolicy, Q: QueuePolicy> {
    pub(super) call: Rc<CallDescription>,
    pub(super) queued: QueuedCall,
    /// When to try again although nothing has changed.
    pub(super) retry_at: Option<Instant>,
    pub(super) reply: Reply<P, Q>,
}

pub(super) struct ModelQueue<P: PlacementPolicy, Q: QueuePolicy> {
    pub(super) policy: Q,
    pub(super) calls: IndexMap<CallId, WaitingCall<P, Q>>,
    pub(super) new_programs: NewPrograms,
}

/// How often new programs leave the queue.
#[derive(Default)]
pub(super) struct NewPrograms {
    /// The last start, or the instant at which the first one began to wait.
    pub(super) last_start: Option<Instant>,
    /// Mean time between two starts while others waited.
    interval_s: Option<f64>,
}

impl NewPrograms {
    /// Records a start; `others_wait` tells whether the queue holds further new programs.
    fn started(&mut self, now: Instant, others_wait: bool) {
        if let Some(last) = self.last_start {
            let interval = now.saturating_duration_since(last).as_secs_f64();
            let mean = self.interval_s.get_or_insert(interval);
            *mean += START_INTERVAL_STEP * (interval - *mean);
        }
        self.last_start = others_wait.then_some(now);
    }

    /// The time until `ahead` new programs have started.
    pub(super) fn expected_wait(&self, ahead: usize, now: Instant) -> Duration {
        let Some(interval) = self.interval_s else {
            return Duration::ZERO;
        };
        let since = self.last_start.map_or(0.0, |last| {
            now.saturating_duration_since(last).as_secs_f64()
        });
        Duration::try_from_secs_f64(interval.max(since) * ahead as f64).unwrap_or(Duration::MAX)
    }
}

impl<P: PlacementPolicy, Q: QueuePolicy> Default for ModelQueue<P, Q> {
    fn default() -> Self {
        Self {
            policy: Q::default(),
            calls: IndexMap::new(),
            new_programs: NewPrograms::default(),
        }
    }
}

impl<P: PlacementPolicy, Q: QueuePolicy> ModelQueue<P, Q> {
    /// New programs that wait and are at least as urgent.
    pub(super) fn new_programs_waiting(&self, least: Priority) -> usize {
        let calls = self.calls.values();
        let new = calls.filter(|waiting| {
            waiting.call.is_new_program() && waiting.call.priority as u8 >= least as u8
        });
        new.count()
    }
}

pub(super) struct State<P: PlacementPolicy, Q: QueuePolicy> {
    pub(super) options: RouterOptions,
    pub(super) config: Option<Rc<Config>>,
    pub(super) placement: P,
    pub(super) engines: Engines,
    pub(super) queues: IndexMap<ModelId, ModelQueue<P, Q>>,
    pub(super) next_call: CallId,
    pub(super) next_poll: usize,
}

impl<P: PlacementPolicy, Q: QueuePolicy> State<P, Q> {
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
        self.engines.start(index, call, now);
        let queue = self.queue_for(&call.model_id);
        queue.policy.started(queued, call.tokens());
    }

    /// Corrects the service of a team once it is known what a call used.
    pub(super) fn settle(&mut self, call: &CallDescription, used: u64) {
        let queue = self.queue_for(&call.model_id);
        let weight = call.team_weight();
        let counted = call.tokens();
        queue.policy.settled(&call.team_id, weight, counted, used);
    }

    /// Takes the next call from a queue that can start now.
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
        for call_id in queue.policy.first(now, SCANNED_CALLS) {
            let Some(waiting) = queue.calls.get_mut(&call_id) else {
                continue;
            };
            let waited = now.saturating_duration_since(waiting.queued.arrived);
            let candidates = Candidates {
                call: &waiting.call,
                engines: &self.engines,
                group,
                waited,
                now,
            };
            match self.placement.choose(candidates) {
                Choice::Start(index) => {
                    chosen = Some((call_id, index));
                    break;
                }
                Choice::Wait(rest) => waiting.retry_at = Some(now + rest),
                // Smaller calls must not pass a large one for as long as it waits.
                Choice::NoRoom
                    if waited >= waiting.queued.age_bound && waiting.call.excluded.is_empty() =>
                {
                    break;
                }
                Choice::NoRoom | Choice::NoMemory => {}
            }
        }
        let (call_id, index) = chosen?;
        queue.policy.remove(call_id);
        let waiting = queue.calls.swap_remove(&call_id)?;
        let call = waiting.call.clone();
        if call.is_new_program() {
            let others_wait = queue.new_programs_waiting(Priority::Background) > 0;
            queue.new_programs.started(now, others_wait);
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

/// Starts the calls of one model that can start.
pub(super) fn dispatch<P: PlacementPolicy, Q: QueuePolicy>(
    state: &Shared<P, Q>,
    model_id: &ModelId,
) {
    loop {
        let started = state.borrow_mut().start_next(model_id, Instant::now());
        let Some((waiting, index)) = started else {
            return;
        };
        let permit = Permit::new(state, &state.borrow().engines, &waiting.call, index);
        // A permit that its call no longer waits for is released here, outside of the borrow.
        drop(waiting.reply.send(Ok(permit)));
    }
}

pub(super) fn dispatch_all<P: PlacementPolicy, Q: QueuePolicy>(state: &Shared<P, Q>) {
    let models: Vec<ModelId> = {
        let state = state.borrow();
        let queues = state.queues.iter();
        let busy = queues.filter(|(_, queue)| !queue.calls.is_empty());
        busy.map(|(model_id, _)| model_id.clone()).collect()
    };
    for model_id in models {
        dispatch(state, &model_id);
    }
}

/// Refuses the least urgent calls beyond the bound of the queue.
pub(super) fn shed<P: PlacementPolicy, Q: QueuePolicy>(state: &Shared<P, Q>, model_id: &ModelId) {
    loop {
        let shed = {
            let mut state = state.borrow_mut();
            let limit = state.options.waiting_calls;
            let queue = state.queue_for(model_id);
            if queue.calls.len() <= limit {
                return;
            }
            let least_urgent = queue.policy.least_urgent();
            least_urgent.and_then(|call_id| state.remove(model_id, call_id))
        };
        let Some(shed) = shed else {
            return;
        };
        let _ = shed.reply.send(Err(overloaded(model_id)));
    }
}
