//! How the owner of a team's limit decides on requests.
//!
//! A token bucket with the rate of the limit counts all requests. It holds the burst and a part of
//! what the platform tolerates, because the requests of a single program come in bursts. An owner
//! that knows the whole window also grants a part of the burst in each window, as long as the count of
//! the window allows it. The first turn of a program is admitted if the tokens of the next seconds
//! are enough for what the running programs still need. So a team near its limit finishes the
//! programs that it has begun, and begins fewer new ones.

use std::time::Duration;

use indexmap::IndexMap;
use sapphireford_platform::operator::TeamLimit;

use super::limit_messages::{ProgramDigest, Verdict};
use super::limit_window::GrantWindow;
use super::token_bucket::{MAX_RETRY, TokenBucket, seconds};
use crate::ids::VersionNumber;
use crate::process::boot_clock::BootTime;
use crate::process::gateway::settings::TeamLimitTolerance;

/// Longest time for which a request waits for its token instead of being refused.
pub const MAX_WAIT: Duration = Duration::from_millis(50);
/// Time for which a grant may be used, from the start of the call that asked for it.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(500);
/// A program without a request for this time counts as ended.
pub const PROGRAM_TIMEOUT: Duration = Duration::from_secs(30);
/// Most programs of a team that are remembered, about 400 KB. Only the first turns of further
/// programs that come twice are counted twice.
const MAX_PROGRAMS: usize = 8_192;
/// Denied requests are spread over at most this time, unless the token takes longer. A flood does
/// not move the time for those that come after it any further.
const MAX_SPREAD: Duration = Duration::from_secs(5);
/// Age up to which tokens of refused requests come back: their validity at the gateway and a call.
const REFUSED_AGE: Duration = Duration::from_millis(1_200);
/// Share of the window's slack that tokens granted beyond the waiting requests may take up. Such a
/// token may be used up to [`GRANT_VALIDITY`] after it was counted.
const EXTRA_SLACK_SHARE: f64 = 0.15;
/// Share of the window's slack that the bucket holds beyond the burst. A program needs more requests
/// in a few seconds than the burst of a small team.
const BURST_SLACK_SHARE: f64 = 0.4;
/// Share of the window's slack by which the refill of a second may exceed the rate. A later owner does
/// not know the window, and refills by the rate alone: if it takes over from one that has used the
/// whole window, the limit is exceeded by five times this share.
const REFILL_SLACK_SHARE: f64 = 0.05;
/// Share of the window's slack that all gateways together use without an owner. What is left of the
/// slack is for new owners.
pub const NO_OWNER_SLACK_SHARE: f64 = 0.15;
/// Share of the window's slack that a new owner starts with.
const START_SLACK_SHARE: f64 = 1.0 / 40.0;
/// Share of its capacity that a bucket must hold for more tokens than requests wait.
const GENEROUS_SHARE: f64 = 0.5;
/// Time in which the running programs are expected to need what is left of their requests, before
/// any program of the team has ended, and its bounds. It is half of the time that a program takes.
const DEFAULT_TIME_LEFT: Duration = Duration::from_millis(1_500);
const TIME_LEFT_RANGE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(5));
/// A program counts with at most this many times the requests of a typical one. Programs that loop
/// without end would make all others seem to need more than the limit.
const TYPICAL_REQUESTS_FACTOR: u32 = 4;
/// A program without a request for this time is expected to need no more of them.
const PROGRAM_PAUSE: Duration = Duration::from_secs(2);
/// Share of a program's requests that must be likely to be available for it to begin. The rest is
/// there when other programs end.
const FIRST_TURN_SHARE: f64 = 0.5;
/// Interval at which the needs of programs are estimated anew.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(100);

/// The requests by which a window may exceed a limit.
pub fn slack(limit: TeamLimit, tolerance: TeamLimitTolerance) -> f64 {
    let window = limit.rate_per_s * tolerance.window.as_secs_f64() + limit.burst;
    window.min(f64::MAX) * tolerance.excess_share + tolerance.excess_requests
}

