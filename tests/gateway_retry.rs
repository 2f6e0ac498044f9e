//! What follows failed attempts, and when refused callers come back, without a network.

use std::time::Duration;

use sapphireford::error::ErrorKind;
use sapphireford::request::gateway::refusal::retry_delay;
use sapphireford::request::gateway::retry::{
    AttemptCounts, AttemptFailure, RetryDecision, response_head_timeout,
};
use sapphireford_platform::operator::RouteKind;
use yare::parameterized;

#[parameterized(
    unsent_booking = { RouteKind::NonIdempotent, AttemptFailure::NotSent, RetryDecision::RetryElsewhere },
    refused_booking = { RouteKind::NonIdempotent, AttemptFailure::NotExecuted, RetryDecision::RetryElsewhere },
    doubtful_booking = { RouteKind::NonIdempotent, AttemptFailure::InDoubt, RetryDecision::FailInDoubt },
    doubtful_stream = { RouteKind::Stream, AttemptFailure::InDoubt, RetryDecision::FailInDoubt },
    doubtful_resumable_stream = { RouteKind::ResumableStream, AttemptFailure::InDoubt, RetryDecision::RetryElsewhere },
    doubtful_check = { RouteKind::Idempotent, AttemptFailure::InDoubt, RetryDecision::RetryElsewhere },
)]
fn only_what_may_run_twice_is_sent_again_in_doubt(
    kind: RouteKind,
    failure: AttemptFailure,
    next: RetryDecision,
) {
    assert_eq!(
        AttemptCounts::default().record_failed_attempt(failure, kind, 2),
        next
    );
}

/// Guards against more servers than the operator allows for an attempt.
#[test]
fn servers_beyond_the_limit_get_no_attempt() {
    let mut attempts = AttemptCounts::default();
    let next =
        attempts.record_failed_attempt(AttemptFailure::NotExecuted, RouteKind::Idempotent, 1);
    assert_eq!(next, RetryDecision::FailNotExecuted);
    let mut attempts = AttemptCounts::default();
    attempts.record_failed_attempt(AttemptFailure::NotSent, RouteKind::Idempotent, 1);
    assert_eq!(attempts.sent, 0);
}

/// Guards against a promise that a request did not run although an earlier attempt may have.
#[test]
fn a_request_in_doubt_is_never_said_not_to_have_run() {
    let mut attempts = AttemptCounts::default();
    attempts.record_failed_attempt(AttemptFailure::InDoubt, RouteKind::Idempotent, 2);
    let next =
        attempts.record_failed_attempt(AttemptFailure::NotExecuted, RouteKind::Idempotent, 2);
    assert_eq!(next, RetryDecision::FailInDoubt);
    assert_eq!(attempts.final_failure(), RetryDecision::FailInDoubt);
}

/// Guards against a repeatable request that spends all its time on a silent server, and against
/// others that are given up early.
#[test]
fn only_repeatable_requests_leave_a_silent_server() {
    let left = Duration::from_millis(1_200);
    let none = AttemptCounts::default();
    assert_eq!(
        response_head_timeout(RouteKind::Idempotent, &none, 2, left),
        left / 3
    );
    assert_eq!(
        response_head_timeout(RouteKind::Idempotent, &none, 1, left),
        left
    );
    assert_eq!(
        response_head_timeout(RouteKind::NonIdempotent, &none, 2, left),
        left
    );
}

/// Guards against callers that come back before there is a chance, or all at once.
#[test]
fn callers_come_back_later_the_longer_the_store_is_away() {
    let kind = ErrorKind::PlatformUnavailable;
    let delay = |age_ms, spread| {
        retry_delay(kind, Some(Duration::from_millis(age_ms)), spread).expect("a delay")
    };
    assert!(delay(1_500, 0.0) > delay(300, 0.0));
    assert!(delay(60_000, 1.0) <= Duration::from_secs(3));
    assert!(delay(1_000, 1.0) > delay(1_000, 0.0));
}

/// Guards against callers that are told to come back although their request may have run.
#[test]
fn requests_that_may_have_run_have_no_time_to_come_back() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let may_have_run = answer.ran != sapphireford::error::Ran::No;
        if may_have_run {
            assert_eq!(retry_delay(*kind, None, 0.5), None, "{kind:?}");
        }
    }
}
