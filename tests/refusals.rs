//! A refusal with `ran: no` is accurate: no engine, tool or service received work, and the run was not
//! charged.

#[path = "support/calls.rs"]
mod calls;

use std::thread;
use std::time::Duration;

use calls::*;
use sapphireford_standin::harness::{
    HttpRequest, OPERATOR_KEY, Site, SiteOptions, TEAM_ONE_KEY, TEAM_TWO_KEY, wait_until,
};
use serde_json::{Value, json};
use yare::parameterized;

/// Nothing listens on this address.
const UNREACHABLE_ADDRESS: &str = "127.0.0.1:1";

fn site() -> Site {
    let program = |changes: Value| {
        let mut program = json!({ "team": "team-one", "model": "small", "budget_micros": 1_000_000, "tools": ["book", "dead"], "max_calls": 100, "max_sub_agents": 1, "max_depth": 1, "system_prompt": "" });
        let changes = changes.as_object().cloned().unwrap_or_default();
        program.as_object_mut().expect("an object").extend(changes);
        program
    };
    Site::with_options(SiteOptions {
        entries: 1,
        config: json!({ "limits": { "input_bytes": 1_000, "output_tokens": 5_000, "waiting_per_run": 1, "queue_time_ms": 1_000 }, "tools": { "dead": { "address": UNREACHABLE_ADDRESS, "price_limit_micros": 1_000, "time_limit_ms": 1_000, "idempotent": false, "has_status_query": false } }, "programs": { "usual": program(json!({})), "poor": program(json!({ "budget_micros": 60 })), "short": program(json!({ "max_calls": 1 })), "flat": program(json!({ "max_depth": 0 })) } }),
        ..SiteOptions::default()
    })
}

/// Returns counters of the work that has reached the backend servers: requests to both tools and the
/// service, calls started and tokens prefilled by the engines.
fn work_counters(site: &Site) -> Vec<u64> {
    let servers = [&site.tool, &site.tool_without_status, &site.service];
    let requests = servers.map(|server| server.stats()["requests"].as_u64().expect("a counter"));
    let mut counters = requests.to_vec();
    counters.push(engine_total(site, "calls_started"));
    counters.push(engine_total(site, "tokens_prefilled"));
    counters
}

fn spent_and_reserved(site: &Site, conversation: &str) -> Value {
    let state = site.get(0, conversation).expect("an answer").json();
    let runs = state["runs"].as_array().cloned().unwrap_or_default();
    let cost = |run: &Value| json!([run["spent_micros"], run["reserved_micros"]]);
    runs.iter().map(cost).collect()
}

/// Sends a request that must be refused with `kind` and `ran: no`, and checks that nothing ran and
/// that conversation `c1` was not charged.
fn assert_refused(site: &Site, key: &str, path: &str, body: &Value, kind: &str) {
    let before = (work_counters(site), spent_and_reserved(site, "c1"));
    let unchanged = || (work_counters(site), spent_and_reserved(site, "c1")) == before;
    let answer = HttpRequest::post(path)
        .bearer(key)
        .json(body)
        .send(site.entry_address(0))
        .expect("an answer");
    let error = &answer.json()["error"];
    assert_eq!(
        (&error["kind"], &error["ran"]),
        (&json!(kind), &json!("no"))
    );
    // A reservation is released with the next commit.
    assert!(
        wait_until(WAIT_TIMEOUT, unchanged),
        "{kind}: something ran or was charged"
    );
}

fn assert_call_refused(site: &Site, path: &str, body: &Value, kind: &str) {
    let path = format!("/v1/conversations/c1/{path}");
    assert_refused(site, TEAM_ONE_KEY, &path, body, kind);
}

fn start_run_of(site: &Site, program: &str) -> u64 {
    let body = json!({ "request_id": format!("start-{program}"), "program": program });
    let answer = site.post(0, "c1/runs", &body).expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
    answer.json()["run_id"].as_u64().expect("a run id")
}

fn tool_body(request_id: &str, tool: &str) -> Value {
    json!({ "request_id": request_id, "tool": tool, "arguments": {} })
}

