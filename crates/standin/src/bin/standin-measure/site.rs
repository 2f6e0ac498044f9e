//! The site of a measurement, and the requests sent to it.

use sapphireford_standin::harness::{Site, SiteOptions};
use serde_json::{Map, Value, json};

/// Batch size and concurrency limit of an engine; higher than the load of any measurement.
const CALLS_PER_ENGINE: u32 = 1_024;

/// Starts a site whose engines take `decode_ms` for each token at any load, and practically none
/// for prefill. `settings` override those of the entries.
pub fn start(entries: usize, engines: usize, decode_ms: f64, settings: Value) -> Site {
    let decode_ms = decode_ms.to_string();
    let calls = CALLS_PER_ENGINE.to_string();
    let engine_arguments = [
        ["--decode-ms", &decode_ms],
        ["--max-batch", &calls],
        ["--batch-slowdown", "0"],
        ["--prefill-tokens-per-second", "1000000000"],
        ["--cache-tokens", "1000000000"],
    ];
    let servers: Map<String, Value> = (0..engines)
        .map(|number| {
            let server = json!({ "max_concurrent_calls": CALLS_PER_ENGINE });
            (format!("engine-{number}"), server)
        })
        .collect();
    let program = json!({ "budget_micros": 1_000_000_000_000_u64, "max_calls": 1_000_000 });
    let mut all_settings = json!({ "slot_count": 256 });
    if let (Some(all), Some(settings)) = (all_settings.as_object_mut(), settings.as_object()) {
        all.extend(settings.clone());
    }
    Site::with_options(SiteOptions {
        entries,
        engines,
        engine_arguments: engine_arguments
            .concat()
            .into_iter()
            .map(String::from)
            .collect(),
        settings: all_settings,
        config: json!({
            "backend_servers": servers,
            "models": { "small": { "context_tokens": 10_000_000 } },
            "programs": { "assistant": program },
        }),
        ..SiteOptions::default()
    })
}

/// Path for starting a run in a conversation.
pub fn runs_path(conversation: &str) -> String {
    format!("/v1/conversations/{conversation}/runs")
}

/// Path for the turns of the first run of a conversation.
pub fn turns_path(conversation: &str) -> String {
    format!("/v1/conversations/{conversation}/runs/1/turns")
}

/// Body of the request that starts a run.
pub fn run_body() -> Value {
    json!({ "request_id": "start", "program": "assistant" })
}

/// Body of the request for a turn of at most `tokens` output tokens.
pub fn turn_body(request_id: &str, input: &str, tokens: u32) -> Value {
    json!({ "request_id": request_id, "input": input, "max_output_tokens": tokens })
}

/// Text of `bytes` bytes, rounded up to a multiple of 8.
pub fn filler_text(bytes: usize) -> String {
    "history ".repeat(bytes.div_ceil(8))
}
