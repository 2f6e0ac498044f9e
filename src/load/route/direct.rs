//! The route directly to an engine and a tool, without an entry.

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
use crate::load::route::{CallFailure, Piece, Result, Route, ToolOutcome, TurnOutcome};
use crate::load::workload::{Class, ToolUse};

/// Bound on one call, up to the head of the answer, and on each pause of a stream.
const CALL_TIME: Duration = Duration::from_secs(30);
/// Longest answer of a tool.
const ANSWER_LIMIT_BYTES: usize = 4 << 20;
/// The data of the line that ends an engine's stream.
const STREAM_END: &str = "[DONE]";

/// The route directly to an engine.
pub struct DirectRoute {
    http: HttpClient,
    engine: SocketAddr,
    tool: Option<SocketAddr>,
}

/// A conversation whose history the load tool keeps.
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
    /// Makes a route to one engine; without a tool, tool calls are left out.
    pub fn new(http: HttpClient, engine: SocketAddr, tool: Option<SocketAddr>) -> Self {
        Self { http, engine, tool }
    }

    async fn stream(
        &self,
        response: Response<Incoming>,
        mut observe: impl FnMut(Piece),
    ) -> Result<(String, TurnOutcome)> {
        let mut body = response.into_body();
        let mut parser = Parser::default();
        let mut output = String::new();
        let mut outcome = TurnOutcome::default();
        loop {
            let frame = self.http.timer().timeout(CALL_TIME, body.frame()).await;
            let frame = match frame {
                Ok(Some(Ok(frame))) => frame,
                _ => return Err(failure("no_answer", Ran::Unknown)),
            };
            let Some(chunk) = frame.data_ref() else {
                continue;
            };
            let events = parser.push(chunk).map_err(|_| malformed())?;
            for event in events {
                if event.data == STREAM_END {
                    return Ok((output, outcome));
                }
                let chunk: CompletionChunk =
                    serde_json::from_str(&event.data).map_err(|_| malformed())?;
                for text in chunk
                    .choices
                    .into_iter()
                    .filter_map(|choice| choice.delta.content)
                    .filter(|text| !text.is_empty())
                {
                    observe(Piece::Token);
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
        observe: impl FnMut(Piece),
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
        let request = post("/v1/chat/completions", &body, None)?;
        let response = self.http.send(self.engine, request, CALL_TIME).await?;
        let status = response.status();
        if !status.is_success() {
            return Err(failure(
                &format!("engine_status_{}", status.as_u16()),
                Ran::No,
            ));
        }
        let (content, outcome) = self.stream(response, observe).await?;
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
        let request = post("/v1/actions", &body, Some(&action_id))?;
        let fetch = self
            .http
            .fetch(address, request, CALL_TIME, ANSWER_LIMIT_BYTES);
        let response = fetch.await?;
        let status = response.status();
        if !status.is_success() {
            return Err(failure(
                &format!("tool_status_{}", status.as_u16()),
                Ran::Unknown,
            ));
        }
        let answer: Value = serde_json::from_slice(response.body()).map_err(|_| malformed())?;
        session.messages.push(Message {
            role: "tool",
            content: super::message_text(&answer["result"]),
        });
        Ok(Some(ToolOutcome {
            action_id,
            spending: None,
        }))
    }

    async fn end(&self, session: DirectSession, _: RequestId, _finished: bool) -> Result<()> {
        let body = json!({"cache_key": session.conversation});
        let request = post("/v1/cache/release", &body, None)?;
        let fetch = self
            .http
            .fetch(self.engine, request, CALL_TIME, ANSWER_LIMIT_BYTES);
        fetch.await?;
        Ok(())
    }
}

fn post(path: &str, body: &impl Serialize, key: Option<&str>) -> Result<Request<Bytes>> {
    let invalid = |reason: String| CallFailure::from(ClientError::NotSent(reason));
    let body = serde_json::to_vec(body).map_err(|error| invalid(error.to_string()))?;
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(CONTENT_TYPE, "application/json");
    if let Some(key) = key {
        request = request.header("idempotency-key", key);
    }
    request
        .body(body.into())
        .map_err(|error| invalid(error.to_string()))
}

fn failure(kind: &str, ran: Ran) -> CallFailure {
    CallFailure {
        kind: kind.to_string(),
        ran,
    }
}

fn malformed() -> CallFailure {
    failure("malformed_answer", Ran::Unknown)
}
