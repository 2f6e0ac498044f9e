//! Limits of teams that several gateway processes keep together.

#[path = "support/gateway.rs"]
mod gateway;
#[path = "support/server_paths.rs"]
mod server_paths;

use std::thread;
use std::time::{Duration, Instant};

use gateway::{WAIT_TIMEOUT, caller_request, new_request_id};
use sapphireford_standin::harness::{
    Answer, GatewayProcess, GatewaySite, HttpRequest, ProxyMode, default_routes, wait_until,
};
use serde_json::json;
use server_paths::{CONCURRENT_REQUESTS, Cut, DETECTION_TIME, cut_off};

const RATE_PER_S: f64 = 10.0;
const BURST: f64 = 5.0;
const WINDOW: Duration = Duration::from_secs(5);
const MOST_IN_A_WINDOW: usize = ((RATE_PER_S * 5.0 + BURST) * 1.1 + 20.0) as usize;

fn start_site(gateways: usize) -> GatewaySite {
    configure(GatewaySite::start(gateways))
}

fn configure(mut site: GatewaySite) -> GatewaySite {
    let team = |name: &str, rate: f64| json!({ "name": name, "apiKeys": [format!("key-{name}")], "ratePerS": rate, "burst": BURST });
    let tenants = json!([
        team("limited", RATE_PER_S),
        team("other", RATE_PER_S),
        team("free", 0.0)
    ]);
    site.configure_with(default_routes(), json!({ "tenants": tenants }));
    let is_applied = |gateway: &GatewayProcess| {
        let request = caller_request("GET", "/ping/a", &new_request_id());
        let answer = request.send(gateway.caller_address());
        answer.is_ok_and(|answer| answer.status == 401)
    };
    assert!(wait_until(WAIT_TIMEOUT, || site
        .gateways
        .iter()
        .all(is_applied)));
    site
}

fn ping(gateway: &GatewayProcess, team: &str) -> std::io::Result<Answer> {
    let request = caller_request("GET", "/ping/a", &new_request_id());
    let key = format!("Bearer key-{team}");
    let request = request.header("authorization", &key);
    request
        .timeout(Duration::from_secs(3))
        .send(gateway.caller_address())
}

