//! Turns that go on after a break, by a gateway or by their caller, while the budget of their program is spent.

#[path = "support/gateway.rs"]
mod gateway;
#[path = "support/server_paths.rs"]
mod server_paths;

use std::thread;
use std::time::Duration;

use bytes::Bytes;
use gateway::{Turn, expected_stream_data, new_request_id, recorded_runs};
use hyper::Request;
use hyper::header::HeaderValue;
use sapphireford::process::gateway::peers::{PeerCall, RelayTerms, decode_call, wrap_request};
use sapphireford_standin::harness::{
    EventStream, GatewayProcess, GatewaySite, HttpRequest, TOKENS_PER_EVENT,
};
use serde_json::json;
use server_paths::{Cut, cut_off, find_out};
use yare::parameterized;

const PROGRAM: &str = "program";
const EVENTS: u64 = 60;
const TURN_TOKENS: u64 = EVENTS * TOKENS_PER_EVENT;
/// Less than a turn, so that the first one uses it up.
const SMALL_BUDGET_TOKENS: u64 = 5 * TOKENS_PER_EVENT;
/// Events that the caller has when a stream breaks: more than the budget.
const EVENTS_BEFORE_BREAK: u64 = 10;

fn request(id: &str, budget_tokens: u64) -> HttpRequest {
    let turn = Turn {
        id,
        program: PROGRAM,
        events: EVENTS,
        budget_tokens,
        ..Turn::default()
    };
    turn.request()
}

fn open(gateway: &GatewayProcess, request: &HttpRequest) -> EventStream {
    request.open(gateway.caller_address()).expect("an answer")
}

fn next_events(stream: &mut EventStream, count: u64) -> Vec<String> {
    let mut next = || stream.next_event().expect("an event").expect("an event");
    (0..count).map(|_| next().data).collect()
}

fn remaining_events(stream: &mut EventStream) -> Vec<String> {
    let events = stream.remaining_events().expect("a complete stream");
    events.into_iter().map(|event| event.data).collect()
}

/// Begins a turn at the first gateway that uses the budget up, and breaks it off after some events. The
/// servers send no others.
fn broken_off_turn(site: &GatewaySite) -> (String, Vec<String>) {
    let control = |control| {
        let engines = site.engines.iter();
        engines.for_each(|engine| engine.process.control(&control));
    };
    control(json!({ "stall_after_events": EVENTS_BEFORE_BREAK }));
    let id = new_request_id();
    let mut stream = open(&site.gateways[0], &request(&id, SMALL_BUDGET_TOKENS));
    assert_eq!(stream.status(), 200);
    let received = next_events(&mut stream, EVENTS_BEFORE_BREAK);
    drop(stream);
    control(json!({}));
    (id, received)
}

fn take_up(gateway: &GatewayProcess, id: &str, last_event_id: u64) -> EventStream {
    let request = request(&new_request_id(), SMALL_BUDGET_TOKENS)
        .header("resumes", id)
        .header("last-event-id", &last_event_id.to_string());
    open(gateway, &request)
}

/// Guards against a stream that is broken off in the middle of an admitted turn, because the peer that
/// goes on with it admits the rest as another turn.
#[parameterized(silent = { Cut::Silent }, reset = { Cut::Reset })]
fn an_admitted_turn_goes_on_through_a_peer_when_the_budget_is_spent(cut: Cut) {
    let site = GatewaySite::start_with_own_paths(&["d1"; 3]);
    let id = new_request_id();
    let mut stream = open(&site.gateways[0], &request(&id, SMALL_BUDGET_TOKENS));
    let mut received = next_events(&mut stream, EVENTS_BEFORE_BREAK);
    cut_off(&site.gateways[0], cut);
    received.extend(remaining_events(&mut stream));
    assert_eq!(received, expected_stream_data("how much", EVENTS));
    let next = open(
        &site.gateways[1],
        &request(&new_request_id(), SMALL_BUDGET_TOKENS),
    );
    assert_eq!(next.status(), 402);
}

/// Guards against a caller that has its turns admitted for free, because a gateway relays its headers to
/// a peer, which takes them for those of the gateway.
#[parameterized(by_this_build = { true }, by_an_earlier_build = { false })]
fn a_caller_cannot_say_that_its_tokens_are_reserved(is_wrapped: bool) {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = "/requests/quote/a".parse().expect("a path");
    let value = HeaderValue::from_static("1");
    request.headers_mut().insert("x-tokens-reserved", value);
    if is_wrapped {
        *request.uri_mut() = "/quote/a".parse().expect("a path");
        let terms = RelayTerms {
            attempts_left: 2,
            origin_recorders: 1,
            are_tokens_reserved: false,
            prefix_holder: None,
            team: None,
        };
        request = wrap_request(request, None, terms).expect("a valid path");
    }
    let Some(PeerCall::Request(relayed)) = decode_call(request) else {
        panic!("the request is not decoded as a relayed one");
    };
    assert!(!relayed.are_tokens_reserved);
    assert_eq!(relayed.request.uri().path(), "/quote/a");
}

