//! The route through the entries, with the client library for callers.

use indexmap::IndexMap;

use crate::caller::{CallError, Caller, TurnEvent};
use crate::ids::{Micros, RequestId, RunId, TeamId};
use crate::load::route::{Result, Route, Spending, StreamProgress, ToolOutcome, TurnOutcome};
use crate::load::workload::{Class, ToolUse};
use crate::request::api::{EndRunBody, StartRunBody, ToolCallBody, TurnBody};

/// Sends programs through the entries, with one caller per team key.
pub struct EntryRoute {
    default: Caller,
    teams: IndexMap<TeamId, Caller>,
}

/// A run that was started through the entries.
pub struct EntrySession {
    caller: Caller,
    conversation: String,
    run_id: RunId,
    budget_micros: Micros,
}

impl EntryRoute {
    /// Creates a route that uses the caller of a class's team, or `default` if the class has no
    /// team or the team has no caller.
    pub fn new(default: Caller, teams: IndexMap<TeamId, Caller>) -> Self {
        Self { default, teams }
    }
}

impl EntrySession {
    fn spending(&self, spent_micros: Micros) -> Option<Spending> {
        Some(Spending {
            spent_micros,
            budget_micros: self.budget_micros,
        })
    }
}

impl Route for EntryRoute {
    type Session = EntrySession;

    async fn start(&self, class: &Class, conversation: &str) -> Result<EntrySession> {
        let team = class.team.as_ref().and_then(|team| self.teams.get(team));
        let caller = team.unwrap_or(&self.default).clone();
        let body = StartRunBody {
            request_id: "start".into(),
            program: class.program.clone(),
            budget_micros: class.budget_micros,
        };
        let answer = caller.start_run(conversation, body).await?;
        Ok(EntrySession {
            caller,
            conversation: conversation.to_string(),
            run_id: answer.run_id,
            budget_micros: answer.budget_micros,
        })
    }

    async fn turn(
        &self,
        session: &mut EntrySession,
        request_id: RequestId,
        input: &str,
        max_output_tokens: u32,
        mut on_progress: impl FnMut(StreamProgress),
    ) -> Result<TurnOutcome> {
        let body = TurnBody {
            request_id,
            input: input.to_string(),
            max_output_tokens,
            sequence: None,
        };
        let turn = session
            .caller
            .run_turn(&session.conversation, session.run_id, body);
        let mut stream = turn.await?;
        while let Some(event) = stream.next().await? {
            match event {
                TurnEvent::Start(_) => {}
                TurnEvent::Token(_) => on_progress(StreamProgress::Token),
                TurnEvent::Restarted => on_progress(StreamProgress::Restarted),
                TurnEvent::Error(detail) => return Err(CallError::from(detail).into()),
                TurnEvent::Done(done) => {
                    return Ok(TurnOutcome {
                        prompt_tokens: done.prompt_tokens,
                        cached_tokens: done.cached_tokens,
                        output_tokens: done.output_tokens,
                        spending: session.spending(done.spent_micros),
                    });
                }
            }
        }
        let reason = String::from("the stream ended without a final event");
        Err(CallError::Protocol(reason).into())
    }

    async fn tool(
        &self,
        session: &mut EntrySession,
        request_id: RequestId,
        tool: &ToolUse,
    ) -> Result<Option<ToolOutcome>> {
        let body = ToolCallBody {
            request_id,
            tool: tool.tool.clone(),
            arguments: tool.arguments.clone(),
            sequence: None,
        };
        let call = session
            .caller
            .call_tool(&session.conversation, session.run_id, body);
        let answer = call.await?;
        Ok(Some(ToolOutcome {
            action_id: answer.action_id,
            spending: session.spending(answer.spent_micros),
        }))
    }

    async fn end(
        &self,
        session: EntrySession,
        request_id: RequestId,
        finished: bool,
    ) -> Result<()> {
        let body = EndRunBody { request_id };
        let (caller, conversation) = (session.caller, session.conversation);
        if finished {
            caller.end_run(&conversation, session.run_id, body).await?;
        } else {
            caller
                .cancel_run(&conversation, session.run_id, body)
                .await?;
        }
        Ok(())
    }
}
