//! Limits of teams over all gateways together, without a network and with a controlled clock.

#[path = "support/team_site.rs"]
mod team_site;

use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sapphireford::process::boot_clock::BootTime;
use sapphireford::process::teams::limit_bucket::{BucketStart, NO_OWNER_SLACK_SHARE};
use sapphireford::process::teams::limit_messages::{LimitRequest, LimitResponse, TeamAsk, Verdict};
use sapphireford::process::teams::limit_owner::ShardBuckets;
use team_site::{Reply, StoreMode, TOLERANCE, TeamSite, limit, most_in_a_window};
use yare::parameterized;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);

fn assert_limit_kept(site: &TeamSite, team: &str) {
    let (limit, _) = site.limits[team];
    let (runs, most) = (site.busiest_window(team), most_in_a_window(limit));
    assert!(
        runs <= most,
        "{runs} runs of `{team}` in a window, at most {most} may run"
    );
}

fn runs(site: &TeamSite, team: &str) -> usize {
    site.runs.get(team).map_or(0, Vec::len)
}

/// Guards against new owners that begin with a full bucket: a caller never stops while all gateways
/// are killed again and again.
#[parameterized(
    below_one_a_second = { 0.3, 1.0, 3 * S },
    ten = { 10.0, 5.0, 3 * S },
    large_burst = { 20.0, 400.0, 4 * S },
    hundreds = { 400.0, 100.0, 3 * S },
    often = { 100.0, 50.0, 1 * S },
)]
fn a_window_keeps_the_limit_over_kills_of_all_gateways(rate: f64, burst: f64, period: Duration) {
    let mut site = TeamSite::new(4, &[("a", limit(rate, burst))]);
    for _ in 0..12 {
        site.flood(&["a"], 5 * MS, period);
        for index in 0..4 {
            site.gateways[index].is_alive = false;
        }
        site.advance(100 * MS);
        for index in 0..4 {
            site.restart(index);
        }
    }
    assert_limit_kept(&site, "a");
    let used = runs(&site, "a") as f64 / (rate * 12.0 * period.as_secs_f64() + burst);
    assert!(used > 0.8, "only {used} of the limit was used");
}

/// Guards against a second owner that begins while an earlier one, cut off from the store, still
/// grants tokens to the gateways on its side.
#[test]
fn an_owner_that_is_cut_off_has_stopped_before_another_one_begins() {
    let mut site = TeamSite::new(6, &[("a", limit(100.0, 40.0))]);
    site.flood(&["a"], 5 * MS, 6 * S);
    let first = site.holder().expect("an owner");
    for (index, gateway) in site.gateways.iter_mut().enumerate() {
        let is_with_owner = index == first || index == 5;
        (gateway.side, gateway.reaches_store) = (u8::from(is_with_owner), !is_with_owner);
    }
    let mut has_changed = false;
    for _ in 0..1_500 {
        site.flood(&["a"], 10 * MS, 10 * MS);
        assert!(site.holders() <= 1, "two owners at a time");
        has_changed |= site.holder().is_some_and(|holder| holder != first);
    }
    assert!(has_changed, "no other gateway became the owner");
    assert_limit_kept(&site, "a");
}

/// Guards against an owner that continues after it was frozen for longer than its lease, and one that
/// counts anew after a shorter time.
#[parameterized(within_the_lease = { 3 * S }, beyond_the_lease = { 14 * S })]
fn a_frozen_owner_does_not_count_twice(time: Duration) {
    let mut site = TeamSite::new(3, &[("a", limit(50.0, 100.0))]);
    site.flood(&["a"], 5 * MS, 4 * S);
    let frozen = site.holder().expect("an owner");
    site.gateways[frozen].is_frozen = true;
    site.flood(&["a"], 5 * MS, time);
    site.gateways[frozen].is_frozen = false;
    assert!(site.holders() <= 1, "two owners at a time");
    site.flood(&["a"], 5 * MS, 12 * S);
    assert_limit_kept(&site, "a");
    assert_eq!(site.holder() == Some(frozen), time < 10 * S);
    // What it counted before is of no use after another one has counted.
    let owner = site.holder().expect("an owner");
    if owner != frozen {
        site.gateways[owner].is_alive = false;
        site.flood(&["a"], 5 * MS, 6 * S);
        assert_eq!(site.holder(), Some(frozen));
        assert_limit_kept(&site, "a");
    }
}

