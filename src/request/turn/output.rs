//! The response to the caller of a turn, and its latency metrics.
//!
//! Events are collected in a buffer and sent as one chunk by a flush, so that tokens that arrive
//! together need one write.

use std::time::Instant;

use futures_channel::oneshot;

use crate::connection::body::BodySender;
use crate::connection::sse;
use crate::error::{Error, Result};
use crate::process::metrics::{FIRST_TOKEN_SECONDS, REQUESTS, TOKEN_INTERVAL_SECONDS};
use crate::request::api::{
    DoneEvent, EVENT_DONE, EVENT_ERROR, EVENT_START, EVENT_TOKEN, StartEvent, TokenEvent,
};

/// The response to the caller: an error status, or an event stream once it has begun.
pub(super) struct Output {
    /// Resolves the response to a stream or an error status; `None` after that.
    head: Option<oneshot::Sender<Result<()>>>,
    pub(super) sender: BodySender,
    /// Token events written, which is also the index of the next one.
    tokens_written: u64,
    /// Encoded events that have not been sent yet, see [`Output::flush`].
    pending: Vec<u8>,
    /// When the turn was accepted, after its whole request had arrived.
    received_at: Instant,
    /// When the first and the latest token were written; `None` before the first one.
    first_and_last_token_at: Option<(Instant, Instant)>,
}

/// Size of the buffered events of one stream from which no more are collected before a flush.
const PENDING_LIMIT_BYTES: usize = 4 << 10;

impl Output {
    pub(super) fn new(head: oneshot::Sender<Result<()>>, sender: BodySender) -> Self {
        Self {
            head: Some(head),
            sender,
            tokens_written: 0,
            pending: Vec::new(),
            received_at: Instant::now(),
            first_and_last_token_at: None,
        }
    }

    /// Records the time to the first token, and the mean interval between tokens if there are
    /// several.
    pub(super) fn record_latency(&self) {
        let Some((first, last)) = self.first_and_last_token_at else {
            return;
        };
        metrics::histogram!(FIRST_TOKEN_SECONDS).record(first - self.received_at);
        if self.tokens_written > 1 {
            let interval_count = (self.tokens_written - 1) as f64;
            let mean = (last - first).as_secs_f64() / interval_count;
            metrics::histogram!(TOKEN_INTERVAL_SECONDS).record(mean);
        }
    }

    /// Begins the stream if it has not begun; `start` creates its first event.
    pub(super) fn begin(&mut self, start: impl FnOnce() -> StartEvent) {
        if let Some(head) = self.head.take() {
            let _ = head.send(Ok(()));
            sse::append_event(&mut self.pending, EVENT_START, &start());
        }
    }

    /// Adds a token event to the buffer; the next flush sends it.
    pub(super) fn write_token(&mut self, text: &str) {
        let event = TokenEvent {
            index: self.tokens_written,
            text: text.to_string(),
        };
        self.tokens_written += 1;
        let now = Instant::now();
        let (first, _) = self.first_and_last_token_at.unwrap_or((now, now));
        self.first_and_last_token_at = Some((first, now));
        sse::append_event(&mut self.pending, EVENT_TOKEN, &event);
    }

    pub(super) async fn finish(&mut self, event: &DoneEvent) {
        sse::append_event(&mut self.pending, EVENT_DONE, event);
        self.flush().await;
        self.sender.end();
    }

    /// Whether the buffer has events and accepts more before the next flush.
    pub(super) fn can_batch_more(&self) -> bool {
        !self.pending.is_empty() && self.pending.len() < PENDING_LIMIT_BYTES
    }

    /// Sends the buffered events as one chunk.
    pub(super) async fn flush(&mut self) {
        if !self.pending.is_empty() {
            let chunk = std::mem::take(&mut self.pending);
            // `BodySender::closed` reports that the caller has disconnected.
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
                self.sender.end();
            }
        }
    }
}
