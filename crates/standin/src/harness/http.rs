//! A blocking HTTP/1.1 client with one connection for each request.
//!
//! It shares no code with the client of the library, so that a test does not hide a fault of both.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use sapphireford::connection::sse::{Event, Parser};
use serde_json::Value;

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A request to be sent.
pub struct HttpRequest {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    timeout: Duration,
}

impl HttpRequest {
    /// A request of any method without a body.
    pub fn new(method: &str, path: &str) -> Self {
        Self {
            method: method.to_string(),
            path: path.to_string(),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// A GET request.
    pub fn get(path: &str) -> Self {
        Self::new("GET", path)
    }

    /// A POST request.
    pub fn post(path: &str) -> Self {
        Self::new("POST", path)
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_string(), value.to_string()));
        self
    }

    /// Adds the key of a caller or an operator.
    pub fn bearer(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sets a JSON body.
    pub fn json(self, body: &Value) -> Self {
        self.header("content-type", "application/json")
            .body(body.to_string())
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the longest time to connect, and to wait for each part of the answer.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends the request and reads the whole answer. An answer that breaks off is an error.
    pub fn send(&self, address: SocketAddr) -> Result<Answer> {
        let mut incoming = self.connect_and_send(address)?;
        let mut body = Vec::new();
        while let Some(bytes) = incoming.read()? {
            body.extend(bytes);
        }
        Ok(Answer {
            status: incoming.status,
            headers: incoming.headers,
            body,
        })
    }

    /// Sends the request and reads the head of an answer that is a stream of events.
    pub fn open(&self, address: SocketAddr) -> Result<EventStream> {
        Ok(EventStream {
            incoming: self.connect_and_send(address)?,
            parser: Parser::default(),
            events: Vec::new().into_iter(),
        })
    }

    fn connect_and_send(&self, address: SocketAddr) -> Result<IncomingAnswer> {
        let stream = TcpStream::connect_timeout(&address, self.timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(self.timeout))?;
        stream.set_write_timeout(Some(self.timeout))?;
        (&stream).write_all(&self.encode(address))?;
        IncomingAnswer::read_head(BufReader::new(stream))
    }

    fn encode(&self, address: SocketAddr) -> Vec<u8> {
        let mut head = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        if find_header(&self.headers, "host").is_none() {
            head.push_str(&format!("host: {address}\r\n"));
        }
        head.push_str("connection: close\r\n");
        head.push_str(&format!("content-length: {}\r\n", self.body.len()));
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        [head.as_bytes(), &self.body].concat()
    }
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    /// The decoded body.
    pub body: Vec<u8>,
}

impl Answer {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    ///
    /// # Panics
    ///
    /// Panics if the body is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("not JSON ({error}): {}", self.text()))
    }
}

/// An answer that is a stream of events. Dropping it closes the connection.
pub struct EventStream {
    incoming: IncomingAnswer,
    parser: Parser,
    events: std::vec::IntoIter<Event>,
}

impl EventStream {
    /// The status code.
    pub fn status(&self) -> u16 {
        self.incoming.status
    }

    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.incoming.headers, name)
    }

    /// The next event; `None` at the end of a complete stream, an error if the stream breaks off.
    pub fn next_event(&mut self) -> Result<Option<Event>> {
        loop {
            if let Some(event) = self.events.next() {
                return Ok(Some(event));
            }
            let Some(bytes) = self.incoming.read()? else {
                return Ok(None);
            };
            let events = self.parser.push(&bytes).map_err(invalid)?;
            self.events = events.into_iter();
        }
    }

    /// All further events up to the end of the stream.
    pub fn remaining_events(&mut self) -> Result<Vec<Event>> {
        let mut events = Vec::new();
        while let Some(event) = self.next_event()? {
            events.push(event);
        }
        Ok(events)
    }

    /// The rest of an answer that is not a stream of events, such as a refusal.
    pub fn into_answer(mut self) -> Result<Answer> {
        let mut body = Vec::new();
        while let Some(bytes) = self.incoming.read()? {
            body.extend(bytes);
        }
        Ok(Answer {
            status: self.incoming.status,
            headers: self.incoming.headers,
            body,
        })
    }
}

