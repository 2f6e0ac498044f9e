//! A blocking HTTP/1.1 client that opens a connection for each request.
//!
//! It shares no HTTP code with the library, because a fault in shared code would be on both sides
//! of a test and go unnoticed. Only the parser of event streams is the library's.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use sapphireford::connection::sse::{Event, Parser};
use serde_json::Value;

const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A request, which can be sent several times.
pub struct HttpRequest {
    method: String,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    timeout: Duration,
}

impl HttpRequest {
    /// Creates a request without headers and body, and with a timeout of 30 s.
    pub fn new(method: &str, path: &str) -> Self {
        Self {
            method: method.to_string(),
            path: path.to_string(),
            headers: Vec::new(),
            body: Vec::new(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Creates a GET request.
    pub fn get(path: &str) -> Self {
        Self::new("GET", path)
    }

    /// Creates a POST request.
    pub fn post(path: &str) -> Self {
        Self::new("POST", path)
    }

    /// Adds a header; does not replace one of the same name.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_string(), value.to_string()));
        self
    }

    /// Authenticates with the key of a caller or an operator.
    pub fn bearer(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sets a JSON body and its content type.
    pub fn json(self, body: &Value) -> Self {
        self.header("content-type", "application/json")
            .body(body.to_string())
    }

    /// Sets the body; `content-length` is sent in any case.
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the timeout of the connect and of each read and write.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends the request and reads the whole answer. A truncated answer is an error.
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

    /// Sends the request and returns after the head of the answer, whose body is read as events.
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
    /// HTTP status code.
    pub status: u16,
    /// In the order received, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, without the framing of chunks.
    pub body: Vec<u8>,
}

impl Answer {
    /// The first value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// The body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    ///
    /// # Panics
    ///
    /// Panics if the body is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_else(|error| {
            panic!(
                "the body of the answer is not JSON ({error}): {}",
                self.text()
            )
        })
    }
}

/// An answer whose body is read while it arrives. Dropping it closes the connection.
pub struct EventStream {
    incoming: IncomingAnswer,
    parser: Parser,
    events: std::vec::IntoIter<Event>,
}

impl EventStream {
    /// HTTP status code.
    pub fn status(&self) -> u16 {
        self.incoming.status
    }

    /// The first value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.incoming.headers, name)
    }

    /// Waits for the next event. `None` at the end of a complete stream; a truncated one is an
    /// error.
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

    /// Reads all events up to the end of the stream.
    pub fn remaining_events(&mut self) -> Result<Vec<Event>> {
        let mut events = Vec::new();
        while let Some(event) = self.next_event()? {
            events.push(event);
        }
        Ok(events)
    }

    /// Reads the body of an answer that is not a stream of events, such as an error.
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

/// How the end of the body is recognised, and what is left of it.
enum Framing {
    /// `content-length`; holds the number of bytes not yet read.
    Length(usize),
    /// `transfer-encoding: chunked`.
    Chunked,
    /// The body ends where the server closes the connection.
    UntilClose,
    /// The status allows no body, or the last chunk has been read.
    Complete,
}

/// An answer whose head has been read and whose body has not.
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
        let status = status.ok_or_else(|| invalid("invalid status line"))?;
        let mut headers = Vec::new();
        loop {
            let line = read_line(&mut reader)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line
                .split_once(':')
                .ok_or_else(|| invalid("header line without a colon"))?;
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

    /// Waits for the next bytes of the body; `None` at its end.
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

    /// Waits for data and returns at most `limit` bytes of it; empty if the connection was closed.
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
        // Skips the trailers, which end with an empty line.
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
    let reason = "connection closed before the answer was complete";
    Error::new(ErrorKind::UnexpectedEof, reason)
}

fn invalid(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> Error {
    Error::new(ErrorKind::InvalidData, error)
}
