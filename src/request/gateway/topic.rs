//! What a request is about, whether it is placed by that, and how long its answer took.

use std::time::{Duration, Instant, SystemTime};

use rand::Rng;
use sapphireford_platform::operator::RouteRecord;

use super::forward::RequestForwarder;
use crate::process::gateway::placement::Candidate;
use crate::process::gateway::server::{InFlightGuard, Server};
use crate::process::metrics;
use crate::process::slots::placement::hash_bytes;
use crate::process::topics::selection::select_by_topic;
use crate::process::topics::{RouteHash, TopicHash, TopicPlan};

/// Identifies a route by its host and its path prefix, which remain when its name changes.
fn route_hash(route: &RouteRecord) -> RouteHash {
    hash_bytes(format!("{}{}", route.host, route.path_prefix).as_bytes())
}

impl RequestForwarder {
    /// What the request is about; `None` if the route is not sticky, or if the request continues on
    /// the server that has its prefix.
    fn topic(&self, is_engine: bool) -> Option<TopicHash> {
        if !self.route.is_sticky {
            return None;
        }
        let call = &self.call;
        if !is_engine {
            let key = call.affinity_key.as_ref()?;
            return Some(hash_bytes(key.as_bytes()));
        }
        let continues = self.prefix_holder.is_some()
            || call.previous_turn_id.is_some()
            || call.last_event_id.is_some();
        // Without a budget, no gateway remembers which server has the prefix of the program. All its
        // turns go to the server that the hash of the program gives.
        let is_holder_remembered = call
            .program
            .as_ref()
            .is_none_or(|program| program.budget_tokens.is_some());
        // The last part is the request's own.
        let shared_parts = call.prompt.parts.split_last().map(|(_, shared)| shared)?;
        let topic = shared_parts.last()?.id;
        (!continues && is_holder_remembered).then_some(topic)
    }

    /// How the request is placed by its topic; `None` if it has none. It is planned once for all
    /// attempts.
    fn topic_plan(&self, is_engine: bool) -> Option<TopicPlan> {
        let topic = self.topic(is_engine)?;
        let plan = self.topic_plan.get_or_init(|| {
            let since_epoch = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
            let draw = rand::rng().random();
            let topics = &self.gateway.servers.topics;
            let route = route_hash(&self.route);
            if let Some(pays) = topics.take_decision(route) {
                self.report_decision(pays);
            }
            topics.plan(route, topic, draw, since_epoch)
        });
        Some(*plan)
    }

    fn report_decision(&self, pays: bool) {
        let name = &self.route.name;
        log::info!(route = name.as_str(), pays = pays; "placement by topic is decided for a route");
        let labels = [("route", name.clone())];
        ::metrics::gauge!(metrics::TOPIC_AFFINITY_PAYS, &labels).set(f64::from(pays));
    }

    /// Selects a server by the topic of the request. `None` if the request is to be placed as one
    /// without a topic.
    pub(super) fn select_by_topic(
        &self,
        is_engine: bool,
        candidates: &[Candidate<'_>],
        now: Instant,
    ) -> Option<usize> {
        let plan = self.topic_plan(is_engine)?;
        self.gateway.servers.request_loads(now);
        if !plan.is_by_topic {
            return None;
        }
        let tie_break_key = rand::rng().random();
        let select = |is_allowed: fn(&Candidate<'_>) -> bool| {
            select_by_topic(
                plan.topic,
                plan.share,
                tie_break_key,
                candidates,
                is_allowed,
            )
        };
        // Prompts that grow with each turn are kept within a failure domain, as those without a
        // topic are.
        let is_growing = is_engine && self.route.has_stored_history;
        let in_domain = is_growing.then(|| select(|candidate| candidate.is_same_domain));
        in_domain.flatten().or_else(|| select(|_| true))
    }

    /// Records the time to the first event or the answer of a server, once for each attempt.
    pub fn record_answer_time(&self, server: &Server, in_flight: &InFlightGuard) {
        if in_flight.record_end() {
            let now = Instant::now();
            let time = now.saturating_duration_since(self.attempt_started_at);
            let servers = &self.gateway.servers;
            servers.record_answer(server, route_hash(&self.route), time, now);
            self.record_topic_time(time);
        }
    }

    /// Records the time to the first event or the answer, if the request is compared. Times of later
    /// attempts say nothing about the server that was chosen first.
    fn record_topic_time(&self, time: Duration) {
        let group = self.topic_plan.get().and_then(|plan| plan.group);
        let is_first_attempt = self.tried_servers.is_empty();
        // The holder of the prefix is learned after the plan is made.
        let is_placed_as_planned = is_first_attempt && self.prefix_holder.is_none();
        if let Some(group) = group.filter(|_| is_placed_as_planned) {
            let topics = &self.gateway.servers.topics;
            topics.record_time(route_hash(&self.route), group, time);
        }
    }
}
