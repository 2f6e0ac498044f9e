//! Renders reports as a Markdown table.

use serde_json::Value;

const HEADER: &str = "\
| workload | policy | level % | seed | latency s, all: p50 p95 p99 | urgent: p50 p95 p99 | normal: p50 \
p95 p99 | without pauses: p95 | recomputed | held | unread | programs/s | tokens/s | failed | errors \
and refusals | checks | load avg |
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|
";

/// Renders a table with a header and a row for each report.
pub fn render(reports: &[Value]) -> String {
    let rows = reports.iter().map(render_row);
    HEADER.to_string() + &rows.collect::<String>()
}

/// Renders the row of a report, with a line end.
pub fn render_row(report: &Value) -> String {
    let entry = &report["load"]["entry"];
    let groups = &entry["groups"];
    let wasted = &report["wasted"];
    let seconds = report["duration_ms"].as_f64().unwrap_or(1.0) / 1000.0;
    let rate = |name: &str| entry[name].as_f64().unwrap_or(0.0) / seconds;
    let faults = if report["faults"] == true {
        " with faults"
    } else {
        ""
    };
    let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
    let cells = [
        text(&report["workload"]),
        format!(
            "{}/{}{faults}",
            text(&report["placement"]),
            text(&report["queue"])
        ),
        report["level"].to_string(),
        report["seed"].to_string(),
        percentiles(&groups["all"]["program"]),
        percentiles(&groups["priority urgent"]["program"]),
        percentiles(&groups["priority normal"]["program"]),
        seconds_of(&groups["all"]["program_without_pauses"]["p95_us"]),
        wasted["recomputed"].to_string(),
        wasted["held_by_ended"].to_string(),
        wasted["unread"].to_string(),
        format!("{:.2}", rate("finished_in_window")),
        format!("{:.0}", rate("output_tokens_in_window")),
        format!("{}+{}", groups["all"]["failed"], entry["unfinished"]),
        failures(entry),
        checks(&report["load"]["checks"]),
        report["load_average"].to_string(),
    ];
    format!("| {} |\n", cells.join(" | "))
}

fn percentiles(values: &Value) -> String {
    ["p50_us", "p95_us", "p99_us"]
        .map(|name| seconds_of(&values[name]))
        .join(" ")
}

fn seconds_of(micros: &Value) -> String {
    format!("{:.2}", micros.as_f64().unwrap_or(0.0) / 1e6)
}

fn failures(entry: &Value) -> String {
    let mut texts = Vec::new();
    for (title, mark) in [("errors", "!"), ("refusals", "")] {
        let counts = entry[title].as_object().into_iter().flatten();
        texts.extend(counts.map(|(kind, count)| format!("{kind}{mark} {count}")));
    }
    texts.join(", ")
}

fn checks(checks: &Value) -> String {
    let count = |name: &str| checks[name]["count"].as_u64().unwrap_or(0);
    let beyond = checks["executions_beyond_requests"].as_u64().unwrap_or(0);
    let violations = count("over_budget") + count("executed_twice") + beyond;
    match checks["passed"].as_bool() {
        Some(true) => "0".to_string(),
        _ => format!("FAILED ({violations})"),
    }
}
