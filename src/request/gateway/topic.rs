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
    /// What the request is about; `None` if it does not say so, or if the route is not sticky.
    fn topic(&self) -> Option<TopicHash> {
        let key = self.call.affinity_key.as_ref()?;
        let topic = hash_bytes(key.as_bytes());
        self.route.is_sticky.then_some(topic)
    }

    /// How the request is placed by its topic; `None` if it has none. It is planned once for all
    /// attempts.
    fn topic_plan(&self) -> Option<TopicPlan> {
        let topic = self.topic()?;
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

    /// Selects a server of a plain service by the topic of the request. `None` if the request is to be
    /// placed as one without a topic.
    pub(super) fn select_by_topic(
        &self,
        candidates: &[Candidate<'_>],
        now: Instant,
    ) -> Option<usize> {
        let plan = self.topic_plan()?;
        self.gateway.servers.request_loads(now);
        if !plan.is_by_topic {
            return None;
        }
        let tie_break_key = rand::rng().random();
        select_by_topic(plan.topic, plan.share, tie_break_key, candidates)
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
        if let Some(group) = group.filter(|_| is_first_attempt) {
            let topics = &self.gateway.servers.topics;
            topics.record_time(route_hash(&self.route), group, time);
        }
    }
}
