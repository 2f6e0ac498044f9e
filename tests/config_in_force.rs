//! An accepted configuration is in force everywhere within seconds and never reverts.

#[path = "support/calls.rs"]
mod calls;

use std::io::copy;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use calls::*;
use sapphireford_standin::harness::{
    Answer, HttpRequest, Site, SiteClient, SiteOptions, TEAM_TWO_KEY, wait_until,
};
use serde_json::{Value, json};

/// Longest time until an accepted configuration is in effect.
const IN_EFFECT: Duration = Duration::from_secs(7);

/// With intervals that let an entry be cut off for long without a long test.
fn site() -> Site {
    Site::with_options(SiteOptions {
        settings: json!({ "lease_ttl_ms": 2_000, "lease_renew_ms": 300, "membership_interval_ms": 200, "platform_call_ms": 500 }),
        ..SiteOptions::default()
    })
}

/// The version in force on an entry, by its metrics-free status; `None` if it is not ready.
fn version_of(site: &Site, entry: usize) -> Option<u64> {
    site.status(site.entry_address(entry))?["config_version"].as_u64()
}

fn wait_for_version(site: &Site, entries: &[usize], version: u64) {
    let in_force = || {
        entries
            .iter()
            .all(|entry| version_of(site, *entry) == Some(version))
    };
    assert!(
        wait_until(IN_EFFECT, in_force),
        "version {version} is not in force everywhere"
    );
}

/// Applies a version in which `team-two` has another key.
fn revoke_key_of_team_two(site: &Site, expect: u64) {
    let new_key = "5e".repeat(32);
    let change = json!({ "teams": { "team-two": { "key_sha256": new_key } } });
    site.apply(expect, &[site.base_config(), change]);
}

/// A call of a plain service by `team-two`.
fn service_call(client: SiteClient, entry: usize) -> Answer {
    HttpRequest::post("/v1/services/orders/x")
        .bearer(TEAM_TWO_KEY)
        .send(client.entry_address(entry))
        .expect("an answer")
}

fn service_requests(site: &Site) -> u64 {
    site.service.stats()["requests"]
        .as_u64()
        .expect("a counter")
}

/// Guards against two accepted changes of which one is lost, and against an entry whose version goes
/// down.
#[test]
fn one_of_several_operators_wins_and_versions_only_rise() {
    const OPERATORS: usize = 4;
    const ROUNDS: u64 = 3;
    let site = site();
    let stop = AtomicBool::new(false);
    let lowered = Mutex::new(Vec::new());
    let watch = |entry: usize| {
        let mut highest = 0;
        while !stop.load(Ordering::Relaxed) {
            let version = version_of(&site, entry).unwrap_or(highest);
            if version < highest {
                let mut lowered = lowered.lock().expect("not poisoned");
                lowered.push((entry, highest, version));
            }
            highest = version;
            thread::sleep(Duration::from_millis(10));
        }
    };
    let mark = |round: u64, operator: usize| 700_000 + 1_000 * round + operator as u64;
    let apply = |round: u64, operator: usize| {
        let change = json!({ "limits": { "abandon_ms": mark(round, operator) } });
        let files = [site.base_config(), change];
        site.try_apply(round, &files, &[]).status.success()
    };
    let winner = |round: u64| {
        let accepted: Vec<bool> = thread::scope(|scope| {
            let apply = &apply;
            let operators = (0..OPERATORS).map(|n| scope.spawn(move || apply(round, n)));
            let operators: Vec<_> = operators.collect();
            let outcomes = operators.into_iter().map(|operator| operator.join());
            outcomes
                .map(|outcome| outcome.expect("an outcome"))
                .collect()
        });
        let winners: Vec<usize> = (0..OPERATORS).filter(|n| accepted[*n]).collect();
        assert_eq!(winners.len(), 1, "{accepted:?}");
        winners[0]
    };
    thread::scope(|scope| {
        for entry in 0..3 {
            let watch = &watch;
            scope.spawn(move || watch(entry));
        }
        let stop = StopOnDrop(&stop);
        for round in 1..=ROUNDS {
            let winner = winner(round);
            wait_for_version(&site, &[0, 1, 2], round + 1);
            let shown = site.admin(&["show"]);
            let shown = String::from_utf8_lossy(&shown.stdout).into_owned();
            let mark = mark(round, winner).to_string();
            assert!(shown.contains(&mark), "{mark} is not in {shown}");
        }
        drop(stop);
    });
    assert_eq!(*lowered.lock().expect("not poisoned"), vec![]);
}

/// Ends the watchers also when a check fails, so that their scope ends.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Guards against an entry that serves requests without the accepted configuration after a restart
/// while the platform is out.
#[test]
fn entry_restarted_in_an_outage_waits_for_the_configuration() {
    let mut site = site();
    let client = site.client();
    revoke_key_of_team_two(&site, 1);
    wait_for_version(&site, &[0, 1, 2], 2);
    site.platform.control(&json!({ "outage": "refuse" }));
    site.kill_entry(0);
    site.start_entry(0);
    let ready = || {
        HttpRequest::get("/readyz")
            .send(client.entry_address(0))
            .map(|a| a.status)
            .ok()
    };
    assert!(wait_until(WAIT_TIMEOUT, || ready().is_some()));
    let before = service_requests(&site);
    let until = Instant::now() + Duration::from_secs(2);
    while Instant::now() < until {
        assert_eq!(ready(), Some(503), "ready without a configuration");
        assert_eq!(
            refusal_kind(&service_call(client, 0)).as_deref(),
            Ok("not_ready")
        );
        thread::sleep(Duration::from_millis(50));
    }
    site.platform.control(&json!({ "outage": "none" }));
    assert!(
        wait_until(IN_EFFECT, || ready() == Some(200)),
        "not ready after the outage"
    );
    assert_eq!(version_of(&site, 0), Some(2));
    assert_eq!(service_call(client, 0).status, 401);
    assert_eq!(
        service_requests(&site),
        before,
        "a call ran by a reverted configuration"
    );
}

