//! Tests the stand-in engine over HTTP, as an entry calls it.

use std::time::Duration;

use sapphireford_standin::engine::text::expected_text;
use sapphireford_standin::engine::{Message, count_tokens};
use sapphireford_standin::harness::{EventStream, HttpRequest, Process, wait_until};
use serde_json::{Value, json};

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

fn message(role: &str, content: &str) -> Message {
    Message {
        role: role.to_string(),
        content: content.to_string(),
    }
}

fn open(engine: &Process, messages: &[Message], key: &str, max_tokens: u64) -> EventStream {
    let body = json!({ "model": "m", "messages": messages, "max_tokens": max_tokens, "stream": true, "cache_key": key });
    let request = HttpRequest::post("/v1/chat/completions").json(&body);
    request.open(engine.address()).expect("a stream")
}

/// Reads a stream to its end; returns the text and the usage.
fn complete(mut stream: EventStream) -> (String, Value) {
    let mut events = stream.remaining_events().expect("a complete stream");
    assert_eq!(events.pop().expect("a last event").data, "[DONE]");
    let data = events
        .iter()
        .map(|event| serde_json::from_str(&event.data).expect("JSON"));
    let data: Vec<Value> = data.collect();
    let content = |data: &Value| {
        let content = data["choices"][0]["delta"]["content"].as_str();
        content.unwrap_or_default().to_string()
    };
    let text = data.iter().map(content).collect();
    (text, data.last().expect("a usage")["usage"].clone())
}

/// Guards against wrong token counts, and a text that depends on anything besides the messages,
/// which other tests could not predict.
#[test]
fn stream_contains_exactly_the_requested_tokens() {
    let engine = Process::start("standin-engine", &["--decode-ms", "1"]);
    let messages = [
        message("system", "be brief"),
        message("user", "c1 hello there"),
    ];
    let (text, usage) = complete(open(&engine, &messages, "k", 20));
    assert_eq!(text, expected_text(&messages, 20));
    assert_eq!(text.split_whitespace().count(), 20);
    assert!(text.contains("first:c1"), "{text}");
    assert_eq!(count_tokens(&messages), 13);
    let expected = json!({"prompt_tokens": 13, "completion_tokens": 20, "cached_tokens": 0});
    assert_eq!(usage, expected);
}

/// Guards against a cache entry that is lost before its release, remains after it, or is used for
/// another key.
#[test]
fn cached_prefix_is_reused_until_release() {
    let engine = Process::start("standin-engine", &["--decode-ms", "1"]);
    let mut messages = vec![message("user", "c1 hello")];
    let (text, _) = complete(open(&engine, &messages, "k", 5));
    messages.push(message("assistant", &text));
    messages.push(message("user", "next question"));
    let (_, usage) = complete(open(&engine, &messages, "k", 5));
    assert_eq!(usage["cached_tokens"], 6 + 9);
    let (_, usage) = complete(open(&engine, &messages, "other", 5));
    assert_eq!(usage["cached_tokens"], 0);
    let release = HttpRequest::post("/v1/cache/release").json(&json!({"cache_key": "k"}));
    assert_eq!(
        release.send(engine.address()).expect("an answer").status,
        200
    );
    let (_, usage) = complete(open(&engine, &messages, "k", 5));
    assert_eq!(usage["cached_tokens"], 0);
    assert_eq!(engine.stats()["tokens_recomputed_after_eviction"], 0);
}

/// Guards against a cache that exceeds its limit when a third entry is stored, and evictions or
/// recomputed tokens that are not counted.
#[test]
fn least_recently_used_entry_is_evicted() {
    let engine = Process::start(
        "standin-engine",
        &["--decode-ms", "1", "--cache-tokens", "30"],
    );
    let messages = [message("user", "c1 hello")];
    for key in ["a", "b", "a", "c"] {
        complete(open(&engine, &messages, key, 5));
    }
    assert_eq!(engine.stats()["tokens_evicted"], 15);
    let (_, usage) = complete(open(&engine, &messages, "b", 5));
    assert_eq!(usage["cached_tokens"], 0);
    let stats = engine.stats();
    assert_eq!(stats["tokens_recomputed_after_eviction"], 6);
    assert_eq!(stats["cache_used_tokens"], 30);
}

