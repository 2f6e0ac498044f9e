//! The choice of a backend server for a request.
//!
//! Model calls of one program go to the same server, which has their prefix in its cache. The gateway
//! that looks after the program remembers the server; where nobody does, all gateways rank the
//! servers for a program in the same order. A server is passed over for one further down in that order only if that one is less loaded by
//! [`SPILL_LOAD_PERMILLE`] for each place between them. So a burst of programs on one server does not
//! queue while others are free, and under general overload programs stay where their prefixes are.
//! The order is the same in all failure domains, because the callers of a program may move.
//! Plain calls go to the least loaded server.

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
    pub is_allowed: bool,
    /// Whether it runs in the failure domain of this gateway.
    pub is_near: bool,
}

/// Load that a server must be below the one before it in the ranking to be chosen instead. Leaving
/// a server costs the time to compute the prefix again, which is about that of half a batch.
pub const SPILL_LOAD_PERMILLE: LoadPermille = 500;
fn rank(key: u64, candidate: &Candidate<'_>) -> u64 {
    rendezvous_weight(key, candidate.server_id)
}

/// The server for a request with a cached prefix: `prefix_holder` if it is known, otherwise the one
/// where earlier requests with the same key went.
pub fn by_prefix(
    key: u64,
    prefix_holder: Option<&str>,
    candidates: &[Candidate<'_>],
) -> Option<usize> {
    let all = candidates.iter().enumerate();
    let mut ranked: Vec<_> = all.filter(|(_, candidate)| candidate.is_allowed).collect();
    ranked.sort_by_cached_key(|(_, candidate)| {
        let is_holder = prefix_holder == Some(candidate.server_id);
        Reverse((is_holder, rank(key, candidate)))
    });
    let costs = ranked
        .iter()
        .enumerate()
        .map(|(place, (index, candidate))| {
            let passed_over = place as LoadPermille * SPILL_LOAD_PERMILLE;
            (candidate.load.saturating_add(passed_over), *index)
        });
    let least = costs.min_by_key(|(cost, _)| *cost);
    least.map(|(_, index)| index)
}

/// The least loaded server; `tie` decides among equals, where those in the same failure domain go
/// first.
pub fn by_load(tie: u64, candidates: &[Candidate<'_>]) -> Option<usize> {
    let all = candidates.iter().enumerate();
    let allowed = all.filter(|(_, candidate)| candidate.is_allowed);
    let least = allowed
        .min_by_key(|(_, candidate)| (candidate.load, !candidate.is_near, rank(tie, candidate)));
    least.map(|(index, _)| index)
}
