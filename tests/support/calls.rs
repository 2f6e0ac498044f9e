//! Calls of `team-one` to a site, and what their answers must be.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use sapphireford_standin::engine::text::{Message, expected_text};
use sapphireford_standin::harness::{Answer, EventStream, Site, SiteClient};
use serde_json::{Value, json};

/// Longest wait of a test for something that has to happen; long enough for a machine under load.
pub const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Starts run 1 of a conversation.
pub fn start_run(site: SiteClient, entry: usize, conversation: &str) {
    let body = json!({ "request_id": "start", "program": "assistant" });
    let path = format!("{conversation}/runs");
    let answer = site.post(entry, &path, &body).expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
}

/// The input of a turn; its first word names conversation and request.
pub fn input(conversation: &str, request_id: &str) -> String {
    format!("{conversation}-{request_id} please")
}

pub fn turn_body(conversation: &str, request_id: &str, tokens: u32) -> Value {
    let input = input(conversation, request_id);
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

/// Posts a turn of run 1 that is expected to be refused.
pub fn refused_turn(
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

/// The text of a stream that ends with `done`, or what was wrong with it.
pub fn whole_text(stream: &mut EventStream, read: String) -> Result<String, String> {
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

/// Reads token events until `count` of them have come, and returns their text.
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

/// A conversation as a caller sees it.
pub struct ExpectedConversation {
    pub conversation: String,
    /// All messages up to now, with the system prompt.
    pub messages: Vec<Message>,
}

impl ExpectedConversation {
    pub fn new(conversation: &str) -> Self {
        Self {
            conversation: conversation.to_string(),
            messages: vec![message("system", "You help.")],
        }
    }

    /// Adds a turn and returns the answer that it must get.
    pub fn expect(&mut self, request_id: &str, tokens: u32) -> String {
        self.messages
            .push(message("user", &input(&self.conversation, request_id)));
        let text = expected_text(&self.messages, tokens.into());
        self.messages.push(message("assistant", &text));
        text
    }

    /// Checks that the history an entry reports is exactly this conversation.
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

/// Checks that a refusal says `ran: no` and when to come back, and returns its kind.
pub fn refusal_kind(answer: &Answer) -> Result<String, String> {
    let body: Value = serde_json::from_slice(&answer.body).map_err(|_| answer.text())?;
    let error = &body["error"];
    if error["ran"] != "no" || error["retry_after_ms"].as_u64().is_none() {
        return Err(answer.text());
    }
    Ok(error["kind"].as_str().unwrap_or_default().to_string())
}

/// A conversation of `team-one` whose slot is held by an entry; `skip` leaves out the first ones.
pub fn conversation_at(site: &Site, entry: usize, skip: usize) -> String {
    let names = (0..).map(|n| format!("held{n}"));
    let mut held = names.filter(|name| site.lease_holder_of("team-one", name) == Some(entry));
    held.nth(skip).expect("a conversation")
}

/// Callers that run turns one after another until they are told to stop.
pub struct Load {
    pub site: SiteClient,
    pub entries: usize,
    pub tokens: u32,
    pub stop: AtomicBool,
    pub done: AtomicUsize,
    pub faults: std::sync::Mutex<Vec<String>>,
    /// Longest time of a turn from its first attempt to its end.
    pub slowest: std::sync::Mutex<Duration>,
}

impl Load {
    pub fn new(site: SiteClient, entries: usize, tokens: u32) -> Self {
        Self {
            site,
            entries,
            tokens,
            stop: AtomicBool::new(false),
            done: AtomicUsize::new(0),
            faults: Default::default(),
            slowest: Default::default(),
        }
    }

    /// Runs turns of one conversation and checks their answers and, at the end, the history.
    pub fn converse(&self, conversation: &str) {
        let mut expected_history = ExpectedConversation::new(conversation);
        let mut entries: VecDeque<usize> = (0..self.entries).collect();
        entries.rotate_left(conversation.len() % self.entries);
        start_run(self.site, entries[0], conversation);
        for number in 1.. {
            if self.stop.load(Ordering::Relaxed) {
                break;
            }
            entries.rotate_left(1);
            let request_id = format!("t{number}");
            let expected = expected_history.expect(&request_id, self.tokens);
            let started = Instant::now();
            match run_turn(
                self.site,
                &mut entries,
                conversation,
                &request_id,
                self.tokens,
            ) {
                Ok(text) if text == expected => {}
                Ok(text) => return self.fault(conversation, format!("wrong answer {text}")),
                Err(reason) => return self.fault(conversation, reason),
            }
            let mut slowest = self.slowest.lock().expect("not poisoned");
            *slowest = slowest.max(started.elapsed());
            self.done.fetch_add(1, Ordering::Relaxed);
        }
        expected_history.check_history(self.site, entries[0]);
    }

    fn fault(&self, conversation: &str, reason: String) {
        let mut faults = self.faults.lock().expect("not poisoned");
        faults.push(format!("{conversation}: {reason}"));
    }

    /// Checks that no caller has met a fault.
    pub fn check(&self) {
        let faults = self.faults.lock().expect("not poisoned");
        assert!(faults.is_empty(), "{faults:#?}");
        assert!(self.done.load(Ordering::Relaxed) > 0, "no turn was done");
    }
}

/// Runs a turn and returns its text. It is repeated, at the next entry, only after a refusal that
/// says `ran: no`, or where nobody listens.
pub fn run_turn(
    site: SiteClient,
    entries: &mut VecDeque<usize>,
    conversation: &str,
    request_id: &str,
    tokens: u32,
) -> Result<String, String> {
    let deadline = Instant::now() + WAIT_LIMIT;
    while Instant::now() < deadline {
        match open_turn(site, entries[0], conversation, request_id, tokens) {
            Ok(mut stream) if stream.status() == 200 => {
                return whole_text(&mut stream, String::new());
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
    Err(format!("{request_id} was refused for {WAIT_LIMIT:?}"))
}

/// Sum of a counter over all engines.
pub fn engine_total(site: &Site, counter: &str) -> u64 {
    let counters = site.engines.iter().map(|engine| engine.stats());
    counters
        .map(|stats| stats[counter].as_u64().expect("a counter"))
        .sum()
}
