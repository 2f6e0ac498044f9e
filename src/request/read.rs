//! Read requests: the state of the runs of a conversation, and its history.
//!
//! Both are answered from the memory of the entry that holds the conversation's slot, also during
//! an outage of the platform. The response then reports that the state is not confirmed.

use hyper::{Response, StatusCode};

use crate::connection::body::Body;
use crate::connection::http_server::json_response;
use crate::error::{Error, ErrorKind, Result};
use crate::process::conversation::{EndReason, RunState as State};
use crate::request::api::{HistoryAnswer, HistoryMessage, RunState, RunSummary, StateAnswer};
use crate::request::call::CallContext;

/// Returns the runs of a conversation with their state and cost.
pub fn state(context: &CallContext) -> Result<Response<Body>> {
    let conversation = context.conversation.cell().state.borrow();
    check_exists(&conversation)?;
    let runs = conversation.runs.iter().map(|(run_id, run)| RunSummary {
        run_id: *run_id,
        parent_run_id: run.parent_run_id,
        program: run.program_id.clone(),
        state: public_state(run.state),
        budget_micros: run.budget_micros,
        spent_micros: run.spent_micros,
        reserved_micros: run.reserved_micros,
        calls: run.calls.into(),
    });
    let answer = StateAnswer {
        conversation_id: context.key.conversation_id.clone(),
        confirmed: is_confirmed(context),
        runs: runs.collect(),
    };
    Ok(json_response(StatusCode::OK, &answer))
}

/// Returns the messages of the thread that all root runs share; sub-agents have threads of their
/// own.
pub fn history(context: &CallContext) -> Result<Response<Body>> {
    let conversation = context.conversation.cell().state.borrow();
    check_exists(&conversation)?;
    let messages = conversation
        .thread
        .messages
        .iter()
        .map(|message| HistoryMessage {
            run_id: message.run_id,
            role: message.role.name().to_string(),
            content: message.text.to_string(),
        });
    let answer = HistoryAnswer {
        conversation_id: context.key.conversation_id.clone(),
        confirmed: is_confirmed(context),
        messages: messages.collect(),
    };
    Ok(json_response(StatusCode::OK, &answer))
}

/// Converts the state of a run to its form in the caller API.
pub fn public_state(state: State) -> RunState {
    match state {
        State::Active => RunState::Running,
        State::Ended(EndReason::Finished) => RunState::Finished,
        State::Ended(EndReason::Cancelled) => RunState::Cancelled,
        State::Ended(EndReason::Abandoned) => RunState::Abandoned,
    }
}

/// Whether the state in memory is current: while this entry certainly holds the lease, no other
/// entry can have changed the conversation.
fn is_confirmed(context: &CallContext) -> bool {
    let now = context.entry.timer.now();
    context.conversation.is_current() && context.entry.journal.holds_lease_at(now)
}

fn check_exists(conversation: &crate::process::conversation::Conversation) -> Result<()> {
    if conversation.runs.is_empty() {
        let message = "the conversation does not exist; start a run first";
        return Err(Error::new(ErrorKind::NotFound, message));
    }
    Ok(())
}
