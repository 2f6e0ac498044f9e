//! The state of a conversation: its history, its runs, what they cost, and the result of each request.
//!
//! The state is a fold of durable [`Event`]s and nothing else, so it can be rebuilt by any entry. The
//! journal applies an event when the commit that contains it has succeeded, in commit order. What is
//! reserved for an event on its way into the journal is kept beside the state as a pending amount,
//! which is not part of a checkpoint.

pub mod budget;
pub mod event;
mod fold;

use std::rc::Rc;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::error::ErrorKind;
use crate::ids::{BackendServerId, ConversationKey, Micros, ProgramId, RequestId, RunId, ToolId};

pub use event::{ActionOutcome, EndReason, Event, Record, TurnOutcome};

/// The result of a check against the state of a conversation.
pub type Result<T> = crate::error::Result<T>;

/// Who wrote a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// The operator, through the program's definition.
    System,
    /// The caller.
    User,
    /// The model.
    Assistant,
    /// A tool, through its result.
    Tool,
}

impl Role {
    /// The name that engines and callers use.
    pub const fn name(self) -> &'static str {
        match self {
            Role::System => "system",
            Role::User => "user",
            Role::Assistant => "assistant",
            Role::Tool => "tool",
        }
    }
}

/// One message of a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The run during which it joined the history.
    pub run_id: RunId,
    /// Who wrote it.
    pub role: Role,
    /// Its text.
    pub text: Rc<str>,
}

/// A sequence of messages that a model sees. The root runs of a conversation share one; each
/// sub-agent has its own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Thread {
    /// In the order in which they became durable.
    pub messages: Vec<Message>,
    /// Tokens of the first `counted_messages` messages, as an engine counted them.
    pub counted_tokens: u64,
    /// At most the number of messages.
    pub counted_messages: usize,
    /// The engine that computed the counted tokens and may still have them in its cache.
    pub backend_server_id: Option<BackendServerId>,
}

impl Thread {
    /// The most tokens that an engine can count for the messages and `input`.
    ///
    /// A token has at least one byte, so the bytes that no engine has counted yet are a bound.
    pub fn prompt_tokens_bound(&self, input: &str) -> u64 {
        /// Tokens that an engine may add for each message, for its role and separators.
        const MESSAGE_OVERHEAD_TOKENS: u64 = 8;
        let uncounted = &self.messages[self.counted_messages..];
        let uncounted: u64 = uncounted
            .iter()
            .map(|message| message.text.len() as u64 + MESSAGE_OVERHEAD_TOKENS)
            .sum();
        self.counted_tokens + uncounted + input.len() as u64 + MESSAGE_OVERHEAD_TOKENS
    }
}

/// How far a run has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// Takes calls.
    Active,
    /// Takes no more calls.
    Ended(EndReason),
}

/// One execution of a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The program that it executes.
    pub program_id: ProgramId,
    /// The run that spawned it; `None` for a root run.
    pub parent_run_id: Option<RunId>,
    /// 0 for a root run.
    pub depth: u32,
    /// The most that it may spend, its sub-agents included.
    pub budget_micros: Micros,
    /// Settled cost of its calls and its sub-agents; `spent + reserved <= budget` at all times.
    pub spent_micros: Micros,
    /// Durable reservations of calls in progress and of actions in doubt, sub-agents included.
    pub reserved_micros: Micros,
    /// Reservations whose event is not durable yet; not part of a checkpoint.
    #[serde(skip)]
    pub pending_micros: Micros,
    /// Calls that it has made; also the sequence number of the next one.
    pub calls: u32,
    /// Sub-agents that it has spawned.
    pub sub_agents: u32,
    /// Whether it takes calls.
    pub state: RunState,
    /// Used by sub-agents only; root runs use the conversation's thread.
    pub thread: Thread,
    /// Milliseconds since the Unix epoch of its last event.
    pub last_event_ms: u64,
}

/// The durable result of a turn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TurnResult {
    /// Number of the call in its run.
    pub turn: u32,
    /// The generated text.
    pub output: Rc<str>,
    /// As the engine counted them.
    pub prompt_tokens: u64,
    /// Part of the prompt that the engine had cached.
    pub cached_tokens: u64,
    /// As the engine counted them.
    pub output_tokens: u64,
    /// What the turn cost.
    pub cost_micros: Micros,
    /// Why the generation stopped.
    pub finish_reason: Rc<str>,
    /// The engine that generated it.
    pub backend_server_id: BackendServerId,
}

