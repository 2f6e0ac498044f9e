//! The ways of a gateway to the store, without a network.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sapphireford::process::gateway::store_path::{StorePath, StorePaths};

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

fn peers() -> Vec<SocketAddr> {
    (1..=5).map(peer).collect()
}

/// Guards against a gateway that stops serving because the store refuses its VM only.
#[test]
fn a_refused_gateway_goes_through_a_peer_that_is_served() {
    let mut paths = StorePaths::default();
    let now = Instant::now();
    let plan = paths.plan(&peers(), now);
    assert_eq!(plan[0], StorePath::Direct);
    assert_eq!(plan.len(), 3, "an outage must not multiply the calls");
    paths.record(StorePath::Direct, false, now);
    paths.record(plan[1], true, now);
    let plan_after = paths.plan(&peers(), now + Duration::from_millis(100));
    assert_eq!(plan_after[0], plan[1]);
    assert!(paths.is_available(now));
}

/// Guards against a detour that lasts longer than its reason.
#[test]
fn the_direct_path_is_tried_again_after_a_pause() {
    let mut paths = StorePaths::default();
    let now = Instant::now();
    paths.record(StorePath::Direct, false, now);
    paths.record(StorePath::Relay(peer(1)), true, now);
    let later = now + Duration::from_secs(2);
    assert_eq!(paths.plan(&peers(), later)[0], StorePath::Direct);
}

/// Guards against requests that wait for a store that is down, and against refusals that go on
/// after it has returned.
#[test]
fn requests_are_refused_at_once_during_an_outage() {
    let mut paths = StorePaths::default();
    let now = Instant::now();
    paths.record(StorePath::Direct, false, now);
    paths.record_total_failure(now);
    let later = now + Duration::from_millis(400);
    paths.record_total_failure(later);
    assert!(!paths.is_available(later + Duration::from_millis(100)));
    let returned = later + Duration::from_millis(200);
    paths.record(StorePath::Direct, true, returned);
    assert!(paths.is_available(returned));
}

/// Guards against servers that get work after they have left: single failures of calls counted as
/// an absence of the store, and the rows of leaving servers as expired.
#[test]
fn single_failures_are_no_absence_of_the_store() {
    let mut paths = StorePaths::default();
    let now = Instant::now();
    paths.record(StorePath::Direct, false, now);
    paths.record(StorePath::Direct, true, now + Duration::from_millis(100));
    assert_eq!(paths.last_recovery(), None);
    paths.record(StorePath::Direct, false, now + Duration::from_secs(1));
    let returned = now + Duration::from_secs(4);
    paths.record(StorePath::Direct, true, returned);
    assert_eq!(paths.last_recovery(), Some(returned));
}

/// Guards against refusals because a single call was slow.
#[test]
fn one_failed_call_is_no_outage() {
    let mut paths = StorePaths::default();
    let now = Instant::now();
    paths.record(StorePath::Direct, false, now);
    paths.record_total_failure(now);
    assert!(paths.is_available(now + Duration::from_millis(100)));
}

/// Guards against a store that is logged as lost and regained several times a second while only one of
/// its partitions is away: 264 times in a recorded incident.
#[test]
fn failures_of_a_single_partition_are_no_loss_of_the_store() {
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
