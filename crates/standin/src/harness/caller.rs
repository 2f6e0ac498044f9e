//! A caller of one team that sends each request through an entry of its choice.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Answer, EventStream, HttpRequest, Site, TEAM_ONE_KEY};
use crate::engine::text::{Message, expected_text};

/// Pause before a request without a final answer is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Kinds after which the same request id may still get its answer.
const RETRYABLE_KINDS: &[&str] = &[
    "holder_lost",
    "leaving",
    "no_backend_server",
    "not_durable",
    "not_ready",
    "overloaded",
    "platform_unavailable",
    "queue_timeout",
    "retry_budget_exhausted",
    "sequence_gap",
    "slot_unavailable",
];

/// What a caller got for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The body of the answer; for a turn the data of `done` with the whole `text`.
    Done(Value),
    /// An error, as a status or as the last event of a stream.
    Error {
        /// The kind of the error.
        kind: String,
        /// `no`, `yes` or `unknown`.
        ran: String,
    },
    /// The connection failed or broke.
    ConnectionFailed(String),
}

impl Reply {
    /// The body of the answer.
    ///
    /// # Panics
    ///
    /// Panics if the request failed.
    pub fn expect_done(self) -> Value {
        match self {
            Reply::Done(body) => body,
            other => panic!("the request failed: {other:?}"),
        }
    }

    /// The kind of the error; empty if there was none.
    pub fn kind(&self) -> &str {
        match self {
            Reply::Error { kind, .. } => kind,
            _ => "",
        }
    }

    /// What the error says about whether the request ran; empty if there was none.
    pub fn ran(&self) -> &str {
        match self {
            Reply::Error { ran, .. } => ran,
            _ => "",
        }
    }

    /// Whether repeating the request id cannot change the answer.
    pub fn is_final(&self) -> bool {
        match self {
            Reply::Done(_) => true,
            Reply::Error { kind, .. } => !RETRYABLE_KINDS.contains(&kind.as_str()),
            Reply::ConnectionFailed(_) => false,
        }
    }
}

/// A request about a conversation.
#[derive(Clone, Debug)]
pub struct Call {
    path: String,
    body: Value,
}

impl Call {
    /// Starts a run.
    pub fn start_run(conversation: &str, request_id: &str, program: &str) -> Self {
        let body = json!({ "request_id": request_id, "program": program });
        Self {
            path: format!("{conversation}/runs"),
            body,
        }
    }

    /// A turn of the first run.
    pub fn turn(conversation: &str, request_id: &str, tokens: u64) -> Self {
        let input = format!("{conversation}:{request_id} asks");
        let body = json!({
            "request_id": request_id, "input": input, "max_output_tokens": tokens,
        });
        Self {
            path: format!("{conversation}/runs/1/turns"),
            body,
        }
    }

    /// A tool call of the first run.
    pub fn tool_call(conversation: &str, request_id: &str, tool: &str) -> Self {
        let arguments = json!({ "for": format!("{conversation}:{request_id}") });
        let body = json!({ "request_id": request_id, "tool": tool, "arguments": arguments });
        Self {
            path: format!("{conversation}/runs/1/tool-calls"),
            body,
        }
    }

    /// Limits what a run may spend.
    pub fn budget_micros(mut self, budget_micros: u64) -> Self {
        self.body["budget_micros"] = json!(budget_micros);
        self
    }

    /// The most that a tool call is charged.
    pub fn charge_micros(mut self, charge_micros: u64) -> Self {
        self.body["arguments"]["charge_micros"] = json!(charge_micros);
        self
    }

    /// States the number of the call in its run.
    pub fn sequence(mut self, sequence: u64) -> Self {
        self.body["sequence"] = json!(sequence);
        self
    }
}

/// A caller of one team.
#[derive(Clone, Debug)]
pub struct Caller {
    key: String,
    addresses: Vec<SocketAddr>,
    timeout: Duration,
}

impl Caller {
    /// A caller of `team-one`.
    pub fn new(site: &Site) -> Self {
        Self::with_key(site, TEAM_ONE_KEY)
    }

    /// A caller of the team with this key.
    pub fn with_key(site: &Site, key: &str) -> Self {
        let entries = 0..site.entry_count();
        Self {
            key: key.to_string(),
            addresses: entries.map(|entry| site.entry_address(entry)).collect(),
            timeout: Duration::from_secs(30),
        }
    }

    /// Sets the longest time to wait for each part of an answer.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a request to an entry once.
    pub fn send(&self, entry: usize, call: &Call) -> Reply {
        match self.open(entry, call) {
            Ok(stream) => read_reply(stream),
            Err(error) => Reply::ConnectionFailed(error.to_string()),
        }
    }

