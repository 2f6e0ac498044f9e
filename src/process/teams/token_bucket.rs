//! A token bucket that is refilled at a constant rate.

use std::time::Duration;

use crate::process::boot_clock::BootTime;

/// Longest time that is told to a denied request; also keeps times of tiny rates representable.
pub(super) const MAX_RETRY: Duration = Duration::from_secs(600);

/// A token bucket. Its rate and capacity are arguments of the calls, because they change with the
/// configuration.
#[derive(Clone, Debug)]
pub(super) struct TokenBucket {
    /// Tokens; negative while tokens are promised to requests that wait for them.
    pub(super) level: f64,
    pub(super) refilled_at: BootTime,
}

impl TokenBucket {
    pub(super) fn refill(&mut self, rate_per_s: f64, capacity: f64, now: BootTime) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.level = (self.level + rate_per_s * elapsed.as_secs_f64()).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Time until one token is there.
    pub(super) fn wait(&self, rate_per_s: f64) -> Duration {
        seconds((1.0 - self.level) / rate_per_s)
    }
}

/// A duration of up to [`MAX_RETRY`]; negative seconds give zero.
pub(super) fn seconds(value: f64) -> Duration {
    let value = value.clamp(0.0, MAX_RETRY.as_secs_f64());
    Duration::try_from_secs_f64(value).unwrap_or(MAX_RETRY)
}
