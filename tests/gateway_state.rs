//! Budgets and histories of gateways over kills, stops and failures of the store.

#[path = "support/gateway.rs"]
mod gateway;

use std::thread;
use std::time::{Duration, Instant};

use gateway::{Turn, WAIT_LIMIT, call, new_id, runs_of, whole_data};
use sapphireford_standin::harness::{GatewaySite, ProxyMode, TOKENS_PER_EVENT, wait_until};
use serde_json::json;

/// The body that the server receives for a second turn.
fn chained(input: &str, data: &[String], next: &str) -> String {
    let lines: String = data.iter().map(|data| format!("{data}\n")).collect();
    format!("{input}{lines}{next}")
}

/// Guards against a conversation that is lost with the gateway that served it.
#[test]
fn a_conversation_goes_on_at_any_gateway_after_all_were_killed() {
    let mut site = GatewaySite::start(2);
    let (first, second, third) = (new_id(), new_id(), new_id());
    let turn = |id, previous, input| Turn {
        path: "/chat/a",
        id,
        previous,
        input,
        ..Turn::default()
    };
    let data = turn(&first, None, "hello").run(&site.gateways[0]);
    assert_eq!(data, whole_data("hello", 4));
    let body = chained("hello", &data, "and then");
    let more = turn(&second, Some(&first), "and then").run(&site.gateways[1]);
    assert_eq!(more, whole_data(&body, 4));
    for gateway in &mut site.gateways {
        gateway.kill();
        gateway.start();
    }
    assert!(wait_until(WAIT_LIMIT, || site.gateways[0].is_ready()));
    let body = chained(&body, &more, "last");
    let last = turn(&third, Some(&second), "last").run(&site.gateways[0]);
    assert_eq!(last, whole_data(&body, 4));
}

/// Guards against a second history, and against 404 while it is not certain that there is none.
#[test]
fn an_unknown_turn_is_not_found_only_when_the_store_says_so() {
    let site = GatewaySite::start(1);
    let id = new_id();
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
    assert_eq!(runs_of(&site.engines, &id).len(), 0);
}

/// Guards against a conversation that stops because the store is away between two of its turns: the
/// gateway that looks after the program has its chain.
#[test]
fn a_chain_is_read_from_a_peer_while_the_store_cannot_be_read() {
    let site = GatewaySite::start(2);
    let mut previous: Option<String> = None;
    let mut body = String::new();
    for round in 0..6 {
        let id = new_id();
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
        // The reads of the heartbeats go on meanwhile.
        assert!(reads() - before <= 3, "the chain was read from the store");
        body = chained(&body, &data, "");
        previous = Some(id);
        // The report to the gateway that looks after the program follows the end of the stream.
        thread::sleep(Duration::from_millis(20));
    }
    let reads = site.store.stats()["calls"]["/rows-get conversation-turns"].clone();
    assert_eq!(reads, json!(null), "a chain was read from the store");
}

/// Guards against spending beyond the budget, also through another gateway after a kill.
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
            assert!(wait_until(WAIT_LIMIT, || site.gateways[0].is_ready()));
        }
        let id = new_id();
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
            assert_eq!(runs_of(&site.engines, &id).len(), 0);
            continue;
        }
        tokens +=
            stream.remaining_events().expect("a whole stream").len() as u64 * TOKENS_PER_EVENT;
    }
    assert!(refused >= 5, "{refused} turns were refused");
    assert!(tokens <= budget_tokens + events * TOKENS_PER_EVENT);
    assert!(tokens >= budget_tokens, "the budget was not given out");
}

