//! The calls of a program run in the order in which the program issued them (design 1.1, 1).

use std::thread;
use std::time::Duration;

use sapphireford_standin::harness::{Call, Caller, Reply, Site, SiteOptions, check_history};
use serde_json::json;

/// Longest time for a call, with one or two changes of the holder in between.
const LIMIT: Duration = Duration::from_secs(40);

fn site() -> Site {
    Site::with_options(SiteOptions {
        settings: json!({
            "lease_ttl_ms": 1_200, "lease_renew_ms": 300, "membership_interval_ms": 200,
        }),
        config: json!({ "limits": { "queue_time_ms": 3_000 } }),
        ..SiteOptions::default()
    })
}

/// Starts a run and returns a caller.
fn start(site: &Site, conversation: &str) -> Caller {
    let caller = Caller::new(site);
    let run = Call::start_run(conversation, "start", "assistant");
    caller.send_until_final(0, &run, LIMIT).expect_done();
    caller
}

/// Turns and paid actions by turns, numbered from 1.
fn calls(conversation: &str, count: u64) -> Vec<Call> {
    let call = |number: u64| {
        let request_id = format!("n{number}");
        let call = match number % 2 {
            0 => Call::tool_call(conversation, &request_id, "book"),
            _ => Call::turn(conversation, &request_id, 8),
        };
        call.sequence(number)
    };
    (1..=count).map(call).collect()
}

fn assert_order(caller: &Caller, entry: usize, conversation: &str, count: u64) {
    let history = caller.history(entry, conversation).expect("a history");
    let order = check_history(conversation, &history).expect("a consistent history");
    let expected: Vec<_> = (1..=count).map(|number| format!("n{number}")).collect();
    assert_eq!(order, expected);
}

/// Sends all calls at the same time, the last one first, each through another entry.
fn send_in_reverse(caller: &Caller, calls: &[Call]) -> Vec<Reply> {
    thread::scope(|scope| {
        let threads: Vec<_> = calls
            .iter()
            .enumerate()
            .rev()
            .map(|(index, call)| {
                let thread = scope.spawn(move || caller.send_until_final(index, call, LIMIT));
                thread::sleep(Duration::from_millis(20));
                thread
            })
            .collect();
        let replies = threads.into_iter().rev();
        replies
            .map(|thread| thread.join().expect("a reply"))
            .collect()
    })
}

/// Guards against a call that overtakes an earlier one which arrives later, at another entry.
#[test]
fn numbered_calls_sent_in_reverse_run_in_order() {
    let site = site();
    let caller = start(&site, "order");
    for reply in send_in_reverse(&caller, &calls("order", 8)) {
        reply.expect_done();
    }
    assert_order(&caller, 1, "order", 8);
}

/// Guards against two calls of a run that are in progress at the same time: the second one would not
/// see the answer to the first.
#[test]
fn calls_without_numbers_run_one_after_the_other() {
    let site = site();
    let caller = start(&site, "queue");
    let first = Call::turn("queue", "n1", 200);
    let mut stream = caller.open(0, &first).expect("a stream");
    stream.next_event().expect("an event");
    let second = caller.send(1, &Call::turn("queue", "n2", 8));
    second.expect_done();
    assert_eq!(
        stream
            .remaining_events()
            .expect("a stream")
            .last()
            .map(|event| event.name.as_str()),
        Some("done")
    );
    assert_order(&caller, 2, "queue", 2);
}

fn holder_changes_in_mid_program(conversation: &str, stop: impl FnOnce(&mut Site, usize)) {
    let mut site = site();
    let caller = start(&site, conversation);
    let holder = site
        .lease_holder_of("team-one", conversation)
        .expect("a holder");
    let calls = calls(conversation, 12);
    thread::scope(|scope| {
        let replies = scope.spawn(|| send_in_reverse(&caller, &calls));
        caller.send_until_final(1, &calls[1], LIMIT).expect_done();
        stop(&mut site, holder);
        for reply in replies.join().expect("replies") {
            match reply {
                Reply::Done(_) => {}
                // The holder was lost while the action was in progress.
                other => assert_eq!(other.kind(), "action_in_doubt", "{other:?}"),
            }
        }
    });
    let history = caller.history(holder + 1, conversation).expect("a history");
    let order = check_history(conversation, &history).expect("a consistent history");
    let numbers = order
        .iter()
        .map(|id| id[1..].parse::<u64>().expect("a number"));
    let numbers: Vec<_> = numbers.collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    let turns = numbers.iter().filter(|number| *number % 2 == 1).count();
    assert_eq!(turns, 6, "{numbers:?}");
}

/// Guards against calls that are lost, run twice or change places when the holder is killed while
/// other calls of the run wait at all entries.
#[test]
fn order_survives_a_killed_holder() {
    holder_changes_in_mid_program("killed", |site, holder| site.kill_entry(holder));
}

/// The same for a holder that is stopped as planned.
#[test]
fn order_survives_a_planned_stop_of_the_holder() {
    holder_changes_in_mid_program("stopped", |site, holder| site.entry(holder).terminate());
}

/// Guards against a program that cannot go on: the place of an action that is in doubt after the
/// loss of its holder would stay free, and the next call would wait for it.
#[test]
fn action_in_doubt_after_a_kill_keeps_its_place() {
    let mut site = site();
    let caller = start(&site, "doubt");
    let holder = site.lease_holder_of("team-one", "doubt").expect("a holder");
    site.tool_without_status
        .control(&json!({ "hang_before_next": 1 }));
    let pay = Call::tool_call("doubt", "n1", "charge").sequence(1);
    thread::scope(|scope| {
        let reply = scope.spawn(|| caller.send_until_final(holder + 1, &pay, LIMIT));
        let sent = || site.tool_without_status.stats()["requests"] == json!(1);
        assert!(sapphireford_standin::harness::wait_until(LIMIT, sent));
        site.kill_entry(holder);
        assert_eq!(reply.join().expect("a reply").kind(), "action_in_doubt");
    });
    let next = Call::turn("doubt", "n2", 8).sequence(2);
    caller
        .send_until_final(holder + 1, &next, Duration::from_secs(8))
        .expect_done();
}

/// Guards against an action that is counted twice, once when it is in doubt and once when its status
/// query resolves it: the caller's next number would be refused.
#[test]
fn action_resolved_later_is_counted_once() {
    let site = site();
    let caller = start(&site, "count");
    // Longer than the time limit of the call and of the status query together.
    site.tool.control(&json!({ "delay_ms": 3_000 }));
    let book = Call::tool_call("count", "n1", "book").sequence(1);
    assert_eq!(caller.send(0, &book).kind(), "action_in_doubt");
    let resolved = sapphireford_standin::harness::wait_until(LIMIT, || {
        matches!(caller.send(1, &book), Reply::Done(_))
    });
    assert!(resolved, "the status query does not resolve the action");
    let next = Call::turn("count", "n2", 8).sequence(2);
    caller.send(2, &next).expect_done();
    assert_order(&caller, 0, "count", 2);
}
