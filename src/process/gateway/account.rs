//! The token account of one program at the gateway that looks after it.
//!
//! The account holds a reservation: tokens that rows of this gateway in the store count as spent.
//! Turns are admitted from the reservation without a call to the store, and the reservation is
//! extended ahead of need. Whoever extends a reservation reads the rows of all gateways after its own
//! row is durable, so of two gateways that extend at the same time at least one sees the other. If the
//! gateway dies, its whole reservation counts as spent.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Numbers the turns that an account has admitted.
pub type GrantId = u64;

/// Turns whose tokens are reserved beyond the turns in progress. More of them save calls and carry
/// programs through outages of the store; they are lost with the gateway, or with a call whose
/// outcome is not known.
const AHEAD_TURNS: u64 = 4;
/// Turns that the reservation covers at least; with fewer, it is extended in the background.
const LEAST_AHEAD_TURNS: u64 = 2;
/// Largest part of a budget that is reserved ahead, as a divisor.
const AHEAD_DIVISOR: u64 = 4;
/// Time after the deadline of a turn in which its gateway may still report what it has spent.
const REPORT_TIME: Duration = Duration::from_secs(5);

/// A turn in progress.
#[derive(Clone, Copy, Debug)]
struct Grant {
    max_tokens: u64,
    /// Without a report until then, the turn counts as having spent all it could.
    expires: Instant,
}

/// What an account says to a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The turn may run.
    Granted(GrantId),
    /// The turn may run when this many more tokens are reserved.
    NeedsTokens(u64),
    /// The budget is spent.
    Exceeded {
        /// Tokens that count as spent.
        spent_tokens: u64,
    },
}

/// The account of one program.
#[derive(Debug)]
pub struct Account {
    budget_tokens: u64,
    /// Tokens in the durable rows of this account; never less than what its turns may spend.
    reserved_tokens: u64,
    /// Tokens of turns that have ended.
    settled_tokens: u64,
    in_flight: IndexMap<GrantId, Grant>,
    next_grant: GrantId,
    /// Tokens in the rows of others, as of the last extension.
    others_tokens: u64,
    /// The largest turn so far.
    largest_turn_tokens: u64,
    last_used: Instant,
}

impl Account {
    /// Opens the account of a program.
    pub fn new(budget_tokens: u64, now: Instant) -> Self {
        Self {
            budget_tokens,
            reserved_tokens: 0,
            settled_tokens: 0,
            in_flight: IndexMap::new(),
            next_grant: 1,
            others_tokens: 0,
            largest_turn_tokens: 0,
            last_used: now,
        }
    }

    fn spent_tokens(&self) -> u64 {
        let in_flight = self.in_flight.values().map(|grant| grant.max_tokens);
        self.settled_tokens + in_flight.sum::<u64>()
    }

    /// Admits a turn that must end by `deadline`, if the reservation covers it.
    ///
    /// The last turn may exceed the budget by its own tokens.
    pub fn admit(&mut self, max_tokens: u64, deadline: Instant, now: Instant) -> Verdict {
        self.last_used = now;
        self.largest_turn_tokens = self.largest_turn_tokens.max(max_tokens);
        let spent_tokens = self.spent_tokens();
        let total_tokens = self.others_tokens + spent_tokens;
        if total_tokens >= self.budget_tokens {
            return Verdict::Exceeded {
                spent_tokens: total_tokens,
            };
        }
        let needed = spent_tokens + max_tokens;
        if needed > self.reserved_tokens {
            return Verdict::NeedsTokens(needed - self.reserved_tokens + self.tokens_ahead());
        }
        let grant_id = self.next_grant;
        self.next_grant += 1;
        let expires = deadline + REPORT_TIME;
        self.in_flight.insert(
            grant_id,
            Grant {
                max_tokens,
                expires,
            },
        );
        Verdict::Granted(grant_id)
    }

    fn tokens_ahead(&self) -> u64 {
        let turns_tokens = AHEAD_TURNS * self.largest_turn_tokens;
        turns_tokens.min(self.budget_tokens / AHEAD_DIVISOR)
    }

    /// Tokens to reserve now so that the next turn need not wait; `None` if enough are left, or if
    /// the budget does not cover more.
    pub fn tokens_to_reserve_ahead(&self) -> Option<u64> {
        let left = self.reserved_tokens.saturating_sub(self.spent_tokens());
        let ahead = self.tokens_ahead();
        let is_covered = self.others_tokens + self.reserved_tokens + ahead <= self.budget_tokens;
        let is_low = left < LEAST_AHEAD_TURNS * self.largest_turn_tokens;
        (is_low && is_covered).then_some(ahead)
    }

    /// Takes over a durable row of `added` tokens, and the rows of others as read after that.
    /// Returns the tokens of the row that go back because the budget does not cover them.
    pub fn extend(&mut self, added: u64, others_tokens: u64, max_tokens: u64) -> u64 {
        self.others_tokens = others_tokens;
        let spent_tokens = self.spent_tokens();
        let reserved = self.reserved_tokens + added;
        let total = others_tokens + reserved;
        if total <= self.budget_tokens {
            self.reserved_tokens = reserved;
            return 0;
        }
        // Beyond the budget, only the turn at hand is covered, if it may run at all.
        let may_run = others_tokens + spent_tokens < self.budget_tokens;
        let needed = spent_tokens + if may_run { max_tokens } else { 0 };
        let kept = needed.clamp(self.reserved_tokens, reserved);
        self.reserved_tokens = kept;
        reserved - kept
    }

    /// Settles a turn with what it has spent. A turn that has expired stays as it was counted.
    pub fn settle(&mut self, grant_id: GrantId, spent_tokens: u64, now: Instant) {
        if let Some(grant) = self.in_flight.shift_remove(&grant_id) {
            self.settled_tokens += spent_tokens.min(grant.max_tokens);
            self.last_used = now;
        }
    }

    /// Counts turns whose gateway did not report as having spent all they could.
    pub fn expire(&mut self, now: Instant) {
        let mut expired_tokens = 0;
        self.in_flight.retain(|_, grant| {
            let is_expired = grant.expires <= now;
            if is_expired {
                expired_tokens += grant.max_tokens;
            }
            !is_expired
        });
        self.settled_tokens += expired_tokens;
    }

    /// The reserved tokens that are not needed any more if no turn is in progress and none came for
    /// `idle_time`.
    pub fn tokens_to_return(&self, idle_time: Duration, now: Instant) -> Option<u64> {
        let is_idle = now.saturating_duration_since(self.last_used) >= idle_time;
        let can_close = is_idle && self.in_flight.is_empty();
        can_close.then(|| self.reserved_tokens.saturating_sub(self.settled_tokens))
    }
}
