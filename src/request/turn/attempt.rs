//! The attempts to get the answer of one turn from an engine.
//!
//! Before its first token an attempt may be repeated on another engine, within the retry budget.
//! After it, the caller has seen output, so a failure ends the turn.

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
use crate::request::turn::NewTurn;
use crate::request::turn::output::Output;

/// Engines that a turn tries at most.
const ENGINES_PER_TURN: usize = 3;

/// How the attempts ended.
pub(super) enum Outcome {
    /// With the whole answer.
    Finished {
        backend_server_id: BackendServerId,
        text: String,
        finish_reason: String,
        usage: Usage,
    },
    /// No engine received the call.
    NotRun(Error),
    /// An engine failed, or the run was cancelled.
    Failed { error: Error, used: Usage },
    /// Nobody reads the answer any more.
    CallerDisconnected { used: Usage },
    /// Another entry has taken over.
    LeaseLost,
}

/// The attempt in progress.
pub(super) struct Attempt {
    permit: Option<Permit>,
    excluded: Vec<BackendServerId>,
    /// Whether an engine may have worked on the call.
    has_run: bool,
    text: String,
    tokens: u64,
}

/// Why reading from the engine stopped.
enum Step {
    Event(Result<Option<CompletionEvent>, EngineError>),
    CallerDisconnected,
    RunEnded,
    LeaseLost,
}

impl Attempt {
    pub(super) fn new(permit: Permit) -> Self {
        Self {
            permit: Some(permit),
            excluded: Vec::new(),
            has_run: false,
            text: String::new(),
            tokens: 0,
        }
    }

    pub(super) async fn run(&mut self, turn: &NewTurn<'_>, output: &mut Output) -> Outcome {
        let request = completion_request(turn);
        loop {
            let result = self.try_engine(turn, &request, output).await;
            output.flush().await;
            let error = match result {
                Ok(outcome) => return outcome,
                Err(error) => error,
            };
            let may_retry = self.tokens == 0
                && self.excluded.len() < ENGINES_PER_TURN
                && is_retryable(&error)
                && turn
                    .context
                    .entry
                    .retry_budget
                    .try_retry(turn.context.config.limits.retry_percent);
            if !may_retry {
                return self.failed(turn, error);
            }
            metrics::counter!(RETRIES, "kind" => "completion").increment(1);
            let call = turn.describe(self.excluded.clone());
            match turn.context.entry.router.acquire(call).await {
                Ok(permit) => self.permit = Some(permit),
                Err(_) => return self.failed(turn, error),
            }
        }
    }

    async fn try_engine(
        &mut self,
        turn: &NewTurn<'_>,
        request: &CompletionRequest,
        output: &mut Output,
    ) -> Result<Outcome, EngineError> {
        let Some(permit) = self.permit.take() else {
            return Err(EngineError::NotSent("no engine was chosen".to_string()));
        };
        self.excluded.push(permit.backend_server_id.clone());
        let gap = turn.context.config.limits.token_timeout;
        let limits = CompletionLimits { head_time: gap };
        let engines = &turn.context.entry.engines;
        let mut stream = match engines.complete(permit.address, request, limits).await {
            Ok(stream) => stream,
            Err(error) => {
                self.has_run |= !error.is_before_work();
                permit.fail();
                return Err(error);
            }
        };
        self.has_run = true;
        loop {
            match self.step(turn, &mut stream, output).await {
                Step::Event(Ok(Some(CompletionEvent::Token(text)))) => {
                    if self.tokens == 0 {
                        permit.record_first_token();
                    }
                    if self.tokens >= u64::from(turn.body.max_output_tokens) {
                        permit.fail();
                        let reason = "the engine sent more tokens than it was asked for";
                        return Err(EngineError::Protocol(reason.to_string()));
                    }
                    self.take_token(turn, &text, output);
                }
                Step::Event(Ok(Some(CompletionEvent::Finished {
                    finish_reason,
                    usage,
                }))) => {
                    let usage = turn.bounded(usage);
                    let backend_server_id = permit.backend_server_id.clone();
                    permit.finish(usage);
                    output.begin(|| self.start_event(turn));
                    let text = std::mem::take(&mut self.text);
                    return Ok(Outcome::Finished {
                        backend_server_id,
                        text,
                        finish_reason,
                        usage,
                    });
                }
                Step::Event(Ok(None)) => {
                    permit.fail();
                    return Err(EngineError::Interrupted(
                        "the answer has no end".to_string(),
                    ));
                }
                Step::Event(Err(error)) => {
                    permit.fail();
                    return Err(error);
                }
                Step::CallerDisconnected => {
                    return Ok(Outcome::CallerDisconnected {
                        used: self.used(turn),
                    });
                }
                Step::RunEnded => {
                    let error = Error::new(ErrorKind::Cancelled, "the run was cancelled");
                    return Ok(Outcome::Failed {
                        error,
                        used: self.used(turn),
                    });
                }
                Step::LeaseLost => return Ok(Outcome::LeaseLost),
            }
        }
    }

