//! Outages and slowness of the platform: which work continues, which is refused, and what is
//! persisted afterwards.

#[path = "support/calls.rs"]
mod calls;

use std::thread;
use std::time::{Duration, Instant};

use calls::*;
use sapphireford_standin::harness::{Site, SiteClient, SiteOptions, entry_state, wait_until};
use serde_json::{Value, json};

/// Grace period of failing commits, after which new work is refused.
const COMMIT_GRACE: Duration = Duration::from_millis(1_000);
/// Timeout of a finished call for the commit of its outcome.
const DURABLE_WAIT: Duration = Duration::from_millis(1_500);
/// Allows for scheduling delays on a busy machine.
const TIMING_MARGIN: Duration = Duration::from_millis(2_000);
const LEASE_TTL: Duration = Duration::from_millis(2_000);

fn site() -> Site {
    let grace = COMMIT_GRACE.as_millis() as u64;
    let wait = DURABLE_WAIT.as_millis() as u64;
    site_with_settings(json!({ "commit_grace_ms": grace, "durable_wait_ms": wait }))
}

fn site_with_settings(settings: Value) -> Site {
    let mut all = json!({ "lease_ttl_ms": LEASE_TTL.as_millis() as u64, "lease_renew_ms": 500, "membership_interval_ms": 200, "platform_call_ms": 500 });
    let settings = settings.as_object().cloned().unwrap_or_default();
    all.as_object_mut().expect("an object").extend(settings);
    Site::with_options(SiteOptions {
        settings: all,
        // Longer than the delays that the tests inject before an action.
        config: json!({ "tools": { "charge": { "time_limit_ms": 20_000 } } }),
        ..SiteOptions::default()
    })
}

/// The state and the incarnation of each entry in the platform's table.
fn entry_states_and_incarnations(site: &Site) -> Vec<(String, u64)> {
    let rows = entry_state::scan(site.platform.address(), "entries/");
    let row = |row: &Value| {
        let value = &row["value"];
        let state = value["state"].as_str().unwrap_or_default().to_string();
        (state, value["incarnation"].as_u64().unwrap_or_default())
    };
    rows.iter().map(row).collect()
}

fn assert_no_entry_was_fenced(site: &Site) {
    // Long enough for the other entries to observe an expired lease.
    thread::sleep(LEASE_TTL * 2);
    assert_eq!(
        entry_states_and_incarnations(site),
        vec![("live".to_string(), 1); 3]
    );
}

fn tool_call_body(request_id: &str, tool: &str) -> Value {
    json!({ "request_id": request_id, "tool": tool, "arguments": {} })
}

/// Posts to a conversation; returns the kind of the refusal and the time until it arrived.
fn refusal(client: SiteClient, entry: usize, path: &str, body: &Value) -> (String, Duration) {
    let sent = Instant::now();
    let answer = client.post(entry, path, body).expect("an answer");
    let kind = refusal_kind(&answer).unwrap_or_else(|answer| panic!("{path}: {answer}"));
    if kind != "platform_unavailable" {
        eprintln!("{path}: {}", answer.text());
    }
    (kind, sent.elapsed())
}

fn tool_execution_count(site: &Site) -> usize {
    let stats = [site.tool.stats(), site.tool_without_status.stats()];
    let of = |stats: &Value| {
        stats["executions_by_key"]
            .as_object()
            .map_or(0, |keys| keys.len())
    };
    stats.iter().map(of).sum()
}

