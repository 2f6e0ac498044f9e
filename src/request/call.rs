//! The steps that turns, tool calls and starts of runs share.
//!
//! A call waits for the lock of its thread and for the calls with lower sequence numbers, passes
//! the checks of its run, and appends its events to the journal. The start event has to be durable
//! before the call is sent, and the finish event before the caller gets the result. If an event is
//! still in flight when its caller gets an error, the lock is held until the event is settled
//! (here: durable or refused), so that the next call or a repeated request sees its outcome.

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

/// The state that a request about a conversation uses.
#[derive(Clone)]
pub struct CallContext {
    /// The entry that serves the request; it holds the slot of the conversation.
    pub entry: Rc<Entry>,
    /// The configuration in force when the request started.
    pub config: Rc<Config>,
    /// The conversation; its slot is not released while the context exists.
    pub conversation: OpenConversation,
    /// The team and the id of the conversation.
    pub key: ConversationKey,
    /// Hash of the path and the body; the same in every repeat of the request.
    pub fingerprint: u64,
}

/// Outcome of waiting for a start event to become durable.
pub enum StartOutcome {
    /// The event is durable: the call may be sent.
    Durable,
    /// The event was refused or was not durable in time; the call must not be sent.
    Refused(Error),
}

impl CallContext {
    /// The recorded progress of an earlier request with this id; `None` if the request is new.
    ///
    /// Fails if the earlier request had other content, or with the error that it ended with.
    pub fn earlier_progress(&self, request_id: &RequestId) -> Result<Option<Progress>> {
        let state = self.conversation.cell().state.borrow();
        let Some(request) = state.requests.get(request_id) else {
            return Ok(None);
        };
        if request.fingerprint != self.fingerprint {
            let message = format!(
                "the request id `{request_id}` was already used with other content; use a new id"
            );
            return Err(Error::new(ErrorKind::RequestIdConflict, message));
        }
        if let Progress::Failed(kind, message) = &request.progress {
            return Err(Error::new(*kind, &**message));
        }
        Ok(Some(request.progress.clone()))
    }

    /// Calls `read` with a run; fails if the run does not exist.
    pub fn with_run<T>(&self, run_id: RunId, read: impl FnOnce(&Run) -> T) -> Result<T> {
        let state = self.conversation.cell().state.borrow();
        state
            .run(run_id)
            .map(read)
            .ok_or_else(|| unknown_run(run_id))
    }

    /// Calls `read` with a run; fails if the run does not exist or has ended.
    pub fn with_active_run<T>(&self, run_id: RunId, read: impl FnOnce(&Run) -> T) -> Result<T> {
        self.with_run(run_id, |run| match run.state {
            RunState::Active => Ok(read(run)),
            RunState::Ended(reason) => {
                let message = format!("run {run_id} has ended ({reason:?}); start a new one");
                Err(Error::new(ErrorKind::RunEnded, message))
            }
        })?
    }

    /// The program of a run, from the configuration with which the request started.
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

