//! The start and the end of runs.

use std::rc::Rc;

use hyper::{Response, StatusCode};

use crate::connection::body::Body;
use crate::connection::http_server::json_response;
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{ProgramId, RequestId, RunId};
use crate::process::conversation::{EndReason, Event, Progress, Run, RunState};
use crate::process::entry::background;
use crate::request::api::{End, EndAnswer, RunAnswer, StartRun, SubAgent};
use crate::request::call::CallContext;
use crate::request::read::public_state;
use crate::version::config::Program;

/// Starts a root run.
pub async fn start(context: CallContext, body: StartRun) -> Result<Response<Body>> {
    let program = find_program(&context, &body.program)?;
    let budget = body.budget_micros.map_or(program.budget_micros, |asked| {
        asked.min(program.budget_micros)
    });
    // Held until the event is settled, so that two requests do not get the same run id.
    let lock = context.lock_runs(&body.request_id).await?;
    if let Some(run_id) = earlier_run(&context, &body.request_id)? {
        return run_answer(&context, run_id);
    }
    let run_id = context.open.cell().state.borrow().next_run_id();
    let event = Event::RunStarted {
        request_id: body.request_id.clone(),
        fingerprint: context.fingerprint,
        run_id,
        program_id: body.program,
        parent_run_id: None,
        budget_micros: budget,
        system_prompt: program.system_prompt.clone(),
    };
    context.commit_run(body.request_id, event, lock).await?;
    run_answer(&context, run_id)
}

/// Starts a run that draws on the budget of another one.
pub async fn start_sub_agent(
    context: CallContext,
    parent_run_id: RunId,
    body: SubAgent,
) -> Result<Response<Body>> {
    let program = find_program(&context, &body.program)?;
    let lock = context.lock_runs(&body.request_id).await?;
    if let Some(run_id) = earlier_run(&context, &body.request_id)? {
        return run_answer(&context, run_id);
    }
    check_sub_agent(&context, parent_run_id, &body)?;
    let run_id = context.open.cell().state.borrow().next_run_id();
    let event = Event::RunStarted {
        request_id: body.request_id.clone(),
        fingerprint: context.fingerprint,
        run_id,
        program_id: body.program,
        parent_run_id: Some(parent_run_id),
        budget_micros: body.budget_micros,
        system_prompt: program.system_prompt.clone(),
    };
    context.commit_run(body.request_id, event, lock).await?;
    run_answer(&context, run_id)
}

/// Ends a run after its calls in progress.
pub async fn end(context: CallContext, run_id: RunId, body: End) -> Result<Response<Body>> {
    let _lock = context.lock(run_id).await?;
    finish(&context, run_id, body.request_id, EndReason::Finished).await
}

/// Ends a run at once; its calls in progress are broken off.
pub async fn cancel(context: CallContext, run_id: RunId, body: End) -> Result<Response<Body>> {
    finish(&context, run_id, body.request_id, EndReason::Cancelled).await
}

/// Ends all runs of a conversation at once.
pub async fn cancel_all(context: CallContext, body: End) -> Result<Response<Body>> {
    for run_id in active_roots(&context) {
        let request_id: RequestId = format!("{}.{run_id}", body.request_id).into();
        finish(&context, run_id, request_id, EndReason::Cancelled).await?;
    }
    crate::request::read::state(&context)
}

fn active_roots(context: &CallContext) -> Vec<RunId> {
    let state = context.open.cell().state.borrow();
    let is_active_root = |run: &Run| run.parent_run_id.is_none() && run.state == RunState::Active;
    let active = state.runs.iter().filter(|(_, run)| is_active_root(run));
    active.map(|(run_id, _)| *run_id).collect()
}

async fn finish(
    context: &CallContext,
    run_id: RunId,
    request_id: RequestId,
    reason: EndReason,
) -> Result<Response<Body>> {
    let is_active = context.with_run(run_id, |run| run.state == RunState::Active)?;
    if context.earlier(&request_id)?.is_none() && is_active {
        let event = Event::RunEnded {
            request_id: Some(request_id),
            fingerprint: context.fingerprint,
            run_id,
            reason,
        };
        context.commit(event).await.map_err(|(error, _)| error)?;
        background::release_unused_prefixes(&context.entry, context.open.cell(), &context.key);
    }
    let answer = context.with_run(run_id, |run| EndAnswer {
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
        let message = format!("your team has no program `{program_id}`; check its name");
        Error::new(ErrorKind::NotFound, message)
    })
}

fn check_sub_agent(context: &CallContext, parent_run_id: RunId, body: &SubAgent) -> Result<()> {
    let parent = context.with_active_run(parent_run_id, Clone::clone)?;
    let limits = context.program_of(parent_run_id)?;
    if parent.sub_agents >= limits.max_sub_agents {
        let message = format!(
            "run {parent_run_id} has spawned {} sub-agents",
            parent.sub_agents
        );
        return Err(Error::new(ErrorKind::TooManySubAgents, message));
    }
    if parent.depth >= limits.max_depth {
        let message = format!(
            "run {parent_run_id} is at depth {}, the deepest",
            parent.depth
        );
        return Err(Error::new(ErrorKind::TooDeep, message));
    }
    let (_, available) = context.cost_of(parent_run_id);
    if body.budget_micros > available {
        let message = format!(
            "the sub-agent asks for {} micros, but its parent has {available} micros left",
            body.budget_micros
        );
        return Err(Error::new(ErrorKind::BudgetExceeded, message));
    }
    Ok(())
}

fn earlier_run(context: &CallContext, request_id: &RequestId) -> Result<Option<RunId>> {
    match context.earlier(request_id)? {
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
