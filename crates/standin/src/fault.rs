//! Failure injection that the tool and the service share.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use serde::Deserialize;

/// What `POST /control` of a tool or service may set; absent fields stay as they are.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultControl {
    /// The next calls are executed and never answered.
    pub hang_next: Option<u64>,
    /// The next calls are neither executed nor answered.
    pub hang_before_next: Option<u64>,
    /// The next calls are answered 500 without being executed.
    pub fail_next: Option<u64>,
    /// The next calls are executed, then their connection breaks without an answer.
    pub drop_after_next: Option<u64>,
    /// Pause before each execution.
    pub delay_ms: Option<u64>,
}

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Executed and answered.
    None,
    /// Executed, never answered.
    HangAfterExecution,
    /// Not executed, never answered.
    HangBeforeExecution,
    /// Not executed, answered 500.
    Fail,
    /// Executed; the connection breaks.
    DropAfterExecution,
}

/// The injected failures that are still to come.
#[derive(Default)]
pub struct FaultPlan {
    pending: RefCell<FaultControl>,
    delay: Cell<Duration>,
}

impl FaultPlan {
    /// Takes over the fields that are present.
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

    /// Decides what happens to the call that has arrived.
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

    /// Pause before each execution.
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