    /// The configured budget of the program of a run's root run; 0 if there is no such program.
    ///
    /// The value comes from the configuration in force, not from the one with which the request
    /// started, so that a lowered budget also applies to calls that were waiting. For a program
    /// that was removed, requests that started earlier use the budget from their own configuration.
    pub fn root_budget_micros(&self, run_id: RunId) -> Micros {
        let current = self.entry.config.current();
        let state = self.conversation.cell().state.borrow();
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

    /// Waits for the lock of the run's thread, which all earlier calls of the thread have to
    /// release. Fails during an outage of the platform instead of waiting for its end.
    pub async fn lock_thread_of(&self, run_id: RunId) -> Result<ThreadLock> {
        let thread_number = self
            .conversation
            .cell()
            .state
            .borrow()
            .thread_number(run_id);
        self.lock_thread(thread_number).await
    }

    /// Waits for the lock under which runs are started, so that no two runs are assigned the same
    /// id.
    pub async fn lock_run_starts(&self, request_id: &RequestId) -> Result<ThreadLock> {
        let lock = self.lock_thread(RUN_START_LOCK).await;
        let is_uncommitted = || {
            self.conversation
                .cell()
                .uncommitted_requests
                .borrow()
                .contains(request_id)
        };
        match lock {
            Err(_) if is_uncommitted() => Err(unsettled_request()),
            lock => lock,
        }
    }

    async fn lock_thread(&self, thread_number: RunId) -> Result<ThreadLock> {
        let limits = &self.config.limits;
        let locks = &self.conversation.cell().locks;
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
                    "{} requests are already waiting for the same run; wait for their responses",
                    limits.waiting_per_run
                );
                Err(Error::new(ErrorKind::Overloaded, message))
            }
            Err(_) => {
                let message = format!(
                    "earlier calls of the run did not finish within {} ms; repeat the request",
                    limits.queue_timeout.as_millis()
                );
                Err(Error::new(ErrorKind::QueueTimeout, message))
            }
        }
    }

    /// Waits until a call may start, see `lock_in_sequence`. If that fails while another attempt of
    /// the same request is in progress or recorded, the request may have run; the error is then
    /// that of [`unsettled_request`].
    pub async fn lock_call(
        &self,
        run_id: RunId,
        request_id: &RequestId,
        sequence: Option<u64>,
    ) -> Result<ThreadLock> {
        // During an outage no call can start, so the call does not wait for the lock either.
        let lock = match self.check_durability() {
            Ok(()) => self.lock_in_sequence(run_id, sequence).await,
            Err(error) => Err(error),
        };
        match lock {
            Err(_) if self.earlier_progress(request_id)?.is_some() => Err(unsettled_request()),
            Err(_) if self.conversation.cell().has_concurrent_attempts(request_id) => {
                Err(unsettled_request())
            }
            result => result,
        }
    }

    /// Waits for the calls with lower sequence numbers, then for the lock of the thread.
    async fn lock_in_sequence(&self, run_id: RunId, sequence: Option<u64>) -> Result<ThreadLock> {
        let deadline = self.entry.timer.now() + self.config.limits.queue_timeout;
        loop {
            let lock = self.lock_thread_of(run_id).await?;
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
            self.entry.timer.sleep(SEQUENCE_POLL_INTERVAL).await;
        }
    }

    /// Checks that the run is active, that its program allows another call, and that the sequence
    /// number of a new call is not in use.
    pub fn check_call(&self, run_id: RunId, sequence: Option<u64>) -> Result<()> {
        let program = self.program_of(run_id)?;
        let calls = self.with_active_run(run_id, |run| run.calls)?;
        if calls >= program.max_calls {
            let message = format!(
                "run {run_id} has made {calls} calls, the limit of its program; start a new run"
            );
            return Err(Error::new(ErrorKind::TooManyCalls, message));
        }
        if let Some(sequence) = sequence
            && sequence <= u64::from(calls)
        {
            let message = format!(
                "call {sequence} of run {run_id} was made by another request; the next call is {}",
                calls + 1
            );
            return Err(Error::new(ErrorKind::BadRequest, message));
        }
        Ok(())
    }

    /// Fails if commits have been failing for at least `commit_grace_period`, so that new work is
    /// refused immediately during an outage of the platform.
    pub fn check_durability(&self) -> Result<()> {
        match self.entry.journal.commits_failing_for() {
            Some(duration) if duration >= self.entry.settings.commit_grace_period => {
                Err(platform_unavailable())
            }
            _ => Ok(()),
        }
    }

    /// Completes with the error when [`Self::check_durability`] fails.
    async fn durability_lost(&self) -> Error {
        loop {
            if let Err(error) = self.check_durability() {
                return error;
            }
            self.entry.timer.sleep(DURABILITY_POLL_INTERVAL).await;
        }
    }

    /// Queues an event for the journal. The receipt resolves when the event is durable or refused.
    pub fn append(&self, event: Event) -> Result<Receipt> {
        let record = Record {
            slot: self.conversation.slot(),
            key: self.key.clone(),
            at_ms: unix_ms(),
            event,
        };
        self.entry
            .journal
            .append(&self.conversation, record)
            .map_err(journal_error)
    }

    /// Waits for a start event to become durable, for at most `commit_grace_period`.
    ///
    /// If a commit of the event is in flight at the timeout, the event may still become durable
    /// later. The call is not sent then, and the caller of this function has to record that with
    /// [`Self::settle_refused_start`].
    pub async fn wait_start_durable(&self, receipt: &mut Receipt) -> StartOutcome {
        let timeout = self.entry.settings.commit_grace_period;
        match self.entry.timer.timeout(timeout, receipt.durable()).await {
            Ok(Ok(())) => StartOutcome::Durable,
            Ok(Err(error)) => StartOutcome::Refused(journal_error(error)),
            Err(_) => StartOutcome::Refused(platform_unavailable()),
        }
    }

    /// Waits for a finish event to become durable, for at most `durable_wait_timeout`.
    pub async fn wait_finish_durable(&self, receipt: &mut Receipt) -> Result<()> {
        let timeout = self.entry.settings.durable_wait_timeout;
        match self.entry.timer.timeout(timeout, receipt.durable()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(error)) => Err(journal_error_after_execution(error)),
            Err(_) => Err(not_durable()),
        }
    }

    /// Settles a start event whose commit was still in flight when its call was refused: appends
    /// `finish` if the start event becomes durable. A task that holds `lock` does this, so the next
    /// call of the thread waits for it and the refused caller does not.
    pub fn settle_refused_start(
        &self,
        mut receipt: Receipt,
        lock: Option<ThreadLock>,
        finish: Event,
    ) {
        let context = self.clone();
        monoio::spawn(async move {
            if receipt.durable().await.is_ok()
                && let Ok(finished) = context.append(finish)
            {
                hold_until_settled(finished, lock).await;
            }
        });
    }

    /// Appends an event that starts a run and waits until it is durable. If its commit is still in
    /// flight when the wait ends, a task holds `lock` until the event is settled, so that a
    /// repeated request sees its outcome.
    pub async fn commit_run_start(
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
            let uncommitted = &context.conversation.cell().uncommitted_requests;
            uncommitted.borrow_mut().insert(request_id.clone());
            hold_until_settled(receipt, Some(lock)).await;
            uncommitted.borrow_mut().swap_remove(&request_id);
        });
        Err(error)
    }

    /// Appends an event and waits until it is durable. The error comes with the receipt if the
    /// commit of the event may still be in flight, and with `None` if the event was certainly not
    /// committed.
    pub async fn commit(&self, event: Event) -> std::result::Result<(), (Error, Option<Receipt>)> {
        let refused = |error| (error, None);
        self.check_durability().map_err(refused)?;
        let mut receipt = self.append(event).map_err(refused)?;
        match self.wait_start_durable(&mut receipt).await {
            StartOutcome::Durable => Ok(()),
            StartOutcome::Refused(error) if self.entry.journal.withdraw(&receipt) => {
                Err(refused(error))
            }
            // The event may have been committed; a repeated request gets its outcome.
            StartOutcome::Refused(_) => Err((not_durable(), Some(receipt))),
        }
    }

    /// The settled cost of a run, and what its further calls can still reserve.
    pub fn spent_and_remaining(&self, run_id: RunId) -> (Micros, Micros) {
        let state = self.conversation.cell().state.borrow();
        let spent = state.run(run_id).map_or(0, |run| run.spent_micros);
        (
            spent,
            state.available_micros(run_id, self.root_budget_micros(run_id)),
        )
    }

    /// Whether the run exists and has not ended.
    pub fn is_run_active(&self, run_id: RunId) -> bool {
        let state = self.conversation.cell().state.borrow();
        state
            .run(run_id)
            .is_some_and(|run| run.state == RunState::Active)
    }
}

