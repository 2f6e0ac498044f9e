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
const PREFIX_LIMIT: usize = 65_536;
/// A prefix that was used within this time counts as kept for a program that pauses for a tool or
/// its caller. Programs that pause for longer must not keep new ones from starting.
const KEPT_TIME: Duration = Duration::from_secs(10);

/// A prefix in the cache of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Holding {
    /// The engine.
    pub engine: EngineIndex,
    /// The length of the prefix.
    pub tokens: u64,
    /// Orders the holdings by their last use; unique.
    last_use: u64,
}

#[derive(Default)]
struct EngineCache {
    by_use: BTreeMap<u64, (Rc<str>, u64)>,
    tokens: u64,
}

/// The prefixes of running programs on an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    /// Their number.
    pub programs: u64,
    /// Their lengths together.
    pub tokens: u64,
    /// The same, with the growth that is expected.
    pub grown_tokens: u64,
}

/// The prefixes in the caches of all engines.
#[derive(Default)]
pub struct PrefixMap {
    holdings: IndexMap<Rc<str>, Vec<Holding>>,
    by_engine: IndexMap<EngineIndex, EngineCache>,
    by_use: BTreeMap<u64, EngineIndex>,
    next_use: u64,
    /// The next use at some instants of the last [`KEPT_TIME`].
    use_times: VecDeque<(Instant, u64)>,
    /// Uses before this one are older than [`KEPT_TIME`].
    kept_from: u64,
}

impl PrefixMap {
    /// The engines that hold a prefix.
    pub fn holders(&self, cache_key: &str) -> &[Holding] {
        self.holdings.get(cache_key).map_or(&[], Vec::as_slice)
    }

    /// The estimated length of a prefix on one engine.
    pub fn tokens(&self, cache_key: &str, engine: EngineIndex) -> u64 {
        let mut holders = self.holders(cache_key).iter();
        holders
            .find(|holding| holding.engine == engine)
            .map_or(0, |holding| holding.tokens)
    }

    /// The prefixes on an engine that running programs used lately, each counted with at least
    /// `least_tokens`, because they grow.
    pub fn kept(&self, engine: EngineIndex, least_tokens: u64) -> Kept {
        let mut kept = Kept::default();
        let Some(cache) = self.by_engine.get(&engine) else {
            return kept;
        };
        for (_, tokens) in cache.by_use.range(self.kept_from..).map(|(_, entry)| entry) {
            kept.programs += 1;
            kept.tokens += tokens;
            kept.grown_tokens += least_tokens.max(*tokens);
        }
        kept
    }

    /// Lets the uses of more than [`KEPT_TIME`] ago expire.
    pub fn refresh(&mut self, now: Instant) {
        self.use_times.push_back((now, self.next_use));
        while let Some((time, next_use)) = self.use_times.front().copied() {
            if now.saturating_duration_since(time) <= KEPT_TIME {
                break;
            }
            self.kept_from = next_use;
            self.use_times.pop_front();
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
        let last_use = self.next_use;
        self.next_use += 1;
        let holding = Holding {
            engine,
            tokens,
            last_use,
        };
        self.holdings
            .entry(cache_key.clone())
            .or_default()
            .push(holding);
        self.by_use.insert(last_use, engine);
        let cache = self.by_engine.entry(engine).or_default();
        cache.by_use.insert(last_use, (cache_key.clone(), tokens));
        cache.tokens += tokens;
        while self.engine_tokens(engine) > capacity_tokens && self.evict_from(engine) {}
        while self.by_use.len() > PREFIX_LIMIT {
            let Some(oldest) = self.by_use.values().next().copied() else {
                break;
            };
            self.evict_from(oldest);
        }
    }

    /// Forgets a prefix on all engines.
    pub fn forget(&mut self, cache_key: &str) {
        while let Some(holding) = self.holders(cache_key).first().copied() {
            self.remove(cache_key, holding.engine);
        }
    }

    /// Forgets all prefixes of an engine.
    pub fn forget_engine(&mut self, engine: EngineIndex) {
        while self.evict_from(engine) {}
        self.by_engine.swap_remove(&engine);
    }

    fn engine_tokens(&self, engine: EngineIndex) -> u64 {
        self.by_engine.get(&engine).map_or(0, |cache| cache.tokens)
    }

    fn evict_from(&mut self, engine: EngineIndex) -> bool {
        let cache = self.by_engine.get(&engine);
        let oldest = cache.and_then(|cache| cache.by_use.values().next().cloned());
        match oldest {
            Some((cache_key, _)) => self.remove(&cache_key, engine),
            None => false,
        }
    }

    fn remove(&mut self, cache_key: &str, engine: EngineIndex) -> bool {
        let Some(holders) = self.holdings.get_mut(cache_key) else {
            return false;
        };
        let position = holders.iter().position(|holding| holding.engine == engine);
        let Some(position) = position else {
            return false;
        };
        let holding = holders.swap_remove(position);
        if holders.is_empty() {
            self.holdings.swap_remove(cache_key);
        }
        self.by_use.remove(&holding.last_use);
        if let Some(cache) = self.by_engine.get_mut(&engine) {
            cache.by_use.remove(&holding.last_use);
            cache.tokens -= holding.tokens;
        }
        true
    }
}