/// What the buckets of an owner begin with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BucketStart {
    /// Nobody has granted anything before.
    Full,
    /// An earlier owner granted up to this time, and nothing after it.
    Since(BootTime),
}

#[derive(Clone, Copy, Debug)]
struct Program {
    first_request: BootTime,
    last_request: BootTime,
    requests: u32,
}

/// The limit of one team at its owner.
#[derive(Clone, Debug)]
pub struct TeamBucket {
    limit: TeamLimit,
    slack: f64,
    config_version: VersionNumber,
    requests: TokenBucket,
    /// Tokens granted in the last window.
    granted: GrantWindow,
    window: Duration,
    /// Since when `granted` has all tokens of the team; `None` if that was always so.
    granted_since: Option<BootTime>,
    /// Requests that a program of the team needs, as of `estimated_at`; at least 1.
    requests_per_program: f64,
    /// Requests that the running programs are expected to need still.
    outstanding: f64,
    /// Time in which they are expected to need them.
    time_left: Duration,
    estimated_at: BootTime,
    /// The last time that was told to a denied request that begins no program.
    promised_until: BootTime,
    /// The last time that was told to a denied first turn.
    first_promised_until: BootTime,
    /// Programs with requests within `PROGRAM_TIMEOUT`.
    programs: IndexMap<ProgramDigest, Program>,
    programs_swept_at: BootTime,
    /// Extra tokens granted since `extra_since`, and in the `GRANT_VALIDITY` before it.
    extra_granted: [f64; 2],
    extra_since: BootTime,
    used_at: BootTime,
}

impl TeamBucket {
    /// Makes the bucket of a team at an owner that begins with `start`.
    pub fn new(
        limit: TeamLimit,
        config_version: VersionNumber,
        tolerance: TeamLimitTolerance,
        start: BucketStart,
        now: BootTime,
    ) -> Self {
        let slack = slack(limit, tolerance);
        let level = match start {
            BucketStart::Full => f64::INFINITY,
            BucketStart::Since(ended) => {
                let elapsed = now.saturating_duration_since(ended).as_secs_f64();
                slack * START_SLACK_SHARE + limit.rate_per_s * elapsed
            }
        };
        let bucket = TokenBucket {
            level,
            refilled_at: now,
        };
        let mut team = Self {
            limit,
            slack,
            config_version,
            requests: bucket,
            granted: GrantWindow::new(tolerance.window, now),
            window: tolerance.window,
            granted_since: match start {
                BucketStart::Full => None,
                BucketStart::Since(_) => Some(now),
            },
            requests_per_program: 1.0,
            outstanding: 0.0,
            time_left: DEFAULT_TIME_LEFT,
            estimated_at: now,
            promised_until: now,
            first_promised_until: now,
            programs: IndexMap::new(),
            programs_swept_at: now,
            extra_granted: [0.0; 2],
            extra_since: now,
            used_at: now,
        };
        team.refill(now);
        team
    }

    /// The most tokens that the bucket holds. Less than one would admit nothing.
    fn capacity(&self) -> f64 {
        (self.limit.burst + self.slack * BURST_SLACK_SHARE).max(1.0)
    }

    /// Requests that a program of the team needs, at least 1.
    pub fn requests_per_program(&self) -> f64 {
        self.requests_per_program
    }

    fn first_turn_rate_per_s(&self) -> f64 {
        self.limit.rate_per_s / self.requests_per_program()
    }

    /// Whether the count of the window has all tokens of the team.
    fn is_window_known(&self, now: BootTime) -> bool {
        self.granted_since
            .is_none_or(|since| now.saturating_duration_since(since) >= self.window)
    }

