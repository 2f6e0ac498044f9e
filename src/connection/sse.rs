//! Server-sent events: writing them, and reading them from chunks that may split anywhere.

use bytes::{Buf, Bytes, BytesMut};
use serde::Serialize;

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Empty where the stream names no event.
    pub name: String,
    /// The lines of data, joined by line feeds.
    pub data: String,
}

/// Writes one event with a JSON body.
pub fn encode_event(name: &str, value: &impl Serialize) -> Bytes {
    let mut event = Vec::new();
    append_event(&mut event, name, value);
    Bytes::from(event)
}

/// Appends one event with a JSON body.
pub fn append_event(events: &mut Vec<u8>, name: &str, value: &impl Serialize) {
    for part in ["event: ", name, "\ndata: "] {
        events.extend_from_slice(part.as_bytes());
    }
    let start = events.len();
    if let Err(error) = serde_json::to_writer(&mut *events, value) {
        log::error!("an event could not be encoded: {error}");
        events.truncate(start);
        events.extend_from_slice(b"{}");
    }
    events.extend_from_slice(b"\n\n");
}

/// Why a stream of events cannot be read.
#[derive(Debug, PartialEq, Eq)]
pub enum ParseError {
    /// An event is longer than the limit.
    TooLong,
    /// An event is not UTF-8.
    NotUtf8,
}

impl std::fmt::Display for ParseError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            ParseError::TooLong => "an event of the stream is longer than 1 MiB",
            ParseError::NotUtf8 => "an event of the stream is not UTF-8",
        })
    }
}

impl std::error::Error for ParseError {}

/// The result of reading events.
pub type Result<T> = std::result::Result<T, ParseError>;

const MAX_EVENT_BYTES: usize = 1 << 20;

/// Reads events from chunks.
#[derive(Default)]
pub struct Parser {
    /// Holds the bytes after the last complete line.
    buffer: BytesMut,
    name: String,
    data: String,
    has_data: bool,
}

impl Parser {
    /// Takes a chunk and returns the events that it completes.
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
            // Comments and fields that this program does not use.
            _ => {}
        }
        None
    }
}

/// One event of a stream with the bytes that it was read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawEvent {
    /// The bytes of the event, up to and including its empty line.
    pub raw: Bytes,
    /// The number of the event, where the stream numbers its events.
    pub id: Option<u64>,
    /// The lines of data, joined by line feeds.
    pub data: Vec<u8>,
}

/// Splits a stream into whole events without changing their bytes.
#[derive(Default)]
pub struct EventSplitter {
    /// Holds the bytes after the last complete event.
    buffer: BytesMut,
}

impl EventSplitter {
    /// Takes a chunk and returns the events that it completes.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Vec<RawEvent>> {
        if self.buffer.len() + chunk.len() > MAX_EVENT_BYTES {
            return Err(ParseError::TooLong);
        }
        self.buffer.extend_from_slice(chunk);
        let mut events = Vec::new();
        while let Some(length) = event_length(&self.buffer) {
            let raw = self.buffer.split_to(length).freeze();
            events.push(parse_raw_event(raw));
        }
        Ok(events)
    }

    /// Whether the stream stands between two events.
    pub fn is_at_event_boundary(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// The length of the first event including the empty line that ends it.
fn event_length(buffer: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (position, byte) in buffer.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buffer[line_start..position];
        if line.is_empty() || line == b"\r" {
            return Some(position + 1);
        }
        line_start = position + 1;
    }
    None
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
