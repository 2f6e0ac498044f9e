//! Planned stops: an entry that is asked to leave interrupts nothing, and a backend server that
//! leaves gets no new work.

#[path = "support/calls.rs"]
mod calls;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use calls::*;
use sapphireford_standin::harness::{Site, SiteOptions, wait_until};
use serde_json::{Value, json};

/// Conversations at the same time in the rolling replacement.
const CALLERS: usize = 8;

fn site_with(settings: Value) -> Site {
    Site::with_options(SiteOptions {
        settings,
        ..SiteOptions::default()
    })
}

/// The site while callers use it and its processes are stopped and started.
fn fast_site() -> Site {
    site_with(
        json!({ "lease_ttl_ms": 2_000, "lease_renew_ms": 300, "membership_interval_ms": 200 }),
    )
}

fn slots_of(site: &Site, entry: usize) -> u64 {
    let status = site.status(site.entry_address(entry));
    status.map_or(0, |status| status["slots"].as_u64().unwrap_or_default())
}

/// Guards against requests that are cut off, refused without `ran: no`, run twice or lost while all
/// entries are replaced one after another.
#[test]
fn rolling_replacement_interrupts_no_request() {
    let mut site = fast_site();
    let load = Load::new(site.client(), 3, 30);
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let load = &load;
            scope.spawn(move || load.run_conversation(&format!("roll{caller}")));
        }
        let stop = StopOnDrop(&load);
        for entry in 0..3 {
            let before = load.completed_turns.load(Ordering::Relaxed);
            let busy = || load.completed_turns.load(Ordering::Relaxed) >= before + CALLERS;
            wait_until(WAIT_TIMEOUT, busy);
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

/// Guards against streams that break when the entry that runs them, or the one that passes them on,
/// leaves; and against slots that stay without a holder in the meantime.
#[test]
fn streams_on_a_leaving_entry_finish_whole() {
    const TOKENS: u32 = 1_000;
    let mut site = fast_site();
    let client = site.client();
    let leaving = 0;
    // Direct, forwarded to the leaving entry, and forwarded by it.
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
    let idle_slots = slots_of(&site, leaving) - 2;
    let others_before = slots_of(&site, 1) + slots_of(&site, 2);
    site.entry(leaving).terminate();
    let moved = wait_until(WAIT_TIMEOUT, || {
        slots_of(&site, 1) + slots_of(&site, 2) >= others_before + idle_slots
    });
    assert!(moved, "the idle slots must go to the others");
    assert!(site.entry(leaving).wait(Duration::ZERO).is_none());
    let busy: Vec<String> = streams
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
    assert_eq!(engine_total(&site, "calls_started"), busy.len() as u64);
    assert_eq!(engine_total(&site, "calls_cancelled"), 0);
}

/// Guards against requests that find no holder while a stream keeps a slot on the leaving entry.
#[test]
fn requests_reach_a_leaving_entry_that_still_holds_their_slot() {
    let mut site = fast_site();
    let client = site.client();
    let conversation = conversation_held_by(&site, 0, 0);
    start_run(client, 0, &conversation);
    let mut stream = open_turn(client, 0, &conversation, "t1", 2_000).expect("a stream");
    let read = read_tokens(&mut stream, 5);
    let idle_slots = slots_of(&site, 0) - 1;
    let others_before = slots_of(&site, 1) + slots_of(&site, 2);
    site.entry(0).terminate();
    wait_until(WAIT_TIMEOUT, || {
        slots_of(&site, 1) + slots_of(&site, 2) >= others_before + idle_slots
    });
    for through in [1, 2] {
        let answer = client.get(through, &conversation).expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert!(
        site.entry(0).wait(Duration::ZERO).is_none(),
        "it waits for the stream"
    );
    read_to_done(&mut stream, read).expect("a whole stream");
    assert!(site.entry(0).wait(WAIT_TIMEOUT).is_some());
}

/// Guards against an entry that never ends, or takes several times its limit, because a call hangs
/// and the platform is out.
#[test]
fn stop_is_bounded_while_the_platform_is_out() {
    const LIMIT: Duration = Duration::from_secs(4);
    /// For closing connections to peers, and for a busy machine.
    const MARGIN: Duration = Duration::from_millis(3_500);
    let mut site = site_with(json!({ "shutdown_limit_ms": LIMIT.as_millis() as u64 }));
    let client = site.client();
    start_run(client, 0, "c1");
    let holder = site.lease_holder_of("team-one", "c1").expect("a holder");
    for engine in &site.engines {
        engine.control(&json!({ "hang_next": 10 }));
    }
    let caller = thread::spawn(move || open_turn(client, holder, "c1", "t1", 8).map(|_| ()));
    // Long enough for the call to have left for an engine.
    thread::sleep(Duration::from_millis(500));
    site.platform.control(&json!({ "outage": "refuse" }));
    let asked = Instant::now();
    site.entry(holder).terminate();
    let status = site.entry(holder).wait(WAIT_TIMEOUT);
    let took = asked.elapsed();
    assert!(status.is_some(), "the entry does not end");
    assert!(took < LIMIT + MARGIN, "the stop took {took:?}");
    let _ = caller.join();
}

/// Runs turns until the engines have stopped giving new work to `engine`, then some more.
fn assert_gets_no_new_work(site: &Site, load: &Load, engine: usize) {
    let started = || site.engines[engine].stats()["calls_started"].as_u64();
    // "After a few seconds".
    thread::sleep(Duration::from_secs(3));
    let before = started();
    let done = load.completed_turns.load(Ordering::Relaxed);
    let more = wait_until(WAIT_TIMEOUT, || {
        load.completed_turns.load(Ordering::Relaxed) >= done + 40
    });
    assert!(more, "the other engine must serve the callers");
    assert_eq!(started(), before, "the leaving engine got new work");
}

fn with_load(site: &Site, check: impl FnOnce(&Load)) {
    let load = Load::new(site.client(), 3, 20);
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let load = &load;
            scope.spawn(move || load.run_conversation(&format!("load{caller}")));
        }
        let stop = StopOnDrop(&load);
        check(&load);
        drop(stop);
    });
    load.assert_no_failures();
}