    /// Tokens that the bucket gets in a second.
    fn refill_per_s(&self, now: BootTime) -> f64 {
        let more_per_s = match self.is_window_known(now) {
            true => {
                let burst_per_s = self.limit.burst / self.window.as_secs_f64();
                burst_per_s.min(self.slack * REFILL_SLACK_SHARE)
            }
            false => 0.0,
        };
        self.limit.rate_per_s + more_per_s
    }

    /// The most tokens that are granted in a window.
    fn window_limit(&self) -> f64 {
        let window = self.limit.rate_per_s * self.window.as_secs_f64() + self.limit.burst;
        window + self.slack * BURST_SLACK_SHARE
    }

    /// Tokens that the count of the window leaves.
    fn window_room(&mut self, now: BootTime) -> f64 {
        self.window_limit() - f64::from(self.granted.total(now))
    }

    /// Time until the count of the window leaves room for a token.
    fn window_wait(&mut self, now: BootTime) -> Duration {
        let room = self.window_room(now);
        match room >= 1.0 {
            true => Duration::ZERO,
            false => self.granted.time_to_room(1.0 - room, now),
        }
    }

    /// Estimates what a program needs, from those that have ended if there are any, and what the
    /// running ones need still.
    fn estimate_needs(&mut self, now: BootTime) {
        self.estimated_at = now;
        let is_running = |program: &&Program| {
            now.saturating_duration_since(program.last_request) < PROGRAM_PAUSE
        };
        let programs = self.programs.values();
        let (running, ended): (Vec<&Program>, Vec<&Program>) = programs.partition(is_running);
        let known = if ended.is_empty() { &running } else { &ended };
        let needed = typical_requests(known).max(1.0);
        if !ended.is_empty() {
            let durations = ended.iter().map(|program| {
                let last = program.last_request;
                last.saturating_duration_since(program.first_request)
            });
            let mean = durations.sum::<Duration>() / ended.len() as u32;
            let (shortest, longest) = TIME_LEFT_RANGE;
            self.time_left = (mean / 2).clamp(shortest, longest);
        }
        let left = running
            .iter()
            .map(|program| needed - f64::from(program.requests));
        self.outstanding = left.map(|left| left.max(0.0)).sum();
        self.requests_per_program = needed;
    }

    /// Tokens beyond what the running programs still need; negative if they need more.
    fn unclaimed(&mut self, now: BootTime) -> f64 {
        if now.saturating_duration_since(self.estimated_at) >= ESTIMATE_INTERVAL {
            self.estimate_needs(now);
        }
        let refill = self.limit.rate_per_s * self.time_left.as_secs_f64();
        self.requests.level + refill - self.outstanding
    }

    /// Tokens that must be unclaimed for a program to begin.
    fn first_turn_need(&self) -> f64 {
        1.0 + (self.requests_per_program() - 1.0) * FIRST_TURN_SHARE
    }

    fn refill(&mut self, now: BootTime) {
        let (rate, capacity) = (self.refill_per_s(now), self.capacity());
        self.requests.refill(rate, capacity, now);
        let bin_age = now.saturating_duration_since(self.extra_since);
        if bin_age >= GRANT_VALIDITY {
            let is_adjacent = bin_age < 2 * GRANT_VALIDITY;
            let previous = if is_adjacent {
                self.extra_granted[0]
            } else {
                0.0
            };
            self.extra_granted = [0.0, previous];
            self.extra_since = now;
        }
        if now.saturating_duration_since(self.programs_swept_at) >= PROGRAM_TIMEOUT / 10 {
            self.sweep_programs(now);
        }
    }

    fn sweep_programs(&mut self, now: BootTime) {
        self.programs_swept_at = now;
        let is_running = |program: &Program| {
            now.saturating_duration_since(program.last_request) < PROGRAM_TIMEOUT
        };
        self.programs.retain(|_, program| is_running(program));
        if self.programs.is_empty() {
            self.programs.shrink_to_fit();
        }
    }

