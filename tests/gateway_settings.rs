//! Validation of the gateway settings.

use sapphireford::process::gateway::settings::{GatewaySettings, RawGatewaySettings};
use serde_json::{Value, json};
use yare::parameterized;

fn valid_settings() -> Value {
    json!({
        "entry_id": "g-1", "failure_domain": "d1",
        "caller_address": "10.0.0.1:1", "readiness_address": "10.0.0.1:2",
        "directory_address": "10.0.0.1:3", "peer_address": "10.0.0.1:4",
        "metrics_address": "10.0.0.1:5", "store_address": "10.0.0.9:1",
    })
}

fn parse_settings(settings: Value) -> Result<GatewaySettings, String> {
    let raw: RawGatewaySettings =
        serde_json::from_value(settings).map_err(|error| error.to_string())?;
    GatewaySettings::try_from(raw).map_err(|error| error.to_string())
}

/// Guards against refusing settings that hold the required fields only, and against a wrong default
/// of the shutdown limit.
#[test]
fn valid_settings_are_accepted() {
    let settings = parse_settings(valid_settings()).expect("valid settings");
    assert_eq!(&*settings.entry_id, "g-1");
    assert_eq!(settings.shutdown_limit.as_secs(), 8);
}

/// Guards against a process that starts with unusable settings, and against error messages that do
/// not name the setting.
#[parameterized(
    empty_id = { "entry_id", json!("") },
    no_port = { "store_address", json!("10.0.0.9") },
    host_name = { "peer_address", json!("gateway:4") },
    tiny_rows = { "row_limit_bytes", json!(10) },
    negative_time = { "shutdown_limit_s", json!(-1.0) },
    unknown_key = { "shutdown_limit_ms", json!(8000) },
)]
fn invalid_settings_are_refused_with_an_error_naming_the_field(field: &str, value: Value) {
    let mut settings = valid_settings();
    settings[field] = value;
    let message = parse_settings(settings).expect_err("invalid settings");
    assert!(message.contains(field), "{message}");
}
