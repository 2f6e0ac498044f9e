//! Conversations of two teams under random failures, checked against what tools, engines and
//! histories say at the end.
//!
//! The plan follows from a seed. The interleaving of the processes does not, so a seed that fails may
//! need several runs to fail again.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sapphireford_standin::harness::{
    Call, Caller, Reply, Site, SiteOptions, TEAM_ONE_KEY, TEAM_TWO_KEY, check_history, wait_until,
};
use serde_json::{Value, json};
use yare::parameterized;

/// Longest time until a request has its final answer, whatever fails.
const FINAL_ANSWER: Duration = Duration::from_secs(60);
/// Longest wait for a part of an answer, so that a paused entry does not hold a caller.
const PART: Duration = Duration::from_secs(4);
const CHARGE_MICROS: u64 = 400;
/// Enough for a long run.
const BUDGET_MICROS: u64 = 1_000_000_000;
/// Used up within a few seconds.
const SMALL_BUDGET_MICROS: u64 = 8_000;

/// Guards against any combination of failures in which a promise about order, histories, budgets or
/// paid actions is broken.
#[parameterized(first = { 1 }, second = { 2 })]
fn short_plan(seed: u64) {
    run_plan(seed, Duration::from_secs(4));
}

/// Runs a long plan; see `scripts/soak`.
#[test]
#[ignore = "takes as long as it is told to; run it by scripts/soak"]
fn soak() {
    let number = |name: &str| std::env::var(name).ok()?.parse().ok();
    let seed = number("SAPPHIREFORD_SOAK_SEED").unwrap_or(1);
    let seconds = number("SAPPHIREFORD_SOAK_SECONDS").unwrap_or(60);
    run_plan(seed, Duration::from_secs(seconds));
}

fn run_plan(seed: u64, time: Duration) {
    let mut site = Site::with_options(SiteOptions {
        settings: json!({
            "lease_ttl_ms": 1_200, "lease_renew_ms": 300, "membership_interval_ms": 200,
            "commit_grace_ms": 500, "durable_wait_ms": 1_500, "slot_wait_ms": 3_000,
            "platform_call_ms": 400, "checkpoint_interval_ms": 700,
        }),
        config: json!({
            "limits": { "queue_time_ms": 3_000 },
            "programs": {
                "assistant": { "budget_micros": BUDGET_MICROS, "max_calls": 100_000 },
                "advice": { "budget_micros": BUDGET_MICROS, "max_calls": 100_000 },
            },
        }),
        ..SiteOptions::default()
    });
    let stop = AtomicBool::new(false);
    let mut scripts: Vec<_> = (0..6)
        .map(|index| Script::new(&site, seed, index))
        .collect();
    thread::scope(|scope| {
        let stop = &stop;
        for script in &mut scripts {
            scope.spawn(move || script.run(stop));
        }
        Failures::new(seed).run(&mut site, time);
        stop.store(true, Ordering::Relaxed);
    });
    check_processes(&mut site);
    let searches: HashSet<_> = scripts.iter().flat_map(|script| &script.searches).collect();
    check_tools(&site, &searches);
    let turns: u64 = scripts.iter().map(|script| script.check()).sum();
    let engines = site.engines.iter().map(|engine| engine.stats());
    let finished = engines.filter_map(|stats| stats["calls_finished"].as_u64());
    assert!(
        finished.sum::<u64>() >= turns,
        "more turns than engine calls"
    );
    let requests: usize = scripts.iter().map(|script| script.requests.len()).sum();
    println!("seed {seed}: {requests} requests, {turns} turns done");
}

/// What became of a request.
struct Request {
    id: String,
    call: Call,
    is_turn: bool,
    reply: Reply,
}

/// One program: a conversation and the calls that it makes one after the other.
struct Script {
    caller: Caller,
    random: StdRng,
    conversation: String,
    program: &'static str,
    budget_micros: u64,
    numbered: bool,
    calls: u64,
    requests: Vec<Request>,
    /// Ids of the actions of the idempotent tool.
    searches: Vec<String>,
}

