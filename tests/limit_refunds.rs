//! Tokens of requests that were refused after the limit of their team counted them.

use std::time::Duration;

use sapphireford::process::boot_clock::BootTime;
use sapphireford::process::gateway::settings::TeamLimitTolerance;
use sapphireford::process::teams::limit_bucket::{BucketStart, slack};
use sapphireford::process::teams::limit_holdings::TeamHoldings;
use sapphireford::process::teams::limit_messages::{LimitRequest, LimitResponse, TeamAsk, Verdict};
use sapphireford::process::teams::limit_owner::ShardBuckets;
use sapphireford_platform::operator::TeamLimit;

const TOLERANCE: TeamLimitTolerance = TeamLimitTolerance {
    window: Duration::from_secs(5),
    excess_share: 0.1,
    excess_requests: 20.0,
};
const LIMIT: TeamLimit = TeamLimit {
    rate_per_s: 20.0,
    burst: 200.0,
};
const ISSUER: u64 = 7;

fn at(ms: u64) -> BootTime {
    BootTime::from_boot(Duration::from_millis(1_000_000 + ms))
}

/// The holdings of a gateway that the owner has decided for.
fn holdings() -> TeamHoldings {
    let mut holdings = TeamHoldings::new("a".into(), LIMIT, 1, at(0));
    holdings.record_request(LIMIT, 1, false, at(0));
    holdings.record_issuer(ISSUER, at(0));
    holdings
}

fn ask(holdings: &mut TeamHoldings, waiting: usize, now_ms: u64) -> TeamAsk {
    holdings.ask(ISSUER, vec![0; waiting], Vec::new(), at(now_ms))
}

fn granted(owner: &mut ShardBuckets, ask: TeamAsk, now_ms: u64) -> usize {
    let request = LimitRequest {
        shard: 0,
        issuer: ISSUER,
        teams: vec![ask],
    };
    let LimitResponse::Decided { teams, .. } = owner.decide(&request, at(now_ms)) else {
        panic!("not decided");
    };
    let verdicts = teams[0].waiting.iter();
    verdicts
        .filter(|verdict| matches!(verdict, Verdict::Granted { .. }))
        .count()
}

/// Guards against a limit that is exceeded when tokens of requests that were refused long ago come
/// back: their window is over, so they make room for more requests in a window that is used up.
#[test]
fn tokens_of_an_earlier_window_make_no_room_in_a_later_one() {
    let start = BucketStart::Full;
    let mut owner = ShardBuckets::new(ISSUER, start, TOLERANCE, at(0));
    let (mut first, mut second) = (holdings(), holdings());
    let refused = granted(&mut owner, ask(&mut first, 150, 0), 0);
    assert_eq!(refused, 150);
    for _ in 0..refused {
        first.record_refused(at(0), at(10));
    }
    // The other gateway uses the whole limit of a later window.
    let mut runs = 0;
    for now_ms in (20_000..24_900).step_by(20) {
        runs += granted(&mut owner, ask(&mut second, 300, now_ms), now_ms);
    }
    runs += granted(&mut owner, ask(&mut first, 300, 24_900), 24_900);
    let most = 300.0 + slack(LIMIT, TOLERANCE);
    assert!(runs as f64 <= most, "{runs} runs, at most {most} may run");
}

/// Guards against the same with requests that wait for long before they are refused.
#[test]
fn a_request_that_is_refused_late_gives_nothing_back() {
    let mut holdings = holdings();
    holdings.record_refused(at(0), at(4_000));
    assert_eq!(ask(&mut holdings, 1, 4_000).refused, 0);
}

/// Guards against an allowance that is lost, because the tokens of refused requests wait for a next
/// request that does not come.
#[test]
fn tokens_of_refused_requests_go_back_without_a_next_request() {
    let mut holdings = holdings();
    holdings.record_refused(at(0), at(20));
    assert!(!holdings.must_return(at(100)), "it may go with a request");
    assert!(holdings.must_return(at(400)));
    assert_eq!(holdings.issuer(), ISSUER);
    assert_eq!(ask(&mut holdings, 0, 400).refused, 1);
    assert!(!holdings.must_return(at(500)), "returned twice");
    assert_eq!(ask(&mut holdings, 0, 500).refused, 0);
}

/// Guards against tokens that go back to an owner that has not counted them.
#[test]
fn a_new_owner_gets_no_tokens_of_the_one_before() {
    let mut holdings = holdings();
    holdings.record_refused(at(0), at(20));
    holdings.record_issuer(ISSUER + 1, at(30));
    let ask = holdings.ask(ISSUER + 1, vec![0], Vec::new(), at(40));
    assert_eq!(ask.refused, 0);
}
