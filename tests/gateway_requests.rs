//! Requests through gateways to backend servers, with failures of the servers.

#[path = "support/gateway.rs"]
mod gateway;

use std::thread;
use std::time::{Duration, Instant};

use gateway::{Turn, WAIT_LIMIT, call, new_id, runs_of, whole_data};
use sapphireford_standin::harness::{
    BackendServer, GatewaySite, default_routes, route, wait_until,
};
use serde_json::json;

/// Pause of a program between two turns, far above the time of a call between gateways.
const TURN_PAUSE: Duration = Duration::from_millis(500);

/// Guards against requests that are changed on their way, in either direction.
#[test]
fn a_request_and_its_answer_pass_unchanged() {
    let site = GatewaySite::start(1);
    let id = new_id();
    let request = call("POST", "/book/slot/7?side=left", &id)
        .header("hold", "h-1")
        .header("kv-from", "10.0.0.1:80/3")
        .header("cookie", "Affinity-Key=17")
        .body("{\"slot\": 7}");
    let answer = request
        .send(site.gateways[0].caller_address())
        .expect("an answer");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.text(), "{\"slot\": 7}");
    assert_eq!(answer.header("request-id"), Some(id.as_str()));
    assert!(answer.header("server-signature").is_some());
    let runs = runs_of(&site.plain_servers, &id);
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0]["method"], "POST");
    assert_eq!(runs[0]["path"], "/book/slot/7?side=left");
}

/// Guards against 404 for a route that exists, and against an answer of the wrong service.
#[test]
fn only_configured_routes_are_served() {
    let mut site = GatewaySite::start(1);
    let address = site.gateways[0].caller_address();
    let status = |path: &str| {
        let answer = call("GET", path, &new_id()).send(address);
        answer.expect("an answer").status
    };
    assert_eq!(status("/none/a"), 404);
    assert_eq!(status("/ping/a"), 200);
    let mut routes = default_routes();
    if let Some(routes) = routes.as_array_mut() {
        routes.push(route("/none/", "idempotent", "app", json!({})));
    }
    site.configure(routes);
    let is_added = wait_until(Duration::from_secs(2), || status("/none/a") == 200);
    assert!(is_added, "the route is not in force in time");
}

/// Guards against a second run of a request that may run once only.
#[test]
fn a_booking_whose_answer_is_lost_is_not_repeated() {
    let site = GatewaySite::start(1);
    for server in &site.plain_servers {
        server.process.control(&json!({ "lose_answer": true }));
    }
    let id = new_id();
    let answer = call("POST", "/book/a", &id).send(site.gateways[0].caller_address());
    assert_eq!(answer.expect("an answer").status, 502);
    assert_eq!(runs_of(&site.plain_servers, &id).len(), 1);
}

/// Guards against failures that another server could have answered.
#[test]
fn an_idempotent_request_goes_to_another_server() {
    let site = GatewaySite::start(1);
    site.plain_servers[0]
        .process
        .control(&json!({ "lose_answer": true }));
    site.plain_servers[1].process.control(&json!({}));
    for _ in 0..6 {
        let answer = call("GET", "/ping/a", &new_id()).send(site.gateways[0].caller_address());
        assert_eq!(answer.expect("an answer").status, 200);
    }
}

/// Guards against answers of other requests, and against answers that no server has signed.
#[test]
fn answers_that_are_not_the_servers_own_are_not_passed_on() {
    let site = GatewaySite::start(1);
    for fault in ["wrong_id", "unsigned"] {
        for server in &site.plain_servers {
            server.process.control(&json!({ fault: true }));
        }
        let answer = call("POST", "/book/a", &new_id()).send(site.gateways[0].caller_address());
        assert_eq!(answer.expect("an answer").status, 502, "{fault}");
    }
}

/// Guards against a promise that does not hold: a refusal says that the request did not run.
#[test]
fn a_request_that_no_server_takes_is_refused_at_once() {
    let site = GatewaySite::start(1);
    for server in &site.plain_servers {
        server.process.control(&json!({ "full": true }));
    }
    let id = new_id();
    let started = Instant::now();
    let answer = call("POST", "/book/a", &id).send(site.gateways[0].caller_address());
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 429);
    assert!(answer.header("retry-after").is_some());
    assert!(started.elapsed() < Duration::from_secs(1));
    assert_eq!(runs_of(&site.plain_servers, &id).len(), 0);
}

