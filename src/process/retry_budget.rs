//! The retry budget, which limits retries to a share of the requests.
//!
//! Without it, a failure that affects many requests at once would multiply the load on the
//! remaining servers.

use std::cell::Cell;

/// Tokens that a retry takes. A request adds `retry_percent` tokens, so that retries are at most
/// that percentage of the requests.
const TOKENS_PER_RETRY: u64 = 100;
/// Retries available to a new process before its first request.
const INITIAL_RETRIES: u64 = 10;
/// Maximum number of unused retries. It bounds the burst after a long time without failures.
const MAX_SAVED_RETRIES: u64 = 100;

/// The retry budget that one entry has for its site: a token bucket that requests fill.
#[derive(Debug)]
pub struct RetryBudget {
    /// At most `MAX_SAVED_RETRIES * TOKENS_PER_RETRY`.
    tokens: Cell<u64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: Cell::new(INITIAL_RETRIES * TOKENS_PER_RETRY),
        }
    }
}

impl RetryBudget {
    /// Adds the tokens of a request; must not be called for retries.
    pub fn record_request(&self, retry_percent: u32) {
        let filled = self.tokens.get().saturating_add(u64::from(retry_percent));
        self.tokens
            .set(filled.min(MAX_SAVED_RETRIES * TOKENS_PER_RETRY));
    }

    /// Takes one retry from the budget; `false` if the budget is used up or `retry_percent` is 0,
    /// which turns retries off.
    pub fn try_acquire(&self, retry_percent: u32) -> bool {
        let tokens = self.tokens.get();
        if retry_percent == 0 || tokens < TOKENS_PER_RETRY {
            return false;
        }
        self.tokens.set(tokens - TOKENS_PER_RETRY);
        true
    }
}
