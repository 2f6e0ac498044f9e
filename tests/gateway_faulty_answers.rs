//! Answers that come twice, late, for another request or only in part, and streams that are slow or
//! stalled.

#[path = "support/gateway.rs"]
mod gateway;
#[path = "support/raw_server.rs"]
mod raw_server;

use std::io::Write;
use std::net::Shutdown;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use gateway::{Turn, WAIT_TIMEOUT, caller_request, new_request_id};
use raw_server::{RawRequest, RawServer};
use sapphireford_standin::harness::{ENGINE_SERVICE, GatewaySite, PLAIN_SERVICE, wait_until};
use yare::parameterized;

/// A site of one gateway whose only server of a service is `server`.
fn site_with(service: &str, server: &RawServer) -> GatewaySite {
    let site = GatewaySite::start(1);
    site.deregister_service(service);
    site.register_address("raw", service, server.address(), "ready");
    let gateway = &site.gateways[0];
    let path = if service == PLAIN_SERVICE {
        "/ping/probe"
    } else {
        "/quote/probe"
    };
    let is_used = wait_until(WAIT_TIMEOUT, || {
        let probe = caller_request("GET", path, &new_request_id());
        // Only the arrival of the request matters.
        let _ = probe.send(gateway.caller_address());
        server.requests() > 0
    });
    assert!(is_used, "the server was not asked");
    site
}

/// A complete answer whose body is the id of its request.
fn own_answer(request: &RawRequest) -> String {
    let id = request.header("request-id");
    let head = request.accepted_head();
    format!("{head}content-length: {}\r\n\r\n{id}", id.len())
}

/// A refusal without any sign of the request that it answers.
const REFUSAL_WITHOUT_ID: &str =
    "HTTP/1.1 503 Service Unavailable\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n";

/// When the second copy of an answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Copy {
    /// With the first one.
    AtOnce,
    /// While the connection is idle.
    Late,
    /// When the next request has arrived, before its answer.
    BeforeNextAnswer,
}

/// Guards against a caller that gets the answer of another request, because a server sent a second
/// copy of an answer on a connection that is in use again.
#[parameterized(
    at_once = { Copy::AtOnce },
    late = { Copy::Late },
    before_next_answer = { Copy::BeforeNextAnswer },
)]
fn a_second_copy_of_an_answer_reaches_no_other_caller(copy: Copy) {
    let previous = Mutex::new((0, String::new()));
    let server = RawServer::start(move |stream, request| {
        let answer = own_answer(request);
        if copy == Copy::BeforeNextAnswer {
            let mut previous = previous.lock().expect("no panic");
            previous.0 += 1;
            if previous.0 % 3 == 0 {
                stream.write_all(previous.1.as_bytes())?;
            }
            previous.1.clone_from(&answer);
        }
        stream.write_all(answer.as_bytes())?;
        match copy {
            Copy::AtOnce => stream.write_all(answer.as_bytes()),
            Copy::Late => {
                thread::sleep(Duration::from_millis(50));
                stream.write_all(answer.as_bytes())
            }
            Copy::BeforeNextAnswer => Ok(()),
        }
    });
    let site = site_with(PLAIN_SERVICE, &server);
    let mut answered = 0;
    for round in 0..30 {
        let id = new_request_id();
        let (method, path) = match round % 2 {
            0 => ("GET", "/ping/a"),
            _ => ("POST", "/book/a"),
        };
        let answer = caller_request(method, path, &id).send(site.gateways[0].caller_address());
        let answer = answer.expect("an answer");
        if answer.status == 200 {
            assert_eq!(answer.text(), id);
            answered += 1;
        }
        // Meets idle connections before, during and after the late copy.
        thread::sleep(Duration::from_millis(round * 4));
    }
    assert!(answered > 0, "no request was answered");
}

