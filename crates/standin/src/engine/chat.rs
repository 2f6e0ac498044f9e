//! Chat completions: admission to the batch, prefill, token generation and the response stream.
//!
//! A request is cancelled when its client closes the connection, after the cancel lag.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{Either, select};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use sapphireford::connection::body::{Body, BodySender};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::cache::{CachedMessage, Prefill};
use super::control::Fault;
use super::text::{GeneratedWords, Message, count_tokens};
use super::{State, duration_at_rate};
use crate::response;

const DEFAULT_MAX_TOKENS: u64 = 16;
/// Delay before a stream is aborted, so that the server can flush the tokens sent so far.
const FLUSH_DELAY: Duration = Duration::from_millis(5);

/// Body of `POST /v1/chat/completions`.
#[derive(Debug, Deserialize)]
pub struct ChatBody {
    messages: Vec<Message>,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    cache_key: Option<String>,
}

#[derive(Clone, Copy, Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    cached_tokens: u64,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum CallOutcome {
    Finished,
    Cancelled,
    Broken,
}

/// Responds to a chat request with a stream, unless a failure is injected.
pub async fn complete(state: Rc<State>, body: ChatBody) -> Response<Body> {
    if !body.stream {
        return response::error(StatusCode::BAD_REQUEST, "`stream` must be true");
    }
    let fault = state.faults.borrow_mut().next_fault();
    let break_after_tokens = match fault {
        Fault::None => None,
        Fault::BreakAfter(tokens) => Some(tokens),
        Fault::Hang => return response::hang().await,
        Fault::Fail => {
            state.stats.borrow_mut().calls_refused += 1;
            return response::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "injected failure; the call was not executed",
            );
        }
    };
    state.record_start();
    let (sender, stream) = Body::stream();
    let call = ChatCall::new(state, body, break_after_tokens);
    monoio::spawn(call.run(sender));
    let mut response = Response::new(stream);
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

impl State {
    fn record_start(&self) {
        let mut stats = self.stats.borrow_mut();
        stats.calls_started += 1;
        if self.faults.borrow().leaving {
            stats.calls_started_while_leaving += 1;
        }
    }

    fn record_end(&self, outcome: CallOutcome) {
        let mut stats = self.stats.borrow_mut();
        match outcome {
            CallOutcome::Finished => stats.calls_finished += 1,
            CallOutcome::Cancelled => stats.calls_cancelled += 1,
            CallOutcome::Broken => stats.calls_broken += 1,
        }
    }

    fn record_prefill(&self, prompt_tokens: u64, prefill: Prefill) {
        let mut stats = self.stats.borrow_mut();
        stats.tokens_prefilled += prompt_tokens - prefill.cached_tokens;
        stats.tokens_from_cache += prefill.cached_tokens;
        stats.tokens_recomputed_after_eviction += prefill.recomputed_tokens;
    }

    /// Queues a prefill after those already queued and returns the time of its completion.
    fn queue_prefill(&self, tokens: u64) -> Instant {
        let start = self.prefills_done_at.get().max(self.timer.now());
        let end = start + duration_at_rate(tokens, self.settings.prefill_tokens_per_second);
        self.prefills_done_at.set(end);
        end
    }

    /// Returns the duration of a decode step at the current batch size.
    fn step_duration(&self) -> Duration {
        let others = self.batch.running().saturating_sub(1) as f64;
        let factor = 1.0 + self.settings.batch_slowdown * others;
        self.settings.decode_step.mul_f64(factor.max(0.0))
    }
}

struct Client {
    sender: BodySender,
    /// When the engine detected that the client closed the connection.
    disconnected_at: Option<Instant>,
}

struct ChatCall {
    state: Rc<State>,
    messages: Vec<Message>,
    prompt: Vec<CachedMessage>,
    cache_key: Option<String>,
    max_tokens: u64,
    break_after_tokens: Option<u64>,
}

impl ChatCall {
    fn new(state: Rc<State>, body: ChatBody, break_after_tokens: Option<u64>) -> Self {
        Self {
            state,
            prompt: body.messages.iter().map(CachedMessage::from).collect(),
            messages: body.messages,
            cache_key: body.cache_key,
            max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            break_after_tokens,
        }
    }

