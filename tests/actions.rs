//! A non-idempotent action runs at most once (design 1.1, 7).

use std::thread;
use std::time::Duration;

use sapphireford_standin::harness::{Call, Caller, Reply, Site, SiteOptions, wait_until};
use serde_json::{Value, json};
use yare::parameterized;

/// Longest time for a call, with a change of the holder in between.
const LIMIT: Duration = Duration::from_secs(40);

fn site_with(settings: Value) -> Site {
    let mut all = json!({
        "lease_ttl_ms": 1_200, "lease_renew_ms": 300, "membership_interval_ms": 200,
    });
    if let (Some(all), Value::Object(settings)) = (all.as_object_mut(), settings) {
        all.extend(settings);
    }
    Site::with_options(SiteOptions {
        settings: all,
        ..SiteOptions::default()
    })
}

fn site() -> Site {
    site_with(json!({}))
}

fn start(site: &Site, conversation: &str) -> (Caller, usize) {
    let caller = Caller::new(site);
    let run = Call::start_run(conversation, "start", "assistant");
    caller.send_until_final(0, &run, LIMIT).expect_done();
    let holder = site
        .lease_holder_of("team-one", conversation)
        .expect("a holder");
    (caller, holder)
}

/// How often the action that costs most ran, by the tool's own count.
fn executions(site: &Site) -> u64 {
    let stats = [site.tool.stats(), site.tool_without_status.stats()];
    let by_key = stats
        .iter()
        .filter_map(|stats| stats["executions_by_key"].as_object());
    let counts = by_key.flat_map(|keys| keys.values().filter_map(Value::as_u64));
    counts.max().unwrap_or(0)
}

fn wait_for_request(site: &Site) {
    let sent = || {
        let requests = |stats: Value| stats["requests"].as_u64().unwrap_or(0);
        requests(site.tool.stats()) + requests(site.tool_without_status.stats()) > 0
    };
    assert!(wait_until(LIMIT, sent), "the action was not sent");
}

/// Guards against an action that runs again because the acknowledgement of its intention was lost.
#[test]
fn lost_acknowledgement_of_the_intention() {
    // Without renewals in between, the intention is in the first commit of the holder.
    let site = site_with(json!({ "lease_ttl_ms": 30_000, "lease_renew_ms": 9_000 }));
    let (caller, holder) = start(&site, "pay");
    let filter = format!("entries/entry-{holder}");
    site.platform
        .control(&json!({ "commit_filter": filter, "lose_acknowledgements": 1 }));
    let reply = caller.send_until_final(holder + 1, &Call::tool_call("pay", "a1", "charge"), LIMIT);
    reply.expect_done();
    assert_eq!(executions(&site), 1);
    assert!(site.platform.stats()["lost_acknowledgements"].as_u64() > Some(0));
}

/// Guards against a second run of an action whose tool executes it and then hangs or drops the
/// connection, or answers that it failed; and against an end of the doubt that nothing justifies.
#[parameterized(
    hangs_without_query = { "hang_next", "charge", "action_in_doubt" },
    drops_without_query = { "drop_after_next", "charge", "action_in_doubt" },
    fails_without_query = { "fail_next", "charge", "action_in_doubt" },
    hangs_with_query = { "hang_next", "book", "" },
    drops_with_query = { "drop_after_next", "book", "" },
    not_executed_with_query = { "hang_before_next", "book", "action_in_doubt" },
)]
fn tool_fails(fault: &str, tool: &str, kind: &str) {
    let mut site = site();
    let (caller, holder) = start(&site, "pay");
    let service = if tool == "charge" {
        &site.tool_without_status
    } else {
        &site.tool
    };
    service.control(&json!({ fault: 1 }));
    let call = Call::tool_call("pay", "a1", tool);
    for entry in 0..3 {
        let reply = caller.send(entry, &call);
        assert_eq!(reply.kind(), kind, "{reply:?}");
    }
    site.kill_entry(holder);
    let reply = caller.send_until_final(holder + 1, &call, LIMIT);
    assert_eq!(reply.kind(), kind, "{reply:?}");
    assert!(executions(&site) <= 1);
}

/// Guards against a second run by the entry that takes over from a paused holder, and against an
/// answer of that holder after it runs on.
#[parameterized(
    without_query = { "charge", "action_in_doubt" },
    with_query = { "book", "" },
)]
fn holder_paused_while_the_tool_works(tool: &str, kind: &str) {
    let mut site = site();
    let (caller, holder) = start(&site, "pay");
    for service in [&site.tool, &site.tool_without_status] {
        service.control(&json!({ "delay_ms": 500 }));
    }
    let call = Call::tool_call("pay", "a1", tool);
    thread::scope(|scope| {
        let first = scope.spawn(|| caller.send(holder, &call));
        wait_for_request(&site);
        site.entry(holder).pause();
        let reply = caller.send_until_final(holder + 1, &call, LIMIT);
        assert_eq!(reply.kind(), kind, "{reply:?}");
        site.entry(holder).resume();
        let late = first.join().expect("a reply");
        assert!(!matches!(late, Reply::Done(_)), "{late:?}");
    });
    for entry in 0..3 {
        let reply = caller.send_until_final(entry, &call, LIMIT);
        assert_eq!(reply.kind(), kind, "{reply:?}");
    }
    assert_eq!(executions(&site), 1);
}

