//! Backend servers that send bytes without end, in a head, in a body or before the answer.

#[path = "support/gateway.rs"]
mod gateway;
#[path = "support/raw_server.rs"]
mod raw_server;

use std::thread;
use std::time::{Duration, Instant};

use gateway::{Turn, WAIT_TIMEOUT, caller_request, new_request_id};
use raw_server::{RawServer, write_endlessly};
use sapphireford_standin::harness::{ENGINE_SERVICE, GatewaySite, PLAIN_SERVICE, wait_until};
use yare::parameterized;

/// Deadline of the requests, and the time after it within which a caller knows the outcome.
const DEADLINE: Duration = Duration::from_secs(4);
const DEADLINE_GRACE: Duration = Duration::from_millis(1_000);
/// Longest answer time of sound servers while another one sends without end.
const SOUND_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Memory of the smallest VMs on which gateways run.
const MEMORY_LIMIT_KB: u64 = 88 << 10;
/// Requests in flight at the faulty server, so that their buffers add up.
const CONCURRENT_REQUESTS: usize = 12;

/// What a server sends without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Endless {
    InterimResponses,
    Head,
    BodyWithoutLength,
    Chunks,
    ChunkExtension,
    Event,
    CommentLines,
}

impl Endless {
    fn start(self) -> RawServer {
        RawServer::start(move |stream, request| {
            let accepted = request.accepted_head();
            let text = [b'x'; 4_096];
            let chunk = [b"1000\r\n", &text[..], b"\r\n"].concat();
            let event_stream = format!("{accepted}content-type: text/event-stream\r\n\r\n");
            match self {
                Self::InterimResponses => {
                    write_endlessly(stream, "", b"HTTP/1.1 103 Early Hints\r\n\r\n")
                }
                Self::Head => write_endlessly(stream, &accepted, b"x-filler: 0123456789\r\n"),
                Self::BodyWithoutLength => {
                    write_endlessly(stream, &format!("{accepted}\r\n"), &text)
                }
                Self::Chunks => {
                    let head = format!("{accepted}transfer-encoding: chunked\r\n\r\n");
                    write_endlessly(stream, &head, &chunk)
                }
                Self::ChunkExtension => {
                    let head = format!("{accepted}transfer-encoding: chunked\r\n\r\n5;x=");
                    write_endlessly(stream, &head, &text)
                }
                Self::Event => write_endlessly(stream, &format!("{event_stream}data: "), &text),
                Self::CommentLines => write_endlessly(stream, &event_stream, b": x\n"),
            }
        })
    }
}

fn peak_memory_kb(process_id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).expect("a process");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).expect("a size")
}

/// Guards against one backend server that stops a whole gateway, fills its memory or keeps a caller
/// waiting beyond its deadline, by bytes that never end.
#[parameterized(
    interim_responses = { Endless::InterimResponses, "/book/a" },
    head = { Endless::Head, "/book/a" },
    body_without_length = { Endless::BodyWithoutLength, "/book/a" },
    chunks = { Endless::Chunks, "/book/a" },
    chunk_extension = { Endless::ChunkExtension, "/book/a" },
    interim_responses_of_an_engine = { Endless::InterimResponses, "/quote/a" },
    event = { Endless::Event, "/chat/a" },
    comment_lines = { Endless::CommentLines, "/chat/a" },
    chunk_extension_of_an_engine = { Endless::ChunkExtension, "/chat/a" },
)]
fn bytes_without_end_harm_only_their_request(endless: Endless, path: &str) {
    let mut site = GatewaySite::start(1);
    let server = endless.start();
    let (faulty_service, sound_path) = match path {
        "/book/a" => (PLAIN_SERVICE, "/quote/a"),
        _ => (ENGINE_SERVICE, "/ping/a"),
    };
    site.deregister_service(faulty_service);
    site.register_address("raw", faulty_service, server.address(), "ready");
    thread::sleep(Duration::from_millis(500));
    let process_id = site.gateways[0].process().id();
    let gateway = &site.gateways[0];
    let send = |path: &str| {
        let id = new_request_id();
        let started = Instant::now();
        let is_stream = path != "/book/a" && path != "/ping/a";
        let is_complete = if is_stream {
            let turn = Turn {
                path,
                id: &id,
                program: &id,
                ..Turn::default()
            };
            turn.open(gateway)
                .is_ok_and(|mut stream| stream.status() == 200 && stream.remaining_events().is_ok())
        } else {
            let method = if path == "/ping/a" { "GET" } else { "POST" };
            let answer = caller_request(method, path, &id).send(gateway.caller_address());
            answer.is_ok_and(|answer| answer.status == 200)
        };
        (is_complete, started.elapsed())
    };
    thread::scope(|scope| {
        let faulty = (0..CONCURRENT_REQUESTS).map(|_| scope.spawn(|| send(path)));
        let faulty: Vec<_> = faulty.collect();
        thread::sleep(Duration::from_millis(300));
        let (is_complete, elapsed) = send(sound_path);
        assert!(is_complete, "a sound server's answer is missing");
        assert!(
            elapsed < SOUND_ANSWER_TIMEOUT,
            "a sound server's answer took {elapsed:?}"
        );
        assert!(gateway.is_ready());
        for request in faulty {
            let (is_complete, elapsed) = request.join().expect("a finished request");
            assert!(!is_complete, "the answer without end looks complete");
            assert!(
                elapsed < DEADLINE + DEADLINE_GRACE,
                "the caller waited for {elapsed:?}"
            );
        }
    });
    assert!(
        wait_until(WAIT_TIMEOUT, || server.open_connections() == 0),
        "connections to the faulty server stay open"
    );
    let memory_kb = peak_memory_kb(process_id);
    assert!(memory_kb < MEMORY_LIMIT_KB, "peak memory is {memory_kb} kB");
}
