//! Requests to stop the process or to reload its settings, made by signals or operators.
//!
//! A signal handler may only set a flag, so the waiting task polls the flag.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::process::timer::TimerService;

/// The result of installing the signal handlers.
pub type Result<T> = std::io::Result<T>;

static STOP_REQUESTED: AtomicBool = AtomicBool::new(false);

/// Interval at which the flags are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A request to the running process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlRequest {
    /// Stop gracefully.
    Stop,
    /// Reload the settings file without a restart.
    Reload,
}

/// Installs the signal handlers: SIGTERM and SIGINT request a graceful stop, SIGHUP a reload of the
/// settings.
pub fn install() -> Result<()> {
    let reload = std::sync::Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal_hook::consts::SIGHUP, reload.clone())?;
    *RELOAD_SIGNAL
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(reload);
    let flag = std::sync::Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, flag.clone())?;
    }
    *STOP_SIGNAL
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(flag);
    Ok(())
}

static STOP_SIGNAL: std::sync::Mutex<Option<std::sync::Arc<AtomicBool>>> =
    std::sync::Mutex::new(None);

static RELOAD_SIGNAL: std::sync::Mutex<Option<std::sync::Arc<AtomicBool>>> =
    std::sync::Mutex::new(None);

/// Returns whether a reload was requested, and clears the request.
fn take_reload_request() -> bool {
    let reload = RELOAD_SIGNAL
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    reload
        .as_ref()
        .is_some_and(|flag| flag.swap(false, Ordering::Relaxed))
}

/// Requests a graceful stop from within the process. It cannot be withdrawn.
pub fn request_stop() {
    STOP_REQUESTED.store(true, Ordering::Relaxed);
}

fn is_stop_requested() -> bool {
    let signalled = STOP_SIGNAL
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    let signalled = signalled
        .as_ref()
        .is_some_and(|flag| flag.load(Ordering::Relaxed));
    signalled || STOP_REQUESTED.load(Ordering::Relaxed)
}

/// Completes when a stop has been requested; reload requests are ignored.
pub async fn wait_for_stop(timer: &TimerService) {
    let mut ticks = timer.subscribe(POLL_INTERVAL);
    while !is_stop_requested() {
        ticks.tick().await;
    }
}

/// Completes when a stop or a reload has been requested; a stop takes precedence.
pub async fn wait_for_request(timer: &TimerService) -> ControlRequest {
    let mut ticks = timer.subscribe(POLL_INTERVAL);
    loop {
        if is_stop_requested() {
            return ControlRequest::Stop;
        }
        if take_reload_request() {
            return ControlRequest::Reload;
        }
        ticks.tick().await;
    }
}
