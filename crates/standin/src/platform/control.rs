//! Failure injection of the platform.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sapphireford::connection::platform::Vm;
use serde::Deserialize;

use super::rows::ControlRow;

/// How calls fail while the platform is unavailable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// Calls are served normally.
    #[default]
    None,
    /// Every call gets status 503 and has no effect.
    Refuse,
    /// No call takes effect or ever gets a response.
    Hang,
}

/// Body of `POST /control`. Absent fields leave the current setting unchanged.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Delay before each call takes effect, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Delay before each read or feed call of `delayed_table` takes effect, in milliseconds.
    pub table_delay_ms: Option<u64>,
    /// The table whose reads `table_delay_ms` delays.
    pub delayed_table: Option<String>,
    /// Number of calls that are refused with status 429.
    pub rate_limited_calls: Option<u64>,
    /// Outage of all calls, until it is set to `none`.
    pub outage: Option<Outage>,
    /// Number of commits that take effect and whose connection is then aborted without a response.
    pub lose_acknowledgements: Option<u64>,
    /// Share of commits whose acknowledgement is lost, from 0 to 1.
    pub lose_acknowledgement_rate: Option<f64>,
    /// Whether commits have no effect and never get a response.
    pub hang_commits: Option<bool>,
    /// Key prefix of the first write of those commits to which `hang_commits` and the lost
    /// acknowledgements apply; empty for all commits.
    pub commit_filter: Option<String>,
    /// Seed of the random selection by `lose_acknowledgement_rate`.
    pub seed: Option<u64>,
    /// List of VMs, served after `vm_list_lag_ms`.
    pub vms: Option<Vec<Vm>>,
    /// Delay until lists set from now on are served, in milliseconds.
    pub vm_list_lag_ms: Option<u64>,
    /// Whether every read of weights is rejected with status 429.
    pub refuse_weights: Option<bool>,
    /// Every commit whose version is a multiple of this takes effect and never gets a response; 0
    /// for none.
    pub hang_each: Option<u64>,
    /// Discards the change history, so that readers of the feed must read all rows again.
    #[serde(default)]
    pub compact: bool,
    /// Serves another table to one reader of the table of backend servers.
    pub server_table: Option<ServerTable>,
    /// Writes a row of any table.
    pub put: Option<ControlRow>,
    /// Removes a row of any table.
    pub remove: Option<ControlRow>,
}

/// The table that one reader gets in the place of that of the backend servers.
#[derive(Debug, Deserialize)]
pub struct ServerTable {
    /// The header `host` of the reader's calls.
    pub host: String,
    /// Name of the table.
    pub table: String,
}

/// Failures to inject and the settings that stay in force.
pub struct Faults {
    delay: Duration,
    table_delay: Duration,
    delayed_table: Option<String>,
    pub outage: Outage,
    rate_limited_calls_left: u64,
    hang_commits: bool,
    commit_filter: String,
    pub refuse_weights: bool,
    /// 0 for none.
    hang_each: u64,
    lost_acknowledgements_left: u64,
    /// Share of commits, from 0 to 1.
    acknowledgement_loss_rate: f64,
    rng: StdRng,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            delay: Duration::ZERO,
            table_delay: Duration::ZERO,
            delayed_table: None,
            outage: Outage::None,
            rate_limited_calls_left: 0,
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
    /// Applies the fields that are present in `control`.
    pub fn apply(&mut self, control: Control) {
        if let Some(delay_ms) = control.delay_ms {
            self.delay = Duration::from_millis(delay_ms);
        }
        if let Some(delay_ms) = control.table_delay_ms {
            self.table_delay = Duration::from_millis(delay_ms);
        }
        self.delayed_table = control.delayed_table.or(self.delayed_table.take());
        if let Some(outage) = control.outage {
            self.outage = outage;
        }
        if let Some(count) = control.rate_limited_calls {
            self.rate_limited_calls_left = count;
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

    /// Returns whether a call is refused with status 429, and counts it.
    pub fn should_limit_rate(&mut self) -> bool {
        let is_limited = self.rate_limited_calls_left > 0;
        self.rate_limited_calls_left -= u64::from(is_limited);
        is_limited
    }

    /// Returns the delay before a call takes effect that names `table` in its query.
    pub fn call_delay(&self, table: Option<&String>) -> Duration {
        let is_delayed_table = table.is_some() && table == self.delayed_table.as_ref();
        match is_delayed_table {
            true => self.delay + self.table_delay,
            false => self.delay,
        }
    }

    /// Returns whether a commit hangs before it takes effect.
    pub fn should_hang_commit(&self, first_key: &str) -> bool {
        self.hang_commits && self.matches_filter(first_key)
    }

    /// Returns whether the commit that created `version` hangs after it took effect.
    pub fn should_hang_acknowledgement(&self, version: u64) -> bool {
        self.hang_each > 0 && version.is_multiple_of(self.hang_each)
    }

    fn matches_filter(&self, first_key: &str) -> bool {
        first_key.starts_with(&self.commit_filter)
    }

    /// Returns whether a commit that took effect loses its acknowledgement. Consumes one of the
    /// requested losses, or selects by rate if none is left.
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
