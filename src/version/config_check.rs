//! Checks a configuration of the platform operators before it is sent: errors, entries that can
//! never match, limits that contradict each other, and the changes from another configuration.
//!
//! The findings never contain a key.

use std::fmt;

use indexmap::{IndexMap, IndexSet};
use sapphireford_platform::operator::{
    ConfigRecord, RouteKind, RouteRecord, ServiceRecord, TeamRecord,
};
use serde::Serialize;

use crate::version::key_digest::{MAX_KEY_BYTES, digest, is_valid_key};

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Gateways ignore a part of the configuration, or requests fail because of it.
    Error,
    /// The configuration works, but hardly as intended.
    Warning,
}

/// Something that is wrong with a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// The entry that it concerns, such as ``route `quotes` ``.
    pub subject: String,
    /// What is wrong, and what it leads to.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(formatter, "{severity}: {}: {}", self.subject, self.message)
    }
}

/// How an entry differs between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Change {
    /// Only the new configuration has the entry.
    Added(String),
    /// Only the old configuration has the entry.
    Removed(String),
    /// Both have the entry; the text says what differs.
    Changed(String, String),
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Added(subject) => write!(formatter, "+ {subject}"),
            Change::Removed(subject) => write!(formatter, "- {subject}"),
            Change::Changed(subject, detail) => write!(formatter, "~ {subject}: {detail}"),
        }
    }
}

#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn error(&mut self, subject: &str, message: impl Into<String>) {
        self.add(Severity::Error, subject, message);
    }

    fn warning(&mut self, subject: &str, message: impl Into<String>) {
        self.add(Severity::Warning, subject, message);
    }

    fn add(&mut self, severity: Severity, subject: &str, message: impl Into<String>) {
        self.0.push(Finding {
            severity,
            subject: subject.to_string(),
            message: message.into(),
        });
    }
}

/// Checks a decoded configuration; errors come first.
pub fn check(config: &ConfigRecord) -> Vec<Finding> {
    let mut findings = Findings::default();
    for skipped in &config.skipped {
        findings.error("configuration", format!("{skipped}; the entry is ignored"));
    }
    if config.routes.is_empty() {
        findings.error(
            "configuration",
            "it has no route, so every request gets 404",
        );
    }
    check_names(config, &mut findings);
    check_matches(config, &mut findings);
    for route in &config.routes {
        check_limits_of_route(route, &mut findings);
    }
    for service in &config.services {
        check_service(service, config, &mut findings);
    }
    if let Some(teams) = &config.teams {
        check_teams(teams, config, &mut findings);
    }
    findings
        .0
        .sort_by_key(|finding| finding.severity == Severity::Warning);
    findings.0
}

fn route_subject(route: &RouteRecord) -> String {
    match route.name.is_empty() {
        true => format!("route {}{}", route.host, route.path_prefix),
        false => format!("route `{}`", route.name),
    }
}

fn service_subject(service: &ServiceRecord) -> String {
    format!("service `{}`", service.name)
}

fn team_subject(team: &TeamRecord) -> String {
    format!("team `{}`", team.name)
}

fn check_names(config: &ConfigRecord, findings: &mut Findings) {
    let named_routes = config.routes.iter().filter(|route| !route.name.is_empty());
    let routes = named_routes.map(route_subject);
    let services = config.services.iter().map(service_subject);
    let teams = config.teams.iter().flatten().map(team_subject);
    let mut seen = IndexSet::new();
    for subject in routes.chain(services).chain(teams) {
        if !seen.insert(subject.clone()) {
            findings.error(&subject, "the name is used more than once");
        }
    }
}

/// Finds routes and targets that no request can reach.
fn check_matches(config: &ConfigRecord, findings: &mut Findings) {
    let mut first_by_prefix: IndexMap<(String, &str), String> = IndexMap::new();
    for route in &config.routes {
        let subject = route_subject(route);
        let prefix = route.path_prefix.as_str();
        if route.host.is_empty() {
            findings.warning(
                &subject,
                "the host is empty, so the route matches no request",
            );
        }
        if !prefix.starts_with('/') {
            let message = "the path prefix does not begin with a slash, so it matches no request";
            findings.warning(&subject, message);
        } else if !prefix.ends_with('/') {
            let message = "the path prefix does not end with a slash, so it also matches paths that \
                           go on with other characters";
            findings.warning(&subject, message);
        }
        let key = (route.host.to_ascii_lowercase(), prefix);
        match first_by_prefix.get(&key) {
            Some(first) => {
                let message = format!("{first} has the same host and path prefix and comes first");
                findings.warning(&subject, message);
            }
            None => {
                first_by_prefix.insert(key, subject.clone());
            }
        }
        check_targets(route, config, findings);
    }
}

