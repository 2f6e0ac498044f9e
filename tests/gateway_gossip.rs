//! Which gateways the others consider live, for whole failure domains, without a network.

#[path = "support/gateway_domain.rs"]
mod gateway_domain;

use std::time::{Duration, Instant};

use gateway_domain::{Domain, Gateway, caller_address, new_directory, peer_address, registration};
use sapphireford::process::gateway::gossip::ROUND_INTERVAL;
use sapphireford::process::slots::placement::rendezvous_weight;
use sapphireford_platform::store::Row;
use yare::parameterized;

/// From the data sheets: callers may be sent to a dead gateway for the lag of the platform's own
/// list and the shortest window after which a change counts as settled.
const DEAD_GATEWAY_LIMIT: Duration = Duration::from_secs(3 + 3);

/// Gateways of a large domain whose presence is checked, which bounds the time of a test.
const CHECKED_GATEWAYS: usize = 8;

/// Guards against a live gateway that callers are not sent to, because its counter spreads more
/// slowly than the others allow for.
#[parameterized(
    two = { 2 },
    three = { 3 },
    sixty = { 60 },
    two_hundred = { 200 },
)]
fn live_gateways_stay_in_the_directory(count: usize) {
    let mut domain = Domain::start(&[("a", count)], 7);
    domain.run_for(Duration::from_secs(20), |domain| {
        for number in 1..=count.min(CHECKED_GATEWAYS) {
            assert_eq!(domain.returned_by(number, "a"), count, "gateway {number}");
        }
    });
}

/// Guards against callers that are sent to a dead gateway: alone, or with half of its domain.
#[parameterized(
    one_of_three = { 3, 1 },
    two_of_three = { 3, 2 },
    one_of_sixty = { 60, 1 },
    half_of_sixty = { 60, 30 },
    most_of_sixty = { 60, 58 },
    half_of_two_hundred = { 200, 100 },
)]
fn dead_gateways_are_dropped_in_time(count: usize, dead: usize) {
    let mut domain = Domain::start(&[("a", count)], 11);
    domain.run_for(Duration::from_secs(5), |_| {});
    (1..=dead).for_each(|number| domain.stop(number));
    domain.run_for(DEAD_GATEWAY_LIMIT, |domain| {
        for number in (dead + 1..=count).take(CHECKED_GATEWAYS) {
            assert_eq!(domain.returned_by(number, "a"), domain.running());
        }
    });
    for number in 1..=dead {
        assert_eq!(domain.returned_by(number, "a"), 0, "gateway {number}");
    }
}

/// Guards against a failure domain with a single live gateway that names only itself, and against
/// dead gateways of other domains that it names.
#[test]
fn a_lonely_gateway_names_the_live_ones_of_other_domains() {
    let mut domain = Domain::start(&[("a", 3), ("b", 3)], 3);
    domain.run_for(Duration::from_secs(5), |_| {});
    [2, 3, 4].into_iter().for_each(|number| domain.stop(number));
    domain.run_for(DEAD_GATEWAY_LIMIT, |_| {});
    let lonely = &domain.gateways[&peer_address(1)].directory;
    let mut addresses = lonely.caller_addresses("a", true, domain.now);
    addresses.sort();
    assert_eq!(addresses, [1, 5, 6].map(caller_address));
}

/// Guards against a new gateway that the others learn of only with their next read of the store.
#[test]
fn a_new_gateway_is_known_after_a_few_rounds() {
    let mut domain = Domain::start(&[("a", 60)], 5);
    domain.run_for(Duration::from_secs(5), |_| {});
    let rows: Vec<Row> = domain.gateways.values().map(registration).collect();
    let added = Gateway {
        directory: new_directory(61, "a"),
        phase: Duration::ZERO,
        is_running: true,
    };
    added.directory.apply(&rows, domain.now);
    domain.gateways.insert(peer_address(61), added);
    domain.run_for(Duration::from_secs(4), |_| {});
    assert_eq!(domain.returned_by(61, "a"), 61);
}

/// Guards against a gateway that restarts and is taken for its earlier start, whose counter was
/// higher.
#[test]
fn a_restarted_gateway_is_live_at_once() {
    let mut domain = Domain::start(&[("a", 3)], 5);
    domain.run_for(Duration::from_secs(30), |_| {});
    domain.stop(1);
    domain.run_for(DEAD_GATEWAY_LIMIT, |_| {});
    assert_eq!(domain.returned_by(1, "a"), 0);
    let rows: Vec<Row> = domain.gateways.values().map(registration).collect();
    // The start times are in milliseconds of the real clock.
    std::thread::sleep(Duration::from_millis(2));
    let restarted = Gateway {
        directory: new_directory(1, "a"),
        phase: Duration::ZERO,
        is_running: true,
    };
    restarted.directory.apply(&rows, domain.now);
    domain.gateways.insert(peer_address(1), restarted);
    domain.run_for(Duration::from_secs(2), |_| {});
    assert_eq!(domain.returned_by(1, "a"), 3);
}

/// Guards against a gateway that considers all others dead although only its own connections are
/// cut, and sends all callers to itself.
#[test]
fn a_gateway_without_any_contact_keeps_the_others() {
    let mut domain = Domain::start(&[("a", 5)], 9);
    domain.run_for(Duration::from_secs(5), |_| {});
    (2..=5).for_each(|number| domain.stop(number));
    domain.is_store_up = false;
    domain.run_for(Duration::from_secs(20), |_| {});
    assert_eq!(domain.returned_by(2, "a"), 1);
}

/// Guards against a gateway that stays unknown after a restart because the clock of its VM was set
/// back: its start looks earlier than the one that the others know.
#[test]
fn a_gateway_whose_clock_was_set_back_is_live_after_its_restart() {
    let other = new_directory(1, "a");
    let observer = new_directory(2, "a");
    let mut now = Instant::now();
    let mut request = other.gossip_request(now);
    observer.handle_gossip(&request, now);
    let dead_since = now;
    while now.duration_since(dead_since) < DEAD_GATEWAY_LIMIT {
        now += ROUND_INTERVAL;
        observer.record_contact(now);
    }
    let is_returned = |now| {
        let addresses = observer.caller_addresses("a", true, now);
        addresses.contains(&caller_address(1))
    };
    assert!(!is_returned(now));
    request.row.started_unix_ms -= 60_000;
    request.heartbeats[0].start_hash = rendezvous_weight(request.row.started_unix_ms, "g-1");
    for _ in 0..20 {
        observer.handle_gossip(&request, now);
        assert!(is_returned(now));
        now += ROUND_INTERVAL;
        request.heartbeats[0].counter += 1;
    }
}
