//! Steps of a caller, one by one or as a script, with their results written for people or as JSON
//! lines.
//!
//! A script is a JSON object with a list `steps`. A step that starts a run may give it a name, by
//! which later steps refer to it. A step may name the error kind that it is expected to end in.

use std::fmt;
use std::io::Write;
use std::time::Duration;

use hyper::Method;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::caller::{CallError, Caller, ServiceCall, TurnEvent};
use crate::ids::{Micros, ProgramId, RequestId, RunId, ToolId};
use crate::request::api::{EndBody, RunAnswer, StartRunBody, SubAgentBody, ToolCallBody, TurnBody};

/// The result of a step.
pub type Result<T> = std::result::Result<T, StepError>;

/// Output tokens of a turn that names no limit.
pub const DEFAULT_MAX_OUTPUT_TOKENS: u32 = 256;

/// A list of steps.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Played in order; the first one that fails unexpectedly ends the script.
    pub steps: Vec<Step>,
}

/// A run, by its number or by the name that an earlier step gave it.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum RunReference {
    /// The number of the run in its conversation.
    Number(RunId),
    /// A name of this script.
    Name(String),
}

/// One step.
#[derive(Clone, Debug, Deserialize)]
pub struct Step {
    /// Chosen at random if absent.
    #[serde(default)]
    pub request_id: Option<RequestId>,
    /// The kind of error that the step must end in.
    #[serde(default)]
    pub expect_error: Option<String>,
    /// What to do.
    #[serde(flatten)]
    pub action: Action,
}

/// What a step does.
#[derive(Clone, Debug, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum Action {
    /// Lists the entries of a conversation.
    Entries {
        /// The conversation.
        conversation: String,
    },
    /// Starts a run.
    Start {
        /// The conversation.
        conversation: String,
        /// The program to run.
        program: ProgramId,
        /// Lowers the program's budget.
        #[serde(default)]
        budget_micros: Option<Micros>,
        /// A name for the run.
        #[serde(default)]
        name: Option<String>,
    },
    /// Runs a turn.
    Turn {
        /// The conversation.
        conversation: String,
        /// The run.
        run: RunReference,
        /// The new message of the user.
        input: String,
        /// Most tokens to generate.
        #[serde(default)]
        max_output_tokens: Option<u32>,
        /// The number of the call in its run.
        #[serde(default)]
        sequence: Option<u64>,
    },
    /// Calls a tool.
    Tool {
        /// The conversation.
        conversation: String,
        /// The run.
        run: RunReference,
        /// The tool.
        tool: ToolId,
        /// Passed to the tool unchanged.
        #[serde(default)]
        arguments: Value,
        /// The number of the call in its run.
        #[serde(default)]
        sequence: Option<u64>,
    },
    /// Starts a sub-agent.
    SubAgent {
        /// The conversation.
        conversation: String,
        /// The parent.
        run: RunReference,
        /// The program to run.
        program: ProgramId,
        /// The most that it may spend.
        budget_micros: Micros,
        /// A name for the run.
        #[serde(default)]
        name: Option<String>,
    },
    /// Ends a run.
    End {
        /// The conversation.
        conversation: String,
        /// The run.
        run: RunReference,
    },
    /// Cancels a run.
    Cancel {
        /// The conversation.
        conversation: String,
        /// The run.
        run: RunReference,
    },
    /// Reads the state of a conversation.
    State {
        /// The conversation.
        conversation: String,
    },
    /// Reads the messages of a conversation.
    History {
        /// The conversation.
        conversation: String,
    },
    /// Calls a plain service.
    Service {
        /// The service.
        service: String,
        /// The path within the service.
        path: String,
        /// `POST` if absent.
        #[serde(default)]
        method: Option<String>,
        /// Sent as JSON.
        #[serde(default)]
        body: Value,
        /// Whether a second execution does no harm.
        #[serde(default)]
        may_repeat: bool,
    },
    /// Waits.
    Pause {
        /// How long.
        pause_ms: u64,
    },
}

/// Why a step failed.
#[derive(Debug)]
pub enum StepError {
    /// The call failed; repeating it needs the request id.
    Call(RequestId, CallError),
    /// No earlier step gave a run this name.
    UnknownRun(String),
    /// The method of a service call is not one of HTTP.
    InvalidMethod(String),
    /// The step was expected to end in this error but succeeded.
    UnexpectedSuccess(String),
    /// The result could not be written.
    Output(std::io::Error),
}

impl fmt::Display for StepError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StepError::Call(request_id, _) => {
                write!(formatter, "the request `{request_id}` failed")
            }
            StepError::UnknownRun(name) => write!(
                formatter,
                "no run has the name `{name}`; give its number, or name it in an earlier step"
            ),
            StepError::InvalidMethod(method) => {
                write!(formatter, "`{method}` is not an HTTP method")
            }
            StepError::UnexpectedSuccess(kind) => {
                write!(
                    formatter,
                    "the step succeeded but was expected to end in `{kind}`"
                )
            }
            StepError::Output(_) => formatter.write_str("the result could not be written"),
        }
    }
}

