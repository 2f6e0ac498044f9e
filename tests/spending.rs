//! A program never spends beyond its budget, with separate processes.

use std::time::Duration;

use sapphireford_standin::harness::{Process, Site, SiteOptions, wait_until};
use serde_json::{Value, json};

/// Longest wait for a condition; generous, because the machine may be busy.
const LIMIT: Duration = Duration::from_secs(30);
/// Prices of the sites here, in micros for one token.
const PROMPT_PRICE: u64 = 1;
const OUTPUT_PRICE: u64 = 4;

fn site(entries: usize) -> Site {
    Site::with_options(SiteOptions {
        entries,
        settings: json!({
            "lease_ttl_ms": 1_200, "lease_renew_ms": 300, "membership_interval_ms": 200,
            "config_interval_ms": 200,
        }),
        ..SiteOptions::default()
    })
}

fn start_run(site: &Site, budget: u64) {
    let body = json!({ "request_id": "start", "program": "assistant", "budget_micros": budget });
    let answer = site.post(0, "c1/runs", &body).expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
}

fn turn_body(request_id: &str, tokens: u64) -> Value {
    json!({ "request_id": request_id, "input": "hello", "max_output_tokens": tokens })
}

/// Runs a turn to its end. Returns its `done` event, or the error of an event or an answer, and the
/// number of its tokens.
fn turn(site: &Site, entry: usize, run: u64, body: &Value) -> (Result<Value, Value>, u64) {
    let path = format!("c1/runs/{run}/turns");
    let mut stream = site.open(entry, &path, body).expect("an answer");
    if stream.status() != 200 {
        let error = stream.into_answer().expect("a whole answer").json();
        return (Err(error["error"].clone()), 0);
    }
    let events = stream.remaining_events().expect("a whole stream");
    let tokens = events.iter().filter(|event| event.name == "token").count() as u64;
    let last = events.last().expect("an event");
    let data: Value = serde_json::from_str(&last.data).expect("JSON");
    match last.name.as_str() {
        "done" => (Ok(data), tokens),
        _ => (Err(data["error"].clone()), tokens),
    }
}

#[track_caller]
fn assert_refused(error: &Value, kind: &str) {
    assert_eq!(error["kind"], kind, "{error}");
    assert_eq!(error["ran"], "no", "{error}");
}

fn run_state(site: &Site, entry: usize, run: u64) -> Value {
    let state = site.get(entry, "c1").expect("an answer").json();
    state["runs"][run as usize - 1].clone()
}

fn micros(run: &Value, name: &str) -> u64 {
    run[name].as_u64().expect("an amount")
}

/// What the engines worked for the run, at its prices.
fn worked_micros(site: &Site) -> u64 {
    let worked = |engine: &Process| {
        let stats = engine.stats();
        let tokens = |name: &str| stats[name].as_u64().expect("a count");
        let prompt = tokens("tokens_prefilled") + tokens("tokens_from_cache");
        prompt * PROMPT_PRICE + tokens("tokens_generated") * OUTPUT_PRICE
    };
    site.engines.iter().map(worked).sum()
}

/// Guards against a program that loops and spends more than its budget, by its own account and by the
/// work that the engines did.
#[test]
fn endless_loop_ends_at_the_budget() {
    const BUDGET: u64 = 2_000;
    let site = site(1);
    start_run(&site, BUDGET);
    // Each turn has at least 100 output tokens, so the budget ends the loop after a few.
    let refused = (0..20).find_map(|number| {
        let body = turn_body(&format!("t{number}"), 100);
        turn(&site, 0, 1, &body).0.err()
    });
    assert_refused(&refused.expect("a refusal"), "budget_exceeded");
    let run = run_state(&site, 0, 1);
    assert!(
        (1..=BUDGET).contains(&micros(&run, "spent_micros")),
        "{run}"
    );
    assert_eq!(micros(&run, "reserved_micros"), 0, "{run}");
    assert!(worked_micros(&site) <= BUDGET);
}

