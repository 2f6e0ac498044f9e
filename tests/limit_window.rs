//! The count of the tokens that an owner has granted in the last window, and what it bounds.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sapphireford::process::boot_clock::BootTime;
use sapphireford::process::gateway::settings::TeamLimitTolerance;
use sapphireford::process::teams::limit_bucket::{BucketStart, TeamBucket, slack};
use sapphireford::process::teams::limit_messages::Verdict;
use sapphireford::process::teams::limit_window::GrantWindow;
use sapphireford_platform::operator::TeamLimit;

const WINDOW: Duration = Duration::from_secs(5);
const TOLERANCE: TeamLimitTolerance = TeamLimitTolerance {
    window: WINDOW,
    excess_share: 0.1,
    excess_requests: 20.0,
};

fn at(ms: u64) -> BootTime {
    BootTime::from_boot(Duration::from_millis(1_000_000 + ms))
}

/// Guards against tokens that leave the count before the window is over, which would let a window
/// exceed the limit, and against tokens that never leave it.
#[test]
fn a_token_counts_for_the_window_and_at_most_one_part_longer() {
    for granted_ms in [0, 1, 99, 100, 4_999, 60_000] {
        let mut window = GrantWindow::new(WINDOW, at(0));
        window.add(3, at(granted_ms));
        assert_eq!(window.total(at(granted_ms + 5_000)), 3);
        assert_eq!(window.total(at(granted_ms + 5_100)), 0);
    }
}

/// Guards against a count that differs from that of a list of all grants by more than the tokens of
/// the part that is leaving the window.
#[test]
fn the_count_is_that_of_a_list_of_grants() {
    let mut rng = StdRng::seed_from_u64(5);
    let mut window = GrantWindow::new(WINDOW, at(0));
    let mut grants: VecDeque<(u64, u32)> = VecDeque::new();
    let mut now_ms = 0;
    for _ in 0..20_000 {
        now_ms += match rng.random_range(0..100) {
            0 => rng.random_range(0..12_000),
            _ => rng.random_range(0..40),
        };
        let tokens = rng.random_range(0..5);
        window.add(tokens, at(now_ms));
        grants.push_back((now_ms, tokens));
        let within = |age_ms: u64| -> u32 {
            let recent = grants.iter().filter(|(at, _)| now_ms - at <= age_ms);
            recent.map(|(_, tokens)| tokens).sum()
        };
        let (least, most) = (within(5_000), within(5_100));
        let total = window.total(at(now_ms));
        assert!(
            (least..=most).contains(&total),
            "{total}, not {least} to {most}"
        );
        grants.retain(|(at, _)| now_ms - at <= 6_000);
    }
}

/// Guards against a count that falls below zero, which would panic, or above the number of its type.
#[test]
fn extreme_numbers_of_tokens_are_counted() {
    let mut window = GrantWindow::new(WINDOW, at(0));
    window.remove(7, at(0));
    assert_eq!(window.total(at(0)), 0);
    window.add(u32::MAX, at(10));
    window.add(u32::MAX, at(20));
    window.add(5, at(200));
    assert_eq!(window.total(at(300)), u32::MAX);
    window.remove(u32::MAX, at(400));
    assert_eq!(window.total(at(400)), 0);
    window.add(u32::MAX, at(500));
    assert_eq!(window.total(at(6_000)), 0);
    window.add(2, BootTime::UNKNOWN);
    assert_eq!(window.total(BootTime::UNKNOWN), 2);
}

/// Guards against a count that is too low for tokens that were used, because later ones were taken
/// from it than those that were not used.
#[test]
fn unused_tokens_of_unknown_age_are_taken_from_the_earliest() {
    let mut window = GrantWindow::new(WINDOW, at(0));
    window.add(1, at(0));
    window.add(5, at(2_000));
    window.add(5, at(2_900));
    window.remove_earliest(6, Duration::from_secs(1), at(2_950));
    assert_eq!(window.total(at(2_950)), 5);
    // The one token before the last second remains, and four of the last ones.
    assert_eq!(window.total(at(5_200)), 4);
    assert_eq!(window.total(at(7_800)), 4);
    assert_eq!(window.total(at(8_000)), 0);
    window.add(3, at(9_000));
    window.remove_earliest(u32::MAX, Duration::MAX, at(9_000));
    assert_eq!(window.total(at(9_000)), 0);
}

