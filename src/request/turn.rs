//! A turn: one model call whose tokens are streamed to the caller.
//!
//! The start event, which carries the reservation, becomes durable while the call waits for an
//! engine; the call is sent only after that. Tokens are forwarded to the caller as they arrive. The
//! finish event is durable before the final event `done` is sent. Each turn runs in its own task,
//! so that it is settled even if its caller disconnects; the stream of the engine is cancelled in
//! that case.

mod attempt;
mod output;

use std::pin::pin;
use std::rc::Rc;

use futures_channel::oneshot;
use futures_util::future::{Either, select};
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};

use crate::connection::body::Body;
use crate::connection::engine::Usage;
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{Micros, RunId};
use crate::process::conversation::{Event, Progress, TurnOutcome, TurnResult};
use crate::process::metrics::{CACHED_TOKENS, COST_MICROS, OUTPUT_TOKENS, PROMPT_TOKENS};
use crate::process::routing::{CallDescription, Permit};
use crate::process::slots::lock::ThreadLock;
use crate::request::api::{DoneEvent, StartEvent, Turn};
use crate::request::call::{
    CallContext, StartOutcome, cache_key, hold_until_settled, unsettled_request,
};
use crate::version::config::{Model, Program};
use attempt::EngineAttempts;
use output::Output;

/// Runs a turn, or returns the durable result of an earlier request with the same id. The response
/// starts with the first event of the turn; an error before that becomes an error status.
pub async fn respond(context: CallContext, run_id: RunId, body: Turn) -> Result<Response<Body>> {
    check_limits(&context, &body)?;
    let (head_tx, head_rx) = oneshot::channel();
    let (sender, stream) = Body::stream();
    let output = Output::new(head_tx, sender);
    monoio::spawn(run(context, run_id, body, output));
    match head_rx.await {
        Ok(Ok(())) => Ok(stream_response(stream)),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(Error::new(
            ErrorKind::Internal,
            "the task of the turn ended without a response",
        )),
    }
}

fn check_limits(context: &CallContext, body: &Turn) -> Result<()> {
    let limits = &context.config.limits;
    if body.input.len() > limits.input_bytes {
        let message = format!(
            "`input` is longer than the limit of {} bytes",
            limits.input_bytes
        );
        return Err(Error::new(ErrorKind::BodyTooLarge, message));
    }
    if body.max_output_tokens > limits.output_tokens {
        let message = format!(
            "`max_output_tokens` is above the limit of {}",
            limits.output_tokens
        );
        return Err(Error::new(ErrorKind::BadRequest, message));
    }
    Ok(())
}

async fn run(context: CallContext, run_id: RunId, body: Turn, mut output: Output) {
    let _attempt = context.conversation.cell().begin_attempt(&body.request_id);
    let mut turn = match prepare(&context, run_id, body, &mut output).await {
        Ok(Prepared::New(turn)) => turn,
        Ok(Prepared::Completed(result)) => {
            return resend_result(&context, run_id, &result, &mut output).await;
        }
        Ok(Prepared::CallerDisconnected) => return,
        Err(error) => return output.fail(error).await,
    };
    if let Err(error) = turn.execute(&mut output).await {
        output.fail(error).await;
    }
}

/// Sends the durable result of an earlier turn: one token event with the whole output, then `done`.
async fn resend_result(
    context: &CallContext,
    run_id: RunId,
    (request_id, result): &(crate::ids::RequestId, TurnResult),
    output: &mut Output,
) {
    output.begin(|| StartEvent {
        request_id: request_id.clone(),
        turn: result.turn.into(),
    });
    output.write_token(&result.output);
    output
        .finish(&done_event(context, run_id, request_id, result))
        .await;
}

fn done_event(
    context: &CallContext,
    run_id: RunId,
    request_id: &crate::ids::RequestId,
    result: &TurnResult,
) -> DoneEvent {
    let (spent_micros, remaining_micros) = context.spent_and_remaining(run_id);
    DoneEvent {
        request_id: request_id.clone(),
        turn: result.turn.into(),
        prompt_tokens: result.prompt_tokens,
        cached_tokens: result.cached_tokens,
        output_tokens: result.output_tokens,
        cost_micros: result.cost_micros,
        spent_micros,
        remaining_micros,
        finish_reason: result.finish_reason.to_string(),
    }
}

