//! The directory of live gateways, from which lookups of callers are answered and owners are
//! chosen.
//!
//! Each gateway writes a row with a counter that it increments at every heartbeat, and reads the
//! rows of the others. A gateway whose counter has not changed for about three heartbeat intervals
//! is no longer returned to callers. Only time in which the own reads of the store succeed counts,
//! so that an outage of the store does not make the other gateways appear dead.

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
/// Shortest and longest interval between two heartbeats, and between two reads of all rows. A dead
/// gateway is returned to callers for up to five intervals: one until its last heartbeat is read,
/// and four until a read finds the counter too old. Callers may be sent to it for at most seven
/// seconds.
const HEARTBEAT_INTERVAL_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(1_000), Duration::from_millis(1_200));
/// Part of the interval for each known gateway, which bounds the store calls of large sites.
const HEARTBEAT_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(12);
/// A gateway whose counter has not changed for this many tenths of the interval counts as dead.
const TTL_INTERVAL_TENTHS: u32 = 32;
/// Live gateways that a failure domain needs for its callers and keys to be assigned to them only.
const MIN_SAME_DOMAIN_GATEWAYS: usize = 2;
/// Timeout of a read of all rows.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Rows of gateways that stopped or died this long ago are removed.
const ROW_RETENTION: Duration = Duration::from_secs(600);

/// The row by which a gateway registers in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayRow {
    /// Address to which callers send requests.
    pub caller_address: SocketAddr,
    /// Address to which the other gateways send requests.
    pub peer_address: SocketAddr,
    /// Failure domain in which the gateway runs.
    pub failure_domain: String,
    /// Whether the gateway is shutting down and takes no new callers.
    pub is_leaving: bool,
    /// When the gateway started, in Unix milliseconds. Distinguishes two starts under one id.
    pub started_unix_ms: u64,
    /// Counter that is incremented at every heartbeat.
    pub heartbeat: u64,
}

struct KnownGateway {
    row: GatewayRow,
    /// When the row was last seen to change, by the local clock. Moved forward by the time in which
    /// reads failed.
    last_changed: Instant,
}

/// The gateways that this one knows, and its own row.
pub struct Directory {
    own_id: EntryId,
    own: RefCell<GatewayRow>,
    known: RefCell<IndexMap<EntryId, KnownGateway>>,
    last_read: Cell<Option<Instant>>,
    relays: RelayAddresses,
    leaving: Notify,
}

impl Directory {
    /// Creates a directory that knows only this gateway. `relays` is updated with the peer
    /// addresses of the live gateways.
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

    /// Marks this gateway as leaving and triggers a heartbeat that publishes it.
    pub fn leave(&self) {
        self.own.borrow_mut().is_leaving = true;
        self.leaving.notify();
    }

    /// Whether the rows of the other gateways have been read.
    pub fn is_loaded(&self) -> bool {
        self.last_read.get().is_some()
    }

