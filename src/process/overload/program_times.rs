//! The time that programs need, learned as a part of the time that their callers give them.
//!
//! Callers derive the deadline of a program from its length, so the part varies less than the time
//! itself.

use std::time::{Duration, Instant};

use super::recent::Recent;

/// Time without a turn after which a program counts as ended. A longer tool call makes the learned
/// time too short, so that less is refused.
const ENDED_AFTER: Duration = Duration::from_secs(5);
/// Half of the most programs that are observed at once.
const MAX_OBSERVED: usize = 1_024;
/// The quantile that is learned. Most programs need longer, so only those are refused that most
/// likely cannot end in time.
const QUANTILE: f64 = 0.25;
/// Step of the learned part with each program.
const QUANTILE_STEP: f64 = 0.02;
/// Largest learned part. If programs need more than the time that they have even on idle servers,
/// the deadline says nothing of them.
const MAX_PART: f64 = 0.9;

#[derive(Clone, Copy, Debug)]
struct ObservedProgram {
    time_left: Duration,
    began_at: Instant,
    last_end: Option<Instant>,
    was_overloaded: bool,
}

/// Learns the time that the programs of a service need.
#[derive(Debug)]
pub struct ProgramTimes {
    observed: Recent<ObservedProgram>,
    learned_part: Option<f64>,
}

impl ProgramTimes {
    /// Makes times of which nothing is learned.
    pub fn new(now: Instant) -> Self {
        Self {
            observed: Recent::new(ENDED_AFTER, MAX_OBSERVED, now),
            learned_part: None,
        }
    }

    /// Observes a program whose first turn is admitted.
    pub fn begin(&mut self, program: u64, time_left: Option<Duration>, now: Instant) {
        let Some(time_left) = time_left.filter(|left| !left.is_zero()) else {
            return;
        };
        let observed = ObservedProgram {
            time_left,
            began_at: now,
            last_end: None,
            was_overloaded: false,
        };
        let ended = self.observed.set(program, observed, now);
        for program in ended.into_values() {
            self.learn(&program);
        }
    }

    /// Records the end of a turn. Programs that ran during an overload are not learned from.
    pub fn extend(&mut self, program: u64, is_overloaded: bool, now: Instant) {
        let Some(mut observed) = self.observed.get(program) else {
            return;
        };
        observed.last_end = Some(now);
        observed.was_overloaded |= is_overloaded;
        for ended in self.observed.set(program, observed, now).into_values() {
            self.learn(&ended);
        }
    }

    fn learn(&mut self, program: &ObservedProgram) {
        let Some(end) = program.last_end.filter(|_| !program.was_overloaded) else {
            return;
        };
        let needed = end.saturating_duration_since(program.began_at);
        let part = (needed.as_secs_f64() / program.time_left.as_secs_f64()).min(MAX_PART);
        let learned = self.learned_part.unwrap_or(part);
        let step = match part < learned {
            true => QUANTILE - 1.0,
            false => QUANTILE,
        };
        self.learned_part = Some((learned + step * QUANTILE_STEP).clamp(0.0, MAX_PART));
    }

    /// The time that a program needs that had `first_time_left` when it first came, on servers that
    /// take `slowdown` times their usual time; `None` before anything is learned.
    pub fn needed(&self, first_time_left: Duration, slowdown: f64) -> Option<Duration> {
        let part = self.learned_part?;
        Some(first_time_left.mul_f64(part * slowdown))
    }
}
