//! The attempts to execute one turn on an engine.
//!
//! A failed attempt is retried on another engine, within the retry budget, as long as no token has
//! arrived. After the first token the caller has received output, so a failure ends the turn.

use std::pin::pin;

use futures_util::future::{Either, select};

use crate::connection::engine::{
    ChatMessage, CompletionEvent, CompletionLimits, CompletionRequest, CompletionStream,
    EngineError, Usage,
};
use crate::error::{Error, ErrorKind};
use crate::ids::BackendServerId;
use crate::process::conversation::Role;
use crate::process::metrics::RETRIES;
use crate::process::routing::Permit;
use crate::request::api::StartEvent;
use crate::request::call::cache_key;
use crate::request::turn::TurnInProgress;
use crate::request::turn::output::Output;

/// Limit of the engines to which the call of a turn is sent, one after the other.
const MAX_ENGINES_PER_TURN: usize = 3;

/// Outcome of all attempts of a turn.
pub(super) enum AttemptOutcome {
    /// An engine returned the complete output.
    Finished {
        backend_server_id: BackendServerId,
        text: String,
        finish_reason: String,
        usage: Usage,
    },
    /// No engine did any work for the call.
    NotRun(Error),
    /// An engine failed after it may have worked on the call, or the run was cancelled. `usage` is
    /// an estimate.
    Failed { error: Error, usage: Usage },
    /// The caller closed the connection. `usage` is an estimate.
    CallerDisconnected { usage: Usage },
    /// This entry no longer holds the slot; another entry takes over the conversation.
    LeaseLost,
}

/// State of the attempts of a turn, of which one at a time is in progress.
pub(super) struct EngineAttempts {
    /// For the next attempt; `None` while one is in progress.
    permit: Option<Permit>,
    /// Engines that have been tried, the current one included.
    excluded: Vec<BackendServerId>,
    /// Whether any engine may have worked on the call.
    may_have_run: bool,
    /// Output received so far.
    text: String,
    output_tokens: u64,
}

/// The result of waiting for the next event of the engine's stream.
enum StreamStep {
    Event(Result<Option<CompletionEvent>, EngineError>),
    CallerDisconnected,
    RunEnded,
    LeaseLost,
}

impl EngineAttempts {
    pub(super) fn new(permit: Permit) -> Self {
        Self {
            permit: Some(permit),
            excluded: Vec::new(),
            may_have_run: false,
            text: String::new(),
            output_tokens: 0,
        }
    }

    pub(super) async fn run(
        &mut self,
        turn: &TurnInProgress<'_>,
        output: &mut Output,
    ) -> AttemptOutcome {
        let request = completion_request(turn);
        loop {
            let result = self.try_engine(turn, &request, output).await;
            output.flush().await;
            let error = match result {
                Ok(outcome) => return outcome,
                Err(error) => error,
            };
            let may_retry = self.output_tokens == 0
                && self.excluded.len() < MAX_ENGINES_PER_TURN
                && is_retryable(&error)
                && turn
                    .context
                    .entry
                    .retry_budget
                    .try_acquire(turn.context.config.limits.retry_percent);
            if !may_retry {
                return self.failure_outcome(turn, error);
            }
            metrics::counter!(RETRIES, "kind" => "completion").increment(1);
            let call = turn.call_description(self.excluded.clone());
            match turn.context.entry.router.acquire(call).await {
                Ok(permit) => self.permit = Some(permit),
                Err(_) => return self.failure_outcome(turn, error),
            }
        }
    }

    async fn try_engine(
        &mut self,
        turn: &TurnInProgress<'_>,
        request: &CompletionRequest,
        output: &mut Output,
    ) -> Result<AttemptOutcome, EngineError> {
        let Some(permit) = self.permit.take() else {
            return Err(EngineError::NotSent("no engine was chosen".to_string()));
        };
        self.excluded.push(permit.backend_server_id.clone());
        let token_gap = turn.context.config.limits.token_timeout;
        let limits = CompletionLimits {
            head_timeout: token_gap,
        };
        let engines = &turn.context.entry.engines;
        let mut stream = match engines.complete(permit.address, request, limits).await {
            Ok(stream) => stream,
            Err(error) => {
                self.may_have_run |= !error.is_unprocessed();
                permit.fail();
                return Err(error);
            }
        };
        self.may_have_run = true;
        loop {
            match self.next_step(turn, &mut stream, output).await {
                StreamStep::Event(Ok(Some(CompletionEvent::Token(text)))) => {
                    if self.output_tokens == 0 {
                        permit.record_first_token();
                    }
                    if self.output_tokens >= u64::from(turn.body.max_output_tokens) {
                        permit.fail();
                        let reason = "the engine sent more tokens than it was asked for";
                        return Err(EngineError::Protocol(reason.to_string()));
                    }
                    self.push_token(turn, &text, output);
                }
                StreamStep::Event(Ok(Some(CompletionEvent::Finished {
                    finish_reason,
                    usage,
                }))) => {
                    let usage = turn.bound_usage(usage);
                    let backend_server_id = permit.backend_server_id.clone();
                    permit.finish(usage);
                    output.begin(|| self.start_event(turn));
                    let text = std::mem::take(&mut self.text);
                    return Ok(AttemptOutcome::Finished {
                        backend_server_id,
                        text,
                        finish_reason,
                        usage,
                    });
                }
                StreamStep::Event(Ok(None)) => {
                    permit.fail();
                    return Err(EngineError::Interrupted(
                        "the answer has no end".to_string(),
                    ));
                }
                StreamStep::Event(Err(error)) => {
                    permit.fail();
                    return Err(error);
                }
                StreamStep::CallerDisconnected => {
                    return Ok(AttemptOutcome::CallerDisconnected {
                        usage: self.estimated_usage(turn),
                    });
                }
                StreamStep::RunEnded => {
                    let error = Error::new(ErrorKind::Cancelled, "the run was cancelled");
                    return Ok(AttemptOutcome::Failed {
                        error,
                        usage: self.estimated_usage(turn),
                    });
                }
                StreamStep::LeaseLost => return Ok(AttemptOutcome::LeaseLost),
            }
        }
    }

