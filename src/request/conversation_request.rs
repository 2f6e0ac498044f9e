//! A request about a conversation: its path and body, checked.

use bytes::Bytes;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Method, Request};
use serde::de::DeserializeOwned;

use crate::error::{Error, ErrorKind, Result};
use crate::ids::{ConversationKey, RunId, TeamId};
use crate::process::slots::placement::hash_bytes;
use crate::request::api::{
    End, EndBody, InvalidBody, StartRun, StartRunBody, SubAgent, SubAgentBody, ToolCall,
    ToolCallBody, Turn, TurnBody, check_conversation_id,
};
use crate::version::key_digest::digest;

/// What is asked of a conversation.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Read the state of the runs.
    State,
    /// Read the messages.
    History,
    /// Start a run.
    StartRun(StartRun),
    /// Call the model.
    Turn(RunId, Turn),
    /// Start a sub-agent.
    SubAgent(RunId, SubAgent),
    /// Call a tool.
    ToolCall(RunId, ToolCall),
    /// End a run after its calls in progress.
    End(RunId, End),
    /// End a run and break off its calls in progress.
    Cancel(RunId, End),
    /// End all runs and break off their calls in progress.
    CancelAll(End),
}

/// A request about a conversation.
#[derive(Clone, Debug)]
pub struct ConversationRequest {
    /// The conversation; its team is the one whose key came with the request.
    pub key: ConversationKey,
    /// What is asked.
    pub operation: Operation,
    /// Hash of path and body; a repeat of a request id must have the same.
    pub fingerprint: u64,
    /// Kept for forwarding.
    pub method: Method,
    /// Kept for forwarding.
    pub path: String,
    /// Kept for forwarding.
    pub body: Bytes,
    /// Hash of the caller's key, kept for forwarding; `None` for an operator's request.
    pub caller_key: Option<[u8; 32]>,
}

impl ConversationRequest {
    /// Checks path and body.
    pub fn parse(team_id: TeamId, request: Request<Bytes>) -> Result<Self> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_string();
        let unknown = || Error::new(ErrorKind::NotFound, format!("there is no path `{path}`"));
        let rest = path
            .strip_prefix("/v1/conversations/")
            .ok_or_else(unknown)?;
        let parts: Vec<&str> = rest.split('/').collect();
        let conversation_id = check_conversation_id(parts[0]).map_err(invalid)?;
        let operation = match (&head.method, &parts[1..]) {
            (&Method::GET, []) => Operation::State,
            (&Method::GET, ["history"]) => Operation::History,
            (&Method::POST, ["cancel"]) => Operation::CancelAll(decode::<EndBody, _>(&body)?),
            (&Method::POST, ["runs"]) => Operation::StartRun(decode::<StartRunBody, _>(&body)?),
            (&Method::POST, ["runs", run_id, verb]) => {
                parse_run_operation(parse_run_id(run_id)?, verb, &body)?.ok_or_else(unknown)?
            }
            (_, [] | ["history"] | ["cancel"] | ["runs"] | ["runs", _, _]) => {
                let message = format!("{} is not offered on `{path}`", head.method);
                return Err(Error::new(ErrorKind::MethodNotAllowed, message));
            }
            _ => return Err(unknown()),
        };
        let caller_key = bearer_key(&head.headers).map(digest);
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
            caller_key,
        })
    }

    /// Whether repeating the request has no further effect.
    pub fn is_read(&self) -> bool {
        matches!(self.operation, Operation::State | Operation::History)
    }
}

/// The key in the header `authorization`.
pub fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ")
}

fn parse_run_operation(run_id: RunId, verb: &str, body: &[u8]) -> Result<Option<Operation>> {
    Ok(Some(match verb {
        "turns" => Operation::Turn(run_id, decode::<TurnBody, Turn>(body)?),
        "sub-agents" => Operation::SubAgent(run_id, decode::<SubAgentBody, SubAgent>(body)?),
        "tool-calls" => Operation::ToolCall(run_id, decode::<ToolCallBody, ToolCall>(body)?),
        "end" => Operation::End(run_id, decode::<EndBody, End>(body)?),
        "cancel" => Operation::Cancel(run_id, decode::<EndBody, End>(body)?),
        _ => return Ok(None),
    }))
}

fn parse_run_id(text: &str) -> Result<RunId> {
    text.parse().map_err(|_| {
        Error::new(
            ErrorKind::BadRequest,
            format!("`{text}` is not a run id; use the one you got"),
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
            "the body is not what this path takes",
        )
        .with_cause(error)
    })?;
    Checked::try_from(raw).map_err(invalid)
}

fn invalid(error: InvalidBody) -> Error {
    Error::new(ErrorKind::BadRequest, error.to_string())
}
