//! The retry budget: retries may be only a share of the requests.
//!
//! Without it, a failure that many requests meet at once would multiply the load on the servers
//! that are left.

use std::cell::Cell;

/// Cost of one retry; each request adds `retry_percent` of these.
const TOKENS_PER_RETRY: u64 = 100;
/// Retries that a new process may make before it has seen a request.
const INITIAL_RETRIES: u64 = 10;
/// Retries that can be saved up. It bounds the burst after a long time without failures.
const MAX_SAVED_RETRIES: u64 = 100;

/// The retry budget of a site on one entry: a token bucket that requests fill.
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
    /// Records a request that is not a retry.
    pub fn record_request(&self, retry_percent: u32) {
        let filled = self.tokens.get().saturating_add(u64::from(retry_percent));
        self.tokens
            .set(filled.min(MAX_SAVED_RETRIES * TOKENS_PER_RETRY));
    }

    /// Takes one retry from the budget; `false` if it is used up or the share is zero.
    pub fn try_acquire(&self, retry_percent: u32) -> bool {
        let tokens = self.tokens.get();
        if retry_percent == 0 || tokens < TOKENS_PER_RETRY {
            return false;
        }
        self.tokens.set(tokens - TOKENS_PER_RETRY);
        true
    }
}
