//! The time since the VM was started, which includes the time for which it was suspended.
//!
//! `Instant` stops while a VM is suspended. Promises that other VMs rely on are therefore timed by
//! this clock; sleeps and timeouts are not.

use std::ops::Add;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A time of `CLOCK_BOOTTIME`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// The time if the clock could not be read. It is later than all others, so that whatever was
    /// recorded earlier counts as old.
    pub const UNKNOWN: Self = Self(Duration::MAX);

    /// Reads the clock of the operating system.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        time.map_or(Self::UNKNOWN, |time| Self(Duration::from(time)))
    }

    /// The time `since_boot` after the start of the VM.
    pub fn from_boot(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Time since `earlier`; zero if that is later than this time.
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The time `duration` earlier, but not before the start of the VM.
    pub fn saturating_sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }

    /// The time `duration` earlier; `None` if the VM was not running then, or if this time is
    /// [`BootTime::UNKNOWN`].
    pub fn checked_sub(self, duration: Duration) -> Option<Self> {
        let is_known = self != Self::UNKNOWN;
        is_known.then(|| self.0.checked_sub(duration))?.map(Self)
    }
}

impl Add<Duration> for BootTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}

/// A source of [`BootTime`].
pub trait Clock {
    /// The current time.
    fn now(&self) -> BootTime;
}

/// The clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> BootTime {
        BootTime::now()
    }
}
