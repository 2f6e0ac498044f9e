//! The two routes that a planned program can take: through an entry, or directly to an engine.

mod direct;
mod entry;

use std::future::Future;

use serde_json::Value;

use crate::caller::CallError;
use crate::connection::http_client::ClientError;
use crate::error::Ran;
use crate::ids::{Micros, RequestId};
use crate::load::workload::{Class, ToolUse};

pub use crate::load::route::direct::DirectRoute;
pub use crate::load::route::entry::EntryRoute;

/// The result of a call over a route.
pub type Result<T> = std::result::Result<T, CallFailure>;

/// Why a call of a program failed.
#[derive(Clone, Debug)]
pub struct CallFailure {
    /// The error kind of the protocol, or `no_answer`.
    pub kind: String,
    /// Whether the call ran.
    pub ran: Ran,
}

impl From<CallError> for CallFailure {
    fn from(error: CallError) -> Self {
        let kind = match error.detail() {
            Some(detail) => detail.kind.clone(),
            None => String::from("no_answer"),
        };
        Self {
            kind,
            ran: error.ran(),
        }
    }
}

impl From<ClientError> for CallFailure {
    fn from(error: ClientError) -> Self {
        let ran = if error.is_not_sent() {
            Ran::No
        } else {
            Ran::Unknown
        };
        Self {
            kind: String::from("no_answer"),
            ran,
        }
    }
}

/// What the program of a route spent so far.
#[derive(Clone, Copy, Debug)]
pub struct Spending {
    /// Spent in all.
    pub spent_micros: Micros,
    /// The most that may be spent.
    pub budget_micros: Micros,
}

/// The outcome of a turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct TurnOutcome {
    /// Tokens of the history with the new input.
    pub prompt_tokens: u64,
    /// Those of the prompt that the engine had in its cache.
    pub cached_tokens: u64,
    /// Tokens that were generated.
    pub output_tokens: u64,
    /// Absent on a route without budgets.
    pub spending: Option<Spending>,
}

/// The outcome of a tool call.
#[derive(Clone, Debug)]
pub struct ToolOutcome {
    /// The idempotency key that the tool received.
    pub action_id: String,
    /// Absent on a route without budgets.
    pub spending: Option<Spending>,
}

/// Something that is seen while a turn runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Piece {
    /// A piece of output arrived.
    Token,
    /// The stream broke and begins again.
    Restarted,
}

/// A way to run the programs of a plan.
pub trait Route: 'static {
    /// A program in progress.
    type Session;

    /// Starts a program in a conversation of its own.
    fn start(
        &self,
        class: &Class,
        conversation: &str,
    ) -> impl Future<Output = Result<Self::Session>>;

    /// Runs a turn and tells `observe` of each piece of output as it arrives.
    fn turn(
        &self,
        session: &mut Self::Session,
        request_id: RequestId,
        input: &str,
        max_output_tokens: u32,
        observe: impl FnMut(Piece),
    ) -> impl Future<Output = Result<TurnOutcome>>;

    /// Calls a tool; `None` if the route has no way to it.
    fn tool(
        &self,
        session: &mut Self::Session,
        request_id: RequestId,
        tool: &ToolUse,
    ) -> impl Future<Output = Result<Option<ToolOutcome>>>;

    /// Ends a program; `finished` is `false` after a failed call.
    fn end(
        &self,
        session: Self::Session,
        request_id: RequestId,
        finished: bool,
    ) -> impl Future<Output = Result<()>>;
}

/// A JSON value as the text of a message.
fn message_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