/// Guards against a refusal that answers an earlier request: the request that it is taken for has
/// run, so it must not be reported as not executed or sent to another server.
#[test]
fn a_late_refusal_is_not_taken_for_that_of_a_request_that_ran() {
    let server = RawServer::start(|stream, request| {
        if request.path.starts_with("/book/") {
            stream.write_all(REFUSAL_WITHOUT_ID.as_bytes())?;
        }
        stream.write_all(own_answer(request).as_bytes())
    });
    let site = site_with(PLAIN_SERVICE, &server);
    let address = site.gateways[0].caller_address();
    let ping = caller_request("GET", "/ping/a", &new_request_id()).send(address);
    assert_eq!(ping.expect("an answer").status, 200);
    thread::sleep(Duration::from_millis(50));
    // The connection of the ping is in use again.
    let accepted = server.accepted();
    let booking = caller_request("POST", "/book/a", &new_request_id()).send(address);
    assert_eq!(
        server.accepted(),
        accepted,
        "the booking used a connection of its own"
    );
    assert_eq!(booking.expect("an answer").status, 502);
}

/// How an answer ends early.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    Length,
    Chunk,
    BetweenChunks,
    ResetWithoutLength,
}

impl Cut {
    fn respond(
        self,
        stream: &mut std::net::TcpStream,
        request: &RawRequest,
    ) -> std::io::Result<()> {
        let head = request.accepted_head();
        let rest = match self {
            Self::Length => "content-length: 100\r\n\r\nhalf",
            Self::Chunk => "transfer-encoding: chunked\r\n\r\n64\r\nhalf",
            Self::BetweenChunks => "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            Self::ResetWithoutLength => "connection: close\r\n\r\nhalf",
        };
        stream.write_all(format!("{head}{rest}").as_bytes())?;
        thread::sleep(Duration::from_millis(50));
        if self == Self::ResetWithoutLength {
            // Closing a socket with unread bytes resets the connection.
            reset(stream);
        } else {
            stream.shutdown(Shutdown::Both)?;
        }
        Err(std::io::ErrorKind::ConnectionAborted.into())
    }
}

fn reset(stream: &std::net::TcpStream) {
    let socket = socket2::SockRef::from(stream);
    socket
        .set_linger(Some(Duration::ZERO))
        .expect("the option can be set");
}

/// Guards against an answer that broke off and reaches the caller as a complete success.
#[parameterized(
    length = { Cut::Length },
    chunk = { Cut::Chunk },
    between_chunks = { Cut::BetweenChunks },
    reset_without_length = { Cut::ResetWithoutLength },
)]
fn an_answer_that_broke_off_is_no_success(cut: Cut) {
    let server = RawServer::start(move |stream, request| cut.respond(stream, request));
    let site = site_with(PLAIN_SERVICE, &server);
    for (method, path) in [("POST", "/book/a"), ("GET", "/ping/a")] {
        let answer =
            caller_request(method, path, &new_request_id()).send(site.gateways[0].caller_address());
        assert!(!answer.is_ok_and(|answer| answer.status == 200));
    }
}

/// Guards against a stream that broke off and ends like a complete one.
#[parameterized(
    length = { Cut::Length },
    chunk = { Cut::Chunk },
    between_chunks = { Cut::BetweenChunks },
    reset_without_length = { Cut::ResetWithoutLength },
)]
fn a_stream_that_broke_off_does_not_end_as_complete(cut: Cut) {
    let server = RawServer::start(move |stream, request| cut.respond(stream, request));
    let site = site_with(ENGINE_SERVICE, &server);
    for path in ["/chat/a", "/quote/a"] {
        let id = new_request_id();
        let turn = Turn {
            path,
            id: &id,
            program: &id,
            ..Turn::default()
        };
        let is_complete = turn
            .open(&site.gateways[0])
            .is_ok_and(|mut stream| stream.status() == 200 && stream.remaining_events().is_ok());
        assert!(!is_complete, "{path}");
    }
}

/// Guards against a slow but sound stream that is cut: its events come with pauses longer than the
/// latency objective and shorter than callers wait.
#[parameterized(chat = { "/chat/a" }, resumable = { "/quote/a" })]
fn a_slow_stream_is_not_cut(path: &str) {
    const PAUSE: Duration = Duration::from_millis(800);
    let server = RawServer::start(|stream, request| {
        let head = request.accepted_head();
        let head = format!("{head}content-type: text/event-stream\r\nconnection: close\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        for id in 1..=4 {
            thread::sleep(PAUSE);
            // Each event comes in two parts, with a pause inside.
            stream.write_all(format!("id: {id}\n").as_bytes())?;
            thread::sleep(Duration::from_millis(20));
            stream.write_all(b"data: x\n\n")?;
        }
        Err(std::io::ErrorKind::ConnectionAborted.into())
    });
    let site = site_with(ENGINE_SERVICE, &server);
    let id = new_request_id();
    let turn = Turn {
        path,
        id: &id,
        program: &id,
        ..Turn::default()
    };
    let mut stream = turn.open(&site.gateways[0]).expect("an answer");
    assert_eq!(stream.remaining_events().expect("a whole stream").len(), 4);
}

