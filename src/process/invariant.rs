//! Runtime checks of the invariants of the design.
//!
//! The checks are compiled into every build. A violation is counted and logged. If the settings ask
//! for it, as in tests, it also aborts the process, so that a randomised run stops at the fault.

use std::sync::atomic::{AtomicBool, Ordering};

use crate::process::metrics::INVARIANT_VIOLATIONS;

static ABORT_ON_VIOLATION: AtomicBool = AtomicBool::new(false);

/// Makes every later violation in this process abort it. There is no way to undo this.
pub fn abort_on_violation() {
    ABORT_ON_VIOLATION.store(true, Ordering::Relaxed);
}

/// Counts and logs a violation of the named invariant, and aborts the process if that is enabled.
pub fn violated(invariant: &'static str, detail: &str) {
    metrics::counter!(INVARIANT_VIOLATIONS, "invariant" => invariant).increment(1);
    log::error!(invariant; "invariant violated: {detail}");
    if ABORT_ON_VIOLATION.load(Ordering::Relaxed) {
        log::logger().flush();
        std::process::abort();
    }
}

/// Reports a violation unless `holds`; `detail` is evaluated only then.
pub fn check(invariant: &'static str, holds: bool, detail: impl FnOnce() -> String) {
    if !holds {
        violated(invariant, &detail());
    }
}
