//! What follows an attempt at a backend server that did not succeed.

use std::time::Duration;

use sapphireford_platform::operator::RouteKind;

/// What is known of an attempt that did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The server did not receive the request.
    NotSent,
    /// The server states that it did not run the request.
    NotExecuted,
    /// The server may have run the request.
    InDoubt,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another server.
    RetryElsewhere,
    /// Give up; no server has run the request.
    FailNotExecuted,
    /// Give up; a server may have run the request.
    FailInDoubt,
}

/// Attempts that did not reach their server, after which the request is given up. They do not count
/// towards the servers that a request may be sent to.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// The attempts of a request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Servers that the request was sent to.
    pub sent: u32,
    /// Attempts that did not reach their server.
    pub unsent: u32,
    /// Whether a server may have run the request.
    pub may_have_run: bool,
}

impl AttemptCounts {
    /// Takes a failed attempt into account and says what follows.
    pub fn record_failed_attempt(
        &mut self,
        failure: AttemptFailure,
        kind: RouteKind,
        max_attempts: u32,
    ) -> RetryDecision {
        match failure {
            AttemptFailure::NotSent => self.unsent += 1,
            AttemptFailure::NotExecuted => self.sent += 1,
            AttemptFailure::InDoubt => {
                self.sent += 1;
                self.may_have_run = true;
            }
        }
        let may_retry = !self.may_have_run || is_retryable(kind);
        let has_attempts_left = self.sent < max_attempts && self.unsent < MAX_UNSENT_ATTEMPTS;
        if may_retry && has_attempts_left {
            RetryDecision::RetryElsewhere
        } else {
            self.final_failure()
        }
    }

    /// How a request ends that no server can be found for.
    pub fn final_failure(&self) -> RetryDecision {
        if self.may_have_run {
            RetryDecision::FailInDoubt
        } else {
            RetryDecision::FailNotExecuted
        }
    }
}

/// Whether a request may be sent again although a server may have run it.
pub fn is_retryable(kind: RouteKind) -> bool {
    matches!(kind, RouteKind::Idempotent | RouteKind::ResumableStream)
}

/// Part of the time left that a repeatable request waits for its first server.
const RETRYABLE_ATTEMPT_DIVISOR: u32 = 3;
/// Shortest time for the first attempt; servers under load answer within it.
const MIN_RETRYABLE_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long to wait for the head of a server's answer.
///
/// A request that cannot be repeated gains nothing by giving up early. One that can keeps enough
/// time for another server.
pub fn response_head_timeout(
    kind: RouteKind,
    attempts: &AttemptCounts,
    max_attempts: u32,
    time_left: Duration,
) -> Duration {
    let is_last_attempt = attempts.sent + 1 >= max_attempts;
    if !is_retryable(kind) || is_last_attempt {
        return time_left;
    }
    (time_left / RETRYABLE_ATTEMPT_DIVISOR)
        .max(MIN_RETRYABLE_ATTEMPT_TIMEOUT)
        .min(time_left)
}
