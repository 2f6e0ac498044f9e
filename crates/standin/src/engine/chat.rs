//! One chat request, from its arrival to the end of its stream.

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
use super::text::{Message, Words, count_tokens};
use super::{State, time_for};
use crate::answer;

const DEFAULT_MAX_TOKENS: u64 = 16;
/// Pause before a stream is broken, in which the server writes out the tokens sent so far.
const FLUSH_TIME: Duration = Duration::from_millis(5);

/// The body of a chat request.
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

/// How a stream ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Finished,
    Cancelled,
    Broken,
}

/// Answers a chat request with a stream, unless a failure is injected.
pub async fn complete(state: Rc<State>, body: ChatBody) -> Response<Body> {
    if !body.stream {
        return answer::refused(StatusCode::BAD_REQUEST, "`stream` must be true");
    }
    let fault = state.faults.borrow_mut().take();
    let break_after = match fault {
        Fault::None => None,
        Fault::BreakAfter(tokens) => Some(tokens),
        Fault::Hang => return answer::hang().await,
        Fault::Fail => {
            state.stats.borrow_mut().calls_refused += 1;
            return answer::refused(StatusCode::SERVICE_UNAVAILABLE, "not executed");
        }
    };
    state.count_start();
    let (sender, stream) = Body::stream();
    let call = Call::new(state, body, break_after);
    monoio::spawn(call.run(sender));
    let mut response = Response::new(stream);
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

impl State {
    fn count_start(&self) {
        let mut stats = self.stats.borrow_mut();
        stats.calls_started += 1;
        if self.faults.borrow().leaving {
            stats.calls_started_while_leaving += 1;
        }
    }

    fn count_end(&self, end: End) {
        let mut stats = self.stats.borrow_mut();
        match end {
            End::Finished => stats.calls_finished += 1,
            End::Cancelled => stats.calls_cancelled += 1,
            End::Broken => stats.calls_broken += 1,
        }
    }

    fn count_prefill(&self, prompt_tokens: u64, prefill: Prefill) {
        let mut stats = self.stats.borrow_mut();
        stats.tokens_prefilled += prompt_tokens - prefill.cached_tokens;
        stats.tokens_from_cache += prefill.cached_tokens;
        stats.tokens_recomputed_after_eviction += prefill.recomputed_tokens;
    }

    /// Queues a prefill behind those already started; returns when it will be complete.
    fn queue_prefill(&self, tokens: u64) -> Instant {
        let start = self.prefill_free_at.get().max(self.timer.now());
        let end = start + time_for(tokens, self.settings.prefill_tokens_per_second);
        self.prefill_free_at.set(end);
        end
    }

    /// Time of a decode step for the present size of the batch.
    fn step(&self) -> Duration {
        let others = self.batch.running().saturating_sub(1) as f64;
        let factor = 1.0 + self.settings.batch_slowdown * others;
        self.settings.decode_step.mul_f64(factor.max(0.0))
    }
}

/// The receiving end of the stream.
struct Reader {
    sender: BodySender,
    /// When the engine noticed that the reader is gone.
    gone_at: Option<Instant>,
}

struct Call {
    state: Rc<State>,
    messages: Vec<Message>,
    prompt: Vec<CachedMessage>,
    cache_key: Option<String>,
    max_tokens: u64,
    break_after: Option<u64>,
}

impl Call {
    fn new(state: Rc<State>, body: ChatBody, break_after: Option<u64>) -> Self {
        Self {
            state,
            prompt: body.messages.iter().map(CachedMessage::from).collect(),
            messages: body.messages,
            cache_key: body.cache_key,
            max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
            break_after,
        }
    }

    async fn run(self, mut sender: BodySender) {
        let state = &self.state;
        let admitted = match select(pin!(state.batch.admit()), pin!(sender.closed())).await {
            Either::Left((place, _)) => Some(place),
            Either::Right(_) => None,
        };
        let Some(_place) = admitted else {
            state.count_end(End::Cancelled);
            return;
        };
        let prefill = match &self.cache_key {
            Some(key) => state.cache.borrow_mut().start(key, &self.prompt),
            None => Prefill::default(),
        };
        let mut reader = Reader {
            sender,
            gone_at: None,
        };
        let (end, text) = self.generate(&mut reader, prefill).await;
        self.leave_cache(end, text);
        state.count_end(end);
        if end == End::Broken {
            reader.sender.abort().await;
        }
    }

    fn leave_cache(&self, end: End, text: String) {
        let Some(key) = &self.cache_key else {
            return;
        };
        let answer = Message {
            role: "assistant".to_string(),
            content: text,
        };
        let answer = (end == End::Finished).then_some(&answer);
        let mut cache = self.state.cache.borrow_mut();
        cache.finish(key, &self.prompt, answer);
    }

    /// Prefills and decodes; returns the text generated so far.
    async fn generate(&self, reader: &mut Reader, prefill: Prefill) -> (End, String) {
        let state = &self.state;
        let mut text = String::new();
        let prompt_tokens = count_tokens(&self.messages);
        state.count_prefill(prompt_tokens, prefill);
        let mut due = state.queue_prefill(prompt_tokens - prefill.cached_tokens);
        if !self.wait(reader, due).await {
            return (End::Cancelled, text);
        }
        let words = Words::new(&self.messages);
        let extra = state.faults.borrow().extra_tokens;
        let count = self.max_tokens.min(state.settings.stop_after) + extra;
        for index in 0..count {
            if self.breaks_at(index).await {
                return (End::Broken, text);
            }
            due += state.step();
            if !self.wait(reader, due).await {
                return (End::Cancelled, text);
            }
            let token = words.token(index);
            text.push_str(&token);
            self.count_token(reader);
            // A reader that is gone is noticed by the next wait.
            let _ = reader.sender.send(chunk(&token)).await;
        }
        if self.breaks_at(count).await {
            return (End::Broken, text);
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
        match reader.sender.send(last_chunk(reason, usage)).await {
            Ok(()) => (End::Finished, text),
            Err(_) => (End::Cancelled, text),
        }
    }

    async fn breaks_at(&self, index: u64) -> bool {
        if self.break_after != Some(index) {
            return false;
        }
        self.state.timer.sleep(FLUSH_TIME).await;
        true
    }

    fn count_token(&self, reader: &Reader) {
        let mut stats = self.state.stats.borrow_mut();
        stats.tokens_generated += 1;
        if reader.sender.is_closed() {
            stats.tokens_generated_without_reader += 1;
        }
    }

    /// Waits until `due`; false once the reader has been gone for the time of the cancel lag.
    async fn wait(&self, reader: &mut Reader, due: Instant) -> bool {
        let timer = &self.state.timer;
        if reader.gone_at.is_none() {
            match select(pin!(reader.sender.closed()), timer.sleep_until(due)).await {
                Either::Left(_) => reader.gone_at = Some(timer.now()),
                Either::Right(_) => return true,
            }
        }
        let Some(gone_at) = reader.gone_at else {
            return true;
        };
        let cancelled_at = gone_at + self.state.settings.cancel_lag;
        timer.sleep_until(due.min(cancelled_at)).await;
        due < cancelled_at
    }
}

fn chunk(token: &str) -> Bytes {
    data(&json!({
        "choices": [{"index": 0, "delta": {"content": token}, "finish_reason": null}],
    }))
}

fn last_chunk(reason: &str, usage: Usage) -> Bytes {
    let last = data(&json!({
        "choices": [{"index": 0, "delta": {}, "finish_reason": reason}],
        "usage": usage,
    }));
    [&last[..], b"data: [DONE]\n\n"].concat().into()
}

fn data(value: &Value) -> Bytes {
    format!("data: {value}\n\n").into()
}
