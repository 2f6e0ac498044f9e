//! The JSON bodies of the caller API, shared by the server and the client library.
//!
//! A request body is deserialized into a `*Body` type as sent, and `TryFrom` then validates it into
//! the type without that suffix. Request handlers only accept the validated types, so every id that
//! they see is well formed.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::{
    ConversationId, EntryId, FailureDomainId, Micros, ProgramId, RequestId, RunId, ToolId,
};

/// The result of validating a request body.
pub type Result<T> = std::result::Result<T, InvalidBody>;

/// Limit of the length of an id in a request, in characters.
pub const ID_LIMIT_CHARS: usize = 128;

/// Why a request body is invalid. Each variant carries the name of the field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidBody {
    /// The id is empty, too long or has a character that is not allowed.
    Id(&'static str),
    /// The number is 0, but must be at least 1.
    Zero(&'static str),
}

impl fmt::Display for InvalidBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InvalidBody::Id(field) => write!(
                formatter,
                "`{field}` must have 1 to {ID_LIMIT_CHARS} characters, each a letter, a digit or \
                 one of `-_.:`"
            ),
            InvalidBody::Zero(field) => write!(formatter, "`{field}` must be at least 1"),
        }
    }
}

impl std::error::Error for InvalidBody {}

/// Validates an id from a request: 1 to 128 ASCII letters, digits, `-`, `_`, `.` or `:`.
pub fn check_id(field: &'static str, id: &str) -> Result<()> {
    let allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':');
    if (1..=ID_LIMIT_CHARS).contains(&id.len()) && id.bytes().all(allowed) {
        Ok(())
    } else {
        Err(InvalidBody::Id(field))
    }
}

/// Validates the id of a conversation from the path of a request.
pub fn check_conversation_id(id: &str) -> Result<ConversationId> {
    check_id("conversation", id)?;
    Ok(id.into())
}

/// The response to `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesAnswer {
    /// In order of preference. The first one is the lease holder of the conversation's slot if that
    /// is known.
    pub entries: Vec<EntryAddress>,
    /// How long a caller may cache the response.
    pub ttl_ms: u64,
}

/// One entry that callers may connect to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The value of `entry_id` in the settings of the entry.
    pub entry_id: EntryId,
    /// Address of its HTTP server for callers.
    pub address: SocketAddr,
    /// The failure domain in which the entry runs.
    pub failure_domain: FailureDomainId,
}

/// The request body that starts a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartRunBody {
    /// Idempotency key within the conversation; a repeated request has the same.
    pub request_id: RequestId,
    /// Must be a program of the caller's team.
    pub program: ProgramId,
    /// Budget of the run; capped at that of the program, which also applies if this is `None`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget_micros: Option<Micros>,
}

/// The request body of a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TurnBody {
    /// Idempotency key within the conversation; a repeated request has the same.
    pub request_id: RequestId,
    /// The new message of the user.
    pub input: String,
    /// Limit of the tokens to generate. The cost of as many tokens is reserved before the call.
    pub max_output_tokens: u32,
    /// Position of the call among the calls of its run, from 1. The call waits for all calls with
    /// lower numbers; `None` runs it in order of arrival.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sequence: Option<u64>,
}

/// The request body that starts a sub-agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartSubAgentBody {
    /// Idempotency key within the conversation; a repeated request has the same.
    pub request_id: RequestId,
    /// Must be a program of the caller's team.
    pub program: ProgramId,
    /// Budget of the sub-agent. What it spends is also charged to the parent run.
    pub budget_micros: Micros,
}

/// The request body of a tool call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ToolCallBody {
    /// Idempotency key within the conversation; a repeated request has the same.
    pub request_id: RequestId,
    /// Must be one of the tools of the run's program.
    pub tool: ToolId,
    /// Passed to the tool unchanged; `null` if absent.
    #[serde(default)]
    pub arguments: Value,
    /// Position of the call among the calls of its run, from 1. The call waits for all calls with
    /// lower numbers; `None` runs it in order of arrival.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sequence: Option<u64>,
}

/// The request body that ends or cancels a run, or cancels all runs of a conversation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndRunBody {
    /// Idempotency key within the conversation; a repeated request has the same.
    pub request_id: RequestId,
}

