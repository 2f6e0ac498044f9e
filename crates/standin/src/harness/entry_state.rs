//! The rows of entries in the platform's store, for tests that look at them or change them.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Request;
use sapphireford_platform::store::{
    self, RowCondition, RowKey, RowWrite, StoreAnswer, TransactionAnswer,
};
use serde_json::{Value, json};

use super::{Answer, HttpRequest};

/// The table of the rows, as `sapphireford::connection::platform` names it.
const TABLE: &str = "entry-state";

fn send(address: SocketAddr, request: Request<Bytes>) -> std::io::Result<Answer> {
    let path = request.uri().to_string();
    let method = request.method().clone();
    let request = HttpRequest::new(method.as_str(), &path).body(request.into_body());
    request.send(address)
}

fn response(answer: &Answer) -> hyper::Response<Bytes> {
    let mut response = hyper::Response::new(Bytes::from(answer.text()));
    *response.status_mut() = hyper::StatusCode::from_u16(answer.status).expect("a status");
    response
}

fn row_key(key: &str) -> RowKey {
    RowKey {
        table: TABLE,
        partition: String::new(),
        key: key.to_string(),
    }
}

fn row_to_json(row: store::Row) -> Value {
    let value: Value = match &row.value {
        Some(value) => serde_json::from_slice(value).expect("rows of entries are JSON"),
        None => Value::Null,
    };
    json!({ "key": row.key, "version": row.version, "value": value })
}

fn read_rows(address: SocketAddr, request: Request<Bytes>) -> Vec<Value> {
    // A platform that is being stopped or injects an outage shows no rows.
    let Ok(answer) = send(address, request) else {
        return Vec::new();
    };
    match store::decode_page(&response(&answer)) {
        Ok(StoreAnswer::Done(page)) => page.rows.into_iter().map(row_to_json).collect(),
        _ => Vec::new(),
    }
}

/// The rows whose key starts with `prefix`, each with `key`, `version` and `value`. At most a page.
pub fn scan(address: SocketAddr, prefix: &str) -> Vec<Value> {
    let request = store::read_request(TABLE, "", prefix, None).expect("a request");
    read_rows(address, request)
}

/// One row; null if it does not exist.
pub fn read(address: SocketAddr, key: &str) -> Value {
    let request = store::read_one_request(&row_key(key)).expect("a request");
    read_rows(address, request).pop().unwrap_or_default()
}

/// Writes a row that still has `version`.
///
/// # Panics
///
/// Panics if the row has changed.
pub fn write(address: SocketAddr, key: &str, version: u64, value: &Value) {
    let condition = RowCondition {
        row: row_key(key),
        version,
    };
    let write = RowWrite {
        row: row_key(key),
        value: Some(value.to_string().into()),
    };
    let request = store::transaction_request(&[condition], &[write]).expect("a request");
    let answer = send(address, request).expect("an answer");
    let answer = store::decode_transaction(&response(&answer)).expect("an answer");
    assert!(matches!(answer, TransactionAnswer::Done(_)), "{answer:?}");
}
