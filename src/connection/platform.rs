//! The client of the platform: transactional table, object store and list of VMs.
//!
//! A commit whose acknowledgement is lost may have taken effect. [`CommitOutcome::Unknown`] says so;
//! whoever commits resolves it by reading the rows again.

use std::fmt;
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{RANGE, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::connection::http_client::{ClientError, HttpClient};
use crate::process::timer::TimerService;

/// The result of a call to the platform.
pub type Result<T> = std::result::Result<T, PlatformError>;

/// Why a call to the platform failed.
#[derive(Debug)]
pub enum PlatformError {
    /// No complete answer came.
    Client(ClientError),
    /// The platform answered with an error status.
    Status(u16, String),
    /// The answer could not be decoded.
    Decode(serde_json::Error),
}

impl fmt::Display for PlatformError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::Client(_) => formatter.write_str("the platform did not answer"),
            PlatformError::Status(status, body) => {
                write!(
                    formatter,
                    "the platform answered with status {status}: {body}"
                )
            }
            PlatformError::Decode(_) => {
                formatter.write_str("the answer of the platform is not what its protocol says")
            }
        }
    }
}

impl std::error::Error for PlatformError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            PlatformError::Client(error) => Some(error),
            PlatformError::Status(..) => None,
            PlatformError::Decode(error) => Some(error),
        }
    }
}

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Unique in the table.
    pub key: String,
    /// Grows with every write of the row; 0 means that the row does not exist.
    pub version: u64,
    /// Any JSON value; null for a row that does not exist.
    pub value: serde_json::Value,
}

impl Row {
    /// Decodes the value.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T> {
        T::deserialize(&self.value).map_err(PlatformError::Decode)
    }
}

/// A condition of a commit: the row has this version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Check {
    /// The row.
    pub key: String,
    /// 0 means that the row must not exist.
    pub version: u64,
}

/// A write of a commit.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Write {
    /// The row.
    pub key: String,
    /// `None` deletes the row.
    pub value: Option<serde_json::Value>,
}

impl Write {
    /// A write of an encoded value.
    pub fn put(key: impl Into<String>, value: &impl Serialize) -> Result<Self> {
        let value = serde_json::to_value(value).map_err(PlatformError::Decode)?;
        Ok(Self {
            key: key.into(),
            value: Some(value),
        })
    }
}

/// How a commit ended.
#[derive(Debug)]
pub enum CommitOutcome {
    /// All writes took effect; the new versions, in the order of the writes.
    Committed(Vec<u64>),
    /// A check failed and nothing was written; the rows that were checked, as they are.
    Conflict(Vec<Row>),
    /// The acknowledgement was lost; the writes may have taken effect.
    Unknown(PlatformError),
}

/// State of a VM in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// In service.
    Live,
    /// Will be taken away; gets no new work.
    Leaving,
}

/// A VM in the platform's list, which lags.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Vm {
    /// Address of the service on the VM.
    pub address: SocketAddr,
    /// State when the list was made.
    pub state: VmState,
}

#[derive(Serialize, Deserialize)]
struct Rows {
    rows: Vec<Row>,
}

#[derive(Deserialize)]
struct Versions {
    versions: Vec<u64>,
}

#[derive(Deserialize)]
struct Vms {
    vms: Vec<Vm>,
}

#[derive(Serialize)]
struct ReadBody<'a> {
    keys: &'a [String],
}

#[derive(Serialize)]
struct ScanBody<'a> {
    prefix: &'a str,
}

#[derive(Serialize)]
struct CommitBody<'a> {
    checks: &'a [Check],
    writes: &'a [Write],
}

/// Longest answer read from the platform.
const ANSWER_LIMIT_BYTES: usize = 256 << 20;

/// A client of the platform.
#[derive(Clone)]
pub struct PlatformClient {
    http: HttpClient,
    address: SocketAddr,
    call_time: Duration,
}

impl PlatformClient {
    /// Makes a client whose calls take at most `call_time` each.
    pub fn new(http: HttpClient, address: SocketAddr, call_time: Duration) -> Self {
        Self {
            http,
            address,
            call_time,
        }
    }

    /// The timer service that bounds the calls.
    pub fn timer(&self) -> &TimerService {
        self.http.timer()
    }

    /// Reads rows; a row that does not exist has version 0.
    pub async fn read(&self, keys: &[String]) -> Result<Vec<Row>> {
        Ok(self
            .post::<_, Rows>("/table/read", &ReadBody { keys })
            .await?
            .rows)
    }

    /// Reads one row.
    pub async fn read_one(&self, key: &str) -> Result<Row> {
        let rows = self.read(&[key.to_string()]).await?;
        let missing = || PlatformError::Status(200, format!("the row `{key}` is missing"));
        rows.into_iter().next().ok_or_else(missing)
    }

