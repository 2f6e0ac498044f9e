//! Which requests are refused because of crashes of servers, without a network.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::Request;
use hyper::header::{AUTHORIZATION, HeaderValue};
use sapphireford::connection::http_server::CallerAddress;
use sapphireford::process::gateway::crash_reports::{
    CRASHES_AT_ONE_SERVER_TO_SUSPECT, CRASHES_TO_SUSPECT, Crash, CrashReports,
    FIRST_REFUSAL_PERIOD, MAX_FINGERPRINTS, RETENTION, Verdict,
};
use sapphireford::process::gateway::fingerprint::RequestIdentity;
use sapphireford::process::gateway::peers::{PeerCall, RelayTerms, decode_call, wrap_request};
use sapphireford_platform::headers::relayed_request_headers;
use yare::parameterized;

/// Long enough for the reports of other gateways.
const SECOND: Duration = Duration::from_secs(1);

fn identity_of(caller: u8, path: &str, body: &str) -> RequestIdentity {
    let mut request = Request::new(Bytes::from(body.to_string()));
    *request.uri_mut() = path.parse().expect("a path");
    let address = SocketAddr::from(([10, 0, 0, caller], 4_000));
    request.extensions_mut().insert(CallerAddress(address));
    RequestIdentity::new(&request)
}

fn identity(body: &str) -> RequestIdentity {
    identity_of(1, "/quote/a", body)
}

/// Guards against a request that crashes servers and is not recognized when a peer serves it.
#[parameterized(
    by_key = { Some("Bearer k"), 0 },
    by_address = { None, 0 },
    with_recorded_origins = { None, 2 },
)]
fn a_relayed_request_and_its_caller_are_recognized(
    key: Option<&'static str>,
    origin_recorders: u32,
) {
    let address = SocketAddr::from(([10, 0, 0, 1], 4_000));
    let mut request = Request::new(Bytes::from_static(b"a turn"));
    *request.uri_mut() = "/quote/a?b=c".parse().expect("a path");
    if let Some(key) = key {
        let key = HeaderValue::from_static(key);
        request.headers_mut().insert(AUTHORIZATION, key);
    }
    let mut relayed = request.clone();
    request.extensions_mut().insert(CallerAddress(address));
    let time_left = Duration::from_millis(700);
    *relayed.headers_mut() = relayed_request_headers(request.headers(), time_left, None);
    let terms = RelayTerms {
        attempts_left: 1,
        origin_recorders,
        are_tokens_reserved: false,
        prefix_holder: None,
        team: None,
    };
    let relayed = wrap_request(relayed, Some(address), terms);
    let relayed = relayed.expect("a valid path");
    let Some(PeerCall::Request(relayed)) = decode_call(relayed) else {
        panic!("the request is not decoded as a relayed one");
    };
    assert_eq!(relayed.attempts_left, Some(1));
    assert_eq!(relayed.origin_recorders, Some(origin_recorders));
    assert_eq!(
        RequestIdentity::new(&relayed.request),
        RequestIdentity::new(&request)
    );
}

/// Crashes of servers, one a second.
struct Crashes {
    now: Instant,
    next_id: u64,
}

impl Crashes {
    fn new() -> Self {
        Self {
            now: Instant::now(),
            next_id: 1,
        }
    }

    /// A crash at a server, of a run that began after the last crash.
    fn crash_at(&mut self, server: u8) -> Crash {
        self.now += SECOND;
        self.next_id += 1;
        Crash {
            id: self.next_id,
            server_address: SocketAddr::from(([10, 0, 1, server], 8_000)),
            started_at: self.now - SECOND / 2,
            at: self.now,
        }
    }
}

