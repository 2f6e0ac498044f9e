//! An accepted configuration version is in force on all entries within seconds and is never reverted
//! to an earlier one.

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

/// Time within which an accepted configuration is in force on all entries.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(7);

/// Starts a site with short intervals, so that a test can disconnect an entry for several of them.
fn site() -> Site {
    Site::with_options(SiteOptions {
        settings: json!({ "lease_ttl_ms": 2_000, "lease_renew_ms": 300, "membership_interval_ms": 200, "platform_call_ms": 500 }),
        ..SiteOptions::default()
    })
}

/// Returns the version in force on an entry by its status; `None` if the entry is not ready.
fn config_version(site: &Site, entry: usize) -> Option<u64> {
    site.status(site.entry_address(entry))?["config_version"].as_u64()
}

fn wait_until_in_force(site: &Site, entries: &[usize], version: u64) {
    let in_force = || {
        entries
            .iter()
            .all(|entry| config_version(site, *entry) == Some(version))
    };
    assert!(
        wait_until(ROLLOUT_TIMEOUT, in_force),
        "version {version} is not in force everywhere"
    );
}

/// Applies a version that replaces the key of `team-two`.
fn revoke_key_of_team_two(site: &Site, expect: u64) {
    let new_key = "5e".repeat(32);
    let change = json!({ "teams": { "team-two": { "key_sha256": new_key } } });
    site.apply(expect, &[site.base_config(), change]);
}

/// Calls a service with the original key of `team-two`.
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

/// Guards against concurrent changes that are all accepted although only one takes effect, and against
/// an entry whose version decreases.
#[test]
fn concurrent_changes_have_one_winner_and_versions_never_decrease() {
    const OPERATORS: usize = 4;
    const ROUNDS: u64 = 3;
    let site = site();
    let stop = AtomicBool::new(false);
    let decreases = Mutex::new(Vec::new());
    let watch = |entry: usize| {
        let mut highest = 0;
        while !stop.load(Ordering::Relaxed) {
            let version = config_version(&site, entry).unwrap_or(highest);
            if version < highest {
                let mut decreases = decreases.lock().expect("not poisoned");
                decreases.push((entry, highest, version));
            }
            highest = version;
            thread::sleep(Duration::from_millis(10));
        }
    };
    let abandon_ms = |round: u64, operator: usize| 700_000 + 1_000 * round + operator as u64;
    let apply = |round: u64, operator: usize| {
        let change = json!({ "limits": { "abandon_ms": abandon_ms(round, operator) } });
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
            wait_until_in_force(&site, &[0, 1, 2], round + 1);
            let shown = site.admin(&["show"]);
            let shown = String::from_utf8_lossy(&shown.stdout).into_owned();
            let abandon_ms = abandon_ms(round, winner).to_string();
            assert!(
                shown.contains(&abandon_ms),
                "{abandon_ms} is not in {shown}"
            );
        }
        drop(stop);
    });
    assert_eq!(*decreases.lock().expect("not poisoned"), vec![]);
}

/// Stops the watchers even when a check panics, so that their thread scope can end.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Guards against an entry that restarts while the platform is unavailable and serves requests without
/// the accepted configuration.
#[test]
fn entry_restarted_during_outage_is_not_ready_without_configuration() {
    let mut site = site();
    let client = site.client();
    revoke_key_of_team_two(&site, 1);
    wait_until_in_force(&site, &[0, 1, 2], 2);
    site.platform.control(&json!({ "outage": "refuse" }));
    site.kill_entry(0);
    site.start_entry(0);
    let readiness_status = || {
        HttpRequest::get("/readyz")
            .send(client.entry_address(0))
            .map(|a| a.status)
            .ok()
    };
    assert!(wait_until(WAIT_TIMEOUT, || readiness_status().is_some()));
    let before = service_requests(&site);
    let deadline = Instant::now() + Duration::from_secs(2);
    while Instant::now() < deadline {
        assert_eq!(
            readiness_status(),
            Some(503),
            "ready without a configuration"
        );
        assert_eq!(
            refusal_kind(&service_call(client, 0)).as_deref(),
            Ok("not_ready")
        );
        thread::sleep(Duration::from_millis(50));
    }
    site.platform.control(&json!({ "outage": "none" }));
    assert!(
        wait_until(ROLLOUT_TIMEOUT, || readiness_status() == Some(200)),
        "not ready after the outage"
    );
    assert_eq!(config_version(&site, 0), Some(2));
    assert_eq!(service_call(client, 0).status, 401);
    assert_eq!(
        service_requests(&site),
        before,
        "a call ran under an outdated configuration"
    );
}

