//! The entry addresses that a caller has cached: per conversation until the TTL of the answer
//! expires, and the candidates for requesting a new list of entries.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::ConversationId;
use crate::request::api::EntriesAnswer;

/// When the cache is full, the oldest answer is evicted.
const MAX_CACHED_CONVERSATIONS: usize = 10_000;

struct CachedAnswer {
    answer: EntriesAnswer,
    expires_at: Instant,
}

/// The seeds of a caller, which are the entry addresses it was created with, and the lists of
/// entries that it received.
pub(super) struct AddressCache {
    seeds: Vec<SocketAddr>,
    /// Addresses of the latest answer, used to find entries after all seeds were replaced.
    latest_addresses: Vec<SocketAddr>,
    conversations: IndexMap<ConversationId, CachedAnswer>,
}

impl AddressCache {
    pub fn new(seeds: Vec<SocketAddr>) -> Self {
        Self {
            seeds,
            latest_addresses: Vec::new(),
            conversations: IndexMap::new(),
        }
    }

    /// Returns the cached answer for a conversation unless its TTL has expired.
    pub fn get(&self, conversation: &str, now: Instant) -> Option<EntriesAnswer> {
        let cached = self.conversations.get(conversation)?;
        (now < cached.expires_at).then(|| cached.answer.clone())
    }

    /// Caches an answer for its TTL.
    pub fn insert(&mut self, conversation: &str, answer: &EntriesAnswer, now: Instant) {
        self.latest_addresses = answer.entries.iter().map(|entry| entry.address).collect();
        if self.conversations.len() >= MAX_CACHED_CONVERSATIONS {
            self.conversations.shift_remove_index(0);
        }
        let cached = CachedAnswer {
            answer: answer.clone(),
            expires_at: now + Duration::from_millis(answer.ttl_ms),
        };
        self.conversations.shift_remove(conversation);
        self.conversations.insert(conversation.into(), cached);
    }

    /// Removes the answer for a conversation, so that the next call requests a new one.
    pub fn invalidate(&mut self, conversation: &str) {
        self.conversations.shift_remove(conversation);
    }

    /// The entries to request a list from: seeds and latest addresses, those in `failed` last.
    pub fn candidates(&self, failed: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut candidates: Vec<SocketAddr> = Vec::new();
        for address in self.seeds.iter().chain(&self.latest_addresses) {
            if !candidates.contains(address) {
                candidates.push(*address);
            }
        }
        candidates.sort_by_key(|address| failed.contains(address));
        candidates
    }
}
