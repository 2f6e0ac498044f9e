//! The weight store, with a rate limit on reads.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::RETRY_AFTER;
use hyper::{Response, StatusCode};
use sapphireford::connection::body::Body;

use crate::response;

/// Weights that are the same for every model, and the time from which the next read is permitted.
pub struct Weights {
    bytes: Bytes,
    /// Minimum time between two reads; zero for no limit.
    interval: Duration,
    /// `None` before the first read.
    next_read_at: Option<Instant>,
}

impl Weights {
    /// Creates weights of `size_bytes` that may be read `per_second` times per second; 0 for no
    /// limit.
    pub fn new(size_bytes: usize, per_second: f64) -> Self {
        let interval = Duration::try_from_secs_f64(1.0 / per_second).unwrap_or_default();
        Self {
            bytes: Bytes::from(vec![0; size_bytes]),
            interval,
            next_read_at: None,
        }
    }

    /// Returns the weights, or the time until the next permitted read as the error.
    pub fn read(&mut self, now: Instant) -> Result<Bytes, Duration> {
        if let Some(next_read_at) = self.next_read_at
            && now < next_read_at
        {
            return Err(next_read_at - now);
        }
        self.next_read_at = Some(now + self.interval);
        Ok(self.bytes.clone())
    }
}

/// Returns a 429 response whose `Retry-After` is `wait`, rounded up to whole seconds and at least
/// 1.
pub fn too_many_reads(wait: Duration) -> Response<Body> {
    let mut response = response::error(
        StatusCode::TOO_MANY_REQUESTS,
        "rate limit of weight reads exceeded",
    );
    let seconds = wait.as_millis().div_ceil(1000).max(1) as u64;
    response.headers_mut().insert(RETRY_AFTER, seconds.into());
    response
}