impl std::error::Error for StepError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            StepError::Call(_, error) => Some(error),
            StepError::Output(error) => Some(error),
            _ => None,
        }
    }
}

impl From<std::io::Error> for StepError {
    fn from(error: std::io::Error) -> Self {
        StepError::Output(error)
    }
}

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
                let entries = answer.entries.iter().map(|entry| {
                    format!(
                        "{} {} {}",
                        entry.entry_id, entry.address, entry.failure_domain
                    )
                });
                let text = entries.collect::<Vec<_>>().join("\n");
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
                let text = format!(
                    "{}\naction {}: charged {} micros, run spent {}, remaining {}",
                    answer.result,
                    answer.action_id,
                    answer.charge_micros,
                    answer.spent_micros,
                    answer.remaining_micros
                );
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
                let body = SubAgentBody {
                    request_id: request_id.clone(),
                    program,
                    budget_micros,
                };
                let answer = caller.sub_agent(&conversation, run_id, body).await;
                self.started(answer.map_err(failed)?, name)
            }
            Action::End { conversation, run } => {
                let run_id = self.run_id(&run)?;
                let body = EndBody {
                    request_id: request_id.clone(),
                };
                let answer = caller.end(&conversation, run_id, body).await;
                self.ended(answer.map_err(failed)?)
            }
            Action::Cancel { conversation, run } => {
                let run_id = self.run_id(&run)?;
                let body = EndBody {
                    request_id: request_id.clone(),
                };
                let answer = caller.cancel(&conversation, run_id, body).await;
                self.ended(answer.map_err(failed)?)
            }
            Action::State { conversation } => {
                let answer = caller.state(&conversation).await.map_err(failed)?;
                let runs = answer.runs.iter().map(|run| {
                    format!(
                        "run {} of `{}`: {}, {} calls, spent {} of {} micros, reserved {}",
                        run.run_id,
                        run.program,
                        state_name(run.state),
                        run.calls,
                        run.spent_micros,
                        run.budget_micros,
                        run.reserved_micros
                    )
                });
                let text = runs.collect::<Vec<_>>().join("\n");
                let text = confirmed(text, answer.confirmed);
                self.write(&text, || to_json(&answer))
            }
            Action::History { conversation } => {
                let answer = caller.history(&conversation).await.map_err(failed)?;
                let messages = answer.messages.iter().map(|message| {
                    format!(
                        "[run {}] {}: {}",
                        message.run_id, message.role, message.content
                    )
                });
                let text = messages.collect::<Vec<_>>().join("\n");
                let text = confirmed(text, answer.confirmed);
                self.write(&text, || to_json(&answer))
            }
            Action::Service {
                service,
                path,
                method,
                body,
                may_repeat,
            } => {
                let method = method.unwrap_or_else(|| String::from("POST"));
                let call = ServiceCall {
                    service,
                    method: Method::from_bytes(method.as_bytes())
                        .map_err(|_| StepError::InvalidMethod(method))?,
                    path,
                    content_type: String::from("application/json"),
                    body: body.to_string().into(),
                    may_repeat,
                };
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
                    let text = format!(
                        "\nturn {}: cost {} micros, run spent {}, remaining {}; {} prompt tokens \
                         ({} cached), {} output tokens, finish reason `{}`",
                        done.turn,
                        done.cost_micros,
                        done.spent_micros,
                        done.remaining_micros,
                        done.prompt_tokens,
                        done.cached_tokens,
                        done.output_tokens,
                        done.finish_reason
                    );
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
        let text = format!(
            "run {} started, budget {} micros",
            answer.run_id, answer.budget_micros
        );
        self.write(&text, || to_json(&answer))
    }

    fn ended(&mut self, answer: crate::request::api::EndAnswer) -> Result<()> {
        let text = format!(
            "run {} is {}, spent {} micros",
            answer.run_id,
            state_name(answer.state),
            answer.spent_micros
        );
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

fn to_json(value: &impl Serialize) -> Value {
    serde_json::to_value(value).unwrap_or(Value::Null)
}

/// The data of a stream's event with the event's name.
fn tagged(name: &str, value: &impl Serialize) -> Value {
    let mut value = to_json(value);
    if let Value::Object(fields) = &mut value {
        fields.insert(String::from("event"), Value::from(name));
    }
    value
}

fn state_name(state: crate::request::api::RunState) -> String {
    let name = to_json(&state);
    name.as_str().unwrap_or_default().replace('_', " ")
}

fn confirmed(text: String, confirmed: bool) -> String {
    if confirmed {
        text
    } else {
        format!("{text}\n(not confirmed: the platform does not answer at the moment)")
    }
}
