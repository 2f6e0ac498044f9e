//! Engines, tools and services behind an entry that answer twice, late, in part or without end.

#[path = "support/calls.rs"]
mod calls;
#[path = "support/raw_server.rs"]
mod raw_server;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use calls::{open_turn, read_to_done, start_run};
use raw_server::{RawServer, write_endlessly};
use sapphireford_standin::harness::{HttpRequest, Site, SiteOptions, TEAM_TWO_KEY};
use serde_json::{Value, json};
use yare::parameterized;

/// Time limit of calls of the service, from the configuration of the harness, with an allowance.
const SERVICE_CALL_LIMIT: Duration = Duration::from_millis(1_000 + 1_000);

/// A site of one entry with these overrides of the configuration.
fn site_with(config: Value) -> Site {
    Site::with_options(SiteOptions {
        entries: 1,
        config,
        ..SiteOptions::default()
    })
}

fn service_at(address: SocketAddr) -> Value {
    json!({ "services": { "orders": { "addresses": [address] } } })
}

fn call_service(site: &Site, path: &str) -> std::io::Result<sapphireford_standin::harness::Answer> {
    HttpRequest::post(&format!("/v1/services/orders/{path}"))
        .bearer(TEAM_TWO_KEY)
        .send(site.entry_address(0))
}

/// Guards against a caller that gets the answer of an earlier call, because a service sent a second
/// copy of it on a connection that is in use again.
#[test]
fn a_second_copy_of_an_answer_reaches_no_other_caller() {
    let previous = Mutex::new(String::new());
    let service = RawServer::start(move |stream, request| {
        let path = &request.path;
        let answer = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}",
            path.len()
        );
        let mut previous = previous.lock().expect("no panic");
        // On a new connection, no copy of an earlier answer can arrive.
        if request.header("x-first").is_empty() && !previous.is_empty() {
            stream.write_all(previous.as_bytes())?;
        }
        previous.clear();
        stream.write_all(answer.as_bytes())?;
        drop(previous);
        // The copy of the answer follows while the connection is idle or in use again.
        std::thread::sleep(Duration::from_millis(3));
        stream.write_all(answer.as_bytes())
    });
    let site = site_with(service_at(service.address()));
    for round in 0..60 {
        let path = format!("call-{round}");
        let answer = call_service(&site, &path).expect("an answer");
        if answer.status == 200 {
            assert_eq!(answer.text(), format!("/{path}"));
        }
        std::thread::sleep(Duration::from_millis(round % 6));
    }
}

/// Guards against a service that stops the whole entry, or fills its memory, by bytes without end.
#[parameterized(
    interim_responses = { "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
    head = { "HTTP/1.1 200 OK\r\n", "x-filler: 0123456789\r\n" },
    body = { "HTTP/1.1 200 OK\r\n\r\n", "0123456789012345678901234567890123456789" },
    chunk_extension = { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;x=", "yyyyyyyyyyyyyyyy" },
)]
fn a_service_that_sends_without_end_harms_only_its_calls(head: &'static str, piece: &'static str) {
    let service = RawServer::start(move |stream, _| {
        let pieces = piece.repeat(100);
        write_endlessly(stream, head, pieces.as_bytes())
    });
    let site = site_with(service_at(service.address()));
    let client = site.client();
    start_run(client, 0, "sound");
    std::thread::scope(|scope| {
        let calls: Vec<_> = (0..4)
            .map(|_| {
                scope.spawn(|| {
                    let started = Instant::now();
                    let answer = call_service(&site, "x");
                    let is_success = answer.is_ok_and(|answer| answer.status == 200);
                    (is_success, started.elapsed())
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(100));
        let mut stream = open_turn(client, 0, "sound", "t1", 5).expect("an answer");
        read_to_done(&mut stream, String::new()).expect("a whole turn");
        for call in calls {
            let (is_success, elapsed) = call.join().expect("a finished call");
            assert!(!is_success);
            assert!(elapsed < SERVICE_CALL_LIMIT, "took {elapsed:?}");
        }
    });
}

/// Guards against an engine whose stream breaks off or never ends, and which the caller takes for a
/// complete answer or waits for without limit.
#[parameterized(
    broken_off = { "data: {\"choices\":[{\"delta\":{\"content\":\"a \"}}]}\n\n", "" },
    endless_event = { "data: ", "xxxxxxxxxxxxxxxx" },
    endless_comments = { "", ": still here\n" },
    endless_interim = { "interim", "HTTP/1.1 103 Early Hints\r\n\r\n" },
)]
fn an_engine_that_does_not_finish_is_no_success(start: &'static str, piece: &'static str) {
    let completions = Arc::new(AtomicUsize::new(0));
    let counter = completions.clone();
    let engine = RawServer::start(move |stream, request| {
        if !request.path.starts_with("/v1/chat/") {
            stream.write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n")?;
            return Ok(());
        }
        counter.fetch_add(1, Ordering::SeqCst);
        let head = match start {
            "interim" => String::new(),
            start => format!(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n{start}"
            ),
        };
        if piece.is_empty() {
            stream.write_all(head.as_bytes())?;
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        write_endlessly(stream, &head, piece.repeat(100).as_bytes())
    });
    let site = site_with(json!({
        "limits": { "token_gap_ms": 1_000 },
    }));
    let server = json!({ "address": engine.address(), "failure_domain": "domain-0",
                         "models": ["small"], "max_concurrent_calls": 8, "cache_tokens": 100_000 });
    let mut config = site.base_config();
    config["backend_servers"] = json!({ "engine-raw": server });
    site.apply(1, &[config]);
    let client = site.client();
    start_run(client, 0, "unsound");
    let started = Instant::now();
    let is_complete = open_turn(client, 0, "unsound", "t1", 5).is_ok_and(|mut stream| {
        stream.status() == 200 && read_to_done(&mut stream, String::new()).is_ok()
    });
    assert!(!is_complete);
    assert!(
        started.elapsed() < Duration::from_secs(20),
        "took {:?}",
        started.elapsed()
    );
    let answer = HttpRequest::get("/healthz").send(site.entry_address(0));
    assert!(answer.is_ok(), "the entry does not answer");
}
