//! The report of a load run: JSON for programs, a table for people.

use std::fmt::Write;

use indexmap::IndexMap;
use serde::Serialize;

use crate::load::checks::CheckReport;
use crate::load::measures::{Group, Measures, Percentiles, TokenSums};
use crate::load::stats::ServerStats;

/// The report of a load run.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Name of the workload.
    pub workload: String,
    /// Its seed.
    pub seed: u64,
    /// How long programs arrived.
    pub duration_ms: u64,
    /// Programs in the plan.
    pub planned: usize,
    /// The programs that went through the entries.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub entry: Option<RouteReport>,
    /// The same programs, sent directly to an engine.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub direct: Option<RouteReport>,
    /// What the entries add, if both routes were measured.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub added: Option<AddedLatency>,
    /// Counters of the engines.
    pub engines: Vec<ServerStats>,
    /// Counters of the tools.
    pub tools: Vec<ServerStats>,
    /// Checks of the invariants.
    pub checks: CheckReport,
}

/// The measures of one route.
#[derive(Debug, Serialize)]
pub struct RouteReport {
    /// Programs that were sent.
    pub sent: u64,
    /// Programs that ran to their end while others still arrived.
    pub finished_in_window: u64,
    /// Tokens of the turns that were complete while programs still arrived.
    pub output_tokens_in_window: u64,
    /// Arrivals beyond the bound on programs in flight; not sent.
    pub not_sent: u64,
    /// Programs still in flight when the run ended.
    pub unfinished: usize,
    /// Streams that broke and began again.
    pub restarts: u64,
    /// Failed calls that ran or may have run, by kind.
    pub errors: IndexMap<String, u64>,
    /// Calls that certainly did not run, by kind.
    pub refusals: IndexMap<String, u64>,
    /// Sums over all turns.
    pub tokens: TokenSums,
    /// By name: `all`, `priority NAME`, `program NAME`.
    pub groups: IndexMap<String, GroupReport>,
}

/// The measures of programs with something in common.
#[derive(Debug, Serialize)]
pub struct GroupReport {
    /// Programs that ran to their end.
    pub finished: u64,
    /// Programs that a failed call ended.
    pub failed: u64,
    /// From the planned arrival to the end.
    pub program: Percentiles,
    /// The same without the pauses of the plan.
    pub program_without_pauses: Percentiles,
    /// From sending a turn to its first piece of output.
    pub first_token: Percentiles,
    /// Between two pieces of output.
    pub token_gap: Percentiles,
    /// From sending a turn to its last event.
    pub turn: Percentiles,
    /// From sending a tool call to its answer.
    pub tool: Percentiles,
}

/// Differences between the percentiles of the two routes, entry minus direct.
#[derive(Debug, Serialize)]
pub struct AddedLatency {
    /// To the first piece of output, in the median.
    pub first_token_p50_us: i64,
    /// To the first piece of output, at the 95th percentile.
    pub first_token_p95_us: i64,
    /// Between two pieces of output, in the median.
    pub token_gap_p50_us: i64,
    /// Between two pieces of output, at the 95th percentile.
    pub token_gap_p95_us: i64,
}

impl RouteReport {
    /// Reads the measures of a route.
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
    fn new(group: &Group) -> Self {
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
    /// Compares the two routes; `None` if one of them has no finished turn.
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
    /// The report as a table.
    pub fn table(&self) -> String {
        let mut text = format!(
            "workload {} (seed {}): {} programs over {} ms\n",
            self.workload, self.seed, self.planned, self.duration_ms
        );
        let routes = [("entry", &self.entry), ("direct", &self.direct)];
        for (name, route) in routes {
            if let Some(route) = route {
                route_table(&mut text, name, route);
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
            server_line(&mut text, "engine", engine);
        }
        for tool in &self.tools {
            server_line(&mut text, "tool", tool);
        }
        checks_lines(&mut text, &self.checks);
        text
    }
}

fn route_table(text: &mut String, name: &str, route: &RouteReport) {
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
            percentiles_line(text, name, measure, percentiles);
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
    counts_line(text, "errors", &route.errors);
    counts_line(text, "refusals", &route.refusals);
}

fn percentiles_line(text: &mut String, group: &str, measure: &str, values: &Percentiles) {
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

fn counts_line(text: &mut String, title: &str, counts: &IndexMap<String, u64>) {
    let counts = counts.iter().map(|(kind, count)| format!("{kind} {count}"));
    let counts = counts.collect::<Vec<_>>().join(", ");
    let counts = if counts.is_empty() { "none" } else { &counts };
    let _ = writeln!(text, "{title}: {counts}");
}

fn server_line(text: &mut String, role: &str, server: &ServerStats) {
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

fn checks_lines(text: &mut String, checks: &CheckReport) {
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
