//! A non-idempotent action runs at most once (`docs/design.md`, section 1.1, promise 7).

use std::thread;
use std::time::Duration;

use sapphireford_standin::harness::{Call, Caller, Reply, Site, SiteOptions, wait_until};
use serde_json::{Value, json};
use yare::parameterized;

/// Timeout of a call, long enough for a change of the lease holder meanwhile.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

fn site_with(settings: Value) -> Site {
    let mut all =
        json!({ "lease_ttl_ms": 1_200, "lease_renew_ms": 300, "membership_interval_ms": 200 });
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

/// Starts a run, and returns its caller and the lease holder.
fn start_run(site: &Site, conversation: &str) -> (Caller, usize) {
    let caller = Caller::new(site);
    let run = Call::start_run(conversation, "start", "assistant");
    caller.send_until_final(0, &run, CALL_TIMEOUT).expect_done();
    let holder = site
        .lease_holder_of("team-one", conversation)
        .expect("a holder");
    (caller, holder)
}

/// Returns the largest number of executions of an action, as counted by the tools.
fn max_executions(site: &Site) -> u64 {
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
    assert!(wait_until(CALL_TIMEOUT, sent), "the action was not sent");
}

/// Guards against an action that runs again because the acknowledgement of the commit of its intention
/// was lost.
#[test]
fn lost_acknowledgement_of_the_intention_does_not_repeat_the_action() {
    // No lease renewal falls into the test, so the intention is in the first commit of the holder.
    let site = site_with(json!({ "lease_ttl_ms": 30_000, "lease_renew_ms": 9_000 }));
    let (caller, holder) = start_run(&site, "pay");
    let filter = format!("entries/entry-{holder}");
    site.platform
        .control(&json!({ "commit_filter": filter, "lose_acknowledgements": 1 }));
    let reply = caller.send_until_final(
        holder + 1,
        &Call::tool_call("pay", "a1", "charge"),
        CALL_TIMEOUT,
    );
    reply.expect_done();
    assert_eq!(max_executions(&site), 1);
    assert!(site.platform.stats()["lost_acknowledgements"].as_u64() > Some(0));
}

/// Guards against running an action again after its tool hung, dropped the connection or reported a
/// failure, and against resolving an action in doubt without evidence of whether it ran.
#[parameterized( hangs_without_query = { "hang_next", "charge", "action_in_doubt" }, drops_without_query = { "drop_after_next", "charge", "action_in_doubt" }, fails_without_query = { "fail_next", "charge", "action_in_doubt" }, hangs_with_query = { "hang_next", "book", "" }, drops_with_query = { "drop_after_next", "book", "" }, not_executed_with_query = { "hang_before_next", "book", "action_in_doubt" } )]
fn action_runs_at_most_once_when_its_tool_fails(fault: &str, tool: &str, kind: &str) {
    let mut site = site();
    let (caller, holder) = start_run(&site, "pay");
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
    let reply = caller.send_until_final(holder + 1, &call, CALL_TIMEOUT);
    assert_eq!(reply.kind(), kind, "{reply:?}");
    assert!(max_executions(&site) <= 1);
}

/// Guards against a second execution by the entry that takes over from a paused lease holder, and
/// against a result sent by the old holder after it is resumed.
#[parameterized( without_query = { "charge", "action_in_doubt" }, with_query = { "book", "" } )]
fn holder_paused_during_an_action_does_not_repeat_it(tool: &str, kind: &str) {
    let mut site = site();
    let (caller, holder) = start_run(&site, "pay");
    for service in [&site.tool, &site.tool_without_status] {
        service.control(&json!({ "delay_ms": 500 }));
    }
    let call = Call::tool_call("pay", "a1", tool);
    thread::scope(|scope| {
        let first = scope.spawn(|| caller.send(holder, &call));
        wait_for_request(&site);
        site.entry(holder).pause();
        let reply = caller.send_until_final(holder + 1, &call, CALL_TIMEOUT);
        assert_eq!(reply.kind(), kind, "{reply:?}");
        site.entry(holder).resume();
        let late = first.join().expect("a reply");
        assert!(!matches!(late, Reply::Done(_)), "{late:?}");
    });
    for entry in 0..3 {
        let reply = caller.send_until_final(entry, &call, CALL_TIMEOUT);
        assert_eq!(reply.kind(), kind, "{reply:?}");
    }
    assert_eq!(max_executions(&site), 1);
}

/// Guards against a lease holder that is paused before it learns that its intention is durable, and
/// after it is resumed sends an action that another entry has already reported as in doubt.
#[test]
fn resumed_holder_does_not_send_an_action_in_doubt() {
    // Lease renewals are rare, so that the first lost acknowledgement is that of the intention. The
    // grace period does not end the wait, so that only the lease prevents sending the action.
    let mut site = site_with(
        json!({ "lease_ttl_ms": 4_000, "lease_renew_ms": 1_300, "commit_grace_ms": 60_000 }),
    );
    let (caller, holder) = start_run(&site, "pay");
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
        assert!(wait_until(CALL_TIMEOUT, || writes(&site) > before));
        assert!(wait_until(CALL_TIMEOUT, || lost(&site) > lost_before
            || max_executions(&site) > 0));
        site.entry(holder).pause();
        let reply = caller.send_until_final(holder + 1, &call, CALL_TIMEOUT);
        let sent = max_executions(&site);
        site.platform
            .control(&json!({ "lose_acknowledgements": 0 }));
        site.entry(holder).resume();
        let late = first.join().expect("a reply");
        let again = caller.send_until_final(holder + 2, &call, CALL_TIMEOUT);
        assert_eq!(again.kind(), reply.kind(), "{again:?} {reply:?}");
        if reply.kind() == "action_in_doubt" {
            assert!(!matches!(late, Reply::Done(_)), "{late:?}");
            assert_eq!(
                max_executions(&site),
                sent,
                "the old holder sent the action after the takeover"
            );
        }
    });
    assert!(max_executions(&site) <= 1);
}

