//! The state of a conversation: its history, its runs and their cost, and the result of each
//! request.
//!
//! The state is a fold over durable [`Event`]s and depends on nothing else, so that any entry can
//! rebuild it by replay. The journal applies an event after the commit that contains it has
//! succeeded, in commit order. The reservation of an event that is not committed yet is held as a
//! pending amount, which is not part of a checkpoint.

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

/// The author of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// The operator, through the system prompt of the program.
    System,
    /// The caller.
    User,
    /// The model.
    Assistant,
    /// A tool; the message is its result.
    Tool,
}

impl Role {
    /// The name in requests to engines and in answers to callers.
    pub const fn name(self) -> &'static str {
        match self {
            Role::System => "system",
            Role::User => "user",
            Role::Assistant => "assistant",
            Role::Tool => "tool",
        }
    }
}

/// One message of a thread.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The run whose event added it to the thread.
    pub run_id: RunId,
    /// The author.
    pub role: Role,
    /// The content; of a tool result, JSON text.
    pub text: Rc<str>,
}

/// The message history that is sent to a model. The root runs of a conversation share one thread;
/// each sub-agent has its own.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Thread {
    /// In the order in which their events became durable.
    pub messages: Vec<Message>,
    /// Tokens of the first `counted_messages` messages, as an engine counted them.
    pub counted_tokens: u64,
    /// Length of the prefix of `messages` that `counted_tokens` covers.
    pub counted_messages: usize,
    /// The engine that counted the tokens and may still have them in its cache; `None` before the
    /// first finished turn.
    pub backend_server_id: Option<BackendServerId>,
}

impl Thread {
    /// An upper bound of the tokens that an engine counts for the messages and `input`.
    ///
    /// A token has at least one byte, so the bytes of the messages that no engine has counted yet
    /// bound their tokens.
    pub fn prompt_tokens_bound(&self, input: &str) -> u64 {
        /// Most tokens that an engine adds for the role and the separators of a message.
        const MESSAGE_OVERHEAD_TOKENS: u64 = 8;
        let uncounted = &self.messages[self.counted_messages..];
        let uncounted: u64 = uncounted
            .iter()
            .map(|message| message.text.len() as u64 + MESSAGE_OVERHEAD_TOKENS)
            .sum();
        self.counted_tokens + uncounted + input.len() as u64 + MESSAGE_OVERHEAD_TOKENS
    }
}

/// Whether a run accepts calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// Accepts calls.
    Active,
    /// Accepts no further calls.
    Ended(EndReason),
}

/// One execution of a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The program that the run executes.
    pub program_id: ProgramId,
    /// The run that started it as a sub-agent; `None` for a root run.
    pub parent_run_id: Option<RunId>,
    /// Number of ancestors; 0 for a root run.
    pub depth: u32,
    /// Limit of its cost, including its sub-agents.
    pub budget_micros: Micros,
    /// Settled cost of its calls, including its sub-agents. At all times,
    /// `spent + reserved <= budget`.
    pub spent_micros: Micros,
    /// Durable reservations of calls in progress and of actions in doubt, including its sub-agents.
    pub reserved_micros: Micros,
    /// Reservations whose event is not durable yet; not part of a checkpoint.
    #[serde(skip)]
    pub pending_micros: Micros,
    /// Number of turns that finished or failed and of actions that finished, failed or are in
    /// doubt. The next call has the sequence number `calls + 1`.
    pub calls: u32,
    /// Number of sub-agents that it has started.
    pub sub_agents: u32,
    /// Also [`RunState::Ended`] for a sub-agent whose parent ended.
    pub state: RunState,
    /// The history of a sub-agent; unused in root runs, which share [`Conversation::thread`].
    pub thread: Thread,
    /// Time of its last event in milliseconds since the Unix epoch.
    pub last_event_ms: u64,
}

