//! Polls the engines for load reports.
//!
//! Each round starts requests for a bounded number of engines, from where the previous round ended.
//! A response updates the state of its engine and dispatches the waiting calls.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use super::SharedState;
use super::engines::EngineIndex;
use super::placement::PlacementPolicy;
use super::queue::QueuePolicy;
use super::waiting::dispatch_all;
use crate::connection::engine::{EngineClient, EngineError, EngineLoad};
use crate::ids::BackendServerId;

/// Limit of the load requests started in one interval, which bounds the control traffic of an
/// entry. With more engines than this, each one is polled less often.
const MAX_POLLS_PER_INTERVAL: usize = 64;

/// Starts the load requests of one interval. Engines with a pending request are skipped.
pub(super) fn poll_engines<P: PlacementPolicy, Q: QueuePolicy>(
    state: &SharedState<P, Q>,
    client: &EngineClient,
) {
    let mut borrowed = state.borrow_mut();
    borrowed.engines.refresh(Instant::now());
    let indexes: Vec<EngineIndex> = borrowed.engines.indexes().collect();
    let count = indexes.len().min(MAX_POLLS_PER_INTERVAL);
    for offset in 0..count {
        let index = indexes[(borrowed.poll_cursor + offset) % indexes.len()];
        if borrowed.engines.get(index).has_pending_poll {
            continue;
        }
        borrowed.engines.set_pending_poll(index, true);
        let backend_server_id = borrowed.engines.get(index).backend_server_id.clone();
        let address = borrowed.engines.get(index).address;
        let state = Rc::downgrade(state);
        let client = client.clone();
        monoio::spawn(async move {
            let load = client.fetch_load(address).await;
            if let Some(state) = state.upgrade() {
                handle_load_response(&state, &backend_server_id, address, load);
            }
        });
    }
    borrowed.poll_cursor = borrowed.poll_cursor.wrapping_add(count) % indexes.len().max(1);
}

fn handle_load_response<P: PlacementPolicy, Q: QueuePolicy>(
    state: &SharedState<P, Q>,
    backend_server_id: &BackendServerId,
    address: SocketAddr,
    load: std::result::Result<EngineLoad, EngineError>,
) {
    {
        let engines = &mut state.borrow_mut().engines;
        let now = Instant::now();
        let Some(index) = engines.find(backend_server_id) else {
            return;
        };
        if engines.get(index).address != address {
            return;
        }
        engines.set_pending_poll(index, false);
        match load {
            Ok(report) => engines.record_report(index, report, now),
            // The engine is reachable, so this does not count as a missed report.
            Err(error @ (EngineError::Refused(..) | EngineError::Protocol(_))) => {
                log::warn!("engine `{backend_server_id}` sent no usable load report: {error}");
            }
            Err(error) => {
                log::debug!("load request to engine `{backend_server_id}` failed: {error}");
                engines.record_missed_report(index, now);
            }
        }
    }
    dispatch_all(state);
}
