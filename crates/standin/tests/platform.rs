//! The platform as an entry meets it.

use std::io::ErrorKind;
use std::time::Duration;

use sapphireford_standin::harness::{Answer, HttpRequest, Process, wait_until};
use serde_json::{Value, json};

fn post(platform: &Process, path: &str, body: Value) -> Answer {
    let request = HttpRequest::post(path).json(&body);
    request.send(platform.address()).expect("an answer")
}

fn version(platform: &Process, key: &str) -> Value {
    post(platform, "/table/read", json!({"keys": [key]})).json()["rows"][0]["version"].clone()
}

/// Guards against a commit that writes a part of its rows, or writes despite a failed check.
#[test]
fn commit_writes_all_rows_or_none() {
    let platform = Process::start("standin-platform", &[]);
    let both = json!({
        "checks": [{"key": "a", "version": 0}, {"key": "b", "version": 0}],
        "writes": [{"key": "a", "value": 1}, {"key": "b", "value": 2}],
    });
    let first = post(&platform, "/table/commit", both.clone());
    assert_eq!(
        (first.status, first.json()),
        (200, json!({"versions": [1, 1]}))
    );
    let second = post(&platform, "/table/commit", both);
    let rows = json!({"rows": [
        {"key": "a", "version": 1, "value": 1},
        {"key": "b", "version": 1, "value": 2},
    ]});
    assert_eq!((second.status, second.json()), (409, rows.clone()));
    let half = json!({
        "checks": [{"key": "a", "version": 1}, {"key": "b", "version": 7}],
        "writes": [{"key": "a", "value": 3}],
    });
    assert_eq!(post(&platform, "/table/commit", half).status, 409);
    let scan = post(&platform, "/table/scan", json!({"prefix": ""}));
    assert_eq!(scan.json(), rows);
    assert_eq!(platform.stats()["conflicts"], 2);
}

/// Guards against a version that is used again after a delete, which would let a stale holder pass
/// its check.
#[test]
fn version_is_not_reused_after_delete() {
    let platform = Process::start("standin-platform", &[]);
    let write = |value: Value| {
        let body = json!({"checks": [], "writes": [{"key": "entries/e1", "value": value}]});
        assert_eq!(post(&platform, "/table/commit", body).status, 200);
    };
    write(json!({"n": 1}));
    write(json!({"n": 2}));
    assert_eq!(version(&platform, "entries/e1"), 2);
    write(Value::Null);
    assert_eq!(version(&platform, "entries/e1"), 0);
    let scan = post(&platform, "/table/scan", json!({"prefix": "entries/"}));
    assert_eq!(scan.json(), json!({"rows": []}));
    write(json!({"n": 3}));
    assert!(version(&platform, "entries/e1").as_u64() > Some(2));
}

/// Guards against a lost acknowledgement that shows as an answer, or whose write is lost too.
#[test]
fn lost_acknowledgement_takes_effect_without_answer() {
    let platform = Process::start("standin-platform", &[]);
    platform.control(&json!({"lose_acknowledgements": 1}));
    let body = json!({"checks": [], "writes": [{"key": "a", "value": 1}]});
    let commit = HttpRequest::post("/table/commit").json(&body);
    let lost = commit.send(platform.address());
    assert_eq!(
        lost.expect_err("no answer").kind(),
        ErrorKind::UnexpectedEof
    );
    assert_eq!(version(&platform, "a"), 1);
    assert_eq!(
        commit.send(platform.address()).expect("an answer").status,
        200
    );
    assert_eq!(version(&platform, "a"), 2);
}

/// Guards against an outage in which calls take effect or are answered.
#[test]
fn outage_refuses_or_hangs() {
    let platform = Process::start("standin-platform", &[]);
    let body = json!({"checks": [], "writes": [{"key": "a", "value": 1}]});
    platform.control(&json!({"outage": "refuse"}));
    assert_eq!(post(&platform, "/table/commit", body.clone()).status, 503);
    platform.control(&json!({"outage": "hang"}));
    let commit = HttpRequest::post("/table/commit").json(&body);
    let hung = commit.timeout(Duration::from_millis(200));
    hung.send(platform.address()).expect_err("no answer");
    platform.control(&json!({"outage": "none"}));
    assert_eq!(version(&platform, "a"), 0);
}

/// Guards against wrong ranges, and keys that are cut at a slash.
#[test]
fn objects_are_read_in_parts() {
    let platform = Process::start("standin-platform", &[]);
    let address = platform.address();
    let path = "/objects/segments/e1/1/000000000001";
    let put = HttpRequest::new("PUT", path).body("0123456789");
    assert_eq!(put.send(address).expect("an answer").status, 204);
    let read = |range: &str| {
        let request = HttpRequest::get(path).header("range", range);
        let answer = request.send(address).expect("an answer");
        (answer.status, answer.text())
    };
    assert_eq!(read("bytes=2-4"), (206, "234".to_string()));
    assert_eq!(read("bytes=8-99"), (206, "89".to_string()));
    assert_eq!(read("bytes=10-12").0, 416);
    let whole = HttpRequest::get(path).send(address).expect("an answer");
    assert_eq!(whole.text(), "0123456789");
    let delete = HttpRequest::new("DELETE", path);
    assert_eq!(delete.send(address).expect("an answer").status, 204);
    assert_eq!(
        HttpRequest::get(path)
            .send(address)
            .expect("an answer")
            .status,
        404
    );
}

/// Guards against a list of VMs that is up to date at once, and a weight store without a limit.
#[test]
fn vm_list_lags_and_weights_are_limited() {
    let platform = Process::start("standin-platform", &["--weights-per-second", "0.1"]);
    let address = platform.address();
    let vms = || {
        HttpRequest::get("/vms")
            .send(address)
            .expect("an answer")
            .json()
    };
    let list = json!([{"address": "127.0.0.1:1", "state": "leaving"}]);
    platform.control(&json!({"vms": list.clone(), "vm_list_lag_ms": 1000}));
    assert_eq!(vms(), json!({"vms": []}));
    let listed = json!({"vms": list});
    assert!(wait_until(Duration::from_secs(10), || vms() == listed));
    let weights = || {
        HttpRequest::get("/weights/m")
            .send(address)
            .expect("an answer")
    };
    assert_eq!(weights().status, 200);
    let refused = weights();
    assert_eq!(
        (refused.status, refused.header("retry-after")),
        (429, Some("10"))
    );
}
