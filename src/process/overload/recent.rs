//! Values of recent programs, in bounded memory.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

/// Time for which a program counts as begun after its last turn. It exceeds the pauses for tool
/// calls.
pub const BEGUN_PERIOD: Duration = Duration::from_secs(60);

/// Values by the hash of a program id. A value is kept for at least the period after it was last
/// set, unless there are more values than the limit, and for at most twice the period.
///
/// Two generations take the place of an order of use: the older one is dropped as a whole.
#[derive(Debug)]
pub struct Recent<V> {
    period: Duration,
    limit: usize,
    newer: IndexMap<u64, V>,
    older: IndexMap<u64, V>,
    rotated_at: Instant,
}

impl<V: Copy> Recent<V> {
    /// Makes an empty map that holds up to twice `limit` values.
    pub fn new(period: Duration, limit: usize, now: Instant) -> Self {
        Self {
            period,
            limit,
            newer: IndexMap::new(),
            older: IndexMap::new(),
            rotated_at: now,
        }
    }

    /// The value of a program.
    pub fn get(&self, program: u64) -> Option<V> {
        let value = self.newer.get(&program).or(self.older.get(&program));
        value.copied()
    }

    /// Sets the value of a program. Returns the values that were dropped.
    pub fn set(&mut self, program: u64, value: V, now: Instant) -> IndexMap<u64, V> {
        let dropped = self.rotate(now);
        self.older.swap_remove(&program);
        self.newer.insert(program, value);
        dropped
    }

    /// Removes the value of a program.
    pub fn remove(&mut self, program: u64) -> Option<V> {
        let older = self.older.swap_remove(&program);
        self.newer.swap_remove(&program).or(older)
    }

    /// The number of values.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Whether there is no value.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn rotate(&mut self, now: Instant) -> IndexMap<u64, V> {
        let is_old = now.saturating_duration_since(self.rotated_at) >= self.period;
        if !is_old && self.newer.len() < self.limit {
            return IndexMap::new();
        }
        self.rotated_at = now;
        let newer = std::mem::take(&mut self.newer);
        std::mem::replace(&mut self.older, newer)
    }
}