/// Key of the lock under which runs are started; no thread has this number.
const RUN_START_LOCK: RunId = RunId::MAX;

/// Holds the lock of a thread until an event is settled: durable or refused. The next call of the
/// thread waits for that.
pub async fn hold_until_settled(mut receipt: Receipt, lock: Option<ThreadLock>) {
    let _ = receipt.durable().await;
    drop(lock);
}

/// Interval at which a request that waits for a lock checks whether the journal still commits.
const DURABILITY_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which a call that arrived early checks whether the calls before it were made.
const SEQUENCE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The key of a thread's prefix in the caches of the engines.
pub fn cache_key(key: &ConversationKey, thread_number: RunId) -> Rc<str> {
    format!("{}/{}/{thread_number}", key.team_id, key.conversation_id).into()
}

/// Parses a cache key into the conversation and the number of the thread; `None` for a key of
/// another form, which belongs to some other client of the engine.
pub fn parse_cache_key(text: &str) -> Option<(ConversationKey, RunId)> {
    let mut parts = text.split('/');
    let (team_id, conversation_id) = (parts.next()?, parts.next()?);
    let thread_number = parts.next()?.parse().ok()?;
    let key = ConversationKey {
        team_id: team_id.into(),
        conversation_id: conversation_id.into(),
    };
    // The comparison also rejects further parts and other spellings of the number.
    (*cache_key(&key, thread_number) == *text).then_some((key, thread_number))
}

/// Whether an active run may use the cached prefix. A conversation whose slot this entry does not
/// hold counts as active, because another entry may serve it. A conversation of a held slot that is
/// not in memory has no active run.
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
    let message = format!("the conversation has no run {run_id}; start a run first");
    Error::new(ErrorKind::NotFound, message)
}

fn platform_unavailable() -> Error {
    let message = "the platform accepts no writes, so no new work can start; retry later";
    Error::new(ErrorKind::PlatformUnavailable, message)
}

fn not_durable() -> Error {
    let message = "the platform accepts no writes, so the result is not durable yet; repeat the \
                   request with the same request id later";
    Error::new(ErrorKind::NotDurable, message)
}

/// The error for a request of which an earlier attempt has started and has no durable result yet.
pub fn unsettled_request() -> Error {
    let message = "an earlier attempt of this request has no durable result yet; repeat the \
                   request with the same request id later";
    Error::new(ErrorKind::NotDurable, message)
}

fn journal_error(error: JournalError) -> Error {
    let (kind, message) = match error {
        JournalError::Full => (
            ErrorKind::Overloaded,
            "the journal queue is full: too many events wait for the platform; retry later",
        ),
        JournalError::Fenced | JournalError::NotRunning => (
            ErrorKind::SlotUnavailable,
            "the entry lost its lease; another entry takes over the conversation",
        ),
    };
    Error::new(kind, message).with_cause(error)
}

fn journal_error_after_execution(error: JournalError) -> Error {
    let message =
        "the entry lost its lease during the call; repeat the request with the same request id";
    Error::new(ErrorKind::HolderLost, message).with_cause(error)
}
