//! The other gateways, and the answers to callers that ask where to connect.
//!
//! Each gateway writes a row with a counter that it raises at every heartbeat. A gateway whose
//! counter stands still for about three heartbeats is not handed out. Only time in which the own reads of
//! the store succeed counts, so that an outage of the store does not make the others look dead.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use indexmap::IndexMap;
use sapphireford_platform::store::{Row, RowKey, RowWrite};
use serde::{Deserialize, Serialize};

use super::settings::GatewaySettings;
use super::store::{RelayAddresses, Store};
use super::writer::StoreWriter;
use crate::ids::EntryId;
use crate::process::notify::Notify;
use crate::process::slots::placement::{hash_bytes, rendezvous_weight};
use crate::process::timer::unix_ms;

const TABLE: &str = "gateways";
/// Shortest and longest pause between two heartbeats, and between two reads of all rows. A dead
/// gateway is handed out for up to five pauses: one until its last heartbeat is read, and four until
/// a read finds the counter too old. Callers may be sent to it for seven seconds at the most.
const HEARTBEAT_INTERVAL_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(1_000), Duration::from_millis(1_200));
/// Pause for each known gateway, which bounds the calls of large sites.
const HEARTBEAT_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(12);
/// A gateway whose counter stands still for this many tenths of the pause counts as dead.
const TTL_INTERVAL_TENTHS: u32 = 32;
/// Gateways of one failure domain that must be live for its callers to be sent to them only.
const MIN_SAME_DOMAIN_GATEWAYS: usize = 2;
/// Longest time for a read of all rows.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Rows of gateways that stopped or died this long ago are removed.
const ROW_RETENTION: Duration = Duration::from_secs(600);

/// What a gateway says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayRow {
    /// Where callers send requests.
    pub caller_address: SocketAddr,
    /// Where the other gateways send requests.
    pub peer_address: SocketAddr,
    /// Where it runs.
    pub failure_domain: String,
    /// Whether it stops and takes no new callers.
    pub is_leaving: bool,
    /// Tells two starts of one gateway apart.
    pub started_unix_ms: u64,
    /// Raised with every heartbeat.
    pub heartbeat: u64,
}

struct KnownGateway {
    row: GatewayRow,
    /// When the row last changed, on the own clock, moved forward by failed reads.
    last_changed: Instant,
}

/// The gateways as this one sees them.
pub struct Directory {
    own_id: EntryId,
    own: RefCell<GatewayRow>,
    known: RefCell<IndexMap<EntryId, KnownGateway>>,
    last_read: Cell<Option<Instant>>,
    relays: RelayAddresses,
    leaving: Notify,
}

impl Directory {
    /// Makes a directory that knows only this gateway.
    pub fn new(settings: &GatewaySettings, relays: RelayAddresses) -> Self {
        let own = GatewayRow {
            caller_address: settings.caller_address,
            peer_address: settings.peer_address,
            failure_domain: settings.failure_domain.to_string(),
            is_leaving: false,
            started_unix_ms: unix_ms(),
            heartbeat: 0,
        };
        Self {
            own_id: settings.entry_id.clone(),
            own: RefCell::new(own),
            known: RefCell::default(),
            last_read: Cell::new(None),
            relays,
            leaving: Notify::default(),
        }
    }

    /// Marks this gateway as leaving.
    pub fn leave(&self) {
        self.own.borrow_mut().is_leaving = true;
        self.leaving.notify();
    }

    /// Whether this gateway is leaving.
    pub fn is_leaving(&self) -> bool {
        self.own.borrow().is_leaving
    }

    /// The key_hash of gateways that take requests, at least 1.
    pub fn live_count(&self) -> u32 {
        let now = Instant::now();
        let known = self.known.borrow();
        let others = known.values().filter(|known| self.is_live(known, now));
        let others = others.count() as u32;
        others + u32::from(!self.is_leaving()).max(u32::from(others == 0))
    }

    /// The addresses for callers in a failure domain: gateways of that domain if enough are live,
    /// which saves bytes between domains, otherwise all. This gateway is among them only if
    /// `can_serve`; if no other one is known, it is all that there is.
    pub fn caller_addresses(
        &self,
        failure_domain: &str,
        can_serve: bool,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let known = self.known.borrow();
        let own = self.own.borrow();
        let mut live: Vec<&GatewayRow> = known
            .values()
            .filter(|known| self.is_live(known, now))
            .map(|known| &known.row)
            .collect();
        if (can_serve && !own.is_leaving) || live.is_empty() {
            live.push(&own);
        }
        let preferred = prefer_same_domain(live, |row| row.failure_domain == failure_domain);
        preferred
            .into_iter()
            .map(|row| row.caller_address)
            .collect()
    }

    /// A text that no other start of any gateway has.
    pub fn writer_id(&self) -> String {
        format!("{}-{}", self.own_id, self.own.borrow().started_unix_ms)
    }

    /// The peer that looks after the object named by `key`, by rendezvous hashing over the live
    /// gateways of the own failure domain, or of all if there are few; `None` if it is this gateway.
    pub fn owner_peer(&self, key: &[u8]) -> Option<SocketAddr> {
        let now = Instant::now();
        let key_hash = hash_bytes(key);
        let known = self.known.borrow();
        let own = self.own.borrow();
        let live = known.iter().filter(|(_, known)| self.is_live(known, now));
        let mut live: Vec<(&str, &GatewayRow)> =
            live.map(|(id, known)| (&**id, &known.row)).collect();
        if !own.is_leaving {
            live.push((&*self.own_id, &*own));
        }
        let preferred =
            prefer_same_domain(live, |(_, row)| row.failure_domain == own.failure_domain);
        let best = preferred
            .into_iter()
            .max_by_key(|(id, _)| rendezvous_weight(key_hash, id));
        let (id, row) = best?;
        (id != &*self.own_id).then_some(row.peer_address)
    }

