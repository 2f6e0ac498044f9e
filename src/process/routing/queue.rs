//! The order in which waiting calls start, and which of them is shed when too many wait.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::TeamId;
use crate::version::config::{Policy, Priority, QueueKind};

/// Numbers the calls in the order of their arrival.
pub type CallId = u64;

/// What decides the place of a call in the queue.
#[derive(Clone, Debug)]
pub struct QueuedCall {
    /// The call.
    pub call_id: CallId,
    /// When it arrived.
    pub arrived: Instant,
    /// A call that has waited longer is due to start whatever its priority.
    pub age_bound: Duration,
    /// How urgent its program is.
    pub priority: Priority,
    /// The team that pays.
    pub team_id: TeamId,
    /// The team's share relative to other teams; at least 1.
    pub team_weight: u32,
    /// Tokens that the program has received so far.
    pub service_tokens: u64,
}

/// The order of the calls that wait for the engines of one model.
pub trait QueuePolicy: Default + 'static {
    /// Takes over the policy of a new configuration.
    fn configure(&mut self, _policy: &Policy) {}

    /// Adds a call.
    fn push(&mut self, call: QueuedCall);

    /// Removes a call that starts or gave up; harmless if it is not there.
    fn remove(&mut self, call_id: CallId);

    /// Lists at most `limit` calls in the order in which they should start.
    fn first(&self, now: Instant, limit: usize) -> Vec<CallId>;

    /// The call to shed.
    fn least_urgent(&self) -> Option<CallId>;

    /// Records that a call has started and may use `tokens`. The call was removed if it had waited.
    fn started(&mut self, call: &QueuedCall, tokens: u64);

    /// Records that a call that was counted with `counted` tokens used only `used`.
    fn settled(&mut self, team_id: &TeamId, team_weight: u32, counted: u64, used: u64);
}

/// First come, first served; a baseline.
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

    fn first(&self, _now: Instant, limit: usize) -> Vec<CallId> {
        self.calls.iter().take(limit).copied().collect()
    }

    fn least_urgent(&self) -> Option<CallId> {
        self.calls.last().copied()
    }

    fn started(&mut self, _call: &QueuedCall, _tokens: u64) {}

    fn settled(&mut self, _team_id: &TeamId, _team_weight: u32, _counted: u64, _used: u64) {}
}

/// Service of a team divided by its weight, in units of 1/1024 token.
type VirtualTime = u64;

const VIRTUAL_TIME_SCALE: u64 = 1024;
/// One of this many starts goes to the oldest call beyond its age bound, so that urgent calls keep
/// most of the engines while no call waits forever.
const AGED_INTERVAL: u32 = 4;
/// Idle teams are forgotten when at least this many teams are known.
const KNOWN_TEAMS: usize = 1024;

#[derive(Default)]
struct Class {
    /// The calls of each team, by the service of their program. No set is empty.
    teams: IndexMap<TeamId, BTreeSet<(u64, CallId)>>,
    /// The same teams, by their virtual time.
    order: BTreeSet<(VirtualTime, TeamId)>,
}

/// Position of a call's class. In each priority, running programs come before new ones, whichever
/// their teams, because they hold engine memory until they end.
fn class_of(call: &QueuedCall) -> usize {
    let is_running = call.service_tokens > 0;
    2 * call.priority as usize + usize::from(is_running)
}

/// By priority, running programs before new ones, then the team furthest behind its share, then the program that received least.
///
/// A team that was idle starts at the virtual time of the last start, so that it cannot save up a
/// claim while it sends nothing.
#[derive(Default)]
pub struct LeastService {
    calls: BTreeMap<CallId, QueuedCall>,
    /// By priority, and for each priority the new programs before the running ones.
    classes: [Class; 6],
    virtual_times: IndexMap<TeamId, VirtualTime>,
    virtual_now: VirtualTime,
    starts_since_aged: u32,
    /// Twice the teams that were left when idle ones were last forgotten, so that the cost of
    /// forgetting is spread over the calls.
    forget_above: usize,
}

impl LeastService {
    fn virtual_time(&self, team_id: &TeamId) -> VirtualTime {
        let known = self.virtual_times.get(team_id).copied().unwrap_or(0);
        if self.is_waiting(team_id) {
            known
        } else {
            known.max(self.virtual_now)
        }
    }

    fn is_waiting(&self, team_id: &TeamId) -> bool {
        let mut classes = self.classes.iter();
        classes.any(|class| class.teams.contains_key(team_id))
    }

