//! Steps of a caller, one by one or as a script, with their results written for people or as JSON
//! lines.
//!
//! A script is a JSON object with a list `steps`. A step that starts a run may give it a name, by
//! which later steps refer to it. A step may name the error kind that it is expected to end in.

mod player;
mod report;

use std::fmt;

pub use player::{Format, Player};
use serde::Deserialize;
use serde_json::Value;

use crate::caller::CallError;
use crate::ids::{Micros, ProgramId, RequestId, RunId, ToolId};

/// The result of a step.
pub type Result<T> = std::result::Result<T, StepError>;

/// Output tokens of a turn that names no limit.
pub const DEFAULT_MAX_OUTPUT_TOKENS: u32 = 256;

/// A list of steps.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Played in order; the first one that fails unexpectedly ends the script.
    pub steps: Vec<Step>,
}

/// A run, by its number or by the name that an earlier step gave it.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum RunReference {
    /// The number of the run in its conversation.
    Number(RunId),
    /// A name of this script.
    Name(String),
}

/// One step.
#[derive(Clone, Debug, Deserialize)]
pub struct Step {
    /// Chosen at random if absent.
    #[serde(default)]
    pub request_id: Option<RequestId>,
    /// The kind of error that the step must end in.
    #[serde(default)]
    pub expect_error: Option<String>,
    /// What to do.
    #[serde(flatten)]
    pub action: Action,
}

/// What a step does.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum Action {
    /// Lists the entries of a conversation.
    Entries {
        /// The conversation.
        conversation: String,
    },
    /// Starts a run.
    Start {
        /// The conversation.
        conversation: String,
        /// The program to run.
        program: ProgramId,
        /// Lowers the program's budget.
        #[serde(default)]
        budget_micros: Option<Micros>,
        /// A name for the run.
        #[serde(default)]
        name: Option<String>,
    },
    /// Runs a turn.
    Turn {
        /// The conversation.
        conversation: String,
        /// The run.
        run: RunReference,
        /// The new message of the user.
        input: String,
        /// Most tokens to generate.
        #[serde(default)]
        max_output_tokens: Option<u32>,
        /// The number of the call in its run.
        #[serde(default)]
        sequence: Option<u64>,
    },
    /// Calls a tool.
    Tool {
        /// The conversation.
        conversation: String,
        /// The run.
        run: RunReference,
        /// The tool.
        tool: ToolId,
        /// Passed to the tool unchanged.
        #[serde(default)]
        arguments: Value,
        /// The number of the call in its run.
        #[serde(default)]
        sequence: Option<u64>,
    },
    /// Starts a sub-agent.
    SubAgent {
        /// The conversation.
        conversation: String,
        /// The parent.
        run: RunReference,
        /// The program to run.
        program: ProgramId,
        /// The most that it may spend.
        budget_micros: Micros,
        /// A name for the run.
        #[serde(default)]
        name: Option<String>,
    },
    /// Ends a run.
    End {
        /// The conversation.
        conversation: String,
        /// The run.
        run: RunReference,
    },
    /// Cancels a run.
    Cancel {
        /// The conversation.
        conversation: String,
        /// The run.
        run: RunReference,
    },
    /// Reads the state of a conversation.
    State {
        /// The conversation.
        conversation: String,
    },
    /// Reads the messages of a conversation.
    History {
        /// The conversation.
        conversation: String,
    },
    /// Calls a plain service.
    Service {
        /// The service.
        service: String,
        /// The path within the service.
        path: String,
        /// `POST` if absent.
        #[serde(default)]
        method: Option<String>,
        /// Sent as JSON.
        #[serde(default)]
        body: Value,
        /// Whether a second execution does no harm.
        #[serde(default)]
        may_repeat: bool,
    },
    /// Waits.
    Pause {
        /// How long.
        pause_ms: u64,
    },
}

/// Why a step failed.
#[derive(Debug)]
pub enum StepError {
    /// The call failed; repeating it needs the request id.
    Call(RequestId, CallError),
    /// No earlier step gave a run this name.
    UnknownRun(String),
    /// The method of a service call is not one of HTTP.
    InvalidMethod(String),
    /// The step was expected to end in this error but succeeded.
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
                "no run has the name `{name}`; give its number, or name it in an earlier step"
            ),
            StepError::InvalidMethod(method) => {
                write!(formatter, "`{method}` is not an HTTP method")
            }
            StepError::UnexpectedSuccess(kind) => {
                write!(
                    formatter,
                    "the step succeeded but was expected to end in `{kind}`"
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
