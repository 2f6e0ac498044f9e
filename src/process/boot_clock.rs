//! The clock that goes on while the process is frozen or its VM is suspended.

use std::ops::Add;
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// A time on `CLOCK_BOOTTIME`. Unlike `std::time::Instant`, it counts the time in which the VM was
/// suspended, so a validity that is measured on it does not outlast a suspension.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime {
    /// Nanoseconds since the boot of the VM.
    since_boot_ns: u64,
}

impl BootTime {
    /// Reads the clock.
    ///
    /// # Panics
    ///
    /// Panics if the kernel has no such clock, which Linux has had since 2.6.39.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Self::from_boot(Duration::from(time.expect("the kernel has CLOCK_BOOTTIME")))
    }

    /// The time `since_boot` after the boot of the VM.
    pub fn from_boot(since_boot: Duration) -> Self {
        Self {
            since_boot_ns: u64::try_from(since_boot.as_nanos()).unwrap_or(u64::MAX),
        }
    }

    /// The time from `earlier` to this time; zero if `earlier` is later.
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.since_boot_ns.saturating_sub(earlier.since_boot_ns))
    }

    /// The time `duration` before this one, but not before the boot.
    pub fn saturating_sub(self, duration: Duration) -> Self {
        let duration = Self::from_boot(duration);
        Self {
            since_boot_ns: self.since_boot_ns.saturating_sub(duration.since_boot_ns),
        }
    }
}

impl Add<Duration> for BootTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let duration = Self::from_boot(duration);
        Self {
            since_boot_ns: self.since_boot_ns.saturating_add(duration.since_boot_ns),
        }
    }
}