    /// Whether this gateway is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.own.borrow().is_leaving
    }

    /// The number of gateways that take requests, at least 1.
    pub fn live_count(&self) -> u32 {
        let now = Instant::now();
        let known = self.known.borrow();
        let others = known.values().filter(|known| self.is_live(known, now));
        let others = others.count() as u32;
        others + u32::from(!self.is_leaving()).max(u32::from(others == 0))
    }

    /// The addresses for callers in a failure domain: those of the gateways in that domain if
    /// enough are live, which saves traffic between domains, otherwise those of all. This gateway
    /// is included only if `can_serve`, or if no other live gateway is known.
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

    /// An id that is unique to this start of this gateway.
    pub fn writer_id(&self) -> String {
        format!("{}-{}", self.own_id, self.own.borrow().started_unix_ms)
    }

    /// The address of the peer that owns `key`, by rendezvous hashing over the live gateways of the
    /// own failure domain, or over all if there are few. `None` if this gateway is the owner.
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

    /// Interval between two heartbeats, which grows with the number of known gateways.
    pub fn heartbeat_interval(&self) -> Duration {
        let known = self.known.borrow().len() as u32;
        let (shortest, longest) = HEARTBEAT_INTERVAL_BOUNDS;
        (HEARTBEAT_INTERVAL_PER_GATEWAY * known).clamp(shortest, longest)
    }

    fn is_live(&self, known: &KnownGateway, now: Instant) -> bool {
        // Rows age only up to the last successful read: nothing is known of the time after it.
        let observed_until = self.last_read.get().unwrap_or(now);
        let unchanged_for = observed_until.saturating_duration_since(known.last_changed);
        let ttl = self.heartbeat_interval() * TTL_INTERVAL_TENTHS / 10;
        !known.row.is_leaving && unchanged_for < ttl
    }

    /// Applies the rows of a successful read.
    pub fn apply(&self, rows: &[Row], now: Instant) {
        let interval = self.heartbeat_interval();
        let mut known = self.known.borrow_mut();
        // Time in which reads failed does not count, so that the others can show a new heartbeat.
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
                    log::warn!(gateway = row.key; "gateway row skipped, it could not be decoded: {error}");
                    continue;
                }
            };
            match known.get_mut(row.key.as_str()) {
                Some(known) if known.row == decoded => {}
                Some(known) => {
                    if known.row.is_leaving != decoded.is_leaving {
                        log::info!(gateway = row.key, is_leaving = decoded.is_leaving; "gateway changed its leaving state");
                    }
                    known.row = decoded;
                    known.last_changed = now;
                }
                None => {
                    log::info!(gateway = row.key; "gateway added to the directory");
                    let added = KnownGateway {
                        row: decoded,
                        last_changed: now,
                    };
                    known.insert(row.key.as_str().into(), added);
                }
            }
        }
        drop(known);
        self.relays.replace(self.live_peers(now));
    }

    /// The peer addresses of the other live gateways.
    pub fn live_peers(&self, now: Instant) -> Vec<SocketAddr> {
        let known = self.known.borrow();
        let live = known.values().filter(|known| self.is_live(known, now));
        live.map(|known| known.row.peer_address).collect()
    }

    fn next_heartbeat(&self) -> Option<RowWrite> {
        let mut own = self.own.borrow_mut();
        own.heartbeat += 1;
        let value = match serde_json::to_vec(&*own) {
            Ok(value) => value,
            Err(error) => {
                log::error!("heartbeat skipped, own gateway row could not be encoded: {error}");
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

    /// Removals of the rows of gateways that stopped longer ago than `ROW_RETENTION`.
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

/// Returns only the items for which `is_same_domain` holds if there are enough, otherwise all.
fn prefer_same_domain<T>(all: Vec<T>, is_same_domain: impl Fn(&T) -> bool) -> Vec<T> {
    let same_domain_count = all
        .iter()
        .filter(|candidate| is_same_domain(candidate))
        .count();
    if same_domain_count < MIN_SAME_DOMAIN_GATEWAYS {
        return all;
    }
    all.into_iter()
        .filter(|candidate| is_same_domain(candidate))
        .collect()
}

/// Writes the own row and reads all rows at every heartbeat interval until the process ends.
pub async fn run_heartbeats(directory: Rc<Directory>, store: Store, writer: StoreWriter) {
    let timer = store.timer().clone();
    loop {
        let started = Instant::now();
        let seen_changes = directory.leaving.changes();
        let interval = directory.heartbeat_interval();
        if let Some(heartbeat) = directory.next_heartbeat() {
            let deadline = started + interval;
            if let Err(error) = writer.write(heartbeat, deadline).await {
                log::debug!("heartbeat could not be written: {error}");
            }
        }
        match store
            .read_all(TABLE, "", "", Instant::now() + READ_TIMEOUT)
            .await
        {
            Ok(page) => {
                directory.apply(&page.rows, Instant::now());
                for removal in directory.expired_rows() {
                    writer.write_deferred(removal);
                }
            }
            Err(error) => log::debug!("gateway rows could not be read: {error}"),
        }
        let next_round = started + interval;
        // A gateway that starts to leave publishes it at once, without waiting for the interval.
        let changed = directory.leaving.changed_since(seen_changes);
        let _ = timer.timeout_at(next_round, changed).await;
    }
}