/// Guards against a request that comes again in another program, with a longer prompt or from
/// another address, and crashes servers again.
#[parameterized(
    same_body = { 1, "/quote/a", "" },
    longer_body = { 1, "/quote/a", " and then some more" },
    another_address = { 2, "/quote/a", "" },
)]
fn a_refused_request_is_recognized(caller: u8, path: &str, appended: &str) {
    let start = "a prompt of more than a hundred bytes ".repeat(4);
    let mut crashes = Crashes::new();
    let reports = CrashReports::default();
    let guilty = identity_of(1, "/quote/a", &start);
    for server in 0..2 {
        reports.record_crash(&guilty, crashes.crash_at(server));
    }
    assert_eq!(
        reports.verdict(&guilty, crashes.now + SECOND),
        Verdict::MayRun
    );
    let again = identity_of(caller, path, &format!("{start}{appended}"));
    reports.record_crash(&again, crashes.crash_at(3));
    let now = crashes.now;
    assert!(matches!(reports.verdict(&again, now), Verdict::Wait(_)));
    let refused = Verdict::Refused(CRASHES_TO_SUSPECT);
    assert_eq!(reports.verdict(&again, now + SECOND), refused);
    assert_eq!(reports.verdict(&guilty, now + SECOND), refused);
    let other_path = identity_of(caller, "/quote/b", &start);
    assert_eq!(reports.verdict(&other_path, now + SECOND), Verdict::MayRun);
}

/// Guards against a caller that has the requests of others refused: those of a caller with whose
/// requests no server has crashed yet run.
#[test]
fn crashes_of_one_other_caller_do_not_count() {
    let mut crashes = Crashes::new();
    let reports = CrashReports::default();
    for server in 0..4 {
        reports.record_crash(&identity("a"), crashes.crash_at(server));
    }
    let victim = identity_of(2, "/quote/a", "a");
    let now = crashes.now + SECOND;
    assert_eq!(reports.verdict(&victim, now), Verdict::MayRun);
    reports.record_crash(&victim, crashes.crash_at(5));
    let now = crashes.now + SECOND;
    assert!(matches!(reports.verdict(&victim, now), Verdict::Refused(_)));
}

/// Guards against innocent requests that are refused because they were running with a guilty one
/// each time, or because they have not succeeded yet.
#[test]
fn the_blame_goes_to_the_request_with_the_most_crashes() {
    let mut crashes = Crashes::new();
    let reports = CrashReports::default();
    let guilty = [identity("guilty 1"), identity("guilty 2")];
    let innocent = identity("innocent");
    let succeeded = identity("succeeded");
    for number in 0..4 {
        for (index, guilty) in guilty.iter().enumerate() {
            let crash = crashes.crash_at(2 * number + index as u8);
            reports.record_crash(guilty, crash);
            // It is hit by the first two crashes of one and by the third one of the other.
            if (number < 2) == (index == 0) && number < 3 {
                reports.record_crash(&innocent, crash);
            }
            reports.record_crash(&succeeded, crash);
            reports.record_success(&succeeded, crash.at + SECOND / 8);
        }
    }
    let now = crashes.now + SECOND;
    for guilty in &guilty {
        assert!(matches!(reports.verdict(guilty, now), Verdict::Refused(_)));
    }
    assert_eq!(reports.verdict(&innocent, now), Verdict::MayRun);
    assert_eq!(reports.verdict(&succeeded, now), Verdict::MayRun);
}

/// Guards against requests that are refused although the servers crash by themselves.
#[test]
fn crashes_without_a_cause_in_the_request_do_not_count() {
    let mut crashes = Crashes::new();
    let at_one_server = CrashReports::default();
    for _ in 1..CRASHES_AT_ONE_SERVER_TO_SUSPECT {
        at_one_server.record_crash(&identity("a"), crashes.crash_at(1));
    }
    let now = crashes.now + SECOND;
    assert_eq!(at_one_server.verdict(&identity("a"), now), Verdict::MayRun);
    at_one_server.record_crash(&identity("a"), crashes.crash_at(1));
    let now = crashes.now + SECOND;
    let verdict = at_one_server.verdict(&identity("a"), now);
    assert!(matches!(verdict, Verdict::Refused(_)), "{verdict:?}");

    // A rack fails: all runs began before the first crash.
    let at_once = CrashReports::default();
    for server in 0..6 {
        let mut crash = crashes.crash_at(server);
        crash.started_at = crashes.now - SECOND * 10;
        at_once.record_crash(&identity("a"), crash);
    }
    let now = crashes.now + SECOND;
    assert_eq!(at_once.verdict(&identity("a"), now), Verdict::MayRun);

    // All requests crash servers, and none succeeds.
    let service_down = CrashReports::default();
    for server in 0..4 {
        for body in ["a", "b", "c"] {
            service_down.record_crash(&identity(body), crashes.crash_at(server));
        }
    }
    let now = crashes.now + SECOND;
    assert_eq!(service_down.verdict(&identity("a"), now), Verdict::MayRun);
}

