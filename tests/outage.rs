//! The platform is out or slow: what goes on, what is refused, and what is there afterwards.

#[path = "support/calls.rs"]
mod calls;

use std::thread;
use std::time::{Duration, Instant};

use calls::*;
use sapphireford_standin::harness::{Site, SiteClient, SiteOptions, entry_state, wait_until};
use serde_json::{Value, json};

/// A commit that fails for longer makes new work be refused.
const COMMIT_GRACE: Duration = Duration::from_millis(1_000);
/// Longest wait of a finished call for the platform.
const DURABLE_WAIT: Duration = Duration::from_millis(1_500);
/// For a busy machine.
const MARGIN: Duration = Duration::from_millis(2_000);
const LEASE_TTL: Duration = Duration::from_millis(2_000);

fn site() -> Site {
    let grace = COMMIT_GRACE.as_millis() as u64;
    let wait = DURABLE_WAIT.as_millis() as u64;
    site_with(json!({ "commit_grace_ms": grace, "durable_wait_ms": wait }))
}

fn site_with(settings: Value) -> Site {
    let mut all = json!({ "lease_ttl_ms": LEASE_TTL.as_millis() as u64, "lease_renew_ms": 500, "membership_interval_ms": 200, "platform_call_ms": 500 });
    let settings = settings.as_object().cloned().unwrap_or_default();
    all.as_object_mut().expect("an object").extend(settings);
    Site::with_options(SiteOptions {
        settings: all,
        // Longer than the pauses that the tests put before an action.
        config: json!({ "tools": { "charge": { "time_limit_ms": 20_000 } } }),
        ..SiteOptions::default()
    })
}

/// The state and the incarnation of each entry in the platform's table.
fn entry_rows(site: &Site) -> Vec<(String, u64)> {
    let rows = entry_state::scan(site.platform.address(), "entries/");
    let row = |row: &Value| {
        let value = &row["value"];
        let state = value["state"].as_str().unwrap_or_default().to_string();
        (state, value["incarnation"].as_u64().unwrap_or_default())
    };
    rows.iter().map(row).collect()
}

fn assert_nobody_was_fenced(site: &Site) {
    // Long enough for a lease to expire in the eyes of the others.
    thread::sleep(LEASE_TTL * 2);
    assert_eq!(entry_rows(site), vec![("live".to_string(), 1); 3]);
}

fn tool_body(request_id: &str, tool: &str) -> Value {
    json!({ "request_id": request_id, "tool": tool, "arguments": {} })
}

/// Posts to a conversation and returns the kind of the refusal and how long it took.
fn refusal(client: SiteClient, entry: usize, path: &str, body: &Value) -> (String, Duration) {
    let sent = Instant::now();
    let answer = client.post(entry, path, body).expect("an answer");
    let kind = refusal_kind(&answer).unwrap_or_else(|answer| panic!("{path}: {answer}"));
    if kind != "platform_unavailable" {
        eprintln!("{path}: {}", answer.text());
    }
    (kind, sent.elapsed())
}

fn executions(site: &Site) -> usize {
    let stats = [site.tool.stats(), site.tool_without_status.stats()];
    let of = |stats: &Value| {
        stats["executions_by_key"]
            .as_object()
            .map_or(0, |keys| keys.len())
    };
    stats.iter().map(of).sum()
}

