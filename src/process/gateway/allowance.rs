//! The allowance of a backend server that limits its request rate: how many requests all gateways
//! together may send to it.
//!
//! One gateway owns the allowance of a server and counts for all; see
//! [`rate_limits`](super::rate_limits). It is meant for load beyond what the limited servers take:
//! urgent requests get the allowance first, and what exceeds it is told when to ask again, spread
//! over time. Among requests of one priority, those of programs that have begun go before those of
//! new ones, because a program that is refused halfway has wasted its turns; first among them are
//! those whose prefix the server holds, because every other server has to compute it again.

use std::time::{Duration, Instant};

/// Priorities that an allowance distinguishes; less urgent ones count as the last of them.
const PRIORITIES: usize = 3;
/// Number of request classes that an allowance distinguishes.
pub const REQUEST_CLASSES: usize = 3 * PRIORITIES;

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

/// The rank of a request among those that ask for the same allowance, below [`REQUEST_CLASSES`]; 0
/// goes first.
pub type RequestClass = usize;

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

/// The class of a request. `priority` is that of its route, where 0 is the most urgent one.
pub fn request_class(priority: u32, stage: ProgramStage) -> RequestClass {
    let priority = (priority as usize).min(PRIORITIES - 1);
    3 * priority + stage as usize
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
        let class = class.min(REQUEST_CLASSES - 1);
        let reserved_share = URGENT_SHARE * class as f64 / (REQUEST_CLASSES - 1) as f64;
        let needed = 1.0 + (self.burst() - 1.0) * reserved_share;
        if self.available >= needed {
            self.available -= 1.0;
            return Decision::Granted;
        }
        let refill_time = Duration::from_secs_f64((needed - self.available) / self.rate_per_s);
        let spacing = Duration::from_secs_f64(1.0 / (self.rate_per_s * RETRY_RATE_FACTOR));
        let (shortest, longest) = RETRY_DELAY_RANGE;
        let retry_at = (now + refill_time.max(shortest))
            .max(self.last_retry_at[class] + spacing)
            .min(now + longest);
        self.last_retry_at[class] = retry_at;
        Decision::Exhausted {
            retry_after: retry_at - now,
        }
    }
}
