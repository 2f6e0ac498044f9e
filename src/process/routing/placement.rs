//! The choice of an engine for a call.
//!
//! No policy looks at all engines for a call: the cost of a choice must stay the same when a site
//! has a thousand of them.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::CallDescription;
use super::engines::{EngineGroup, EngineIndex, Engines};
use crate::version::config::{PlacementKind, Policy, Priority};

/// A call and the engines that it may go to.
#[derive(Clone, Copy)]
pub struct Candidates<'a> {
    /// The call.
    pub call: &'a CallDescription,
    /// All engines.
    pub engines: &'a Engines,
    /// The engines of the call's model.
    pub group: &'a EngineGroup,
    /// How long the call has waited.
    pub waited: Duration,
    /// The present instant.
    pub now: Instant,
}

impl Candidates<'_> {
    fn has_capacity(&self, index: EngineIndex) -> bool {
        self.engines.has_capacity(index, self.call, self.now)
    }
}

/// What to do with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementDecision {
    /// Send it to this engine.
    Start(EngineIndex),
    /// Engines have room, but it is better to wait at most this long for another one.
    Wait(Duration),
    /// No engine has room.
    NoCapacity,
    /// Engines have room, but a new program would evict the prefixes of running ones.
    NoCacheSpace,
}

/// Chooses an engine for a call.
pub trait PlacementPolicy: 'static {
    /// Takes over the policy of a new configuration.
    fn configure(&mut self, _policy: &Policy) {}

    /// Chooses among the engines that have room.
    fn choose(&mut self, candidates: Candidates<'_>) -> PlacementDecision;
}

/// Most engines in the order of their load that are looked at, because those before may lack room
/// for the tokens of a call or be excluded by it.
const RANKED_CANDIDATES: usize = 8;

/// Each engine in turn; a baseline.
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

/// The engine that reported the least load; a baseline.
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

/// Random engines that are looked at for each call. Two are enough to spread the load where the
/// order is out of date; more cost time and gain little.
const RANDOM_CANDIDATES: usize = 2;
/// Engines holding the prefix that are looked at for each call.
const CACHED_CANDIDATES: usize = 4;
/// Prompt tokens whose computation costs as much as the load of a full engine over an empty one. With
/// 4,000, one call more or less outweighed a history of 500 tokens, and programs lost their prefixes.
const FULL_LOAD_COST_TOKENS: u64 = 1_000;
/// Prompt tokens whose computation costs as much as one call that waits in an engine.
const WAITING_CALL_COST_TOKENS: u64 = 1_000;
/// Prompt tokens for which a call may wait a second for the engine that has its prefix. Engines
/// compute several times as many in a second, but a prefix that is computed again also delays the
/// prompts behind it and evicts another prefix.
const PREFIX_WAIT_TOKENS_PER_SECOND: u64 = 250;
/// Urgent calls wait for a shorter time: their prefixes are short, and their programs must finish soon.
const URGENT_PREFIX_WAIT_DIVISOR: u32 = 4;
/// A call waits no longer than this part of the longest waiting time for the engine that has its
/// prefix while others have room. With a bound of 1 s, all programs lost their prefixes as soon as
/// calls waited for longer than that, which made the overload worse.
const MAX_PREFIX_WAIT_DIVISOR: u32 = 4;

/// A new program waits for engine memory no longer than this part of the longest waiting time, so
/// that programs which pause for long cannot keep all others out.
const MAX_CACHE_WAIT_DIVISOR: u32 = 2;

/// Cached prefix weighed against the corrected load.
///
/// The candidates are the engines that hold the prefix, the least loaded one and a few random ones.
/// A program that starts is queued rather than evicting the prefixes of running programs, unless it is
/// urgent.
/// When the engines that hold the prefix are full, the call waits for them no longer than another
/// engine would need to compute the prefix again.
pub struct PrefixAndLoad {
    rng: SmallRng,
}

impl PrefixAndLoad {
    /// Makes the policy; the same seed gives the same choices.
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
    // What the call evicts has to be computed again.
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
        let max_cache_wait = limits.queue_time / MAX_CACHE_WAIT_DIVISOR;
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
            .min(limits.queue_time / MAX_PREFIX_WAIT_DIVISOR)
            .checked_sub(candidates.waited)
        {
            Some(remaining) if !remaining.is_zero() => PlacementDecision::Wait(remaining),
            _ => PlacementDecision::Start(index),
        }
    }
}

/// The policy that the configuration names.
pub struct ConfiguredPlacement {
    kind: PlacementKind,
    round_robin: RoundRobin,
    least_load: LeastLoad,
    prefix_and_load: PrefixAndLoad,
}

impl ConfiguredPlacement {
    /// Makes the policy; the same seed gives the same choices.
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
