//! The body of an answer: a full buffer, or a stream of chunks that are sent as they come.

use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::{SinkExt, Stream};
use hyper::body::{Frame, SizeHint};

/// Chunks that may wait in a stream before its producer has to wait.
const STREAM_CAPACITY_CHUNKS: usize = 64;

/// Why a streamed body ended early.
#[derive(Debug)]
pub struct Aborted;

impl std::fmt::Display for Aborted {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the producer of the body stopped early")
    }
}

impl std::error::Error for Aborted {}

/// The result of sending a chunk.
pub type Result<T> = std::result::Result<T, Aborted>;

/// The body of an answer.
pub enum Body {
    /// All bytes are known.
    Full(Option<Bytes>),
    /// Chunks follow; each is sent at once.
    Stream(BodyReceiver),
}

/// The consuming half of a streamed body.
pub struct BodyReceiver {
    chunks: mpsc::Receiver<Result<Bytes>>,
    /// Dropped together with the body, which tells the producer that nobody reads any more.
    _closed_guard: oneshot::Receiver<()>,
}

/// The producing half of a streamed body. Dropping it ends the body.
pub struct BodySender {
    chunks: mpsc::Sender<Result<Bytes>>,
    closed_signal: oneshot::Sender<()>,
}

impl Body {
    /// A body of known bytes.
    pub fn full(bytes: impl Into<Bytes>) -> Self {
        Body::Full(Some(bytes.into()))
    }

    /// A streamed body and its producer.
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
    /// Sends a chunk; fails when the reader is gone.
    pub async fn send(&mut self, chunk: Bytes) -> Result<()> {
        self.chunks.send(Ok(chunk)).await.map_err(|_| Aborted)
    }

    /// Ends the body; no chunk is sent any more.
    pub fn end(&mut self) {
        self.chunks.close_channel();
    }

    /// Breaks the body off, so that the reader sees an incomplete answer. It does not wait for the
    /// reader.
    pub async fn abort(self) {
        // A new handle has a place of its own in the channel, also when the channel is full.
        let mut chunks = self.chunks.clone();
        // The reader may be gone already.
        let _ = chunks.try_send(Err(Aborted));
    }

    /// Completes when the reader is gone.
    pub async fn closed(&mut self) {
        poll_fn(|context| self.closed_signal.poll_canceled(context)).await
    }

    /// Whether the reader is gone.
    pub fn is_closed(&self) -> bool {
        self.closed_signal.is_canceled()
    }
}

impl BodyReceiver {
    /// The next chunk, or `None` at the end.
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
