//! Conversations that are idle for long leave the memory of their entry and come back.

use std::time::Duration;

use sapphireford_standin::harness::{Site, SiteOptions, wait_until};
use serde_json::{Value, json};

/// Longest time until something that an interval of the settings brings about has happened.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

fn site() -> Site {
    Site::with_options(SiteOptions {
        settings: json!({
            "lease_ttl_ms": 1_200, "lease_renew_ms": 300, "membership_interval_ms": 200,
            "checkpoint_interval_ms": 1_500, "evict_idle_ms": 300,
        }),
        ..SiteOptions::default()
    })
}

fn post(site: &Site, entry: usize, path: &str, body: &Value) -> String {
    let answer = site.post(entry, path, body).expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
    answer.text()
}

/// Runs a program of one turn and one paid action to its end.
fn visit(site: &Site, entry: usize, conversation: &str, visit: u64) {
    let start = json!({ "request_id": format!("start-{visit}"), "program": "assistant" });
    post(site, entry, &format!("{conversation}/runs"), &start);
    let turn = json!({
        "request_id": format!("turn-{visit}"), "max_output_tokens": 4,
        "input": format!("{conversation} visit {visit}"),
    });
    let stream = post(
        site,
        entry,
        &format!("{conversation}/runs/{visit}/turns"),
        &turn,
    );
    assert!(stream.contains("event: done"), "{stream}");
    let path = format!("{conversation}/runs/{visit}/tool-calls");
    post(site, entry, &path, &pay(visit));
    let end = json!({ "request_id": format!("end-{visit}") });
    post(
        site,
        entry,
        &format!("{conversation}/runs/{visit}/end"),
        &end,
    );
}

fn pay(visit: u64) -> Value {
    json!({ "request_id": format!("pay-{visit}"), "tool": "charge", "arguments": {} })
}

fn in_memory(site: &Site) -> u64 {
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

/// Guards against memory that grows with all conversations there ever were, and against a history,
/// a budget or the result of a paid action that is lost when its conversation left memory.
#[test]
fn idle_conversation_leaves_memory_and_comes_back_after_a_kill() {
    let mut site = site();
    visit(&site, 0, "c1", 1);
    let first = history(&site, 1);
    assert!(
        wait_until(WAIT_LIMIT, || in_memory(&site) == 0),
        "the conversation stays in memory"
    );
    assert_eq!(history(&site, 2), first);

    // The copy that was read leaves memory again. Then the holder dies right after it has changed the
    // conversation, so that the recovery has to load the stored object and apply events to it.
    assert!(
        wait_until(WAIT_LIMIT, || in_memory(&site) == 0),
        "the copy stays in memory"
    );
    let holder = site.lease_holder_of("team-one", "c1").expect("a holder");
    visit(&site, holder, "c1", 2);
    let second = history(&site, holder);
    assert_eq!(second[..first.len()], first[..]);
    site.kill_entry(holder);
    let other = (holder + 1) % 3;
    assert_eq!(history(&site, other), second);

    // Events of one more visit through another entry.
    visit(&site, other, "c1", 3);
    let third = history(&site, (holder + 2) % 3);
    assert_eq!(third[..second.len()], second[..]);
    assert!(third.len() > second.len());

    for visit in 1..=3 {
        let path = format!("c1/runs/{visit}/tool-calls");
        post(&site, other, &path, &pay(visit));
    }
    let executions = site.tool_without_status.stats()["executions_by_key"].clone();
    let counts: Vec<&Value> = executions
        .as_object()
        .expect("an object")
        .values()
        .collect();
    assert_eq!(counts, vec![&json!(1); 3]);
}

/// Guards against memory taken by reads of conversations that do not exist.
#[test]
fn reads_of_unknown_conversations_take_no_memory() {
    let site = site();
    for number in 0..50 {
        let answer = site
            .get(0, &format!("unknown-{number}"))
            .expect("an answer");
        assert_eq!(answer.status, 404);
    }
    assert_eq!(in_memory(&site), 0);
}
