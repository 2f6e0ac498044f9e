//! A stand-in for the backend servers: each server has an address and an id of its own.
//!
//! The last line of a request with an order says what the server does: `events=N first=MS gap=MS` for a
//! stream of N events, `work=MS` for a plain answer.

use std::io::{ErrorKind, Result};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{self, Message};

/// A request that a server has run.
#[derive(Clone, Debug)]
pub struct Run {
    pub server: String,
    pub request_id: String,
    pub at: Instant,
}

/// What all servers have run; clones share it.
#[derive(Clone, Default)]
pub struct Runs(Arc<Mutex<Vec<Run>>>);

impl Runs {
    pub fn all(&self) -> Vec<Run> {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }

    fn add(&self, run: Run) {
        self.0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .push(run);
    }
}

const SLOTS: u64 = 16;

/// Starts a server of the first software version; returns its address.
pub fn start(id: &str, runs: &Runs) -> Result<SocketAddr> {
    start_version(id, "v1", runs)
}

/// Starts a server; each of its events names the version of its software.
pub fn start_version(id: &str, version: &'static str, runs: &Runs) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (id, runs) = (id.to_string(), runs.clone());
    let running = AtomicU64::new(0);
    net::serve(listener, move |request, stream| {
        let taken = running.fetch_add(1, Ordering::SeqCst);
        let answered = answer(&id, version, &runs, taken, request, stream);
        running.fetch_sub(1, Ordering::SeqCst);
        answered
    });
    Ok(address)
}

/// Waits; fails as soon as the caller has closed the connection, so that its request is dropped.
fn work(stream: &TcpStream, time: Duration) -> Result<()> {
    let end = Instant::now() + time;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return stream.set_read_timeout(None);
        }
        stream.set_read_timeout(Some(left))?;
        match stream.peek(&mut [0]) {
            Ok(0) => return Err(ErrorKind::ConnectionAborted.into()),
            // The next request is there already; it waits.
            Ok(_) => thread::sleep(left),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

fn number(order: &str, name: &str) -> Option<u64> {
    let field = order
        .split_whitespace()
        .find_map(|field| field.strip_prefix(name))?;
    field.strip_prefix('=')?.parse().ok()
}

fn answer(
    id: &str,
    version: &str,
    runs: &Runs,
    taken: u64,
    request: &Message,
    stream: &mut TcpStream,
) -> Result<()> {
    let request_id = request.header("request-id").unwrap_or_default().to_string();
    let echo = format!("Request-Id: {request_id}\r\n");
    if request
        .header("expect-instance")
        .is_some_and(|expected| expected != id)
    {
        let headers = format!("{echo}Instance-Id: {id}\r\nNot-Executed: 1\r\n");
        return net::respond(stream, 421, &headers, b"");
    }
    if taken >= SLOTS {
        return net::respond(stream, 503, &format!("{echo}Not-Executed: 1\r\n"), b"");
    }
    let body = String::from_utf8_lossy(&request.body).into_owned();
    runs.add(Run {
        server: id.to_string(),
        request_id: request_id.clone(),
        at: Instant::now(),
    });
    let headers = format!(
        "{echo}Server-Signature: {id}.{request_id}\r\nServer-Load: {},0,{SLOTS}\r\n",
        taken + 1
    );
    let order = body
        .lines()
        .rev()
        .find(|line| line.contains('='))
        .unwrap_or_default();
    let Some(events) = number(order, "events") else {
        work(
            stream,
            Duration::from_millis(number(order, "work").unwrap_or(10)),
        )?;
        return net::respond(stream, 200, &headers, format!("done by {id}").as_bytes());
    };
    let gap = Duration::from_millis(number(order, "gap").unwrap_or(20));
    let last_id = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    work(
        stream,
        number(order, "first").map_or(gap, Duration::from_millis),
    )?;
    std::io::Write::write_all(stream, head.as_bytes())?;
    for event in last_id + 1..=events {
        if event > last_id + 1 {
            work(stream, gap)?;
        }
        let data = format!("id: {event}\ndata: {version} {request_id}-{event}\n\n");
        net::write_chunk(stream, data.as_bytes())?;
    }
    net::write_chunk(stream, b"")
}

/// The row by which a server registers.
pub fn row(service: &str, address: SocketAddr, state: &str, born: u64, seq: u64) -> String {
    version_row(service, "v1", address, state, born, seq)
}

/// The row of a server with this version of its software.
pub fn version_row(
    service: &str,
    version: &str,
    address: SocketAddr,
    state: &str,
    born: u64,
    seq: u64,
) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"{version}\",\
         \"slots\":{SLOTS},\"state\":\"{state}\",\"coldRemainingMs\":0,\"born\":{born},\"seq\":{seq}}}"
    )
}
