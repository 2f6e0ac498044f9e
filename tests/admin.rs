//! The operators' command as a process, against the stand-in of the platform.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::{Request, Response, StatusCode};
use sapphireford::connection::body::Body;
use sapphireford::connection::http_server::{Handler, HttpLimits, serve};
use sapphireford::connection::platform::Write;
use sapphireford::process::rows::{
    EntryIncarnation, EntryRow, EntryState, SlotRow, entry_key, slot_key,
};
use sapphireford::version::key_digest::{digest, encode_hex};
use serde_json::{Value, json};
use yare::parameterized;

#[path = "support/standin_platform.rs"]
mod standin_platform;
use standin_platform::{StandinPlatform, binary, run};

fn admin(platform: Option<SocketAddr>, arguments: &[&str]) -> Command {
    let mut command = Command::new(binary("sapphireford-admin"));
    command.args(arguments).stdout(Stdio::piped());
    command.env_remove("SAPPHIREFORD_PLATFORM");
    command.env_remove("SAPPHIREFORD_OPERATOR_KEY");
    if let Some(platform) = platform {
        command.env("SAPPHIREFORD_PLATFORM", platform.to_string());
    }
    command
}

/// Runs the command with `--json` and returns its exit code and what it printed.
fn call(platform: Option<SocketAddr>, arguments: &[&str]) -> (i32, Value) {
    let output = admin(platform, arguments).arg("--json").output().unwrap();
    let printed = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
    (output.status.code().unwrap(), printed)
}

fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name);
    path.display().to_string()
}

fn apply_arguments<'a>(folder: &'a str, expected: &'a str, author: &'a str) -> Vec<&'a str> {
    let options = [
        "--expect", expected, "--author", author, "--reason", "a test",
    ];
    [&["apply", folder][..], &options, &["--wait-ms", "500"]].concat()
}

/// A folder that is removed when the test ends.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let name = format!("sapphireford-admin-{name}-{}", std::process::id());
        Self(std::env::temp_dir().join(name))
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn entry(entry_id: &str, state: EntryState, config_version: u64) -> EntryRow {
    EntryRow {
        entry_id: entry_id.into(),
        incarnation: 1,
        http_address: "127.0.0.1:1".parse().unwrap(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        failure_domain: "d".into(),
        state,
        renewal: 1,
        segment: 0,
        first_segment: 1,
        config_version,
    }
}

fn put_entry(row: &EntryRow) -> Write {
    Write::put(entry_key(&row.entry_id), row).unwrap()
}

/// Guards against wrong usage that does something, and against an exit code that scripts cannot
/// rely on.
#[parameterized(
    no_command = { &[] },
    unknown_command = { &["aply"] },
    unknown_option = { &["check", "x", "--fast"] },
    option_of_another_command = { &["check", "x", "--expect", "1"] },
    no_folder = { &["check"] },
    no_expected_version = { &["apply", ".", "--author", "a", "--reason", "r"] },
    no_platform = { &["log"] },
    bad_address = { &["log", "--platform", "here"] },
    no_entry = { &["certificates", "/nonexistent/x"] },
    entry_outside_the_folder = { &["certificates", "/nonexistent/x", "--entry", "../e"] },
)]
fn wrong_usage_exits_with_2(arguments: &[&str]) {
    // `apply .` must fail on its options, so it runs where there is a folder with a JSON file.
    let folder = example("local-site");
    let arguments: Vec<&str> = arguments
        .iter()
        .map(|argument| {
            if *argument == "." {
                folder.as_str()
            } else {
                argument
            }
        })
        .collect();
    assert_eq!(call(None, &arguments).0, 2);
}

/// Guards against two operators who both believe that their configuration was accepted.
#[test]
fn two_operators_at_once_get_one_version_and_one_refusal() {
    let standin = StandinPlatform::start();
    let folders = [example("local-site"), example("division")];
    for round in 0..5 {
        let expected = round.to_string();
        let operators = ["ana", "bea"];
        let running: Vec<_> = operators
            .iter()
            .zip(&folders)
            .map(|(author, folder)| {
                let arguments = apply_arguments(folder, &expected, author);
                let mut command = admin(Some(standin.address), &arguments);
                command.arg("--json").spawn().unwrap()
            })
            .collect();
        let mut applied = Vec::new();
        for (author, child) in operators.iter().zip(running) {
            let output = child.wait_with_output().unwrap();
            let printed: Value = serde_json::from_slice(&output.stdout).unwrap();
            if output.status.code() == Some(0) {
                assert_eq!(printed["version"], json!(round + 1));
                applied.push(*author);
            } else {
                assert_eq!(output.status.code(), Some(1));
                assert_eq!(printed["current"], json!(round + 1), "{printed}");
                assert!(!printed["difference"].as_array().unwrap().is_empty());
            }
        }
        assert_eq!(applied.len(), 1, "round {round}");
        let (_, log) = call(Some(standin.address), &["log"]);
        let versions = log["versions"].as_array().unwrap();
        assert_eq!(versions.len(), round + 1);
        assert_eq!(versions[round]["author"], json!(applied[0]));
        assert_eq!(versions[round]["reason"], json!("a test"));
    }
}