/// Guards against a lower limit that is exceeded later than the grants of the earlier one are valid,
/// and against a gateway with the earlier configuration that brings the earlier limit back.
#[test]
fn a_limit_that_is_lowered_tenfold_under_load_is_kept() {
    let (old, new) = (limit(200.0, 100.0), limit(20.0, 10.0));
    let mut site = TeamSite::new(5, &[("a", old)]);
    site.flood(&["a"], 5 * MS, 8 * S);
    assert_limit_kept(&site, "a");
    site.limits.insert("a".to_string(), (new, 2));
    site.request(0, "a", 0, false);
    site.limits.insert("a".to_string(), (old, 1));
    site.flood(&["a"], 5 * MS, 1 * S);
    site.runs.clear();
    site.flood(&["a"], 5 * MS, 5 * S);
    site.limits.insert("a".to_string(), (new, 2));
    site.flood(&["a"], 5 * MS, 10 * S);
    assert_limit_kept(&site, "a");
    assert!(
        runs(&site, "a") > 15 * 20 - 20,
        "the lower limit is not used"
    );
    site.limits.insert("a".to_string(), (old, 3));
    site.runs.clear();
    site.flood(&["a"], 5 * MS, 4 * S);
    assert!(runs(&site, "a") >= 780, "the raised limit is not used");
}

/// Guards against a flood that takes what other teams may use, and one that is told to come back all
/// at once.
#[test]
fn a_team_that_floods_does_not_reduce_what_another_gets() {
    let teams = [("flood", limit(50.0, 50.0)), ("calm", limit(50.0, 50.0))];
    let mut site = TeamSite::new(8, &teams);
    let mut refused = 0;
    for step in 0..3_000 {
        for index in 0..8 {
            site.request(index, "flood", 0, false);
        }
        if step % 4 == 0 {
            let reply = site.request(step / 4 % 8, "calm", 0, false);
            refused += usize::from(reply != Reply::Runs);
        }
        site.advance(10 * MS);
    }
    assert_eq!(refused, 0);
    assert_limit_kept(&site, "flood");
    assert!(
        runs(&site, "flood") >= 1_500,
        "the limit of the flood is not used"
    );
    let retry_after = |site: &mut TeamSite| {
        loop {
            match site.request(0, "flood", 0, false) {
                Reply::Denied(retry_after) => break retry_after,
                Reply::Runs => {}
                reply => panic!("{reply:?}"),
            }
        }
    };
    assert!(retry_after(&mut site) <= 6 * S);
    // After a pause, denied requests are told to come back one after another.
    site.advance(8 * S);
    while site.request(0, "flood", 0, false) == Reply::Runs {}
    let retries: Vec<Duration> = (0..50).map(|_| retry_after(&mut site)).collect();
    let spacing = |pair: &[Duration]| pair[1].saturating_sub(pair[0]) >= 19 * MS;
    assert!(retries.windows(2).all(spacing), "{retries:?}");
}

/// Guards against answers of the store that are lost: a write without an answer that was performed
/// must neither block the limit nor begin it anew.
#[test]
fn lost_answers_of_the_store_change_no_limit() {
    let mut site = TeamSite::new(3, &[("a", limit(100.0, 20.0))]);
    site.store_mode = StoreMode::LosesAnswers;
    site.flood(&["a"], 5 * MS, 20 * S);
    assert_limit_kept(&site, "a");
    assert!(runs(&site, "a") >= 1_800, "{} runs", runs(&site, "a"));
    site.store_mode = StoreMode::Down;
    site.flood(&["a"], 5 * MS, 5 * S);
    assert!(site.holder().is_some(), "a lease ended in an outage of 5 s");
    site.flood(&["a"], 5 * MS, 15 * S);
    assert_eq!(site.holder(), None);
    site.store_mode = StoreMode::Up;
    site.flood(&["a"], 5 * MS, 5 * S);
    assert!(site.holder().is_some());
    assert_limit_kept(&site, "a");
}

