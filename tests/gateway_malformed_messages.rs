//! Malformed messages and unexpected values, which must not end a gateway.

#[path = "support/gateway.rs"]
mod gateway;
#[path = "support/raw_server.rs"]
mod raw_server;

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use gateway::{Turn, WAIT_TIMEOUT, caller_request, expected_stream_data, new_request_id};
use raw_server::RawServer;
use sapphireford_standin::harness::{
    ENGINE_SERVICE, GatewayProcess, GatewaySite, HttpRequest, PLAIN_SERVICE, default_routes, route,
    wait_until,
};
use serde_json::json;
use yare::parameterized;

/// Rounds of requests that may be repeated at a sound server after an unusual answer.
const RETRIED_ROUNDS: usize = 3;

/// Checks that the process that served before still serves, and that it is the same one.
fn assert_still_serves(site: &mut GatewaySite) {
    let exited = site.gateways[0].process().wait(Duration::ZERO);
    assert!(exited.is_none(), "the gateway has ended");
    let gateway = &site.gateways[0];
    let id = new_request_id();
    let answer = caller_request("GET", "/ping/a", &id).send(gateway.caller_address());
    assert_eq!(answer.expect("an answer").status, 200);
    let turn = Turn {
        id: &id,
        program: &id,
        ..Turn::default()
    };
    assert_eq!(turn.run(gateway), expected_stream_data(turn.input, 4));
}

/// Guards against a header of one caller that ends the gateway for all.
#[parameterized(
    huge_deadline = { "deadline-ms", "1e300" },
    negative_deadline = { "deadline-ms", "-1" },
    no_number = { "deadline-ms", "NaN" },
    huge_program_deadline = { "program-deadline-ms", "1e300" },
    huge_usage = { "token-usage", "18446744073709551615,18446744073709551615" },
    huge_budget = { "token-budget", "18446744073709551615" },
    last_event = { "last-event-id", "18446744073709551615" },
    prefix = { "prefix-hash", "ffffffffffffffffffff:1,:,5" },
)]
fn unusual_headers_of_a_caller_end_nothing(name: &str, value: &str) {
    let mut site = GatewaySite::start(1);
    let address = site.gateways[0].caller_address();
    for path in ["/quote/a", "/chat/a", "/ping/a"] {
        let mut request = HttpRequest::new("POST", path)
            .header("host", sapphireford_standin::harness::HOST)
            .header("request-id", &new_request_id())
            .header("program-id", "p-unusual")
            .header("x-events", "2")
            .header(name, value);
        let defaults = [
            ("deadline-ms", "4000"),
            ("token-budget", "18446744073709551614"),
            ("token-usage", "10,18446744073709551615"),
        ];
        for (default, value) in defaults.into_iter().filter(|(default, _)| *default != name) {
            request = request.header(default, value);
        }
        for _ in 0..2 {
            // Any answer is allowed, and an end of the connection.
            let _ = request.send(address);
        }
    }
    assert_still_serves(&mut site);
}

/// Guards against bytes on a listener that are no valid request.
#[parameterized(
    no_http = { b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n" },
    endless_line = { b"GET /xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx" },
    bad_length = { b"POST /ping/a HTTP/1.1\r\nhost: x\r\ncontent-length: -5\r\n\r\n" },
    bad_chunk = { b"POST /ping/a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n" },
    broken_message = { b"POST /programs/admit HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n\xff\xff\xff\xff\xff\xff\xff\xff\xff" },
    broken_gossip = { b"POST /gateways/gossip HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\n\xff\xff\xff\xff\x0f" },
    broken_settlement = { b"POST /programs/settle HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\n\x01\x02\x03" },
    broken_relay = { b"GET /store/rows-get HTTP/1.1\r\nhost: x\r\nx-time-left-ms: 18446744073709551615\r\n\r\n" },
)]
fn invalid_bytes_end_only_their_connection(bytes: &[u8]) {
    let mut site = GatewaySite::start(1);
    let caller = site.gateways[0].caller_address();
    let peer = site.gateways[0].peer_address();
    for address in [caller, peer] {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream
            .set_read_timeout(Some(Duration::from_millis(200)))
            .expect("a timeout");
        // The gateway may close the connection at any byte.
        let _ = stream.write_all(bytes);
        let _ = stream.read_to_end(&mut Vec::new());
    }
    assert_still_serves(&mut site);
}

/// Sends a request of each kind, to which any answer is allowed, and an end of the connection.
fn send_each_kind(gateway: &GatewayProcess) {
    for (method, path) in [("POST", "/book/a"), ("GET", "/ping/a")] {
        let _ = caller_request(method, path, &new_request_id()).send(gateway.caller_address());
    }
    let id = new_request_id();
    let turn = Turn {
        id: &id,
        program: &id,
        ..Turn::default()
    };
    if let Ok(mut stream) = turn.open(gateway) {
        let _ = stream.remaining_events();
    }
}

