//! Decides on the turns of one service.

use std::time::{Duration, Instant};

use super::demand::{Demand, Urgency};
use super::level::{AdmissionLevel, FREE_SLOTS_ADMIT_ALL, FREE_SLOTS_LEVEL_APPLIES, LevelChange};
use super::program_times::ProgramTimes;
use super::recent::{BEGUN_PERIOD, Recent};
use super::service_load::{KnownLoad, ServiceLoad};
use super::waits::Waits;
use crate::ids::TeamId;
use crate::process::retry_budget::RetryBudget;

/// Interval in which the loads are combined and the level is adapted. Reports are half a second
/// old on a large site, so a shorter one brings nothing.
pub const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Time of a turn until one is learned.
const DEFAULT_TURN_TIME: Duration = Duration::from_millis(500);
/// Shortest and longest delay after which a caller is told to come back. Shorter ones are lost in
/// the transfer; callers that wait longer have given up.
const RETURN_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_secs(4));
/// Time over which the returns of the callers are spread if all are admitted. It is longer the
/// fewer are, because the others need as many times the time to be served.
const RETURN_SPREAD: Duration = Duration::from_millis(500);
/// Part of the slack of a program that one refusal may use up, so that a caller which is refused
/// twice can still end in time.
const SLACK_DIVISOR: u32 = 3;
/// Time for which a refused program is remembered; it exceeds the longest return delay.
const REFUSAL_PERIOD: Duration = Duration::from_secs(6);
/// Half of the most programs that are remembered of either kind: 32 bytes each.
const MAX_RECENT_PROGRAMS: usize = 4_096;

/// Retries after refusals by servers, in percent of the requests of a service under overload. More
/// of them would bring the servers more work than they shed.
const RETRY_PERCENT: u32 = 10;

/// A turn that may be the first one of its program.
#[derive(Clone, Copy, Debug)]
pub struct Turn<'a> {
    /// Hash of the qualified id of the program; `None` if the turn belongs to no program.
    pub program: Option<u64>,
    /// The urgency of the turn.
    pub urgency: Urgency,
    /// The team of the caller; empty if there are no teams.
    pub team: &'a TeamId,
    /// Tokens of the prompt and of the longest output.
    pub tokens: u64,
    /// Time left for the program; `None` if the caller sets none.
    pub time_left: Option<Duration>,
}

/// Why a first turn is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The admission level of the service does not cover it.
    Level,
    /// The program cannot end in time at the present speed.
    CannotEndInTime,
}

impl RefusalReason {
    /// The name of the reason in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::Level => "level",
            RefusalReason::CannotEndInTime => "cannot end in time",
        }
    }
}

/// What to do with a first turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to a server.
    Admit,
    /// Refuse it.
    Refuse {
        /// Why it is refused.
        reason: RefusalReason,
        /// Delay after which the caller may come back.
        retry_after: Duration,
    },
}

/// A program whose first turn was refused.
#[derive(Clone, Copy, Debug)]
struct RefusedProgram {
    refusals: u32,
    /// Time left for the program when it first came.
    first_time_left: Option<Duration>,
    return_at: Instant,
}

/// Decides on the turns of one service.
#[derive(Debug)]
pub struct ServiceAdmission {
    level: AdmissionLevel,
    load: ServiceLoad,
    /// The demand of the teams.
    pub demand: Demand,
    /// The learned times of turns.
    pub waits: Waits,
    program_times: ProgramTimes,
    refused: Recent<RefusedProgram>,
    begun: Recent<()>,
    /// Retries after refusals by servers that are left in this overload.
    retries: RetryBudget,
    updated_at: Option<Instant>,
}

impl ServiceAdmission {
    /// Makes the admission of a service that is not overloaded.
    pub fn new(now: Instant) -> Self {
        Self {
            level: AdmissionLevel::new(now),
            load: ServiceLoad::default(),
            demand: Demand::new(now),
            waits: Waits::default(),
            program_times: ProgramTimes::new(now),
            refused: Recent::new(REFUSAL_PERIOD, MAX_RECENT_PROGRAMS, now),
            begun: Recent::new(BEGUN_PERIOD, MAX_RECENT_PROGRAMS, now),
            retries: RetryBudget::default(),
            updated_at: None,
        }
    }

    /// Whether [`ServiceAdmission::update`] is due.
    pub fn is_update_due(&self, now: Instant) -> bool {
        let updated_at = self.updated_at;
        updated_at.is_none_or(|at| now.saturating_duration_since(at) >= UPDATE_INTERVAL)
    }

    /// Adapts the level to what is known of the servers.
    pub fn update(
        &mut self,
        servers: impl IntoIterator<Item = KnownLoad>,
        now: Instant,
    ) -> Option<LevelChange> {
        self.updated_at = Some(now);
        self.load = ServiceLoad::combine(servers, self.waits.recent_excess_permille(now));
        let change = self.level.update(&self.load, now);
        self.demand.update(self.level.share(), now);
        if change == Some(LevelChange::Begins) {
            self.retries = RetryBudget::default();
        }
        change
    }

    /// The load that the level was last adapted to.
    pub fn load(&self) -> &ServiceLoad {
        &self.load
    }

    /// The admission level.
    pub fn level(&self) -> &AdmissionLevel {
        &self.level
    }

