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
    /// Whether the server may be chosen at all.
    pub is_eligible: bool,
    /// Whether the server runs in the failure domain of this gateway.
    pub is_same_domain: bool,
}

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
            candidate.is_same_domain && candidate.load <= SAME_DOMAIN_LOAD_LIMIT_PERMILLE
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
            (candidate.load.saturating_add(spillover_cost), *index)
        });
    let best = costs.min_by_key(|(cost, _)| *cost);
    best.map(|(_, index)| index)
}

/// Selects the least loaded server. Among equals, servers of the own failure domain are preferred,
/// then the ranking of `tie_break_key` decides. Returns an index into `candidates`, or `None` if
/// none is eligible.
pub fn select_by_load(tie_break_key: u64, candidates: &[Candidate<'_>]) -> Option<usize> {
    let all = candidates.iter().enumerate();
    let eligible = all.filter(|(_, candidate)| candidate.is_eligible);
    let best = eligible.min_by_key(|(_, candidate)| {
        (
            candidate.load,
            !candidate.is_same_domain,
            ranking_weight(tie_break_key, candidate),
        )
    });
    best.map(|(index, _)| index)
}
