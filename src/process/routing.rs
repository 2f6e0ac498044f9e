//! Routes model calls to engines and queues the calls that no engine has capacity for.
//!
//! A call starts immediately if an engine has capacity and no other call waits for the same model.
//! Otherwise it joins the queue of its model, which is dispatched again when a call ends, a load
//! report arrives or the configuration changes. A [`PlacementPolicy`] selects the engine and a
//! [`QueuePolicy`] orders the waiting calls. A [`Permit`] represents a call in flight and is
//! released when it is dropped.

pub mod engines;
mod permit;
pub mod placement;
mod polling;
pub mod prefix;
pub mod queue;
mod waiting;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use indexmap::IndexMap;

use crate::connection::engine::{EngineClient, EngineLoad};
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{BackendServerId, ModelId, TeamId};
use crate::process::timer::TimerService;
use crate::version::config::{Config, Priority, QueueKind};

use engines::Engines;
pub use permit::Permit;
use placement::{Candidates, ConfiguredPlacement, PlacementDecision, PlacementPolicy};
use polling::poll_engines;
use queue::{CallId, ConfiguredQueue, QueuePolicy, QueuedCall};
use waiting::{RouterState, WaitingCall, dispatch, dispatch_all, shed_excess_calls};

/// A waiting call reaches its aging threshold after this fraction (1/n) of `limits.queue_timeout`.
const AGING_THRESHOLD_DIVISOR: u32 = 2;
/// A new program is refused if its expected wait exceeds this fraction (1/n) of
/// `limits.queue_timeout`. The rest is a margin for the error of the estimate.
const ADMISSION_WAIT_DIVISOR: u32 = 4;

/// Options of a [`Router`] that the configuration does not set.
#[derive(Clone, Copy, Debug)]
pub struct RouterOptions {
    /// Interval between the rounds of load requests to the engines.
    pub load_poll_interval: Duration,
    /// Limit of the calls that wait for one model; beyond it, the least urgent ones are shed.
    pub max_waiting_calls: usize,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self {
            load_poll_interval: Duration::from_millis(500),
            max_waiting_calls: 1024,
        }
    }
}

/// A model call that is to be placed on an engine.
#[derive(Clone, Debug)]
pub struct CallDescription {
    /// The configuration with which the request started; a later one does not change its limits.
    pub config: Rc<Config>,
    /// Selects the engines that may serve the call, and the queue that it waits in.
    pub model_id: ModelId,
    /// The team that is charged; teams share the engines by weight.
    pub team_id: TeamId,
    /// Identifies the prompt prefix that the call shares with earlier ones.
    pub cache_key: Rc<str>,
    /// The priority of the program; it takes precedence over the shares of the teams.
    pub priority: Priority,
    /// Tokens served to the program so far; 0 for a new program.
    pub program_service_tokens: u64,
    /// Length of the prompt, including the part that an engine may have cached.
    pub prompt_tokens: u64,
    /// Limit of the tokens to generate.
    pub max_output_tokens: u64,
    /// Engines that have already failed this call; it is not sent to them again.
    pub excluded: Vec<BackendServerId>,
}

impl CallDescription {
    /// Tokens reserved in an engine's cache while the call is in flight: the most that it can use.
    pub fn reserved_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.max_output_tokens)
    }

    /// Whether the program has not been served any tokens yet.
    pub fn is_new_program(&self) -> bool {
        self.program_service_tokens == 0
    }

    fn team_weight(&self) -> u32 {
        let team = self.config.teams.get(&self.team_id);
        team.map_or(1, |team| team.weight)
    }

    fn to_queued_call(&self, call_id: CallId, arrived_at: Instant) -> QueuedCall {
        QueuedCall {
            call_id,
            arrived_at,
            aging_threshold: self.config.limits.queue_timeout / AGING_THRESHOLD_DIVISOR,
            priority: self.priority,
            team_id: self.team_id.clone(),
            team_weight: self.team_weight(),
            service_tokens: self.program_service_tokens,
        }
    }
}

/// The state of an engine as this entry knows it.
#[derive(Clone, Debug)]
pub struct EngineStatus {
    /// The id of the engine in the configuration.
    pub backend_server_id: BackendServerId,
    /// The address that calls are sent to.
    pub address: SocketAddr,
    /// Whether the engine may receive new calls: `false` while it is leaving, or if the
    /// configuration no longer contains it. The circuit breaker is not included.
    pub is_in_service: bool,
    /// Calls of this entry in flight on the engine.
    pub in_flight_calls: u32,
    /// Calls in flight on the engine, corrected by the calls sent since its last load report, in
    /// thousandths of the calls that it may run concurrently.
    pub load_permille: u64,
}

type PermitSender<P, Q> = oneshot::Sender<Result<Permit<P, Q>>>;
type PermitReceiver<P, Q> = oneshot::Receiver<Result<Permit<P, Q>>>;