fn check_outage(outage: &str) {
    let site = site();
    let client = site.client();
    for conversation in ["stream", "first", "other"] {
        start_run(client, 0, conversation);
    }
    let mut expected_history = ExpectedConversation::new("stream");
    let expected = expected_history.add_turn("t1", 500);
    let mut stream = open_turn(client, 1, "stream", "t1", 500).expect("a stream");
    let mut read = read_tokens(&mut stream, 5);
    site.platform.control(&json!({ "outage": outage }));
    let outage_start = Instant::now();
    // Its start event may already be in flight when the outage is noticed.
    let first = thread::spawn(move || {
        let body = turn_body("first", "t1", 8);
        refusal(client, 2, "first/runs/1/turns", &body)
    });
    thread::sleep(Duration::from_millis(200));
    let second = thread::spawn(move || {
        refusal(
            client,
            0,
            "other/runs/1/tool-calls",
            &tool_call_body("a1", "charge"),
        )
    });
    for (request, thread) in [("first", first), ("second", second)] {
        let (kind, elapsed) = thread.join().expect("a refusal");
        assert_eq!(kind, "platform_unavailable", "{request}");
        assert!(
            elapsed < COMMIT_GRACE + TIMING_MARGIN,
            "{request} waited {elapsed:?}"
        );
    }
    // The tokens keep arriving; the end of the turn is not durable.
    let mut last = None;
    while let Some(event) = stream.next_event().expect("the stream continues") {
        if event.name == "token" {
            let data: Value = serde_json::from_str(&event.data).expect("JSON");
            read.push_str(data["text"].as_str().unwrap_or_default());
        }
        last = Some(event);
    }
    let last = last.expect("an event");
    assert_eq!(last.name, "error", "{last:?}");
    assert!(last.data.contains("\"not_durable\""), "{last:?}");
    assert!(last.data.contains("\"unknown\""), "{last:?}");
    assert_eq!(read, expected, "the streamed tokens");
    // The turn ran, so the answer to its repeat must not claim that it did not.
    let repeated = send_refused_turn(client, 2, "stream", "t1", 500);
    assert_eq!(repeated.json()["error"]["ran"], "unknown");
    // By now all kinds of new work are refused without a wait.
    let requests = [
        (
            "new/runs",
            json!({ "request_id": "start", "program": "assistant" }),
        ),
        ("other/runs/1/turns", turn_body("other", "t2", 8)),
        ("first/runs/1/turns", turn_body("first", "t2", 8)),
        ("other/runs/1/tool-calls", tool_call_body("a2", "charge")),
        (
            "other/runs/1/sub-agents",
            json!({ "request_id": "s1", "program": "assistant", "budget_micros": 1_000 }),
        ),
    ];
    for (path, body) in &requests {
        let (kind, elapsed) = refusal(client, 0, path, body);
        assert_eq!(kind, "platform_unavailable", "{path}");
        assert!(
            elapsed < COMMIT_GRACE,
            "{path} was refused after {elapsed:?}"
        );
    }
    let outage_duration = LEASE_TTL * 2;
    thread::sleep(outage_duration.saturating_sub(outage_start.elapsed()));
    site.platform.control(&json!({ "outage": "none" }));
    let repeat = || {
        let mut stream = open_turn(client, 0, "stream", "t1", 500).ok()?;
        (stream.status() == 200).then(|| read_to_done(&mut stream, String::new()))
    };
    let mut repeated = None;
    wait_until(WAIT_TIMEOUT, || {
        repeated = repeat();
        repeated.is_some()
    });
    assert_eq!(
        repeated,
        Some(Ok(expected)),
        "the finished call must be committed"
    );
    assert_eq!(
        engine_total(&site, "calls_started"),
        1,
        "a refused turn ran"
    );
    assert_eq!(tool_execution_count(&site), 0, "a refused action ran");
    expected_history.check_history(client, 2);
    // A refused request runs when it is repeated.
    let mut expected_history = ExpectedConversation::new("first");
    let expected = expected_history.add_turn("t1", 8);
    let text = run_turn(client, &mut [0, 1, 2].into(), "first", "t1", 8);
    assert_eq!(text, Ok(expected));
    let mut last = String::new();
    let accepted = wait_until(WAIT_TIMEOUT, || {
        let body = tool_call_body("a1", "charge");
        let answer = client
            .post(0, "other/runs/1/tool-calls", &body)
            .expect("an answer");
        last = answer.text();
        answer.status == 200
    });
    assert!(accepted, "{last}");
    assert_eq!(tool_execution_count(&site), 1);
    assert_no_entry_was_fenced(&site);
}