/// Guards against a report of success while a live entry still has the old version in force, and
/// against waiting for entries that are not live.
#[test]
fn apply_names_the_live_entry_that_lags() {
    run(async |timer| {
        let standin = StandinPlatform::start();
        let platform = standin.client(&timer);
        let rows = [
            entry("e-1", EntryState::Live, 1),
            entry("e-2", EntryState::Live, 0),
            entry("e-3", EntryState::Fenced, 0),
            entry("e-4", EntryState::Closed, 0),
        ];
        let writes: Vec<_> = rows.iter().map(put_entry).collect();
        platform.commit(&[], &writes).await.unwrap();
        let folder = example("local-site");

        let (code, printed) = call(Some(standin.address), &apply_arguments(&folder, "0", "ana"));
        assert_eq!(code, 1);
        assert_eq!(printed["applied"], json!(true));
        let missing: Vec<_> = printed["entries"]
            .as_array()
            .unwrap()
            .iter()
            .filter(|entry| entry["in_force"] == json!(false))
            .map(|entry| entry["entry_id"].as_str().unwrap())
            .collect();
        assert_eq!(missing, ["e-2", "e-3"]);
        assert!(
            printed["entries"][1]["meanwhile"]
                .as_str()
                .unwrap()
                .contains("not ready")
        );
        assert_eq!(call(Some(standin.address), &["rollout"]).0, 1);

        let caught_up = put_entry(&entry("e-2", EntryState::Live, 1));
        platform.commit(&[], &[caught_up]).await.unwrap();
        assert_eq!(call(Some(standin.address), &["rollout"]).0, 0);
    });
}

/// Guards against an `apply` that returns before the slowest entry, or long after it.
#[test]
fn apply_returns_when_the_last_entry_has_the_version() {
    run(async |timer| {
        let standin = StandinPlatform::start();
        let platform = standin.client(&timer);
        let row = put_entry(&entry("e-1", EntryState::Live, 0));
        platform.commit(&[], &[row]).await.unwrap();
        let folder = example("local-site");
        let mut arguments = apply_arguments(&folder, "0", "ana");
        arguments.truncate(arguments.len() - 2);
        let mut child = admin(Some(standin.address), &arguments).spawn().unwrap();
        timer.sleep(Duration::from_millis(700)).await;
        assert!(
            child.try_wait().unwrap().is_none(),
            "it did not wait for the entry"
        );
        let row = put_entry(&entry("e-1", EntryState::Live, 1));
        platform.commit(&[], &[row]).await.unwrap();
        let started = Instant::now();
        assert_eq!(child.wait().unwrap().code(), Some(0));
        assert!(started.elapsed() < Duration::from_secs(5));
    });
}

/// Guards against slots that are counted for an earlier start of the same entry.
#[test]
fn status_counts_the_slots_of_the_present_start() {
    run(async |timer| {
        let standin = StandinPlatform::start();
        let platform = standin.client(&timer);
        let mut writes = vec![put_entry(&entry("e-1", EntryState::Live, 0))];
        for (slot, incarnation) in [(0, Some(1)), (1, Some(1)), (2, Some(7)), (3, None)] {
            let row = SlotRow {
                slot,
                holder: incarnation.map(|incarnation| EntryIncarnation {
                    entry_id: "e-1".into(),
                    incarnation,
                }),
                checkpoint: None,
                first_segment: 1,
            };
            writes.push(Write::put(slot_key(slot), &row).unwrap());
        }
        platform.commit(&[], &writes).await.unwrap();
        let (code, printed) = call(Some(standin.address), &["status"]);
        assert_eq!(code, 0);
        assert_eq!(printed["entries"][0]["slots"], json!(2));
        assert_eq!(printed["free_slots"], json!(1));
    });
}

/// Guards against an origin that is lost on the way through the platform.
#[test]
fn show_tells_the_file_of_each_value() {
    let standin = StandinPlatform::start();
    let folder = example("local-site");
    let arguments = apply_arguments(&folder, "0", "ana");
    assert_eq!(call(Some(standin.address), &arguments).0, 0);
    let (_, printed) = call(Some(standin.address), &["show", "--origin"]);
    let origin = &printed["origins"]["/programs/assistant/budget_micros"];
    assert_eq!(
        *origin,
        json!({"file": "90-local.json", "overrode": ["30-programs.json"]})
    );
    let (_, printed) = call(Some(standin.address), &["diff", &folder]);
    assert_eq!(printed["changes"], json!([]));
}

