//! Estimates which prefixes each engine has in its cache.
//!
//! The estimate is based on the calls that this entry sent and on their reported usage, because the
//! engines publish their cache events late and with gaps. Other entries fill the same caches, so
//! the estimate can be wrong; its readers scale it by the accuracy measured for each engine.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::engines::EngineIndex;

/// Limit of the recorded prefix locations over all engines, which bounds the memory to about 10 MB.
const MAX_PREFIXES: usize = 65_536;
/// A prefix used within this time counts as retained for a program that waits for a tool or for its
/// caller. Programs that pause for longer must not prevent new ones from starting.
const PREFIX_RETENTION: Duration = Duration::from_secs(10);

/// A prefix in the cache of one engine.
#[derive(Clone, Copy, Debug)]
pub struct PrefixLocation {
    /// The engine whose cache contains the prefix.
    pub engine: EngineIndex,
    /// The estimated length of the cached prefix.
    pub tokens: u64,
    /// Sequence number of the last use; unique over all locations.
    last_use_seq: u64,
}

#[derive(Default)]
struct EngineCache {
    /// Cache key and tokens of each prefix, by the sequence number of its last use.
    by_use: BTreeMap<u64, (Rc<str>, u64)>,
    tokens: u64,
}

/// The prefixes of running programs in the cache of one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetainedPrefixes {
    /// The number of prefixes, each of which counts as one program.
    pub programs: u64,
    /// The sum of their lengths.
    pub tokens: u64,
    /// The sum of their lengths after the expected growth.
    pub projected_tokens: u64,
}

/// The prefixes in the caches of all engines.
#[derive(Default)]
pub struct PrefixMap {
    locations: IndexMap<Rc<str>, Vec<PrefixLocation>>,
    by_engine: IndexMap<EngineIndex, EngineCache>,
    /// The engine of each location, by the sequence number of its last use.
    by_use: BTreeMap<u64, EngineIndex>,
    next_use_seq: u64,
    /// Samples of `next_use_seq` within the last [`PREFIX_RETENTION`].
    use_samples: VecDeque<(Instant, u64)>,
    /// Uses with a lower sequence number are older than [`PREFIX_RETENTION`].
    retained_from_seq: u64,
}

impl PrefixMap {
    /// Returns the engines that have a prefix in their cache, the last used one at the end.
    pub fn locations(&self, cache_key: &str) -> &[PrefixLocation] {
        self.locations.get(cache_key).map_or(&[], Vec::as_slice)
    }

    /// Returns the estimated length of a prefix in the cache of one engine; 0 if it is not there.
    pub fn tokens(&self, cache_key: &str, engine: EngineIndex) -> u64 {
        let mut locations = self.locations(cache_key).iter();
        locations
            .find(|location| location.engine == engine)
            .map_or(0, |location| location.tokens)
    }

    /// Sums up the prefixes in the cache of an engine that were used within `PREFIX_RETENTION`.
    /// Because prefixes grow, each one adds at least `min_tokens` to the projected tokens.
    pub fn retained(&self, engine: EngineIndex, min_tokens: u64) -> RetainedPrefixes {
        let mut retained = RetainedPrefixes::default();
        let Some(cache) = self.by_engine.get(&engine) else {
            return retained;
        };
        for (_, tokens) in cache
            .by_use
            .range(self.retained_from_seq..)
            .map(|(_, entry)| entry)
        {
            retained.programs += 1;
            retained.tokens += tokens;
            retained.projected_tokens += min_tokens.max(*tokens);
        }
        retained
    }

    /// Expires the uses that are older than `PREFIX_RETENTION`. Must be called regularly: its
    /// period is the resolution of the expiry.
    pub fn refresh(&mut self, now: Instant) {
        self.use_samples.push_back((now, self.next_use_seq));
        while let Some((time, next_use_seq)) = self.use_samples.front().copied() {
            if now.saturating_duration_since(time) <= PREFIX_RETENTION {
                break;
            }
            self.retained_from_seq = next_use_seq;
            self.use_samples.pop_front();
        }
    }

    /// Records that an engine has just used a prefix and has `tokens` of it cached. Removes the
    /// least recently used prefixes of the engine while they exceed `capacity_tokens` in total.
    pub fn record(
        &mut self,
        cache_key: &Rc<str>,
        engine: EngineIndex,
        tokens: u64,
        capacity_tokens: u64,
    ) {
        self.remove(cache_key, engine);
        let last_use_seq = self.next_use_seq;
        self.next_use_seq += 1;
        let location = PrefixLocation {
            engine,
            tokens,
            last_use_seq,
        };
        self.locations
            .entry(cache_key.clone())
            .or_default()
            .push(location);
        self.by_use.insert(last_use_seq, engine);
        let cache = self.by_engine.entry(engine).or_default();
        cache
            .by_use
            .insert(last_use_seq, (cache_key.clone(), tokens));
        cache.tokens += tokens;
        while self.engine_tokens(engine) > capacity_tokens && self.evict_oldest(engine) {}
        while self.by_use.len() > MAX_PREFIXES {
            let Some(oldest) = self.by_use.values().next().copied() else {
                break;
            };
            self.evict_oldest(oldest);
        }
    }

    /// Removes a prefix from all engines.
    pub fn remove_prefix(&mut self, cache_key: &str) {
        while let Some(location) = self.locations(cache_key).first().copied() {
            self.remove(cache_key, location.engine);
        }
    }

    /// Removes all prefixes of an engine.
    pub fn remove_engine(&mut self, engine: EngineIndex) {
        while self.evict_oldest(engine) {}
        self.by_engine.swap_remove(&engine);
    }

    fn engine_tokens(&self, engine: EngineIndex) -> u64 {
        self.by_engine.get(&engine).map_or(0, |cache| cache.tokens)
    }

    fn evict_oldest(&mut self, engine: EngineIndex) -> bool {
        let cache = self.by_engine.get(&engine);
        let oldest = cache.and_then(|cache| cache.by_use.values().next().cloned());
        match oldest {
            Some((cache_key, _)) => self.remove(&cache_key, engine),
            None => false,
        }
    }

    fn remove(&mut self, cache_key: &str, engine: EngineIndex) -> bool {
        let Some(locations) = self.locations.get_mut(cache_key) else {
            return false;
        };
        let position = locations
            .iter()
            .position(|location| location.engine == engine);
        let Some(position) = position else {
            return false;
        };
        let location = locations.swap_remove(position);
        if locations.is_empty() {
            self.locations.swap_remove(cache_key);
        }
        self.by_use.remove(&location.last_use_seq);
        if let Some(cache) = self.by_engine.get_mut(&engine) {
            cache.by_use.remove(&location.last_use_seq);
            cache.tokens -= location.tokens;
        }
        true
    }
}
