//! The output for operators: log lines and metrics.

use std::process::Command;

use sapphireford::process::logging;
use sapphireford::process::metrics::{ALL, Metrics, REQUEST_SECONDS, REQUESTS};

const CHILD_PROCESS_VARIABLE: &str = "SAPPHIREFORD_TEST_LOG_CHILD";

/// Guards against log lines that are not JSON, lose their key-values or ignore the level. The
/// logger is global to a process, so the test starts itself again as a child process that writes
/// the lines.
#[test]
fn log_lines_are_json_with_key_values() {
    if std::env::var_os(CHILD_PROCESS_VARIABLE).is_some() {
        logging::install(logging::parse_level("info").unwrap()).unwrap();
        log::info!(slot = 5, entry_id = "entry-1"; "slot acquired");
        log::debug!("not wanted");
        return;
    }
    let output = Command::new(std::env::current_exe().unwrap())
        .args([
            "log_lines_are_json_with_key_values",
            "--exact",
            "--nocapture",
        ])
        .env(CHILD_PROCESS_VARIABLE, "1")
        .output()
        .unwrap();
    let text = String::from_utf8(output.stderr).unwrap();
    let lines: Vec<serde_json::Value> = text
        .lines()
        .filter_map(|line| serde_json::from_str(line).ok())
        .collect();
    assert_eq!(lines.len(), 1, "{text}");
    assert_eq!(lines[0]["level"], "INFO");
    assert_eq!(lines[0]["message"], "slot acquired");
    assert_eq!(
        lines[0]["kvs"],
        serde_json::json!({"slot": 5, "entry_id": "entry-1"})
    );
    assert!(logging::parse_level("loud").is_err());
}

/// Guards against recorded metrics that are not rendered, histograms without buckets, and two
/// metrics of the same name.
#[test]
fn metrics_are_rendered_with_their_descriptions() {
    let metrics = Metrics::install().unwrap();
    metrics::counter!(REQUESTS, "route" => "turns", "outcome" => "ok").increment(2);
    metrics::histogram!(REQUEST_SECONDS, "route" => "turns").record(0.015);
    let text = metrics.render();
    assert!(
        text.contains("# HELP sapphireford_requests_total Requests of callers"),
        "{text}"
    );
    assert!(text.contains("sapphireford_requests_total{route=\"turns\",outcome=\"ok\"} 2"));
    assert!(text.contains("sapphireford_request_seconds_bucket{route=\"turns\",le=\"0.02\"} 1"));
    let mut names = ALL.to_vec();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), ALL.len());
}
