//! The durable events of a conversation.

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
    /// No request came for longer than the limit.
    Abandoned,
}

/// How a turn ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TurnOutcome {
    /// With a result.
    Done(TurnResult),
    /// For good, without a result; repeating the request returns the same error.
    Failed {
        /// The kind that every repeat gets.
        kind: ErrorKind,
        /// The message that every repeat gets.
        message: Rc<str>,
        /// What the attempt cost.
        cost_micros: Micros,
    },
    /// Nobody received the result; repeating the request runs the turn again.
    Interrupted {
        /// What the attempt cost.
        cost_micros: Micros,
    },
    /// The call never left the entry; the request is forgotten.
    NotRun,
}

/// How an action ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ActionOutcome {
    /// With a result.
    Done {
        /// JSON text.
        result: Rc<str>,
        /// What the tool charged.
        charge_micros: Micros,
    },
    /// The tool says that it failed without effect.
    Failed {
        /// The message that every repeat gets.
        message: Rc<str>,
    },
    /// It is not known whether the action took effect; the reservation stays.
    InDoubt,
    /// The call never left the entry; the request is forgotten.
    NotRun,
}

/// A durable event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A run began; with a parent it is a sub-agent.
    RunStarted {
        /// The request that started it.
        request_id: RequestId,
        /// Hash of the request's content.
        fingerprint: u64,
        /// The new run.
        run_id: RunId,
        /// The program that it executes.
        program_id: ProgramId,
        /// The run that spawned it.
        parent_run_id: Option<RunId>,
        /// The most that it may spend.
        budget_micros: Micros,
        /// Put before the history of a thread that is empty; may be empty.
        system_prompt: Rc<str>,
    },
    /// A model call is about to be sent.
    TurnStarted {
        /// The request.
        request_id: RequestId,
        /// Hash of the request's content.
        fingerprint: u64,
        /// The run.
        run_id: RunId,
        /// The most that the call can cost.
        reserved_micros: Micros,
    },
    /// A model call ended.
    TurnFinished {
        /// The request.
        request_id: RequestId,
        /// The run.
        run_id: RunId,
        /// The text that the caller sent; joins the history together with the output.
        input: Rc<str>,
        /// How it ended.
        outcome: TurnOutcome,
    },
    /// A tool call is about to be sent.
    ActionIntended {
        /// The request.
        request_id: RequestId,
        /// Hash of the request's content.
        fingerprint: u64,
        /// The run.
        run_id: RunId,
        /// What will be called.
        action: Action,
    },
    /// A tool call ended.
    ActionFinished {
        /// The request.
        request_id: RequestId,
        /// The run.
        run_id: RunId,
        /// How it ended.
        outcome: ActionOutcome,
    },
    /// A run ended, and all its sub-agents with it.
    RunEnded {
        /// The request that ended it; `None` if nobody asked.
        request_id: Option<RequestId>,
        /// Hash of the request's content.
        fingerprint: u64,
        /// The run.
        run_id: RunId,
        /// Why.
        reason: EndReason,
    },
}

impl Event {
    /// Whether the event must be durable before something new starts.
    pub const fn begins_work(&self) -> bool {
        matches!(
            self,
            Event::RunStarted { .. } | Event::TurnStarted { .. } | Event::ActionIntended { .. }
        )
    }
}

/// An event as it stands in a segment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The slot of the conversation.
    pub slot: SlotId,
    /// The conversation.
    pub key: ConversationKey,
    /// Milliseconds since the Unix epoch, by the clock of the entry that wrote it.
    pub at_ms: u64,
    /// What happened.
    pub event: Event,
}
