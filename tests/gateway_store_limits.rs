//! Calls to the store beyond the rate that it allows.

#[path = "support/gateway.rs"]
mod gateway;

use std::time::{Duration, Instant};

use gateway::{Turn, expected_stream_data, new_request_id};
use sapphireford_standin::harness::GatewaySite;
use serde_json::json;

/// Guards against a turn that is refused because the store has reached the limit of its rate for a
/// moment: gateways took that for an outage and refused all new programs.
#[test]
fn a_turn_waits_while_the_store_limits_its_rate() {
    let site = GatewaySite::start(1);
    site.store.control(&json!({ "rate_limited_calls": 4 }));
    for number in 0..6 {
        let id = new_request_id();
        let program = format!("p-limited-{number}");
        let turn = Turn {
            id: &id,
            program: &program,
            ..Turn::default()
        };
        let data = turn.run(&site.gateways[0]);
        assert_eq!(data, expected_stream_data(turn.input, 4));
    }
}

/// Guards against callers that wait until their deadline while the store refuses every call because
/// of its rate: they are told early to come back.
#[test]
fn a_turn_is_refused_early_if_the_limit_persists() {
    let site = GatewaySite::start(1);
    site.store
        .control(&json!({ "rate_limited_calls": 1_000_000 }));
    let refuse = |limit: Duration| {
        let id = new_request_id();
        let turn = Turn {
            id: &id,
            program: &id,
            ..Turn::default()
        };
        let started = Instant::now();
        let answer = turn.request().send(site.gateways[0].caller_address());
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some());
        let elapsed = started.elapsed();
        assert!(elapsed < limit, "refused after {elapsed:?}");
    };
    refuse(Duration::from_secs(2));
    // No call has succeeded for a while, so this is an outage and known at once.
    for _ in 0..5 {
        refuse(Duration::from_millis(300));
    }
}
