//! The admission level: the share of the first turns of a service that is admitted.
//!
//! The share is set by a controller with a proportional, an integral and a derivative term (as in
//! the PIE queue management of RFC 8033), which acts on the logarithm of the share. The effect of a
//! change on the servers is then the same at twice and at ten times the capacity. All gateways see
//! about the same loads and each admits the same share of its own first turns, so no coordinator is
//! needed.

use std::time::{Duration, Instant};

use super::service_load::ServiceLoad;

/// Distance of the target from one batch, in batches. Below it, servers would become idle between
/// two reports; each tenth delays a turn by about a tenth of its time, and callers accept a
/// program that takes 1.3 times its time on idle servers.
const MIN_TARGET_QUEUE_BATCHES: f64 = 0.1;
/// Distance of the target in standard deviations of the requests at a constant rate, which is the
/// square root of their mean. It keeps random peaks of a small service from counting as overload.
const TARGET_QUEUE_DEVIATIONS: f64 = 2.0;
/// Largest distance of the target, for services with a few slots.
const MAX_TARGET_QUEUE_BATCHES: f64 = 1.0;
/// Change of the logarithm of the share for each batch beyond the target. With 3, queues grow longer
/// at the beginning of a burst. With 6, the share varies so much that teams within their share are
/// refused at times.
const PROPORTIONAL_GAIN_PER_BATCH: f64 = 4.0;
/// Change of the logarithm of the share for each batch beyond the target, per second.
const INTEGRAL_GAIN_PER_BATCH_S: f64 = 1.0;
/// Time for which the present rise of the load is taken to go on, in seconds: about the age of the
/// reports. The programs that began during that time are already on the way.
const PREDICTION_HORIZON_S: f64 = 0.5;
/// Time over which the rise of the load is averaged, because reports arrive in groups.
const RISE_PERIOD: Duration = Duration::from_millis(500);
/// Smallest logarithm of the share: 2 %. Some first turns are admitted even if all loads are
/// wrong, because their answers bring new reports.
const MIN_LOG_SHARE: f64 = -3.9;
/// Share of free slots from which nothing is refused: one slot of eight, the batch of an engine.
pub const FREE_SLOTS_ADMIT_ALL: f64 = 0.125;
/// Share of free slots up to which the level applies in full. Between the two it is interpolated,
/// so that gateways do not all begin to admit at the same report.
pub const FREE_SLOTS_LEVEL_APPLIES: f64 = 0.05;
/// Load below which an overload ends, in batches, if the level has recovered.
const END_LOAD_BATCHES: f64 = 0.95;
/// Longest time between two updates that counts. A gateway that was paused knows nothing of it.
const MAX_STEP: Duration = Duration::from_millis(500);

/// A change of the state, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelChange {
    /// The service has become overloaded.
    Begins,
    /// The overload has ended.
    Ends,
}

/// The admission level of one service.
#[derive(Debug)]
pub struct AdmissionLevel {
    is_overloaded: bool,
    /// Integral term, at most 0.
    integral: f64,
    /// Between `exp(MIN_LOG_SHARE)` and 1.
    share: f64,
    /// Load at the last update, in batches.
    batches: f64,
    /// Change of the load, in batches per second, averaged over `RISE_PERIOD`.
    rise_per_s: f64,
    updated_at: Instant,
}

/// The load at which the level is steady, in batches.
fn target_batches(slots: u32) -> f64 {
    let deviation = 1.0 / f64::from(slots.max(1)).sqrt();
    let queue = (TARGET_QUEUE_DEVIATIONS * deviation)
        .clamp(MIN_TARGET_QUEUE_BATCHES, MAX_TARGET_QUEUE_BATCHES);
    1.0 + queue
}

impl AdmissionLevel {
    /// Makes a level that admits everything.
    pub fn new(now: Instant) -> Self {
        Self {
            is_overloaded: false,
            integral: 0.0,
            share: 1.0,
            batches: 0.0,
            rise_per_s: 0.0,
            updated_at: now,
        }
    }

    /// Adapts the level to the present load.
    pub fn update(&mut self, load: &ServiceLoad, now: Instant) -> Option<LevelChange> {
        let elapsed = now.saturating_duration_since(self.updated_at);
        let elapsed_s = elapsed.min(MAX_STEP).as_secs_f64();
        self.updated_at = now;
        if elapsed_s > 0.0 {
            let rise_per_s = (load.batches - self.batches) / elapsed_s;
            let weight = 1.0 - (-elapsed_s / RISE_PERIOD.as_secs_f64()).exp();
            self.rise_per_s += weight * (rise_per_s - self.rise_per_s);
        }
        self.batches = load.batches;
        let excess = load.batches - target_batches(load.slots);
        if !self.is_overloaded {
            if excess <= 0.0 {
                return None;
            }
            self.is_overloaded = true;
            self.set_share(excess, load.free_share);
            return Some(LevelChange::Begins);
        }
        let step = INTEGRAL_GAIN_PER_BATCH_S * excess * elapsed_s;
        self.integral = (self.integral - step).clamp(MIN_LOG_SHARE, 0.0);
        self.set_share(excess, load.free_share);
        let has_recovered = self.share >= 1.0 && load.batches < END_LOAD_BATCHES;
        if has_recovered {
            *self = Self::new(now);
        }
        has_recovered.then_some(LevelChange::Ends)
    }

    fn set_share(&mut self, excess: f64, free_share: f64) {
        let predicted = excess + PREDICTION_HORIZON_S * self.rise_per_s;
        let log_share = self.integral - PROPORTIONAL_GAIN_PER_BATCH * predicted;
        let share = log_share.clamp(MIN_LOG_SHARE, 0.0).exp();
        let range = FREE_SLOTS_ADMIT_ALL - FREE_SLOTS_LEVEL_APPLIES;
        let free = ((free_share - FREE_SLOTS_LEVEL_APPLIES) / range).clamp(0.0, 1.0);
        self.share = share + (1.0 - share) * free;
    }

    /// Whether the service is overloaded.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// The share of the first turns that is admitted, at most 1.
    pub fn share(&self) -> f64 {
        self.share
    }
}