/// Guards against tokens that stay at gateways without requests.
#[test]
fn unused_tokens_come_back() {
    let mut site = TeamSite::new(10, &[("a", limit(20.0, 1_000.0))]);
    // The last of these requests gets more tokens than it needs.
    for index in 0..10 {
        for _ in 0..8 {
            site.request(index, "a", 0, false);
        }
    }
    site.advance(300 * MS);
    let before = runs(&site, "a");
    assert_eq!(before, 80);
    while site.request(0, "a", 0, false) == Reply::Runs {}
    let rest = runs(&site, "a") - before;
    assert!(rest >= 926, "only {rest} of 926 tokens are there");
    assert_limit_kept(&site, "a");
}

/// Guards against an owner that stops without another one in its place, and against a new owner that
/// counts anew.
#[test]
fn a_limit_is_used_and_kept_while_owners_stop() {
    let mut site = TeamSite::new(8, &[("a", limit(100.0, 100.0))]);
    for _ in 0..7 {
        site.flood(&["a"], 5 * MS, 700 * MS);
        let owner = site.holder().expect("an owner");
        site.stop(owner);
    }
    site.flood(&["a"], 5 * MS, 100 * MS);
    assert_limit_kept(&site, "a");
    assert!(runs(&site, "a") >= 580, "{} of 600 ran", runs(&site, "a"));
}

/// Guards against combinations of faults that exceed the limit, or after which it is not used.
#[parameterized(first = { 1 }, second = { 2 }, third = { 3 }, fourth = { 4 })]
fn the_limit_is_kept_over_random_faults(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    for _ in 0..6 {
        let team = limit(rng.random_range(1.0..300.0), rng.random_range(0.0..300.0));
        let mut site = TeamSite::new(5, &[("a", team)]);
        for _ in 0..60 {
            let index = rng.random_range(0..5);
            match rng.random_range(0..12) {
                0 => site.gateways[index].is_alive = false,
                1 => site.stop(index),
                2 | 3 => site.restart(index),
                4 => site.gateways[index].is_frozen = true,
                5 | 6 => site.gateways[index].is_frozen = false,
                7 => site.gateways[index].side = 1,
                8 => site
                    .gateways
                    .iter_mut()
                    .for_each(|gateway| gateway.side = 0),
                9 => site.gateways[index].reaches_store ^= true,
                10 => site.store_mode = StoreMode::Up,
                _ => {
                    let modes = [
                        StoreMode::Down,
                        StoreMode::LosesAnswers,
                        StoreMode::DelaysWrites,
                    ];
                    site.store_mode = modes[rng.random_range(0..3)];
                }
            }
            site.flood(&["a"], 10 * MS, rng.random_range(100..2_500) * MS);
            assert!(site.holders() <= 1, "two owners at a time, seed {seed}");
        }
        assert_limit_kept(&site, "a");
        site.store_mode = StoreMode::Up;
        (0..5).for_each(|index| site.restart(index));
        site.flood(&["a"], 10 * MS, 11 * S);
        site.runs.clear();
        site.flood(&["a"], 10 * MS, 10 * S);
        let used = runs(&site, "a") as f64 / (team.rate_per_s * 10.0);
        assert!(
            used > 0.9,
            "{used} of the limit used after the faults, seed {seed}"
        );
    }
}

/// Guards against gateways without an owner that together exceed the tolerance, and against an owner
/// whose limit is used up in addition.
#[parameterized(small = { 1.0, 0.0, 3 }, large = { 300.0, 200.0, 20 })]
fn shares_without_an_owner_stay_within_their_part_of_the_slack(
    rate: f64,
    burst: f64,
    gateways: usize,
) {
    let team = limit(rate, burst);
    let mut site = TeamSite::new(gateways, &[("a", team)]);
    site.store_mode = StoreMode::Down;
    site.flood(&["a"], 20 * MS, 20 * S);
    let slack = (rate * 5.0 + burst) * 0.1 + 20.0;
    let most = site.busiest_window("a");
    assert!(
        most as f64 <= slack * NO_OWNER_SLACK_SHARE,
        "{most} runs with a slack of {slack}"
    );
    assert!(most > 0, "nothing runs without an owner");
    site.store_mode = StoreMode::Up;
    site.flood(&["a"], 20 * MS, 6 * S);
    site.store_mode = StoreMode::Down;
    site.flood(&["a"], 20 * MS, 20 * S);
    assert_limit_kept(&site, "a");
}

