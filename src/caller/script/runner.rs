//! Executes steps and writes their results.

use std::io::Write;
use std::time::Duration;

use hyper::Method;
use indexmap::IndexMap;
use serde_json::{Value, json};

use super::report::{self, to_event_json, to_json};
use super::{DEFAULT_MAX_OUTPUT_TOKENS, Result, RunReference, Script, Step, StepAction, StepError};
use crate::caller::{CallError, Caller, ServiceCall, TurnEvent};
use crate::ids::{RequestId, RunId};
use crate::request::api::{
    EndRunAnswer, EndRunBody, RunAnswer, StartRunBody, StartSubAgentBody, ToolCallBody, TurnBody,
};

/// Format of the written results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Executes steps and writes their results; resolves the names that steps assign to runs.
pub struct ScriptRunner<W> {
    caller: Caller,
    output: W,
    format: OutputFormat,
    named_runs: IndexMap<String, RunId>,
}

impl<W: Write> ScriptRunner<W> {
    /// Creates a runner that writes to `output` and flushes it after each result.
    pub fn new(caller: Caller, output: W, format: OutputFormat) -> Self {
        Self {
            caller,
            output,
            format,
            named_runs: IndexMap::new(),
        }
    }

    /// Executes the steps of a script in order, up to the first unexpected failure.
    pub async fn run_script(&mut self, script: Script) -> Result<()> {
        for step in script.steps {
            self.run_step(step).await?;
        }
        Ok(())
    }

    /// Executes one step and checks its result against the expected error.
    pub async fn run_step(&mut self, step: Step) -> Result<()> {
        let request_id = step.request_id.unwrap_or_else(Caller::new_request_id);
        let result = self.execute(step.action, &request_id).await;
        match (result, step.expect_error) {
            (Err(StepError::Call(_, error)), Some(kind))
                if error.detail().is_some_and(|detail| detail.kind == kind) =>
            {
                let text = format!("refused as expected: {}", crate::error::chain(&error));
                self.write(&text, || json!({"expected_error": kind}))
            }
            (Ok(()), Some(kind)) => Err(StepError::UnexpectedSuccess(kind)),
            (result, _) => result,
        }
    }

    async fn execute(&mut self, action: StepAction, request_id: &RequestId) -> Result<()> {
        let call_error = |error| StepError::Call(request_id.clone(), error);
        let caller = self.caller.clone();
        match action {
            StepAction::Entries { conversation } => {
                let answer = caller.entries(&conversation).await.map_err(call_error)?;
                let text = report::entries(&answer);
                self.write(&text, || to_json(&answer))
            }
            StepAction::Start {
                conversation,
                program,
                budget_micros,
                name,
            } => {
                let body = StartRunBody {
                    request_id: request_id.clone(),
                    program,
                    budget_micros,
                };
                let answer = caller.start_run(&conversation, body).await;
                self.report_started_run(answer.map_err(call_error)?, name)
            }
            StepAction::Turn {
                conversation,
                run,
                input,
                max_output_tokens,
                sequence,
            } => {
                let run_id = self.resolve_run(&run)?;
                let body = TurnBody {
                    request_id: request_id.clone(),
                    input,
                    max_output_tokens: max_output_tokens.unwrap_or(DEFAULT_MAX_OUTPUT_TOKENS),
                    sequence,
                };
                self.run_turn(&conversation, run_id, body).await
            }
            StepAction::Tool {
                conversation,
                run,
                tool,
                arguments,
                sequence,
            } => {
                let run_id = self.resolve_run(&run)?;
                let body = ToolCallBody {
                    request_id: request_id.clone(),
                    tool,
                    arguments,
                    sequence,
                };
                let answer = caller.call_tool(&conversation, run_id, body).await;
                let answer = answer.map_err(call_error)?;
                let text = report::tool_call(&answer);
                self.write(&text, || to_json(&answer))
            }
            StepAction::SubAgent {
                conversation,
                run,
                program,
                budget_micros,
                name,
            } => {
                let run_id = self.resolve_run(&run)?;
                let body = StartSubAgentBody {
                    request_id: request_id.clone(),
                    program,
                    budget_micros,
                };
                let answer = caller.start_sub_agent(&conversation, run_id, body).await;
                self.report_started_run(answer.map_err(call_error)?, name)
            }
            StepAction::End { conversation, run } => {
                let run_id = self.resolve_run(&run)?;
                let body = EndRunBody {
                    request_id: request_id.clone(),
                };
                let answer = caller.end_run(&conversation, run_id, body).await;
                self.report_ended_run(answer.map_err(call_error)?)
            }
            StepAction::Cancel { conversation, run } => {
                let run_id = self.resolve_run(&run)?;
                let body = EndRunBody {
                    request_id: request_id.clone(),
                };
                let answer = caller.cancel_run(&conversation, run_id, body).await;
                self.report_ended_run(answer.map_err(call_error)?)
            }
            StepAction::State { conversation } => {
                let answer = caller.state(&conversation).await.map_err(call_error)?;
                let text = report::state(&answer);
                self.write(&text, || to_json(&answer))
            }
            StepAction::History { conversation } => {
                let answer = caller.history(&conversation).await.map_err(call_error)?;
                let text = report::history(&answer);
                self.write(&text, || to_json(&answer))
            }
            StepAction::Service {
                service,
                path,
                method,
                body,
                may_repeat,
            } => {
                let call = service_call(service, path, method, &body, may_repeat)?;
                let answer = caller.call_service(call).await.map_err(call_error)?;
                let body = String::from_utf8_lossy(&answer.body);
                let text = format!("status {}\n{body}", answer.status);
                self.write(&text, || json!({"status": answer.status, "body": body}))
            }
            StepAction::Pause { pause_ms } => {
                let pause = Duration::from_millis(pause_ms);
                caller.timer().sleep(pause).await;
                Ok(())
            }
        }
    }

