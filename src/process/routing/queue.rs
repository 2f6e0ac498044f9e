//! Queue policies: the order in which waiting calls start, and which one is shed when too many
//! wait.
//!
//! A policy learns of every call that is queued, removed or started, and of the tokens that a call
//! used in the end. Each model has its own policy state; the configuration selects the policy.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::TeamId;
use crate::version::config::{Policy, Priority, QueueKind};

/// Identifies a call; ascending in the order of arrival.
pub type CallId = u64;

/// The properties of a call that determine its position in the queue.
#[derive(Clone, Debug)]
pub struct QueuedCall {
    /// Identifies the call in the queue of its model.
    pub call_id: CallId,
    /// When the call arrived at the router.
    pub arrived_at: Instant,
    /// A call that has waited this long may start ahead of calls with a higher priority, and is not
    /// overtaken by smaller calls.
    pub aging_threshold: Duration,
    /// The priority of the program.
    pub priority: Priority,
    /// The team that is charged for the call.
    pub team_id: TeamId,
    /// The team's share relative to other teams; at least 1.
    pub team_weight: u32,
    /// Tokens served to the program so far; 0 for a new program.
    pub service_tokens: u64,
}

/// Orders the calls that wait for the engines of one model.
pub trait QueuePolicy: Default + 'static {
    /// Applies the policy settings of a new configuration.
    fn configure(&mut self, _policy: &Policy) {}

    /// Adds a call.
    fn push(&mut self, call: QueuedCall);

    /// Removes a call that starts or was cancelled or shed; does nothing if it is not in the queue.
    fn remove(&mut self, call_id: CallId);

    /// Returns at most `limit` waiting calls, in the order in which they should start.
    fn next_calls(&self, now: Instant, limit: usize) -> Vec<CallId>;

    /// Returns the call to shed when the queue is too long: the one that would start last.
    fn call_to_shed(&self) -> Option<CallId>;

    /// Records that a call has started and charges its team `reserved_tokens`. If the call waited,
    /// it was removed from the queue before.
    fn record_start(&mut self, call: &QueuedCall, reserved_tokens: u64);

    /// Records that a call which was charged `reserved_tokens` at its start used only
    /// `used_tokens`.
    fn record_settlement(
        &mut self,
        team_id: &TeamId,
        team_weight: u32,
        reserved_tokens: u64,
        used_tokens: u64,
    );
}

/// Starts the calls in order of arrival; a baseline.
#[derive(Default)]
pub struct Fifo {
    calls: BTreeSet<CallId>,
}

impl QueuePolicy for Fifo {
    fn push(&mut self, call: QueuedCall) {
        self.calls.insert(call.call_id);
    }

    fn remove(&mut self, call_id: CallId) {
        self.calls.remove(&call_id);
    }

    fn next_calls(&self, _now: Instant, limit: usize) -> Vec<CallId> {
        self.calls.iter().take(limit).copied().collect()
    }

    fn call_to_shed(&self) -> Option<CallId> {
        self.calls.last().copied()
    }

    fn record_start(&mut self, _call: &QueuedCall, _reserved_tokens: u64) {}

    fn record_settlement(
        &mut self,
        _team_id: &TeamId,
        _team_weight: u32,
        _reserved_tokens: u64,
        _used_tokens: u64,
    ) {
    }
}

/// Tokens charged to a team divided by its weight, in units of 1/1024 token.
type VirtualTime = u64;

const VIRTUAL_TIME_SCALE: u64 = 1024;
/// While calls overtake the oldest one, one of this many starts goes to the oldest call if it has
/// passed its aging threshold. Urgent calls keep most of the capacity, and no call waits forever.
const STARTS_PER_AGED_CALL: u32 = 4;
/// The virtual times of idle teams are removed only when there are more teams than this.
const MIN_TEAMS_TO_PRUNE: usize = 1024;

#[derive(Default)]
struct PriorityClass {
    /// Waiting calls of each team, ordered by the service tokens of their program. No set is empty.
    teams: IndexMap<TeamId, BTreeSet<(u64, CallId)>>,
    /// The same teams, ordered by virtual time.
    by_virtual_time: BTreeSet<(VirtualTime, TeamId)>,
}

