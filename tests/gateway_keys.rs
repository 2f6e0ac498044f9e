//! Keys of callers and the separation of teams, without a network.

use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use sapphireford::error::{Error, ErrorKind, Result};
use sapphireford::process::gateway::fingerprint::RequestIdentity;
use sapphireford::process::gateway::peers::{
    PeerCall, RelayTerms, SettleRequest, decode_call, wrap_request,
};
use sapphireford::process::gateway::relayed_team::RelayedTeam;
use sapphireford::process::teams::config_age::{ConfigAge, ProofSource};
use sapphireford::request::gateway::caller::{Caller, PresentedKey};
use sapphireford::request::gateway::qualified_ids::IdScope;
use sapphireford::version::key_digest::KeyDigest;
use sapphireford::version::route_table::RouteTable;
use sapphireford_platform::operator;
use serde_json::{Value, json};
use yare::parameterized;

fn routes(tenants: Value) -> RouteTable {
    let route = |prefix: &str, is_public: bool| {
        json!({ "name": prefix, "host": "a.example", "pathPrefix": prefix, "kind": "idempotent",
                "service": "app", "public": is_public })
    };
    let routes = [route("/closed/", false), route("/open/", true)];
    let config = json!({ "version": 1, "tenants": tenants, "routes": routes });
    let config = operator::decode(config.to_string().as_bytes());
    RouteTable::from(config.expect("a configuration"))
}

fn three_teams() -> RouteTable {
    routes(json!([
        { "name": "acme", "apiKeys": ["k-acme", "k-acme-2", "k-shared", "k-all"] },
        { "name": "bolt", "apiKeys": ["k-bolt", "k-shared", "k-all"] },
        { "name": "cork", "apiKeys": ["k-all"] },
    ]))
}

fn identify(routes: &RouteTable, path: &str, key: &str, config_age: &ConfigAge) -> Result<Caller> {
    let route = routes.find("a.example", path).expect("a route");
    let key = (!key.is_empty()).then(|| KeyDigest::of_key(key));
    Caller::identify(routes, route, PresentedKey::from(key), config_age)
}

/// Guards against a key that is read differently from how it was sent: one that is cut, joined or
/// trimmed may be that of another team.
#[parameterized(
    none = { &[], PresentedKey::Missing },
    empty = { &[b"Bearer "], PresentedKey::Malformed },
    scheme_only = { &[b"Bearer"], PresentedKey::Malformed },
    other_scheme = { &[b"Basic k-acme"], PresentedKey::Malformed },
    two_spaces = { &[b"Bearer  k-acme"], PresentedKey::Malformed },
    inner_space = { &[b"Bearer k-acme k-bolt"], PresentedKey::Malformed },
    doubled = { &[b"Bearer k-acme", b"Bearer k-acme"], PresentedKey::Malformed },
    not_ascii = { &[b"Bearer k-\xc3\xa4"], PresentedKey::Malformed },
    longest = { &[&[b"Bearer ".as_slice(), &[b'k'; 256]].concat()],
                PresentedKey::Digest(KeyDigest::of_key(&"k".repeat(256))) },
    too_long = { &[&[b"Bearer ".as_slice(), &[b'k'; 257]].concat()], PresentedKey::Malformed },
    other_case = { &[b"bEARER k-acme"], PresentedKey::Digest(KeyDigest::of_key("k-acme")) },
)]
fn a_key_is_read_as_it_was_sent(values: &[&[u8]], expected: PresentedKey) {
    let mut headers = HeaderMap::new();
    for value in values {
        let value = HeaderValue::from_bytes(value).expect("a header value");
        headers.append(AUTHORIZATION, value);
    }
    assert_eq!(PresentedKey::decode(&headers), expected);
}

/// A configuration that has just been proved to be the newest one.
fn current_age() -> ConfigAge {
    let config_age = ConfigAge::new(Some(Duration::from_secs(5)));
    config_age.activate(1, true);
    config_age.prove(ProofSource::Read, config_age.now());
    config_age
}

