//! What turns and tool calls have in common: their place in the order of the run, the checks before
//! they start, and the way of their events into the journal.

use std::rc::Rc;
use std::time::Duration;

use crate::error::{Error, ErrorKind, Result};
use crate::ids::{ConversationKey, Micros, RequestId, RunId};
use crate::process::conversation::{Event, Progress, Record, Run, RunState};
use crate::process::entry::Entry;
use crate::process::journal::{JournalError, Receipt};
use crate::process::slots::OpenConversation;
use crate::process::slots::lock::ThreadLock;
use crate::process::timer::unix_ms;
use crate::version::config::{Config, Program};

/// What a request about a conversation works with.
pub struct CallContext {
    /// The entry.
    pub entry: Rc<Entry>,
    /// The configuration that the request started with.
    pub config: Rc<Config>,
    /// The conversation.
    pub open: OpenConversation,
    /// The name of the conversation.
    pub key: ConversationKey,
    /// Hash of path and body.
    pub fingerprint: u64,
}

/// A call that was not sent, because its start event did not become durable in time or because
/// nothing could take the call.
pub struct Refusal {
    /// The final answer, which the caller gets at once.
    pub error: Error,
    /// What is left to do after that.
    pub start: StartEvent,
}

/// How far the start event of a refused call has come.
pub enum StartEvent {
    /// It never reached the journal, or was taken back.
    Withdrawn,
    /// It is durable, so a finish event has to say that the call was not sent.
    Durable,
    /// It may become durable; then a finish event has to follow.
    OnItsWay(Receipt),
}

impl CallContext {
    /// Looks up what a repeated request got before; `None` if the request is new.
    pub fn earlier(&self, request_id: &RequestId) -> Result<Option<Progress>> {
        let state = self.open.cell().state.borrow();
        let Some(request) = state.requests.get(request_id) else {
            return Ok(None);
        };
        if request.fingerprint != self.fingerprint {
            let message =
                format!("the request id `{request_id}` was used with other content; use a new one");
            return Err(Error::new(ErrorKind::RequestIdConflict, message));
        }
        if let Progress::Failed(kind, message) = &request.progress {
            return Err(Error::new(*kind, &**message));
        }
        Ok(Some(request.progress.clone()))
    }

    /// Reads from a run that must exist.
    pub fn with_run<T>(&self, run_id: RunId, read: impl FnOnce(&Run) -> T) -> Result<T> {
        let state = self.open.cell().state.borrow();
        state
            .run(run_id)
            .map(read)
            .ok_or_else(|| unknown_run(run_id))
    }

    /// Reads from a run that must exist and take calls.
    pub fn with_active_run<T>(&self, run_id: RunId, read: impl FnOnce(&Run) -> T) -> Result<T> {
        self.with_run(run_id, |run| match run.state {
            RunState::Active => Ok(read(run)),
            RunState::Ended(reason) => {
                let message = format!("run {run_id} has ended ({reason:?}); start a new one");
                Err(Error::new(ErrorKind::RunEnded, message))
            }
        })?
    }

    /// The program of a run in the configuration that the request started with.
    pub fn program_of(&self, run_id: RunId) -> Result<Program> {
        let program_id = self.with_run(run_id, |run| run.program_id.clone())?;
        self.config
            .programs
            .get(&program_id)
            .cloned()
            .ok_or_else(|| {
                let message = format!("the program `{program_id}` is no longer configured");
                Error::new(ErrorKind::NotFound, message)
            })
    }

    /// The budget that the configuration gives to the root of a run.
    pub fn root_budget_micros(&self, run_id: RunId) -> Micros {
        let state = self.open.cell().state.borrow();
        let mut run = state.run(run_id);
        while let Some(parent) = run.and_then(|run| run.parent_run_id) {
            run = state.run(parent);
        }
        let program = run.and_then(|run| self.config.programs.get(&run.program_id));
        program.map_or(0, |program| program.budget_micros)
    }

