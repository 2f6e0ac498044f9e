//! A checked configuration version.
//!
//! Values of these types satisfy the invariants that the comments name; they are made from raw
//! files by `TryFrom` and never changed afterwards. A request keeps the version it started with.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::ids::{
    BackendServerId, FailureDomainId, Micros, ModelId, ProgramId, TeamId, ToolId, VersionNumber,
};

/// A checked configuration version.
#[derive(Clone, Debug)]
pub struct Config {
    /// Grows by one with each accepted configuration; 0 before it is accepted.
    pub version: VersionNumber,
    /// The teams; no two have the same key.
    pub teams: IndexMap<TeamId, Team>,
    /// The operators; no two have the same key, and none has the key of a team.
    pub operators: IndexMap<Rc<str>, Operator>,
    /// The models.
    pub models: IndexMap<ModelId, Model>,
    /// The model engines; no two have the same address.
    pub backend_servers: IndexMap<BackendServerId, BackendServer>,
    /// The tools.
    pub tools: IndexMap<ToolId, Tool>,
    /// The plain services.
    pub services: IndexMap<Rc<str>, Service>,
    /// The programs. Every team, model and tool that they name exists.
    pub programs: IndexMap<ProgramId, Program>,
    /// Limits that hold for all programs.
    pub limits: Limits,
    /// How calls are placed and ordered.
    pub policy: Policy,
}

/// A team: the owner of conversations.
#[derive(Clone, Debug)]
pub struct Team {
    /// SHA-256 of the key that its callers present.
    pub key_sha256: [u8; 32],
    /// Share of the engines relative to other teams; at least 1.
    pub weight: u32,
}

/// A person who may operate the system.
#[derive(Clone, Debug)]
pub struct Operator {
    /// SHA-256 of the key that the operator presents.
    pub key_sha256: [u8; 32],
}

/// A model and its prices.
#[derive(Clone, Debug)]
pub struct Model {
    /// Price of 1,000 prompt tokens.
    pub prompt_micros_per_1k_tokens: Micros,
    /// Price of 1,000 generated tokens.
    pub output_micros_per_1k_tokens: Micros,
    /// Most tokens of prompt and output together; at least 1.
    pub context_tokens: u32,
}

/// A model engine.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
    /// The models that it serves; at least one.
    pub models: Vec<ModelId>,
    /// Calls that it may run at once; at least 1.
    pub max_concurrent_calls: u32,
    /// Tokens that its prefix cache holds; at least 1.
    pub cache_tokens: u64,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
}

/// A tool: a service whose calls are actions with a price.
#[derive(Clone, Debug)]
pub struct Tool {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// The most that one action may charge.
    pub price_limit_micros: Micros,
    /// Time for one action; longer than zero.
    pub timeout: Duration,
    /// Whether an action may be repeated without a second effect.
    pub idempotent: bool,
    /// Whether the tool tells the state of an action by its id.
    pub has_status_query: bool,
}

/// A plain service that requests are routed to.
#[derive(Clone, Debug)]
pub struct Service {
    /// Addresses of its servers; at least one.
    pub addresses: Vec<SocketAddr>,
    /// Time for one call; longer than zero.
    pub timeout: Duration,
    /// The routes, tried in order; the first whose method and path prefix match decides.
    pub routes: Vec<ServiceRoute>,
}

/// What may be done with the calls of one route of a service.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    /// An HTTP method in capitals.
    pub method: String,
    /// Starts with a slash.
    pub path_prefix: String,
    /// Whether a call may be repeated when its outcome is unknown.
    pub repeatable: bool,
}

/// How urgent a program is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Served when nothing else waits.
    Background,
    /// The usual case.
    Normal,
    /// Served first.
    Urgent,
}

/// A program that callers may run.
#[derive(Clone, Debug)]
pub struct Program {
    /// The team whose callers may run it.
    pub team_id: TeamId,
    /// The model that its turns call.
    pub model_id: ModelId,
    /// The most that one run may spend, its sub-agents included.
    pub budget_micros: Micros,
    /// How urgent its calls are.
    pub priority: Priority,
    /// The tools that it may call.
    pub tools: Vec<ToolId>,
    /// Most calls of one run; at least 1.
    pub max_calls: u32,
    /// Most sub-agents of one run.
    pub max_sub_agents: u32,
    /// Most levels of sub-agents below the first run.
    pub max_depth: u32,
    /// Text put before the history of each run; may be empty.
    pub system_prompt: Rc<str>,
}

/// Limits that hold for all programs.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Longest input of one turn; at least 1.
    pub input_bytes: usize,
    /// Most output tokens that one turn may ask for; at least 1.
    pub output_tokens: u32,
    /// Requests that may wait for one run; at least 1.
    pub waiting_per_run: usize,
    /// Requests in progress on one entry; at least 1.
    pub requests_per_entry: usize,
    /// Longest time a call waits for an engine; longer than zero.
    pub queue_timeout: Duration,
    /// Longest time from one token to the next; longer than zero.
    pub token_timeout: Duration,
    /// A run without requests for this time is abandoned; longer than zero.
    pub abandon_timeout: Duration,
    /// Pause between two checks of an engine's cache for prefixes of ended programs; longer than
    /// zero.
    pub cache_check_interval: Duration,
    /// Retries for every 100 requests.
    pub retry_percent: u32,
}

/// How calls are placed on engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementKind {
    /// Each engine in turn; a baseline.
    RoundRobin,
    /// The engine that reported the least load; a baseline.
    LeastLoad,
    /// Cached prefix weighed against the present load.
    PrefixAndLoad,
}

/// The order in which waiting calls are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueKind {
    /// First come, first served; a baseline.
    Fifo,
    /// By priority, then the program that received least service.
    LeastService,
}

/// How calls are placed and ordered.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// The choice of an engine.
    pub placement: PlacementKind,
    /// The order of the waiting calls.
    pub queue: QueueKind,
}
