//! The choice of a backend server for a request.
//!
//! Model calls of one program go to the same server, which has their prefix in its cache. The
//! gateway that owns the program remembers this server. Where it is not known, all gateways rank
//! the servers for the program in the same order, by rendezvous hashing. A server further down in
//! the ranking is chosen only if it is less loaded by [`SPILLOVER_MARGIN_PERMILLE`] for each
//! position between the two. A burst of programs on one server therefore spills over while other
//! servers are free, and under general overload programs stay where their prefixes are cached.
//!
//! The ranking does not depend on the failure domain, because the callers of a program may move.
//! Only a new conversation starts at a server of the gateway's own failure domain, unless all of
//! these are loaded.
//!
//! While some servers limit their request rates, the others may get more than they can process.
//! [`exclude_loaded`] then keeps new programs from queueing with those that have begun.
//!
//! Calls to services without a prefix cache go to the least loaded server.
//!
//! Servers that state the speed of their VM are compared by the time that a request is expected to
//! take there, wherever these rules compare loads; see [`Candidate::expected_time`].

use std::cmp::Reverse;

use crate::process::slots::placement::rendezvous_weight;

/// Load of a server: requests in thousandths of the number that it processes at once.
pub type LoadPermille = u32;

/// A server that a request may be sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Key of the server's row; the ranking is computed from it.
    pub server_id: &'a str,
    /// Estimated load, which may exceed 1000 while requests are queued.
    pub load: LoadPermille,
    /// Whether the load is estimated from a fresh report, not only from the requests of this gateway.
    pub is_load_known: bool,
    /// How long work takes on the server, in percent of the normal time.
    pub speed_percent: u32,
    /// Whether the server may be chosen at all.
    pub is_eligible: bool,
    /// Whether the server runs in the failure domain of this gateway.
    pub is_same_domain: bool,
}

/// The speed of a server that states none.
pub const NORMAL_SPEED_PERCENT: u32 = 100;
/// Lowest speed that placement uses. A server that states a higher one than it has gets at most
/// twice the requests of the others.
const MIN_SPEED_PERCENT: u32 = 50;

impl Candidate<'_> {
    /// The time that a request is expected to take, in thousandths of its time on an idle server of
    /// normal speed: its own time and the wait for the load before it, at the speed of the server.
    /// At normal speed, two servers compare as their loads do.
    pub fn expected_time(&self) -> LoadPermille {
        let load = u64::from(self.load) + u64::from(IDLE_TIME_PERMILLE);
        let speed_percent = u64::from(self.speed_percent.max(MIN_SPEED_PERCENT));
        LoadPermille::try_from(load * speed_percent / u64::from(NORMAL_SPEED_PERCENT))
            .unwrap_or(LoadPermille::MAX)
    }
}

/// The expected time of a request on an idle server of normal speed.
const IDLE_TIME_PERMILLE: LoadPermille = 1_000;

/// How much less loaded a server must be than the one before it in the ranking to be chosen
/// instead. Changing the server costs the time to compute the prefix again, which is about that of
/// half a batch.
pub const SPILLOVER_MARGIN_PERMILLE: LoadPermille = 500;
/// Highest load at which a server of the own failure domain takes a new conversation. Beyond it, a
/// burst of new conversations is shared by the servers of all failure domains.
pub const SAME_DOMAIN_LOAD_LIMIT_PERMILLE: LoadPermille = 500;

/// Load at which a server has no free slot, and takes no first turn of a program while others limit
/// their rates.
const FIRST_TURN_LOAD_LIMIT_PERMILLE: LoadPermille = 1_000;
/// Load at which a server has a batch waiting, and takes no later turn of a program while others
/// limit their rates. A turn that waits longer is late.
const LATER_TURN_LOAD_LIMIT_PERMILLE: LoadPermille = 2_000;

/// The cached prefix that a model call can reuse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix<'a> {
    /// Affinity key: calls with the same key share a prefix.
    pub key: u64,
    /// The server that completed the last call with the key, `None` if it is not known.
    pub holder: Option<&'a str>,
    /// Whether prompts grow with each call, so that sending them to another failure domain costs
    /// traffic.
    pub is_growing: bool,
}

