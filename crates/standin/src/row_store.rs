//! The metadata store of the users' platform: rows, transactions and the change feed.
//!
//! A test acts as the operator and as the registration of backend servers through `POST /control`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use getopts::Options;
use hyper::{Method, Request, Response, StatusCode};
use indexmap::IndexMap;
use sapphireford::connection::body::Body;
use sapphireford::connection::http_server::Handler;
use sapphireford::process::notify::Notify;
use sapphireford::process::timer::TimerService;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::answer;
use crate::arguments::{self, Arguments};

/// The options of the binary.
pub fn options() -> Options {
    Options::new()
}

/// The store.
pub struct RowStore {
    state: Rc<State>,
}

struct State {
    timer: TimerService,
    rows: RefCell<BTreeMap<RowName, StoredRow>>,
    changes: RefCell<Vec<Change>>,
    version: Cell<u64>,
    /// Changes up to this version are no longer known.
    forgotten: Cell<u64>,
    changed: Notify,
    faults: RefCell<Faults>,
    calls: RefCell<IndexMap<String, u64>>,
}

type RowName = (String, String, String);

struct StoredRow {
    value: String,
    version: u64,
}

struct Change {
    version: u64,
    name: RowName,
    /// `None` for a row that was removed.
    value: Option<String>,
}

/// How the store fails; each field that a control call names replaces the one before.
#[derive(Default)]
struct Faults {
    mode: Mode,
    delay: Duration,
    /// One of this many writes is done without an answer; 0 loses none.
    lose_each: u64,
}

#[derive(Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Mode {
    #[default]
    Up,
    /// Answers 503 and does nothing.
    Busy,
    /// Does not answer and does nothing.
    Silent,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Control {
    mode: Option<Mode>,
    delay_ms: Option<u64>,
    lose_each: Option<u64>,
    /// Forgets the change history.
    #[serde(default)]
    compact: bool,
    /// Writes a row, of any table.
    put: Option<ControlRow>,
    /// Removes a row, of any table.
    remove: Option<ControlRow>,
}

#[derive(Deserialize)]
struct ControlRow {
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

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Transaction {
    #[serde(default)]
    expected: Vec<Condition>,
    #[serde(default)]
    writes: Vec<RowChange>,
    #[serde(default)]
    remove: Vec<RowChange>,
    #[serde(default)]
    cross_shard: bool,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct RowAnswer {
    table: String,
    part: String,
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    value: Option<String>,
    row_version: u64,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    deleted: bool,
}

/// Rows in one answer.
const PAGE_ROWS: usize = 500;

impl RowStore {
    /// Makes an empty store.
    pub fn new(_arguments: &Arguments, timer: TimerService) -> arguments::Result<Self> {
        let state = State {
            timer,
            rows: RefCell::default(),
            changes: RefCell::default(),
            version: Cell::new(0),
            forgotten: Cell::new(0),
            changed: Notify::default(),
            faults: RefCell::default(),
            calls: RefCell::default(),
        };
        Ok(Self {
            state: Rc::new(state),
        })
    }
}

impl Handler for RowStore {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        let state = &self.state;
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/control") => match answer::decode(request.body()) {
                Ok(control) => {
                    state.control(control);
                    answer::ok(&json!({}))
                }
                Err(invalid) => invalid.response(),
            },
            (&Method::GET, "/stats") => answer::ok(&state.stats()),
            // A task of its own: a call takes effect also when its caller is gone.
            _ => monoio::spawn(serve(state.clone(), request)).await,
        }
    }
}

async fn serve(state: Rc<State>, request: Request<Bytes>) -> Response<Body> {
    let path = request.uri().path().to_string();
    let query = parse_query(request.uri().query().unwrap_or_default());
    state.count_call(&path, query.get("table"));
    let (mode, delay) = {
        let faults = state.faults.borrow();
        (faults.mode, faults.delay)
    };
    match mode {
        Mode::Up => {}
        Mode::Busy => return answer::refused(StatusCode::SERVICE_UNAVAILABLE, "busy"),
        Mode::Silent => return answer::hang().await,
    }
    state.timer.sleep(delay).await;
    match path.as_str() {
        "/rows-tx" => match answer::decode::<Transaction>(request.body()) {
            Ok(transaction) => {
                let response = state.transact(transaction);
                if state.loses_answer() {
                    return answer::hang().await;
                }
                response
            }
            Err(invalid) => invalid.response(),
        },
        "/rows-get" => state.get(&query),
        "/rows-feed" => state.feed(&query).await,
        _ => answer::no_such_path(),
    }
}

