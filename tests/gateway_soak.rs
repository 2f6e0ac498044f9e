//! Programs and bookings through gateways under random failures from outside the processes.
//!
//! The plan of failures follows from a seed; the interleaving of the processes does not, so a seed
//! that fails may need several runs to fail again. Long runs: `scripts/gateway-soak`.

#[path = "support/gateway.rs"]
mod gateway;
#[path = "support/kept_connection.rs"]
mod kept_connection;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use gateway::{Turn, WAIT_LIMIT, new_id, whole_data};
use kept_connection::KeptConnection;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use sapphireford_standin::harness::{
    GatewaySite, ProxyMode, TOKENS_PER_EVENT, default_routes, wait_until,
};
use serde_json::json;
use yare::parameterized;

const GATEWAYS: usize = 3;
const EVENTS: u64 = 3;
const TURN_TOKENS: u64 = EVENTS * TOKENS_PER_EVENT;
/// Budget of a program that loops; a few turns.
const LOOP_BUDGET_TOKENS: u64 = 5 * TURN_TOKENS;
const CHAT_BUDGET_TOKENS: u64 = 10_000 * TURN_TOKENS;
/// Longest wait for a part of an answer.
const PART_TIME: Duration = Duration::from_secs(6);

/// Guards against any combination of failures in which a promise about histories, budgets, single
/// runs, whole answers or refusals is broken.
#[parameterized(first = { 1 }, second = { 2 }, third = { 3 })]
fn short_plan(seed: u64) {
    run_plan(seed, Duration::from_secs(6));
}

/// Runs a long plan; see `scripts/gateway-soak`.
#[test]
#[ignore = "takes as long as it is told to; run it by scripts/gateway-soak"]
fn soak() {
    let number = |name: &str| std::env::var(name).ok()?.parse().ok();
    let seed = number("SAPPHIREFORD_SOAK_SEED").unwrap_or(1);
    let seconds = number("SAPPHIREFORD_SOAK_SECONDS").unwrap_or(60);
    run_plan(seed, Duration::from_secs(seconds));
}

/// What callers have seen, for the checks at the end.
#[derive(Default)]
struct Seen {
    /// The promises "not run", by request id.
    not_run: Vec<String>,
    bookings: Vec<String>,
    /// Tokens received by each looping program.
    loop_tokens: HashMap<String, u64>,
    /// The last whole turn of each conversation and the text of its chain.
    chats: HashMap<String, (String, String)>,
    violations: Vec<String>,
    whole_turns: u64,
    whole_bookings: u64,
}

struct Shared {
    seen: Mutex<Seen>,
    addresses: Vec<SocketAddr>,
    is_over: AtomicBool,
}

impl Shared {
    fn seen(&self) -> std::sync::MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn violation(&self, text: String) {
        self.seen().violations.push(text);
    }

    /// Records a refusal as a promise, and says whether the status is one.
    fn note_status(&self, id: &str, status: u16) {
        if matches!(status, 402 | 408 | 421 | 429 | 503) {
            self.seen().not_run.push(id.to_string());
        }
    }
}

fn run_plan(seed: u64, time: Duration) {
    let mut site = GatewaySite::start(GATEWAYS);
    let addresses = site.gateways.iter().map(|gateway| gateway.caller_address());
    let shared = Shared {
        seen: Mutex::default(),
        addresses: addresses.collect(),
        is_over: AtomicBool::new(false),
    };
    thread::scope(|scope| {
        for worker in 0..3 {
            let shared = &shared;
            scope.spawn(move || chat(shared, seed * 100 + worker));
            scope.spawn(move || spend_in_a_loop(shared, seed * 100 + 10 + worker));
            scope.spawn(move || book(shared, seed * 100 + 20 + worker));
        }
        fail_at_random(&mut site, seed, time);
        shared.is_over.store(true, Ordering::Relaxed);
    });
    heal(&mut site);
    check_runs(&site, &shared);
    check_chats(&site, &shared);
    let seen = shared.seen();
    println!(
        "seed {seed}: {} whole turns, {} whole bookings, {} promises, {} conversations",
        seen.whole_turns,
        seen.whole_bookings,
        seen.not_run.len(),
        seen.chats.len()
    );
    assert!(
        seen.violations.is_empty(),
        "seed {seed}: {:#?}",
        seen.violations
    );
    assert!(seen.whole_turns > 0, "seed {seed}: no turn was whole");
}

/// Continues one conversation after the other, each turn through any gateway.
fn chat(shared: &Shared, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut number = 0;
    while !shared.is_over.load(Ordering::Relaxed) {
        number += 1;
        let program = format!("chat-{seed}-{number}");
        for _ in 0..random.random_range(2..6) {
            if shared.is_over.load(Ordering::Relaxed) {
                return;
            }
            chat_turn(shared, &mut random, &program);
        }
    }
}

