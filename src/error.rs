//! The closed list of error kinds and the table from each kind to its answer.
//!
//! A request that fails ends in exactly one [`Error`]. Its kind decides the HTTP status, the
//! machine-readable name, whether the request ran, and when the caller should come back. The message
//! says what went wrong and what to do about it.

use std::error::Error as StdError;
use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::connection::engine::EngineError;
use crate::connection::http_client::ClientError;
use crate::connection::peer::PeerError;
use crate::connection::tool::ToolError;
use crate::process::gateway::store::StoreError;
use crate::process::journal::JournalError;

/// The result of work on a request.
pub type Result<T> = std::result::Result<T, Error>;

/// Whether the work of a failed request took place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// Certain: no part of the request ran.
    No,
    /// The request ran, in whole or in part.
    Yes,
    /// It cannot be known whether the request ran.
    Unknown,
}

/// What the caller is told about an error kind.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The machine-readable name in the body.
    pub name: &'static str,
    /// Whether the request ran.
    pub ran: Ran,
    /// When the caller may come back; `None` where the same request cannot succeed later.
    pub retry_after: Option<Duration>,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $status:literal, $name:literal, $ran:ident, $retry:expr;)*) => {
        /// Every way in which a request can fail.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind,)*];

            /// Looks up what the caller is told.
            pub const fn answer(self) -> Answer {
                match self {
                    $(ErrorKind::$kind => Answer {
                        status: $status,
                        name: $name,
                        ran: Ran::$ran,
                        retry_after: $retry,
                    },)*
                }
            }
        }
    };
}

const SHORT_RETRY_DELAY: Option<Duration> = Some(Duration::from_millis(500));
const LONG_RETRY_DELAY: Option<Duration> = Some(Duration::from_secs(2));
const NO_RETRY: Option<Duration> = None;

error_kinds! {
    /// The request is malformed.
    BadRequest => 400, "bad_request", No, NO_RETRY;
    /// The key is missing or unknown.
    Unauthorized => 401, "unauthorized", No, NO_RETRY;
    /// The key is known but does not give this right.
    Forbidden => 403, "forbidden", No, NO_RETRY;
    /// The path, conversation, run, program, tool or service does not exist.
    NotFound => 404, "not_found", No, NO_RETRY;
    /// The method is not offered on this path.
    MethodNotAllowed => 405, "method_not_allowed", No, NO_RETRY;
    /// The request id was used before with other content.
    RequestIdConflict => 409, "request_id_conflict", No, NO_RETRY;
    /// The run has ended.
    RunEnded => 409, "run_ended", No, NO_RETRY;
    /// The run was cancelled while the request was in progress.
    Cancelled => 409, "cancelled", Yes, NO_RETRY;
    /// The body is longer than the limit.
    BodyTooLarge => 413, "body_too_large", No, NO_RETRY;
    /// The body did not arrive in time.
    BodyTimeout => 408, "body_timeout", No, SHORT_RETRY_DELAY;
    /// The budget does not cover the most that the call can cost.
    BudgetExceeded => 402, "budget_exceeded", No, NO_RETRY;
    /// The run has made as many calls as its program may.
    TooManyCalls => 409, "too_many_calls", No, NO_RETRY;
    /// The run has spawned as many sub-agents as its program may.
    TooManySubAgents => 409, "too_many_sub_agents", No, NO_RETRY;
    /// The sub-agent would be deeper than its program may.
    TooDeep => 409, "too_deep", No, NO_RETRY;
    /// The history with the new input does not fit the model's context.
    HistoryTooLong => 409, "history_too_long", No, NO_RETRY;
    /// An earlier call in the sequence has not arrived.
    SequenceGap => 409, "sequence_gap", No, SHORT_RETRY_DELAY;
    /// Too many requests wait for the same run, engine or entry.
    Overloaded => 429, "overloaded", No, LONG_RETRY_DELAY;
    /// The retry budget of the site is used up.
    RetryBudgetExhausted => 503, "retry_budget_exhausted", No, LONG_RETRY_DELAY;
    /// The request waited for its turn longer than its limit.
    QueueTimeout => 503, "queue_timeout", No, LONG_RETRY_DELAY;
    /// No entry holds the slot of the conversation at the moment.
    SlotUnavailable => 503, "slot_unavailable", No, LONG_RETRY_DELAY;
    /// The platform does not answer, so nothing new can be made durable.
    PlatformUnavailable => 503, "platform_unavailable", No, LONG_RETRY_DELAY;
    /// The entry has no configuration yet.
    NotReady => 503, "not_ready", No, SHORT_RETRY_DELAY;
    /// The entry is leaving; another one takes the request.
    Leaving => 503, "leaving", No, SHORT_RETRY_DELAY;
    /// No backend server that can take the call is in service.
    NoBackendServer => 503, "no_backend_server", No, LONG_RETRY_DELAY;
    /// The holder was reached but the connection to it broke.
    HolderLost => 503, "holder_lost", Unknown, SHORT_RETRY_DELAY;
    /// The call took effect but could not be made durable in time.
    NotDurable => 503, "not_durable", Unknown, LONG_RETRY_DELAY;
    /// The backend server failed after the call had started.
    BackendFailed => 502, "backend_failed", Yes, NO_RETRY;
    /// The tool refused or failed the action, and says so.
    ToolFailed => 502, "tool_failed", Yes, NO_RETRY;
    /// It cannot be known whether the action ran; it is never run again.
    ActionInDoubt => 502, "action_in_doubt", Unknown, NO_RETRY;
    /// The service's connection broke after the call was sent.
    ServiceInDoubt => 502, "service_in_doubt", Unknown, NO_RETRY;
    /// The deadline passed while a backend server was processing the request.
    DeadlineExceeded => 504, "deadline_exceeded", Unknown, NO_RETRY;
    /// A fault of this program.
    Internal => 500, "internal", Unknown, NO_RETRY;
}