enum Prepared<'a> {
    New(Box<TurnInProgress<'a>>),
    /// An earlier request with the same id has a durable result.
    Completed((crate::ids::RequestId, TurnResult)),
    CallerDisconnected,
}

/// Waits until the turn may start in its run, and reserves its cost.
async fn prepare<'a>(
    context: &'a CallContext,
    run_id: RunId,
    body: Turn,
    output: &mut Output,
) -> Result<Prepared<'a>> {
    if let Some(Progress::TurnDone(result)) = context.earlier_progress(&body.request_id)? {
        return Ok(Prepared::Completed((body.request_id, result)));
    }
    let lock = {
        let lock = std::pin::pin!(context.lock_call(run_id, &body.request_id, body.sequence));
        let closed = std::pin::pin!(output.sender.closed());
        match select(lock, closed).await {
            Either::Left((lock, _)) => lock?,
            Either::Right(_) => return Ok(Prepared::CallerDisconnected),
        }
    };
    match context.earlier_progress(&body.request_id)? {
        Some(Progress::TurnDone(result)) => {
            return Ok(Prepared::Completed((body.request_id, result)));
        }
        None | Some(Progress::TurnInterrupted) => {}
        Some(_) => return Err(unsettled_request()),
    }
    context.check_durability()?;
    context.check_call(run_id, body.sequence)?;
    let turn = TurnInProgress::reserve(context, run_id, body, lock)?;
    Ok(Prepared::New(Box::new(turn)))
}

/// The price of a number of tokens, rounded up to whole micros.
fn price(tokens: u64, micros_per_1k_tokens: Micros) -> Micros {
    tokens.saturating_mul(micros_per_1k_tokens).div_ceil(1000)
}

/// A turn between its reservation and its settlement.
struct TurnInProgress<'a> {
    context: &'a CallContext,
    run_id: RunId,
    body: Turn,
    input: Rc<str>,
    program: Program,
    model: Model,
    /// Upper bound of the tokens of the prompt, on which the reservation is based.
    prompt_tokens_bound: u64,
    reserved_micros: Micros,
    /// Held until the turn is settled.
    lock: Option<ThreadLock>,
}

impl<'a> TurnInProgress<'a> {
    fn reserve(
        context: &'a CallContext,
        run_id: RunId,
        body: Turn,
        lock: ThreadLock,
    ) -> Result<Self> {
        let program = context.program_of(run_id)?;
        let model = context
            .config
            .models
            .get(&program.model_id)
            .cloned()
            .ok_or_else(|| {
                let message = format!(
                    "the model `{}` of the program is no longer configured",
                    program.model_id
                );
                Error::new(ErrorKind::NotFound, message)
            })?;
        let prompt_tokens_bound = prompt_bound(context, run_id, &body, &model)?;
        let output_tokens = u64::from(body.max_output_tokens);
        let reserved_micros = price(prompt_tokens_bound, model.prompt_micros_per_1k_tokens)
            + price(output_tokens, model.output_micros_per_1k_tokens);
        let budget = context.root_budget_micros(run_id);
        let mut state = context.conversation.cell().state.borrow_mut();
        state.reserve_pending(run_id, reserved_micros, budget)?;
        drop(state);
        Ok(Self {
            context,
            run_id,
            input: body.input.as_str().into(),
            body,
            program,
            model,
            prompt_tokens_bound,
            reserved_micros,
            lock: Some(lock),
        })
    }

    async fn execute(&mut self, output: &mut Output) -> Result<()> {
        let permit = self.start().await?;
        let mut attempts = EngineAttempts::new(permit);
        let outcome = attempts.run(self, output).await;
        self.settle(outcome, output).await
    }

