//! A conversation history is never lost and never mixed with another one (design 1.1, 2).

use std::thread;
use std::time::Duration;

use sapphireford::ids::ConversationKey;
use sapphireford::process::slots::placement;
use sapphireford_standin::harness::{
    Call, Caller, Reply, Site, SiteOptions, TEAM_TWO_KEY, check_history, wait_until,
};
use serde_json::{Value, json};

/// Longest time for a call, with a change of the holder in between.
const LIMIT: Duration = Duration::from_secs(40);

fn site_with(entries: usize, settings: Value) -> Site {
    let mut all = json!({
        "lease_ttl_ms": 1_200, "lease_renew_ms": 300, "membership_interval_ms": 200,
    });
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

/// A site whose entries keep their lease for longer than the test takes.
fn site_with_long_lease(entries: usize) -> Site {
    site_with(
        entries,
        json!({
            "lease_ttl_ms": 30_000, "lease_renew_ms": 9_000, "commit_grace_ms": 500,
            "durable_wait_ms": 500, "platform_call_ms": 2_000,
        }),
    )
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

/// Checks that an entry gives a consistent history with these requests.
fn assert_history(caller: &Caller, entry: usize, conversation: &str, expected: &[&str]) {
    let mut history = None;
    let read = wait_until(LIMIT, || {
        history = caller.history(entry, conversation);
        history.is_some()
    });
    assert!(read, "entry {entry} gives no history of {conversation}");
    let order = check_history(conversation, &history.unwrap_or_default());
    assert_eq!(
        order.as_deref(),
        Ok(&expected.iter().map(|id| id.to_string()).collect::<Vec<_>>()[..])
    );
}

/// Guards against a history that is lost or cut when one holder after the other is killed between
/// turns and comes back empty.
#[test]
fn killed_between_turns_twice() {
    let mut site = site();
    let (caller, first) = start(&site, "kept");
    for request_id in ["t1", "t2"] {
        caller
            .send_until_final(1, &Call::turn("kept", request_id, 8), LIMIT)
            .expect_done();
    }
    site.kill_entry(first);
    caller
        .send_until_final(first + 1, &Call::turn("kept", "t3", 8), LIMIT)
        .expect_done();
    let second = site.lease_holder_of("team-one", "kept").expect("a holder");
    site.start_entry(first);
    site.kill_entry(second);
    caller
        .send_until_final(second + 1, &Call::turn("kept", "t4", 8), LIMIT)
        .expect_done();
    site.start_entry(second);
    for entry in 0..3 {
        assert_history(&caller, entry, "kept", &["t1", "t2", "t3", "t4"]);
    }
}

/// Guards against a segment that is taken for durable although the commit of its number in the table
/// never took effect, and against a turn that is lost because of it.
#[test]
fn killed_between_the_segment_and_the_commit() {
    let mut site = site();
    let (caller, holder) = start(&site, "torn");
    let first = caller
        .send_until_final(0, &Call::turn("torn", "t1", 8), LIMIT)
        .expect_done();
    let writes = |site: &Site| site.platform.stats()["object_writes"].as_u64();
    let before = writes(&site);
    let filter = format!("entries/entry-{holder}");
    site.platform
        .control(&json!({ "commit_filter": filter, "hang_commits": true }));
    let call = Call::turn("torn", "t2", 8);
    let second = thread::scope(|scope| {
        let reply = scope.spawn(|| caller.send_until_final(holder, &call, LIMIT));
        assert!(wait_until(LIMIT, || writes(&site) > before));
        site.kill_entry(holder);
        site.platform.control(&json!({ "hang_commits": false }));
        reply.join().expect("a reply").expect_done()
    });
    assert_history(&caller, holder + 1, "torn", &["t1", "t2"]);
    let state = caller.get(holder + 1, "torn").expect("a state");
    let cost = |reply: &Value| reply["cost_micros"].as_u64().expect("a cost");
    // A start event in the torn segment would have its reservation counted as spent.
    let spent = json!(cost(&first) + cost(&second));
    assert_eq!(state["runs"][0]["spent_micros"], spent, "{state}");
}

/// Guards against turns that are lost or applied twice when acknowledgements are lost, and when
/// commits take effect only after the entry has given up waiting for them.
#[test]
fn lost_and_late_acknowledgements() {
    let site = site_with(
        3,
        json!({
            "lease_ttl_ms": 20_000, "lease_renew_ms": 300, "platform_call_ms": 300,
            "commit_grace_ms": 20_000,
        }),
    );
    let (caller, holder) = start(&site, "late");
    site.platform
        .control(&json!({ "lose_acknowledgement_rate": 0.5, "seed": 7 }));
    for request_id in ["t1", "t2"] {
        caller
            .send_until_final(holder, &Call::turn("late", request_id, 8), LIMIT)
            .expect_done();
    }
    site.platform
        .control(&json!({ "lose_acknowledgement_rate": 0.0, "delay_ms": 500 }));
    let third = Call::turn("late", "t3", 8);
    thread::scope(|scope| {
        let reply = scope.spawn(|| caller.send_until_final(holder, &third, LIMIT));
        // Time for several attempts, each of which takes effect after its time limit.
        thread::sleep(Duration::from_millis(1_500));
        site.platform.control(&json!({ "delay_ms": 0 }));
        reply.join().expect("a reply").expect_done();
    });
    caller
        .send_until_final(holder, &Call::turn("late", "t4", 8), LIMIT)
        .expect_done();
    for entry in 0..3 {
        assert_history(&caller, entry, "late", &["t1", "t2", "t3", "t4"]);
    }
}

/// Guards against a paused holder that runs on as if it still held the slot: what it then writes or
/// tells would be another history.
#[test]
fn two_entries_believe_they_hold_the_slot() {
    let mut site = site();
    let (caller, holder) = start(&site, "paused");
    caller
        .send_until_final(holder, &Call::turn("paused", "t1", 8), LIMIT)
        .expect_done();
    let long = Call::turn("paused", "t2", 400);
    let mut stream = caller.open(holder, &long).expect("a stream");
    stream.next_event().expect("an event");
    site.entry(holder).pause();
    caller
        .send_until_final(holder + 1, &long, LIMIT)
        .expect_done();
    caller
        .send_until_final(holder + 2, &Call::turn("paused", "t3", 8), LIMIT)
        .expect_done();
    site.entry(holder).resume();
    // Sent at once, while the entry still believes in its lease.
    let own = caller.send(holder, &Call::turn("paused", "t4", 8));
    let rest = stream.remaining_events().unwrap_or_default();
    assert!(rest.iter().all(|event| event.name != "done"), "{rest:?}");
    if !matches!(own, Reply::Done(_)) {
        caller
            .send_until_final(holder, &Call::turn("paused", "t4", 8), LIMIT)
            .expect_done();
    }
    for entry in 0..3 {
        let fresh = || {
            let history = caller.get(entry, "paused/history");
            history.is_some_and(|history| history["confirmed"] == json!(true))
        };
        assert!(wait_until(LIMIT, fresh));
        assert_history(&caller, entry, "paused", &["t1", "t2", "t3", "t4"]);
    }
}

/// Guards against conversations of two teams that meet because they have the same id, also when
/// their holder is recovered.
#[test]
fn same_conversation_id_in_two_teams() {
    let mut site = site();
    let (one, holder) = start(&site, "shared");
    let two = Caller::with_key(&site, TEAM_TWO_KEY);
    let missing = two.send(0, &Call::turn("shared", "early", 8));
    assert_eq!(missing.kind(), "not_found");
    two.send_until_final(1, &Call::start_run("shared", "start", "advice"), LIMIT)
        .expect_done();
    for number in 0..2 {
        let call = |team: &str| Call::turn("shared", &format!("{team}{number}"), 8);
        one.send_until_final(number, &call("one"), LIMIT)
            .expect_done();
        two.send_until_final(number + 1, &call("two"), LIMIT)
            .expect_done();
    }
    site.kill_entry(holder);
    assert_history(&one, holder + 1, "shared", &["one0", "one1"]);
    assert_history(&two, holder + 2, "shared", &["two0", "two1"]);
}

/// Guards against a result that is lost because its slot is released, with a checkpoint that does
/// not include it, while its commit is still on its way.
#[test]
fn slot_released_while_a_result_waits_for_the_platform() {
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
    assert!(site.entry(0).wait(LIMIT).is_some());
    site.kill_entry(0);
    let held = || site.lease_holder_of("team-one", &conversation) == Some(1);
    assert!(wait_until(LIMIT, held));
    let caller = Caller::new(&site);
    let run = Call::start_run(&conversation, "start", "assistant");
    caller.send_until_final(1, &run, LIMIT).expect_done();
    site.tool.control(&json!({ "delay_ms": 500 }));
    let call = Call::tool_call(&conversation, "a1", "book");
    thread::scope(|scope| {
        let first = scope.spawn(|| caller.send(1, &call));
        let sent = || site.tool.stats()["requests"] == json!(1);
        assert!(wait_until(LIMIT, sent));
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
    // Time for a checkpoint without the result, if one is written.
    wait_until(Duration::from_millis(2_500), || writes(&site) > before);
    site.platform.control(&json!({ "hang_commits": false }));
    assert!(wait_until(LIMIT, || site
        .lease_holder_of("team-one", &conversation)
        == Some(0)));
    let reply = caller.send_until_final(0, &call, LIMIT).expect_done();
    assert_eq!(reply["result"]["execution"], json!(1));
    assert_history(&caller, 0, &conversation, &["a1"]);
    assert!(
        site.entry(1).wait(Duration::ZERO).is_none(),
        "entry 1 was aborted"
    );
}

/// Guards against two runs with the same number, which would share their calls and their budget,
/// when the start of the first is still on its way.
#[test]
fn second_start_while_the_first_is_not_durable() {
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
    let numbers =
        runs.map(|run| caller.send_until_final(0, &run, LIMIT).expect_done()["run_id"].clone());
    assert_ne!(numbers[0], numbers[1]);
}