impl Script {
    fn new(site: &Site, seed: u64, index: u64) -> Self {
        let (key, program) = match index % 2 {
            0 => (TEAM_ONE_KEY, "assistant"),
            _ => (TEAM_TWO_KEY, "advice"),
        };
        Self {
            caller: Caller::with_key(site, key).timeout(PART),
            random: StdRng::seed_from_u64(seed * 100 + index),
            // Both teams use the same ids.
            conversation: format!("expected_history{}", index / 2),
            program,
            budget_micros: if index < 4 {
                BUDGET_MICROS
            } else {
                SMALL_BUDGET_MICROS
            },
            numbered: index < 2,
            calls: 0,
            requests: Vec::new(),
            searches: Vec::new(),
        }
    }

    fn run(&mut self, stop: &AtomicBool) {
        let start = Call::start_run(&self.conversation, "start", self.program);
        let start = start.budget_micros(self.budget_micros);
        self.settle(&start).expect_done();
        while !stop.load(Ordering::Relaxed) {
            self.step();
        }
    }

    fn settle(&mut self, call: &Call) -> Reply {
        let entry = self.random.random_range(0..3);
        let reply = self.caller.send_until_final(entry, call, FINAL_ANSWER);
        let conversation = &self.conversation;
        assert!(
            reply.is_final(),
            "{conversation}: {call:?} has no final answer: {reply:?}"
        );
        reply
    }

    fn step(&mut self) {
        if self.random.random_bool(0.15) && !self.requests.is_empty() {
            return self.repeat();
        }
        // Names the team, so that a message of the other one with the same id shows.
        let id = format!("{}-{}", self.program, self.requests.len());
        let tool = match self.random.random_range(0..10) {
            0..6 => None,
            6 | 7 => Some("charge"),
            8 => Some("book"),
            _ => Some("search"),
        };
        let mut call = match tool {
            None => Call::turn(&self.conversation, &id, self.random.random_range(1..40)),
            Some(tool) => {
                Call::tool_call(&self.conversation, &id, tool).charge_micros(CHARGE_MICROS)
            }
        };
        if self.numbered {
            call = call.sequence(self.calls + 1);
        }
        let mut reply = match self.random.random_bool(0.2) {
            true => self.send_twice(&call),
            false => self.settle(&call),
        };
        while tool == Some("search") && reply.kind() == "action_in_doubt" {
            reply = self.settle(&call);
        }
        if reply.kind() == "action_in_doubt" {
            // Doubt must not make anyone run the action again.
            reply = self.settle(&call);
        }
        if let (Some("search"), Reply::Done(body)) = (tool, &reply) {
            self.searches
                .push(body["action_id"].as_str().unwrap_or_default().to_string());
        }
        // Whatever ran has its place in the sequence of calls.
        if reply.ran() != "no" {
            self.calls += 1;
        }
        let is_turn = tool.is_none();
        self.requests.push(Request {
            id,
            call,
            is_turn,
            reply,
        });
    }

    /// Sends a request through two entries at the same time.
    fn send_twice(&mut self, call: &Call) -> Reply {
        let caller = self.caller.clone();
        let entry = self.random.random_range(0..3);
        let (one, two) = thread::scope(|scope| {
            let other = scope.spawn(|| caller.send_until_final(entry + 1, call, FINAL_ANSWER));
            let one = caller.send_until_final(entry, call, FINAL_ANSWER);
            (one, other.join().expect("a reply"))
        });
        assert!(
            one.is_final() && two.is_final(),
            "{call:?}: {one:?} {two:?}"
        );
        match (&one, &two) {
            // An action in doubt may have been resolved in the meantime.
            (Reply::Done(_), Reply::Error { .. }) => one,
            (Reply::Error { .. }, Reply::Done(_)) => two,
            _ => {
                assert_same(call, &one, &two);
                one
            }
        }
    }

    /// Repeats an earlier request id, which must have the same answer as before.
    fn repeat(&mut self) {
        let index = self.random.random_range(0..self.requests.len());
        let call = self.requests[index].call.clone();
        // A request that never ran may run now; it would change the order that is checked.
        if self.requests[index].reply.ran() == "no" {
            return;
        }
        let reply = self.settle(&call);
        let before = &mut self.requests[index].reply;
        if before.kind() == "action_in_doubt" && matches!(reply, Reply::Done(_)) {
            *before = Reply::Error {
                kind: "resolved".to_string(),
                ran: "yes".to_string(),
            };
        } else if before.kind() != "resolved" {
            assert_same(&call, before, &reply);
        }
    }

