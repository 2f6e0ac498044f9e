//! The bound on the volume of the log.

use std::time::{Duration, Instant};

use sapphireford::process::logging::bounded::{LineBudget, LineVerdict};

/// Guards against a log that grows with the load, and against drops that nobody is told of.
#[test]
fn lines_beyond_the_budget_are_dropped_and_reported() {
    let mut budget = LineBudget::new(2);
    let now = Instant::now();
    assert_eq!(budget.admit(now), LineVerdict::Write);
    assert_eq!(budget.admit(now), LineVerdict::Write);
    for _ in 0..5 {
        assert_eq!(budget.admit(now), LineVerdict::Drop);
    }
    let later = now + Duration::from_secs(1);
    assert_eq!(budget.admit(later), LineVerdict::WriteAfterDropped(5));
    assert_eq!(budget.admit(later), LineVerdict::Write);
    assert_eq!(budget.admit(later), LineVerdict::Drop);
}
