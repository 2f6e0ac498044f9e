//! Idle conversations are evicted from the memory of their entry and loaded again when needed.

use std::time::Duration;

use sapphireford_standin::harness::{Site, SiteOptions, wait_until};
use serde_json::{Value, json};

/// Timeout of a wait for an effect of the eviction and checkpoint intervals.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn site() -> Site {
    Site::with_options(SiteOptions {
        settings: json!({ "lease_ttl_ms": 1_200, "lease_renew_ms": 300, "membership_interval_ms": 200, "checkpoint_interval_ms": 1_500, "evict_idle_ms": 300 }),
        ..SiteOptions::default()
    })
}

fn post(site: &Site, entry: usize, path: &str, body: &Value) -> String {
    let answer = site.post(entry, path, body).expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
    answer.text()
}

/// Runs program number `visit` of a conversation, with one turn and one paid action, and ends it.
fn run_program(site: &Site, entry: usize, conversation: &str, visit: u64) {
    let start = json!({ "request_id": format!("start-{visit}"), "program": "assistant" });
    post(site, entry, &format!("{conversation}/runs"), &start);
    let turn = json!({ "request_id": format!("turn-{visit}"), "max_output_tokens": 4, "input": format!("{conversation} visit {visit}") });
    let stream = post(
        site,
        entry,
        &format!("{conversation}/runs/{visit}/turns"),
        &turn,
    );
    assert!(stream.contains("event: done"), "{stream}");
    let path = format!("{conversation}/runs/{visit}/tool-calls");
    post(site, entry, &path, &payment_body(visit));
    let end = json!({ "request_id": format!("end-{visit}") });
    post(
        site,
        entry,
        &format!("{conversation}/runs/{visit}/end"),
        &end,
    );
}

fn payment_body(visit: u64) -> Value {
    json!({ "request_id": format!("pay-{visit}"), "tool": "charge", "arguments": {} })
}

/// Returns the number of conversations in memory, over all entries.
fn conversations_in_memory(site: &Site) -> u64 {
    let statuses = site
        .running_entries()
        .filter_map(|entry| site.status(entry.address()));
    statuses
        .map(|status| status["conversations"].as_u64().unwrap_or(0))
        .sum()
}

fn history(site: &Site, entry: usize) -> Vec<Value> {
    let answer = site.get(entry, "c1/history").expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
    answer.json()["messages"]
        .as_array()
        .cloned()
        .unwrap_or_default()
}

/// Guards against memory that grows with the number of conversations ever started, and against losing
/// the history, the budget or the result of a paid action of an evicted conversation.
#[test]
fn evicted_conversation_is_restored_by_a_read_and_after_a_kill() {
    let mut site = site();
    run_program(&site, 0, "c1", 1);
    let first = history(&site, 1);
    assert!(
        wait_until(WAIT_TIMEOUT, || conversations_in_memory(&site) == 0),
        "the conversation was not evicted"
    );
    assert_eq!(history(&site, 2), first);

    // The copy loaded for the read is evicted too. Then the lease holder is killed right after it changed
    // the conversation, so that the recovery must load the stored object and apply events to it.
    assert!(
        wait_until(WAIT_TIMEOUT, || conversations_in_memory(&site) == 0),
        "the copy loaded for the read was not evicted"
    );
    let holder = site.lease_holder_of("team-one", "c1").expect("a holder");
    run_program(&site, holder, "c1", 2);
    let second = history(&site, holder);
    assert_eq!(second[..first.len()], first[..]);
    site.kill_entry(holder);
    let other = (holder + 1) % 3;
    assert_eq!(history(&site, other), second);

    // Adds the events of a third program through another entry.
    run_program(&site, other, "c1", 3);
    let third = history(&site, (holder + 2) % 3);
    assert_eq!(third[..second.len()], second[..]);
    assert!(third.len() > second.len());

    for visit in 1..=3 {
        let path = format!("c1/runs/{visit}/tool-calls");
        post(&site, other, &path, &payment_body(visit));
    }
    let executions = site.tool_without_status.stats()["executions_by_key"].clone();
    let counts: Vec<&Value> = executions
        .as_object()
        .expect("an object")
        .values()
        .collect();
    assert_eq!(counts, vec![&json!(1); 3]);
}

/// Guards against memory used by reads of conversations that do not exist.
#[test]
fn reads_of_unknown_conversations_use_no_memory() {
    let site = site();
    for number in 0..50 {
        let answer = site
            .get(0, &format!("unknown-{number}"))
            .expect("an answer");
        assert_eq!(answer.status, 404);
    }
    assert_eq!(conversations_in_memory(&site), 0);
}