    /// Decides on the first turn of a program, and records the decision. `chance` and `spread` are
    /// random numbers from 0 to 1.
    pub fn decide(&mut self, turn: Turn<'_>, chance: f64, spread: f64, now: Instant) -> Decision {
        let refused = turn.program.and_then(|program| self.refused.get(program));
        self.retries.record_request(RETRY_PERCENT);
        if refused.is_none() {
            self.demand.record_first_turn(turn.urgency, turn.team);
        }
        if !self.level.is_overloaded() {
            return self.admit(turn, now);
        }
        let has_returned_in_time = refused.is_some_and(|refused| now >= refused.return_at);
        let refusals = refused.map_or(0, |refused| refused.refusals);
        let first_time_left = refused.map_or(turn.time_left, |refused| refused.first_time_left);
        let mut probability = self.demand.refusal_probability(turn.urgency, turn.team);
        if has_returned_in_time {
            // Those that come back go before new ones of the same priority. A priority that is
            // refused as a whole (probability 1) stays refused.
            probability = probability.powi(1 + refusals as i32);
        }
        let slack = self.slack(turn.time_left, first_time_left);
        let has_free_slots = self.load.free_share >= FREE_SLOTS_LEVEL_APPLIES;
        let cannot_end = slack.is_some_and(|slack| slack.is_zero());
        let reason = if cannot_end && !has_free_slots {
            RefusalReason::CannotEndInTime
        } else if chance < probability {
            RefusalReason::Level
        } else {
            return self.admit(turn, now);
        };
        // A program that cannot end gains nothing from an early return.
        let slack = slack.filter(|_| reason == RefusalReason::Level);
        let retry_after = self.return_delay(refusals, slack, spread);
        if let Some(program) = turn.program {
            let refused = RefusedProgram {
                refusals: refusals + 1,
                first_time_left,
                return_at: now + retry_after,
            };
            self.refused.set(program, refused, now);
        }
        Decision::Refuse {
            reason,
            retry_after,
        }
    }

    fn admit(&mut self, turn: Turn<'_>, now: Instant) -> Decision {
        let refused = turn
            .program
            .and_then(|program| self.refused.remove(program));
        if let Some(program) = turn.program {
            let first_time_left = refused.map_or(turn.time_left, |known| known.first_time_left);
            self.program_times.begin(program, first_time_left, now);
        }
        self.demand
            .record_admitted(turn.urgency, turn.team, turn.tokens, true);
        Decision::Admit
    }

    /// Whether the program has begun, as far as this gateway knows.
    pub fn has_begun(&self, program: u64) -> bool {
        self.begun.get(program).is_some()
    }

    /// Records that a server has begun with the first turn of a program.
    pub fn record_begun(&mut self, program: u64, now: Instant) {
        self.begun.set(program, (), now);
    }

    /// Records a turn of a program that has begun. It is always admitted.
    pub fn record_later_turn(&mut self, turn: Turn<'_>, now: Instant) {
        if let Some(program) = turn.program {
            self.refused.remove(program);
            self.begun.set(program, (), now);
        }
        self.retries.record_request(RETRY_PERCENT);
        self.demand
            .record_admitted(turn.urgency, turn.team, turn.tokens, false);
    }

    /// Records the end of a turn.
    pub fn record_turn_end(&mut self, program: u64, now: Instant) {
        let is_overloaded = self.level.is_overloaded();
        self.program_times.extend(program, is_overloaded, now);
    }

    /// The time that a program has left beyond what it needs; `None` if either is not known.
    fn slack(
        &self,
        time_left: Option<Duration>,
        first_time_left: Option<Duration>,
    ) -> Option<Duration> {
        let slowdown = self.load.batches.max(1.0) * self.load.slowdown;
        let needed = self.program_times.needed(first_time_left?, slowdown)?;
        Some(time_left?.saturating_sub(needed))
    }

    /// The delay after which a caller should come back: the queue beyond the target has drained by
    /// then, and callers come back one after another.
    fn return_delay(&self, refusals: u32, slack: Option<Duration>, spread: f64) -> Duration {
        let (shortest, longest) = RETURN_DELAY_RANGE;
        let turn_time = self.waits.recent_turn().unwrap_or(DEFAULT_TURN_TIME);
        let queued_batches = (self.load.batches - 1.0).max(0.0);
        let drained = turn_time.mul_f64(queued_batches).min(longest);
        let window = RETURN_SPREAD.mul_f64(f64::from(1 + refusals) / self.level.share());
        let latest = (drained + window).min(longest);
        let latest = slack.map_or(latest, |slack| latest.min(slack / SLACK_DIVISOR));
        let earliest = drained.min(latest / 2);
        (earliest + (latest - earliest).mul_f64(spread)).max(shortest)
    }

    /// Whether a request that a server has refused may be sent to another one. Turns of programs that
    /// have begun are always sent again, but use up the budget, so that first turns get what is left.
    /// While enough slots are free to admit everything, retries add to no queue and are not limited.
    pub fn may_retry(&self, has_begun: bool) -> bool {
        let has_free_slots = self.load.free_share >= FREE_SLOTS_ADMIT_ALL;
        !self.level.is_overloaded()
            || has_free_slots
            || self.retries.try_acquire(RETRY_PERCENT)
            || has_begun
    }

    /// The number of teams and programs in memory.
    pub fn remembered(&self) -> usize {
        self.demand.team_count() + self.refused.len() + self.begun.len()
    }
}
