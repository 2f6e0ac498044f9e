//! Formats the results of steps as human-readable text and as JSON.

use serde::Serialize;
use serde_json::Value;

use crate::request::api::{
    DoneEvent, EndRunAnswer, EntriesAnswer, HistoryAnswer, RunAnswer, RunState, StateAnswer,
    ToolAnswer,
};

pub(super) fn entries(answer: &EntriesAnswer) -> String {
    let entries = answer.entries.iter().map(|entry| {
        format!(
            "{} {} {}",
            entry.entry_id, entry.address, entry.failure_domain
        )
    });
    entries.collect::<Vec<_>>().join("\n")
}

pub(super) fn started_run(answer: &RunAnswer) -> String {
    format!(
        "run {} started, budget {} micros",
        answer.run_id, answer.budget_micros
    )
}

pub(super) fn turn(done: &DoneEvent) -> String {
    format!(
        "\nturn {}: cost {} micros, run spent {}, remaining {}; {} prompt tokens ({} cached), {} \
         output tokens, finish reason `{}`",
        done.turn,
        done.cost_micros,
        done.spent_micros,
        done.remaining_micros,
        done.prompt_tokens,
        done.cached_tokens,
        done.output_tokens,
        done.finish_reason
    )
}

pub(super) fn tool_call(answer: &ToolAnswer) -> String {
    format!(
        "{}\naction {}: charged {} micros, run spent {}, remaining {}",
        answer.result,
        answer.action_id,
        answer.charge_micros,
        answer.spent_micros,
        answer.remaining_micros
    )
}

pub(super) fn ended_run(answer: &EndRunAnswer) -> String {
    let state = state_name(answer.state);
    format!(
        "run {} is {state}, spent {} micros",
        answer.run_id, answer.spent_micros
    )
}

pub(super) fn state(answer: &StateAnswer) -> String {
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
    with_confirmation_note(runs.collect::<Vec<_>>().join("\n"), answer.confirmed)
}

pub(super) fn history(answer: &HistoryAnswer) -> String {
    let messages = answer.messages.iter().map(|message| {
        format!(
            "[run {}] {}: {}",
            message.run_id, message.role, message.content
        )
    });
    with_confirmation_note(messages.collect::<Vec<_>>().join("\n"), answer.confirmed)
}

pub(super) fn to_json(value: &impl Serialize) -> Value {
    serde_json::to_value(value).unwrap_or(Value::Null)
}

/// Serializes the data of a stream event and adds the event name as the field `event`.
pub(super) fn to_event_json(name: &str, value: &impl Serialize) -> Value {
    let mut value = to_json(value);
    if let Value::Object(fields) = &mut value {
        fields.insert(String::from("event"), Value::from(name));
    }
    value
}

fn state_name(state: RunState) -> String {
    let name = to_json(&state);
    name.as_str().unwrap_or_default().replace('_', " ")
}

fn with_confirmation_note(text: String, confirmed: bool) -> String {
    if confirmed {
        text
    } else {
        format!("{text}\n(not confirmed: the platform is unavailable)")
    }
}
