//! A tool call: a paid action that runs at most once unless the tool is configured as idempotent.
//!
//! The intention is durable before the action is sent to the tool, and the outcome before the
//! caller gets the response. If the entry or the connection fails in between, the action is in
//! doubt. An action in doubt is only sent again to an idempotent tool; otherwise the status query
//! of the tool resolves it, if the tool has one. Each call runs in its own task, so that its
//! outcome is recorded even if its caller disconnects.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use futures_channel::oneshot;
use hyper::{Response, StatusCode};
use sha2::{Digest, Sha256};

use crate::connection::body::Body;
use crate::connection::http_server::json_response;
use crate::connection::tool::{ActionResult, ActionStatus, ToolError};
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{ConversationKey, Micros, RequestId, RunId};
use crate::process::conversation::{Action, ActionOutcome, Event, Progress};
use crate::process::metrics::{ACTIONS_IN_DOUBT, RETRIES};
use crate::process::slots::lock::ThreadLock;
use crate::request::api::{ToolAnswer, ToolCall};
use crate::request::call::{CallContext, StartOutcome, hold_until_settled, unsettled_request};
use crate::version::config::Tool;

/// Limit of the times that one call sends an idempotent action.
const MAX_ATTEMPTS: usize = 3;

/// Runs a tool call, or returns the durable result of an earlier request with the same id.
pub async fn respond(
    context: CallContext,
    run_id: RunId,
    body: ToolCall,
) -> Result<Response<Body>> {
    let (answer_tx, answer_rx) = oneshot::channel();
    monoio::spawn(async move {
        let _ = answer_tx.send(run(&context, run_id, body).await);
    });
    match answer_rx.await {
        Ok(answer) => Ok(json_response(StatusCode::OK, &answer?)),
        Err(_) => Err(Error::new(
            ErrorKind::Internal,
            "the task of the tool call ended without a response",
        )),
    }
}

async fn run(context: &CallContext, run_id: RunId, body: ToolCall) -> Result<ToolAnswer> {
    let _attempt = context.conversation.cell().begin_attempt(&body.request_id);
    if let Some(Progress::ActionDone(action_id, result, charge)) =
        context.earlier_progress(&body.request_id)?
    {
        return tool_answer(
            context,
            run_id,
            &body.request_id,
            &action_id,
            &result,
            charge,
        );
    }
    let lock = context
        .lock_call(run_id, &body.request_id, body.sequence)
        .await?;
    match context.earlier_progress(&body.request_id)? {
        Some(Progress::ActionDone(action_id, result, charge)) => tool_answer(
            context,
            run_id,
            &body.request_id,
            &action_id,
            &result,
            charge,
        ),
        Some(Progress::ActionInDoubt(action)) => {
            ToolCallInProgress::resume(context, run_id, &body, action, lock)?
                .resolve()
                .await
        }
        None => {
            context.check_durability()?;
            context.check_call(run_id, body.sequence)?;
            let call = ToolCallInProgress::reserve(context, run_id, &body, lock)?;
            call.start().await?;
            call.execute().await
        }
        Some(_) => Err(unsettled_request()),
    }
}

/// A tool call between its reservation and its settlement.
struct ToolCallInProgress<'a> {
    context: &'a CallContext,
    run_id: RunId,
    body: &'a ToolCall,
    tool: Tool,
    action: Action,
    /// Whether the tool may have received the action from an earlier attempt, of this or an earlier
    /// request.
    may_have_run: Cell<bool>,
    /// Held until the outcome is settled.
    lock: Cell<Option<ThreadLock>>,
}

impl<'a> ToolCallInProgress<'a> {
    fn reserve(
        context: &'a CallContext,
        run_id: RunId,
        body: &'a ToolCall,
        lock: ThreadLock,
    ) -> Result<Self> {
        let program = context.program_of(run_id)?;
        if !program.tools.contains(&body.tool) {
            let message = format!(
                "the program is not allowed to call the tool `{}`",
                body.tool
            );
            return Err(Error::new(ErrorKind::Forbidden, message));
        }
        let tool = find_tool(context, body)?;
        let action = Action {
            action_id: action_id(&context.key, run_id, &body.request_id),
            tool_id: body.tool.clone(),
            arguments: body.arguments.to_string().into(),
            reserved_micros: tool.price_limit_micros,
        };
        let budget = context.root_budget_micros(run_id);
        let mut state = context.conversation.cell().state.borrow_mut();
        state.reserve_pending(run_id, action.reserved_micros, budget)?;
        drop(state);
        Ok(Self {
            context,
            run_id,
            body,
            tool,
            action,
            may_have_run: Cell::new(false),
            lock: Cell::new(Some(lock)),
        })
    }

