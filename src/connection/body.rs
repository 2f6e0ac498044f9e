//! The body of a response: a complete buffer, or a stream of chunks.
//!
//! A streamed body has a bounded channel between its producer ([`BodySender`]) and its reader
//! ([`BodyReceiver`]), so a slow reader slows its producer down. Either side can detect that the
//! other one has stopped early.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::{SinkExt, Stream};
use hyper::body::{Frame, SizeHint};

/// Chunks that a stream buffers before its producer has to wait.
const STREAM_CAPACITY_CHUNKS: usize = 64;

/// The producer aborted a streamed body, or its reader was dropped.
#[derive(Debug)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the producer of the body aborted it")
    }
}

impl std::error::Error for Aborted {}

/// The result of sending a chunk.
pub type Result<T> = std::result::Result<T, Aborted>;

/// The body of a response.
pub enum Body {
    /// The complete body; `None` after its bytes were read.
    Full(Option<Bytes>),
    /// A stream of chunks; each is sent immediately.
    Stream(BodyReceiver),
}

/// The consuming half of a streamed body.
pub struct BodyReceiver {
    chunks: mpsc::Receiver<Result<Bytes>>,
    /// Dropping it together with the body notifies the producer that the reader is gone.
    _closed_guard: oneshot::Receiver<()>,
}

/// The producing half of a streamed body. Dropping it without [`BodySender::end`] aborts the body, so
/// that a response whose producer fails does not look complete.
pub struct BodySender {
    chunks: mpsc::Sender<Result<Bytes>>,
    closed_signal: oneshot::Sender<()>,
}

impl Body {
    /// Creates a complete body.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Body::Full(Some(bytes.into()))
    }

    /// Creates a streamed body and its producer.
    pub fn stream() -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_CAPACITY_CHUNKS);
        let (closed_signal, closed_guard) = oneshot::channel();
        let body = BodyReceiver {
            chunks: receiver,
            _closed_guard: closed_guard,
        };
        (
            BodySender {
                chunks: sender,
                closed_signal,
            },
            Body::Stream(body),
        )
    }
}

impl BodySender {
    /// Sends a chunk, waiting while the stream is full; fails if the reader was dropped.
    pub async fn send(&mut self, chunk: Bytes) -> Result<()> {
        self.chunks.send(Ok(chunk)).await.map_err(|_| Aborted)
    }

    /// Ends the body as complete; later chunks are not sent.
    pub fn end(&mut self) {
        self.chunks.close_channel();
    }

    /// Ends the body with an error, so that the reader can detect the incomplete response. Does not
    /// wait for the reader.
    pub async fn abort(self) {
        drop(self);
    }

    /// Completes when the reader was dropped.
    pub async fn closed(&mut self) {
        poll_fn(|context| self.closed_signal.poll_canceled(context)).await
    }

    /// Whether the reader was dropped.
    pub fn is_closed(&self) -> bool {
        self.closed_signal.is_canceled()
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        if self.chunks.is_closed() {
            return;
        }
        // Each sender of the channel has a reserved slot, so a new one can send even if the channel
        // is full. It fails only if the reader was dropped.
        let _ = self.chunks.clone().try_send(Err(Aborted));
    }
}

impl BodyReceiver {
    /// Returns the next chunk, or `None` at the end.
    pub async fn next(&mut self) -> Option<Result<Bytes>> {
        poll_fn(|context| Pin::new(&mut self.chunks).poll_next(context)).await
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            Body::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Body::Stream(receiver) => Pin::new(&mut receiver.chunks)
                .poll_next(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Body::Stream(_) => SizeHint::default(),
        }
    }
}
