//! No engine memory stays held by a program that has ended, whatever was lost on the way.

use std::time::Duration;

use sapphireford::connection::peer::messages::{PeerRequest, PeerResponse};
use sapphireford::process::slots::placement;
use sapphireford_standin::harness::{HttpRequest, Process, Site, SiteOptions, wait_until};
use serde_json::{Value, json};

/// Pause between two checks of the caches in the sites here.
const CACHE_CHECK_MS: u64 = 500;
/// Longest wait for a condition; generous, because the machine may be busy.
const LIMIT: Duration = Duration::from_secs(30);

fn site(limits: Value) -> Site {
    let mut config = json!({ "limits": { "cache_check_ms": CACHE_CHECK_MS } });
    for (name, value) in limits.as_object().into_iter().flatten() {
        config["limits"][name] = value.clone();
    }
    Site::with_options(SiteOptions {
        settings: json!({
            "lease_ttl_ms": 1_200, "lease_renew_ms": 300, "membership_interval_ms": 200,
        }),
        config,
        ..SiteOptions::default()
    })
}

fn post(site: &Site, entry: usize, path: &str, body: Value) -> Value {
    let answer = site.post(entry, path, &body).expect("an answer");
    assert_eq!(answer.status, 200, "{path}: {}", answer.text());
    answer.json()
}

fn start_run(site: &Site, entry: usize, conversation: &str) {
    let body = json!({ "request_id": "start", "program": "assistant" });
    post(site, entry, &format!("{conversation}/runs"), body);
}

fn end_run(site: &Site, entry: usize, conversation: &str, run: u64, verb: &str) {
    let body = json!({ "request_id": format!("{verb}-{run}") });
    post(
        site,
        entry,
        &format!("{conversation}/runs/{run}/{verb}"),
        body,
    );
}

fn turn_body(run: u64, tokens: u32) -> Value {
    let request_id = format!("turn-{run}-{tokens}");
    json!({ "request_id": request_id, "input": "hello", "max_output_tokens": tokens })
}

fn turn(site: &Site, entry: usize, conversation: &str, run: u64) {
    let path = format!("{conversation}/runs/{run}/turns");
    let mut stream = site
        .open(entry, &path, &turn_body(run, 8))
        .expect("a stream");
    let events = stream.remaining_events().expect("a whole stream");
    assert_eq!(events.last().map(|event| event.name.as_str()), Some("done"));
}

fn keys_on(engine: &Process) -> Vec<String> {
    let request = HttpRequest::get("/v1/cache");
    let answer = request.send(engine.address()).expect("an answer").json();
    let entries = answer["entries"].as_array().cloned().unwrap_or_default();
    let key = |entry: &Value| entry["cache_key"].as_str().unwrap_or_default().to_string();
    entries.iter().map(key).collect()
}

/// The cache keys on all engines that begin with `prefix`.
fn keys(site: &Site, prefix: &str) -> Vec<String> {
    let mut keys: Vec<String> = site.engines.iter().flat_map(keys_on).collect();
    keys.retain(|key| key.starts_with(prefix));
    keys.sort();
    keys.dedup();
    keys
}

#[track_caller]
fn assert_released(site: &Site, prefix: &str) {
    let released = wait_until(LIMIT, || keys(site, prefix).is_empty());
    assert!(released, "engines keep {:?}", keys(site, prefix));
}

fn run_state(site: &Site, entry: usize, conversation: &str) -> Value {
    let answer = site.get(entry, conversation).expect("an answer");
    answer.json()["runs"][0].clone()
}

/// Reads a long turn up to its first tokens and returns its stream.
fn turn_in_progress(site: &Site, conversation: &str) -> sapphireford_standin::harness::EventStream {
    let path = format!("{conversation}/runs/1/turns");
    let mut stream = site.open(0, &path, &turn_body(1, 8_000)).expect("a stream");
    for _ in 0..4 {
        stream.next_event().expect("an event");
    }
    stream
}

fn calls_cancelled(site: &Site) -> u64 {
    let cancelled = |engine: &Process| engine.stats()["calls_cancelled"].as_u64();
    site.engines.iter().filter_map(cancelled).sum()
}