/// Guards against a paused entry that runs requests under its old configuration after it resumes.
#[test]
fn resumed_entry_reads_configuration_before_serving_requests() {
    let mut site = site();
    let client = site.client();
    assert_eq!(service_call(client, 0).status, 200);
    let before = service_requests(&site);
    site.entry(0).pause();
    revoke_key_of_team_two(&site, 1);
    wait_until_in_force(&site, &[1, 2], 2);
    let calls: Vec<_> = (0..4)
        .map(|_| thread::spawn(move || service_call(client, 0)))
        .collect();
    // Longer than the interval at which a running entry reads the configuration.
    thread::sleep(Duration::from_secs(6));
    site.entry(0).resume();
    for call in calls {
        assert_eq!(call.join().expect("a caller").status, 401);
    }
    assert_eq!(
        service_requests(&site),
        before,
        "a call ran under an outdated configuration"
    );
    wait_until_in_force(&site, &[0, 1, 2], 2);
}

/// Guards against an entry that is disconnected from the platform and keeps using a configuration that
/// is no longer in force, for its own calls or for requests that it forwards to holders.
#[test]
fn entry_disconnected_from_platform_does_not_use_outdated_configuration() {
    let mut site = site();
    let client = site.client();
    let proxy = PlatformProxy::start(site.platform.address());
    site.kill_entry(0);
    site.set_entry_settings(0, json!({ "platform_address": proxy.address }));
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
    proxy.disconnect();
    revoke_key_of_team_two(&site, 1);
    wait_until_in_force(&site, &[1, 2], 2);
    thread::sleep(ROLLOUT_TIMEOUT.saturating_sub(Duration::from_secs(4)));
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
            "the revoked key is still accepted"
        );
    }
    let after = (
        engine_total(&site, "calls_started"),
        service_requests(&site),
    );
    assert_eq!(
        after, before,
        "a request ran under an outdated configuration"
    );
    proxy.restore();
    wait_until_in_force(&site, &[0, 1, 2], 2);
    assert_eq!(turn(0, "t2").status, 401);
}

/// Guards against entries that learn of a new configuration only from their own next poll, not from
/// the announcement of a peer.
#[test]
fn peers_announce_new_version_before_next_poll() {
    let mut site = site();
    site.kill_entry(0);
    site.set_entry_settings(0, json!({ "config_interval_ms": 600_000 }));
    site.start_entry(0);
    site.wait_until_ready();
    revoke_key_of_team_two(&site, 1);
    wait_until_in_force(&site, &[0, 1, 2], 2);
}

/// Proxies TCP connections to the platform and can be disconnected from it.
struct PlatformProxy {
    address: SocketAddr,
    is_disconnected: Arc<AtomicBool>,
    open_streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl PlatformProxy {
    fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let proxy = Self {
            address: listener.local_addr().expect("an address"),
            is_disconnected: Arc::default(),
            open_streams: Arc::default(),
        };
        let (is_disconnected, open_streams) =
            (proxy.is_disconnected.clone(), proxy.open_streams.clone());
        thread::spawn(move || {
            for client in listener.incoming().map_while(Result::ok) {
                let Ok(server) = TcpStream::connect(target) else {
                    return;
                };
                if is_disconnected.load(Ordering::Relaxed) {
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
                open_streams
                    .lock()
                    .expect("not poisoned")
                    .extend([client, server]);
            }
        });
        proxy
    }

    /// Shuts down all connections and closes each new one on arrival.
    fn disconnect(&self) {
        self.is_disconnected.store(true, Ordering::Relaxed);
        for stream in self.open_streams.lock().expect("not poisoned").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Forwards new connections again.
    fn restore(&self) {
        self.is_disconnected.store(false, Ordering::Relaxed);
    }
}
