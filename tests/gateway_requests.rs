//! Requests through gateways to backend servers, including failures of the servers.

#[path = "support/gateway.rs"]
mod gateway;

use std::thread;
use std::time::{Duration, Instant};

use gateway::{
    Turn, WAIT_TIMEOUT, caller_request, expected_stream_data, new_request_id, recorded_runs,
};
use sapphireford_standin::harness::{
    BackendServer, GatewaySite, ProxyMode, default_routes, route, wait_until,
};
use serde_json::json;

/// Pause of a program between two turns, far longer than a call between gateways takes.
const TURN_PAUSE: Duration = Duration::from_millis(500);

/// Guards against requests and responses that the gateway alters.
#[test]
fn a_request_and_its_answer_pass_unchanged() {
    let site = GatewaySite::start(1);
    let id = new_request_id();
    let request = caller_request("POST", "/book/slot/7?side=left", &id)
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
    let runs = recorded_runs(&site.plain_servers, &id);
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0]["method"], "POST");
    assert_eq!(runs[0]["path"], "/book/slot/7?side=left");
}

/// Guards against a 404 for a configured route, a response from a service without a route, and a
/// new route that takes effect late.
#[test]
fn only_configured_routes_are_served() {
    let mut site = GatewaySite::start(1);
    let address = site.gateways[0].caller_address();
    let status = |path: &str| {
        let answer = caller_request("GET", path, &new_request_id()).send(address);
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
    assert!(is_added, "the new route did not take effect in time");
}

/// Guards against a second execution of a non-idempotent request: it may have run although its
/// response was lost.
#[test]
fn a_booking_whose_answer_is_lost_is_not_repeated() {
    let site = GatewaySite::start(1);
    for server in &site.plain_servers {
        server.process.control(&json!({ "lose_answer": true }));
    }
    let id = new_request_id();
    let answer = caller_request("POST", "/book/a", &id).send(site.gateways[0].caller_address());
    assert_eq!(answer.expect("an answer").status, 502);
    assert_eq!(recorded_runs(&site.plain_servers, &id).len(), 1);
}

/// Guards against failing an idempotent request that another server could have answered.
#[test]
fn an_idempotent_request_goes_to_another_server() {
    let site = GatewaySite::start(1);
    site.plain_servers[0]
        .process
        .control(&json!({ "lose_answer": true }));
    site.plain_servers[1].process.control(&json!({}));
    for _ in 0..6 {
        let answer = caller_request("GET", "/ping/a", &new_request_id())
            .send(site.gateways[0].caller_address());
        assert_eq!(answer.expect("an answer").status, 200);
    }
}

/// Guards against forwarding a response that belongs to another request or lacks a server
/// signature.
#[test]
fn answers_that_are_not_the_servers_own_are_not_passed_on() {
    let site = GatewaySite::start(1);
    for fault in ["wrong_id", "unsigned"] {
        for server in &site.plain_servers {
            server.process.control(&json!({ fault: true }));
        }
        let answer = caller_request("POST", "/book/a", &new_request_id())
            .send(site.gateways[0].caller_address());
        assert_eq!(answer.expect("an answer").status, 502, "{fault}");
    }
}

/// Guards against a refusal of a request that ran, and against a late refusal: it must state at
/// once that the request did not run and when to retry.
#[test]
fn a_request_that_no_server_takes_is_refused_at_once() {
    let site = GatewaySite::start(1);
    for server in &site.plain_servers {
        server.process.control(&json!({ "full": true }));
    }
    let id = new_request_id();
    let started = Instant::now();
    let answer = caller_request("POST", "/book/a", &id).send(site.gateways[0].caller_address());
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 429);
    assert!(answer.header("retry-after").is_some());
    assert!(started.elapsed() < Duration::from_secs(1));
    assert_eq!(recorded_runs(&site.plain_servers, &id).len(), 0);
}

/// Guards against lost and repeated events when a server fails in the middle of a stream.
#[test]
fn a_resumable_stream_goes_on_at_another_server() {
    let site = GatewaySite::start(1);
    for engine in &site.engines {
        engine.process.control(&json!({ "cut_after_events": 3 }));
    }
    let id = new_request_id();
    let turn = Turn {
        id: &id,
        events: 6,
        ..Turn::default()
    };
    assert_eq!(
        turn.run(&site.gateways[0]),
        expected_stream_data(turn.input, 6)
    );
    let runs = recorded_runs(&site.engines, &id);
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().any(|run| run["last_event_id"] == 3));
}

