//! GONE: servers stay at work on streams whose clients have left.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::site::{self, HOST, Node, Record, ZONE};
use crate::store::Store;

const STREAMS: usize = 30;
/// Of five streams, those that are preempted: their clients are 0.4 of all, the largest share of the site file.
const PREEMPTED_OF_FIVE: usize = 2;
const EVENTS: u64 = 32;
const EVENT: Duration = Duration::from_millis(100);
/// Time for which an engine has preempted a request after its third event.
const PREEMPTED: Duration = Duration::from_millis(2_250);
/// Time for which a further request waits for a slot of an engine.
const QUEUED: Duration = Duration::from_millis(1_300);
/// The gap after which clients abandon a stream.
const CLIENT_GAP: Duration = Duration::from_millis(2_000);

/// A span in which an engine worked on a request: it processed its prompt or produced its events.
#[derive(Clone)]
struct Work {
    request_id: String,
    engine: String,
    from: f64,
    until: f64,
    end: &'static str,
}

type Works = Arc<Mutex<Vec<Work>>>;

/// Waits, and returns false if the gateway closes the connection meanwhile.
fn wait(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    let _ = stream.set_read_timeout(Some(Duration::from_millis(5)));
    while Instant::now() < end {
        match stream.peek(&mut [0]) {
            Ok(0) => return false,
            Ok(_) => thread::sleep(Duration::from_millis(5)),
            Err(error) => {
                use std::io::ErrorKind::{TimedOut, WouldBlock};
                if ![TimedOut, WouldBlock].contains(&error.kind()) {
                    return false;
                }
            }
        }
    }
    let _ = stream.set_read_timeout(None);
    true
}

fn start_engine(id: &str, record: &Record, works: Works) -> SocketAddr {
    let (id, record) = (id.to_string(), record.clone());
    http::serve("127.0.0.1:0", move |request: Request, writer| {
        let text = |name| {
            http::header(&request.headers, name)
                .unwrap_or_default()
                .to_string()
        };
        let request_id = text("request-id");
        if text("expect-instance") != id {
            let headers = vec![("not-executed".to_string(), "1".to_string())];
            return Answer::Full(421, headers, Vec::new());
        }
        let last_event_id = text("last-event-id").parse::<u64>().ok();
        // The requests that began before have taken the slots.
        if last_event_id.is_some() && !wait(writer, QUEUED) {
            return Answer::Close;
        }
        let from = record.at();
        let end_work = |end| {
            let work = Work {
                request_id: request_id.clone(),
                engine: id.clone(),
                from,
                until: record.at(),
                end,
            };
            works.lock().expect("no thread has panicked").push(work);
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             request-id: {request_id}\r\ninstance-id: {id}\r\nserver-load: 15,0,15\r\n\
             server-signature: {id}.{request_id}\r\n\r\n"
        );
        let mut is_open = writer.write_all(head.as_bytes()).is_ok();
        for event in last_event_id.map_or(1, |last| last + 1)..=EVENTS {
            let number = usize::from_str_radix(&request_id, 16).unwrap_or(0);
            let is_preempted =
                event == 4 && last_event_id.is_none() && number % 5 < PREEMPTED_OF_FIVE;
            let time = if is_preempted { PREEMPTED } else { EVENT };
            let text = format!("id: {event}\ndata: {request_id}-{event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            is_open = is_open && wait(writer, time) && writer.write_all(chunk.as_bytes()).is_ok();
            if !is_open {
                end_work("the gateway closed the connection");
                return Answer::Close;
            }
        }
        end_work("complete");
        match writer.write_all(b"0\r\n\r\n") {
            Ok(()) => Answer::Written,
            Err(_) => Answer::Close,
        }
    })
}

/// Reads a stream until it ends, or until no event has come for `gap`. Returns the events and whether the
/// client left.
fn read_stream(address: SocketAddr, id: &str, gap: Duration) -> (usize, bool) {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return (0, false);
    };
    let request = format!(
        "POST /quote/1 HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: 4000\r\nmodel: m\r\n\
         token-usage: 600,288\r\ncontent-length: 5\r\n\r\nquote"
    );
    let _ = stream.set_read_timeout(Some(gap));
    let _ = stream.write_all(request.as_bytes());
    let mut reader = BufReader::new(stream);
    let _ = http::read_head(&mut reader);
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    let mut has_left = false;
    while !bytes.ends_with(b"0\r\n\r\n") {
        match reader.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(_) => {
                has_left = true;
                break;
            }
        }
    }
    (
        String::from_utf8_lossy(&bytes).matches("id: ").count(),
        has_left,
    )
}

