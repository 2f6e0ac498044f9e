//! The choice of an engine for a call, and when the call may start.
//!
//! A call that finds an engine with room starts at once. Otherwise it waits in the queue of its
//! model until a call ends, a load report arrives or the configuration changes. A [`PlacementPolicy`]
//! chooses the engine, a [`QueuePolicy`] the next call. A [`Permit`] stands for a call in progress
//! and is released when it is dropped.

pub mod engines;
pub mod placement;
pub mod prefix;
pub mod queue;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use indexmap::IndexMap;

use crate::connection::engine::{EngineClient, EngineError, EngineLoad, Usage};
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{BackendServerId, ModelId, TeamId};
use crate::process::timer::TimerService;
use crate::version::config::{Config, Priority, QueueKind};

use engines::{EngineIndex, Engines};
use placement::{Candidates, Choice, ConfiguredPlacement, PlacementPolicy};
use queue::{CallId, ConfiguredQueue, QueuePolicy, QueuedCall};

/// Calls in the queue that are tried when those before them cannot start.
const SCANNED_CALLS: usize = 32;
/// Load requests started in one interval. With more engines than this, each is asked less often, so
/// that the control traffic of an entry stays bounded.
const POLLS_PER_INTERVAL: usize = 64;
/// A call is due to start after this part of its longest waiting time.
const AGE_BOUND_DIVISOR: u32 = 2;
/// A new program is refused if it would wait for more than this part of the longest waiting time.
/// The rest covers the error of the estimate.
const HOPELESS_WAIT_DIVISOR: u32 = 4;
/// Weight of one start in the mean time between the starts of new programs.
const START_INTERVAL_STEP: f64 = 0.1;

/// Settings of a router.
#[derive(Clone, Copy, Debug)]
pub struct RouterOptions {
    /// Pause between two load requests to an engine.
    pub load_interval: Duration,
    /// Calls that may wait for the engines of one model.
    pub waiting_calls: usize,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self {
            load_interval: Duration::from_millis(500),
            waiting_calls: 1024,
        }
    }
}

/// A call that needs an engine.
#[derive(Clone, Debug)]
pub struct CallDescription {
    /// The configuration with which the request started.
    pub config: Rc<Config>,
    /// The model to call.
    pub model_id: ModelId,
    /// The team that pays.
    pub team_id: TeamId,
    /// Names the prefix that the call shares with earlier ones.
    pub cache_key: Rc<str>,
    /// How urgent the program is.
    pub priority: Priority,
    /// Tokens that the program has received so far.
    pub program_service_tokens: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens to generate.
    pub max_output_tokens: u64,
    /// Engines that failed this call before.
    pub excluded: Vec<BackendServerId>,
}

impl CallDescription {
    /// The most tokens that the call holds in an engine's cache.
    pub fn tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.max_output_tokens)
    }

    /// Whether the program has not received any service yet.
    pub fn is_new_program(&self) -> bool {
        self.program_service_tokens == 0
    }

    fn team_weight(&self) -> u32 {
        let team = self.config.teams.get(&self.team_id);
        team.map_or(1, |team| team.weight)
    }

    fn queued(&self, call_id: CallId, arrived: Instant) -> QueuedCall {
        QueuedCall {
            call_id,
            arrived,
            age_bound: self.config.limits.queue_time / AGE_BOUND_DIVISOR,
            priority: self.priority,
            team_id: self.team_id.clone(),
            team_weight: self.team_weight(),
            service_tokens: self.program_service_tokens,
        }
    }
}

/// What the router knows of an engine.
#[derive(Clone, Debug)]
pub struct EngineStatus {
    /// The engine.
    pub backend_server_id: BackendServerId,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it may get new calls; `false` when it is leaving.
    pub is_in_service: bool,
    /// Calls of this entry in progress on it.
    pub in_flight_calls: u32,
    /// Its load, corrected by what was sent since its last report, in thousandths of the calls that
    /// it may run at once.
    pub load_permille: u64,
}

type Reply<P, Q> = oneshot::Sender<Result<Permit<P, Q>>>;
type Answer<P, Q> = oneshot::Receiver<Result<Permit<P, Q>>>;