/// Returns the index of a call's class. Within each priority, running programs precede new ones
/// regardless of their teams, because they occupy engine cache until they end.
fn class_index(call: &QueuedCall) -> usize {
    let is_running = call.service_tokens > 0;
    2 * call.priority as usize + usize::from(is_running)
}

/// Orders calls by priority, then running programs before new ones, then by weighted fair sharing
/// between teams, then by the least service tokens of the program.
///
/// A team that was idle resumes at the virtual time of the last start, so that it does not
/// accumulate a claim to service while it sends no calls.
#[derive(Default)]
pub struct LeastService {
    calls: BTreeMap<CallId, QueuedCall>,
    /// In ascending order of priority, and within each priority new programs before running ones.
    classes: [PriorityClass; 6],
    virtual_times: IndexMap<TeamId, VirtualTime>,
    /// The highest virtual time at which a call has started.
    virtual_now: VirtualTime,
    /// Consecutive starts that overtook the oldest waiting call.
    starts_past_oldest: u32,
    /// Twice the number of teams that were left when idle ones were last removed, so that the cost
    /// of removal is amortized over the calls.
    prune_above: usize,
}

impl LeastService {
    fn virtual_time(&self, team_id: &TeamId) -> VirtualTime {
        let recorded = self.virtual_times.get(team_id).copied().unwrap_or(0);
        if self.has_waiting_calls(team_id) {
            recorded
        } else {
            recorded.max(self.virtual_now)
        }
    }

    fn has_waiting_calls(&self, team_id: &TeamId) -> bool {
        let mut classes = self.classes.iter();
        classes.any(|class| class.teams.contains_key(team_id))
    }

    fn set_virtual_time(&mut self, team_id: &TeamId, time: VirtualTime) {
        let previous = self.virtual_times.insert(team_id.clone(), time);
        for class in &mut self.classes {
            if class.teams.contains_key(team_id) {
                class
                    .by_virtual_time
                    .remove(&(previous.unwrap_or(0), team_id.clone()));
                class.by_virtual_time.insert((time, team_id.clone()));
            }
        }
        if self.virtual_times.len() > self.prune_above.max(MIN_TEAMS_TO_PRUNE) {
            self.prune_idle_teams();
        }
    }

    fn prune_idle_teams(&mut self) {
        let classes = &self.classes;
        let now = self.virtual_now;
        self.virtual_times.retain(|team_id, time| {
            *time > now
                || classes
                    .iter()
                    .any(|class| class.teams.contains_key(team_id))
        });
        self.prune_above = self.virtual_times.len() * 2;
    }

    fn oldest_aged(&self, now: Instant) -> Option<CallId> {
        let (call_id, call) = self.calls.first_key_value()?;
        let waited = now.saturating_duration_since(call.arrived_at);
        (waited >= call.aging_threshold).then_some(*call_id)
    }
}

impl PriorityClass {
    /// Appends calls round-robin over the teams, until `calls` contains `limit` calls: the first
    /// call of each team in order of virtual time, then the second of each, and so on.
    fn append_calls(&self, limit: usize, calls: &mut Vec<CallId>) {
        let teams = self
            .by_virtual_time
            .iter()
            .filter_map(|(_, id)| self.teams.get(id));
        let mut teams: Vec<_> = teams.take(limit).map(|calls| calls.iter()).collect();
        while !teams.is_empty() {
            teams.retain_mut(|team| match team.next() {
                Some((_, call_id)) if calls.len() < limit => {
                    calls.push(*call_id);
                    true
                }
                _ => false,
            });
        }
    }
}

impl QueuePolicy for LeastService {
    fn push(&mut self, call: QueuedCall) {
        let time = self.virtual_time(&call.team_id);
        self.set_virtual_time(&call.team_id, time);
        let class = &mut self.classes[class_index(&call)];
        class.by_virtual_time.insert((time, call.team_id.clone()));
        let calls = class.teams.entry(call.team_id.clone()).or_default();
        calls.insert((call.service_tokens, call.call_id));
        self.calls.insert(call.call_id, call);
    }