type SharedState<P, Q> = Rc<RefCell<RouterState<P, Q>>>;

/// Selects the engines for the calls of one entry. Clones share the same state.
pub struct Router<P: PlacementPolicy = ConfiguredPlacement, Q: QueuePolicy = ConfiguredQueue> {
    timer: TimerService,
    state: SharedState<P, Q>,
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
    /// Creates a router without engines; [`set_config`](Self::set_config) adds them.
    pub fn new(timer: TimerService, options: RouterOptions, placement: P) -> Self {
        let state = RouterState {
            options,
            config: None,
            placement,
            engines: Engines::default(),
            queues: IndexMap::new(),
            next_call_id: 0,
            poll_cursor: 0,
        };
        Self {
            timer,
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Starts the task that polls the engines for their load and updates the engines whose circuit
    /// breaker is not closed. It ends when the last clone of the router is dropped.
    pub fn start_polling(&self, client: EngineClient) {
        let interval = self.state.borrow().options.load_poll_interval;
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

    /// Applies a configuration. Engines that it no longer contains receive no new calls.
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

    /// Applies a load report of an engine and dispatches the waiting calls; ignored if the engine
    /// is unknown.
    pub fn set_load_report(&self, backend_server_id: &BackendServerId, report: EngineLoad) {
        {
            let mut state = self.state.borrow_mut();
            if let Some(index) = state.engines.find(backend_server_id) {
                state.engines.record_report(index, report, Instant::now());
            }
        }
        dispatch_all(&self.state);
    }

    /// Marks the engines as leaving whose address the platform's list of VMs shows as leaving, and
    /// clears the mark of all others.
    pub fn set_leaving_vms(&self, is_leaving: impl Fn(SocketAddr) -> bool) {
        let mut state = self.state.borrow_mut();
        state.engines.set_leaving_vms(is_leaving, Instant::now());
        drop(state);
        dispatch_all(&self.state);
    }

    /// Sets the number of live entries, this one included, which share the engines.
    pub fn set_live_entries(&self, count: usize) {
        let mut state = self.state.borrow_mut();
        state.engines.set_live_entries(count, Instant::now());
        drop(state);
        dispatch_all(&self.state);
    }

    /// Records which engine has a prefix that was computed before this entry served the program.
    /// Does nothing if the prefix already has a location, which this entry recorded itself.
    pub fn seed_prefix(
        &self,
        cache_key: &Rc<str>,
        backend_server_id: &BackendServerId,
        tokens: u64,
    ) {
        let engines = &mut self.state.borrow_mut().engines;
        if engines.prefixes.locations(cache_key).is_empty()
            && let Some(index) = engines.find(backend_server_id)
        {
            let capacity = engines.get(index).cache_tokens;
            engines.prefixes.record(cache_key, index, tokens, capacity);
        }
    }

    /// Removes a prefix from the estimate and returns the engines that may have it cached, so that
    /// the caller can release it there.
    pub fn take_prefix_locations(&self, cache_key: &str) -> Vec<(BackendServerId, SocketAddr)> {
        let mut state = self.state.borrow_mut();
        let locations = state.engines.prefixes.locations(cache_key).iter();
        let locations = locations.map(|location| {
            let engine = state.engines.get(location.engine);
            (engine.backend_server_id.clone(), engine.address)
        });
        let locations = locations.collect();
        state.engines.prefixes.remove_prefix(cache_key);
        drop(state);
        // A new program that waits for cache space may start now.
        dispatch_all(&self.state);
        locations
    }

    /// The number of calls that wait for an engine, over all models.
    pub fn waiting_calls(&self) -> usize {
        let state = self.state.borrow();
        state.queues.values().map(|queue| queue.calls.len()).sum()
    }

    /// Returns the state of the configured engines, and of removed ones with calls in flight.
    pub fn engine_status(&self) -> Vec<EngineStatus> {
        let state = self.state.borrow();
        let engines = &state.engines;
        let status = engines.indexes().map(|index| EngineStatus {
            backend_server_id: engines.get(index).backend_server_id.clone(),
            address: engines.get(index).address,
            is_in_service: engines.is_in_service(index),
            in_flight_calls: engines.in_flight_calls(index),
            load_permille: engines.load(index),
        });
        status.collect()
    }

    /// Waits until an engine has capacity for the call, at most `limits.queue_timeout`.
    ///
    /// Fails at once if no engine in service can serve the call, or if a new program is expected to
    /// wait too long. Dropping the future removes the call from the queue.
    pub async fn acquire(&self, call: CallDescription) -> Result<Permit<P, Q>> {
        let arrived_at = Instant::now();
        let deadline = arrived_at + call.config.limits.queue_timeout;
        let call = Rc::new(call);
        if !self.state.borrow().engines.can_serve(&call) {
            return Err(no_backend_server(&call));
        }
        if let Some(permit) = self.try_start_immediately(&call, arrived_at) {
            return Ok(permit);
        }
        if self.would_wait_too_long(&call, arrived_at) {
            return Err(overloaded(&call.model_id));
        }
        let (guard, mut permit_rx) = self.enqueue(&call, arrived_at);
        loop {
            let retry_at = guard.retry_at().unwrap_or(deadline);
            let wake_at = retry_at.min(deadline);
            match self.timer.timeout_at(wake_at, &mut permit_rx).await {
                Ok(Ok(result)) => return result,
                Ok(Err(_)) => {
                    let message = "the router dropped a waiting call without a result";
                    return Err(Error::new(ErrorKind::Internal, message));
                }
                Err(_) if Instant::now() >= deadline => return Err(queue_timeout(&call)),
                Err(_) => {
                    guard.clear_retry_at();
                    dispatch(&self.state, &call.model_id);
                }
            }
        }
    }

    /// Whether a new program is not expected to start in time, so that it is refused at once. A
    /// running program is never refused, because the work it has done so far would be lost.
    fn would_wait_too_long(&self, call: &CallDescription, now: Instant) -> bool {
        if call.config.policy.queue == QueueKind::Fifo || !call.is_new_program() {
            return false;
        }
        let state = self.state.borrow();
        let Some(queue) = state.queues.get(&call.model_id) else {
            return false;
        };
        let programs_ahead = queue.waiting_new_programs(call.priority);
        let expected_wait = queue.new_program_rate.expected_wait(programs_ahead, now);
        expected_wait > call.config.limits.queue_timeout / ADMISSION_WAIT_DIVISOR
    }

    /// Starts a call without queueing it, if no other call waits for the model.
    fn try_start_immediately(
        &self,
        call: &Rc<CallDescription>,
        now: Instant,
    ) -> Option<Permit<P, Q>> {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let queue = state.queue_for(&call.model_id);
        if !queue.calls.is_empty() {
            return None;
        }
        let queued = call.to_queued_call(state.next_call_id, now);
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
        let PlacementDecision::Start(index) = state.placement.choose(candidates) else {
            return None;
        };
        state.next_call_id += 1;
        state.start(call, &queued, index, now);
        Some(Permit::new(&self.state, &state.engines, call, index))
    }

    fn enqueue(
        &self,
        call: &Rc<CallDescription>,
        now: Instant,
    ) -> (WaitGuard<P, Q>, PermitReceiver<P, Q>) {
        let (permit_tx, permit_rx) = oneshot::channel();
        let call_id = {
            let mut state = self.state.borrow_mut();
            let call_id = state.next_call_id;
            state.next_call_id += 1;
            let queued = call.to_queued_call(call_id, now);
            let queue = state.queue_for(&call.model_id);
            queue.policy.push(queued.clone());
            let waiting = WaitingCall {
                call: call.clone(),
                queued,
                retry_at: None,
                permit_tx,
            };
            queue.calls.insert(call_id, waiting);
            if call.is_new_program() {
                queue.new_program_rate.last_start.get_or_insert(now);
            }
            call_id
        };
        dispatch(&self.state, &call.model_id);
        shed_excess_calls(&self.state, &call.model_id);
        let guard = WaitGuard {
            state: self.state.clone(),
            model_id: call.model_id.clone(),
            call_id,
        };
        (guard, permit_rx)
    }
}

/// Removes a call from the queue of its model when dropped, so that a cancelled call does not wait.
struct WaitGuard<P: PlacementPolicy, Q: QueuePolicy> {
    state: SharedState<P, Q>,
    model_id: ModelId,
    call_id: CallId,
}

impl<P: PlacementPolicy, Q: QueuePolicy> WaitGuard<P, Q> {
    fn retry_at(&self) -> Option<Instant> {
        let state = self.state.borrow();
        let queue = state.queues.get(&self.model_id)?;
        queue.calls.get(&self.call_id)?.retry_at
    }

    fn clear_retry_at(&self) {
        let mut state = self.state.borrow_mut();
        let queue = state.queue_for(&self.model_id);
        if let Some(waiting) = queue.calls.get_mut(&self.call_id) {
            waiting.retry_at = None;
        }
    }
}

impl<P: PlacementPolicy, Q: QueuePolicy> Drop for WaitGuard<P, Q> {
    fn drop(&mut self) {
        let removed = self.state.borrow_mut().remove(&self.model_id, self.call_id);
        // The removed call may have blocked the calls after it.
        if removed.is_some() {
            dispatch(&self.state, &self.model_id);
        }
    }
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
        "no engine for the model `{}` had capacity within {} ms; try again later",
        call.model_id,
        call.config.limits.queue_timeout.as_millis()
    );
    Error::new(ErrorKind::QueueTimeout, message)
}

fn overloaded(model_id: &ModelId) -> Error {
    let message = format!("too many calls are waiting for the model `{model_id}`; try again later");
    Error::new(ErrorKind::Overloaded, message)
}
