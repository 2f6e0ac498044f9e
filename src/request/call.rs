//! What turns and tool calls have in common: their place in the order of the run, the checks before
//! they start, and the way of their events into the journal.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};

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
#[derive(Clone)]
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

/// How a start event ended.
pub enum Started {
    /// It is durable: the call may be sent.
    Durable,
    /// It is not durable in time; the call must not be sent.
    Refused(Error),
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
    ///
    /// It is the configuration in force, not the one that the request started with, so that a lowered
    /// budget also holds for calls that were waiting. A program that was removed keeps its budget for
    /// the requests that started before.
    pub fn root_budget_micros(&self, run_id: RunId) -> Micros {
        let current = self.entry.config.current();
        let state = self.open.cell().state.borrow();
        let mut run = state.run(run_id);
        while let Some(parent) = run.and_then(|run| run.parent_run_id) {
            run = state.run(parent);
        }
        let program = run.and_then(|run| {
            let current = current.as_ref();
            let current = current.and_then(|config| config.programs.get(&run.program_id));
            current.or_else(|| self.config.programs.get(&run.program_id))
        });
        program.map_or(0, |program| program.budget_micros)
    }

    /// Waits until all earlier calls of the run's thread have ended, but not for the end of an outage.
    pub async fn lock(&self, run_id: RunId) -> Result<ThreadLock> {
        let thread_number = self.open.cell().state.borrow().thread_number(run_id);
        self.lock_thread(thread_number).await
    }

    /// Waits for the lock under which runs are started, so that no two get the same number.
    pub async fn lock_runs(&self, request_id: &RequestId) -> Result<ThreadLock> {
        let lock = self.lock_thread(RUNS_LOCK).await;
        let is_unsettled = || {
            self.open
                .cell()
                .uncommitted_requests
                .borrow()
                .contains(request_id)
        };
        match lock {
            Err(_) if is_unsettled() => Err(unsettled()),
            lock => lock,
        }
    }

    async fn lock_thread(&self, thread_number: RunId) -> Result<ThreadLock> {
        let limits = &self.config.limits;
        let locks = &self.open.cell().locks;
        let lock = locks.lock(thread_number, limits.waiting_per_run);
        let lock = pin!(self.entry.timer.timeout(limits.queue_timeout, lock));
        let lock = match select(lock, pin!(self.durability_lost())).await {
            Either::Left((lock, _)) => lock,
            Either::Right((error, _)) => return Err(error),
        };
        match lock {
            Ok(Ok(lock)) => Ok(lock),
            Ok(Err(_)) => {
                let message = format!(
                    "{} requests wait for the same run already; wait for their answers",
                    limits.waiting_per_run
                );
                Err(Error::new(ErrorKind::Overloaded, message))
            }
            Err(_) => {
                let message = format!(
                    "the calls before this one took longer than {} ms; send it again",
                    limits.queue_timeout.as_millis()
                );
                Err(Error::new(ErrorKind::QueueTimeout, message))
            }
        }
    }

    /// Waits for the place of a call in its run, see [`Self::lock_in_sequence`]. A request that got no
    /// place while an earlier attempt of it is in progress may well have run.
    pub async fn lock_call(
        &self,
        run_id: RunId,
        request_id: &RequestId,
        sequence: Option<u64>,
    ) -> Result<ThreadLock> {
        // While nothing can start, a call does not wait for its place either.
        let place = match self.check_durability() {
            Ok(()) => self.lock_in_sequence(run_id, sequence).await,
            Err(error) => Err(error),
        };
        match place {
            Err(_) if self.earlier(request_id)?.is_some() => Err(unsettled()),
            Err(_) if self.open.cell().has_concurrent_attempts(request_id) => Err(unsettled()),
            result => result,
        }
    }