/// Guards against work for callers without permission and for malformed requests.
#[test]
fn unauthorized_or_malformed_request_does_not_run() {
    let site = site();
    let run = start_run_of(&site, "usual");
    let turn = turn_body("c1", "t", 8);
    let turns = format!("/v1/conversations/c1/runs/{run}/turns");
    let tools = format!("runs/{run}/tool-calls");
    assert_refused(&site, "no-such-key", &turns, &turn, "unauthorized");
    assert_refused(&site, OPERATOR_KEY, &turns, &turn, "forbidden");
    // For another team the same id names another conversation.
    assert_refused(&site, TEAM_TWO_KEY, &turns, &turn, "not_found");
    assert_refused(
        &site,
        "no-such-key",
        "/v1/services/orders/x",
        &json!({}),
        "unauthorized",
    );
    assert_refused(
        &site,
        TEAM_ONE_KEY,
        "/v1/services/none/x",
        &json!({}),
        "not_found",
    );
    let program = |name: &str| json!({ "request_id": "p", "program": name });
    assert_call_refused(&site, "runs", &program("none"), "not_found");
    // `advice` is a program of another team.
    assert_call_refused(&site, "runs", &program("advice"), "not_found");
    assert_call_refused(&site, &tools, &tool_body("a1", "none"), "forbidden");
    assert_call_refused(&site, &tools, &tool_body("a2", "search"), "forbidden");
    assert_call_refused(&site, "runs/77/turns", &turn, "not_found");
    let too_long = json!({ "request_id": "l", "input": "x".repeat(2_000), "max_output_tokens": 8 });
    assert_call_refused(
        &site,
        &format!("runs/{run}/turns"),
        &too_long,
        "body_too_large",
    );
    let too_much = turn_body("c1", "m", 5_001);
    assert_call_refused(
        &site,
        &format!("runs/{run}/turns"),
        &too_much,
        "bad_request",
    );
    assert_call_refused(
        &site,
        &format!("runs/{run}/turns"),
        &json!({ "input": 3 }),
        "bad_request",
    );
}

/// Guards against work that exceeds the limits of a program, and against work after a run has ended.
#[test]
fn request_beyond_a_limit_does_not_run() {
    let site = site();
    let turns = |run: u64| format!("runs/{run}/turns");
    let poor = start_run_of(&site, "poor");
    assert_call_refused(
        &site,
        &turns(poor),
        &turn_body("c1", "b1", 50),
        "budget_exceeded",
    );
    assert_call_refused(
        &site,
        &format!("runs/{poor}/tool-calls"),
        &tool_body("b2", "book"),
        "budget_exceeded",
    );
    let short = start_run_of(&site, "short");
    let first = site.post(
        0,
        &format!("c1/{}", turns(short)),
        &turn_body("c1", "s1", 8),
    );
    assert_eq!(first.expect("an answer").status, 200);
    assert_call_refused(
        &site,
        &turns(short),
        &turn_body("c1", "s2", 8),
        "too_many_calls",
    );
    assert_call_refused(
        &site,
        &format!("runs/{short}/tool-calls"),
        &tool_body("s3", "book"),
        "too_many_calls",
    );
    assert_call_refused(
        &site,
        &turns(short),
        &turn_body("c1", "s1", 9),
        "request_id_conflict",
    );
    let sub_agent = |id: &str| json!({ "request_id": id, "program": "usual", "budget_micros": 9 });
    let flat = start_run_of(&site, "flat");
    assert_call_refused(
        &site,
        &format!("runs/{flat}/sub-agents"),
        &sub_agent("f1"),
        "too_deep",
    );
    let usual = start_run_of(&site, "usual");
    let path = format!("c1/runs/{usual}/sub-agents");
    let child = site.post(0, &path, &sub_agent("u1")).expect("an answer");
    assert_eq!(child.status, 200, "{}", child.text());
    assert_call_refused(
        &site,
        &path["c1/".len()..],
        &sub_agent("u2"),
        "too_many_sub_agents",
    );
    let mut gap = turn_body("c1", "g1", 8);
    gap["sequence"] = json!(5);
    assert_call_refused(&site, &turns(usual), &gap, "sequence_gap");
    let end = json!({ "request_id": "e" });
    let ended = site.post(0, &format!("c1/runs/{usual}/end"), &end);
    assert_eq!(ended.expect("an answer").status, 200);
    assert_call_refused(&site, &turns(usual), &turn_body("c1", "e1", 8), "run_ended");
    assert_call_refused(
        &site,
        &format!("runs/{usual}/tool-calls"),
        &tool_body("e2", "book"),
        "run_ended",
    );
}

