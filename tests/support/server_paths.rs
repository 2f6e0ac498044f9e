//! Cuts gateways off from the backend servers and sends requests of each kind through them.
#![allow(dead_code)]

use std::thread;
use std::time::{Duration, Instant};

use sapphireford_standin::harness::{GatewayProcess, GatewaySite, ProxyMode};

use crate::gateway::{Turn, caller_request, expected_stream_data, new_request_id, recorded_runs};

/// Time after the cut in which a gateway finds out that it has no path and who has one.
pub const DETECTION_TIME: Duration = Duration::from_millis(1_000);
/// More requests at once than a gateway has open connections to a server.
pub const CONCURRENT_REQUESTS: usize = 12;
/// A gateway that started reads the registrations of gateways of other failure domains again.
pub const REGISTRATIONS_READ_AGAIN: Duration = Duration::from_millis(3_500);
/// Limit of a request through a second gateway, far below the time-out of a connect.
pub const SERVED_WITHIN: Duration = Duration::from_millis(300);
/// Time after the end of a cut in which a gateway uses its own path again.
pub const RETURN_TIME: Duration = Duration::from_millis(2_000);

/// How a gateway loses its connections to servers.
#[derive(Clone, Copy)]
pub enum Cut {
    Silent,
    Reset,
    NewRefused,
}

pub fn cut_off(gateway: &GatewayProcess, cut: Cut) {
    match cut {
        Cut::Silent => gateway.set_server_paths(ProxyMode::Partition),
        Cut::NewRefused => gateway.set_server_paths(ProxyMode::Refuse),
        Cut::Reset => {
            gateway.set_server_paths(ProxyMode::Refuse);
            let proxies = gateway.server_proxies.values();
            proxies.for_each(|proxy| proxy.reset_connections());
        }
    }
}

/// Sends requests that make the gateways find out that they have no path. Some of them need new
/// connections, because open ones may live on.
pub fn find_out(gateways: &[&GatewayProcess]) {
    thread::scope(|scope| {
        for gateway in gateways {
            for _ in 0..CONCURRENT_REQUESTS {
                let request = caller_request("GET", "/ping/a", &new_request_id());
                scope.spawn(move || request.send(gateway.caller_address()));
            }
        }
    });
    thread::sleep(DETECTION_TIME);
}

/// Sends one request of each kind, one of which must not run twice; returns the longest time.
pub fn serve_each_kind(site: &GatewaySite, gateway: &GatewayProcess) -> Duration {
    let mut longest = Duration::ZERO;
    for (method, path) in [("GET", "/ping/a"), ("POST", "/book/a")] {
        let id = new_request_id();
        let started = Instant::now();
        let answer = caller_request(method, path, &id).send(gateway.caller_address());
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{path}: {}", answer.text());
        assert_eq!(answer.header("request-id"), Some(id.as_str()));
        longest = longest.max(started.elapsed());
        assert_eq!(recorded_runs(&site.plain_servers, &id).len(), 1);
    }
    for path in ["/quote/a", "/chat/a"] {
        let id = new_request_id();
        let started = Instant::now();
        let turn = Turn {
            path,
            id: &id,
            program: &id,
            ..Turn::default()
        };
        assert_eq!(turn.run(gateway), expected_stream_data(turn.input, 4));
        longest = longest.max(started.elapsed());
        assert_eq!(recorded_runs(&site.engines, &id).len(), 1);
    }
    longest
}

/// Leaves open connections from a gateway to all servers, on which requests are sent after a cut.
pub fn open_connections_to_all_servers(site: &GatewaySite, gateway: &GatewayProcess) {
    thread::scope(|scope| {
        for _ in 0..CONCURRENT_REQUESTS {
            scope.spawn(|| serve_each_kind(site, gateway));
        }
    });
}

/// Starts a site with this many gateways in one failure domain, the first of which is cut off and
/// knows it.
pub fn start_with_cut_off_gateway(gateways: usize) -> GatewaySite {
    let site = GatewaySite::start_with_own_paths(&vec!["d1"; gateways]);
    cut_off(&site.gateways[0], Cut::Silent);
    find_out(&[&site.gateways[0]]);
    site
}

/// A turn that cannot be resumed, with a stream of three seconds.
pub fn long_chat(id: &str) -> Turn<'_> {
    Turn {
        path: "/chat/a",
        id,
        program: id,
        events: 300,
        ..Turn::default()
    }
}
