//! Every caller gets the complete answer to its own request.

#[path = "support/calls.rs"]
mod calls;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use calls::*;
use sapphireford_standin::harness::{Site, SiteOptions, TEAM_ONE_KEY, wait_until};
use serde_json::Value;

fn site(decode_ms: &str) -> Site {
    Site::with_options(SiteOptions {
        engine_arguments: ["--decode-ms", decode_ms].map(String::from).to_vec(),
        ..SiteOptions::default()
    })
}

/// Guards against answers delivered to the wrong conversation, by one entry or when forwarded between
/// entries, while another caller drops its streams.
#[test]
fn concurrent_answers_belong_to_their_conversations() {
    const CALLERS: usize = 24;
    let site = site("1");
    let client = site.client();
    let load = Load::new(client, 3, 40);
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let load = &load;
            scope.spawn(move || {
                load.run_conversation(&format!("{}many{caller}", "x".repeat(caller % 3)))
            });
        }
        let load = &load;
        scope.spawn(move || {
            start_run(client, 0, "breaking");
            let mut number = 0;
            while !load.stop.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("b{number}");
                if let Ok(mut stream) = open_turn(client, number % 3, "breaking", &id, 40) {
                    read_tokens(&mut stream, 3);
                }
            }
        });
        wait_until(WAIT_TIMEOUT, || {
            load.completed_turns.load(Ordering::Relaxed) >= CALLERS * 10
        });
        load.stop.store(true, Ordering::Relaxed);
    });
    load.assert_no_failures();
    assert!(
        load.completed_turns.load(Ordering::Relaxed) >= CALLERS * 10,
        "the callers completed too few turns in time"
    );
}

/// Guards against an answer that loses its middle or its end because its caller reads slowly, from
/// the lease holder or through another entry.
#[test]
fn slow_reader_gets_the_complete_answer() {
    const TOKENS: u32 = 8_000;
    let site = site("0.2");
    let client = site.client();
    let holder = site.lease_holder_of("team-one", "slow").expect("a holder");
    start_run(client, 0, "slow");
    let mut expected_history = ExpectedConversation::new("slow");
    for (number, through) in [holder, (holder + 1) % 3].into_iter().enumerate() {
        let request_id = format!("t{number}");
        let expected = expected_history.add_turn(&request_id, TOKENS);
        let mut stream = open_turn(client, through, "slow", &request_id, TOKENS).expect("a stream");
        let mut read = String::new();
        // The buffers between engine and caller fill up while nothing is read.
        for _ in 0..4 {
            thread::sleep(Duration::from_millis(700));
            read.push_str(&read_tokens(&mut stream, 10));
        }
        assert_eq!(read_to_done(&mut stream, read), Ok(expected));
    }
    expected_history.check_history(client, 0);
}

/// Guards against a second execution, the answer of another request or an incomplete answer when a
/// caller repeats a request after its connection broke.
#[test]
fn repeated_request_gets_its_own_complete_answer() {
    const TOKENS: u32 = 60;
    let site = site("2");
    let client = site.client();
    start_run(client, 0, "c1");
    let mut expected_history = ExpectedConversation::new("c1");
    let expected = expected_history.add_turn("t1", TOKENS);
    let mut stream = open_turn(client, 0, "c1", "t1", TOKENS).expect("a stream");
    read_tokens(&mut stream, 5);
    drop(stream);
    let first = run_turn(client, &mut [1, 2, 0].into(), "c1", "t1", TOKENS);
    assert_eq!(first, Ok(expected.clone()));
    let next = expected_history.add_turn("t2", TOKENS);
    assert_eq!(
        run_turn(client, &mut [2, 0, 1].into(), "c1", "t2", TOKENS),
        Ok(next)
    );
    let calls = engine_total(&site, "calls_started");
    for entry in 0..3 {
        let again = run_turn(client, &mut [entry].into(), "c1", "t1", TOKENS);
        assert_eq!(again, Ok(expected.clone()));
    }
    assert_eq!(
        engine_total(&site, "calls_started"),
        calls,
        "a repeated request ran again"
    );
    expected_history.check_history(client, 1);
}

/// Guards against parts of an answer in the next answer on the same connection.
#[test]
fn answers_on_a_reused_connection_are_separate() {
    const TURNS: usize = 5;
    let site = site("1");
    let client = site.client();
    let conversations = ["kept1", "kept2", "kept3"];
    for conversation in conversations {
        start_run(client, 0, conversation);
    }
    for entry in 0..3 {
        let mut connection = TcpStream::connect(client.entry_address(entry)).expect("connects");
        connection
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("a read timeout");
        let mut expected_histories = conversations.map(ExpectedConversation::new);
        for expected_history in &mut expected_histories {
            for number in 0..entry * TURNS {
                expected_history.add_turn(&format!("t{number}"), 20);
            }
        }
        for number in entry * TURNS..(entry + 1) * TURNS {
            for expected_history in &mut expected_histories {
                let request_id = format!("t{number}");
                let expected = expected_history.add_turn(&request_id, 20);
                let text = run_turn_on(
                    &mut connection,
                    &expected_history.conversation,
                    &request_id,
                    20,
                );
                assert_eq!(text, expected);
            }
        }
    }
}

/// Runs a turn on a keep-alive connection and returns its text.
fn run_turn_on(
    connection: &mut TcpStream,
    conversation: &str,
    request_id: &str,
    tokens: u32,
) -> String {
    const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";
    let body = turn_body(conversation, request_id, tokens).to_string();
    let request = format!(
        "POST /v1/conversations/{conversation}/runs/1/turns HTTP/1.1\r\nhost: entry\r\n\
         authorization: Bearer {TEAM_ONE_KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    connection.write_all(request.as_bytes()).expect("sent");
    let mut answer = Vec::new();
    while !answer.ends_with(LAST_CHUNK) {
        let mut buffer = [0; 4_096];
        let count = connection.read(&mut buffer).expect("an answer");
        assert_ne!(count, 0, "the connection was closed");
        answer.extend(&buffer[..count]);
    }
    let answer = String::from_utf8(answer).expect("text");
    let done_events = answer.matches("event: done").count();
    assert_eq!(done_events, 1, "{answer}");
    let data = answer
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let events = data.map(|data| serde_json::from_str::<Value>(data).expect("JSON"));
    events
        .map(|event| event["text"].as_str().unwrap_or_default().to_string())
        .collect()
}
