//! The load reports of the engines.

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

/// Load requests started in one interval. With more engines than this, each is asked less often, so
/// that the control traffic of an entry stays bounded.
const MAX_POLLS_PER_INTERVAL: usize = 64;

/// Starts the load requests that are due.
pub(super) fn poll_engines<P: PlacementPolicy, Q: QueuePolicy>(
    state: &SharedState<P, Q>,
    client: &EngineClient,
) {
    let mut borrowed = state.borrow_mut();
    borrowed.engines.refresh(Instant::now());
    let configured: Vec<EngineIndex> = borrowed.engines.configured().collect();
    let count = configured.len().min(MAX_POLLS_PER_INTERVAL);
    for offset in 0..count {
        let index = configured[(borrowed.poll_cursor + offset) % configured.len()];
        if borrowed.engines.get(index).has_pending_poll {
            continue;
        }
        borrowed.engines.set_pending_poll(index, true);
        let backend_server_id = borrowed.engines.get(index).backend_server_id.clone();
        let address = borrowed.engines.get(index).address;
        let state = Rc::downgrade(state);
        let client = client.clone();
        monoio::spawn(async move {
            let load = client.load(address).await;
            if let Some(state) = state.upgrade() {
                handle_load_response(&state, &backend_server_id, address, load);
            }
        });
    }
    borrowed.poll_cursor = borrowed.poll_cursor.wrapping_add(count) % configured.len().max(1);
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
            // The engine is up, although its report is of no use.
            Err(error @ (EngineError::Refused(..) | EngineError::Protocol(_))) => {
                log::warn!("no load report of `{backend_server_id}`: {error}");
            }
            Err(error) => {
                log::debug!("no load report of `{backend_server_id}`: {error}");
                engines.record_missed_report(index, now);
            }
        }
    }
    dispatch_all(state);
}