/// Guards against memory that stays held when an engine ignores the release, and against a check that
/// releases what active runs or other clients of the engine use.
#[test]
fn missed_release_is_repeated_and_nothing_else_is_released() {
    let site = site(json!({}));
    let foreign = json!({
        "model": "small", "messages": [{ "role": "user", "content": "hello" }],
        "max_tokens": 2, "stream": true, "cache_key": "batch:17",
    });
    let request = HttpRequest::post("/v1/chat/completions").json(&foreign);
    request.send(site.engines[0].address()).expect("an answer");
    for conversation in ["ended", "active"] {
        start_run(&site, 0, conversation);
        turn(&site, 1, conversation, 1);
    }
    for engine in &site.engines {
        engine.control(&json!({ "ignore_releases": true }));
    }
    end_run(&site, 0, "ended", 1, "end");
    // The release that follows the end of the run has been ignored by the time of the second turn.
    let path = "active/runs/1/turns";
    let mut stream = site.open(0, path, &turn_body(1, 9)).expect("a stream");
    stream.remaining_events().expect("a whole stream");
    assert_eq!(keys(&site, "team-one/ended").len(), 1);
    for engine in &site.engines {
        engine.control(&json!({ "ignore_releases": false }));
    }
    assert_released(&site, "team-one/ended");
    assert_eq!(keys(&site, "team-one/active").len(), 1);
    assert_eq!(keys(&site, "batch:17").len(), 1);
}

/// Guards against a stream that runs on without a reader, a reservation that is not settled, and a
/// prefix that stays because its call was broken off and never reported.
#[test]
fn caller_gone_in_its_stream_leaves_no_memory_after_the_end() {
    let site = site(json!({}));
    for (conversation, verb) in [("left", "end"), ("stopped", "cancel")] {
        start_run(&site, 0, conversation);
        let cancelled = calls_cancelled(&site);
        let stream = turn_in_progress(&site, conversation);
        if verb == "cancel" {
            end_run(&site, 1, conversation, 1, verb);
        }
        drop(stream);
        assert!(wait_until(LIMIT, || calls_cancelled(&site) == cancelled + 1));
        let settled = wait_until(LIMIT, || {
            let run = run_state(&site, 1, conversation);
            run["reserved_micros"] == json!(0) && run["spent_micros"] != json!(0)
        });
        assert!(settled, "{}", run_state(&site, 1, conversation));
        if verb == "end" {
            assert_eq!(keys(&site, "team-one/left").len(), 1, "the run is active");
            end_run(&site, 1, conversation, 1, verb);
        }
        assert_released(&site, &format!("team-one/{conversation}"));
    }
}

/// Guards against a sub-agent's own prefix that outlives the sub-agent or its parent.
#[test]
fn threads_of_sub_agents_are_released_with_them() {
    let mut site = site(json!({}));
    start_run(&site, 0, "c1");
    turn(&site, 0, "c1", 1);
    for number in 0..2 {
        let body = json!({
            "request_id": format!("spawn-{number}"), "program": "assistant", "budget_micros": 50_000,
        });
        let run = post(&site, 1, "c1/runs/1/sub-agents", body)["run_id"].clone();
        turn(&site, 2, "c1", run.as_u64().expect("a run id"));
    }
    assert_eq!(keys(&site, "team-one/c1/").len(), 3);
    end_run(&site, 0, "c1", 2, "end");
    assert_released(&site, "team-one/c1/2");
    assert_eq!(
        keys(&site, "team-one/c1/"),
        ["team-one/c1/0", "team-one/c1/3"]
    );
    // The new holder does not know which engines the old one used.
    let holder = site.lease_holder_of("team-one", "c1").expect("a holder");
    site.kill_entry(holder);
    end_run(&site, (holder + 1) % 3, "c1", 1, "end");
    assert_released(&site, "team-one/c1/");
}

