//! What gateways tell each other in the gossip, and what they learn from it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use rand::Rng;
use rand::seq::IteratorRandom;

use super::{
    Directory, GatewayRow, KnownGateway, MIN_SAME_DOMAIN_GATEWAYS, PAUSE_THRESHOLD, Source,
    start_hash,
};
use crate::process::gateway::gossip::{GossipRequest, GossipResponse, Heartbeat};

/// Live gateways that are contacted in a round of the gossip. With two, a counter needs few rounds, and
/// a gateway of a domain of 60 sends about 8 KB a second: 4 requests and 4 responses of 13 bytes for
/// each counter, with their heads.
const GOSSIP_FANOUT: usize = 2;
/// One more gateway is contacted for this many live ones, so that large domains need no more rounds.
const GATEWAYS_PER_EXTRA_FANOUT: usize = 100;
/// Share of the rounds in which a gateway that does not seem live is contacted as well. It lets two
/// parts of a domain find each other again after they were separated.
const RECONNECT_PROBABILITY: f64 = 0.125;
/// Time for which a gateway that leaves is told of in the gossip.
const LEAVING_TOLD_FOR: Duration = Duration::from_secs(10);

impl Directory {
    /// Starts a round of the gossip: increments the own counter and selects the gateways to contact.
    /// One of another failure domain is among them if `tells_other_domains`.
    pub fn start_round(
        &self,
        rng: &mut impl Rng,
        tells_other_domains: bool,
        now: Instant,
    ) -> Vec<SocketAddr> {
        self.own_counter.set(self.own_counter.get() + 1);
        let last_round = self.last_round.replace(Some(now));
        let was_paused =
            last_round.is_none_or(|last| now.saturating_duration_since(last) >= PAUSE_THRESHOLD);
        if was_paused {
            self.rounds_since.set(Some(now));
        }
        let own = self.own.borrow();
        let known = self.known.borrow();
        let same_domain = known
            .values()
            .filter(|known| known.row.failure_domain == own.failure_domain);
        let (live, silent): (Vec<_>, Vec<_>) = same_domain
            .filter(|known| !known.row.is_leaving)
            .partition(|known| self.is_live(known, now));
        let needs_other_domains = live.len() + 1 < MIN_SAME_DOMAIN_GATEWAYS;
        let fanout = GOSSIP_FANOUT + live.len() / GATEWAYS_PER_EXTRA_FANOUT;
        let mut contacted = live.into_iter().choose_multiple(rng, fanout);
        if contacted.is_empty() || rng.random_bool(RECONNECT_PROBABILITY) {
            contacted.extend(silent.into_iter().choose(rng));
        }
        let others = known.values().filter(|known| {
            known.row.failure_domain != own.failure_domain && !known.row.is_leaving
        });
        if needs_other_domains {
            let mut by_domain: IndexMap<&str, Vec<&KnownGateway>> = IndexMap::new();
            for other in others {
                let domain = by_domain.entry(&other.row.failure_domain).or_default();
                domain.push(other);
            }
            let one_each = by_domain.into_values();
            contacted.extend(one_each.filter_map(|domain| domain.into_iter().choose(rng)));
        } else if tells_other_domains {
            contacted.extend(others.choose(rng));
        }
        contacted
            .iter()
            .map(|known| known.row.peer_address)
            .collect()
    }

    /// The counters of the live gateways of the own failure domain, and of this gateway.
    fn heartbeats(&self, now: Instant) -> Vec<Heartbeat> {
        let own = self.own.borrow();
        let known = self.known.borrow();
        let told = known.values().filter(|known| {
            let is_same_domain = known.row.failure_domain == own.failure_domain;
            let unchanged_for = now.saturating_duration_since(known.last_advanced);
            let is_leaving = known.row.is_leaving && unchanged_for < LEAVING_TOLD_FOR;
            is_same_domain && known.counter > 0 && (is_leaving || self.is_live(known, now))
        });
        let told = told.map(|known| Heartbeat {
            start_hash: known.start_hash,
            counter: known.counter,
            is_leaving: known.row.is_leaving,
        });
        let own = Heartbeat {
            start_hash: start_hash(&self.own_id, own.started_unix_ms),
            counter: self.own_counter.get(),
            is_leaving: own.is_leaving,
        };
        std::iter::once(own).chain(told).collect()
    }

