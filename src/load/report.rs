//! The report of a load run, as JSON and as a human-readable table.

use std::fmt::Write;

use indexmap::IndexMap;
use serde::Serialize;

use crate::load::checks::CheckReport;
use crate::load::measures::{GroupMeasures, Measures, Percentiles, TokenSums};
use crate::load::stats::ServerStats;

/// The report of a load run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Name of the workload.
    pub workload: String,
    /// Seed of the plan.
    pub seed: u64,
    /// Period in which programs arrived.
    pub duration_ms: u64,
    /// Number of programs in the plan.
    pub planned: usize,
    /// Measures of the programs that were sent through the entries.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub entry: Option<RouteReport>,
    /// Measures of the same programs, sent directly to an engine.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub direct: Option<RouteReport>,
    /// Latency that the entries add, if both routes were measured.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub added: Option<AddedLatency>,
    /// Counters of the given engines, in the order of the experiment.
    pub engines: Vec<ServerStats>,
    /// Counters of the given tools, in the order of the experiment.
    pub tools: Vec<ServerStats>,
    /// Outcome of the checks of the invariants.
    pub checks: CheckReport,
}

/// The measures of one route.
#[derive(Debug, Serialize)]
pub struct RouteReport {
    /// Programs that were sent, including those that failed to start.
    pub sent: u64,
    /// Programs that finished within the duration of the workload.
    pub finished_in_window: u64,
    /// Output tokens of the turns that completed within the duration of the workload.
    pub output_tokens_in_window: u64,
    /// Programs that were not sent because the limit on programs in flight was reached.
    pub not_sent: u64,
    /// Programs still in flight when the drain timeout expired.
    pub unfinished: usize,
    /// Streams that broke and were restarted.
    pub restarts: u64,
    /// Failed calls that ran or may have run, by kind.
    pub errors: IndexMap<String, u64>,
    /// Calls that certainly did not run, by kind.
    pub refusals: IndexMap<String, u64>,
    /// Token sums over all completed turns.
    pub tokens: TokenSums,
    /// Reports by group: `all`, `priority NAME`, `program NAME`.
    pub groups: IndexMap<String, GroupReport>,
}

/// The measures of a group of programs, such as those of one priority.
#[derive(Debug, Serialize)]
pub struct GroupReport {
    /// Programs that completed all their steps and ended successfully.
    pub finished: u64,
    /// Programs that failed to start, to complete a call, or to end.
    pub failed: u64,
    /// From the planned arrival to the end of a finished program.
    pub program: Percentiles,
    /// As `program`, but without the pauses of the plan.
    pub program_without_pauses: Percentiles,
    /// From sending a turn to its first chunk of output.
    pub first_token: Percentiles,
    /// Between two chunks of output.
    pub token_gap: Percentiles,
    /// From sending a turn to its final event.
    pub turn: Percentiles,
    /// From sending a tool call to its answer.
    pub tool: Percentiles,
}

/// Differences between the percentiles of the two routes, entry minus direct.
#[derive(Debug, Serialize)]
pub struct AddedLatency {
    /// Difference in the time to the first chunk of output, median.
    pub first_token_p50_us: i64,
    /// Difference in the time to the first chunk of output, 95th percentile.
    pub first_token_p95_us: i64,
    /// Difference in the time between two chunks of output, median.
    pub token_gap_p50_us: i64,
    /// Difference in the time between two chunks of output, 95th percentile.
    pub token_gap_p95_us: i64,
}

impl RouteReport {
    /// Builds the report from the measures of a route and the number of unfinished programs.
    pub fn new(measures: &Measures, unfinished: usize) -> Self {
        let groups = measures.groups.iter();
        Self {
            sent: measures.sent,
            finished_in_window: measures.finished_in_window,
            output_tokens_in_window: measures.output_tokens_in_window,
            not_sent: measures.not_sent,
            unfinished,
            restarts: measures.restarts,
            errors: measures.errors.clone(),
            refusals: measures.refusals.clone(),
            tokens: measures.tokens,
            groups: groups
                .map(|(name, group)| (name.clone(), GroupReport::new(group)))
                .collect(),
        }
    }
}

impl GroupReport {
    fn new(group: &GroupMeasures) -> Self {
        Self {
            finished: group.finished,
            failed: group.failed,
            program: group.program.percentiles(),
            program_without_pauses: group.program_without_pauses.percentiles(),
            first_token: group.first_token.percentiles(),
            token_gap: group.token_gap.percentiles(),
            turn: group.turn.percentiles(),
            tool: group.tool.percentiles(),
        }
    }
}

impl AddedLatency {
    /// Compares the two routes; returns `None` if one of them received no output.
    pub fn between(entry: &RouteReport, direct: &RouteReport) -> Option<Self> {
        let (entry, direct) = (entry.groups.get("all")?, direct.groups.get("all")?);
        if entry.first_token.count == 0 || direct.first_token.count == 0 {
            return None;
        }
        let difference = |entry: u64, direct: u64| entry as i64 - direct as i64;
        Some(Self {
            first_token_p50_us: difference(entry.first_token.p50_us, direct.first_token.p50_us),
            first_token_p95_us: difference(entry.first_token.p95_us, direct.first_token.p95_us),
            token_gap_p50_us: difference(entry.token_gap.p50_us, direct.token_gap.p50_us),
            token_gap_p95_us: difference(entry.token_gap.p95_us, direct.token_gap.p95_us),
        })
    }
}

