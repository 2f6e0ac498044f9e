//! Which gateways reach the backend servers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::{Directory, KnownGateway};
use crate::process::notify::Notify;

/// Time for which a gateway that reaches no backend server is not returned to callers after it last
/// said so. It says so in each round of the gossip, which takes up to four rounds to reach a domain.
const UNCONNECTED_LIFETIME: Duration = Duration::from_millis(2_500);

/// A gateway that reaches no backend server, as gateways tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnconnectedGateway {
    /// Id of the gateway.
    pub gateway_id: String,
    /// Time since the gateway said so. The transfer time between gateways is not included.
    pub age_ms: u32,
}

impl Directory {
    /// Sets whether this gateway reaches backend servers, and triggers a round of the gossip.
    pub fn set_connected(&self, is_connected: bool) {
        self.is_connected.set(is_connected);
        if is_connected {
            self.helpers.borrow_mut().clear();
        }
        self.connection_changed.notify();
    }

    /// Notified when this gateway loses or regains its path to the backend servers.
    pub fn connection_changed(&self) -> &Notify {
        &self.connection_changed
    }

    /// Sets the peer addresses of the gateways that serve the callers of this one.
    pub fn set_helpers(&self, helpers: &[SocketAddr]) {
        self.helpers.replace(helpers.to_vec());
    }

    /// Peer addresses of gateways that may reach backend servers: of live ones in the own failure
    /// domain, and of registered ones in the others. Of these it is not known whether they are live,
    /// and one that was leaving may have started again at its address.
    pub fn possible_helpers(&self, now: Instant) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let own = self.own.borrow();
        let known = self.known.borrow();
        let connected = known.iter().filter(|(id, _)| !self.is_unconnected(id, now));
        let (same_domain, others): (Vec<_>, Vec<_>) = connected
            .map(|(_, known)| known)
            .partition(|known| known.row.failure_domain == own.failure_domain);
        let address = |known: &KnownGateway| known.row.peer_address;
        let live = same_domain
            .into_iter()
            .filter(|known| self.is_live(known, now));
        (
            live.map(address).collect(),
            others.into_iter().map(address).collect(),
        )
    }

    pub(super) fn is_unconnected(&self, id: &str, now: Instant) -> bool {
        let unconnected = self.unconnected.borrow();
        let said_at = unconnected.get(id);
        said_at.is_some_and(|at| now.saturating_duration_since(*at) < UNCONNECTED_LIFETIME)
    }

    /// The gateways that have recently said that they reach no backend server.
    pub fn unconnected_gateways(&self, now: Instant) -> Vec<UnconnectedGateway> {
        let mut unconnected = self.unconnected.borrow_mut();
        unconnected.retain(|_, at| now.saturating_duration_since(*at) < UNCONNECTED_LIFETIME);
        if !self.is_connected.get() {
            unconnected.insert(self.own_id.clone(), now);
        }
        let told = unconnected.iter().map(|(id, at)| UnconnectedGateway {
            gateway_id: id.to_string(),
            age_ms: now.saturating_duration_since(*at).as_millis() as u32,
        });
        told.collect()
    }

    /// Learns which gateways reach no backend server.
    pub fn learn_unconnected(&self, told: &[UnconnectedGateway], now: Instant) {
        let mut unconnected = self.unconnected.borrow_mut();
        for UnconnectedGateway { gateway_id, age_ms } in told {
            let age = Duration::from_millis(u64::from(*age_ms));
            let Some(said_at) = now
                .checked_sub(age)
                .filter(|_| **gateway_id != *self.own_id)
            else {
                continue;
            };
            let known = unconnected
                .entry(gateway_id.as_str().into())
                .or_insert(said_at);
            *known = (*known).max(said_at);
        }
    }
}
