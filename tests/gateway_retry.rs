//! Decisions after failed attempts and retry delays of refused callers, tested without a network.

use std::time::Duration;

use sapphireford::error::ErrorKind;
use sapphireford::request::gateway::refusal::retry_delay;
use sapphireford::request::gateway::retry::{
    AttemptCounts, AttemptFailure, RetryDecision, response_head_timeout,
};
use sapphireford_platform::operator::RouteKind;
use yare::parameterized;

/// Guards against a second execution: a request that may have run must be retried only if its route
/// allows it to run twice.
#[parameterized(
    unsent_booking = { RouteKind::NonIdempotent, AttemptFailure::NotSent, RetryDecision::RetryElsewhere },
    refused_booking = { RouteKind::NonIdempotent, AttemptFailure::NotExecuted, RetryDecision::RetryElsewhere },
    booking_in_doubt = { RouteKind::NonIdempotent, AttemptFailure::InDoubt, RetryDecision::FailInDoubt },
    stream_in_doubt = { RouteKind::Stream, AttemptFailure::InDoubt, RetryDecision::FailInDoubt },
    resumable_stream_in_doubt = { RouteKind::ResumableStream, AttemptFailure::InDoubt, RetryDecision::RetryElsewhere },
    idempotent_request_in_doubt = { RouteKind::Idempotent, AttemptFailure::InDoubt, RetryDecision::RetryElsewhere },
)]
fn requests_in_doubt_are_retried_only_if_repeatable(
    kind: RouteKind,
    failure: AttemptFailure,
    expected: RetryDecision,
) {
    assert_eq!(
        AttemptCounts::default().record_failed_attempt(failure, kind, 2),
        expected
    );
}

/// Guards against more attempts than the operator allows; an attempt that was never sent does not
/// count.
#[test]
fn attempts_beyond_the_limit_are_not_made() {
    let mut attempts = AttemptCounts::default();
    let decision =
        attempts.record_failed_attempt(AttemptFailure::NotExecuted, RouteKind::Idempotent, 1);
    assert_eq!(decision, RetryDecision::FailNotExecuted);
    let mut attempts = AttemptCounts::default();
    attempts.record_failed_attempt(AttemptFailure::NotSent, RouteKind::Idempotent, 1);
    assert_eq!(attempts.sent, 0);
}

/// Guards against reporting that a request did not run although an earlier attempt may have run.
#[test]
fn request_in_doubt_is_never_reported_as_not_executed() {
    let mut attempts = AttemptCounts::default();
    attempts.record_failed_attempt(AttemptFailure::InDoubt, RouteKind::Idempotent, 2);
    let decision =
        attempts.record_failed_attempt(AttemptFailure::NotExecuted, RouteKind::Idempotent, 2);
    assert_eq!(decision, RetryDecision::FailInDoubt);
    assert_eq!(attempts.final_failure(), RetryDecision::FailInDoubt);
}

/// Guards against peers that together send a request to more servers than its route allows.
#[test]
fn a_request_is_given_to_peers_with_no_more_attempts_than_are_left() {
    for max_attempts in 1..5 {
        let mut attempts = AttemptCounts::default();
        let mut given = 0;
        loop {
            let count = attempts.left_to_peer(RouteKind::Idempotent, max_attempts);
            given += count;
            let decision = attempts.record_failed_peer(count, RouteKind::Idempotent, max_attempts);
            if decision != RetryDecision::RetryElsewhere {
                break;
            }
        }
        assert_eq!(given, max_attempts);
    }
}

/// Guards against a repeatable request that waits for one silent server until its deadline, and
/// against other requests that are abandoned early.
#[test]
fn only_repeatable_requests_get_a_shortened_response_timeout() {
    let time_left = Duration::from_millis(1_200);
    assert_eq!(
        response_head_timeout(RouteKind::Idempotent, 1, 2, time_left),
        time_left / 3
    );
    assert_eq!(
        response_head_timeout(RouteKind::Idempotent, 1, 1, time_left),
        time_left
    );
    assert_eq!(
        response_head_timeout(RouteKind::NonIdempotent, 1, 2, time_left),
        time_left
    );
}

/// Guards against callers that retry before the store can have recovered, or all at the same
/// moment.
#[test]
fn retry_delay_grows_with_the_store_outage_and_is_bounded() {
    let kind = ErrorKind::PlatformUnavailable;
    let delay = |outage_ms, spread| {
        retry_delay(kind, Some(Duration::from_millis(outage_ms)), spread).expect("a delay")
    };
    assert!(delay(1_500, 0.0) > delay(300, 0.0));
    assert!(delay(60_000, 1.0) <= Duration::from_secs(3));
    assert!(delay(1_000, 1.0) > delay(1_000, 0.0));
}

/// Guards against a retry delay in the response to a request that may have run: a caller could
/// repeat it.
#[test]
fn requests_that_may_have_run_get_no_retry_delay() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let may_have_run = answer.ran != sapphireford::error::Ran::No;
        if may_have_run {
            assert_eq!(retry_delay(*kind, None, 0.5), None, "{kind:?}");
        }
    }
}
