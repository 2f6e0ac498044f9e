//! A gateway that owns the account of a program is killed and restarted while turns of the program
//! are in progress at another gateway.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::net;
use crate::server::{self, Runs};
use crate::site::{self, Folder, Gateway, HOST, Record};
use crate::store::Store;

/// `chunkTokens` of the service.
const TOKENS_PER_EVENT: u64 = 9;
/// Tokens of the program.
const BUDGET: u64 = 6_000;
/// Sub-agents of each of the two waves.
const FIRST_WAVE: usize = 8;
const SECOND_WAVE: usize = 9;
/// Events of a turn in the first wave and of any later one; the turns use all tokens that they ask
/// for.
const SHORT_EVENTS: u64 = 7;
const LONG_EVENTS: u64 = 32;
/// The most tokens of one turn.
const LARGEST_TURN: u64 = LONG_EVENTS * TOKENS_PER_EVENT;
/// Time to the first event, and between events, of a turn in the first wave: the engines are busy. A
/// client waits two seconds.
const BUSY_FIRST_MS: u64 = 1_100;
const BUSY_GAP_MS: u64 = 190;
/// Time to the first event, and between events, of the other turns.
const GAP_MS: u64 = 60;
const IDLE_GAP_MS: u64 = 10;
/// Delay after which the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// A turn that a server is to run.
#[derive(Clone, Copy)]
struct Work {
    events: u64,
    first_ms: u64,
    gap_ms: u64,
}

impl Work {
    fn new(events: u64, gap_ms: u64) -> Self {
        Self {
            events,
            first_ms: gap_ms,
            gap_ms,
        }
    }
}

/// One turn of a program; returns its status and the events that the client got.
fn turn(record: &Record, gateway: SocketAddr, program: &str, id: &str, work: Work) -> (u16, u64) {
    let Work {
        events,
        first_ms,
        gap_ms,
    } = work;
    let most = events * TOKENS_PER_EVENT;
    let headers = format!(
        "Host: {HOST}\r\nRequest-Id: {id}\r\nProgram-Id: {program}\r\nSession-Id: s-{id}\r\n\
         Program-Deadline-Ms: 60000\r\nToken-Budget: {BUDGET}\r\nModel: m\r\nToken-Usage: 600,{most}\r\n\
         Deadline-Ms: 4000\r\n"
    );
    let started = Instant::now();
    let body = format!("input of {id}\nevents={events} first={first_ms} gap={gap_ms}\n");
    let patience = Duration::from_millis(4_000);
    let answer = net::call(
        gateway,
        "POST",
        "/quote/t",
        &headers,
        body.as_bytes(),
        patience,
    );
    let text = String::from_utf8_lossy(&answer.body);
    let received = match answer.status {
        200 => text.matches("\n\n").count() as u64,
        _ => 0,
    };
    record.detail(
        started,
        &format!(
            "turn {id} of {program}, at most {most} tokens: status {}, {received} events, whole: {}, {:.2} s",
            answer.status, answer.is_complete, answer.took.as_secs_f64()
        ),
    );
    (answer.status, received)
}

