//! The load tool, against one server that acts as entry, engine and tool.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, Response, StatusCode};
use indexmap::IndexMap;
use monoio::{LegacyDriver, RuntimeBuilder};
use sapphireford::connection::body::Body;
use sapphireford::connection::http_client::ClientError;
use sapphireford::connection::http_server::{Handler, HttpLimits, json_response, serve};
use sapphireford::load::checks::Checks;
use sapphireford::load::experiment::{Experiment, run};
use sapphireford::load::report::Report;
use sapphireford::load::stats::ServerStats;
use sapphireford::load::workload::Workload;
use sapphireford::process::timer::TimerService;
use serde_json::{Value, json};

struct FakeSite {
    address: RefCell<Option<SocketAddr>>,
    executions: RefCell<IndexMap<String, u64>>,
    spent_micros: u64,
    executions_per_call: u64,
    turn_delay: Duration,
}

impl Handler for FakeSite {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        let body: Value = serde_json::from_slice(request.body()).unwrap_or(Value::Null);
        let path = request.uri().path();
        let answer = match path.rsplit('/').next().unwrap() {
            "entries" => json!({"ttl_ms": 60_000, "entries": [{"entry_id": "e",
                "address": *self.address.borrow(), "failure_domain": "f"}]}),
            "runs" => json!({"run_id": 1, "budget_micros": 100}),
            "turns" => return self.turn().await,
            "tool-calls" => {
                let key = format!("{path} {}", body["request_id"]);
                self.execute(&key);
                json!({"request_id": body["request_id"], "action_id": key, "result": {},
                    "charge_micros": 1, "spent_micros": 1, "remaining_micros": 99})
            }
            "end" => json!({"run_id": 1, "state": "finished", "spent_micros": 1}),
            "completions" => return completion(),
            "actions" => {
                let key = request.headers()["idempotency-key"].to_str().unwrap();
                self.execute(key);
                json!({"result": {}, "charge_micros": 1})
            }
            "stats" => json!({"prompt_tokens": 10 * self.executions.borrow().len(),
                "cached_tokens": 0, "executions_by_key": *self.executions.borrow(),
                "unknown_field": "kept"}),
            _ => json!({}),
        };
        json_response(StatusCode::OK, &answer)
    }
}

impl FakeSite {
    fn execute(&self, key: &str) {
        let mut executions = self.executions.borrow_mut();
        *executions.entry(key.to_string()).or_default() += self.executions_per_call;
    }

    async fn turn(&self) -> Response<Body> {
        monoio::time::sleep(self.turn_delay).await;
        let done = json!({"request_id": "r", "turn": 1, "prompt_tokens": 10, "cached_tokens": 4,
            "output_tokens": 2, "cost_micros": 1, "spent_micros": self.spent_micros,
            "remaining_micros": 0, "finish_reason": "stop"});
        let token = |index| {
            format!(
                "event: token\ndata: {}\n\n",
                json!({"index": index, "text": "a"})
            )
        };
        Response::new(Body::full(format!(
            "{}{}event: done\ndata: {done}\n\n",
            token(0),
            token(1)
        )))
    }
}

fn completion() -> Response<Body> {
    let token = json!({"choices": [{"delta": {"content": "a"}, "finish_reason": null}]});
    let last = json!({"choices": [{"delta": {}, "finish_reason": "stop"}],
        "usage": {"prompt_tokens": 10, "completion_tokens": 2, "cached_tokens": 4}});
    Response::new(Body::full(format!(
        "data: {token}\n\ndata: {token}\n\ndata: {last}\n\ndata: [DONE]\n\n"
    )))
}

fn workload_json() -> Value {
    let range = |min: u64, max: u64| json!({"min": min, "max": max});
    let class = |program: &str, priority: &str| {
        json!({"program": program, "priority": priority, "arrivals_per_second": 40.0,
            "turns": range(1, 3), "input_words": range(1, 5), "output_tokens": range(1, 5),
            "think_ms": range(0, 10), "tool": {"tool": "t", "percent": 50}})
    };
    json!({"name": "test", "seed": 7, "duration_ms": 500, "max_in_flight": 50,
        "classes": [class("a", "urgent"), class("b", "normal")]})
}

fn workload(change: impl FnOnce(&mut Value)) -> Workload {
    let mut value = workload_json();
    change(&mut value);
    Workload::parse(&value.to_string()).unwrap()
}

/// Runs the workload through the entry and directly, both against the same fake site.
fn run_against(site: FakeSite, workload: Workload) -> Report {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
        .enable_timer()
        .build()
        .unwrap();
    runtime.block_on(async {
        let site = Rc::new(site);
        let address = "127.0.0.1:0".parse().unwrap();
        let timer = TimerService::start();
        let server = serve(address, HttpLimits::default(), timer, site.clone()).unwrap();
        *site.address.borrow_mut() = Some(server.address());
        let experiment = Experiment {
            entries: vec![server.address()],
            key: "key".to_string(),
            team_keys: IndexMap::new(),
            engines: vec![server.address()],
            tools: vec![server.address()],
            direct: Some(server.address()),
            workload: Rc::new(workload),
            drain_timeout: Duration::from_secs(10),
            run_name: "test".to_string(),
        };
        run(&experiment).await.unwrap()
    })
}