/// Guards against lost and repeated events when a server dies in the middle of a stream.
#[test]
fn a_resumable_stream_goes_on_at_another_server() {
    let site = GatewaySite::start(1);
    for engine in &site.engines {
        engine.process.control(&json!({ "cut_after_events": 3 }));
    }
    let id = new_id();
    let turn = Turn {
        id: &id,
        events: 6,
        ..Turn::default()
    };
    assert_eq!(turn.run(&site.gateways[0]), whole_data(turn.input, 6));
    let runs = runs_of(&site.engines, &id);
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().any(|run| run["last_event_id"] == 3));
}

/// Guards against a stream that stands still although another server could continue it.
#[test]
fn a_stream_that_stalls_goes_on_at_another_server() {
    let site = GatewaySite::start(1);
    for engine in &site.engines {
        engine.process.control(&json!({ "stall_after_events": 2 }));
    }
    let id = new_id();
    let turn = Turn {
        id: &id,
        events: 4,
        ..Turn::default()
    };
    assert_eq!(turn.run(&site.gateways[0]), whole_data(turn.input, 4));
}

/// Guards against a stream that ends early and looks complete, and against a second run of one
/// that must not be resumed.
#[test]
fn a_stream_that_cannot_be_resumed_breaks_off_visibly() {
    let site = GatewaySite::start(1);
    for engine in &site.engines {
        engine.process.control(&json!({ "cut_after_events": 2 }));
    }
    let id = new_id();
    let turn = Turn {
        path: "/chat/a",
        id: &id,
        ..Turn::default()
    };
    let mut stream = turn.open(&site.gateways[0]).expect("an answer");
    assert!(
        stream.remaining_events().is_err(),
        "the stream looks complete"
    );
    assert_eq!(runs_of(&site.engines, &id).len(), 1);
}

/// Guards against work for callers that have left.
#[test]
fn a_server_is_told_when_the_caller_leaves() {
    let site = GatewaySite::start(1);
    let id = new_id();
    let turn = Turn {
        id: &id,
        events: 200,
        ..Turn::default()
    };
    let mut stream = turn.open(&site.gateways[0]).expect("an answer");
    stream.next_event().expect("an event");
    drop(stream);
    let is_idle = || {
        let engines = site.engines.iter();
        let running = engines.map(|engine| engine.process.stats()["running"].clone());
        running.into_iter().all(|running| running == 0)
    };
    assert!(wait_until(Duration::from_millis(500), is_idle));
}

/// Guards against requests to a server that leaves.
#[test]
fn a_draining_server_gets_no_new_requests() {
    let site = GatewaySite::start(1);
    let address = site.gateways[0].caller_address();
    site.register(&site.plain_servers[0], "draining");
    std::thread::sleep(Duration::from_millis(500));
    for _ in 0..10 {
        let id = new_id();
        call("GET", "/ping/a", &id)
            .send(address)
            .expect("an answer");
        assert_eq!(runs_of(&site.plain_servers[..1], &id).len(), 0);
    }
    site.deregister(&site.plain_servers[0]);
    site.register(&site.plain_servers[0], "ready");
    let is_used = || {
        let id = new_id();
        call("GET", "/ping/a", &id)
            .send(address)
            .expect("an answer");
        !runs_of(&site.plain_servers[..1], &id).is_empty()
    };
    assert!(wait_until(WAIT_LIMIT, is_used));
}

/// Guards against prefixes that are computed twice: a program that had left its server under load
/// went back to it afterwards, away from the newer part of its prefix.
#[test]
fn a_program_stays_with_the_server_of_its_last_turn() {
    let site = GatewaySite::start(2);
    let set_full = |engine: usize, is_full: bool| {
        let process = &site.engines[engine].process;
        process.control(&json!({ "full": is_full }));
    };
    for number in 0..4 {
        let program = format!("p-stays-{number}");
        let run = |gateway: usize| {
            let id = new_id();
            let turn = Turn {
                id: &id,
                program: &program,
                ..Turn::default()
            };
            turn.run(&site.gateways[gateway]);
            // The report of the turn reaches the other gateway in the pause between two turns.
            thread::sleep(TURN_PAUSE);
            let ran =
                |engine: &BackendServer| !runs_of(std::slice::from_ref(engine), &id).is_empty();
            site.engines.iter().position(ran).expect("a run")
        };
        let home = run(0);
        assert_eq!(run(1), home, "both gateways choose the same server");
        set_full(home, true);
        let refuge = run(0);
        assert_ne!(refuge, home);
        set_full(home, false);
        assert_eq!(
            run(1),
            refuge,
            "{program} went back to where its prefix is old"
        );
        assert_eq!(run(0), refuge);
    }
}