/// A call of a tool that has been intended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Action {
    /// Names the action towards the tool.
    pub action_id: Rc<str>,
    /// The tool.
    pub tool_id: ToolId,
    /// JSON text.
    pub arguments: Rc<str>,
    /// Reserved until the outcome is known.
    pub reserved_micros: Micros,
}

/// How far a request has come.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Progress {
    /// It started a run.
    RunStarted(RunId),
    /// A turn is in progress, with this reservation.
    TurnOpen(Micros),
    /// A turn ended without a result because its holder or its caller was lost; it may run again.
    TurnInterrupted,
    /// A turn has its result.
    TurnDone(TurnResult),
    /// An action is in progress.
    ActionOpen(Action),
    /// The holder was lost during an action, or the tool did not answer: it may have run.
    ActionInDoubt(Action),
    /// An action has its result: JSON text and charge.
    ActionDone(Rc<str>, Rc<str>, Micros),
    /// The request failed for good.
    Failed(ErrorKind, Rc<str>),
    /// It ended a run.
    RunEnded(RunId),
}

/// What is kept of a request, so that a repeat gets the first result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Hash of the content; a repeat must have the same.
    pub fingerprint: u64,
    /// The run that it belongs to.
    pub run_id: RunId,
    /// How far it has come.
    pub progress: Progress,
}

/// The state of a conversation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conversation {
    /// The owner and the name; the owner never changes.
    pub key: ConversationKey,
    /// The history that the root runs share.
    pub thread: Thread,
    /// Numbered from 1 without gaps.
    pub runs: IndexMap<RunId, Run>,
    /// By request id; entries are never removed while the conversation exists.
    pub requests: IndexMap<RequestId, RequestRecord>,
}

impl Conversation {
    /// Makes an empty conversation.
    pub fn new(key: ConversationKey) -> Self {
        Self {
            key,
            thread: Thread::default(),
            runs: IndexMap::new(),
            requests: IndexMap::new(),
        }
    }

    /// Looks up a run.
    pub fn run(&self, run_id: RunId) -> Option<&Run> {
        self.runs.get(&run_id)
    }

    /// The thread that a run reads and extends.
    pub fn thread_of(&self, run_id: RunId) -> Option<&Thread> {
        let run = self.runs.get(&run_id)?;
        Some(if run.parent_run_id.is_some() {
            &run.thread
        } else {
            &self.thread
        })
    }

    /// The thread with this number, see [`Self::thread_number`].
    pub fn thread_by_number(&self, thread_number: RunId) -> Option<&Thread> {
        match thread_number {
            0 => Some(&self.thread),
            run_id => self.thread_of(run_id),
        }
    }

    fn thread_of_mut(&mut self, run_id: RunId) -> Option<&mut Thread> {
        let run = self.runs.get_mut(&run_id)?;
        Some(if run.parent_run_id.is_some() {
            &mut run.thread
        } else {
            &mut self.thread
        })
    }

    /// Number of the thread of a run: 0 for the one that root runs share, else the run's own.
    pub fn thread_number(&self, run_id: RunId) -> RunId {
        match self.runs.get(&run_id) {
            Some(run) if run.parent_run_id.is_some() => run_id,
            _ => 0,
        }
    }

    /// Whether any active run uses the thread, so that engines may keep its prefix.
    pub fn is_thread_active(&self, thread_number: RunId) -> bool {
        self.runs.iter().any(|(run_id, run)| {
            run.state == RunState::Active && self.thread_number(*run_id) == thread_number
        })
    }

    /// The threads of a run and of all sub-agents below it.
    pub fn subtree_thread_numbers(&self, run_id: RunId) -> Vec<RunId> {
        let children = self
            .runs
            .iter()
            .filter(|(_, run)| run.parent_run_id == Some(run_id));
        let descendants = children.flat_map(|(child, _)| self.subtree_thread_numbers(*child));
        std::iter::once(self.thread_number(run_id))
            .chain(descendants)
            .collect()
    }

    /// When a run or one of its sub-agents had its last event.
    pub fn subtree_last_event_ms(&self, run_id: RunId) -> u64 {
        let own = self.runs.get(&run_id).map_or(0, |run| run.last_event_ms);
        let children = self
            .runs
            .iter()
            .filter(|(_, run)| run.parent_run_id == Some(run_id));
        children
            .map(|(child, _)| self.subtree_last_event_ms(*child))
            .fold(own, u64::max)
    }

    /// The id that the next run gets.
    pub fn next_run_id(&self) -> RunId {
        self.runs.len() as RunId + 1
    }
}
