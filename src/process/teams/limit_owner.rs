//! The limits of the teams of one shard at the gateway that owns it.

use indexmap::IndexMap;
use sapphireford_platform::operator::TeamLimit;

use super::limit_bucket::{BucketStart, TeamBucket};
use super::limit_messages::{Issuer, LimitRequest, LimitResponse, TeamAnswer, TeamAsk};
use crate::ids::{TeamId, VersionNumber};
use crate::process::boot_clock::BootTime;
use crate::process::gateway::settings::TeamLimitTolerance;

/// The buckets of the active teams of a shard, from the time at which this gateway began to own it.
pub struct ShardBuckets {
    issuer: Issuer,
    start: BucketStart,
    tolerance: TeamLimitTolerance,
    teams: IndexMap<TeamId, TeamBucket>,
    /// When a gateway last asked.
    asked_at: BootTime,
}

impl ShardBuckets {
    /// Makes the buckets of an owner that begins with `start`. `issuer` is unique and not 0.
    pub fn new(
        issuer: Issuer,
        start: BucketStart,
        tolerance: TeamLimitTolerance,
        now: BootTime,
    ) -> Self {
        Self {
            issuer,
            start,
            tolerance,
            teams: IndexMap::new(),
            asked_at: now,
        }
    }

    /// Identifies this owner.
    pub fn issuer(&self) -> Issuer {
        self.issuer
    }

    /// When a gateway last asked.
    pub fn asked_at(&self) -> BootTime {
        self.asked_at
    }

    /// The number of teams with a bucket.
    pub fn active_teams(&self) -> usize {
        self.teams.len()
    }

    /// Tokens of a team that are there now; `None` if it has no bucket.
    pub fn level(&self, team: &str) -> Option<f64> {
        self.teams.get(team).map(TeamBucket::level)
    }

    /// The version of the configuration that the limit of a team is taken from; `None` if it has no
    /// bucket.
    pub fn config_version(&self, team: &str) -> Option<VersionNumber> {
        self.teams.get(team).map(TeamBucket::config_version)
    }

    /// Decides on a call.
    pub fn decide(&mut self, request: &LimitRequest, now: BootTime) -> LimitResponse {
        self.asked_at = now;
        let is_issuer = request.issuer == self.issuer;
        let asks = request.teams.iter();
        let teams = asks.map(|ask| self.decide_team(ask, is_issuer, now));
        LimitResponse::Decided {
            teams: teams.collect(),
            issuer: self.issuer,
        }
    }

    fn decide_team(&mut self, ask: &TeamAsk, is_issuer: bool, now: BootTime) -> TeamAnswer {
        let limit = TeamLimit {
            rate_per_s: ask.rate_per_s,
            burst: ask.burst,
        };
        let is_valid = limit.rate_per_s.is_finite()
            && limit.rate_per_s > 0.0
            && limit.burst.is_finite()
            && limit.burst >= 0.0;
        if !is_valid {
            return TeamAnswer::default();
        }
        let bucket = match self.teams.get_mut(&*ask.team) {
            Some(bucket) => bucket,
            None => {
                let (tolerance, start) = (self.tolerance, self.start);
                let bucket = TeamBucket::new(limit, ask.config_version, tolerance, start, now);
                let team = TeamId::from(&*ask.team);
                self.teams.entry(team).or_insert(bucket)
            }
        };
        bucket.set_limit(limit, ask.config_version, self.tolerance, now);
        // Another owner's tokens were never taken from this bucket.
        if is_issuer {
            bucket.put_back(ask.unused, ask.unused_first, now);
            bucket.put_back_refused(ask.refused, now);
        }
        for (program, requests) in &ask.programs {
            bucket.record_program(*program, *requests, now);
        }
        let waiting = ask.waiting.iter();
        let waiting = waiting.map(|program| bucket.take(*program, false, now));
        let waiting = waiting.collect();
        let waiting_first = ask.waiting_first.iter();
        let waiting_first = waiting_first.map(|program| bucket.take(*program, true, now));
        let waiting_first = waiting_first.collect();
        // A single request in the last 500 ms makes another one in the next 300 ms unlikely, and its
        // token would cost a call to come back.
        let extra = ask.recent.saturating_sub(1);
        let extra_first = ask.recent_first.saturating_sub(1);
        let (extra, extra_first) = bucket.take_extra(extra, extra_first, now);
        TeamAnswer {
            waiting,
            waiting_first,
            extra,
            extra_first,
        }
    }

    /// Forgets the teams that have not been active for a while.
    pub fn remove_idle(&mut self, now: BootTime) {
        self.teams.retain(|_, bucket| !bucket.is_idle(now));
        if self.teams.is_empty() {
            self.teams.shrink_to_fit();
        }
    }
}