/// Guards against a running or waiting request that continues, or keeps its batch slot, after its
/// client has closed the connection.
#[test]
fn closed_connection_cancels_the_request() {
    let engine = Process::start("standin-engine", &["--decode-ms", "20", "--max-batch", "1"]);
    let messages = [message("user", "c1 hello")];
    let mut running = open(&engine, &messages, "a", 10_000);
    running.next_event().expect("a token");
    let waiting = open(&engine, &messages, "b", 10_000);
    drop(waiting);
    drop(running);
    let cancelled = || engine.stats()["calls_cancelled"] == 2;
    assert!(wait_until(WAIT_TIMEOUT, cancelled), "{}", engine.stats());
    let (_, usage) = complete(open(&engine, &messages, "c", 2));
    assert_eq!(usage["completion_tokens"], 2);
    let stats = engine.stats();
    assert_eq!(stats["running"], 0);
    assert_eq!(stats["tokens_generated_without_reader"], 0);
}

/// Guards against a request that is never cancelled if a cancel lag is set, and tokens generated
/// during the lag that are not counted.
#[test]
fn cancel_lag_wastes_tokens_before_cancellation() {
    let options = ["--decode-ms", "10", "--cancel-lag-ms", "200"];
    let engine = Process::start("standin-engine", &options);
    let mut stream = open(&engine, &[message("user", "c1")], "a", 10_000);
    stream.next_event().expect("a token");
    drop(stream);
    let cancelled = || engine.stats()["calls_cancelled"] == 1;
    assert!(wait_until(WAIT_TIMEOUT, cancelled), "{}", engine.stats());
    let wasted = engine.stats()["tokens_generated_without_reader"].as_u64();
    assert!(wasted > Some(0), "{wasted:?}");
}

/// Guards against injected failures that do not occur, or that also affect later calls.
#[test]
fn injected_failures_occur_once() {
    let engine = Process::start("standin-engine", &["--decode-ms", "1"]);
    let messages = [message("user", "c1 hello")];
    engine.control(&json!({"fail_next": 1, "break_after_tokens": 3}));
    assert_eq!(open(&engine, &messages, "a", 5).status(), 503);
    let mut broken = open(&engine, &messages, "a", 5);
    let mut tokens = 0;
    let error = loop {
        match broken.next_event() {
            Ok(Some(_)) => tokens += 1,
            Ok(None) => panic!("the stream is complete"),
            Err(error) => break error,
        }
    };
    assert_eq!(tokens, 3, "{error}");
    let (_, usage) = complete(open(&engine, &messages, "a", 5));
    assert_eq!(usage["completion_tokens"], 5);
}

/// Guards against an order with a stale fencing number that is accepted with `--checks-fencing`, or
/// rejected without it.
#[test]
fn stale_fencing_number_is_rejected_only_if_checked() {
    for (options, status) in [(&["--checks-fencing"][..], 409), (&[][..], 200)] {
        let engine = Process::start("standin-engine", options);
        let order = |number: u64| {
            let body = json!({"fencing_number": number, "order": {"load_model": "m"}});
            let request = HttpRequest::post("/v1/orders").json(&body);
            request.send(engine.address()).expect("an answer").status
        };
        assert_eq!(order(5), 200);
        assert_eq!(order(4), status);
        assert_eq!(order(5), 200);
    }
}

/// Guards against an exported entry that another engine cannot use, and cache events that are
/// published before their delay has passed.
#[test]
fn exported_cache_entry_is_usable_after_import() {
    let options = [
        "--decode-ms",
        "1",
        "--event-lag-ms",
        "1000",
        "--report-lag-ms",
        "0",
    ];
    let source = Process::start("standin-engine", &options);
    let target = Process::start("standin-engine", &options);
    let messages = [message("user", "c1 hello")];
    complete(open(&source, &messages, "k", 5));
    let post = |engine: &Process, path: &str, body: &Value| {
        let request = HttpRequest::post(path).json(body);
        request.send(engine.address()).expect("an answer").json()
    };
    let entry = post(&source, "/v1/cache/export", &json!({"cache_key": "k"}));
    assert_eq!(
        post(&target, "/v1/cache/import", &entry),
        json!({"tokens": 15})
    );
    let events = || {
        let request = HttpRequest::get("/v1/cache/events?after=0");
        request.send(target.address()).expect("an answer").json()["events"].clone()
    };
    assert_eq!(events(), json!([]));
    let stored = json!([{"number": 1, "kind": "stored", "cache_key": "k", "tokens": 15}]);
    assert!(
        wait_until(WAIT_TIMEOUT, || events() == stored),
        "{}",
        events()
    );
    let (_, usage) = complete(open(&target, &messages, "k", 5));
    assert_eq!(usage["cached_tokens"], 6);
    let load = HttpRequest::get("/v1/load").send(target.address());
    assert_eq!(load.expect("an answer").json()["cache_used_tokens"], 15);
}