    /// Compares the history with the answers; returns the number of turns done.
    fn check(&self) -> u64 {
        let conversation = &self.conversation;
        let mut histories = Vec::new();
        let agreed = wait_until(FINAL_ANSWER, || {
            histories = (0..3)
                .map(|entry| self.caller.history(entry, conversation))
                .collect();
            histories[0].is_some() && histories.iter().all(|history| *history == histories[0])
        });
        assert!(
            agreed,
            "{conversation}: the entries tell different histories: {histories:?}"
        );
        let history = histories.swap_remove(0).unwrap_or_default();
        let order = check_history(conversation, &history)
            .unwrap_or_else(|error| panic!("{conversation} of {}: {error}", self.program));
        let answers: HashMap<_, _> = history
            .windows(2)
            .filter(|pair| pair[0].role == "user")
            .map(|pair| (pair[0].content.clone(), pair[1].content.clone()))
            .collect();
        let done: Vec<_> = self
            .requests
            .iter()
            .filter(|request| matches!(request.reply, Reply::Done(_)))
            .collect();
        let done_ids: Vec<_> = done.iter().map(|request| request.id.as_str()).collect();
        let in_order: Vec<_> = order
            .iter()
            .map(String::as_str)
            .filter(|id| done_ids.contains(id))
            .collect();
        assert_eq!(
            in_order, done_ids,
            "{conversation}: a call is missing, doubled or misplaced"
        );
        for other in order.iter().filter(|id| !done_ids.contains(&id.as_str())) {
            let request = self.requests.iter().find(|request| request.id == **other);
            let kind = request.map(|request| request.reply.kind().to_string());
            let is_doubt = matches!(kind.as_deref(), Some("resolved" | "action_in_doubt"));
            assert!(
                is_doubt,
                "{conversation}: {other} is in the history, its answer was {kind:?}"
            );
        }
        let mut cost = 0;
        for request in &done {
            let Reply::Done(body) = &request.reply else {
                continue;
            };
            cost += body["cost_micros"].as_u64().unwrap_or(0);
            cost += body["charge_micros"].as_u64().unwrap_or(0);
            if request.is_turn {
                let input = format!("{conversation}:{} asks", request.id);
                let text = answers.get(&input).map(String::as_str);
                assert_eq!(
                    text,
                    body["text"].as_str(),
                    "{conversation}: {}",
                    request.id
                );
            }
        }
        let state = self.caller.get(0, conversation).expect("a state");
        let run = &state["runs"][0];
        let micros = |field: &str| run[field].as_u64().unwrap_or(u64::MAX);
        assert!(
            micros("spent_micros") + micros("reserved_micros") <= self.budget_micros,
            "{run}"
        );
        assert!(
            micros("spent_micros") >= cost,
            "{cost} micros were answered: {run}"
        );
        done.iter().filter(|request| request.is_turn).count() as u64
    }
}

fn assert_same(call: &Call, one: &Reply, two: &Reply) {
    match (one, two) {
        (Reply::Done(one), Reply::Done(two)) => {
            for field in [
                "text",
                "result",
                "action_id",
                "turn",
                "cost_micros",
                "charge_micros",
            ] {
                assert_eq!(
                    one[field], two[field],
                    "{call:?} has two answers: {one} {two}"
                );
            }
        }
        _ => assert_eq!(
            one.kind(),
            two.kind(),
            "{call:?} has two answers: {one:?} {two:?}"
        ),
    }
}

/// Brings about failures, one or two at a time.
struct Failures {
    random: StdRng,
    /// What ends, and when.
    ends: Vec<(Instant, End)>,
}

#[derive(Clone, Copy, PartialEq)]
enum End {
    Restart(usize),
    Resume(usize),
    Platform,
}

impl Failures {
    fn new(seed: u64) -> Self {
        Self {
            random: StdRng::seed_from_u64(seed * 100 + 99),
            ends: Vec::new(),
        }
    }

