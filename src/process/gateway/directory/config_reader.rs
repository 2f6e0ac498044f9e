//! Which gateway of a failure domain reads the configuration for the others.

use std::time::Instant;

use super::Directory;
use crate::process::slots::placement::{hash_bytes, rendezvous_weight};

/// The key by which the gateways of a failure domain are ranked.
const READER_KEY: &[u8] = b"config-reader";

impl Directory {
    /// Whether this gateway reads the configuration for its failure domain: it is the best one by
    /// rendezvous hashing among the live ones.
    pub fn reads_config(&self, now: Instant) -> bool {
        let own = self.own.borrow();
        if own.is_leaving {
            return false;
        }
        let key = hash_bytes(READER_KEY);
        let own_weight = rendezvous_weight(key, &self.own_id);
        let known = self.known.borrow();
        let mut others = known.iter().filter(|(_, known)| {
            known.row.failure_domain == own.failure_domain && self.is_live(known, now)
        });
        !others.any(|(id, _)| rendezvous_weight(key, id) > own_weight)
    }
}