fn metric(gateway: &GatewayProcess, name: &str) -> f64 {
    let answer = HttpRequest::get("/metrics").send(gateway.metrics_address());
    let text = answer.expect("metrics").text();
    let lines = text.lines().filter(|line| line.starts_with(name));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

/// The first gateway that has taken a lease.
fn owner(site: &GatewaySite) -> usize {
    let taken = "sapphireford_team_limit_leases_total{change=\"taken\"}";
    let mut gateways = site.gateways.iter();
    let owner = gateways.position(|gateway| metric(gateway, taken) >= 1.0);
    owner.expect("an owner")
}

/// When requests ran, and the statuses of the others.
#[derive(Default)]
struct Load {
    ran_at: Vec<Instant>,
    refused: Vec<u16>,
}

impl Load {
    /// Sends about 200 requests a second of `team`, one to each gateway in turn.
    fn run<'a>(
        &mut self,
        gateways: impl IntoIterator<Item = &'a GatewayProcess, IntoIter: Clone>,
        team: &str,
        time: Duration,
    ) {
        let start = Instant::now();
        for gateway in gateways.into_iter().cycle() {
            if start.elapsed() >= time {
                return;
            }
            match ping(gateway, team) {
                Ok(answer) if answer.status == 200 => self.ran_at.push(Instant::now()),
                Ok(answer) => self.refused.push(answer.status),
                // The gateway has been killed.
                Err(_) => {}
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn busiest_window(&self) -> usize {
        let counts = self.ran_at.iter().enumerate().map(|(index, start)| {
            let rest = &self.ran_at[index..];
            rest.iter()
                .take_while(|at| at.duration_since(*start) <= WINDOW)
                .count()
        });
        counts.max().unwrap_or(0)
    }
}

/// Guards against a limit that each gateway keeps for itself, one that is not used, and a team that
/// is affected by the flood of another.
#[test]
fn gateways_keep_the_limit_of_a_team_together() {
    let site = start_site(3);
    let mut load = Load::default();
    load.run(&site.gateways, "limited", Duration::from_secs(8));
    let most = load.busiest_window();
    assert!(most <= MOST_IN_A_WINDOW, "{most} ran in a window");
    let ran = load.ran_at.len();
    assert!(ran >= 75, "{ran} of 85 ran");
    assert!(
        load.refused.iter().all(|status| *status == 429),
        "{:?}",
        load.refused
    );
    let refused = ping(&site.gateways[0], "limited").expect("an answer");
    if refused.status == 429 {
        let delay = refused
            .header("retry-after")
            .and_then(|delay| delay.parse::<f64>().ok());
        assert!(
            delay.is_some_and(|delay| delay > 0.0 && delay <= 6.0),
            "{delay:?}"
        );
        assert!(refused.text().contains("team_limit_reached"));
    }
    for _ in 0..4 {
        assert_eq!(
            ping(&site.gateways[1], "other").expect("an answer").status,
            200
        );
    }
    let refusals: f64 = site
        .gateways
        .iter()
        .map(|gateway| metric(gateway, "sapphireford_team_limit_refusals_total{"))
        .sum();
    assert!(refusals >= load.refused.len() as f64);
}

/// Guards against a limit that begins anew when the gateways are killed, and against one that is not
/// served any more.
#[test]
fn the_limit_outlives_a_kill_of_all_gateways() {
    let mut site = start_site(3);
    let mut load = Load::default();
    for _ in 0..2 {
        load.run(&site.gateways, "limited", Duration::from_secs(4));
        site.gateways.iter_mut().for_each(GatewayProcess::kill);
        site.gateways.iter_mut().for_each(GatewayProcess::start);
        let is_ready = || site.gateways.iter().all(GatewayProcess::is_ready);
        assert!(wait_until(WAIT_TIMEOUT, is_ready));
    }
    let before = load.ran_at.len();
    load.run(&site.gateways, "limited", Duration::from_secs(5));
    let most = load.busiest_window();
    assert!(most <= MOST_IN_A_WINDOW, "{most} ran in a window");
    let ran = load.ran_at.len() - before;
    assert!(ran >= 40, "only {ran} of 50 ran after the restarts");
}

/// Guards against a limit without an owner after the owner has died, and against leases that a stopped
/// gateway leaves behind.
#[test]
fn another_gateway_counts_when_the_owner_dies_or_stops() {
    let mut site = start_site(3);
    let mut load = Load::default();
    for is_killed in [true, false] {
        load.run(&site.gateways, "limited", Duration::from_secs(2));
        let owner = owner(&site);
        match is_killed {
            true => site.gateways[owner].kill(),
            false => site.gateways[owner].terminate(),
        }
        let before = load.ran_at.len();
        load.run(&site.gateways, "limited", Duration::from_secs(4));
        let ran = load.ran_at.len() - before;
        assert!(ran >= 20, "only {ran} of 40 ran without the owner");
        if is_killed {
            site.gateways[owner].start();
        }
    }
    let most = load.busiest_window();
    assert!(most <= MOST_IN_A_WINDOW, "{most} ran in a window");
}

/// Guards against an owner that counts beside its successor after it was frozen.
#[test]
fn a_frozen_owner_is_replaced_and_counts_no_more() {
    let mut site = start_site(3);
    let mut load = Load::default();
    load.run(&site.gateways, "limited", Duration::from_secs(2));
    let owner = owner(&site);
    site.gateways[owner].process().pause();
    let others = site.gateways.iter().enumerate();
    let others: Vec<_> = others.filter(|(index, _)| *index != owner).collect();
    let others = others.into_iter().map(|(_, gateway)| gateway);
    load.run(others.clone(), "limited", Duration::from_secs(11));
    let before = load.ran_at.len();
    load.run(others, "limited", Duration::from_secs(3));
    let ran = load.ran_at.len() - before;
    assert!(ran >= 20, "only {ran} of 30 ran without the frozen owner");
    site.gateways[owner].process().resume();
    load.run(&site.gateways, "limited", Duration::from_secs(6));
    let most = load.busiest_window();
    assert!(most <= MOST_IN_A_WINDOW, "{most} ran in a window");
}

/// Guards against limits that are not kept, or a service that ends, while the store is unavailable.
#[test]
fn the_limit_is_kept_without_the_store() {
    let site = start_site(2);
    let mut load = Load::default();
    load.run(&site.gateways, "limited", Duration::from_secs(3));
    for gateway in &site.gateways {
        gateway.store_proxy.set_mode(ProxyMode::Partition);
    }
    let before = load.ran_at.len();
    load.run(&site.gateways, "limited", Duration::from_secs(4));
    let ran = load.ran_at.len() - before;
    assert!(ran >= 32, "only {ran} of 40 ran in an outage of the store");
    load.run(&site.gateways, "limited", Duration::from_secs(8));
    let most = load.busiest_window();
    assert!(most <= MOST_IN_A_WINDOW, "{most} ran in a window");
    for gateway in &site.gateways {
        gateway.store_proxy.set_mode(ProxyMode::Forward);
    }
    let before = load.ran_at.len();
    load.run(&site.gateways, "limited", Duration::from_secs(4));
    let ran = load.ran_at.len() - before;
    assert!(ran >= 20, "only {ran} of 40 ran after the outage");
}

/// Guards against leases, messages and tasks for teams without a limit.
#[test]
fn a_team_without_a_limit_costs_nothing() {
    let site = start_site(2);
    for _ in 0..20 {
        assert_eq!(
            ping(&site.gateways[0], "free").expect("an answer").status,
            200
        );
    }
    for gateway in &site.gateways {
        assert_eq!(metric(gateway, "sapphireford_team_limit_"), 0.0);
    }
}

/// Guards against an allowance that is used up by requests which do not run, because this gateway has
/// lost its path to the servers and no peer takes them.
#[test]
fn requests_that_no_peer_takes_use_up_no_limit() {
    let site = configure(GatewaySite::start_with_own_paths(&["d1"]));
    let gateway = &site.gateways[0];
    cut_off(gateway, Cut::Reset);
    thread::scope(|scope| {
        for _ in 0..CONCURRENT_REQUESTS {
            scope.spawn(|| ping(gateway, "free"));
        }
    });
    thread::sleep(DETECTION_TIME);
    let started = Instant::now();
    for sent in 0..100 {
        let answer = ping(gateway, "limited").expect("an answer");
        let time = started.elapsed();
        assert_eq!(
            answer.status,
            503,
            "after {sent} in {time:?}: {}",
            answer.text()
        );
    }
}
