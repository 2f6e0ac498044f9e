//! Placement policies: the selection of an engine for a call.
//!
//! A policy receives the [`Candidates`] of a call and returns a [`PlacementDecision`]. The
//! configuration selects the policy. The policies that rank engines examine only a few of them for
//! a call, so that the cost of a decision stays the same on a site with a thousand engines.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::CallDescription;
use super::engines::{EngineGroup, EngineIndex, Engines};
use crate::version::config::{PlacementKind, Policy, Priority};

/// A call and the engines that may serve it.
#[derive(Clone, Copy)]
pub struct Candidates<'a> {
    /// The call to place.
    pub call: &'a CallDescription,
    /// The state of all engines, also those of other models.
    pub engines: &'a Engines,
    /// The engines of the call's model.
    pub group: &'a EngineGroup,
    /// How long the call has been in the queue; zero if it was not queued.
    pub waited: Duration,
    /// The time of the decision, the same for all candidates.
    pub now: Instant,
}

impl Candidates<'_> {
    fn has_capacity(&self, index: EngineIndex) -> bool {
        self.engines.has_capacity(index, self.call, self.now)
    }
}

/// The decision of a placement policy for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementDecision {
    /// Send the call to this engine.
    Start(EngineIndex),
    /// Engines have capacity, but waiting at most this long for the engine with the prefix is
    /// better.
    Wait(Duration),
    /// No engine has capacity.
    NoCapacity,
    /// Engines have capacity, but the new program would evict cached prefixes of running ones.
    NoCacheSpace,
}

/// Selects an engine for a call.
pub trait PlacementPolicy: 'static {
    /// Applies the policy settings of a new configuration.
    fn configure(&mut self, _policy: &Policy) {}

    /// Selects one of the engines that have capacity for the call, or says why the call waits.
    fn choose(&mut self, candidates: Candidates<'_>) -> PlacementDecision;
}

/// Limit of the engines examined in order of load. More than one is needed, because the first ones
/// may lack capacity for the tokens of the call or be excluded by it.
const RANKED_CANDIDATES: usize = 8;

/// Selects each engine in turn; a baseline.
#[derive(Default)]
pub struct RoundRobin {
    next: usize,
}

impl PlacementPolicy for RoundRobin {
    fn choose(&mut self, candidates: Candidates<'_>) -> PlacementDecision {
        let members = &candidates.group.members;
        for _ in 0..members.len() {
            self.next = (self.next + 1) % members.len();
            let index = members[self.next];
            if candidates.has_capacity(index) {
                return PlacementDecision::Start(index);
            }
        }
        PlacementDecision::NoCapacity
    }
}

/// Selects the engine with the least reported load; a baseline. If the first engines by report have
/// no capacity, the order of corrected load decides.
#[derive(Default)]
pub struct LeastLoad;

impl PlacementPolicy for LeastLoad {
    fn choose(&mut self, candidates: Candidates<'_>) -> PlacementDecision {
        let reported = candidates.group.by_report().take(RANKED_CANDIDATES);
        let corrected = candidates.group.by_load().take(RANKED_CANDIDATES);
        let mut ordered = reported.chain(corrected);
        match ordered.find(|index| candidates.has_capacity(*index)) {
            Some(index) => PlacementDecision::Start(index),
            None => PlacementDecision::NoCapacity,
        }
    }
}

/// Random engines examined for each call. Two are enough to spread the calls when the load order is
/// out of date; more take longer for little gain.
const RANDOM_CANDIDATES: usize = 2;
/// Engines with the prefix in their cache that are examined for each call, starting with the
/// last used one.
const CACHED_CANDIDATES: usize = 4;
/// Cost of a full engine over an empty one, in prompt tokens to compute. With 4,000, a difference
/// of one call outweighed a history of 500 tokens, and programs lost their prefixes.
const FULL_LOAD_COST_TOKENS: u64 = 1_000;
/// Cost of one call that waits inside an engine, in prompt tokens to compute.
const WAITING_CALL_COST_TOKENS: u64 = 1_000;
/// A call may wait one second for the engine with its prefix for each such number of prompt tokens
/// that it saves. Engines compute several times as many per second, but recomputing a prefix also
/// delays the prompts queued after it and evicts another prefix.
const PREFIX_WAIT_TOKENS_PER_SECOND: u64 = 250;
/// Urgent calls wait for the engine with their prefix for this fraction (1/n) of the time that
/// other calls wait, because their prefixes are short and their programs must finish soon.
const URGENT_PREFIX_WAIT_DIVISOR: u32 = 4;
/// A call waits at most this fraction (1/n) of `limits.queue_timeout` for the engine with its
/// prefix while other engines have capacity. With a fixed limit of 1 s, all programs lost their
/// prefixes as soon as calls waited longer than that, which made the overload worse.
const MAX_PREFIX_WAIT_DIVISOR: u32 = 4;
/// A new program waits at most this fraction (1/n) of `limits.queue_timeout` for cache space, so
/// that programs with long pauses cannot keep all others out.
const MAX_CACHE_WAIT_DIVISOR: u32 = 2;

