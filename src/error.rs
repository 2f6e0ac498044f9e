//! The error kinds of requests, and the table that maps each kind to its answer.
//!
//! A failed request ends in exactly one [`Error`]. Its kind determines the HTTP status, the
//! machine-readable name, whether the request ran, and the delay before a retry. The message states
//! the fault and what the caller can do about it. The names of the kinds are part of the interface
//! for callers and are listed in `docs/callers.md`.

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

/// The result of handling a request.
pub type Result<T> = std::result::Result<T, Error>;

/// Whether a failed request was executed, which determines whether it is safe to repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It is certain that no part of the request ran.
    No,
    /// The request ran, completely or in part.
    Yes,
    /// It is unknown whether the request ran.
    Unknown,
}

/// The parts of an answer that depend only on the error kind.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The machine-readable name in the body, which callers match.
    pub name: &'static str,
    /// Whether the request ran.
    pub ran: Ran,
    /// Delay before the caller may send the same request again; `None` if it cannot succeed later.
    pub retry_after: Option<Duration>,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $status:literal, $name:literal, $ran:ident, $retry:expr;)*) => {
        /// The kind of a failed request. Stored by its position in this list, which must not change.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of their definition.
            pub const ALL: &'static [ErrorKind] = &[$(ErrorKind::$kind,)*];

            /// The status, name and retry delay that this kind has in answers.
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
    /// The key is known but does not permit this request.
    Forbidden => 403, "forbidden", No, NO_RETRY;
    /// The path, conversation, run, program, tool or service does not exist.
    NotFound => 404, "not_found", No, NO_RETRY;
    /// The path does not support the method.
    MethodNotAllowed => 405, "method_not_allowed", No, NO_RETRY;
    /// The request id was already used with other content.
    RequestIdConflict => 409, "request_id_conflict", No, NO_RETRY;
    /// The run has ended.
    RunEnded => 409, "run_ended", No, NO_RETRY;
    /// The run was cancelled while the request was in progress.
    Cancelled => 409, "cancelled", Yes, NO_RETRY;
    /// The body is longer than the limit.
    BodyTooLarge => 413, "body_too_large", No, NO_RETRY;
    /// The body did not arrive in time.
    BodyTimeout => 408, "body_timeout", No, SHORT_RETRY_DELAY;
    /// The budget does not cover the upper bound of the cost of the call.
    BudgetExceeded => 402, "budget_exceeded", No, NO_RETRY;
    /// The run has reached its program's limit of calls.
    TooManyCalls => 409, "too_many_calls", No, NO_RETRY;
    /// The run has reached its program's limit of sub-agents.
    TooManySubAgents => 409, "too_many_sub_agents", No, NO_RETRY;
    /// The sub-agent would exceed its program's depth limit.
    TooDeep => 409, "too_deep", No, NO_RETRY;
    /// The history and the new input exceed the context of the model.
    HistoryTooLong => 409, "history_too_long", No, NO_RETRY;
    /// A call with a lower sequence number has not arrived.
    SequenceGap => 409, "sequence_gap", No, SHORT_RETRY_DELAY;
    /// Too many requests wait for the same run, engine or entry.
    Overloaded => 429, "overloaded", No, LONG_RETRY_DELAY;
    /// The retry budget of the site is used up.
    RetryBudgetExhausted => 503, "retry_budget_exhausted", No, LONG_RETRY_DELAY;
    /// The request was queued for longer than its limit.
    QueueTimeout => 503, "queue_timeout", No, LONG_RETRY_DELAY;
    /// No entry currently holds the slot of the conversation.
    SlotUnavailable => 503, "slot_unavailable", No, LONG_RETRY_DELAY;
    /// The platform is unavailable, so nothing new can be made durable.
    PlatformUnavailable => 503, "platform_unavailable", No, LONG_RETRY_DELAY;
    /// The entry has no configuration yet.
    NotReady => 503, "not_ready", No, SHORT_RETRY_DELAY;
    /// The entry is draining; another entry accepts the request.
    Leaving => 503, "leaving", No, SHORT_RETRY_DELAY;
    /// No backend server in service can accept the call.
    NoBackendServer => 503, "no_backend_server", No, LONG_RETRY_DELAY;
    /// The connection to the lease holder broke after the request was sent, or the lease was lost
    /// while the request was in progress.
    HolderLost => 503, "holder_lost", Unknown, SHORT_RETRY_DELAY;
    /// The call took effect, but its outcome did not become durable in time.
    NotDurable => 503, "not_durable", Unknown, LONG_RETRY_DELAY;
    /// The backend server failed after the call had started.
    BackendFailed => 502, "backend_failed", Yes, NO_RETRY;
    /// The tool reported that it refused the action or failed.
    ToolFailed => 502, "tool_failed", Yes, NO_RETRY;
    /// It is unknown whether the action ran; it is never repeated.
    ActionInDoubt => 502, "action_in_doubt", Unknown, NO_RETRY;
    /// The service's connection broke after the call was sent.
    ServiceInDoubt => 502, "service_in_doubt", Unknown, NO_RETRY;
    /// The deadline passed while a backend server was processing the request.
    DeadlineExceeded => 504, "deadline_exceeded", Unknown, NO_RETRY;
    /// A bug in this program.
    Internal => 500, "internal", Unknown, NO_RETRY;
    /// The backend servers limit their request rates, and the limits are used up.
    RateLimited => 503, "rate_limited", No, SHORT_RETRY_DELAY;
    /// The request has crashed the backend servers that ran it, and would crash the next one.
    CrashesServers => 502, "crashes_servers", No, NO_RETRY;
    /// The stream cannot be resumed; the request may be sent anew.
    CannotResume => 503, "cannot_resume", No, NO_RETRY;
    /// The requests of the team have reached its limit.
    TeamLimitReached => 429, "team_limit_reached", No, SHORT_RETRY_DELAY;
    /// The backend servers have more work than they can complete in time, so no new program begins.
    ServersOverloaded => 503, "servers_overloaded", No, SHORT_RETRY_DELAY;
}

