//! The time to the first event of the turns of a service, and the time of a whole turn, learned
//! from the requests of this gateway.

use std::time::{Duration, Instant};

/// Part of the difference by which a recent mean follows a new value: the mean of about the last
/// eight requests, which a gateway of a large site sees within a second.
const RECENT_WEIGHT: f64 = 0.125;
/// Part of the difference by which the learned times of an idle server follow a new value.
const IDLE_WEIGHT: f64 = 0.02;
/// Load below which a server counts as idle, in thousandths of its slots.
pub const IDLE_LOAD_PERMILLE: u32 = 500;
/// Time for which the recent mean is used.
const RECENT_TTL: Duration = Duration::from_secs(2);

/// The learned times of one service.
#[derive(Debug, Default)]
pub struct Waits {
    idle_first_event_s: Option<f64>,
    idle_turn_s: Option<f64>,
    recent_first_event_s: Option<(f64, Instant)>,
    recent_turn_s: Option<f64>,
}

fn follow(known: Option<f64>, value: f64, weight: f64) -> f64 {
    known.map_or(value, |known| known + weight * (value - known))
}

impl Waits {
    /// Records the time to the first event of a request that was sent to a server with the given
    /// load.
    pub fn record_first_event(&mut self, wait: Duration, load_permille: u32, now: Instant) {
        let wait_s = wait.as_secs_f64();
        let recent = self.recent_first_event_s.map(|(known, _)| known);
        self.recent_first_event_s = Some((follow(recent, wait_s, RECENT_WEIGHT), now));
        if load_permille < IDLE_LOAD_PERMILLE {
            let learned = follow(self.idle_first_event_s, wait_s, IDLE_WEIGHT);
            self.idle_first_event_s = Some(learned);
        }
    }

    /// Records the time of a complete turn.
    pub fn record_turn(&mut self, time: Duration, load_permille: u32) {
        let time_s = time.as_secs_f64();
        self.recent_turn_s = Some(follow(self.recent_turn_s, time_s, RECENT_WEIGHT));
        if load_permille < IDLE_LOAD_PERMILLE {
            self.idle_turn_s = Some(follow(self.idle_turn_s, time_s, IDLE_WEIGHT));
        }
    }

    /// How much longer than on an idle server a wait was, in thousandths of the time of a turn;
    /// `None` if the times of an idle server are not known.
    pub fn excess_permille(&self, wait: Duration) -> Option<u32> {
        let excess_s = wait.as_secs_f64() - self.idle_first_event_s?;
        let turn_s = self.idle_turn_s?.max(0.001);
        Some((excess_s.max(0.0) / turn_s * 1_000.0) as u32)
    }

    /// The excess of the recent waits of the service; 0 if it is not known.
    pub fn recent_excess_permille(&self, now: Instant) -> u32 {
        let recent = self.recent_first_event_s;
        let recent = recent.filter(|(_, at)| now.saturating_duration_since(*at) < RECENT_TTL);
        let excess =
            recent.and_then(|(wait_s, _)| self.excess_permille(Duration::from_secs_f64(wait_s)));
        excess.unwrap_or(0)
    }

    /// The time of a turn at present; `None` if it is not known.
    pub fn recent_turn(&self) -> Option<Duration> {
        self.recent_turn_s.map(Duration::from_secs_f64)
    }
}
