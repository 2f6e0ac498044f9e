//! Ends of turns that are reported to a gateway after it has restarted.

#[path = "support/gateway.rs"]
mod gateway;
#[path = "support/raw_server.rs"]
mod raw_server;

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use gateway::{Turn, WAIT_TIMEOUT, new_request_id};
use raw_server::RawServer;
use sapphireford::process::gateway::directory::GatewayRow;
use sapphireford::process::gateway::gossip::{GossipRequest, GossipResponse, Heartbeat};
use sapphireford::process::gateway::ledger::Admission;
use sapphireford::process::gateway::peers::{AdmitResponse, AdmitResult};
use sapphireford::process::slots::placement::{hash_bytes, rendezvous_weight};
use sapphireford_standin::harness::{
    EventStream, GatewayProcess, GatewaySite, HttpRequest, TOKENS_PER_EVENT, wait_until,
};
use serde_json::json;
use yare::parameterized;

const BUDGET_TOKENS: u64 = 8_000;
/// Events of the turns that are in progress at a restart, and of the later ones.
const SHORT_EVENTS: u64 = 4;
const LONG_EVENTS: u64 = 60;
const LONG_TOKENS: u64 = LONG_EVENTS * TOKENS_PER_EVENT;
/// Tokens of a budget that a killed gateway may have reserved ahead.
const RESERVED_AHEAD_TOKENS: u64 = BUDGET_TOKENS / 4;
/// Time in which the end of a turn is reported.
const REPORT_TIME: Duration = Duration::from_millis(200);

/// A program whose account is at the second of two gateways.
fn program_of_second_gateway() -> String {
    let weight =
        |program: &str, gateway| rendezvous_weight(hash_bytes(program.as_bytes()), gateway);
    let mut programs = (0..).map(|number| format!("program-{number}"));
    let is_of_second =
        |program: &String| weight(program, "gateway-1") > weight(program, "gateway-0");
    programs.find(is_of_second).expect("a program")
}

fn open_turn(gateway: &GatewayProcess, program: &str, events: u64) -> EventStream {
    let turn = Turn {
        id: &new_request_id(),
        program,
        events,
        budget_tokens: BUDGET_TOKENS,
        ..Turn::default()
    };
    turn.open(gateway).expect("an answer")
}

/// Opens turns and reads the first event of each.
fn open_turns(
    gateway: &GatewayProcess,
    program: &str,
    count: usize,
    events: u64,
) -> Vec<EventStream> {
    let open = |_| {
        let mut stream = open_turn(gateway, program, events);
        assert_eq!(stream.status(), 200);
        stream.next_event().expect("an event").expect("an event");
        stream
    };
    (0..count).map(open).collect()
}

/// Reads a stream to its end; returns the number of its remaining events.
fn remaining_events(mut stream: EventStream) -> u64 {
    stream.remaining_events().expect("a complete stream").len() as u64
}

/// Guards against a program that gets more than its budget, because the ends of turns from before a
/// restart of the gateway with its account settle the turns that were admitted after it.
#[parameterized(
    one_restart = { 1, 8, 9 },
    two_restarts = { 2, 5, 9 },
    more_turns_after_it = { 1, 4, 12 },
    fewer_turns_after_it = { 1, 12, 6 },
)]
fn the_end_of_a_turn_settles_no_turn_of_a_later_start(
    restarts: u64,
    earlier_turns: usize,
    later_turns: usize,
) {
    let mut site = GatewaySite::start(2);
    let program = program_of_second_gateway();
    let control = |site: &GatewaySite, control| {
        let engines = site.engines.iter();
        engines.for_each(|engine| engine.process.control(&control));
    };
    let mut events = remaining_events(open_turn(&site.gateways[0], &program, 1));
    control(&site, json!({ "stall_after_events": 1 }));
    let mut earlier = Vec::new();
    for _ in 0..restarts {
        let gateway = &site.gateways[0];
        earlier.extend(open_turns(gateway, &program, earlier_turns, SHORT_EVENTS));
        site.gateways[1].kill();
        site.gateways[1].start();
        assert!(wait_until(WAIT_TIMEOUT, || site.gateways[1].is_ready()));
    }
    control(&site, json!({}));
    let gateway = &site.gateways[0];
    let later = open_turns(gateway, &program, later_turns, LONG_EVENTS);
    events += (earlier.len() + later.len()) as u64;
    // The account is told that these turns have ended.
    drop(earlier);
    thread::sleep(REPORT_TIME);
    events += later.into_iter().map(remaining_events).sum::<u64>();
    thread::sleep(REPORT_TIME);
    loop {
        let stream = open_turn(gateway, &program, LONG_EVENTS);
        if stream.status() == 402 {
            break;
        }
        assert_eq!(stream.status(), 200);
        events += remaining_events(stream);
    }
    let tokens = events * TOKENS_PER_EVENT;
    assert!(tokens <= BUDGET_TOKENS + LONG_TOKENS, "{tokens} tokens");
    let in_flight = earlier_turns as u64 * SHORT_EVENTS * TOKENS_PER_EVENT;
    let lost = restarts * (RESERVED_AHEAD_TOKENS + in_flight);
    assert!(tokens >= BUDGET_TOKENS - lost, "{tokens} tokens");
}

