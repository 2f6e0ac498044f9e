//! The choice of a backend server for a request.
//!
//! Model calls of one program go to the same server, which has their prefix in its cache. The gateway
//! that looks after the program remembers the server; where nobody does, all gateways affinity_weight the
//! servers for a program in the same order. A server is passed over for one further down in that
//! order only if that one is less loaded by [`SPILLOVER_MARGIN_PERMILLE`] for each position between them. So a
//! burst of programs on one server does not queue while others are free, and under general overload
//! programs stay where their prefixes are.
//!
//! The order is the same in all failure domains, because the callers of a program may move. Only a
//! new conversation begins at a same_domain server, unless those are loaded. Plain calls go to the best
//! loaded server.

use std::cmp::Reverse;

use crate::process::slots::placement::rendezvous_weight;

/// Load of a server in thousandths of the requests that it processes at once.
pub type LoadPermille = u32;

/// A server that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Names the server.
    pub server_id: &'a str,
    /// Estimated load.
    pub load: LoadPermille,
    /// Whether the server may take a request at all.
    pub is_eligible: bool,
    /// Whether it runs in the failure domain of this gateway.
    pub is_same_domain: bool,
}

/// Load that a server must be below the one before it in the ranking to be chosen instead. Leaving
/// a server costs the time to compute the prefix again, which is about that of half a batch.
pub const SPILLOVER_MARGIN_PERMILLE: LoadPermille = 500;
/// Load up to which a same_domain server takes a new conversation. A burst of them is shared by the servers
/// of all domains.
pub const SAME_DOMAIN_LOAD_LIMIT_PERMILLE: LoadPermille = 500;

/// What is known of the prefix of a model call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix<'a> {
    /// Calls with the same key share a prefix.
    pub key: u64,
    /// The server that completed the last call with the key.
    pub holder: Option<&'a str>,
    /// Whether the prompts grow with each call, so that sending them to another domain costs bytes.
    pub is_growing: bool,
}

fn affinity_weight(key: u64, candidate: &Candidate<'_>) -> u64 {
    rendezvous_weight(key, candidate.server_id)
}

/// The server for a call with a cached prefix: its holder if it is known, otherwise the one where
/// earlier calls with the same key went. A call that begins a growing prefix goes to a same_domain server.
pub fn select_by_prefix(prefix: Prefix<'_>, candidates: &[Candidate<'_>]) -> Option<usize> {
    let all = candidates.iter().enumerate();
    let mut ranked: Vec<_> = all.filter(|(_, candidate)| candidate.is_eligible).collect();
    ranked.sort_by_cached_key(|(_, candidate)| {
        let is_holder = prefix.holder == Some(candidate.server_id);
        Reverse((is_holder, affinity_weight(prefix.key, candidate)))
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

/// The best loaded server; `tie_break_key` decides among equals, where those in the same failure domain go
/// first.
pub fn select_by_load(tie_break_key: u64, candidates: &[Candidate<'_>]) -> Option<usize> {
    let all = candidates.iter().enumerate();
    let eligible = all.filter(|(_, candidate)| candidate.is_eligible);
    let best = eligible.min_by_key(|(_, candidate)| {
        (
            candidate.load,
            !candidate.is_same_domain,
            affinity_weight(tie_break_key, candidate),
        )
    });
    best.map(|(index, _)| index)
}
