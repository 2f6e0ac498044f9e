//! What a gateway learns from its peers before it serves the first request.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use rand::seq::SliceRandom;

use super::peers;
use super::running::Gateway;

/// Peers that a gateway asks at its start which servers are leaving or have a rate limit, and the
/// timeout of the call. A server may have said so to an earlier start of this gateway only, so a
/// gateway tries to learn it, and starts without it if no peer responds.
const NOTICES_QUERY_PEERS: usize = 3;
const NOTICES_QUERY_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which a gateway that knows the backend servers waits for the other gateways. The store
/// may be unavailable in part; a gateway serves correctly without its peers.
const REGISTRATION_PATIENCE: Duration = Duration::from_secs(2);
/// Interval at which the start checks whether the tables have been read.
const START_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Largest response that is accepted from a peer.
const NOTICES_LIMIT_BYTES: usize = 1 << 20;

/// Waits for the tables that the gateway needs, and asks some peers what they have heard from
/// the servers. The gateway is not ready before.
pub async fn learn_from_peers(gateway: Rc<Gateway>) {
    while !gateway.servers.is_loaded() {
        gateway.timer.sleep(START_POLL_INTERVAL).await;
    }
    let patience_end = Instant::now() + REGISTRATION_PATIENCE;
    while !gateway.directory.is_loaded() && Instant::now() < patience_end {
        gateway.timer.sleep(START_POLL_INTERVAL).await;
    }
    if !gateway.directory.is_loaded() {
        log::warn!("serving without the other gateways: their registrations could not be read");
    }
    let mut peers = gateway.directory.live_peers(Instant::now());
    peers.shuffle(&mut rand::rng());
    peers.truncate(NOTICES_QUERY_PEERS);
    let queries = peers.into_iter().map(|peer| {
        let request = peers::notices_request();
        let http = &gateway.http;
        http.fetch(peer, request, NOTICES_QUERY_TIMEOUT, NOTICES_LIMIT_BYTES)
    });
    for response in join_all(queries).await {
        match response {
            Ok(response) => {
                let notices = peers::decode_notices(&response);
                gateway.servers.merge_notices(&notices, Instant::now());
            }
            Err(error) => {
                log::info!("peer did not say which servers are leaving or limited: {error}")
            }
        }
    }
    gateway.record_peers_asked();
}