    /// Waits for the calls with lower sequence numbers, then for the lock of the thread.
    async fn lock_in_sequence(&self, run_id: RunId, sequence: Option<u64>) -> Result<ThreadLock> {
        let deadline = self.entry.timer.now() + self.config.limits.queue_timeout;
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

    /// Completes when [`Self::check_durability`] fails.
    async fn durability_lost(&self) -> Error {
        loop {
            if let Err(error) = self.check_durability() {
                return error;
            }
            self.entry.timer.sleep(DURABILITY_POLL).await;
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
            .append(&self.open, record)
            .map_err(journal_error)
    }

    /// Waits for a start event to become durable, at most the grace time.
    ///
    /// If the event was on its way when the time was up, it may still become durable later. The call
    /// is not sent then, and the caller of this function has to say so by [`Self::settle_refused`].
    pub async fn start_durable(&self, receipt: &mut Receipt) -> Started {
        let grace = self.entry.settings.commit_grace;
        match self.entry.timer.timeout(grace, receipt.durable()).await {
            Ok(Ok(())) => Started::Durable,
            Ok(Err(error)) => Started::Refused(journal_error(error)),
            Err(_) => Started::Refused(platform_unavailable()),
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

    /// Lets a start event that was refused while it was on its way be followed by `finish` if it
    /// becomes durable. The next call of the thread waits for that, the refused caller does not.
    pub fn settle_refused(&self, mut receipt: Receipt, lock: Option<ThreadLock>, finish: Event) {
        let context = self.clone();
        monoio::spawn(async move {
            if receipt.durable().await.is_ok()
                && let Ok(finished) = context.append(finish)
            {
                hold_until_settled(finished, lock).await;
            }
        });
    }

    /// Appends an event that starts a run and waits until it is durable. If it is still on its way when
    /// the caller gets its answer, `lock` is held on, so that a repeat sees how it ended.
    pub async fn commit_run(
        &self,
        request_id: RequestId,
        event: Event,
        lock: ThreadLock,
    ) -> Result<()> {
        let result = self.commit(event).await;
        let Err((error, Some(receipt))) = result else {
            return result.map_err(|(error, _)| error);
        };
        let context = self.clone();
        monoio::spawn(async move {
            let unsettled = &context.open.cell().uncommitted_requests;
            unsettled.borrow_mut().insert(request_id.clone());
            hold_until_settled(receipt, Some(lock)).await;
            unsettled.borrow_mut().swap_remove(&request_id);
        });
        Err(error)
    }

    /// Appends an event and waits until it is durable. The receipt comes with the error if the event
    /// is still on its way.
    pub async fn commit(&self, event: Event) -> std::result::Result<(), (Error, Option<Receipt>)> {
        let refused = |error| (error, None);
        self.check_durability().map_err(refused)?;
        let mut receipt = self.append(event).map_err(refused)?;
        match self.start_durable(&mut receipt).await {
            Started::Durable => Ok(()),
            Started::Refused(error) if self.entry.journal.withdraw(&receipt) => Err(refused(error)),
            // The event may have been committed; a repeat of the request finds out.
            Started::Refused(_) => Err((not_durable(), Some(receipt))),
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

/// Number of the lock under which runs are started; no thread has it.
const RUNS_LOCK: RunId = RunId::MAX;

/// Keeps the next call of a thread waiting until an event is durable or void.
pub async fn hold_until_settled(mut receipt: Receipt, lock: Option<ThreadLock>) {
    let _ = receipt.durable().await;
    drop(lock);
}

/// Pause between two looks at the journal while a request waits.
const DURABILITY_POLL: Duration = Duration::from_millis(100);
/// Pause between two looks at the sequence of a run.
const SEQUENCE_POLL: Duration = Duration::from_millis(20);

/// The name of a thread in the caches of engines.
pub fn cache_key(key: &ConversationKey, thread_number: RunId) -> Rc<str> {
    format!("{}/{}/{thread_number}", key.team_id, key.conversation_id).into()
}

/// The conversation and the thread that a cache key names; `None` for a key of another form, which
/// some other client of the engine has made.
pub fn parse_cache_key(text: &str) -> Option<(ConversationKey, RunId)> {
    let mut parts = text.split('/');
    let (team_id, conversation_id) = (parts.next()?, parts.next()?);
    let thread_number = parts.next()?.parse().ok()?;
    let key = ConversationKey {
        team_id: team_id.into(),
        conversation_id: conversation_id.into(),
    };
    // The comparison also refuses further parts and other spellings of the number.
    (*cache_key(&key, thread_number) == *text).then_some((key, thread_number))
}

/// Whether a run that this entry holds uses the prefix; a conversation that it does not hold counts
/// as active, because another entry may serve it. A conversation of a held slot that is not in memory
/// has no active run.
pub fn is_cache_key_active(entry: &Entry, cache_key: &str) -> bool {
    let Some((key, thread_number)) = parse_cache_key(cache_key) else {
        return true;
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

/// An earlier attempt of the same request has started and has no durable result yet.
pub fn unsettled() -> Error {
    let message = "an earlier attempt of this request is not settled yet; send the same request id \
                   again later";
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
