//! Test harness that runs a site of separate processes on loopback.
//!
//! [`Site`] and [`GatewaySite`] start the servers of the project together with stand-ins for the
//! platform, engines and tools. Tests drive them only from outside: by signals ([`Process`]),
//! connection faults ([`Proxy`]) and requests ([`Caller`], [`HttpRequest`]). All clients are
//! blocking, so that tests need no async runtime.

mod caller;
pub mod entry_state;
mod gateway_site;
mod http;
mod process;
mod proxy;
mod site;

use std::time::{Duration, Instant};

pub use caller::{Call, Caller, Reply, check_history};
pub use gateway_site::{
    BackendServer, ENGINE_SERVICE, GatewayProcess, GatewaySite, HOST, KEY_WITHDRAWAL_LIMIT,
    PLAIN_SERVICE, TOKENS_PER_EVENT, default_routes, route,
};
pub use http::{Answer, EventStream, HttpRequest};
pub use process::Process;
pub use proxy::{Proxy, ProxyMode};
pub use site::{OPERATOR_KEY, Site, SiteClient, SiteOptions, TEAM_ONE_KEY, TEAM_TWO_KEY};

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Polls `condition` until it returns true. Returns false if it does not within `timeout`; the
/// condition is checked at least once.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + timeout;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
