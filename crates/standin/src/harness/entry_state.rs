//! Reads and writes the rows that entries keep in the store of the platform, so that tests can
//! inspect or overwrite them.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::Request;
use sapphireford_platform::store::{
    self, RowCondition, RowKey, RowWrite, StoreAnswer, TransactionAnswer,
};
use serde_json::{Value, json};

use super::{Answer, HttpRequest};

/// Must be the name that `sapphireford::connection::platform` uses.
const TABLE: &str = "entry-state";

fn send(address: SocketAddr, request: Request<Bytes>) -> std::io::Result<Answer> {
    let path = request.uri().to_string();
    let method = request.method().clone();
    let request = HttpRequest::new(method.as_str(), &path).body(request.into_body());
    request.send(address)
}

fn response(answer: &Answer) -> hyper::Response<Bytes> {
    let mut response = hyper::Response::new(Bytes::from(answer.text()));
    *response.status_mut() =
        hyper::StatusCode::from_u16(answer.status).expect("the status code is valid");
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
    // A platform that is shutting down or simulates an outage counts as one without rows.
    let Ok(answer) = send(address, request) else {
        return Vec::new();
    };
    match store::decode_page(&response(&answer)) {
        Ok(StoreAnswer::Done(page)) => page.rows.into_iter().map(row_to_json).collect(),
        _ => Vec::new(),
    }
}

/// Reads the first page of the rows whose key starts with `prefix`. Each row is an object with
/// `key`, `version` and `value`. Empty if the store is unavailable.
pub fn scan(address: SocketAddr, prefix: &str) -> Vec<Value> {
    let request = store::read_range_request(TABLE, "", prefix, None).expect("the request is valid");
    read_rows(address, request)
}

/// Reads a row; null if it does not exist or the store is unavailable.
pub fn read(address: SocketAddr, key: &str) -> Value {
    let request = store::read_row_request(&row_key(key)).expect("the request is valid");
    read_rows(address, request).pop().unwrap_or_default()
}

/// Overwrites a row on the condition that it still has `version`.
///
/// # Panics
///
/// Panics if the row has another version or the store does not answer.
pub fn write(address: SocketAddr, key: &str, version: u64, value: &Value) {
    let condition = RowCondition {
        row: row_key(key),
        version,
    };
    let write = RowWrite {
        row: row_key(key),
        value: Some(value.to_string().into()),
    };
    let request = store::transaction_request(&[condition], &[write]).expect("the request is valid");
    let answer = send(address, request).expect("the store answers");
    let answer = store::decode_transaction(&response(&answer)).expect("the answer is valid");
    assert!(
        matches!(answer, TransactionAnswer::Committed(_)),
        "{answer:?}"
    );
}