/// Runs turns at the same time; returns the events that were received.
fn wave(
    record: &Record,
    gateway: SocketAddr,
    program: &str,
    name: &str,
    turns: usize,
    work: Work,
) -> u64 {
    thread::scope(|scope| {
        let turns: Vec<_> = (0..turns)
            .map(|index| {
                let id = format!("{program}{name}{index:02}");
                scope.spawn(move || turn(record, gateway, program, &id, work).1)
            })
            .collect();
        turns.into_iter().map(|turn| turn.join().unwrap_or(0)).sum()
    })
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let failed = |error: std::io::Error| error.to_string();
    let folder = Folder::create().map_err(failed)?;
    let store = Store::start().map_err(failed)?;
    let runs = Runs::default();
    for id in ["i-llm-1", "i-llm-2", "i-llm-3"] {
        let address = server::start(id, &runs).map_err(failed)?;
        store.put("servers", id, &server::row("llm", address, "ready", 1, 1));
    }
    site::configure(&store);
    let mut gateways = Vec::new();
    for name in ["edge-1", "edge-2", "edge-3"] {
        gateways.push(Gateway::start(&folder.0, name, store.address).map_err(failed)?);
    }
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Err("the gateways are not ready".to_string());
    }
    // The gateways hear of each other.
    thread::sleep(Duration::from_secs(2));
    let entry = gateways[0].caller;

    // The clients use the first gateway. The program is one whose rows another gateway writes.
    let mut program = String::new();
    let mut owner = 0;
    let mut events = 0;
    for number in 0..20 {
        program = format!("{number:02x}fa81");
        events = turn(
            record,
            entry,
            &program,
            &format!("{program}root"),
            Work::new(2, IDLE_GAP_MS),
        )
        .1;
        let keys = store.keys("program-spending", &program);
        let writer = |name: &str| keys.iter().any(|key| key.starts_with(&format!("{name}-")));
        owner = if writer("edge-2") { 1 } else { 2 };
        if !writer("edge-1") && (writer("edge-2") || writer("edge-3")) {
            break;
        }
        owner = 0;
    }
    if owner == 0 {
        return Err("no program has its rows written by another gateway".to_string());
    }
    record.line(&format!(
        "program {program}: its rows are written by {}",
        gateways[owner].name
    ));

    let (first, second) = thread::scope(|scope| {
        let program = program.as_str();
        let work = Work {
            first_ms: BUSY_FIRST_MS,
            ..Work::new(SHORT_EVENTS, BUSY_GAP_MS)
        };
        let first = scope.spawn(move || wave(record, entry, program, "a", FIRST_WAVE, work));
        thread::sleep(Duration::from_millis(400));
        if has_trouble {
            record.line(&format!("SIGKILL to {}", gateways[owner].name));
            gateways[owner].kill();
            thread::sleep(RESTART_DELAY);
            let started = gateways[owner].restart();
            record.line(&format!(
                "{} is started again: {started:?}",
                gateways[owner].name
            ));
            let is_ready = gateways[owner].wait_until_ready();
            record.line(&format!("{} is ready: {is_ready}", gateways[owner].name));
        } else {
            thread::sleep(RESTART_DELAY);
        }
        thread::sleep(Duration::from_millis(100));
        let second = scope.spawn(move || {
            wave(
                record,
                entry,
                program,
                "b",
                SECOND_WAVE,
                Work::new(LONG_EVENTS, GAP_MS),
            )
        });
        (first.join().unwrap_or(0), second.join().unwrap_or(0))
    });
    record.line(&format!(
        "events received: {first} in the first wave, {second} in the second one"
    ));
    events += first + second;
    if first != FIRST_WAVE as u64 * SHORT_EVENTS {
        return Err("the turns of the first wave did not end whole".to_string());
    }

    // The program goes on, one turn after the other, until its budget is spent.
    thread::sleep(Duration::from_millis(300));
    let mut last_status = 0;
    for number in 0..60 {
        let id = format!("{program}c{number:02}");
        let (status, received) = turn(
            record,
            entry,
            &program,
            &id,
            Work::new(LONG_EVENTS, IDLE_GAP_MS),
        );
        events += received;
        last_status = status;
        match status {
            402 => break,
            // A client honours Retry-After.
            200 => {}
            _ => thread::sleep(Duration::from_millis(500)),
        }
    }
    for run in runs.all() {
        record.detail(run.at, &format!("{} runs {}", run.server, run.request_id));
    }
    let handed = events * TOKENS_PER_EVENT;
    let allowed = BUDGET + LARGEST_TURN;
    record.line(&format!(
        "status of the last turn: {last_status}; tokens handed to clients: {handed}; budget {BUDGET} + largest \
         turn {LARGEST_TURN} = {allowed}"
    ));
    Ok(handed <= allowed)
}
