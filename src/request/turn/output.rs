//! The answer to the caller of a turn, as it is written.

use std::time::Instant;

use futures_channel::oneshot;

use crate::connection::body::BodySender;
use crate::connection::sse;
use crate::error::{Error, Result};
use crate::process::metrics::{FIRST_TOKEN_SECONDS, REQUESTS, TOKEN_INTERVAL_SECONDS};
use crate::request::api::{
    DoneEvent, EVENT_DONE, EVENT_ERROR, EVENT_START, EVENT_TOKEN, StartEvent, TokenEvent,
};

/// The answer to the caller: an error status, or a stream that has begun.
pub(super) struct Output {
    /// `None` once the stream has begun.
    head: Option<oneshot::Sender<Result<()>>>,
    pub(super) sender: BodySender,
    /// Number of token events written.
    index: u64,
    /// Events that are not sent yet, see [`Output::flush`].
    pending: Vec<u8>,
    /// When the whole request had arrived.
    received: Instant,
    /// When the first and the last token were written.
    tokens_at: Option<(Instant, Instant)>,
}

/// Events of one stream that are sent together at most.
const PENDING_LIMIT_BYTES: usize = 4 << 10;

impl Output {
    pub(super) fn new(head: oneshot::Sender<Result<()>>, sender: BodySender) -> Self {
        Self {
            head: Some(head),
            sender,
            index: 0,
            pending: Vec::new(),
            received: Instant::now(),
            tokens_at: None,
        }
    }

    /// Records the time to the first token and the mean time between two tokens.
    pub(super) fn record_latency(&self) {
        let Some((first, last)) = self.tokens_at else {
            return;
        };
        metrics::histogram!(FIRST_TOKEN_SECONDS).record(first - self.received);
        if self.index > 1 {
            let intervals = (self.index - 1) as f64;
            let mean = (last - first).as_secs_f64() / intervals;
            metrics::histogram!(TOKEN_INTERVAL_SECONDS).record(mean);
        }
    }

    /// Begins the stream if it has not begun; `start` makes its first event.
    pub(super) fn begin(&mut self, start: impl FnOnce() -> StartEvent) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Ok(()));
            sse::append_event(&mut self.pending, EVENT_START, &start());
        }
    }

    /// Writes a token, which is sent by the next flush.
    pub(super) fn token(&mut self, text: &str) {
        let event = TokenEvent {
            index: self.index,
            text: text.to_string(),
        };
        self.index += 1;
        let now = Instant::now();
        let (first, _) = self.tokens_at.unwrap_or((now, now));
        self.tokens_at = Some((first, now));
        sse::append_event(&mut self.pending, EVENT_TOKEN, &event);
    }

    pub(super) async fn done(&mut self, event: &DoneEvent) {
        sse::append_event(&mut self.pending, EVENT_DONE, event);
        self.flush().await;
    }

    /// Whether events wait to be sent, and further ones may join them.
    pub(super) fn may_collect_more(&self) -> bool {
        !self.pending.is_empty() && self.pending.len() < PENDING_LIMIT_BYTES
    }

    /// Sends what was written since the last flush as one chunk.
    pub(super) async fn flush(&mut self) {
        if !self.pending.is_empty() {
            let chunk = std::mem::take(&mut self.pending);
            // A caller that is gone is noticed by `closed`.
            let _ = self.sender.send(chunk.into()).await;
        }
    }

    pub(super) async fn fail(&mut self, error: Error) {
        match self.head.take() {
            Some(head) => {
                let _ = head.send(Err(error));
            }
            None => {
                let kind = error.kind.answer().name;
                metrics::counter!(REQUESTS, "route" => "turn_stream", "outcome" => kind)
                    .increment(1);
                sse::append_event(&mut self.pending, EVENT_ERROR, &error.to_body());
                self.flush().await;
            }
        }
    }
}
