//! The answers to requests that the system gives up on.

use std::time::Duration;

use hyper::Response;
use hyper::header::RETRY_AFTER;
use rand::Rng;
use sapphireford_platform::headers;

use crate::connection::body::Body;
use crate::connection::http_server::error_response;
use crate::error::{Error, ErrorKind, Ran};

/// Shortest and longest time after which callers come back during an outage of the store. A longer
/// one would keep callers away after the store has returned.
const OUTAGE_RETRY_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(1_000), Duration::from_secs(2));

/// Time after which a caller may come back, before it is spread.
///
/// An outage that has lasted for a while is likely to last as long again.
fn base_retry_delay(kind: ErrorKind, outage_age: Option<Duration>) -> Duration {
    match kind {
        // Another gateway or server can take the request at once.
        ErrorKind::Leaving | ErrorKind::NotReady => Duration::from_millis(50),
        // A place becomes free within the time of a typical request.
        ErrorKind::Overloaded => Duration::from_millis(100),
        // A server registers, or recovers, within a few heartbeats.
        ErrorKind::NoBackendServer | ErrorKind::QueueTimeout => Duration::from_millis(300),
        _ => {
            let (shortest, longest) = OUTAGE_RETRY_DELAY_RANGE;
            outage_age.unwrap_or_default().clamp(shortest, longest)
        }
    }
}

/// When a caller should come back; `None` if the request cannot succeed later or may have run.
///
/// `outage_age` is how long the store has not answered. `jitter` is between 0 and 1, so that callers
/// that are refused together do not come back together.
pub fn retry_delay(kind: ErrorKind, outage_age: Option<Duration>, jitter: f64) -> Option<Duration> {
    let answer = kind.answer();
    let may_retry = answer.retry_after.is_some() && answer.ran == Ran::No;
    may_retry.then(|| base_retry_delay(kind, outage_age).mul_f64(1.0 + jitter / 2.0))
}

/// The answer to a request that ended with an error.
pub fn refusal_response(error: &Error, outage_age: Option<Duration>) -> Response<Body> {
    let mut response = error_response(error);
    match retry_delay(error.kind, outage_age, rand::rng().random()) {
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
