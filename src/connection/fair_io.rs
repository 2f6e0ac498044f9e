//! A connection that lets other tasks run and bounds the head of a response.
//!
//! The HTTP library reads for as long as bytes arrive. A peer that sends without end, such as one
//! interim response after the other, would keep the thread of the process, and with it all other
//! connections and all timers.

use std::cell::Cell;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use monoio::io::poll_io::{AsyncRead, AsyncWrite, ReadBuf};

/// Reads without waiting after which a connection lets the other tasks run.
const MAX_CONSECUTIVE_READS: u32 = 16;

/// The bytes that a connection may still read before the head of a response must be complete.
/// Clones share the count.
#[derive(Clone, Debug, Default)]
pub struct HeadAllowance {
    /// `None` while no response is due, or after its head.
    bytes_left: Rc<Cell<Option<usize>>>,
}

impl HeadAllowance {
    /// Starts to count the bytes of a head, interim responses included.
    pub fn start(&self, limit_bytes: usize) {
        self.bytes_left.set(Some(limit_bytes));
    }

    /// Ends the count: the head is complete.
    pub fn end(&self) {
        self.bytes_left.set(None);
    }

    fn consume(&self, bytes: usize) -> Result<()> {
        let Some(left) = self.bytes_left.get() else {
            return Ok(());
        };
        let left = left.checked_sub(bytes).ok_or_else(|| {
            let reason = "the head of the response, with its interim responses, is too long";
            Error::new(ErrorKind::InvalidData, reason)
        })?;
        self.bytes_left.set(Some(left));
        Ok(())
    }
}

/// A connection whose reads are interrupted regularly.
pub struct FairIo<T> {
    inner: T,
    /// Reads since the task last waited.
    consecutive_reads: u32,
    head: HeadAllowance,
}

impl<T> FairIo<T> {
    /// Wraps a connection; `head` bounds the heads of the responses that it receives.
    pub fn new(inner: T, head: HeadAllowance) -> Self {
        Self {
            inner,
            consecutive_reads: 0,
            head,
        }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for FairIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        if self.consecutive_reads >= MAX_CONSECUTIVE_READS {
            self.consecutive_reads = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(context, buffer);
        if polled.is_pending() {
            self.consecutive_reads = 0;
        }
        ready!(polled)?;
        self.consecutive_reads += 1;
        self.head.consume(buffer.filled().len() - filled_before)?;
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for FairIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }
}