/// Guards against a limit that is not usable because of the way it is counted: requests at 60 % of
/// it, at random times and gateways, are served.
#[test]
fn requests_below_the_limit_are_served() {
    let mut site = TeamSite::new(30, &[("a", limit(200.0, 100.0))]);
    let mut rng = StdRng::seed_from_u64(7);
    let (mut refused, mut sent) = (0, 0);
    for _ in 0..60_000 {
        let is_first = rng.random_bool(0.2);
        if rng.random_bool(0.12) {
            let gateway = rng.random_range(0..30);
            let program = match is_first {
                true => rng.random_range(1..u64::MAX),
                false => 0,
            };
            let reply = site.request(gateway, "a", program, is_first);
            sent += 1;
            refused += u32::from(reply != Reply::Runs);
        }
        site.advance(MS);
    }
    assert!(refused * 500 <= sent, "{refused} of {sent} were refused");
}

/// Guards against messages for each request of a team far below its limit.
#[test]
fn a_team_far_below_its_limit_needs_few_calls() {
    let mut site = TeamSite::new(3, &[("a", limit(2_000.0, 2_000.0))]);
    site.flood(&["a"], 20 * MS, 20 * S);
    let (runs, calls) = (runs(&site, "a") as u64, site.calls);
    assert_eq!(runs, 3_000);
    assert!(calls * 5 < runs, "{calls} calls for {runs} requests");
}

/// Guards against a team near its limit that begins more programs than it can finish, also after a new
/// owner that does not know them.
#[parameterized(one_owner = { false }, owners_that_die = { true })]
fn programs_that_have_begun_finish_and_fewer_begin(owners_die: bool) {
    const REQUESTS: u32 = 8;
    struct Program {
        id: u64,
        done: u32,
        next_at: BootTime,
        begun_at: BootTime,
    }
    let mut site = TeamSite::new(4, &[("a", limit(40.0, 40.0))]);
    let mut rng = StdRng::seed_from_u64(11);
    let start = site.now;
    let mut programs: Vec<Program> = Vec::new();
    let (mut begun, mut finished, mut late) = (0, 0, 0);
    for step in 0..9_000u64 {
        // Programs that need 2.5 times the limit.
        if rng.random_bool(0.125) {
            programs.push(Program {
                id: step + 1,
                done: 0,
                next_at: site.now,
                begun_at: site.now,
            });
        }
        if owners_die && step % 1_000 == 500 {
            let owner = site.holder().expect("an owner");
            site.restart(owner);
        }
        let now = site.now;
        let is_counted = now.saturating_duration_since(start) >= 30 * S;
        for program in programs.iter_mut().filter(|program| program.next_at <= now) {
            let gateway = rng.random_range(0..4);
            match site.request(gateway, "a", program.id, program.done == 0) {
                Reply::Runs => {
                    if program.done == 0 {
                        program.begun_at = now;
                        begun += u32::from(is_counted);
                    }
                    program.done += 1;
                    program.next_at = now + 400 * MS;
                }
                Reply::Denied(retry_after) => program.next_at = now + retry_after,
                Reply::NoOwner => panic!("there is an owner"),
            }
        }
        programs.retain(|program| {
            let is_begun = program.done > 0;
            let time = now.saturating_duration_since(program.begun_at);
            let is_done = program.done == REQUESTS;
            // A program takes 3.2 s on its own.
            let is_late = is_begun && time > 6 * S;
            let is_given_up = !is_begun && time > 4 * S;
            if is_counted {
                finished += u32::from(is_done);
                late += u32::from(is_late && !is_done);
            }
            !is_done && !is_late && !is_given_up
        });
        site.advance(10 * MS);
    }
    assert_limit_kept(&site, "a");
    assert!(
        late * 20 <= begun,
        "{late} of {begun} programs that have begun did not finish in time"
    );
    // 60 s at 40 requests a second are 300 programs.
    assert!(finished >= 255, "only {finished} of 300 programs finished");
}