    fn run(&mut self, site: &mut Site, time: Duration) {
        let deadline = Instant::now() + time;
        let mut next = Instant::now() + Duration::from_millis(300);
        while Instant::now() < deadline {
            if Instant::now() >= next {
                let count = if self.random.random_bool(0.3) { 2 } else { 1 };
                (0..count).for_each(|_| self.begin(site));
                let pause_ms = self.random.random_range(300..1_500);
                next = Instant::now() + Duration::from_millis(pause_ms);
            }
            self.end(site, Instant::now());
            thread::sleep(Duration::from_millis(20));
        }
        self.end(site, deadline + Duration::from_secs(3_600));
    }

    fn begin(&mut self, site: &mut Site) {
        let choice = self.random.random_range(0..10);
        let entry = self.random.random_range(0..3);
        let length_ms = self.random.random_range(200..2_500);
        let end = Instant::now() + Duration::from_millis(length_ms);
        let seed: u64 = self.random.random();
        let is_down = |entry| {
            let ends = self.ends.iter();
            ends.filter(|(_, end)| [End::Restart(entry), End::Resume(entry)].contains(end))
                .count()
        };
        let down: usize = (0..3).map(is_down).sum();
        let may_fail = down < 2 && is_down(entry) == 0;
        let (fault, control) = match choice {
            0..3 if may_fail => {
                check_process(site, entry);
                site.kill_entry(entry);
                self.ends.push((end, End::Restart(entry)));
                return;
            }
            3 | 4 if may_fail => {
                site.entry(entry).pause();
                self.ends.push((end, End::Resume(entry)));
                return;
            }
            5 => (&site.platform, outage(seed)),
            6 => (
                &site.platform,
                json!({ "lose_acknowledgement_rate": 0.4, "seed": seed }),
            ),
            // Above the time limit of a call in some cases.
            7 => (&site.platform, json!({ "delay_ms": seed % 600 })),
            8 => (&site.tool, tool_fault(seed)),
            _ => (&site.tool_without_status, tool_fault(seed)),
        };
        fault.control(&control);
        if (5..8).contains(&choice) {
            self.ends.push((end, End::Platform));
        }
    }

    fn end(&mut self, site: &mut Site, now: Instant) {
        let (due, later) = self.ends.iter().partition(|(at, _)| *at <= now);
        self.ends = later;
        let due: Vec<(Instant, End)> = due;
        for (_, end) in due {
            match end {
                End::Restart(entry) => site.start_entry(entry),
                End::Resume(entry) => site.entry(entry).resume(),
                End::Platform => site.platform.control(&json!({
                    "outage": "none", "lose_acknowledgement_rate": 0.0, "delay_ms": 0,
                    "hang_commits": false, "commit_filter": "",
                })),
            }
        }
    }
}

/// Of the whole platform, of all commits, or of the commits of one entry.
fn outage(seed: u64) -> Value {
    match seed % 5 {
        0 => json!({ "outage": "refuse" }),
        1 => json!({ "outage": "hang" }),
        2 => json!({ "hang_commits": true, "commit_filter": "" }),
        _ => {
            let filter = format!("entries/entry-{}", seed / 5 % 3);
            json!({ "hang_commits": true, "commit_filter": filter })
        }
    }
}

fn tool_fault(seed: u64) -> Value {
    let faults = [
        "hang_next",
        "hang_before_next",
        "fail_next",
        "drop_after_next",
    ];
    json!({ faults[(seed % 4) as usize]: 1 })
}

/// An entry that ends by itself has found an invariant violated.
fn check_process(site: &mut Site, entry: usize) {
    let ended = site.entry(entry).wait(Duration::ZERO);
    assert!(ended.is_none(), "entry {entry} ended by itself: {ended:?}");
}

fn check_processes(site: &mut Site) {
    (0..site.entry_count()).for_each(|entry| check_process(site, entry));
}

/// No action of a tool that is not idempotent ran twice, by the tools' own counts.
fn check_tools(site: &Site, searches: &HashSet<&String>) {
    for stats in [site.tool.stats(), site.tool_without_status.stats()] {
        let executions = stats["executions_by_key"].as_object().expect("counts");
        for (action_id, count) in executions {
            let once = *count == json!(1) || searches.contains(action_id);
            assert!(once, "action {action_id} ran {count} times");
        }
    }
}
