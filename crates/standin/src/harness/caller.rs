//! Test client of the caller API.
//!
//! Unlike the client of the library, it sends each request to the entry that the test chooses,
//! returns errors as a [`Reply`], and repeats a request only in [`Caller::send_until_final`].

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::{Answer, EventStream, HttpRequest, Site, TEAM_ONE_KEY};
use crate::engine::text::{Message, expected_text};

/// Delay before a request without a final answer is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Error kinds after which a repeated request id can still succeed.
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

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// The body of the answer. For a turn, the data of the `done` event, with the text of all
    /// `token` events joined in `text`.
    Done(Value),
    /// The entry reported an error, as an HTTP status or as the last event of a stream.
    Error {
        /// The error kind, such as `queue_timeout`.
        kind: String,
        /// Whether the request was executed: `no`, `yes` or `unknown`.
        ran: String,
    },
    /// There was no complete, valid answer, for instance because the connection broke; holds the
    /// cause.
    NoAnswer(String),
}

impl Reply {
    /// Unwraps the body of a successful answer.
    ///
    /// # Panics
    ///
    /// Panics unless the reply is [`Reply::Done`].
    pub fn expect_done(self) -> Value {
        match self {
            Reply::Done(body) => body,
            other => panic!("the request failed: {other:?}"),
        }
    }

    /// The error kind; empty unless the reply is [`Reply::Error`].
    pub fn kind(&self) -> &str {
        match self {
            Reply::Error { kind, .. } => kind,
            _ => "",
        }
    }

    /// Whether the failed request was executed: `no`, `yes` or `unknown`. Empty unless the reply is
    /// [`Reply::Error`].
    pub fn ran(&self) -> &str {
        match self {
            Reply::Error { ran, .. } => ran,
            _ => "",
        }
    }

    /// Whether a repeated request id would get the same outcome.
    pub fn is_final(&self) -> bool {
        match self {
            Reply::Done(_) => true,
            Reply::Error { kind, .. } => !RETRYABLE_KINDS.contains(&kind.as_str()),
            Reply::NoAnswer(_) => false,
        }
    }
}

/// A request that changes a conversation.
#[derive(Clone, Debug)]
pub struct Call {
    path: String,
    body: Value,
}

impl Call {
    /// Starts a run of `program`.
    pub fn start_run(conversation: &str, request_id: &str, program: &str) -> Self {
        let body = json!({ "request_id": request_id, "program": program });
        Self {
            path: format!("{conversation}/runs"),
            body,
        }
    }

    /// A turn of the first run that generates at most `tokens` tokens. Its input starts with
    /// `CONVERSATION:REQUEST_ID`, which [`check_history`] reads.
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

    /// A tool call of the first run, with `CONVERSATION:REQUEST_ID` in its arguments.
    pub fn tool_call(conversation: &str, request_id: &str, tool: &str) -> Self {
        let arguments = json!({ "for": format!("{conversation}:{request_id}") });
        let body = json!({ "request_id": request_id, "tool": tool, "arguments": arguments });
        Self {
            path: format!("{conversation}/runs/1/tool-calls"),
            body,
        }
    }

    /// Sets the budget of a run.
    pub fn budget_micros(mut self, budget_micros: u64) -> Self {
        self.body["budget_micros"] = json!(budget_micros);
        self
    }

    /// Sets the `charge_micros` argument of a tool call, from which the stand-in tool takes its
    /// charge.
    pub fn charge_micros(mut self, charge_micros: u64) -> Self {
        self.body["arguments"]["charge_micros"] = json!(charge_micros);
        self
    }

    /// Sets the sequence number of the call within its run.
    pub fn sequence(mut self, sequence: u64) -> Self {
        self.body["sequence"] = json!(sequence);
        self
    }
}

/// A caller with the key of one team.
#[derive(Clone, Debug)]
pub struct Caller {
    key: String,
    addresses: Vec<SocketAddr>,
    timeout: Duration,
}

impl Caller {
    /// Creates a caller of `team-one`.
    pub fn new(site: &Site) -> Self {
        Self::with_key(site, TEAM_ONE_KEY)
    }

    /// Creates a caller with the key of another team.
    pub fn with_key(site: &Site, key: &str) -> Self {
        let entries = 0..site.entry_count();
        Self {
            key: key.to_string(),
            addresses: entries.map(|entry| site.entry_address(entry)).collect(),
            timeout: Duration::from_secs(30),
        }
    }

    /// Sets the timeout for connecting and for each read of an answer; 30 s unless set.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Sends a request once and reads the whole answer. `entry` is an index modulo the number of
    /// entries, here and in the other methods.
    pub fn send(&self, entry: usize, call: &Call) -> Reply {
        match self.open(entry, call) {
            Ok(stream) => read_reply(stream),
            Err(error) => Reply::NoAnswer(error.to_string()),
        }
    }

    /// Sends a request once and returns as soon as the head of the answer has arrived.
    pub fn open(&self, entry: usize, call: &Call) -> std::io::Result<EventStream> {
        HttpRequest::post(&format!("/v1/conversations/{}", call.path))
            .bearer(&self.key)
            .timeout(self.timeout)
            .json(&call.body)
            .open(self.addresses[entry % self.addresses.len()])
    }

    /// Repeats a request until its reply is final, moving to the next entry after each attempt.
    /// Returns the last reply, final or not, once `timeout` has passed.
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

    /// Sends a GET request for `path`, which starts with the conversation id. `None` if it fails or
    /// its status is not 200.
    pub fn get(&self, entry: usize, path: &str) -> Option<Value> {
        let request = HttpRequest::get(&format!("/v1/conversations/{path}"));
        let request = request.bearer(&self.key).timeout(self.timeout);
        let address = self.addresses[entry % self.addresses.len()];
        let answer = request.send(address).ok()?;
        (answer.status == 200).then(|| answer.json())
    }

    /// Reads the messages of a conversation; `None` if the request fails.
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

/// Verifies a history and returns the request ids of its turns and tool calls in order.
///
/// Each assistant message must be the text that the stand-in engine generates for all messages
/// before it, and each user and tool message must contain `CONVERSATION:REQUEST_ID`, as [`Call`]
/// writes it. An engine that got another prompt and a message of another conversation are both
/// found this way.
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
                    return Err(format!(
                        "message {index} is not the answer to the messages before it: {content}"
                    ));
                }
            }
            "user" | "tool" => {
                let rest = content.split_once(&prefix).map(|(_, rest)| rest);
                let rest = rest.ok_or(format!(
                    "message {index} does not name the conversation: {content}"
                ))?;
                let end = rest.find([' ', '"']).unwrap_or(rest.len());
                request_ids.push(rest[..end].to_string());
            }
            role => return Err(format!("message {index} has the unexpected role {role}")),
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
            Err(error) => Reply::NoAnswer(error.to_string()),
        };
    }
    let mut text = String::new();
    loop {
        let event = match stream.next_event() {
            Ok(Some(event)) => event,
            Ok(None) => return Reply::NoAnswer("the stream has no final event".to_string()),
            Err(error) => return Reply::NoAnswer(error.to_string()),
        };
        let Ok(mut data) = serde_json::from_str::<Value>(&event.data) else {
            return Reply::NoAnswer(format!("an event is not JSON: {}", event.data));
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
