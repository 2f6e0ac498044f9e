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
    HangAfter,
    /// Not executed, never answered.
    HangBefore,
    /// Not executed, answered 500.
    Fail,
    /// Executed; the connection breaks.
    DropAfter,
}

/// The injected failures that are still to come.
#[derive(Default)]
pub struct FaultPlan {
    next: RefCell<FaultControl>,
    delay: Cell<Duration>,
}

impl FaultPlan {
    /// Takes over the fields that are present.
    pub fn apply(&self, control: FaultControl) {
        if let Some(delay_ms) = control.delay_ms {
            self.delay.set(Duration::from_millis(delay_ms));
        }
        let mut next = self.next.borrow_mut();
        next.hang_next = control.hang_next.or(next.hang_next);
        next.hang_before_next = control.hang_before_next.or(next.hang_before_next);
        next.fail_next = control.fail_next.or(next.fail_next);
        next.drop_after_next = control.drop_after_next.or(next.drop_after_next);
    }

    /// Decides what happens to the call that has arrived.
    pub fn take(&self) -> Fault {
        let mut next = self.next.borrow_mut();
        if take_one(&mut next.hang_before_next) {
            Fault::HangBefore
        } else if take_one(&mut next.fail_next) {
            Fault::Fail
        } else if take_one(&mut next.hang_next) {
            Fault::HangAfter
        } else if take_one(&mut next.drop_after_next) {
            Fault::DropAfter
        } else {
            Fault::None
        }
    }

    /// Pause before each execution.
    pub fn delay(&self) -> Duration {
        self.delay.get()
    }
}

fn take_one(counter: &mut Option<u64>) -> bool {
    match counter {
        Some(count) if *count > 0 => {
            *count -= 1;
            true
        }
        _ => false,
    }
}