    /// Continues an action in doubt, whose reservation is already recorded.
    fn resume(
        context: &'a CallContext,
        run_id: RunId,
        body: &'a ToolCall,
        action: Action,
        lock: ThreadLock,
    ) -> Result<Self> {
        let tool = find_tool(context, body)?;
        Ok(Self {
            context,
            run_id,
            body,
            tool,
            action,
            may_have_run: Cell::new(true),
            lock: Cell::new(Some(lock)),
        })
    }

    /// Waits until the intention is durable. After an error the action was certainly not sent.
    async fn start(&self) -> Result<()> {
        let event = Event::ActionIntended {
            request_id: self.body.request_id.clone(),
            fingerprint: self.context.fingerprint,
            run_id: self.run_id,
            action: self.action.clone(),
        };
        let mut receipt = match self.context.append(event) {
            Ok(receipt) => receipt,
            Err(error) => {
                self.clear_pending();
                return Err(error);
            }
        };
        match self.context.wait_start_durable(&mut receipt).await {
            StartOutcome::Durable => Ok(()),
            StartOutcome::Refused(error) => {
                if self.context.entry.journal.withdraw(&receipt) {
                    self.clear_pending();
                } else {
                    let finish = self.finish_event(ActionOutcome::NotRun);
                    self.context
                        .settle_refused_start(receipt, self.lock.take(), finish);
                }
                Err(error)
            }
        }
    }

    fn clear_pending(&self) {
        let mut state = self.context.conversation.cell().state.borrow_mut();
        state.release_pending(self.run_id, self.action.reserved_micros);
    }

    async fn execute(&self) -> Result<ToolAnswer> {
        let mut attempt = 1;
        loop {
            self.check_lease()?;
            let error = match self.send().await {
                Ok(result) => return self.settle_done(result).await,
                Err(error) => error,
            };
            match error {
                ToolError::NotSent(reason) if !self.may_have_run.get() => {
                    return self.settle_not_run(reason).await;
                }
                ToolError::Refused(status, message) if status < 500 => {
                    return self.settle_failed(status, message).await;
                }
                error if self.may_retry(attempt) => {
                    metrics::counter!(RETRIES, "kind" => "action").increment(1);
                    log::info!(
                        "sending action {} of tool `{}` again after a failed attempt: {error}",
                        self.action.action_id,
                        self.body.tool
                    );
                }
                error => return self.settle_in_doubt(error).await,
            }
            self.may_have_run.set(true);
            attempt += 1;
        }
    }

    /// Resolves an action in doubt: sends it again if the tool is idempotent, and otherwise only
    /// queries its status.
    async fn resolve(&self) -> Result<ToolAnswer> {
        if self.tool.idempotent {
            return self.execute().await;
        }
        match self.query_status().await {
            Some(result) => self.settle_done(result).await,
            None => Err(self.in_doubt_error()),
        }
    }

    /// Fails unless this entry certainly holds the lease. Otherwise another entry may have taken
    /// over and reported to the caller that the action is in doubt, so the action must not be sent.
    fn check_lease(&self) -> Result<()> {
        let now = self.context.entry.timer.now();
        if self.context.conversation.is_current() && self.context.entry.journal.holds_lease_at(now)
        {
            return Ok(());
        }
        if self.may_have_run.get() {
            let message =
                "the entry could not renew its lease in time; repeat the request with the same id";
            return Err(Error::new(ErrorKind::HolderLost, message));
        }
        // The event is refused if the lease is lost; the recovery then marks the action as in
        // doubt.
        if let Ok(receipt) = self.append(ActionOutcome::NotRun) {
            monoio::spawn(hold_until_settled(receipt, self.lock.take()));
        }
        let message = "the entry could not renew its lease in time; retry soon";
        Err(Error::new(ErrorKind::SlotUnavailable, message))
    }

    async fn send(&self) -> std::result::Result<ActionResult, ToolError> {
        let tools = &self.context.entry.tools;
        let action = &self.action;
        let arguments = &self.body.arguments;
        let timeout = self.tool.timeout;
        let address: SocketAddr = self.tool.address;
        tools
            .run(
                address,
                &action.action_id,
                &action.tool_id,
                arguments,
                timeout,
            )
            .await
    }

    fn may_retry(&self, attempt: usize) -> bool {
        let percent = self.context.config.limits.retry_percent;
        self.tool.idempotent
            && attempt < MAX_ATTEMPTS
            && self.context.entry.retry_budget.try_acquire(percent)
    }

    async fn settle_not_run(&self, reason: String) -> Result<ToolAnswer> {
        self.append_and_wait(ActionOutcome::NotRun).await?;
        let message = format!(
            "the tool `{}` could not be reached: {reason}",
            self.body.tool
        );
        Err(Error::new(ErrorKind::NoBackendServer, message))
    }

    async fn settle_failed(&self, status: u16, message: String) -> Result<ToolAnswer> {
        let message = format!("the tool refused the action with status {status}: {message}");
        let outcome = ActionOutcome::Failed {
            message: message.as_str().into(),
        };
        self.append_and_wait(outcome).await?;
        Err(Error::new(ErrorKind::ToolFailed, message))
    }

