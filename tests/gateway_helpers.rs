//! Gateways that serve the requests of others, which reach no backend server, and then fail as well.

#[path = "support/gateway.rs"]
mod gateway;
#[path = "support/server_paths.rs"]
mod server_paths;

use std::thread;
use std::time::{Duration, Instant};

use gateway::{
    Turn, WAIT_TIMEOUT, caller_request, expected_stream_data, new_request_id, recorded_runs,
};
use sapphireford_standin::harness::{Answer, GatewaySite, wait_until};
use serde_json::json;
use server_paths::{
    CONCURRENT_REQUESTS, Cut, DETECTION_TIME, REGISTRATIONS_READ_AGAIN, SERVED_WITHIN, cut_off,
    find_out, long_chat, open_connections_to_all_servers, serve_each_kind,
    start_with_cut_off_gateway,
};
use yare::parameterized;

/// Time in which requests reach the helpers.
const RELAY_TIME: Duration = Duration::from_millis(100);

/// A request in progress.
type SentRequest = thread::JoinHandle<std::io::Result<Answer>>;

/// Sends requests through the first gateway of a site, which its helpers cannot finish because the
/// plain servers do not run. Returns them with their ids when they are with the helpers.
fn hold_requests(
    site: &GatewaySite,
    method: &'static str,
    path: &'static str,
) -> Vec<(String, SentRequest)> {
    let servers = site.plain_servers.iter();
    servers.for_each(|server| server.process.pause());
    let address = site.gateways[0].caller_address();
    let send = |_| {
        let id = new_request_id();
        let request = caller_request(method, path, &id);
        (id, thread::spawn(move || request.send(address)))
    };
    let requests = (0..CONCURRENT_REQUESTS).map(send).collect();
    thread::sleep(RELAY_TIME);
    requests
}

fn resume_servers(site: &GatewaySite) {
    let servers = site.plain_servers.iter();
    servers.for_each(|server| server.process.resume());
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
    let mut site = start_with_cut_off_gateway(3);
    let requests = hold_requests(&site, "GET", "/ping/a");
    match is_killed {
        true => site.gateways[1].kill(),
        false => site.gateways[1].process().pause(),
    }
    resume_servers(&site);
    for (_, request) in requests {
        let answer = request.join().expect("no panic").expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

#[test]
fn a_request_that_must_not_run_twice_is_not_repeated_after_its_helper_was_killed() {
    let mut site = start_with_cut_off_gateway(3);
    let requests = hold_requests(&site, "POST", "/book/a");
    site.gateways[1].kill();
    resume_servers(&site);
    for (id, request) in requests {
        let answer = request.join().expect("no panic").expect("an answer");
        assert!([200, 502].contains(&answer.status), "{}", answer.text());
        assert!(recorded_runs(&site.plain_servers, &id).len() <= 1);
    }
}

#[test]
fn a_request_that_may_have_run_is_not_called_refused_when_its_helper_refuses_it() {
    let site = GatewaySite::start_with_own_paths(&["d1"; 2]);
    let stranded = &site.gateways[0];
    open_connections_to_all_servers(&site, stranded);
    cut_off(stranded, Cut::Silent);
    let address = stranded.caller_address();
    let request = caller_request("GET", "/ping/a", &new_request_id());
    let request = thread::spawn(move || request.send(address));
    thread::sleep(RELAY_TIME);
    for server in &site.plain_servers {
        server.process.control(&json!({ "full": true }));
    }
    let answer = request.join().expect("no panic").expect("an answer");
    assert_eq!(answer.status, 502, "{}", answer.text());
}

#[test]
fn a_helper_that_is_cut_off_as_well_leaves_requests_to_another_one() {
    let site = start_with_cut_off_gateway(3);
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
    let site = start_with_cut_off_gateway(2);
    let id = new_request_id();
    let turn = long_chat(&id);
    let mut stream = turn.open(&site.gateways[0]).expect("an answer");
    stream.next_event().expect("an event").expect("an event");
    let cut_at = Instant::now();
    cut_off(&site.gateways[1], Cut::Silent);
    stream.remaining_events().expect_err("the stream breaks");
    let time = cut_at.elapsed();
    assert!(time < Duration::from_millis(2_000), "{time:?}");
}

#[test]
fn no_request_fails_while_a_helper_stops_as_planned() {
    let mut site = start_with_cut_off_gateway(3);
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
