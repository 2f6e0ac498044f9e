//! The gossip by which the gateways of a failure domain tell each other that they are live.
//!
//! In each round, a gateway sends the counters that it knows to a few others and gets theirs. A
//! counter that advances reaches a domain of 60 gateways within four rounds, whichever gateways
//! fail meanwhile. [`Directory`] holds the counters.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{join_all, select};
use serde::{Deserialize, Serialize};

use super::directory::{Directory, GatewayRow, PARTITION, TABLE};
use super::peers;
use super::servers::Servers;
use super::store::Store;
use super::writer::StoreWriter;
use crate::connection::http_client::HttpClient;
use crate::process::teams::config_age::ConfigAge;

/// Interval between two rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest interval between two rounds, if there is something new to tell.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a request, so that a round ends before the next one begins.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest response accepted from a peer: some hundred gateways with their rows.
const RESPONSE_LIMIT_BYTES: usize = 256 << 10;
/// Timeout of the writes and reads of registrations.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a failed write or read of registrations is repeated.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after the first read of all registrations before the second one, which sees the gateways
/// that started at the same time.
const SECOND_READ_DELAY: Duration = Duration::from_secs(3);
/// Interval between later reads of all registrations. New gateways of the own failure domain are
/// learned from the gossip; the reads only find those of other domains.
const READ_INTERVAL: Duration = Duration::from_secs(30);

/// The counter of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Identifies one start of the gateway.
    pub start_hash: u64,
    /// Increases with each round of the gateway.
    pub counter: u64,
    /// Whether the gateway is shutting down.
    pub is_leaving: bool,
}

/// The counters that a gateway knows, sent to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipRequest {
    /// Id of the sender.
    pub gateway_id: String,
    /// The registration of the sender, which the peer may not have read yet.
    pub row: GatewayRow,
    /// Counters of the gateways in the failure domain of the sender, its own included.
    pub heartbeats: Vec<Heartbeat>,
}

/// The response to a [`GossipRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipResponse {
    /// Ids and registrations of live gateways whose counters the request did not have.
    pub rows: Vec<(String, GatewayRow)>,
    /// Counters of the gateways in the failure domain of the peer. Its own one is the first.
    pub heartbeats: Vec<Heartbeat>,
}

/// Runs the rounds of the gossip until the process ends.
///
/// The messages also carry what the gateways have heard from the backend servers, and the responses
/// how old the configuration of the peer is.
pub async fn run_rounds(
    directory: Rc<Directory>,
    servers: Rc<Servers>,
    config_age: Rc<ConfigAge>,
    http: HttpClient,
    store: Store,
) {
    let timer = store.timer().clone();
    loop {
        let started = Instant::now();
        let seen_changes = directory.leaving().changes();
        let crash_reports = &servers.crash_reports;
        let seen_crashes = crash_reports.changed().changes();
        let seen_path = directory.connection_changed().changes();
        let was_leaving = directory.is_leaving();
        if let Some(success) = store.last_success() {
            directory.record_contact(success);
        }
        let tells_other_domains = crash_reports.has_fresh(started);
        let peers = directory.start_round(&mut rand::rng(), tells_other_domains, started);
        send_to_all(&directory, &servers, &config_age, &http, peers).await;
        // A gateway that starts to leave publishes it at once, without waiting for the next round,
        // and so does one that has seen a crash, or lost or regained its path to the servers.
        let leaving = pin!(directory.leaving().changed_since(seen_changes));
        let crashed = pin!(crash_reports.changed().changed_since(seen_crashes));
        let path = pin!(directory.connection_changed().changed_since(seen_path));
        let changed = select(select(leaving, crashed), path);
        let _ = timer.timeout_at(started + ROUND_INTERVAL, changed).await;
        timer.sleep_until(started + MIN_ROUND_INTERVAL).await;
        if directory.is_leaving() && !was_leaving {
            let all = directory.live_peers(Instant::now());
            send_to_all(&directory, &servers, &config_age, &http, all).await;
        }
    }
}

async fn send_to_all(
    directory: &Directory,
    servers: &Servers,
    config_age: &ConfigAge,
    http: &HttpClient,
    peers: Vec<SocketAddr>,
) {
    let request = directory.gossip_request(Instant::now());
    let mut notices = servers.gossip_notices(Instant::now());
    notices.unconnected_gateways = directory.unconnected_gateways(Instant::now());
    let exchanges = peers.into_iter().map(|peer| {
        let request = peers::gossip_request(&request, &notices);
        async move {
            let sent_at = config_age.now();
            let response = http
                .fetch(peer, request, REQUEST_TIMEOUT, RESPONSE_LIMIT_BYTES)
                .await;
            match response.map(|response| peers::decode_gossip(&response)) {
                Ok(Some((response, notices, config_proof))) => {
                    if let Some(proof) = config_proof {
                        config_age.learn_from_peer(proof, sent_at);
                    }
                    servers.merge_notices(&notices, Instant::now());
                    directory.learn_unconnected(&notices.unconnected_gateways, Instant::now());
                    directory.apply_gossip(response, Instant::now());
                }
                Ok(None) => log::warn!(peer:% = peer; "gossip response skipped, it is not valid"),
                Err(error) => {
                    log::debug!(peer:% = peer; "peer did not respond to the gossip: {error}")
                }
            }
        }
    });
    join_all(exchanges).await;
}

/// Registers this gateway in the store, and reads the registrations of the others at times.
pub async fn run_registrations(directory: Rc<Directory>, store: Store, writer: StoreWriter) {
    let timer = store.timer().clone();
    let mut successes = 0;
    loop {
        let seen_changes = directory.leaving().changes();
        let is_registered = register(&directory, &writer).await;
        let is_read = read_registrations(&directory, &store).await;
        let interval = match (is_registered && is_read, successes) {
            (false, _) => STORE_RETRY_DELAY,
            (true, 0) => SECOND_READ_DELAY,
            (true, _) => READ_INTERVAL,
        };
        successes += u32::from(is_registered && is_read);
        for removal in directory.expired_rows(Instant::now()) {
            writer.write_deferred(removal);
        }
        let changed = directory.leaving().changed_since(seen_changes);
        let _ = timer.timeout_at(Instant::now() + interval, changed).await;
    }
}

async fn register(directory: &Directory, writer: &StoreWriter) -> bool {
    let Some(row) = directory.registration() else {
        return false;
    };
    let written = writer.write(row, Instant::now() + STORE_TIMEOUT).await;
    if let Err(error) = &written {
        log::debug!("registration could not be written, retrying: {error}");
    }
    written.is_ok()
}

async fn read_registrations(directory: &Directory, store: &Store) -> bool {
    let deadline = Instant::now() + STORE_TIMEOUT;
    match store.read_all(TABLE, PARTITION, "", deadline).await {
        Ok(page) => {
            directory.apply(&page.rows, Instant::now());
            true
        }
        Err(error) => {
            log::debug!("registrations could not be read, retrying: {error}");
            false
        }
    }
}
