//! The client for model engines: completions as token streams, load and cache reports, and orders.
//!
//! An engine starts a request when it arrives and generates tokens until the connection is closed.
//! Dropping a [`CompletionStream`] before its end therefore closes its connection. [`EngineError`]
//! distinguishes whether the engine may have processed the request, which decides whether it may be
//! sent to another engine.

use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::connection::http_client::{ClientError, HttpClient};
use crate::connection::sse;
use crate::ids::{FencingNumber, ModelId};
use crate::process::timer::{Sleep, TimerService};

/// The result of a request to an engine.
pub type Result<T> = std::result::Result<T, EngineError>;

/// Why a request to an engine failed.
#[derive(Debug)]
pub enum EngineError {
    /// Nothing was sent, so the engine did not receive the request.
    NotSent(String),
    /// The engine responded with this error status and body before it processed the request.
    Refused(u16, String),
    /// The connection failed or the stream ended before the response was complete.
    Interrupted(String),
    /// The response or the next token was not received within this timeout.
    TimedOut(Duration),
    /// The response violates the protocol.
    Protocol(String),
}

impl EngineError {
    /// Whether it is certain that the engine did not process the request.
    pub fn is_unprocessed(&self) -> bool {
        matches!(self, EngineError::NotSent(_) | EngineError::Refused(..))
    }
}

impl fmt::Display for EngineError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EngineError::NotSent(reason) => {
                write!(
                    formatter,
                    "the request was not sent to the engine: {reason}"
                )
            }
            EngineError::Refused(status, body) => {
                write!(
                    formatter,
                    "the engine refused the request with status {status}: {body}"
                )
            }
            EngineError::Interrupted(reason) => {
                write!(
                    formatter,
                    "the response of the engine is incomplete: {reason}"
                )
            }
            EngineError::TimedOut(timeout) => {
                write!(
                    formatter,
                    "timed out waiting for the engine after {} ms",
                    timeout.as_millis()
                )
            }
            EngineError::Protocol(reason) => {
                write!(
                    formatter,
                    "the response of the engine is not valid: {reason}"
                )
            }
        }
    }
}

impl std::error::Error for EngineError {}

impl From<ClientError> for EngineError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::NotSent(reason) => EngineError::NotSent(reason),
            ClientError::Interrupted(reason) => EngineError::Interrupted(reason),
            ClientError::TimedOut(timeout) => EngineError::TimedOut(timeout),
            ClientError::Mismatched => EngineError::Interrupted(error.to_string()),
        }
    }
}

/// A message of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: Rc<str>,
    /// The text of the message.
    pub content: Rc<str>,
}

/// A request for a completion.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// The model that generates the completion.
    pub model: ModelId,
    /// The complete prompt.
    pub messages: Vec<ChatMessage>,
    /// Limit of tokens to generate.
    pub max_tokens: u32,
    /// Identifies the prefix in the engine's cache that this request shares with earlier ones.
    pub cache_key: Rc<str>,
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    messages: &'a [ChatMessage],
    max_tokens: u32,
    stream: bool,
    cache_key: &'a str,
}

/// Timeouts of a completion.
#[derive(Clone, Copy, Debug)]
pub struct CompletionLimits {
    /// Longest wait for the head of the response. The tokens have a timeout of their own, passed to
    /// [`CompletionStream::next`].
    pub head_timeout: Duration,
}

/// The token usage of a completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt, cached ones included.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
    /// Tokens of the prompt that were in the engine's cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// An event of a completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CompletionEvent {
    /// The text of a generated token.
    Token(String),
    /// The completion has finished; always the last event.
    Finished {
        /// Why the engine stopped, for example `stop` or `length`; empty if it gave no reason.
        finish_reason: String,
        /// The token usage.
        usage: Usage,
    },
}

/// The load reported by an engine; the report lags behind by `age_ms`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests admitted but not yet in the running batch.
    pub waiting: u32,
    /// Tokens stored in the cache.
    pub cache_used_tokens: u64,
    /// Capacity of the cache.
    pub cache_total_tokens: u64,
    /// Age of this report when the engine sent it.
    #[serde(default)]
    pub age_ms: u64,
    /// Whether the engine is shutting down and must not get new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// A prefix in the cache of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEntry {
    /// Identifies the prefix.
    pub cache_key: String,
    /// The length of the cached prefix in tokens.
    pub tokens: u64,
}

#[derive(Deserialize)]
struct CacheResponse {
    entries: Vec<CacheEntry>,
}

#[derive(Serialize)]
struct CacheKeyRequest<'a> {
    cache_key: &'a str,
}

#[derive(Serialize)]
struct OrderRequest<'a> {
    fencing_number: FencingNumber,
    order: &'a serde_json::Value,
}