/// The durable result of a turn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TurnResult {
    /// Sequence number of the call in its run.
    pub turn: u32,
    /// The generated text.
    pub output: Rc<str>,
    /// As counted by the engine.
    pub prompt_tokens: u64,
    /// The part of `prompt_tokens` that the engine had in its cache.
    pub cached_tokens: u64,
    /// As counted by the engine.
    pub output_tokens: u64,
    /// Cost at the prices of the model.
    pub cost_micros: Micros,
    /// Why the generation stopped, as stated by the engine.
    pub finish_reason: Rc<str>,
    /// The engine that generated the output.
    pub backend_server_id: BackendServerId,
}

/// A tool call whose intent is durable.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Action {
    /// Sent to the tool as idempotency key, and to ask for the status of the action.
    pub action_id: Rc<str>,
    /// The tool that is called.
    pub tool_id: ToolId,
    /// JSON text.
    pub arguments: Rc<str>,
    /// Reserved until the outcome of the action is known.
    pub reserved_micros: Micros,
}

/// The state of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Progress {
    /// The request started this run.
    RunStarted(RunId),
    /// The turn is in progress and has this reservation.
    TurnOpen(Micros),
    /// The turn ended without a result because the lease holder or the caller was lost. Repeating
    /// the request runs it again.
    TurnInterrupted,
    /// The turn has its result.
    TurnDone(TurnResult),
    /// The action is in progress.
    ActionOpen(Action),
    /// It is unknown whether the action ran: the lease holder was lost during the call, or the tool
    /// did not respond.
    ActionInDoubt(Action),
    /// The action has its result: the action id, the result as JSON text, and the charge.
    ActionDone(Rc<str>, Rc<str>, Micros),
    /// The request failed permanently; a repeat gets the same error.
    Failed(ErrorKind, Rc<str>),
    /// The request ended this run.
    RunEnded(RunId),
}

/// The durable record of a request, from which a repeat is answered with the first result.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Hash of the request's content; a repeat with another hash is refused.
    pub fingerprint: u64,
    /// The run that the request belongs to.
    pub run_id: RunId,
    /// Replaced as the events of the request become durable.
    pub progress: Progress,
}

/// The state of a conversation; see the [module documentation](self).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Conversation {
    /// The owning team, which never changes, and the conversation id.
    pub key: ConversationKey,
    /// The history that the root runs share.
    pub thread: Thread,
    /// Numbered from 1 without gaps.
    pub runs: IndexMap<RunId, Run>,
    /// By request id. A record is removed only when its call turns out not to have run; all others
    /// stay as long as the conversation.
    pub requests: IndexMap<RequestId, RequestRecord>,
}

impl Conversation {
    /// Creates a conversation without runs.
    pub fn new(key: ConversationKey) -> Self {
        Self {
            key,
            thread: Thread::default(),
            runs: IndexMap::new(),
            requests: IndexMap::new(),
        }
    }

    /// Returns the run with this id; `None` if it has not started.
    pub fn run(&self, run_id: RunId) -> Option<&Run> {
        self.runs.get(&run_id)
    }

    /// The thread that a run reads and extends; `None` if the run has not started.
    pub fn thread_of(&self, run_id: RunId) -> Option<&Thread> {
        let run = self.runs.get(&run_id)?;
        Some(if run.parent_run_id.is_some() {
            &run.thread
        } else {
            &self.thread
        })
    }

    /// The thread with a number from [`Self::thread_number`].
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

    /// Number of the thread that a run uses: 0 for the one that root runs share, the run id for a
    /// sub-agent.
    pub fn thread_number(&self, run_id: RunId) -> RunId {
        match self.runs.get(&run_id) {
            Some(run) if run.parent_run_id.is_some() => run_id,
            _ => 0,
        }
    }

    /// Whether any active run uses the thread. Until none does, engines may keep its prefix cached.
    pub fn is_thread_active(&self, thread_number: RunId) -> bool {
        self.runs.iter().any(|(run_id, run)| {
            run.state == RunState::Active && self.thread_number(*run_id) == thread_number
        })
    }

    /// Numbers of the threads of a run and of all its descendants.
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

    /// Time of the last event of a run and its descendants, in milliseconds since the Unix epoch; 0
    /// if the run has not started.
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

    /// The id of the next run: ids start at 1 and have no gaps.
    pub fn next_run_id(&self) -> RunId {
        self.runs.len() as RunId + 1
    }
}
