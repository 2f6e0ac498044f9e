//! The prefix cache: for each cache key, the messages whose tokens are in memory.
//!
//! A request reuses the longest common prefix of its prompt and the cached messages of its key.
//! Above the limit, the least recently used entries without active requests are evicted.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::events::{EventKind, EventLog};
use super::text::{Message, count_message_tokens, message_hash};

/// Evicted entries that are recorded in order to count recomputed tokens; bounds the memory.
const MAX_EVICTION_RECORDS: usize = 100_000;

/// Identity and size of a cached message.
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

/// A cache entry as engines export and import it.
#[derive(Debug, Serialize, Deserialize)]
pub struct ExportedEntry {
    cache_key: String,
    messages: Vec<CachedMessage>,
}

impl ExportedEntry {
    /// Returns the size of the entry in tokens.
    pub fn tokens(&self) -> u64 {
        total_tokens(&self.messages)
    }
}

/// Key and size of an entry, as `GET /v1/cache` lists it.
#[derive(Serialize)]
pub struct EntrySize {
    cache_key: String,
    tokens: u64,
}

/// Numbers of cached and recomputed tokens of a prompt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prefill {
    /// Tokens reused from the cache.
    pub cached_tokens: u64,
    /// Tokens computed again because their entry was evicted.
    pub recomputed_tokens: u64,
}

struct Entry {
    messages: Vec<CachedMessage>,
    /// Requests that use the entry. It is not evicted while there are any.
    active_requests: usize,
    /// Whether the entry is removed once it has no active requests.
    is_release_pending: bool,
    /// Value of [`Cache::use_count`] at the last use.
    last_used: u64,
}

/// Entries by cache key, with the eviction and release counters.
pub struct Cache {
    limit_tokens: u64,
    /// Sum of the tokens of all entries. Exceeds the limit only while all entries are in use.
    used_tokens: u64,
    /// Grows by one with each use of an entry; orders entries for eviction.
    use_count: u64,
    entries: IndexMap<String, Entry>,
    /// Messages of evicted entries, until the key is used again.
    evicted: IndexMap<String, Vec<CachedMessage>>,
    evicted_tokens: u64,
    released_tokens: u64,
    events: EventLog,
}

impl Cache {
    /// Creates an empty cache.
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

    /// Returns the capacity in tokens.
    pub fn limit_tokens(&self) -> u64 {
        self.limit_tokens
    }

    /// Returns the tokens of all entries.
    pub fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    /// Returns the total number of tokens evicted.
    pub fn evicted_tokens(&self) -> u64 {
        self.evicted_tokens
    }

    /// Returns the total number of tokens released.
    pub fn released_tokens(&self) -> u64 {
        self.released_tokens
    }

    /// Returns the log of cache events.
    pub fn events(&self) -> &EventLog {
        &self.events
    }

    /// Lists all entries.
    pub fn entries(&self) -> Vec<EntrySize> {
        let size = |(key, entry): (&String, &Entry)| EntrySize {
            cache_key: key.clone(),
            tokens: total_tokens(&entry.messages),
        };
        self.entries.iter().map(size).collect()
    }

    /// Marks an entry as in use by a request and caches its prompt. Every call must be followed by
    /// one call of [`Cache::end_request`].
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

    /// Ends the use of an entry by a request. `answer` is cached after the prompt; it is `None` if
    /// the answer is incomplete.
    pub fn end_request(&mut self, key: &str, prompt: &[CachedMessage], answer: Option<&Message>) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.active_requests -= 1;
        let should_remove = entry.is_release_pending && entry.active_requests == 0;
        // A concurrent request with the same key may have replaced the messages.
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

    /// Removes an entry, at once or when its last active request ends.
    pub fn release(&mut self, key: &str) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        entry.is_release_pending = true;
        if entry.active_requests == 0 {
            self.remove_released(key);
        }
    }

    /// Returns a copy of an entry for import into another engine.
    pub fn export(&self, key: &str) -> Option<ExportedEntry> {
        let entry = self.entries.get(key)?;
        Some(ExportedEntry {
            cache_key: key.to_string(),
            messages: entry.messages.clone(),
        })
    }

    /// Stores an entry exported by another engine, unless the local entry of the same key is in
    /// use. Returns the number of tokens now cached for the key.
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
