//! Decides what to do after a failed attempt at a backend server.
//!
//! The decision depends on whether a server may have run the request: if so, only requests that may
//! run twice are sent again.

use std::time::Duration;

use sapphireford_platform::operator::RouteKind;

/// What is known of a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The server did not receive the request.
    NotSent,
    /// The server received the request and states that it did not run it.
    NotExecuted,
    /// The server may have run the request.
    InDoubt,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another server.
    RetryElsewhere,
    /// Fail the request; no server has run it.
    FailNotExecuted,
    /// Fail the request; a server may have run it.
    FailInDoubt,
}

/// Number of attempts that did not reach their server after which the request fails. They do not
/// count towards `max_attempts`, the number of servers that a request may be sent to.
const MAX_UNSENT_ATTEMPTS: u32 = 4;

/// Counts of the failed attempts of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Failed attempts that reached their server; limited by `max_attempts` of the route.
    pub sent: u32,
    /// Attempts that did not reach their server; limited separately.
    pub unsent: u32,
    /// Whether any attempt so far may have run the request.
    pub may_have_run: bool,
}

impl AttemptCounts {
    /// Number of servers that the request may still be sent to.
    pub fn left(&self, max_attempts: u32) -> u32 {
        max_attempts.saturating_sub(self.sent)
    }

    /// Counts a failed attempt and decides whether the request is retried.
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
        let has_attempts_left = self.left(max_attempts) > 0 && self.unsent < MAX_UNSENT_ATTEMPTS;
        if may_retry && has_attempts_left {
            RetryDecision::RetryElsewhere
        } else {
            self.final_failure()
        }
    }

    /// Number of servers that a peer may send the request to. Of an idempotent request, one is kept
    /// for another peer in case that the first one fails. A stream needs them all at its peer, which
    /// alone can resume it at another server.
    pub fn left_to_peer(&self, kind: RouteKind, max_attempts: u32) -> u32 {
        let left = self.left(max_attempts);
        match kind {
            RouteKind::Idempotent if left > 1 => left - 1,
            _ => left,
        }
    }

    /// Counts a failure of a peer that may have sent the request to up to `attempts` servers, and
    /// decides whether the request is retried.
    pub fn record_failed_peer(
        &mut self,
        attempts: u32,
        kind: RouteKind,
        max_attempts: u32,
    ) -> RetryDecision {
        self.sent += attempts.saturating_sub(1);
        self.record_failed_attempt(AttemptFailure::InDoubt, kind, max_attempts)
    }

    /// How the request fails if it is not retried.
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

/// A retryable request waits for a response for the remaining time divided by this, so that time is
/// left for another server.
const RETRYABLE_ATTEMPT_DIVISOR: u32 = 3;
/// Minimum timeout of an attempt that can be retried; servers under load respond within it.
const MIN_RETRYABLE_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(250);

/// The timeout for the head of a response from a server, or from a peer that may send the request to
/// several ones: `attempts` of the `attempts_left`.
///
/// A request that cannot be retried gains nothing from an early timeout and gets all the time that
/// is left. A retryable one keeps enough time for another server, except in its last attempt.
pub fn response_head_timeout(
    kind: RouteKind,
    attempts: u32,
    attempts_left: u32,
    time_left: Duration,
) -> Duration {
    if !is_retryable(kind) || attempts >= attempts_left {
        return time_left;
    }
    (time_left / RETRYABLE_ATTEMPT_DIVISOR)
        .max(MIN_RETRYABLE_ATTEMPT_TIMEOUT)
        .min(time_left)
}
