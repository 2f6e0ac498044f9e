//! The JSON bodies of the interface for callers.
//!
//! Bodies are parsed raw (`StartRunBody` and its kin) and then checked by `TryFrom`, which yields
//! values whose ids are well formed. The server and the client library share these types.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::{
    ConversationId, EntryId, FailureDomainId, Micros, ProgramId, RequestId, RunId, ToolId,
};

/// The result of checking a body.
pub type Result<T> = std::result::Result<T, InvalidBody>;

/// Longest id that a caller may choose, in characters.
pub const ID_LIMIT_CHARS: usize = 128;

/// Why a body was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InvalidBody {
    /// The field is not an id.
    Id(&'static str),
    /// The number in the field must be at least 1.
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

/// Checks an id that the caller chose: 1 to 128 ASCII letters, digits, `-`, `_`, `.` or `:`.
pub fn check_id(field: &'static str, id: &str) -> Result<()> {
    let allowed =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':');
    if (1..=ID_LIMIT_CHARS).contains(&id.len()) && id.bytes().all(allowed) {
        Ok(())
    } else {
        Err(InvalidBody::Id(field))
    }
}

/// Checks the id of a conversation in a path.
pub fn check_conversation_id(id: &str) -> Result<ConversationId> {
    check_id("conversation", id)?;
    Ok(id.into())
}

/// The answer to `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesAnswer {
    /// In order of preference; the first one holds the conversation if it can be known.
    pub entries: Vec<EntryAddress>,
    /// How long the answer may be used.
    pub ttl_ms: u64,
}

/// One entry that callers may connect to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The entry.
    pub entry_id: EntryId,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Where it stands.
    pub failure_domain: FailureDomainId,
}

/// The body that starts a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartRunBody {
    /// Names the request within the conversation.
    pub request_id: RequestId,
    /// The program to run.
    pub program: ProgramId,
    /// Lowers the budget that the program's definition gives.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub budget_micros: Option<Micros>,
}

/// The body of a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TurnBody {
    /// Names the request within the conversation.
    pub request_id: RequestId,
    /// The new message of the user.
    pub input: String,
    /// Most tokens to generate; the reservation covers them.
    pub max_output_tokens: u32,
    /// The number of the call in its run, from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sequence: Option<u64>,
}

/// The body that starts a sub-agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StartSubAgentBody {
    /// Names the request within the conversation.
    pub request_id: RequestId,
    /// The program to run.
    pub program: ProgramId,
    /// The most that the sub-agent may spend; it draws on its parent.
    pub budget_micros: Micros,
}

/// The body of a tool call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ToolCallBody {
    /// Names the request within the conversation.
    pub request_id: RequestId,
    /// The tool to call.
    pub tool: ToolId,
    /// Passed to the tool unchanged.
    #[serde(default)]
    pub arguments: Value,
    /// The number of the call in its run, from 1.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sequence: Option<u64>,
}

/// The body that ends or cancels a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EndRunBody {
    /// Names the request within the conversation.
    pub request_id: RequestId,
}

/// A checked [`StartRunBody`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartRun {
    /// Well formed.
    pub request_id: RequestId,
    /// Well formed.
    pub program: ProgramId,
    /// At least 1 if given.
    pub budget_micros: Option<Micros>,
}

/// A checked [`TurnBody`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// Well formed.
    pub request_id: RequestId,
    /// The new message of the user.
    pub input: String,
    /// At least 1.
    pub max_output_tokens: u32,
    /// At least 1 if given.
    pub sequence: Option<u64>,
}

/// A checked [`StartSubAgentBody`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartSubAgent {
    /// Well formed.
    pub request_id: RequestId,
    /// Well formed.
    pub program: ProgramId,
    /// At least 1.
    pub budget_micros: Micros,
}

/// A checked [`ToolCallBody`].
#[derive(Clone, Debug, PartialEq)]
pub struct ToolCall {
    /// Well formed.
    pub request_id: RequestId,
    /// Well formed.
    pub tool: ToolId,
    /// Passed to the tool unchanged.
    pub arguments: Value,
    /// At least 1 if given.
    pub sequence: Option<u64>,
}