    async fn run(self, mut sender: BodySender) {
        let state = &self.state;
        let admission = match select(pin!(state.batch.admit()), pin!(sender.closed())).await {
            Either::Left((slot, _)) => Some(slot),
            Either::Right(_) => None,
        };
        let Some(_slot) = admission else {
            state.record_end(CallOutcome::Cancelled);
            return;
        };
        let prefill = match &self.cache_key {
            Some(key) => state.cache.borrow_mut().begin_request(key, &self.prompt),
            None => Prefill::default(),
        };
        let mut client = Client {
            sender,
            disconnected_at: None,
        };
        let (outcome, text) = self.generate(&mut client, prefill).await;
        self.update_cache(outcome, text);
        state.record_end(outcome);
        if outcome == CallOutcome::Broken {
            client.sender.abort().await;
        } else {
            client.sender.end();
        }
    }

    fn update_cache(&self, outcome: CallOutcome, text: String) {
        let Some(key) = &self.cache_key else {
            return;
        };
        let answer = Message {
            role: "assistant".to_string(),
            content: text,
        };
        let answer = (outcome == CallOutcome::Finished).then_some(&answer);
        let mut cache = self.state.cache.borrow_mut();
        cache.end_request(key, &self.prompt, answer);
    }

    /// Prefills and decodes. Returns the text generated, which is incomplete unless the call
    /// finished.
    async fn generate(&self, client: &mut Client, prefill: Prefill) -> (CallOutcome, String) {
        let state = &self.state;
        let mut text = String::new();
        let prompt_tokens = count_tokens(&self.messages);
        state.record_prefill(prompt_tokens, prefill);
        let mut ready_at = state.queue_prefill(prompt_tokens - prefill.cached_tokens);
        if !self.wait_until(client, ready_at).await {
            return (CallOutcome::Cancelled, text);
        }
        let words = GeneratedWords::new(&self.messages);
        let extra_tokens = state.faults.borrow().extra_tokens;
        let count = self.max_tokens.min(state.settings.stop_after_tokens) + extra_tokens;
        for index in 0..count {
            if self.breaks_before_token(index).await {
                return (CallOutcome::Broken, text);
            }
            ready_at += state.step_duration();
            if !self.wait_until(client, ready_at).await {
                return (CallOutcome::Cancelled, text);
            }
            let token = words.token(index);
            text.push_str(&token);
            self.record_token(client);
            // The next wait detects a closed connection.
            let _ = client.sender.send(token_event(&token)).await;
        }
        if self.breaks_before_token(count).await {
            return (CallOutcome::Broken, text);
        }
        let usage = Usage {
            prompt_tokens,
            completion_tokens: count + state.faults.borrow().extra_usage,
            cached_tokens: prefill.cached_tokens,
        };
        let reason = if count < self.max_tokens {
            "stop"
        } else {
            "length"
        };
        match client.sender.send(final_event(reason, usage)).await {
            Ok(()) => (CallOutcome::Finished, text),
            Err(_) => (CallOutcome::Cancelled, text),
        }
    }

    async fn breaks_before_token(&self, index: u64) -> bool {
        if self.break_after_tokens != Some(index) {
            return false;
        }
        self.state.timer.sleep(FLUSH_DELAY).await;
        true
    }

    fn record_token(&self, client: &Client) {
        let mut stats = self.state.stats.borrow_mut();
        stats.tokens_generated += 1;
        if client.sender.is_closed() {
            stats.tokens_generated_without_reader += 1;
        }
    }

    /// Waits until `ready_at`. Returns false if the client has been disconnected for the cancel lag
    /// by then.
    async fn wait_until(&self, client: &mut Client, ready_at: Instant) -> bool {
        let timer = &self.state.timer;
        if client.disconnected_at.is_none() {
            match select(pin!(client.sender.closed()), timer.sleep_until(ready_at)).await {
                Either::Left(_) => client.disconnected_at = Some(timer.now()),
                Either::Right(_) => return true,
            }
        }
        let Some(disconnected_at) = client.disconnected_at else {
            return true;
        };
        let cancelled_at = disconnected_at + self.state.settings.cancel_lag;
        timer.sleep_until(ready_at.min(cancelled_at)).await;
        ready_at < cancelled_at
    }
}

fn token_event(token: &str) -> Bytes {
    sse_event(&json!({
        "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": null}],
    }))
}

fn final_event(reason: &str, usage: Usage) -> Bytes {
    let event = sse_event(&json!({
        "choices": [{"index": 0, "delta": {}, "finish_reason": reason}],
        "usage": usage,
    }));
    [&event[..], b"data: [DONE]\n\n"].concat().into()
}

fn sse_event(value: &Value) -> Bytes {
    format!("data: {value}\n\n").into()
}
