//! The encoding of stored objects: segments, checkpoints and evicted conversations.
//!
//! An object is one byte with the format version, followed by the content in `postcard` encoding.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::ConversationKey;
use crate::process::conversation::{Conversation, Record};

/// The result of encoding or decoding an object.
pub type Result<T> = std::result::Result<T, CodecError>;

/// Why an object cannot be encoded or decoded.
#[derive(Debug)]
pub enum CodecError {
    /// The object has this unknown format version, because a newer program wrote it; 0 for an empty
    /// object.
    Version(u8),
    /// The content cannot be encoded, or does not match the expected type.
    Content(postcard::Error),
}

impl fmt::Display for CodecError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::Version(version) => {
                write!(
                    formatter,
                    "unknown format version {version}; update this program"
                )
            }
            CodecError::Content(_) => formatter.write_str("malformed object content"),
        }
    }
}

impl std::error::Error for CodecError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            CodecError::Version(_) => None,
            CodecError::Content(error) => Some(error),
        }
    }
}

/// The first byte of every object; other values are refused.
const FORMAT_VERSION: u8 = 1;

/// The state of all conversations of a slot.
#[derive(Serialize, Deserialize)]
pub struct Checkpoint {
    /// The conversations that were in memory.
    pub conversations: Vec<Conversation>,
    /// The evicted conversations, each with the key of its own object. None of them is among
    /// `conversations`.
    pub stored: Vec<(ConversationKey, String)>,
}

/// Encoded size of a record in bytes. A record that cannot be encoded counts as larger than any
/// queue limit, but not so large that the sum with the queued bytes overflows.
pub fn encoded_len(record: &Record) -> usize {
    postcard::experimental::serialized_size(record).unwrap_or(usize::MAX / 2)
}

/// Encodes a segment (a sequence of records), a checkpoint or a conversation.
pub fn encode(content: &impl Serialize) -> Result<Vec<u8>> {
    postcard::to_extend(content, vec![FORMAT_VERSION]).map_err(CodecError::Content)
}

/// Decodes the records of a segment.
pub fn decode_segment(bytes: &[u8]) -> Result<Vec<Record>> {
    decode(bytes)
}

/// Decodes a checkpoint.
pub fn decode_checkpoint(bytes: &[u8]) -> Result<Checkpoint> {
    decode(bytes)
}

/// Decodes an evicted conversation.
pub fn decode_conversation(bytes: &[u8]) -> Result<Conversation> {
    decode(bytes)
}

fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T> {
    match bytes.split_first() {
        Some((&FORMAT_VERSION, content)) => {
            postcard::from_bytes(content).map_err(CodecError::Content)
        }
        Some((&version, _)) => Err(CodecError::Version(version)),
        None => Err(CodecError::Version(0)),
    }
}
