//! The refusals of requests of teams, with their log lines and counters, which are bounded in number.

use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::time::{Duration, Instant};

use rand::Rng;
use sapphireford_platform::operator::TeamLimit;

use crate::error::{Error, ErrorKind};
use crate::ids::TeamId;
use crate::process::metrics;

/// Teams that have a counter of their own.
const NAMED_TEAMS: usize = 10;
/// Shortest time between two log lines on refusals.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Range of the retry delay without an owner. The next one is found within this time.
const NO_OWNER_DELAY_MS: Range<u64> = 200..500;

/// Reports refusals.
#[derive(Default)]
pub struct LimitReport {
    /// The teams with the highest rates among those that were refused.
    largest: RefCell<Vec<(TeamId, f64)>>,
    refusal_logged_at: Cell<Option<Instant>>,
    /// Refusals since the last log line.
    unlogged: Cell<u64>,
}

impl LimitReport {
    /// Counts a refusal with its reason, its retry delay and the tokens that are there, if they are
    /// known.
    pub fn record_refusal(
        &self,
        team: &TeamId,
        limit: TeamLimit,
        (reason, retry_after, tokens): (&'static str, Option<Duration>, Option<f64>),
    ) {
        let label = self.label(team, limit.rate_per_s);
        ::metrics::counter!(metrics::TEAM_LIMIT_REFUSALS, "reason" => reason, "team" => label)
            .increment(1);
        self.unlogged.set(self.unlogged.get() + 1);
        if !is_due(&self.refusal_logged_at) {
            return;
        }
        let retry_after_ms = retry_after.map_or(0, |delay| delay.as_millis() as u64);
        let refusals = self.unlogged.take();
        log::info!(team = &**team, reason = reason, rate_per_s = limit.rate_per_s, burst = limit.burst, tokens:? = tokens, retry_after_ms = retry_after_ms, refusals_since_last_line = refusals; "request refused by the limit of its team");
    }

    /// The name of the team if it is one of the largest, else `other`.
    fn label(&self, team: &TeamId, rate_per_s: f64) -> String {
        let mut largest = self.largest.borrow_mut();
        if let Some(known) = largest.iter_mut().find(|(name, _)| name == team) {
            known.1 = rate_per_s;
            return team.to_string();
        }
        if largest.len() >= NAMED_TEAMS {
            let smallest =
                (0..largest.len()).min_by(|a, b| largest[*a].1.total_cmp(&largest[*b].1));
            match smallest {
                Some(index) if largest[index].1 < rate_per_s => {
                    largest.swap_remove(index);
                }
                _ => return "other".to_string(),
            }
        }
        largest.push((team.clone(), rate_per_s));
        team.to_string()
    }
}

/// Whether enough time has passed since the last line; it is then taken to be written now.
fn is_due(logged_at: &Cell<Option<Instant>>) -> bool {
    let now = Instant::now();
    let is_due = logged_at
        .get()
        .is_none_or(|logged| now.saturating_duration_since(logged) >= LOG_INTERVAL);
    if is_due {
        logged_at.set(Some(now));
    }
    is_due
}

/// The refusal of a request whose team has used up its limit.
pub fn limit_reached(limit: TeamLimit, retry_after: Duration) -> Error {
    let message = format!(
        "the limit of the team, {} requests a second with a burst of {}, is used up; retry later",
        limit.rate_per_s, limit.burst
    );
    Error::new(ErrorKind::TeamLimitReached, message).with_retry_after(retry_after)
}

/// The refusal of a request for which nobody says whether the limit is used up.
pub fn no_owner() -> Error {
    let message = "the gateway that counts the requests of the team does not answer; retry later";
    Error::new(ErrorKind::NotReady, message).with_retry_after(random_ms(NO_OWNER_DELAY_MS))
}

/// A random time from a range in milliseconds.
pub fn random_ms(range: Range<u64>) -> Duration {
    Duration::from_millis(rand::rng().random_range(range))
}
