//! Keys of callers and the separation of teams, without a network.

use bytes::Bytes;
use hyper::Request;
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use sapphireford::error::{Error, ErrorKind};
use sapphireford::process::gateway::fingerprint::RequestIdentity;
use sapphireford::process::gateway::ledger::TurnBudget;
use sapphireford::process::gateway::peers::{
    AdmitRequest, PeerCall, RelayTerms, ServerNotices, SettleRequest, decode_call, wrap_request,
};
use sapphireford::process::gateway::relayed_team::RelayedTeam;
use sapphireford::process::teams::config_age::ConfigAge;
use sapphireford::request::gateway::caller::{Caller, PresentedKey};
use sapphireford::request::gateway::qualified_ids::{IdScope, QualifiedIds};
use sapphireford::version::key_digest::KeyDigest;
use sapphireford::version::route_table::RouteTable;
use sapphireford_platform::headers::CallHeaders;
use sapphireford_platform::operator;
use serde_json::{Value, json};
use std::time::Duration;
use yare::parameterized;

fn routes(tenants: Value) -> RouteTable {
    let route = |prefix: &str, is_public: bool| {
        json!({ "name": prefix, "host": "a.example", "pathPrefix": prefix, "kind": "idempotent",
                "service": "app", "public": is_public })
    };
    let config = json!({
        "version": 1, "tenants": tenants,
        "routes": [route("/closed/", false), route("/open/", true)],
    });
    let config = operator::decode(config.to_string().as_bytes());
    RouteTable::from(config.expect("a configuration"))
}

fn two_teams() -> RouteTable {
    routes(json!([
        { "name": "acme", "apiKeys": ["k-acme", "k-acme-2", "k-shared", "k-all"] },
        { "name": "bolt", "apiKeys": ["k-bolt", "k-shared", "k-all"] },
        { "name": "cork", "apiKeys": ["k-all"] },
    ]))
}

fn authorization(values: &[&[u8]]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_bytes(value).expect("a header value");
        headers.append(AUTHORIZATION, value);
    }
    headers
}

/// The team of a key, or the kind of the error.
fn identify(
    routes: &RouteTable,
    path: &str,
    key: PresentedKey,
    config_age: &ConfigAge,
) -> Result<Option<String>, ErrorKind> {
    let route = routes.find("a.example", path).expect("a route");
    let caller = Caller::identify(routes, route, key, config_age);
    let caller = caller.map_err(|error| error.kind)?;
    Ok(caller.team.map(|team| team.id.to_string()))
}

/// Guards against a key that is read differently from how it was sent: one that is cut, joined or
/// trimmed may be that of another team.
#[parameterized(
    none = { &[], PresentedKey::Missing },
    empty = { &[b"Bearer "], PresentedKey::Malformed },
    scheme_only = { &[b"Bearer"], PresentedKey::Malformed },
    other_scheme = { &[b"Basic k-acme"], PresentedKey::Malformed },
    no_scheme = { &[b"k-acme"], PresentedKey::Malformed },
    two_spaces = { &[b"Bearer  k-acme"], PresentedKey::Malformed },
    tab = { &[b"Bearer\tk-acme"], PresentedKey::Malformed },
    inner_space = { &[b"Bearer k-acme k-bolt"], PresentedKey::Malformed },
    doubled = { &[b"Bearer k-acme", b"Bearer k-acme"], PresentedKey::Malformed },
    not_ascii = { &[b"Bearer k-\xc3\xa4"], PresentedKey::Malformed },
    longest = { &[&[b"Bearer ".as_slice(), &[b'k'; 256]].concat()],
                PresentedKey::Digest(KeyDigest::of_key(&"k".repeat(256))) },
    too_long = { &[&[b"Bearer ".as_slice(), &[b'k'; 257]].concat()], PresentedKey::Malformed },
    other_case = { &[b"bEARER k-acme"], PresentedKey::Digest(KeyDigest::of_key("k-acme")) },
    valid = { &[b"Bearer k-acme"], PresentedKey::Digest(KeyDigest::of_key("k-acme")) },
)]
fn a_key_is_read_as_it_was_sent(values: &[&[u8]], expected: PresentedKey) {
    assert_eq!(PresentedKey::decode(&authorization(values)), expected);
}

