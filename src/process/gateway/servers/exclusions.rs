//! Keeps what callers got from the servers, tells it to other gateways, and excludes the servers that
//! [`outcomes`](super::super::outcomes) selects.

use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::Servers;
use crate::process::gateway::outcomes::{
    ReportedOutcomes, ServerOutcomes, SharedOutcomes, select_excluded,
};
use crate::process::gateway::server::Server;
use crate::process::topics::RouteHash;

/// Most servers in one message whose outcomes are told.
const MAX_SHARED_OUTCOMES: usize = 64;

impl Servers {
    /// Records the time to the first event or the answer of a server.
    pub fn record_answer(&self, server: &Server, route: RouteHash, time: Duration, now: Instant) {
        let is_usual = self.usual_times.borrow_mut().record(route, time);
        server.record_outcome(is_usual, now);
    }

    /// Excludes the servers whose outcomes are bad, and ends the exclusion of the others.
    pub(super) fn update_exclusions(&self, now: Instant) {
        let by_id = self.by_id.borrow();
        let mut by_service: IndexMap<String, Vec<&Rc<Server>>> = IndexMap::new();
        for server in by_id.values() {
            server.outcomes.borrow_mut().forget_old(now);
            let service = server.record.borrow().service.clone();
            by_service.entry(service).or_default().push(server);
        }
        for servers in by_service.values() {
            let is_excluded = |server: &&Rc<Server>| server.is_excluded();
            let is_suspected = |server: &&Rc<Server>| server.outcomes.borrow().is_suspected();
            if !servers.iter().any(is_excluded) && !servers.iter().any(is_suspected) {
                continue;
            }
            let outcomes: Vec<_> = servers
                .iter()
                .map(|server| server.outcomes.borrow())
                .collect();
            let outcomes: Vec<&ServerOutcomes> = outcomes.iter().map(|counts| &**counts).collect();
            let excluded = select_excluded(&outcomes);
            for (index, server) in servers.iter().enumerate() {
                server.set_excluded(excluded.contains(&index), now);
            }
        }
    }

    /// The outcomes at suspected servers that this gateway has seen, to be told to its peers.
    pub(super) fn shared_outcomes(&self) -> ReportedOutcomes {
        let by_id = self.by_id.borrow();
        let suspected = by_id.values().filter_map(|server| {
            let outcomes = server.outcomes.borrow();
            outcomes.is_suspected().then(|| SharedOutcomes {
                server_id: server.id.to_string(),
                counts: outcomes.own(),
            })
        });
        ReportedOutcomes {
            reporter: self.reporter,
            by_server: suspected.take(MAX_SHARED_OUTCOMES).collect(),
        }
    }

    /// Adopts what another gateway has seen.
    pub(super) fn merge_outcomes(&self, reported: &ReportedOutcomes, now: Instant) {
        let by_id = self.by_id.borrow();
        for told in &reported.by_server {
            if let Some(server) = by_id.get(told.server_id.as_str()) {
                let mut outcomes = server.outcomes.borrow_mut();
                outcomes.merge(reported.reporter, told.counts, now);
            }
        }
    }
}
