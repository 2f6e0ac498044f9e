//! Validates a merged document and builds a [`Config`] from it.
//!
//! One pass reports all problems of a document, each with its file, the path inside the file, the
//! reason and a corrective action.

use std::fmt;
use std::hash::Hash;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use crate::version::config::{
    BackendServer, Config, Limits, Model, Operator, PlacementKind, Policy, Priority, Program,
    QueueKind, Service, ServiceRoute, Team, Tool,
};
use crate::version::key_digest::decode_hex;
use crate::version::merge::{MergedConfig, child_path};
use crate::version::raw::{
    RawBackendServer, RawConfig, RawLimits, RawModel, RawOperator, RawPlacement, RawPolicy,
    RawPriority, RawProgram, RawQueue, RawService, RawTeam, RawTool,
};

/// The result of validating a document.
pub type Result<T> = std::result::Result<T, CheckError>;

/// A value that failed validation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Problem {
    /// The file that set the value; `None` if unknown.
    pub file: Option<String>,
    /// A JSON pointer to the value.
    pub path: String,
    /// Why the value is invalid.
    pub reason: String,
    /// How to correct the value.
    pub action: String,
}

impl Problem {
    /// Creates a problem and looks up the file that set the value at `path`.
    pub fn new(merged: &MergedConfig, path: String, reason: String, action: String) -> Self {
        Self {
            file: merged.file_of(&path).map(str::to_string),
            path,
            reason,
            action,
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(file) = &self.file {
            write!(formatter, "{file}: ")?;
        }
        write!(formatter, "{}: {}; {}", self.path, self.reason, self.action)
    }
}

/// The problems of an invalid document.
#[derive(Clone, Debug)]
pub struct CheckError {
    /// Never empty; in the order in which they were found.
    pub problems: Vec<Problem>,
}

impl fmt::Display for CheckError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "the configuration is not valid")?;
        for problem in &self.problems {
            write!(formatter, "\n  {problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for CheckError {}

impl TryFrom<&MergedConfig> for Config {
    type Error = CheckError;

    /// Sets the version to 0, because the document does not contain a version number.
    fn try_from(merged: &MergedConfig) -> Result<Self> {
        let mut problems = Vec::new();
        let raw = RawConfig::parse(merged, &mut problems);
        let mut checker = Checker { merged, problems };
        let names = DefinedNames::new(merged);
        let config = checker.check_config(&raw, &names);
        match checker.problems.is_empty() {
            true => Ok(config),
            false => Err(CheckError {
                problems: checker.problems,
            }),
        }
    }
}

/// Maximum duration that a configuration may set, so that computing a deadline cannot overflow.
const MAX_DURATION_MS: u64 = 30 * 24 * 3_600 * 1_000;

/// The names that a document defines. Invalid items and sections count as defined, so that one
/// error is not reported again for every reference to the item.
struct DefinedNames<'a> {
    merged: &'a MergedConfig,
}

impl<'a> DefinedNames<'a> {
    fn new(merged: &'a MergedConfig) -> Self {
        Self { merged }
    }

    fn is_defined(&self, section: &str, name: &str) -> bool {
        match self.merged.document.get(section) {
            None => false,
            Some(Value::Object(section)) => section.contains_key(name),
            Some(_) => true,
        }
    }
}

struct Checker<'a> {
    merged: &'a MergedConfig,
    problems: Vec<Problem>,
}