    async fn run_turn(&mut self, conversation: &str, run_id: RunId, body: TurnBody) -> Result<()> {
        let request_id = body.request_id.clone();
        let call_error = |error| StepError::Call(request_id.clone(), error);
        let caller = self.caller.clone();
        let mut stream = caller
            .run_turn(conversation, run_id, body)
            .await
            .map_err(call_error)?;
        while let Some(event) = stream.next().await.map_err(call_error)? {
            match event {
                TurnEvent::Start(start) => self.write_if_json(|| to_event_json("start", &start))?,
                TurnEvent::Token(token) => {
                    if self.format == OutputFormat::Text {
                        self.output.write_all(token.text.as_bytes())?;
                        self.output.flush()?;
                    }
                    self.write_if_json(|| to_event_json("token", &token))?;
                }
                TurnEvent::Restarted => {
                    let text = "\n[the stream broke; the output restarts]";
                    self.write(text, || json!({"event": "restarted"}))?;
                }
                TurnEvent::Done(done) => {
                    let text = report::turn(&done);
                    self.write(&text, || to_event_json("done", &done))?;
                }
                TurnEvent::Error(detail) => return Err(call_error(CallError::from(detail))),
            }
        }
        Ok(())
    }

    fn report_started_run(&mut self, answer: RunAnswer, name: Option<String>) -> Result<()> {
        if let Some(name) = name {
            self.named_runs.insert(name, answer.run_id);
        }
        let text = report::started_run(&answer);
        self.write(&text, || to_json(&answer))
    }

    fn report_ended_run(&mut self, answer: EndRunAnswer) -> Result<()> {
        let text = report::ended_run(&answer);
        self.write(&text, || to_json(&answer))
    }

    fn resolve_run(&self, run: &RunReference) -> Result<RunId> {
        match run {
            RunReference::Number(run_id) => Ok(*run_id),
            RunReference::Name(name) => self
                .named_runs
                .get(name)
                .copied()
                .ok_or_else(|| StepError::UnknownRun(name.clone())),
        }
    }

    fn write(&mut self, text: &str, value: impl FnOnce() -> Value) -> Result<()> {
        match self.format {
            OutputFormat::Text => writeln!(self.output, "{text}")?,
            OutputFormat::Json => writeln!(self.output, "{}", value())?,
        }
        self.output.flush()?;
        Ok(())
    }

    fn write_if_json(&mut self, value: impl FnOnce() -> Value) -> Result<()> {
        if self.format == OutputFormat::Json {
            writeln!(self.output, "{}", value())?;
            self.output.flush()?;
        }
        Ok(())
    }
}

fn service_call(
    service: String,
    path: String,
    method: Option<String>,
    body: &Value,
    may_repeat: bool,
) -> Result<ServiceCall> {
    let method = method.unwrap_or_else(|| String::from("POST"));
    Ok(ServiceCall {
        service,
        method: Method::from_bytes(method.as_bytes())
            .map_err(|_| StepError::InvalidMethod(method))?,
        path,
        content_type: String::from("application/json"),
        body: body.to_string().into(),
        may_repeat,
    })
}