    async fn next_step(
        &self,
        turn: &TurnInProgress<'_>,
        stream: &mut CompletionStream,
        output: &mut Output,
    ) -> StreamStep {
        let context = turn.context;
        if !context.conversation.is_current() {
            return StreamStep::LeaseLost;
        }
        if !context.is_run_active(turn.run_id) {
            return StreamStep::RunEnded;
        }
        let mut next = pin!(stream.next(context.config.limits.token_timeout));
        if output.can_batch_more()
            && let Some(event) = ready_after_due_tasks(next.as_mut()).await
        {
            return StreamStep::Event(event);
        }
        output.flush().await;
        let cell = context.conversation.cell();
        let ended = pin!(cell.run_ended.until(|| !context.is_run_active(turn.run_id)));
        let closed = pin!(output.sender.closed());
        let interrupted = select(ended, closed);
        match select(next, interrupted).await {
            Either::Left((event, _)) => StreamStep::Event(event),
            Either::Right((Either::Left(_), _)) => StreamStep::RunEnded,
            Either::Right((Either::Right(_), _)) => StreamStep::CallerDisconnected,
        }
    }

    fn push_token(&mut self, turn: &TurnInProgress<'_>, text: &str, output: &mut Output) {
        output.begin(|| self.start_event(turn));
        self.output_tokens += 1;
        self.text.push_str(text);
        output.write_token(text);
    }

    fn start_event(&self, turn: &TurnInProgress<'_>) -> StartEvent {
        StartEvent {
            request_id: turn.body.request_id.clone(),
            turn: turn.turn_number().into(),
        }
    }

    /// Upper estimate of the usage of an engine that did not report it: the whole prompt without
    /// any cached part, and the tokens that arrived.
    fn estimated_usage(&self, turn: &TurnInProgress<'_>) -> Usage {
        Usage {
            prompt_tokens: turn.prompt_tokens_bound,
            completion_tokens: self.output_tokens,
            cached_tokens: 0,
        }
    }

    fn failure_outcome(&self, turn: &TurnInProgress<'_>, error: EngineError) -> AttemptOutcome {
        if !self.may_have_run {
            let message = "no engine accepted the call; retry later";
            let error = Error::new(ErrorKind::NoBackendServer, message).with_cause(error);
            return AttemptOutcome::NotRun(error);
        }
        let message = "the engine failed during the call; send it with a new request id";
        let error = Error::new(ErrorKind::BackendFailed, message).with_cause(error);
        AttemptOutcome::Failed {
            error,
            usage: self.estimated_usage(turn),
        }
    }
}

/// The output of a future if it is ready immediately or once the tasks that are ready now have run.
///
/// Tokens that an engine sent while this entry was busy are in the receive buffer of the
/// connection, whose task delivers one of them each time it runs. Letting that task run once more
/// collects them into one write to the caller, and delays a single token only by the tasks that are
/// ready.
///
/// The function awaits a newly spawned task instead of waking itself, because a task that wakes
/// itself runs again before the others.
async fn ready_after_due_tasks<F: Future + Unpin>(future: F) -> Option<F::Output> {
    match select(future, monoio::spawn(async {})).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}

fn is_retryable(error: &EngineError) -> bool {
    match error {
        // Other client errors would be the same on every engine.
        EngineError::Refused(status, _) => *status >= 500 || matches!(status, 408 | 429),
        EngineError::NotSent(_) | EngineError::Interrupted(_) | EngineError::TimedOut(_) => true,
        EngineError::Protocol(_) => false,
    }
}

fn completion_request(turn: &TurnInProgress<'_>) -> CompletionRequest {
    let context = turn.context;
    let state = context.conversation.cell().state.borrow();
    let thread_number = state.thread_number(turn.run_id);
    let history = state
        .thread_of(turn.run_id)
        .map(|thread| thread.messages.as_slice());
    let history = history
        .unwrap_or_default()
        .iter()
        .map(|message| ChatMessage {
            role: message.role.name().into(),
            content: message.text.clone(),
        });
    let input = ChatMessage {
        role: Role::User.name().into(),
        content: turn.input.clone(),
    };
    CompletionRequest {
        model: turn.program.model_id.clone(),
        messages: history.chain([input]).collect(),
        max_tokens: turn.body.max_output_tokens,
        cache_key: cache_key(&context.key, thread_number),
    }
}