/// Guards against executing an action twice when its request arrives at several entries at the same
/// time.
#[test]
fn same_request_id_at_all_entries_runs_once() {
    let site = site();
    let (caller, _) = start_run(&site, "pay");
    site.tool_without_status
        .control(&json!({ "delay_ms": 300 }));
    let call = Call::tool_call("pay", "a1", "charge");
    let replies: Vec<_> = thread::scope(|scope| {
        let threads: Vec<_> = (0..9)
            .map(|entry| {
                scope.spawn({
                    let (caller, call) = (&caller, &call);
                    move || caller.send_until_final(entry, call, CALL_TIMEOUT)
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
    assert_eq!(max_executions(&site), 1);
}

/// Guards against `ran: no` for an idempotent action that may have run at its first attempt, when the
/// tool is unreachable at the second.
#[test]
fn unreachable_tool_after_an_earlier_attempt_reports_ran_unknown() {
    let mut site = site();
    let (caller, _) = start_run(&site, "pay");
    site.tool.control(&json!({ "hang_next": 1 }));
    let call = Call::tool_call("pay", "a1", "search");
    thread::scope(|scope| {
        let first = scope.spawn(|| caller.send(0, &call));
        assert!(wait_until(CALL_TIMEOUT, || max_executions(&site) == 1));
        site.tool.kill();
        assert_eq!(first.join().expect("a reply").kind(), "action_in_doubt");
    });
    let again = caller.send(1, &call);
    assert_eq!((again.kind(), again.ran()), ("action_in_doubt", "unknown"));
}

/// Guards against callers that wait until an outage ends because their intention is part of the
/// failing commit, and against executing an action that was refused.
#[test]
fn intention_in_a_failing_commit_is_refused_during_the_outage() {
    let site = site_with(
        json!({ "lease_ttl_ms": 30_000, "lease_renew_ms": 9_000, "commit_grace_ms": 500, "platform_call_ms": 500 }),
    );
    let (caller, holder) = start_run(&site, "pay");
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
    assert_eq!(max_executions(&site), 0);
    site.platform.control(&json!({ "hang_commits": false }));
    caller
        .send_until_final(
            holder,
            &Call::tool_call("pay", "a1", "charge"),
            CALL_TIMEOUT,
        )
        .expect_done();
    caller
        .send_until_final(holder, &Call::turn("pay", "t1", 8), CALL_TIMEOUT)
        .expect_done();
    assert_eq!(max_executions(&site), 1);
}
