//! The token account of one program at one gateway, without its rows.
//!
//! The account has a reservation: tokens that durable rows of this gateway count as spent. Turns
//! are admitted from the reservation without a store call, and the reservation is extended before
//! it runs out. A gateway that extends its reservation reads the rows of all gateways after its own
//! row is durable, so of two gateways that extend at the same time at least one sees the row of the
//! other. If the gateway dies, its whole reservation counts as spent.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::Rng;

use super::history::TurnId;

/// Identifies an admitted turn among those of its program, at all gateways and over their restarts.
pub type GrantId = u64;

/// The lowest grant id of accounts whose ids are unique. Gateways of earlier builds count the grants
/// of each account from 1, so two of their accounts have the same ids.
pub const MIN_UNIQUE_GRANT_ID: GrantId = 1 << 63;
/// Grants for which an account has ids.
const GRANT_IDS_PER_ACCOUNT: u64 = 1 << 32;

/// A random id for the first grant of an account. Two accounts of a program are very unlikely to have
/// an id in common, although they know nothing of each other.
pub fn first_grant_id(rng: &mut impl Rng) -> GrantId {
    rng.random_range(MIN_UNIQUE_GRANT_ID..=GrantId::MAX - GRANT_IDS_PER_ACCOUNT)
}

/// Turns whose tokens are reserved beyond the turns in flight. A larger number saves store calls
/// and lets programs continue during outages of the store, but these tokens are lost if the gateway
/// dies or if the outcome of a store call is not known.
const RESERVE_AHEAD_TURNS: u64 = 4;
/// The reservation is extended in the background when it covers fewer turns than this.
const MIN_RESERVED_TURNS: u64 = 2;
/// At most the budget divided by this is reserved beyond the turns in flight.
const RESERVE_AHEAD_BUDGET_DIVISOR: u64 = 4;
/// Interrupted turns that an account remembers; the oldest one is forgotten first. Limits the memory for
/// a program that breaks off one turn after the other.
const MAX_INTERRUPTED_TURNS: usize = 64;
/// Time after the deadline of a turn in which its gateway may still settle it.
const SETTLEMENT_GRACE_PERIOD: Duration = Duration::from_secs(5);

/// A turn in flight.
#[derive(Clone, Debug)]
struct Grant {
    /// The turn, if it may be taken up again.
    turn_id: Option<TurnId>,
    max_tokens: u64,
    /// A turn that is not settled by then counts as having spent `max_tokens`.
    expires_at: Instant,
}

/// What an account decides on the admission of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The turn may run; it is settled under this id.
    Granted(GrantId),
    /// The reservation must be extended by this many tokens before the turn may run.
    NeedsTokens(u64),
    /// The budget is spent; the turn must not run.
    Exceeded {
        /// Tokens counted as spent by all gateways, including those of turns in flight.
        spent_tokens: u64,
    },
}

/// The account of one program at this gateway.
#[derive(Debug)]
pub struct Account {
    budget_tokens: u64,
    /// Tokens in the durable rows of this account; never fewer than its turns may spend.
    reserved_tokens: u64,
    /// Tokens charged to turns that were settled or have expired.
    settled_tokens: u64,
    in_flight: IndexMap<GrantId, Grant>,
    /// Increases with each grant, so no id is used twice. Gateways may report the end of a turn to an
    /// account that has not admitted it: one that was opened after a restart, or after a pause of the
    /// program.
    next_grant_id: GrantId,
    /// Turns that have ended before their last event, with the tokens of their rest.
    interrupted: IndexMap<TurnId, u64>,
    /// Tokens in the rows of other gateways, as of the last extension.
    other_gateways_tokens: u64,
    largest_turn_tokens: u64,
    last_used: Instant,
}

impl Account {
    /// Opens an account without a reservation. `first_grant_id` and those that follow it are used by
    /// no other account of the program; see [`first_grant_id`].
    pub fn new(budget_tokens: u64, first_grant_id: GrantId, now: Instant) -> Self {
        Self {
            budget_tokens,
            reserved_tokens: 0,
            settled_tokens: 0,
            in_flight: IndexMap::new(),
            next_grant_id: first_grant_id,
            interrupted: IndexMap::new(),
            other_gateways_tokens: 0,
            largest_turn_tokens: 0,
            last_used: now,
        }
    }

    /// Tokens of settled turns, and the most that turns in flight may spend.
    fn spent_tokens(&self) -> u64 {
        let in_flight = self.in_flight.values().map(|grant| grant.max_tokens);
        in_flight.fold(self.settled_tokens, u64::saturating_add)
    }

