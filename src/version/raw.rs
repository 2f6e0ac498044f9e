//! Structure of a configuration document before validation.
//!
//! Unknown keys are rejected, so that a misspelt key is not silently ignored. Field names include
//! the unit. `docs/operators.md` lists the fields with their defaults.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::version::check::Problem;
use crate::version::merge::{MergedConfig, child_path};

/// A whole merged document.
#[derive(Debug, Default)]
pub struct RawConfig {
    /// By team id.
    pub teams: IndexMap<String, RawTeam>,
    /// By operator name.
    pub operators: IndexMap<String, RawOperator>,
    /// By model id.
    pub models: IndexMap<String, RawModel>,
    /// By backend server id.
    pub backend_servers: IndexMap<String, RawBackendServer>,
    /// By tool id.
    pub tools: IndexMap<String, RawTool>,
    /// By service name.
    pub services: IndexMap<String, RawService>,
    /// By program id.
    pub programs: IndexMap<String, RawProgram>,
    /// Limits that apply to all programs.
    pub limits: RawLimits,
    /// Policies for placing and queueing calls.
    pub policy: RawPolicy,
}

/// A team.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTeam {
    /// SHA-256 digest of the key as 64 hexadecimal digits.
    pub key_sha256: String,
    /// Relative share of the engines' capacity among the teams.
    #[serde(default = "one")]
    pub weight: u32,
}

/// An operator.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOperator {
    /// SHA-256 digest of the key as 64 hexadecimal digits.
    pub key_sha256: String,
}

/// A model.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawModel {
    /// Price of 1,000 prompt tokens.
    pub prompt_micros_per_1k_tokens: u64,
    /// Price of 1,000 generated tokens.
    pub output_micros_per_1k_tokens: u64,
    /// Size of the context window, prompt and output together.
    pub context_tokens: u32,
}

/// A backend server that is a model engine; the other settings call it an engine.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawBackendServer {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// The failure domain of its VM.
    pub failure_domain: String,
    /// The models that it serves.
    pub models: Vec<String>,
    /// Maximum number of calls in flight.
    pub max_concurrent_calls: u32,
    /// Capacity of its prefix cache in tokens.
    pub cache_tokens: u64,
    /// Whether it rejects orders with a stale fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// A tool.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawTool {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Maximum charge of one action.
    pub price_limit_micros: u64,
    /// Timeout of one action.
    pub time_limit_ms: u64,
    /// Whether an action can be retried without a second effect. It has no default, because a wrong
    /// one would either repeat a booking or give up on a harmless read.
    pub idempotent: bool,
    /// Whether the tool answers queries for the state of an action by its id.
    #[serde(default)]
    pub has_status_query: bool,
}

/// A plain service.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawService {
    /// Addresses of its servers.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of one call.
    pub time_limit_ms: u64,
    /// Matched in order; the first route whose method and path prefix match applies.
    #[serde(default)]
    pub routes: Vec<RawServiceRoute>,
}

/// A route of a plain service.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawServiceRoute {
    /// An HTTP method in upper case.
    pub method: String,
    /// Starts with a slash.
    pub path_prefix: String,
    /// Whether a call can be retried when its outcome is unknown.
    #[serde(default)]
    pub repeatable: bool,
}

/// Priority of a program's calls. The `fifo` queue ignores it; in the `least_service` queue, a call
/// that has waited for long may start ahead of calls with a higher priority.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawPriority {
    /// Served after the calls of the other priorities.
    Background,
    /// The default.
    #[default]
    Normal,
    /// Served before all others.
    Urgent,
}

/// A program.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawProgram {
    /// The team whose callers may run it.
    pub team: String,
    /// The model that its turns call.
    pub model: String,
    /// Maximum spending of one run, including its sub-agents.
    pub budget_micros: u64,
    /// The priority of its calls.
    #[serde(default)]
    pub priority: RawPriority,
    /// The tools that it may call.
    #[serde(default)]
    pub tools: Vec<String>,
    /// Maximum number of calls of one run.
    pub max_calls: u32,
    /// Maximum number of sub-agents of one run; 0 allows none.
    #[serde(default)]
    pub max_sub_agents: u32,
    /// Maximum nesting depth of sub-agents below the root run.
    #[serde(default)]
    pub max_depth: u32,
    /// Inserted before the history of each run.
    #[serde(default)]
    pub system_prompt: String,
}

/// Limits that apply to all programs.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawLimits {
    /// Maximum input size of one turn.
    pub input_bytes: usize,
    /// Maximum number of output tokens that one turn may request.
    pub output_tokens: u32,
    /// Maximum number of requests waiting for one run.
    pub waiting_per_run: usize,
    /// Maximum number of requests in flight on one entry.
    pub requests_per_entry: usize,
    /// Timeout of a call that waits for an engine.
    pub queue_time_ms: u64,
    /// Timeout between two consecutive tokens of a turn.
    pub token_gap_ms: u64,
    /// A root run is abandoned, that is ended, when it and its sub-agents have had no event for
    /// this long and have no call in flight.
    pub abandon_ms: u64,
    /// Interval between checks of an engine's cache for prefixes of ended programs.
    pub cache_check_ms: u64,
    /// Retry budget: retries allowed per 100 requests.
    pub retry_percent: u32,
}

