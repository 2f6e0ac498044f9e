//! Gateways whose engines have more work than they can complete in time.

#[path = "support/gateway.rs"]
mod gateway;

use std::thread;
use std::time::Duration;

use gateway::{Turn, WAIT_TIMEOUT, new_request_id};
use sapphireford_standin::harness::{
    EventStream, GatewayProcess, GatewaySite, HttpRequest, wait_until,
};
use serde_json::json;

/// Three batches in each engine, which has 16 slots.
const OVERLOADED: &str = "16,32,16,100";

/// Reports are used for four seconds during an overload, and the level recovers within two.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);

fn state_load(site: &GatewaySite, load: &str) {
    for engine in &site.engines {
        engine.process.control(&json!({ "load": load }));
    }
}

/// Runs a turn that does not name the one before it.
fn run(gateway: &GatewayProcess, program: &str) -> EventStream {
    let id = new_request_id();
    let turn = Turn {
        id: &id,
        program,
        ..Turn::default()
    };
    let mut stream = turn.open(gateway).expect("an answer");
    if stream.status() == 200 {
        stream.remaining_events().expect("a complete stream");
    }
    stream
}

/// Runs the first turn of a new program; returns whether it was refused because of an overload.
fn is_refused(gateway: &GatewayProcess) -> bool {
    let stream = run(gateway, &new_request_id());
    let delay_s = stream.header("retry-after");
    let delay_s = delay_s.and_then(|delay| delay.parse::<f64>().ok());
    stream.status() == 503 && delay_s.is_some_and(|delay_s| delay_s <= 4.1)
}

/// Guards against first turns that queue in overloaded engines, against programs that have begun and
/// are refused at another gateway, against an admission level that outlasts the overload, and
/// against an overload that the metrics do not show.
#[test]
fn only_programs_that_have_not_begun_are_refused() {
    let site = GatewaySite::start(2);
    let gateways = &site.gateways;
    let begun = new_request_id();
    assert_eq!(run(&gateways[0], &begun).status(), 200);
    // The account of the program is closed after three seconds without a turn.
    thread::sleep(Duration::from_millis(3_500));
    state_load(&site, OVERLOADED);
    // The gateway that has not served the program comes first.
    for gateway in gateways.iter().rev() {
        assert!(wait_until(WAIT_TIMEOUT, || (0..4).all(|_| is_refused(gateway))));
        for _ in 0..4 {
            assert_eq!(run(gateway, &begun).status(), 200);
        }
    }
    let metrics = HttpRequest::get("/metrics").send(gateways[0].metrics_address());
    let metrics = metrics.expect("the metrics").text();
    for name in [
        "sapphireford_admitted_share{",
        "sapphireford_overload_refusals_total{",
    ] {
        assert!(metrics.contains(name), "{name} is missing");
    }
    state_load(&site, "1,0,16,100");
    for gateway in gateways {
        assert!(wait_until(RECOVERY_TIMEOUT, || {
            run(gateway, &begun);
            (0..4).all(|_| !is_refused(gateway))
        }));
    }
}

/// Guards against a change for services whose servers do not state their speed.
#[test]
fn services_without_a_stated_speed_are_served_as_before() {
    let site = GatewaySite::start(1);
    state_load(&site, "16,32,16");
    assert!((0..20).all(|_| !is_refused(&site.gateways[0])));
}
