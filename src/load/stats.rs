//! The counters that engines and tools report with `GET /stats`.
//!
//! The answer is a JSON object with integer counters. Fields that this program does not know are
//! kept and reported.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::{Map, Value};

use crate::connection::http_client::{ClientError, HttpClient};

/// The result of reading counters.
pub type Result<T> = std::result::Result<T, ClientError>;

const STATS_TIME: Duration = Duration::from_secs(5);
const STATS_LIMIT_BYTES: usize = 64 << 20;
/// The field of a tool that counts executions by idempotency key.
const EXECUTIONS_BY_KEY: &str = "executions_by_key";

/// The counters of one server before and after a run.
#[derive(Clone, Debug, Serialize)]
pub struct ServerStats {
    /// The server.
    pub address: SocketAddr,
    /// The growth of each integer counter; `null` if the server was not read twice.
    pub growth: Option<IndexMap<String, i64>>,
    /// Why the server was not read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
    /// Prompt tokens that an engine computed, if it reports them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub recomputed_tokens: Option<i64>,
    /// Prompt tokens that an engine had in its cache, if it reports them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cached_tokens: Option<i64>,
    /// All fields after the run, without the executions by key.
    pub after: Map<String, Value>,
    /// Executions by key during the run.
    #[serde(skip)]
    executions: Option<IndexMap<String, u64>>,
}

impl ServerStats {
    /// Compares two answers.
    pub fn compare(
        address: SocketAddr,
        before: Map<String, Value>,
        mut after: Map<String, Value>,
    ) -> Self {
        let executions = executions(&before, &after);
        after.remove(EXECUTIONS_BY_KEY);
        let growth: IndexMap<String, i64> = after
            .iter()
            .filter_map(|(name, value)| {
                let earlier = before.get(name).and_then(Value::as_i64).unwrap_or(0);
                Some((name.clone(), value.as_i64()? - earlier))
            })
            .collect();
        let counter = |name: &str| growth.get(name).copied();
        let cached_tokens = counter("cached_tokens");
        let computed = || Some(counter("prompt_tokens")? - cached_tokens?);
        Self {
            address,
            recomputed_tokens: counter("recomputed_tokens").or_else(computed),
            cached_tokens,
            growth: Some(growth),
            error: None,
            after,
            executions,
        }
    }

    /// The stats of a server that did not answer.
    pub fn unread(address: SocketAddr, error: &ClientError) -> Self {
        Self {
            address,
            growth: None,
            error: Some(crate::error::chain(error)),
            recomputed_tokens: None,
            cached_tokens: None,
            after: Map::new(),
            executions: None,
        }
    }

    /// How often each idempotency key was executed during the run, if the server counts it.
    pub fn executions_during_run(&self) -> Option<&IndexMap<String, u64>> {
        self.executions.as_ref()
    }
}

fn executions(
    before: &Map<String, Value>,
    after: &Map<String, Value>,
) -> Option<IndexMap<String, u64>> {
    let earlier = before.get(EXECUTIONS_BY_KEY).and_then(Value::as_object);
    let by_key = after.get(EXECUTIONS_BY_KEY)?.as_object()?;
    let grown = by_key.iter().filter_map(|(key, count)| {
        let earlier = earlier.and_then(|earlier| earlier.get(key)?.as_u64());
        let grown = count.as_u64()?.saturating_sub(earlier.unwrap_or(0));
        (grown > 0).then(|| (key.clone(), grown))
    });
    Some(grown.collect())
}

/// Reads the counters of one server.
pub async fn read(http: &HttpClient, address: SocketAddr) -> Result<Map<String, Value>> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = hyper::Uri::from_static("/stats");
    let response = http
        .fetch(address, request, STATS_TIME, STATS_LIMIT_BYTES)
        .await?;
    if !response.status().is_success() {
        let reason = format!("`GET /stats` answered with status {}", response.status());
        return Err(ClientError::Interrupted(reason));
    }
    serde_json::from_slice(response.body())
        .map_err(|error| ClientError::Interrupted(format!("`GET /stats`: {error}")))
}

/// The counters of several servers before a run.
pub struct Baseline {
    servers: Vec<(SocketAddr, Result<Map<String, Value>>)>,
}

impl Baseline {
    /// Reads the servers one after the other.
    pub async fn read(http: &HttpClient, addresses: &[SocketAddr]) -> Self {
        let mut servers = Vec::new();
        for address in addresses {
            servers.push((*address, read(http, *address).await));
        }
        Self { servers }
    }

    /// Reads the servers again and compares.
    pub async fn compare(self, http: &HttpClient) -> Vec<ServerStats> {
        let mut stats = Vec::new();
        for (address, before) in self.servers {
            let after = read(http, address).await;
            stats.push(match (before, after) {
                (Ok(before), Ok(after)) => ServerStats::compare(address, before, after),
                (Err(error), _) | (_, Err(error)) => ServerStats::unread(address, &error),
            });
        }
        stats
    }
}