    fn set_virtual_time(&mut self, team_id: &TeamId, time: VirtualTime) {
        let previous = self.virtual_times.insert(team_id.clone(), time);
        for class in &mut self.classes {
            if class.teams.contains_key(team_id) {
                class
                    .order
                    .remove(&(previous.unwrap_or(0), team_id.clone()));
                class.order.insert((time, team_id.clone()));
            }
        }
        if self.virtual_times.len() > self.forget_above.max(KNOWN_TEAMS) {
            self.forget_idle_teams();
        }
    }

    fn forget_idle_teams(&mut self) {
        let classes = &self.classes;
        let now = self.virtual_now;
        self.virtual_times.retain(|team_id, time| {
            *time > now
                || classes
                    .iter()
                    .any(|class| class.teams.contains_key(team_id))
        });
        self.forget_above = self.virtual_times.len() * 2;
    }

    fn oldest_aged(&self, now: Instant) -> Option<CallId> {
        let (call_id, call) = self.calls.first_key_value()?;
        let waited = now.saturating_duration_since(call.arrived);
        (waited >= call.age_bound).then_some(*call_id)
    }
}

impl Class {
    /// Lists the first call of each team, then the second of each, and so on.
    fn list(&self, limit: usize, calls: &mut Vec<CallId>) {
        let teams = self.order.iter().filter_map(|(_, id)| self.teams.get(id));
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
        let class = &mut self.classes[class_of(&call)];
        class.order.insert((time, call.team_id.clone()));
        let calls = class.teams.entry(call.team_id.clone()).or_default();
        calls.insert((call.service_tokens, call.call_id));
        self.calls.insert(call.call_id, call);
    }

    fn remove(&mut self, call_id: CallId) {
        let Some(call) = self.calls.remove(&call_id) else {
            return;
        };
        let time = self.virtual_times.get(&call.team_id).copied().unwrap_or(0);
        let class = &mut self.classes[class_of(&call)];
        let Some(calls) = class.teams.get_mut(&call.team_id) else {
            return;
        };
        calls.remove(&(call.service_tokens, call_id));
        if calls.is_empty() {
            class.teams.swap_remove(&call.team_id);
            class.order.remove(&(time, call.team_id));
        }
    }

    fn first(&self, now: Instant, limit: usize) -> Vec<CallId> {
        let mut calls = Vec::new();
        let aged_is_due = self.starts_since_aged + 1 >= AGED_INTERVAL;
        let aged = aged_is_due.then(|| self.oldest_aged(now)).flatten();
        calls.extend(aged);
        for class in self.classes.iter().rev() {
            class.list(limit, &mut calls);
        }
        if let Some(aged) = aged {
            let mut seen = false;
            calls.retain(|call_id| *call_id != aged || !std::mem::replace(&mut seen, true));
        }
        calls
    }

    fn least_urgent(&self) -> Option<CallId> {
        let class = self.classes.iter().find(|class| !class.order.is_empty())?;
        let (_, team_id) = class.order.last()?;
        let calls = class.teams.get(team_id)?;
        calls.last().map(|(_, call_id)| *call_id)
    }

    fn started(&mut self, call: &QueuedCall, tokens: u64) {
        let oldest = self.calls.first_key_value().map(|(call_id, _)| *call_id);
        let passed_oldest = oldest.is_some_and(|oldest| oldest < call.call_id);
        self.starts_since_aged = if passed_oldest {
            self.starts_since_aged.saturating_add(1)
        } else {
            0
        };
        let time = self.virtual_time(&call.team_id);
        self.virtual_now = self.virtual_now.max(time);
        let step = tokens * VIRTUAL_TIME_SCALE / u64::from(call.team_weight.max(1));
        self.set_virtual_time(&call.team_id, time + step);
    }

    fn settled(&mut self, team_id: &TeamId, team_weight: u32, counted: u64, used: u64) {
        let Some(time) = self.virtual_times.get(team_id).copied() else {
            return;
        };
        let surplus = counted.saturating_sub(used);
        let step = surplus * VIRTUAL_TIME_SCALE / u64::from(team_weight.max(1));
        self.set_virtual_time(team_id, time.saturating_sub(step));
    }
}

/// The policy that the configuration names. Both orders are kept, so that a change of the policy
/// takes effect on the calls that already wait.
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

    fn first(&self, now: Instant, limit: usize) -> Vec<CallId> {
        if self.is_fifo {
            self.fifo.first(now, limit)
        } else {
            self.least_service.first(now, limit)
        }
    }

    fn least_urgent(&self) -> Option<CallId> {
        if self.is_fifo {
            self.fifo.least_urgent()
        } else {
            self.least_service.least_urgent()
        }
    }

    fn started(&mut self, call: &QueuedCall, tokens: u64) {
        self.least_service.started(call, tokens);
    }

    fn settled(&mut self, team_id: &TeamId, team_weight: u32, counted: u64, used: u64) {
        self.least_service
            .settled(team_id, team_weight, counted, used);
    }
}