    async fn settle_in_doubt(&self, error: ToolError) -> Result<ToolAnswer> {
        if let Some(result) = self.query_status().await {
            return self.settle_done(result).await;
        }
        self.append_and_wait(ActionOutcome::InDoubt).await?;
        metrics::counter!(ACTIONS_IN_DOUBT).increment(1);
        Err(self.in_doubt_error().with_cause(error))
    }

    /// The result of the action as reported by the status query of the tool, which is repeated
    /// while the action is running or the query fails, for at most the timeout of the tool. `None`
    /// means that the outcome remains unknown. This includes an action that the tool does not know,
    /// because the request may still be in transit.
    async fn query_status(&self) -> Option<ActionResult> {
        if !self.tool.has_status_query {
            return None;
        }
        let deadline = self.context.entry.timer.now() + self.tool.timeout;
        loop {
            let status = self
                .context
                .entry
                .tools
                .status(self.tool.address, &self.action.action_id)
                .await;
            match status {
                Ok(ActionStatus::Done(result)) => return Some(result),
                Ok(ActionStatus::Unknown) => return None,
                Ok(ActionStatus::Running) | Err(_) => {}
            }
            if self.context.entry.timer.now() >= deadline {
                return None;
            }
            self.context.entry.timer.sleep(STATUS_POLL_INTERVAL).await;
        }
    }

    fn in_doubt_error(&self) -> Error {
        let message = format!(
            "it is not known whether action {} of the tool `{}` ran, and it is not run again; ask \
             the owner of the tool, or repeat the request with the same request id later",
            self.action.action_id, self.body.tool
        );
        Error::new(ErrorKind::ActionInDoubt, message)
    }

    async fn settle_done(&self, result: ActionResult) -> Result<ToolAnswer> {
        let limit = self.action.reserved_micros;
        if result.charge_micros > limit {
            log::error!( tool = &*self.action.tool_id, charge_micros = result.charge_micros, limit; "tool charged more than its price limit; the run is charged the limit" );
        }
        let charge = result.charge_micros.min(limit);
        let text: Rc<str> = result.result.to_string().into();
        let outcome = ActionOutcome::Done {
            result: text.clone(),
            charge_micros: charge,
        };
        self.append_and_wait(outcome).await?;
        crate::process::audit::paid_action(&self.context.key, self.run_id, &self.action, charge);
        let request_id = &self.body.request_id;
        tool_answer(
            self.context,
            self.run_id,
            request_id,
            &self.action.action_id,
            &text,
            charge,
        )
    }

    fn append(&self, outcome: ActionOutcome) -> Result<crate::process::journal::Receipt> {
        self.context.append(self.finish_event(outcome))
    }

    fn finish_event(&self, outcome: ActionOutcome) -> Event {
        Event::ActionFinished {
            request_id: self.body.request_id.clone(),
            run_id: self.run_id,
            outcome,
        }
    }

    async fn append_and_wait(&self, outcome: ActionOutcome) -> Result<()> {
        let mut receipt = self.append(outcome)?;
        let result = self.context.wait_finish_durable(&mut receipt).await;
        if result.is_err() {
            monoio::spawn(hold_until_settled(receipt, self.lock.take()));
        }
        result
    }
}

/// Delay between two status queries while the action is running or the query fails.
const STATUS_POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(200);

fn find_tool(context: &CallContext, body: &ToolCall) -> Result<Tool> {
    context
        .config
        .tools
        .get(&body.tool)
        .cloned()
        .ok_or_else(|| {
            Error::new(
                ErrorKind::NotFound,
                format!("there is no tool named `{}`; check the name", body.tool),
            )
        })
}

/// The idempotency key of an action: the same on every lease holder and for every repeat of a
/// request, and different for any other request. The length before each part keeps the parts
/// distinct.
fn action_id(key: &ConversationKey, run_id: RunId, request_id: &RequestId) -> Rc<str> {
    let mut digest = Sha256::new();
    for part in [
        &*key.team_id,
        &*key.conversation_id,
        &run_id.to_string(),
        &**request_id,
    ] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part.as_bytes());
    }
    let bytes = digest.finalize();
    let hex: String = bytes[..16]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    hex.into()
}

fn tool_answer(
    context: &CallContext,
    run_id: RunId,
    request_id: &RequestId,
    action_id: &str,
    result: &str,
    charge_micros: Micros,
) -> Result<ToolAnswer> {
    let (spent_micros, remaining_micros) = context.spent_and_remaining(run_id);
    let result = serde_json::from_str(result).map_err(|error| {
        Error::new(
            ErrorKind::Internal,
            "the stored result of the tool call is not valid JSON",
        )
        .with_cause(error)
    })?;
    Ok(ToolAnswer {
        request_id: request_id.clone(),
        action_id: action_id.to_string(),
        result,
        charge_micros,
        spent_micros,
        remaining_micros,
    })
}
