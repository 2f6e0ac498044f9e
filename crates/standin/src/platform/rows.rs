//! The row store of the platform: transactions, range reads and the change feed.
//!
//! A version counter of the whole store advances with each write. A version is never reused, so
//! that a stale caller cannot meet a condition after a row was removed and written again.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hyper::{Response, StatusCode};
use indexmap::IndexMap;
use sapphireford::connection::body::Body;
use sapphireford::connection::http_server::json_response;
use sapphireford::process::notify::Notify;
use sapphireford::process::timer::TimerService;
use sapphireford_platform::store::MAX_TRANSACTION_ENTRIES;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::response;

/// Table, partition and key.
type RowName = (String, String, String);

struct StoredRow {
    /// Encoded in base64.
    value: String,
    version: u64,
}

struct Change {
    version: u64,
    name: RowName,
    /// `None` if the row was removed.
    value: Option<String>,
}

/// The rows of all tables and the recent changes.
#[derive(Default)]
pub struct Rows {
    /// Sorted, because range reads return rows in key order.
    rows: RefCell<BTreeMap<RowName, StoredRow>>,
    changes: RefCell<VecDeque<Change>>,
    version: Cell<u64>,
    /// Changes up to this version have been discarded from the history.
    compacted_version: Cell<u64>,
    changed: Notify,
}

/// A row that a test writes or removes through `POST /control`, in any table.
#[derive(Debug, Deserialize)]
pub struct ControlRow {
    table: String,
    key: String,
    #[serde(default)]
    value: Value,
}

#[derive(Deserialize)]
struct Condition {
    table: String,
    part: String,
    key: String,
    #[serde(rename = "rowVersion")]
    version: u64,
}

#[derive(Deserialize)]
struct RowChange {
    table: String,
    part: String,
    key: String,
    value: Option<String>,
}

/// Body of `POST /rows-tx`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Transaction {
    #[serde(default)]
    expected: Vec<Condition>,
    #[serde(default)]
    writes: Vec<RowChange>,
    #[serde(default)]
    remove: Vec<RowChange>,
    #[serde(default)]
    cross_shard: bool,
}

impl Transaction {
    /// Returns the key of the first row that the transaction changes, or an empty string.
    pub fn first_key(&self) -> &str {
        let mut changes = self.writes.iter().chain(&self.remove);
        changes.next().map_or("", |change| &change.key)
    }
}

/// Outcome of a transaction with the response to send.
pub enum TransactionOutcome {
    /// The transaction took effect.
    Committed(Response<Body>),
    /// A condition did not hold.
    Conflict(Response<Body>),
    /// The transaction violates a rule of the store.
    Invalid(Response<Body>),
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct RowResponse {
    table: String,
    part: String,
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    row_version: u64,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    deleted: bool,
}

impl RowResponse {
    fn new(name: &RowName, value: Option<&String>, version: u64) -> Self {
        let (table, part, key) = name.clone();
        Self {
            table,
            part,
            key,
            value: value.cloned(),
            row_version: version,
            deleted: value.is_none(),
        }
    }
}

/// Page size of a range read without a limit.
const DEFAULT_PAGE_ROWS: usize = 500;
/// Changes retained for the feed.
const MAX_HISTORY_CHANGES: usize = 10_000;

impl Rows {
    /// Returns the number of rows in all tables.
    pub fn len(&self) -> usize {
        self.rows.borrow().len()
    }

    /// Returns the number of rows in each table.
    pub fn by_table(&self) -> IndexMap<String, usize> {
        let mut tables = IndexMap::new();
        for (table, _, _) in self.rows.borrow().keys() {
            *tables.entry(table.clone()).or_default() += 1;
        }
        tables
    }

    /// Writes a row without the restrictions of a transaction, as the operator or the registration
    /// of backend servers does.
    pub fn put(&self, row: &ControlRow) {
        let text = match &row.value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        let name = (row.table.clone(), String::new(), row.key.clone());
        self.write(vec![(name, Some(STANDARD.encode(text)))]);
    }

    /// Removes a row without the restrictions of a transaction, as the operator or the registration
    /// of backend servers does.
    pub fn remove(&self, row: &ControlRow) {
        let name = (row.table.clone(), String::new(), row.key.clone());
        self.write(vec![(name, None)]);
    }

    /// Discards the change history.
    pub fn compact(&self) {
        self.compacted_version.set(self.version.get());
        self.changes.borrow_mut().clear();
        self.changed.notify();
    }

    /// Returns the version of the last write.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    fn write(&self, changes: Vec<(RowName, Option<String>)>) -> u64 {
        let version = self.version.get() + 1;
        self.version.set(version);
        let mut rows = self.rows.borrow_mut();
        let mut history = self.changes.borrow_mut();
        for (name, value) in changes {
            match &value {
                Some(value) => {
                    let value = value.clone();
                    rows.insert(name.clone(), StoredRow { value, version });
                }
                None => {
                    rows.remove(&name);
                }
            }
            history.push_back(Change {
                version,
                name,
                value,
            });
        }
        while history.len() > MAX_HISTORY_CHANGES
            && let Some(oldest) = history.pop_front()
        {
            self.compacted_version.set(oldest.version);
        }
        self.changed.notify();
        version
    }