fn site() -> FakeSite {
    FakeSite {
        address: RefCell::default(),
        executions: RefCell::default(),
        spent_micros: 1,
        executions_per_call: 1,
        turn_delay: Duration::ZERO,
    }
}

/// Guards against runs with the same seed that plan different requests and so cannot be compared, also
/// when the rate of another class differs.
#[test]
fn plan_of_a_class_depends_only_on_seed_and_that_class() {
    let plan = workload(|_| {}).plan();
    assert_eq!(plan, workload(|_| {}).plan());
    assert_ne!(plan, workload(|raw| raw["seed"] = json!(8)).plan());
    assert!(plan.is_sorted_by_key(|program| program.arrival_offset));
    let faster = workload(|raw| raw["classes"][1]["arrivals_per_second"] = json!(80.0));
    let first_class = |plan: Vec<_>| -> Vec<_> {
        let first = plan.into_iter();
        first
            .filter(|program: &sapphireford::load::workload::PlannedProgram| program.class == 0)
            .collect()
    };
    assert_eq!(first_class(plan), first_class(faster.plan()));
}

/// Guards against a report whose measures leave out programs, turns, tool calls or counters that the
/// load tool does not know.
#[test]
fn report_measures_all_programs_of_both_routes() {
    let report = run_against(site(), workload(|_| {}));
    assert!(report.planned > 0);
    for route in [report.entry.as_ref(), report.direct.as_ref()] {
        let route = route.unwrap();
        let all = &route.groups["all"];
        assert_eq!(route.sent + route.not_sent, report.planned as u64);
        assert_eq!(all.finished, route.sent, "{}", report.table());
        assert_eq!(all.program.count, all.finished);
        assert_eq!(all.first_token.count, all.turn.count);
        assert_eq!(all.token_gap.count, all.turn.count);
        assert_eq!(route.tokens.prompt_tokens, 10 * all.turn.count);
        // After its first turn a program has 12 known tokens: the next prompt has 10 of them, 4 cached.
        let later_turns = all.turn.count - all.finished;
        assert_eq!(route.tokens.wasted_tokens, 6 * later_turns);
        let by_priority = ["priority urgent", "priority normal"];
        let finished = by_priority.map(|name| route.groups[name].finished);
        assert_eq!(finished.iter().sum::<u64>(), all.finished);
    }
    assert!(report.added.is_some());
    assert!(report.checks.passed, "{}", report.table());
    assert!(report.checks.tool_requests > 0);
    assert_eq!(report.checks.answered_without_execution, 0);
    let engine = &report.engines[0];
    assert_eq!(engine.after["unknown_field"], "kept");
    assert_eq!(
        engine.recomputed_tokens,
        Some(10 * report.checks.tool_requests as i64)
    );
}

/// Guards against checks that pass although a program spent more than its budget.
#[test]
fn exceeded_budget_fails_the_checks() {
    let site = FakeSite {
        spent_micros: 101,
        ..site()
    };
    let report = run_against(site, workload(|_| {}));
    assert!(!report.checks.passed);
    assert!(report.checks.over_budget.count > 0);
}

/// Guards against checks that pass although a tool executed an action twice.
#[test]
fn second_execution_of_an_action_fails_the_checks() {
    let site = FakeSite {
        executions_per_call: 2,
        ..site()
    };
    let report = run_against(site, workload(|_| {}));
    assert!(!report.checks.passed);
    assert_eq!(
        report.checks.executed_twice.count,
        report.checks.tool_requests
    );
}

/// Guards against checks that pass although the statistics of a tool could not be read, so that its
/// executions are unknown.
#[test]
fn unreadable_tool_statistics_fail_the_checks() {
    let address = "127.0.0.1:9".parse().unwrap();
    let error = ClientError::NotSent("closed".to_string());
    let report = Checks::default().finish(&[ServerStats::unavailable(address, &error)]);
    assert!(!report.passed);
    assert!(Checks::default().finish(&[]).passed);
}

/// Guards against more programs in flight than `max_in_flight`, and against arrivals beyond it that the
/// report leaves out.
#[test]
fn arrivals_beyond_max_in_flight_are_counted_but_not_sent() {
    let site = FakeSite {
        turn_delay: Duration::from_secs(1),
        ..site()
    };
    let report = run_against(site, workload(|raw| raw["max_in_flight"] = json!(1)));
    let entry = report.entry.unwrap();
    assert_eq!(entry.sent, 1);
    assert_eq!(entry.not_sent, report.planned as u64 - 1);
}

/// Guards against accepting a workload that blocks the load tool or overloads the site.
#[test]
fn invalid_workloads_are_refused() {
    let changes: [fn(&mut Value); 6] = [
        |raw| raw["duration_ms"] = json!(0),
        |raw| raw["max_in_flight"] = json!(0),
        |raw| raw["classes"] = json!([]),
        |raw| raw["classes"][0]["arrivals_per_second"] = json!(0.0),
        |raw| raw["classes"][0]["arrivals_per_second"] = json!(1e9),
        |raw| raw["classes"][0]["turns"] = json!({"min": 3, "max": 2}),
    ];
    for (index, change) in changes.into_iter().enumerate() {
        let mut value = workload_json();
        change(&mut value);
        assert!(Workload::parse(&value.to_string()).is_err(), "{index}");
    }
    Workload::load("division").unwrap();
    Workload::load("verfwerk").unwrap();
}
