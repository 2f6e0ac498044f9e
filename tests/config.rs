//! The configuration: merging files, checks, differences, applying versions, and the watch by which
//! entries follow the version in force.

use std::path::Path;
use std::time::Duration;

use bytes::Bytes;
use futures_util::join;
use hyper::{Method, Request};
use sapphireford::connection::http_client::HttpClient;
use sapphireford::connection::platform::{PlatformClient, Write};
use sapphireford::process::config_watch::ConfigWatch;
use sapphireford::process::rows::CONFIG_HEAD_KEY;
use sapphireford::process::timer::TimerService;
use sapphireford::version::check::CheckError;
use sapphireford::version::config::{Config, PlacementKind, Priority, QueueKind};
use sapphireford::version::diff::{Change, diff};
use sapphireford::version::merge::{MergeError, MergedConfig};
use sapphireford::version::store::{self, ApplyOutcome, Head};
use serde_json::{Value, json};
use yare::parameterized;

#[path = "support/standin_platform.rs"]
mod standin_platform;
use standin_platform::{StandinPlatform, run};

/// Time within which a configuration version must be in force on all entries (design section 1.5).
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(7);

fn merge_document(merged: &mut MergedConfig, file: &str, document: Value) {
    merged.merge_file(file, document.as_object().unwrap().clone());
}

/// Returns a small valid configuration with one team, operator, model, backend server, tool, service and
/// program.
fn valid_config() -> MergedConfig {
    let mut merged = MergedConfig::default();
    let document = json!({ "teams": {"t": {"key_sha256": "11".repeat(32)}}, "operators": {"o": {"key_sha256": "22".repeat(32)}}, "models": {"m": { "prompt_micros_per_1k_tokens": 1, "output_micros_per_1k_tokens": 2, "context_tokens": 1000 }}, "backend_servers": {"b": { "address": "127.0.0.1:9000", "failure_domain": "d", "models": ["m"], "max_concurrent_calls": 4, "cache_tokens": 1000 }}, "tools": {"u": { "address": "127.0.0.1:9001", "price_limit_micros": 5, "time_limit_ms": 100, "idempotent": false }}, "services": {"s": { "addresses": ["127.0.0.1:9002"], "time_limit_ms": 100, "routes": [{"method": "GET", "path_prefix": "/"}] }}, "programs": {"p": { "team": "t", "model": "m", "budget_micros": 100, "tools": ["u"], "max_calls": 3 }} });
    merge_document(&mut merged, "10-all.json", document);
    merged
}

/// Returns the valid configuration merged with a second file that sets one value.
fn valid_config_with(path: &[&str], value: Value) -> MergedConfig {
    let mut merged = valid_config();
    let nested = path
        .iter()
        .rev()
        .fold(value, |value, key| json!({*key: value}));
    merge_document(&mut merged, "20-change.json", nested);
    merged
}

