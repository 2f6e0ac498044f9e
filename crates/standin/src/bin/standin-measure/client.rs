//! A blocking client with a persistent connection that times the tokens of a stream.
//!
//! Tokens are found by byte patterns, without parsing the events of the stream.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use sapphireford_standin::harness::TEAM_ONE_KEY;
use serde_json::Value;

const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Ends a chunked body without trailers.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// Byte patterns that occur once for each token: in streams of entries, and in those of engines.
const TOKEN_PATTERNS: [&[u8]; 2] = [b"event: token", b"\"content\":"];

/// An answer and its times.
pub struct TimedAnswer {
    /// Time from the request to the first token; equal to `total` if there is none.
    pub first_token: Duration,
    /// Time from the request to the end of the answer.
    pub total: Duration,
    /// Number of tokens in the answer.
    pub tokens: u64,
    /// Head and body as received; printed when an assertion fails.
    pub answer: Vec<u8>,
}

impl TimedAnswer {
    /// Asserts that the answer is complete.
    ///
    /// # Panics
    ///
    /// Panics if the answer does not have exactly `tokens` tokens.
    pub fn assert_token_count(&self, tokens: u32) {
        let text = String::from_utf8_lossy(&self.answer);
        assert_eq!(self.tokens, u64::from(tokens), "{text}");
    }
}

/// A persistent connection to an entry or an engine.
pub struct Connection {
    address: SocketAddr,
    stream: TcpStream,
}

impl Connection {
    /// Connects without delay of small writes (`TCP_NODELAY`) and with a read timeout of 60 s.
    pub fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Self { address, stream })
    }

    /// Sends a request of `team-one` and reads the whole answer. A status other than 200 is an
    /// error.
    pub fn post(&mut self, path: &str, body: &Value) -> Result<TimedAnswer> {
        let body = body.to_string();
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: {}\r\nauthorization: Bearer {TEAM_ONE_KEY}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            self.address,
            body.len()
        );
        let sent_at = Instant::now();
        self.stream.write_all(request.as_bytes())?;
        let mut answer = Vec::new();
        let mut first_token = None;
        let mut buf = [0; 16 << 10];
        while !is_complete(&answer) {
            let length = self.stream.read(&mut buf)?;
            if length == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
            answer.extend_from_slice(&buf[..length]);
            if first_token.is_none() && count_tokens(&answer) > 0 {
                first_token = Some(sent_at.elapsed());
            }
        }
        let total = sent_at.elapsed();
        if !answer.starts_with(b"HTTP/1.1 200") {
            return Err(Error::other(String::from_utf8_lossy(&answer).into_owned()));
        }
        Ok(TimedAnswer {
            first_token: first_token.unwrap_or(total),
            total,
            tokens: count_tokens(&join_chunks(&answer)),
            answer,
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

/// Decodes a chunked body. Needed before tokens are counted, because an entry that forwards a
/// stream can split it within a pattern.
fn join_chunks(answer: &[u8]) -> Vec<u8> {
    let mut body = Vec::new();
    let mut rest = find(answer, b"\r\n\r\n").map_or(answer, |head| &answer[head + 4..]);
    while let Some(line) = find(rest, b"\r\n") {
        let size = std::str::from_utf8(&rest[..line]).ok();
        let size = size.and_then(|size| usize::from_str_radix(size, 16).ok());
        let Some(size) = size.filter(|size| *size > 0 && line + 4 + size <= rest.len()) else {
            break;
        };
        body.extend_from_slice(&rest[line + 2..line + 2 + size]);
        rest = &rest[line + 4 + size..];
    }
    body
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn count_tokens(answer: &[u8]) -> u64 {
    let count = |pattern: &[u8]| {
        let windows = answer.windows(pattern.len());
        windows.filter(|window| *window == pattern).count() as u64
    };
    TOKEN_PATTERNS.iter().map(|pattern| count(pattern)).sum()
}
