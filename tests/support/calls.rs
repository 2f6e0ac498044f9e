//! Sends calls of `team-one` to a site and computes the answers that they must get.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use sapphireford_standin::engine::text::{Message, expected_text};
use sapphireford_standin::harness::{Answer, EventStream, Site, SiteClient};
use serde_json::{Value, json};

/// Timeout of a wait for an expected condition; long enough for a machine under load.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts run 1 of a conversation.
pub fn start_run(site: SiteClient, entry: usize, conversation: &str) {
    let body = json!({ "request_id": "start", "program": "assistant" });
    let path = format!("{conversation}/runs");
    let answer = site.post(entry, &path, &body).expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
}

/// Returns the input of a turn. Its first word contains the conversation and the request id, so that
/// no two turns have the same input.
pub fn turn_input(conversation: &str, request_id: &str) -> String {
    format!("{conversation}-{request_id} please")
}

pub fn turn_body(conversation: &str, request_id: &str, tokens: u32) -> Value {
    let input = turn_input(conversation, request_id);
    json!({ "request_id": request_id, "input": input, "max_output_tokens": tokens })
}

/// Opens the stream of a turn of run 1.
pub fn open_turn(
    site: SiteClient,
    entry: usize,
    conversation: &str,
    request_id: &str,
    tokens: u32,
) -> std::io::Result<EventStream> {
    let path = format!("{conversation}/runs/1/turns");
    site.open(entry, &path, &turn_body(conversation, request_id, tokens))
}

/// Sends a turn of run 1 that must be refused, and returns the refusal.
pub fn send_refused_turn(
    site: SiteClient,
    entry: usize,
    conversation: &str,
    request_id: &str,
    tokens: u32,
) -> Answer {
    let stream = open_turn(site, entry, conversation, request_id, tokens).expect("an answer");
    assert_ne!(stream.status(), 200, "the turn was not refused");
    stream.into_answer().expect("a whole answer")
}

/// Reads a stream to its end and returns `read` followed by the text of the tokens, or an error if
/// the last event is not `done`.
pub fn read_to_done(stream: &mut EventStream, read: String) -> Result<String, String> {
    let mut text = read;
    let mut last = String::new();
    while let Some(event) = stream.next_event().map_err(|error| error.to_string())? {
        if event.name == "token" {
            let data: Value = serde_json::from_str(&event.data).map_err(|e| e.to_string())?;
            text.push_str(data["text"].as_str().unwrap_or_default());
        }
        last = format!("{} {}", event.name, event.data);
    }
    match last.starts_with("done ") {
        true => Ok(text),
        false => Err(format!("the stream ended with `{last}`")),
    }
}

/// Reads up to and including the token event number `count`, and returns the text of the tokens.
pub fn read_tokens(stream: &mut EventStream, count: usize) -> String {
    let mut text = String::new();
    let mut tokens = 0;
    while tokens < count {
        let event = stream.next_event().expect("an event").expect("a token");
        if event.name == "token" {
            let data: Value = serde_json::from_str(&event.data).expect("JSON");
            text.push_str(data["text"].as_str().unwrap_or_default());
            tokens += 1;
        }
    }
    text
}

/// The history that a caller must see for a conversation.
pub struct ExpectedConversation {
    pub conversation: String,
    /// Begins with the system prompt.
    pub messages: Vec<Message>,
}

impl ExpectedConversation {
    pub fn new(conversation: &str) -> Self {
        Self {
            conversation: conversation.to_string(),
            messages: vec![message("system", "You help.")],
        }
    }

    /// Adds a turn with its answer, and returns the text of the answer.
    pub fn add_turn(&mut self, request_id: &str, tokens: u32) -> String {
        self.messages
            .push(message("user", &turn_input(&self.conversation, request_id)));
        let text = expected_text(&self.messages, tokens.into());
        self.messages.push(message("assistant", &text));
        text
    }

    /// Checks that the history returned by an entry equals the expected messages.
    pub fn check_history(&self, site: SiteClient, entry: usize) {
        let path = format!("{}/history", self.conversation);
        let answer = site.get(entry, &path).expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
        let messages: Vec<Message> =
            serde_json::from_value(answer.json()["messages"].clone()).expect("messages");
        assert_eq!(messages, self.messages, "history of {}", self.conversation);
    }
}

pub fn message(role: &str, content: &str) -> Message {
    Message {
        role: role.to_string(),
        content: content.to_string(),
    }
}

