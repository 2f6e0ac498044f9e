//! The durable events of a conversation.
//!
//! A call has a start event, which is durable before the call is sent to a backend server, and a
//! finish event with its outcome. Segments store events with `postcard`, so the order and the types
//! of fields and variants are part of the stored format.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::error::ErrorKind;
use crate::ids::{ConversationKey, Micros, ProgramId, RequestId, RunId, SlotId};
use crate::process::conversation::{Action, TurnResult};

/// Why a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// The caller ended it.
    Finished,
    /// The caller or an operator cancelled it.
    Cancelled,
    /// The run and its descendants had no event for longer than `limits.abandon_ms`.
    Abandoned,
}

/// How a turn ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TurnOutcome {
    /// The engine finished its output.
    Done(TurnResult),
    /// Failed permanently; repeating the request returns the same error.
    Failed {
        /// Returned to every repeat.
        kind: ErrorKind,
        /// Returned to every repeat.
        message: Rc<str>,
        /// Cost of the attempt.
        cost_micros: Micros,
    },
    /// The caller did not receive the result; repeating the request runs the turn again.
    Interrupted {
        /// Cost of the attempt.
        cost_micros: Micros,
    },
    /// The call was not sent, or no backend server accepted it. Its reservation is released, and
    /// the record of the request is removed.
    NotRun,
}

/// How an action ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ActionOutcome {
    /// The tool returned a result.
    Done {
        /// JSON text.
        result: Rc<str>,
        /// Amount that the tool charged.
        charge_micros: Micros,
    },
    /// The tool reported that the action failed without effect.
    Failed {
        /// Returned to every repeat.
        message: Rc<str>,
    },
    /// It is unknown whether the action took effect; the reservation stays until it is known.
    InDoubt,
    /// The call was not sent. Its reservation is released, and the record of the request is
    /// removed.
    NotRun,
}

/// A change of the state of a conversation, applied once it is durable.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A run started.
    RunStarted {
        /// The request that started the run.
        request_id: RequestId,
        /// Hash of the request's content.
        fingerprint: u64,
        /// Id of the new run.
        run_id: RunId,
        /// The program that the run executes.
        program_id: ProgramId,
        /// The run that started it as a sub-agent; `None` for a root run.
        parent_run_id: Option<RunId>,
        /// Limit of the cost of the run, including its sub-agents.
        budget_micros: Micros,
        /// Becomes the first message if the thread has none; no message is added if it is empty.
        system_prompt: Rc<str>,
    },
    /// A model call is about to be sent.
    TurnStarted {
        /// The request that makes the call.
        request_id: RequestId,
        /// Hash of the request's content.
        fingerprint: u64,
        /// The run that the event belongs to.
        run_id: RunId,
        /// Upper bound of the cost of the call.
        reserved_micros: Micros,
    },
    /// A model call ended.
    TurnFinished {
        /// The request that makes the call.
        request_id: RequestId,
        /// The run that the event belongs to.
        run_id: RunId,
        /// The text that the caller sent. It is added to the thread together with the output, and
        /// only if the turn has a result.
        input: Rc<str>,
        /// Determines the settled cost and what a repeat gets.
        outcome: TurnOutcome,
    },
    /// A tool call is about to be sent.
    ActionIntended {
        /// The request that makes the call.
        request_id: RequestId,
        /// Hash of the request's content.
        fingerprint: u64,
        /// The run that the event belongs to.
        run_id: RunId,
        /// The call, with its reservation.
        action: Action,
    },
    /// A tool call ended.
    ActionFinished {
        /// The request that makes the call.
        request_id: RequestId,
        /// The run that the event belongs to.
        run_id: RunId,
        /// Determines the settled cost and what a repeat gets.
        outcome: ActionOutcome,
    },
    /// A run and all its descendants ended.
    RunEnded {
        /// The request that ended the run; `None` if the run was abandoned.
        request_id: Option<RequestId>,
        /// Hash of the request's content; 0 without a request.
        fingerprint: u64,
        /// The run that the event belongs to.
        run_id: RunId,
        /// Also applies to the descendants.
        reason: EndReason,
    },
}

impl Event {
    /// Whether the event starts a run or a call, which begins only once the event is durable.
    pub const fn begins_work(&self) -> bool {
        matches!(
            self,
            Event::RunStarted { .. } | Event::TurnStarted { .. } | Event::ActionIntended { .. }
        )
    }
}

/// An event as stored in a segment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The slot that the conversation belongs to.
    pub slot: SlotId,
    /// The conversation that the event changes.
    pub key: ConversationKey,
    /// Time in milliseconds since the Unix epoch, by the clock of the entry that appended the
    /// event.
    pub at_ms: u64,
    /// Applied by [`Conversation::apply`](crate::process::conversation::Conversation::apply).
    pub event: Event,
}