/// Guards against a request that a repaired service never gets again, and against one that may
/// crash three more servers each time that its refusal has ended.
#[test]
fn a_refusal_ends_and_is_longer_the_next_time() {
    let mut crashes = Crashes::new();
    let reports = CrashReports::default();
    let request = identity("a");
    for server in 0..3 {
        reports.record_crash(&request, crashes.crash_at(server));
    }
    crashes.now += FIRST_REFUSAL_PERIOD;
    assert_eq!(reports.verdict(&request, crashes.now), Verdict::MayRun);
    reports.record_crash(&request, crashes.crash_at(4));
    crashes.now += FIRST_REFUSAL_PERIOD;
    assert!(matches!(
        reports.verdict(&request, crashes.now),
        Verdict::Refused(_)
    ));
    crashes.now += FIRST_REFUSAL_PERIOD;
    assert_eq!(reports.verdict(&request, crashes.now), Verdict::MayRun);
    reports.record_success(&request, crashes.now);
    crashes.now += RETENTION;
    reports.remove_expired(crashes.now);
    assert!(reports.is_empty());
}

/// Guards against a refused request that runs again because reports of overlapping runs, as a large
/// site has many of them, displace those that count.
#[test]
fn further_crashes_do_not_clear_a_request() {
    let mut crashes = Crashes::new();
    let request = identity("a");
    let gateways = [(); 2].map(|()| CrashReports::default());
    for server in 0..4 {
        gateways[0].record_crash(&request, crashes.crash_at(server));
    }
    for number in 0..40 {
        let mut crash = crashes.crash_at(number);
        crashes.now -= SECOND - SECOND / 100;
        crash.at = crashes.now;
        crash.started_at = crash.at - SECOND;
        gateways[usize::from(number % 2)].record_crash(&request, crash);
        let later = crashes.now + SECOND;
        for (from, to) in [(0, 1), (1, 0)] {
            gateways[to].merge(&gateways[from].reports(later), later);
        }
        for reports in &gateways {
            let verdict = reports.verdict(&request, later);
            assert!(matches!(verdict, Verdict::Refused(_)), "{verdict:?}");
        }
    }
}

/// Guards against memory that grows with the requests that crashes interrupt, and against a guilty
/// request that is forgotten for innocent ones.
#[test]
fn the_memory_of_crashes_is_bounded() {
    let mut crashes = Crashes::new();
    let reports = CrashReports::default();
    let guilty = identity("guilty");
    for server in 0..3 {
        reports.record_crash(&guilty, crashes.crash_at(server));
    }
    let crash = crashes.crash_at(4);
    reports.record_success(&identity("succeeds"), crashes.now);
    for number in 0..2 * MAX_FINGERPRINTS {
        reports.record_crash(&identity(&number.to_string()), crash);
        assert!(reports.len() <= MAX_FINGERPRINTS);
    }
    let now = crashes.now + SECOND;
    assert!(matches!(reports.verdict(&guilty, now), Verdict::Refused(_)));
}

/// Guards against knowledge that stays with the gateways that saw the crashes: three gateways saw one
/// each, and a fourth one none.
#[test]
fn gateways_that_saw_no_crash_learn_of_it() {
    let mut crashes = Crashes::new();
    let request = identity("a");
    let seen = [(); 3].map(|()| CrashReports::default());
    for (server, reports) in seen.iter().enumerate() {
        reports.record_crash(&request, crashes.crash_at(server as u8));
    }
    let now = crashes.now + SECOND;
    let last = CrashReports::default();
    for reports in &seen {
        // A report may arrive more than once.
        last.merge(&reports.reports(now), now);
        last.merge(&reports.reports(now), now);
    }
    assert!(matches!(last.verdict(&request, now), Verdict::Refused(_)));
    seen[0].record_success(&request, now);
    last.merge(&seen[0].reports(now), now);
    assert_eq!(last.verdict(&request, now + SECOND), Verdict::MayRun);
}
