//! The prefix cache: for each cache key, the messages whose tokens are in memory.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::events::{EventKind, EventLog};
use super::text::{Message, count_message_tokens, message_hash};

/// Evicted entries that are remembered to count recomputed tokens.
const MAX_EVICTION_RECORDS: usize = 100_000;

/// A message as the cache knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedMessage {
    hash: u64,
    tokens: u64,
}

impl From<&Message> for CachedMessage {
    fn from(message: &Message) -> Self {
        Self {
            hash: message_hash(message),
            tokens: count_message_tokens(message),
        }
    }
}

/// An entry in transfer between engines.
#[derive(Debug, Serialize, Deserialize)]
pub struct ExportedEntry {
    cache_key: String,
    messages: Vec<CachedMessage>,
}

impl ExportedEntry {
    /// Size of the entry.
    pub fn tokens(&self) -> u64 {
        total_tokens(&self.messages)
    }
}

/// An entry in the list of entries.
#[derive(Serialize)]
pub struct EntrySize {
    cache_key: String,
    tokens: u64,
}

/// How the tokens of a prompt are obtained.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prefill {
    /// Taken from the cache.
    pub cached_tokens: u64,
    /// Computed again, because their entry was evicted.
    pub recomputed_tokens: u64,
}

struct Entry {
    messages: Vec<CachedMessage>,
    /// Requests that use the entry; while there are any, it is not evicted.
    active_requests: usize,
    /// Whether the entry is to be removed once nobody uses it.
    is_release_pending: bool,
    /// Value of the cache's clock at the last use.
    last_used: u64,
}

/// The cache.
pub struct Cache {
    limit_tokens: u64,
    /// Sum of the tokens of all entries. Exceeds the limit only while the entries are in use.
    used_tokens: u64,
    use_count: u64,
    entries: IndexMap<String, Entry>,
    evicted: IndexMap<String, Vec<CachedMessage>>,
    evicted_tokens: u64,
    released_tokens: u64,
    events: EventLog,
}

impl Cache {
    /// An empty cache.
    pub fn new(limit_tokens: u64, events: EventLog) -> Self {
        Self {
            limit_tokens,
            used_tokens: 0,
            use_count: 0,
            entries: IndexMap::new(),
            evicted: IndexMap::new(),
            evicted_tokens: 0,
            released_tokens: 0,
            events,
        }
    }

    /// The memory limit.
    pub fn limit_tokens(&self) -> u64 {
        self.limit_tokens
    }

    /// The memory in use.
    pub fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    /// Tokens evicted so far.
    pub fn evicted_tokens(&self) -> u64 {
        self.evicted_tokens
    }

    /// Tokens released so far.
    pub fn released_tokens(&self) -> u64 {
        self.released_tokens
    }

    /// The events of this cache.
    pub fn events(&self) -> &EventLog {
        &self.events
    }

    /// All entries.
    pub fn entries(&self) -> Vec<EntrySize> {
        let size = |(key, entry): (&String, &Entry)| EntrySize {
            cache_key: key.clone(),
            tokens: total_tokens(&entry.messages),
        };
        self.entries.iter().map(size).collect()
    }

    /// Starts to use an entry for a prompt. Each call needs one of [`Cache::finish`].
    pub fn begin_request(&mut self, key: &str, prompt: &[CachedMessage]) -> Prefill {
        let cached = self.entries.get(key).map(|entry| &entry.messages[..]);
        let cached_tokens = common_prefix_tokens(cached.unwrap_or_default(), prompt);
        let evicted = self.evicted.swap_remove(key).unwrap_or_default();
        let evicted_prefix_tokens = common_prefix_tokens(&evicted, prompt);
        self.insert_messages(key, prompt.to_vec());
        if let Some(entry) = self.entries.get_mut(key) {
            entry.active_requests += 1;
            entry.is_release_pending = false;
        }
        self.evict_to_limit();
        Prefill {
            cached_tokens,
            recomputed_tokens: evicted_prefix_tokens.saturating_sub(cached_tokens),
        }
    }

