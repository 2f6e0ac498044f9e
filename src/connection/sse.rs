//! Server-sent events: encoding, and incremental parsing of chunks that may be split at any byte.
//!
//! [`Parser`] decodes the events; [`EventSplitter`] preserves their bytes for forwarding.

use bytes::{Buf, Bytes, BytesMut};
use serde::Serialize;

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event name; empty if the event has none.
    pub name: String,
    /// The data lines, joined by line feeds.
    pub data: String,
}

/// Encodes an event with JSON data; see [`append_event`] for a value that cannot be encoded.
pub fn encode_event(name: &str, value: &impl Serialize) -> Bytes {
    let mut event = Vec::new();
    append_event(&mut event, name, value);
    Bytes::from(event)
}

/// Appends an event with JSON data; the data is `{}` if `value` cannot be encoded.
pub fn append_event(events: &mut Vec<u8>, name: &str, value: &impl Serialize) {
    for part in ["event: ", name, "\ndata: "] {
        events.extend_from_slice(part.as_bytes());
    }
    let start = events.len();
    if let Err(error) = serde_json::to_writer(&mut *events, value) {
        log::error!("could not encode an event: {error}");
        events.truncate(start);
        events.extend_from_slice(b"{}");
    }
    events.extend_from_slice(b"\n\n");
}

/// Why a stream of events cannot be parsed.
#[derive(Debug, PartialEq, Eq)]
pub enum ParseError {
    /// An event exceeds 1 MiB.
    TooLong,
    /// An event is not valid UTF-8.
    NotUtf8,
}

impl std::fmt::Display for ParseError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            ParseError::TooLong => "an event in the stream exceeds 1 MiB",
            ParseError::NotUtf8 => "an event in the stream is not valid UTF-8",
        })
    }
}

impl std::error::Error for ParseError {}

/// The result of parsing events.
pub type Result<T> = std::result::Result<T, ParseError>;

const MAX_EVENT_BYTES: usize = 1 << 20;

/// Parses events from the chunks of a stream.
#[derive(Default)]
pub struct Parser {
    /// Bytes after the last complete line.
    buffer: BytesMut,
    name: String,
    data: String,
    has_data: bool,
}

impl Parser {
    /// Adds a chunk and returns the events that it completes.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<Event>> {
        if self.buffer.len() + self.data.len() + chunk.len() > MAX_EVENT_BYTES {
            return Err(ParseError::TooLong);
        }
        let mut buffer = std::mem::take(&mut self.buffer);
        buffer.extend_from_slice(chunk);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = buffer[start..].iter().position(|byte| *byte == b'\n') {
            let line = &buffer[start..start + length];
            let line = std::str::from_utf8(line).map_err(|_| ParseError::NotUtf8)?;
            events.extend(self.process_line(line.strip_suffix('\r').unwrap_or(line)));
            start += length + 1;
        }
        buffer.advance(start);
        self.buffer = buffer;
        Ok(events)
    }

    fn process_line(&mut self, line: &str) -> Option<Event> {
        if line.is_empty() {
            let name = std::mem::take(&mut self.name);
            let data = std::mem::take(&mut self.data);
            let is_complete = std::mem::take(&mut self.has_data);
            return is_complete.then_some(Event { name, data });
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.name = value.to_string(),
            "data" => {
                if self.has_data {
                    self.data.push('\n');
                }
                self.data.push_str(value);
                self.has_data = true;
            }
            // Ignores comments and unused fields.
            _ => {}
        }
        None
    }
}

/// An event with its original bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawEvent {
    /// The bytes of the event, including the empty line that ends it.
    pub raw: Bytes,
    /// The event id; `None` if the event has none or it is not a number.
    pub id: Option<u64>,
    /// The data lines, joined by line feeds.
    pub data: Vec<u8>,
}

/// Splits a stream into complete events and preserves their bytes.
#[derive(Default)]
pub struct EventSplitter {
    /// Bytes after the last complete event.
    buffer: BytesMut,
    /// Where the first line begins that has not been seen completely. A long event that arrives in
    /// small chunks would otherwise be searched from its beginning with each of them.
    line_start: usize,
}

impl EventSplitter {
    /// Adds a chunk and returns the events that it completes.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<RawEvent>> {
        if self.buffer.len() + chunk.len() > MAX_EVENT_BYTES {
            return Err(ParseError::TooLong);
        }
        self.buffer.extend_from_slice(chunk);
        let mut events = Vec::new();
        while let Some(length) = self.event_length() {
            let raw = self.buffer.split_to(length).freeze();
            self.line_start = 0;
            events.push(parse_raw_event(raw));
        }
        Ok(events)
    }

    /// The length of the first event, including the empty line that ends it; `None` if incomplete.
    fn event_length(&mut self) -> Option<usize> {
        loop {
            let rest = &self.buffer[self.line_start..];
            let line_length = rest.iter().position(|byte| *byte == b'\n')?;
            let is_empty = matches!(&rest[..line_length], b"" | b"\r");
            self.line_start += line_length + 1;
            if is_empty {
                return Some(self.line_start);
            }
        }
    }

    /// Whether no incomplete event is buffered.
    pub fn is_at_event_boundary(&self) -> bool {
        self.buffer.is_empty()
    }
}

fn parse_raw_event(raw: Bytes) -> RawEvent {
    let mut id = None;
    let mut data: Option<Vec<u8>> = None;
    for line in raw.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            continue;
        };
        let value = &line[colon + 1..];
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match &line[..colon] {
            b"id" => {
                id = std::str::from_utf8(value)
                    .ok()
                    .and_then(|id| id.trim().parse().ok())
            }
            b"data" => match &mut data {
                Some(data) => {
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
                None => data = Some(value.to_vec()),
            },
            _ => {}
        }
    }
    let data = data.unwrap_or_default();
    RawEvent { raw, id, data }
}