/// Guards against a holder that is paused before it learns that its intention is durable, and sends
/// the action when it runs on although another entry has answered that it is in doubt.
#[test]
fn holder_paused_before_it_sends() {
    // Renewals are rare, so that the first lost acknowledgement is that of the intention; and the
    // grace time does not end the wait, so that only the lease keeps the action from being sent.
    let mut site = site_with(json!({
        "lease_ttl_ms": 4_000, "lease_renew_ms": 1_300, "commit_grace_ms": 60_000,
    }));
    let (caller, holder) = start(&site, "pay");
    let lost = |site: &Site| site.platform.stats()["lost_acknowledgements"].as_u64();
    let writes = |site: &Site| site.platform.stats()["object_writes"].as_u64();
    let call = Call::tool_call("pay", "a1", "charge");
    let filter = format!("entries/entry-{holder}");
    thread::scope(|scope| {
        // The holder does not learn the outcome before it is paused.
        site.platform
            .control(&json!({ "commit_filter": filter, "lose_acknowledgements": 1_000 }));
        let (lost_before, before) = (lost(&site), writes(&site));
        let first = scope.spawn(|| caller.send(holder, &call));
        assert!(wait_until(LIMIT, || writes(&site) > before));
        assert!(wait_until(LIMIT, || lost(&site) > lost_before || executions(&site) > 0));
        site.entry(holder).pause();
        let reply = caller.send_until_final(holder + 1, &call, LIMIT);
        let sent = executions(&site);
        site.platform
            .control(&json!({ "lose_acknowledgements": 0 }));
        site.entry(holder).resume();
        let late = first.join().expect("a reply");
        let again = caller.send_until_final(holder + 2, &call, LIMIT);
        assert_eq!(again.kind(), reply.kind(), "{again:?} {reply:?}");
        if reply.kind() == "action_in_doubt" {
            assert!(!matches!(late, Reply::Done(_)), "{late:?}");
            assert_eq!(
                executions(&site),
                sent,
                "the action was sent after the take-over"
            );
        }
    });
    assert!(executions(&site) <= 1);
}

/// Guards against two runs of an action whose request arrives at several entries at the same time.
#[test]
fn same_request_id_at_all_entries_at_once() {
    let site = site();
    let (caller, _) = start(&site, "pay");
    site.tool_without_status
        .control(&json!({ "delay_ms": 300 }));
    let call = Call::tool_call("pay", "a1", "charge");
    let replies: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = (0..9)
            .map(|entry| {
                scope.spawn({
                    let (caller, call) = (&caller, &call);
                    move || caller.send_until_final(entry, call, LIMIT)
                })
            })
            .collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("a reply").expect_done())
            .collect()
    });
    assert!(
        replies
            .iter()
            .all(|reply| reply["result"] == replies[0]["result"])
    );
    assert_eq!(executions(&site), 1);
}

/// Guards against `ran: no` for an idempotent action that may have run at its first attempt, when
/// the tool cannot be reached at the second.
#[test]
fn unreachable_tool_does_not_undo_an_earlier_attempt() {
    let mut site = site();
    let (caller, _) = start(&site, "pay");
    site.tool.control(&json!({ "hang_next": 1 }));
    let call = Call::tool_call("pay", "a1", "search");
    thread::scope(|scope| {
        let first = scope.spawn(|| caller.send(0, &call));
        assert!(wait_until(LIMIT, || executions(&site) == 1));
        site.tool.kill();
        assert_eq!(first.join().expect("a reply").kind(), "action_in_doubt");
    });
    let again = caller.send(1, &call);
    assert_eq!((again.kind(), again.ran()), ("action_in_doubt", "unknown"));
}

/// Guards against callers that wait for the end of an outage when their intention is part of the
/// commit that fails, and against a run of the action that was refused.
#[test]
fn intention_in_a_failing_commit_is_refused_in_time() {
    let site = site_with(json!({
        "lease_ttl_ms": 30_000, "lease_renew_ms": 9_000, "commit_grace_ms": 500,
        "platform_call_ms": 500,
    }));
    let (caller, holder) = start(&site, "pay");
    let caller = caller.timeout(Duration::from_secs(8));
    let filter = format!("entries/entry-{holder}");
    site.platform
        .control(&json!({ "commit_filter": filter, "hang_commits": true }));
    for (request_id, call) in [
        ("a1", Call::tool_call("pay", "a1", "charge")),
        ("t1", Call::turn("pay", "t1", 8)),
    ] {
        let reply = caller.send(holder + 1, &call);
        assert_eq!(
            (reply.kind(), reply.ran()),
            ("platform_unavailable", "no"),
            "{request_id}"
        );
    }
    assert_eq!(executions(&site), 0);
    site.platform.control(&json!({ "hang_commits": false }));
    caller
        .send_until_final(holder, &Call::tool_call("pay", "a1", "charge"), LIMIT)
        .expect_done();
    caller
        .send_until_final(holder, &Call::turn("pay", "t1", 8), LIMIT)
        .expect_done();
    assert_eq!(executions(&site), 1);
}
