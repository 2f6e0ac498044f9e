//! A validated configuration version.
//!
//! Values of these types satisfy the invariants stated on their fields. They are built from a
//! merged document by `TryFrom` and are immutable. A request uses the version that was in force
//! when it started until it ends.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::{
    BackendServerId, FailureDomainId, Micros, ModelId, ProgramId, TeamId, ToolId, VersionNumber,
};

/// A validated configuration version.
#[derive(Clone, Debug)]
pub struct Config {
    /// Incremented by one with each accepted configuration; 0 until this one is accepted.
    pub version: VersionNumber,
    /// By team id. Keys are unique.
    pub teams: IndexMap<TeamId, Team>,
    /// By operator name. Keys are unique, also among the keys of the teams.
    pub operators: IndexMap<Rc<str>, Operator>,
    /// By model id.
    pub models: IndexMap<ModelId, Model>,
    /// The model engines by backend server id. Addresses are unique.
    pub backend_servers: IndexMap<BackendServerId, BackendServer>,
    /// By tool id.
    pub tools: IndexMap<ToolId, Tool>,
    /// The plain services by name.
    pub services: IndexMap<Rc<str>, Service>,
    /// By program id. Every team, model and tool that a program refers to exists.
    pub programs: IndexMap<ProgramId, Program>,
    /// Limits that apply to all programs.
    pub limits: Limits,
    /// Policies for placing and queueing calls.
    pub policy: Policy,
}

/// A team, which owns conversations.
#[derive(Clone, Debug)]
pub struct Team {
    /// SHA-256 digest of the key that its callers send as bearer token.
    pub key_sha256: [u8; 32],
    /// Relative share of the engines' capacity among the teams; at least 1.
    pub weight: u32,
}

/// A person who may use the operators' interface.
#[derive(Clone, Debug)]
pub struct Operator {
    /// SHA-256 digest of the key that the operator sends as bearer token.
    pub key_sha256: [u8; 32],
}

/// A model and its prices.
#[derive(Clone, Debug)]
pub struct Model {
    /// Price of 1,000 prompt tokens.
    pub prompt_micros_per_1k_tokens: Micros,
    /// Price of 1,000 generated tokens.
    pub output_micros_per_1k_tokens: Micros,
    /// Size of the context window, prompt and output together; at least 1.
    pub context_tokens: u32,
}

/// A backend server that is a model engine; the other settings call it an engine.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// The failure domain of its VM.
    pub failure_domain: FailureDomainId,
    /// The models that it serves; at least one.
    pub models: Vec<ModelId>,
    /// Maximum number of calls in flight; at least 1.
    pub max_concurrent_calls: u32,
    /// Capacity of its prefix cache in tokens; at least 1.
    pub cache_tokens: u64,
    /// Whether it rejects orders with a stale fencing number.
    pub checks_fencing: bool,
}

/// A tool: a service whose calls are actions that may charge the run's budget.
#[derive(Clone, Debug)]
pub struct Tool {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Maximum charge of one action.
    pub price_limit_micros: Micros,
    /// Timeout of one action; greater than zero.
    pub timeout: Duration,
    /// Whether an action can be retried without a second effect.
    pub idempotent: bool,
    /// Whether the tool answers queries for the state of an action by its id.
    pub has_status_query: bool,
}

/// A plain service that requests are routed to.
#[derive(Clone, Debug)]
pub struct Service {
    /// Addresses of its servers; at least one.
    pub addresses: Vec<SocketAddr>,
    /// Timeout of one call; greater than zero.
    pub timeout: Duration,
    /// Matched in order; the first route whose method and path prefix match applies.
    pub routes: Vec<ServiceRoute>,
}

/// A route of a service, which states whether its calls can be retried.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    /// An HTTP method in upper case.
    pub method: String,
    /// Starts with a slash.
    pub path_prefix: String,
    /// Whether a call can be retried when its outcome is unknown.
    pub repeatable: bool,
}

/// Priority of a program's calls. The order of the variants is the order of the priorities. The
/// `fifo` queue ignores it; in the `least_service` queue, a call that has waited for long may start
/// ahead of calls with a higher priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Served after the calls of the other priorities.
    Background,
    /// The default.
    Normal,
    /// Served before all others.
    Urgent,
}

/// A program that callers may run.
#[derive(Clone, Debug)]
pub struct Program {
    /// The team whose callers may run it.
    pub team_id: TeamId,
    /// The model that its turns call.
    pub model_id: ModelId,
    /// Maximum spending of one run, including its sub-agents.
    pub budget_micros: Micros,
    /// The priority of its calls.
    pub priority: Priority,
    /// The tools that it may call.
    pub tools: Vec<ToolId>,
    /// Maximum number of calls of one run; at least 1.
    pub max_calls: u32,
    /// Maximum number of sub-agents of one run; 0 allows none.
    pub max_sub_agents: u32,
    /// Maximum nesting depth of sub-agents below the root run.
    pub max_depth: u32,
    /// Inserted before the history of each run; may be empty.
    pub system_prompt: Rc<str>,
}

/// Limits that apply to all programs.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum input size of one turn; at least 1.
    pub input_bytes: usize,
    /// Maximum number of output tokens that one turn may request; at least 1.
    pub output_tokens: u32,
    /// Maximum number of requests waiting for one run; at least 1.
    pub waiting_per_run: usize,
    /// Maximum number of requests in flight on one entry; at least 1.
    pub requests_per_entry: usize,
    /// Timeout of a call that waits for an engine; greater than zero.
    pub queue_timeout: Duration,
    /// Timeout between two consecutive tokens of a turn; greater than zero.
    pub token_timeout: Duration,
    /// A root run is abandoned, that is ended, when it and its sub-agents have had no event for
    /// this long and have no call in flight; greater than zero.
    pub abandon_timeout: Duration,
    /// Interval between checks of an engine's cache for prefixes of ended programs; greater than
    /// zero.
    pub cache_check_interval: Duration,
    /// Retry budget: retries allowed per 100 requests; at most 100.
    pub retry_percent: u32,
}

/// How an engine is selected for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementKind {
    /// Cycles through the engines; a baseline for comparison.
    RoundRobin,
    /// Selects the engine with the lowest reported load; a baseline for comparison.
    LeastLoad,
    /// Weighs the cached prefix against the current load.
    PrefixAndLoad,
}

/// The order in which waiting calls are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueKind {
    /// First in, first out; a baseline for comparison.
    Fifo,
    /// By priority, then running programs before new ones, then by weighted fair sharing between
    /// teams, then by the least service received by the program so far.
    LeastService,
}

/// Policies for placing and queueing calls.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// How an engine is selected for a call.
    pub placement: PlacementKind,
    /// The order in which waiting calls are served.
    pub queue: QueueKind,
}
