//! The client of model engines: completions as token streams, load and cache reports, and orders.
//!
//! An engine admits a request as it arrives and generates until the connection is closed, so a
//! [`CompletionStream`] that is dropped before its end closes its connection. The errors tell
//! whether the engine may have worked on the request, which decides if it may be sent elsewhere.

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

use crate::connection::http_client::{ClientError, HttpClient, read_body};
use crate::connection::sse;
use crate::ids::{FenceNumber, ModelId};
use crate::process::timer::{Sleep, TimerService};

/// The result of a call to an engine.
pub type Result<T> = std::result::Result<T, EngineError>;

/// Why a call to an engine failed.
#[derive(Debug)]
pub enum EngineError {
    /// Nothing was written: the engine certainly did not receive the request.
    NotSent(String),
    /// The engine answered with an error status and the body given, before any work.
    Refused(u16, String),
    /// The connection broke before the answer was complete.
    Interrupted(String),
    /// No answer, or no further token, came within the time limit.
    TimedOut(Duration),
    /// The answer is not what the protocol says.
    Protocol(String),
}

impl EngineError {
    /// Whether the engine certainly did no work for the request.
    pub fn is_before_work(&self) -> bool {
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
                write!(formatter, "the answer of the engine broke off: {reason}")
            }
            EngineError::TimedOut(limit) => {
                write!(
                    formatter,
                    "the engine sent nothing for {} ms",
                    limit.as_millis()
                )
            }
            EngineError::Protocol(reason) => {
                write!(formatter, "the answer of the engine is not valid: {reason}")
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
            ClientError::TimedOut(limit) => EngineError::TimedOut(limit),
            ClientError::Mismatched => EngineError::Interrupted(error.to_string()),
        }
    }
}

/// One message of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: Rc<str>,
    /// The text.
    pub content: Rc<str>,
}

/// A request for a completion.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// The model.
    pub model: ModelId,
    /// The whole prompt.
    pub messages: Vec<ChatMessage>,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Names the prefix in the engine's cache that this call shares with earlier ones.
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

/// Time limits of a completion.
#[derive(Clone, Copy, Debug)]
pub struct CompletionLimits {
    /// Longest time to the head of the answer. The tokens have their own limit.
    pub head_time: Duration,
}

/// What a completion used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Tokens of the prompt that were in the engine's cache.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// One event of a completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CompletionEvent {
    /// Generated text.
    Token(String),
    /// The completion is complete; always the last event.
    Finished {
        /// Why the engine stopped, for example `stop` or `length`.
        finish_reason: String,
        /// What the completion used.
        usage: Usage,
    },
}

/// The load that an engine reports, with a lag.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests admitted but not yet in the batch.
    pub waiting: u32,
    /// Tokens in the cache.
    pub cache_used_tokens: u64,
    /// Tokens that the cache can hold.
    pub cache_total_tokens: u64,
    /// Age of this report when it was sent.
    #[serde(default)]
    pub age_ms: u64,
    /// Whether the engine is about to stop and must get no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// One prefix in the cache of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEntry {
    /// Names the prefix.
    pub cache_key: String,
    /// Its length.
    pub tokens: u64,
}

#[derive(Deserialize)]
struct CacheBody {
    entries: Vec<CacheEntry>,
}

#[derive(Serialize)]
struct CacheKeyBody<'a> {
    cache_key: &'a str,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    fencing_number: FenceNumber,
    order: &'a serde_json::Value,
}

/// Longest answer to a control call, other than an exported cache.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;
/// Longest exported cache.
const EXPORT_LIMIT_BYTES: usize = 1 << 30;
/// Part of a refusal's body that is kept for its message.
const REFUSAL_LIMIT_BYTES: usize = 4 << 10;
/// Longest time to read the body of a refusal, or the end of a body after its last event.
const REMAINDER_TIME: Duration = Duration::from_secs(1);

/// A client of model engines; clones share the connections.
#[derive(Clone)]
pub struct EngineClient {
    http: HttpClient,
    control_time: Duration,
}

impl EngineClient {
    /// Makes a client whose control calls (all but completions) take at most `control_time` each.
    pub fn new(http: HttpClient, control_time: Duration) -> Self {
        Self { http, control_time }
    }

