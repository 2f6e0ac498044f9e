//! A circuit breaker: keeps calls away from a backend server that fails, and returns to it slowly.
//!
//! It opens after several failures in a row. When the pause is over, one call at a time is let
//! through. The first success starts a ramp, over which the number of calls grows to the full one,
//! because a server that has just restarted has an empty cache and is easily overloaded again.

use std::time::{Duration, Instant};

/// Failures in a row that open the breaker.
const FAILURE_THRESHOLD: u32 = 3;
/// The first pause. Each pause that ends in a failure doubles the next one.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// The longest pause.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Time from the first success to the full number of calls.
const RAMP_DURATION: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
enum State {
    Closed { failures: u32 },
    Open { until: Instant },
    RampUp { since: Instant },
}

/// The circuit breaker of one backend server.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    state: State,
    /// The pause after the next opening.
    backoff: Duration,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self {
            state: State::Closed { failures: 0 },
            backoff: INITIAL_BACKOFF,
        }
    }
}

impl CircuitBreaker {
    /// The number of calls that may be in flight, out of `full`, which is at least 1.
    pub fn call_limit(&self, now: Instant, max_calls: u32) -> u32 {
        match self.state {
            State::Closed { .. } => max_calls,
            State::Open { until } if now < until => 0,
            State::Open { .. } => 1,
            State::RampUp { since } => {
                let elapsed = now.saturating_duration_since(since).as_millis();
                let share = u128::from(max_calls) * elapsed / RAMP_DURATION.as_millis();
                u32::try_from(share)
                    .unwrap_or(max_calls)
                    .clamp(1, max_calls)
            }
        }
    }

    /// Whether a call may be sent while `in_flight` others are in progress.
    pub fn allows(&self, now: Instant, max_calls: u32, in_flight: u32) -> bool {
        in_flight < self.call_limit(now, max_calls)
    }

    /// Whether the number of calls is not limited.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Records that the server answered.
    pub fn record_success(&mut self, now: Instant) {
        match self.state {
            State::Closed { .. } => self.state = State::Closed { failures: 0 },
            // A late success of a call from before the opening says nothing about now.
            State::Open { until } if now < until => {}
            State::Open { .. } => self.state = State::RampUp { since: now },
            State::RampUp { since } => {
                if now.saturating_duration_since(since) >= RAMP_DURATION {
                    *self = Self::default();
                }
            }
        }
    }

    /// Records that the server failed.
    pub fn record_failure(&mut self, now: Instant) {
        match self.state {
            State::Closed { failures } if failures + 1 < FAILURE_THRESHOLD => {
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
    pub fn end_backoff(&mut self, now: Instant) {
        if let State::Open { until } = self.state {
            self.state = State::Open {
                until: until.min(now),
            };
        }
    }

    /// Opens the breaker at once.
    pub fn open(&mut self, now: Instant) {
        self.state = State::Open {
            until: now + self.backoff,
        };
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