    /// The reservations of all gateways, with `added_tokens` more.
    fn reserved_total(&self, added_tokens: u64) -> u64 {
        let own_tokens = self.reserved_tokens.saturating_add(added_tokens);
        self.other_gateways_tokens.saturating_add(own_tokens)
    }

    /// Admits a turn that must end by `deadline`, if the reservation covers it.
    ///
    /// The last turn is admitted if any token of the budget is left, so it may exceed the budget by
    /// up to its own tokens.
    pub fn admit(&mut self, max_tokens: u64, deadline: Instant, now: Instant) -> Decision {
        self.last_used = now;
        self.largest_turn_tokens = self.largest_turn_tokens.max(max_tokens);
        let spent_tokens = self.spent_tokens();
        let total_tokens = self.other_gateways_tokens.saturating_add(spent_tokens);
        if total_tokens >= self.budget_tokens {
            return Decision::Exceeded {
                spent_tokens: total_tokens,
            };
        }
        let needed_tokens = spent_tokens.saturating_add(max_tokens);
        if needed_tokens > self.reserved_tokens {
            return Decision::NeedsTokens(
                (needed_tokens - self.reserved_tokens).saturating_add(self.reserve_ahead_tokens()),
            );
        }
        Decision::Granted(self.grant(None, max_tokens, deadline))
    }

    /// Admits the rest of a turn that was interrupted, if this account knows of it and the reservation
    /// covers it. `rest_tokens` are those of the events that the caller does not have; more than the
    /// turn has left if events were lost on their way, or if a caller takes up what it has.
    ///
    /// The turn was admitted before, so the budget may be spent. All turns together exceed it by less
    /// than one turn, with the rest as without it.
    pub fn admit_rest(
        &mut self,
        turn_id: &str,
        rest_tokens: u64,
        deadline: Instant,
        now: Instant,
    ) -> Decision {
        let spent_tokens = self.spent_tokens();
        let exceeded = Decision::Exceeded {
            spent_tokens: self.other_gateways_tokens.saturating_add(spent_tokens),
        };
        if !self.interrupted.contains_key(turn_id) {
            return exceeded;
        }
        let rest_tokens = rest_tokens.max(self.left_tokens(turn_id));
        let needed_tokens = spent_tokens.saturating_add(rest_tokens);
        if needed_tokens > self.reserved_tokens {
            return match self.may_run_rest(rest_tokens) {
                true => Decision::NeedsTokens(needed_tokens - self.reserved_tokens),
                false => exceeded,
            };
        }
        self.interrupted.shift_remove(turn_id);
        self.last_used = now;
        Decision::Granted(self.grant(Some(turn_id.to_string()), rest_tokens, deadline))
    }

    /// The tokens that an interrupted turn has left, 0 if this account knows of none.
    pub fn left_tokens(&self, turn_id: &str) -> u64 {
        self.interrupted.get(turn_id).copied().unwrap_or(0)
    }

    /// Whether the rest of a turn leaves the budget exceeded by less than one turn.
    fn may_run_rest(&self, rest_tokens: u64) -> bool {
        let spent_tokens = self.spent_tokens().saturating_add(rest_tokens);
        let total_tokens = self.other_gateways_tokens.saturating_add(spent_tokens);
        total_tokens < self.budget_tokens.saturating_add(self.largest_turn_tokens)
    }

    fn grant(&mut self, turn_id: Option<TurnId>, max_tokens: u64, deadline: Instant) -> GrantId {
        let grant_id = self.next_grant_id;
        self.next_grant_id += 1;
        let grant = Grant {
            turn_id,
            max_tokens,
            expires_at: deadline + SETTLEMENT_GRACE_PERIOD,
        };
        self.in_flight.insert(grant_id, grant);
        grant_id
    }

    /// Names a turn in flight, so that its rest is admitted if it is interrupted.
    pub fn name_turn(&mut self, grant_id: GrantId, turn_id: &str) {
        if let Some(grant) = self.in_flight.get_mut(&grant_id) {
            grant.turn_id = Some(turn_id.to_string());
        }
    }

    /// Whether a turn is in flight.
    pub fn is_in_flight(&self, turn_id: &str) -> bool {
        let mut named = self
            .in_flight
            .values()
            .filter_map(|grant| grant.turn_id.as_ref());
        named.any(|named| named == turn_id)
    }

    fn reserve_ahead_tokens(&self) -> u64 {
        let ahead_tokens = self.largest_turn_tokens.saturating_mul(RESERVE_AHEAD_TURNS);
        ahead_tokens.min(self.budget_tokens / RESERVE_AHEAD_BUDGET_DIVISOR)
    }

