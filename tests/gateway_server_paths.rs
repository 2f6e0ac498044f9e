//! Gateways that reach the store and their peers, but no backend server.

#[path = "support/gateway.rs"]
mod gateway;
#[path = "support/server_paths.rs"]
mod server_paths;

use std::thread;
use std::time::{Duration, Instant};

use gateway::{
    Turn, WAIT_TIMEOUT, caller_request, caller_request_within, expected_stream_data, new_request_id,
};
use sapphireford_standin::harness::{GatewayProcess, GatewaySite, ProxyMode, wait_until};
use serde_json::json;
use server_paths::{
    Cut, DETECTION_TIME, REGISTRATIONS_READ_AGAIN, RETURN_TIME, SERVED_WITHIN, cut_off, find_out,
    long_chat, open_connections_to_all_servers, serve_each_kind, start_with_cut_off_gateway,
};
use yare::parameterized;

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
fn requests_that_find_no_server_are_not_refused_while_the_loss_of_the_path_is_confirmed() {
    let site = GatewaySite::start_with_own_paths(&["d1"; 2]);
    let stranded = site.gateways[0].caller_address();
    cut_off(&site.gateways[0], Cut::Silent);
    let send_at = |time: Duration, method: &'static str, path: &'static str| {
        thread::sleep(time);
        let request = caller_request(method, path, &new_request_id());
        let answer = request.send(stranded).expect("an answer");
        assert_eq!(answer.status, 200, "after {time:?}: {}", answer.text());
    };
    thread::scope(|scope| {
        // As many failures as make both plain servers unavailable.
        for _ in 0..6 {
            scope.spawn(|| send_at(Duration::ZERO, "GET", "/ping/a"));
        }
        for time_ms in (200..1_200).step_by(50) {
            scope.spawn(move || send_at(Duration::from_millis(time_ms), "POST", "/book/a"));
        }
    });
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
fn a_request_through_a_peer_keeps_its_deadline() {
    let site = start_with_cut_off_gateway(2);
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
    let turn = long_chat(&id);
    let stranded = &site.gateways[0];
    open_connections_to_all_servers(&site, stranded);
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
fn a_request_through_a_peer_counts_against_the_budget_of_its_program() {
    let site = start_with_cut_off_gateway(2);
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
    let site = start_with_cut_off_gateway(2);
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
