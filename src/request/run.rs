//! Starts, ends and cancels runs.
//!
//! Each start or end of a run is one event, durable before the caller gets its response. A repeated
//! request id returns the run that the first request started or ended.

use std::rc::Rc;

use hyper::{Response, StatusCode};

use crate::connection::body::Body;
use crate::connection::http_server::json_response;
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{ProgramId, RequestId, RunId};
use crate::process::conversation::{EndReason, Event, Progress, Run, RunState};
use crate::process::entry::background;
use crate::request::api::{EndRun, EndRunAnswer, RunAnswer, StartRun, StartSubAgent};
use crate::request::call::CallContext;
use crate::request::read::public_state;
use crate::version::config::Program;

/// Starts a root run. Its budget is the requested one, capped at the budget of the program.
pub async fn start(context: CallContext, body: StartRun) -> Result<Response<Body>> {
    let program = find_program(&context, &body.program)?;
    let budget_micros = body
        .budget_micros
        .map_or(program.budget_micros, |requested| {
            requested.min(program.budget_micros)
        });
    // Held until the event is settled, so that no two requests are assigned the same run id.
    let lock = context.lock_run_starts(&body.request_id).await?;
    if let Some(run_id) = earlier_run(&context, &body.request_id)? {
        return run_answer(&context, run_id);
    }
    let run_id = context.conversation.cell().state.borrow().next_run_id();
    let event = Event::RunStarted {
        request_id: body.request_id.clone(),
        fingerprint: context.fingerprint,
        run_id,
        program_id: body.program,
        parent_run_id: None,
        budget_micros,
        system_prompt: program.system_prompt.clone(),
    };
    context
        .commit_run_start(body.request_id, event, lock)
        .await?;
    run_answer(&context, run_id)
}

/// Starts a sub-agent: a run whose cost is also charged to the parent run.
pub async fn start_sub_agent(
    context: CallContext,
    parent_run_id: RunId,
    body: StartSubAgent,
) -> Result<Response<Body>> {
    let program = find_program(&context, &body.program)?;
    let lock = context.lock_run_starts(&body.request_id).await?;
    if let Some(run_id) = earlier_run(&context, &body.request_id)? {
        return run_answer(&context, run_id);
    }
    check_sub_agent(&context, parent_run_id, &body)?;
    let run_id = context.conversation.cell().state.borrow().next_run_id();
    let event = Event::RunStarted {
        request_id: body.request_id.clone(),
        fingerprint: context.fingerprint,
        run_id,
        program_id: body.program,
        parent_run_id: Some(parent_run_id),
        budget_micros: body.budget_micros,
        system_prompt: program.system_prompt.clone(),
    };
    context
        .commit_run_start(body.request_id, event, lock)
        .await?;
    run_answer(&context, run_id)
}

/// Ends a run once the earlier calls of its thread have ended.
pub async fn end(context: CallContext, run_id: RunId, body: EndRun) -> Result<Response<Body>> {
    let _lock = context.lock_thread_of(run_id).await?;
    end_with_reason(&context, run_id, body.request_id, EndReason::Finished).await
}

/// Ends a run immediately; its turns in progress are stopped and fail as cancelled.
pub async fn cancel(context: CallContext, run_id: RunId, body: EndRun) -> Result<Response<Body>> {
    end_with_reason(&context, run_id, body.request_id, EndReason::Cancelled).await
}

/// Cancels all active root runs of a conversation. The event of each run has a request id of its
/// own, derived from that of the request.
pub async fn cancel_all(context: CallContext, body: EndRun) -> Result<Response<Body>> {
    for run_id in active_root_runs(&context) {
        let request_id: RequestId = format!("{}.{run_id}", body.request_id).into();
        end_with_reason(&context, run_id, request_id, EndReason::Cancelled).await?;
    }
    crate::request::read::state(&context)
}

fn active_root_runs(context: &CallContext) -> Vec<RunId> {
    let state = context.conversation.cell().state.borrow();
    let is_active_root = |run: &Run| run.parent_run_id.is_none() && run.state == RunState::Active;
    let active = state.runs.iter().filter(|(_, run)| is_active_root(run));
    active.map(|(run_id, _)| *run_id).collect()
}

async fn end_with_reason(
    context: &CallContext,
    run_id: RunId,
    request_id: RequestId,
    reason: EndReason,
) -> Result<Response<Body>> {
    let is_active = context.with_run(run_id, |run| run.state == RunState::Active)?;
    if context.earlier_progress(&request_id)?.is_none() && is_active {
        let event = Event::RunEnded {
            request_id: Some(request_id),
            fingerprint: context.fingerprint,
            run_id,
            reason,
        };
        context.commit(event).await.map_err(|(error, _)| error)?;
        background::release_unused_prefixes(
            &context.entry,
            context.conversation.cell(),
            &context.key,
        );
    }
    let answer = context.with_run(run_id, |run| EndRunAnswer {
        run_id,
        state: public_state(run.state),
        spent_micros: run.spent_micros,
    })?;
    Ok(json_response(StatusCode::OK, &answer))
}

fn find_program(context: &CallContext, program_id: &ProgramId) -> Result<Rc<Program>> {
    let program = context.config.programs.get(program_id);
    let program = program.filter(|program| program.team_id == context.key.team_id);
    program.cloned().map(Rc::new).ok_or_else(|| {
        let message = format!("your team has no program named `{program_id}`; check the name");
        Error::new(ErrorKind::NotFound, message)
    })
}

fn check_sub_agent(
    context: &CallContext,
    parent_run_id: RunId,
    body: &StartSubAgent,
) -> Result<()> {
    let parent = context.with_active_run(parent_run_id, Clone::clone)?;
    let program = context.program_of(parent_run_id)?;
    if parent.sub_agents >= program.max_sub_agents {
        let message = format!(
            "run {parent_run_id} has spawned {} sub-agents; its program allows no more",
            parent.sub_agents
        );
        return Err(Error::new(ErrorKind::TooManySubAgents, message));
    }
    if parent.depth >= program.max_depth {
        let message = format!(
            "run {parent_run_id} is at depth {}; its program allows no deeper runs",
            parent.depth
        );
        return Err(Error::new(ErrorKind::TooDeep, message));
    }
    let (_, available) = context.spent_and_remaining(parent_run_id);
    if body.budget_micros > available {
        let message = format!(
            "the requested budget of {} micros exceeds the {available} micros left to the parent",
            body.budget_micros
        );
        return Err(Error::new(ErrorKind::BudgetExceeded, message));
    }
    Ok(())
}

fn earlier_run(context: &CallContext, request_id: &RequestId) -> Result<Option<RunId>> {
    match context.earlier_progress(request_id)? {
        Some(Progress::RunStarted(run_id)) => Ok(Some(run_id)),
        _ => Ok(None),
    }
}

fn run_answer(context: &CallContext, run_id: RunId) -> Result<Response<Body>> {
    let answer = context.with_run(run_id, |run| RunAnswer {
        run_id,
        parent_run_id: run.parent_run_id,
        budget_micros: run.budget_micros,
    })?;
    Ok(json_response(StatusCode::OK, &answer))
}
