//! Planned stops: a leaving entry interrupts no request, and a leaving backend server gets no new
//! calls.

#[path = "support/calls.rs"]
mod calls;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use calls::*;
use sapphireford_standin::harness::{Site, SiteOptions, wait_until};
use serde_json::{Value, json};

/// Conversations that run concurrently while processes are stopped.
const CONCURRENT_CONVERSATIONS: usize = 8;

fn site_with_settings(settings: Value) -> Site {
    Site::with_options(SiteOptions {
        settings,
        ..SiteOptions::default()
    })
}

/// A site whose slots are taken over quickly.
fn site_with_short_lease() -> Site {
    site_with_settings(
        json!({ "lease_ttl_ms": 2_000, "lease_renew_ms": 300, "membership_interval_ms": 200 }),
    )
}

fn held_slots(site: &Site, entry: usize) -> u64 {
    let status = site.status(site.entry_address(entry));
    status.map_or(0, |status| status["slots"].as_u64().unwrap_or_default())
}

/// Guards against requests that are interrupted, refused without `ran: no`, executed twice or lost
/// while all entries are replaced one after another.
#[test]
fn rolling_replacement_interrupts_no_request() {
    let mut site = site_with_short_lease();
    let load = Load::new(site.client(), 3, 30);
    thread::scope(|scope| {
        for caller in 0..CONCURRENT_CONVERSATIONS {
            let load = &load;
            scope.spawn(move || load.run_conversation(&format!("roll{caller}")));
        }
        let stop = StopOnDrop(&load);
        for entry in 0..3 {
            let before = load.completed_turns.load(Ordering::Relaxed);
            let has_progressed = || {
                load.completed_turns.load(Ordering::Relaxed) >= before + CONCURRENT_CONVERSATIONS
            };
            wait_until(WAIT_TIMEOUT, has_progressed);
            site.entry(entry).terminate();
            let status = site.entry(entry).wait(WAIT_TIMEOUT);
            let status = status.expect("the entry must stop in bounded time");
            assert!(status.success(), "{status}");
            site.start_entry(entry);
            site.wait_until_ready();
        }
        drop(stop);
    });
    load.assert_no_failures();
    println!(
        "slowest turn: {:?}",
        load.longest_turn.lock().expect("not poisoned")
    );
    let done = load.completed_turns.load(Ordering::Relaxed) as u64;
    assert_eq!(engine_total(&site, "calls_started"), done);
    assert_eq!(engine_total(&site, "calls_finished"), done);
}

/// Guards against streams that break when the entry that runs or forwards them leaves, and against
/// idle slots that have no holder until those streams end.
#[test]
fn streams_through_leaving_entry_finish_completely() {
    const TOKENS: u32 = 1_000;
    let mut site = site_with_short_lease();
    let client = site.client();
    let leaving = 0;
    // Holder and receiving entry: direct, forwarded to the leaving entry, and forwarded by it.
    let routes = [(leaving, leaving), (leaving, 1), (1, leaving)];
    let mut streams = Vec::new();
    for (index, (holder, through)) in routes.into_iter().enumerate() {
        let conversation = conversation_held_by(&site, holder, index);
        start_run(client, through, &conversation);
        let mut expected_history = ExpectedConversation::new(&conversation);
        let expected = expected_history.add_turn("t1", TOKENS);
        let mut stream = open_turn(client, through, &conversation, "t1", TOKENS).expect("a stream");
        let read = read_tokens(&mut stream, 5);
        streams.push((expected_history, expected, stream, read));
    }
    let idle_slots = held_slots(&site, leaving) - 2;
    let others_before = held_slots(&site, 1) + held_slots(&site, 2);
    site.entry(leaving).terminate();
    let moved = wait_until(WAIT_TIMEOUT, || {
        held_slots(&site, 1) + held_slots(&site, 2) >= others_before + idle_slots
    });
    assert!(moved, "the idle slots must move to the other entries");
    assert!(site.entry(leaving).wait(Duration::ZERO).is_none());
    let conversations: Vec<String> = streams
        .iter()
        .map(|stream| stream.0.conversation.clone())
        .collect();
    for (_, expected, stream, read) in &mut streams {
        let text = read_to_done(stream, std::mem::take(read)).expect("a whole stream");
        assert_eq!(text, *expected);
    }
    let status = site
        .entry(leaving)
        .wait(WAIT_TIMEOUT)
        .expect("the entry stops");
    assert!(status.success(), "{status}");
    for (expected_history, ..) in &streams {
        expected_history.check_history(client, 2);
    }
    assert_eq!(
        engine_total(&site, "calls_started"),
        conversations.len() as u64
    );
    assert_eq!(engine_total(&site, "calls_cancelled"), 0);
}