fn check_targets(route: &RouteRecord, config: &ConfigRecord, findings: &mut Findings) {
    let subject = route_subject(route);
    let has_weight = route.targets.iter().any(|target| target.weight > 0.0);
    if !has_weight {
        findings.error(
            &subject,
            "no target has a weight above 0, so every request fails",
        );
    }
    for target in &route.targets {
        let name = &target.service;
        if !config.services.iter().any(|service| service.name == *name) {
            let message = format!("the service `{name}` does not exist");
            findings.error(&subject, message);
        } else if has_weight && target.weight <= 0.0 {
            let message = format!("the target `{name}` has no weight, so it gets no requests");
            findings.warning(&subject, message);
        }
    }
}

fn check_limits_of_route(route: &RouteRecord, findings: &mut Findings) {
    let subject = route_subject(route);
    let (timeout_ms, target_ms) = (route.timeout.as_millis(), route.target_latency.as_millis());
    if timeout_ms == 0 {
        findings.error(&subject, "the time-out is 0, so every request fails");
    } else if timeout_ms < target_ms {
        let message = format!(
            "the time-out of {timeout_ms} ms is below the target latency of {target_ms} ms"
        );
        findings.warning(&subject, message);
    } else if u128::from(route.max_attempts) * target_ms > timeout_ms {
        let attempts = route.max_attempts;
        let message = format!(
            "{attempts} attempts of {target_ms} ms each, the target latency, do not fit into the \
             time-out of {timeout_ms} ms"
        );
        findings.warning(&subject, message);
    }
    let is_stream = matches!(route.kind, RouteKind::Stream | RouteKind::ResumableStream);
    if route.has_stored_history && !is_stream {
        findings.warning(&subject, "only streaming routes store the history of turns");
    }
    if route.has_stored_history && route.retention.is_zero() {
        let message = "turns are stored with a retention of 0, so no turn can continue another";
        findings.warning(&subject, message);
    }
}

fn check_service(service: &ServiceRecord, config: &ConfigRecord, findings: &mut Findings) {
    let subject = service_subject(service);
    let mut targets = config.routes.iter().flat_map(|route| &route.targets);
    if !targets.any(|target| target.service == service.name) {
        findings.warning(&subject, "no route sends requests to it");
    }
    if service.max_connections == 0 {
        findings.error(&subject, "its servers accept no connections");
    }
    if let Some(engine) = &service.engine {
        if engine.slots == 0 {
            findings.error(&subject, "its engines have no slots");
        }
        if engine.cache_tokens == 0 {
            findings.warning(&subject, "its engines have no memory for tokens");
        }
    }
}

fn check_teams(teams: &[TeamRecord], config: &ConfigRecord, findings: &mut Findings) {
    let has_private_route = config.routes.iter().any(|route| !route.is_public);
    if has_private_route && teams.iter().all(|team| team.keys.is_empty()) {
        let message = "no team has a key, so every request for a route that is not public gets 401";
        findings.error("configuration", message);
    }
    let mut holders: IndexMap<[u8; 32], &str> = IndexMap::new();
    for team in teams {
        let subject = team_subject(team);
        if team.keys.is_empty() {
            findings.warning(&subject, "it has no key, so no request belongs to it");
        }
        for key in &team.keys {
            if !is_valid_key(key) {
                let message = format!(
                    "a key is empty, longer than {MAX_KEY_BYTES} bytes or not visible ASCII, so it \
                     identifies nobody"
                );
                findings.error(&subject, message);
            }
            match holders.insert(digest(key), &team.name) {
                Some(holder) if holder != team.name => {
                    let message = format!(
                        "it has a key in common with the team `{holder}`, which identifies neither"
                    );
                    findings.error(&subject, message);
                }
                Some(_) => findings.warning(&subject, "a key is there twice"),
                None => {}
            }
        }
        if let Some(limit) = &team.limit
            && limit.burst < 1.0
        {
            let message = "a burst below 1 never allows a whole request at once";
            findings.warning(&subject, message);
        }
    }
}