/// Guards against files that are merged in another order than that of their names, and against values
/// whose recorded origin is the wrong file.
#[test]
fn later_file_overrides_single_values_and_records_their_origin() {
    let folder = std::env::temp_dir().join(format!("sapphireford-merge-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).unwrap();
    // The files are not written in the order of their names, and one is not part of the configuration.
    write(
        "20-b.json",
        r#"{"limits":{"output_tokens":2},"teams":{"x":{"weight":7}}}"#,
    );
    write(
        "10-a.json",
        r#"{"limits":{"output_tokens":1,"retry_percent":5}}"#,
    );
    write("30-c.json", r#"{"limits":{"output_tokens":3}}"#);
    write("notes.txt", "not JSON");
    let merged = MergedConfig::read_folder(&folder).unwrap();
    write(
        "30-c.json",
        r#"{"limits":{"output_tokens":3,"output_tokens":4}}"#,
    );
    let twice = MergedConfig::read_folder(&folder);
    std::fs::remove_dir_all(&folder).unwrap();

    assert_eq!(
        merged.document,
        json!({"limits": {"output_tokens": 3, "retry_percent": 5}, "teams": {"x": {"weight": 7}}})
    );
    let origin = &merged.origins["/limits/output_tokens"];
    assert_eq!(origin.file, "30-c.json");
    assert_eq!(origin.overrode, ["10-a.json", "20-b.json"]);
    assert_eq!(merged.origins["/limits/retry_percent"].file, "10-a.json");
    assert_eq!(merged.file_of("/teams/x/key_sha256"), Some("20-b.json"));
    assert!(
        matches!(twice, Err(MergeError::Parse(..))),
        "a duplicate key in one file was accepted"
    );
}

/// Guards against parts of an object that remain after a later file replaces it by a value of another
/// type, and the reverse.
#[test]
fn replaced_object_leaves_no_values_or_origins() {
    let mut merged = MergedConfig::default();
    merge_document(&mut merged, "1.json", json!({"a": {"b": 1, "c": 2}}));
    merge_document(&mut merged, "2.json", json!({"a": [1]}));
    merge_document(&mut merged, "3.json", json!({"a": {"d": 4}}));
    assert_eq!(merged.document, json!({"a": {"d": 4}}));
    assert_eq!(merged.origins.keys().collect::<Vec<_>>(), ["/a/d"]);
    assert_eq!(merged.origins["/a/d"].overrode, ["1.json", "2.json"]);
}

/// Guards against invalid values that are accepted, and against error messages that lack the file or
/// the path of the value.
#[parameterized( unknown_section = { &["polcy"], json!({}), "/polcy" }, unknown_key = { &["teams", "t", "wieght"], json!(1), "/teams/t/wieght" }, unknown_limit = { &["limits", "queue_ms"], json!(1), "/limits/queue_ms" }, unknown_key_of_a_route = { &["services", "s", "routes"], json!([{"method": "GET", "path_prefix": "/", "x": 1}]), "/services/s/routes" }, missing_field = { &["models", "n"], json!({"context_tokens": 1}), "/models/n" }, wrong_type = { &["tools", "u", "time_limit_ms"], json!("1s"), "/tools/u/time_limit_ms" }, negative = { &["programs", "p", "budget_micros"], json!(-1), "/programs/p/budget_micros" }, null = { &["programs", "p", "max_calls"], json!(null), "/programs/p/max_calls" }, section_is_a_list = { &["teams"], json!([]), "/teams" }, invalid_name = { &["teams", "a/b"], json!({"key_sha256": "33".repeat(32)}), "/teams/a~1b" }, plaintext_key = { &["teams", "t", "key_sha256"], json!("secret"), "/teams/t/key_sha256" }, duplicate_key = { &["operators", "o", "key_sha256"], json!("11".repeat(32)), "/operators/o/key_sha256" }, zero_weight = { &["teams", "t", "weight"], json!(0), "/teams/t/weight" }, zero_budget = { &["programs", "p", "budget_micros"], json!(0), "/programs/p/budget_micros" }, zero_time_limit = { &["services", "s", "time_limit_ms"], json!(0), "/services/s/time_limit_ms" }, excessive_time_limit = { &["limits", "abandon_ms"], json!(u64::MAX), "/limits/abandon_ms" }, retry_percent_above_100 = { &["limits", "retry_percent"], json!(101), "/limits/retry_percent" }, unknown_team = { &["programs", "p", "team"], json!("x"), "/programs/p/team" }, unknown_model = { &["backend_servers", "b", "models"], json!(["x"]), "/backend_servers/b/models" }, empty_models = { &["backend_servers", "b", "models"], json!([]), "/backend_servers/b/models" }, duplicate_tool = { &["programs", "p", "tools"], json!(["u", "u"]), "/programs/p/tools" }, lowercase_method = { &["services", "s", "routes"], json!([{"method": "get", "path_prefix": "/"}]), "/services/s/routes" }, duplicate_address = { &["backend_servers", "c"], json!({ "address": "127.0.0.1:9000", "failure_domain": "d", "models": ["m"], "max_concurrent_calls": 1, "cache_tokens": 1 }), "/backend_servers/c/address" } )]
fn invalid_value_is_reported_with_file_and_path(path: &[&str], value: Value, expected_path: &str) {
    let CheckError { problems } = Config::try_from(&valid_config_with(path, value)).unwrap_err();
    assert_eq!(problems.len(), 1, "{problems:?}");
    assert_eq!(problems[0].path, expected_path);
    assert_eq!(problems[0].file.as_deref(), Some("20-change.json"));
    assert!(!problems[0].reason.is_empty() && !problems[0].action.is_empty());
}

/// Guards against defaults that differ from those documented in `docs/operators.md`.
#[test]
fn defaults_match_the_reference() {
    let config = Config::try_from(&valid_config()).unwrap();
    assert_eq!(config.teams["t"].weight, 1);
    assert_eq!(config.teams["t"].key_sha256, [0x11; 32]);
    assert_eq!(config.programs["p"].priority, Priority::Normal);
    assert_eq!(config.limits.input_bytes, 1_048_576);
    assert_eq!(config.limits.output_tokens, 8_192);
    assert_eq!(config.limits.waiting_per_run, 16);
    assert_eq!(config.limits.requests_per_entry, 4_096);
    assert_eq!(config.limits.queue_timeout, Duration::from_secs(30));
    assert_eq!(config.limits.token_timeout, Duration::from_secs(10));
    assert_eq!(config.limits.abandon_timeout, Duration::from_secs(600));
    assert_eq!(config.limits.retry_percent, 10);
    assert_eq!(config.policy.placement, PlacementKind::PrefixAndLoad);
    assert_eq!(config.policy.queue, QueueKind::LeastService);
}

/// Guards against example configurations that became invalid because the checks changed.
#[parameterized(division = { "division" }, local_site = { "local-site" })]
fn example_passes_the_checks(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name);
    let config = Config::try_from(&MergedConfig::read_folder(&folder).unwrap()).unwrap();
    assert_eq!(config.programs.len(), 2);
    assert!(!config.operators.is_empty());
}

/// Guards against changed values that are missing from the audit trail, which stores this difference.
#[test]
fn diff_lists_added_changed_and_removed_values() {
    let old = json!({"a": {"x": 1, "y": 2}, "b": [1]});
    let new = json!({"a": {"x": 1, "y": 3}, "c": {"d": 4}});
    let change = |path: &str, old: Option<Value>, new: Option<Value>| Change {
        path: path.into(),
        old,
        new,
    };
    let expected = [
        change("/a/y", Some(json!(2)), Some(json!(3))),
        change("/b", Some(json!([1])), None),
        change("/c", None, Some(json!({"d": 4}))),
    ];
    assert_eq!(diff(&old, &new), expected);
    assert_eq!(diff(&new, &new), []);
}

/// Injects failures into the stand-in platform.
async fn configure_standin(standin: &StandinPlatform, timer: &TimerService, control: Value) {
    let mut request = Request::new(Bytes::from(control.to_string()));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = "/control".parse().unwrap();
    let http = HttpClient::new(timer.clone());
    let answer = http.fetch(standin.address, request, Duration::from_secs(1), 1 << 20);
    assert!(answer.await.unwrap().status().is_success());
}

async fn apply(platform: &PlatformClient, expected: u64, merged: &MergedConfig) -> ApplyOutcome {
    let applied = store::apply(platform, expected, merged, "ana", "a test");
    applied.await.unwrap()
}

async fn start_watch_at_version(
    platform: &PlatformClient,
    timer: &TimerService,
    version: u64,
) -> ConfigWatch {
    let interval = Duration::from_millis(50);
    let watch = ConfigWatch::start(platform.clone(), timer.clone(), interval);
    let newer = timer.timeout(ROLLOUT_TIMEOUT, watch.wait_for_newer(version - 1));
    assert_eq!(newer.await.unwrap().version, version);
    watch
}

/// Guards against a version that is applied twice, or reported as refused, because the acknowledgement
/// of its commit was lost.
#[test]
fn apply_succeeds_once_when_acknowledgement_is_lost() {
    run(async |timer| {
        let standin = StandinPlatform::start();
        let platform = standin.client(&timer);
        configure_standin(&standin, &timer, json!({"lose_acknowledgements": 1})).await;
        let outcome = apply(&platform, 0, &valid_config()).await;
        assert!(
            matches!(outcome, ApplyOutcome::Applied { version: 1, .. }),
            "{outcome:?}"
        );
        let audit = store::read_audit_rows(&platform).await.unwrap();
        assert_eq!(audit.len(), 1);
        assert_eq!(
            store::read_document(&platform, 1).await.unwrap(),
            valid_config()
        );
    });
}

/// Guards against concurrent applies of one version that are both reported as accepted, or both as
/// refused, because acknowledgements of commits were lost.
#[test]
fn concurrent_applies_with_lost_acknowledgements_have_one_winner() {
    run(async |timer| {
        let standin = StandinPlatform::start();
        let rate = json!({"lose_acknowledgement_rate": 0.5, "seed": 7});
        configure_standin(&standin, &timer, rate).await;
        let platforms = [standin.client(&timer), standin.client(&timer)];
        let documents =
            [2, 3].map(|weight| valid_config_with(&["teams", "t", "weight"], json!(weight)));
        for version in 1..=30 {
            let first = store::apply(&platforms[0], version - 1, &documents[0], "ana", "first");
            let second = store::apply(&platforms[1], version - 1, &documents[1], "bea", "second");
            let (first, second) = join!(first, second);
            let applied = [first, second].map(|outcome| match outcome.unwrap() {
                ApplyOutcome::Applied { version, .. } => Some(version),
                ApplyOutcome::Refused { current, .. } => {
                    assert_eq!(current, version);
                    None
                }
            });
            assert!(matches!(applied, [Some(v), None] | [None, Some(v)] if v == version));
            let audit = store::read_audit_rows(&platforms[0]).await.unwrap();
            assert_eq!(audit.len() as u64, version);
            let accepted = store::read_document(&platforms[0], version).await.unwrap();
            let winner = applied.iter().position(Option::is_some).unwrap();
            assert_eq!(accepted, documents[winner]);
            assert_eq!(audit[version as usize - 1].author, ["ana", "bea"][winner]);
        }
    });
}

/// Guards against an entry that drops the version in force because of an outage or of a version that
/// fails the checks, and against one that reverts to a lower version.
#[test]
fn version_in_force_survives_outage_invalid_version_and_lower_head() {
    run(async |timer| {
        let standin = StandinPlatform::start();
        let platform = standin.client(&timer);
        apply(&platform, 0, &valid_config()).await;
        let second = valid_config_with(&["teams", "t", "weight"], json!(2));
        apply(&platform, 1, &second).await;
        let watch = start_watch_at_version(&platform, &timer, 2).await;

        configure_standin(&standin, &timer, json!({"outage": "refuse"})).await;
        timer.sleep(Duration::from_millis(300)).await;
        assert_eq!(watch.version(), 2);
        assert!(watch.confirmed_age().unwrap() >= Duration::from_millis(150));
        configure_standin(&standin, &timer, json!({"outage": "none"})).await;

        let bad = valid_config_with(&["teams", "t", "weight"], json!(0));
        for (version, merged) in [(3, &bad), (1, &valid_config())] {
            put_head(&platform, version, merged).await;
            timer.sleep(Duration::from_millis(300)).await;
            assert_eq!(watch.version(), 2, "after a head of version {version}");
            assert_eq!(watch.current().unwrap().teams["t"].weight, 2);
        }
        put_head(
            &platform,
            4,
            &valid_config_with(&["teams", "t", "weight"], json!(4)),
        )
        .await;
        let newer = timer
            .timeout(ROLLOUT_TIMEOUT, watch.wait_for_newer(2))
            .await
            .unwrap();
        assert_eq!((newer.version, newer.teams["t"].weight), (4, 4));
    });
}

/// Writes a head row without the checks of `apply`, as a faulty operator tool could.
async fn put_head(platform: &PlatformClient, version: u64, merged: &MergedConfig) {
    let object_key = format!("config/versions/by-hand-{version}");
    let object = serde_json::to_vec(merged).unwrap();
    platform
        .put_object(&object_key, object.into())
        .await
        .unwrap();
    let head = Head {
        version,
        object_key,
        author: "ana".into(),
        applied_at_ms: 0,
    };
    let write = Write::put(CONFIG_HEAD_KEY, &head).unwrap();
    platform.commit(&[], &[write]).await.unwrap();
}

/// Guards against a version announced by a peer that is not read until the next poll.
#[test]
fn version_announced_by_peer_is_read_before_next_poll() {
    run(async |timer| {
        let standin = StandinPlatform::start();
        let platform = standin.client(&timer);
        apply(&platform, 0, &valid_config()).await;
        let interval = Duration::from_secs(3_600);
        let watch = ConfigWatch::start(platform.clone(), timer.clone(), interval);
        timer
            .timeout(ROLLOUT_TIMEOUT, watch.wait_for_newer(0))
            .await
            .unwrap();
        apply(
            &platform,
            1,
            &valid_config_with(&["teams", "t", "weight"], json!(2)),
        )
        .await;
        watch.observe_peer_version(2);
        let newer = timer
            .timeout(ROLLOUT_TIMEOUT, watch.wait_for_newer(1))
            .await
            .unwrap();
        assert_eq!(newer.version, 2);
    });
}