impl Default for RawLimits {
    fn default() -> Self {
        Self {
            input_bytes: 1 << 20,
            output_tokens: 8_192,
            waiting_per_run: 16,
            requests_per_entry: 4_096,
            queue_time_ms: 30_000,
            token_gap_ms: 10_000,
            abandon_ms: 600_000,
            cache_check_ms: 60_000,
            retry_percent: 10,
        }
    }
}

/// How an engine is selected for a call.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawPlacement {
    /// Cycles through the engines.
    RoundRobin,
    /// Selects the engine with the lowest reported load.
    LeastLoad,
    /// Weighs the cached prefix against the current load.
    #[default]
    PrefixAndLoad,
}

/// The order in which waiting calls are served.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawQueue {
    /// First in, first out.
    Fifo,
    /// By priority, then running programs before new ones, then by weighted fair sharing between
    /// teams, then by the least service received by the program so far.
    #[default]
    LeastService,
}

/// Policies for placing and queueing calls.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawPolicy {
    /// How an engine is selected for a call.
    pub placement: RawPlacement,
    /// The order in which waiting calls are served.
    pub queue: RawQueue,
}

fn one() -> u32 {
    1
}

/// The top-level keys of a document.
const SECTIONS: &[&str] = &[
    "teams",
    "operators",
    "models",
    "backend_servers",
    "tools",
    "services",
    "programs",
    "limits",
    "policy",
];

impl RawConfig {
    /// Deserializes a merged document and appends every problem to `problems`. Items with a problem
    /// are left out of the result; invalid limits or policies are replaced by their defaults.
    pub fn parse(merged: &MergedConfig, problems: &mut Vec<Problem>) -> Self {
        let mut parser = Parser { merged, problems };
        parser.reject_unknown_sections();
        Self {
            teams: parser.parse_section("teams"),
            operators: parser.parse_section("operators"),
            models: parser.parse_section("models"),
            backend_servers: parser.parse_section("backend_servers"),
            tools: parser.parse_section("tools"),
            services: parser.parse_section("services"),
            programs: parser.parse_section("programs"),
            limits: parser.parse_item("limits"),
            policy: parser.parse_item("policy"),
        }
    }
}

struct Parser<'a> {
    merged: &'a MergedConfig,
    problems: &'a mut Vec<Problem>,
}

impl Parser<'_> {
    fn reject_unknown_sections(&mut self) {
        let Some(document) = self.merged.document.as_object() else {
            return;
        };
        for key in document.keys() {
            if !SECTIONS.contains(&key.as_str()) {
                let reason = format!("unknown section `{key}`");
                let action = format!("use one of {}", SECTIONS.join(", "));
                self.report_problem(child_path("", key), reason, action);
            }
        }
    }

    fn parse_section<T: DeserializeOwned>(&mut self, section: &str) -> IndexMap<String, T> {
        let mut items = IndexMap::new();
        let path = child_path("", section);
        match self.merged.document.get(section) {
            None => {}
            Some(Value::Object(object)) => {
                for (key, value) in object {
                    if let Some(item) = self.parse_value(&child_path(&path, key), value) {
                        items.insert(key.clone(), item);
                    }
                }
            }
            Some(_) => self.report_problem(
                path,
                "the section is not a JSON object".into(),
                "write it as an object with one member for each name".into(),
            ),
        }
        items
    }

    fn parse_item<T: DeserializeOwned + Default>(&mut self, section: &str) -> T {
        let value = self.merged.document.get(section);
        value
            .and_then(|value| self.parse_value(&child_path("", section), value))
            .unwrap_or_default()
    }

    fn parse_value<T: DeserializeOwned>(&mut self, path: &str, value: &Value) -> Option<T> {
        match T::deserialize(value) {
            Ok(item) => Some(item),
            Err(error) => {
                let reason = error.to_string();
                let path = invalid_member_path::<T>(path, value, &reason);
                let action = suggested_action(&reason);
                self.report_problem(path, reason, action.into());
                None
            }
        }
    }

    fn report_problem(&mut self, path: String, reason: String, action: String) {
        self.problems
            .push(Problem::new(self.merged, path, reason, action));
    }
}

/// Returns the path of the object member that cannot be deserialized, or `path` if it is not found.
///
/// Deserialization stops at the first invalid member, so removing any other member does not change
/// the error.
fn invalid_member_path<T: DeserializeOwned>(path: &str, value: &Value, reason: &str) -> String {
    let Some(object) = value.as_object() else {
        return path.to_string();
    };
    if reason.starts_with("missing field") {
        return path.to_string();
    }
    let is_invalid = |key: &&String| {
        let mut rest = object.clone();
        rest.remove(key.as_str());
        match T::deserialize(&Value::Object(rest)) {
            Ok(_) => true,
            Err(error) => error.to_string() != reason,
        }
    };
    match object.keys().find(is_invalid) {
        Some(key) => child_path(path, key),
        None => path.to_string(),
    }
}

fn suggested_action(reason: &str) -> &'static str {
    if reason.starts_with("unknown field") {
        "remove the key or correct its spelling"
    } else if reason.starts_with("missing field") {
        "add the field"
    } else {
        "write a value of the expected type"
    }
}