impl Report {
    /// Formats the report as a table.
    pub fn table(&self) -> String {
        let mut text = format!(
            "workload {} (seed {}): {} programs over {} ms\n",
            self.workload, self.seed, self.planned, self.duration_ms
        );
        let routes = [("entry", &self.entry), ("direct", &self.direct)];
        for (name, route) in routes {
            if let Some(route) = route {
                write_route_table(&mut text, name, route);
            }
        }
        if let Some(added) = &self.added {
            let _ = writeln!(
                text,
                "added by the entries: first token p50 {} us, p95 {} us; token gap p50 {} us, \
                 p95 {} us",
                added.first_token_p50_us,
                added.first_token_p95_us,
                added.token_gap_p50_us,
                added.token_gap_p95_us
            );
        }
        for engine in &self.engines {
            write_server_line(&mut text, "engine", engine);
        }
        for tool in &self.tools {
            write_server_line(&mut text, "tool", tool);
        }
        write_checks(&mut text, &self.checks);
        text
    }
}

fn write_route_table(text: &mut String, name: &str, route: &RouteReport) {
    let _ = writeln!(
        text,
        "\nroute {name}: {} sent, {} not sent, {} unfinished, {} restarts",
        route.sent, route.not_sent, route.unfinished, route.restarts
    );
    let _ = writeln!(
        text,
        "{:<28}{:<24}{:>8}{:>12}{:>12}{:>12}{:>12}",
        "group", "measure", "count", "p50 ms", "p95 ms", "p99 ms", "max ms"
    );
    for (name, group) in &route.groups {
        let measures = [
            ("program", group.program),
            ("without pauses", group.program_without_pauses),
            ("first token", group.first_token),
            ("token gap", group.token_gap),
            ("turn", group.turn),
            ("tool call", group.tool),
        ];
        for (measure, percentiles) in measures.iter().filter(|(_, values)| values.count > 0) {
            write_percentiles_line(text, name, measure, percentiles);
        }
        if group.failed > 0 {
            let _ = writeln!(
                text,
                "{name:<28}{:<24}{:>8}",
                "failed programs", group.failed
            );
        }
    }
    let tokens = &route.tokens;
    let _ = writeln!(
        text,
        "tokens: {} prompt, {} cached, {} recomputed of which {} wasted, {} output",
        tokens.prompt_tokens,
        tokens.cached_tokens,
        tokens.recomputed_tokens,
        tokens.wasted_tokens,
        tokens.output_tokens
    );
    write_counts_line(text, "errors", &route.errors);
    write_counts_line(text, "refusals", &route.refusals);
}

fn write_percentiles_line(text: &mut String, group: &str, measure: &str, values: &Percentiles) {
    let milliseconds = |micros: u64| micros as f64 / 1000.0;
    let _ = writeln!(
        text,
        "{group:<28}{measure:<24}{:>8}{:>12.2}{:>12.2}{:>12.2}{:>12.2}",
        values.count,
        milliseconds(values.p50_us),
        milliseconds(values.p95_us),
        milliseconds(values.p99_us),
        milliseconds(values.max_us)
    );
}

fn write_counts_line(text: &mut String, title: &str, counts: &IndexMap<String, u64>) {
    let counts = counts.iter().map(|(kind, count)| format!("{kind} {count}"));
    let counts = counts.collect::<Vec<_>>().join(", ");
    let counts = if counts.is_empty() { "none" } else { &counts };
    let _ = writeln!(text, "{title}: {counts}");
}

fn write_server_line(text: &mut String, role: &str, server: &ServerStats) {
    let _ = write!(text, "{role} {}:", server.address);
    match (&server.growth, &server.error) {
        (Some(growth), _) => {
            for (name, value) in growth.iter().filter(|(_, value)| **value != 0) {
                let _ = write!(text, " {name} {value:+}");
            }
        }
        (None, Some(error)) => {
            let _ = write!(text, " not read: {error}");
        }
        (None, None) => {}
    }
    text.push('\n');
}

fn write_checks(text: &mut String, checks: &CheckReport) {
    let _ = writeln!(
        text,
        "checks: {}; {} over budget, {} actions executed twice, {} executions beyond {} tool \
         requests",
        if checks.passed { "passed" } else { "FAILED" },
        checks.over_budget.count,
        checks.executed_twice.count,
        checks.executions_beyond_requests,
        checks.tool_requests
    );
    if checks.tools_unread > 0 {
        let _ = writeln!(
            text,
            "executions of {} tools could not be read; see their lines above",
            checks.tools_unread
        );
    } else if checks.tools_read == 0 && checks.tool_requests > 0 {
        text.push_str("executions were not checked: no tool was read; give --tool ADDRESS\n");
    }
    let examples = checks.over_budget.examples.iter();
    for example in examples.chain(&checks.executed_twice.examples) {
        let _ = writeln!(text, "  {example}");
    }
}
