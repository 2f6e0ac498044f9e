//! A stand-in for the platform's store: rows, transactions and the change feed.

use std::collections::BTreeMap;
use std::io::Result;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::json::{Json, quote};
use crate::net::{self, Message};

/// Most rows and bytes of values in the answer to one read.
const PAGE_ROWS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// Time that a call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

/// Table, part and key.
type Name = (String, String, String);

#[derive(Default)]
struct State {
    /// Values in base64, with the version of their last write.
    rows: BTreeMap<Name, (String, u64)>,
    changes: Vec<(u64, Name, Option<String>)>,
    version: u64,
    /// When the table of servers was first read after `watch_server_reads`, and in how many pages.
    first_server_read: Option<Instant>,
    server_pages: usize,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    started: Instant,
}

/// A running store; clones share it.
#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*group.get(index).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= group.len() {
                true => text.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// The base64 of as many bytes as make whole groups, so that it begins the base64 of a longer text.
fn base64_start(text: &str) -> String {
    let whole = text.len() / 3 * 3;
    base64(&text.as_bytes()[..whole])
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
            (b'%', Some(code)) => {
                decoded.push(code);
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

fn encode_row((table, part, key): &Name, value: Option<&String>, version: u64) -> String {
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_string(),
    };
    let (table, part, key) = (quote(table), quote(part), quote(key));
    format!("{{\"table\":{table},\"part\":{part},\"key\":{key},{value},\"rowVersion\":{version}}}")
}

impl Store {
    /// Opens another address, whose reader gets `table` in the place of the table of servers.
    pub fn serve_own_servers(&self, table: &'static str) -> Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let served = self.clone();
        net::serve(listener, move |request, stream| {
            let mut request = request.clone();
            let own = format!("table={table}");
            request.first = request.first.replace("table=servers", &own);
            served.handle(&request, stream)
        });
        Ok(address)
    }

    pub fn start() -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let shared = Shared {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
        };
        let store = Self {
            shared: Arc::new(shared),
            address: listener.local_addr()?,
        };
        let served = store.clone();
        net::serve(listener, move |request, stream| {
            served.handle(request, stream)
        });
        Ok(store)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn commit(&self, state: &mut State, changes: Vec<(Name, Option<String>)>) {
        state.version += 1;
        let version = state.version;
        for (name, value) in changes {
            match &value {
                Some(value) => state.rows.insert(name.clone(), (value.clone(), version)),
                None => state.rows.remove(&name),
            };
            state.changes.push((version, name, value));
        }
        self.shared.changed.notify_all();
    }

    /// Writes a row in the unnamed part, as the operator and the servers do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let name = (table.to_string(), String::new(), key.to_string());
        let value = Some(base64(value.as_bytes()));
        self.commit(&mut self.state(), vec![(name, value)]);
    }

    /// Writes the report of a server. The entry changes only if more than `seq` changes.
    pub fn put_report(&self, id: &str, value: &str) {
        let without_seq = |value: &str| value.split("\"seq\"").next().map(base64_start);
        let name = ("servers".to_string(), String::new(), id.to_string());
        let mut state = self.state();
        let known = state.rows.get(&name).map(|(known, _)| known.clone());
        let is_same = known
            .is_some_and(|known| without_seq(value).is_some_and(|start| known.starts_with(&start)));
        if !is_same {
            let value = Some(base64(value.as_bytes()));
            self.commit(&mut state, vec![(name, value)]);
        }
    }

    /// Removes a row in the unnamed part.
    pub fn remove(&self, table: &str, key: &str) {
        let name = (table.to_string(), String::new(), key.to_string());
        self.commit(&mut self.state(), vec![(name, None)]);
    }

    /// The keys of the rows in a part of a table.
    pub fn keys(&self, table: &str, part: &str) -> Vec<String> {
        let state = self.state();
        let names = state.rows.keys();
        let found = names.filter(|(known, known_part, _)| known == table && known_part == part);
        found.map(|(_, _, key)| key.clone()).collect()
    }

    /// Forgets when the table of servers was read.
    pub fn watch_server_reads(&self) {
        let mut state = self.state();
        state.first_server_read = None;
        state.server_pages = 0;
    }

    /// When the table of servers was first read, and how many pages were answered.
    pub fn server_reads(&self) -> (Option<Instant>, usize) {
        let state = self.state();
        (state.first_server_read, state.server_pages)
    }

    fn tail(&self, state: &State) -> String {
        let now_ms = self.shared.started.elapsed().as_millis();
        format!("\"rowVersion\":{},\"nowMs\":{now_ms}}}", state.version)
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> Result<()> {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let fields = query.split('&').filter_map(|field| field.split_once('='));
        let query: BTreeMap<&str, String> = fields
            .map(|(name, value)| (name, decode_percent(value)))
            .collect();
        let (status, body) = match path {
            "/rows-tx" => {
                thread::sleep(CALL_TIME);
                self.transact(&Json::parse(&request.body).unwrap_or(Json::Null))
            }
            "/rows-get" => {
                thread::sleep(CALL_TIME);
                (200, self.read(&query))
            }
            "/rows-feed" => (200, self.feed(&query)),
            _ => (404, "{}".to_string()),
        };
        net::respond(
            stream,
            status,
            "Content-Type: application/json\r\n",
            body.as_bytes(),
        )
    }

    fn transact(&self, transaction: &Json) -> (u16, String) {
        let name = |row: &Json| {
            let text = |field: &str| row.get(field).text().to_string();
            (text("table"), text("part"), text("key"))
        };
        let mut state = self.state();
        let expected = transaction.get("expected").list();
        let is_met = expected.iter().all(|row| {
            let version = state
                .rows
                .get(&name(row))
                .map_or(0, |(_, version)| *version);
            version == row.get("rowVersion").number()
        });
        if !is_met {
            let rows = expected.iter().filter_map(|row| {
                let name = name(row);
                let (value, version) = state.rows.get(&name)?;
                Some(encode_row(&name, Some(value), *version))
            });
            let rows: Vec<String> = rows.collect();
            return (
                412,
                format!("{{\"rows\":[{}],{}", rows.join(","), self.tail(&state)),
            );
        }
        let writes = transaction.get("writes").list().iter();
        let writes = writes.map(|row| (name(row), Some(row.get("value").text().to_string())));
        let removals = transaction.get("remove").list().iter();
        let changes = writes
            .chain(removals.map(|row| (name(row), None)))
            .collect();
        self.commit(&mut state, changes);
        (200, format!("{{{}", self.tail(&state)))
    }

    fn read(&self, query: &BTreeMap<&str, String>) -> String {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part) = (text("table"), text("part"));
        let limit = query.get("limit").and_then(|limit| limit.parse().ok());
        let limit: usize = limit.unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let mut state = self.state();
        if table == "servers" {
            state.first_server_read.get_or_insert_with(Instant::now);
            state.server_pages += 1;
        }
        let start = (table.clone(), part.clone(), text("from"));
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut has_more = false;
        for (name, (value, version)) in state.rows.range(start..) {
            let is_in_table = name.0 == table && name.1 == part;
            if !is_in_table || query.get("target").is_some_and(|target| name.2 >= *target) {
                break;
            }
            bytes += value.len();
            if rows.len() == limit || bytes > PAGE_BYTES {
                has_more = true;
                break;
            }
            rows.push(encode_row(name, Some(value), *version));
        }
        let tail = self.tail(&state);
        format!(
            "{{\"rows\":[{}],\"hasMore\":{has_more},{tail}",
            rows.join(",")
        )
    }

    fn feed(&self, query: &BTreeMap<&str, String>) -> String {
        let number = |name: &str| {
            query
                .get(name)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0)
        };
        let table = query.get("table").cloned().unwrap_or_default();
        let (after, wait_ms): (u64, u64) = (number("after"), number("waitMs"));
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state();
        loop {
            let new = state
                .changes
                .iter()
                .filter(|(version, name, _)| *version > after && name.0 == table);
            let rows: Vec<String> = new
                .map(|(version, name, value)| encode_row(name, value.as_ref(), *version))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return format!("{{\"rows\":[{}],{}", rows.join(","), self.tail(&state));
            }
            let waited = self.shared.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
        }
    }
}