/// Guards against a key that identifies the wrong team, and against a refusal that is final although
/// a newer configuration may have the key, or make the route public.
#[parameterized(
    known = { "k-acme", "/closed/", Ok(Some("acme")), Ok(Some("acme")) },
    second_key = { "k-acme-2", "/closed/", Ok(Some("acme")), Ok(Some("acme")) },
    known_on_public_route = { "k-bolt", "/open/", Ok(Some("bolt")), Ok(Some("bolt")) },
    in_two_teams = { "k-shared", "/closed/", Err(ErrorKind::Unauthorized), Err(ErrorKind::NotReady) },
    in_three_teams = { "k-all", "/closed/", Err(ErrorKind::Unauthorized), Err(ErrorKind::NotReady) },
    unknown = { "k-none", "/closed/", Err(ErrorKind::Unauthorized), Err(ErrorKind::NotReady) },
    missing = { "", "/closed/", Err(ErrorKind::Unauthorized), Err(ErrorKind::NotReady) },
    unknown_on_public_route = { "k-none", "/open/", Ok(None), Ok(None) },
    missing_on_public_route = { "", "/open/", Ok(None), Ok(None) },
)]
fn a_key_identifies_its_team(
    key: &str,
    path: &str,
    if_current: Result<Option<&str>, ErrorKind>,
    if_unproved: Result<Option<&str>, ErrorKind>,
) {
    let routes = two_teams();
    let key = match key {
        "" => PresentedKey::Missing,
        key => PresentedKey::Digest(KeyDigest::of_key(key)),
    };
    let without_bound = ConfigAge::new(None);
    let found = identify(&routes, path, key, &without_bound);
    assert_eq!(found, if_current.map(|team| team.map(str::to_string)));
    // Whether a known key is accepted without a proof is not decided here.
    if !matches!(if_unproved, Ok(Some(_))) {
        let unproved = ConfigAge::new(Some(Duration::from_secs(5)));
        let found = identify(&routes, path, key, &unproved);
        assert_eq!(found, if_unproved.map(|team| team.map(str::to_string)));
    }
}

/// Guards against a final 404 for a turn of a team whose key this gateway may not know yet, on a route
/// that needs no key.
#[test]
fn a_turn_that_may_belong_to_the_team_of_an_unknown_key_is_not_refused_for_good() {
    let routes = two_teams();
    let route = routes.find("a.example", "/open/").expect("a route");
    let not_found = |key: PresentedKey, config_age: &ConfigAge| {
        let caller = Caller::identify(&routes, route, key, config_age).expect("a caller");
        caller
            .not_found_error(Error::new(ErrorKind::NotFound, "no such turn"))
            .kind
    };
    let unproved = ConfigAge::new(Some(Duration::from_secs(5)));
    let current = ConfigAge::new(None);
    let unknown = PresentedKey::Digest(KeyDigest::of_key("k-none"));
    assert_eq!(not_found(unknown, &unproved), ErrorKind::NotReady);
    assert_eq!(not_found(unknown, &current), ErrorKind::NotFound);
    assert_eq!(
        not_found(PresentedKey::Missing, &unproved),
        ErrorKind::NotFound
    );
}

/// Guards against requests that outlast their key while they wait, and against a final refusal of one
/// that needs no key.
#[test]
fn a_key_is_checked_again_by_the_newest_configuration() {
    let routes_at_arrival = two_teams();
    let config_age = ConfigAge::new(None);
    let caller = |path: &str| {
        let route = routes_at_arrival.find("a.example", path).expect("a route");
        let key = PresentedKey::Digest(KeyDigest::of_key("k-acme"));
        Caller::identify(&routes_at_arrival, route, key, &config_age).expect("a caller")
    };
    let check = |path: &str, newest: &RouteTable| {
        let checked = caller(path).require_valid(newest, &config_age);
        checked.map_err(|error| error.kind)
    };
    let withdrawn = routes(json!([{ "name": "acme", "apiKeys": ["k-acme-2"] }]));
    let moved = routes(json!([{ "name": "bolt", "apiKeys": ["k-acme"] }]));
    let without_teams = routes(Value::Null);
    for newest in [&withdrawn, &moved] {
        assert_eq!(check("/closed/", newest), Err(ErrorKind::Unauthorized));
        assert_eq!(check("/open/", newest), Err(ErrorKind::NotReady));
    }
    for newest in [&routes_at_arrival, &without_teams] {
        assert_eq!(check("/closed/", newest), Ok(()));
    }
}

