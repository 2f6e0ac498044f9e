//! The weight store with its rate limit.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};
use sapphireford::connection::body::Body;

use crate::answer;

/// The weights of every model, and the time of the next permitted read.
pub struct Weights {
    bytes: Bytes,
    /// Time between two reads; zero for no limit.
    interval: Duration,
    next: Option<Instant>,
}

impl Weights {
    /// Weights of `size_bytes` that may be read `per_second` times a second; 0 for no limit.
    pub fn new(size_bytes: usize, per_second: f64) -> Self {
        let interval = Duration::try_from_secs_f64(1.0 / per_second).unwrap_or_default();
        Self {
            bytes: Bytes::from(vec![0; size_bytes]),
            interval,
            next: None,
        }
    }

    /// Reads the weights; the error is the time to wait.
    pub fn take(&mut self, now: Instant) -> Result<Bytes, Duration> {
        if let Some(next) = self.next
            && now < next
        {
            return Err(next - now);
        }
        self.next = Some(now + self.interval);
        Ok(self.bytes.clone())
    }
}

/// The answer to a read above the rate limit.
pub fn refusal(wait: Duration) -> Response<Body> {
    let mut response = answer::refused(StatusCode::TOO_MANY_REQUESTS, "too many reads");
    let seconds = wait.as_millis().div_ceil(1000).max(1) as u64;
    response.headers_mut().insert(RETRY_AFTER, seconds.into());
    response
}
