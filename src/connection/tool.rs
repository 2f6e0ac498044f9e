//! The client for tool services, which run actions that have a price.
//!
//! The action id is sent as the idempotency key. [`ToolError`] distinguishes whether the action may
//! have run, because an action that is not idempotent must not be repeated when this is unknown.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, Uri};
use serde::{Deserialize, Serialize};

use crate::connection::http_client::{ClientError, HttpClient};
use crate::ids::Micros;

/// The result of a request to a tool.
pub type Result<T> = std::result::Result<T, ToolError>;

/// Why a request to a tool failed.
#[derive(Debug)]
pub enum ToolError {
    /// Nothing was sent, so the action did not run.
    NotSent(String),
    /// The tool responded with this error status and message.
    Refused(u16, String),
    /// No complete response was received, so the action may have run.
    OutcomeUnknown(String),
}

impl fmt::Display for ToolError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ToolError::NotSent(reason) => {
                write!(formatter, "the action was not sent to the tool: {reason}")
            }
            ToolError::Refused(status, message) => {
                write!(
                    formatter,
                    "the tool refused the action with status {status}: {message}"
                )
            }
            ToolError::OutcomeUnknown(reason) => {
                write!(formatter, "it is unknown whether the action ran: {reason}")
            }
        }
    }
}

impl std::error::Error for ToolError {}

impl From<ClientError> for ToolError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::NotSent(reason) => ToolError::NotSent(reason),
            other => ToolError::OutcomeUnknown(other.to_string()),
        }
    }
}

/// The result of a finished action.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ActionResult {
    /// The value that the tool returned; `null` if it returned none.
    #[serde(default)]
    pub result: serde_json::Value,
    /// The price that the tool charged; 0 if it reported none.
    #[serde(default)]
    pub charge_micros: Micros,
}

/// The state of an action at the tool.
#[derive(Clone, Debug, PartialEq)]
pub enum ActionStatus {
    /// The tool has not received the action; its request may still be in transit.
    Unknown,
    /// The action is still running.
    Running,
    /// The action has finished.
    Done(ActionResult),
}

#[derive(Serialize)]
struct ActionRequest<'a> {
    tool: &'a str,
    arguments: &'a serde_json::Value,
}

#[derive(Deserialize)]
struct StatusResponse {
    state: ActionState,
    #[serde(flatten)]
    result: ActionResult,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum ActionState {
    Unknown,
    Running,
    Done,
}

const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// Size limit of a response.
const MAX_RESPONSE_BYTES: usize = 4 << 20;
/// Length to which the body of an error response is truncated for the error message.
const MAX_ERROR_MESSAGE_BYTES: usize = 4 << 10;

/// A client for tool services. Each call has a connection of its own, because the answers do not
/// tell which call they belong to.
#[derive(Clone)]
pub struct ToolClient {
    http: HttpClient,
    status_timeout: Duration,
}

impl ToolClient {
    /// Creates a client that waits at most `status_timeout` for each status query.
    pub fn new(http: HttpClient, status_timeout: Duration) -> Self {
        Self {
            http: http.without_reuse(),
            status_timeout,
        }
    }

    /// Runs an action and waits at most `timeout` for its result.
    pub async fn run(
        &self,
        address: SocketAddr,
        action_id: &str,
        tool: &str,
        arguments: &serde_json::Value,
        timeout: Duration,
    ) -> Result<ActionResult> {
        let body = serde_json::to_vec(&ActionRequest { tool, arguments }).map_err(not_sent)?;
        let key = HeaderValue::from_str(action_id).map_err(not_sent)?;
        let mut request = Request::new(Bytes::from(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = Uri::from_static("/v1/actions");
        request.headers_mut().insert(IDEMPOTENCY_KEY, key);
        let content_type = HeaderValue::from_static("application/json");
        request.headers_mut().insert(CONTENT_TYPE, content_type);
        let response = self
            .http
            .fetch(address, request, timeout, MAX_RESPONSE_BYTES)
            .await?;
        decode_response(&response)
    }

    /// Queries the state of an action. An error concerns only the query: it says nothing about
    /// whether the action ran.
    pub async fn status(&self, address: SocketAddr, action_id: &str) -> Result<ActionStatus> {
        let mut request = Request::new(Bytes::new());
        *request.uri_mut() = format!("/v1/actions/{action_id}")
            .parse()
            .map_err(not_sent)?;
        let response = self
            .http
            .fetch(address, request, self.status_timeout, MAX_RESPONSE_BYTES)
            .await?;
        let status: StatusResponse = decode_response(&response)?;
        Ok(match status.state {
            ActionState::Unknown => ActionStatus::Unknown,
            ActionState::Running => ActionStatus::Running,
            ActionState::Done => ActionStatus::Done(status.result),
        })
    }
}

fn not_sent(error: impl std::error::Error) -> ToolError {
    ToolError::NotSent(error.to_string())
}

fn decode_response<'a, T: Deserialize<'a>>(response: &'a Response<Bytes>) -> Result<T> {
    if !response.status().is_success() {
        let end = response.body().len().min(MAX_ERROR_MESSAGE_BYTES);
        let message = String::from_utf8_lossy(&response.body()[..end]).into_owned();
        return Err(ToolError::Refused(response.status().as_u16(), message));
    }
    serde_json::from_slice(response.body())
        .map_err(|error| ToolError::OutcomeUnknown(format!("the response is not valid: {error}")))
}
