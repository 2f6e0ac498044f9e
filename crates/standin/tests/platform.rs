//! Tests the stand-in platform over HTTP, as an entry calls it.

use std::io::ErrorKind;
use std::time::Duration;

use sapphireford_standin::harness::{Answer, HttpRequest, Process, wait_until};
use serde_json::{Value, json};

/// `x` and `y` in base64, the encoding of values in the row store.
const X: &str = "eA==";
const Y: &str = "eQ==";

fn transact(platform: &Process, body: &Value) -> Answer {
    let request = HttpRequest::post("/rows-tx").json(body);
    request.send(platform.address()).expect("an answer")
}

fn get(platform: &Process, query: &str) -> Value {
    let request = HttpRequest::get(&format!("/rows-get?{query}"));
    let answer = request.send(platform.address()).expect("an answer");
    answer.json()["rows"].clone()
}

fn row(key: &str) -> Value {
    json!({ "table": "t", "part": "", "key": key })
}

fn with(key: &str, name: &str, value: Value) -> Value {
    let mut row = row(key);
    row[name] = value;
    row
}

fn version(platform: &Process, key: &str) -> Value {
    let rows = get(platform, &format!("table=t&part=&from={key}&limit=1"));
    match rows[0]["key"] == key {
        true => rows[0]["rowVersion"].clone(),
        false => json!(0),
    }
}

/// Guards against a transaction that writes only some of its rows, or any rows although one of its
/// conditions fails.
#[test]
fn transaction_writes_all_rows_or_none() {
    let platform = Process::start("standin-platform", &[]);
    let both = json!({
        "expected": [with("a", "rowVersion", json!(0)), with("b", "rowVersion", json!(0))],
        "writes": [with("a", "value", json!(X)), with("b", "value", json!(Y))],
    });
    let first = transact(&platform, &both);
    assert_eq!(
        (first.status, &first.json()["rowVersion"]),
        (200, &json!(1))
    );
    let second = transact(&platform, &both);
    let mut rows = [with("a", "value", json!(X)), with("b", "value", json!(Y))];
    rows.iter_mut().for_each(|row| row["rowVersion"] = json!(1));
    let rows = json!(rows);
    assert_eq!((second.status, &second.json()["rows"]), (412, &rows));
    let half = json!({
        "expected": [with("a", "rowVersion", json!(1)), with("b", "rowVersion", json!(7))],
        "writes": [with("a", "value", json!(Y))],
    });
    assert_eq!(transact(&platform, &half).status, 412);
    assert_eq!(get(&platform, "table=t&part="), rows);
    assert_eq!(platform.stats()["conflicts"], 2);
}

/// Guards against accepting transactions that the production store rejects: more than 100 entries,
/// several partitions without `crossShard`, and writes to tables that the operator or the
/// registration of backend servers owns.
#[test]
fn transaction_outside_the_limits_is_rejected() {
    let platform = Process::start("standin-platform", &[]);
    let write = |key: usize| with(&key.to_string(), "value", json!(X));
    let writes: Vec<Value> = (0..101).map(write).collect();
    let status = |body: Value| transact(&platform, &body).status;
    assert_eq!(status(json!({ "writes": writes })), 400);
    assert_eq!(status(json!({ "writes": writes[..100] })), 200);
    let mut other = with("a", "value", json!(X));
    other["part"] = json!("p");
    assert_eq!(status(json!({ "writes": [writes[0], other] })), 400);
    let body = json!({ "writes": [writes[0], other], "crossShard": true });
    assert_eq!(status(body), 200);
    other["table"] = json!("servers");
    assert_eq!(status(json!({ "writes": [other] })), 403);
}

/// Guards against a version that is reused after a row was removed and written again: a stale
/// holder would then meet its condition.
#[test]
fn version_is_not_reused_after_removal() {
    let platform = Process::start("standin-platform", &[]);
    let write = || {
        let body = json!({ "writes": [with("e1", "value", json!(X))] });
        assert_eq!(transact(&platform, &body).status, 200);
    };
    write();
    write();
    assert_eq!(version(&platform, "e1"), 2);
    let removal = json!({ "remove": [row("e1")] });
    assert_eq!(transact(&platform, &removal).status, 200);
    assert_eq!(version(&platform, "e1"), 0);
    assert_eq!(get(&platform, "table=t&part="), json!([]));
    write();
    assert!(version(&platform, "e1").as_u64() > Some(2));
}

/// Guards against an injected loss of an acknowledgement where the caller gets a response or the
/// write is lost too.
#[test]
fn commit_with_lost_acknowledgement_takes_effect_without_response() {
    let platform = Process::start("standin-platform", &[]);
    platform.control(&json!({"lose_acknowledgements": 1}));
    let body = json!({ "writes": [with("a", "value", json!(X))] });
    let commit = HttpRequest::post("/rows-tx").json(&body);
    let lost = commit.send(platform.address());
    assert_eq!(
        lost.expect_err("no answer").kind(),
        ErrorKind::UnexpectedEof
    );
    assert_eq!(version(&platform, "a"), 1);
    assert_eq!(transact(&platform, &body).status, 200);
    assert_eq!(version(&platform, "a"), 2);
}

/// Guards against commits that take effect during an outage, or get a response while calls hang.
#[test]
fn commits_have_no_effect_during_outage() {
    let platform = Process::start("standin-platform", &[]);
    let body = json!({ "writes": [with("a", "value", json!(X))] });
    platform.control(&json!({"outage": "refuse"}));
    assert_eq!(transact(&platform, &body).status, 503);
    platform.control(&json!({"outage": "hang"}));
    let commit = HttpRequest::post("/rows-tx").json(&body);
    let hung = commit.timeout(Duration::from_millis(200));
    hung.send(platform.address()).expect_err("no answer");
    platform.control(&json!({"outage": "none"}));
    assert_eq!(version(&platform, "a"), 0);
}

/// Guards against object names that are truncated at a slash.
#[test]
fn object_with_slashes_in_name_is_written_read_and_removed() {
    let platform = Process::start("standin-platform", &[]);
    let name = "segments/e1/1/000000000001";
    let call = |method: &str, path: &str, body: &str| {
        let request = HttpRequest::new(method, &format!("{path}{name}")).body(body);
        let answer = request.send(platform.address()).expect("an answer");
        (answer.status, answer.text())
    };
    assert_eq!(call("PUT", "/blob-put/", "0123456789").0, 200);
    let whole = (200, "0123456789".to_string());
    assert_eq!(call("GET", "/blob-get/", ""), whole);
    assert_eq!(call("DELETE", "/blob-drop/", "").0, 200);
    assert_eq!(call("GET", "/blob-get/", "").0, 404);
}

/// Guards against a VM list that is served without its delay, and a weight store that does not
/// enforce its rate limit.
#[test]
fn vm_list_is_delayed_and_weight_reads_are_rate_limited() {
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
