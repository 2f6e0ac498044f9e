//! The tool and the plain service as an entry meets them.

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

/// Guards against a double execution that does not show.
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

/// Guards against injected failures that execute when they must not, or the other way round.
#[test]
fn failures_execute_as_stated() {
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

/// Guards against an execution that is lost because its caller has gone away, and a status query
/// that does not tell it.
#[test]
fn execution_goes_on_without_its_caller() {
    let tool = Process::start("standin-tool", &[]);
    tool.control(&json!({"delay_ms": 1000}));
    act(&tool, "k").expect_err("no answer in time");
    assert_eq!(state(&tool, "k"), "running");
    let done = || state(&tool, "k") == "done";
    assert!(wait_until(Duration::from_secs(10), done));
    assert_eq!(tool.stats()["executions_by_key"], json!({"k": 1}));
}

/// Guards against a status query from a tool that is to have none.
#[test]
fn status_query_can_be_absent() {
    let tool = Process::start("standin-tool", &["--no-status-query"]);
    act(&tool, "k").expect("an answer");
    let request = HttpRequest::get("/v1/actions/k");
    assert_eq!(request.send(tool.address()).expect("an answer").status, 404);
}

/// Guards against a service that counts wrongly or answers with another request.
#[test]
fn service_echoes_and_counts() {
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
