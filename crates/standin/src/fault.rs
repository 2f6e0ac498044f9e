//! Failure injection shared by the tool service and the plain service.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use serde::Deserialize;

/// Body of `POST /control`. Absent fields leave the current setting unchanged.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultControl {
    /// Number of calls that are executed and never get a response.
    pub hang_next: Option<u64>,
    /// Number of calls that are not executed and never get a response.
    pub hang_before_next: Option<u64>,
    /// Number of calls that are not executed and get status 500.
    pub fail_next: Option<u64>,
    /// Number of calls that are executed and whose connection is then aborted without a response.
    pub drop_after_next: Option<u64>,
    /// Delay before each execution, in milliseconds.
    pub delay_ms: Option<u64>,
}

/// Injected failure of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call is executed and gets its response.
    None,
    /// The call is executed and never gets a response.
    HangAfterExecution,
    /// The call is not executed and never gets a response.
    HangBeforeExecution,
    /// The call is not executed and gets status 500.
    Fail,
    /// The call is executed and its connection is then aborted.
    DropAfterExecution,
}

/// Injected failures that have not yet occurred, and the execution delay.
#[derive(Default)]
pub struct FaultPlan {
    pending: RefCell<FaultControl>,
    delay: Cell<Duration>,
}

impl FaultPlan {
    /// Applies the fields that are present in `control`.
    pub fn apply(&self, control: FaultControl) {
        if let Some(delay_ms) = control.delay_ms {
            self.delay.set(Duration::from_millis(delay_ms));
        }
        let mut pending = self.pending.borrow_mut();
        pending.hang_next = control.hang_next.or(pending.hang_next);
        pending.hang_before_next = control.hang_before_next.or(pending.hang_before_next);
        pending.fail_next = control.fail_next.or(pending.fail_next);
        pending.drop_after_next = control.drop_after_next.or(pending.drop_after_next);
    }

    /// Returns the failure of the next call and removes it from the plan. Failures that prevent the
    /// execution come first.
    pub fn next_fault(&self) -> Fault {
        let mut pending = self.pending.borrow_mut();
        if consume_one(&mut pending.hang_before_next) {
            Fault::HangBeforeExecution
        } else if consume_one(&mut pending.fail_next) {
            Fault::Fail
        } else if consume_one(&mut pending.hang_next) {
            Fault::HangAfterExecution
        } else if consume_one(&mut pending.drop_after_next) {
            Fault::DropAfterExecution
        } else {
            Fault::None
        }
    }

    /// Returns the delay before each execution.
    pub fn delay(&self) -> Duration {
        self.delay.get()
    }
}

fn consume_one(counter: &mut Option<u64>) -> bool {
    match counter {
        Some(count) if *count > 0 => {
            *count -= 1;
            true
        }
        _ => false,
    }
}
