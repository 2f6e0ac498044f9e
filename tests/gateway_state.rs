//! Budgets and conversation histories of gateways across kills, graceful stops and failures of the
//! store.

#[path = "support/gateway.rs"]
mod gateway;

use std::thread;
use std::time::{Duration, Instant};

use gateway::{
    Turn, WAIT_TIMEOUT, caller_request, expected_stream_data, new_request_id, recorded_runs,
};
use sapphireford_standin::harness::{GatewaySite, ProxyMode, TOKENS_PER_EVENT, wait_until};
use serde_json::json;

/// Returns the body that a server receives for the next turn: the earlier body, the event data that
/// answered it, and the new input.
fn body_with_history(input: &str, data: &[String], next: &str) -> String {
    let lines: String = data.iter().map(|data| format!("{data}\n")).collect();
    format!("{input}{lines}{next}")
}

/// Guards against a conversation that is lost when the gateway that served it dies.
#[test]
fn conversation_continues_at_any_gateway_after_all_were_killed() {
    let mut site = GatewaySite::start(2);
    let (first, second, third) = (new_request_id(), new_request_id(), new_request_id());
    let turn = |id, previous, input| Turn {
        path: "/chat/a",
        id,
        previous,
        input,
        ..Turn::default()
    };
    let data = turn(&first, None, "hello").run(&site.gateways[0]);
    assert_eq!(data, expected_stream_data("hello", 4));
    let body = body_with_history("hello", &data, "and then");
    let second_data = turn(&second, Some(&first), "and then").run(&site.gateways[1]);
    assert_eq!(second_data, expected_stream_data(&body, 4));
    for gateway in &mut site.gateways {
        gateway.kill();
        gateway.start();
    }
    assert!(wait_until(WAIT_TIMEOUT, || site.gateways[0].is_ready()));
    let body = body_with_history(&body, &second_data, "last");
    let last = turn(&third, Some(&second), "last").run(&site.gateways[0]);
    assert_eq!(last, expected_stream_data(&body, 4));
}

/// Guards against a 404 for a turn that may exist: while the store is unavailable the answer must
/// be 503, and no new history may be started.
#[test]
fn unknown_turn_gets_404_only_when_the_store_confirms_it() {
    let site = GatewaySite::start(1);
    let id = new_request_id();
    let turn = Turn {
        path: "/chat/a",
        id: &id,
        previous: Some("no-such-turn"),
        ..Turn::default()
    };
    let status = || {
        let stream = turn.open(&site.gateways[0]).expect("an answer");
        stream.status()
    };
    assert_eq!(status(), 404);
    site.store.control(&json!({ "outage": "refuse" }));
    assert_eq!(status(), 503);
    assert_eq!(recorded_runs(&site.engines, &id).len(), 0);
}

/// Guards against a conversation that depends on the store between two of its turns: the owner of
/// the program has the turn chain cached, so no chain may be read from the store.
#[test]
fn turn_chain_is_read_from_the_owner_instead_of_the_store() {
    let site = GatewaySite::start(2);
    let mut previous: Option<String> = None;
    let mut body = String::new();
    for round in 0..6 {
        let id = new_request_id();
        let input = format!("in {round} ");
        let turn = Turn {
            path: "/chat/a",
            id: &id,
            previous: previous.as_deref(),
            input: &input,
            ..Turn::default()
        };
        body.push_str(&input);
        let reads = || {
            site.store.stats()["calls"]["/rows-get"]
                .as_u64()
                .unwrap_or(0)
        };
        let before = reads();
        let data = turn.run(&site.gateways[round % 2]);
        // Allows for the reads of heartbeats in the meantime.
        assert!(reads() - before <= 3, "the chain was read from the store");
        body = body_with_history(&body, &data, "");
        previous = Some(id);
        // The report to the owner of the program is sent after the end of the stream.
        thread::sleep(Duration::from_millis(20));
    }
    let reads = site.store.stats()["calls"]["/rows-get conversation-turns"].clone();
    assert_eq!(reads, json!(null), "a chain was read from the store");
}

/// Guards against spending beyond the budget, also through another gateway after one was killed.
#[test]
fn a_program_is_stopped_at_its_budget() {
    let mut site = GatewaySite::start(2);
    let events = 4;
    let budget_tokens = 3 * events * TOKENS_PER_EVENT;
    let mut tokens = 0;
    let mut refused = 0;
    for round in 0..10 {
        if round == 5 {
            site.gateways[0].kill();
            site.gateways[0].start();
            assert!(wait_until(WAIT_TIMEOUT, || site.gateways[0].is_ready()));
        }
        let id = new_request_id();
        let turn = Turn {
            id: &id,
            program: "p-loop",
            events,
            budget_tokens,
            ..Turn::default()
        };
        let gateway = &site.gateways[round % 2];
        let mut stream = turn.open(gateway).expect("an answer");
        if stream.status() == 402 {
            refused += 1;
            assert_eq!(recorded_runs(&site.engines, &id).len(), 0);
            continue;
        }
        tokens +=
            stream.remaining_events().expect("a complete stream").len() as u64 * TOKENS_PER_EVENT;
    }
    assert!(refused >= 5, "{refused} turns were refused");
    assert!(tokens <= budget_tokens + events * TOKENS_PER_EVENT);
    assert!(tokens >= budget_tokens, "the budget was not used up");
}

