//! The allowance of a backend server that limits its request rate: how many requests all gateways
//! together may send to it.
//!
//! One gateway owns the allowance of a server and counts for all; see
//! [`rate_limits`](super::rate_limits). It is meant for load beyond what the limited servers take:
//! requests of urgent teams, then of urgent routes, get the allowance first. Callers whose requests
//! exceed it are told when to ask again, spread over time. Among requests of one priority, those of
//! programs that have begun go before those of new ones, because a program that is refused halfway
//! has wasted its turns; first among them are those whose prefix the server holds, because every
//! other server has to compute it again.

use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::version::teams::{MAX_PRIORITY_RANKS, PriorityRank};

/// Priorities of routes that an allowance distinguishes; less urgent ones count as the last of them.
const PRIORITIES: usize = 3;
/// Number of request classes that an allowance distinguishes among teams of one priority. Gateways of
/// earlier builds know only these.
pub const CLASSES_PER_RANK: usize = 3 * PRIORITIES;
/// Number of request classes that an allowance distinguishes.
pub const REQUEST_CLASSES: usize = CLASSES_PER_RANK * MAX_PRIORITY_RANKS;

/// Part of a limit that may be saved up while it is not used. The platform tolerates half of the
/// limit in excess over four seconds; the rest of that is left for a change of the owner.
const BURST_PERIOD: Duration = Duration::from_millis(500);
/// Share of the burst that is kept from the last class. The share kept from the classes between
/// grows evenly.
const URGENT_SHARE: f64 = 0.8;
/// Lowest rate that is used, so that a server with a limit near zero is still asked now and then:
/// only its answers show that the limit has ended.
const MIN_RATE_PER_S: f64 = 0.25;
/// Gateways that were denied a request are told to ask again at this multiple of the limit. Not all
/// of them have a request by then, and the allowance is to be used.
const RETRY_RATE_FACTOR: f64 = 3.0;
/// Shortest and longest delay after which a gateway may ask again. The longest one bounds how long
/// a gateway does without a server whose limit has ended.
const RETRY_DELAY_RANGE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(4));

/// The rank of a request among those that ask for the same allowance.
///
/// The priority of the team goes before that of the route. Only the priorities that teams have are
/// told apart, so that teams of one priority have the same classes as a deployment without teams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "(u8, u8)", into = "(u8, u8)")]
pub struct RequestClass {
    /// 0 goes first; less than `count`.
    index: usize,
    /// The number of classes that the teams have; a multiple of [`CLASSES_PER_RANK`], at most
    /// [`REQUEST_CLASSES`].
    count: usize,
}

/// The numbers do not make a [`RequestClass`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRequestClass;

impl fmt::Display for InvalidRequestClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("invalid request class")
    }
}

impl std::error::Error for InvalidRequestClass {}

impl TryFrom<(u8, u8)> for RequestClass {
    type Error = InvalidRequestClass;

    fn try_from((index, count): (u8, u8)) -> std::result::Result<Self, InvalidRequestClass> {
        let (index, count) = (usize::from(index), usize::from(count));
        let is_valid =
            index < count && count.is_multiple_of(CLASSES_PER_RANK) && count <= REQUEST_CLASSES;
        is_valid
            .then_some(Self { index, count })
            .ok_or(InvalidRequestClass)
    }
}

impl From<RequestClass> for (u8, u8) {
    fn from(class: RequestClass) -> Self {
        (class.index as u8, class.count as u8)
    }
}

impl From<usize> for RequestClass {
    /// A class without teams, or of a gateway of an earlier build; larger numbers count as the last
    /// class.
    fn from(index: usize) -> Self {
        Self {
            index: index.min(CLASSES_PER_RANK - 1),
            count: CLASSES_PER_RANK,
        }
    }
}

