//! The command `sapphireford-admin`, run as a process against the stand-in platform.

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

fn admin_command(platform: Option<SocketAddr>, arguments: &[&str]) -> Command {
    let mut command = Command::new(binary("sapphireford-admin"));
    command.args(arguments).stdout(Stdio::piped());
    command.env_remove("SAPPHIREFORD_PLATFORM");
    command.env_remove("SAPPHIREFORD_OPERATOR_KEY");
    if let Some(platform) = platform {
        command.env("SAPPHIREFORD_PLATFORM", platform.to_string());
    }
    command
}

/// Runs the command with `--json`; returns its exit code and the JSON that it printed.
fn run_with_json(platform: Option<SocketAddr>, arguments: &[&str]) -> (i32, Value) {
    let output = admin_command(platform, arguments)
        .arg("--json")
        .output()
        .unwrap();
    let printed = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
    (output.status.code().unwrap(), printed)
}

fn example_folder(name: &str) -> String {
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

/// A folder that is removed on drop.
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

fn entry_row(entry_id: &str, state: EntryState, config_version: u64) -> EntryRow {
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

/// Guards against invalid arguments that are acted on, and against a usage error that scripts cannot
/// recognise by its exit code.
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
fn invalid_usage_exits_with_2(arguments: &[&str]) {
    // `apply .` must fail because of its options, so `.` is replaced by a folder with JSON files.
    let folder = example_folder("local-site");
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
    assert_eq!(run_with_json(None, &arguments).0, 2);
}

/// Guards against two operators who apply configurations at the same time and are both told that theirs
/// was accepted.
#[test]
fn concurrent_applies_get_one_version_and_one_refusal() {
    let standin = StandinPlatform::start();
    let folders = [example_folder("local-site"), example_folder("division")];
    for round in 0..5 {
        let expected = round.to_string();
        let operators = ["ana", "bea"];
        let running: Vec<_> = operators
            .iter()
            .zip(&folders)
            .map(|(author, folder)| {
                let arguments = apply_arguments(folder, &expected, author);
                let mut command = admin_command(Some(standin.address), &arguments);
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
        let (_, log) = run_with_json(Some(standin.address), &["log"]);
        let versions = log["versions"].as_array().unwrap();
        assert_eq!(versions.len(), round + 1);
        assert_eq!(versions[round]["author"], json!(applied[0]));
        assert_eq!(versions[round]["reason"], json!("a test"));
    }
}

/// Guards against an `apply` that reports success while an entry still has the old version in force,
/// and against one that waits for entries that are not live.
#[test]
fn apply_fails_and_names_live_entry_without_the_version() {
    run(async |timer| {
        let standin = StandinPlatform::start();
        let platform = standin.client(&timer);
        let rows = [
            entry_row("e-1", EntryState::Live, 1),
            entry_row("e-2", EntryState::Live, 0),
            entry_row("e-3", EntryState::Fenced, 0),
            entry_row("e-4", EntryState::Closed, 0),
        ];
        let writes: Vec<_> = rows.iter().map(put_entry).collect();
        platform.commit(&[], &writes).await.unwrap();
        let folder = example_folder("local-site");

        let (code, printed) =
            run_with_json(Some(standin.address), &apply_arguments(&folder, "0", "ana"));
        assert_eq!(code, 1);
        assert_eq!(printed["applied"], json!(true));
        let lagging: Vec<_> = printed["entries"]
            .as_array()
            .unwrap()
            .iter()
            .filter(|entry| entry["in_force"] == json!(false))
            .map(|entry| entry["entry_id"].as_str().unwrap())
            .collect();
        assert_eq!(lagging, ["e-2", "e-3"]);
        assert!(
            printed["entries"][1]["meanwhile"]
                .as_str()
                .unwrap()
                .contains("not ready")
        );
        assert_eq!(run_with_json(Some(standin.address), &["rollout"]).0, 1);

        let caught_up = put_entry(&entry_row("e-2", EntryState::Live, 1));
        platform.commit(&[], &[caught_up]).await.unwrap();
        assert_eq!(run_with_json(Some(standin.address), &["rollout"]).0, 0);
    });
}

/// Guards against an `apply` that returns before the slowest entry has the version in force, or long
/// after that.
#[test]
fn apply_returns_when_last_entry_has_version_in_force() {
    run(async |timer| {
        let standin = StandinPlatform::start();
        let platform = standin.client(&timer);
        let row = put_entry(&entry_row("e-1", EntryState::Live, 0));
        platform.commit(&[], &[row]).await.unwrap();
        let folder = example_folder("local-site");
        let mut arguments = apply_arguments(&folder, "0", "ana");
        arguments.truncate(arguments.len() - 2);
        let mut child = admin_command(Some(standin.address), &arguments)
            .spawn()
            .unwrap();
        timer.sleep(Duration::from_millis(700)).await;
        assert!(
            child.try_wait().unwrap().is_none(),
            "`apply` did not wait for the entry"
        );
        let row = put_entry(&entry_row("e-1", EntryState::Live, 1));
        platform.commit(&[], &[row]).await.unwrap();
        let started = Instant::now();
        assert_eq!(child.wait().unwrap().code(), Some(0));
        assert!(started.elapsed() < Duration::from_secs(5));
    });
}

/// Guards against counting slots that are held by another incarnation of the same entry.
#[test]
fn status_counts_slots_of_current_incarnation_only() {
    run(async |timer| {
        let standin = StandinPlatform::start();
        let platform = standin.client(&timer);
        let mut writes = vec![put_entry(&entry_row("e-1", EntryState::Live, 0))];
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
        let (code, printed) = run_with_json(Some(standin.address), &["status"]);
        assert_eq!(code, 0);
        assert_eq!(printed["entries"][0]["slots"], json!(2));
        assert_eq!(printed["free_slots"], json!(1));
    });
}

/// Guards against origins of values that are lost when a version is stored on the platform.
#[test]
fn show_prints_origin_file_of_each_value() {
    let standin = StandinPlatform::start();
    let folder = example_folder("local-site");
    let arguments = apply_arguments(&folder, "0", "ana");
    assert_eq!(run_with_json(Some(standin.address), &arguments).0, 0);
    let (_, printed) = run_with_json(Some(standin.address), &["show", "--origin"]);
    let origin = &printed["origins"]["/programs/assistant/budget_micros"];
    assert_eq!(
        *origin,
        json!({"file": "90-local.json", "overrode": ["30-programs.json"]})
    );
    let (_, printed) = run_with_json(Some(standin.address), &["diff", &folder]);
    assert_eq!(printed["changes"], json!([]));
}

/// Guards against a printed digest that does not match the key, and against two calls that generate the
/// same key.
#[test]
fn key_prints_new_key_with_its_digest() {
    let (_, first) = run_with_json(None, &["key", "ops"]);
    let (_, second) = run_with_json(None, &["key", "ops"]);
    let key = first["key"].as_str().unwrap();
    assert_eq!(first["key_sha256"], json!(encode_hex(&digest(key))));
    assert_ne!(first["key"], second["key"]);
    let known = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(encode_hex(&digest("abc")), known);
}

/// Guards against certificates that peers would refuse, private keys that other users can read, and
/// existing files of an entry that are overwritten.
#[test]
fn certificates_of_all_entries_are_signed_by_one_authority() {
    use rustls::RootCertStore;
    use rustls::client::WebPkiServerVerifier;
    use rustls::client::danger::ServerCertVerifier;
    use rustls::pki_types::pem::PemObject;
    use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
    use std::os::unix::fs::PermissionsExt;

    let folder = TempFolder::new("certificates");
    let create_certificate =
        |entry: &str| run_with_json(None, &["certificates", folder.path(), "--entry", entry]).0;
    assert_eq!(create_certificate("entry-1"), 0);
    let authority = std::fs::read(folder.0.join("authority.pem")).unwrap();
    assert_eq!(create_certificate("entry-2"), 0);
    assert_eq!(
        create_certificate("entry-2"),
        1,
        "the files of an entry were overwritten"
    );
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
        "the certificate is valid for another entry"
    );
    for key in ["authority.key", "entry-1.key"] {
        let mode = std::fs::metadata(folder.0.join(key))
            .unwrap()
            .permissions()
            .mode();
        assert_eq!(mode & 0o077, 0, "{key} can be read by other users");
    }
}

/// Answers like an entry that accepts one operator key, and returns the method and the path.
struct FakeOperatorInterface;

impl Handler for FakeOperatorInterface {
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

/// Guards against a command that calls the wrong path or method of the operators' interface, and
/// against a refusal that is reported as success.
#[parameterized(
    drain = { &["drain", "e-1"], "POST", "/v1/operator/drain" },
    program = { &["program", "t", "c"], "GET", "/v1/operator/programs/t/c" },
    cancel = { &["cancel", "t", "c"], "POST", "/v1/operator/programs/t/c/cancel" },
)]
fn operator_command_sends_request_to_entry_and_reports_refusal(
    arguments: &[&str],
    method: &str,
    path: &str,
) {
    run(async |timer| {
        let standin = StandinPlatform::start();
        let listen = "127.0.0.1:0".parse().unwrap();
        let handler = Rc::new(FakeOperatorInterface);
        let server = serve(listen, HttpLimits::default(), timer.clone(), handler).unwrap();
        let mut row = entry_row("e-1", EntryState::Live, 0);
        row.http_address = server.address();
        let platform = standin.client(&timer);
        platform.commit(&[], &[put_entry(&row)]).await.unwrap();
        for (key, code) in [("right", 0), ("wrong", 1)] {
            let mut command = admin_command(Some(standin.address), arguments);
            command.arg("--json").env("SAPPHIREFORD_OPERATOR_KEY", key);
            let mut child = command.spawn().unwrap();
            // The fake entry runs on this thread, so the test must not block on the process.
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