/// Guards against programs that are interrupted by a short outage of the store.
#[test]
fn running_program_continues_during_a_store_outage() {
    let site = GatewaySite::start(2);
    let run = |gateway: usize| {
        let id = new_request_id();
        let turn = Turn {
            id: &id,
            program: "p-out",
            budget_tokens: 800,
            ..Turn::default()
        };
        turn.run(&site.gateways[gateway]);
    };
    run(0);
    site.store.control(&json!({ "outage": "refuse" }));
    for gateway in [0, 1, 0, 1] {
        run(gateway);
    }
}

/// Guards against callers that wait for the store during an outage.
#[test]
fn new_program_is_refused_at_once_during_a_store_outage() {
    let site = GatewaySite::start(1);
    site.store.control(&json!({ "outage": "refuse" }));
    let id = new_request_id();
    let turn = Turn {
        id: &id,
        program: "p-new",
        ..Turn::default()
    };
    let started = Instant::now();
    let stream = turn.open(&site.gateways[0]).expect("an answer");
    assert_eq!(stream.status(), 503);
    assert!(stream.header("retry-after").is_some());
    assert!(started.elapsed() < Duration::from_millis(1_500));
    assert_eq!(recorded_runs(&site.engines, &id).len(), 0);
}

/// Guards against a gateway that stops serving because the store refuses its connections only.
#[test]
fn gateway_refused_by_the_store_uses_a_peer() {
    let site = GatewaySite::start(2);
    site.gateways[0].store_proxy.set_mode(ProxyMode::Reset);
    for _ in 0..5 {
        let id = new_request_id();
        let turn = Turn {
            path: "/chat/a",
            id: &id,
            program: &id,
            ..Turn::default()
        };
        assert_eq!(
            turn.run(&site.gateways[0]),
            expected_stream_data(turn.input, 4)
        );
    }
}

/// Guards against a gateway that waits for responses on store connections that no longer deliver
/// any data.
#[test]
fn silent_store_connections_are_detected() {
    let site = GatewaySite::start(2);
    site.gateways[0].store_proxy.set_mode(ProxyMode::Stall);
    let id = new_request_id();
    let turn = Turn {
        path: "/chat/a",
        id: &id,
        program: &id,
        ..Turn::default()
    };
    assert_eq!(
        turn.run(&site.gateways[0]),
        expected_stream_data(turn.input, 4)
    );
}

/// Guards against turns that are lost or run twice because acknowledgements of the store are lost.
#[test]
fn lost_store_acknowledgements_neither_lose_nor_repeat_turns() {
    let site = GatewaySite::start(1);
    site.store.control(&json!({ "hang_each": 3 }));
    let mut previous: Option<String> = None;
    let mut body = String::new();
    for round in 0..5 {
        let id = new_request_id();
        let input = format!("input {round} ");
        let turn = Turn {
            path: "/chat/a",
            id: &id,
            previous: previous.as_deref(),
            input: &input,
            ..Turn::default()
        };
        body.push_str(&input);
        let data = turn.run(&site.gateways[0]);
        assert_eq!(data, expected_stream_data(&body, 4));
        assert_eq!(recorded_runs(&site.engines, &id).len(), 1);
        body = body_with_history(&body, &data, "");
        previous = Some(id);
    }
}

/// Guards against a change of the configuration or the servers that a gateway misses when the store
/// drops its change history.
#[test]
fn changes_are_applied_after_the_change_history_was_compacted() {
    let site = GatewaySite::start(1);
    site.store.control(&json!({ "compact": true }));
    site.deregister(&site.plain_servers[0]);
    thread::sleep(Duration::from_secs(1));
    for _ in 0..6 {
        let id = new_request_id();
        let request = caller_request("GET", "/ping/a", &id);
        let answer = request.send(site.gateways[0].caller_address());
        assert_eq!(answer.expect("an answer").status, 200);
        assert_eq!(recorded_runs(&site.plain_servers[..1], &id).len(), 0);
    }
}

/// Guards against requests that a graceful stop cuts off, and against callers that are sent to a
/// stopping gateway.
#[test]
fn graceful_stop_finishes_requests_in_flight() {
    let mut site = GatewaySite::start(2);
    let id = new_request_id();
    let turn = Turn {
        id: &id,
        events: 100,
        ..Turn::default()
    };
    let mut stream = turn.open(&site.gateways[0]).expect("an answer");
    let stopping_address = site.gateways[0].caller_address();
    site.gateways[0].process().terminate();
    let is_not_ready = || !site.gateways[0].is_ready();
    assert!(wait_until(Duration::from_secs(1), is_not_ready));
    let is_excluded = || {
        let addresses = site.gateways[1].lookup();
        !addresses.is_empty() && !addresses.contains(&stopping_address)
    };
    assert!(wait_until(Duration::from_secs(2), is_excluded));
    // Callers may use an address for a while after the lookup that returned it.
    let late_answer = caller_request("GET", "/ping/a", &new_request_id()).send(stopping_address);
    assert_eq!(late_answer.expect("an answer").status, 200);
    assert_eq!(
        stream.remaining_events().expect("a complete stream").len(),
        100
    );
    let ended = site.gateways[0].process().wait(Duration::from_secs(9));
    assert!(ended.is_some_and(|status| status.success()));
}

/// Guards against callers that are sent to a dead gateway.
#[test]
fn dead_gateway_is_removed_from_lookups() {
    let mut site = GatewaySite::start(2);
    let dead_address = site.gateways[0].caller_address();
    site.gateways[0].kill();
    let is_excluded = || !site.gateways[1].lookup().contains(&dead_address);
    assert!(wait_until(Duration::from_secs(6), is_excluded));
}