    /// Starts a completion; returns when the engine has accepted it.
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
        let response = self.http.send(address, request, limits.head_time).await?;
        if !response.status().is_success() {
            return Err(self.refusal(response).await);
        }
        Ok(CompletionStream {
            timer: self.http.timer().clone(),
            token_limit: None,
            body: Some(response.into_body()),
            parser: sse::Parser::default(),
            ready: VecDeque::new(),
            finish_reason: None,
            usage: None,
        })
    }

    /// Reads the load report of an engine.
    pub async fn load(&self, address: SocketAddr) -> Result<EngineLoad> {
        let response = self.call(address, get("/v1/load"), ANSWER_LIMIT_BYTES);
        decode(&response.await?)
    }

    /// Reads the prefixes in the cache of an engine.
    pub async fn cache(&self, address: SocketAddr) -> Result<Vec<CacheEntry>> {
        let response = self.call(address, get("/v1/cache"), ANSWER_LIMIT_BYTES);
        Ok(decode::<CacheBody>(&response.await?)?.entries)
    }

    /// Frees the cache of a prefix; freeing one that is not there is harmless.
    pub async fn release(&self, address: SocketAddr, cache_key: &str) -> Result<()> {
        let request = post("/v1/cache/release", encode(&CacheKeyBody { cache_key })?);
        self.call(address, request, ANSWER_LIMIT_BYTES).await?;
        Ok(())
    }

    /// Reads the KV cache of a prefix in the engine's own format.
    pub async fn export_cache(&self, address: SocketAddr, cache_key: &str) -> Result<Bytes> {
        let request = post("/v1/cache/export", encode(&CacheKeyBody { cache_key })?);
        self.call(address, request, EXPORT_LIMIT_BYTES).await
    }

    /// Writes a KV cache that another engine exported.
    pub async fn import_cache(&self, address: SocketAddr, exported: Bytes) -> Result<()> {
        let request = post("/v1/cache/import", exported);
        self.call(address, request, ANSWER_LIMIT_BYTES).await?;
        Ok(())
    }

    /// Gives an engine an order. An engine that checks fencing numbers refuses an old one.
    pub async fn order(
        &self,
        address: SocketAddr,
        fencing_number: FenceNumber,
        order: &serde_json::Value,
    ) -> Result<()> {
        let body = OrderBody {
            fencing_number,
            order,
        };
        let request = post("/v1/orders", encode(&body)?);
        self.call(address, request, ANSWER_LIMIT_BYTES).await?;
        Ok(())
    }

    async fn call(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        limit_bytes: usize,
    ) -> Result<Bytes> {
        let response = self
            .http
            .fetch(address, request, self.control_time, limit_bytes)
            .await?;
        if response.status().is_success() {
            return Ok(response.into_body());
        }
        let status = response.status().as_u16();
        Err(EngineError::Refused(status, excerpt(response.body())))
    }

    async fn refusal(&self, response: Response<Incoming>) -> EngineError {
        let status = response.status().as_u16();
        let body = read_body(response.into_body(), REFUSAL_LIMIT_BYTES);
        let body = match self.http.timer().timeout(REMAINDER_TIME, body).await {
            Ok(Ok(body)) => excerpt(&body),
            // The status alone decides; the body only explains it.
            Ok(Err(_)) | Err(_) => String::new(),
        };
        EngineError::Refused(status, body)
    }
}

#[derive(Deserialize)]
struct Chunk {
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

/// Data of the event that ends a completion.
const DONE: &str = "[DONE]";

/// A completion in progress. Dropping it before its end closes the connection, which cancels it.
pub struct CompletionStream {
    timer: TimerService,
    /// Kept from token to token and started again only when it completes, because starting a sleep
    /// for each token costs more than reading the token.
    token_limit: Option<Sleep>,
    /// `None` after the last event.
    body: Option<Incoming>,
    parser: sse::Parser,
    ready: VecDeque<CompletionEvent>,
    finish_reason: Option<String>,
    usage: Option<Usage>,
}

impl CompletionStream {
    /// Waits at most `token_gap` for the next event; `None` after [`CompletionEvent::Finished`].
    ///
    /// After an error the completion is cancelled, and no further event follows.
    pub async fn next(&mut self, token_gap: Duration) -> Result<Option<CompletionEvent>> {
        let deadline = self.timer.now() + token_gap;
        loop {
            let kept = self.token_limit.take();
            let limit = kept.filter(|limit| limit.deadline() <= deadline);
            let limit = limit.unwrap_or_else(|| self.timer.sleep_until(deadline));
            let outcome = match select(pin!(self.read_event()), limit).await {
                Either::Left((event, limit)) => Some((event, limit)),
                Either::Right(_) => None,
            };
            match outcome {
                Some((event, limit)) => {
                    self.token_limit = Some(limit);
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
            if let Some(event) = self.ready.pop_front() {
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
                    let reason = "the stream ended without its last event";
                    return Err(EngineError::Interrupted(reason.to_string()));
                }
            };
            if let Ok(data) = frame.into_data() {
                self.take_data(&data)?;
            }
        }
    }

    fn take_data(&mut self, data: &[u8]) -> Result<()> {
        let events = self
            .parser
            .push(data)
            .map_err(|error| EngineError::Protocol(error.to_string()))?;
        for event in events {
            if event.data == DONE {
                return self.finish();
            }
            self.take_chunk(&event.data)?;
        }
        Ok(())
    }

    fn take_chunk(&mut self, data: &str) -> Result<()> {
        let chunk: Chunk = serde_json::from_str(data)
            .map_err(|error| EngineError::Protocol(format!("a chunk is not valid: {error}")))?;
        if let Some(choice) = chunk.choices.into_iter().next() {
            let text = choice.delta.content.filter(|text| !text.is_empty());
            self.ready.extend(text.map(CompletionEvent::Token));
            self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
        }
        self.usage = chunk.usage.or(self.usage);
        Ok(())
    }

    fn finish(&mut self) -> Result<()> {
        let Some(usage) = self.usage else {
            let reason = "the stream ended without the usage";
            return Err(EngineError::Protocol(reason.to_string()));
        };
        let finish_reason = self.finish_reason.take().unwrap_or_default();
        self.ready.push_back(CompletionEvent::Finished {
            finish_reason,
            usage,
        });
        if let Some(body) = self.body.take() {
            monoio::spawn(read_to_end(body, self.timer.clone()));
        }
        Ok(())
    }

    fn cancel(&mut self) {
        self.ready.clear();
        // The HTTP connection notices at once that its body is dropped, and closes.
        self.body = None;
    }
}

/// Reads what follows the last event, so that the connection can be used again.
async fn read_to_end(mut body: Incoming, timer: TimerService) {
    let rest = async { while let Some(Ok(_)) = body.frame().await {} };
    let _ = timer.timeout(REMAINDER_TIME, rest).await;
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

fn excerpt(body: &[u8]) -> String {
    let end = body.len().min(REFUSAL_LIMIT_BYTES);
    String::from_utf8_lossy(&body[..end]).into_owned()
}