    /// Applies the limit of a configuration, unless a newer one is known.
    pub fn set_limit(
        &mut self,
        limit: TeamLimit,
        config_version: VersionNumber,
        tolerance: TeamLimitTolerance,
        now: BootTime,
    ) {
        if config_version <= self.config_version {
            return;
        }
        self.config_version = config_version;
        if limit == self.limit {
            return;
        }
        self.refill(now);
        // What a full bucket has granted is refilled already, so it may be full under the new limit
        // as well. Any other bucket keeps its tokens, and so does one that was cut by a lower limit
        // within the window.
        let was_full = self.requests.level >= self.capacity() && self.is_window_known(now);
        let window_before = self.window_limit();
        self.limit = limit;
        self.slack = slack(limit, tolerance);
        if self.window_limit() < window_before {
            // A lower limit is binding for windows that begin from now on. With the grants of the
            // earlier limit, the count would admit nothing until they have left the window.
            self.granted = GrantWindow::new(self.window, now);
            self.granted_since = Some(now);
        }
        if was_full {
            self.requests.level = f64::INFINITY;
        }
        // These times followed the rate of the earlier limit.
        self.promised_until = self.promised_until.min(now);
        self.first_promised_until = self.first_promised_until.min(now);
        self.refill(now);
    }

    /// Counts requests of programs that used tokens of earlier grants.
    pub fn record_program(&mut self, program: ProgramDigest, requests: u32, now: BootTime) {
        if program == 0 {
            return;
        }
        if self.programs.len() >= MAX_PROGRAMS && !self.programs.contains_key(&program) {
            return;
        }
        let entry = self.programs.entry(program).or_insert(Program {
            first_request: now,
            last_request: now,
            requests: 0,
        });
        entry.last_request = now;
        entry.requests = entry.requests.saturating_add(requests);
    }

    /// Whether a request that may begin `program` does so.
    fn begins(&self, program: ProgramDigest, now: BootTime) -> bool {
        let known = self.programs.get(&program);
        !known.is_some_and(|known| {
            now.saturating_duration_since(known.last_request) < PROGRAM_TIMEOUT
        })
    }

    /// Decides on a request of `program`, and counts it if it is granted.
    pub fn take(
        &mut self,
        program: ProgramDigest,
        may_begin_program: bool,
        now: BootTime,
    ) -> Verdict {
        self.refill(now);
        self.used_at = now;
        let is_first = may_begin_program && program != 0 && self.begins(program, now);
        let verdict = match is_first {
            true => self.take_first(now),
            false => self.take_later(now),
        };
        if let Verdict::Granted { .. } = verdict {
            self.record_program(program, 1, now);
        }
        verdict
    }

    fn take_later(&mut self, now: BootTime) -> Verdict {
        let rate_per_s = self.limit.rate_per_s;
        let wait = self.requests.wait(rate_per_s).max(self.window_wait(now));
        if wait <= MAX_WAIT {
            self.requests.level -= 1.0;
            self.granted.add(1, now);
            return Verdict::granted(wait);
        }
        let spacing = seconds(1.0 / rate_per_s);
        let retry_at = spread(now, wait, self.promised_until, spacing);
        self.promised_until = retry_at;
        Verdict::denied(retry_at.saturating_duration_since(now))
    }

    fn take_first(&mut self, now: BootTime) -> Verdict {
        // The tokens of denied requests of programs that have begun are not for first turns.
        let promised = self.promised_until.saturating_duration_since(now);
        let missing = 1.0 - self.requests.level;
        let wait = seconds(promised.as_secs_f64() + missing / self.limit.rate_per_s);
        let missing_for_program = self.first_turn_need() - self.unclaimed(now);
        let wait = wait
            .max(seconds(missing_for_program / self.limit.rate_per_s))
            .max(self.window_wait(now));
        if wait <= MAX_WAIT {
            self.requests.level -= 1.0;
            self.granted.add(1, now);
            self.outstanding += self.requests_per_program() - 1.0;
            return Verdict::granted(wait);
        }
        let spacing = seconds(1.0 / self.first_turn_rate_per_s());
        let retry_at = spread(now, wait, self.first_promised_until, spacing);
        self.first_promised_until = retry_at;
        Verdict::denied(retry_at.saturating_duration_since(now))
    }

