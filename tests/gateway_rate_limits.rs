//! Backend servers that state in their answers how many requests a second they take.

#[path = "support/gateway.rs"]
mod gateway;

use std::thread;
use std::time::{Duration, Instant};

use gateway::{Turn, WAIT_TIMEOUT, caller_request, new_request_id};
use sapphireford_standin::harness::{
    Answer, BackendServer, GatewayProcess, GatewaySite, ProxyMode, wait_until,
};
use serde_json::json;
use yare::parameterized;

const LIMIT_PER_S: f64 = 4.0;
/// The window and the bound of the platform's rule.
const WINDOW: Duration = Duration::from_secs(4);
const MOST_IN_A_WINDOW: usize = (1.5 * LIMIT_PER_S * 4.0 + 5.0) as usize;
/// Requests of which some exceed two limits of half a request a second.
const REQUESTS_BEYOND_LIMITS: usize = 5;
/// Refusals that a caller gets at most if it comes back when it was told to.
const MAX_REFUSALS: usize = 4;
/// Time in which a change of a limit reaches all gateways.
const SPREAD_TIME: Duration = Duration::from_secs(3);

fn runs_at(server: &BackendServer) -> usize {
    let stats = server.process.stats();
    stats["runs"].as_array().map_or(0, Vec::len)
}

fn ping(gateway: &GatewayProcess) -> Answer {
    let request = caller_request("GET", "/ping/a", &new_request_id());
    request.send(gateway.caller_address()).expect("an answer")
}

fn run_turn(gateway: &GatewayProcess) {
    let id = new_request_id();
    let turn = Turn {
        id: &id,
        program: &id,
        ..Turn::default()
    };
    if let Ok(mut stream) = turn.open(gateway) {
        // Only the choice of the server is checked.
        let _ = stream.remaining_events();
    }
}

/// Sends requests through all gateways in turn, about fifty a second, and returns how many of them
/// `server` ran.
fn load_for(
    time: Duration,
    gateways: &[GatewayProcess],
    server: &BackendServer,
    send: impl Fn(&GatewayProcess),
) -> usize {
    let before = runs_at(server);
    let start = Instant::now();
    for gateway in gateways.iter().cycle() {
        if start.elapsed() >= time {
            break;
        }
        send(gateway);
        thread::sleep(Duration::from_millis(5));
    }
    runs_at(server) - before
}

/// Guards against a server that gets more requests than it said it takes, from all gateways
/// together, and against a limit that is not used.
#[parameterized(plain_service = { true }, engine = { false })]
fn a_server_gets_no_more_than_its_limit_from_all_gateways(is_plain: bool) {
    let site = GatewaySite::start(3);
    let send = |gateway: &GatewayProcess| match is_plain {
        true => drop(ping(gateway)),
        false => run_turn(gateway),
    };
    let limited = match is_plain {
        true => &site.plain_servers[0],
        false => &site.engines[0],
    };
    limited
        .process
        .control(&json!({ "limit_per_s": LIMIT_PER_S }));
    load_for(SPREAD_TIME, &site.gateways, limited, send);
    let runs = load_for(WINDOW, &site.gateways, limited, send);
    assert!(runs <= MOST_IN_A_WINDOW, "{runs} runs");
    let allowed = LIMIT_PER_S * WINDOW.as_secs_f64();
    assert!(runs as f64 >= 0.5 * allowed, "{runs} runs");
}

/// Guards against requests that a peer serves for a gateway without a path to servers, and does not
/// count.
#[test]
fn a_server_gets_no_more_than_its_limit_with_requests_that_peers_relay() {
    let site = GatewaySite::start_with_own_paths(&["d1"; 3]);
    let send = |gateway: &GatewayProcess| drop(ping(gateway));
    let limited = &site.plain_servers[0];
    limited
        .process
        .control(&json!({ "limit_per_s": LIMIT_PER_S }));
    site.gateways[0].set_server_paths(ProxyMode::Partition);
    load_for(SPREAD_TIME, &site.gateways, limited, send);
    let runs = load_for(WINDOW, &site.gateways, limited, send);
    assert!(runs <= MOST_IN_A_WINDOW, "{runs} runs");
    let allowed = LIMIT_PER_S * WINDOW.as_secs_f64();
    assert!(runs as f64 >= 0.5 * allowed, "{runs} runs");
}

/// Guards against a limit that stays after the server has ended it.
#[test]
fn a_server_that_ends_its_limit_is_used_as_before() {
    let site = GatewaySite::start(2);
    let limited = &site.plain_servers[0];
    limited
        .process
        .control(&json!({ "limit_per_s": LIMIT_PER_S }));
    load_for(SPREAD_TIME, &site.gateways, limited, |gateway| {
        ping(gateway);
    });
    limited.process.control(&json!({}));
    load_for(SPREAD_TIME, &site.gateways, limited, |gateway| {
        ping(gateway);
    });
    let runs = load_for(WINDOW, &site.gateways, limited, |gateway| {
        ping(gateway);
    });
    assert!(runs > 2 * MOST_IN_A_WINDOW, "{runs} runs");
}

/// Guards against a request that waits or is sent in spite of the limits: it is refused at once and
/// told when to come back, and it is served then.
#[test]
fn a_request_beyond_all_limits_is_refused_at_once_with_the_time_to_come_back() {
    let site = GatewaySite::start(2);
    for server in &site.plain_servers {
        server.process.control(&json!({ "limit_per_s": 0.5 }));
    }
    let gateway = &site.gateways[0];
    load_for(
        SPREAD_TIME,
        &site.gateways,
        &site.plain_servers[0],
        |gateway| {
            ping(gateway);
        },
    );
    let refused = (0..REQUESTS_BEYOND_LIMITS)
        .map(|_| ping(gateway))
        .find(|answer| answer.status == 503);
    let mut answer = refused.expect("a request beyond the limits");
    let mut refusals = 0;
    while answer.status == 503 {
        refusals += 1;
        assert!(refusals <= MAX_REFUSALS, "the limit is not used");
        let delay: f64 = answer
            .header("retry-after")
            .and_then(|delay| delay.parse().ok())
            .expect("a delay");
        assert!((0.01..=4.0).contains(&delay), "{delay}");
        assert!(answer.text().contains("rate_limited"));
        thread::sleep(Duration::from_secs_f64(delay));
        let sent = Instant::now();
        answer = ping(gateway);
        assert!(sent.elapsed() < Duration::from_millis(500));
    }
    assert_eq!(answer.status, 200);
}

/// Guards against a gateway that does not know a limit after its restart, and against a limit that
/// is not used, or exceeded, once the gateway that counted for all is gone.
#[test]
fn a_limit_outlives_the_restarts_of_gateways() {
    let mut site = GatewaySite::start(3);
    site.plain_servers[0]
        .process
        .control(&json!({ "limit_per_s": LIMIT_PER_S }));
    load_for(
        SPREAD_TIME,
        &site.gateways,
        &site.plain_servers[0],
        |gateway| {
            ping(gateway);
        },
    );
    for index in 0..site.gateways.len() {
        site.gateways[index].kill();
        thread::sleep(Duration::from_millis(200));
        site.gateways[index].start();
        let gateway = &site.gateways[index];
        assert!(wait_until(WAIT_TIMEOUT, || gateway.is_ready()));
        let limited = &site.plain_servers[0];
        let runs = load_for(WINDOW, &site.gateways, limited, |gateway| {
            ping(gateway);
        });
        assert!(
            runs <= MOST_IN_A_WINDOW,
            "{runs} runs after restart {index}"
        );
        assert!(runs > 0, "the limit is not used after restart {index}");
    }
}
