//! Selects the backend server of an attempt, from those that may take the request.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::Rng;
use sapphireford_platform::operator::RouteTarget;

use super::forward::RequestForwarder;
use super::record::{PlacementBasis, ServerChoice};
use super::retry;
use crate::process::gateway::allowance::{ProgramStage, RequestClass, request_class};
use crate::process::gateway::placement::{self, Candidate, LoadPermille, Prefix};
use crate::process::gateway::server::Server;
use crate::process::gateway::stream_origins::StreamOrigin;
use crate::process::slots::placement::hash_bytes;
use crate::version::route_table::choose_target;

/// Shortest delay after which a caller is told to come back because of a rate limit; shorter ones
/// are lost in the transfer.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(20);

/// Interval between the probes of one gateway at an excluded server, for each live gateway.
const PROBE_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(200);
/// Shortest interval between the probes of one gateway at an excluded server.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// A server that placement has selected, and the load that it estimated.
struct SelectedServer {
    server: Rc<Server>,
    load: LoadPermille,
    basis: PlacementBasis,
}

impl RequestForwarder {
    /// Chooses a server, and counts the request against the rate limit of the server. A server
    /// without allowance left is passed over for the next one.
    pub(super) async fn choose_permitted_server(&self) -> Option<Rc<Server>> {
        // A server that is passed over is not eligible for a while, so this ends.
        loop {
            let server = self.choose_server()?;
            let rate_limits = &self.gateway.rate_limits;
            let class = self.class_at(&server);
            if rate_limits.acquire(&server, class).await {
                return Some(server);
            }
            self.record
                .note(format!("{}: its rate limit is used up", &*server.id));
        }
    }

    /// Where the request is likely to begin; `None` if no server takes it.
    pub fn predict_origin(&self) -> Option<StreamOrigin> {
        let choice = self.select_server()?;
        Some(choice.server.stream_origin())
    }

    /// Chooses an untried server, and adds the choice to the record.
    fn choose_server(&self) -> Option<Rc<Server>> {
        let SelectedServer {
            server,
            load,
            basis,
        } = self.select_server()?;
        let now = Instant::now();
        let report_age = server.reported_load(now).map(|(_, age)| age);
        let speed_percent = server.speed_percent(now);
        if server.is_excluded() {
            // All gateways together send a few probes a second.
            let gateways = self.gateway.directory.live_count();
            let interval = PROBE_INTERVAL_PER_GATEWAY * gateways;
            server.start_probe(interval.max(MIN_PROBE_INTERVAL), now);
        }
        self.record.add_server(&ServerChoice {
            server_id: &server.id,
            version: &server.version(),
            load,
            speed_percent,
            report_age,
            basis,
            holds_prefix: self.prefix_holder.as_ref() == Some(&server.id),
        });
        Some(server)
    }

    /// The service that gets the request: that which began the stream, if the caller has events of
    /// it, otherwise one of the route's services, drawn by weight.
    fn select_target(&self) -> Option<&RouteTarget> {
        let targets = &self.route.targets;
        let Some(required) = self.origin.required() else {
            return choose_target(targets, rand::rng().random::<f64>());
        };
        let began_stream = |target: &&RouteTarget| {
            let servers = self.gateway.servers.for_service(&target.service);
            servers
                .iter()
                .any(|server| server.stream_origin() == required)
        };
        targets.iter().find(began_stream)
    }

