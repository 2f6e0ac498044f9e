//! The log of cache events, which are published with a delay and of which a share is lost.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

/// Capacity of the log. The oldest events are dropped, so that its memory is bounded.
const MAX_LOGGED_EVENTS: usize = 10_000;

/// Kind of change of a cache entry.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum EventKind {
    /// The tokens of the entry are in the cache.
    Stored,
    /// The entry was removed to free capacity.
    Evicted,
    /// The entry was removed by a release.
    Released,
}

/// A change of one cache entry.
#[derive(Clone, Debug, Serialize)]
pub struct CacheEvent {
    /// Grows by one with each event, including lost ones, so that readers can detect gaps.
    number: u64,
    kind: EventKind,
    cache_key: String,
    tokens: u64,
}

/// Response to `GET /v1/cache/events`.
#[derive(Serialize)]
pub struct PublishedEvents {
    events: Vec<CacheEvent>,
}

/// The most recent cache events of an engine.
pub struct EventLog {
    lag: Duration,
    /// Share of events that are not recorded, from 0 to 1.
    loss_rate: f64,
    rng: StdRng,
    last_number: u64,
    /// Events with the time of their publication, oldest first.
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    /// Creates an empty log. `lag` is the delay until an event is published.
    pub fn new(lag: Duration, loss_rate: f64, seed: u64) -> Self {
        Self {
            lag,
            loss_rate: loss_rate.clamp(0.0, 1.0),
            rng: StdRng::seed_from_u64(seed),
            last_number: 0,
            events: VecDeque::new(),
        }
    }

    /// Records an event, unless it is selected as lost.
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

    /// Returns the published events whose number is greater than `after`.
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
