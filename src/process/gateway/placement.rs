//! The choice of a backend server for a request.
//!
//! Gateways choose without asking each other. Model calls of one program go to the same server, which
//! has their prefix in its cache: all gateways rank the servers for a program in the same order. A
//! server that is loaded beyond [`SPILL_LOAD_PERMILLE`] is passed over for the next one in that order,
//! so that a burst of programs on one server does not queue while others are free. Plain calls go to
//! the least loaded server.

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

/// Load beyond which a model call leaves the server that has its prefix. Below it, the batch has
/// free places and computing the prefix again costs more than sharing the batch.
pub const SPILL_LOAD_PERMILLE: LoadPermille = 750;

fn rank(key: u64, candidate: &Candidate<'_>) -> u64 {
    rendezvous_weight(key, candidate.server_id)
}

/// The server for a request whose prefix is likely cached where earlier requests with the same key
/// went.
pub fn by_affinity(key: u64, candidates: &[Candidate<'_>]) -> Option<usize> {
    let allowed = || {
        let all = candidates.iter().enumerate();
        all.filter(|(_, candidate)| candidate.is_allowed)
    };
    let preferred = allowed()
        .filter(|(_, candidate)| candidate.load < SPILL_LOAD_PERMILLE)
        .max_by_key(|(_, candidate)| rank(key, candidate));
    let least_loaded = || allowed().min_by_key(|(_, candidate)| candidate.load);
    preferred.or_else(least_loaded).map(|(index, _)| index)
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