    /// Executes a transaction: checks its conditions and applies all its changes or none.
    pub fn transact(&self, transaction: Transaction) -> TransactionOutcome {
        let changes = || transaction.writes.iter().chain(&transaction.remove);
        let invalid =
            |status, message| TransactionOutcome::Invalid(response::error(status, message));
        if changes().any(|change| change.table == "op" || change.table == "servers") {
            return invalid(
                StatusCode::FORBIDDEN,
                "the table is read-only for transactions",
            );
        }
        if transaction.expected.len() + changes().count() > MAX_TRANSACTION_ENTRIES {
            return invalid(
                StatusCode::BAD_REQUEST,
                "too many entries in the transaction",
            );
        }
        let condition_parts = transaction.expected.iter().map(|row| row.part.as_str());
        let mut partitions: Vec<&str> = changes()
            .map(|change| change.part.as_str())
            .chain(condition_parts)
            .collect();
        partitions.sort_unstable();
        partitions.dedup();
        if partitions.len() > 1 && !transaction.cross_shard {
            return invalid(
                StatusCode::BAD_REQUEST,
                "the transaction spans several partitions without `crossShard`",
            );
        }
        if let Some(response) = self.conflict_response(&transaction.expected) {
            return TransactionOutcome::Conflict(response);
        }
        let writes = transaction.writes.into_iter().map(|change| {
            let name = (change.table, change.part, change.key);
            (name, Some(change.value.unwrap_or_default()))
        });
        let removals = transaction.remove.into_iter().map(|change| {
            let name = (change.table, change.part, change.key);
            (name, None)
        });
        let version = self.write(writes.chain(removals).collect());
        TransactionOutcome::Committed(response::ok(
            &json!({ "rowVersion": version, "nowMs": now_ms() }),
        ))
    }

    fn conflict_response(&self, conditions: &[Condition]) -> Option<Response<Body>> {
        let rows = self.rows.borrow();
        let mut is_met = true;
        let mut found = Vec::new();
        for condition in conditions {
            let name = (
                condition.table.clone(),
                condition.part.clone(),
                condition.key.clone(),
            );
            let row = rows.get(&name);
            is_met &= row.map_or(0, |row| row.version) == condition.version;
            found.extend(row.map(|row| RowResponse::new(&name, Some(&row.value), row.version)));
        }
        let body = json!({ "rows": found, "rowVersion": self.version.get(), "nowMs": now_ms() });
        (!is_met).then(|| json_response(StatusCode::PRECONDITION_FAILED, &body))
    }

    /// Returns a response with a range of rows.
    pub fn get(&self, query: &IndexMap<String, String>) -> Response<Body> {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (text("table"), text("part"), text("from"));
        let target = query.get("target");
        let limit = query.get("limit").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(DEFAULT_PAGE_ROWS);
        let rows = self.rows.borrow();
        let start = (table.clone(), part.clone(), from);
        let in_range = rows
            .range(start..)
            .take_while(|((row_table, row_part, key), _)| {
                let is_same = *row_table == table && *row_part == part;
                is_same && target.is_none_or(|target| key < target)
            });
        let mut found: Vec<RowResponse> = in_range
            .take(limit + 1)
            .map(|(name, row)| RowResponse::new(name, Some(&row.value), row.version))
            .collect();
        let has_more = found.len() > limit;
        found.truncate(limit);
        response::ok(
            &json!({ "rows": found, "hasMore": has_more, "rowVersion": self.version.get(), "nowMs": now_ms() }),
        )
    }

    /// Returns a response with the changes of a table after a version; waits up to `waitMs` for
    /// one. Status 410 if the history no longer reaches back to that version.
    pub async fn feed(
        &self,
        query: &IndexMap<String, String>,
        timer: &TimerService,
    ) -> Response<Body> {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let table = query.get("table").cloned().unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        let has_changes = || {
            let changes = self.changes.borrow();
            let mut new = changes.iter().filter(|change| change.version > after);
            new.any(|change| change.name.0 == table) || after < self.compacted_version.get()
        };
        // On a timeout, the list of changes in the response is empty.
        let _ = timer.timeout(wait, self.changed.until(has_changes)).await;
        if after < self.compacted_version.get() {
            return response::error(StatusCode::GONE, "the change history has been discarded");
        }
        let changes = self.changes.borrow();
        let new = changes
            .iter()
            .filter(|change| change.version > after && change.name.0 == table);
        let rows: Vec<RowResponse> = new
            .map(|change| RowResponse::new(&change.name, change.value.as_ref(), change.version))
            .collect();
        response::ok(&json!({ "rows": rows, "rowVersion": self.version.get(), "nowMs": now_ms() }))
    }
}

/// The steady clock of the store, in milliseconds.
fn now_ms() -> u64 {
    static STARTED: OnceLock<Instant> = OnceLock::new();
    let started = STARTED.get_or_init(Instant::now);
    // It does not begin at 0, as after a restart of the store.
    1_000_000 + started.elapsed().as_millis() as u64
}

/// Parses the parameters of a query string and decodes their values.
pub fn parse_query(query: &str) -> IndexMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_string(), decode_percent(value)))
        .collect()
}

/// Decodes the percent escapes of a URI component. Invalid escapes are copied unchanged.
pub fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        let code = tail
            .get(..2)
            .and_then(|code| std::str::from_utf8(code).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match (first, code) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            _ => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