    fn remove(&mut self, call_id: CallId) {
        let Some(call) = self.calls.remove(&call_id) else {
            return;
        };
        let time = self.virtual_times.get(&call.team_id).copied().unwrap_or(0);
        let class = &mut self.classes[class_index(&call)];
        let Some(calls) = class.teams.get_mut(&call.team_id) else {
            return;
        };
        calls.remove(&(call.service_tokens, call_id));
        if calls.is_empty() {
            class.teams.swap_remove(&call.team_id);
            class.by_virtual_time.remove(&(time, call.team_id));
        }
    }

    fn next_calls(&self, now: Instant, limit: usize) -> Vec<CallId> {
        let mut calls = Vec::new();
        let is_aged_call_due = self.starts_past_oldest + 1 >= STARTS_PER_AGED_CALL;
        let aged = is_aged_call_due.then(|| self.oldest_aged(now)).flatten();
        calls.extend(aged);
        for class in self.classes.iter().rev() {
            class.append_calls(limit, &mut calls);
        }
        if let Some(aged) = aged {
            let mut is_seen = false;
            calls.retain(|call_id| *call_id != aged || !std::mem::replace(&mut is_seen, true));
        }
        calls
    }

    fn call_to_shed(&self) -> Option<CallId> {
        let class = self
            .classes
            .iter()
            .find(|class| !class.by_virtual_time.is_empty())?;
        let (_, team_id) = class.by_virtual_time.last()?;
        let calls = class.teams.get(team_id)?;
        calls.last().map(|(_, call_id)| *call_id)
    }

    fn record_start(&mut self, call: &QueuedCall, reserved_tokens: u64) {
        let oldest = self.calls.first_key_value().map(|(call_id, _)| *call_id);
        let has_passed_oldest = oldest.is_some_and(|oldest| oldest < call.call_id);
        self.starts_past_oldest = if has_passed_oldest {
            self.starts_past_oldest.saturating_add(1)
        } else {
            0
        };
        let time = self.virtual_time(&call.team_id);
        self.virtual_now = self.virtual_now.max(time);
        let step = reserved_tokens * VIRTUAL_TIME_SCALE / u64::from(call.team_weight.max(1));
        self.set_virtual_time(&call.team_id, time + step);
    }

    fn record_settlement(
        &mut self,
        team_id: &TeamId,
        team_weight: u32,
        reserved_tokens: u64,
        used_tokens: u64,
    ) {
        let Some(time) = self.virtual_times.get(team_id).copied() else {
            return;
        };
        let surplus = reserved_tokens.saturating_sub(used_tokens);
        let step = surplus * VIRTUAL_TIME_SCALE / u64::from(team_weight.max(1));
        self.set_virtual_time(team_id, time.saturating_sub(step));
    }
}

/// Delegates to the policy that the configuration selects. Both policies are kept up to date, so
/// that a change of the policy also applies to the calls that already wait.
#[derive(Default)]
pub struct ConfiguredQueue {
    is_fifo: bool,
    fifo: Fifo,
    least_service: LeastService,
}

impl QueuePolicy for ConfiguredQueue {
    fn configure(&mut self, policy: &Policy) {
        self.is_fifo = policy.queue == QueueKind::Fifo;
    }

    fn push(&mut self, call: QueuedCall) {
        self.fifo.push(call.clone());
        self.least_service.push(call);
    }

    fn remove(&mut self, call_id: CallId) {
        self.fifo.remove(call_id);
        self.least_service.remove(call_id);
    }

    fn next_calls(&self, now: Instant, limit: usize) -> Vec<CallId> {
        if self.is_fifo {
            self.fifo.next_calls(now, limit)
        } else {
            self.least_service.next_calls(now, limit)
        }
    }

    fn call_to_shed(&self) -> Option<CallId> {
        if self.is_fifo {
            self.fifo.call_to_shed()
        } else {
            self.least_service.call_to_shed()
        }
    }

    fn record_start(&mut self, call: &QueuedCall, reserved_tokens: u64) {
        self.least_service.record_start(call, reserved_tokens);
    }

    fn record_settlement(
        &mut self,
        team_id: &TeamId,
        team_weight: u32,
        reserved_tokens: u64,
        used_tokens: u64,
    ) {
        self.least_service
            .record_settlement(team_id, team_weight, reserved_tokens, used_tokens);
    }
}
