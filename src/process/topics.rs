//! Placement by topic: requests about the same thing go to the servers that have seen it lately,
//! where that pays and as far as the load stays balanced.
//!
//! - [`selection`] ranks the servers for a topic by rendezvous hashing, with a bound on their load.
//!   All gateways compute the same ranking without messages.
//! - [`counts`] finds the topics that need several servers, with bounded memory.
//! - [`learning`] compares the times of answers with and without affinity.
//!
//! Nothing here does I/O. Topics are known by their hashes only.

pub mod counts;
pub mod learning;
pub mod selection;

use std::cell::RefCell;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use counts::TopicCounts;
use learning::{Group, GroupTimes, Learning, ReporterId};

/// Hash of what a request is about.
pub type TopicHash = u64;
/// Identifies a route over all versions of the configuration.
pub type RouteHash = u64;

/// Most routes that are learned; beyond that, the one that was added first is forgotten.
const MAX_ROUTES: usize = 256;
/// Most routes in one message between gateways.
const MAX_REPORTED_ROUTES: usize = 32;

/// How a request with a topic is placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TopicPlan {
    /// What the request is about.
    pub topic: TopicHash,
    /// The topic's share of the requests of its route.
    pub share: f64,
    /// Whether the request is placed by its topic, otherwise by load alone.
    pub is_by_topic: bool,
    /// The group in which its time is compared, if it is.
    pub group: Option<Group>,
}

#[derive(Debug, Default)]
struct RouteTopics {
    counts: TopicCounts,
    learning: Learning,
    /// The last result of [`Topics::take_decision`].
    taken_decision: Option<bool>,
}

/// What this gateway has learned of the topics of all routes.
#[derive(Debug, Default)]
pub struct Topics {
    by_route: RefCell<IndexMap<RouteHash, RouteTopics>>,
}

impl Topics {
    /// Counts a request and plans its placement. `draw` is random, from 0 to below 1; `unix_now` is
    /// the time since the Unix epoch.
    pub fn plan(
        &self,
        route: RouteHash,
        topic: TopicHash,
        draw: f64,
        unix_now: Duration,
    ) -> TopicPlan {
        let mut by_route = self.by_route.borrow_mut();
        if by_route.len() >= MAX_ROUTES && !by_route.contains_key(&route) {
            by_route.shift_remove_index(0);
        }
        let known = by_route.entry(route).or_default();
        known.counts.record(topic);
        let (is_by_topic, group) = known.learning.assign(draw, unix_now);
        TopicPlan {
            topic,
            share: known.counts.share(topic),
            is_by_topic,
            group,
        }
    }

    /// Records the time to the first event or the answer of a request that was compared.
    pub fn record_time(&self, route: RouteHash, group: Group, time: Duration) {
        if let Some(known) = self.by_route.borrow_mut().get_mut(&route) {
            known.learning.record(group, time);
        }
    }

    /// What this gateway has measured, to be told to its peers.
    pub fn reports(&self) -> Vec<(RouteHash, GroupTimes)> {
        let by_route = self.by_route.borrow();
        let reports = by_route
            .iter()
            .filter_map(|(route, known)| Some((*route, known.learning.report()?)));
        reports.take(MAX_REPORTED_ROUTES).collect()
    }

    /// Adopts what another gateway has measured on the routes that this one serves.
    pub fn merge(&self, reporter: ReporterId, reports: &[(RouteHash, GroupTimes)], now: Instant) {
        let mut by_route = self.by_route.borrow_mut();
        for (route, times) in reports {
            if let Some(known) = by_route.get_mut(route) {
                known.learning.merge(reporter, *times, now);
            }
        }
    }

    /// Whether affinity pays on a route, if that has been decided since the last call.
    pub fn take_decision(&self, route: RouteHash) -> Option<bool> {
        let mut by_route = self.by_route.borrow_mut();
        let known = by_route.get_mut(&route)?;
        let decision = known.learning.pays();
        let previous = std::mem::replace(&mut known.taken_decision, decision);
        decision.filter(|_| decision != previous)
    }

    /// Whether affinity is known to pay on a route; `None` if it is not known yet.
    pub fn pays(&self, route: RouteHash) -> Option<bool> {
        let by_route = self.by_route.borrow();
        by_route.get(&route)?.learning.pays()
    }
}