    /// Waits until all earlier calls of the run's thread have ended.
    pub async fn lock(&self, run_id: RunId) -> Result<ThreadLock> {
        let thread_number = self.open.cell().state.borrow().thread_number(run_id);
        let limits = &self.config.limits;
        let locks = &self.open.cell().locks;
        let lock = locks.lock(thread_number, limits.waiting_per_run);
        match self.entry.timer.timeout(limits.queue_time, lock).await {
            Ok(Ok(lock)) => Ok(lock),
            Ok(Err(_)) => {
                let message = format!(
                    "{} requests wait for run {run_id} already; wait for their answers",
                    limits.waiting_per_run
                );
                Err(Error::new(ErrorKind::Overloaded, message))
            }
            Err(_) => {
                let message = format!(
                    "the calls before this one took longer than {} ms; send it again",
                    limits.queue_time.as_millis()
                );
                Err(Error::new(ErrorKind::QueueTimeout, message))
            }
        }
    }

    /// Waits for the calls with lower sequence numbers, then for the lock of the thread.
    pub async fn lock_in_sequence(
        &self,
        run_id: RunId,
        sequence: Option<u64>,
    ) -> Result<ThreadLock> {
        let deadline = self.entry.timer.now() + self.config.limits.queue_time;
        loop {
            let lock = self.lock(run_id).await?;
            let Some(sequence) = sequence else {
                return Ok(lock);
            };
            let next = self.with_run(run_id, |run| u64::from(run.calls) + 1)?;
            if sequence <= next {
                return Ok(lock);
            }
            drop(lock);
            if self.entry.timer.now() >= deadline {
                let message = format!("call {next} of run {run_id} has not arrived; send it first");
                return Err(Error::new(ErrorKind::SequenceGap, message));
            }
            self.entry.timer.sleep(SEQUENCE_POLL).await;
        }
    }

    /// Checks that a new call has the place in the run that the caller states, and that the run may
    /// make another call.
    pub fn check_call(&self, run_id: RunId, sequence: Option<u64>) -> Result<()> {
        let program = self.program_of(run_id)?;
        let calls = self.with_active_run(run_id, |run| run.calls)?;
        if calls >= program.max_calls {
            let message = format!(
                "run {run_id} has made {calls} calls, as many as its program may; start a new run"
            );
            return Err(Error::new(ErrorKind::TooManyCalls, message));
        }
        if let Some(sequence) = sequence
            && sequence <= u64::from(calls)
        {
            let message = format!(
                "call {sequence} of run {run_id} was made by another request; the next is {}",
                calls + 1
            );
            return Err(Error::new(ErrorKind::BadRequest, message));
        }
        Ok(())
    }

    /// Refuses new work at once while nothing can be made durable.
    pub fn check_durability(&self) -> Result<()> {
        match self.entry.journal.failing_for() {
            Some(failing) if failing >= self.entry.settings.commit_grace => {
                Err(platform_unavailable())
            }
            _ => Ok(()),
        }
    }

    /// Queues an event for the journal.
    pub fn append(&self, event: Event) -> Result<Receipt> {
        let record = Record {
            slot: self.open.slot(),
            key: self.key.clone(),
            at_ms: unix_ms(),
            event,
        };
        self.entry
            .journal
            .append(self.open.incarnation(), record)
            .map_err(journal_error)
    }

    /// Waits for a start event to become durable, at most the grace time. The call must not be sent
    /// after a refusal.
    pub async fn start_durable(&self, mut receipt: Receipt) -> std::result::Result<(), Refusal> {
        let grace = self.entry.settings.commit_grace;
        let error = match self.entry.timer.timeout(grace, receipt.durable()).await {
            Ok(Ok(())) => return Ok(()),
            // A lost lease or a closed journal: the event was certainly not committed.
            Ok(Err(error)) => {
                return Err(Refusal {
                    error: journal_error(error),
                    start: StartEvent::Withdrawn,
                });
            }
            Err(_) => platform_unavailable(),
        };
        let start = match self.entry.journal.withdraw(&receipt) {
            true => StartEvent::Withdrawn,
            false => StartEvent::OnItsWay(receipt),
        };
        Err(Refusal { error, start })
    }