pub fn run(has_trouble: bool, folder: &PathBuf) -> bool {
    let record = Record::new();
    let store = Store::new(4);
    let works = Works::default();
    let route = format!(
        "{{\"name\":\"r\",\"host\":\"{HOST}\",\"pathPrefix\":\"/quote/\",\"kind\":\"streaming\",\"timeoutMs\":4000,\
         \"targetLatencyMs\":200,\"targetGapMs\":200,\"priority\":1,\"service\":\"llm\",\"maxAttempts\":2,\
         \"resumable\":true,\"sticky\":true}}"
    );
    let config = format!(
        "{{\"version\":3,\"routes\":[{route}],\"services\":[{{\"name\":\"llm\",\"healthPath\":\"/healthz\",\
         \"maxConnections\":160,\"runtime\":{{\"slots\":15,\"kvCapacity\":116159,\"chunkTokens\":9}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    );
    store.put("op", "config", Some(&config));
    for id in ["e-1", "e-2"] {
        let address = start_engine(id, &record, works.clone());
        let entry = format!(
            "{{\"service\":\"llm\",\"address\":\"{address}\",\"zone\":\"{ZONE}\",\"version\":\"v1\",\"slots\":15,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":1,\"born\":1}}"
        );
        store.put("servers", id, Some(&entry));
    }
    let nodes: Vec<Node> = (1..=2)
        .map(|number| Node::start(&format!("edge-{number}"), &store, folder))
        .collect();
    nodes.iter().for_each(Node::wait_until_ready);
    record.line("2 gateways and 2 engines are ready");
    thread::sleep(Duration::from_secs(4));
    let gap = if has_trouble {
        CLIENT_GAP
    } else {
        Duration::from_secs(7)
    };
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (address, record) = (nodes[number % 2].caller_address, record.clone());
            thread::spawn(move || {
                let id = format!("{number:016x}");
                let sent_at = record.at();
                let (events, has_left) = read_stream(address, &id, gap);
                (id, sent_at, events, has_left, record.at())
            })
        })
        .collect();
    let results: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().expect("no thread has panicked"))
        .collect();
    thread::sleep(Duration::from_secs(5));

    let works = works.lock().expect("no thread has panicked");
    let (mut left, mut at_work) = (0, 0);
    for (id, sent_at, events, has_left, ended_at) in &results {
        let what = if *has_left {
            "the client left"
        } else {
            "ended"
        };
        println!(
            "request {id} sent {sent_at:.3}: {events} of {EVENTS} events, {what} at {ended_at:.3}"
        );
        let own = works.iter().filter(|work| work.request_id == *id);
        let mut is_at_work = false;
        for work in own {
            println!(
                "    {} at work {:.3} to {:.3}: {}",
                work.engine, work.from, work.until, work.end
            );
            is_at_work |= *has_left && work.from < ended_at + 0.5 && work.until > ended_at + 0.5;
        }
        left += usize::from(*has_left);
        at_work += usize::from(is_at_work);
    }
    record.line(&format!("{left} clients left; servers were at work half a second later on {at_work} of their streams"));
    if has_trouble && left == 0 {
        site::cannot_run("no client left");
    }
    left > 0 && 4 * at_work > left
}
