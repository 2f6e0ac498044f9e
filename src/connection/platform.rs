//! Client of the platform for entries: transactional table, object store, list of VMs and weight
//! store.
//!
//! Rows and objects are stored in the platform's store, in the formats of the crate
//! `sapphireford-platform`. All rows are in one partition of one table, so that each commit is a
//! transaction on a single partition.
//!
//! A commit whose acknowledgement is lost may have taken effect. It returns
//! [`CommitOutcome::Unknown`], and the caller of the commit resolves it by reading the rows again.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{self, StreamExt, TryStreamExt};
use hyper::header::RETRY_AFTER;
use hyper::{Request, Response, StatusCode, Uri};
use sapphireford_platform::FormatError;
use sapphireford_platform::store::{
    self as format, MAX_TRANSACTION_ENTRIES, RowCondition, RowKey, RowPage, RowWrite, StoreAnswer,
    TransactionAnswer,
};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::connection::http_client::{ClientError, HttpClient};
use crate::error::chain;
use crate::process::timer::TimerService;

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Why a call to the platform failed.
#[derive(Debug)]
pub enum PlatformError {
    /// The call got no complete answer; [`ClientError::is_not_sent`] states whether it may have
    /// taken effect.
    Client(ClientError),
    /// The platform answered with an error status; holds the status code and the start of the body.
    Status(u16, String),
    /// A JSON value could not be encoded or decoded.
    Decode(serde_json::Error),
    /// A message in the store's format could not be encoded or decoded.
    Format(FormatError),
}

impl From<FormatError> for PlatformError {
    fn from(error: FormatError) -> Self {
        PlatformError::Format(error)
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Client(_) => {
                formatter.write_str("the call to the platform got no complete answer")
            }
            PlatformError::Status(status, body) => {
                write!(
                    formatter,
                    "the platform answered with status {status}: {body}"
                )
            }
            PlatformError::Decode(_) | PlatformError::Format(_) => formatter
                .write_str("a message to or from the platform could not be encoded or decoded"),
        }
    }
}

impl std::error::Error for PlatformError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            PlatformError::Client(error) => Some(error),
            PlatformError::Status(..) => None,
            PlatformError::Decode(error) => Some(error),
            PlatformError::Format(error) => Some(error),
        }
    }
}

/// A row of the entries' table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row, unique in the table.
    pub key: String,
    /// Increases with every write of the row; 0 means that the row does not exist.
    pub version: u64,
    /// Any JSON value; null for a row that does not exist.
    pub value: serde_json::Value,
}

impl Row {
    /// Decodes the value as a `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T> {
        T::deserialize(&self.value).map_err(PlatformError::Decode)
    }
}

/// A condition of a commit: the row has the given version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: String,
    /// Expected version; 0 means that the row must not exist.
    pub version: u64,
}

/// A write or a deletion in a commit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// The new value; `None` deletes the row.
    pub value: Option<serde_json::Value>,
}

impl Write {
    /// Makes a write of `value`, encoded as JSON.
    pub fn put(key: impl Into<String>, value: &impl Serialize) -> Result<Self> {
        let value = serde_json::to_value(value).map_err(PlatformError::Decode)?;
        Ok(Self {
            key: key.into(),
            value: Some(value),
        })
    }
}

/// The outcome of a commit.
#[derive(Debug)]
pub enum CommitOutcome {
    /// All writes took effect; holds the new versions in the order of the writes, 0 for a deleted
    /// row.
    Committed(Vec<u64>),
    /// A check failed and nothing was written; holds the current rows in the order of the checks.
    Conflict(Vec<Row>),
    /// The acknowledgement was lost, so the writes may have taken effect.
    Unknown(PlatformError),
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// The VM is in service.
    Live,
    /// The platform is going to remove the VM; it gets no new work.
    Leaving,
}

/// A VM in the platform's list. The list lags behind the real state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Vm {
    /// Address of the service that runs on the VM.
    pub address: SocketAddr,
    /// State at the time of the list.
    pub state: VmState,
}

#[derive(Deserialize)]
struct VmList {
    vms: Vec<Vm>,
}

/// Most changes of rows in one commit besides the change of the entry's own row. Each change takes
/// two entries of the transaction: a condition and a write.
pub const MAX_CHANGES_PER_COMMIT: usize = MAX_TRANSACTION_ENTRIES / 2 - 1;
/// Table with all rows of the entries.
const TABLE: &str = "entry-state";
/// Most concurrent reads for one call of [`PlatformClient::read`].
const MAX_CONCURRENT_READS: usize = 16;