    /// Tokens to reserve in the background so that the next turn need not wait; `None` if enough
    /// are left, or if the budget does not cover more.
    pub fn tokens_to_reserve_ahead(&self) -> Option<u64> {
        let unspent_tokens = self.reserved_tokens.saturating_sub(self.spent_tokens());
        let ahead_tokens = self.reserve_ahead_tokens();
        let is_covered = self.reserved_total(ahead_tokens) <= self.budget_tokens;
        let is_low = unspent_tokens < self.largest_turn_tokens.saturating_mul(MIN_RESERVED_TURNS);
        (is_low && is_covered).then_some(ahead_tokens)
    }

    /// Adds a durable row of `added_tokens` to the reservation, and records the tokens in the rows
    /// of other gateways, which must have been read after the row became durable. Returns the
    /// tokens of the row that must be returned because the budget does not cover them.
    pub fn extend(
        &mut self,
        added_tokens: u64,
        other_gateways_tokens: u64,
        max_tokens: u64,
    ) -> u64 {
        let total_tokens = other_gateways_tokens.saturating_add(self.spent_tokens());
        let may_run = total_tokens < self.budget_tokens;
        self.add_row(
            added_tokens,
            other_gateways_tokens,
            if may_run { max_tokens } else { 0 },
        )
    }

    /// Like [`Account::extend`], for the rest of an interrupted turn.
    pub fn extend_for_rest(
        &mut self,
        added_tokens: u64,
        other_gateways_tokens: u64,
        rest_tokens: u64,
    ) -> u64 {
        self.other_gateways_tokens = other_gateways_tokens;
        let may_run = self.may_run_rest(rest_tokens);
        self.add_row(
            added_tokens,
            other_gateways_tokens,
            if may_run { rest_tokens } else { 0 },
        )
    }

    /// Adds a row to the reservation, and returns the tokens of the row that must be returned. Beyond the
    /// budget, only `admitted_tokens` more than those that are spent are covered.
    fn add_row(
        &mut self,
        added_tokens: u64,
        other_gateways_tokens: u64,
        admitted_tokens: u64,
    ) -> u64 {
        self.other_gateways_tokens = other_gateways_tokens;
        let reserved_total = self.reserved_tokens.saturating_add(added_tokens);
        let total_tokens = other_gateways_tokens.saturating_add(reserved_total);
        if total_tokens <= self.budget_tokens {
            self.reserved_tokens = reserved_total;
            return 0;
        }
        let needed_tokens = self.spent_tokens().saturating_add(admitted_tokens);
        let retained_tokens = needed_tokens.clamp(self.reserved_tokens, reserved_total);
        self.reserved_tokens = retained_tokens;
        reserved_total - retained_tokens
    }

    /// Settles a turn with the tokens it has spent. Returns false if this account has not admitted the
    /// turn, or if the turn has expired: its `max_tokens` stay charged.
    pub fn settle(&mut self, grant_id: GrantId, spent_tokens: u64, now: Instant) -> bool {
        let Some(grant) = self.in_flight.shift_remove(&grant_id) else {
            return false;
        };
        let spent_tokens = spent_tokens.min(grant.max_tokens);
        self.settled_tokens = self.settled_tokens.saturating_add(spent_tokens);
        self.last_used = now;
        if let Some(turn_id) = grant.turn_id {
            if self.interrupted.len() >= MAX_INTERRUPTED_TURNS {
                self.interrupted.shift_remove_index(0);
            }
            let rest_tokens = grant.max_tokens - spent_tokens;
            self.interrupted.insert(turn_id, rest_tokens);
        }
        true
    }

    /// Forgets the rest of a turn that has completed.
    pub fn complete(&mut self, grant_id: GrantId) {
        if let Some(grant) = self.in_flight.get_mut(&grant_id) {
            grant.turn_id = None;
        }
    }

    /// Charges `max_tokens` to each turn that was not settled within the grace period.
    pub fn expire(&mut self, now: Instant) {
        let mut expired_tokens = 0;
        self.in_flight.retain(|_, grant| {
            let is_expired = grant.expires_at <= now;
            if is_expired {
                expired_tokens = grant.max_tokens.saturating_add(expired_tokens);
            }
            !is_expired
        });
        self.settled_tokens = self.settled_tokens.saturating_add(expired_tokens);
    }

    /// The unused tokens of the reservation; `None` if a turn is in flight, or if the account was
    /// used within `idle_timeout`.
    pub fn tokens_to_return(&self, idle_timeout: Duration, now: Instant) -> Option<u64> {
        let is_idle = now.saturating_duration_since(self.last_used) >= idle_timeout;
        let can_close = is_idle && self.in_flight.is_empty();
        can_close.then(|| self.reserved_tokens.saturating_sub(self.settled_tokens))
    }
}
