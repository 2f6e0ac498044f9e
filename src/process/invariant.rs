//! Checks of the invariants that the design promises, made while the program runs.
//!
//! The checks are always compiled in. A violation is counted and logged; where the settings ask for
//! it, as tests do, it also ends the process, so that a randomised run stops at the fault.

use std::sync::atomic::{AtomicBool, Ordering};

use crate::process::metrics::INVARIANT_VIOLATIONS;

static ABORT_ON_VIOLATION: AtomicBool = AtomicBool::new(false);

/// Makes every violation end the process.
pub fn abort_on_violation() {
    ABORT_ON_VIOLATION.store(true, Ordering::Relaxed);
}

/// Records a violation of the invariant with this name.
pub fn violated(invariant: &'static str, detail: &str) {
    metrics::counter!(INVARIANT_VIOLATIONS, "invariant" => invariant).increment(1);
    log::error!(invariant; "invariant violated: {detail}");
    if ABORT_ON_VIOLATION.load(Ordering::Relaxed) {
        log::logger().flush();
        std::process::abort();
    }
}

/// Records a violation unless `holds`.
pub fn check(invariant: &'static str, holds: bool, detail: impl FnOnce() -> String) {
    if !holds {
        violated(invariant, &detail());
    }
}
