//! Load reports. They are measured at an interval, so that readers see a load that is out of date
//! by up to the report lag.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::Serialize;

use super::State;

/// Response to `GET /v1/load`.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Load {
    running: usize,
    waiting: usize,
    cache_used_tokens: u64,
    cache_total_tokens: u64,
    /// Time since the load was measured.
    age_ms: u64,
    leaving: bool,
}

/// The most recent load report.
pub struct LoadReport {
    /// `None` before the first report, and always if the lag is 0.
    last: Option<(Instant, Load)>,
    has_lag: bool,
}

impl LoadReport {
    /// Creates an empty report. `lag` is the interval of reports; 0 for none.
    pub fn new(lag: Duration) -> Self {
        Self {
            last: None,
            has_lag: !lag.is_zero(),
        }
    }
}

/// Measures the load at intervals of `lag`; never returns.
pub async fn run_reports(state: Rc<State>, lag: Duration) {
    let mut ticks = state.timer.subscribe(lag);
    loop {
        let load = measure_load(&state);
        state.load.borrow_mut().last = Some((Instant::now(), load));
        ticks.tick().await;
    }
}

/// Returns the last report, or the load measured now if there is no report.
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