/// Lists what differs between the configuration in force and a new one.
pub fn changes(in_force: &ConfigRecord, new: &ConfigRecord) -> Vec<Change> {
    let mut changes = Vec::new();
    compare(&in_force.routes, &new.routes, route_subject, &mut changes);
    compare(
        &in_force.services,
        &new.services,
        service_subject,
        &mut changes,
    );
    let teams = |config: &ConfigRecord| config.teams.clone().unwrap_or_default();
    if in_force.teams.is_some() != new.teams.is_some() {
        let detail = match new.teams.is_some() {
            true => "requests now need keys",
            false => "requests no longer need keys",
        };
        let subject = "configuration".to_string();
        changes.push(Change::Changed(subject, detail.to_string()));
    }
    compare(&teams(in_force), &teams(new), team_subject, &mut changes);
    if in_force.idle_timeout != new.idle_timeout {
        let detail = format!(
            "idle time-out of callers {:?}, was {:?}",
            new.idle_timeout, in_force.idle_timeout
        );
        changes.push(Change::Changed("configuration".to_string(), detail));
    }
    changes
}

/// An entry of a configuration that can be compared with its form in another one.
trait Entry: PartialEq {
    /// Describes what differs from `old`. Keys are only counted.
    fn difference(&self, old: &Self) -> String;
}

impl Entry for RouteRecord {
    fn difference(&self, old: &Self) -> String {
        describe(&[
            ("host", &old.host, &self.host),
            ("path prefix", &old.path_prefix, &self.path_prefix),
            ("kind", &old.kind, &self.kind),
            ("time-out", &old.timeout, &self.timeout),
            ("target latency", &old.target_latency, &self.target_latency),
            ("priority", &old.priority, &self.priority),
            ("targets", &old.targets, &self.targets),
            ("attempts", &old.max_attempts, &self.max_attempts),
            ("sticky", &old.is_sticky, &self.is_sticky),
            ("public", &old.is_public, &self.is_public),
            ("history", &old.has_stored_history, &self.has_stored_history),
            ("retention", &old.retention, &self.retention),
        ])
    }
}

impl Entry for ServiceRecord {
    fn difference(&self, old: &Self) -> String {
        describe(&[
            ("connections", &old.max_connections, &self.max_connections),
            ("engine", &old.engine, &self.engine),
        ])
    }
}

impl Entry for TeamRecord {
    fn difference(&self, old: &Self) -> String {
        let added = self.keys.iter().filter(|key| !old.keys.contains(key));
        let removed = old.keys.iter().filter(|key| !self.keys.contains(key));
        let (added, removed) = (added.count(), removed.count());
        let mut detail = describe(&[
            ("priority", &old.priority, &self.priority),
            ("limit", &old.limit, &self.limit),
        ]);
        if added + removed > 0 {
            let separator = if detail.is_empty() { "" } else { ", " };
            detail.push_str(&format!(
                "{separator}{added} keys added, {removed} keys removed"
            ));
        }
        detail
    }
}

/// Describes the values that differ.
fn describe(fields: &[(&str, &dyn fmt::Debug, &dyn fmt::Debug)]) -> String {
    let changed = fields.iter().filter_map(|(name, old, new)| {
        let (old, new) = (format!("{old:?}"), format!("{new:?}"));
        (old != new).then(|| format!("{name} {new}, was {old}"))
    });
    changed.collect::<Vec<_>>().join(", ")
}

fn compare<T: Entry>(
    old: &[T],
    new: &[T],
    subject: impl Fn(&T) -> String,
    changes: &mut Vec<Change>,
) {
    let index = |entries| -> IndexMap<String, _> {
        let entries: std::slice::Iter<'_, T> = entries;
        entries.map(|entry| (subject(entry), entry)).collect()
    };
    let (old, new) = (index(old.iter()), index(new.iter()));
    for (name, entry) in &new {
        match old.get(name) {
            None => changes.push(Change::Added(name.clone())),
            Some(before) if before != entry => {
                changes.push(Change::Changed(name.clone(), entry.difference(before)));
            }
            Some(_) => {}
        }
    }
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    changes.extend(removed.cloned().map(Change::Removed));
}
