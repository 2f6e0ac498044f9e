//! The encoding of segments and checkpoints.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::ConversationKey;
use crate::process::conversation::{Conversation, Record};

/// The result of decoding.
pub type Result<T> = std::result::Result<T, CodecError>;

/// An object is not what its key says.
#[derive(Debug)]
pub enum CodecError {
    /// The format version is unknown; the object was written by a newer program.
    Version(u8),
    /// The content does not decode.
    Content(postcard::Error),
}

impl fmt::Display for CodecError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CodecError::Version(version) => {
                write!(
                    formatter,
                    "format version {version} is unknown; update this program"
                )
            }
            CodecError::Content(_) => formatter.write_str("the object is damaged"),
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

/// The first byte of every object.
const FORMAT_VERSION: u8 = 1;

/// State of all conversations of a slot.
#[derive(Serialize, Deserialize)]
pub struct Checkpoint {
    /// Those that were in memory.
    pub conversations: Vec<Conversation>,
    /// Those that are idle and have an object of their own: conversation and object key. None of
    /// them is among `conversations`.
    pub stored: Vec<(ConversationKey, String)>,
}

/// Size of a record in a segment.
pub fn encoded_len(record: &Record) -> usize {
    postcard::experimental::serialized_size(record).unwrap_or(usize::MAX / 2)
}

/// Encodes an object.
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

/// Decodes a conversation that has an object of its own.
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