    /// Grants up to this many tokens in addition, while the buckets are more than half full. Returns
    /// the tokens for requests that begin no program and those for first turns.
    pub fn take_extra(&mut self, wanted: u32, wanted_first: u32, now: BootTime) -> (u32, u32) {
        self.refill(now);
        if self.promised_until > now {
            return (0, 0);
        }
        let granted_before = self.extra_granted[0] + self.extra_granted[1];
        let room = self.slack * EXTRA_SLACK_SHARE - granted_before;
        let room = room
            .min(self.requests.level - self.capacity() * GENEROUS_SHARE)
            .min(self.window_room(now));
        let extra = f64::from(wanted).min(room).max(0.0).floor();
        let first_room = self.unclaimed(now) / self.first_turn_need() - 1.0;
        let first_room = first_room.min(room - extra);
        let extra_first = f64::from(wanted_first).min(first_room).max(0.0).floor();
        self.requests.level -= extra + extra_first;
        self.granted.add((extra + extra_first) as u32, now);
        self.outstanding += extra_first * (self.requests_per_program - 1.0);
        self.extra_granted[0] += extra + extra_first;
        (extra as u32, extra_first as u32)
    }

    /// Takes back tokens that were granted and not used.
    pub fn put_back(&mut self, unused: u32, unused_first: u32, now: BootTime) {
        self.refill(now);
        self.granted
            .remove(unused.saturating_add(unused_first), now);
        let (unused, unused_first) = (f64::from(unused), f64::from(unused_first));
        self.requests.level += unused + unused_first;
        let [current, previous] = &mut self.extra_granted;
        let returned = unused + unused_first;
        let from_previous = returned.min(*previous);
        *previous -= from_previous;
        *current = (*current - (returned - from_previous)).max(0.0);
        self.refill(now);
    }

    /// Takes back the tokens of requests that were refused later and did not run.
    pub fn put_back_refused(&mut self, refused: u32, now: BootTime) {
        self.granted.remove_earliest(refused, REFUSED_AGE, now);
        self.requests.level += f64::from(refused);
        self.refill(now);
    }

    /// Whether nothing would change if the bucket were made anew: it is full, and no program of the
    /// team is known.
    pub fn is_idle(&mut self, now: BootTime) -> bool {
        let is_unused = now.saturating_duration_since(self.used_at) >= PROGRAM_TIMEOUT;
        if !is_unused {
            return false;
        }
        self.refill(now);
        self.programs.is_empty() && self.requests.level >= self.capacity()
    }

    /// The version of the configuration that the limit is taken from.
    pub fn config_version(&self) -> VersionNumber {
        self.config_version
    }

    /// Tokens that were there at the last call.
    pub fn level(&self) -> f64 {
        self.requests.level
    }
}

/// The mean of the requests of programs, each of them with at most [`TYPICAL_REQUESTS_FACTOR`] times
/// the median; 0 without programs.
fn typical_requests(programs: &[&Program]) -> f64 {
    let mut requests: Vec<u32> = programs.iter().map(|known| known.requests).collect();
    if requests.is_empty() {
        return 0.0;
    }
    let middle = requests.len() / 2;
    let median = *requests.select_nth_unstable(middle).1;
    let most = median.saturating_mul(TYPICAL_REQUESTS_FACTOR);
    let total: f64 = requests
        .iter()
        .map(|count| f64::from(*count.min(&most)))
        .sum();
    total / requests.len() as f64
}

/// The time for a denied request: after those denied before it, and not before its token is there.
fn spread(now: BootTime, wait: Duration, last: BootTime, spacing: Duration) -> BootTime {
    let next = (last + spacing).min(now + MAX_SPREAD);
    next.max(now + wait).min(now + MAX_RETRY)
}