struct WaitingCall<P: PlacementPolicy, Q: QueuePolicy> {
    call: Rc<CallDescription>,
    queued: QueuedCall,
    /// When to try again although nothing has changed.
    retry_at: Option<Instant>,
    reply: Reply<P, Q>,
}

struct ModelQueue<P: PlacementPolicy, Q: QueuePolicy> {
    policy: Q,
    calls: IndexMap<CallId, WaitingCall<P, Q>>,
    new_programs: NewPrograms,
}

/// How often new programs leave the queue.
#[derive(Default)]
struct NewPrograms {
    /// The last start, or the instant at which the first one began to wait.
    last_start: Option<Instant>,
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
    fn expected_wait(&self, ahead: usize, now: Instant) -> Duration {
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
    fn new_programs_waiting(&self, least: Priority) -> usize {
        let calls = self.calls.values();
        let new = calls.filter(|waiting| {
            waiting.call.is_new_program() && waiting.call.priority as u8 >= least as u8
        });
        new.count()
    }
}

struct State<P: PlacementPolicy, Q: QueuePolicy> {
    options: RouterOptions,
    config: Option<Rc<Config>>,
    placement: P,
    engines: Engines,
    queues: IndexMap<ModelId, ModelQueue<P, Q>>,
    next_call: CallId,
    next_poll: usize,
}

type Shared<P, Q> = Rc<RefCell<State<P, Q>>>;

/// Chooses the engines for the calls of one entry; clones share the same state.
pub struct Router<P: PlacementPolicy = ConfiguredPlacement, Q: QueuePolicy = ConfiguredQueue> {
    timer: TimerService,
    state: Shared<P, Q>,
}

impl<P: PlacementPolicy, Q: QueuePolicy> Clone for Router<P, Q> {
    fn clone(&self) -> Self {
        Self {
            timer: self.timer.clone(),
            state: self.state.clone(),
        }
    }
}

impl<P: PlacementPolicy, Q: QueuePolicy> Router<P, Q> {
    /// Makes a router that knows no engines.
    pub fn new(timer: TimerService, options: RouterOptions, placement: P) -> Self {
        let state = State {
            options,
            config: None,
            placement,
            engines: Engines::default(),
            queues: IndexMap::new(),
            next_call: 0,
            next_poll: 0,
        };
        Self {
            timer,
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Starts the task that asks the engines for their load, and that returns to engines which had
    /// failed. It ends when the router is dropped.
    pub fn start_polling(&self, client: EngineClient) {
        let interval = self.state.borrow().options.load_interval;
        let mut ticks = self.timer.subscribe(interval);
        let state = Rc::downgrade(&self.state);
        monoio::spawn(async move {
            while let Some(state) = state.upgrade() {
                poll_engines(&state, &client);
                dispatch_all(&state);
                drop(state);
                ticks.tick().await;
            }
        });
    }

    /// Takes over a configuration. Engines that it no longer has get no new calls.
    pub fn set_config(&self, config: &Rc<Config>) {
        {
            let mut state = self.state.borrow_mut();
            state.config = Some(config.clone());
            state.engines.set_config(config, Instant::now());
            state.placement.configure(&config.policy);
            for queue in state.queues.values_mut() {
                queue.policy.configure(&config.policy);
            }
        }
        dispatch_all(&self.state);
    }

    /// Takes over a load report of an engine.
    pub fn set_report(&self, backend_server_id: &BackendServerId, report: EngineLoad) {
        {
            let mut state = self.state.borrow_mut();
            if let Some(index) = state.engines.find(backend_server_id) {
                state.engines.report(index, report, Instant::now());
            }
        }
        dispatch_all(&self.state);
    }

    /// Takes over which addresses the platform's list of VMs shows as leaving.
    pub fn set_vms_leaving(&self, is_leaving: impl Fn(SocketAddr) -> bool) {
        let mut state = self.state.borrow_mut();
        state.engines.set_vms_leaving(is_leaving, Instant::now());
        drop(state);
        dispatch_all(&self.state);
    }

    /// Takes over the number of live entries, which share the engines.
    pub fn set_live_entries(&self, count: usize) {
        let mut state = self.state.borrow_mut();
        state.engines.set_live_entries(count, Instant::now());
        drop(state);
        dispatch_all(&self.state);
    }

    /// Forgets a prefix, and returns the engines that may hold it, so that it can be released
    /// there.
    pub fn take_holders(&self, cache_key: &str) -> Vec<(BackendServerId, SocketAddr)> {
        let mut state = self.state.borrow_mut();
        let holders = state.engines.prefixes.holders(cache_key).iter();
        let holders = holders.map(|holding| {
            let engine = state.engines.get(holding.engine);
            (engine.backend_server_id.clone(), engine.address)
        });
        let holders = holders.collect();
        state.engines.prefixes.forget(cache_key);
        drop(state);
        // A program that waits for memory may start now.
        dispatch_all(&self.state);
        holders
    }

    /// The number of calls that wait.
    pub fn waiting_calls(&self) -> usize {
        let state = self.state.borrow();
        state.queues.values().map(|queue| queue.calls.len()).sum()
    }

    /// What is known of the engines.
    pub fn engine_status(&self) -> Vec<EngineStatus> {
        let state = self.state.borrow();
        let engines = &state.engines;
        let status = engines.configured().map(|index| EngineStatus {
            backend_server_id: engines.get(index).backend_server_id.clone(),
            address: engines.get(index).address,
            is_in_service: engines.is_in_service(index),
            in_flight_calls: engines.in_flight_calls(index),
            load_permille: engines.load(index),
        });
        status.collect()
    }

    /// Waits until an engine has room for the call, at most `limits.queue_time`.
    pub async fn acquire(&self, call: CallDescription) -> Result<Permit<P, Q>> {
        let arrived = Instant::now();
        let deadline = arrived + call.config.limits.queue_time;
        let call = Rc::new(call);
        if !self.state.borrow().engines.can_serve(&call) {
            return Err(no_backend_server(&call));
        }
        if let Some(permit) = self.start_at_once(&call, arrived) {
            return Ok(permit);
        }
        if self.is_hopeless(&call, arrived) {
            return Err(overloaded(&call.model_id));
        }
        let (place, mut answer) = self.enqueue(&call, arrived);
        loop {
            let retry_at = place.retry_at().unwrap_or(deadline);
            let wake_at = retry_at.min(deadline);
            match self.timer.timeout_at(wake_at, &mut answer).await {
                Ok(Ok(result)) => return result,
                Ok(Err(_)) => {
                    let message = "the queue of the engines lost a call";
                    return Err(Error::new(ErrorKind::Internal, message));
                }
                Err(_) if Instant::now() >= deadline => return Err(queue_timeout(&call)),
                Err(_) => {
                    place.clear_retry();
                    dispatch(&self.state, &call.model_id);
                }
            }
        }
    }

    /// Whether a new program would not start in time. It gets its answer at once; a program that
    /// runs is never refused, because its work so far would be lost.
    fn is_hopeless(&self, call: &CallDescription, now: Instant) -> bool {
        if call.config.policy.queue == QueueKind::Fifo || !call.is_new_program() {
            return false;
        }
        let state = self.state.borrow();
        let Some(queue) = state.queues.get(&call.model_id) else {
            return false;
        };
        let ahead = queue.new_programs_waiting(call.priority);
        let wait = queue.new_programs.expected_wait(ahead, now);
        wait > call.config.limits.queue_time / HOPELESS_WAIT_DIVISOR
    }

    /// Starts a call without queueing if none waits before it.
    fn start_at_once(&self, call: &Rc<CallDescription>, now: Instant) -> Option<Permit<P, Q>> {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let queue = state.queue_for(&call.model_id);
        if !queue.calls.is_empty() {
            return None;
        }
        let queued = call.queued(state.next_call, now);
        let group = state.engines.group(&call.model_id)?;
        if group.is_full() {
            return None;
        }
        let candidates = Candidates {
            call,
            engines: &state.engines,
            group,
            waited: Duration::ZERO,
            now,
        };
        let Choice::Start(index) = state.placement.choose(candidates) else {
            return None;
        };
        state.next_call += 1;
        state.start(call, &queued, index, now);
        Some(Permit::new(&self.state, &state.engines, call, index))
    }

    fn enqueue(&self, call: &Rc<CallDescription>, now: Instant) -> (Place<P, Q>, Answer<P, Q>) {
        let (reply, answer) = oneshot::channel();
        let call_id = {
            let mut state = self.state.borrow_mut();
            let call_id = state.next_call;
            state.next_call += 1;
            let queued = call.queued(call_id, now);
            let queue = state.queue_for(&call.model_id);
            queue.policy.push(queued.clone());
            let waiting = WaitingCall {
                call: call.clone(),
                queued,
                retry_at: None,
                reply,
            };
            queue.calls.insert(call_id, waiting);
            if call.is_new_program() {
                queue.new_programs.last_start.get_or_insert(now);
            }
            call_id
        };
        dispatch(&self.state, &call.model_id);
        shed(&self.state, &call.model_id);
        let place = Place {
            state: self.state.clone(),
            model_id: call.model_id.clone(),
            call_id,
        };
        (place, answer)
    }
}

impl<P: PlacementPolicy, Q: QueuePolicy> State<P, Q> {
    fn queue_for(&mut self, model_id: &ModelId) -> &mut ModelQueue<P, Q> {
        if !self.queues.contains_key(model_id) {
            let mut queue = ModelQueue::<P, Q>::default();
            if let Some(config) = &self.config {
                queue.policy.configure(&config.policy);
            }
            self.queues.insert(model_id.clone(), queue);
        }
        &mut self.queues[model_id]
    }

    fn start(
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
    fn settle(&mut self, call: &CallDescription, used: u64) {
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

    fn remove(&mut self, model_id: &ModelId, call_id: CallId) -> Option<WaitingCall<P, Q>> {
        let queue = self.queues.get_mut(model_id)?;
        queue.policy.remove(call_id);
        queue.calls.swap_remove(&call_id)
    }
}

/// Starts the calls of one model that can start.
fn dispatch<P: PlacementPolicy, Q: QueuePolicy>(state: &Shared<P, Q>, model_id: &ModelId) {
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

fn dispatch_all<P: PlacementPolicy, Q: QueuePolicy>(state: &Shared<P, Q>) {
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
fn shed<P: PlacementPolicy, Q: QueuePolicy>(state: &Shared<P, Q>, model_id: &ModelId) {
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

/// The place of a call in the queue, given up when it is dropped.
struct Place<P: PlacementPolicy, Q: QueuePolicy> {
    state: Shared<P, Q>,
    model_id: ModelId,
    call_id: CallId,
}

impl<P: PlacementPolicy, Q: QueuePolicy> Place<P, Q> {
    fn retry_at(&self) -> Option<Instant> {
        let state = self.state.borrow();
        let queue = state.queues.get(&self.model_id)?;
        queue.calls.get(&self.call_id)?.retry_at
    }

    fn clear_retry(&self) {
        let mut state = self.state.borrow_mut();
        let queue = state.queue_for(&self.model_id);
        if let Some(waiting) = queue.calls.get_mut(&self.call_id) {
            waiting.retry_at = None;
        }
    }
}

impl<P: PlacementPolicy, Q: QueuePolicy> Drop for Place<P, Q> {
    fn drop(&mut self) {
        let removed = self.state.borrow_mut().remove(&self.model_id, self.call_id);
        // The call may have held back those behind it.
        if removed.is_some() {
            dispatch(&self.state, &self.model_id);
        }
    }
}

/// The right to run one call on an engine, released when it is dropped.
///
/// A permit that is dropped without [`finished`](Self::finished) or [`failed`](Self::failed) is a
/// cancelled call, which says nothing about the engine.
pub struct Permit<P: PlacementPolicy = ConfiguredPlacement, Q: QueuePolicy = ConfiguredQueue> {
    /// The engine.
    pub backend_server_id: BackendServerId,
    /// Its address.
    pub address: SocketAddr,
    state: Weak<RefCell<State<P, Q>>>,
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
    fn new(
        state: &Shared<P, Q>,
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

    /// Records that the engine has started to answer.
    pub fn first_token(&self) {
        if let Some(state) = self.state.upgrade() {
            let mut state = state.borrow_mut();
            state.engines.succeeded(self.index, Instant::now());
        }
    }

    /// Records that the call is complete, and releases the permit.
    pub fn finished(mut self, usage: Usage) {
        self.outcome = Outcome::Finished(usage);
    }

    /// Records that the engine failed the call, and releases the permit.
    pub fn failed(mut self) {
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

fn release<P: PlacementPolicy, Q: QueuePolicy>(state: &mut State<P, Q>, permit: &Permit<P, Q>) {
    let now = Instant::now();
    let call = &permit.call;
    let index = permit.index;
    match permit.outcome {
        Outcome::Cancelled => {}
        Outcome::Finished(usage) => {
            state.engines.succeeded(index, now);
            state.engines.used(index, call, &usage);
            state.settle(call, usage.prompt_tokens + usage.completion_tokens);
        }
        Outcome::Failed => {
            state.engines.failed(index, now);
            state.settle(call, 0);
        }
    }
    state.engines.end(index, call, now);
}

/// Starts the load requests that are due.
fn poll_engines<P: PlacementPolicy, Q: QueuePolicy>(state: &Shared<P, Q>, client: &EngineClient) {
    let mut borrowed = state.borrow_mut();
    borrowed.engines.refresh(Instant::now());
    let all: Vec<EngineIndex> = borrowed.engines.configured().collect();
    let count = all.len().min(POLLS_PER_INTERVAL);
    for offset in 0..count {
        let index = all[(borrowed.next_poll + offset) % all.len()];
        if borrowed.engines.get(index).is_polled {
            continue;
        }
        borrowed.engines.set_polled(index, true);
        let backend_server_id = borrowed.engines.get(index).backend_server_id.clone();
        let address = borrowed.engines.get(index).address;
        let state = Rc::downgrade(state);
        let client = client.clone();
        monoio::spawn(async move {
            let load = client.load(address).await;
            if let Some(state) = state.upgrade() {
                take_load(&state, &backend_server_id, address, load);
            }
        });
    }
    borrowed.next_poll = borrowed.next_poll.wrapping_add(count) % all.len().max(1);
}

fn take_load<P: PlacementPolicy, Q: QueuePolicy>(
    state: &Shared<P, Q>,
    backend_server_id: &BackendServerId,
    address: SocketAddr,
    load: std::result::Result<EngineLoad, EngineError>,
) {
    {
        let engines = &mut state.borrow_mut().engines;
        let now = Instant::now();
        let Some(index) = engines.find(backend_server_id) else {
            return;
        };
        if engines.get(index).address != address {
            return;
        }
        engines.set_polled(index, false);
        match load {
            Ok(report) => engines.report(index, report, now),
            // The engine is up, although its report is of no use.
            Err(error @ (EngineError::Refused(..) | EngineError::Protocol(_))) => {
                log::warn!("no load report of `{backend_server_id}`: {error}");
            }
            Err(error) => {
                log::debug!("no load report of `{backend_server_id}`: {error}");
                engines.missed_report(index, now);
            }
        }
    }
    dispatch_all(state);
}

fn no_backend_server(call: &CallDescription) -> Error {
    let message = format!(
        "no engine for the model `{}` is in service; try again later",
        call.model_id
    );
    Error::new(ErrorKind::NoBackendServer, message)
}

fn queue_timeout(call: &CallDescription) -> Error {
    let message = format!(
        "no engine for the model `{}` had room within {} ms; try again later",
        call.model_id,
        call.config.limits.queue_time.as_millis()
    );
    Error::new(ErrorKind::QueueTimeout, message)
}

fn overloaded(model_id: &ModelId) -> Error {
    let message = format!("too many calls wait for the model `{model_id}`; try again later");
    Error::new(ErrorKind::Overloaded, message)
}