/// Guards against a head of one backend server that ends the gateway.
#[parameterized(
    huge_idle_timeout = { "keep-alive: timeout=18446744073709551615\r\ncontent-length: 0\r\n\r\n" },
    huge_load = { "server-load: 4294967295,4294967295,0\r\ncontent-length: 0\r\n\r\n" },
    no_load = { "server-load: ,,\r\ncontent-length: 0\r\n\r\n" },
    bad_length = { "content-length: 18446744073709551616\r\n\r\n" },
    two_lengths = { "content-length: 1\r\ncontent-length: 2\r\n\r\nabc" },
    huge_chunk = { "transfer-encoding: chunked\r\n\r\nffffffffffffffff\r\nabc" },
    huge_event_id = { "content-type: text/event-stream\r\ncontent-length: 41\r\n\r\nid: 18446744073709551615\ndata: x\n\nid: 1\n\n" },
)]
fn unusual_answers_of_a_server_end_nothing(rest_of_head: &'static str) {
    let mut site = GatewaySite::start(1);
    let asked_paths = Arc::new(Mutex::new(BTreeSet::new()));
    let paths = asked_paths.clone();
    let server = RawServer::start(move |stream, request| {
        paths.lock().expect("no panic").insert(request.path.clone());
        stream.write_all(request.accepted_head().as_bytes())?;
        stream.write_all(rest_of_head.as_bytes())
    });
    for service in [PLAIN_SERVICE, ENGINE_SERVICE] {
        let id = format!("raw-{service}");
        site.register_address(&id, service, server.address(), "ready");
        // While sound servers are registered as well, it is chance which requests get the answer.
        site.deregister_service(service);
    }
    let gateway = &site.gateways[0];
    // An answer that does not end takes until the deadline of its request.
    let asked = wait_until(3 * WAIT_TIMEOUT, || {
        send_each_kind(gateway);
        asked_paths.lock().expect("no panic").len() == 3
    });
    assert!(asked, "the server did not get a request of each kind");
    for server in site.engines.iter().chain(&site.plain_servers) {
        site.register(server, "ready");
    }
    for _ in 0..RETRIED_ROUNDS {
        send_each_kind(gateway);
    }
    for service in [PLAIN_SERVICE, ENGINE_SERVICE] {
        site.deregister_id(&format!("raw-{service}"));
    }
    std::thread::sleep(Duration::from_millis(300));
    assert_still_serves(&mut site);
}

/// Guards against a row of another writer that ends all gateways, or hides the valid rows.
#[parameterized(
    no_json = { json!("\u{0}\u{1}") },
    empty = { json!({}) },
    other_types = { json!({ "service": 5, "address": [], "slots": "x", "state": null }) },
    unknown_state = { json!({ "service": "app", "address": "127.0.0.1:1", "slots": 1, "state": "resting" }) },
    no_slots = { json!({ "service": "app", "address": "127.0.0.1:1", "version": "v1", "slots": 0, "state": "draining" }) },
    huge_numbers = { json!({ "service": "app", "address": "127.0.0.1:1", "version": "v1", "slots": 4294967295u32,
                             "state": "draining", "coldRemainingMs": 1e300, "born": u64::MAX }) },
)]
fn invalid_rows_of_servers_are_skipped(value: serde_json::Value) {
    let mut site = GatewaySite::start(1);
    let put = json!({ "table": "servers", "key": "invalid", "value": value });
    site.store.control(&json!({ "put": put }));
    std::thread::sleep(Duration::from_millis(300));
    assert_still_serves(&mut site);
    site.gateways[0].kill();
    site.gateways[0].start();
    assert!(wait_until(WAIT_TIMEOUT, || site.gateways[0].is_ready()));
    assert_still_serves(&mut site);
}

/// Guards against a configuration whose numbers end all gateways.
#[test]
fn a_route_with_unusual_numbers_ends_nothing() {
    let mut site = GatewaySite::start(1);
    let mut routes = default_routes();
    let unusual = json!({ "timeoutMs": 1e300, "targetLatencyMs": -1e300, "retentionS": 1e300,
                          "maxAttempts": u32::MAX });
    if let Some(routes) = routes.as_array_mut() {
        routes.push(route("/unusual/", "idempotent", PLAIN_SERVICE, unusual));
    }
    site.configure(routes);
    let address = site.gateways[0].caller_address();
    let is_served = wait_until(WAIT_TIMEOUT, || {
        let answer = caller_request("GET", "/unusual/a", &new_request_id())
            .header("deadline-ms", "1e300")
            .send(address);
        answer.is_ok_and(|answer| answer.status == 200)
    });
    assert!(is_served);
    assert_still_serves(&mut site);
}