/// Guards against broken streams, callers that block until the end of the outage, refused work that
/// runs, finished work that is lost, and fenced entries, when the platform refuses all calls.
#[test]
fn work_is_refused_then_completed_when_platform_refuses_calls() {
    check_outage("refuse");
}

/// Guards against the same failures when the platform accepts calls and does not answer.
#[test]
fn work_is_refused_then_completed_when_platform_hangs() {
    check_outage("hang");
}

/// Guards against a finished action that is lost because a leaving entry releases the slot while the
/// outcome is not persisted: the platform becomes unavailable during the stop.
#[test]
fn finished_action_is_persisted_when_entry_stops_during_outage() {
    let mut site = site();
    let client = site.client();
    start_run(client, 0, "c1");
    let holder = site.lease_holder_of("team-one", "c1").expect("a holder");
    site.tool_without_status
        .control(&json!({ "delay_ms": 2_000 }));
    let body = tool_call_body("pay", "charge");
    let call = thread::spawn(move || client.post(holder, "c1/runs/1/tool-calls", &body));
    assert!(wait_until(WAIT_TIMEOUT, || site
        .tool_without_status
        .stats()["requests"]
        == 1));
    site.entry(holder).terminate();
    let holds_only_the_busy_slot = || {
        let status = site.status(site.entry_address(holder));
        status.is_some_and(|status| status["slots"] == 1)
    };
    assert!(
        wait_until(WAIT_TIMEOUT, holds_only_the_busy_slot),
        "the idle slots are not released"
    );
    site.platform.control(&json!({ "outage": "refuse" }));
    let answer = call.join().expect("a caller").expect("an answer");
    let error = &answer.json()["error"];
    assert_eq!(
        (&error["kind"], &error["ran"]),
        (&json!("not_durable"), &json!("unknown"))
    );
    thread::sleep(Duration::from_millis(500));
    site.platform.control(&json!({ "outage": "none" }));
    let status = site
        .entry(holder)
        .wait(WAIT_TIMEOUT)
        .expect("the entry stops");
    assert!(status.success(), "{status}");
    let body = tool_call_body("pay", "charge");
    let mut last = String::new();
    let is_outcome_known = wait_until(WAIT_TIMEOUT, || {
        let answer = client.post((holder + 1) % 3, "c1/runs/1/tool-calls", &body);
        last = answer.expect("an answer").text();
        last.contains("charge_micros")
    });
    assert!(is_outcome_known, "the outcome was lost: {last}");
    assert_eq!(tool_execution_count(&site), 1);
}

/// Guards against leases that expire and requests that fail because each platform call is delayed by
/// 300 ms.
#[test]
fn leases_and_requests_survive_a_slow_platform() {
    let site = site_with_settings(json!({}));
    site.platform.control(&json!({ "delay_ms": 300 }));
    let load = Load::new(site.client(), 3, 8);
    thread::scope(|scope| {
        for caller in 0..4 {
            let load = &load;
            scope.spawn(move || load.run_conversation(&format!("slow{caller}")));
        }
        thread::sleep(LEASE_TTL * 2);
        load.stop.store(true, std::sync::atomic::Ordering::Relaxed);
    });
    load.assert_no_failures();
    assert_no_entry_was_fenced(&site);
}

/// Guards against healthy entries that fence each other after the table was readable but accepted no
/// commits: no entry could renew its row in that time.
#[test]
fn entries_are_not_fenced_when_only_commits_hang() {
    let site = site();
    let client = site.client();
    start_run(client, 0, "c1");
    site.platform
        .control(&json!({ "hang_commits": true, "commit_filter": "" }));
    thread::sleep(LEASE_TTL * 3);
    site.platform.control(&json!({ "hang_commits": false }));
    assert_no_entry_was_fenced(&site);
    let mut expected_history = ExpectedConversation::new("c1");
    let expected = expected_history.add_turn("t1", 8);
    let mut stream = open_turn(client, 1, "c1", "t1", 8).expect("a stream");
    assert_eq!(read_to_done(&mut stream, String::new()), Ok(expected));
    expected_history.check_history(client, 2);
}
