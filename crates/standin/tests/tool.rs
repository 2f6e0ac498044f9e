//! Tests the stand-in tool service and plain service over HTTP, as an entry calls them.

use std::io::Result;
use std::time::Duration;

use sapphireford_standin::harness::{Answer, HttpRequest, Process, wait_until};
use serde_json::{Value, json};

fn action(key: &str) -> HttpRequest {
    let body = json!({"tool": "book", "arguments": {"charge_micros": 7}});
    HttpRequest::post("/v1/actions")
        .header("idempotency-key", key)
        .json(&body)
        .timeout(Duration::from_millis(500))
}

fn act(tool: &Process, key: &str) -> Result<Answer> {
    action(key).send(tool.address())
}

fn state(tool: &Process, key: &str) -> Value {
    let request = HttpRequest::get(&format!("/v1/actions/{key}"));
    let answer = request.send(tool.address()).expect("an answer");
    answer.json()["state"].clone()
}

/// Guards against a double execution that is missing from the counters, and one by an idempotent
/// tool.
#[test]
fn repeated_key_executes_again_unless_idempotent() {
    for (options, executions) in [(&[][..], 2), (&["--idempotent"][..], 1)] {
        let tool = Process::start("standin-tool", options);
        let first = act(&tool, "k").expect("an answer").json();
        assert_eq!(first["charge_micros"], 7);
        assert_eq!(first["result"]["execution"], 1);
        act(&tool, "k").expect("an answer");
        let stats = tool.stats();
        assert_eq!(stats["executions_by_key"], json!({"k": executions}));
        assert_eq!(stats["executions_by_tool"], json!({"book": executions}));
        assert_eq!(stats["charges_micros"], 7 * executions);
    }
}

/// Guards against injected failures that execute a call they must not execute, or skip one that
/// they must execute.
#[test]
fn injected_failures_execute_only_hang_next_and_drop_after_next() {
    let tool = Process::start("standin-tool", &[]);
    tool.control(&json!({"hang_before_next": 1, "fail_next": 1}));
    act(&tool, "hang-before").expect_err("no answer");
    assert_eq!(act(&tool, "fail").expect("an answer").status, 500);
    tool.control(&json!({"hang_next": 1, "drop_after_next": 1}));
    act(&tool, "hang").expect_err("no answer");
    act(&tool, "drop").expect_err("no answer");
    assert_eq!(act(&tool, "fine").expect("an answer").status, 200);
    let stats = tool.stats();
    assert_eq!(
        stats["executions_by_key"],
        json!({"hang": 1, "drop": 1, "fine": 1})
    );
    assert_eq!(state(&tool, "hang-before"), "unknown");
    assert_eq!(state(&tool, "hang"), "done");
}

/// Guards against an execution that is cancelled because its caller timed out, and a status query
/// that does not report it as running and then as done.
#[test]
fn execution_completes_after_caller_timeout() {
    let tool = Process::start("standin-tool", &[]);
    tool.control(&json!({"delay_ms": 1000}));
    act(&tool, "k").expect_err("no answer in time");
    assert_eq!(state(&tool, "k"), "running");
    let done = || state(&tool, "k") == "done";
    assert!(wait_until(Duration::from_secs(10), done));
    assert_eq!(tool.stats()["executions_by_key"], json!({"k": 1}));
}

/// Guards against a tool that serves the status query despite `--no-status-query`.
#[test]
fn status_query_is_not_found_if_disabled() {
    let tool = Process::start("standin-tool", &["--no-status-query"]);
    act(&tool, "k").expect("an answer");
    let request = HttpRequest::get("/v1/actions/k");
    assert_eq!(request.send(tool.address()).expect("an answer").status, 404);
}

/// Guards against a service that miscounts executions, in particular when the response is lost, or
/// echoes another request.
#[test]
fn service_echoes_request_and_counts_executions() {
    let service = Process::start("standin-service", &[]);
    let request = HttpRequest::post("/orders/7?x=1")
        .header("x-request-id", "r1")
        .body("hello");
    let answer = request.send(service.address()).expect("an answer");
    let echo =
        json!({"method": "POST", "path": "/orders/7?x=1", "body": "hello", "request_id": "r1"});
    assert_eq!(answer.json(), echo);
    service.control(&json!({"drop_after_next": 1}));
    request.send(service.address()).expect_err("no answer");
    let stats = service.stats();
    assert_eq!(stats["executions_by_request_id"], json!({"r1": 2}));
}