fn chat_turn(shared: &Shared, random: &mut StdRng, program: &str) {
    let chain = shared.seen().chats.get(program).cloned();
    let (previous, text) = chain.unzip();
    let text = text.unwrap_or_default();
    let id = new_id();
    let input = format!("[{program} {id}]");
    let turn = Turn {
        path: "/chat/a",
        id: &id,
        program,
        previous: previous.as_deref(),
        input: &input,
        events: EVENTS,
        budget_tokens: CHAT_BUDGET_TOKENS,
    };
    let body = format!("{text}{input}");
    let Some(data) = run_turn(shared, random, &turn, &body) else {
        return;
    };
    let lines: String = data.iter().map(|data| format!("{data}\n")).collect();
    let mut seen = shared.seen();
    seen.whole_turns += 1;
    seen.chats.insert(program.to_string(), (id, body + &lines));
}

/// Runs a turn and checks each event; returns the data of all events if the answer was whole.
fn run_turn(
    shared: &Shared,
    random: &mut StdRng,
    turn: &Turn<'_>,
    body: &str,
) -> Option<Vec<String>> {
    let address = *shared.addresses.choose(random)?;
    let Ok(mut stream) = turn.request().timeout(PART_TIME).open(address) else {
        thread::sleep(Duration::from_millis(20));
        return None;
    };
    let status = stream.status();
    shared.note_status(turn.id, status);
    if status == 404 || status == 410 {
        shared.violation(format!(
            "turn {} after {:?}: {status}",
            turn.id, turn.previous
        ));
    }
    if status != 200 {
        thread::sleep(Duration::from_millis(50));
        return None;
    }
    let expected = whole_data(body, turn.events);
    let mut data = Vec::new();
    loop {
        match stream.next_event() {
            Ok(Some(event)) => {
                let is_looping = turn.budget_tokens == LOOP_BUDGET_TOKENS;
                if is_looping {
                    let mut seen = shared.seen();
                    *seen
                        .loop_tokens
                        .entry(turn.program.to_string())
                        .or_default() += TOKENS_PER_EVENT;
                }
                if expected.get(data.len()) != Some(&event.data) {
                    let text = format!("turn {}: event {} is wrong", turn.id, data.len() + 1);
                    shared.violation(text);
                    return None;
                }
                data.push(event.data);
            }
            Ok(None) if data.len() == expected.len() => return Some(data),
            Ok(None) => {
                shared.violation(format!("turn {}: cut short, but complete", turn.id));
                return None;
            }
            Err(_) => return None,
        }
    }
}

/// Starts turns without end, several at a time, until the budget stops them.
fn spend_in_a_loop(shared: &Shared, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut number = 0;
    while !shared.is_over.load(Ordering::Relaxed) {
        number += 1;
        let program = format!("loop-{seed}-{number}");
        for _ in 0..12 {
            let ids = [new_id(), new_id()];
            thread::scope(|scope| {
                for id in &ids {
                    let mut random = StdRng::seed_from_u64(random.random());
                    let program = &program;
                    scope.spawn(move || {
                        let turn = Turn {
                            id,
                            program,
                            input: "again",
                            events: EVENTS,
                            budget_tokens: LOOP_BUDGET_TOKENS,
                            ..Turn::default()
                        };
                        run_turn(shared, &mut random, &turn, "again");
                    });
                }
            });
            if shared.is_over.load(Ordering::Relaxed) {
                return;
            }
        }
    }
}

