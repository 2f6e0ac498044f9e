//! Reports that a backend server crashed while it ran a request, and refuses requests that crash
//! servers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::forward::{RequestForwarder, in_doubt_error};
use crate::error::Error;
use crate::process::gateway::crash_reports::Crash;
use crate::process::gateway::server::Server;

/// Longest wait for the port of a server that may have crashed. A VM that is up answers at once.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(100);

impl RequestForwarder {
    /// Records that the request was running at a server that has crashed, if its connection broke
    /// because of that: a server in service whose port is closed.
    pub async fn report_if_crashed(&self, server: &Rc<Server>) {
        // A gateway that loses all servers at once has not seen crashes. A probe before the failure
        // shows nothing.
        let server_path = &self.gateway.server_path;
        server_path.record_failure();
        if !server_path.check_since_last_failure().await {
            return;
        }
        let servers = &self.gateway.servers;
        if !servers.is_in_service(server) {
            return;
        }
        let http = &self.gateway.http;
        let address = server.address();
        if !server.has_crashed() && !http.is_refused(address, CRASH_PROBE_TIMEOUT).await {
            return;
        }
        server.record_crash();
        let crash = Crash {
            id: server.crash_id(),
            server_address: address,
            started_at: self.attempt_started_at,
            at: Instant::now(),
        };
        servers.crash_reports.record_crash(&self.identity, crash);
    }

    /// Records that a server answered the request completely, so it does not crash servers.
    pub fn record_answered(&self) {
        let crash_reports = &self.gateway.servers.crash_reports;
        crash_reports.record_success(&self.identity, Instant::now());
    }

    /// The error for a request that crashes servers, or is suspected to; `None` if it may be sent.
    pub(super) fn crash_refusal(&self) -> Option<Error> {
        let error = self.gateway.crash_refusal(&self.identity)?;
        match self.attempts.may_have_run {
            true => Some(in_doubt_error(&error.message)),
            false => Some(error),
        }
    }
}