impl State {
    fn control(&self, control: Control) {
        let mut faults = self.faults.borrow_mut();
        faults.mode = control.mode.unwrap_or(faults.mode);
        if let Some(delay_ms) = control.delay_ms {
            faults.delay = Duration::from_millis(delay_ms);
        }
        faults.lose_each = control.lose_each.unwrap_or(faults.lose_each);
        drop(faults);
        let named = |row: &ControlRow| (row.table.clone(), String::new(), row.key.clone());
        if let Some(row) = &control.put {
            let text = match &row.value {
                Value::String(text) => text.clone(),
                other => other.to_string(),
            };
            self.write(vec![(named(row), Some(encode_base64(text.as_bytes())))]);
        }
        if let Some(row) = &control.remove {
            self.write(vec![(named(row), None)]);
        }
        if control.compact {
            self.forgotten.set(self.version.get());
            self.changes.borrow_mut().clear();
            self.changed.notify();
        }
    }

    /// Counts a call under its path, and a read under its path and table.
    fn count_call(&self, path: &str, table: Option<&String>) {
        let name = match table {
            Some(table) => format!("{path} {table}"),
            None => path.to_string(),
        };
        *self.calls.borrow_mut().entry(name).or_default() += 1;
    }

    fn stats(&self) -> Value {
        let rows = self.rows.borrow();
        let mut tables: IndexMap<&str, usize> = IndexMap::new();
        for (table, _, _) in rows.keys() {
            *tables.entry(table).or_default() += 1;
        }
        json!({ "calls": &*self.calls.borrow(), "tables": tables })
    }

    fn loses_answer(&self) -> bool {
        let each = self.faults.borrow().lose_each;
        each > 0 && self.version.get().is_multiple_of(each)
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
            history.push(Change {
                version,
                name,
                value,
            });
        }
        self.changed.notify();
        version
    }

    fn transact(&self, transaction: Transaction) -> Response<Body> {
        let changes = || transaction.writes.iter().chain(&transaction.remove);
        if changes().any(|change| change.table == "op" || change.table == "servers") {
            return answer::refused(StatusCode::FORBIDDEN, "the table is not the system's");
        }
        let mut partitions: Vec<&str> = changes().map(|change| change.part.as_str()).collect();
        partitions.sort_unstable();
        partitions.dedup();
        if partitions.len() > 1 && !transaction.cross_shard {
            return answer::refused(StatusCode::BAD_REQUEST, "several partitions");
        }
        let is_met = |condition: &Condition| {
            let name = (
                condition.table.clone(),
                condition.part.clone(),
                condition.key.clone(),
            );
            let rows = self.rows.borrow();
            rows.get(&name).map_or(0, |row| row.version) == condition.version
        };
        if !transaction.expected.iter().all(is_met) {
            return answer::refused(StatusCode::PRECONDITION_FAILED, "a row has changed");
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
        answer::ok(&json!({ "rowVersion": version, "nowMs": 0 }))
    }

    fn get(&self, query: &IndexMap<String, String>) -> Response<Body> {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (text("table"), text("part"), text("from"));
        let target = query.get("target");
        let limit = query.get("limit").and_then(|limit| limit.parse().ok());
        let limit = limit.unwrap_or(PAGE_ROWS);
        let rows = self.rows.borrow();
        let start = (table.clone(), part.clone(), from);
        let in_range = rows
            .range(start..)
            .take_while(|((row_table, row_part, key), _)| {
                let is_same = *row_table == table && *row_part == part;
                is_same && target.is_none_or(|target| key < target)
            });
        let mut found: Vec<RowAnswer> = in_range
            .take(limit + 1)
            .map(|((table, part, key), row)| RowAnswer {
                table: table.clone(),
                part: part.clone(),
                key: key.clone(),
                value: Some(row.value.clone()),
                row_version: row.version,
                deleted: false,
            })
            .collect();
        let has_more = found.len() > limit;
        found.truncate(limit);
        answer::ok(&json!({
            "rows": found, "hasMore": has_more, "rowVersion": self.version.get(), "nowMs": 0,
        }))
    }

    async fn feed(&self, query: &IndexMap<String, String>) -> Response<Body> {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let table = query.get("table").cloned().unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
        let is_news = || {
            let changes = self.changes.borrow();
            let mut new = changes.iter().filter(|change| change.version > after);
            new.any(|change| change.name.0 == table) || after < self.forgotten.get()
        };
        // Without news, the answer is empty at the end of the wait.
        let _ = self.timer.timeout(wait, self.changed.until(is_news)).await;
        if after < self.forgotten.get() {
            return answer::refused(StatusCode::GONE, "the history is gone");
        }
        let changes = self.changes.borrow();
        let new = changes
            .iter()
            .filter(|change| change.version > after && change.name.0 == table);
        let rows: Vec<RowAnswer> = new
            .map(|change| RowAnswer {
                table: change.name.0.clone(),
                part: change.name.1.clone(),
                key: change.name.2.clone(),
                value: change.value.clone(),
                row_version: change.version,
                deleted: change.value.is_none(),
            })
            .collect();
        answer::ok(&json!({ "rows": rows, "rowVersion": self.version.get(), "nowMs": 0 }))
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    use base64::Engine;
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

fn parse_query(query: &str) -> IndexMap<String, String> {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_string(), decode_percent(value)))
        .collect()
}

fn decode_percent(text: &str) -> String {
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