impl RequestClass {
    /// The class of such a request of a team with this rank.
    pub fn of_team(self, team: PriorityRank) -> Self {
        Self {
            index: team.rank * CLASSES_PER_RANK + self.index,
            count: team.count * CLASSES_PER_RANK,
        }
    }

    /// Below [`REQUEST_CLASSES`]; 0 goes first.
    pub fn index(self) -> usize {
        self.index
    }

    /// Whether gateways of earlier builds know the class.
    pub fn is_without_teams(self) -> bool {
        self.count == CLASSES_PER_RANK
    }

    /// The nearest of the classes that gateways of earlier builds know.
    pub fn nearest_without_teams(self) -> usize {
        self.index * (CLASSES_PER_RANK - 1) / (self.count - 1)
    }

    /// The share of the burst that is kept from the class.
    fn reserved_share(self) -> f64 {
        URGENT_SHARE * self.index as f64 / (self.count - 1) as f64
    }
}

/// What a server means to the program of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProgramStage {
    /// The server holds the prefix of the program's next turn.
    ContinuesHere,
    /// Another server holds it.
    ContinuesElsewhere,
    /// The program has completed no turn yet, or the request belongs to no program.
    Begins,
}

/// The class of a request, apart from its team. `priority` is that of its route, where 0 is the most
/// urgent one.
pub fn request_class(priority: u32, stage: ProgramStage) -> RequestClass {
    let priority = (priority as usize).min(PRIORITIES - 1);
    RequestClass::from(3 * priority + stage as usize)
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be sent; it has been counted.
    Granted,
    /// The allowance is used up for requests of this class and of all that come after it.
    Exhausted {
        /// Time after which it is worth asking again.
        retry_after: Duration,
    },
}

/// The allowance of one server: a token bucket with a reserve for urgent requests.
#[derive(Clone, Debug)]
pub struct Allowance {
    rate_per_s: f64,
    /// Requests that may be sent now; at most [`Allowance::burst`].
    available: f64,
    refilled_at: Instant,
    /// The last time that was named to a denied gateway, for each request class.
    last_retry_at: [Instant; REQUEST_CLASSES],
}

impl Allowance {
    /// Makes an empty allowance: what an earlier owner has granted is not known.
    pub fn new(limit_per_s: f64, now: Instant) -> Self {
        Self {
            rate_per_s: limit_per_s.max(MIN_RATE_PER_S),
            available: 0.0,
            refilled_at: now,
            last_retry_at: [now; REQUEST_CLASSES],
        }
    }

    /// The most requests that may be sent at once.
    fn burst(&self) -> f64 {
        1.0 + self.rate_per_s * BURST_PERIOD.as_secs_f64()
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.available + self.rate_per_s * elapsed.as_secs_f64();
        self.available = refilled.min(self.burst());
        self.refilled_at = now;
    }

    /// Changes the limit; what has been saved up stays within the new one.
    pub fn set_limit(&mut self, limit_per_s: f64, now: Instant) {
        self.refill(now);
        self.rate_per_s = limit_per_s.max(MIN_RATE_PER_S);
        self.available = self.available.min(self.burst());
    }

    /// Decides on one request, and counts it if it is granted.
    pub fn take(&mut self, class: RequestClass, now: Instant) -> Decision {
        self.refill(now);
        let needed = 1.0 + (self.burst() - 1.0) * class.reserved_share();
        if self.available >= needed {
            self.available -= 1.0;
            return Decision::Granted;
        }
        let refill_time = Duration::from_secs_f64((needed - self.available) / self.rate_per_s);
        let spacing = Duration::from_secs_f64(1.0 / (self.rate_per_s * RETRY_RATE_FACTOR));
        let (shortest, longest) = RETRY_DELAY_RANGE;
        let retry_at = (now + refill_time.max(shortest))
            .max(self.last_retry_at[class.index()] + spacing)
            .min(now + longest);
        self.last_retry_at[class.index()] = retry_at;
        Decision::Exhausted {
            retry_after: retry_at - now,
        }
    }
}