/// Guards against requests that find no holder while a stream prevents the leaving entry from
/// releasing their slot.
#[test]
fn requests_are_forwarded_to_leaving_entry_that_holds_their_slot() {
    let mut site = site_with_short_lease();
    let client = site.client();
    let conversation = conversation_held_by(&site, 0, 0);
    start_run(client, 0, &conversation);
    let mut stream = open_turn(client, 0, &conversation, "t1", 2_000).expect("a stream");
    let read = read_tokens(&mut stream, 5);
    let idle_slots = held_slots(&site, 0) - 1;
    let others_before = held_slots(&site, 1) + held_slots(&site, 2);
    site.entry(0).terminate();
    wait_until(WAIT_TIMEOUT, || {
        held_slots(&site, 1) + held_slots(&site, 2) >= others_before + idle_slots
    });
    for through in [1, 2] {
        let answer = client.get(through, &conversation).expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert!(
        site.entry(0).wait(Duration::ZERO).is_none(),
        "the leaving entry must wait for the stream"
    );
    read_to_done(&mut stream, read).expect("a whole stream");
    assert!(site.entry(0).wait(WAIT_TIMEOUT).is_some());
}

/// Guards against an entry that never stops, or exceeds its shutdown limit several times over,
/// because a call hangs and the platform is unavailable.
#[test]
fn stop_with_hung_call_is_bounded_during_platform_outage() {
    const SHUTDOWN_LIMIT: Duration = Duration::from_secs(4);
    /// Allows for closing the connections to peers and for scheduling delays on a busy machine.
    const TIMING_MARGIN: Duration = Duration::from_millis(3_500);
    let mut site =
        site_with_settings(json!({ "shutdown_limit_ms": SHUTDOWN_LIMIT.as_millis() as u64 }));
    let client = site.client();
    start_run(client, 0, "c1");
    let holder = site.lease_holder_of("team-one", "c1").expect("a holder");
    for engine in &site.engines {
        engine.control(&json!({ "hang_next": 10 }));
    }
    let caller = thread::spawn(move || open_turn(client, holder, "c1", "t1", 8).map(|_| ()));
    // Long enough for the call to reach an engine.
    thread::sleep(Duration::from_millis(500));
    site.platform.control(&json!({ "outage": "refuse" }));
    let stop_requested = Instant::now();
    site.entry(holder).terminate();
    let status = site.entry(holder).wait(WAIT_TIMEOUT);
    let elapsed = stop_requested.elapsed();
    assert!(status.is_some(), "the entry does not end");
    assert!(
        elapsed < SHUTDOWN_LIMIT + TIMING_MARGIN,
        "the stop took {elapsed:?}"
    );
    let _ = caller.join();
}

/// Checks that `engine` starts no call during 40 turns, after the time in which the entries may still
/// send it some.
fn assert_gets_no_new_calls(site: &Site, load: &Load, engine: usize) {
    let started = || site.engines[engine].stats()["calls_started"].as_u64();
    // The entries must stop sending calls to the engine within a few seconds.
    thread::sleep(Duration::from_secs(3));
    let before = started();
    let done = load.completed_turns.load(Ordering::Relaxed);
    let more = wait_until(WAIT_TIMEOUT, || {
        load.completed_turns.load(Ordering::Relaxed) >= done + 40
    });
    assert!(more, "the other engine must serve the callers");
    assert_eq!(started(), before, "the leaving engine got new calls");
}

fn with_load(site: &Site, check: impl FnOnce(&Load)) {
    let load = Load::new(site.client(), 3, 20);
    thread::scope(|scope| {
        for caller in 0..CONCURRENT_CONVERSATIONS {
            let load = &load;
            scope.spawn(move || load.run_conversation(&format!("load{caller}")));
        }
        let stop = StopOnDrop(&load);
        check(&load);
        drop(stop);
    });
    load.assert_no_failures();
}

/// Stops the callers even when a check panics, so that the thread scope can end.
struct StopOnDrop<'a>(&'a Load);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::Relaxed);
    }
}

/// Guards against new calls to an engine that reports that it is leaving, while a stale list of VMs
/// still shows it as live.
#[test]
fn engine_that_reports_leaving_gets_no_new_calls() {
    let site = site_with_short_lease();
    let address = site.engines[0].address();
    let vms = json!([{ "address": address, "state": "live" }]);
    site.platform.control(&json!({ "vms": vms }));
    with_load(&site, |load| {
        wait_until(WAIT_TIMEOUT, || engine_total(&site, "calls_started") > 20);
        site.engines[0].control(&json!({ "leaving": true }));
        assert_gets_no_new_calls(&site, load, 0);
        let stats = site.engines[0].stats();
        assert_eq!(
            stats["running"], 0,
            "calls in progress must finish: {stats}"
        );
    });
}

/// Guards against new calls to an engine whose VM is leaving by the platform's list, which lags, while
/// the engine itself reports otherwise; also after a later platform outage.
#[test]
fn engine_on_leaving_vm_gets_no_new_calls() {
    let site = site_with_short_lease();
    let address = site.engines[0].address();
    let list = |state: &str| json!([{ "address": address, "state": state }]);
    site.platform.control(&json!({ "vms": list("live") }));
    with_load(&site, |load| {
        wait_until(WAIT_TIMEOUT, || engine_total(&site, "calls_started") > 20);
        site.platform
            .control(&json!({ "vm_list_lag_ms": 1_000, "vms": list("leaving") }));
        thread::sleep(Duration::from_secs(1));
        assert_gets_no_new_calls(&site, load, 0);
        site.platform.control(&json!({ "outage": "refuse" }));
        thread::sleep(Duration::from_millis(1_000));
        site.platform.control(&json!({ "outage": "none" }));
        assert_gets_no_new_calls(&site, load, 0);
    });
}
