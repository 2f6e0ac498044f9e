//! Failure injection of the platform.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sapphireford::connection::platform::Vm;
use serde::Deserialize;

use super::rows::ControlRow;

/// How calls fail while the platform is out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// Calls are served.
    #[default]
    None,
    /// Every call is answered 503 without taking effect.
    Refuse,
    /// No call takes effect or is ever answered.
    Hang,
}

/// What `POST /control` may set; absent fields stay as they are.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Pause before each call takes effect.
    pub delay_ms: Option<u64>,
    /// How calls fail from now on.
    pub outage: Option<Outage>,
    /// The next commits take effect, and their connections break without an answer.
    pub lose_acknowledgements: Option<u64>,
    /// Share of commits whose acknowledgement is lost, from 0 to 1.
    pub lose_acknowledgement_rate: Option<f64>,
    /// Commits take no effect and are never answered.
    pub hang_commits: Option<bool>,
    /// `hang_commits` and lost acknowledgements concern only commits whose first write has a key with
    /// this prefix; empty for all.
    pub commit_filter: Option<String>,
    /// Seed of the choice by rate.
    pub seed: Option<u64>,
    /// The list of VMs.
    pub vms: Option<Vec<Vm>>,
    /// Time from setting the list until it is served.
    pub vm_list_lag_ms: Option<u64>,
    /// Whether every read of weights is refused with 429.
    pub refuse_weights: Option<bool>,
    /// One of this many commits takes effect and is never answered; 0 for none.
    pub hang_each: Option<u64>,
    /// Forgets the change history.
    #[serde(default)]
    pub compact: bool,
    /// Writes a row of any table.
    pub put: Option<ControlRow>,
    /// Removes a row of any table.
    pub remove: Option<ControlRow>,
}

/// The failures in force.
pub struct Faults {
    pub delay: Duration,
    pub outage: Outage,
    hang_commits: bool,
    commit_filter: String,
    pub refuse_weights: bool,
    /// One of this many commits is never answered; 0 for none.
    hang_each: u64,
    lost_acknowledgements_left: u64,
    /// From 0 to 1.
    acknowledgement_loss_rate: f64,
    rng: StdRng,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            delay: Duration::ZERO,
            outage: Outage::None,
            hang_commits: false,
            commit_filter: String::new(),
            refuse_weights: false,
            hang_each: 0,
            lost_acknowledgements_left: 0,
            acknowledgement_loss_rate: 0.0,
            rng: StdRng::seed_from_u64(0),
        }
    }
}

impl Faults {
    /// Takes over the fields that are present.
    pub fn apply(&mut self, control: Control) {
        if let Some(delay_ms) = control.delay_ms {
            self.delay = Duration::from_millis(delay_ms);
        }
        if let Some(outage) = control.outage {
            self.outage = outage;
        }
        if let Some(is_hanging) = control.hang_commits {
            self.hang_commits = is_hanging;
        }
        if let Some(filter) = control.commit_filter {
            self.commit_filter = filter;
        }
        self.refuse_weights = control.refuse_weights.unwrap_or(self.refuse_weights);
        self.hang_each = control.hang_each.unwrap_or(self.hang_each);
        if let Some(count) = control.lose_acknowledgements {
            self.lost_acknowledgements_left = count;
        }
        if let Some(rate) = control.lose_acknowledgement_rate {
            self.acknowledgement_loss_rate = rate.clamp(0.0, 1.0);
        }
        if let Some(seed) = control.seed {
            self.rng = StdRng::seed_from_u64(seed);
        }
    }

    /// Whether the commit that has arrived hangs without an effect.
    pub fn should_hang_commit(&self, first_key: &str) -> bool {
        self.hang_commits && self.matches_filter(first_key)
    }

    /// Whether the commit that has made this version hangs.
    pub fn should_hang_acknowledgement(&self, version: u64) -> bool {
        self.hang_each > 0 && version.is_multiple_of(self.hang_each)
    }

    fn matches_filter(&self, first_key: &str) -> bool {
        first_key.starts_with(&self.commit_filter)
    }

    /// Decides whether the commit that just took effect loses its acknowledgement.
    pub fn should_lose_acknowledgement(&mut self, first_key: &str) -> bool {
        if !self.matches_filter(first_key) {
            return false;
        }
        if self.lost_acknowledgements_left > 0 {
            self.lost_acknowledgements_left -= 1;
            return true;
        }
        self.acknowledgement_loss_rate > 0.0 && self.rng.random_bool(self.acknowledgement_loss_rate)
    }
}
