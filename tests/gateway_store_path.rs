//! The paths of a gateway to the store, direct or through a peer, tested without a network.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sapphireford::process::gateway::store_path::{StorePath, StorePaths};

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

fn peers() -> Vec<SocketAddr> {
    (1..=5).map(peer).collect()
}

/// Guards against a gateway that stops serving because the store refuses the connections of its VM
/// only.
#[test]
fn refused_gateway_uses_a_peer_that_reaches_the_store() {
    let mut paths = StorePaths::default();
    let now = Instant::now();
    let plan = paths.plan(&peers(), now);
    assert_eq!(plan[0], StorePath::Direct);
    assert_eq!(plan.len(), 3, "an outage must not multiply the calls");
    paths.record(StorePath::Direct, false, now);
    paths.record(plan[1], true, now);
    let next_plan = paths.plan(&peers(), now + Duration::from_millis(100));
    assert_eq!(next_plan[0], plan[1]);
    assert!(paths.is_available(now));
}

/// Guards against a gateway that relays its calls through a peer after the direct path works again.
#[test]
fn direct_path_is_retried_after_a_delay() {
    let mut paths = StorePaths::default();
    let now = Instant::now();
    paths.record(StorePath::Direct, false, now);
    paths.record(StorePath::Relay(peer(1)), true, now);
    let later = now + Duration::from_secs(2);
    assert_eq!(paths.plan(&peers(), later)[0], StorePath::Direct);
}

/// Guards against requests that wait for the store during an outage, and against refusals that
/// continue after it has recovered.
#[test]
fn store_is_unavailable_in_an_outage_and_available_after_recovery() {
    let mut paths = StorePaths::default();
    let now = Instant::now();
    paths.record(StorePath::Direct, false, now);
    paths.record_total_failure(now);
    let later = now + Duration::from_millis(400);
    paths.record_total_failure(later);
    assert!(!paths.is_available(later + Duration::from_millis(100)));
    let recovered_at = later + Duration::from_millis(200);
    paths.record(StorePath::Direct, true, recovered_at);
    assert!(paths.is_available(recovered_at));
}

/// Guards against requests to servers that have left: single failed calls counted as an outage of
/// the store, so the removed rows of leaving servers were taken for expired ones.
#[test]
fn single_failures_do_not_count_as_a_store_outage() {
    let mut paths = StorePaths::default();
    let now = Instant::now();
    paths.record(StorePath::Direct, false, now);
    paths.record(StorePath::Direct, true, now + Duration::from_millis(100));
    assert_eq!(paths.last_recovery(), None);
    paths.record(StorePath::Direct, false, now + Duration::from_secs(1));
    let recovered_at = now + Duration::from_secs(4);
    paths.record(StorePath::Direct, true, recovered_at);
    assert_eq!(paths.last_recovery(), Some(recovered_at));
}

/// Guards against refusing requests because a single store call failed.
#[test]
fn single_total_failure_leaves_the_store_available() {
    let mut paths = StorePaths::default();
    let now = Instant::now();
    paths.record(StorePath::Direct, false, now);
    paths.record_total_failure(now);
    assert!(paths.is_available(now + Duration::from_millis(100)));
}

/// Guards against logging the store as unavailable and recovered several times a second while only
/// one of its partitions is unavailable: 264 times in a recorded incident.
#[test]
fn failures_of_one_partition_do_not_count_as_an_outage() {
    let mut paths = StorePaths::default();
    let start = Instant::now();
    for step in 0..20 {
        let now = start + step * Duration::from_millis(100);
        paths.record(StorePath::Direct, false, now);
        paths.record_total_failure(now);
        assert!(!paths.is_in_outage(now));
        if step % 3 == 0 {
            paths.record(StorePath::Direct, true, now);
        }
    }
    for step in 20..26 {
        let now = start + step * Duration::from_millis(100);
        paths.record(StorePath::Direct, false, now);
    }
    assert!(paths.is_in_outage(start + Duration::from_millis(2_500)));
}
