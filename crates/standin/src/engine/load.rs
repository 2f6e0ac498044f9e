//! The load report, which lags.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::State;

/// The load as `GET /v1/load` answers it.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Load {
    running: usize,
    waiting: usize,
    cache_used_tokens: u64,
    cache_total_tokens: u64,
    /// Time since the report was made.
    age_ms: u64,
    leaving: bool,
}

/// The last report.
pub struct LoadReport {
    /// `None` before the first report, and always where reports do not lag.
    last: Option<(Instant, Load)>,
    has_lag: bool,
}

impl LoadReport {
    /// No report yet.
    pub fn new(lag: Duration) -> Self {
        Self {
            last: None,
            has_lag: !lag.is_zero(),
        }
    }
}

/// Makes a report in each interval of `lag`.
pub async fn run_reports(state: Rc<State>, lag: Duration) {
    let mut ticks = state.timer.subscribe(lag);
    loop {
        let load = measure_load(&state);
        state.load.borrow_mut().last = Some((Instant::now(), load));
        ticks.tick().await;
    }
}

/// The load as it is reported now.
pub fn current_load(state: &State) -> Load {
    let report = state.load.borrow();
    match &report.last {
        Some((reported_at, load)) if report.has_lag => Load {
            age_ms: reported_at.elapsed().as_millis() as u64,
            ..load.clone()
        },
        _ => measure_load(state),
    }
}

fn measure_load(state: &State) -> Load {
    let cache = state.cache.borrow();
    Load {
        running: state.batch.running(),
        waiting: state.batch.waiting(),
        cache_used_tokens: cache.used_tokens(),
        cache_total_tokens: cache.limit_tokens(),
        age_ms: 0,
        leaving: state.faults.borrow().leaving,
    }
}
