//! Whole failure domains of gateways that exchange their counters, without a network.
#![allow(dead_code)]

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sapphireford::process::gateway::directory::Directory;
use sapphireford::process::gateway::gossip::ROUND_INTERVAL;
use sapphireford::process::gateway::settings::{GatewaySettings, RawGatewaySettings};
use sapphireford_platform::store::Row;
use serde_json::json;

/// Share of the exchanges that get lost.
const LOSS: f64 = 0.05;

pub struct Gateway {
    pub directory: Directory,
    /// Offset of its rounds, because gateways do not run them at the same time.
    pub phase: Duration,
    pub is_running: bool,
}

/// Gateways that exchange their counters in simulated time.
pub struct Domain {
    pub gateways: IndexMap<SocketAddr, Gateway>,
    pub start: Instant,
    pub now: Instant,
    pub rng: StdRng,
    /// Whether the gateways have contact with the store.
    pub is_store_up: bool,
}

pub fn peer_address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 4))
}

pub fn caller_address(number: usize) -> SocketAddr {
    SocketAddr::new(peer_address(number).ip(), 1)
}

pub fn new_directory(number: usize, failure_domain: &str) -> Directory {
    let ip = peer_address(number).ip();
    let raw: RawGatewaySettings = serde_json::from_value(json!({
        "entry_id": format!("g-{number}"), "failure_domain": failure_domain,
        "caller_address": format!("{ip}:1"), "readiness_address": format!("{ip}:2"),
        "directory_address": format!("{ip}:3"), "peer_address": format!("{ip}:4"),
        "metrics_address": format!("{ip}:5"), "store_address": "10.9.0.9:1",
    }))
    .expect("raw settings");
    let settings = GatewaySettings::try_from(raw).expect("checked settings");
    Directory::new(&settings, Rc::new(RefCell::default()))
}

impl Domain {
    /// Starts gateways of which each has read the registrations of all.
    pub fn start(domains: &[(&str, usize)], seed: u64) -> Self {
        let start = Instant::now();
        let mut domain = Self {
            gateways: IndexMap::new(),
            start,
            now: start,
            rng: StdRng::seed_from_u64(seed),
            is_store_up: true,
        };
        for (failure_domain, count) in domains {
            for _ in 0..*count {
                let number = domain.gateways.len() + 1;
                let gateway = Gateway {
                    directory: new_directory(number, failure_domain),
                    phase: ROUND_INTERVAL.mul_f64(domain.rng.random()),
                    is_running: true,
                };
                domain.gateways.insert(peer_address(number), gateway);
            }
        }
        let rows: Vec<Row> = domain.gateways.values().map(registration).collect();
        for gateway in domain.gateways.values() {
            gateway.directory.apply(&rows, start);
        }
        domain
    }

    /// Runs the rounds of all gateways, and calls `check` twice a second.
    pub fn run_for(&mut self, time: Duration, mut check: impl FnMut(&Self)) {
        const STEP: Duration = Duration::from_millis(50);
        const CHECK_STEPS: u32 = 10;
        let end = self.now + time;
        let mut step = 0;
        while self.now < end {
            let before = self.now.duration_since(self.start);
            self.now += STEP;
            let after = self.now.duration_since(self.start);
            for index in 0..self.gateways.len() {
                let rounds = |elapsed: Duration, phase: Duration| {
                    (elapsed + phase).as_millis() / ROUND_INTERVAL.as_millis()
                };
                let gateway = &self.gateways[index];
                let is_due = rounds(before, gateway.phase) < rounds(after, gateway.phase);
                if is_due && gateway.is_running {
                    self.run_round(index);
                }
            }
            step += 1;
            if step % CHECK_STEPS == 0 {
                check(self);
            }
        }
    }

    fn run_round(&mut self, index: usize) {
        let asker = &self.gateways[index].directory;
        if self.is_store_up {
            asker.record_contact(self.now);
        }
        for peer in asker.start_round(&mut self.rng, false, self.now) {
            let peer = &self.gateways[&peer];
            if !peer.is_running || self.rng.random_bool(LOSS) {
                continue;
            }
            let request = asker.gossip_request(self.now);
            let response = peer.directory.handle_gossip(&request, self.now);
            asker.apply_gossip(response, self.now);
        }
    }

    /// The running gateways whose lookups of `failure_domain` return the gateway `number`.
    pub fn returned_by(&self, number: usize, failure_domain: &str) -> usize {
        let running = self.gateways.values().filter(|gateway| gateway.is_running);
        let returning = running.filter(|gateway| {
            let directory = &gateway.directory;
            let addresses = directory.caller_addresses(failure_domain, true, self.now);
            addresses.contains(&caller_address(number))
        });
        returning.count()
    }

    pub fn running(&self) -> usize {
        self.gateways
            .values()
            .filter(|gateway| gateway.is_running)
            .count()
    }

    pub fn stop(&mut self, number: usize) {
        self.gateways[&peer_address(number)].is_running = false;
    }
}

pub fn registration(gateway: &Gateway) -> Row {
    let write = gateway.directory.registration().expect("a registration");
    Row {
        key: write.row.key,
        value: write.value,
        version: 1,
    }
}