/// Returns the kind of a refusal, or its text as an error if it lacks `ran: no` or `retry_after_ms`.
pub fn refusal_kind(answer: &Answer) -> Result<String, String> {
    let body: Value = serde_json::from_slice(&answer.body).map_err(|_| answer.text())?;
    let error = &body["error"];
    if error["ran"] != "no" || error["retry_after_ms"].as_u64().is_none() {
        return Err(answer.text());
    }
    Ok(error["kind"].as_str().unwrap_or_default().to_string())
}

/// Returns the id of a conversation of `team-one` whose slot `entry` holds, after skipping `skip`
/// such ids.
pub fn conversation_held_by(site: &Site, entry: usize, skip: usize) -> String {
    let names = (0..).map(|n| format!("held{n}"));
    let mut held = names.filter(|name| site.lease_holder_of("team-one", name) == Some(entry));
    held.nth(skip).expect("a conversation")
}

/// State of concurrent callers, each of which runs one turn after another until `stop` is set.
pub struct Load {
    pub site: SiteClient,
    pub entry_count: usize,
    pub tokens: u32,
    pub stop: AtomicBool,
    pub completed_turns: AtomicUsize,
    pub failures: std::sync::Mutex<Vec<String>>,
    /// Longest duration of a turn, from its first attempt to its end.
    pub longest_turn: std::sync::Mutex<Duration>,
}

impl Load {
    pub fn new(site: SiteClient, entry_count: usize, tokens: u32) -> Self {
        Self {
            site,
            entry_count,
            tokens,
            stop: AtomicBool::new(false),
            completed_turns: AtomicUsize::new(0),
            failures: Default::default(),
            longest_turn: Default::default(),
        }
    }

    /// Runs turns of one conversation until `stop` is set. Checks each answer and finally the history.
    pub fn run_conversation(&self, conversation: &str) {
        let mut expected_history = ExpectedConversation::new(conversation);
        let mut entries: VecDeque<usize> = (0..self.entry_count).collect();
        entries.rotate_left(conversation.len() % self.entry_count);
        start_run(self.site, entries[0], conversation);
        for number in 1.. {
            if self.stop.load(Ordering::Relaxed) {
                break;
            }
            entries.rotate_left(1);
            let request_id = format!("t{number}");
            let expected = expected_history.add_turn(&request_id, self.tokens);
            let started = Instant::now();
            match run_turn(
                self.site,
                &mut entries,
                conversation,
                &request_id,
                self.tokens,
            ) {
                Ok(text) if text == expected => {}
                Ok(text) => {
                    return self.record_failure(conversation, format!("wrong answer {text}"));
                }
                Err(reason) => return self.record_failure(conversation, reason),
            }
            let mut longest_turn = self.longest_turn.lock().expect("not poisoned");
            *longest_turn = longest_turn.max(started.elapsed());
            self.completed_turns.fetch_add(1, Ordering::Relaxed);
        }
        expected_history.check_history(self.site, entries[0]);
    }

    fn record_failure(&self, conversation: &str, reason: String) {
        let mut failures = self.failures.lock().expect("not poisoned");
        failures.push(format!("{conversation}: {reason}"));
    }

    /// Checks that no caller had a failure and that at least one turn was completed.
    pub fn assert_no_failures(&self) {
        let failures = self.failures.lock().expect("not poisoned");
        assert!(failures.is_empty(), "{failures:#?}");
        assert!(
            self.completed_turns.load(Ordering::Relaxed) > 0,
            "no turn was completed"
        );
    }
}

/// Runs a turn and returns its text. Retries at the next entry, but only after a refusal with
/// `ran: no` or a refused connection.
pub fn run_turn(
    site: SiteClient,
    entries: &mut VecDeque<usize>,
    conversation: &str,
    request_id: &str,
    tokens: u32,
) -> Result<String, String> {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        match open_turn(site, entries[0], conversation, request_id, tokens) {
            Ok(mut stream) if stream.status() == 200 => {
                return read_to_done(&mut stream, String::new());
            }
            Ok(stream) => {
                let answer = stream.into_answer().map_err(|error| error.to_string())?;
                refusal_kind(&answer)?;
            }
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {}
            Err(error) => return Err(format!("{request_id}: {error}")),
        }
        entries.rotate_left(1);
        thread::sleep(Duration::from_millis(50));
    }
    Err(format!("{request_id} was refused for {WAIT_TIMEOUT:?}"))
}

/// Returns the sum of a counter over all engines.
pub fn engine_total(site: &Site, counter: &str) -> u64 {
    let counters = site.engines.iter().map(|engine| engine.stats());
    counters
        .map(|stats| stats[counter].as_u64().expect("a counter"))
        .sum()
}