/// Guards against a stalled stream that never ends because its server sends a byte now and then.
/// One that can be resumed goes to another server in time.
#[parameterized(
    comments = { b": still here\n" },
    single_bytes = { b"d" },
    field_without_end = { b"data: x\n" },
)]
fn a_stalled_stream_with_signs_of_life_ends(piece: &'static [u8]) {
    let server = RawServer::start(move |stream, request| {
        let head = request.accepted_head();
        let head = format!("{head}content-type: text/event-stream\r\nconnection: close\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        stream.write_all(b"id: 1\ndata: x\n\n")?;
        loop {
            thread::sleep(Duration::from_millis(100));
            stream.write_all(piece)?;
        }
    });
    let site = site_with(ENGINE_SERVICE, &server);
    // The first server of the ranking may be either; both engines must be stalled or the raw one.
    for (path, limit) in [
        // The deadline of the request.
        ("/chat/a", Duration::from_millis(4_500)),
        // Callers leave after 2 s without an event.
        ("/quote/a", Duration::from_millis(2_000)),
    ] {
        let id = new_request_id();
        let turn = Turn {
            path,
            id: &id,
            program: &id,
            ..Turn::default()
        };
        let started = Instant::now();
        let mut stream = turn.open(&site.gateways[0]).expect("an answer");
        assert!(stream.remaining_events().is_err(), "{path}");
        let elapsed = started.elapsed();
        assert!(elapsed < limit, "{path} ended after {elapsed:?}");
    }
    let is_closed = wait_until(WAIT_TIMEOUT, || server.open_connections() == 0);
    assert!(is_closed, "connections to the stalled server stay open");
}

/// A server whose answers end with their connection. Those of turns end with `stream_end`.
fn server_without_lengths(stream_end: &'static str) -> RawServer {
    RawServer::start(move |stream, request| {
        let head = request.accepted_head();
        let rest = match request.path.starts_with("/ping/") {
            true => "connection: close\r\n\r\nwhole".to_string(),
            false => format!(
                "content-type: text/event-stream\r\nconnection: close\r\n\r\nid: 1\ndata: x\n\n{stream_end}"
            ),
        };
        stream.write_all(format!("{head}{rest}").as_bytes())?;
        Err(std::io::ErrorKind::ConnectionAborted.into())
    })
}

/// Guards against an answer that is refused, or cut off, because it has neither a length nor chunks.
#[test]
fn an_answer_without_a_length_is_complete_at_the_end_of_its_connection() {
    let server = server_without_lengths("id: 2\ndata: y\n\n");
    let site = site_with(PLAIN_SERVICE, &server);
    let address = site.gateways[0].caller_address();
    let answer = caller_request("GET", "/ping/a", &new_request_id()).send(address);
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.text().as_str()), (200, "whole"));
    let site = site_with(ENGINE_SERVICE, &server);
    for path in ["/chat/a", "/quote/a"] {
        let id = new_request_id();
        let turn = Turn {
            path,
            id: &id,
            program: &id,
            ..Turn::default()
        };
        assert_eq!(turn.run(&site.gateways[0]), ["x", "y"], "{path}");
    }
}

/// Guards against a stream that counts as complete although its connection ended inside an event.
#[parameterized(
    in_a_field = { "id: 2\ndata: ha" },
    after_a_field = { "id: 2\ndata: y\n" },
    after_an_id = { "id: 2\n" },
)]
fn a_stream_without_a_length_that_ends_inside_an_event_is_not_complete(end: &'static str) {
    let server = server_without_lengths(end);
    let site = site_with(ENGINE_SERVICE, &server);
    for path in ["/chat/a", "/quote/a"] {
        let id = new_request_id();
        let turn = Turn {
            path,
            id: &id,
            program: &id,
            ..Turn::default()
        };
        let mut stream = turn.open(&site.gateways[0]).expect("an answer");
        assert_eq!(stream.status(), 200);
        assert!(stream.remaining_events().is_err(), "{path}");
    }
}