/// Size limit of the response to a control call other than a cache export.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Size limit of an exported cache.
const MAX_CACHE_EXPORT_BYTES: usize = 1 << 30;
/// Length to which the body of an error response is truncated for the error message.
const MAX_REFUSAL_BODY_BYTES: usize = 4 << 10;
/// Limit for reading the body of an error response, or the rest of a body after its last event.
const BODY_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// A client for model engines; clones share the connections.
#[derive(Clone)]
pub struct EngineClient {
    /// For control calls, whose answers are views that the next call replaces.
    http: HttpClient,
    /// For completions, which must get their own answers.
    completion_http: HttpClient,
    control_timeout: Duration,
}

impl EngineClient {
    /// Creates a client that waits at most `control_timeout` for each control call, i.e. for every
    /// request other than a completion.
    pub fn new(http: HttpClient, control_timeout: Duration) -> Self {
        Self {
            completion_http: http.without_reuse(),
            http,
            control_timeout,
        }
    }

    /// Starts a completion; returns when the engine has accepted it with the head of its response.
    pub async fn complete(
        &self,
        address: SocketAddr,
        request: &CompletionRequest,
        limits: CompletionLimits,
    ) -> Result<CompletionStream> {
        let body = encode(&CompletionBody {
            model: &request.model,
            messages: &request.messages,
            max_tokens: request.max_tokens,
            stream: true,
            cache_key: &request.cache_key,
        })?;
        let request = post("/v1/chat/completions", body);
        let response = self
            .completion_http
            .send(address, request, limits.head_timeout)
            .await?;
        if !response.status().is_success() {
            return Err(self.read_refusal(response).await);
        }
        Ok(CompletionStream {
            timer: self.http.timer().clone(),
            token_timer: None,
            body: Some(response.into_body()),
            parser: sse::Parser::default(),
            ready_events: VecDeque::new(),
            finish_reason: None,
            usage: None,
        })
    }

    /// Fetches the load report of an engine.
    pub async fn fetch_load(&self, address: SocketAddr) -> Result<EngineLoad> {
        let response = self.control_call(address, get("/v1/load"), MAX_RESPONSE_BYTES);
        decode(&response.await?)
    }

    /// Fetches the list of prefixes in the cache of an engine.
    pub async fn fetch_cache_entries(&self, address: SocketAddr) -> Result<Vec<CacheEntry>> {
        let response = self.control_call(address, get("/v1/cache"), MAX_RESPONSE_BYTES);
        Ok(decode::<CacheResponse>(&response.await?)?.entries)
    }

    /// Releases a prefix from the cache; releasing one that is not cached has no effect.
    pub async fn release_cache(&self, address: SocketAddr, cache_key: &str) -> Result<()> {
        let request = post("/v1/cache/release", encode(&CacheKeyRequest { cache_key })?);
        self.control_call(address, request, MAX_RESPONSE_BYTES)
            .await?;
        Ok(())
    }

    /// Exports the KV cache of a prefix in the engine's own format.
    pub async fn export_cache(&self, address: SocketAddr, cache_key: &str) -> Result<Bytes> {
        let request = post("/v1/cache/export", encode(&CacheKeyRequest { cache_key })?);
        self.control_call(address, request, MAX_CACHE_EXPORT_BYTES)
            .await
    }

    /// Imports a KV cache that another engine has exported.
    pub async fn import_cache(&self, address: SocketAddr, exported: Bytes) -> Result<()> {
        let request = post("/v1/cache/import", exported);
        self.control_call(address, request, MAX_RESPONSE_BYTES)
            .await?;
        Ok(())
    }

    /// Sends an order to an engine. An engine that checks fencing numbers refuses an order with a
    /// stale number.
    pub async fn send_order(
        &self,
        address: SocketAddr,
        fencing_number: FencingNumber,
        order: &serde_json::Value,
    ) -> Result<()> {
        let body = OrderRequest {
            fencing_number,
            order,
        };
        let request = post("/v1/orders", encode(&body)?);
        self.control_call(address, request, MAX_RESPONSE_BYTES)
            .await?;
        Ok(())
    }

    async fn control_call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        max_bytes: usize,
    ) -> Result<Bytes> {
        let response = self
            .http
            .fetch(address, request, self.control_timeout, max_bytes)
            .await?;
        if response.status().is_success() {
            return Ok(response.into_body());
        }
        let status = response.status().as_u16();
        Err(EngineError::Refused(status, body_excerpt(response.body())))
    }

    async fn read_refusal(&self, response: Response<Incoming>) -> EngineError {
        let status = response.status().as_u16();
        let body = self
            .http
            .read_body(response.into_body(), MAX_REFUSAL_BODY_BYTES);
        let body = match self.http.timer().timeout(BODY_DRAIN_TIMEOUT, body).await {
            Ok(Ok(body)) => body_excerpt(&body),
            // The body only explains the error; the status is sufficient to handle it.
            Ok(Err(_)) | Err(_) => String::new(),
        };
        EngineError::Refused(status, body)
    }
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
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
}

/// Data of the last event of a completion.
const DONE_MARKER: &str = "[DONE]";