    /// Selects an untried server that the stream may be sent to.
    fn select_server(&self) -> Option<SelectedServer> {
        let target = self.select_target()?;
        let service = self.routes.service(&target.service);
        let gateways = self.gateway.directory.live_count();
        let connections = service.map_or(u32::MAX, |service| service.max_connections);
        let connection_limit = (connections / gateways).max(1);
        let servers = self.gateway.servers.for_service(&target.service);
        let now = Instant::now();
        let is_engine = service.is_some_and(|service| service.engine.is_some());
        let can_record_origin = self.gateway.stream_origins.can_record();
        let mut is_rate_limited = false;
        let candidates = servers.iter().map(|server| {
            let registry = &self.gateway.servers;
            let mut candidate = registry.candidate(server, connection_limit, now);
            let is_exhausted = server.is_exhausted(self.class_at(server), now);
            is_rate_limited |= is_exhausted;
            let fits = || {
                self.origin
                    .allows(server.stream_origin(), can_record_origin)
            };
            candidate.is_eligible &= self.is_untried(server) && !is_exhausted && fits();
            candidate
        });
        let mut candidates: Vec<_> = candidates.collect();
        self.exclude_failing(&servers, &mut candidates, now);
        if is_engine && is_rate_limited {
            placement::exclude_loaded(&mut candidates, self.prefix_holder.is_some());
        }
        let by_topic = match is_engine {
            // Programs stay at the engine of their first turn, so few requests would decide its load.
            true => None,
            false => self.select_by_topic(&candidates, now),
        };
        let (chosen, basis) = if let Some(chosen) = by_topic {
            (Some(chosen), PlacementBasis::Topic)
        } else if is_engine {
            let prefix = Prefix {
                key: self.affinity_key(),
                holder: self.prefix_holder.as_deref(),
                is_growing: self.route.has_stored_history,
            };
            let chosen = placement::select_by_prefix(prefix, &candidates);
            (chosen, PlacementBasis::Prefix)
        } else {
            let chosen = placement::select_by_drawn_load(rand::rng().random(), &candidates);
            (chosen, PlacementBasis::Load)
        };
        let chosen = chosen?;
        Some(SelectedServer {
            server: servers[chosen].clone(),
            load: candidates[chosen].load,
            basis,
        })
    }

    /// Makes servers ineligible that are excluded because of their outcomes, unless no other one is
    /// eligible or a probe is due.
    fn exclude_failing(
        &self,
        servers: &[Rc<Server>],
        candidates: &mut [Candidate<'_>],
        now: Instant,
    ) {
        // A probe may fail, so only requests that can be sent again are used.
        let may_probe = retry::is_retryable(self.route.kind);
        let is_passed_over =
            |server: &Server| server.is_excluded() && !(may_probe && server.is_probe_due(now));
        let mut all = candidates.iter().zip(servers);
        if all.any(|(candidate, server)| candidate.is_eligible && !is_passed_over(server)) {
            for (candidate, server) in candidates.iter_mut().zip(servers) {
                candidate.is_eligible &= !is_passed_over(server);
            }
        }
    }

    /// The class of this request at a server with a rate limit.
    fn class_at(&self, server: &Server) -> RequestClass {
        let stage = match &self.prefix_holder {
            Some(holder) if *holder == server.id => ProgramStage::ContinuesHere,
            Some(_) => ProgramStage::ContinuesElsewhere,
            None => ProgramStage::Begins,
        };
        let class = request_class(self.route.priority, stage);
        match &self.routes.teams {
            Some(teams) => class.of_team(teams.priority_rank(self.caller.team.as_deref())),
            None => class,
        }
    }

    fn is_untried(&self, server: &Server) -> bool {
        !self.tried_servers.iter().any(|tried| tried.id == server.id)
    }

    /// The time until the caller should come back because an untried server has room again; `None`
    /// if no server of the route has used up its allowance.
    pub(super) fn schedule_return(&self) -> Option<Duration> {
        let now = Instant::now();
        let targets = self.route.targets.iter();
        let servers = targets.flat_map(|target| self.gateway.servers.for_service(&target.service));
        let untried = servers.filter(|server| self.is_untried(server));
        let returns = untried.filter_map(|server| {
            let at = server.return_time(self.class_at(&server), now)?;
            Some((at, server))
        });
        let (at, server) = returns.min_by_key(|(at, _)| *at)?;
        server.schedule_return(at);
        Some((at - now).max(MIN_RETURN_DELAY))
    }

    /// The key by which placement ranks servers. Requests with the same key are expected to share a
    /// prefix.
    fn affinity_key(&self) -> u64 {
        if let Some(program_id) = &self.ids.program_id {
            return hash_bytes(program_id.as_bytes());
        }
        if let Some(part) = self.call.prompt.parts.first() {
            return part.id;
        }
        let request_id = self.ids.turn_id.as_deref().unwrap_or_default();
        hash_bytes(request_id.as_bytes())
    }

    /// Whether the stream must continue at a software version that no server in service has.
    pub(super) fn is_origin_gone(&self) -> bool {
        let Some(required) = self.origin.required() else {
            return false;
        };
        let registry = &self.gateway.servers;
        let targets = self.route.targets.iter();
        let mut servers = targets.flat_map(|target| registry.for_service(&target.service));
        !servers.any(|server| server.stream_origin() == required && registry.is_in_service(&server))
    }
}