    /// Ends the use of an entry. `answer` is appended to the prompt if it is complete.
    pub fn end_request(&mut self, key: &str, prompt: &[CachedMessage], answer: Option<&Message>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.active_requests -= 1;
        let should_remove = entry.is_release_pending && entry.active_requests == 0;
        // Another request with the same key may have replaced the messages meanwhile.
        if let Some(answer) = answer
            && entry.messages == prompt
        {
            let mut messages = prompt.to_vec();
            messages.push(answer.into());
            self.insert_messages(key, messages);
        }
        self.log_stored_event(key);
        if should_remove {
            self.remove_released(key);
        }
        self.evict_to_limit();
    }

    /// Removes an entry, or has it removed once nobody uses it.
    pub fn release(&mut self, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.is_release_pending = true;
        if entry.active_requests == 0 {
            self.remove_released(key);
        }
    }

    /// Copies an entry for another engine.
    pub fn export(&self, key: &str) -> Option<ExportedEntry> {
        let entry = self.entries.get(key)?;
        Some(ExportedEntry {
            cache_key: key.to_string(),
            messages: entry.messages.clone(),
        })
    }

    /// Takes an entry from another engine, unless a request uses an own one. Returns the tokens that
    /// are cached for its key now.
    pub fn import(&mut self, exported: ExportedEntry) -> u64 {
        let key = exported.cache_key;
        let is_in_use = self
            .entries
            .get(&key)
            .is_some_and(|entry| entry.active_requests > 0);
        if !is_in_use {
            self.insert_messages(&key, exported.messages);
            self.log_stored_event(&key);
            self.evict_to_limit();
        }
        let entry = self.entries.get(&key);
        entry.map_or(0, |entry| total_tokens(&entry.messages))
    }

    fn insert_messages(&mut self, key: &str, messages: Vec<CachedMessage>) {
        self.use_count += 1;
        self.used_tokens += total_tokens(&messages);
        let entry = self.entries.entry(key.to_string()).or_insert(Entry {
            messages: Vec::new(),
            active_requests: 0,
            is_release_pending: false,
            last_used: 0,
        });
        self.used_tokens -= total_tokens(&entry.messages);
        entry.messages = messages;
        entry.last_used = self.use_count;
    }

    fn log_stored_event(&mut self, key: &str) {
        if let Some(entry) = self.entries.get(key) {
            let tokens = total_tokens(&entry.messages);
            self.events.record(EventKind::Stored, key, tokens);
        }
    }

    fn remove_released(&mut self, key: &str) {
        if let Some(entry) = self.entries.swap_remove(key) {
            let tokens = total_tokens(&entry.messages);
            self.used_tokens -= tokens;
            self.released_tokens += tokens;
            self.events.record(EventKind::Released, key, tokens);
        }
    }

    fn evict_to_limit(&mut self) {
        while self.used_tokens > self.limit_tokens {
            let unused = self
                .entries
                .iter()
                .filter(|(_, entry)| entry.active_requests == 0);
            let oldest = unused.min_by_key(|(_, entry)| entry.last_used);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else {
                return;
            };
            self.evict(&key);
        }
    }

    fn evict(&mut self, key: &str) {
        let Some((key, entry)) = self.entries.swap_remove_entry(key) else {
            return;
        };
        let tokens = total_tokens(&entry.messages);
        self.used_tokens -= tokens;
        self.evicted_tokens += tokens;
        self.events.record(EventKind::Evicted, &key, tokens);
        if self.evicted.len() < MAX_EVICTION_RECORDS {
            self.evicted.insert(key, entry.messages);
        }
    }
}

fn total_tokens(messages: &[CachedMessage]) -> u64 {
    messages.iter().map(|message| message.tokens).sum()
}

fn common_prefix_tokens(left: &[CachedMessage], right: &[CachedMessage]) -> u64 {
    let pairs = left.iter().zip(right);
    let common = pairs.take_while(|(left, right)| left == right);
    common.map(|(message, _)| message.tokens).sum()
}