fn outage_is_survived(outage: &str) {
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
    let out_since = Instant::now();
    // Its start event may already be on its way when the outage is noticed.
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
            &tool_body("a1", "charge"),
        )
    });
    for (request, thread) in [("first", first), ("second", second)] {
        let (kind, took) = thread.join().expect("a refusal");
        assert_eq!(kind, "platform_unavailable", "{request}");
        assert!(took < COMMIT_GRACE + MARGIN, "{request} waited {took:?}");
    }
    // The tokens come on; the end is not durable.
    let mut last = None;
    while let Some(event) = stream.next_event().expect("the stream goes on") {
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
    // The turn ran, so its repeat must not be told that it did not.
    let repeated = send_refused_turn(client, 2, "stream", "t1", 500);
    assert_eq!(repeated.json()["error"]["ran"], "unknown");
    // All kinds of new work are refused at once now.
    let requests = [
        (
            "new/runs",
            json!({ "request_id": "start", "program": "assistant" }),
        ),
        ("other/runs/1/turns", turn_body("other", "t2", 8)),
        ("first/runs/1/turns", turn_body("first", "t2", 8)),
        ("other/runs/1/tool-calls", tool_body("a2", "charge")),
        (
            "other/runs/1/sub-agents",
            json!({ "request_id": "s1", "program": "assistant", "budget_micros": 1_000 }),
        ),
    ];
    for (path, body) in &requests {
        let (kind, took) = refusal(client, 0, path, body);
        assert_eq!(kind, "platform_unavailable", "{path}");
        assert!(took < COMMIT_GRACE, "{path} was refused after {took:?}");
    }
    let lasts = LEASE_TTL * 2;
    thread::sleep(lasts.saturating_sub(out_since.elapsed()));
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
    assert_eq!(executions(&site), 0, "a refused action ran");
    expected_history.check_history(client, 2);
    // A refused request runs when it is sent again.
    let mut expected_history = ExpectedConversation::new("first");
    let expected = expected_history.add_turn("t1", 8);
    let text = run_turn(client, &mut [0, 1, 2].into(), "first", "t1", 8);
    assert_eq!(text, Ok(expected));
    let mut last = String::new();
    let accepted = wait_until(WAIT_TIMEOUT, || {
        let body = tool_body("a1", "charge");
        let answer = client
            .post(0, "other/runs/1/tool-calls", &body)
            .expect("an answer");
        last = answer.text();
        answer.status == 200
    });
    assert!(accepted, "{last}");
    assert_eq!(executions(&site), 1);
    assert_nobody_was_fenced(&site);
}

/// Guards against streams that break, callers that wait for the end of the outage, refused work that
/// runs, finished work that is lost, and entries that are fenced, when the platform refuses calls.
#[test]
fn outage_of_a_refusing_platform_is_survived() {
    outage_is_survived("refuse");
}

/// The same for a platform that does not answer.
#[test]
fn outage_of_a_hanging_platform_is_survived() {
    outage_is_survived("hang");
}

/// Guards against a finished action that is lost because its slot is released while its outcome waits
/// for the platform: the entry leaves when the platform goes out.
#[test]
fn finished_action_survives_a_stop_in_an_outage() {
    let mut site = site();
    let client = site.client();
    start_run(client, 0, "c1");
    let holder = site.lease_holder_of("team-one", "c1").expect("a holder");
    site.tool_without_status
        .control(&json!({ "delay_ms": 2_000 }));
    let body = tool_body("pay", "charge");
    let call = thread::spawn(move || client.post(holder, "c1/runs/1/tool-calls", &body));
    assert!(wait_until(WAIT_TIMEOUT, || site
        .tool_without_status
        .stats()["requests"]
        == 1));
    site.entry(holder).terminate();
    let only_the_busy_slot = || {
        let status = site.status(site.entry_address(holder));
        status.is_some_and(|status| status["slots"] == 1)
    };
    assert!(
        wait_until(WAIT_TIMEOUT, only_the_busy_slot),
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
    let body = tool_body("pay", "charge");
    let mut last = String::new();
    let known = wait_until(WAIT_TIMEOUT, || {
        let answer = client.post((holder + 1) % 3, "c1/runs/1/tool-calls", &body);
        last = answer.expect("an answer").text();
        last.contains("charge_micros")
    });
    assert!(known, "the outcome was lost: {last}");
    assert_eq!(executions(&site), 1);
}

/// Guards against leases that are lost, and requests that fail, because the platform is slow.
#[test]
fn slow_platform_keeps_the_leases() {
    let site = site_with(json!({}));
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
    assert_nobody_was_fenced(&site);
}

/// Guards against healthy entries that fence each other after a time in which the table could be
/// read but took no commits: all rows stood still in that time.
#[test]
fn entries_survive_a_table_that_takes_no_commits() {
    let site = site();
    let client = site.client();
    start_run(client, 0, "c1");
    site.platform
        .control(&json!({ "hang_commits": true, "commit_filter": "" }));
    thread::sleep(LEASE_TTL * 3);
    site.platform.control(&json!({ "hang_commits": false }));
    assert_nobody_was_fenced(&site);
    let mut expected_history = ExpectedConversation::new("c1");
    let expected = expected_history.add_turn("t1", 8);
    let mut stream = open_turn(client, 1, "c1", "t1", 8).expect("a stream");
    assert_eq!(read_to_done(&mut stream, String::new()), Ok(expected));
    expected_history.check_history(client, 2);
}
