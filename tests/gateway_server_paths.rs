//! Gateways that reach the store and their peers, but no backend server.

#[path = "support/gateway.rs"]
mod gateway;

use std::thread;
use std::time::{Duration, Instant};

use gateway::{
    Turn, WAIT_TIMEOUT, caller_request, caller_request_within, expected_stream_data,
    new_request_id, recorded_runs,
};
use sapphireford_standin::harness::{GatewayProcess, GatewaySite, ProxyMode, wait_until};
use serde_json::json;
use yare::parameterized;

/// Time after the cut in which a gateway finds out that it has no path and who has one.
const DETECTION_TIME: Duration = Duration::from_millis(1_000);
/// More requests at once than a gateway has open connections to a server.
const CONCURRENT_REQUESTS: usize = 12;
/// A gateway that started reads the registrations of gateways of other failure domains again.
const REGISTRATIONS_READ_AGAIN: Duration = Duration::from_millis(3_500);
/// Limit of a request through a second gateway, far below the time-out of a connect.
const SERVED_WITHIN: Duration = Duration::from_millis(300);
/// Time after the end of a cut in which a gateway uses its own path again.
const RETURN_TIME: Duration = Duration::from_millis(2_000);

/// How a gateway loses its connections to servers.
#[derive(Clone, Copy)]
enum Cut {
    Silent,
    Reset,
    NewRefused,
}

fn cut_off(gateway: &GatewayProcess, cut: Cut) {
    match cut {
        Cut::Silent => gateway.set_server_paths(ProxyMode::Partition),
        Cut::NewRefused => gateway.set_server_paths(ProxyMode::Refuse),
        Cut::Reset => {
            gateway.set_server_paths(ProxyMode::Refuse);
            let proxies = gateway.server_proxies.values();
            proxies.for_each(|proxy| proxy.reset_connections());
        }
    }
}

/// Sends requests that make the gateways find out that they have no path. Some of them need new
/// connections, because open ones may live on.
fn find_out(gateways: &[&GatewayProcess]) {
    thread::scope(|scope| {
        for gateway in gateways {
            for _ in 0..CONCURRENT_REQUESTS {
                let request = caller_request("GET", "/ping/a", &new_request_id());
                scope.spawn(move || request.send(gateway.caller_address()));
            }
        }
    });
    thread::sleep(DETECTION_TIME);
}

/// Sends one request of each kind, one of which must not run twice; returns the longest time.
fn serve_each_kind(site: &GatewaySite, gateway: &GatewayProcess) -> Duration {
    let mut longest = Duration::ZERO;
    for (method, path) in [("GET", "/ping/a"), ("POST", "/book/a")] {
        let id = new_request_id();
        let started = Instant::now();
        let answer = caller_request(method, path, &id).send(gateway.caller_address());
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{path}: {}", answer.text());
        assert_eq!(answer.header("request-id"), Some(id.as_str()));
        longest = longest.max(started.elapsed());
        assert_eq!(recorded_runs(&site.plain_servers, &id).len(), 1);
    }
    for path in ["/quote/a", "/chat/a"] {
        let id = new_request_id();
        let started = Instant::now();
        let turn = Turn {
            path,
            id: &id,
            program: &id,
            ..Turn::default()
        };
        assert_eq!(turn.run(gateway), expected_stream_data(turn.input, 4));
        longest = longest.max(started.elapsed());
        assert_eq!(recorded_runs(&site.engines, &id).len(), 1);
    }
    longest
}