/// Guards against a reservation that is lost with its holder, so that the repeated call spends the
/// same budget a second time.
#[test]
fn reservation_of_a_lost_call_stays_spent() {
    const BUDGET: u64 = 3_000;
    const RESERVED_FOR_OUTPUT: u64 = 500 * OUTPUT_PRICE;
    let mut site = site(3);
    start_run(&site, BUDGET);
    let body = turn_body("t1", 500);
    let mut stream = site.open(0, "c1/runs/1/turns", &body).expect("a stream");
    for _ in 0..4 {
        stream.next_event().expect("an event");
    }
    let holder = site.lease_holder_of("team-one", "c1").expect("a holder");
    site.kill_entry(holder);
    let other = (holder + 1) % 3;
    let (repeated, _) = turn(&site, other, 1, &body);
    assert_refused(&repeated.expect_err("a refusal"), "budget_exceeded");
    let run = run_state(&site, other, 1);
    let spent = micros(&run, "spent_micros");
    assert!((RESERVED_FOR_OUTPUT..=BUDGET).contains(&spent), "{run}");
    assert!(worked_micros(&site) <= BUDGET);
}

/// Guards against sub-agents that overdraw their parent together, each within its own budget.
#[test]
fn parallel_sub_agents_draw_on_their_parent() {
    const BUDGET: u64 = 3_000;
    let site = site(1);
    start_run(&site, BUDGET);
    let children = 2..=5;
    for child in children.clone() {
        let body = json!({
            "request_id": format!("spawn-{child}"), "program": "assistant", "budget_micros": BUDGET,
        });
        let answer = site
            .post(0, "c1/runs/1/sub-agents", &body)
            .expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    // Two turns fit into the parent's budget, four do not.
    let results: Vec<_> = std::thread::scope(|scope| {
        let site = &site;
        let start = |child: u64| {
            let body = turn_body(&format!("t{child}"), 250);
            scope.spawn(move || turn(site, 0, child, &body).0)
        };
        let threads: Vec<_> = children.clone().map(start).collect();
        let join = |thread: std::thread::ScopedJoinHandle<'_, _>| thread.join().expect("a result");
        threads.into_iter().map(join).collect()
    });
    let refused: Vec<&Value> = results
        .iter()
        .filter_map(|result| result.as_ref().err())
        .collect();
    assert_eq!(refused.len(), 2, "{results:?}");
    refused
        .iter()
        .for_each(|error| assert_refused(error, "budget_exceeded"));
    let parent = run_state(&site, 0, 1);
    let of_children = children.map(|child| micros(&run_state(&site, 0, child), "spent_micros"));
    assert_eq!(micros(&parent, "spent_micros"), of_children.sum::<u64>());
    assert!(worked_micros(&site) <= BUDGET);
}

/// Applies a configuration and waits until the entry uses it.
fn apply(site: &Site, version: u64, change: Value) {
    site.apply(version - 1, &[site.base_config(), change]);
    let in_force = wait_until(LIMIT, || {
        let status = site.status(site.entry_address(0));
        status.is_some_and(|status| status["config_version"] == json!(version))
    });
    assert!(in_force, "version {version} is not in force");
}

/// Guards against a call that costs more than it reserved because the price rose meanwhile, and
/// against a budget that was lowered and still pays for the next call.
#[test]
fn new_price_and_lowered_budget_hold_for_the_next_call() {
    let site = site(1);
    start_run(&site, 1_000_000);
    let body = turn_body("t1", 3_000);
    let running = std::thread::scope(|scope| {
        let running = scope.spawn(|| turn(&site, 0, 1, &body).0);
        let reserved = || micros(&run_state(&site, 0, 1), "reserved_micros") > 0;
        assert!(wait_until(LIMIT, reserved));
        let price = json!({ "models": { "small": { "output_micros_per_1k_tokens": 40_000 } } });
        apply(&site, 2, price);
        assert!(
            reserved(),
            "the turn ended before the new price was in force"
        );
        running.join().expect("a result")
    });
    let cost = |done: &Value, price: u64| {
        micros(done, "prompt_tokens") * PROMPT_PRICE + micros(done, "output_tokens") * price
    };
    let done = running.expect("a whole turn");
    assert_eq!(micros(&done, "cost_micros"), cost(&done, OUTPUT_PRICE));
    let done = turn(&site, 0, 1, &turn_body("t2", 20))
        .0
        .expect("a whole turn");
    assert_eq!(micros(&done, "cost_micros"), cost(&done, 10 * OUTPUT_PRICE));
    // The refused call waits behind the running one while the budget is lowered.
    let (running, waiting) = (turn_body("t3", 2_000), turn_body("t4", 1));
    let reserved = || micros(&run_state(&site, 0, 1), "reserved_micros") > 0;
    let (finished, refused) = std::thread::scope(|scope| {
        let running = scope.spawn(|| turn(&site, 0, 1, &running).0);
        assert!(wait_until(LIMIT, reserved));
        let waiting = scope.spawn(|| turn(&site, 0, 1, &waiting).0);
        let budget = json!({ "programs": { "assistant": { "budget_micros": 1_000 } } });
        apply(&site, 3, budget);
        assert!(
            reserved(),
            "the turn ended before the lower budget was in force"
        );
        (
            running.join().expect("a result"),
            waiting.join().expect("a result"),
        )
    });
    finished.expect("a whole turn");
    assert_refused(&refused.expect_err("a refusal"), "budget_exceeded");
}

/// Guards against an engine that sends, or reports, more tokens than it was asked for: the run pays at
/// most its reservation, and the conversation goes on.
#[test]
fn engine_that_exceeds_its_request_costs_no_more_than_reserved() {
    let site = site(1);
    let control = |faults: Value| {
        site.engines
            .iter()
            .for_each(|engine| engine.control(&faults))
    };
    start_run(&site, 100_000);
    // The bound of a prompt has a few tokens for each message, and one for each byte of text.
    let limit = 20 * OUTPUT_PRICE + 200 * PROMPT_PRICE;
    control(json!({ "extra_tokens": 30 }));
    let (failed, tokens) = turn(&site, 0, 1, &turn_body("t1", 20));
    let error = failed.expect_err("an error");
    assert_eq!(error["kind"], "backend_failed", "{error}");
    assert!(tokens <= 20, "{tokens} tokens reached the caller");
    let spent = micros(&run_state(&site, 0, 1), "spent_micros");
    assert!((1..=limit).contains(&spent), "{spent}");
    control(json!({ "extra_tokens": 0, "extra_usage": 1_000_000_000_000_u64 }));
    let done = turn(&site, 0, 1, &turn_body("t2", 20))
        .0
        .expect("a whole turn");
    assert!(micros(&done, "cost_micros") <= limit, "{done}");
    assert_eq!(micros(&done, "output_tokens"), 20, "{done}");
    control(json!({ "extra_usage": 0 }));
    turn(&site, 0, 1, &turn_body("t3", 20))
        .0
        .expect("a whole turn");
}

/// Guards against a tool whose charge is above its price limit.
#[test]
fn tool_charges_at_most_its_limit() {
    const LIMIT_MICROS: u64 = 1_000;
    let site = site(1);
    start_run(&site, LIMIT_MICROS + LIMIT_MICROS / 2);
    let call = |request_id: &str| {
        let arguments = json!({ "charge_micros": 5 * LIMIT_MICROS });
        let body = json!({ "request_id": request_id, "tool": "charge", "arguments": arguments });
        site.post(0, "c1/runs/1/tool-calls", &body)
            .expect("an answer")
    };
    let first = call("a1");
    assert_eq!(first.status, 200, "{}", first.text());
    assert_eq!(first.json()["charge_micros"], json!(LIMIT_MICROS));
    assert_refused(&call("a2").json()["error"], "budget_exceeded");
    let run = run_state(&site, 0, 1);
    assert_eq!(micros(&run, "spent_micros"), LIMIT_MICROS, "{run}");
    assert_eq!(site.tool_without_status.stats()["requests"], json!(1));
}
