//! A stand-in of the platform's store: rows, transactions and the feed of changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json;

type Name = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Name, (String, u64)>,
    /// All changes, in order; `None` for a removal.
    changes: Vec<(u64, Name, Option<String>)>,
    version: u64,
}

struct Shared {
    rows: Mutex<Rows>,
    changed: Condvar,
    started: Instant,
    /// Time that a call takes, in milliseconds.
    call_ms: AtomicU64,
}

/// The store; clones share their rows.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
}

/// The address of the store for one node.
pub struct Door {
    pub address: SocketAddr,
    /// The status with which the store refuses the calls of this node; 0 if it serves them.
    refusal: Arc<AtomicU64>,
}

impl Door {
    pub fn refuse(&self, status: u64) {
        self.refusal.store(status, Ordering::SeqCst);
    }
}

impl Store {
    pub fn new(call_ms: u64) -> Self {
        let shared = Shared {
            rows: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            call_ms: AtomicU64::new(call_ms),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    pub fn set_call_ms(&self, call_ms: u64) {
        self.shared.call_ms.store(call_ms, Ordering::SeqCst);
    }

    /// Opens an address for one node.
    pub fn open_door(&self) -> Door {
        let refusal = Arc::new(AtomicU64::new(0));
        let (store, refused) = (self.clone(), refusal.clone());
        let address = http::serve("127.0.0.1:0", move |request, _| {
            let status = refused.load(Ordering::SeqCst) as u16;
            if status != 0 {
                return Answer::Full(status, Vec::new(), Vec::new());
            }
            store.handle(&request)
        });
        Door { address, refusal }
    }

    /// Writes a row of the operator or of a server; `None` removes it.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let name = (table.to_string(), String::new(), key.to_string());
        let value = value.map(|value| encode_base64(value.as_bytes()));
        self.commit(vec![(name, value)]);
    }

    fn commit(&self, changes: Vec<(Name, Option<String>)>) -> u64 {
        let mut rows = self.shared.rows.lock().expect("no thread has panicked");
        rows.version += 1;
        let version = rows.version;
        for (name, value) in changes {
            match &value {
                Some(value) => {
                    rows.rows.insert(name.clone(), (value.clone(), version));
                }
                None => {
                    rows.rows.remove(&name);
                }
            }
            rows.changes.push((version, name, value));
        }
        self.shared.changed.notify_all();
        version
    }

    fn now_ms(&self) -> u128 {
        1_000_000 + self.shared.started.elapsed().as_millis()
    }

    fn answer(&self, status: u16, rows: &str, version: u64) -> Answer {
        let now_ms = self.now_ms();
        let body = format!(
            "{{\"rows\":[{rows}],\"hasMore\":false,\"rowVersion\":{version},\"nowMs\":{now_ms}}}"
        );
        let headers = vec![("content-type".to_string(), "application/json".to_string())];
        Answer::Full(status, headers, body.into_bytes())
    }

    fn handle(&self, request: &Request) -> Answer {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let parameters: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_string(), decode_percent(value)))
            .collect();
        let text = |name: &str| parameters.get(name).cloned().unwrap_or_default();
        let call_ms = self.shared.call_ms.load(Ordering::SeqCst);
        thread::sleep(Duration::from_millis(call_ms));
        match path {
            "/rows-get" => self.get(
                &text("table"),
                &text("part"),
                &text("from"),
                parameters.get("target"),
            ),
            "/rows-feed" => {
                let after = text("after").parse().unwrap_or(0);
                let wait_ms = text("waitMs").parse().unwrap_or(0);
                self.feed(&text("table"), after, Duration::from_millis(wait_ms))
            }
            "/rows-tx" => self.transact(&request.body),
            _ => Answer::Full(404, Vec::new(), Vec::new()),
        }
    }

    fn get(&self, table: &str, part: &str, from: &str, target: Option<&String>) -> Answer {
        let rows = self.shared.rows.lock().expect("no thread has panicked");
        let start = (table.to_string(), part.to_string(), from.to_string());
        let found = rows
            .rows
            .range(start..)
            .take_while(|((row_table, row_part, key), _)| {
                row_table == table && row_part == part && target.is_none_or(|target| key < target)
            });
        let found: Vec<String> = found
            .map(|(name, (value, version))| encode_row(name, Some(value), *version))
            .collect();
        self.answer(200, &found.join(","), rows.version)
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> Answer {
        let deadline = Instant::now() + wait;
        let mut rows = self.shared.rows.lock().expect("no thread has panicked");
        loop {
            let new: Vec<String> = rows
                .changes
                .iter()
                .filter(|(version, name, _)| *version > after && name.0 == table)
                .map(|(version, name, value)| encode_row(name, value.as_ref(), *version))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                return self.answer(200, &new.join(","), rows.version);
            }
            let waited = self.shared.changed.wait_timeout(rows, left);
            rows = waited.expect("no thread has panicked").0;
        }
    }

    fn transact(&self, body: &[u8]) -> Answer {
        let Some(call) = json::parse(body) else {
            return Answer::Full(400, Vec::new(), Vec::new());
        };
        let name = |row: &json::Json| {
            let (table, part, key) = (row.get("table"), row.get("part"), row.get("key"));
            (table.text(), part.text(), key.text())
        };
        {
            let rows = self.shared.rows.lock().expect("no thread has panicked");
            let mut holds = true;
            let mut current = Vec::new();
            for condition in call.get("expected").list() {
                let name = name(condition);
                let row = rows.rows.get(&name);
                let version = row.map_or(0, |(_, version)| *version);
                holds &= version == condition.get("rowVersion").number() as u64;
                current
                    .extend(row.map(|(value, version)| encode_row(&name, Some(value), *version)));
            }
            if !holds {
                return self.answer(412, &current.join(","), rows.version);
            }
        }
        let writes = call.get("writes").list().iter();
        let writes = writes.map(|row| (name(row), Some(row.get("value").text())));
        let removals = call
            .get("remove")
            .list()
            .iter()
            .map(|row| (name(row), None));
        let version = self.commit(writes.chain(removals).collect());
        self.answer(200, "", version)
    }
}

fn encode_row(name: &Name, value: Option<&String>, version: u64) -> String {
    let (table, part, key) = name;
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_string(),
    };
    format!(
        "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{value},\"rowVersion\":{version}}}"
    )
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for position in 0..4 {
            let is_padding = position > chunk.len();
            let digit = DIGITS[(word >> (18 - 6 * position)) as usize & 63];
            text.push(if is_padding { '=' } else { char::from(digit) });
        }
    }
    text
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
