//! Calls as single steps or as a script, with their results written as text or as JSON lines.
//!
//! A script is a JSON object with a list `steps`, which are executed in order. A step that starts a
//! run may assign it a name that later steps use as a reference. A step may specify the error kind
//! that it is expected to fail with.

mod report;
mod runner;

use std::fmt;

pub use runner::{OutputFormat, ScriptRunner};
use serde::Deserialize;
use serde_json::Value;

use crate::caller::CallError;
use crate::ids::{Micros, ProgramId, RequestId, RunId, ToolId};

/// The result of a step.
pub type Result<T> = std::result::Result<T, StepError>;

/// `max_output_tokens` of a turn step that does not set it.
pub const DEFAULT_MAX_OUTPUT_TOKENS: u32 = 256;

/// A list of steps, as deserialized from JSON.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Executed in order; the first step that fails unexpectedly stops the script.
    pub steps: Vec<Step>,
}

/// A reference to a run, by its number or by the name that an earlier step assigned to it.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum RunReference {
    /// Run id within the conversation.
    Number(RunId),
    /// Name assigned by a step of the same script.
    Name(String),
}

/// One call, or a pause.
#[derive(Clone, Debug, Deserialize)]
pub struct Step {
    /// Generated at random if absent.
    #[serde(default)]
    pub request_id: Option<RequestId>,
    /// The error kind that the step must fail with; success is then an error.
    #[serde(default)]
    pub expect_error: Option<String>,
    /// The call to make, with its arguments.
    #[serde(flatten)]
    pub action: StepAction,
}

/// The call that a step makes, selected by the JSON field `step`.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum StepAction {
    /// Lists the entries of a conversation.
    Entries {
        /// Id of the conversation.
        conversation: String,
    },
    /// Starts a run.
    Start {
        /// Id of the conversation.
        conversation: String,
        /// Id of the program to run.
        program: ProgramId,
        /// Lowers the budget of the run below that of the program.
        #[serde(default)]
        budget_micros: Option<Micros>,
        /// Name by which later steps refer to the run.
        #[serde(default)]
        name: Option<String>,
    },
    /// Runs a turn.
    Turn {
        /// Id of the conversation.
        conversation: String,
        /// The run that the call belongs to.
        run: RunReference,
        /// The new user message.
        input: String,
        /// Limit on the generated tokens; [`DEFAULT_MAX_OUTPUT_TOKENS`] if absent.
        #[serde(default)]
        max_output_tokens: Option<u32>,
        /// Position of the call in its run, from 1; the call waits for the one before it.
        #[serde(default)]
        sequence: Option<u64>,
    },
    /// Calls a tool.
    Tool {
        /// Id of the conversation.
        conversation: String,
        /// The run that the call belongs to.
        run: RunReference,
        /// Id of the tool.
        tool: ToolId,
        /// Forwarded to the tool unchanged.
        #[serde(default)]
        arguments: Value,
        /// Position of the call in its run, from 1; the call waits for the one before it.
        #[serde(default)]
        sequence: Option<u64>,
    },
    /// Starts a sub-agent.
    SubAgent {
        /// Id of the conversation.
        conversation: String,
        /// The parent run.
        run: RunReference,
        /// Id of the program to run.
        program: ProgramId,
        /// Limit on the spending of the sub-agent.
        budget_micros: Micros,
        /// Name by which later steps refer to the run.
        #[serde(default)]
        name: Option<String>,
    },
    /// Ends a run.
    End {
        /// Id of the conversation.
        conversation: String,
        /// The run that the call belongs to.
        run: RunReference,
    },
    /// Cancels a run.
    Cancel {
        /// Id of the conversation.
        conversation: String,
        /// The run that the call belongs to.
        run: RunReference,
    },
    /// Reads the state of a conversation.
    State {
        /// Id of the conversation.
        conversation: String,
    },
    /// Reads the messages of a conversation.
    History {
        /// Id of the conversation.
        conversation: String,
    },
    /// Calls a plain service.
    Service {
        /// Id of the service.
        service: String,
        /// Path within the service, percent-encoded.
        path: String,
        /// HTTP method; `POST` if absent.
        #[serde(default)]
        method: Option<String>,
        /// Sent as a JSON body; `null` if absent.
        #[serde(default)]
        body: Value,
        /// Whether the call is idempotent, so that it may be repeated after an unknown outcome.
        #[serde(default)]
        may_repeat: bool,
    },
    /// Waits before the next step.
    Pause {
        /// Duration of the pause.
        pause_ms: u64,
    },
}

/// Why a step failed.
#[derive(Debug)]
pub enum StepError {
    /// The call failed; the request id is needed to repeat it.
    Call(RequestId, CallError),
    /// No earlier step assigned this name to a run.
    UnknownRun(String),
    /// The method of a service call is not a valid HTTP method.
    InvalidMethod(String),
    /// The step succeeded but was expected to fail with this error kind.
    UnexpectedSuccess(String),
    /// The result could not be written.
    Output(std::io::Error),
}

impl fmt::Display for StepError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StepError::Call(request_id, _) => {
                write!(formatter, "the request `{request_id}` failed")
            }
            StepError::UnknownRun(name) => write!(
                formatter,
                "no run is named `{name}`; use its number, or name it in an earlier step"
            ),
            StepError::InvalidMethod(method) => {
                write!(formatter, "`{method}` is not an HTTP method")
            }
            StepError::UnexpectedSuccess(kind) => {
                write!(
                    formatter,
                    "the step succeeded but was expected to fail with `{kind}`"
                )
            }
            StepError::Output(_) => formatter.write_str("the result could not be written"),
        }
    }
}

impl std::error::Error for StepError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StepError::Call(_, error) => Some(error),
            StepError::Output(error) => Some(error),
            _ => None,
        }
    }
}

impl From<std::io::Error> for StepError {
    fn from(error: std::io::Error) -> Self {
        StepError::Output(error)
    }
}