/// Guards against a key that identifies the wrong team, and against a refusal that is final although
/// a newer configuration may have the key, or make the route public.
#[parameterized(
    known = { "k-acme-2", "/closed/", Ok(Some("acme")), None },
    known_on_public_route = { "k-bolt", "/open/", Ok(Some("bolt")), None },
    in_two_teams = { "k-shared", "/closed/", Err(ErrorKind::Unauthorized), Some(ErrorKind::NotReady) },
    in_three_teams = { "k-all", "/closed/", Err(ErrorKind::Unauthorized), Some(ErrorKind::NotReady) },
    unknown = { "k-none", "/closed/", Err(ErrorKind::Unauthorized), Some(ErrorKind::NotReady) },
    missing = { "", "/closed/", Err(ErrorKind::Unauthorized), Some(ErrorKind::NotReady) },
    unknown_on_public_route = { "k-none", "/open/", Ok(None), None },
    missing_on_public_route = { "", "/open/", Ok(None), None },
)]
fn a_key_identifies_its_team(
    key: &str,
    path: &str,
    if_current: std::result::Result<Option<&str>, ErrorKind>,
    refusal_if_unproved: Option<ErrorKind>,
) {
    let routes = three_teams();
    let caller = identify(&routes, path, key, &current_age());
    let team = caller.map(|caller| caller.team.map(|team| team.id.to_string()));
    let team = team.map_err(|error| error.kind);
    assert_eq!(team, if_current.map(|team| team.map(str::to_string)));
    // Whether a known key is accepted without a proof is not decided here.
    if team == Ok(None) || team.is_err() {
        let unproved = ConfigAge::new(Some(Duration::from_secs(5)));
        let refusal = identify(&routes, path, key, &unproved).err();
        assert_eq!(refusal.map(|error| error.kind), refusal_if_unproved);
    }
}

/// Guards against a final 404 for a turn of a team whose key this gateway may not know yet, on a route
/// that needs no key.
#[test]
fn a_turn_that_may_belong_to_the_team_of_an_unknown_key_is_not_refused_for_good() {
    let routes = three_teams();
    let not_found = |key: &str, config_age: &ConfigAge| {
        let caller = identify(&routes, "/open/", key, config_age);
        let error = Error::new(ErrorKind::NotFound, "no such turn");
        caller.expect("a caller").not_found_error(error).kind
    };
    let unproved = ConfigAge::new(Some(Duration::from_secs(5)));
    assert_eq!(not_found("k-none", &unproved), ErrorKind::NotReady);
    assert_eq!(not_found("k-none", &current_age()), ErrorKind::NotFound);
    assert_eq!(not_found("", &unproved), ErrorKind::NotFound);
}

/// Guards against requests that outlast their key while they wait, against a final refusal of one that
/// needs no key, and against a key that a server gets because there were no teams on its arrival.
#[test]
fn a_key_is_checked_again_by_the_newest_configuration() {
    let at_arrival = three_teams();
    let config_age = current_age();
    let check = |path: &str, newest: &RouteTable| {
        let caller = identify(&at_arrival, path, "k-acme", &config_age).expect("a caller");
        let checked = caller.require_valid(newest, &config_age);
        checked.map_err(|error| error.kind)
    };
    let withdrawn = routes(json!([{ "name": "acme", "apiKeys": ["k-acme-2"] }]));
    let moved = routes(json!([{ "name": "bolt", "apiKeys": ["k-acme"] }]));
    for newest in [&withdrawn, &moved] {
        assert_eq!(check("/closed/", newest), Err(ErrorKind::Unauthorized));
        assert_eq!(check("/open/", newest), Err(ErrorKind::NotReady));
    }
    let without_teams = routes(Value::Null);
    for newest in [&at_arrival, &without_teams] {
        assert_eq!(check("/closed/", newest), Ok(()));
    }
    let caller = identify(&without_teams, "/closed/", "k-acme", &config_age).expect("a caller");
    assert!(caller.require_valid(&without_teams, &config_age).is_ok());
    let checked = caller.require_valid(&at_arrival, &config_age);
    assert_eq!(
        checked.map_err(|error| error.kind),
        Err(ErrorKind::NotReady)
    );
}

