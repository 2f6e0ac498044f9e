//! Plays steps and writes their results.

use std::io::Write;
use std::time::Duration;

use hyper::Method;
use indexmap::IndexMap;
use serde_json::{Value, json};

use super::report::{self, tagged, to_json};
use super::{Action, DEFAULT_MAX_OUTPUT_TOKENS, Result, RunReference, Script, Step, StepError};
use crate::caller::{CallError, Caller, ServiceCall, TurnEvent};
use crate::ids::{RequestId, RunId};
use crate::request::api::{
    EndRunAnswer, EndRunBody, RunAnswer, StartRunBody, StartSubAgentBody, ToolCallBody, TurnBody,
};

/// How results are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    Text,
    /// One JSON object a line.
    Json,
}

/// Plays steps and writes their results.
pub struct Player<W> {
    caller: Caller,
    output: W,
    format: Format,
    runs: IndexMap<String, RunId>,
}

impl<W: Write> Player<W> {
    /// Makes a player that writes to `output`.
    pub fn new(caller: Caller, output: W, format: Format) -> Self {
        Self {
            caller,
            output,
            format,
            runs: IndexMap::new(),
        }
    }

    /// Plays all steps of a script.
    pub async fn play_script(&mut self, script: Script) -> Result<()> {
        for step in script.steps {
            self.play(step).await?;
        }
        Ok(())
    }

    /// Plays one step.
    pub async fn play(&mut self, step: Step) -> Result<()> {
        let request_id = step.request_id.unwrap_or_else(Caller::new_request_id);
        let result = self.act(step.action, &request_id).await;
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

    async fn act(&mut self, action: Action, request_id: &RequestId) -> Result<()> {
        let failed = |error| StepError::Call(request_id.clone(), error);
        let caller = self.caller.clone();
        match action {
            Action::Entries { conversation } => {
                let answer = caller.entries(&conversation).await.map_err(failed)?;
                let text = report::entries(&answer);
                self.write(&text, || to_json(&answer))
            }
            Action::Start {
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
                self.started(answer.map_err(failed)?, name)
            }
            Action::Turn {
                conversation,
                run,
                input,
                max_output_tokens,
                sequence,
            } => {
                let run_id = self.run_id(&run)?;
                let body = TurnBody {
                    request_id: request_id.clone(),
                    input,
                    max_output_tokens: max_output_tokens.unwrap_or(DEFAULT_MAX_OUTPUT_TOKENS),
                    sequence,
                };
                self.turn(&conversation, run_id, body).await
            }
            Action::Tool {
                conversation,
                run,
                tool,
                arguments,
                sequence,
            } => {
                let run_id = self.run_id(&run)?;
                let body = ToolCallBody {
                    request_id: request_id.clone(),
                    tool,
                    arguments,
                    sequence,
                };
                let answer = caller.call_tool(&conversation, run_id, body).await;
                let answer = answer.map_err(failed)?;
                let text = report::action(&answer);
                self.write(&text, || to_json(&answer))
            }
            Action::SubAgent {
                conversation,
                run,
                program,
                budget_micros,
                name,
            } => {
                let run_id = self.run_id(&run)?;
                let body = StartSubAgentBody {
                    request_id: request_id.clone(),
                    program,
                    budget_micros,
                };
                let answer = caller.sub_agent(&conversation, run_id, body).await;
                self.started(answer.map_err(failed)?, name)
            }
            Action::End { conversation, run } => {
                let run_id = self.run_id(&run)?;
                let body = EndRunBody {
                    request_id: request_id.clone(),
                };
                let answer = caller.end(&conversation, run_id, body).await;
                self.ended(answer.map_err(failed)?)
            }
            Action::Cancel { conversation, run } => {
                let run_id = self.run_id(&run)?;
                let body = EndRunBody {
                    request_id: request_id.clone(),
                };
                let answer = caller.cancel(&conversation, run_id, body).await;
                self.ended(answer.map_err(failed)?)
            }
            Action::State { conversation } => {
                let answer = caller.state(&conversation).await.map_err(failed)?;
                let text = report::state(&answer);
                self.write(&text, || to_json(&answer))
            }
            Action::History { conversation } => {
                let answer = caller.history(&conversation).await.map_err(failed)?;
                let text = report::history(&answer);
                self.write(&text, || to_json(&answer))
            }
            Action::Service {
                service,
                path,
                method,
                body,
                may_repeat,
            } => {
                let call = service_call(service, path, method, &body, may_repeat)?;
                let answer = caller.service(call).await.map_err(failed)?;
                let body = String::from_utf8_lossy(&answer.body);
                let text = format!("status {}\n{body}", answer.status);
                self.write(&text, || json!({"status": answer.status, "body": body}))
            }
            Action::Pause { pause_ms } => {
                let pause = Duration::from_millis(pause_ms);
                caller.timer().sleep(pause).await;
                Ok(())
            }
        }
    }

    async fn turn(&mut self, conversation: &str, run_id: RunId, body: TurnBody) -> Result<()> {
        let request_id = body.request_id.clone();
        let failed = |error| StepError::Call(request_id.clone(), error);
        let caller = self.caller.clone();
        let mut stream = caller
            .turn(conversation, run_id, body)
            .await
            .map_err(failed)?;
        while let Some(event) = stream.next().await.map_err(failed)? {
            match event {
                TurnEvent::Start(start) => self.write_json(|| tagged("start", &start))?,
                TurnEvent::Token(token) => {
                    if self.format == Format::Text {
                        self.output.write_all(token.text.as_bytes())?;
                        self.output.flush()?;
                    }
                    self.write_json(|| tagged("token", &token))?;
                }
                TurnEvent::Restarted => {
                    let text = "\n[the stream broke; the output starts again]";
                    self.write(text, || json!({"event": "restarted"}))?;
                }
                TurnEvent::Done(done) => {
                    let text = report::turn(&done);
                    self.write(&text, || tagged("done", &done))?;
                }
                TurnEvent::Error(detail) => return Err(failed(CallError::from(detail))),
            }
        }
        Ok(())
    }

    fn started(&mut self, answer: RunAnswer, name: Option<String>) -> Result<()> {
        if let Some(name) = name {
            self.runs.insert(name, answer.run_id);
        }
        let text = report::started(&answer);
        self.write(&text, || to_json(&answer))
    }

    fn ended(&mut self, answer: EndRunAnswer) -> Result<()> {
        let text = report::ended(&answer);
        self.write(&text, || to_json(&answer))
    }

    fn run_id(&self, run: &RunReference) -> Result<RunId> {
        match run {
            RunReference::Number(run_id) => Ok(*run_id),
            RunReference::Name(name) => self
                .runs
                .get(name)
                .copied()
                .ok_or_else(|| StepError::UnknownRun(name.clone())),
        }
    }

    fn write(&mut self, text: &str, value: impl FnOnce() -> Value) -> Result<()> {
        match self.format {
            Format::Text => writeln!(self.output, "{text}")?,
            Format::Json => writeln!(self.output, "{}", value())?,
        }
        self.output.flush()?;
        Ok(())
    }

    fn write_json(&mut self, value: impl FnOnce() -> Value) -> Result<()> {
        if self.format == Format::Json {
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
