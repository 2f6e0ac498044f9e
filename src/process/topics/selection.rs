//! The choice of a server for a topic: rendezvous hashing with a bound on the load.
//!
//! A topic has as many preferred servers as its share of the requests needs: the first ones in its
//! ranking. The one with the shortest expected time gets the request if it stays within the bound.
//! If none does, the next server in the ranking that stays within it gets the request.

use super::TopicHash;
use crate::process::gateway::placement::{Candidate, LoadPermille, SPILLOVER_MARGIN_PERMILLE};
use crate::process::slots::placement::rendezvous_weight;

/// Highest load of a server that is chosen for its topic, in percent of the mean, before the request
/// is added. With the request, the server carries at most this and one request.
const MAX_LOAD_PERCENT: u64 = 125;
/// Load up to which a server counts in the mean: this many times the median, and one batch. A server
/// that states a huge load would otherwise lift the bound of all others.
const MAX_COUNTED_MEDIANS: u64 = 4;
/// One batch, in thousandths of the slots of a server.
const BATCH_PERMILLE: u64 = 1_000;
/// Servers of a popular topic, in percent of those that its requests alone would fill to the mean.
/// More than these are needed because the servers have other topics as well, and because the share of
/// a topic that has just become popular is known too low.
const SERVERS_PERCENT: f64 = 200.0;

/// The number of servers that a topic with this share of the requests needs.
pub fn servers_needed(share: f64, servers: usize) -> usize {
    let needed = (share * servers as f64 * SERVERS_PERCENT / 100.0).ceil();
    (needed as usize).clamp(1, servers.max(1))
}

/// Servers of a popular topic that are drawn at random, of which the one with the shortest expected
/// time gets the request.
const CHOICES: usize = 2;

/// [`MAX_LOAD_PERCENT`] of the mean of the values; 0 without any.
fn at_most(values: impl Iterator<Item = LoadPermille>) -> u64 {
    let mut values: Vec<u64> = values.map(u64::from).collect();
    if values.is_empty() {
        return 0;
    }
    let middle = (values.len() - 1) / 2;
    let (_, median, _) = values.select_nth_unstable(middle);
    let limit = *median * MAX_COUNTED_MEDIANS + BATCH_PERMILLE;
    let sum: u64 = values.iter().map(|value| (*value).min(limit)).sum();
    sum * MAX_LOAD_PERCENT / 100 / values.len() as u64
}

/// Selects the server for a request about a topic. `share` is the share of the topic in the
/// requests, and `tie_break_key` is random.
///
/// Returns an index into `candidates`, or `None` if the request should be placed by load alone: if
/// the load of half of the eligible servers is unknown, or no server stays within the bound.
pub fn select_by_topic(
    topic: TopicHash,
    share: f64,
    tie_break_key: u64,
    candidates: &[Candidate<'_>],
) -> Option<usize> {
    let eligible = || candidates.iter().filter(|candidate| candidate.is_eligible);
    let known = || eligible().filter(|candidate| candidate.is_load_known);
    let known_count = known().count();
    if known_count == 0 || known_count * 2 < eligible().count() {
        return None;
    }
    let max_load = at_most(known().map(|server| server.load));
    let max_time = at_most(known().map(Candidate::expected_time));
    // A server on a slow VM keeps its topics as long as moving them would cost more.
    let max_time = max_time + u64::from(SPILLOVER_MARGIN_PERMILLE);
    let is_within_bound = |candidate: &Candidate<'_>| {
        u64::from(candidate.load) <= max_load && u64::from(candidate.expected_time()) <= max_time
    };
    let all = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.is_eligible && candidate.is_load_known);
    let mut ranked: Vec<(u64, usize)> = all
        .map(|(index, server)| (rendezvous_weight(topic, server.server_id), index))
        .collect();
    let needed = servers_needed(share, ranked.len());
    if needed < ranked.len() {
        ranked.select_nth_unstable_by(needed - 1, |one, other| other.cmp(one));
    }
    let needed = needed.min(ranked.len());
    let (preferred, others) = ranked.split_at(needed);
    let preferred = preferred.iter().map(|(_, index)| *index);
    let preferred = preferred.filter(|index| is_within_bound(&candidates[*index]));
    let mut drawn: Vec<(u64, usize)> = preferred
        .map(|index| {
            (
                rendezvous_weight(tie_break_key, candidates[index].server_id),
                index,
            )
        })
        .collect();
    // With loads that are some time old, all gateways would choose the same one of many servers.
    if drawn.len() > CHOICES {
        drawn.select_nth_unstable(CHOICES - 1);
        drawn.truncate(CHOICES);
    }
    let best = drawn
        .into_iter()
        .min_by_key(|(tie_break, index)| (candidates[*index].expected_time(), *tie_break));
    let best = best.map(|(_, index)| index);
    best.or_else(|| {
        let others = others.iter();
        let others = others.filter(|(_, index)| is_within_bound(&candidates[*index]));
        others.max().map(|(_, index)| *index)
    })
}