/// A checked [`EndRunBody`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndRun {
    /// Well formed.
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

/// The answer to a started run or sub-agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunAnswer {
    /// The new run.
    pub run_id: RunId,
    /// The run that a sub-agent draws on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent_run_id: Option<RunId>,
    /// The most that the run may spend.
    pub budget_micros: Micros,
}

/// The answer to a tool call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ToolAnswer {
    /// The request that is answered.
    pub request_id: RequestId,
    /// The idempotency key that the tool received.
    pub action_id: String,
    /// What the tool answered.
    pub result: Value,
    /// What the action cost.
    pub charge_micros: Micros,
    /// Spent by the run so far.
    pub spent_micros: Micros,
    /// Left of the run's budget.
    pub remaining_micros: Micros,
}

/// The answer to the end or the cancellation of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndRunAnswer {
    /// The run.
    pub run_id: RunId,
    /// Its state now.
    pub state: RunState,
    /// What it spent in all.
    pub spent_micros: Micros,
}

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// Takes calls.
    Running,
    /// Ended by the caller.
    Finished,
    /// Cancelled by the caller or an operator.
    Cancelled,
    /// Ended because its budget is spent.
    OutOfBudget,
    /// Ended because no request came for a long time.
    Abandoned,
}

/// Name of the first event of a turn's stream.
pub const EVENT_START: &str = "start";
/// Name of the event that carries a piece of output.
pub const EVENT_TOKEN: &str = "token";
/// Name of the last event of a turn that succeeded.
pub const EVENT_DONE: &str = "done";
/// Name of the last event of a turn that failed; its data is an [`crate::error::ErrorBody`].
pub const EVENT_ERROR: &str = "error";

/// Data of the event `start`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartEvent {
    /// The request that is answered.
    pub request_id: RequestId,
    /// The number of the turn in its run, from 1.
    pub turn: u64,
}

/// Data of the event `token`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenEvent {
    /// Counts the pieces of the turn, from 0.
    pub index: u64,
    /// The piece of output.
    pub text: String,
}

/// Data of the event `done`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoneEvent {
    /// The request that is answered.
    pub request_id: RequestId,
    /// The number of the turn in its run, from 1.
    pub turn: u64,
    /// Tokens of the history with the new input.
    pub prompt_tokens: u64,
    /// Those of the prompt that the engine had in its cache.
    pub cached_tokens: u64,
    /// Tokens that were generated.
    pub output_tokens: u64,
    /// What the turn cost.
    pub cost_micros: Micros,
    /// Spent by the run so far.
    pub spent_micros: Micros,
    /// Left of the run's budget.
    pub remaining_micros: Micros,
    /// Why the output ended, as the engine says it.
    pub finish_reason: String,
}

/// The answer to `GET /v1/conversations/{c}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateAnswer {
    /// The conversation.
    pub conversation_id: ConversationId,
    /// Whether the state was confirmed with the platform; `false` while the platform is down.
    pub confirmed: bool,
    /// In the order in which they were started.
    pub runs: Vec<RunSummary>,
}

/// State and cost of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunSummary {
    /// The run.
    pub run_id: RunId,
    /// The run that a sub-agent draws on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent_run_id: Option<RunId>,
    /// The program that it runs.
    pub program: ProgramId,
    /// Its state.
    pub state: RunState,
    /// The most that it may spend.
    pub budget_micros: Micros,
    /// Spent so far, sub-agents included.
    pub spent_micros: Micros,
    /// Reserved for calls in progress.
    pub reserved_micros: Micros,
    /// Turns and tool calls so far.
    pub calls: u64,
}

/// The answer to `GET /v1/conversations/{c}/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryAnswer {
    /// The conversation.
    pub conversation_id: ConversationId,
    /// Whether the history was confirmed with the platform; `false` while the platform is down.
    pub confirmed: bool,
    /// In order.
    pub messages: Vec<HistoryMessage>,
}

/// One message of a history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryMessage {
    /// The run that it belongs to.
    pub run_id: RunId,
    /// `user`, `assistant` or `tool`.
    pub role: String,
    /// The text.
    pub content: String,
}