/// Guards against a stalled stream that another server could continue.
#[test]
fn a_stream_that_stalls_goes_on_at_another_server() {
    let site = GatewaySite::start(1);
    for engine in &site.engines {
        engine.process.control(&json!({ "stall_after_events": 2 }));
    }
    let id = new_request_id();
    let turn = Turn {
        id: &id,
        events: 4,
        ..Turn::default()
    };
    assert_eq!(
        turn.run(&site.gateways[0]),
        expected_stream_data(turn.input, 4)
    );
}

/// Guards against a stream that is taken from a sound server that is silent for a second or so.
#[test]
fn a_server_that_falls_silent_for_a_while_keeps_its_stream() {
    let site = GatewaySite::start(1);
    let id = new_request_id();
    let turn = Turn {
        id: &id,
        events: 30,
        ..Turn::default()
    };
    let mut stream = turn.open(&site.gateways[0]).expect("an answer");
    stream.next_event().expect("an event").expect("an event");
    let set_modes = |mode| {
        let engines = site.engines.iter();
        engines.for_each(|engine| engine.proxy.set_mode(mode));
    };
    set_modes(ProxyMode::Stall);
    thread::sleep(Duration::from_millis(1_400));
    set_modes(ProxyMode::Forward);
    let rest = stream.remaining_events().expect("a complete stream");
    assert_eq!(rest.len(), 29);
    assert_eq!(recorded_runs(&site.engines, &id).len(), 1);
}

/// Guards against a truncated stream that looks complete, and against a second execution of a
/// request that must not be resumed.
#[test]
fn a_stream_that_cannot_be_resumed_breaks_off_visibly() {
    let site = GatewaySite::start(1);
    for engine in &site.engines {
        engine.process.control(&json!({ "cut_after_events": 2 }));
    }
    let id = new_request_id();
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
    assert_eq!(recorded_runs(&site.engines, &id).len(), 1);
}

/// Guards against a server that continues to generate after the caller has disconnected.
#[test]
fn a_server_is_told_when_the_caller_leaves() {
    let site = GatewaySite::start(1);
    let id = new_request_id();
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

/// Guards against requests to a draining server, and against a server that stays unused after it
/// has registered again.
#[test]
fn a_draining_server_gets_no_new_requests() {
    let site = GatewaySite::start(1);
    let address = site.gateways[0].caller_address();
    site.register(&site.plain_servers[0], "draining");
    std::thread::sleep(Duration::from_millis(500));
    for _ in 0..10 {
        let id = new_request_id();
        caller_request("GET", "/ping/a", &id)
            .send(address)
            .expect("an answer");
        assert_eq!(recorded_runs(&site.plain_servers[..1], &id).len(), 0);
    }
    site.deregister(&site.plain_servers[0]);
    site.register(&site.plain_servers[0], "ready");
    let is_used = || {
        let id = new_request_id();
        caller_request("GET", "/ping/a", &id)
            .send(address)
            .expect("an answer");
        !recorded_runs(&site.plain_servers[..1], &id).is_empty()
    };
    assert!(wait_until(WAIT_TIMEOUT, is_used));
}

/// Guards against prefixes that are computed twice: a program that had spilled over returned to its
/// first server afterwards, although the newer part of its prefix was cached elsewhere.
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
            let id = new_request_id();
            let turn = Turn {
                id: &id,
                program: &program,
                ..Turn::default()
            };
            turn.run(&site.gateways[gateway]);
            // The report of the turn reaches the other gateway during this pause.
            thread::sleep(TURN_PAUSE);
            let ran = |engine: &BackendServer| {
                !recorded_runs(std::slice::from_ref(engine), &id).is_empty()
            };
            site.engines.iter().position(ran).expect("a run")
        };
        let preferred = run(0);
        assert_eq!(run(1), preferred, "both gateways choose the same server");
        set_full(preferred, true);
        let fallback = run(0);
        assert_ne!(fallback, preferred);
        set_full(preferred, false);
        assert_eq!(
            run(1),
            fallback,
            "{program} returned to the server with the older part of its prefix"
        );
        assert_eq!(run(0), fallback);
    }
}