/// Guards against two programs that share what they store because their qualified ids are the same,
/// and against rows from before the teams that cannot be found any more without them.
#[test]
fn no_two_ids_of_teams_are_the_same() {
    let long = "t".repeat(65);
    let long_digest = KeyDigest::of_key(&long).to_hex();
    let mut ids = Vec::new();
    let names = ["", "a", "a:b", "1", "1:a", &long, &long_digest];
    for team in names {
        for id in ["", "x", ":x", "b:x", "1:a:x", "a:x"] {
            ids.push(IdScope::of_team(Some(team)).qualify(id));
        }
    }
    let total = ids.len();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), total);
    assert_eq!(
        IdScope::of_team(Some("\u{e4}b")).qualify("x"),
        "3:\u{e4}b:x"
    );
    assert_eq!(IdScope::of_team(None).qualify("x"), "0::x");
    let bytes = IdScope::of_team(Some(&long)).qualify("x");
    assert_eq!(bytes, format!("65:{long_digest}:x"));
    assert_eq!(IdScope::without_teams().qualify("4:acme:x"), "4:acme:x");
}

/// Guards against an id that is stored or told to peers as the caller sent it.
#[test]
fn all_ids_of_a_request_are_qualified() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("request-id", "r"),
        ("program-id", "p"),
        ("previous-turn", "q"),
        ("resumes", "s"),
        ("token-budget", "5"),
    ] {
        headers.insert(name, HeaderValue::from_static(value));
    }
    let call = CallHeaders::decode(&headers);
    let ids = QualifiedIds::new(&IdScope::of_team(Some("acme")), &call);
    let expected = QualifiedIds {
        are_qualified: true,
        program_id: Some("4:acme:p".to_string()),
        turn_id: Some("4:acme:r".to_string()),
        previous_turn_id: Some("4:acme:q".to_string()),
        resumed_turn_id: Some("4:acme:s".to_string()),
    };
    assert_eq!(ids, expected);
    assert_eq!(ids.account_program(&call), Some("4:acme:p"));
}

/// Guards against a caller that has the requests of another team refused as crashing ones, and against
/// a digest of the key in log lines, which have the fingerprint.
#[test]
fn a_request_is_recognized_by_its_team_and_not_by_its_key() {
    let request = |key: &'static str| {
        let mut request = Request::new(Bytes::from_static(b"a turn"));
        let key = HeaderValue::from_static(key);
        request.headers_mut().insert(AUTHORIZATION, key);
        request
    };
    let identity = |key, team| {
        let scope = IdScope::of_team(team);
        RequestIdentity::of_team(&request(key), scope.prefix(), team.is_some())
    };
    let acme = identity("Bearer k-acme", Some("acme"));
    assert_eq!(acme, identity("Bearer k-acme-2", Some("acme")));
    let bolt = identity("Bearer k-acme", Some("bolt"));
    let unknown = identity("Bearer k-acme", None);
    for other in [bolt, unknown] {
        assert_ne!(acme.caller, other.caller);
        assert_ne!(acme.exact, other.exact);
        assert_ne!(acme.start, other.start);
    }
    assert_eq!(unknown, identity("Bearer k-none", None));
}

fn relayed(path: &str, headers: &[(&'static str, &str)]) -> Option<PeerCall> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = path.parse().expect("a path");
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).expect("a header value");
        request.headers_mut().insert(*name, value);
    }
    decode_call(request)
}