/// Makes servers ineligible that are too loaded for a turn while other servers limit their request
/// rates. `has_begun` says whether the program has completed a turn.
pub fn exclude_loaded(candidates: &mut [Candidate<'_>], has_begun: bool) {
    let load_limit = match has_begun {
        true => LATER_TURN_LOAD_LIMIT_PERMILLE,
        false => FIRST_TURN_LOAD_LIMIT_PERMILLE,
    };
    for candidate in candidates {
        candidate.is_eligible &= candidate.load < load_limit;
    }
}

fn ranking_weight(key: u64, candidate: &Candidate<'_>) -> u64 {
    rendezvous_weight(key, candidate.server_id)
}

/// Selects the server for a call with a cached prefix: the holder if it is known, otherwise the
/// first in the ranking of the key, with spillover by load. The first call of a growing prefix goes
/// to a server of the own failure domain unless all of these are loaded. Returns an index into
/// `candidates`, or `None` if none is eligible.
pub fn select_by_prefix(prefix: Prefix<'_>, candidates: &[Candidate<'_>]) -> Option<usize> {
    let all = candidates.iter().enumerate();
    let mut ranked: Vec<_> = all.filter(|(_, candidate)| candidate.is_eligible).collect();
    ranked.sort_by_cached_key(|(_, candidate)| {
        let is_holder = prefix.holder == Some(candidate.server_id);
        Reverse((is_holder, ranking_weight(prefix.key, candidate)))
    });
    if prefix.is_growing && prefix.holder.is_none() {
        let accepts_new_prefix = |candidate: &Candidate<'_>| {
            let limit = IDLE_TIME_PERMILLE + SAME_DOMAIN_LOAD_LIMIT_PERMILLE;
            candidate.is_same_domain && candidate.expected_time() <= limit
        };
        let same_domain = ranked
            .iter()
            .find(|(_, candidate)| accepts_new_prefix(candidate));
        if let Some((index, _)) = same_domain {
            return Some(*index);
        }
    }
    let costs = ranked
        .iter()
        .enumerate()
        .map(|(position, (index, candidate))| {
            let spillover_cost = position as LoadPermille * SPILLOVER_MARGIN_PERMILLE;
            (
                candidate.expected_time().saturating_add(spillover_cost),
                *index,
            )
        });
    let best = costs.min_by_key(|(cost, _)| *cost);
    best.map(|(_, index)| index)
}

/// Selects the server with the shortest expected time. Among equals, servers of the own failure
/// domain are preferred, then the ranking of `tie_break_key` decides. Returns an index into
/// `candidates`, or `None` if none is eligible.
pub fn select_by_load(tie_break_key: u64, candidates: &[Candidate<'_>]) -> Option<usize> {
    let all = candidates.iter().enumerate();
    let eligible = all.filter(|(_, candidate)| candidate.is_eligible);
    let best = eligible.min_by_key(|(_, candidate)| {
        (
            candidate.expected_time(),
            !candidate.is_same_domain,
            ranking_weight(tie_break_key, candidate),
        )
    });
    best.map(|(index, _)| index)
}

/// Servers that [`select_by_drawn_load`] compares.
const CHOICES: usize = 2;

/// Selects a server as [`select_by_load`] does, but if servers have different speeds, only of
/// [`CHOICES`] eligible ones that the random `tie_break_key` draws.
///
/// Where speeds are stated, hardly any two servers are equal, so many gateways would all send their
/// requests to the same server until its next report.
pub fn select_by_drawn_load(tie_break_key: u64, candidates: &[Candidate<'_>]) -> Option<usize> {
    let all = candidates.iter().enumerate();
    let mut drawn: Vec<_> = all.filter(|(_, candidate)| candidate.is_eligible).collect();
    let first_speed = drawn.first()?.1.speed_percent;
    let has_first_speed =
        |(_, candidate): &(usize, &Candidate<'_>)| candidate.speed_percent == first_speed;
    if drawn.len() <= CHOICES || drawn.iter().all(has_first_speed) {
        return select_by_load(tie_break_key, candidates);
    }
    drawn.select_nth_unstable_by_key(CHOICES - 1, |(_, candidate)| {
        ranking_weight(tie_break_key, candidate)
    });
    drawn.truncate(CHOICES);
    let compared: Vec<_> = drawn.iter().map(|(_, candidate)| **candidate).collect();
    let best = select_by_load(tie_break_key, &compared)?;
    Some(drawn[best].0)
}
