//! Backend servers that state in their answers that they are about to stop.

#[path = "support/gateway.rs"]
mod gateway;

use std::thread;
use std::time::Duration;

use gateway::{Turn, WAIT_TIMEOUT, caller_request, new_request_id, recorded_runs};
use sapphireford_standin::harness::{BackendServer, GatewayProcess, GatewaySite, wait_until};
use serde_json::json;
use yare::parameterized;

/// Requests after which each of two idle servers has surely been chosen.
const REQUESTS: usize = 30;

fn ping(gateway: &GatewayProcess) -> (String, u16) {
    let id = new_request_id();
    let answer = caller_request("GET", "/ping/a", &id).send(gateway.caller_address());
    (id, answer.expect("an answer").status)
}

/// Sends turns of different programs, and returns their request ids.
fn run_turns(gateway: &GatewayProcess, turns: usize) -> Vec<String> {
    let ids = (0..turns).map(|_| {
        let id = new_request_id();
        let turn = Turn {
            id: &id,
            program: &id,
            ..Turn::default()
        };
        if let Ok(mut stream) = turn.open(gateway) {
            // Only the choice of the server is checked.
            let _ = stream.remaining_events();
        }
        id
    });
    ids.collect()
}

fn count_runs(server: &BackendServer, ids: &[String]) -> usize {
    let servers = std::slice::from_ref(server);
    ids.iter().map(|id| recorded_runs(servers, id).len()).sum()
}

fn pings_at(server: &BackendServer, gateway: &GatewayProcess) -> usize {
    let ids: Vec<String> = (0..REQUESTS).map(|_| ping(gateway).0).collect();
    count_runs(server, &ids)
}

/// Guards against requests to a server that has said that it leaves, while its row says that it is
/// ready, whether or not the store can be reached.
#[parameterized(store_up = { "none" }, store_down = { "refuse" })]
fn a_server_that_says_it_leaves_gets_no_new_requests(outage: &str) {
    let site = GatewaySite::start(1);
    let gateway = &site.gateways[0];
    let leaving = &site.plain_servers[0];
    assert!(pings_at(leaving, gateway) > 0, "the server was not in use");
    site.store.control(&json!({ "outage": outage }));
    leaving.process.control(&json!({ "leaving": true }));
    let heard = wait_until(WAIT_TIMEOUT, || {
        let (id, _) = ping(gateway);
        count_runs(leaving, &[id]) > 0
    });
    assert!(heard, "the leaving server was not asked");
    assert_eq!(pings_at(leaving, gateway), 0);
}

/// Guards against an answer whose header is overlooked: the head of a stream, and a refusal.
#[parameterized(
    stream_head = { json!({ "leaving": true }) },
    refusal = { json!({ "leaving": true, "full": true }) },
)]
fn leaving_is_read_from_every_kind_of_answer(control: serde_json::Value) {
    let site = GatewaySite::start(1);
    let gateway = &site.gateways[0];
    let leaving = &site.engines[0];
    leaving.process.control(&control);
    run_turns(gateway, REQUESTS);
    leaving.process.control(&json!({}));
    let ids = run_turns(gateway, REQUESTS);
    assert_eq!(count_runs(leaving, &ids), 0);
}

/// Guards against a server that stays unused after a restart because of what its earlier start has
/// said.
#[test]
fn a_restarted_server_is_used_again() {
    let site = GatewaySite::start(1);
    let gateway = &site.gateways[0];
    let server = &site.plain_servers[0];
    server.process.control(&json!({ "leaving": true }));
    pings_at(server, gateway);
    server.process.control(&json!({}));
    assert_eq!(pings_at(server, gateway), 0);
    site.register_restarted(server);
    assert!(wait_until(WAIT_TIMEOUT, || pings_at(server, gateway) > 0));
}

/// Guards against a gateway that sends requests to a server although its peers know that the server
/// leaves: the gateways exchange it with the admissions of turns.
#[test]
fn gateways_tell_each_other_which_servers_leave() {
    let site = GatewaySite::start(2);
    let leaving = &site.plain_servers[0];
    leaving.process.control(&json!({ "leaving": true }));
    pings_at(leaving, &site.gateways[0]);
    for gateway in &site.gateways {
        run_turns(gateway, REQUESTS);
    }
    assert_eq!(pings_at(leaving, &site.gateways[1]), 0);
}

/// Guards against a server that has left and is in use again after the restart of a gateway: the
/// gateway asks its peers before it serves.
#[test]
fn a_restarted_gateway_does_not_use_a_server_that_has_left() {
    let mut site = GatewaySite::start(2);
    site.plain_servers[0]
        .process
        .control(&json!({ "leaving": true }));
    for gateway in &site.gateways {
        pings_at(&site.plain_servers[0], gateway);
    }
    site.gateways[0].kill();
    thread::sleep(Duration::from_millis(200));
    site.gateways[0].start();
    let gateway = &site.gateways[0];
    assert!(wait_until(WAIT_TIMEOUT, || gateway.is_ready()));
    assert_eq!(pings_at(&site.plain_servers[0], gateway), 0);
}
