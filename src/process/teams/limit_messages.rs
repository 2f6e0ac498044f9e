//! The calls by which a gateway asks the owner of a shard of teams for their limits.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The digest of a program id that is qualified by its team; 0 if a request belongs to no program.
pub type ProgramDigest = u64;
/// Number of a shard of teams, below [`SHARDS`].
pub type ShardId = u8;
/// Identifies the time in which one gateway owned a shard without another owner in between; 0 for
/// none.
pub type Issuer = u64;

/// Shards of teams. Each active one costs its owner a read and a write of the store every two
/// seconds, so their number bounds these calls on sites of any size.
pub const SHARDS: ShardId = 16;

/// What a gateway asks of one team's limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamAsk {
    /// The name of the team.
    pub team: String,
    /// The version of the configuration that the limit is taken from.
    pub config_version: u64,
    /// The rate of the limit; finite, greater than 0.
    pub rate_per_s: f64,
    /// The burst of the limit; finite, not negative.
    pub burst: f64,
    /// The programs of the requests that wait for a token and begin no program.
    pub waiting: Vec<ProgramDigest>,
    /// The programs of the requests that wait and may begin their program.
    pub waiting_first: Vec<ProgramDigest>,
    /// Requests of the team at this gateway in the last 500 ms that begin no program.
    pub recent: u32,
    /// The other requests in that time.
    pub recent_first: u32,
    /// Tokens of earlier grants that come back unused.
    pub unused: u32,
    /// Tokens of earlier grants for first turns that come back unused.
    pub unused_first: u32,
    /// Tokens of requests that this gateway refused later for another reason, so that they did not
    /// run.
    pub refused: u32,
    /// Programs whose requests used tokens of earlier grants, and how many requests.
    pub programs: Vec<(ProgramDigest, u32)>,
}

/// A call to the owner of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitRequest {
    /// The shard of all teams of the call.
    pub shard: ShardId,
    /// Who granted the unused tokens.
    pub issuer: Issuer,
    /// The teams, each once.
    pub teams: Vec<TeamAsk>,
}

/// The decision on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The request has been counted and may run after this time.
    Granted {
        /// At most `limit_bucket::MAX_WAIT`.
        delay_ms: u32,
    },
    /// The limit is used up.
    Denied {
        /// Time after which the limit covers the request.
        retry_after_ms: u32,
    },
}

impl Verdict {
    /// The verdict that lets a request run after `delay`.
    pub fn granted(delay: Duration) -> Self {
        Verdict::Granted {
            delay_ms: ceil_ms(delay),
        }
    }

    /// The verdict that refuses a request for `retry_after`.
    pub fn denied(retry_after: Duration) -> Self {
        Verdict::Denied {
            retry_after_ms: ceil_ms(retry_after),
        }
    }
}

/// Rounds up, so that nobody comes before the token is there.
fn ceil_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}

/// The answer on one team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamAnswer {
    /// One verdict for each of [`TeamAsk::waiting`].
    pub waiting: Vec<Verdict>,
    /// One verdict for each of [`TeamAsk::waiting_first`].
    pub waiting_first: Vec<Verdict>,
    /// Further tokens, for requests that begin no program.
    pub extra: u32,
    /// Further tokens for first turns of programs.
    pub extra_first: u32,
}

/// The answer to a [`LimitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LimitResponse {
    /// The owner has decided.
    Decided {
        /// Identifies the owner for tokens that come back.
        issuer: Issuer,
        /// One answer for each team of the call.
        teams: Vec<TeamAnswer>,
    },
    /// The asked gateway does not own the shard.
    NotOwner {
        /// The peer address of the owner; `None` if the asked gateway knows none.
        owner: Option<SocketAddr>,
    },
}
