//! Failure injection of the engine.

use serde::Deserialize;

/// Body of `POST /control`. Absent fields leave the current setting unchanged.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Whether the load report marks the engine as leaving.
    pub leaving: Option<bool>,
    /// Number of calls that get status 503.
    pub fail_next: Option<u64>,
    /// Number of calls that never get a response.
    pub hang_next: Option<u64>,
    /// Number of tokens after which the stream of the next call is aborted.
    pub break_after_tokens: Option<u64>,
    /// Whether cache releases are acknowledged without being executed.
    pub ignore_releases: Option<bool>,
    /// Tokens that each answer contains beyond the requested number.
    pub extra_tokens: Option<u64>,
    /// Tokens that the usage of each answer reports beyond the generated number.
    pub extra_usage: Option<u64>,
}

/// Failures to inject and the settings that stay in force.
#[derive(Default)]
pub struct Faults {
    pub leaving: bool,
    pub ignore_releases: bool,
    pub extra_tokens: u64,
    pub extra_usage: u64,
    fail_next: u64,
    hang_next: u64,
    break_after_tokens: Option<u64>,
}

/// Injected failure of one call.
pub enum Fault {
    /// The call is served.
    None,
    /// The call gets status 503.
    Fail,
    /// The call never gets a response.
    Hang,
    /// The stream is aborted after this number of tokens.
    BreakAfter(u64),
}

impl Faults {
    /// Applies the fields that are present in `control`.
    pub fn apply(&mut self, control: Control) {
        self.leaving = control.leaving.unwrap_or(self.leaving);
        self.ignore_releases = control.ignore_releases.unwrap_or(self.ignore_releases);
        self.extra_tokens = control.extra_tokens.unwrap_or(self.extra_tokens);
        self.extra_usage = control.extra_usage.unwrap_or(self.extra_usage);
        self.fail_next = control.fail_next.unwrap_or(self.fail_next);
        self.hang_next = control.hang_next.unwrap_or(self.hang_next);
        self.break_after_tokens = control.break_after_tokens.or(self.break_after_tokens);
    }

    /// Returns the failure of the next call and removes it from the pending ones.
    pub fn next_fault(&mut self) -> Fault {
        if self.fail_next > 0 {
            self.fail_next -= 1;
            return Fault::Fail;
        }
        if self.hang_next > 0 {
            self.hang_next -= 1;
            return Fault::Hang;
        }
        match self.break_after_tokens.take() {
            Some(tokens) => Fault::BreakAfter(tokens),
            None => Fault::None,
        }
    }
}