/// Guards against two programs that share what they store because their qualified ids are the same,
/// and against rows from before the teams that cannot be found any more without them.
#[test]
fn no_two_ids_of_teams_are_the_same() {
    let long = "t".repeat(65);
    let long_digest = KeyDigest::of_key(&long).to_hex();
    let mut ids = std::collections::BTreeSet::new();
    for team in ["", "a", "a:b", "1", "1:a", &long, &long_digest] {
        for id in ["", "x", ":x", "b:x", "1:a:x", "a:x"] {
            let qualified = IdScope::of_team(Some(team)).qualify(id);
            assert!(ids.insert(qualified), "{team} {id}");
        }
    }
    assert_eq!(
        IdScope::of_team(Some("\u{e4}b")).qualify("x"),
        "3:\u{e4}b:x"
    );
    assert_eq!(IdScope::of_team(None).qualify("x"), "0::x");
    assert!(ids.contains(&format!("65:{long_digest}:x")));
    assert_eq!(IdScope::without_teams().qualify("4:acme:x"), "4:acme:x");
}

/// Guards against a caller that has the requests of another team refused as crashing ones, and against
/// a digest of the key in log lines, which have the fingerprint.
#[test]
fn a_request_is_recognized_by_its_team_and_not_by_its_key() {
    let identity = |key, team: Option<&str>| {
        let mut request = Request::new(Bytes::from_static(b"a turn"));
        let key = HeaderValue::from_static(key);
        request.headers_mut().insert(AUTHORIZATION, key);
        RequestIdentity::of_team(&request, IdScope::of_team(team).prefix(), team.is_some())
    };
    let acme = identity("Bearer k-acme", Some("acme"));
    assert_eq!(acme, identity("Bearer k-acme-2", Some("acme")));
    for team in [Some("bolt"), None] {
        let other = identity("Bearer k-acme", team);
        assert_ne!(acme.caller, other.caller);
        assert!(acme.exact != other.exact && acme.start != other.start);
        assert_eq!(other, identity("Bearer k-acme-2", team));
    }
}

/// Guards against a caller that passes for another team or has its requests not counted, because a
/// gateway of this build or of an earlier one relays its headers.
#[parameterized(
    with_key = { Some(RelayedTeam { key_digest: Some(KeyDigest::of_key("k-acme")),
                                    is_limit_counted: true }) },
    without_key = { Some(RelayedTeam { key_digest: None, is_limit_counted: false }) },
    without_teams = { None },
)]
fn only_a_gateway_tells_a_peer_the_team(team: Option<RelayedTeam>) {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = "/quote/a?b=c".parse().expect("a path");
    let forged = HeaderValue::try_from(KeyDigest::of_key("k-bolt").to_hex());
    let forged = forged.expect("a header value");
    request.headers_mut().append("x-key-digest", forged.clone());
    request.headers_mut().append("x-key-digest", forged);
    let counted = HeaderValue::from_static("1");
    request.headers_mut().insert("x-limit-counted", counted);
    let terms = RelayTerms {
        attempts_left: 2,
        origin_recorders: 1,
        are_tokens_reserved: true,
        prefix_holder: Some("e-0"),
        team,
    };
    let mut by_earlier_build = request.clone();
    *by_earlier_build.uri_mut() = "/requests/quote/a?b=c".parse().expect("a path");
    let wrapped = wrap_request(request, None, terms).expect("a valid path");
    for (message, team, is_wrapped) in [(wrapped, team, true), (by_earlier_build, None, false)] {
        let Some(PeerCall::Request(relayed)) = decode_call(message) else {
            panic!("the request is not decoded as a relayed one");
        };
        assert_eq!(relayed.team, team);
        assert_eq!(relayed.are_tokens_reserved, is_wrapped);
        assert_eq!(relayed.request.uri(), "/quote/a?b=c");
        assert!(relayed.request.headers().is_empty());
    }
}

/// Guards against messages of a deployment without teams that change.
#[test]
fn messages_say_whether_their_ids_are_qualified() {
    for are_ids_qualified in [false, true] {
        let settle = SettleRequest {
            program_id: "4:acme:p".to_string(),
            grant_id: 7,
            spent_tokens: 3,
            completed_by: None,
            persisted_turn: None,
            are_ids_qualified,
        };
        let as_before = postcard::to_stdvec(&settle).expect("bytes");
        let message = settle.encode();
        assert_eq!(*message.body() == as_before, !are_ids_qualified);
        assert!(message.body().starts_with(&as_before));
        let Some(PeerCall::Settle(found)) = decode_call(message) else {
            panic!("the settlement is not decoded");
        };
        assert_eq!(found, settle);
    }
}
