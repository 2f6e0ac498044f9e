//! The log lines of a gateway process.

use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Stdio};

use serde_json::json;

/// Guards against log lines that are lost on exit: the line about the stop and those of the last
/// requests were still in the channel to the writer thread.
#[test]
fn log_lines_written_before_exit_are_flushed() {
    let settings = json!({
        "entry_id": "gateway-0", "failure_domain": "d1",
        "caller_address": "127.0.0.1:0", "readiness_address": "127.0.0.1:0",
        "directory_address": "127.0.0.1:0", "peer_address": "127.0.0.1:0",
        "metrics_address": "127.0.0.1:0", "store_address": "127.0.0.1:9",
    });
    let name = format!("sapphireford-logs-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    fs::write(&path, settings.to_string()).expect("the settings can be written");
    let mut process = Command::new(env!("CARGO_BIN_EXE_sapphireford-gateway"))
        .arg("--settings")
        .arg(&path)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the gateway starts");
    let mut output = BufReader::new(process.stdout.take().expect("a pipe"));
    let mut first = String::new();
    output.read_line(&mut first).expect("a line");
    assert!(first.starts_with("listening on"), "{first}");
    let status = Command::new("kill")
        .args(["-TERM", &process.id().to_string()])
        .status();
    assert!(status.expect("kill runs").success());
    let mut rest = String::new();
    output.read_to_string(&mut rest).expect("text");
    assert!(process.wait().expect("a status").success());
    fs::remove_file(&path).expect("the settings can be removed");
    let messages = ["gateway started", "stop requested", "gateway stopped"];
    for message in messages {
        assert!(rest.contains(message), "no line `{message}` in {rest}");
    }
}