/// Ends the callers also when a check fails, so that the scope ends.
struct StopOnDrop<'a>(&'a Load);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::Relaxed);
    }
}

/// Guards against new work for an engine that reports that it leaves, while the list of VMs is stale
/// and still says that it is live.
#[test]
fn engine_that_reports_leaving_gets_no_new_work() {
    let site = fast_site();
    let address = site.engines[0].address();
    let vms = json!([{ "address": address, "state": "live" }]);
    site.platform.control(&json!({ "vms": vms }));
    with_load(&site, |load| {
        wait_until(WAIT_TIMEOUT, || engine_total(&site, "calls_started") > 20);
        site.engines[0].control(&json!({ "leaving": true }));
        assert_gets_no_new_work(&site, load, 0);
        let stats = site.engines[0].stats();
        assert_eq!(
            stats["running"], 0,
            "calls in progress must finish: {stats}"
        );
    });
}

/// Guards against new work for an engine whose VM leaves by the platform's list, which lags, while
/// its own report says otherwise; also when the platform is out afterwards.
#[test]
fn engine_on_a_leaving_vm_gets_no_new_work() {
    let site = fast_site();
    let address = site.engines[0].address();
    let list = |state: &str| json!([{ "address": address, "state": state }]);
    site.platform.control(&json!({ "vms": list("live") }));
    with_load(&site, |load| {
        wait_until(WAIT_TIMEOUT, || engine_total(&site, "calls_started") > 20);
        site.platform
            .control(&json!({ "vm_list_lag_ms": 1_000, "vms": list("leaving") }));
        thread::sleep(Duration::from_secs(1));
        assert_gets_no_new_work(&site, load, 0);
        site.platform.control(&json!({ "outage": "refuse" }));
        thread::sleep(Duration::from_millis(1_000));
        site.platform.control(&json!({ "outage": "none" }));
        assert_gets_no_new_work(&site, load, 0);
    });
}