fn row_key(key: &str) -> RowKey {
    RowKey {
        table: TABLE,
        partition: String::new(),
        key: key.to_string(),
    }
}

fn decode_row(row: format::Row) -> Result<Row> {
    let Some(value) = row.value else {
        return Ok(missing_row(&row.key));
    };
    Ok(Row {
        key: row.key,
        version: row.version,
        value: serde_json::from_slice(&value).map_err(PlatformError::Decode)?,
    })
}

fn missing_row(key: &str) -> Row {
    Row {
        key: key.to_string(),
        version: 0,
        value: serde_json::Value::Null,
    }
}

/// Longest answer that is accepted from the platform.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// A client of the platform.
#[derive(Clone)]
pub struct PlatformClient {
    http: HttpClient,
    address: SocketAddr,
    call_timeout: Duration,
}

impl PlatformClient {
    /// Creates a client; `call_timeout` is the timeout of each call.
    pub fn new(http: HttpClient, address: SocketAddr, call_timeout: Duration) -> Self {
        Self {
            http,
            address,
            call_timeout,
        }
    }

    /// The timer service that enforces the timeouts.
    pub fn timer(&self) -> &TimerService {
        self.http.timer()
    }

    /// Reads rows; a row that does not exist has version 0. The first row is read before the
    /// others, so the others reflect every commit that the first one reflects.
    pub async fn read(&self, keys: &[String]) -> Result<Vec<Row>> {
        let Some((first, others)) = keys.split_first() else {
            return Ok(Vec::new());
        };
        let mut rows = vec![self.read_one(first).await?];
        let reads = others.iter().map(|key| self.read_one(key));
        let reads = stream::iter(reads).buffered(MAX_CONCURRENT_READS);
        rows.extend(reads.try_collect::<Vec<_>>().await?);
        Ok(rows)
    }

    /// Reads one row; a row that does not exist has version 0.
    pub async fn read_one(&self, key: &str) -> Result<Row> {
        let request = format::read_row_request(&row_key(key))?;
        let page = decode_page(&self.call(request).await?)?;
        let row = page.rows.into_iter().find(|row| row.key == key);
        row.map_or_else(|| Ok(missing_row(key)), decode_row)
    }

