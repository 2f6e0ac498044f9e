//! The choice of an engine for a call.
//!
//! No policy looks at all engines for a call: the cost of a choice must stay the same when a site
//! has a thousand of them.

use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::CallDescription;
use super::engines::{EngineIndex, Engines, Group};
use crate::version::config::{PlacementKind, Policy, Priority};

/// A call and the engines that it may go to.
#[derive(Clone, Copy)]
pub struct Candidates<'a> {
    /// The call.
    pub call: &'a CallDescription,
    /// All engines.
    pub engines: &'a Engines,
    /// The engines of the call's model.
    pub group: &'a Group,
    /// How long the call has waited.
    pub waited: Duration,
    /// The present instant.
    pub now: Instant,
}

impl Candidates<'_> {
    fn has_room(&self, index: EngineIndex) -> bool {
        self.engines.has_room(index, self.call, self.now)
    }
}

/// What to do with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send it to this engine.
    Start(EngineIndex),
    /// Engines have room, but it is better to wait at most this long for another one.
    Wait(Duration),
    /// No engine has room.
    NoRoom,
    /// Engines have room, but a new program would evict the prefixes of running ones.
    NoMemory,
}

/// Chooses an engine for a call.
pub trait PlacementPolicy: 'static {
    /// Takes over the policy of a new configuration.
    fn configure(&mut self, _policy: &Policy) {}

    /// Chooses among the engines that have room.
    fn choose(&mut self, candidates: Candidates<'_>) -> Choice;
}

/// Most engines in the order of their load that are looked at, because those before may lack room
/// for the tokens of a call or be excluded by it.
const ORDERED_CANDIDATES: usize = 8;

/// Each engine in turn; a baseline.
#[derive(Default)]
pub struct RoundRobin {
    next: usize,
}

impl PlacementPolicy for RoundRobin {
    fn choose(&mut self, candidates: Candidates<'_>) -> Choice {
        let members = &candidates.group.members;
        for _ in 0..members.len() {
            self.next = (self.next + 1) % members.len();
            let index = members[self.next];
            if candidates.has_room(index) {
                return Choice::Start(index);
            }
        }
        Choice::NoRoom
    }
}

/// The engine that reported the least load; a baseline.
#[derive(Default)]
pub struct LeastLoad;

impl PlacementPolicy for LeastLoad {
    fn choose(&mut self, candidates: Candidates<'_>) -> Choice {
        let reported = candidates.group.by_report().take(ORDERED_CANDIDATES);
        let corrected = candidates.group.by_load().take(ORDERED_CANDIDATES);
        let mut ordered = reported.chain(corrected);
        match ordered.find(|index| candidates.has_room(*index)) {
            Some(index) => Choice::Start(index),
            None => Choice::NoRoom,
        }
    }
}

/// Random engines that are looked at for each call. Two are enough to spread the load where the
/// order is out of date; more cost time and gain little.
const RANDOM_CANDIDATES: usize = 2;
/// Engines holding the prefix that are looked at for each call.
const HOLDER_CANDIDATES: usize = 4;
/// Prompt tokens whose computation costs as much as the load of a full engine over an empty one. With
/// 4,000, one call more or less outweighed a history of 500 tokens, and programs lost their prefixes.
const FULL_LOAD_TOKENS: u64 = 1_000;
/// Prompt tokens whose computation costs as much as one call that waits in an engine.
const WAITING_CALL_TOKENS: u64 = 1_000;
/// Prompt tokens for which a call may wait a second for the engine that has its prefix. Engines
/// compute several times as many in a second, but a prefix that is computed again also delays the
/// prompts behind it and evicts another prefix.
const PREFIX_WAIT_TOKENS_PER_SECOND: u64 = 250;
/// Urgent calls wait for a shorter time: their prefixes are short, and their programs must finish soon.
const URGENT_PREFIX_WAIT_DIVISOR: u32 = 4;
/// A call waits no longer than this part of the longest waiting time for the engine that has its
/// prefix while others have room. With a bound of 1 s, all programs lost their prefixes as soon as
/// calls waited for longer than that, which made the overload worse.
const PREFIX_WAIT_DIVISOR: u32 = 4;

/// A new program waits for engine memory no longer than this part of the longest waiting time, so
/// that programs which pause for long cannot keep all others out.
const MEMORY_WAIT_DIVISOR: u32 = 2;

