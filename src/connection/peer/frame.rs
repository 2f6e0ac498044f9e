//! Length-prefixed messages on a stream, and the raw bytes that follow them.

use std::fmt;

use bytes::{Bytes, BytesMut};
use quinn::{ReadError, RecvStream, VarInt};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Size limit of a message in either direction; the body of a forwarded response is not part of a
/// message. It allows for headers and the largest body that the HTTP server accepts by default
/// (4 MiB).
pub(super) const MAX_MESSAGE_BYTES: usize = 16 << 20;
const LENGTH_PREFIX_BYTES: usize = 4;
/// Most bytes taken from a stream in one read.
const MAX_CHUNK_BYTES: usize = 64 << 10;

/// The result of encoding or reading a message.
pub(super) type Result<T> = std::result::Result<T, FrameError>;

/// Why a message could not be encoded or read.
#[derive(Debug)]
pub(super) enum FrameError {
    TooLong(usize),
    Codec(postcard::Error),
    /// The stream ended before the first byte of the message.
    Empty,
    /// The stream ended in the middle of the message.
    Truncated,
    Read(ReadError),
}

impl FrameError {
    /// The error code if the peer has reset the stream.
    pub(super) fn reset_code(&self) -> Option<VarInt> {
        match self {
            FrameError::Read(ReadError::Reset(code)) => Some(*code),
            _ => None,
        }
    }
}

impl fmt::Display for FrameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLong(bytes) => write!(
                formatter,
                "the message of {bytes} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes"
            ),
            FrameError::Codec(error) => {
                write!(formatter, "could not encode or decode the message: {error}")
            }
            FrameError::Empty => formatter.write_str("the stream ended before the message"),
            FrameError::Truncated => {
                formatter.write_str("the stream ended in the middle of the message")
            }
            FrameError::Read(error) => error.fmt(formatter),
        }
    }
}

impl std::error::Error for FrameError {}

/// Encodes a message with its length prefix.
pub(super) fn encode(message: &impl Serialize) -> Result<Bytes> {
    let mut buffer =
        postcard::to_extend(message, vec![0; LENGTH_PREFIX_BYTES]).map_err(FrameError::Codec)?;
    let length = buffer.len() - LENGTH_PREFIX_BYTES;
    if length > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLong(length));
    }
    buffer[..LENGTH_PREFIX_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(buffer.into())
}

/// Reads messages and raw bytes from a stream.
pub(super) struct FrameReader {
    stream: RecvStream,
    /// Received bytes that are not consumed yet.
    buffer: BytesMut,
}

impl FrameReader {
    pub(super) fn new(stream: RecvStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::new(),
        }
    }

    pub(super) fn has_buffered_bytes(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Reads one message. The buffer grows with the received bytes, not by the announced length, so
    /// that a false length does not allocate memory.
    pub(super) async fn read<T: DeserializeOwned>(&mut self) -> Result<T> {
        self.fill(LENGTH_PREFIX_BYTES).await?;
        let mut prefix = [0; LENGTH_PREFIX_BYTES];
        prefix.copy_from_slice(&self.buffer[..LENGTH_PREFIX_BYTES]);
        let length = u32::from_be_bytes(prefix) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLong(length));
        }
        self.fill(LENGTH_PREFIX_BYTES + length).await?;
        let message = self.buffer.split_to(LENGTH_PREFIX_BYTES + length);
        postcard::from_bytes(&message[LENGTH_PREFIX_BYTES..]).map_err(FrameError::Codec)
    }

    /// Returns the next bytes as they arrive, or `None` at the end of the stream.
    pub(super) async fn next_chunk(&mut self) -> Result<Option<Bytes>> {
        if !self.buffer.is_empty() {
            return Ok(Some(self.buffer.split().freeze()));
        }
        let chunk = self.stream.read_chunk(MAX_CHUNK_BYTES, true).await;
        Ok(chunk.map_err(FrameError::Read)?.map(|chunk| chunk.bytes))
    }

    /// Asks the peer to stop sending.
    pub(super) fn stop(&mut self, code: VarInt) {
        // Fails only if the stream has already ended.
        let _ = self.stream.stop(code);
    }

    async fn fill(&mut self, length: usize) -> Result<()> {
        while self.buffer.len() < length {
            let chunk = self.stream.read_chunk(MAX_CHUNK_BYTES, true).await;
            match chunk.map_err(FrameError::Read)? {
                Some(chunk) => self.buffer.extend_from_slice(&chunk.bytes),
                None if self.buffer.is_empty() => return Err(FrameError::Empty),
                None => return Err(FrameError::Truncated),
            }
        }
        Ok(())
    }
}
