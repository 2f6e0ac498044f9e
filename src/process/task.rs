//! Tasks whose panics end only themselves.
//!
//! A process serves many callers on one thread. An unexpected error in the work for one of them
//! must not end the work for the others.

use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;

use futures_util::FutureExt;

use crate::process::metrics;

/// Runs `work`; `None` if it panicked, which is logged and counted under `name`.
///
/// No borrow of shared state is held across an `await`, and a panic releases the borrows that are
/// held, so other tasks can go on with the state.
pub async fn isolate<F: Future>(name: &'static str, work: F) -> Option<F::Output> {
    match AssertUnwindSafe(work).catch_unwind().await {
        Ok(output) => Some(output),
        Err(panic) => {
            ::metrics::counter!(metrics::TASK_PANICS, "task" => name).increment(1);
            log::error!(task = name; "task ended by an unexpected error: {}", panic_text(&*panic));
            None
        }
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("no message")
}