/// A validated [`StartRunBody`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRun {
    /// Accepted by [`check_id`].
    pub request_id: RequestId,
    /// Accepted by [`check_id`].
    pub program: ProgramId,
    /// At least 1; `None` for the budget of the program.
    pub budget_micros: Option<Micros>,
}

/// A validated [`TurnBody`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Accepted by [`check_id`].
    pub request_id: RequestId,
    /// The new message of the user; may be empty. Its length is checked when the turn is handled.
    pub input: String,
    /// At least 1.
    pub max_output_tokens: u32,
    /// At least 1; `None` runs the call in order of arrival.
    pub sequence: Option<u64>,
}

/// A validated [`StartSubAgentBody`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartSubAgent {
    /// Accepted by [`check_id`].
    pub request_id: RequestId,
    /// Accepted by [`check_id`].
    pub program: ProgramId,
    /// At least 1.
    pub budget_micros: Micros,
}

/// A validated [`ToolCallBody`].
#[derive(Clone, Debug, PartialEq)]
pub struct ToolCall {
    /// Accepted by [`check_id`].
    pub request_id: RequestId,
    /// Accepted by [`check_id`].
    pub tool: ToolId,
    /// Passed to the tool unchanged.
    pub arguments: Value,
    /// At least 1; `None` runs the call in order of arrival.
    pub sequence: Option<u64>,
}

/// A validated [`EndRunBody`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndRun {
    /// Accepted by [`check_id`].
    pub request_id: RequestId,
}

fn check_positive(field: &'static str, value: Option<u64>) -> Result<()> {
    if value == Some(0) {
        return Err(InvalidBody::Zero(field));
    }
    Ok(())
}

impl TryFrom<StartRunBody> for StartRun {
    type Error = InvalidBody;

    fn try_from(body: StartRunBody) -> Result<Self> {
        check_id("request_id", &body.request_id)?;
        check_id("program", &body.program)?;
        check_positive("budget_micros", body.budget_micros)?;
        Ok(Self {
            request_id: body.request_id,
            program: body.program,
            budget_micros: body.budget_micros,
        })
    }
}

impl TryFrom<TurnBody> for Turn {
    type Error = InvalidBody;

    fn try_from(body: TurnBody) -> Result<Self> {
        check_id("request_id", &body.request_id)?;
        check_positive("max_output_tokens", Some(body.max_output_tokens.into()))?;
        check_positive("sequence", body.sequence)?;
        Ok(Self {
            request_id: body.request_id,
            input: body.input,
            max_output_tokens: body.max_output_tokens,
            sequence: body.sequence,
        })
    }
}

impl TryFrom<StartSubAgentBody> for StartSubAgent {
    type Error = InvalidBody;

    fn try_from(body: StartSubAgentBody) -> Result<Self> {
        check_id("request_id", &body.request_id)?;
        check_id("program", &body.program)?;
        check_positive("budget_micros", Some(body.budget_micros))?;
        Ok(Self {
            request_id: body.request_id,
            program: body.program,
            budget_micros: body.budget_micros,
        })
    }
}

impl TryFrom<ToolCallBody> for ToolCall {
    type Error = InvalidBody;

    fn try_from(body: ToolCallBody) -> Result<Self> {
        check_id("request_id", &body.request_id)?;
        check_id("tool", &body.tool)?;
        check_positive("sequence", body.sequence)?;
        Ok(Self {
            request_id: body.request_id,
            tool: body.tool,
            arguments: body.arguments,
            sequence: body.sequence,
        })
    }
}

impl TryFrom<EndRunBody> for EndRun {
    type Error = InvalidBody;

    fn try_from(body: EndRunBody) -> Result<Self> {
        check_id("request_id", &body.request_id)?;
        Ok(Self {
            request_id: body.request_id,
        })
    }
}

/// The response to the start of a run or a sub-agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAnswer {
    /// Numbers the runs of a conversation, sub-agents included.
    pub run_id: RunId,
    /// The run that spawned the sub-agent; `None` for a root run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent_run_id: Option<RunId>,
    /// Limit of the cost of the run, its sub-agents included.
    pub budget_micros: Micros,
}

