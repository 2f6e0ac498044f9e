//! Which gateways may own the limits of a shard of teams.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Instant;

use super::Directory;
use crate::process::slots::placement::rendezvous_weight;
use crate::process::teams::limit_leases::GatewayStart;

impl Directory {
    /// The peer addresses of the gateways that may own `shard`, of all failure domains, the best one
    /// first; that of this gateway is among them unless it leaves. Of other domains it is not known
    /// which gateways are live, so all that are registered are included.
    pub fn limit_owners(&self, shard: u64, now: Instant) -> Vec<SocketAddr> {
        let own = self.own.borrow();
        let known = self.known.borrow();
        let others = known.iter().filter(|(_, known)| {
            let is_other_domain = known.row.failure_domain != own.failure_domain;
            !known.row.is_leaving && (is_other_domain || self.is_live(known, now))
        });
        let mut owners: Vec<(&str, SocketAddr)> = others
            .map(|(id, known)| (&**id, known.row.peer_address))
            .collect();
        if !own.is_leaving {
            owners.push((&self.own_id, own.peer_address));
        }
        owners.sort_by_cached_key(|(id, _)| Reverse(rendezvous_weight(shard, id)));
        owners.into_iter().map(|(_, address)| address).collect()
    }

    /// The number of gateways that are registered, of all failure domains, with this one; `None`
    /// until the registrations have been read from the store.
    pub fn registered_count(&self) -> Option<usize> {
        let are_rows_read = self.are_rows_read.get();
        are_rows_read.then(|| self.known.borrow().len() + 1)
    }

    /// Identifies this start of this gateway in the leases of limits.
    pub fn limit_owner_start(&self) -> GatewayStart {
        GatewayStart {
            gateway_id: self.own_id.to_string(),
            start: self.writer_id(),
            peer_address: self.own.borrow().peer_address,
        }
    }
}
