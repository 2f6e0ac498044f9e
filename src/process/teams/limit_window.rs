//! Counts the tokens that an owner has granted in the last window of a limit.

use std::time::Duration;

use crate::process::boot_clock::BootTime;

/// Parts of a window that are counted apart.
const PARTS: u32 = 50;

/// The tokens granted in the last window, in parts of it. A part counts until its last moment has
/// left the window, so the count is never too low.
#[derive(Clone, Debug)]
pub struct GrantWindow {
    part: Duration,
    /// The parts of the window and the current one, which `position` is the index of.
    counts: [u32; PARTS as usize + 1],
    position: usize,
    position_since: BootTime,
    total: u32,
}

impl GrantWindow {
    /// Has counted nothing yet. `window` is greater than zero.
    pub fn new(window: Duration, now: BootTime) -> Self {
        Self {
            part: (window / PARTS).max(Duration::from_millis(1)),
            counts: [0; PARTS as usize + 1],
            position: 0,
            position_since: now,
            total: 0,
        }
    }

    fn advance(&mut self, now: BootTime) {
        let mut steps = 0;
        while now.saturating_duration_since(self.position_since) >= self.part {
            self.position = (self.position + 1) % self.counts.len();
            self.total -= std::mem::take(&mut self.counts[self.position]);
            self.position_since = self.position_since + self.part;
            steps += 1;
            if steps > self.counts.len() {
                // All parts are empty.
                self.position_since = now;
            }
        }
    }

    /// Counts tokens that are granted now.
    pub fn add(&mut self, tokens: u32, now: BootTime) {
        self.advance(now);
        // A limit without bounds may grant more tokens than can be counted.
        let tokens = tokens.min(u32::MAX - self.total);
        self.counts[self.position] += tokens;
        self.total += tokens;
    }

    /// Takes back tokens that were granted lately and not used.
    pub fn remove(&mut self, mut tokens: u32, now: BootTime) {
        self.advance(now);
        for back in 0..self.counts.len() {
            let index = (self.position + self.counts.len() - back) % self.counts.len();
            let removed = tokens.min(self.counts[index]);
            self.counts[index] -= removed;
            self.total -= removed;
            tokens -= removed;
        }
    }

    /// Takes back tokens that were granted up to `age` ago and not used, the earliest ones first: it is
    /// not known when they were granted, and the count must not be too low when those leave the window.
    pub fn remove_earliest(&mut self, mut tokens: u32, age: Duration, now: BootTime) {
        self.advance(now);
        let parts = age.as_nanos().div_ceil(self.part.as_nanos());
        let parts = parts.min(u128::from(PARTS)) as usize;
        for back in (0..=parts).rev() {
            let index = (self.position + self.counts.len() - back) % self.counts.len();
            let removed = tokens.min(self.counts[index]);
            self.counts[index] -= removed;
            self.total -= removed;
            tokens -= removed;
        }
    }

    /// The tokens granted in the last window.
    pub fn total(&mut self, now: BootTime) -> u32 {
        self.advance(now);
        self.total
    }

    /// Time until so many of the counted tokens have left the window, or all of them if they are fewer;
    /// zero if none are counted.
    pub fn time_to_room(&self, tokens: f64, now: BootTime) -> Duration {
        let mut left = 0;
        let mut parts_left = 0;
        // The oldest part is the one after the current one, which leaves the window last.
        for ahead in 1..=PARTS + 1 {
            let count = self.counts[(self.position + ahead as usize) % self.counts.len()];
            if count > 0 {
                left += count;
                parts_left = ahead;
            }
            if f64::from(left) >= tokens {
                break;
            }
        }
        let elapsed = now.saturating_duration_since(self.position_since);
        (self.part * parts_left).saturating_sub(elapsed)
    }
}
