//! What a gateway that does not own the limit of a team keeps for it: granted tokens, the requests
//! that it has had, and its share of what may run without an owner.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use sapphireford_platform::operator::TeamLimit;

use super::limit_bucket::{GRANT_VALIDITY, NO_OWNER_SLACK_SHARE, PROGRAM_TIMEOUT, slack};
use super::limit_messages::{Issuer, ProgramDigest, TeamAsk};
use crate::ids::{TeamId, VersionNumber};
use crate::process::boot_clock::BootTime;
use crate::process::gateway::settings::TeamLimitTolerance;

/// Time without a request after which unused tokens go back to the owner.
pub const RETURN_DELAY: Duration = Duration::from_millis(300);
/// Time after its admission in which a refused request gives its token back. A later return would
/// make room for further requests in a window that the token was not counted in.
pub const REFUSED_VALIDITY: Duration = Duration::from_secs(1);
/// Time without a request after which nothing of a team is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Programs of a team that are remembered and named in one call. The requests of further ones are not
/// counted for their program, which only changes how many requests a program is taken to need.
const MAX_NAMED_PROGRAMS: usize = 256;

/// Counts requests over about the last [`GRANT_VALIDITY`].
#[derive(Clone, Copy, Debug, Default)]
struct RecentCount {
    current: u32,
    previous: u32,
    since: BootTime,
}

impl RecentCount {
    fn advance(&mut self, now: BootTime) {
        let age = now.saturating_duration_since(self.since);
        if age < GRANT_VALIDITY {
            return;
        }
        let is_adjacent = age < 2 * GRANT_VALIDITY;
        self.previous = if is_adjacent { self.current } else { 0 };
        self.current = 0;
        self.since = now;
    }

    fn add(&mut self, now: BootTime) {
        self.advance(now);
        self.current = self.current.saturating_add(1);
    }

    /// The requests of the current interval and a part of those of the one before it.
    fn get(&mut self, now: BootTime) -> u32 {
        self.advance(now);
        let age = now.saturating_duration_since(self.since);
        let weight = 1.0 - age.as_secs_f64() / GRANT_VALIDITY.as_secs_f64();
        let previous = f64::from(self.previous) * weight.clamp(0.0, 1.0);
        self.current.saturating_add(previous as u32)
    }
}

/// Tokens that an owner has granted beyond the requests that waited.
#[derive(Clone, Copy, Debug, Default)]
struct Grant {
    issuer: Issuer,
    tokens: u32,
    first_tokens: u32,
    valid_until: BootTime,
}

/// What this gateway keeps for one team.
#[derive(Debug)]
pub struct TeamHoldings {
    team: TeamId,
    limit: TeamLimit,
    config_version: VersionNumber,
    /// Unused tokens, also those that are no longer valid.
    grant: Grant,
    recent: RecentCount,
    recent_first: RecentCount,
    last_request: BootTime,
    /// Programs whose requests used tokens of `grant` since the last call, and how many.
    used_by: IndexMap<ProgramDigest, u32>,
    /// Programs that have begun or continued at this gateway, how many of their requests it has had,
    /// and when the last one.
    programs: IndexMap<ProgramDigest, (u32, BootTime)>,
    /// Who decided last; 0 before the first decision.
    last_issuer: Issuer,
    /// Requests that were admitted and refused later, whose tokens go back with the next call.
    refused: u32,
    /// When the first of them was admitted.
    refused_since: BootTime,
    /// When requests ran without an owner, within the last window.
    ran_without_owner: VecDeque<BootTime>,
    /// Requests since the team became active.
    pub requests: u64,
}

impl TeamHoldings {
    /// Keeps nothing yet.
    pub fn new(team: TeamId, limit: TeamLimit, version: VersionNumber, now: BootTime) -> Self {
        Self {
            team,
            limit,
            config_version: version,
            grant: Grant::default(),
            recent: RecentCount::default(),
            recent_first: RecentCount::default(),
            last_request: now,
            used_by: IndexMap::new(),
            programs: IndexMap::new(),
            last_issuer: 0,
            refused: 0,
            refused_since: now,
            ran_without_owner: VecDeque::new(),
            requests: 0,
        }
    }

    /// Records a request by its limit in a configuration.
    pub fn record_request(
        &mut self,
        limit: TeamLimit,
        version: VersionNumber,
        may_begin_program: bool,
        now: BootTime,
    ) {
        if version >= self.config_version {
            (self.limit, self.config_version) = (limit, version);
        }
        match may_begin_program {
            true => self.recent_first.add(now),
            false => self.recent.add(now),
        }
        self.last_request = now;
        self.requests += 1;
    }

    /// Records that a request that was admitted at `admitted_at` was refused for another reason and
    /// did not run.
    pub fn record_refused(&mut self, admitted_at: BootTime, now: BootTime) {
        if now.saturating_duration_since(admitted_at) >= REFUSED_VALIDITY {
            return;
        }
        self.refused_since = match self.has_refused(now) {
            true => self.refused_since.min(admitted_at),
            false => {
                self.refused = 0;
                admitted_at
            }
        };
        self.refused = self.refused.saturating_add(1);
    }

    /// Whether there are tokens of refused requests that can still go back.
    fn has_refused(&self, now: BootTime) -> bool {
        self.refused > 0 && now.saturating_duration_since(self.refused_since) < REFUSED_VALIDITY
    }

    /// The limit of the team.
    pub fn limit(&self) -> TeamLimit {
        self.limit
    }

