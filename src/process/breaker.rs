//! A circuit breaker: keeps calls away from a backend server that fails, and returns to it slowly.
//!
//! It opens after several failures in a row. When the pause is over, one call at a time is let
//! through. The first success starts a ramp, over which the number of calls grows to the full one,
//! because a server that has just restarted has an empty cache and is easily overloaded again.

use std::time::{Duration, Instant};

/// Failures in a row that open the breaker.
const FAILURE_LIMIT: u32 = 3;
/// The first pause. Each pause that ends in a failure doubles the next one.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);
/// Time from the first success to the full number of calls.
const RAMP_TIME: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
enum State {
    Closed { failures: u32 },
    Open { until: Instant },
    Ramp { since: Instant },
}

/// The circuit breaker of one backend server.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: State,
    /// The pause after the next opening.
    pause: Duration,
}

impl Default for Breaker {
    fn default() -> Self {
        Self {
            state: State::Closed { failures: 0 },
            pause: FIRST_PAUSE,
        }
    }
}

impl Breaker {
    /// The number of calls that may be in flight, out of `full`, which is at least 1.
    pub fn call_limit(&self, now: Instant, full: u32) -> u32 {
        match self.state {
            State::Closed { .. } => full,
            State::Open { until } if now < until => 0,
            State::Open { .. } => 1,
            State::Ramp { since } => {
                let elapsed = now.saturating_duration_since(since).as_millis();
                let share = u128::from(full) * elapsed / RAMP_TIME.as_millis();
                u32::try_from(share).unwrap_or(full).clamp(1, full)
            }
        }
    }

    /// Whether a call may be sent while `in_flight` others are in progress.
    pub fn allows(&self, now: Instant, full: u32, in_flight: u32) -> bool {
        in_flight < self.call_limit(now, full)
    }

    /// Whether the number of calls is not limited.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Records that the server answered.
    pub fn succeeded(&mut self, now: Instant) {
        match self.state {
            State::Closed { .. } => self.state = State::Closed { failures: 0 },
            // A late success of a call from before the opening says nothing about now.
            State::Open { until } if now < until => {}
            State::Open { .. } => self.state = State::Ramp { since: now },
            State::Ramp { since } => {
                if now.saturating_duration_since(since) >= RAMP_TIME {
                    *self = Self::default();
                }
            }
        }
    }

    /// Records that the server failed.
    pub fn failed(&mut self, now: Instant) {
        match self.state {
            State::Closed { failures } if failures + 1 < FAILURE_LIMIT => {
                self.state = State::Closed {
                    failures: failures + 1,
                };
            }
            // Several calls in flight fail together; only the first of them opens the breaker.
            State::Open { until } if now < until => {}
            _ => self.open(now),
        }
    }

    /// Ends the pause, because the server is known to be up again.
    pub fn end_pause(&mut self, now: Instant) {
        if let State::Open { until } = self.state {
            self.state = State::Open {
                until: until.min(now),
            };
        }
    }

    /// Opens the breaker at once.
    pub fn open(&mut self, now: Instant) {
        self.state = State::Open {
            until: now + self.pause,
        };
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}
