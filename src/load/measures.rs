//! What one route of a load run is measured by.

use std::time::Duration;

use hdrhistogram::Histogram;
use indexmap::IndexMap;
use serde::Serialize;

use crate::error::Ran;
use crate::load::route::{CallFailure, TurnOutcome};

/// Significant digits of the histograms.
const HISTOGRAM_DIGITS: u8 = 3;

/// Percentiles of a duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Percentiles {
    /// Values recorded.
    pub count: u64,
    /// The median.
    pub p50_us: u64,
    /// 95 of 100 values are not above it.
    pub p95_us: u64,
    /// 99 of 100 values are not above it.
    pub p99_us: u64,
    /// The largest value.
    pub max_us: u64,
}

/// Durations of one kind.
#[derive(Default)]
pub struct Durations {
    /// Absent until the first value is recorded.
    histogram: Option<Histogram<u64>>,
}

impl Durations {
    /// Records a duration in microseconds.
    pub fn record(&mut self, duration: Duration) {
        let value = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        if self.histogram.is_none() {
            self.histogram = Histogram::new(HISTOGRAM_DIGITS).ok();
        }
        if let Some(histogram) = &mut self.histogram
            && let Err(error) = histogram.record(value)
        {
            log::warn!("a duration of {value} us was not recorded: {error}");
        }
    }

    /// The percentiles of what was recorded.
    pub fn percentiles(&self) -> Percentiles {
        let Some(histogram) = &self.histogram else {
            return Percentiles::default();
        };
        Percentiles {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.50),
            p95_us: histogram.value_at_quantile(0.95),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}

/// The measures of programs with something in common.
#[derive(Default)]
pub struct Group {
    /// From the planned arrival to the end of a finished program.
    pub program: Durations,
    /// The same without the pauses that the plan contains.
    pub program_without_pauses: Durations,
    /// From sending a turn to its first piece of output.
    pub first_token: Durations,
    /// Between two pieces of output.
    pub token_gap: Durations,
    /// From sending a turn to its last event.
    pub turn: Durations,
    /// From sending a tool call to its answer.
    pub tool: Durations,
    /// Programs that ran to their end.
    pub finished: u64,
    /// Programs that a failed call ended.
    pub failed: u64,
}

/// Sums over the turns of a route, as the engines reported them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TokenSums {
    /// Tokens of all prompts.
    pub prompt_tokens: u64,
    /// Prompt tokens that an engine had in its cache.
    pub cached_tokens: u64,
    /// Prompt tokens that an engine computed.
    pub recomputed_tokens: u64,
    /// Of those, the ones that an earlier turn of the same program had computed before.
    pub wasted_tokens: u64,
    /// Tokens that were generated.
    pub output_tokens: u64,
}

/// The measures of one route.
#[derive(Default)]
pub struct Measures {
    /// By name: `all`, `priority NAME`, `program NAME`.
    pub groups: IndexMap<String, Group>,
    /// Failed calls that ran or may have run, by kind.
    pub errors: IndexMap<String, u64>,
    /// Calls that certainly did not run, by kind.
    pub refusals: IndexMap<String, u64>,
    /// Streams that broke and began again.
    pub restarts: u64,
    /// Arrivals beyond the bound on programs in flight; not sent.
    pub not_sent: u64,
    /// Programs that were sent.
    pub sent: u64,
    /// Programs that ran to their end while others still arrived.
    pub finished_in_window: u64,
    /// Tokens of the turns that were complete while programs still arrived.
    pub output_tokens_in_window: u64,
    /// Sums over all turns.
    pub tokens: TokenSums,
}

impl Measures {
    /// Changes the groups that a program belongs to.
    pub fn update(&mut self, groups: &[String], change: impl Fn(&mut Group)) {
        for name in groups {
            match self.groups.get_mut(name) {
                Some(group) => change(group),
                None => change(self.groups.entry(name.clone()).or_default()),
            }
        }
    }

    /// Counts a failed call.
    pub fn count_failure(&mut self, failure: &CallFailure) {
        let counts = match failure.ran {
            Ran::No => &mut self.refusals,
            Ran::Yes | Ran::Unknown => &mut self.errors,
        };
        *counts.entry(failure.kind.clone()).or_default() += 1;
    }

    /// Adds a turn; `known_tokens` is the length of the program's history before the turn.
    pub fn count_tokens(&mut self, turn: &TurnOutcome, known_tokens: u64) {
        let recomputed = turn.prompt_tokens.saturating_sub(turn.cached_tokens);
        let known = known_tokens.min(turn.prompt_tokens);
        self.tokens.prompt_tokens += turn.prompt_tokens;
        self.tokens.cached_tokens += turn.cached_tokens;
        self.tokens.recomputed_tokens += recomputed;
        self.tokens.wasted_tokens += known.saturating_sub(turn.cached_tokens);
        self.tokens.output_tokens += turn.output_tokens;
    }
}
