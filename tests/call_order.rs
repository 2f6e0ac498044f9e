//! The calls of a program run in the order in which the program issued them (`docs/design.md`, section
//! 1.1, promise 1).

use std::thread;
use std::time::Duration;

use sapphireford_standin::harness::{Call, Caller, Reply, Site, SiteOptions, check_history};
use serde_json::json;

/// Timeout of a call, long enough for one or two changes of the lease holder meanwhile.
const CALL_TIMEOUT: Duration = Duration::from_secs(40);

fn site() -> Site {
    Site::with_options(SiteOptions {
        settings: json!({ "lease_ttl_ms": 1_200, "lease_renew_ms": 300, "membership_interval_ms": 200 }),
        config: json!({ "limits": { "queue_time_ms": 3_000 } }),
        ..SiteOptions::default()
    })
}

/// Starts a run and returns its caller.
fn start_run(site: &Site, conversation: &str) -> Caller {
    let caller = Caller::new(site);
    let run = Call::start_run(conversation, "start", "assistant");
    caller.send_until_final(0, &run, CALL_TIMEOUT).expect_done();
    caller
}

/// Returns calls with sequence numbers from 1: turns at odd numbers, paid actions at even ones.
fn numbered_calls(conversation: &str, count: u64) -> Vec<Call> {
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

/// Sends the calls concurrently, the last one first, through all entries in turn. Returns the replies
/// in the order of `calls`.
fn send_in_reverse(caller: &Caller, calls: &[Call]) -> Vec<Reply> {
    thread::scope(|scope| {
        let threads: Vec<_> = calls
            .iter()
            .enumerate()
            .rev()
            .map(|(index, call)| {
                let thread =
                    scope.spawn(move || caller.send_until_final(index, call, CALL_TIMEOUT));
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

/// Guards against a call that runs before an earlier one because that one arrives later, at another
/// entry.
#[test]
fn numbered_calls_sent_in_reverse_run_in_order() {
    let site = site();
    let caller = start_run(&site, "order");
    for reply in send_in_reverse(&caller, &numbered_calls("order", 8)) {
        reply.expect_done();
    }
    assert_order(&caller, 1, "order", 8);
}

/// Guards against two calls of a run in progress at the same time, of which the second would not see
/// the answer to the first.
#[test]
fn calls_without_numbers_run_one_after_the_other() {
    let site = site();
    let caller = start_run(&site, "queue");
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

/// Calls `stop` with the lease holder while calls of the run wait at all entries, and checks that the
/// calls run in order and that all turns run.
fn check_order_when_holder_stops(conversation: &str, stop: impl FnOnce(&mut Site, usize)) {
    let mut site = site();
    let caller = start_run(&site, conversation);
    let holder = site
        .lease_holder_of("team-one", conversation)
        .expect("a holder");
    let calls = numbered_calls(conversation, 12);
    thread::scope(|scope| {
        let replies = scope.spawn(|| send_in_reverse(&caller, &calls));
        caller
            .send_until_final(1, &calls[1], CALL_TIMEOUT)
            .expect_done();
        stop(&mut site, holder);
        for reply in replies.join().expect("replies") {
            match reply {
                Reply::Done(_) => {}
                // The lease holder was lost while the action was in progress.
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

/// Guards against calls that are lost, run twice or run out of order when the lease holder is killed
/// while other calls of the run wait at all entries.
#[test]
fn calls_run_in_order_after_the_holder_is_killed() {
    check_order_when_holder_stops("killed", |site, holder| site.kill_entry(holder));
}

/// Guards against the same failures when the lease holder is stopped gracefully.
#[test]
fn calls_run_in_order_after_a_graceful_stop_of_the_holder() {
    check_order_when_holder_stops("stopped", |site, holder| site.entry(holder).terminate());
}

/// Guards against a blocked program: if an action in doubt after the loss of its lease holder did not
/// use up its sequence number, the next call would wait for that number.
#[test]
fn action_in_doubt_after_a_kill_uses_its_sequence_number() {
    let mut site = site();
    let caller = start_run(&site, "doubt");
    let holder = site.lease_holder_of("team-one", "doubt").expect("a holder");
    site.tool_without_status
        .control(&json!({ "hang_before_next": 1 }));
    let pay = Call::tool_call("doubt", "n1", "charge").sequence(1);
    thread::scope(|scope| {
        let reply = scope.spawn(|| caller.send_until_final(holder + 1, &pay, CALL_TIMEOUT));
        let sent = || site.tool_without_status.stats()["requests"] == json!(1);
        assert!(sapphireford_standin::harness::wait_until(
            CALL_TIMEOUT,
            sent
        ));
        site.kill_entry(holder);
        assert_eq!(reply.join().expect("a reply").kind(), "action_in_doubt");
    });
    let next = Call::turn("doubt", "n2", 8).sequence(2);
    caller
        .send_until_final(holder + 1, &next, Duration::from_secs(8))
        .expect_done();
}

/// Guards against counting an action twice, once when it is in doubt and once when its status query
/// resolves it. The caller's next sequence number would then be refused.
#[test]
fn action_resolved_by_a_status_query_is_counted_once() {
    let site = site();
    let caller = start_run(&site, "count");
    // Longer than the time limit of the call and of the status query together.
    site.tool.control(&json!({ "delay_ms": 3_000 }));
    let book = Call::tool_call("count", "n1", "book").sequence(1);
    assert_eq!(caller.send(0, &book).kind(), "action_in_doubt");
    let resolved = sapphireford_standin::harness::wait_until(CALL_TIMEOUT, || {
        matches!(caller.send(1, &book), Reply::Done(_))
    });
    assert!(resolved, "the status query did not resolve the action");
    let next = Call::turn("count", "n2", 8).sequence(2);
    caller.send(2, &next).expect_done();
    assert_order(&caller, 0, "count", 2);
}