/// Guards against programs that stop because the store is away for a while.
#[test]
fn a_running_program_goes_on_while_the_store_is_down() {
    let site = GatewaySite::start(2);
    let run = |gateway: usize| {
        let id = new_id();
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

/// Guards against callers that wait for a store that is down.
#[test]
fn a_new_program_is_refused_at_once_while_the_store_is_down() {
    let site = GatewaySite::start(1);
    site.store.control(&json!({ "outage": "refuse" }));
    let id = new_id();
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
    assert_eq!(runs_of(&site.engines, &id).len(), 0);
}

/// Guards against a gateway that stops serving because the store refuses it alone.
#[test]
fn a_gateway_that_the_store_refuses_goes_through_a_peer() {
    let site = GatewaySite::start(2);
    site.gateways[0].store_proxy.set_mode(ProxyMode::Reset);
    for _ in 0..5 {
        let id = new_id();
        let turn = Turn {
            path: "/chat/a",
            id: &id,
            program: &id,
            ..Turn::default()
        };
        assert_eq!(turn.run(&site.gateways[0]), whole_data(turn.input, 4));
    }
}

/// Guards against a gateway that waits for answers on connections that have gone silent.
#[test]
fn silent_connections_to_the_store_are_noticed() {
    let site = GatewaySite::start(2);
    site.gateways[0].store_proxy.set_mode(ProxyMode::Stall);
    let id = new_id();
    let turn = Turn {
        path: "/chat/a",
        id: &id,
        program: &id,
        ..Turn::default()
    };
    assert_eq!(turn.run(&site.gateways[0]), whole_data(turn.input, 4));
}

/// Guards against turns that are lost or run twice because acknowledgements are lost.
#[test]
fn lost_acknowledgements_of_the_store_lose_no_turn() {
    let site = GatewaySite::start(1);
    site.store.control(&json!({ "hang_each": 3 }));
    let mut previous: Option<String> = None;
    let mut body = String::new();
    for round in 0..5 {
        let id = new_id();
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
        assert_eq!(data, whole_data(&body, 4));
        assert_eq!(runs_of(&site.engines, &id).len(), 1);
        body = chained(&body, &data, "");
        previous = Some(id);
    }
}

/// Guards against a configuration or a server that a gateway misses when the change history is
/// dropped.
#[test]
fn changes_are_seen_after_the_history_was_dropped() {
    let site = GatewaySite::start(1);
    site.store.control(&json!({ "compact": true }));
    site.deregister(&site.plain_servers[0]);
    thread::sleep(Duration::from_secs(1));
    for _ in 0..6 {
        let id = new_id();
        let request = call("GET", "/ping/a", &id);
        let answer = request.send(site.gateways[0].caller_address());
        assert_eq!(answer.expect("an answer").status, 200);
        assert_eq!(runs_of(&site.plain_servers[..1], &id).len(), 0);
    }
}

/// Guards against requests that a planned stop cuts off, and against callers that are sent to a
/// gateway that stops.
#[test]
fn a_planned_stop_finishes_what_it_has() {
    let mut site = GatewaySite::start(2);
    let id = new_id();
    let turn = Turn {
        id: &id,
        events: 100,
        ..Turn::default()
    };
    let mut stream = turn.open(&site.gateways[0]).expect("an answer");
    let stopping = site.gateways[0].caller_address();
    site.gateways[0].process().terminate();
    let is_unready = || !site.gateways[0].is_ready();
    assert!(wait_until(Duration::from_secs(1), is_unready));
    let is_left_out = || {
        let addresses = site.gateways[1].lookup();
        !addresses.is_empty() && !addresses.contains(&stopping)
    };
    assert!(wait_until(Duration::from_secs(2), is_left_out));
    // Callers may use an address for a while after it was handed out.
    let late = call("GET", "/ping/a", &new_id()).send(stopping);
    assert_eq!(late.expect("an answer").status, 200);
    assert_eq!(
        stream.remaining_events().expect("a whole stream").len(),
        100
    );
    let ended = site.gateways[0].process().wait(Duration::from_secs(9));
    assert!(ended.is_some_and(|status| status.success()));
}

/// Guards against callers that are sent to a gateway that has died.
#[test]
fn a_dead_gateway_is_no_longer_handed_out() {
    let mut site = GatewaySite::start(2);
    let dead = site.gateways[0].caller_address();
    site.gateways[0].kill();
    let is_left_out = || !site.gateways[1].lookup().contains(&dead);
    assert!(wait_until(Duration::from_secs(6), is_left_out));
}