    async fn step(
        &self,
        turn: &NewTurn<'_>,
        stream: &mut CompletionStream,
        output: &mut Output,
    ) -> Step {
        let context = turn.context;
        if !context.open.is_current() {
            return Step::LeaseLost;
        }
        if !context.is_run_active(turn.run_id) {
            return Step::RunEnded;
        }
        let mut next = pin!(stream.next(context.config.limits.token_timeout));
        if output.may_collect_more()
            && let Some(event) = ready_soon(next.as_mut()).await
        {
            return Step::Event(event);
        }
        output.flush().await;
        let cell = context.open.cell();
        let ended = pin!(cell.run_ended.until(|| !context.is_run_active(turn.run_id)));
        let closed = pin!(output.sender.closed());
        let interrupted = select(ended, closed);
        match select(next, interrupted).await {
            Either::Left((event, _)) => Step::Event(event),
            Either::Right((Either::Left(_), _)) => Step::RunEnded,
            Either::Right((Either::Right(_), _)) => Step::CallerDisconnected,
        }
    }

    fn take_token(&mut self, turn: &NewTurn<'_>, text: &str, output: &mut Output) {
        output.begin(|| self.start_event(turn));
        self.tokens += 1;
        self.text.push_str(text);
        output.token(text);
    }

    fn start_event(&self, turn: &NewTurn<'_>) -> StartEvent {
        StartEvent {
            request_id: turn.body.request_id.clone(),
            turn: turn.number().into(),
        }
    }

    /// What an engine may have used that did not report it: the whole prompt, and what was seen.
    fn used(&self, turn: &NewTurn<'_>) -> Usage {
        Usage {
            prompt_tokens: turn.prompt_tokens_bound,
            completion_tokens: self.tokens,
            cached_tokens: 0,
        }
    }

    fn failed(&self, turn: &NewTurn<'_>, error: EngineError) -> Outcome {
        if !self.has_run {
            let message = "no engine accepted the call; come back later";
            let error = Error::new(ErrorKind::NoBackendServer, message).with_cause(error);
            return Outcome::NotRun(error);
        }
        let message = "the engine failed during the call; send it with a new request id";
        let error = Error::new(ErrorKind::BackendFailed, message).with_cause(error);
        Outcome::Failed {
            error,
            used: self.used(turn),
        }
    }
}

/// The output of a future that is ready at once, or after the tasks that are due now have run.
///
/// Tokens that an engine sent while this entry was busy lie in the buffer of its connection, and the
/// connection's task hands over one of them each time it runs. Waiting for it once gathers them in
/// one write to the caller, and delays a single token by no more than the tasks that are due.
///
/// A task that wakes itself runs again before the others, so the end of a new task is awaited.
async fn ready_soon<F: Future + Unpin>(future: F) -> Option<F::Output> {
    match select(future, monoio::spawn(async {})).await {
        Either::Left((output, _)) => Some(output),
        Either::Right(_) => None,
    }
}

fn is_retryable(error: &EngineError) -> bool {
    match error {
        // Other client errors would be the same at every engine.
        EngineError::Refused(status, _) => *status >= 500 || matches!(status, 408 | 429),
        EngineError::NotSent(_) | EngineError::Interrupted(_) | EngineError::TimedOut(_) => true,
        EngineError::Protocol(_) => false,
    }
}

fn completion_request(turn: &NewTurn<'_>) -> CompletionRequest {
    let context = turn.context;
    let state = context.open.cell().state.borrow();
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