macro_rules! causes {
    ($($variant:ident($error:ty);)*) => {
        /// The error below an [`Error`].
        #[derive(Debug)]
        pub enum Cause {
            $(
                #[doc = concat!("A `", stringify!($error), "`.")]
                $variant($error),
            )*
        }

        impl Cause {
            fn as_error(&self) -> &(dyn StdError + 'static) {
                match self {
                    $(Cause::$variant(error) => error,)*
                }
            }
        }

        $(
            impl From<$error> for Cause {
                fn from(error: $error) -> Self {
                    Cause::$variant(error)
                }
            }
        )*
    };
}

causes! {
    Client(ClientError);
    Engine(EngineError);
    Http(hyper::Error);
    Journal(JournalError);
    Json(serde_json::Error);
    Peer(PeerError);
    Store(StoreError);
    Tool(ToolError);
}

/// The final answer to a request that failed.
#[derive(Debug)]
pub struct Error {
    /// Decides what the caller is told.
    pub kind: ErrorKind,
    /// Lowercase; says what went wrong and what to do.
    pub message: String,
    /// The error below this one, if any.
    pub cause: Option<Cause>,
}

impl Error {
    /// Makes an error without a cause.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            cause: None,
        }
    }

    /// Adds the error that led to this one.
    pub fn with_cause(mut self, cause: impl Into<Cause>) -> Self {
        self.cause = Some(cause.into());
        self
    }

    /// The body of the answer.
    pub fn to_body(&self) -> ErrorBody {
        let answer = self.kind.answer();
        ErrorBody {
            error: ErrorDetail {
                kind: answer.name.to_string(),
                message: chain(self),
                ran: answer.ran,
                retry_after_ms: answer.retry_after.map(|delay| delay.as_millis() as u64),
            },
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.message)
    }
}

impl StdError for Error {
    fn source(&self) -> Option<&(dyn StdError + 'static)> {
        self.cause.as_ref().map(Cause::as_error)
    }
}

/// Joins an error and its causes into one line.
pub fn chain(error: &dyn StdError) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}

/// The JSON body of a failed request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The only member.
    pub error: ErrorDetail,
}

/// What [`ErrorBody`] tells.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The machine-readable name of the kind.
    pub kind: String,
    /// For people.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back; absent where the same request cannot succeed later.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