    /// Waits concurrently until the start event is durable and until an engine has capacity.
    async fn start(&mut self) -> Result<Permit> {
        let event = Event::TurnStarted {
            request_id: self.body.request_id.clone(),
            fingerprint: self.context.fingerprint,
            run_id: self.run_id,
            reserved_micros: self.reserved_micros,
        };
        let mut receipt = match self.context.append(event) {
            Ok(receipt) => receipt,
            Err(error) => {
                self.clear_pending();
                return Err(error);
            }
        };
        match self.start_and_acquire(&mut receipt).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(error)) => {
                // The caller gets the error without waiting for this event: the call was not sent,
                // whether or not the event becomes durable.
                let receipt = self.append_finish(TurnOutcome::NotRun)?;
                monoio::spawn(hold_until_settled(receipt, self.lock.take()));
                Err(error)
            }
            Err(error) => {
                if self.context.entry.journal.withdraw(&receipt) {
                    self.clear_pending();
                } else {
                    let finish = self.finish_event(TurnOutcome::NotRun);
                    self.context
                        .settle_refused_start(receipt, self.lock.take(), finish);
                }
                Err(error)
            }
        }
    }

    /// The outer error means that the start event is not durable, and ends the wait for an engine;
    /// the inner one that the router granted no permit.
    async fn start_and_acquire(
        &self,
        receipt: &mut crate::process::journal::Receipt,
    ) -> Result<Result<Permit>> {
        let starting = pin!(self.context.wait_start_durable(receipt));
        let call = self.call_description(Vec::new());
        self.seed_router_prefix(&call);
        let acquiring = pin!(self.context.entry.router.acquire(call));
        let (started, permit) = match select(starting, acquiring).await {
            Either::Left((StartOutcome::Refused(error), _)) => return Err(error),
            Either::Left((StartOutcome::Durable, acquiring)) => {
                (StartOutcome::Durable, acquiring.await)
            }
            Either::Right((permit, starting)) => (starting.await, permit),
        };
        match started {
            StartOutcome::Durable => Ok(permit),
            StartOutcome::Refused(error) => Err(error),
        }
    }

    fn clear_pending(&self) {
        let mut state = self.context.conversation.cell().state.borrow_mut();
        state.release_pending(self.run_id, self.reserved_micros);
    }

    fn call_description(&self, excluded: Vec<crate::ids::BackendServerId>) -> CallDescription {
        let context = self.context;
        let state = context.conversation.cell().state.borrow();
        let thread = state.thread_number(self.run_id);
        let service_tokens = state
            .thread_of(self.run_id)
            .map_or(0, |thread| thread.counted_tokens);
        CallDescription {
            config: context.config.clone(),
            model_id: self.program.model_id.clone(),
            team_id: context.key.team_id.clone(),
            cache_key: cache_key(&context.key, thread),
            priority: self.program.priority,
            program_service_tokens: service_tokens,
            prompt_tokens: self.prompt_tokens_bound,
            max_output_tokens: self.body.max_output_tokens.into(),
            excluded,
        }
    }

    /// Passes the engine that has the thread's prefix to the router, which does not know it if an
    /// earlier lease holder of the slot placed the previous call.
    fn seed_router_prefix(&self, call: &CallDescription) {
        let state = self.context.conversation.cell().state.borrow();
        if let Some(thread) = state.thread_of(self.run_id)
            && let Some(backend_server_id) = &thread.backend_server_id
        {
            let router = &self.context.entry.router;
            router.seed_prefix(&call.cache_key, backend_server_id, thread.counted_tokens);
        }
    }

    fn append_finish(&self, outcome: TurnOutcome) -> Result<crate::process::journal::Receipt> {
        self.context.append(self.finish_event(outcome))
    }

    fn finish_event(&self, outcome: TurnOutcome) -> Event {
        Event::TurnFinished {
            request_id: self.body.request_id.clone(),
            run_id: self.run_id,
            input: self.input.clone(),
            outcome,
        }
    }

    /// Number of this call in its run, from 1; 0 if the run does not exist.
    fn turn_number(&self) -> u32 {
        self.context
            .with_run(self.run_id, |run| run.calls + 1)
            .unwrap_or(0)
    }

    /// Limits the usage that an engine reported to what the request allows. The token count of the
    /// history is taken from the usage, so an excessive report would also make the history too long
    /// for further turns.
    fn bound_usage(&self, usage: Usage) -> Usage {
        let bounded = Usage {
            prompt_tokens: usage.prompt_tokens.min(self.prompt_tokens_bound),
            completion_tokens: usage
                .completion_tokens
                .min(self.body.max_output_tokens.into()),
            cached_tokens: usage.cached_tokens.min(self.prompt_tokens_bound),
        };
        if bounded != usage {
            log::warn!( run_id = self.run_id, usage:? = usage; "engine reported more tokens than the request allows; the excess is not counted" );
        }
        bounded
    }

    /// The cost of usage that was limited by [`Self::bound_usage`]; it never exceeds the
    /// reservation.
    fn cost(&self, usage: &Usage) -> Micros {
        price(usage.prompt_tokens, self.model.prompt_micros_per_1k_tokens)
            + price(
                usage.completion_tokens,
                self.model.output_micros_per_1k_tokens,
            )
    }

    async fn settle(
        &mut self,
        outcome: attempt::AttemptOutcome,
        output: &mut Output,
    ) -> Result<()> {
        let (outcome, error) = match outcome {
            attempt::AttemptOutcome::Finished {
                backend_server_id,
                text,
                finish_reason,
                usage,
            } => {
                let result = TurnResult {
                    turn: self.turn_number(),
                    output: text.into(),
                    prompt_tokens: usage.prompt_tokens,
                    cached_tokens: usage.cached_tokens,
                    output_tokens: usage.completion_tokens,
                    cost_micros: self.cost(&usage),
                    finish_reason: finish_reason.into(),
                    backend_server_id,
                };
                return self.settle_done(result, output).await;
            }
            attempt::AttemptOutcome::NotRun(error) => (TurnOutcome::NotRun, error),
            attempt::AttemptOutcome::Failed { error, usage } => {
                let message = crate::error::chain(&error).into();
                let kind = error.kind;
                let cost_micros = self.cost(&usage);
                (
                    TurnOutcome::Failed {
                        kind,
                        message,
                        cost_micros,
                    },
                    error,
                )
            }
            attempt::AttemptOutcome::CallerDisconnected { usage } => {
                let cost_micros = self.cost(&usage);
                self.append_and_wait(TurnOutcome::Interrupted { cost_micros })
                    .await?;
                return Ok(());
            }
            attempt::AttemptOutcome::LeaseLost => {
                let message = "the entry lost its lease during the turn; repeat the request with \
                               the same request id";
                return Err(Error::new(ErrorKind::HolderLost, message));
            }
        };
        self.append_and_wait(outcome).await?;
        Err(error)
    }

    async fn append_and_wait(&mut self, outcome: TurnOutcome) -> Result<()> {
        let mut receipt = self.append_finish(outcome)?;
        let result = self.context.wait_finish_durable(&mut receipt).await;
        if result.is_err() {
            monoio::spawn(hold_until_settled(receipt, self.lock.take()));
        }
        result
    }

    async fn settle_done(&mut self, result: TurnResult, output: &mut Output) -> Result<()> {
        let mut receipt = self.append_finish(TurnOutcome::Done(result.clone()))?;
        match self.context.wait_finish_durable(&mut receipt).await {
            Ok(()) => {}
            Err(error) => {
                output.fail(error).await;
                // Until the event is durable or the lease is lost, the slot is not released and the
                // lock of the thread stays held.
                let _ = receipt.durable().await;
                return Ok(());
            }
        }
        let done = done_event(self.context, self.run_id, &self.body.request_id, &result);
        output.finish(&done).await;
        output.record_latency();
        record_usage(&result);
        Ok(())
    }
}

