//! The directory of live gateways, from which lookups of callers are answered and owners are
//! chosen.
//!
//! Each gateway registers in a row of the store, which changes only when the gateway starts or
//! leaves. Which gateways are live, they tell each other: each has a counter that it increments in
//! every round of the [`gossip`](super::gossip), and a gateway whose counter has not advanced for
//! [`LIVE_TIMEOUT`] is no longer returned to callers. So the load of the store does not grow with
//! the square of the number of gateways, and gateways that die during an outage of the store are
//! noticed.
//!
//! The gossip stays within a failure domain, so what a gateway sends and keeps up to date grows
//! with its domain. The gateways of other domains are contacted only while the own domain has too few.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use indexmap::IndexMap;
use sapphireford_platform::store::{Row, RowKey, RowWrite};
use serde::{Deserialize, Serialize};

use super::settings::GatewaySettings;
use super::store::RelayAddresses;
use crate::ids::EntryId;
use crate::process::notify::Notify;
use crate::process::slots::placement::{hash_bytes, rendezvous_weight};
use crate::process::timer::unix_ms;

pub use allowance_owner::AllowanceOwner;
pub use connection::UnconnectedGateway;

mod allowance_owner;
mod config_reader;
mod connection;
mod heartbeats;
mod team_limits;

/// Table of the rows by which gateways register.
pub const TABLE: &str = "gateways";
/// Partition of these rows. Backend servers write to the unnamed one, which the store serializes
/// like any other.
pub const PARTITION: &str = "registrations";
/// A gateway whose counter has not advanced for this time counts as dead. A counter reaches all
/// gateways of a domain of 60 within four rounds of the gossip, so this allows for lost messages.
/// Callers may be sent to a dead gateway for six seconds on sites of any size.
pub const LIVE_TIMEOUT: Duration = Duration::from_millis(3_200);
/// Live gateways that a failure domain needs for its callers and keys to be assigned to them only.
const MIN_SAME_DOMAIN_GATEWAYS: usize = 2;
/// Time between two rounds of the gossip after which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1_600);
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
}

struct KnownGateway {
    row: GatewayRow,
    /// Identifies this start of the gateway in the gossip.
    start_hash: u64,
    /// The highest counter heard of; 0 before the first one.
    counter: u64,
    /// When the counter was last heard to advance, by the local clock.
    last_advanced: Instant,
}

impl KnownGateway {
    fn new(id: &str, row: GatewayRow, now: Instant) -> Self {
        Self {
            start_hash: start_hash(id, row.started_unix_ms),
            row,
            counter: 0,
            last_advanced: now,
        }
    }
}