/// Guards against a digest that does not belong to the key, and against a key that is made twice.
#[test]
fn key_prints_the_digest_of_a_fresh_key() {
    let (_, first) = call(None, &["key", "ops"]);
    let (_, second) = call(None, &["key", "ops"]);
    let key = first["key"].as_str().unwrap();
    assert_eq!(first["key_sha256"], json!(encode_hex(&digest(key))));
    assert_ne!(first["key"], second["key"]);
    let known = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(encode_hex(&digest("abc")), known);
}

/// Guards against certificates that a peer would refuse, private keys that others may read, and
/// files of an entry that are overwritten.
#[test]
fn certificates_are_signed_by_one_authority() {
    use rustls::RootCertStore;
    use rustls::client::WebPkiServerVerifier;
    use rustls::client::danger::ServerCertVerifier;
    use rustls::pki_types::pem::PemObject;
    use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
    use std::os::unix::fs::PermissionsExt;

    let folder = TempFolder::new("certificates");
    let make = |entry: &str| call(None, &["certificates", folder.path(), "--entry", entry]).0;
    assert_eq!(make("entry-1"), 0);
    let authority = std::fs::read(folder.0.join("authority.pem")).unwrap();
    assert_eq!(make("entry-2"), 0);
    assert_eq!(make("entry-2"), 1, "the files of an entry were overwritten");
    assert_eq!(
        std::fs::read(folder.0.join("authority.pem")).unwrap(),
        authority
    );

    let mut roots = RootCertStore::empty();
    roots
        .add(CertificateDer::from_pem_slice(&authority).unwrap())
        .unwrap();
    let provider = rustls::crypto::ring::default_provider();
    let verifier = WebPkiServerVerifier::builder_with_provider(roots.into(), provider.into());
    let verifier = verifier.build().unwrap();
    let verify = |entry: &str, name: &'static str| {
        let path = folder.0.join(format!("{entry}.pem"));
        let certificate = CertificateDer::from_pem_file(path).unwrap();
        let name = ServerName::try_from(name).unwrap();
        verifier.verify_server_cert(&certificate, &[], &name, &[], UnixTime::now())
    };
    assert!(verify("entry-1", "entry-1").is_ok());
    assert!(verify("entry-2", "entry-2").is_ok());
    assert!(
        verify("entry-2", "entry-1").is_err(),
        "it is valid for another entry"
    );
    for key in ["authority.key", "entry-1.key"] {
        let mode = std::fs::metadata(folder.0.join(key))
            .unwrap()
            .permissions()
            .mode();
        assert_eq!(mode & 0o077, 0, "{key} can be read by others");
    }
}

/// Answers like an entry that knows one operator key.
struct OperatorInterface;

impl Handler for OperatorInterface {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        let known = request.headers().get("authorization");
        let (status, body) = match known.is_some_and(|key| key == "Bearer right") {
            true => (
                StatusCode::OK,
                json!({"method": request.method().as_str(), "path": request.uri().path()}),
            ),
            false => (
                StatusCode::UNAUTHORIZED,
                json!({"error": {"kind": "unauthorized", "message": "unknown key", "ran": "no"}}),
            ),
        };
        let mut response = Response::new(Body::full(Bytes::from(body.to_string())));
        *response.status_mut() = status;
        response
    }
}

/// Guards against a wrong path or method of the operators' interface, and against a refusal that
/// looks like success.
#[parameterized(
    drain = { &["drain", "e-1"], "POST", "/v1/operator/drain" },
    program = { &["program", "t", "c"], "GET", "/v1/operator/programs/t/c" },
    cancel = { &["cancel", "t", "c"], "POST", "/v1/operator/programs/t/c/cancel" },
)]
fn operator_commands_call_the_entry(arguments: &[&str], method: &str, path: &str) {
    run(async |timer| {
        let standin = StandinPlatform::start();
        let listen = "127.0.0.1:0".parse().unwrap();
        let handler = Rc::new(OperatorInterface);
        let server = serve(listen, HttpLimits::default(), timer.clone(), handler).unwrap();
        let mut row = entry("e-1", EntryState::Live, 0);
        row.http_address = server.address();
        let platform = standin.client(&timer);
        platform.commit(&[], &[put_entry(&row)]).await.unwrap();
        for (key, code) in [("right", 0), ("wrong", 1)] {
            let mut command = admin(Some(standin.address), arguments);
            command.arg("--json").env("SAPPHIREFORD_OPERATOR_KEY", key);
            let mut child = command.spawn().unwrap();
            // The entry runs on this thread, so the test must not block on the process.
            while child.try_wait().unwrap().is_none() {
                timer.sleep(Duration::from_millis(20)).await;
            }
            let output = child.wait_with_output().unwrap();
            assert_eq!(output.status.code(), Some(code));
            let printed: Value = serde_json::from_slice(&output.stdout).unwrap();
            if code == 0 {
                assert_eq!(printed["answer"], json!({"method": method, "path": path}));
            } else {
                assert!(printed["error"].as_str().unwrap().contains("unknown key"));
            }
        }
    });
}
