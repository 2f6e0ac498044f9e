//! LOST: a stream is cut at a planned stop because its server is silent for a while.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Answer, Request};
use crate::site::{HOST, Node, Record, ZONE};
use crate::store::Store;

const STREAMS: usize = 8;
const EVENTS: u64 = 8;
const EVENT: Duration = Duration::from_millis(40);
/// Time for which the engine has preempted a request. Clients wait at least 2 s for an event.
const PREEMPTED: Duration = Duration::from_millis(1_750);

/// What an engine did with a request.
type EngineLog = Arc<Mutex<Vec<String>>>;

fn start_engine(id: &str, is_full: bool, record: &Record, log: EngineLog) -> SocketAddr {
    let (id, record) = (id.to_string(), record.clone());
    http::serve("127.0.0.1:0", move |request: Request, writer| {
        let text = |name| {
            http::header(&request.headers, name)
                .unwrap_or_default()
                .to_string()
        };
        let request_id = text("request-id");
        let note = |what: &str| {
            let line = format!("{:8.3} {id}: {request_id} {what}", record.at());
            log.lock().expect("no thread has panicked").push(line);
        };
        let mut headers = vec![
            ("request-id".to_string(), request_id.clone()),
            ("instance-id".to_string(), id.clone()),
        ];
        if text("expect-instance") != id || is_full {
            let status = if is_full { 503 } else { 421 };
            headers.push(("not-executed".to_string(), "1".to_string()));
            note(&format!("answered {status}, not run"));
            return Answer::Full(status, headers, Vec::new());
        }
        note("runs");
        let first = text("last-event-id")
            .parse::<u64>()
            .map_or(1, |last| last + 1);
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             request-id: {request_id}\r\ninstance-id: {id}\r\nserver-load: 8,1,16\r\n\
             server-signature: {id}.{request_id}\r\n\r\n"
        );
        let send = |writer: &mut TcpStream, bytes: &[u8]| writer.write_all(bytes).is_ok();
        if !send(writer, head.as_bytes()) {
            return Answer::Close;
        }
        for event in first..=EVENTS {
            thread::sleep(EVENT);
            if event == 4 {
                note("is preempted");
                thread::sleep(PREEMPTED);
                note("goes on");
            }
            let text = format!("id: {event}\ndata: {request_id}-{event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if !send(writer, chunk.as_bytes()) {
                note("its connection is closed by the gateway");
                return Answer::Close;
            }
        }
        let is_sent = send(writer, b"0\r\n\r\n");
        note(if is_sent {
            "is complete"
        } else {
            "its connection is closed by the gateway"
        });
        if is_sent {
            Answer::Written
        } else {
            Answer::Close
        }
    })
}

/// What the client of a stream got.
struct Got {
    events: usize,
    is_complete: bool,
    status: String,
    ended_at: f64,
}

fn read_stream(address: SocketAddr, id: &str, record: &Record) -> Got {
    let mut got = Got {
        events: 0,
        is_complete: false,
        status: "no answer".to_string(),
        ended_at: 0.0,
    };
    let Ok(mut stream) = TcpStream::connect(address) else {
        return got;
    };
    let request = format!(
        "POST /quote/1 HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: 4000\r\nmodel: m\r\n\
         token-usage: 600,72\r\ncontent-length: 5\r\n\r\nquote"
    );
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let _ = stream.write_all(request.as_bytes());
    let mut reader = BufReader::new(stream);
    let mut bytes = Vec::new();
    if let Ok(Some((first, headers))) = http::read_head(&mut reader) {
        got.status = first.split(' ').nth(1).unwrap_or_default().to_string();
        if http::header(&headers, "transfer-encoding").is_some() {
            let mut buffer = [0; 4096];
            while !bytes.ends_with(b"0\r\n\r\n") {
                match reader.read(&mut buffer) {
                    Ok(count) if count > 0 => bytes.extend_from_slice(&buffer[..count]),
                    _ => break,
                }
            }
            got.is_complete = bytes.ends_with(b"\r\n0\r\n\r\n");
        }
    }
    got.events = String::from_utf8_lossy(&bytes).matches("id: ").count();
    got.ended_at = record.at();
    got
}

pub fn run(has_trouble: bool, folder: &PathBuf) -> bool {
    let record = Record::new();
    let store = Store::new(4);
    let log = EngineLog::default();
    let route = format!(
        "{{\"name\":\"r\",\"host\":\"{HOST}\",\"pathPrefix\":\"/quote/\",\"kind\":\"streaming\",\"timeoutMs\":4000,\
         \"targetLatencyMs\":200,\"targetGapMs\":200,\"priority\":1,\"service\":\"llm\",\"maxAttempts\":2,\
         \"resumable\":true,\"sticky\":true}}"
    );
    let config = format!(
        "{{\"version\":3,\"routes\":[{route}],\"services\":[{{\"name\":\"llm\",\"healthPath\":\"/healthz\",\
         \"maxConnections\":160,\"runtime\":{{\"slots\":16,\"kvCapacity\":116159,\"chunkTokens\":9}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    );
    store.put("op", "config", Some(&config));
    for (id, is_full) in [("e-1", false), ("e-2", true)] {
        let address = start_engine(id, is_full, &record, log.clone());
        let entry = format!(
            "{{\"service\":\"llm\",\"address\":\"{address}\",\"zone\":\"{ZONE}\",\"version\":\"v1\",\"slots\":16,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1,\"born\":1}}"
        );
        store.put("servers", id, Some(&entry));
    }
    let nodes: Vec<Node> = (1..=2)
        .map(|number| Node::start(&format!("edge-{number}"), &store, folder))
        .collect();
    nodes.iter().for_each(Node::wait_until_ready);
    record.line("2 gateways are ready; e-1 has free slots, e-2 is full");
    thread::sleep(Duration::from_secs(4));

    let address = nodes[0].caller_address;
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let record = record.clone();
            let id = format!("{number:016x}");
            thread::spawn(move || {
                let sent_at = record.at();
                let got = read_stream(address, &id, &record);
                (id, sent_at, got)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    let stopped_at = record.at();
    if has_trouble {
        nodes[0].terminate();
        record.line("edge-1 gets SIGTERM");
    }
    let results: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().expect("no thread has panicked"))
        .collect();
    thread::sleep(Duration::from_millis(500));
    for line in log.lock().expect("no thread has panicked").iter() {
        println!("{line}");
    }
    let mut cut = 0;
    for (id, sent_at, got) in &results {
        let took = got.ended_at - sent_at;
        println!(
            "request {id} sent {sent_at:.3} to edge-1: status {}, {} of {EVENTS} events, {}, ended {:.3} after {took:.3} s",
            got.status,
            got.events,
            if got.is_complete { "complete" } else { "cut" },
            got.ended_at
        );
        // Passed on to a server, and ended before the deadline and the timeout of the route.
        let is_cut = got.status == "200" && !got.is_complete && took < 3.9;
        cut += usize::from(is_cut);
    }
    let within_grace = results
        .iter()
        .all(|(_, _, got)| got.ended_at < stopped_at + 9.0);
    record.line(&format!(
        "{cut} of {STREAMS} streams were passed on to a server and ended without a complete answer; planned stop: {has_trouble}"
    ));
    has_trouble && within_grace && cut > 0
}