/// A completion in progress. Dropping it before its end closes the connection, which cancels the
/// completion.
pub struct CompletionStream {
    timer: TimerService,
    /// Timer for the next token. It is reused across tokens and restarted only when it has expired,
    /// because starting a timer for each token costs more than reading the token.
    token_timer: Option<Sleep>,
    /// `None` after the last event.
    body: Option<Incoming>,
    parser: sse::Parser,
    ready_events: VecDeque<CompletionEvent>,
    finish_reason: Option<String>,
    usage: Option<Usage>,
}

impl CompletionStream {
    /// Waits at most `token_gap` for the next event; `None` after [`CompletionEvent::Finished`].
    ///
    /// An error cancels the completion; later calls return `None`.
    pub async fn next(&mut self, token_gap: Duration) -> Result<Option<CompletionEvent>> {
        let deadline = self.timer.now() + token_gap;
        loop {
            let reused_timer = self.token_timer.take();
            let token_sleep = reused_timer.filter(|token_sleep| token_sleep.deadline() <= deadline);
            let token_sleep = token_sleep.unwrap_or_else(|| self.timer.sleep_until(deadline));
            let outcome = match select(pin!(self.read_event()), token_sleep).await {
                Either::Left((event, token_sleep)) => Some((event, token_sleep)),
                Either::Right(_) => None,
            };
            match outcome {
                Some((event, token_sleep)) => {
                    self.token_timer = Some(token_sleep);
                    return event.inspect_err(|_| self.cancel());
                }
                None if self.timer.now() < deadline => {}
                None => {
                    self.cancel();
                    return Err(EngineError::TimedOut(token_gap));
                }
            }
        }
    }

    async fn read_event(&mut self) -> Result<Option<CompletionEvent>> {
        loop {
            if let Some(event) = self.ready_events.pop_front() {
                return Ok(Some(event));
            }
            let Some(body) = self.body.as_mut() else {
                return Ok(None);
            };
            let frame = match body.frame().await {
                Some(Ok(frame)) => frame,
                Some(Err(error)) => {
                    return Err(EngineError::Interrupted(crate::error::chain(&error)));
                }
                None => {
                    let reason = "the stream ended before the last event";
                    return Err(EngineError::Interrupted(reason.to_string()));
                }
            };
            if let Ok(data) = frame.into_data() {
                self.parse_data(&data)?;
            }
        }
    }

    fn parse_data(&mut self, data: &[u8]) -> Result<()> {
        let events = self
            .parser
            .push(data)
            .map_err(|error| EngineError::Protocol(error.to_string()))?;
        for event in events {
            if event.data == DONE_MARKER {
                return self.finish();
            }
            self.apply_chunk(&event.data)?;
        }
        Ok(())
    }

    fn apply_chunk(&mut self, data: &str) -> Result<()> {
        let chunk: CompletionChunk = serde_json::from_str(data)
            .map_err(|error| EngineError::Protocol(format!("could not decode a chunk: {error}")))?;
        if let Some(choice) = chunk.choices.into_iter().next() {
            let text = choice.delta.content.filter(|text| !text.is_empty());
            self.ready_events.extend(text.map(CompletionEvent::Token));
            self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
        }
        self.usage = chunk.usage.or(self.usage);
        Ok(())
    }

    fn finish(&mut self) -> Result<()> {
        let Some(usage) = self.usage else {
            let reason = "the stream ended without a usage report";
            return Err(EngineError::Protocol(reason.to_string()));
        };
        let finish_reason = self.finish_reason.take().unwrap_or_default();
        self.ready_events.push_back(CompletionEvent::Finished {
            finish_reason,
            usage,
        });
        if let Some(body) = self.body.take() {
            monoio::spawn(drain_body(body, self.timer.clone()));
        }
        Ok(())
    }

    fn cancel(&mut self) {
        self.ready_events.clear();
        // Dropping the body closes the HTTP connection immediately.
        self.body = None;
    }
}

/// Reads the rest of a body after its last event, so that the connection can be reused.
async fn drain_body(mut body: Incoming, timer: TimerService) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    let _ = timer.timeout(BODY_DRAIN_TIMEOUT, rest).await;
}

fn get(path: &'static str) -> Request<Bytes> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = hyper::Uri::from_static(path);
    request
}

fn post(path: &'static str, body: impl Into<Bytes>) -> Request<Bytes> {
    let mut request = Request::new(body.into());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = hyper::Uri::from_static(path);
    let content_type = HeaderValue::from_static("application/json");
    request.headers_mut().insert(CONTENT_TYPE, content_type);
    request
}

fn encode(body: &impl Serialize) -> Result<Vec<u8>> {
    serde_json::to_vec(body).map_err(|error| EngineError::NotSent(error.to_string()))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| EngineError::Protocol(error.to_string()))
}

fn body_excerpt(body: &[u8]) -> String {
    let end = body.len().min(MAX_REFUSAL_BODY_BYTES);
    String::from_utf8_lossy(&body[..end]).into_owned()
}