/// Guards against sending work to a backend server although the request was refused because none can
/// do it.
#[test]
fn request_without_a_backend_server_does_not_run() {
    let site = site();
    let run = start_run_of(&site, "usual");
    assert_call_refused(
        &site,
        &format!("runs/{run}/tool-calls"),
        &tool_body("a1", "dead"),
        "no_backend_server",
    );
    for engine in &site.engines {
        engine.control(&json!({ "fail_next": 10 }));
    }
    let turns = format!("runs/{run}/turns");
    assert_call_refused(
        &site,
        &turns,
        &turn_body("c1", "t1", 8),
        "no_backend_server",
    );
    for engine in &site.engines {
        engine.control(&json!({ "fail_next": 0, "leaving": true }));
    }
    // Long enough for the entry to read the load reports.
    thread::sleep(Duration::from_secs(3));
    assert_call_refused(
        &site,
        &turns,
        &turn_body("c1", "t2", 8),
        "no_backend_server",
    );
    // The budget covers only one turn, so each refused turn must release its reservation.
    let poor = start_run_of(&site, "poor");
    site.platform.control(&json!({ "delay_ms": 200 }));
    for request_id in ["p1", "p2", "p3"] {
        let body = turn_body("c1", request_id, 8);
        let answer = site.post(0, &format!("c1/runs/{poor}/turns"), &body);
        let kind = refusal_kind(&answer.expect("an answer"));
        assert_eq!(kind.as_deref(), Ok("no_backend_server"));
    }
    site.platform.control(&json!({ "delay_ms": 0 }));
    for engine in &site.engines {
        engine.control(&json!({ "leaving": false }));
    }
    // The refused request runs when it is sent again.
    let text = run_turn(site.client(), &mut [0].into(), "c1", "t2", 8);
    assert!(text.is_ok(), "{text:?}");
    assert_eq!(engine_total(&site, "calls_started"), 1);
}

/// Guards against executing an action although an overloaded run or entry refused its request.
#[parameterized( run = { "waiting_per_run" }, entry = { "requests_per_entry" } )]
fn request_refused_for_overload_does_not_run(limit: &str) {
    const REQUESTS: usize = 6;
    let site = site();
    let run = start_run_of(&site, "usual");
    if limit == "requests_per_entry" {
        let files = [
            site.base_config(),
            json!({ "limits": { "requests_per_entry": 1, "waiting_per_run": 100, "queue_time_ms": 1_000 }, "programs": { "usual": { "team": "team-one", "model": "small", "budget_micros": 1_000_000, "tools": ["book"], "max_calls": 100, "max_sub_agents": 1, "max_depth": 1, "system_prompt": "" } } }),
        ];
        site.apply(1, &files);
        let in_force =
            || site.status(site.entry_address(0)).expect("a status")["config_version"] == 2;
        assert!(wait_until(WAIT_TIMEOUT, in_force));
    }
    site.tool.control(&json!({ "delay_ms": 800 }));
    let client = site.client();
    let path = format!("c1/runs/{run}/tool-calls");
    let calls: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let (path, body) = (path.clone(), tool_body(&format!("a{number}"), "book"));
            thread::spawn(move || client.post(0, &path, &body).expect("an answer"))
        })
        .collect();
    let answers: Vec<_> = calls
        .into_iter()
        .map(|call| call.join().expect("an answer"))
        .collect();
    let done = answers.iter().filter(|answer| answer.status == 200).count();
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        let kind = refusal_kind(answer).expect("`ran: no`");
        assert!(
            ["overloaded", "queue_timeout"].contains(&kind.as_str()),
            "{kind}"
        );
    }
    assert!((1..REQUESTS).contains(&done), "{done} of {REQUESTS} ran");
    let executed = site.tool.stats()["executions_by_key"]
        .as_object()
        .map(|keys| keys.len());
    assert_eq!(executed, Some(done), "a refused action ran");
}

/// Guards against `ran: no` for a repeated request whose first attempt is still queued and runs later.
#[test]
fn refused_repeat_of_a_waiting_call_reports_ran_unknown() {
    let site = site();
    let run = start_run_of(&site, "usual");
    site.tool.control(&json!({ "delay_ms": 300 }));
    let client = site.client();
    let path = format!("c1/runs/{run}/tool-calls");
    // `a` runs, one attempt of `b` waits for it, and the other attempts find the queue full.
    let calls: Vec<_> = ["a", "b", "b", "b"]
        .map(|request_id| {
            let (path, body) = (path.clone(), tool_body(request_id, "book"));
            let call = thread::spawn(move || client.post(0, &path, &body).expect("an answer"));
            thread::sleep(Duration::from_millis(60));
            (request_id, call)
        })
        .into_iter()
        .collect();
    let mut done = 0;
    for (request_id, call) in calls {
        let answer = call.join().expect("an answer");
        if answer.status == 200 {
            done += usize::from(request_id == "b");
        } else if request_id == "b" {
            let ran = answer.json()["error"]["ran"].clone();
            assert_eq!(ran, "unknown", "{}", answer.text());
        }
    }
    assert!(done >= 1, "no attempt of the repeated call ran");
    let executed = site.tool.stats()["executions_by_key"].clone();
    assert_eq!(executed.as_object().map(|keys| keys.len()), Some(2));
}