    /// Uses a token of an earlier grant, if there is a valid one.
    pub fn take(&mut self, program: ProgramDigest, may_begin_program: bool, now: BootTime) -> bool {
        if now >= self.grant.valid_until {
            return false;
        }
        let tokens = match may_begin_program {
            true => &mut self.grant.first_tokens,
            false => &mut self.grant.tokens,
        };
        if *tokens == 0 {
            return false;
        }
        *tokens -= 1;
        if program != 0 && self.used_by.len() < MAX_NAMED_PROGRAMS {
            *self.used_by.entry(program).or_insert(0) += 1;
        }
        self.record_run(program, now);
        true
    }

    /// Remembers that a request of a program has been admitted.
    pub fn record_run(&mut self, program: ProgramDigest, now: BootTime) {
        let is_known = self.programs.contains_key(&program);
        if program == 0 || (!is_known && self.programs.len() >= MAX_NAMED_PROGRAMS) {
            return;
        }
        let (requests, last_request) = self.programs.entry(program).or_insert((0, now));
        *requests = requests.saturating_add(1);
        *last_request = now;
    }

    /// Forgets the programs that have ended.
    pub fn forget_ended_programs(&mut self, now: BootTime) {
        let is_running = |last: BootTime| now.saturating_duration_since(last) < PROGRAM_TIMEOUT;
        self.programs.retain(|_, (_, last)| is_running(*last));
    }

    /// Records who has decided. A new owner does not know the programs of the team, so the next call
    /// names those that this gateway knows.
    pub fn record_issuer(&mut self, issuer: Issuer, now: BootTime) {
        let last_issuer = std::mem::replace(&mut self.last_issuer, issuer);
        if last_issuer == 0 || last_issuer == issuer {
            return;
        }
        // The earlier owner has counted these.
        self.refused = 0;
        self.forget_ended_programs(now);
        let programs = self.programs.iter();
        self.used_by = programs
            .map(|(id, (requests, _))| (*id, *requests))
            .collect();
    }

    /// Makes the part of a call for this team; all unused tokens of `issuer` go back with it.
    pub fn ask(
        &mut self,
        issuer: Issuer,
        waiting: Vec<ProgramDigest>,
        waiting_first: Vec<ProgramDigest>,
        now: BootTime,
    ) -> TeamAsk {
        let grant = std::mem::take(&mut self.grant);
        let is_issuer = grant.issuer == issuer;
        // A call that only returns tokens must not get new ones.
        let has_waiting = !waiting.is_empty() || !waiting_first.is_empty();
        let recent = |count: &mut RecentCount| if has_waiting { count.get(now) } else { 0 };
        TeamAsk {
            team: self.team.to_string(),
            config_version: self.config_version,
            rate_per_s: self.limit.rate_per_s,
            burst: self.limit.burst,
            recent: recent(&mut self.recent),
            recent_first: recent(&mut self.recent_first),
            unused: if is_issuer { grant.tokens } else { 0 },
            unused_first: if is_issuer { grant.first_tokens } else { 0 },
            refused: match issuer == self.last_issuer && self.has_refused(now) {
                true => std::mem::take(&mut self.refused),
                false => 0,
            },
            programs: std::mem::take(&mut self.used_by).into_iter().collect(),
            waiting,
            waiting_first,
        }
    }

    /// Keeps tokens granted by `issuer` in a call that began at `call_started`.
    pub fn keep(&mut self, issuer: Issuer, tokens: u32, first_tokens: u32, call_started: BootTime) {
        let valid_until = call_started + GRANT_VALIDITY;
        if issuer != self.grant.issuer || valid_until > self.grant.valid_until {
            // The tokens of an earlier call went back with this one, except those of requests that
            // were given up since. They end with the new ones at the earliest time of both.
            let kept = match issuer == self.grant.issuer {
                true if self.has_tokens() => self.grant,
                _ => Grant {
                    valid_until,
                    ..Grant::default()
                },
            };
            self.grant = Grant {
                issuer,
                valid_until: kept.valid_until.min(valid_until),
                ..kept
            };
        }
        self.grant.tokens = self.grant.tokens.saturating_add(tokens);
        self.grant.first_tokens = self.grant.first_tokens.saturating_add(first_tokens);
    }

    /// Who granted the tokens that are kept or go back; 0 if there are none.
    pub fn issuer(&self) -> Issuer {
        if self.has_tokens() {
            self.grant.issuer
        } else if self.refused > 0 {
            self.last_issuer
        } else {
            0
        }
    }

    fn has_tokens(&self) -> bool {
        self.grant.tokens > 0 || self.grant.first_tokens > 0
    }

    /// Whether tokens are to go back, because the team has had no request for a while.
    pub fn must_return(&self, now: BootTime) -> bool {
        let has_any = self.has_tokens() || self.has_refused(now);
        has_any && now.saturating_duration_since(self.last_request) >= RETURN_DELAY
    }

    /// Whether one more request may run without an owner. In any window, all gateways together admit
    /// at most `NO_OWNER_SLACK_SHARE` of the slack this way.
    pub fn take_without_owner(
        &mut self,
        tolerance: TeamLimitTolerance,
        gateways: usize,
        now: BootTime,
    ) -> bool {
        let is_past = |ran: &BootTime| now.saturating_duration_since(*ran) > tolerance.window;
        while self.ran_without_owner.front().is_some_and(is_past) {
            self.ran_without_owner.pop_front();
        }
        let share = slack(self.limit, tolerance) * NO_OWNER_SLACK_SHARE / gateways.max(1) as f64;
        let has_share = (self.ran_without_owner.len() as f64) < share.floor();
        if has_share {
            self.ran_without_owner.push_back(now);
        }
        has_share
    }

    /// Whether the team has had no request for so long that nothing of it needs to be kept.
    pub fn is_idle(&self, now: BootTime) -> bool {
        now.saturating_duration_since(self.last_request) >= IDLE_TIMEOUT
    }
}