fn record_usage(result: &TurnResult) {
    metrics::counter!(PROMPT_TOKENS).increment(result.prompt_tokens);
    metrics::counter!(CACHED_TOKENS).increment(result.cached_tokens);
    metrics::counter!(OUTPUT_TOKENS).increment(result.output_tokens);
    metrics::counter!(COST_MICROS).increment(result.cost_micros);
}

/// Upper bound of the tokens of the turn's prompt. Fails if the history leaves no room for the
/// output in the context of the model.
fn prompt_bound(context: &CallContext, run_id: RunId, body: &Turn, model: &Model) -> Result<u64> {
    let state = context.conversation.cell().state.borrow();
    let thread = state.thread_of(run_id);
    let (bound, history_tokens) = thread.map_or((0, 0), |thread| {
        (
            thread.prompt_tokens_bound(&body.input),
            thread.counted_tokens,
        )
    });
    let max_prompt_tokens =
        u64::from(model.context_tokens).saturating_sub(body.max_output_tokens.into());
    if history_tokens >= max_prompt_tokens {
        let message = format!(
            "the history has {history_tokens} tokens, and the context of the model is {} tokens \
             including the output; start a new conversation",
            model.context_tokens
        );
        return Err(Error::new(ErrorKind::HistoryTooLong, message));
    }
    Ok(bound.min(max_prompt_tokens))
}

fn stream_response(stream: Body) -> Response<Body> {
    let mut response = Response::new(stream);
    *response.status_mut() = StatusCode::OK;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}
