//! The addresses of entries: those of each conversation for as long as their answer is valid, and
//! all that are known, to ask for more.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::ConversationId;
use crate::request::api::EntriesAnswer;

/// Most conversations whose addresses are kept; the oldest answer gives way.
const CONVERSATIONS_LIMIT: usize = 10_000;

struct Cached {
    answer: EntriesAnswer,
    expires: Instant,
}

/// The addresses that a caller knows.
pub(super) struct AddressCache {
    seeds: Vec<SocketAddr>,
    /// Addresses of the latest answer, so that entries can be found after all seeds were replaced.
    latest: Vec<SocketAddr>,
    conversations: IndexMap<ConversationId, Cached>,
}

impl AddressCache {
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            latest: Vec::new(),
            conversations: IndexMap::new(),
        }
    }

    /// The answer for a conversation if it is still valid.
    pub fn get(&self, conversation: &str, now: Instant) -> Option<EntriesAnswer> {
        let cached = self.conversations.get(conversation)?;
        (now < cached.expires).then(|| cached.answer.clone())
    }

    /// Keeps an answer for the time that it names.
    pub fn insert(&mut self, conversation: &str, answer: &EntriesAnswer, now: Instant) {
        self.latest = answer.entries.iter().map(|entry| entry.address).collect();
        if self.conversations.len() >= CONVERSATIONS_LIMIT {
            self.conversations.shift_remove_index(0);
        }
        let cached = Cached {
            answer: answer.clone(),
            expires: now + Duration::from_millis(answer.ttl_ms),
        };
        self.conversations.shift_remove(conversation);
        self.conversations.insert(conversation.into(), cached);
    }

    /// Forgets the answer for a conversation.
    pub fn invalidate(&mut self, conversation: &str) {
        self.conversations.shift_remove(conversation);
    }

    /// All entries that may be asked, those in `avoid` last.
    pub fn known(&self, avoid: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut known: Vec<SocketAddr> = Vec::new();
        for address in self.seeds.iter().chain(&self.latest) {
            if !known.contains(address) {
                known.push(*address);
            }
        }
        known.sort_by_key(|address| avoid.contains(address));
        known
    }
}
