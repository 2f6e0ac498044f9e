//! The configuration: merge, checks, differences, accepted versions, and the watch of entries.

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

/// A configuration version must be in effect everywhere within this time (design section 1.5).
const IN_EFFECT: Duration = Duration::from_secs(7);

fn add(merged: &mut MergedConfig, file: &str, document: Value) {
    merged.merge_file(file, document.as_object().unwrap().clone());
}

/// A small valid document with one team, model, backend server, tool and program.
fn valid() -> MergedConfig {
    let mut merged = MergedConfig::default();
    let document = json!({ "teams": {"t": {"key_sha256": "11".repeat(32)}}, "operators": {"o": {"key_sha256": "22".repeat(32)}}, "models": {"m": { "prompt_micros_per_1k_tokens": 1, "output_micros_per_1k_tokens": 2, "context_tokens": 1000 }}, "backend_servers": {"b": { "address": "127.0.0.1:9000", "failure_domain": "d", "models": ["m"], "max_concurrent_calls": 4, "cache_tokens": 1000 }}, "tools": {"u": { "address": "127.0.0.1:9001", "price_limit_micros": 5, "time_limit_ms": 100, "idempotent": false }}, "services": {"s": { "addresses": ["127.0.0.1:9002"], "time_limit_ms": 100, "routes": [{"method": "GET", "path_prefix": "/"}] }}, "programs": {"p": { "team": "t", "model": "m", "budget_micros": 100, "tools": ["u"], "max_calls": 3 }} });
    add(&mut merged, "10-all.json", document);
    merged
}

/// The valid document with a second file that sets one value.
fn with(path: &[&str], value: Value) -> MergedConfig {
    let mut merged = valid();
    let nested = path
        .iter()
        .rev()
        .fold(value, |value, key| json!({*key: value}));
    add(&mut merged, "20-change.json", nested);
    merged
}