    /// Gives a reservation back whose start event was taken back, or makes the event durable that
    /// says that the call was not sent.
    pub async fn settle_refused(
        &self,
        run_id: RunId,
        reserved_micros: Micros,
        start: StartEvent,
        not_run: Event,
    ) {
        let is_durable = match start {
            StartEvent::Withdrawn => false,
            StartEvent::Durable => true,
            StartEvent::OnItsWay(mut receipt) => receipt.durable().await.is_ok(),
        };
        if is_durable {
            if let Ok(mut receipt) = self.append(not_run) {
                let _ = receipt.durable().await;
            }
        } else {
            let mut state = self.open.cell().state.borrow_mut();
            state.clear_pending(run_id, reserved_micros);
        }
    }

    /// Waits for a finish event to become durable, at most the time that a caller waits for it.
    pub async fn finish_durable(&self, receipt: &mut Receipt) -> Result<()> {
        let wait = self.entry.settings.durable_wait;
        match self.entry.timer.timeout(wait, receipt.durable()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(journal_error_after_work(error)),
            Err(_) => Err(not_durable()),
        }
    }

    /// Appends an event and waits until it is durable.
    pub async fn commit(&self, event: Event) -> Result<()> {
        self.check_durability()?;
        let receipt = self.append(event)?;
        match self.start_durable(receipt).await {
            Ok(()) => Ok(()),
            // The event may have been committed; a repeat of the request finds out.
            Err(Refusal {
                start: StartEvent::OnItsWay(_),
                ..
            }) => Err(not_durable()),
            Err(refusal) => Err(refusal.error),
        }
    }

    /// What a run has spent and has left, for answers.
    pub fn cost_of(&self, run_id: RunId) -> (Micros, Micros) {
        let state = self.open.cell().state.borrow();
        let spent = state.run(run_id).map_or(0, |run| run.spent_micros);
        (
            spent,
            state.available_micros(run_id, self.root_budget_micros(run_id)),
        )
    }

    /// Whether the run still takes calls and the slot is still held.
    pub fn is_run_active(&self, run_id: RunId) -> bool {
        let state = self.open.cell().state.borrow();
        state
            .run(run_id)
            .is_some_and(|run| run.state == RunState::Active)
    }
}

/// Pause between two looks at the sequence of a run.
const SEQUENCE_POLL: Duration = Duration::from_millis(20);

/// The name of a thread in the caches of engines.
pub fn cache_key(key: &ConversationKey, thread_number: RunId) -> Rc<str> {
    format!("{}/{}/{thread_number}", key.team_id, key.conversation_id).into()
}

/// Whether a run that this entry holds uses the prefix; a conversation that it does not hold counts
/// as active, because another entry may serve it.
pub fn is_cache_key_active(entry: &Entry, cache_key: &str) -> bool {
    let mut parts = cache_key.split('/');
    let (Some(team_id), Some(conversation_id), Some(thread), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return true;
    };
    let Ok(thread_number) = thread.parse::<RunId>() else {
        return true;
    };
    let key = ConversationKey {
        team_id: team_id.into(),
        conversation_id: conversation_id.into(),
    };
    match entry.slots.find(&key) {
        Ok(Some(cell)) => cell.state.borrow().is_thread_active(thread_number),
        Ok(None) => false,
        Err(_) => true,
    }
}

fn unknown_run(run_id: RunId) -> Error {
    let message = format!("the conversation has no run {run_id}; start one first");
    Error::new(ErrorKind::NotFound, message)
}

fn platform_unavailable() -> Error {
    let message = "the platform takes no writes, so nothing new can start; come back later";
    Error::new(ErrorKind::PlatformUnavailable, message)
}

fn not_durable() -> Error {
    let message = "the platform takes no writes, so the result is not durable yet; send the same \
                   request id again later";
    Error::new(ErrorKind::NotDurable, message)
}

fn journal_error(error: JournalError) -> Error {
    let (kind, message) = match error {
        JournalError::Full => (
            ErrorKind::Overloaded,
            "too many results wait for the platform; come back later",
        ),
        JournalError::Fenced | JournalError::NotRunning => (
            ErrorKind::SlotUnavailable,
            "the entry lost its lease; another one takes over",
        ),
    };
    Error::new(kind, message).with_cause(error)
}

fn journal_error_after_work(error: JournalError) -> Error {
    let message = "the entry lost its lease while it worked; send the same request id again";
    Error::new(ErrorKind::HolderLost, message).with_cause(error)
}
