//! The route directly to an engine and a tool, as the baseline without an entry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::connection::http_client::{ClientError, HttpClient};
use crate::connection::sse::Parser;
use crate::error::Ran;
use crate::ids::{ModelId, RequestId};
use crate::load::route::{CallFailure, Result, Route, StreamProgress, ToolOutcome, TurnOutcome};
use crate::load::workload::{Class, ToolUse};

/// Timeout of one call, for a turn up to the head of the answer, and of the wait for each chunk of
/// its stream.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Size limit of a tool's answer.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Data of the event that ends an engine's stream.
const STREAM_END_DATA: &str = "[DONE]";

/// Sends the turns of programs to one engine, and their tool calls to one tool.
pub struct DirectRoute {
    http: HttpClient,
    engine: SocketAddr,
    tool: Option<SocketAddr>,
}

/// A conversation, with the history that is sent to the engine in each turn.
pub struct DirectSession {
    model: ModelId,
    conversation: String,
    messages: Vec<Message>,
}

#[derive(Serialize)]
struct Message {
    role: &'static str,
    content: String,
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    messages: &'a [Message],
    max_tokens: u32,
    stream: bool,
    cache_key: &'a str,
}

#[derive(Deserialize)]
struct CompletionChunk {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    cached_tokens: u64,
}

impl DirectRoute {
    /// Creates a route to one engine; without a tool, tool calls are skipped.
    pub fn new(http: HttpClient, engine: SocketAddr, tool: Option<SocketAddr>) -> Self {
        Self { http, engine, tool }
    }

    async fn read_stream(
        &self,
        response: Response<Incoming>,
        mut on_progress: impl FnMut(StreamProgress),
    ) -> Result<(String, TurnOutcome)> {
        let mut body = response.into_body();
        let mut parser = Parser::default();
        let mut output = String::new();
        let mut outcome = TurnOutcome::default();
        loop {
            let frame = self.http.timer().timeout(CALL_TIMEOUT, body.frame()).await;
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                _ => return Err(failure("no_answer", Ran::Unknown)),
            };
            let Some(chunk) = frame.data_ref() else {
                continue;
            };
            let events = parser.push(chunk).map_err(|_| malformed_answer())?;
            for event in events {
                if event.data == STREAM_END_DATA {
                    return Ok((output, outcome));
                }
                let chunk: CompletionChunk =
                    serde_json::from_str(&event.data).map_err(|_| malformed_answer())?;
                for text in chunk
                    .choices
                    .into_iter()
                    .filter_map(|choice| choice.delta.content)
                    .filter(|text| !text.is_empty())
                {
                    on_progress(StreamProgress::Token);
                    output.push_str(&text);
                }
                if let Some(usage) = chunk.usage {
                    outcome.prompt_tokens = usage.prompt_tokens;
                    outcome.cached_tokens = usage.cached_tokens;
                    outcome.output_tokens = usage.completion_tokens;
                }
            }
        }
    }
}

impl Route for DirectRoute {
    type Session = DirectSession;

    async fn start(&self, class: &Class, conversation: &str) -> Result<DirectSession> {
        Ok(DirectSession {
            model: class.model.clone(),
            conversation: conversation.to_string(),
            messages: Vec::new(),
        })
    }

    async fn turn(
        &self,
        session: &mut DirectSession,
        _request_id: RequestId,
        input: &str,
        max_output_tokens: u32,
        on_progress: impl FnMut(StreamProgress),
    ) -> Result<TurnOutcome> {
        session.messages.push(Message {
            role: "user",
            content: input.to_string(),
        });
        let body = CompletionBody {
            model: &session.model,
            messages: &session.messages,
            max_tokens: max_output_tokens,
            stream: true,
            cache_key: &session.conversation,
        };
        let request = post_request("/v1/chat/completions", &body, None)?;
        let response = self.http.send(self.engine, request, CALL_TIMEOUT).await?;
        let status = response.status();
        if !status.is_success() {
            return Err(failure(
                &format!("engine_status_{}", status.as_u16()),
                Ran::No,
            ));
        }
        let (content, outcome) = self.read_stream(response, on_progress).await?;
        session.messages.push(Message {
            role: "assistant",
            content,
        });
        Ok(outcome)
    }

    async fn tool(
        &self,
        session: &mut DirectSession,
        request_id: RequestId,
        tool: &ToolUse,
    ) -> Result<Option<ToolOutcome>> {
        let Some(address) = self.tool else {
            return Ok(None);
        };
        let action_id = format!("{}:{request_id}", session.conversation);
        let body = json!({"tool": tool.tool, "arguments": tool.arguments});
        let request = post_request("/v1/actions", &body, Some(&action_id))?;
        let fetch = self
            .http
            .fetch(address, request, CALL_TIMEOUT, MAX_ANSWER_BYTES);
        let response = fetch.await?;
        let status = response.status();
        if !status.is_success() {
            return Err(failure(
                &format!("tool_status_{}", status.as_u16()),
                Ran::Unknown,
            ));
        }
        let answer: Value =
            serde_json::from_slice(response.body()).map_err(|_| malformed_answer())?;
        session.messages.push(Message {
            role: "tool",
            content: super::to_message_content(&answer["result"]),
        });
        Ok(Some(ToolOutcome {
            action_id,
            spending: None,
        }))
    }

    async fn end(&self, session: DirectSession, _: RequestId, _finished: bool) -> Result<()> {
        let body = json!({"cache_key": session.conversation});
        let request = post_request("/v1/cache/release", &body, None)?;
        let fetch = self
            .http
            .fetch(self.engine, request, CALL_TIMEOUT, MAX_ANSWER_BYTES);
        fetch.await?;
        Ok(())
    }
}

fn post_request(
    path: &str,
    body: &impl Serialize,
    idempotency_key: Option<&str>,
) -> Result<Request<Bytes>> {
    let not_sent = |reason: String| CallFailure::from(ClientError::NotSent(reason));
    let body = serde_json::to_vec(body).map_err(|error| not_sent(error.to_string()))?;
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(CONTENT_TYPE, "application/json");
    if let Some(key) = idempotency_key {
        request = request.header("idempotency-key", key);
    }
    request
        .body(body.into())
        .map_err(|error| not_sent(error.to_string()))
}

fn failure(kind: &str, ran: Ran) -> CallFailure {
    CallFailure {
        kind: kind.to_string(),
        ran,
    }
}

fn malformed_answer() -> CallFailure {
    failure("malformed_answer", Ran::Unknown)
}