/// Guards against a wrong merge order and against a trace that blames the wrong file.
#[test]
fn later_file_wins_key_by_key_and_the_origin_is_kept() {
    let folder = std::env::temp_dir().join(format!("sapphireford-merge-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let write = |name: &str, text: &str| std::fs::write(folder.join(name), text).unwrap();
    // Written out of order, with a file that is not part of the configuration.
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
        "a key twice in one file passed"
    );
}

/// Guards against an object that survives in part when a later file replaces it by another kind of
/// value, and the reverse.
#[test]
fn replaced_objects_leave_no_origin() {
    let mut merged = MergedConfig::default();
    add(&mut merged, "1.json", json!({"a": {"b": 1, "c": 2}}));
    add(&mut merged, "2.json", json!({"a": [1]}));
    add(&mut merged, "3.json", json!({"a": {"d": 4}}));
    assert_eq!(merged.document, json!({"a": {"d": 4}}));
    assert_eq!(merged.origins.keys().collect::<Vec<_>>(), ["/a/d"]);
    assert_eq!(merged.origins["/a/d"].overrode, ["1.json", "2.json"]);
}

/// Guards against values that pass unchecked, and against messages without file and path.
#[parameterized( unknown_section = { &["polcy"], json!({}), "/polcy" }, unknown_key = { &["teams", "t", "wieght"], json!(1), "/teams/t/wieght" }, unknown_limit = { &["limits", "queue_ms"], json!(1), "/limits/queue_ms" }, unknown_key_of_a_route = { &["services", "s", "routes"], json!([{"method": "GET", "path_prefix": "/", "x": 1}]), "/services/s/routes" }, missing_field = { &["models", "n"], json!({"context_tokens": 1}), "/models/n" }, wrong_kind = { &["tools", "u", "time_limit_ms"], json!("1s"), "/tools/u/time_limit_ms" }, negative = { &["programs", "p", "budget_micros"], json!(-1), "/programs/p/budget_micros" }, null = { &["programs", "p", "max_calls"], json!(null), "/programs/p/max_calls" }, section_is_a_list = { &["teams"], json!([]), "/teams" }, bad_name = { &["teams", "a/b"], json!({"key_sha256": "33".repeat(32)}), "/teams/a~1b" }, key_in_the_clear = { &["teams", "t", "key_sha256"], json!("secret"), "/teams/t/key_sha256" }, same_key = { &["operators", "o", "key_sha256"], json!("11".repeat(32)), "/operators/o/key_sha256" }, zero_weight = { &["teams", "t", "weight"], json!(0), "/teams/t/weight" }, zero_budget = { &["programs", "p", "budget_micros"], json!(0), "/programs/p/budget_micros" }, zero_time = { &["services", "s", "time_limit_ms"], json!(0), "/services/s/time_limit_ms" }, endless_time = { &["limits", "abandon_ms"], json!(u64::MAX), "/limits/abandon_ms" }, retries = { &["limits", "retry_percent"], json!(101), "/limits/retry_percent" }, no_such_team = { &["programs", "p", "team"], json!("x"), "/programs/p/team" }, no_such_model = { &["backend_servers", "b", "models"], json!(["x"]), "/backend_servers/b/models" }, no_models = { &["backend_servers", "b", "models"], json!([]), "/backend_servers/b/models" }, tool_twice = { &["programs", "p", "tools"], json!(["u", "u"]), "/programs/p/tools" }, method_in_small = { &["services", "s", "routes"], json!([{"method": "get", "path_prefix": "/"}]), "/services/s/routes" }, same_address = { &["backend_servers", "c"], json!({ "address": "127.0.0.1:9000", "failure_domain": "d", "models": ["m"], "max_concurrent_calls": 1, "cache_tokens": 1 }), "/backend_servers/c/address" } )]
fn faulty_value_is_refused(path: &[&str], value: Value, faulty: &str) {
    let CheckError { problems } = Config::try_from(&with(path, value)).unwrap_err();
    assert_eq!(problems.len(), 1, "{problems:?}");
    assert_eq!(problems[0].path, faulty);
    assert_eq!(problems[0].file.as_deref(), Some("20-change.json"));
    assert!(!problems[0].reason.is_empty() && !problems[0].action.is_empty());
}

/// Guards against defaults that differ from docs/operators.md.
#[test]
fn defaults_are_those_of_the_reference() {
    let config = Config::try_from(&valid()).unwrap();
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

/// Guards against examples that no longer pass the checks.
#[parameterized(division = { "division" }, local_site = { "local-site" })]
fn example_is_valid(name: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name);
    let config = Config::try_from(&MergedConfig::read_folder(&folder).unwrap()).unwrap();
    assert_eq!(config.programs.len(), 2);
    assert!(!config.operators.is_empty());
}

/// Guards against changes that are left out of the audit trail.
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

/// Injects failures into the stand-in of the platform.
async fn control(standin: &StandinPlatform, timer: &TimerService, control: Value) {
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

async fn watch_at(platform: &PlatformClient, timer: &TimerService, version: u64) -> ConfigWatch {
    let interval = Duration::from_millis(50);
    let watch = ConfigWatch::start(platform.clone(), timer.clone(), interval);
    let newer = timer.timeout(IN_EFFECT, watch.wait_for_newer(version - 1));
    assert_eq!(newer.await.unwrap().version, version);
    watch
}

/// Guards against a version that is applied twice, or reported as refused, when the acknowledgement
/// of its commit is lost.
#[test]
fn lost_acknowledgement_is_resolved_by_reading() {
    run(async |timer| {
        let standin = StandinPlatform::start();
        let platform = standin.client(&timer);
        control(&standin, &timer, json!({"lose_acknowledgements": 1})).await;
        let outcome = apply(&platform, 0, &valid()).await;
        assert!(
            matches!(outcome, ApplyOutcome::Applied { version: 1, .. }),
            "{outcome:?}"
        );
        let audit = store::read_audit_rows(&platform).await.unwrap();
        assert_eq!(audit.len(), 1);
        assert_eq!(store::read_document(&platform, 1).await.unwrap(), valid());
    });
}

/// Guards against two operators who are both told that their version was accepted, or both that it
/// was refused, when acknowledgements are lost as well.
#[test]
fn two_operators_with_lost_acknowledgements_get_one_version() {
    run(async |timer| {
        let standin = StandinPlatform::start();
        let rate = json!({"lose_acknowledgement_rate": 0.5, "seed": 7});
        control(&standin, &timer, rate).await;
        let platforms = [standin.client(&timer), standin.client(&timer)];
        let documents = [2, 3].map(|weight| with(&["teams", "t", "weight"], json!(weight)));
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

/// Guards against an outage or a version that does not pass the checks ending the one in force, and
/// against a return to a lower version.
#[test]
fn version_in_force_survives_outage_bad_version_and_lower_head() {
    run(async |timer| {
        let standin = StandinPlatform::start();
        let platform = standin.client(&timer);
        apply(&platform, 0, &valid()).await;
        let second = with(&["teams", "t", "weight"], json!(2));
        apply(&platform, 1, &second).await;
        let watch = watch_at(&platform, &timer, 2).await;

        control(&standin, &timer, json!({"outage": "refuse"})).await;
        timer.sleep(Duration::from_millis(300)).await;
        assert_eq!(watch.version(), 2);
        assert!(watch.confirmed_age().unwrap() >= Duration::from_millis(150));
        control(&standin, &timer, json!({"outage": "none"})).await;

        let bad = with(&["teams", "t", "weight"], json!(0));
        for (version, merged) in [(3, &bad), (1, &valid())] {
            put_head(&platform, version, merged).await;
            timer.sleep(Duration::from_millis(300)).await;
            assert_eq!(watch.version(), 2, "after a head of version {version}");
            assert_eq!(watch.current().unwrap().teams["t"].weight, 2);
        }
        put_head(&platform, 4, &with(&["teams", "t", "weight"], json!(4))).await;
        let newer = timer
            .timeout(IN_EFFECT, watch.wait_for_newer(2))
            .await
            .unwrap();
        assert_eq!((newer.version, newer.teams["t"].weight), (4, 4));
    });
}

/// Writes a head without the checks of `apply`, as a faulty operator tool would.
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

/// Guards against a hint that waits for the next interval.
#[test]
fn hint_makes_the_watch_read_at_once() {
    run(async |timer| {
        let standin = StandinPlatform::start();
        let platform = standin.client(&timer);
        apply(&platform, 0, &valid()).await;
        let interval = Duration::from_secs(3_600);
        let watch = ConfigWatch::start(platform.clone(), timer.clone(), interval);
        timer
            .timeout(IN_EFFECT, watch.wait_for_newer(0))
            .await
            .unwrap();
        apply(&platform, 1, &with(&["teams", "t", "weight"], json!(2))).await;
        watch.observe_peer_version(2);
        let newer = timer
            .timeout(IN_EFFECT, watch.wait_for_newer(1))
            .await
            .unwrap();
        assert_eq!(newer.version, 2);
    });
}