    /// Pause between two heartbeats.
    pub fn heartbeat_interval(&self) -> Duration {
        let known = self.known.borrow().len() as u32;
        let (shortest, longest) = HEARTBEAT_INTERVAL_BOUNDS;
        (HEARTBEAT_INTERVAL_PER_GATEWAY * known).clamp(shortest, longest)
    }

    fn is_live(&self, known: &KnownGateway, now: Instant) -> bool {
        // Without a recent read, nothing is known of the present.
        let reference = self.last_read.get().unwrap_or(now);
        let unchanged_for = reference.saturating_duration_since(known.last_changed);
        let ttl = self.heartbeat_interval() * TTL_INTERVAL_TENTHS / 10;
        !known.row.is_leaving && unchanged_for < ttl
    }

    /// Takes over the rows of a successful read.
    pub fn apply(&self, rows: &[Row], now: Instant) {
        let interval = self.heartbeat_interval();
        let mut known = self.known.borrow_mut();
        // After failed reads, the others get a new chance to show a heartbeat.
        let last_read = self.last_read.replace(Some(now));
        let gap = last_read.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let unobserved = gap.saturating_sub(2 * interval);
        for known in known.values_mut() {
            known.last_changed += unobserved;
        }
        known.retain(|id, _| rows.iter().any(|row| *row.key == **id));
        for row in rows.iter().filter(|row| *row.key != *self.own_id) {
            let Some(value) = &row.value else { continue };
            let decoded: GatewayRow = match serde_json::from_slice(value) {
                Ok(decoded) => decoded,
                Err(error) => {
                    log::warn!(gateway = row.key; "gateway row skipped: {error}");
                    continue;
                }
            };
            match known.get_mut(row.key.as_str()) {
                Some(known) if known.row == decoded => {}
                Some(known) => {
                    if known.row.is_leaving != decoded.is_leaving {
                        log::info!(gateway = row.key, is_leaving = decoded.is_leaving;
                            "gateway changed");
                    }
                    known.row = decoded;
                    known.last_changed = now;
                }
                None => {
                    log::info!(gateway = row.key; "gateway added");
                    let added = KnownGateway {
                        row: decoded,
                        last_changed: now,
                    };
                    known.insert(row.key.as_str().into(), added);
                }
            }
        }
        drop(known);
        self.update_relays(now);
    }

    fn update_relays(&self, now: Instant) {
        let known = self.known.borrow();
        let live = known.values().filter(|known| self.is_live(known, now));
        let addresses = live.map(|known| known.row.peer_address);
        self.relays.replace(addresses.collect());
    }

    fn next_heartbeat(&self) -> Option<RowWrite> {
        let mut own = self.own.borrow_mut();
        own.heartbeat += 1;
        let value = match serde_json::to_vec(&*own) {
            Ok(value) => value,
            Err(error) => {
                log::error!("the gateway row could not be encoded: {error}");
                return None;
            }
        };
        Some(RowWrite {
            row: self.row_key(&self.own_id),
            value: Some(Bytes::from(value)),
        })
    }

    fn row_key(&self, id: &str) -> RowKey {
        RowKey {
            table: TABLE,
            partition: String::new(),
            key: id.to_string(),
        }
    }

    /// Rows of gateways that have long stopped.
    fn expired_rows(&self) -> Vec<RowWrite> {
        let now_ms = unix_ms();
        let retention_ms = ROW_RETENTION.as_millis() as u64;
        let known = self.known.borrow();
        let expired = known.iter().filter(|(_, known)| {
            let is_unchanged = known.last_changed.elapsed() > ROW_RETENTION;
            is_unchanged && now_ms.saturating_sub(known.row.started_unix_ms) > retention_ms
        });
        expired
            .map(|(id, _)| RowWrite {
                row: self.row_key(id),
                value: None,
            })
            .collect()
    }
}

/// Those for which `is_same_domain` holds if there are enough, otherwise all.
fn prefer_same_domain<T>(all: Vec<T>, is_same_domain: impl Fn(&T) -> bool) -> Vec<T> {
    let preferred = all
        .iter()
        .filter(|candidate| is_same_domain(candidate))
        .count();
    if preferred < MIN_SAME_DOMAIN_GATEWAYS {
        return all;
    }
    all.into_iter()
        .filter(|candidate| is_same_domain(candidate))
        .collect()
}

/// Writes the own row and reads all rows until the process ends.
pub async fn run_heartbeats(directory: Rc<Directory>, store: Store, writer: StoreWriter) {
    let timer = store.timer().clone();
    loop {
        let started = Instant::now();
        let seen_changes = directory.leaving.changes();
        let interval = directory.heartbeat_interval();
        if let Some(heartbeat) = directory.next_heartbeat() {
            let deadline = started + interval;
            if let Err(error) = writer.write(heartbeat, deadline).await {
                log::debug!("heartbeat failed: {error}");
            }
        }
        match store
            .read_all(TABLE, "", "", Instant::now() + READ_TIMEOUT)
            .await
        {
            Ok(page) => {
                directory.apply(&page.rows, Instant::now());
                for removal in directory.expired_rows() {
                    writer.write_later(removal);
                }
            }
            Err(error) => log::debug!("gateways could not be read: {error}"),
        }
        let next_round = started + interval;
        // A gateway that leaves tells the others at once.
        let changed = directory.leaving.changed_since(seen_changes);
        let _ = timer.timeout_at(next_round, changed).await;
    }
}
