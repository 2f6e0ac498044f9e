//! Builds requests to gateways and reads from the backend servers which requests they executed.
#![allow(dead_code)]

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sapphireford_standin::backend_server::expected_event_data;
use sapphireford_standin::harness::{
    BackendServer, EventStream, GatewayProcess, HOST, HttpRequest,
};
use serde_json::Value;

/// Longest wait for an expected condition; long enough for a machine under load.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Returns a request id that is unique within the test process.
pub fn new_request_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Builds a request without a body, with the given request id and a deadline of 4,000 ms.
pub fn caller_request(method: &str, path: &str, id: &str) -> HttpRequest {
    caller_request_within(method, path, id, Duration::from_millis(4_000))
}

/// Like [`caller_request`], with another deadline.
pub fn caller_request_within(method: &str, path: &str, id: &str, time: Duration) -> HttpRequest {
    HttpRequest::new(method, path)
        .header("host", HOST)
        .header("request-id", id)
        .header("deadline-ms", &time.as_millis().to_string())
}

/// A request for one turn of a program.
pub struct Turn<'a> {
    pub path: &'a str,
    pub id: &'a str,
    pub program: &'a str,
    pub previous: Option<&'a str>,
    pub input: &'a str,
    pub events: u64,
    pub budget_tokens: u64,
}

impl Default for Turn<'_> {
    fn default() -> Self {
        Self {
            path: "/quote/a",
            id: "",
            program: "p-1",
            previous: None,
            input: "how much",
            events: 4,
            budget_tokens: 100_000,
        }
    }
}

impl Turn<'_> {
    pub fn request(&self) -> HttpRequest {
        let max_tokens = self.events * 9;
        let request = caller_request("POST", self.path, self.id)
            .header("program-id", self.program)
            .header("session-id", self.program)
            .header("program-deadline-ms", "9000")
            .header("token-budget", &self.budget_tokens.to_string())
            .header("token-usage", &format!("100,{max_tokens}"))
            .header("x-events", &self.events.to_string())
            .body(self.input);
        match self.previous {
            Some(previous) => request.header("previous-turn", previous),
            None => request,
        }
    }

    pub fn open(&self, gateway: &GatewayProcess) -> std::io::Result<EventStream> {
        self.request().open(gateway.caller_address())
    }

    /// Runs the turn and returns the data of its events. Panics unless the status is 200 and the
    /// stream ends without an error.
    pub fn run(&self, gateway: &GatewayProcess) -> Vec<String> {
        let mut stream = self.open(gateway).expect("an answer");
        assert_eq!(stream.status(), 200, "turn {}", self.id);
        let events = stream.remaining_events().expect("a complete stream");
        events.into_iter().map(|event| event.data).collect()
    }
}

/// Returns the data of all events that a server sends for a request with this body.
pub fn expected_stream_data(body: &str, events: u64) -> Vec<String> {
    let ids = 1..=events;
    ids.map(|id| expected_event_data(body.as_bytes(), id))
        .collect()
}

/// Returns the executions of a request that these servers have recorded.
pub fn recorded_runs(servers: &[BackendServer], id: &str) -> Vec<Value> {
    let mut matching = Vec::new();
    for server in servers {
        let stats = server.process.stats();
        let runs = stats["runs"].as_array().cloned().unwrap_or_default();
        matching.extend(runs.into_iter().filter(|run| run["request_id"] == id));
    }
    matching
}
