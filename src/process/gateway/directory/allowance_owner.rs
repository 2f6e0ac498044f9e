//! Which gateway owns the allowance of a backend server that limits its request rate.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Directory, GatewayRow, PAUSE_THRESHOLD};
use crate::process::slots::placement::{hash_bytes, rendezvous_weight};

/// Time after which all gateways of a failure domain have heard of a change in it.
const SETTLING_PERIOD: Duration = Duration::from_millis(2_000);

/// The gateway that owns the allowance of a backend server with a rate limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AllowanceOwner {
    /// This gateway.
    Own,
    /// A peer: the first address is that of the owner. The others would take its place, in this
    /// order.
    Peers(Vec<SocketAddr>),
}

impl Directory {
    /// Passes the gateways that may own the allowance of a server to `select`, the best one first,
    /// with their ids: the live ones of the server's failure domain. Of other domains than the own
    /// one it is not known which gateways are live, so all that have not left are included.
    ///
    /// A server in a failure domain without gateways is assigned to another one.
    fn select_allowance_owner<R>(
        &self,
        server_id: &str,
        server_domain: &str,
        now: Instant,
        select: impl FnOnce(&[(&str, &GatewayRow)]) -> R,
    ) -> R {
        let key = hash_bytes(server_id.as_bytes());
        let own = self.own.borrow();
        let known = self.known.borrow();
        let mut gateways: Vec<(&str, &GatewayRow)> = known
            .iter()
            .filter(|(_, known)| !known.row.is_leaving)
            .map(|(id, known)| (&**id, &known.row))
            .collect();
        if !own.is_leaving || gateways.is_empty() {
            gateways.push((&self.own_id, &own));
        }
        let has_gateways = gateways
            .iter()
            .any(|(_, row)| row.failure_domain == server_domain);
        let domain = match has_gateways {
            true => server_domain,
            false => {
                let domains = gateways.iter().map(|(_, row)| row.failure_domain.as_str());
                let best = domains.max_by_key(|domain| rendezvous_weight(key, domain));
                best.unwrap_or_default()
            }
        };
        let may_own = |id: &str, row: &GatewayRow| {
            let is_live = row.failure_domain != own.failure_domain
                || *id == *self.own_id
                || known.get(id).is_some_and(|known| self.is_live(known, now));
            row.failure_domain == domain && is_live
        };
        gateways.retain(|(id, row)| may_own(id, row));
        gateways.sort_by_cached_key(|(id, _)| Reverse(rendezvous_weight(key, id)));
        select(&gateways)
    }

    /// The owner of the allowance of a server in `server_domain`.
    pub fn allowance_owner(
        &self,
        server_id: &str,
        server_domain: &str,
        now: Instant,
    ) -> AllowanceOwner {
        self.select_allowance_owner(server_id, server_domain, now, |owners| {
            let addresses = owners.iter().map(|(_, row)| row.peer_address);
            match owners.first() {
                Some((id, _)) if **id == *self.own_id => AllowanceOwner::Own,
                _ => AllowanceOwner::Peers(addresses.collect()),
            }
        })
    }

    /// The id and registration of the gateway that owns the allowance of a server; `None` if no
    /// gateway does.
    pub fn allowance_owner_row(
        &self,
        server_id: &str,
        server_domain: &str,
        now: Instant,
    ) -> Option<(String, GatewayRow)> {
        self.select_allowance_owner(server_id, server_domain, now, |owners| {
            let (id, row) = owners.first()?;
            Some((id.to_string(), (*row).clone()))
        })
    }

    /// Whether the gateways of the own failure domain have had the time to agree on who of them is
    /// live, since this gateway started or was paused.
    pub fn is_settled(&self, now: Instant) -> bool {
        let has_round = self
            .last_round
            .get()
            .is_some_and(|round| now.saturating_duration_since(round) < PAUSE_THRESHOLD);
        let since = self.rounds_since.get();
        has_round
            && since.is_some_and(|since| now.saturating_duration_since(since) >= SETTLING_PERIOD)
    }
}