/// Guards against events that nobody charges, because a peer sends them and this gateway holds the
/// reservation.
#[test]
fn the_events_of_a_peer_count_against_the_budget() {
    const BUDGET_TOKENS: u64 = 3 * TURN_TOKENS / 2;
    let site = GatewaySite::start_with_own_paths(&["d1"; 3]);
    let mut stream = open(
        &site.gateways[0],
        &request(&new_request_id(), BUDGET_TOKENS),
    );
    let mut events = next_events(&mut stream, 2).len();
    cut_off(&site.gateways[0], Cut::Reset);
    events += remaining_events(&mut stream).len();
    assert_eq!(events as u64, EVENTS);
    loop {
        let mut stream = open(
            &site.gateways[1],
            &request(&new_request_id(), BUDGET_TOKENS),
        );
        if stream.status() == 402 {
            break;
        }
        events += remaining_events(&mut stream).len();
    }
    // The second turn begins when half a turn is left, and no third one does.
    assert_eq!(events as u64, 2 * EVENTS);
}

/// Guards against a take-up that is answered 402, which ends the program, although the turn was
/// admitted before.
#[parameterized(at_its_gateway = { 0 }, at_another_one = { 1 }, at_one_that_is_cut_off = { 2 })]
fn an_admitted_turn_is_taken_up_when_the_budget_is_spent(gateway: usize) {
    let site = GatewaySite::start_with_own_paths(&["d1"; 3]);
    cut_off(&site.gateways[2], Cut::Silent);
    find_out(&[&site.gateways[2]]);
    let (id, mut received) = broken_off_turn(&site);
    let mut stream = take_up(&site.gateways[gateway], &id, EVENTS_BEFORE_BREAK);
    assert_eq!(stream.status(), 200);
    received.extend(remaining_events(&mut stream));
    assert_eq!(received, expected_stream_data("how much", EVENTS));
    let next = open(
        &site.gateways[1],
        &request(&new_request_id(), SMALL_BUDGET_TOKENS),
    );
    assert_eq!(next.status(), 402);
}

/// Guards against the refusal of a take-up whose caller has lost the last events on their way.
#[test]
fn a_turn_goes_on_before_its_last_events_when_the_budget_is_spent() {
    let site = GatewaySite::start(2);
    let (id, received) = broken_off_turn(&site);
    let lost = 2;
    let mut stream = take_up(&site.gateways[1], &id, EVENTS_BEFORE_BREAK - lost);
    assert_eq!(stream.status(), 200);
    let rest = remaining_events(&mut stream);
    let expected = expected_stream_data("how much", EVENTS);
    assert_eq!(rest, expected[received.len() - lost as usize..]);
}

/// Guards against a program that gets tokens for free by taking up events that it has, again and again.
#[test]
fn the_events_of_an_interrupted_turn_are_not_sent_twice_when_the_budget_is_spent() {
    let site = GatewaySite::start(2);
    let (id, _) = broken_off_turn(&site);
    thread::sleep(Duration::from_millis(50));
    let stream = take_up(&site.gateways[1], &id, 0);
    assert_eq!(stream.status(), 402);
}

/// Guards against a program that goes on for free by taking up turns that have ended.
#[test]
fn a_turn_that_has_ended_is_not_taken_up_when_the_budget_is_spent() {
    let site = GatewaySite::start(2);
    let (id, _) = broken_off_turn(&site);
    let mut stream = take_up(&site.gateways[1], &id, EVENTS_BEFORE_BREAK);
    remaining_events(&mut stream);
    thread::sleep(Duration::from_millis(50));
    for last_event_id in [0, EVENTS_BEFORE_BREAK, EVENTS] {
        let stream = take_up(&site.gateways[1], &id, last_event_id);
        assert_eq!(stream.status(), 402, "after event {last_event_id}");
    }
    let other_id = new_request_id();
    let stream = take_up(&site.gateways[1], &other_id, 1);
    assert_eq!(stream.status(), 402);
    assert!(recorded_runs(&site.engines, &other_id).is_empty());
}
