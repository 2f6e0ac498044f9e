//! A server that answers with bytes which a test chooses, also ones that are not HTTP.
#![allow(dead_code)]

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// Longest write to a connection whose other end does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// A request that the server has received.
pub struct RawRequest {
    pub path: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
}

impl RawRequest {
    /// The value of a header; empty if the request does not have it.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map_or("", |(_, value)| value)
    }

    /// The head of a response with status 200 that a gateway accepts.
    pub fn accepted_head(&self) -> String {
        let id = self.header("request-id");
        format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-signature: s.{id}\r\n")
    }
}

#[derive(Default)]
struct Counters {
    accepted: AtomicUsize,
    closed: AtomicUsize,
    requests: AtomicUsize,
}

/// A running server. Its threads end when their connections do.
pub struct RawServer {
    address: SocketAddr,
    counters: Arc<Counters>,
}

impl RawServer {
    /// Starts a server that calls `respond` for each request. A connection is closed when `respond`
    /// returns an error.
    pub fn start(
        respond: impl Fn(&mut TcpStream, &RawRequest) -> std::io::Result<()> + Send + Sync + 'static,
    ) -> Self {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), respond)
    }

    /// Like [`RawServer::start`], at this address.
    pub fn start_at(
        address: SocketAddr,
        respond: impl Fn(&mut TcpStream, &RawRequest) -> std::io::Result<()> + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let counters = Arc::new(Counters::default());
        let respond = Arc::new(respond);
        let server = Self {
            address,
            counters: counters.clone(),
        };
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (counters, respond) = (counters.clone(), respond.clone());
                counters.accepted.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    // The end of a connection is expected and counted.
                    let _ = serve(stream, &counters, &*respond);
                    counters.closed.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        server
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of requests received.
    pub fn requests(&self) -> usize {
        self.counters.requests.load(Ordering::SeqCst)
    }

    /// The number of connections accepted.
    pub fn accepted(&self) -> usize {
        self.counters.accepted.load(Ordering::SeqCst)
    }

    /// The number of connections that are still open.
    pub fn open_connections(&self) -> usize {
        self.accepted() - self.counters.closed.load(Ordering::SeqCst)
    }
}

fn serve(
    mut stream: TcpStream,
    counters: &Counters,
    respond: &dyn Fn(&mut TcpStream, &RawRequest) -> std::io::Result<()>,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        counters.requests.fetch_add(1, Ordering::SeqCst);
        respond(&mut stream, &request)?;
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<RawRequest>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let path = line.split(' ').nth(1).unwrap_or_default().to_string();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        headers.push((name.to_lowercase(), value.trim().to_string()));
    }
    let request = RawRequest { path, headers };
    let length = request.header("content-length").parse().unwrap_or(0);
    reader.take(length).read_to_end(&mut Vec::new())?;
    Ok(Some(request))
}

/// Writes `head` and then `piece` until the other end closes the connection.
pub fn write_endlessly(stream: &mut TcpStream, head: &str, piece: &[u8]) -> std::io::Result<()> {
    stream.write_all(head.as_bytes())?;
    loop {
        stream.write_all(piece)?;
    }
}
