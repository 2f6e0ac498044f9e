//! What callers got from the servers, and which servers are excluded because of it.
//!
//! A server may fail or hang while its health is good. Each gateway counts the good and bad outcomes
//! of the last seconds at each server and tells its peers. A server is excluded if most of its
//! outcomes are bad, those of the other servers of its service are not, and two gateways report so.
//! The report of one gateway suffices only if no other one is served well.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::process::topics::RouteHash;
use crate::process::topics::learning::ReporterId;

/// Outcomes are counted for one to two of these periods.
const COUNTING_PERIOD: Duration = Duration::from_secs(4);
/// Bad outcomes without which a server is not excluded.
const MIN_BAD_OUTCOMES: u32 = 3;
/// Share of the servers of a service that may be excluded at once: one in this many.
const SERVERS_PER_EXCLUSION: usize = 5;
/// Largest share of bad outcomes at the other servers with which a server is excluded, in percent.
/// Above it, the cause may be the requests, or the service as a whole.
const MAX_BAD_PERCENT_OF_OTHERS: u32 = 20;
/// Most gateways whose counts are kept for a server.
const MAX_PEERS: usize = 128;
/// An answer is bad if it takes this many times as long as the answers of the route usually do.
const SLOW_FACTOR: f64 = 4.0;
/// Weight of an answer in the usual time of its route.
const USUAL_TIME_WEIGHT: f64 = 0.05;
/// Answers after which the usual time of a route is known.
const MIN_ANSWERS: u32 = 20;
/// Most routes whose usual time is kept.
const MAX_ROUTES: usize = 1_024;

/// Numbers of outcomes at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeCounts {
    /// Answers in the usual time.
    pub good: u32,
    /// Failures, late answers, and requests that the caller gave up without an answer.
    pub bad: u32,
}

impl OutcomeCounts {
    fn add(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
    }

    fn is_mostly_bad(self) -> bool {
        self.bad > self.good
    }
}

/// The counts of one server, as gateways tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SharedOutcomes {
    /// Key of the server's row.
    pub server_id: String,
    /// The outcomes that the sender has seen itself.
    pub counts: OutcomeCounts,
}

/// The outcomes that one gateway reports.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedOutcomes {
    /// The gateway that has seen them.
    pub reporter: ReporterId,
    /// Its counts by server; empty unless servers are suspected.
    pub by_server: Vec<SharedOutcomes>,
}

/// The outcomes at one server.
#[derive(Clone, Debug, Default)]
pub struct ServerOutcomes {
    current: OutcomeCounts,
    previous: OutcomeCounts,
    period_started_at: Option<Instant>,
    by_peer: IndexMap<ReporterId, (OutcomeCounts, Instant)>,
}

impl ServerOutcomes {
    /// Counts an outcome that this gateway has seen.
    pub fn record(&mut self, is_good: bool, now: Instant) {
        self.forget_old(now);
        match is_good {
            true => self.current.good += 1,
            false => self.current.bad += 1,
        }
    }

    /// Adopts the counts of another gateway in place of its earlier ones.
    pub fn merge(&mut self, reporter: ReporterId, counts: OutcomeCounts, now: Instant) {
        if self.by_peer.len() < MAX_PEERS || self.by_peer.contains_key(&reporter) {
            self.by_peer.insert(reporter, (counts, now));
        }
    }

    /// Forgets what is older than the counting periods.
    pub fn forget_old(&mut self, now: Instant) {
        let started_at = *self.period_started_at.get_or_insert(now);
        let age = now.saturating_duration_since(started_at);
        if age >= COUNTING_PERIOD {
            let is_recent = age < 2 * COUNTING_PERIOD;
            let ended = std::mem::take(&mut self.current);
            self.previous = if is_recent {
                ended
            } else {
                OutcomeCounts::default()
            };
            self.period_started_at = Some(now);
        }
        let is_fresh = |at: &Instant| now.saturating_duration_since(*at) < COUNTING_PERIOD;
        self.by_peer.retain(|_, (_, at)| is_fresh(at));
    }

    /// The outcomes that this gateway has seen.
    pub fn own(&self) -> OutcomeCounts {
        let mut own = self.previous;
        own.add(self.current);
        own
    }

    /// Whether any gateway has reported a bad outcome.
    pub fn is_suspected(&self) -> bool {
        let mut peers = self.by_peer.values();
        self.own().bad > 0 || peers.any(|(counts, _)| counts.bad > 0)
    }

    fn total(&self) -> OutcomeCounts {
        let mut total = self.own();
        self.by_peer
            .values()
            .for_each(|(counts, _)| total.add(*counts));
        total
    }

    /// Whether the gateways agree that most outcomes are bad.
    fn is_failing(&self) -> bool {
        let total = self.total();
        if total.bad < MIN_BAD_OUTCOMES || !total.is_mostly_bad() {
            return false;
        }
        let peers = self.by_peer.values().map(|(counts, _)| *counts);
        let all = || peers.clone().chain([self.own()]);
        let reporters = all().filter(|counts| counts.is_mostly_bad()).count();
        let are_others_served = all().any(|counts| counts.good > counts.bad);
        reporters >= 2 || !are_others_served
    }
}

/// Selects the servers of one service that are excluded, as indices in the order of `servers`.
pub fn select_excluded(servers: &[&ServerOutcomes]) -> Vec<usize> {
    let mut all = OutcomeCounts::default();
    servers.iter().for_each(|server| all.add(server.total()));
    let is_excluded = |server: &ServerOutcomes| {
        let total = server.total();
        let others_bad = u64::from(all.bad - total.bad);
        let others = others_bad + u64::from(all.good - total.good);
        let limit = others * u64::from(MAX_BAD_PERCENT_OF_OTHERS);
        server.is_failing() && others > 0 && others_bad * 100 <= limit
    };
    let indices = 0..servers.len();
    let mut excluded: Vec<_> = indices
        .filter(|index| is_excluded(servers[*index]))
        .collect();
    excluded.sort_by_key(|index| Reverse(servers[*index].total().bad));
    excluded.truncate(servers.len() / SERVERS_PER_EXCLUSION);
    excluded
}

/// The usual times of answers by route.
#[derive(Clone, Debug, Default)]
pub struct UsualTimes {
    /// For each route, the mean of the logarithms of the times in seconds, and the number of answers.
    by_route: IndexMap<RouteHash, (f64, u32)>,
}

impl UsualTimes {
    /// Records the time to the first event or the answer; returns whether it is within the usual
    /// time of the route.
    pub fn record(&mut self, route: RouteHash, time: Duration) -> bool {
        let log_time = time.as_secs_f64().max(1e-4).ln();
        let Some((mean, answers)) = self.by_route.get_mut(&route) else {
            if self.by_route.len() < MAX_ROUTES {
                self.by_route.insert(route, (log_time, 1));
            }
            return true;
        };
        let is_usual = *answers < MIN_ANSWERS || log_time < *mean + SLOW_FACTOR.ln();
        *answers = answers.saturating_add(1);
        let weight = USUAL_TIME_WEIGHT.max(1.0 / f64::from(*answers));
        *mean += weight * (log_time - *mean);
        is_usual
    }
}