macro_rules! causes {
    ($($variant:ident($error:ty);)*) => {
        /// The error that led to an [`Error`].
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

/// The error that a failed request is answered with.
#[derive(Debug)]
pub struct Error {
    /// Determines everything in the answer except the message.
    pub kind: ErrorKind,
    /// States the fault and what the caller can do about it; starts in lower case.
    pub message: String,
    /// The error that led to this one. Its text is appended to the message in answers.
    pub cause: Option<Cause>,
    /// Delay before the caller may send the request again, if it is known better than from the
    /// kind.
    pub retry_after: Option<Duration>,
}

impl Error {
    /// Creates an error without a cause.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            cause: None,
            retry_after: None,
        }
    }

    /// Sets the delay before the caller may send the request again.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Sets the error that led to this one.
    pub fn with_cause(mut self, cause: impl Into<Cause>) -> Self {
        self.cause = Some(cause.into());
        self
    }

    /// The body of the answer, whose message includes all causes.
    pub fn to_body(&self) -> ErrorBody {
        let answer = self.kind.answer();
        ErrorBody {
            error: ErrorDetail {
                kind: answer.name.to_string(),
                message: chain(self),
                ran: answer.ran,
                retry_after_ms: self
                    .retry_after
                    .or(answer.retry_after)
                    .map(|delay| delay.as_millis() as u64),
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

/// Joins the messages of an error and of all its causes with colons.
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
    /// The only member of the JSON object.
    pub error: ErrorDetail,
}

/// The content of an [`ErrorBody`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// The machine-readable name of the kind.
    pub kind: String,
    /// The message of the error and of its causes, for humans; not to be matched.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// Delay before the same request may be sent again; absent if it cannot succeed later.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