#[parameterized(silent = { Cut::Silent }, reset = { Cut::Reset }, refused = { Cut::NewRefused })]
fn a_gateway_without_a_path_to_servers_serves_its_callers_through_peers(cut: Cut) {
    let site = GatewaySite::start_with_own_paths(&["d1"; 3]);
    let [stranded, connected, _] = &site.gateways[..] else {
        unreachable!("the site has three gateways");
    };
    serve_each_kind(&site, stranded);
    cut_off(stranded, cut);
    find_out(&[stranded]);
    for _ in 0..5 {
        let longest = serve_each_kind(&site, stranded);
        assert!(longest < SERVED_WITHIN, "a request took {longest:?}");
    }
    // New callers are led elsewhere.
    let returns_stranded =
        |gateway: &GatewayProcess| gateway.lookup().contains(&stranded.caller_address());
    assert!(!returns_stranded(stranded));
    assert!(wait_until(WAIT_TIMEOUT, || !returns_stranded(connected)));
    // The cut has taught nobody that servers are dead or requests deadly.
    serve_each_kind(&site, connected);
    stranded.set_server_paths(ProxyMode::Forward);
    assert!(wait_until(WAIT_TIMEOUT, || returns_stranded(connected)));
}

#[test]
fn a_gateway_uses_its_own_path_soon_after_a_cut() {
    let mut site = GatewaySite::start_with_own_paths(&["d1"; 2]);
    for cut in [Cut::Silent, Cut::Reset] {
        cut_off(&site.gateways[0], cut);
        find_out(&[&site.gateways[0]]);
        serve_each_kind(&site, &site.gateways[0]);
        site.gateways[0].set_server_paths(ProxyMode::Forward);
        thread::sleep(RETURN_TIME);
        site.gateways[1].kill();
        serve_each_kind(&site, &site.gateways[0]);
        site.gateways[1].start();
        assert!(wait_until(WAIT_TIMEOUT, || site.gateways[1].is_ready()));
    }
}

#[test]
fn the_gateways_of_a_stranded_failure_domain_are_helped_by_another_one() {
    let site = GatewaySite::start_with_own_paths(&["d1", "d1", "d2", "d2"]);
    thread::sleep(REGISTRATIONS_READ_AGAIN);
    let stranded: Vec<_> = site.gateways[..2].iter().collect();
    for gateway in &stranded {
        cut_off(gateway, Cut::Silent);
    }
    find_out(&stranded);
    for stranded in &site.gateways[..2] {
        let longest = serve_each_kind(&site, stranded);
        assert!(longest < SERVED_WITHIN, "a request took {longest:?}");
        let leads_elsewhere = || {
            let addresses = stranded.lookup();
            let is_stranded =
                |gateway: &GatewayProcess| addresses.contains(&gateway.caller_address());
            !addresses.is_empty() && !site.gateways[..2].iter().any(is_stranded)
        };
        assert!(wait_until(WAIT_TIMEOUT, leads_elsewhere));
    }
}

#[test]
fn requests_are_not_refused_while_the_only_helper_of_the_failure_domain_is_killed() {
    let mut site = GatewaySite::start_with_own_paths(&["d1", "d1", "d2", "d2"]);
    thread::sleep(REGISTRATIONS_READ_AGAIN);
    cut_off(&site.gateways[0], Cut::Silent);
    find_out(&[&site.gateways[0]]);
    for _ in 0..4 {
        site.gateways[1].kill();
        for _ in 0..20 {
            let request = caller_request("POST", "/book/a", &new_request_id());
            let answer = request.send(site.gateways[0].caller_address());
            let answer = answer.expect("an answer");
            assert_eq!(answer.status, 200, "{}", answer.text());
            thread::sleep(Duration::from_millis(10));
        }
        site.gateways[1].start();
        assert!(wait_until(WAIT_TIMEOUT, || site.gateways[1].is_ready()));
        thread::sleep(DETECTION_TIME);
    }
}