impl Checker<'_> {
    fn check_config(&mut self, raw: &RawConfig, names: &DefinedNames) -> Config {
        let config = Config {
            version: 0,
            teams: self.check_section("teams", &raw.teams, Self::check_team),
            operators: self.check_section("operators", &raw.operators, Self::check_operator),
            models: self.check_section("models", &raw.models, Self::check_model),
            backend_servers: self.check_section("backend_servers", &raw.backend_servers, {
                |checker, path, raw| checker.check_backend_server(path, raw, names)
            }),
            tools: self.check_section("tools", &raw.tools, Self::check_tool),
            services: self.check_section("services", &raw.services, Self::check_service),
            programs: self.check_section("programs", &raw.programs, {
                |checker, path, raw| checker.check_program(path, raw, names)
            }),
            limits: self.check_limits(&raw.limits),
            policy: convert_policy(&raw.policy),
        };
        self.check_unique_keys(&config);
        self.check_unique_addresses(&config);
        config
    }

    fn check_section<R, T>(
        &mut self,
        section: &str,
        raw: &IndexMap<String, R>,
        check: impl Fn(&mut Self, &str, &R) -> T,
    ) -> IndexMap<Rc<str>, T> {
        let mut items = IndexMap::new();
        for (name, raw) in raw {
            let path = child_path(&child_path("", section), name);
            self.check_id(&path, name);
            items.insert(name.as_str().into(), check(self, &path, raw));
        }
        items
    }

    fn check_team(&mut self, path: &str, raw: &RawTeam) -> Team {
        self.check_at_least_one(path, "weight", raw.weight.into());
        Team {
            key_sha256: self.parse_key_digest(path, &raw.key_sha256),
            weight: raw.weight,
        }
    }

    fn check_operator(&mut self, path: &str, raw: &RawOperator) -> Operator {
        Operator {
            key_sha256: self.parse_key_digest(path, &raw.key_sha256),
        }
    }

    fn check_model(&mut self, path: &str, raw: &RawModel) -> Model {
        self.check_at_least_one(path, "context_tokens", raw.context_tokens.into());
        Model {
            prompt_micros_per_1k_tokens: raw.prompt_micros_per_1k_tokens,
            output_micros_per_1k_tokens: raw.output_micros_per_1k_tokens,
            context_tokens: raw.context_tokens,
        }
    }

    fn check_backend_server(
        &mut self,
        path: &str,
        raw: &RawBackendServer,
        names: &DefinedNames,
    ) -> BackendServer {
        self.check_id(&child_path(path, "failure_domain"), &raw.failure_domain);
        self.check_not_empty(path, "models", raw.models.len());
        self.check_references(path, "models", &raw.models, names);
        let calls = raw.max_concurrent_calls.into();
        self.check_at_least_one(path, "max_concurrent_calls", calls);
        self.check_at_least_one(path, "cache_tokens", raw.cache_tokens);
        BackendServer {
            address: raw.address,
            failure_domain: raw.failure_domain.as_str().into(),
            models: to_ids(&raw.models),
            max_concurrent_calls: raw.max_concurrent_calls,
            cache_tokens: raw.cache_tokens,
            checks_fencing: raw.checks_fencing,
        }
    }

    fn check_tool(&mut self, path: &str, raw: &RawTool) -> Tool {
        Tool {
            address: raw.address,
            price_limit_micros: raw.price_limit_micros,
            timeout: self.check_duration(path, "time_limit_ms", raw.time_limit_ms),
            idempotent: raw.idempotent,
            has_status_query: raw.has_status_query,
        }
    }

    fn check_service(&mut self, path: &str, raw: &RawService) -> Service {
        self.check_not_empty(path, "addresses", raw.addresses.len());
        let mut routes = Vec::new();
        for route in &raw.routes {
            let path = child_path(path, "routes");
            let method = &route.method;
            if method.is_empty() || !method.chars().all(|c| c.is_ascii_uppercase()) {
                let reason = format!("`{method}` is not an HTTP method in upper case");
                self.report_problem(path.clone(), reason, "write a method such as GET");
            }
            if !route.path_prefix.starts_with('/') {
                let reason = format!(
                    "the path prefix `{}` does not start with a slash",
                    route.path_prefix
                );
                self.report_problem(path, reason, "add a slash at the start");
            }
            routes.push(ServiceRoute {
                method: method.clone(),
                path_prefix: route.path_prefix.clone(),
                repeatable: route.repeatable,
            });
        }
        Service {
            addresses: raw.addresses.clone(),
            timeout: self.check_duration(path, "time_limit_ms", raw.time_limit_ms),
            routes,
        }
    }

    fn check_program(&mut self, path: &str, raw: &RawProgram, names: &DefinedNames) -> Program {
        self.check_reference(path, "team", "teams", &raw.team, names);
        self.check_reference(path, "model", "models", &raw.model, names);
        self.check_references(path, "tools", &raw.tools, names);
        self.check_at_least_one(path, "budget_micros", raw.budget_micros);
        self.check_at_least_one(path, "max_calls", raw.max_calls.into());
        Program {
            team_id: raw.team.as_str().into(),
            model_id: raw.model.as_str().into(),
            budget_micros: raw.budget_micros,
            priority: convert_priority(raw.priority),
            tools: to_ids(&raw.tools),
            max_calls: raw.max_calls,
            max_sub_agents: raw.max_sub_agents,
            max_depth: raw.max_depth,
            system_prompt: raw.system_prompt.as_str().into(),
        }
    }

    fn check_limits(&mut self, raw: &RawLimits) -> Limits {
        let path = "/limits";
        self.check_at_least_one(path, "input_bytes", raw.input_bytes as u64);
        self.check_at_least_one(path, "output_tokens", raw.output_tokens.into());
        self.check_at_least_one(path, "waiting_per_run", raw.waiting_per_run as u64);
        self.check_at_least_one(path, "requests_per_entry", raw.requests_per_entry as u64);
        if raw.retry_percent > 100 {
            let reason = format!("{} is more than 100 percent", raw.retry_percent);
            let path = child_path(path, "retry_percent");
            self.report_problem(path, reason, "write a number from 0 to 100");
        }
        Limits {
            input_bytes: raw.input_bytes,
            output_tokens: raw.output_tokens,
            waiting_per_run: raw.waiting_per_run,
            requests_per_entry: raw.requests_per_entry,
            queue_timeout: self.check_duration(path, "queue_time_ms", raw.queue_time_ms),
            token_timeout: self.check_duration(path, "token_gap_ms", raw.token_gap_ms),
            abandon_timeout: self.check_duration(path, "abandon_ms", raw.abandon_ms),
            cache_check_interval: self.check_duration(path, "cache_check_ms", raw.cache_check_ms),
            retry_percent: raw.retry_percent,
        }
    }

    /// Each key must identify exactly one team or operator, because a request carries no other
    /// credential.
    fn check_unique_keys(&mut self, config: &Config) {
        let teams = config.teams.iter();
        let teams = teams.map(|(name, team)| ("teams", name, team.key_sha256));
        let operators = config.operators.iter();
        let operators = operators.map(|(name, operator)| ("operators", name, operator.key_sha256));
        let keys = teams.chain(operators).map(|(section, name, key)| {
            let path = child_path(&child_path("", section), name);
            (child_path(&path, "key_sha256"), key)
        });
        // An invalid key was parsed as all zeros and has already been reported.
        let keys = keys.filter(|(_, key)| *key != [0; 32]);
        self.check_unique(
            keys,
            "key",
            "generate a new key with `sapphireford-admin key`",
        );
    }

    fn check_unique_addresses(&mut self, config: &Config) {
        let addresses = config.backend_servers.iter().map(|(name, server)| {
            let path = child_path("/backend_servers", name);
            (child_path(&path, "address"), server.address)
        });
        self.check_unique(
            addresses,
            "address",
            "give each backend server its own address",
        );
    }

    fn check_unique<T: Eq + Hash>(
        &mut self,
        values: impl Iterator<Item = (String, T)>,
        value_name: &str,
        action: &str,
    ) {
        let mut seen: IndexMap<T, String> = IndexMap::new();
        for (path, value) in values {
            match seen.get(&value) {
                Some(first) => {
                    let reason = format!("the {value_name} is the same as that of {first}");
                    self.report_problem(path, reason, action);
                }
                None => {
                    seen.insert(value, path);
                }
            }
        }
    }

    fn check_id(&mut self, path: &str, id: &str) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if id.is_empty() || !id.chars().all(allowed) {
            let reason = format!("the name `{id}` is empty or contains invalid characters");
            let action = "use letters, digits, `-`, `_` and `.` only";
            self.report_problem(path.to_string(), reason, action);
        }
    }

    fn parse_key_digest(&mut self, path: &str, text: &str) -> [u8; 32] {
        let key = decode_hex(text).filter(|key| *key != [0; 32]);
        if key.is_none() {
            let reason = "the value is not a SHA-256 digest of 64 hexadecimal digits".to_string();
            let action = "copy the key_sha256 that `sapphireford-admin key` prints";
            self.report_problem(child_path(path, "key_sha256"), reason, action);
        }
        key.unwrap_or_default()
    }

    fn check_references(&mut self, path: &str, field: &str, ids: &[String], names: &DefinedNames) {
        for (index, id) in ids.iter().enumerate() {
            self.check_reference(path, field, field, id, names);
            if ids[..index].contains(id) {
                let reason = format!("`{id}` is listed twice");
                self.report_problem(child_path(path, field), reason, "list it once");
            }
        }
    }

    fn check_reference(
        &mut self,
        path: &str,
        field: &str,
        section: &str,
        id: &str,
        names: &DefinedNames,
    ) {
        if !names.is_defined(section, id) {
            let reason = format!("`{id}` is not defined in the section `{section}`");
            let action = "define it there or correct the name";
            self.report_problem(child_path(path, field), reason, action);
        }
    }

    fn check_not_empty(&mut self, path: &str, field: &str, count: usize) {
        if count == 0 {
            let reason = "the list is empty".to_string();
            self.report_problem(child_path(path, field), reason, "list at least one");
        }
    }

    fn check_at_least_one(&mut self, path: &str, field: &str, value: u64) {
        if value == 0 {
            let reason = "the value is 0".to_string();
            self.report_problem(child_path(path, field), reason, "write at least 1");
        }
    }

    fn check_duration(&mut self, path: &str, field: &str, millis: u64) -> Duration {
        if millis == 0 || millis > MAX_DURATION_MS {
            let reason = format!("{millis} ms is out of range");
            let action = "write a number from 1 to 2592000000, which is 30 days";
            self.report_problem(child_path(path, field), reason, action);
        }
        Duration::from_millis(millis)
    }

    fn report_problem(&mut self, path: String, reason: String, action: &str) {
        let problem = Problem::new(self.merged, path, reason, action.to_string());
        self.problems.push(problem);
    }
}

fn convert_policy(raw: &RawPolicy) -> Policy {
    Policy {
        placement: match raw.placement {
            RawPlacement::RoundRobin => PlacementKind::RoundRobin,
            RawPlacement::LeastLoad => PlacementKind::LeastLoad,
            RawPlacement::PrefixAndLoad => PlacementKind::PrefixAndLoad,
        },
        queue: match raw.queue {
            RawQueue::Fifo => QueueKind::Fifo,
            RawQueue::LeastService => QueueKind::LeastService,
        },
    }
}

fn convert_priority(raw: RawPriority) -> Priority {
    match raw {
        RawPriority::Background => Priority::Background,
        RawPriority::Normal => Priority::Normal,
        RawPriority::Urgent => Priority::Urgent,
    }
}

fn to_ids(names: &[String]) -> Vec<Rc<str>> {
    names.iter().map(|name| name.as_str().into()).collect()
}