    /// Sends a request to an entry and returns the answer as it begins.
    pub fn open(&self, entry: usize, call: &Call) -> std::io::Result<EventStream> {
        HttpRequest::post(&format!("/v1/conversations/{}", call.path))
            .bearer(&self.key)
            .timeout(self.timeout)
            .json(&call.body)
            .open(self.addresses[entry % self.addresses.len()])
    }

    /// Repeats a request through one entry after the other, from `entry` on, until its answer is
    /// final. Returns the last answer if that takes longer than `limit`.
    pub fn send_until_final(&self, entry: usize, call: &Call, timeout: Duration) -> Reply {
        let deadline = Instant::now() + timeout;
        let mut entry = entry;
        loop {
            let reply = self.send(entry, call);
            if reply.is_final() || Instant::now() >= deadline {
                return reply;
            }
            std::thread::sleep(RETRY_DELAY);
            entry += 1;
        }
    }

    /// Reads something of a conversation from an entry; `None` without a good answer.
    pub fn get(&self, entry: usize, path: &str) -> Option<Value> {
        let request = HttpRequest::get(&format!("/v1/conversations/{path}"));
        let request = request.bearer(&self.key).timeout(self.timeout);
        let address = self.addresses[entry % self.addresses.len()];
        let answer = request.send(address).ok()?;
        (answer.status == 200).then(|| answer.json())
    }

    /// The messages of a conversation as an entry gives them; `None` without a good answer.
    pub fn history(&self, entry: usize, conversation: &str) -> Option<Vec<Message>> {
        let answer = self.get(entry, &format!("{conversation}/history"))?;
        let messages = answer["messages"].as_array()?.iter();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_string();
        let messages = messages.map(|message| Message {
            role: text(&message["role"]),
            content: text(&message["content"]),
        });
        Some(messages.collect())
    }
}

/// Checks that each answer in a history is the one that an engine gives to all messages before it,
/// and that every message after the system prompt names the conversation. Returns the request ids of
/// its turns and tool calls in the order of the history.
pub fn check_history(conversation: &str, messages: &[Message]) -> Result<Vec<String>, String> {
    let prefix = format!("{conversation}:");
    let mut request_ids = Vec::new();
    for (index, message) in messages.iter().enumerate() {
        let content = &message.content;
        match message.role.as_str() {
            "system" if index == 0 => {}
            "assistant" => {
                let words = content.split_whitespace().count() as u64;
                let expected = expected_text(&messages[..index], words);
                if words == 0 || *content != expected {
                    return Err(format!("message {index} answers other messages: {content}"));
                }
            }
            "user" | "tool" => {
                let rest = content.split_once(&prefix).map(|(_, rest)| rest);
                let rest = rest.ok_or(format!("message {index} is a stranger: {content}"))?;
                let end = rest.find([' ', '"']).unwrap_or(rest.len());
                request_ids.push(rest[..end].to_string());
            }
            role => return Err(format!("message {index} has the role {role}")),
        }
    }
    Ok(request_ids)
}

fn read_reply(mut stream: EventStream) -> Reply {
    let is_stream = stream
        .header("content-type")
        .is_some_and(|kind| kind.starts_with("text/event-stream"));
    if !is_stream {
        return match stream.into_answer() {
            Ok(answer) => single_reply(&answer),
            Err(error) => Reply::ConnectionFailed(error.to_string()),
        };
    }
    let mut text = String::new();
    loop {
        let event = match stream.next_event() {
            Ok(Some(event)) => event,
            Ok(None) => return Reply::ConnectionFailed("the stream has no last event".to_string()),
            Err(error) => return Reply::ConnectionFailed(error.to_string()),
        };
        let Ok(mut data) = serde_json::from_str::<Value>(&event.data) else {
            return Reply::ConnectionFailed(format!("an event is not JSON: {}", event.data));
        };
        match event.name.as_str() {
            "token" => text.push_str(data["text"].as_str().unwrap_or_default()),
            "done" => {
                data["text"] = json!(text);
                return Reply::Done(data);
            }
            "error" => return error_reply(&data),
            _ => {}
        }
    }
}

fn single_reply(answer: &Answer) -> Reply {
    let body = answer.json();
    if answer.status == 200 {
        Reply::Done(body)
    } else {
        error_reply(&body)
    }
}

fn error_reply(body: &Value) -> Reply {
    let text = |field: &str| {
        body["error"][field]
            .as_str()
            .unwrap_or_default()
            .to_string()
    };
    Reply::Error {
        kind: text("kind"),
        ran: text("ran"),
    }
}
