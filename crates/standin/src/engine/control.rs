//! Failure injection of the engine.

use serde::Deserialize;

/// What `POST /control` may set; absent fields stay as they are.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Whether the load report says that the engine is leaving.
    pub leaving: Option<bool>,
    /// The next calls are answered 503.
    pub fail_next: Option<u64>,
    /// The next calls are never answered.
    pub hang_next: Option<u64>,
    /// The stream of the next call breaks after so many tokens.
    pub break_after_tokens: Option<u64>,
    /// Whether releases are answered and not carried out.
    pub ignore_releases: Option<bool>,
    /// Tokens that each answer has beyond those asked for.
    pub extra_tokens: Option<u64>,
    /// Tokens that the usage of each answer reports beyond those generated.
    pub extra_usage: Option<u64>,
}

/// The failures in force.
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

/// What happens to one call.
pub enum Fault {
    /// Served.
    None,
    /// Answered 503.
    Fail,
    /// Never answered.
    Hang,
    /// Breaks after so many tokens.
    BreakAfter(u64),
}

impl Faults {
    /// Takes over the fields that are present.
    pub fn apply(&mut self, control: Control) {
        self.leaving = control.leaving.unwrap_or(self.leaving);
        self.ignore_releases = control.ignore_releases.unwrap_or(self.ignore_releases);
        self.extra_tokens = control.extra_tokens.unwrap_or(self.extra_tokens);
        self.extra_usage = control.extra_usage.unwrap_or(self.extra_usage);
        self.fail_next = control.fail_next.unwrap_or(self.fail_next);
        self.hang_next = control.hang_next.unwrap_or(self.hang_next);
        self.break_after_tokens = control.break_after_tokens.or(self.break_after_tokens);
    }

    /// Decides what happens to the call that has arrived.
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
