//! The rate limit of log lines.

use std::time::{Duration, Instant};

use sapphireford::process::logging::bounded::{LineDecision, LineRateLimiter};

/// Guards against a log volume that grows with the load, and against dropped lines that are not
/// reported.
#[test]
fn lines_beyond_the_rate_limit_are_dropped_and_counted() {
    let mut limiter = LineRateLimiter::new(2);
    let now = Instant::now();
    assert_eq!(limiter.admit(now), LineDecision::Write);
    assert_eq!(limiter.admit(now), LineDecision::Write);
    for _ in 0..5 {
        assert_eq!(limiter.admit(now), LineDecision::Drop);
    }
    let later = now + Duration::from_secs(1);
    assert_eq!(limiter.admit(later), LineDecision::WriteAfterDropped(5));
    assert_eq!(limiter.admit(later), LineDecision::Write);
    assert_eq!(limiter.admit(later), LineDecision::Drop);
}
