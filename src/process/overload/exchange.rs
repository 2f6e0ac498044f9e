//! Averages the demands at overloaded services with those of other gateways.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;

use crate::process::gateway::peers;
use crate::process::gateway::running::Gateway;

/// Interval between two exchanges. In a failure domain of 20 gateways, the demands are nearly equal
/// after five exchanges.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a request, so that an exchange ends before the next one begins. Peers answer from
/// memory.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(150);
/// Largest response accepted from a peer: the demands of some services.
const RESPONSE_LIMIT_BYTES: usize = 128 << 10;

/// Exchanges demands with one other gateway at a time until the process ends. Nothing is sent
/// without an overload. Gateways of earlier builds do not know the call and are passed over.
pub async fn run(gateway: Rc<Gateway>) {
    let mut ticks = gateway.timer.subscribe(EXCHANGE_INTERVAL);
    loop {
        ticks.tick().await;
        let told = gateway.overload.shared_demands();
        if told.is_empty() {
            continue;
        }
        let live = gateway.directory.live_peers(Instant::now());
        let Some(peer) = live.choose(&mut rand::rng()) else {
            continue;
        };
        let request = peers::demand_request(&told);
        let sent = gateway
            .http
            .fetch(*peer, request, REQUEST_TIMEOUT, RESPONSE_LIMIT_BYTES);
        let response = sent.await.ok();
        let answer = response.and_then(|response| peers::decode_demands(&response));
        if let Some(answer) = answer {
            gateway.overload.adopt_demands(&told, &answer);
        }
    }
}
