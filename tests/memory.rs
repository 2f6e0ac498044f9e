//! Engine memory of an ended program is released, even if a release call or a lease holder was lost.

use std::time::Duration;

use sapphireford::connection::peer::messages::{PeerRequest, PeerResponse};
use sapphireford::process::slots::placement;
use sapphireford_standin::harness::{HttpRequest, Process, Site, SiteOptions, wait_until};
use serde_json::{Value, json};

/// Interval between two checks of the engine caches in the sites of these tests.
const CACHE_CHECK_INTERVAL_MS: u64 = 500;
/// Timeout of a wait for a condition; long, because the machine may be busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn site(limits: Value) -> Site {
    let mut config = json!({ "limits": { "cache_check_ms": CACHE_CHECK_INTERVAL_MS } });
    for (name, value) in limits.as_object().into_iter().flatten() {
        config["limits"][name] = value.clone();
    }
    Site::with_options(SiteOptions {
        settings: json!({ "lease_ttl_ms": 1_200, "lease_renew_ms": 300, "membership_interval_ms": 200 }),
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

/// Ends or cancels a run; `verb` is `end` or `cancel`.
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

fn run_turn(site: &Site, entry: usize, conversation: &str, run: u64) {
    let path = format!("{conversation}/runs/{run}/turns");
    let mut stream = site
        .open(entry, &path, &turn_body(run, 8))
        .expect("a stream");
    let events = stream.remaining_events().expect("a whole stream");
    assert_eq!(events.last().map(|event| event.name.as_str()), Some("done"));
}

fn cache_keys_on(engine: &Process) -> Vec<String> {
    let request = HttpRequest::get("/v1/cache");
    let answer = request.send(engine.address()).expect("an answer").json();
    let entries = answer["entries"].as_array().cloned().unwrap_or_default();
    let key = |entry: &Value| entry["cache_key"].as_str().unwrap_or_default().to_string();
    entries.iter().map(key).collect()
}

/// Returns the sorted cache keys on all engines that begin with `prefix`.
fn cache_keys(site: &Site, prefix: &str) -> Vec<String> {
    let mut keys: Vec<String> = site.engines.iter().flat_map(cache_keys_on).collect();
    keys.retain(|key| key.starts_with(prefix));
    keys.sort();
    keys.dedup();
    keys
}

#[track_caller]
fn assert_released(site: &Site, prefix: &str) {
    let released = wait_until(WAIT_TIMEOUT, || cache_keys(site, prefix).is_empty());
    assert!(
        released,
        "engines still cache {:?}",
        cache_keys(site, prefix)
    );
}

fn run_state(site: &Site, entry: usize, conversation: &str) -> Value {
    let answer = site.get(entry, conversation).expect("an answer");
    answer.json()["runs"][0].clone()
}

/// Starts a long turn, reads its first events and returns its stream.
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

/// Guards against memory that is never released after an engine ignored the release, and against a
/// cache check that releases prefixes of active runs or of other clients of the engine.
#[test]
fn ignored_release_is_repeated_and_other_prefixes_stay_cached() {
    let site = site(json!({}));
    let other_client_request = json!({ "model": "small", "messages": [{ "role": "user", "content": "hello" }], "max_tokens": 2, "stream": true, "cache_key": "batch:17" });
    let request = HttpRequest::post("/v1/chat/completions").json(&other_client_request);
    request.send(site.engines[0].address()).expect("an answer");
    for conversation in ["ended", "active"] {
        start_run(&site, 0, conversation);
        run_turn(&site, 1, conversation, 1);
    }
    for engine in &site.engines {
        engine.control(&json!({ "ignore_releases": true }));
    }
    end_run(&site, 0, "ended", 1, "end");
    // After this turn the engine has ignored the release that follows the end of the other run.
    let path = "active/runs/1/turns";
    let mut stream = site.open(0, path, &turn_body(1, 9)).expect("a stream");
    stream.remaining_events().expect("a whole stream");
    assert_eq!(cache_keys(&site, "team-one/ended").len(), 1);
    for engine in &site.engines {
        engine.control(&json!({ "ignore_releases": false }));
    }
    assert_released(&site, "team-one/ended");
    assert_eq!(cache_keys(&site, "team-one/active").len(), 1);
    assert_eq!(cache_keys(&site, "batch:17").len(), 1);
}

/// Guards against a stream that continues after its caller disconnected, a reservation that is never
/// settled, and a prefix that stays cached because its interrupted call was never reported.
#[test]
fn disconnect_during_a_stream_leaves_no_prefix_after_the_run_ends() {
    let site = site(json!({}));
    for (conversation, verb) in [("left", "end"), ("stopped", "cancel")] {
        start_run(&site, 0, conversation);
        let cancelled = calls_cancelled(&site);
        let stream = turn_in_progress(&site, conversation);
        if verb == "cancel" {
            end_run(&site, 1, conversation, 1, verb);
        }
        drop(stream);
        assert!(wait_until(WAIT_TIMEOUT, || calls_cancelled(&site) == cancelled + 1));
        let settled = wait_until(WAIT_TIMEOUT, || {
            let run = run_state(&site, 1, conversation);
            run["reserved_micros"] == json!(0) && run["spent_micros"] != json!(0)
        });
        assert!(settled, "{}", run_state(&site, 1, conversation));
        if verb == "end" {
            assert_eq!(
                cache_keys(&site, "team-one/left").len(),
                1,
                "an active run must keep its prefix"
            );
            end_run(&site, 1, conversation, 1, verb);
        }
        assert_released(&site, &format!("team-one/{conversation}"));
    }
}

/// Guards against the prefix of a sub-agent's own thread that stays cached after the sub-agent or its
/// parent has ended.
#[test]
fn prefixes_of_sub_agents_are_released_when_they_or_their_parent_end() {
    let mut site = site(json!({}));
    start_run(&site, 0, "c1");
    run_turn(&site, 0, "c1", 1);
    for number in 0..2 {
        let body = json!({ "request_id": format!("spawn-{number}"), "program": "assistant", "budget_micros": 50_000 });
        let run = post(&site, 1, "c1/runs/1/sub-agents", body)["run_id"].clone();
        run_turn(&site, 2, "c1", run.as_u64().expect("a run id"));
    }
    assert_eq!(cache_keys(&site, "team-one/c1/").len(), 3);
    end_run(&site, 0, "c1", 2, "end");
    assert_released(&site, "team-one/c1/2");
    assert_eq!(
        cache_keys(&site, "team-one/c1/"),
        ["team-one/c1/0", "team-one/c1/3"]
    );
    // The new lease holder does not know which engines the old one used.
    let holder = site.lease_holder_of("team-one", "c1").expect("a holder");
    site.kill_entry(holder);
    end_run(&site, (holder + 1) % 3, "c1", 1, "end");
    assert_released(&site, "team-one/c1/");
}

/// Guards against memory that is never released when the lease holder is killed and no caller uses
/// the run again, and against an unresponsive engine that blocks the check of another one.
#[test]
fn abandoned_run_of_a_killed_lease_holder_is_released() {
    let mut site = site(json!({ "abandon_ms": 1_000 }));
    start_run(&site, 0, "c1");
    run_turn(&site, 0, "c1", 1);
    let holder = site.lease_holder_of("team-one", "c1").expect("a holder");
    site.kill_entry(holder);
    let used = usize::from(cache_keys_on(&site.engines[0]).is_empty());
    let other = &site.engines[1 - used];
    other.pause();
    let released = wait_until(WAIT_TIMEOUT, || {
        cache_keys_on(&site.engines[used]).is_empty()
    });
    other.resume();
    assert!(
        released,
        "the engine still caches {:?}",
        cache_keys_on(&site.engines[used])
    );
    let run = run_state(&site, (holder + 1) % 3, "c1");
    assert_eq!(run["state"], json!("abandoned"), "{run}");
}

/// Guards against a run that is marked abandoned while one of its sub-agents still generates.
#[test]
fn run_is_not_abandoned_while_a_sub_agent_generates() {
    let site = site(json!({ "abandon_ms": 1_000 }));
    start_run(&site, 0, "c1");
    let body = json!({ "request_id": "spawn", "program": "assistant", "budget_micros": 500_000 });
    post(&site, 0, "c1/runs/1/sub-agents", body);
    // At 2 ms per token the turn takes longer than `abandon_ms` and the interval between two searches
    // for abandoned runs.
    let path = "c1/runs/2/turns";
    let mut stream = site.open(0, path, &turn_body(2, 3_500)).expect("a stream");
    let events = stream.remaining_events().expect("a whole stream");
    let last = events.last().expect("an event");
    assert_eq!(last.name, "done", "{last:?}");
}

/// Guards against engines that no entry checks, and against reassigning engines of the remaining
/// entries when one entry leaves.
#[test]
fn each_engine_is_assigned_to_one_entry_and_moves_only_if_it_leaves() {
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

/// Guards against cache lists and queries that exceed the control traffic allowed per entry in the
/// large deployment: 12,000 engines and 1.6 million programs on 640 entries, checked every 300 s.
#[test]
fn cache_check_traffic_stays_below_the_overhead_target() {
    const TARGET_BYTES_PER_SECOND: usize = 6_000;
    const INTERVAL_SECONDS: usize = 300;
    let keys_per_entry = 1_600_000 / 640;
    let key = |number: usize| format!("team-{:05}/conversation-{number:010}/0", number % 41_000);
    let listed = |number| json!({ "cache_key": key(number), "tokens": 100_000 }).to_string();
    let lists: usize = (0..keys_per_entry)
        .map(|number| listed(number).len() + 1)
        .sum();
    // The cache keys on the engines of one entry belong to conversations on all 640 entries.
    let queries: Vec<Vec<String>> = (0..640)
        .map(|holder| (holder..keys_per_entry).step_by(640).map(key).collect())
        .collect();
    let message = |keys: &Vec<String>| {
        let active = PeerResponse::RunsActive(vec![true; keys.len()]);
        let query = PeerRequest::RunsActive(keys.clone());
        let encoded = |bytes: postcard::Result<Vec<u8>>| bytes.expect("it can be encoded").len();
        encoded(postcard::to_stdvec(&query)) + encoded(postcard::to_stdvec(&active))
    };
    let queries: usize = queries.iter().map(message).sum();
    let bytes_per_second = (lists + queries) / INTERVAL_SECONDS;
    println!("lists {lists} B, queries {queries} B, {bytes_per_second} B/s per entry");
    assert!(bytes_per_second < TARGET_BYTES_PER_SECOND);
}
