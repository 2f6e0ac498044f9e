//! When a gateway reports that it is ready.

#[path = "support/gateway.rs"]
mod gateway;

use std::thread;
use std::time::Duration;

use gateway::{WAIT_TIMEOUT, caller_request, new_request_id};
use sapphireford_standin::harness::{GatewaySite, wait_until};
use serde_json::json;
use yare::parameterized;

/// Delay of the reads of one table, far longer than the other reads take.
const TABLE_DELAY_MS: u64 = 800;

/// Guards against a gateway that reports readiness before it knows its backend servers or the other
/// gateways, and then refuses the first requests or resolves only its own address.
#[parameterized(
    configuration = { "op" },
    backend_servers = { "servers" },
    other_gateways = { "gateways" },
)]
fn a_gateway_is_ready_only_when_it_has_read_every_table(delayed_table: &str) {
    let mut site = GatewaySite::start(2);
    site.gateways[0].kill();
    site.store
        .control(&json!({ "delayed_table": delayed_table, "table_delay_ms": TABLE_DELAY_MS }));
    site.gateways[0].start();
    let gateway = &site.gateways[0];
    thread::sleep(Duration::from_millis(TABLE_DELAY_MS / 2));
    assert!(!gateway.is_ready(), "ready before the read has ended");
    assert!(wait_until(WAIT_TIMEOUT, || gateway.is_ready()));
    let answer = caller_request("GET", "/ping/a", &new_request_id()).send(gateway.caller_address());
    assert_eq!(answer.expect("an answer").status, 200);
    assert_eq!(gateway.lookup().len(), 2);
}

/// Guards against a refusal that callers take for an outage: a gateway that has just started sends
/// them to another one at once.
#[test]
fn a_gateway_that_is_not_ready_refuses_with_a_short_delay() {
    let mut site = GatewaySite::start(1);
    site.gateways[0].kill();
    site.store
        .control(&json!({ "delayed_table": "servers", "table_delay_ms": TABLE_DELAY_MS }));
    site.gateways[0].start();
    let answer = caller_request("GET", "/ping/a", &new_request_id())
        .send(site.gateways[0].caller_address())
        .expect("an answer");
    assert_eq!(answer.status, 503);
    let delay_s: f64 = answer
        .header("retry-after")
        .expect("a delay")
        .parse()
        .expect("seconds");
    assert!(delay_s < 0.1, "retry-after is {delay_s} s");
}

/// Guards against a site that stays down while the store cannot deliver the registrations of the
/// gateways: all gateways start at once, and each serves without the others.
#[test]
fn gateways_serve_without_registrations_after_a_while() {
    let mut site = GatewaySite::start(2);
    site.gateways.iter_mut().for_each(|gateway| gateway.kill());
    // Longer than a gateway waits for the answer to a read.
    site.store
        .control(&json!({ "delayed_table": "gateways", "table_delay_ms": 60_000 }));
    site.gateways.iter_mut().for_each(|gateway| gateway.start());
    for gateway in &site.gateways {
        assert!(wait_until(Duration::from_secs(5), || gateway.is_ready()));
        let answer =
            caller_request("GET", "/ping/a", &new_request_id()).send(gateway.caller_address());
        assert_eq!(answer.expect("an answer").status, 200);
    }
}
