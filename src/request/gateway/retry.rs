//! What follows an attempt at a backend server that did not succeed.

use std::time::Duration;

use sapphireford_platform::operator::RouteKind;

/// What is known of an attempt that did not succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The server did not receive the request.
    NotSent,
    /// The server states that it did not run the request.
    NotExecuted,
    /// The server may have run the request.
    InDoubt,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send the request to another server.
    TryAnother,
    /// Give up; no server has run the request.
    RefuseNotRun,
    /// Give up; a server may have run the request.
    FailInDoubt,
}

/// Attempts that did not reach their server, after which the request is given up. They do not count
/// towards the servers that a request may be sent to.
const UNSENT_ATTEMPTS: u32 = 4;

/// The attempts of a request so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Servers that the request was sent to.
    pub sent: u32,
    /// Attempts that did not reach their server.
    pub unsent: u32,
    /// Whether a server may have run the request.
    pub may_have_run: bool,
}

impl Attempts {
    /// Takes a failed attempt into account and says what follows.
    pub fn after(&mut self, failure: Failure, kind: RouteKind, max_attempts: u32) -> Next {
        match failure {
            Failure::NotSent => self.unsent += 1,
            Failure::NotExecuted => self.sent += 1,
            Failure::InDoubt => {
                self.sent += 1;
                self.may_have_run = true;
            }
        }
        let may_repeat = !self.may_have_run || is_repeatable(kind);
        let has_attempts = self.sent < max_attempts && self.unsent < UNSENT_ATTEMPTS;
        if may_repeat && has_attempts {
            Next::TryAnother
        } else {
            self.give_up()
        }
    }

    /// How a request ends that no server can be found for.
    pub fn give_up(&self) -> Next {
        if self.may_have_run {
            Next::FailInDoubt
        } else {
            Next::RefuseNotRun
        }
    }
}

/// Whether a request may be sent again although a server may have run it.
pub fn is_repeatable(kind: RouteKind) -> bool {
    matches!(kind, RouteKind::Idempotent | RouteKind::ResumableStream)
}

/// Part of the time left that a repeatable request waits for its first server.
const FIRST_ATTEMPT_DIVISOR: u32 = 3;
/// Shortest time for the first attempt; servers under load answer within it.
const FIRST_ATTEMPT_MIN: Duration = Duration::from_millis(250);

/// How long to wait for the head of a server's answer.
///
/// A request that cannot be repeated gains nothing by giving up early. One that can keeps enough
/// time for another server.
pub fn head_time(
    kind: RouteKind,
    attempts: &Attempts,
    max_attempts: u32,
    left: Duration,
) -> Duration {
    let is_last = attempts.sent + 1 >= max_attempts;
    if !is_repeatable(kind) || is_last {
        return left;
    }
    (left / FIRST_ATTEMPT_DIVISOR)
        .max(FIRST_ATTEMPT_MIN)
        .min(left)
}
