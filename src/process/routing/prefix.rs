//! The estimate of which prefixes each engine has in its cache.
//!
//! It is made from what this entry sent and the usage it saw. Engines publish their cache events
//! late and with gaps, and other entries fill the same caches, so it is only an estimate: each
//! engine's share of correct guesses scales it.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::engines::EngineIndex;

/// Most prefixes that are remembered, over all engines. Bounds the memory to about 10 MB.
const MAX_PREFIXES: usize = 65_536;
/// A prefix that was used within this time counts as kept for a program that pauses for a tool or
/// its caller. Programs that pause for longer must not keep new ones from starting.
const PREFIX_RETENTION: Duration = Duration::from_secs(10);

/// A prefix in the cache of an engine.
#[derive(Clone, Copy, Debug)]
pub struct PrefixLocation {
    /// The engine.
    pub engine: EngineIndex,
    /// The length of the prefix.
    pub tokens: u64,
    /// Orders the locations by their last use; unique.
    last_use_seq: u64,
}

#[derive(Default)]
struct EngineCache {
    by_use: BTreeMap<u64, (Rc<str>, u64)>,
    tokens: u64,
}

/// The prefixes of running programs on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetainedPrefixes {
    /// Their number.
    pub programs: u64,
    /// Their lengths together.
    pub tokens: u64,
    /// The same, with the growth that is expected.
    pub projected_tokens: u64,
}

/// The prefixes in the caches of all engines.
#[derive(Default)]
pub struct PrefixMap {
    locations: IndexMap<Rc<str>, Vec<PrefixLocation>>,
    by_engine: IndexMap<EngineIndex, EngineCache>,
    by_use: BTreeMap<u64, EngineIndex>,
    next_use_seq: u64,
    /// The next use at some instants of the last [`PREFIX_RETENTION`].
    use_samples: VecDeque<(Instant, u64)>,
    /// Uses before this one are older than [`PREFIX_RETENTION`].
    retained_from_seq: u64,
}

impl PrefixMap {
    /// The engines that hold a prefix.
    pub fn locations(&self, cache_key: &str) -> &[PrefixLocation] {
        self.locations.get(cache_key).map_or(&[], Vec::as_slice)
    }

    /// The estimated length of a prefix on one engine.
    pub fn tokens(&self, cache_key: &str, engine: EngineIndex) -> u64 {
        let mut locations = self.locations(cache_key).iter();
        locations
            .find(|location| location.engine == engine)
            .map_or(0, |location| location.tokens)
    }

    /// The prefixes on an engine that running programs used lately, each counted with at least
    /// `min_tokens`, because they grow.
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

    /// Lets the uses of more than [`PREFIX_RETENTION`] ago expire.
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

    /// Records that an engine now holds `tokens` of a prefix, and drops the prefixes that were
    /// used least recently beyond `capacity_tokens`.
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

    /// Forgets a prefix on all engines.
    pub fn remove_prefix(&mut self, cache_key: &str) {
        while let Some(location) = self.locations(cache_key).first().copied() {
            self.remove(cache_key, location.engine);
        }
    }

    /// Forgets all prefixes of an engine.
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