/// A gateway of an earlier build, whose accounts count their turns from 1.
struct EarlierBuild {
    server: RawServer,
    started_unix_ms: Arc<AtomicU64>,
    settled_turns: Arc<AtomicU64>,
}

/// Id of the gateway of an earlier build.
const EARLIER_BUILD_ID: &str = "gateway-1";

impl EarlierBuild {
    fn start() -> Self {
        let started_unix_ms = Arc::new(AtomicU64::new(1));
        let settled_turns = Arc::new(AtomicU64::new(0));
        let (started, settled) = (started_unix_ms.clone(), settled_turns.clone());
        let server = RawServer::start(move |stream, request| {
            let (status, body) = match request.path.as_str() {
                "/programs/admit" => ("200 OK", postcard::to_stdvec(&granted()).unwrap()),
                "/programs/settle" => {
                    settled.fetch_add(1, Ordering::SeqCst);
                    ("200 OK", Vec::new())
                }
                "/gateways/gossip" => {
                    let response = GossipResponse {
                        rows: Vec::new(),
                        heartbeats: vec![heartbeat(started.load(Ordering::SeqCst))],
                    };
                    ("200 OK", postcard::to_stdvec(&response).unwrap())
                }
                _ => ("404 Not Found", Vec::new()),
            };
            let length = body.len();
            let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n");
            stream.write_all(&[head.as_bytes(), &body].concat())
        });
        Self {
            server,
            started_unix_ms,
            settled_turns,
        }
    }

    /// Makes itself known to a gateway.
    fn register_at(&self, gateway: &GatewayProcess) {
        let started_unix_ms = self.started_unix_ms.load(Ordering::SeqCst);
        let address = self.server.address();
        let request = GossipRequest {
            gateway_id: EARLIER_BUILD_ID.to_string(),
            row: GatewayRow {
                caller_address: address,
                peer_address: address,
                failure_domain: "d1".to_string(),
                is_leaving: false,
                started_unix_ms,
            },
            heartbeats: vec![heartbeat(started_unix_ms)],
        };
        let request = postcard::to_stdvec(&request).unwrap();
        let request = HttpRequest::post("/gateways/gossip").body(request);
        let answer = request.send(gateway.peer_address()).expect("an answer");
        assert_eq!(answer.status, 200);
    }
}

fn granted() -> AdmitResponse {
    AdmitResponse {
        result: AdmitResult::Admission(Admission::Granted(1)),
        loads: Vec::new(),
        chain: None,
        prefix_holder: None,
        stream_origin: None,
    }
}

fn heartbeat(started_unix_ms: u64) -> Heartbeat {
    Heartbeat {
        start_hash: rendezvous_weight(started_unix_ms, EARLIER_BUILD_ID),
        counter: 1,
        is_leaving: false,
    }
}

/// Guards against the same beside a gateway of an earlier build, whose turns have the same numbers
/// after each restart: it is told of the end of a turn only by the start that has admitted it.
#[parameterized(running = { false, 1 }, restarted = { true, 0 })]
fn an_earlier_build_is_told_only_of_turns_that_it_has_admitted(has_restarted: bool, expected: u64) {
    let site = GatewaySite::start(1);
    let earlier_build = EarlierBuild::start();
    earlier_build.register_at(&site.gateways[0]);
    let program = program_of_second_gateway();
    let stream = open_turn(&site.gateways[0], &program, LONG_EVENTS);
    assert_eq!(stream.status(), 200);
    if has_restarted {
        earlier_build.started_unix_ms.store(2, Ordering::SeqCst);
    }
    drop(stream);
    thread::sleep(REPORT_TIME);
    let settled_turns = earlier_build.settled_turns.load(Ordering::SeqCst);
    assert_eq!(settled_turns, expected);
}