/// Guards against memory that stays held when the holder dies and nobody returns to the run, and
/// against one engine that does not answer keeping another from being checked.
#[test]
fn abandoned_run_of_a_dead_holder_is_released() {
    let mut site = site(json!({ "abandon_ms": 1_000 }));
    start_run(&site, 0, "c1");
    turn(&site, 0, "c1", 1);
    let holder = site.lease_holder_of("team-one", "c1").expect("a holder");
    site.kill_entry(holder);
    let used = usize::from(keys_on(&site.engines[0]).is_empty());
    let other = &site.engines[1 - used];
    other.pause();
    let released = wait_until(LIMIT, || keys_on(&site.engines[used]).is_empty());
    other.resume();
    assert!(
        released,
        "the engine keeps {:?}",
        keys_on(&site.engines[used])
    );
    let run = run_state(&site, (holder + 1) % 3, "c1");
    assert_eq!(run["state"], json!("abandoned"), "{run}");
}

/// Guards against a run that is abandoned while a sub-agent of it still generates.
#[test]
fn run_is_not_abandoned_while_a_sub_agent_generates() {
    let site = site(json!({ "abandon_ms": 1_000 }));
    start_run(&site, 0, "c1");
    let body = json!({
        "request_id": "spawn", "program": "assistant", "budget_micros": 500_000,
    });
    post(&site, 0, "c1/runs/1/sub-agents", body);
    // At 2 ms a token the turn is longer than `abandon_ms` and the pause between two searches.
    let path = "c1/runs/2/turns";
    let mut stream = site.open(0, path, &turn_body(2, 3_500)).expect("a stream");
    let events = stream.remaining_events().expect("a whole stream");
    let last = events.last().expect("an event");
    assert_eq!(last.name, "done", "{last:?}");
}

/// Guards against engines that nobody checks, or that all move when one entry goes.
#[test]
fn each_engine_has_one_responsible_entry() {
    let entries: Vec<String> = (0..10).map(|number| format!("entry-{number}")).collect();
    let responsible = |engine: &str, entries: &[String]| {
        let ids = entries.iter().map(String::as_str);
        placement::backend_server_owner(engine, ids).map(String::from)
    };
    let mut engines_by_entry = std::collections::BTreeMap::<String, usize>::new();
    for number in 0..1_000 {
        let engine = format!("engine-{number}");
        let before = responsible(&engine, &entries).expect("an entry");
        let after = responsible(&engine, &entries[..9]).expect("an entry");
        assert!(after == before || before == entries[9]);
        *engines_by_entry.entry(before).or_default() += 1;
    }
    assert!(
        engines_by_entry
            .values()
            .all(|count| (50..200).contains(count))
    );
    assert_eq!(engines_by_entry.len(), entries.len());
    assert_eq!(responsible("engine-0", &[]), None);
}

/// Guards against lists and questions that outgrow the bytes a node may spend on control at the large
/// size: 12,000 engines and 1.6 million programs on 640 entries, checked every 300 s.
#[test]
fn messages_of_the_check_fit_the_overhead_target() {
    const TARGET_BYTES_PER_SECOND: usize = 6_000;
    const INTERVAL_SECONDS: usize = 300;
    let keys_per_entry = 1_600_000 / 640;
    let key = |number: usize| format!("team-{:05}/conversation-{number:010}/0", number % 41_000);
    let listed = |number| json!({ "cache_key": key(number), "tokens": 100_000 }).to_string();
    let lists: usize = (0..keys_per_entry)
        .map(|number| listed(number).len() + 1)
        .sum();
    // The keys of one entry's engines belong to conversations on all 640 entries.
    let questions: Vec<Vec<String>> = (0..640)
        .map(|holder| (holder..keys_per_entry).step_by(640).map(key).collect())
        .collect();
    let message = |keys: &Vec<String>| {
        let active = PeerResponse::RunsActive(vec![true; keys.len()]);
        let question = PeerRequest::RunsActive(keys.clone());
        let encoded = |bytes: postcard::Result<Vec<u8>>| bytes.expect("it can be encoded").len();
        encoded(postcard::to_stdvec(&question)) + encoded(postcard::to_stdvec(&active))
    };
    let questions: usize = questions.iter().map(message).sum();
    let bytes_per_second = (lists + questions) / INTERVAL_SECONDS;
    println!("lists {lists} B, questions {questions} B, {bytes_per_second} B/s for each entry");
    assert!(bytes_per_second < TARGET_BYTES_PER_SECOND);
}
