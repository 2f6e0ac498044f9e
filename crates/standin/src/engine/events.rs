//! The cache events, which are published late and with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

/// Older events are no longer published, so that the log stays bounded.
const MAX_LOGGED_EVENTS: usize = 10_000;

/// What happened to a cache entry.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EventKind {
    /// Its tokens are in the cache.
    Stored,
    /// Removed for lack of memory.
    Evicted,
    /// Removed by a release.
    Released,
}

/// One event.
#[derive(Clone, Debug, Serialize)]
pub struct CacheEvent {
    /// Grows by one with each event, the lost ones included.
    number: u64,
    kind: EventKind,
    cache_key: String,
    tokens: u64,
}

/// The answer to a reader of events.
#[derive(Serialize)]
pub struct PublishedEvents {
    events: Vec<CacheEvent>,
}

/// The events of an engine.
pub struct EventLog {
    lag: Duration,
    /// Share of events that are lost, from 0 to 1.
    loss_rate: f64,
    rng: StdRng,
    last_number: u64,
    /// Each event with the time at which it is published, oldest first.
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    /// An empty log.
    pub fn new(lag: Duration, loss_rate: f64, seed: u64) -> Self {
        Self {
            lag,
            loss_rate: loss_rate.clamp(0.0, 1.0),
            rng: StdRng::seed_from_u64(seed),
            last_number: 0,
            events: VecDeque::new(),
        }
    }

    /// Records an event, unless it is among those that get lost.
    pub fn record(&mut self, kind: EventKind, cache_key: &str, tokens: u64) {
        self.last_number += 1;
        if self.rng.random_bool(self.loss_rate) {
            return;
        }
        if self.events.len() == MAX_LOGGED_EVENTS {
            self.events.pop_front();
        }
        let event = CacheEvent {
            number: self.last_number,
            kind,
            cache_key: cache_key.to_string(),
            tokens,
        };
        self.events.push_back((Instant::now() + self.lag, event));
    }

    /// The published events whose number is higher than `after`.
    pub fn published_after(&self, after: u64) -> PublishedEvents {
        let now = Instant::now();
        let published = self
            .events
            .iter()
            .filter(|(publish_at, _)| *publish_at <= now);
        let events = published
            .map(|(_, event)| event)
            .filter(|event| event.number > after)
            .cloned()
            .collect();
        PublishedEvents { events }
    }
}
