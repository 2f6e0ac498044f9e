//! A conversation history is never lost and never mixed with another one (`docs/design.md`, section
//! 1.1, promise 2).

use std::thread;
use std::time::Duration;

use sapphireford::ids::ConversationKey;
use sapphireford::process::slots::placement;
use sapphireford_standin::harness::{
    Call, Caller, Reply, Site, SiteOptions, TEAM_TWO_KEY, check_history, wait_until,
};
use serde_json::{Value, json};

/// Timeout of a call, long enough for a change of the lease holder meanwhile.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

fn site_with(entries: usize, settings: Value) -> Site {
    let mut all =
        json!({ "lease_ttl_ms": 1_200, "lease_renew_ms": 300, "membership_interval_ms": 200 });
    if let (Some(all), Value::Object(settings)) = (all.as_object_mut(), settings) {
        all.extend(settings);
    }
    Site::with_options(SiteOptions {
        entries,
        settings: all,
        ..SiteOptions::default()
    })
}

fn site() -> Site {
    site_with(3, json!({}))
}

/// Starts a site whose leases last longer than the test.
fn site_with_long_lease(entries: usize) -> Site {
    site_with(
        entries,
        json!({ "lease_ttl_ms": 30_000, "lease_renew_ms": 9_000, "commit_grace_ms": 500, "durable_wait_ms": 500, "platform_call_ms": 2_000 }),
    )
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

/// Waits until an entry returns the history, and checks that it is consistent and has the requests
/// `expected` in this order.
fn assert_history(caller: &Caller, entry: usize, conversation: &str, expected: &[&str]) {
    let mut history = None;
    let read = wait_until(CALL_TIMEOUT, || {
        history = caller.history(entry, conversation);
        history.is_some()
    });
    assert!(read, "entry {entry} returns no history of {conversation}");
    let order = check_history(conversation, &history.unwrap_or_default());
    assert_eq!(
        order.as_deref(),
        Ok(&expected.iter().map(|id| id.to_string()).collect::<Vec<_>>()[..])
    );
}

/// Guards against a history that is lost or truncated when two lease holders in succession are killed
/// between turns and restarted without state.
#[test]
fn history_survives_two_kills_between_turns() {
    let mut site = site();
    let (caller, first) = start_run(&site, "kept");
    for request_id in ["t1", "t2"] {
        caller
            .send_until_final(1, &Call::turn("kept", request_id, 8), CALL_TIMEOUT)
            .expect_done();
    }
    site.kill_entry(first);
    caller
        .send_until_final(first + 1, &Call::turn("kept", "t3", 8), CALL_TIMEOUT)
        .expect_done();
    let second = site.lease_holder_of("team-one", "kept").expect("a holder");
    site.start_entry(first);
    site.kill_entry(second);
    caller
        .send_until_final(second + 1, &Call::turn("kept", "t4", 8), CALL_TIMEOUT)
        .expect_done();
    site.start_entry(second);
    for entry in 0..3 {
        assert_history(&caller, entry, "kept", &["t1", "t2", "t3", "t4"]);
    }
}

/// Guards against treating a segment as durable, and losing its turn, when the lease holder is killed
/// after it wrote the segment and before the commit of the segment number took effect in the table.
#[test]
fn uncommitted_segment_of_a_killed_holder_is_ignored() {
    let mut site = site();
    let (caller, holder) = start_run(&site, "torn");
    let first = caller
        .send_until_final(0, &Call::turn("torn", "t1", 8), CALL_TIMEOUT)
        .expect_done();
    let writes = |site: &Site| site.platform.stats()["object_writes"].as_u64();
    let before = writes(&site);
    let filter = format!("entries/entry-{holder}");
    site.platform
        .control(&json!({ "commit_filter": filter, "hang_commits": true }));
    let call = Call::turn("torn", "t2", 8);
    let second = thread::scope(|scope| {
        let reply = scope.spawn(|| caller.send_until_final(holder, &call, CALL_TIMEOUT));
        assert!(wait_until(CALL_TIMEOUT, || writes(&site) > before));
        site.kill_entry(holder);
        site.platform.control(&json!({ "hang_commits": false }));
        reply.join().expect("a reply").expect_done()
    });
    assert_history(&caller, holder + 1, "torn", &["t1", "t2"]);
    let state = caller.get(holder + 1, "torn").expect("a state");
    let cost = |reply: &Value| reply["cost_micros"].as_u64().expect("a cost");
    // If the uncommitted segment were replayed, the reservation of its start event would count as spent.
    let spent = json!(cost(&first) + cost(&second));
    assert_eq!(state["runs"][0]["spent_micros"], spent, "{state}");
}

/// Guards against turns that are lost or applied twice when acknowledgements are lost, or when commits
/// take effect only after their timeout at the entry.
#[test]
fn lost_and_late_acknowledgements_neither_lose_nor_repeat_turns() {
    let site = site_with(
        3,
        json!({ "lease_ttl_ms": 20_000, "lease_renew_ms": 300, "platform_call_ms": 300, "commit_grace_ms": 20_000 }),
    );
    let (caller, holder) = start_run(&site, "late");
    site.platform
        .control(&json!({ "lose_acknowledgement_rate": 0.5, "seed": 7 }));
    for request_id in ["t1", "t2"] {
        caller
            .send_until_final(holder, &Call::turn("late", request_id, 8), CALL_TIMEOUT)
            .expect_done();
    }
    site.platform
        .control(&json!({ "lose_acknowledgement_rate": 0.0, "delay_ms": 500 }));
    let third = Call::turn("late", "t3", 8);
    thread::scope(|scope| {
        let reply = scope.spawn(|| caller.send_until_final(holder, &third, CALL_TIMEOUT));
        // Time for several attempts, each of which takes effect after its timeout.
        thread::sleep(Duration::from_millis(1_500));
        site.platform.control(&json!({ "delay_ms": 0 }));
        reply.join().expect("a reply").expect_done();
    });
    caller
        .send_until_final(holder, &Call::turn("late", "t4", 8), CALL_TIMEOUT)
        .expect_done();
    for entry in 0..3 {
        assert_history(&caller, entry, "late", &["t1", "t2", "t3", "t4"]);
    }
}

/// Guards against a lease holder that is paused beyond its lease and, once resumed, writes or returns
/// a diverging history as if it still held the slot.
#[test]
fn resumed_holder_with_an_expired_lease_does_not_change_the_history() {
    let mut site = site();
    let (caller, holder) = start_run(&site, "paused");
    caller
        .send_until_final(holder, &Call::turn("paused", "t1", 8), CALL_TIMEOUT)
        .expect_done();
    let long = Call::turn("paused", "t2", 400);
    let mut stream = caller.open(holder, &long).expect("a stream");
    stream.next_event().expect("an event");
    site.entry(holder).pause();
    caller
        .send_until_final(holder + 1, &long, CALL_TIMEOUT)
        .expect_done();
    caller
        .send_until_final(holder + 2, &Call::turn("paused", "t3", 8), CALL_TIMEOUT)
        .expect_done();
    site.entry(holder).resume();
    // Sent immediately, while the entry may still regard its lease as valid.
    let own = caller.send(holder, &Call::turn("paused", "t4", 8));
    let rest = stream.remaining_events().unwrap_or_default();
    assert!(rest.iter().all(|event| event.name != "done"), "{rest:?}");
    if !matches!(own, Reply::Done(_)) {
        caller
            .send_until_final(holder, &Call::turn("paused", "t4", 8), CALL_TIMEOUT)
            .expect_done();
    }
    for entry in 0..3 {
        let fresh = || {
            let history = caller.get(entry, "paused/history");
            history.is_some_and(|history| history["confirmed"] == json!(true))
        };
        assert!(wait_until(CALL_TIMEOUT, fresh));
        assert_history(&caller, entry, "paused", &["t1", "t2", "t3", "t4"]);
    }
}

/// Guards against mixing conversations of two teams that have the same id, also when another entry
/// recovers them after their lease holder is killed.
#[test]
fn same_conversation_id_in_two_teams_keeps_histories_separate() {
    let mut site = site();
    let (one, holder) = start_run(&site, "shared");
    let two = Caller::with_key(&site, TEAM_TWO_KEY);
    let missing = two.send(0, &Call::turn("shared", "early", 8));
    assert_eq!(missing.kind(), "not_found");
    two.send_until_final(
        1,
        &Call::start_run("shared", "start", "advice"),
        CALL_TIMEOUT,
    )
    .expect_done();
    for number in 0..2 {
        let call = |team: &str| Call::turn("shared", &format!("{team}{number}"), 8);
        one.send_until_final(number, &call("one"), CALL_TIMEOUT)
            .expect_done();
        two.send_until_final(number + 1, &call("two"), CALL_TIMEOUT)
            .expect_done();
    }
    site.kill_entry(holder);
    assert_history(&one, holder + 1, "shared", &["one0", "one1"]);
    assert_history(&two, holder + 2, "shared", &["two0", "two1"]);
}

/// Guards against a result that is lost because its slot is released, with a checkpoint that does not
/// include it, while the commit of the result is still pending.
#[test]
fn slot_release_keeps_a_result_whose_commit_is_pending() {
    let mut site = site_with_long_lease(2);
    let names = (0..100).map(|number| format!("moved{number}x"));
    let prefers_first = |name: &String| {
        let key = ConversationKey {
            team_id: "team-one".into(),
            conversation_id: name.as_str().into(),
        };
        let slot = placement::slot_of(&key, site.slot_count() as u32);
        placement::preferred(slot, ["entry-0", "entry-1"]) == Some("entry-0")
    };
    let conversation = names.into_iter().find(prefers_first).expect("a name");
    site.entry(0).terminate();
    assert!(site.entry(0).wait(CALL_TIMEOUT).is_some());
    site.kill_entry(0);
    let held = || site.lease_holder_of("team-one", &conversation) == Some(1);
    assert!(wait_until(CALL_TIMEOUT, held));
    let caller = Caller::new(&site);
    let run = Call::start_run(&conversation, "start", "assistant");
    caller.send_until_final(1, &run, CALL_TIMEOUT).expect_done();
    site.tool.control(&json!({ "delay_ms": 500 }));
    let call = Call::tool_call(&conversation, "a1", "book");
    thread::scope(|scope| {
        let first = scope.spawn(|| caller.send(1, &call));
        let sent = || site.tool.stats()["requests"] == json!(1);
        assert!(wait_until(CALL_TIMEOUT, sent));
        site.platform
            .control(&json!({ "commit_filter": "entries/entry-1", "hang_commits": true }));
        let reply = first.join().expect("a reply");
        assert_eq!((reply.kind(), reply.ran()), ("not_durable", "unknown"));
    });
    let again = caller.send(1, &call);
    assert_ne!(again.ran(), "no", "{again:?}");
    let writes = |site: &Site| site.platform.stats()["object_writes"].as_u64();
    let before = writes(&site);
    site.start_entry(0);
    // Leaves time for an erroneous checkpoint without the result.
    wait_until(Duration::from_millis(2_500), || writes(&site) > before);
    site.platform.control(&json!({ "hang_commits": false }));
    assert!(wait_until(CALL_TIMEOUT, || site
        .lease_holder_of("team-one", &conversation)
        == Some(0)));
    let reply = caller
        .send_until_final(0, &call, CALL_TIMEOUT)
        .expect_done();
    assert_eq!(reply["result"]["execution"], json!(1));
    assert_history(&caller, 0, &conversation, &["a1"]);
    assert!(
        site.entry(1).wait(Duration::ZERO).is_none(),
        "entry 1 was aborted"
    );
}

/// Guards against two runs with the same id, which would share their calls and their budget, when the
/// start of the first is not yet durable.
#[test]
fn second_start_before_the_first_is_durable_gets_another_run_id() {
    let site = site_with_long_lease(1);
    let caller = Caller::new(&site);
    let runs =
        [1, 2].map(|number| Call::start_run("twice", &format!("start{number}"), "assistant"));
    site.platform.control(&json!({ "hang_commits": true }));
    for run in [&runs[0], &runs[0], &runs[1]] {
        let reply = caller.send(0, run);
        assert!(!reply.is_final(), "{reply:?}");
        let expected = if std::ptr::eq(run, &runs[0]) {
            "unknown"
        } else {
            "no"
        };
        assert_eq!(reply.ran(), expected, "{reply:?}");
    }
    site.platform.control(&json!({ "hang_commits": false }));
    let run_ids = runs
        .map(|run| caller.send_until_final(0, &run, CALL_TIMEOUT).expect_done()["run_id"].clone());
    assert_ne!(run_ids[0], run_ids[1]);
}