    /// The request that this gateway sends in a round.
    pub fn gossip_request(&self, now: Instant) -> GossipRequest {
        GossipRequest {
            gateway_id: self.own_id.to_string(),
            row: self.own.borrow().clone(),
            heartbeats: self.heartbeats(now),
        }
    }

    /// Learns from the request of a peer, and responds to it.
    pub fn handle_gossip(&self, request: &GossipRequest, now: Instant) -> GossipResponse {
        self.record_contact(now);
        let (id, row) = (&request.gateway_id, request.row.clone());
        self.learn_registration(id, row, Source::Original, now);
        self.learn_heartbeats(&request.heartbeats, now);
        self.relays.replace(self.live_peers(now));
        let heartbeats = request.heartbeats.iter();
        let told: IndexSet<u64> = heartbeats.map(|heartbeat| heartbeat.start_hash).collect();
        let own = self.own.borrow();
        let known = self.known.borrow();
        let unknown_to_peer = known.iter().filter(|(_, known)| {
            let is_same_domain = known.row.failure_domain == own.failure_domain;
            is_same_domain && self.is_live(known, now) && !told.contains(&known.start_hash)
        });
        let rows = unknown_to_peer.map(|(id, known)| (id.to_string(), known.row.clone()));
        GossipResponse {
            rows: rows.collect(),
            heartbeats: self.heartbeats(now),
        }
    }

    /// Learns from the response of a peer.
    pub fn apply_gossip(&self, response: GossipResponse, now: Instant) {
        self.is_loaded.set(true);
        self.record_contact(now);
        for (id, row) in response.rows {
            self.learn_registration(&id, row, Source::Peer, now);
        }
        self.learn_heartbeats(&response.heartbeats, now);
        self.relays.replace(self.live_peers(now));
    }

    /// Adds a gateway, or replaces the registration of another start of it. Start times alone do not
    /// tell which of two starts is the later one, because the clock of a VM may be set back.
    pub(super) fn learn_registration(
        &self,
        id: &str,
        row: GatewayRow,
        source: Source,
        now: Instant,
    ) {
        if *id == *self.own_id {
            return;
        }
        let mut known = self.known.borrow_mut();
        match known.get_mut(id) {
            Some(known) if known.row.started_unix_ms == row.started_unix_ms => {
                known.row.is_leaving |= row.is_leaving;
            }
            Some(known) => {
                let is_later = row.started_unix_ms > known.row.started_unix_ms;
                if source == Source::Original || is_later || !self.is_live(known, now) {
                    *known = KnownGateway::new(id, row, now);
                }
            }
            None => {
                known.insert(id.into(), KnownGateway::new(id, row, now));
            }
        }
    }

    fn learn_heartbeats(&self, heartbeats: &[Heartbeat], now: Instant) {
        let told: IndexMap<u64, &Heartbeat> = heartbeats
            .iter()
            .map(|heartbeat| (heartbeat.start_hash, heartbeat))
            .collect();
        for (id, known) in self.known.borrow_mut().iter_mut() {
            let Some(heartbeat) = told.get(&known.start_hash) else {
                continue;
            };
            if heartbeat.counter > known.counter {
                known.counter = heartbeat.counter;
                known.last_advanced = now;
            }
            if heartbeat.is_leaving && !known.row.is_leaving {
                known.row.is_leaving = true;
                log::info!(gateway = &**id; "gateway is leaving");
            }
        }
    }
}