/// Cached prefix weighed against the corrected load.
///
/// The candidates are the engines that hold the prefix, the least loaded one and a few random ones.
/// A program that starts is queued rather than evicting the prefixes of running programs, unless it is
/// urgent.
/// When the engines that hold the prefix are full, the call waits for them no longer than another
/// engine would need to compute the prefix again.
pub struct PrefixAndLoad {
    random: SmallRng,
}

impl PrefixAndLoad {
    /// Makes the policy; the same seed gives the same choices.
    pub fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
        }
    }

    fn random_member(&mut self, group: &Group) -> Option<EngineIndex> {
        if group.members.is_empty() {
            return None;
        }
        let position = self.random.random_range(0..group.members.len());
        Some(group.members[position])
    }
}

/// The cost of a call on an engine, in prompt tokens to compute.
fn cost(candidates: &Candidates<'_>, index: EngineIndex) -> u64 {
    let engines = candidates.engines;
    let cached = engines.cached_tokens(index, candidates.call);
    let uncached = candidates.call.prompt_tokens - cached;
    let load = engines.load(index) * FULL_LOAD_TOKENS / 1000;
    let waiting = engines.waiting(index) * WAITING_CALL_TOKENS;
    // What the call evicts has to be computed again.
    let evicted = match cached {
        0 => engines.overflow(index, candidates.call),
        _ => 0,
    };
    uncached + load + waiting + evicted
}

impl PlacementPolicy for PrefixAndLoad {
    fn choose(&mut self, candidates: Candidates<'_>) -> Choice {
        let engines = candidates.engines;
        let holders = engines.prefixes.holders(&candidates.call.cache_key);
        let limits = &candidates.call.config.limits;
        let longest_wait = limits.queue_time / MEMORY_WAIT_DIVISOR;
        let is_new = holders.is_empty() && candidates.call.is_new_program();
        let is_urgent = candidates.call.priority == Priority::Urgent;
        let waits_for_memory = is_new && !is_urgent && candidates.waited < longest_wait;
        let mut lacks_memory = false;
        let holders = holders.iter().rev().take(HOLDER_CANDIDATES);
        let mut best: Option<(u64, EngineIndex)> = None;
        let mut full_holder_tokens = 0;
        let mut consider = |index: EngineIndex| {
            if !candidates.has_room(index) {
                return false;
            }
            if waits_for_memory && engines.overflow(index, candidates.call) > 0 {
                lacks_memory = true;
                return false;
            }
            let candidate = (cost(&candidates, index), index);
            best = Some(best.map_or(candidate, |best| best.min(candidate)));
            true
        };
        for holder in holders {
            let is_full = !consider(holder.engine);
            if is_full && engines.takes_calls(holder.engine, candidates.call) {
                let cached = engines.cached_tokens(holder.engine, candidates.call);
                full_holder_tokens = full_holder_tokens.max(cached);
            }
        }
        let mut least = candidates.group.by_load().take(ORDERED_CANDIDATES);
        least.find(|index| consider(*index));
        for _ in 0..RANDOM_CANDIDATES {
            if let Some(index) = self.random_member(candidates.group) {
                consider(index);
            }
        }
        let Some((_, index)) = best else {
            return if lacks_memory {
                Choice::NoMemory
            } else {
                Choice::NoRoom
            };
        };
        let cached = engines.cached_tokens(index, candidates.call);
        let saved = full_holder_tokens.saturating_sub(cached);
        let mut prefix_wait = Duration::from_millis(saved * 1000 / PREFIX_WAIT_TOKENS_PER_SECOND);
        if is_urgent {
            prefix_wait /= URGENT_PREFIX_WAIT_DIVISOR;
        }
        match prefix_wait
            .min(limits.queue_time / PREFIX_WAIT_DIVISOR)
            .checked_sub(candidates.waited)
        {
            Some(rest) if !rest.is_zero() => Choice::Wait(rest),
            _ => Choice::Start(index),
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

    fn choose(&mut self, candidates: Candidates<'_>) -> Choice {
        match self.kind {
            PlacementKind::RoundRobin => self.round_robin.choose(candidates),
            PlacementKind::LeastLoad => self.least_load.choose(candidates),
            PlacementKind::PrefixAndLoad => self.prefix_and_load.choose(candidates),
        }
    }
}
