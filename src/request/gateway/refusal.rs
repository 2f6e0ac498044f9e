//! Responses to requests that fail in the gateway, with the delay after which callers may retry.

use std::time::Duration;

use hyper::Response;
use hyper::header::RETRY_AFTER;
use rand::Rng;
use sapphireford_platform::headers;

use crate::connection::body::Body;
use crate::connection::http_server::error_response;
use crate::error::{Error, ErrorKind, Ran};

/// Minimum and maximum retry delay during an outage of the store. With a longer maximum, callers
/// would still be waiting after the store has recovered.
const OUTAGE_RETRY_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(1_000), Duration::from_secs(2));

/// The retry delay for callers, before jitter.
///
/// During an outage the delay follows the age of the outage, because one that has lasted for a
/// while is likely to last as long again.
fn base_retry_delay(kind: ErrorKind, outage_age: Option<Duration>) -> Duration {
    match kind {
        // Another gateway or server can accept the request immediately.
        ErrorKind::Leaving | ErrorKind::NotReady => Duration::from_millis(50),
        // Capacity becomes free within the duration of a typical request.
        ErrorKind::Overloaded => Duration::from_millis(100),
        // A server registers or recovers within a few heartbeats.
        ErrorKind::NoBackendServer | ErrorKind::QueueTimeout => Duration::from_millis(300),
        _ => {
            let (shortest, longest) = OUTAGE_RETRY_DELAY_RANGE;
            outage_age.unwrap_or_default().clamp(shortest, longest)
        }
    }
}

/// The delay after which a caller should retry; `None` if a retry cannot succeed or the request may
/// have run.
///
/// `outage_age` is how long the store has been unavailable. `jitter`, between 0 and 1, lengthens
/// the delay by up to half, so that callers refused together do not retry together.
pub fn retry_delay(kind: ErrorKind, outage_age: Option<Duration>, jitter: f64) -> Option<Duration> {
    let answer = kind.answer();
    let may_retry = answer.retry_after.is_some() && answer.ran == Ran::No;
    may_retry.then(|| base_retry_delay(kind, outage_age).mul_f64(1.0 + jitter / 2.0))
}

/// The response to a request that failed with `error`. It has a `Retry-After` header only if the
/// error or [`retry_delay`] gives a delay.
pub fn refusal_response(error: &Error, outage_age: Option<Duration>) -> Response<Body> {
    let mut response = error_response(error);
    let delay = error
        .retry_after
        .or_else(|| retry_delay(error.kind, outage_age, rand::rng().random()));
    match delay {
        Some(delay) => {
            let value = headers::retry_after(delay);
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        None => {
            response.headers_mut().remove(RETRY_AFTER);
        }
    }
    response
}
