//! Failover: what callers see when the entry that holds their conversation is killed.

use std::thread;
use std::time::{Duration, Instant};

use sapphireford_standin::harness::{Site, SiteOptions, wait_until};
use serde_json::{Value, json};

/// Lease TTL of the sites in these tests, shorter than in production to keep the tests fast.
const LEASE_TTL_MS: u64 = 1_200;

fn site() -> Site {
    Site::with_options(options())
}

fn options() -> SiteOptions {
    SiteOptions {
        settings: json!({ "lease_ttl_ms": LEASE_TTL_MS, "lease_renew_ms": 300, "membership_interval_ms": 200 }),
        ..SiteOptions::default()
    }
}

fn start_run(site: &Site, entry: usize, conversation: &str) -> u64 {
    let body = json!({ "request_id": "start", "program": "assistant" });
    let answer = site
        .post(entry, &format!("{conversation}/runs"), &body)
        .expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
    answer.json()["run_id"].as_u64().expect("a run id")
}

fn turn_body(request_id: &str, conversation: &str, tokens: u32) -> Value {
    let input = format!("{conversation} says {request_id}");
    json!({ "request_id": request_id, "input": input, "max_output_tokens": tokens })
}

/// Runs a turn to its end and returns the data of its last event.
fn run_turn(site: &Site, entry: usize, conversation: &str, request_id: &str) -> Value {
    let body = turn_body(request_id, conversation, 8);
    run_turn_with(site, entry, conversation, &body)
}

/// Runs a turn with an input that takes longer to compute again than one call in its engine.
fn run_long_turn(site: &Site, entry: usize, conversation: &str, request_id: &str) -> Value {
    let mut body = turn_body(request_id, conversation, 8);
    body["input"] = json!(format!("{conversation} says {request_id} ").repeat(50));
    run_turn_with(site, entry, conversation, &body)
}

fn run_turn_with(site: &Site, entry: usize, conversation: &str, body: &Value) -> Value {
    let path = format!("{conversation}/runs/1/turns");
    let mut stream = site.open(entry, &path, body).expect("a stream");
    let events = stream.remaining_events().expect("a whole stream");
    let last = events.last().expect("an event");
    assert_eq!(last.name, "done", "{last:?}");
    serde_json::from_str(&last.data).expect("JSON")
}

fn history(site: &Site, entry: usize, conversation: &str) -> Vec<(String, String)> {
    let answer = site
        .get(entry, &format!("{conversation}/history"))
        .expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
    let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
    let messages = answer.json()["messages"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    messages
        .iter()
        .map(|message| (text(&message["role"]), text(&message["content"])))
        .collect()
}

/// Guards against a history that is lost when its holder is killed between two turns.
#[test]
fn history_survives_when_holder_is_killed() {
    let mut site = site();
    start_run(&site, 0, "c1");
    run_turn(&site, 1, "c1", "t1");
    run_turn(&site, 2, "c1", "t2");
    let before = history(&site, 0, "c1");
    let holder = site.lease_holder_of("team-one", "c1").expect("a holder");
    site.kill_entry(holder);
    let other = (holder + 1) % 3;
    let killed = Instant::now();
    run_turn(&site, other, "c1", "t3");
    assert!(
        killed.elapsed() < Duration::from_secs(8),
        "the slot was not taken over in time"
    );
    let after = history(&site, other, "c1");
    assert_eq!(after[..before.len()], before[..]);
    assert_eq!(after.len(), before.len() + 2);
}

/// Guards against a second execution of a paid action when the caller repeats its request after the
/// holder was killed.
#[test]
fn paid_action_runs_once_after_holder_is_killed() {
    let mut site = site();
    start_run(&site, 0, "c1");
    let body = json!({ "request_id": "pay", "tool": "charge", "arguments": {} });
    let first = site
        .post(0, "c1/runs/1/tool-calls", &body)
        .expect("an answer");
    assert_eq!(first.status, 200, "{}", first.text());
    let holder = site.lease_holder_of("team-one", "c1").expect("a holder");
    site.kill_entry(holder);
    let second = site
        .post((holder + 1) % 3, "c1/runs/1/tool-calls", &body)
        .expect("an answer");
    assert_eq!(second.json()["result"], first.json()["result"]);
    let executions = site.tool_without_status.stats()["executions_by_key"].clone();
    assert_eq!(executions.as_object().map(|keys| keys.len()), Some(1));
    assert!(
        executions
            .as_object()
            .expect("an object")
            .values()
            .all(|count| *count == json!(1))
    );
}

/// Guards against a turn that cannot be repeated through another entry after its holder was killed in
/// mid-stream.
#[test]
fn turn_reruns_after_holder_is_killed_in_mid_stream() {
    let mut site = site();
    start_run(&site, 0, "c1");
    let holder = site.lease_holder_of("team-one", "c1").expect("a holder");
    let body = turn_body("t1", "c1", 400);
    let mut stream = site
        .open(holder, "c1/runs/1/turns", &body)
        .expect("a stream");
    for _ in 0..5 {
        stream.next_event().expect("an event");
    }
    site.kill_entry(holder);
    assert!(
        stream.remaining_events().is_err(),
        "the stream of a killed holder must break"
    );
    let other = (holder + 1) % 3;
    let mut stream = site
        .open(other, "c1/runs/1/turns", &body)
        .expect("a stream");
    let events = stream.remaining_events().expect("a whole stream");
    assert_eq!(events.last().map(|event| event.name.as_str()), Some("done"));
    assert_eq!(history(&site, other, "c1").len(), 3);
    let state = site.get(other, "c1").expect("an answer").json();
    let spent = state["runs"][0]["spent_micros"]
        .as_u64()
        .unwrap_or_default();
    assert!(
        spent > 400 * 4,
        "the reservation of the lost turn must stay spent: {state}"
    );
}

/// Guards against prefixes that are recomputed, or stay cached after the end of their run, because
/// the entry that takes over the slot does not know which engine caches them.
#[test]
fn cached_prefixes_are_reused_and_released_after_takeover() {
    let mut site = Site::with_options(SiteOptions {
        engines: 4,
        // Too long for the periodic cache check to release the prefixes in place of the end of a run.
        config: json!({ "limits": { "cache_check_ms": 600_000 } }),
        ..options()
    });
    let conversations: Vec<String> = (0..8).map(|number| format!("c{number}")).collect();
    for conversation in &conversations {
        start_run(&site, 0, conversation);
    }
    // Calls in progress at the same time go to different engines. The entry that takes over may still
    // count some of them in an engine, which outweighs a short prefix.
    thread::scope(|scope| {
        for conversation in &conversations {
            scope.spawn(|| run_long_turn(&site, 0, conversation, "t1"));
        }
    });
    site.kill_entry(0);
    for conversation in &conversations {
        let done = run_turn(&site, 1, conversation, "t2");
        let cached = done["cached_tokens"].as_u64().unwrap_or_default();
        assert!(
            cached > 0,
            "the prefix of {conversation} was recomputed: {done}"
        );
    }
    // End the runs at holders that have not sent a turn themselves.
    site.kill_entry(1);
    for conversation in &conversations {
        let path = format!("{conversation}/runs/1/end");
        let answer = site
            .post(2, &path, &json!({ "request_id": "end" }))
            .expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let used_tokens = || -> u64 {
        let used = |engine: &sapphireford_standin::harness::Process| {
            engine.stats()["cache_used_tokens"]
                .as_u64()
                .unwrap_or_default()
        };
        site.engines.iter().map(used).sum()
    };
    assert!(
        wait_until(Duration::from_secs(10), || used_tokens() == 0),
        "engines still hold prefixes"
    );
}