/// Guards against first turns beyond what the limit covers with the turns that follow them, and
/// against first turns that take the tokens of requests that were told to come back; also after a new
/// owner that does not know the programs.
#[parameterized(one_owner = { false }, owner_that_dies = { true })]
fn first_turns_leave_tokens_to_the_programs_that_have_begun(owner_dies: bool) {
    let mut site = TeamSite::new(2, &[("a", limit(10.0, 80.0))]);
    for program in 1..=5 {
        for turn in 0..8 {
            site.request(1, "a", program, turn == 0);
        }
    }
    if owner_dies {
        site.restart(0);
        site.request(1, "a", 0, false);
    }
    site.advance(10 * S);
    let mut begun = 0;
    while site.request(1, "a", 100 + begun, true) == Reply::Runs {
        begun += 1;
    }
    assert!(
        // A window of the limit carries 130 requests.
        (8..=16).contains(&begun),
        "{begun} programs of eight requests begun at once"
    );
    // The first turn of a program that has begun may come again.
    assert_eq!(site.request(1, "a", 100, true), Reply::Runs);
    site.advance(10 * S);
    while site.request(1, "a", 100, false) == Reply::Runs {}
    (0..3).for_each(|_| assert_ne!(site.request(1, "a", 100, false), Reply::Runs));
    site.advance(150 * MS);
    assert!(matches!(site.request(1, "a", 200, true), Reply::Denied(_)));
    assert_eq!(site.request(1, "a", 100, false), Reply::Runs);
}

/// Guards against limits at the ends of their range that end the gateway or are not kept.
#[parameterized(
    lowest = { 1e-300, 0.0, 25 },
    highest = { f64::MAX, f64::MAX, usize::MAX },
    tiny_rate = { f64::MIN_POSITIVE, 3.0, 25 },
)]
fn unusual_limits_are_kept(rate: f64, burst: f64, most: usize) {
    let mut site = TeamSite::new(2, &[("a", limit(rate, burst))]);
    for owner in [0, 1, 0] {
        for program in 0..400 {
            site.request(1, "a", program, program % 2 == 0);
        }
        site.advance(4 * S);
        site.restart(owner);
    }
    let ran = runs(&site, "a");
    assert!((1..=most).contains(&ran), "{ran} ran");
}

/// Guards against work and memory for all teams instead of the active ones.
#[test]
fn a_decision_costs_the_same_with_41_000_teams() {
    const DECISIONS: u32 = 100_000;
    let now = BootTime::from_boot(10 * S);
    let mut buckets = ShardBuckets::new(1, BucketStart::Full, TOLERANCE, now);
    let ask = |team: u32| LimitRequest {
        shard: 0,
        issuer: 0,
        teams: vec![TeamAsk {
            team: format!("team-{team}"),
            config_version: 1,
            rate_per_s: 1e6,
            burst: 1e6,
            waiting: vec![1],
            ..TeamAsk::default()
        }],
    };
    for team in 0..41_000 {
        buckets.decide(&ask(team), now);
    }
    let now = now + 40 * S;
    buckets.remove_idle(now);
    // Programs are forgotten in the round after their time-out.
    buckets.remove_idle(now + 4 * S);
    assert_eq!(buckets.active_teams(), 0);
    let requests: Vec<LimitRequest> = (0..100).map(ask).collect();
    let started = Instant::now();
    for index in 0..DECISIONS as usize {
        let response = buckets.decide(&requests[index % 100], now);
        let LimitResponse::Decided { teams, .. } = response else {
            panic!("not decided");
        };
        assert!(matches!(teams[0].waiting[0], Verdict::Granted { .. }));
    }
    let each = started.elapsed() / DECISIONS;
    assert!(each < Duration::from_micros(50), "{each:?} for a decision");
    assert_eq!(buckets.active_teams(), 100);
}
