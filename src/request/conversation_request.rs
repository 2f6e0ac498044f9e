//! Parsing and checking of requests under `/v1/conversations/`.

use bytes::Bytes;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Method, Request};
use serde::de::DeserializeOwned;

use crate::error::{Error, ErrorKind, Result};
use crate::ids::{ConversationKey, RunId, TeamId};
use crate::process::slots::placement::hash_bytes;
use crate::request::api::{
    EndRun, EndRunBody, InvalidBody, StartRun, StartRunBody, StartSubAgent, StartSubAgentBody,
    ToolCall, ToolCallBody, Turn, TurnBody, check_conversation_id,
};
use crate::version::key_digest::digest;

/// Operation on a conversation, with its checked body.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Reads the state of the runs.
    State,
    /// Reads the messages.
    History,
    /// Starts a root run.
    StartRun(StartRun),
    /// Calls the model in this run.
    Turn(RunId, Turn),
    /// Starts a sub-agent of this run.
    SubAgent(RunId, StartSubAgent),
    /// Calls a tool in this run.
    ToolCall(RunId, ToolCall),
    /// Ends this run after its calls in flight.
    End(RunId, EndRun),
    /// Ends this run and aborts its calls in flight.
    Cancel(RunId, EndRun),
    /// Ends all runs and aborts their calls in flight.
    CancelAll(EndRun),
}

/// A checked request about a conversation.
#[derive(Clone, Debug)]
pub struct ConversationRequest {
    /// The conversation; the team comes from the key that authenticated the request, or from the
    /// path of an operator's request.
    pub key: ConversationKey,
    /// Parsed from the method, path and body.
    pub operation: Operation,
    /// Hash of path and body; must be the same whenever a request id is repeated.
    pub fingerprint: u64,
    /// Retained for forwarding.
    pub method: Method,
    /// Retained for forwarding; without the query.
    pub path: String,
    /// Retained for forwarding.
    pub body: Bytes,
    /// Hash of the caller's key, retained for forwarding; `None` for an operator's request.
    pub caller_key_digest: Option<[u8; 32]>,
}

impl ConversationRequest {
    /// Parses and checks the method, path and body of a request of this team.
    pub fn parse(team_id: TeamId, request: Request<Bytes>) -> Result<Self> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_string();
        let unknown = || Error::new(ErrorKind::NotFound, format!("unknown path `{path}`"));
        let rest = path
            .strip_prefix("/v1/conversations/")
            .ok_or_else(unknown)?;
        let parts: Vec<&str> = rest.split('/').collect();
        let conversation_id = check_conversation_id(parts[0]).map_err(invalid)?;
        let operation = match (&head.method, &parts[1..]) {
            (&Method::GET, []) => Operation::State,
            (&Method::GET, ["history"]) => Operation::History,
            (&Method::POST, ["cancel"]) => Operation::CancelAll(decode::<EndRunBody, _>(&body)?),
            (&Method::POST, ["runs"]) => Operation::StartRun(decode::<StartRunBody, _>(&body)?),
            (&Method::POST, ["runs", run_id, verb]) => {
                parse_run_operation(parse_run_id(run_id)?, verb, &body)?.ok_or_else(unknown)?
            }
            (_, [] | ["history"] | ["cancel"] | ["runs"] | ["runs", _, _]) => {
                let message = format!("method {} is not supported on `{path}`", head.method);
                return Err(Error::new(ErrorKind::MethodNotAllowed, message));
            }
            _ => return Err(unknown()),
        };
        let caller_key_digest = bearer_key(&head.headers).map(digest);
        let fingerprint = hash_bytes(path.as_bytes()).rotate_left(17) ^ hash_bytes(&body);
        let key = ConversationKey {
            team_id,
            conversation_id,
        };
        Ok(Self {
            key,
            operation,
            fingerprint,
            method: head.method,
            path,
            body,
            caller_key_digest,
        })
    }

    /// Whether the request only reads, so that repeating it has no effect.
    pub fn is_read(&self) -> bool {
        matches!(self.operation, Operation::State | Operation::History)
    }
}

/// The key in the header `authorization: Bearer KEY`; `None` if the header is missing or malformed.
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

fn parse_run_operation(run_id: RunId, verb: &str, body: &[u8]) -> Result<Option<Operation>> {
    Ok(Some(match verb {
        "turns" => Operation::Turn(run_id, decode::<TurnBody, Turn>(body)?),
        "sub-agents" => {
            Operation::SubAgent(run_id, decode::<StartSubAgentBody, StartSubAgent>(body)?)
        }
        "tool-calls" => Operation::ToolCall(run_id, decode::<ToolCallBody, ToolCall>(body)?),
        "end" => Operation::End(run_id, decode::<EndRunBody, EndRun>(body)?),
        "cancel" => Operation::Cancel(run_id, decode::<EndRunBody, EndRun>(body)?),
        _ => return Ok(None),
    }))
}

fn parse_run_id(text: &str) -> Result<RunId> {
    text.parse().map_err(|_| {
        Error::new(
            ErrorKind::BadRequest,
            format!("`{text}` is not a run id; use the id from the answer to the start of the run"),
        )
    })
}

fn decode<Raw, Checked>(body: &[u8]) -> Result<Checked>
where
    Raw: DeserializeOwned,
    Checked: TryFrom<Raw, Error = InvalidBody>,
{
    let raw: Raw = serde_json::from_slice(body).map_err(|error| {
        Error::new(
            ErrorKind::BadRequest,
            "the request body does not match the format of this path",
        )
        .with_cause(error)
    })?;
    Checked::try_from(raw).map_err(invalid)
}

fn invalid(error: InvalidBody) -> Error {
    Error::new(ErrorKind::BadRequest, error.to_string())
}