/// How the end of a body is found.
enum Framing {
    /// Bytes that are still to come.
    Length(usize),
    /// Chunks, each with its length.
    Chunked,
    /// The end of the connection.
    UntilClose,
    /// The body is complete.
    Complete,
}

/// An answer whose head was read.
struct IncomingAnswer {
    reader: BufReader<TcpStream>,
    status: u16,
    headers: Vec<(String, String)>,
    framing: Framing,
}

impl IncomingAnswer {
    fn read_head(mut reader: BufReader<TcpStream>) -> Result<Self> {
        let first = read_line(&mut reader)?;
        let status = first.split(' ').nth(1).and_then(|code| code.parse().ok());
        let status = status.ok_or_else(|| invalid("the status line is not valid"))?;
        let mut headers = Vec::new();
        loop {
            let line = read_line(&mut reader)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line
                .split_once(':')
                .ok_or_else(|| invalid("a header has no colon"))?;
            headers.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
        let framing = framing(status, &headers)?;
        Ok(Self {
            reader,
            status,
            headers,
            framing,
        })
    }

    /// The next part of the body, `None` at its end.
    fn read(&mut self) -> Result<Option<Vec<u8>>> {
        match self.framing {
            Framing::Complete | Framing::Length(0) => Ok(None),
            Framing::Length(remaining) => {
                let bytes = self.read_some(remaining)?;
                if bytes.is_empty() {
                    return Err(incomplete());
                }
                self.framing = Framing::Length(remaining - bytes.len());
                Ok(Some(bytes))
            }
            Framing::Chunked => self.read_chunk(),
            Framing::UntilClose => {
                let bytes = self.read_some(usize::MAX)?;
                Ok((!bytes.is_empty()).then_some(bytes))
            }
        }
    }

    /// Reads what is there, at least one byte and at most `limit`; nothing at the end.
    fn read_some(&mut self, limit: usize) -> Result<Vec<u8>> {
        let available = self.reader.fill_buf()?;
        let length = available.len().min(limit);
        let bytes = available[..length].to_vec();
        self.reader.consume(length);
        Ok(bytes)
    }

    fn read_chunk(&mut self) -> Result<Option<Vec<u8>>> {
        let line = read_line(&mut self.reader)?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(invalid)?;
        let mut bytes = vec![0; size];
        self.reader.read_exact(&mut bytes)?;
        if size > 0 {
            read_line(&mut self.reader)?;
            return Ok(Some(bytes));
        }
        // Trailers end with an empty line.
        while !read_line(&mut self.reader)?.is_empty() {}
        self.framing = Framing::Complete;
        Ok(None)
    }
}

fn framing(status: u16, headers: &[(String, String)]) -> Result<Framing> {
    if status == 204 || status == 304 {
        return Ok(Framing::Complete);
    }
    if find_header(headers, "transfer-encoding").is_some() {
        return Ok(Framing::Chunked);
    }
    match find_header(headers, "content-length") {
        Some(length) => length.parse().map(Framing::Length).map_err(invalid),
        None => Ok(Framing::UntilClose),
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut matching = headers.iter().filter(|(header, _)| header == name);
    matching.next().map(|(_, value)| value.as_str())
}

fn read_line(reader: &mut impl BufRead) -> Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    match line.strip_suffix('\n') {
        Some(text) => Ok(text.trim_end_matches('\r').to_string()),
        None => Err(incomplete()),
    }
}

fn incomplete() -> Error {
    let reason = "the connection ended before the answer was complete";
    Error::new(ErrorKind::UnexpectedEof, reason)
}

fn invalid(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Error {
    Error::new(ErrorKind::InvalidData, error)
}