/// Books on connections that stay open until the gateway closes them.
fn book(shared: &Shared, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut connection: Option<KeptConnection> = None;
    while !shared.is_over.load(Ordering::Relaxed) {
        let Some(address) = shared.addresses.choose(&mut random) else {
            return;
        };
        let mut kept = match connection.take() {
            Some(kept) => kept,
            None => match KeptConnection::open(*address, PART_TIME) {
                Ok(kept) => kept,
                Err(_) => {
                    thread::sleep(Duration::from_millis(20));
                    continue;
                }
            },
        };
        let id = new_id();
        shared.seen().bookings.push(id.clone());
        let body = format!("book {id}");
        let Ok(answer) = kept.send("/book/a", &id, &body) else {
            continue;
        };
        shared.note_status(&id, answer.status);
        if answer.status == 200 {
            if answer.body != body {
                shared.violation(format!("booking {id} got `{}`", answer.body));
            }
            shared.seen().whole_bookings += 1;
        }
        if !answer.closes {
            connection = Some(kept);
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Makes things fail, up to three at a time, until the time is over.
fn fail_at_random(site: &mut GatewaySite, seed: u64, time: Duration) {
    let mut random = StdRng::seed_from_u64(seed);
    let end = Instant::now() + time;
    while Instant::now() < end {
        for _ in 0..random.random_range(1..4) {
            fail(site, &mut random);
        }
        thread::sleep(Duration::from_millis(random.random_range(100..1_200)));
        if random.random_bool(0.6) {
            heal(site);
        }
    }
}

fn fail(site: &mut GatewaySite, random: &mut StdRng) {
    let index = random.random_range(0..GATEWAYS);
    let backend = random.random_range(0..2);
    let mode = *[
        ProxyMode::Reset,
        ProxyMode::Stall,
        ProxyMode::StallResponses,
    ]
    .choose(random)
    .unwrap_or(&ProxyMode::Reset);
    match random.random_range(0..14) {
        0 => {
            site.gateways[index].kill();
            site.gateways[index].start();
        }
        1 => site.gateways[index].process().pause(),
        2 => {
            // Stops gracefully while the others go on, and comes back.
            site.gateways[index].process().resume();
            site.gateways[index].process().terminate();
            let ended = site.gateways[index].process().wait(Duration::from_secs(9));
            assert!(ended.is_some(), "a gateway did not stop in time");
            site.gateways[index].start();
        }
        3 => site.gateways[index].store_proxy.set_mode(mode),
        4 => {
            let delay = Duration::from_millis(random.random_range(20..300));
            site.gateways[index].store_proxy.set_delay(delay);
        }
        5 => site.gateways[index].store_proxy.reset_connections(),
        6 => site.store.control(&json!({ "outage": "refuse" })),
        7 => site.store.control(&json!({ "outage": "hang" })),
        8 => site
            .store
            .control(&json!({ "hang_each": random.random_range(2..6) })),
        9 => site.store.control(&json!({ "compact": true })),
        10 => site.engines[backend].proxy.set_mode(mode),
        11 => {
            let events = random.random_range(0..EVENTS);
            let fault = ["cut_after_events", "stall_after_events"].choose(random);
            let fault = fault.copied().unwrap_or("cut_after_events");
            site.engines[backend]
                .process
                .control(&json!({ fault: events }));
        }
        12 => {
            let fault = ["lose_answer", "wrong_id", "unsigned", "full"].choose(random);
            let fault = fault.copied().unwrap_or("full");
            site.plain_servers[backend]
                .process
                .control(&json!({ fault: true }));
        }
        _ => {
            site.configure(default_routes());
            site.deregister(&site.engines[backend]);
        }
    }
}

/// Ends all failures and waits until all gateways are ready.
fn heal(site: &mut GatewaySite) {
    site.store
        .control(&json!({ "outage": "none", "delay_ms": 0, "hang_each": 0 }));
    for backend in site.engines.iter().chain(&site.plain_servers) {
        backend.proxy.set_mode(ProxyMode::Forward);
        backend.process.control(&json!({}));
        site.register(backend, "ready");
    }
    for gateway in &mut site.gateways {
        gateway.store_proxy.set_mode(ProxyMode::Forward);
        gateway.store_proxy.set_delay(Duration::ZERO);
        gateway.process().resume();
    }
    let are_ready = || site.gateways.iter().all(|gateway| gateway.is_ready());
    assert!(
        wait_until(WAIT_LIMIT, are_ready),
        "a gateway does not recover"
    );
}

/// Compares what callers were told with what the servers have run.
fn check_runs(site: &GatewaySite, shared: &Shared) {
    let mut runs: HashMap<String, u64> = HashMap::new();
    for backend in site.engines.iter().chain(&site.plain_servers) {
        let stats = backend.process.stats();
        for run in stats["runs"].as_array().into_iter().flatten() {
            let id = run["request_id"].as_str().unwrap_or_default().to_string();
            *runs.entry(id).or_default() += 1;
        }
    }
    let mut seen = shared.seen();
    let mut violations = Vec::new();
    for id in &seen.not_run {
        if runs.contains_key(id) {
            violations.push(format!("request {id} ran although it was refused"));
        }
    }
    for id in &seen.bookings {
        if runs.get(id).is_some_and(|count| *count > 1) {
            violations.push(format!("booking {id} ran twice"));
        }
    }
    for (program, tokens) in &seen.loop_tokens {
        if *tokens > LOOP_BUDGET_TOKENS + TURN_TOKENS {
            violations.push(format!("program {program} got {tokens} tokens"));
        }
    }
    seen.violations.append(&mut violations);
}

/// Continues each conversation once more, when nothing fails.
fn check_chats(site: &GatewaySite, shared: &Shared) {
    let programs: Vec<String> = shared.seen().chats.keys().cloned().collect();
    for program in programs {
        let Some((previous, text)) = shared.seen().chats.get(&program).cloned() else {
            continue;
        };
        let id = new_id();
        let turn = Turn {
            path: "/chat/a",
            id: &id,
            program: &program,
            previous: Some(&previous),
            input: "last",
            events: EVENTS,
            budget_tokens: CHAT_BUDGET_TOKENS,
        };
        let body = format!("{text}last");
        let mut random = StdRng::seed_from_u64(1);
        let is_continued = wait_until(WAIT_LIMIT, || {
            run_turn(shared, &mut random, &turn, &body).is_some()
        });
        if !is_continued {
            shared.violation(format!("conversation {program} does not go on"));
        }
    }
    assert_eq!(site.gateways.len(), GATEWAYS);
}