    /// Reads all rows whose key starts with `prefix`, in the order of their keys.
    pub async fn scan(&self, prefix: &str) -> Result<Vec<Row>> {
        Ok(self
            .post::<_, Rows>("/table/scan", &ScanBody { prefix })
            .await?
            .rows)
    }

    /// Makes all writes at once if all checks hold.
    pub async fn commit(&self, checks: &[Check], writes: &[Write]) -> Result<CommitOutcome> {
        let body = CommitBody { checks, writes };
        let body = serde_json::to_vec(&body).map_err(PlatformError::Decode)?;
        let response = match self
            .call(Method::POST, "/table/commit", body.into(), None)
            .await
        {
            Ok(response) => response,
            Err(PlatformError::Client(error)) if !error.is_not_sent() => {
                return Ok(CommitOutcome::Unknown(PlatformError::Client(error)));
            }
            Err(error) => return Err(error),
        };
        match response.status() {
            StatusCode::OK => Ok(CommitOutcome::Committed(
                decode::<Versions>(&response)?.versions,
            )),
            StatusCode::CONFLICT => Ok(CommitOutcome::Conflict(decode::<Rows>(&response)?.rows)),
            _ => Err(status_error(&response)),
        }
    }

    /// Writes an object; writing the same object again is harmless.
    pub async fn put_object(&self, key: &str, bytes: Bytes) -> Result<()> {
        let response = self
            .call(Method::PUT, &format!("/objects/{key}"), bytes, None)
            .await?;
        success(&response)
    }

    /// Reads an object, or the part of it in `range`; `None` if there is no such object.
    pub async fn get_object(&self, key: &str, range: Option<Range<u64>>) -> Result<Option<Bytes>> {
        let path = format!("/objects/{key}");
        let response = self.call(Method::GET, &path, Bytes::new(), range).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        success(&response)?;
        Ok(Some(response.into_body()))
    }

    /// Deletes an object; deleting one that does not exist is harmless.
    pub async fn delete_object(&self, key: &str) -> Result<()> {
        let path = format!("/objects/{key}");
        let response = self.call(Method::DELETE, &path, Bytes::new(), None).await?;
        success(&response)
    }

    /// Reads the list of VMs, which lags.
    pub async fn vms(&self) -> Result<Vec<Vm>> {
        let response = self.call(Method::GET, "/vms", Bytes::new(), None).await?;
        success(&response)?;
        Ok(decode::<Vms>(&response)?.vms)
    }

    /// Asks the weight store whether it admits a read of a model's weights now; the answer is the time
    /// to wait. The weights themselves are not read.
    pub async fn weights_wait(&self, model_id: &str) -> Result<Option<Duration>> {
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = format!("/weights/{model_id}")
            .parse()
            .map_err(invalid_uri)?;
        let send = self.http.send(self.address, request, self.call_time);
        let response = send.await.map_err(PlatformError::Client)?;
        let status = response.status();
        if status == StatusCode::TOO_MANY_REQUESTS {
            let seconds = response.headers().get(RETRY_AFTER);
            let seconds = seconds.and_then(|value| value.to_str().ok()?.parse().ok());
            return Ok(Some(Duration::from_secs(seconds.unwrap_or(1))));
        }
        if !status.is_success() {
            let reason = format!("no weights of `{model_id}`");
            return Err(PlatformError::Status(status.as_u16(), reason));
        }
        Ok(None)
    }

    async fn post<B: Serialize, T: DeserializeOwned>(&self, path: &str, body: &B) -> Result<T> {
        let body = serde_json::to_vec(body).map_err(PlatformError::Decode)?;
        let response = self.call(Method::POST, path, body.into(), None).await?;
        success(&response)?;
        decode(&response)
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        range: Option<Range<u64>>,
    ) -> Result<Response<Bytes>> {
        let mut request = Request::new(body);
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().map_err(invalid_uri)?;
        if let Some(range) = range {
            let text = format!("bytes={}-{}", range.start, range.end.saturating_sub(1));
            if let Ok(value) = text.parse() {
                request.headers_mut().insert(RANGE, value);
            }
        }
        let fetch = self
            .http
            .fetch(self.address, request, self.call_time, ANSWER_LIMIT_BYTES);
        fetch.await.map_err(PlatformError::Client)
    }
}

fn invalid_uri(error: hyper::http::uri::InvalidUri) -> PlatformError {
    PlatformError::Client(ClientError::NotSent(error.to_string()))
}

fn success(response: &Response<Bytes>) -> Result<()> {
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

fn decode<T: DeserializeOwned>(response: &Response<Bytes>) -> Result<T> {
    serde_json::from_slice(response.body()).map_err(PlatformError::Decode)
}