const LIMIT: TeamLimit = TeamLimit {
    rate_per_s: 100.0,
    burst: 200.0,
};

/// Sends up to `requests` at once and returns when those that are granted run.
fn send(bucket: &mut TeamBucket, requests: usize, now_ms: u64) -> Vec<u64> {
    let verdicts = (0..requests).map(|_| bucket.take(0, false, at(now_ms)));
    let delays = verdicts.filter_map(|verdict| match verdict {
        Verdict::Granted { delay_ms } => Some(now_ms + u64::from(delay_ms)),
        Verdict::Denied { .. } => None,
    });
    delays.collect()
}

fn assert_window_kept(mut runs: Vec<u64>) {
    runs.sort_unstable();
    let in_window = |start: usize| runs.partition_point(|run| *run < runs[start] + 5_000) - start;
    let busiest = (0..runs.len()).map(in_window).max().unwrap_or_default();
    // A request runs up to 50 ms after it was counted.
    let most = 700.0 + 0.4 * slack(LIMIT, TOLERANCE) + 0.05 * LIMIT.rate_per_s + 1.0;
    assert!(
        busiest as f64 <= most,
        "{busiest} requests in a window, at most {most} may run"
    );
}

/// Guards against a count that bounds nothing shortly before tokens leave the window: all requests
/// were granted that the bucket had tokens for, however few tokens left it.
#[test]
fn a_token_that_leaves_the_window_makes_room_for_one() {
    let mut bucket = TeamBucket::new(LIMIT, 1, TOLERANCE, BucketStart::Full, at(0));
    let mut runs = send(&mut bucket, 1, 0);
    for now_ms in (150..5_000).step_by(10) {
        runs.extend(send(&mut bucket, 400, now_ms));
    }
    runs.extend(send(&mut bucket, 400, 5_080));
    assert_window_kept(runs);
}

/// Guards against a limit that is exceeded by requests that come in rounds, so that the bucket is
/// refilled while the window is used up.
#[test]
fn one_owner_keeps_to_the_count_of_the_window() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut bucket = TeamBucket::new(LIMIT, 1, TOLERANCE, BucketStart::Full, at(0));
        let mut runs: Vec<u64> = Vec::new();
        let mut now_ms = 0;
        while now_ms < 60_000 {
            now_ms += rng.random_range(1..1_000);
            let requests = rng.random_range(1..400);
            runs.extend(send(&mut bucket, requests, now_ms));
        }
        assert_window_kept(runs);
    }
}

/// Guards against a limit that admits nothing for a window after it was lowered, because the grants
/// of the earlier limit count against it.
#[test]
fn a_lowered_limit_is_used_at_once() {
    let mut bucket = TeamBucket::new(LIMIT, 1, TOLERANCE, BucketStart::Full, at(0));
    for now_ms in (0..5_000).step_by(10) {
        send(&mut bucket, 400, now_ms);
    }
    let lower = TeamLimit {
        rate_per_s: 20.0,
        burst: 5.0,
    };
    bucket.set_limit(lower, 2, TOLERANCE, at(5_000));
    let mut runs = 0;
    for now_ms in (5_000..7_000).step_by(10) {
        runs += send(&mut bucket, 400, now_ms).len();
    }
    assert!(runs >= 35, "{runs} of 40 requests");
}

/// Guards against a limit that is exceeded when it is lowered and raised again within a window: the
/// bucket was cut to the lower limit, so it is full although its tokens were used.
#[test]
fn a_limit_that_is_lowered_and_raised_again_is_kept() {
    let mut bucket = TeamBucket::new(LIMIT, 1, TOLERANCE, BucketStart::Full, at(0));
    let mut runs = Vec::new();
    for now_ms in (0..500).step_by(10) {
        runs.extend(send(&mut bucket, 400, now_ms));
    }
    let lower = TeamLimit {
        rate_per_s: 1.0,
        burst: 1.0,
    };
    for cycle in 0..4 {
        let now_ms = 1_000 * (cycle + 1);
        bucket.set_limit(lower, 2 * cycle + 2, TOLERANCE, at(now_ms));
        bucket.set_limit(LIMIT, 2 * cycle + 3, TOLERANCE, at(now_ms + 500));
        runs.extend(send(&mut bucket, 400, now_ms + 500));
    }
    assert_window_kept(runs);
}