/// Guards against a request that an entry runs by the configuration from before a pause.
#[test]
fn paused_entry_reads_the_configuration_before_it_serves() {
    let mut site = site();
    let client = site.client();
    assert_eq!(service_call(client, 0).status, 200);
    let before = service_requests(&site);
    site.entry(0).pause();
    revoke_key_of_team_two(&site, 1);
    wait_for_version(&site, &[1, 2], 2);
    let calls: Vec<_> = (0..4)
        .map(|_| thread::spawn(move || service_call(client, 0)))
        .collect();
    // Longer than a running entry takes from one read to the next.
    thread::sleep(Duration::from_secs(6));
    site.entry(0).resume();
    for call in calls {
        assert_eq!(call.join().expect("a caller").status, 401);
    }
    assert_eq!(
        service_requests(&site),
        before,
        "a call ran by a reverted configuration"
    );
    wait_for_version(&site, &[0, 1, 2], 2);
}

/// Guards against an entry that is cut off from the platform and goes on with a configuration that
/// is no longer in force: alone, and through the holders that it passes requests on to.
#[test]
fn entry_cut_off_from_the_platform_does_not_use_an_old_configuration() {
    let mut site = site();
    let client = site.client();
    let relay = Relay::start(site.platform.address());
    site.kill_entry(0);
    site.set_entry_settings(0, json!({ "platform_address": relay.address }));
    site.start_entry(0);
    site.wait_until_ready();
    let turn = |entry: usize, request_id: &str| {
        HttpRequest::post("/v1/conversations/c1/runs/1/turns")
            .bearer(TEAM_TWO_KEY)
            .json(&turn_body("c1", request_id, 8))
            .send(client.entry_address(entry))
            .expect("an answer")
    };
    let program = json!({ "request_id": "start", "program": "advice" });
    let started = HttpRequest::post("/v1/conversations/c1/runs")
        .bearer(TEAM_TWO_KEY)
        .json(&program)
        .send(client.entry_address(1))
        .expect("an answer");
    assert_eq!(started.status, 200, "{}", started.text());
    assert_eq!(turn(0, "t1").status, 200);
    relay.cut();
    revoke_key_of_team_two(&site, 1);
    wait_for_version(&site, &[1, 2], 2);
    thread::sleep(IN_EFFECT.saturating_sub(Duration::from_secs(4)));
    let before = (
        engine_total(&site, "calls_started"),
        service_requests(&site),
    );
    for request_id in ["t2", "t3"] {
        let answer = turn(0, request_id);
        let error: Value = answer.json()["error"].clone();
        assert_eq!(error["ran"], "no", "{error}");
        assert_ne!(
            service_call(client, 0).status,
            200,
            "an old key still opens the service"
        );
    }
    let after = (
        engine_total(&site, "calls_started"),
        service_requests(&site),
    );
    assert_eq!(after, before, "a request ran by a reverted configuration");
    relay.join();
    wait_for_version(&site, &[0, 1, 2], 2);
    assert_eq!(turn(0, "t2").status, 401);
}

/// Guards against entries that learn of a new configuration only at their own next poll.
#[test]
fn peers_tell_an_entry_of_a_new_version() {
    let mut site = site();
    site.kill_entry(0);
    site.set_entry_settings(0, json!({ "config_interval_ms": 600_000 }));
    site.start_entry(0);
    site.wait_until_ready();
    revoke_key_of_team_two(&site, 1);
    wait_for_version(&site, &[0, 1, 2], 2);
}

/// Passes connections on to the platform until it is cut.
struct Relay {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Relay {
    fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let relay = Self {
            address: listener.local_addr().expect("an address"),
            is_cut: Arc::default(),
            open: Arc::default(),
        };
        let (is_cut, open) = (relay.is_cut.clone(), relay.open.clone());
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let Ok(server) = TcpStream::connect(target) else {
                    return;
                };
                if is_cut.load(Ordering::Relaxed) {
                    continue;
                }
                let pairs = [(&client, &server), (&server, &client)];
                for (from, to) in pairs {
                    let mut from = from.try_clone().expect("a socket");
                    let mut to = to.try_clone().expect("a socket");
                    thread::spawn(move || {
                        let _ = copy(&mut from, &mut to);
                        let _ = to.shutdown(Shutdown::Both);
                    });
                }
                open.lock().expect("not poisoned").extend([client, server]);
            }
        });
        relay
    }

    /// Breaks all connections, and closes new ones at once.
    fn cut(&self) {
        self.is_cut.store(true, Ordering::Relaxed);
        for stream in self.open.lock().expect("not poisoned").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Passes new connections on again.
    fn join(&self) {
        self.is_cut.store(false, Ordering::Relaxed);
    }
}
