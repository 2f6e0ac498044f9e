//! The check of a platform configuration before it is sent.

use std::process::Command;

use sapphireford::version::config_check::{Severity, changes, check};
use sapphireford_platform::operator::{ConfigRecord, decode};
use serde_json::{Value, json};
use yare::parameterized;

const KEY: &str = "k3y-of-team-one-5f2c";

fn config() -> Value {
    json!({
        "version": 7,
        "routes": [
            {"name": "quotes", "host": "site.example", "pathPrefix": "/quotes/", "kind": "streaming",
             "timeoutMs": 4000, "targetLatencyMs": 200, "maxAttempts": 2, "service": "llm",
             "serverHistory": true, "retentionS": 60},
            {"name": "orders", "host": "site.example", "pathPrefix": "/orders/",
             "kind": "non_idempotent", "timeoutMs": 2000, "targetLatencyMs": 200, "service": "app"},
        ],
        "services": [
            {"name": "llm", "maxConnections": 100, "runtime": {"slots": 8, "kvCapacity": 50000}},
            {"name": "app", "maxConnections": 100},
        ],
        "tenants": [
            {"name": "one", "apiKeys": [KEY], "ratePerS": 10, "burst": 10},
            {"name": "two", "apiKeys": ["k3y-of-team-two-77aa"]},
        ],
    })
}

fn decoded(value: &Value) -> ConfigRecord {
    decode(&serde_json::to_vec(value).unwrap()).unwrap()
}

#[test]
fn a_sound_configuration_has_no_findings() {
    assert_eq!(check(&decoded(&config())), []);
}

/// Guards against a mistake that operators only notice by failing requests.
#[parameterized(
    undecodable_route = { "/routes/0/kind", json!("stream"), Severity::Error, "kind" },
    unknown_service = { "/routes/0/service", json!("none"), Severity::Error, "does not exist" },
    no_weight = { "/routes/0/weightedServices", json!([{"service": "llm", "weight": 0}]), Severity::Error, "weight above 0" },
    idle_target = { "/routes/0/weightedServices", json!([{"service": "llm", "weight": 1}, {"service": "app", "weight": 0}]), Severity::Warning, "gets no requests" },
    shadowed_route = { "/routes/1/pathPrefix", json!("/quotes/"), Severity::Warning, "comes first" },
    prefix_without_slash = { "/routes/1/pathPrefix", json!("orders/"), Severity::Warning, "matches no request" },
    duplicate_name = { "/routes/1/name", json!("quotes"), Severity::Error, "more than once" },
    timeout_below_target = { "/routes/0/timeoutMs", json!(100), Severity::Warning, "below the target latency" },
    attempts_beyond_timeout = { "/routes/0/maxAttempts", json!(30), Severity::Warning, "do not fit" },
    history_without_retention = { "/routes/0/retentionS", json!(0), Severity::Warning, "retention of 0" },
    unused_service = { "/routes/1/service", json!("llm"), Severity::Warning, "no route" },
    no_connections = { "/services/1/maxConnections", json!(0), Severity::Error, "no connections" },
    no_slots = { "/services/0/runtime/slots", json!(0), Severity::Error, "no slots" },
    shared_key = { "/tenants/1/apiKeys", json!([KEY]), Severity::Error, "identifies neither" },
    unusable_key = { "/tenants/1/apiKeys", json!(["two words"]), Severity::Error, "identifies nobody" },
    team_without_key = { "/tenants/1/apiKeys", json!([]), Severity::Warning, "has no key" },
    keys_not_in_a_list = { "/tenants/0/apiKeys", json!(KEY), Severity::Error, "Data error" },
    negative_rate = { "/tenants/0/ratePerS", json!(-1), Severity::Error, "ratePerS" },
    burst_below_one = { "/tenants/0/burst", json!(0.5), Severity::Warning, "burst below 1" },
)]
fn a_mistake_is_found(path: &str, value: Value, severity: Severity, message: &str) {
    let mut config = config();
    let (parent, field) = path.rsplit_once('/').unwrap();
    config.pointer_mut(parent).unwrap()[field] = value;
    let findings = check(&decoded(&config));
    let found = findings
        .iter()
        .find(|found| found.message.contains(message));
    let found = found.unwrap_or_else(|| panic!("{message}: not in {findings:?}"));
    assert_eq!(found.severity, severity);
    assert!(
        !format!("{findings:?}").contains(KEY),
        "a finding has a key"
    );
}

/// Guards against changes that the operator did not intend, and against keys in the list of them.
#[test]
fn changes_from_the_configuration_in_force_are_listed_without_keys() {
    let mut new = config();
    new["version"] = json!(8);
    new["routes"][0]["timeoutMs"] = json!(3000);
    new["tenants"][0]["apiKeys"] = json!(["a-new-key-81c2"]);
    new["tenants"][1]["name"] = json!("three");
    let changes = changes(&decoded(&config()), &decoded(&new));
    let lines: Vec<String> = changes.iter().map(|change| change.to_string()).collect();
    assert_eq!(
        lines,
        [
            "~ route `quotes`: time-out 3s, was 4s",
            "~ team `one`: 1 keys added, 1 keys removed",
            "+ team `three`",
            "- team `two`",
        ]
    );
}

/// Guards against scripts that send a configuration although the check failed.
#[test]
fn the_exit_status_tells_errors_from_warnings() {
    let folder = std::env::temp_dir().join(format!("config-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let run = |config: &Value, options: &[&str]| {
        let file = folder.join("config.json");
        std::fs::write(&file, config.to_string()).unwrap();
        let command = env!("CARGO_BIN_EXE_sapphireford-admin");
        let output = Command::new(command)
            .arg("check-platform-config")
            .arg(&file)
            .args(options)
            .output()
            .unwrap();
        let printed = String::from_utf8(output.stdout).unwrap();
        assert!(!printed.contains(KEY), "the output has a key");
        (output.status.code().unwrap(), printed)
    };
    let in_force = folder.join("in-force.json");
    std::fs::write(&in_force, config().to_string()).unwrap();
    let in_force = in_force.to_str().unwrap();
    assert_eq!(run(&config(), &[]).0, 0);
    let mut with_warning = config();
    with_warning["tenants"][1]["apiKeys"] = json!([]);
    assert_eq!(run(&with_warning, &[]).0, 0);
    assert_eq!(run(&with_warning, &["--strict"]).0, 1);
    let (status, printed) = run(&config(), &["--in-force", in_force, "--json"]);
    assert_eq!(status, 1, "the version in force was accepted as a new one");
    let printed: Value = serde_json::from_str(&printed).unwrap();
    assert_eq!(printed["done"], json!(false));
    assert_eq!(run(&json!("no configuration"), &[]).0, 1);
    std::fs::remove_dir_all(&folder).unwrap();
}
