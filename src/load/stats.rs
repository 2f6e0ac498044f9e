//! The counters that engines and tools report with `GET /stats`.
//!
//! The answer is a JSON object with integer counters, which are read before and after a run and
//! compared. Unknown fields are included in the report.

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

const STATS_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_STATS_BYTES: usize = 64 << 20;
/// Field in which a tool reports the number of executions per idempotency key.
const EXECUTIONS_BY_KEY: &str = "executions_by_key";

/// The change of one server's counters during a run.
#[derive(Clone, Debug, Serialize)]
pub struct ServerStats {
    /// Address of the server.
    pub address: SocketAddr,
    /// Increase of each integer counter; `null` unless the server was read before and after the
    /// run.
    pub growth: Option<IndexMap<String, i64>>,
    /// Why the counters could not be read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<String>,
    /// Prompt tokens that an engine computed, as reported or as `prompt_tokens` minus
    /// `cached_tokens`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub recomputed_tokens: Option<i64>,
    /// Prompt tokens that an engine read from its cache, if it reports them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cached_tokens: Option<i64>,
    /// All fields after the run, except the executions by key.
    pub after: Map<String, Value>,
    /// Executions per idempotency key during the run; `None` if the server does not report them.
    #[serde(skip)]
    executions: Option<IndexMap<String, u64>>,
}

impl ServerStats {
    /// Compares the answers before and after a run.
    pub fn compare(
        address: SocketAddr,
        before: Map<String, Value>,
        mut after: Map<String, Value>,
    ) -> Self {
        let executions = count_executions(&before, &after);
        after.remove(EXECUTIONS_BY_KEY);
        let growth: IndexMap<String, i64> = after
            .iter()
            .filter_map(|(name, value)| {
                let previous = before.get(name).and_then(Value::as_i64).unwrap_or(0);
                Some((name.clone(), value.as_i64()? - previous))
            })
            .collect();
        let counter = |name: &str| growth.get(name).copied();
        let cached_tokens = counter("cached_tokens");
        let prompt_without_cached = || Some(counter("prompt_tokens")? - cached_tokens?);
        Self {
            address,
            recomputed_tokens: counter("recomputed_tokens").or_else(prompt_without_cached),
            cached_tokens,
            growth: Some(growth),
            error: None,
            after,
            executions,
        }
    }

    /// Returns the stats of a server whose counters could not be read.
    pub fn unavailable(address: SocketAddr, error: &ClientError) -> Self {
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

    /// Returns the number of executions per idempotency key during the run, or `None` if the server
    /// does not report them.
    pub fn executions_during_run(&self) -> Option<&IndexMap<String, u64>> {
        self.executions.as_ref()
    }
}

fn count_executions(
    before: &Map<String, Value>,
    after: &Map<String, Value>,
) -> Option<IndexMap<String, u64>> {
    let previous = before.get(EXECUTIONS_BY_KEY).and_then(Value::as_object);
    let by_key = after.get(EXECUTIONS_BY_KEY)?.as_object()?;
    let increases = by_key.iter().filter_map(|(key, count)| {
        let previous = previous.and_then(|previous| previous.get(key)?.as_u64());
        let increase = count.as_u64()?.saturating_sub(previous.unwrap_or(0));
        (increase > 0).then(|| (key.clone(), increase))
    });
    Some(increases.collect())
}

/// Reads the counters of one server with `GET /stats`.
pub async fn read(http: &HttpClient, address: SocketAddr) -> Result<Map<String, Value>> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = hyper::Uri::from_static("/stats");
    let response = http
        .fetch(address, request, STATS_TIMEOUT, MAX_STATS_BYTES)
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
    /// Reads the servers in turn; a failed read is recorded.
    pub async fn read(http: &HttpClient, addresses: &[SocketAddr]) -> Self {
        let mut servers = Vec::new();
        for address in addresses {
            servers.push((*address, read(http, *address).await));
        }
        Self { servers }
    }

    /// Reads the servers again and compares the counters with the baseline.
    pub async fn compare(self, http: &HttpClient) -> Vec<ServerStats> {
        let mut stats = Vec::new();
        for (address, before) in self.servers {
            let after = read(http, address).await;
            stats.push(match (before, after) {
                (Ok(before), Ok(after)) => ServerStats::compare(address, before, after),
                (Err(error), _) | (_, Err(error)) => ServerStats::unavailable(address, &error),
            });
        }
        stats
    }
}