/// Selects the engine with the lowest cost, which weighs cached prefix tokens against the corrected
/// load (see [`engines`](super::engines)).
///
/// The candidates are the engines with the prefix in their cache, the least loaded one and a few
/// random ones. A new program is queued instead of evicting the prefixes of running programs,
/// unless it is urgent. If the engines with the prefix are full, the call waits for them for a
/// limited time, in proportion to the tokens that another engine would have to compute again.
pub struct PrefixAndLoad {
    rng: SmallRng,
}

impl PrefixAndLoad {
    /// Creates the policy. The same seed and calls result in the same decisions.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn random_member(&mut self, group: &EngineGroup) -> Option<EngineIndex> {
        if group.members.is_empty() {
            return None;
        }
        let position = self.rng.random_range(0..group.members.len());
        Some(group.members[position])
    }
}

/// The cost of a call on an engine, in prompt tokens to compute.
fn cost(candidates: &Candidates<'_>, index: EngineIndex) -> u64 {
    let engines = candidates.engines;
    let cached = engines.cached_tokens(index, candidates.call);
    let uncached = candidates.call.prompt_tokens - cached;
    let load = engines.load(index) * FULL_LOAD_COST_TOKENS / 1000;
    let waiting = engines.waiting_calls(index) * WAITING_CALL_COST_TOKENS;
    // The evicted prefixes have to be computed again.
    let evicted = match cached {
        0 => engines.tokens_to_evict(index, candidates.call),
        _ => 0,
    };
    uncached + load + waiting + evicted
}

impl PlacementPolicy for PrefixAndLoad {
    fn choose(&mut self, candidates: Candidates<'_>) -> PlacementDecision {
        let engines = candidates.engines;
        let locations = engines.prefixes.locations(&candidates.call.cache_key);
        let limits = &candidates.call.config.limits;
        let max_cache_wait = limits.queue_timeout / MAX_CACHE_WAIT_DIVISOR;
        let is_new = locations.is_empty() && candidates.call.is_new_program();
        let is_urgent = candidates.call.priority == Priority::Urgent;
        let waits_for_cache_space = is_new && !is_urgent && candidates.waited < max_cache_wait;
        let mut lacks_cache_space = false;
        let locations = locations.iter().rev().take(CACHED_CANDIDATES);
        let mut best: Option<(u64, EngineIndex)> = None;
        let mut full_engine_cached_tokens = 0;
        let mut consider = |index: EngineIndex| {
            if !candidates.has_capacity(index) {
                return false;
            }
            if waits_for_cache_space && engines.tokens_to_evict(index, candidates.call) > 0 {
                lacks_cache_space = true;
                return false;
            }
            let candidate = (cost(&candidates, index), index);
            best = Some(best.map_or(candidate, |best| best.min(candidate)));
            true
        };
        for location in locations {
            let is_full = !consider(location.engine);
            if is_full && engines.accepts_calls(location.engine, candidates.call) {
                let cached = engines.cached_tokens(location.engine, candidates.call);
                full_engine_cached_tokens = full_engine_cached_tokens.max(cached);
            }
        }
        let mut least_loaded = candidates.group.by_load().take(RANKED_CANDIDATES);
        least_loaded.find(|index| consider(*index));
        for _ in 0..RANDOM_CANDIDATES {
            if let Some(index) = self.random_member(candidates.group) {
                consider(index);
            }
        }
        let Some((_, index)) = best else {
            return if lacks_cache_space {
                PlacementDecision::NoCacheSpace
            } else {
                PlacementDecision::NoCapacity
            };
        };
        let cached = engines.cached_tokens(index, candidates.call);
        let saved_tokens = full_engine_cached_tokens.saturating_sub(cached);
        let mut prefix_wait =
            Duration::from_millis(saved_tokens * 1000 / PREFIX_WAIT_TOKENS_PER_SECOND);
        if is_urgent {
            prefix_wait /= URGENT_PREFIX_WAIT_DIVISOR;
        }
        match prefix_wait
            .min(limits.queue_timeout / MAX_PREFIX_WAIT_DIVISOR)
            .checked_sub(candidates.waited)
        {
            Some(remaining) if !remaining.is_zero() => PlacementDecision::Wait(remaining),
            _ => PlacementDecision::Start(index),
        }
    }
}

/// Delegates to the policy that the configuration selects.
pub struct ConfiguredPlacement {
    kind: PlacementKind,
    round_robin: RoundRobin,
    least_load: LeastLoad,
    prefix_and_load: PrefixAndLoad,
}

impl ConfiguredPlacement {
    /// Creates all policies, with [`PrefixAndLoad`] selected until a configuration is applied. The
    /// same seed and calls result in the same decisions.
    pub fn new(seed: u64) -> Self {
        Self {
            kind: PlacementKind::PrefixAndLoad,
            round_robin: RoundRobin::default(),
            least_load: LeastLoad,
            prefix_and_load: PrefixAndLoad::new(seed),
        }
    }
}

impl PlacementPolicy for ConfiguredPlacement {
    fn configure(&mut self, policy: &Policy) {
        self.kind = policy.placement;
    }

    fn choose(&mut self, candidates: Candidates<'_>) -> PlacementDecision {
        match self.kind {
            PlacementKind::RoundRobin => self.round_robin.choose(candidates),
            PlacementKind::LeastLoad => self.least_load.choose(candidates),
            PlacementKind::PrefixAndLoad => self.prefix_and_load.choose(candidates),
        }
    }
}