#[parameterized(killed = { true }, hanging = { false })]
fn repeatable_requests_survive_the_failure_of_the_helper_that_serves_them(is_killed: bool) {
    let mut site = GatewaySite::start_with_own_paths(&["d1"; 3]);
    cut_off(&site.gateways[0], Cut::Silent);
    find_out(&[&site.gateways[0]]);
    site.plain_servers
        .iter()
        .for_each(|server| server.process.pause());
    let stranded = site.gateways[0].caller_address();
    let requests: Vec<_> = (0..CONCURRENT_REQUESTS)
        .map(|_| {
            let request = caller_request("GET", "/ping/a", &new_request_id());
            thread::spawn(move || request.send(stranded))
        })
        .collect();
    // All of them are with the helpers now.
    thread::sleep(Duration::from_millis(100));
    match is_killed {
        true => site.gateways[1].kill(),
        false => site.gateways[1].process().pause(),
    }
    site.plain_servers
        .iter()
        .for_each(|server| server.process.resume());
    for request in requests {
        let answer = request.join().expect("no panic").expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

#[test]
fn a_request_that_must_not_run_twice_is_not_repeated_after_its_helper_was_killed() {
    let mut site = GatewaySite::start_with_own_paths(&["d1"; 3]);
    cut_off(&site.gateways[0], Cut::Silent);
    find_out(&[&site.gateways[0]]);
    site.plain_servers
        .iter()
        .for_each(|server| server.process.pause());
    let stranded = site.gateways[0].caller_address();
    let requests: Vec<_> = (0..CONCURRENT_REQUESTS)
        .map(|_| {
            let id = new_request_id();
            let request = caller_request("POST", "/book/a", &id);
            (id, thread::spawn(move || request.send(stranded)))
        })
        .collect();
    thread::sleep(Duration::from_millis(100));
    site.gateways[1].kill();
    site.plain_servers
        .iter()
        .for_each(|server| server.process.resume());
    for (id, request) in requests {
        let answer = request.join().expect("no panic").expect("an answer");
        assert!([200, 502].contains(&answer.status), "{}", answer.text());
        assert!(recorded_runs(&site.plain_servers, &id).len() <= 1);
    }
}

#[test]
fn a_helper_that_is_cut_off_as_well_leaves_requests_to_another_one() {
    let site = GatewaySite::start_with_own_paths(&["d1"; 3]);
    cut_off(&site.gateways[0], Cut::Silent);
    find_out(&[&site.gateways[0]]);
    cut_off(&site.gateways[1], Cut::Reset);
    let stranded = site.gateways[0].caller_address();
    thread::scope(|scope| {
        for _ in 0..CONCURRENT_REQUESTS {
            scope.spawn(move || {
                let request = caller_request("POST", "/book/a", &new_request_id());
                let answer = request.send(stranded).expect("an answer");
                assert_eq!(answer.status, 200, "{}", answer.text());
            });
        }
    });
}

#[test]
fn a_relayed_stream_that_cannot_be_resumed_fails_soon_after_its_helper_is_cut_off() {
    let site = GatewaySite::start_with_own_paths(&["d1"; 2]);
    cut_off(&site.gateways[0], Cut::Silent);
    find_out(&[&site.gateways[0]]);
    let id = new_request_id();
    let turn = Turn {
        path: "/chat/a",
        id: &id,
        program: &id,
        events: 300,
        ..Turn::default()
    };
    let mut stream = turn.open(&site.gateways[0]).expect("an answer");
    stream.next_event().expect("an event").expect("an event");
    let cut_at = Instant::now();
    cut_off(&site.gateways[1], Cut::Silent);
    stream.remaining_events().expect_err("the stream breaks");
    let time = cut_at.elapsed();
    assert!(time < Duration::from_millis(2_000), "{time:?}");
}

#[test]
fn a_request_through_a_peer_keeps_its_deadline() {
    let site = GatewaySite::start_with_own_paths(&["d1"; 2]);
    cut_off(&site.gateways[0], Cut::Silent);
    find_out(&[&site.gateways[0]]);
    site.plain_servers
        .iter()
        .for_each(|server| server.process.pause());
    for (method, path) in [("GET", "/ping/a"), ("POST", "/book/a")] {
        let deadline = Duration::from_millis(700);
        let request = caller_request_within(method, path, &new_request_id(), deadline);
        let started = Instant::now();
        let answer = request.send(site.gateways[0].caller_address());
        let answer = answer.expect("an answer");
        let time = started.elapsed();
        assert_eq!(answer.status, 504, "{}", answer.text());
        assert!(time >= Duration::from_millis(650), "{time:?}");
        assert!(time < Duration::from_millis(1_000), "{time:?}");
    }
}

#[test]
fn no_request_fails_while_a_helper_stops_as_planned() {
    let mut site = GatewaySite::start_with_own_paths(&["d1"; 3]);
    cut_off(&site.gateways[0], Cut::Silent);
    find_out(&[&site.gateways[0]]);
    let stranded = site.gateways[0].caller_address();
    let ids: Vec<_> = (0..CONCURRENT_REQUESTS).map(|_| new_request_id()).collect();
    let turns: Vec<_> = ids
        .iter()
        .map(|id| {
            let turn = Turn {
                id,
                events: 60,
                ..Turn::default()
            };
            (turn.input, turn.open(&site.gateways[0]).expect("an answer"))
        })
        .collect();
    site.gateways[1].terminate();
    for _ in 0..50 {
        let request = caller_request("POST", "/book/a", &new_request_id());
        let answer = request.send(stranded).expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
        thread::sleep(Duration::from_millis(20));
    }
    for (input, mut stream) in turns {
        let events = stream.remaining_events().expect("a complete stream");
        let data: Vec<_> = events.into_iter().map(|event| event.data).collect();
        assert_eq!(data, expected_stream_data(input, 60));
    }
    let stopped = site.gateways[1].process().wait(WAIT_TIMEOUT);
    assert!(stopped.is_some_and(|status| status.success()));
}

#[test]
fn gateways_that_are_cut_off_together_do_not_take_each_other_for_helpers() {
    let site = GatewaySite::start_with_own_paths(&["d1", "d1", "d2"]);
    let [first, second, _] = &site.gateways[..] else {
        unreachable!("the site has three gateways");
    };
    thread::sleep(REGISTRATIONS_READ_AGAIN);
    serve_each_kind(&site, first);
    serve_each_kind(&site, second);
    cut_off(first, Cut::Silent);
    cut_off(second, Cut::Silent);
    thread::scope(|scope| {
        for _ in 0..CONCURRENT_REQUESTS {
            let request = caller_request("GET", "/ping/a", &new_request_id());
            scope.spawn(move || request.send(first.caller_address()));
        }
    });
    serve_each_kind(&site, first);
}

#[test]
fn gateways_without_a_path_do_not_pass_requests_to_each_other() {
    let site = GatewaySite::start_with_own_paths(&["d1"; 2]);
    for gateway in &site.gateways {
        cut_off(gateway, Cut::Silent);
    }
    find_out(&site.gateways.iter().collect::<Vec<_>>());
    for gateway in &site.gateways {
        let started = Instant::now();
        let request = caller_request("POST", "/book/a", &new_request_id());
        let answer = request.send(gateway.caller_address()).expect("an answer");
        assert_eq!(answer.status, 503, "{}", answer.text());
        assert!(answer.header("retry-after").is_some());
        assert!(started.elapsed() < SERVED_WITHIN);
    }
}

#[test]
fn a_stream_in_progress_goes_on_through_a_peer() {
    let site = GatewaySite::start_with_own_paths(&["d1"; 2]);
    let id = new_request_id();
    let turn = Turn {
        id: &id,
        events: 60,
        ..Turn::default()
    };
    let mut stream = turn.open(&site.gateways[0]).expect("an answer");
    let first = stream.next_event().expect("an event").expect("an event");
    cut_off(&site.gateways[0], Cut::Silent);
    let rest = stream.remaining_events().expect("a complete stream");
    let data: Vec<String> = std::iter::once(first)
        .chain(rest)
        .map(|event| event.data)
        .collect();
    assert_eq!(data, expected_stream_data(turn.input, 60));
}

#[parameterized(before_its_head = { false }, between_its_events = { true })]
fn a_stream_that_cannot_be_resumed_fails_soon_after_its_gateway_is_cut_off(has_begun: bool) {
    let site = GatewaySite::start_with_own_paths(&["d1"; 2]);
    let id = new_request_id();
    let turn = Turn {
        path: "/chat/a",
        id: &id,
        program: &id,
        events: 300,
        ..Turn::default()
    };
    let stranded = &site.gateways[0];
    // Leaves open connections to both servers, on which the turn is sent after the cut.
    thread::scope(|scope| {
        for _ in 0..CONCURRENT_REQUESTS {
            scope.spawn(|| serve_each_kind(&site, stranded));
        }
    });
    let cut_at = Instant::now();
    if has_begun {
        let mut stream = turn.open(stranded).expect("an answer");
        stream.next_event().expect("an event").expect("an event");
        cut_off(stranded, Cut::Silent);
        stream.remaining_events().expect_err("the stream breaks");
    } else {
        cut_off(stranded, Cut::Silent);
        let answer = turn.request().send(stranded.caller_address());
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 502, "{}", answer.text());
    }
    let time = cut_at.elapsed();
    assert!(time < Duration::from_millis(2_000), "{time:?}");
}

#[test]
fn a_peer_sends_a_relayed_request_to_no_more_servers_than_its_route_has_attempts_left() {
    let site = GatewaySite::start_with_own_paths(&["d1"; 2]);
    let id = new_request_id();
    let turn = Turn {
        id: &id,
        events: 60,
        ..Turn::default()
    };
    let mut stream = turn.open(&site.gateways[0]).expect("an answer");
    stream.next_event().expect("an event").expect("an event");
    for engine in &site.engines {
        engine.process.control(&json!({ "cut_after_events": 2 }));
    }
    cut_off(&site.gateways[0], Cut::Silent);
    stream.remaining_events().expect_err("each server breaks");
    assert_eq!(recorded_runs(&site.engines, &id).len(), 2);
}

#[test]
fn a_request_through_a_peer_counts_against_the_budget_of_its_program() {
    let site = GatewaySite::start_with_own_paths(&["d1"; 2]);
    cut_off(&site.gateways[0], Cut::Silent);
    find_out(&[&site.gateways[0]]);
    let mut statuses = Vec::new();
    for _ in 0..4 {
        let id = new_request_id();
        let turn = Turn {
            id: &id,
            budget_tokens: 60,
            ..Turn::default()
        };
        let stream = turn.open(&site.gateways[0]).expect("an answer");
        statuses.push(stream.status());
        let _ = stream.into_answer();
    }
    assert_eq!(statuses, [200, 200, 402, 402]);
}

#[test]
fn a_server_is_told_when_the_caller_of_a_stranded_gateway_leaves() {
    let site = GatewaySite::start_with_own_paths(&["d1"; 2]);
    cut_off(&site.gateways[0], Cut::Silent);
    find_out(&[&site.gateways[0]]);
    let id = new_request_id();
    let turn = Turn {
        id: &id,
        events: 300,
        ..Turn::default()
    };
    let mut stream = turn.open(&site.gateways[0]).expect("an answer");
    stream.next_event().expect("an event").expect("an event");
    drop(stream);
    let is_idle = || {
        let mut engines = site.engines.iter();
        engines.all(|engine| engine.process.stats()["running"] == json!(0))
    };
    assert!(wait_until(Duration::from_millis(500), is_idle));
}

#[test]
fn a_cut_makes_no_request_suspect() {
    let site = GatewaySite::start_with_own_paths(&["d1"; 2]);
    let request = || caller_request("POST", "/quote/a", &new_request_id()).body("the same");
    let request = || request().header("x-events", "200");
    for _ in 0..4 {
        let mut streams = Vec::new();
        for _ in 0..6 {
            let address = site.gateways[0].caller_address();
            let mut stream = request().open(address).expect("an answer");
            stream.next_event().expect("an event");
            streams.push(stream);
        }
        cut_off(&site.gateways[0], Cut::Reset);
        thread::sleep(DETECTION_TIME);
        site.gateways[0].set_server_paths(ProxyMode::Forward);
        thread::sleep(RETURN_TIME);
    }
    for gateway in &site.gateways {
        let answer = request().send(gateway.caller_address()).expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}