    /// Reads all rows whose key starts with `prefix`, in the order of their keys. Rows that cannot
    /// be decoded are skipped.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        let mut rows = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let request = format::read_range_request(TABLE, "", prefix, after.as_deref())?;
            let page = decode_page(&self.call(request).await?)?;
            after = page.rows.last().map(|row| row.key.clone());
            let is_last = !page.has_more || page.rows.is_empty();
            for row in page.rows {
                let key = row.key.clone();
                match decode_row(row) {
                    Ok(row) => rows.push(row),
                    Err(error) => {
                        log::warn!(row = key;
                        "skipped a row whose value cannot be decoded: {}", chain(&error))
                    }
                }
            }
            if is_last {
                return Ok(rows);
            }
        }
    }

    /// Applies all writes atomically if all checks hold. A commit whose acknowledgement is lost
    /// returns [`CommitOutcome::Unknown`].
    pub async fn commit(&self, checks: &[Check], writes: &[Write]) -> Result<CommitOutcome> {
        let conditions: Vec<RowCondition> = checks
            .iter()
            .map(|check| RowCondition {
                row: row_key(&check.key),
                version: check.version,
            })
            .collect();
        let changes: Vec<RowWrite> = writes
            .iter()
            .map(|write| RowWrite {
                row: row_key(&write.key),
                value: write.value.as_ref().map(|value| value.to_string().into()),
            })
            .collect();
        let request = format::transaction_request(&conditions, &changes)?;
        let response = match self.call(request).await {
            Ok(response) => response,
            Err(PlatformError::Client(error)) if !error.is_not_sent() => {
                return Ok(CommitOutcome::Unknown(PlatformError::Client(error)));
            }
            Err(error) => return Err(error),
        };
        match format::decode_transaction(&response)? {
            TransactionAnswer::Committed(version) => {
                let versions = writes.iter().map(|write| match write.value {
                    Some(_) => version,
                    None => 0,
                });
                Ok(CommitOutcome::Committed(versions.collect()))
            }
            TransactionAnswer::ConditionFailed(rows) => {
                let current = |check: &Check| {
                    let row = rows.iter().find(|row| row.key == check.key);
                    row.map_or_else(
                        || Ok(missing_row(&check.key)),
                        |row| decode_row(row.clone()),
                    )
                };
                let rows = checks.iter().map(current).collect::<Result<Vec<_>>>()?;
                Ok(CommitOutcome::Conflict(rows))
            }
            TransactionAnswer::Refused(_) => Err(status_error(&response)),
        }
    }

    /// Writes an object. The call is idempotent.
    pub async fn put_object(&self, name: &str, bytes: Bytes) -> Result<()> {
        let request = format::put_object_request(name, bytes)?;
        check_status(&self.call(request).await?)
    }

    /// Reads an object; `None` if it does not exist.
    pub async fn get_object(&self, name: &str) -> Result<Option<Bytes>> {
        let request = format::get_object_request(name)?;
        match format::decode_object(self.call(request).await?) {
            StoreAnswer::Done(object) => Ok(object),
            StoreAnswer::Refused(status) => Err(refusal(status)),
            StoreAnswer::HistoryGone => Err(refusal(StatusCode::GONE.as_u16())),
        }
    }

    /// Deletes an object; succeeds if it does not exist.
    pub async fn delete_object(&self, name: &str) -> Result<()> {
        let request = format::remove_object_request(name)?;
        let response = self.call(request).await?;
        match response.status() {
            StatusCode::NOT_FOUND => Ok(()),
            _ => check_status(&response),
        }
    }

    /// Reads the list of VMs, which lags behind the real state.
    pub async fn vms(&self) -> Result<Vec<Vm>> {
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = Uri::from_static("/vms");
        let response = self.call(request).await?;
        check_status(&response)?;
        Ok(decode_json::<VmList>(&response)?.vms)
    }

    /// Asks the weight store whether it admits a read of a model's weights now. Returns `None` if
    /// it does, or the delay before the next attempt, which is 1 s if the store specifies none. The
    /// weights themselves are not read.
    pub async fn weight_read_delay(&self, model_id: &str) -> Result<Option<Duration>> {
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = format!("/weights/{model_id}")
            .parse()
            .map_err(invalid_uri)?;
        let send = self.http.send(self.address, request, self.call_timeout);
        let response = send.await.map_err(PlatformError::Client)?;
        let status = response.status();
        if status == StatusCode::TOO_MANY_REQUESTS {
            let seconds = response.headers().get(RETRY_AFTER);
            let seconds = seconds.and_then(|value| value.to_str().ok()?.parse().ok());
            return Ok(Some(Duration::from_secs(seconds.unwrap_or(1))));
        }
        if !status.is_success() {
            let reason = format!("cannot read the weights of model `{model_id}`");
            return Err(PlatformError::Status(status.as_u16(), reason));
        }
        Ok(None)
    }

    async fn call(&self, request: Request<Bytes>) -> Result<Response<Bytes>> {
        let fetch = self
            .http
            .fetch(self.address, request, self.call_timeout, MAX_ANSWER_BYTES);
        fetch.await.map_err(PlatformError::Client)
    }
}

fn decode_page(response: &Response<Bytes>) -> Result<RowPage> {
    match format::decode_page(response)? {
        StoreAnswer::Done(page) => Ok(page),
        StoreAnswer::Refused(_) | StoreAnswer::HistoryGone => Err(status_error(response)),
    }
}

fn refusal(status: u16) -> PlatformError {
    PlatformError::Status(status, String::new())
}

fn invalid_uri(error: hyper::http::uri::InvalidUri) -> PlatformError {
    PlatformError::Client(ClientError::NotSent(error.to_string()))
}

fn check_status(response: &Response<Bytes>) -> Result<()> {
    if response.status().is_success() {
        Ok(())
    } else {
        Err(status_error(response))
    }
}

fn status_error(response: &Response<Bytes>) -> PlatformError {
    let body = String::from_utf8_lossy(response.body())
        .chars()
        .take(200)
        .collect();
    PlatformError::Status(response.status().as_u16(), body)
}

fn decode_json<T: DeserializeOwned>(response: &Response<Bytes>) -> Result<T> {
    serde_json::from_slice(response.body()).map_err(PlatformError::Decode)
}
