//! A circuit breaker: stops calls to a backend server that fails, and resumes them gradually.
//!
//! It opens after several consecutive failures. When the backoff has elapsed, one call at a time is
//! allowed (half-open). The first success starts a ramp-up, during which the limit of calls in
//! flight grows linearly to the configured one, because a server that has just restarted has an
//! empty cache and is easily overloaded again.

use std::time::{Duration, Instant};

/// Consecutive failures that open the breaker.
const FAILURE_THRESHOLD: u32 = 3;
/// The first backoff. Each time the breaker opens, the next backoff doubles, until a ramp-up is
/// complete.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Time from the first success until calls are not limited any more.
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
    /// The backoff that the next opening starts.
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
    /// The limit of calls in flight. `max_calls`, at least 1, is the limit of a closed breaker.
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

    /// Whether another call may be sent while `in_flight` calls are in flight.
    pub fn allows(&self, now: Instant, max_calls: u32, in_flight: u32) -> bool {
        in_flight < self.call_limit(now, max_calls)
    }

    /// Whether calls are not limited by the breaker.
    pub fn is_closed(&self) -> bool {
        matches!(self.state, State::Closed { .. })
    }

    /// Records a successful call.
    pub fn record_success(&mut self, now: Instant) {
        match self.state {
            State::Closed { .. } => self.state = State::Closed { failures: 0 },
            // This call was sent before the breaker opened, so its success does not show that the
            // server has recovered.
            State::Open { until } if now < until => {}
            State::Open { .. } => self.state = State::RampUp { since: now },
            State::RampUp { since } => {
                if now.saturating_duration_since(since) >= RAMP_DURATION {
                    *self = Self::default();
                }
            }
        }
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, now: Instant) {
        match self.state {
            State::Closed { failures } if failures + 1 < FAILURE_THRESHOLD => {
                self.state = State::Closed {
                    failures: failures + 1,
                };
            }
            // Calls in flight often fail together; only the first failure opens the breaker, so
            // that the backoff doubles once.
            State::Open { until } if now < until => {}
            _ => self.open(now),
        }
    }

    /// Ends the backoff early, because the server is known to be up again. The next call is a probe
    /// as after any backoff.
    pub fn end_backoff(&mut self, now: Instant) {
        if let State::Open { until } = self.state {
            self.state = State::Open {
                until: until.min(now),
            };
        }
    }

    /// Opens the breaker regardless of its state and doubles the next backoff.
    pub fn open(&mut self, now: Instant) {
        self.state = State::Open {
            until: now + self.backoff,
        };
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }
}
