//! The choice of a backend server for a request.
//!
//! Gateways choose without asking each other. Model calls of one program go to the same server, which
//! has their prefix in its cache: all gateways rank the servers for a program in the same order. A
//! server is passed over for one further down in that order only if that one is less loaded by
//! [`SPILL_LOAD_PERMILLE`] for each place between them. Where the own failure domain has enough servers,
//! they go first by [`FAR_LOAD_PERMILLE`]. So a burst of programs on one server does not
//! queue while others are free, and under general overload programs stay where their prefixes are.
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
/// Load that a server in another failure domain must be below a near one to be chosen instead, on
/// top of its place in the ranking. It saves the bytes of the prompt between the domains.
pub const FAR_LOAD_PERMILLE: LoadPermille = 500;
/// Near servers from which on they are preferred. Fewer servers share bursts of programs badly, and
/// prefixes that are computed again cost more than bytes.
pub const LEAST_NEAR_SERVERS: usize = 8;

fn rank(key: u64, candidate: &Candidate<'_>) -> u64 {
    rendezvous_weight(key, candidate.server_id)
}

/// The server for a request whose prefix is likely cached where earlier requests with the same key
/// went.
pub fn by_affinity(key: u64, candidates: &[Candidate<'_>]) -> Option<usize> {
    let all = candidates.iter().enumerate();
    let mut ranked: Vec<_> = all.filter(|(_, candidate)| candidate.is_allowed).collect();
    ranked.sort_by_key(|(_, candidate)| Reverse(rank(key, candidate)));
    let near_count = ranked.iter().filter(|(_, candidate)| candidate.is_near);
    let prefers_near = near_count.count() >= LEAST_NEAR_SERVERS;
    let mut places = [0, 0];
    let costs = ranked.iter().map(|(index, candidate)| {
        let is_far = prefers_near && !candidate.is_near;
        // Near and far servers are ranked apart, so that those of each kind share the programs.
        let place = &mut places[usize::from(is_far)];
        let distance = if is_far { FAR_LOAD_PERMILLE } else { 0 };
        let passed_over = *place * SPILL_LOAD_PERMILLE;
        *place += 1;
        let cost = candidate.load.saturating_add(passed_over + distance);
        (cost, *index)
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
