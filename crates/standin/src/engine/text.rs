//! Token counting and the text that the engine generates.
//!
//! Each word, separated by whitespace, is one token. A message counts the words of its content plus
//! [`TOKENS_PER_MESSAGE`]. A generated token is one word.
//!
//! The generated words depend only on the messages. In each group of [`WORDS_PER_GROUP`] words, the
//! first contains a hash of all messages, the second the first word of the first message that is
//! not a system message, and the third the first word of the last message. A test that starts its
//! messages with unique tags can therefore detect an answer that belongs to another conversation or
//! turn.

use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

/// Tokens that each message counts in addition to its words.
pub const TOKENS_PER_MESSAGE: u64 = 4;
/// Period, in words, at which the generated text repeats the hash and the tags.
pub const WORDS_PER_GROUP: u64 = 16;
/// Limit of the characters of a tag that are copied into a generated word.
const MAX_TAG_CHARS: usize = 64;

/// A chat message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// The text of the message.
    pub content: String,
}

/// Counts the prompt tokens of a list of messages.
pub fn count_tokens(messages: &[Message]) -> u64 {
    messages.iter().map(count_message_tokens).sum()
}

/// Counts the tokens of one message.
pub fn count_message_tokens(message: &Message) -> u64 {
    message.content.split_whitespace().count() as u64 + TOKENS_PER_MESSAGE
}

/// Returns the first `count` words of the answer to `messages`, as a client concatenates the
/// tokens.
pub fn expected_text(messages: &[Message], count: u64) -> String {
    let words = GeneratedWords::new(messages);
    (0..count).map(|index| words.token(index)).collect()
}

/// Hashes a message for comparison with a cached one.
pub(super) fn message_hash(message: &Message) -> u64 {
    hash_value(message)
}

/// Generates the words of the answer to a list of messages.
pub(super) struct GeneratedWords {
    seed: u64,
    first_tag: String,
    last_tag: String,
}

impl GeneratedWords {
    pub(super) fn new(messages: &[Message]) -> Self {
        let first = messages.iter().find(|message| message.role != "system");
        Self {
            seed: hash_value(messages),
            first_tag: tag(first),
            last_tag: tag(messages.last()),
        }
    }

    /// Returns the word at `index`, with a leading space unless it is the first.
    pub(super) fn token(&self, index: u64) -> String {
        let word = self.word(index);
        match index {
            0 => word,
            _ => format!(" {word}"),
        }
    }

    fn word(&self, index: u64) -> String {
        match index % WORDS_PER_GROUP {
            0 => format!("hash:{:016x}", self.seed),
            1 => format!("first:{}", self.first_tag),
            2 => format!("last:{}", self.last_tag),
            _ => format!("w{index}-{:04x}", hash_value(&(self.seed, index)) as u16),
        }
    }
}

fn tag(message: Option<&Message>) -> String {
    let word = message.and_then(|message| message.content.split_whitespace().next());
    word.unwrap_or_default()
        .chars()
        .take(MAX_TAG_CHARS)
        .collect()
}

fn hash_value<T: Hash + ?Sized>(value: &T) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
