//! The bound on the volume of the log.

use std::time::{Duration, Instant};

use sapphireford::process::logging::bounded::{LineDecision, LineRateLimiter};

/// Guards against a log that grows with the load, and against drops that nobody is told of.
#[test]
fn lines_beyond_the_budget_are_dropped_and_reported() {
    let mut budget = LineRateLimiter::new(2);
    let now = Instant::now();
    assert_eq!(budget.admit(now), LineDecision::Write);
    assert_eq!(budget.admit(now), LineDecision::Write);
    for _ in 0..5 {
        assert_eq!(budget.admit(now), LineDecision::Drop);
    }
    let later = now + Duration::from_secs(1);
    assert_eq!(budget.admit(later), LineDecision::WriteAfterDropped(5));
    assert_eq!(budget.admit(later), LineDecision::Write);
    assert_eq!(budget.admit(later), LineDecision::Drop);
}
