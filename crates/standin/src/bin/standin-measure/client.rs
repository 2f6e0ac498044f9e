//! A blocking client that keeps its connection, and times the tokens of a stream.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use sapphireford_standin::harness::TEAM_ONE_KEY;
use serde_json::Value;

const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// End of a chunked body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// Marks a token, in the stream of an entry or of an engine.
const TOKEN_MARKS: [&[u8]; 2] = [b"event: token", b"\"content\":"];

/// The times of one answer.
pub struct Timed {
    /// From the request to the first token; the whole time if there is none.
    pub first: Duration,
    /// From the request to the end of the answer.
    pub whole: Duration,
    /// Tokens in the answer.
    pub tokens: u64,
}

/// A connection to an entry or an engine.
pub struct Connection {
    address: SocketAddr,
    stream: TcpStream,
}

impl Connection {
    /// Connects to a server.
    pub fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Self { address, stream })
    }

    /// Sends a request of `team-one` and reads the whole answer, which must have the status 200.
    pub fn post(&mut self, path: &str, body: &Value) -> Result<Timed> {
        let body = body.to_string();
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: {}\r\nauthorization: Bearer {TEAM_ONE_KEY}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            self.address,
            body.len()
        );
        let sent = Instant::now();
        self.stream.write_all(request.as_bytes())?;
        let mut answer = Vec::new();
        let mut first = None;
        let mut part = [0; 16 << 10];
        while !is_complete(&answer) {
            let length = self.stream.read(&mut part)?;
            if length == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            answer.extend_from_slice(&part[..length]);
            if first.is_none() && count_tokens(&answer) > 0 {
                first = Some(sent.elapsed());
            }
        }
        let whole = sent.elapsed();
        if !answer.starts_with(b"HTTP/1.1 200") {
            return Err(Error::other(String::from_utf8_lossy(&answer).into_owned()));
        }
        Ok(Timed {
            first: first.unwrap_or(whole),
            whole,
            tokens: count_tokens(&answer),
        })
    }
}

fn is_complete(answer: &[u8]) -> bool {
    let Some(head) = find(answer, b"\r\n\r\n") else {
        return false;
    };
    let text = String::from_utf8_lossy(&answer[..head]).to_ascii_lowercase();
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    match length.and_then(|length| length.trim().parse::<usize>().ok()) {
        Some(length) => answer.len() >= head + 4 + length,
        None => answer.ends_with(LAST_CHUNK),
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

fn count_tokens(answer: &[u8]) -> u64 {
    let count = |mark: &[u8]| {
        let windows = answer.windows(mark.len());
        windows.filter(|window| *window == mark).count() as u64
    };
    TOKEN_MARKS.iter().map(|mark| count(mark)).sum()
}
