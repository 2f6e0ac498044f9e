//! Whether affinity pays on a route: answers to requests placed by topic are compared with those to
//! requests placed by load alone.
//!
//! The groups are drawn at random for each request, so they have the same mix of topics. Times are
//! compared by the means of their logarithms, because a few very long answers would dominate plain
//! means.
//!
//! Gateways tell each other their sums, because one of many sees too few answers to decide soon.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// Shortest gain for which requests are placed by topic: the logarithm of 1 / 0.95.
const MIN_GAIN: f64 = 0.0513;
/// Standard errors by which the gain must exceed [`MIN_GAIN`] before a route is placed by topic. The
/// decision is reviewed many times, and with two errors chance alone decides too often.
const CERTAINTY: f64 = 3.0;
/// Answers that each group needs before a decision.
const MIN_ANSWERS: f64 = 48.0;
/// Answers of both groups without a clear gain after which a route is placed by load alone.
const MAX_TRIAL_ANSWERS: f64 = 1_024.0;
/// Answers between two reviews of the decision.
const ANSWERS_PER_REVIEW: u32 = 16;
/// Answers of a group beyond which the earlier ones count half.
const MAX_ANSWERS: f64 = 1_024.0;
/// Share of the requests that are placed by load alone for comparison while affinity pays.
const COMPARISON_SHARE: f64 = 1.0 / 16.0;
/// Where affinity does not pay, it is tried again for [`TRIAL_S`] in each period of this length. The
/// periods are those of the Unix time, so that all gateways try at once and the servers see a topic
/// as often as they would with affinity in use.
const TRIAL_INTERVAL_S: u64 = 300;
/// Length of such a trial.
const TRIAL_S: u64 = 15;

/// How a compared request was placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// By its topic.
    Topic,
    /// By load alone.
    Load,
}

/// Time after which the sums of a gateway that does not repeat them are forgotten.
const PEER_TTL: Duration = Duration::from_secs(10);
/// Most gateways whose sums are kept for a route.
const MAX_PEERS: usize = 128;

/// Identifies one start of a gateway in what it reports to its peers.
pub type ReporterId = u64;

/// The logarithms of the times of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Times {
    count: f64,
    sum: f64,
    sum_of_squares: f64,
}

/// The times of both groups that one gateway has measured on a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupTimes {
    by_topic: Times,
    by_load: Times,
}

impl Times {
    fn record(&mut self, time: Duration) {
        if self.count >= MAX_ANSWERS {
            self.count /= 2.0;
            self.sum /= 2.0;
            self.sum_of_squares /= 2.0;
        }
        let log = time.as_secs_f64().max(1e-4).ln();
        self.count += 1.0;
        self.sum += log;
        self.sum_of_squares += log * log;
    }

    fn add(&mut self, other: &Self) {
        self.count += other.count;
        self.sum += other.sum;
        self.sum_of_squares += other.sum_of_squares;
    }

    /// Whether a gateway can have measured this.
    fn is_valid(&self) -> bool {
        let is_count = (0.0..=MAX_ANSWERS).contains(&self.count);
        is_count && self.sum.is_finite() && self.sum_of_squares.is_finite()
    }

    fn mean(&self) -> f64 {
        self.sum / self.count
    }

    /// The square of the standard error of the mean.
    fn squared_error(&self) -> f64 {
        let variance = self.sum_of_squares / self.count - self.mean().powi(2);
        variance.max(0.0) / self.count
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Verdict {
    #[default]
    Unknown,
    Pays,
    DoesNotPay,
}

/// What is known of the gain of affinity on one route.
#[derive(Clone, Debug, Default)]
pub struct Learning {
    own: GroupTimes,
    by_peer: IndexMap<ReporterId, (GroupTimes, Instant)>,
    verdict: Verdict,
    answers_since_review: u32,
}

impl Learning {
    /// Whether a request is placed by its topic, and the group in which its time is compared.
    /// `draw` is random, from 0 to below 1.
    pub fn assign(&self, draw: f64, unix_now: Duration) -> (bool, Option<Group>) {
        let load_share = match self.verdict {
            Verdict::Pays => COMPARISON_SHARE,
            Verdict::Unknown => 0.5,
            Verdict::DoesNotPay if unix_now.as_secs() % TRIAL_INTERVAL_S < TRIAL_S => 0.5,
            Verdict::DoesNotPay => return (false, None),
        };
        match draw < load_share {
            true => (false, Some(Group::Load)),
            false => (true, Some(Group::Topic)),
        }
    }

    /// Records the time to the first event or the answer of a compared request.
    pub fn record(&mut self, group: Group, time: Duration) {
        match group {
            Group::Topic => self.own.by_topic.record(time),
            Group::Load => self.own.by_load.record(time),
        }
        self.answers_since_review += 1;
        if self.answers_since_review >= ANSWERS_PER_REVIEW {
            self.answers_since_review = 0;
            self.review();
        }
    }

    /// What this gateway has measured, to be told to its peers; `None` if there is nothing.
    pub fn report(&self) -> Option<GroupTimes> {
        (self.own != GroupTimes::default()).then_some(self.own)
    }

    /// Adopts what another gateway has measured in place of what it reported before.
    pub fn merge(&mut self, reporter: ReporterId, times: GroupTimes, now: Instant) {
        let is_fresh = |at: &Instant| now.saturating_duration_since(*at) < PEER_TTL;
        self.by_peer.retain(|_, (_, at)| is_fresh(at));
        let has_room = self.by_peer.len() < MAX_PEERS || self.by_peer.contains_key(&reporter);
        if has_room && times.by_topic.is_valid() && times.by_load.is_valid() {
            self.by_peer.insert(reporter, (times, now));
            self.review();
        }
    }

    fn review(&mut self) {
        let GroupTimes {
            mut by_topic,
            mut by_load,
        } = self.own;
        for (times, _) in self.by_peer.values() {
            by_topic.add(&times.by_topic);
            by_load.add(&times.by_load);
        }
        if by_topic.count < MIN_ANSWERS || by_load.count < MIN_ANSWERS {
            return;
        }
        let gain = by_load.mean() - by_topic.mean();
        let error = (by_topic.squared_error() + by_load.squared_error()).sqrt();
        let is_certain = gain - CERTAINTY * error > MIN_GAIN;
        let is_ruled_out = gain + CERTAINTY * error < MIN_GAIN;
        let has_tried = by_topic.count + by_load.count >= MAX_TRIAL_ANSWERS;
        let verdict = match self.verdict {
            Verdict::Pays if gain < MIN_GAIN => Verdict::DoesNotPay,
            Verdict::Unknown | Verdict::DoesNotPay if is_certain => Verdict::Pays,
            Verdict::Unknown if is_ruled_out || has_tried => Verdict::DoesNotPay,
            unchanged => unchanged,
        };
        if verdict != self.verdict {
            // What was measured before belongs to another way of placing requests.
            *self = Self {
                verdict,
                ..Self::default()
            };
        }
    }

    /// Whether affinity is known to pay; `None` if it is not known yet.
    pub fn pays(&self) -> Option<bool> {
        match self.verdict {
            Verdict::Unknown => None,
            Verdict::Pays => Some(true),
            Verdict::DoesNotPay => Some(false),
        }
    }
}