/// The gateways that this one knows, and its own row.
pub struct Directory {
    own_id: EntryId,
    own: RefCell<GatewayRow>,
    /// Tells two starts in the same millisecond apart, as after the clock was set back.
    start_nonce: u32,
    own_counter: Cell<u64>,
    known: RefCell<IndexMap<EntryId, KnownGateway>>,
    /// Whether the rows of the other gateways have been read, or a peer has told of them.
    is_loaded: Cell<bool>,
    /// Whether the rows of the other gateways have been read. Peers tell of their own failure domain
    /// only.
    are_rows_read: Cell<bool>,
    /// When this gateway last had contact with a peer or the store. Nothing is known of the others
    /// after that, so they do not age.
    last_contact: Cell<Option<Instant>>,
    relays: RelayAddresses,
    leaving: Notify,
    /// Whether this gateway reaches backend servers.
    is_connected: Cell<bool>,
    /// Notified when that changes.
    connection_changed: Notify,
    /// Gateways that reach no backend server, and when they last said so.
    unconnected: RefCell<IndexMap<EntryId, Instant>>,
    /// Peer addresses of gateways that reach servers while this one does not.
    helpers: RefCell<Vec<SocketAddr>>,
    /// When the last round of the gossip began; `None` before the first one.
    last_round: Cell<Option<Instant>>,
    /// When the rounds began, or began again after a pause of the process.
    rounds_since: Cell<Option<Instant>>,
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
        };
        Self {
            own_id: settings.entry_id.clone(),
            own: RefCell::new(own),
            start_nonce: rand::random(),
            own_counter: Cell::new(1),
            known: RefCell::default(),
            is_loaded: Cell::new(false),
            are_rows_read: Cell::new(false),
            last_contact: Cell::new(None),
            relays,
            leaving: Notify::default(),
            is_connected: Cell::new(true),
            connection_changed: Notify::default(),
            unconnected: RefCell::default(),
            helpers: RefCell::default(),
            last_round: Cell::new(None),
            rounds_since: Cell::new(None),
        }
    }

    /// Marks this gateway as leaving and triggers a round of the gossip that publishes it.
    pub fn leave(&self) {
        self.own.borrow_mut().is_leaving = true;
        self.leaving.notify();
    }

    /// Notified when this gateway begins to leave.
    pub fn leaving(&self) -> &Notify {
        &self.leaving
    }

    /// Whether the rows of the other gateways have been read, or a peer has told of them.
    pub fn is_loaded(&self) -> bool {
        self.is_loaded.get()
    }

    /// Whether this gateway is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.own.borrow().is_leaving
    }

    /// The number of gateways that take requests, at least 1. Those of other failure domains are
    /// counted by their rows.
    pub fn live_count(&self) -> u32 {
        let now = Instant::now();
        let own = self.own.borrow();
        let known = self.known.borrow();
        let is_counted = |known: &&KnownGateway| {
            let is_other_domain = known.row.failure_domain != own.failure_domain;
            self.is_live(known, now) || (is_other_domain && !known.row.is_leaving)
        };
        let others = known.values().filter(is_counted).count() as u32;
        others + u32::from(!own.is_leaving).max(u32::from(others == 0))
    }

    /// The addresses for callers in a failure domain: those of the gateways in that domain if
    /// enough are live, which saves traffic between domains, otherwise those of all. Gateways that
    /// reach no backend server are left out. This gateway is included only if `can_serve`, or if no
    /// other live gateway is known.
    pub fn caller_addresses(
        &self,
        failure_domain: &str,
        can_serve: bool,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let known = self.known.borrow();
        let own = self.own.borrow();
        let mut live: Vec<&GatewayRow> = known
            .iter()
            .filter(|(id, known)| self.is_live(known, now) && !self.is_unconnected(id, now))
            .map(|(_, known)| &known.row)
            .collect();
        if live.is_empty() {
            // The gateways of the own failure domain reach no server.
            let helpers = self.helpers.borrow();
            let rows = known.values().map(|known| &known.row);
            live.extend(rows.filter(|row| helpers.contains(&row.peer_address)));
        }
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
        let started_unix_ms = self.own.borrow().started_unix_ms;
        format!("{}-{started_unix_ms}-{:08x}", self.own_id, self.start_nonce)
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

    /// Identifies the start of the live gateway at a peer address, as far as this one has heard;
    /// `None` if it knows no live gateway there.
    pub fn start_at(&self, peer_address: SocketAddr, now: Instant) -> Option<u64> {
        let known = self.known.borrow();
        let mut live = known.values().filter(|known| self.is_live(known, now));
        let at_address = live.find(|known| known.row.peer_address == peer_address);
        at_address.map(|known| known.start_hash)
    }

    /// Learns the registration of a gateway that a peer has named.
    pub fn learn_from_peer(&self, id: &str, row: GatewayRow, now: Instant) {
        self.learn_registration(id, row, Source::Peer, now);
    }

    /// The peer addresses of the other live gateways.
    pub fn live_peers(&self, now: Instant) -> Vec<SocketAddr> {
        let known = self.known.borrow();
        let live = known.values().filter(|known| self.is_live(known, now));
        live.map(|known| known.row.peer_address).collect()
    }

    fn is_live(&self, known: &KnownGateway, now: Instant) -> bool {
        // Counters age only up to the last contact: nothing is known of the time after it.
        let observed_until = self
            .last_contact
            .get()
            .map_or(now, |contact| contact.min(now));
        let unchanged_for = observed_until.saturating_duration_since(known.last_advanced);
        !known.row.is_leaving && unchanged_for < LIVE_TIMEOUT
    }

    /// Records that this gateway had contact with a peer or the store. After a time without any
    /// contact, the other gateways get the time to be heard of again.
    pub fn record_contact(&self, now: Instant) {
        let last_contact = self.last_contact.get();
        if last_contact.is_some_and(|last| last >= now) {
            return;
        }
        self.last_contact.set(Some(now));
        let gap = last_contact.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        if gap >= LIVE_TIMEOUT {
            for known in self.known.borrow_mut().values_mut() {
                known.last_advanced += gap;
            }
        }
    }

    /// Applies the rows of a read of the table.
    pub fn apply(&self, rows: &[Row], now: Instant) {
        self.is_loaded.set(true);
        self.are_rows_read.set(true);
        self.record_contact(now);
        // A row that is missing was removed, unless the gateway is so new that others told of it.
        let is_listed = |id: &EntryId| rows.iter().any(|row| *row.key == **id);
        let mut known = self.known.borrow_mut();
        known.retain(|id, known| self.is_live(known, now) || is_listed(id));
        let known_before = known.len();
        drop(known);
        for row in rows {
            let Some(value) = &row.value else { continue };
            match serde_json::from_slice(value) {
                Ok(decoded) => self.learn_registration(&row.key, decoded, Source::Original, now),
                Err(error) => {
                    log::warn!(gateway = row.key; "gateway row skipped, it could not be decoded: {error}");
                }
            }
        }
        let known = self.known.borrow();
        let added = known.len() - known_before;
        if added > 0 {
            log::info!(added = added, known = known.len(); "gateways added to the directory");
        }
        drop(known);
        self.relays.replace(self.live_peers(now));
    }

    /// The write of the own row.
    pub fn registration(&self) -> Option<RowWrite> {
        match serde_json::to_vec(&*self.own.borrow()) {
            Ok(value) => Some(RowWrite {
                row: row_key(&self.own_id),
                value: Some(Bytes::from(value)),
            }),
            Err(error) => {
                log::error!("registration skipped, own gateway row could not be encoded: {error}");
                None
            }
        }
    }

    /// Removals of the rows of gateways of the own failure domain that stopped longer ago than
    /// `ROW_RETENTION`.
    pub fn expired_rows(&self, now: Instant) -> Vec<RowWrite> {
        let own = self.own.borrow();
        let known = self.known.borrow();
        let expired = known.iter().filter(|(_, known)| {
            let unchanged_for = now.saturating_duration_since(known.last_advanced);
            known.row.failure_domain == own.failure_domain && unchanged_for > ROW_RETENTION
        });
        let removals = expired.map(|(id, _)| RowWrite {
            row: row_key(id),
            value: None,
        });
        removals.collect()
    }
}

/// Where a registration was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// The gateway itself, or the store.
    Original,
    /// A peer that has learned it before. It may be that of an earlier start.
    Peer,
}

fn row_key(id: &str) -> RowKey {
    RowKey {
        table: TABLE,
        partition: PARTITION.to_string(),
        key: id.to_string(),
    }
}

fn start_hash(id: &str, started_unix_ms: u64) -> u64 {
    rendezvous_weight(started_unix_ms, id)
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