/// The response to a tool call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ToolAnswer {
    /// Id of the request that this responds to.
    pub request_id: RequestId,
    /// The idempotency key that was sent to the tool.
    pub action_id: String,
    /// The result as the tool returned it.
    pub result: Value,
    /// Charge of the action; at most the price limit of the tool.
    pub charge_micros: Micros,
    /// Settled cost of the run so far.
    pub spent_micros: Micros,
    /// What further calls of the run can still reserve.
    pub remaining_micros: Micros,
}

/// The response to the end or the cancellation of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRunAnswer {
    /// The run that the path of the request names.
    pub run_id: RunId,
    /// The state after the request.
    pub state: RunState,
    /// Settled cost of the run, its sub-agents included.
    pub spent_micros: Micros,
}

/// State of a run as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// Accepts calls.
    Running,
    /// Ended by the caller.
    Finished,
    /// Cancelled by the caller or an operator.
    Cancelled,
    /// Ended because its budget is exhausted.
    OutOfBudget,
    /// Ended by the entry because no request arrived for a long time.
    Abandoned,
}

/// Name of the first event of a turn's stream.
pub const EVENT_START: &str = "start";
/// Name of the event that carries one token of output.
pub const EVENT_TOKEN: &str = "token";
/// Name of the last event of a successful turn.
pub const EVENT_DONE: &str = "done";
/// Name of the last event of a failed turn; its data is an [`crate::error::ErrorBody`].
pub const EVENT_ERROR: &str = "error";

/// Data of the event `start`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartEvent {
    /// Id of the request that this responds to.
    pub request_id: RequestId,
    /// Number of the call in its run, from 1; tool calls count as well.
    pub turn: u64,
}

/// Data of the event `token`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenEvent {
    /// Position of the token in the output of the turn, from 0.
    pub index: u64,
    /// The text of the token.
    pub text: String,
}

/// Data of the event `done`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoneEvent {
    /// Id of the request that this responds to.
    pub request_id: RequestId,
    /// Number of the call in its run, from 1; tool calls count as well.
    pub turn: u64,
    /// Tokens of the prompt: the history and the new input.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that the engine had in its cache.
    pub cached_tokens: u64,
    /// Tokens that the engine generated.
    pub output_tokens: u64,
    /// Cost of the turn; at most its reservation.
    pub cost_micros: Micros,
    /// Settled cost of the run so far.
    pub spent_micros: Micros,
    /// What further calls of the run can still reserve.
    pub remaining_micros: Micros,
    /// Why the output ended, as reported by the engine.
    pub finish_reason: String,
}

/// The response to `GET /v1/conversations/{c}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateAnswer {
    /// As in the path of the request.
    pub conversation_id: ConversationId,
    /// Whether the entry's lease guarantees that the state is current; `false` during an outage of
    /// the platform, when the state comes from the memory of the entry.
    pub confirmed: bool,
    /// In the order in which they were started; sub-agents included.
    pub runs: Vec<RunSummary>,
}

/// State and cost of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSummary {
    /// Unique within the conversation.
    pub run_id: RunId,
    /// The run that spawned the sub-agent; `None` for a root run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent_run_id: Option<RunId>,
    /// The program with which the run was started.
    pub program: ProgramId,
    /// Only a running run accepts calls.
    pub state: RunState,
    /// Limit of the cost of the run, its sub-agents included.
    pub budget_micros: Micros,
    /// Settled cost so far, sub-agents included.
    pub spent_micros: Micros,
    /// Reserved for calls in progress; not part of the settled cost.
    pub reserved_micros: Micros,
    /// Number of turns and tool calls so far.
    pub calls: u64,
}

/// The response to `GET /v1/conversations/{c}/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryAnswer {
    /// As in the path of the request.
    pub conversation_id: ConversationId,
    /// Whether the entry's lease guarantees that the history is current; `false` during an outage
    /// of the platform, when the history comes from the memory of the entry.
    pub confirmed: bool,
    /// Messages of the root runs, in the order in which they became durable.
    pub messages: Vec<HistoryMessage>,
}

/// One message of the conversation's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryMessage {
    /// The run whose call added the message.
    pub run_id: RunId,
    /// `user`, `assistant` or `tool`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}
