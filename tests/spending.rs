//! A program never spends beyond its budget, tested with separate processes.

use std::time::Duration;

use sapphireford_standin::harness::{Process, Site, SiteOptions, wait_until};
use serde_json::{Value, json};

/// Timeout of a wait for a condition; long, because the machine may be busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Price of a prompt token in the sites of these tests, in micros.
const PROMPT_TOKEN_MICROS: u64 = 1;
/// Price of an output token in the sites of these tests, in micros.
const OUTPUT_TOKEN_MICROS: u64 = 4;

fn site(entries: usize) -> Site {
    Site::with_options(SiteOptions {
        entries,
        settings: json!({ "lease_ttl_ms": 1_200, "lease_renew_ms": 300, "membership_interval_ms": 200, "config_interval_ms": 200 }),
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

/// Runs a turn to its end. Returns its `done` event, or the error of its last event or of a refusal,
/// and the number of token events received.
fn run_turn(site: &Site, entry: usize, run: u64, body: &Value) -> (Result<Value, Value>, u64) {
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

fn amount(run: &Value, name: &str) -> u64 {
    run[name].as_u64().expect("an amount")
}

/// Returns the cost of all tokens that the engines processed or generated, at the prices of the run.
fn engine_work_micros(site: &Site) -> u64 {
    let cost = |engine: &Process| {
        let stats = engine.stats();
        let tokens = |name: &str| stats[name].as_u64().expect("a count");
        let prompt = tokens("tokens_prefilled") + tokens("tokens_from_cache");
        prompt * PROMPT_TOKEN_MICROS + tokens("tokens_generated") * OUTPUT_TOKEN_MICROS
    };
    site.engines.iter().map(cost).sum()
}

/// Guards against a program in an endless loop that spends more than its budget, according to the run
/// or to the work done by the engines.
#[test]
fn endless_loop_is_refused_at_the_budget() {
    const BUDGET_MICROS: u64 = 2_000;
    let site = site(1);
    start_run(&site, BUDGET_MICROS);
    // Each turn has at least 100 output tokens, so the budget ends the loop after a few turns.
    let refused = (0..20).find_map(|number| {
        let body = turn_body(&format!("t{number}"), 100);
        run_turn(&site, 0, 1, &body).0.err()
    });
    assert_refused(&refused.expect("a refusal"), "budget_exceeded");
    let run = run_state(&site, 0, 1);
    assert!(
        (1..=BUDGET_MICROS).contains(&amount(&run, "spent_micros")),
        "{run}"
    );
    assert_eq!(amount(&run, "reserved_micros"), 0, "{run}");
    assert!(engine_work_micros(&site) <= BUDGET_MICROS);
}

/// Guards against a reservation that is lost when the lease holder is killed, so that the repeated
/// call spends the same budget again.
#[test]
fn reservation_of_a_lost_call_stays_spent() {
    const BUDGET_MICROS: u64 = 3_000;
    const OUTPUT_RESERVATION_MICROS: u64 = 500 * OUTPUT_TOKEN_MICROS;
    let mut site = site(3);
    start_run(&site, BUDGET_MICROS);
    let body = turn_body("t1", 500);
    let mut stream = site.open(0, "c1/runs/1/turns", &body).expect("a stream");
    for _ in 0..4 {
        stream.next_event().expect("an event");
    }
    let holder = site.lease_holder_of("team-one", "c1").expect("a holder");
    site.kill_entry(holder);
    let other = (holder + 1) % 3;
    let (repeated, _) = run_turn(&site, other, 1, &body);
    assert_refused(&repeated.expect_err("a refusal"), "budget_exceeded");
    let run = run_state(&site, other, 1);
    let spent = amount(&run, "spent_micros");
    assert!(
        (OUTPUT_RESERVATION_MICROS..=BUDGET_MICROS).contains(&spent),
        "{run}"
    );
    assert!(engine_work_micros(&site) <= BUDGET_MICROS);
}

/// Guards against parallel sub-agents that stay within their own budgets but together exceed the
/// budget of their parent.
#[test]
fn parallel_sub_agents_stay_within_the_budget_of_their_parent() {
    const BUDGET_MICROS: u64 = 3_000;
    let site = site(1);
    start_run(&site, BUDGET_MICROS);
    let children = 2..=5;
    for child in children.clone() {
        let body = json!({ "request_id": format!("spawn-{child}"), "program": "assistant", "budget_micros": BUDGET_MICROS });
        let answer = site
            .post(0, "c1/runs/1/sub-agents", &body)
            .expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    // The parent's budget covers two turns, but not four.
    let results: Vec<_> = std::thread::scope(|scope| {
        let site = &site;
        let start = |child: u64| {
            let body = turn_body(&format!("t{child}"), 250);
            scope.spawn(move || run_turn(site, 0, child, &body).0)
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
    let spent_by_children =
        children.map(|child| amount(&run_state(&site, 0, child), "spent_micros"));
    assert_eq!(
        amount(&parent, "spent_micros"),
        spent_by_children.sum::<u64>()
    );
    assert!(engine_work_micros(&site) <= BUDGET_MICROS);
}

/// Applies a configuration and waits until it is in force at the entry.
fn apply(site: &Site, version: u64, change: Value) {
    site.apply(version - 1, &[site.base_config(), change]);
    let in_force = wait_until(WAIT_TIMEOUT, || {
        let status = site.status(site.entry_address(0));
        status.is_some_and(|status| status["config_version"] == json!(version))
    });
    assert!(in_force, "version {version} is not in force");
}

/// Guards against a call that costs more than its reservation because the price rose while it ran,
/// and against admitting the next call under a budget that has been lowered meanwhile.
#[test]
fn new_price_and_lowered_budget_apply_from_the_next_call() {
    let site = site(1);
    start_run(&site, 1_000_000);
    let body = turn_body("t1", 3_000);
    let running = std::thread::scope(|scope| {
        let running = scope.spawn(|| run_turn(&site, 0, 1, &body).0);
        let reserved = || amount(&run_state(&site, 0, 1), "reserved_micros") > 0;
        assert!(wait_until(WAIT_TIMEOUT, reserved));
        let price = json!({ "models": { "small": { "output_micros_per_1k_tokens": 40_000 } } });
        apply(&site, 2, price);
        assert!(
            reserved(),
            "the turn ended before the new price was in force"
        );
        running.join().expect("a result")
    });
    let cost = |done: &Value, price: u64| {
        amount(done, "prompt_tokens") * PROMPT_TOKEN_MICROS + amount(done, "output_tokens") * price
    };
    let done = running.expect("a whole turn");
    assert_eq!(
        amount(&done, "cost_micros"),
        cost(&done, OUTPUT_TOKEN_MICROS)
    );
    let done = run_turn(&site, 0, 1, &turn_body("t2", 20))
        .0
        .expect("a whole turn");
    assert_eq!(
        amount(&done, "cost_micros"),
        cost(&done, 10 * OUTPUT_TOKEN_MICROS)
    );
    // The second call, which must be refused, waits for the first one while the budget is lowered.
    let (running, waiting) = (turn_body("t3", 2_000), turn_body("t4", 1));
    let reserved = || amount(&run_state(&site, 0, 1), "reserved_micros") > 0;
    let (finished, refused) = std::thread::scope(|scope| {
        let running = scope.spawn(|| run_turn(&site, 0, 1, &running).0);
        assert!(wait_until(WAIT_TIMEOUT, reserved));
        let waiting = scope.spawn(|| run_turn(&site, 0, 1, &waiting).0);
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

/// Guards against a run that pays more than its reservation, or a conversation that cannot continue,
/// when an engine sends or reports more tokens than requested.
#[test]
fn engine_that_exceeds_the_requested_tokens_costs_at_most_the_reservation() {
    let site = site(1);
    let control = |faults: Value| {
        site.engines
            .iter()
            .for_each(|engine| engine.control(&faults))
    };
    start_run(&site, 100_000);
    // The reservation for a prompt counts a few tokens per message and one per byte of text.
    let limit = 20 * OUTPUT_TOKEN_MICROS + 200 * PROMPT_TOKEN_MICROS;
    control(json!({ "extra_tokens": 30 }));
    let (failed, tokens) = run_turn(&site, 0, 1, &turn_body("t1", 20));
    let error = failed.expect_err("an error");
    assert_eq!(error["kind"], "backend_failed", "{error}");
    assert!(tokens <= 20, "{tokens} tokens reached the caller");
    let spent = amount(&run_state(&site, 0, 1), "spent_micros");
    assert!((1..=limit).contains(&spent), "{spent}");
    control(json!({ "extra_tokens": 0, "extra_usage": 1_000_000_000_000_u64 }));
    let done = run_turn(&site, 0, 1, &turn_body("t2", 20))
        .0
        .expect("a whole turn");
    assert!(amount(&done, "cost_micros") <= limit, "{done}");
    assert_eq!(amount(&done, "output_tokens"), 20, "{done}");
    control(json!({ "extra_usage": 0 }));
    run_turn(&site, 0, 1, &turn_body("t3", 20))
        .0
        .expect("a whole turn");
}

/// Guards against a run that pays more than the price limit of a tool when the tool charges more.
#[test]
fn tool_that_charges_too_much_is_paid_its_price_limit() {
    const PRICE_LIMIT_MICROS: u64 = 1_000;
    let site = site(1);
    start_run(&site, PRICE_LIMIT_MICROS + PRICE_LIMIT_MICROS / 2);
    let call = |request_id: &str| {
        let arguments = json!({ "charge_micros": 5 * PRICE_LIMIT_MICROS });
        let body = json!({ "request_id": request_id, "tool": "charge", "arguments": arguments });
        site.post(0, "c1/runs/1/tool-calls", &body)
            .expect("an answer")
    };
    let first = call("a1");
    assert_eq!(first.status, 200, "{}", first.text());
    assert_eq!(first.json()["charge_micros"], json!(PRICE_LIMIT_MICROS));
    assert_refused(&call("a2").json()["error"], "budget_exceeded");
    let run = run_state(&site, 0, 1);
    assert_eq!(amount(&run, "spent_micros"), PRICE_LIMIT_MICROS, "{run}");
    assert_eq!(site.tool_without_status.stats()["requests"], json!(1));
}