/// Guards against a key that reaches a peer, and against a caller that passes for another team or has
/// its requests not counted, because a gateway relays its headers.
#[parameterized(
    with_key = { Some("k-acme"), true },
    without_key = { None, false },
)]
fn a_peer_is_told_the_digest_of_the_key(key: Option<&str>, is_limit_counted: bool) {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = "/quote/a?b=c".parse().expect("a path");
    let forged = KeyDigest::of_key("k-bolt").to_hex();
    let forged = HeaderValue::try_from(forged).expect("a header value");
    request.headers_mut().append("x-key-digest", forged.clone());
    request.headers_mut().append("x-key-digest", forged);
    let counted = HeaderValue::from_static("1");
    request.headers_mut().insert("x-limit-counted", counted);
    let team = RelayedTeam {
        key_digest: key.map(KeyDigest::of_key),
        is_limit_counted,
    };
    let terms = RelayTerms {
        attempts_left: 2,
        origin_recorders: 1,
        are_tokens_reserved: true,
        prefix_holder: Some("e-0"),
        team: Some(team),
    };
    let wrapped = wrap_request(request, None, terms).expect("a valid path");
    assert_eq!(wrapped.uri(), "/team-requests/quote/a?b=c");
    let Some(PeerCall::Request(relayed)) = decode_call(wrapped) else {
        panic!("the request is not decoded as a relayed one");
    };
    assert_eq!(relayed.team, Some(team));
    assert!(relayed.must_be_understood && relayed.are_tokens_reserved);
    assert_eq!(relayed.prefix_holder.as_deref(), Some("e-0"));
    assert_eq!(relayed.request.uri(), "/quote/a?b=c");
    assert!(relayed.request.headers().is_empty());
}

/// Guards against the headers of a caller, relayed by a gateway of an earlier build, that pass for those
/// of this build, and against a malformed digest that counts as no key.
#[test]
fn only_requests_with_the_prefix_of_teams_may_name_a_team() {
    let digest = KeyDigest::of_key("k-acme").to_hex();
    let forged = [("x-key-digest", digest.as_str()), ("x-limit-counted", "1")];
    for prefix in ["/requests", "/streams"] {
        let Some(PeerCall::Request(relayed)) = relayed(&format!("{prefix}/a"), &forged) else {
            panic!("the request is not decoded as a relayed one");
        };
        assert_eq!(relayed.team, None);
        assert!(relayed.request.headers().is_empty());
    }
    assert!(relayed("/team-requests/a", &[("x-key-digest", "12")]).is_none());
}

/// Guards against messages of a deployment without teams that change, and against ids of a caller, passed
/// on by a gateway of an earlier build, that pass for those of a team.
#[test]
fn messages_say_whether_their_ids_are_qualified() {
    let admit = |are_ids_qualified| AdmitRequest {
        turn: TurnBudget {
            program_id: "4:acme:p".to_string(),
            max_tokens: 9,
            budget_tokens: 90,
        },
        time_left_ms: 700,
        loads: Vec::new(),
        previous_turn_id: None,
        proposed_origin: None,
        part: None,
        are_ids_qualified,
    };
    let settle = |are_ids_qualified| SettleRequest {
        program_id: "4:acme:p".to_string(),
        grant_id: 7,
        spent_tokens: 3,
        completed_by: None,
        persisted_turn: None,
        are_ids_qualified,
    };
    for is_qualified in [false, true] {
        let notices = ServerNotices::default();
        let Some(PeerCall::Admit(found, _)) = decode_call(admit(is_qualified).encode(&notices))
        else {
            panic!("the admission is not decoded");
        };
        assert_eq!(found, admit(is_qualified));
        let Some(PeerCall::Settle(found)) = decode_call(settle(is_qualified).encode()) else {
            panic!("the settlement is not decoded");
        };
        assert_eq!(found, settle(is_qualified));
    }
    let unqualified = settle(false);
    let as_before = postcard::to_stdvec(&unqualified).expect("bytes");
    assert_eq!(unqualified.encode().body(), &as_before);
}
