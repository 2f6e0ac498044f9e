//! The messages between gateways, sent over HTTP to the peer listener.
//!
//! A gateway relays store calls of a peer that cannot reach the store itself, and admits turns of
//! the programs whose accounts it owns. Both sides of an admission exchange the server loads that
//! they know. The owner of a program's account caches the chains of its last turns, so that most
//! turns can run at any gateway without a read from the store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::account::GrantId;
use super::crash_reports::CrashReport;
use super::directory::UnconnectedGateway;
use super::gossip::{GossipRequest, GossipResponse};
use super::history::{TurnChain, TurnId};
use super::ledger::{Admission, TurnBudget, TurnPart};
use super::outcomes::ReportedOutcomes;
use super::rate_limits::{AllowanceRequest, AllowanceResponse};
use super::relayed_team::{self, RelayedTeam};
use super::server::RateLimitReport;
use super::servers::{LeavingServer, SharedLoad};
use super::stream_origins::StreamOrigin;
use crate::connection::body::Body;
use crate::connection::http_server::CallerAddress;
use crate::ids::BackendServerId;
use crate::process::overload::control::ServiceDemands;
use crate::process::teams::config_age::PeerProof;
use crate::process::teams::limit_messages::{LimitRequest, LimitResponse};
use crate::process::topics::RouteHash;
use crate::process::topics::learning::GroupTimes;

/// Path prefix of relayed store calls; the path of the store follows.
const RELAY_PATH_PREFIX: &str = "/store";
/// Header of a relayed store call: the time for which the calling gateway still waits, in
/// milliseconds.
const TIME_LEFT_HEADER: HeaderName = HeaderName::from_static("x-time-left-ms");
/// Marks a response of the store, as opposed to one of the relaying peer.
const FROM_STORE_HEADER: HeaderName = HeaderName::from_static("x-from-store");

/// Wraps a store call for a peer to relay; `None` if the path of the call is not valid.
pub fn wrap_store_call(mut request: Request<Bytes>, time_left: Duration) -> Option<Request<Bytes>> {
    let path = request.uri().path_and_query()?.as_str();
    let uri = format!("{RELAY_PATH_PREFIX}{path}").parse().ok()?;
    *request.uri_mut() = uri;
    let time_left_ms = time_left.as_millis() as u64;
    request
        .headers_mut()
        .insert(TIME_LEFT_HEADER, time_left_ms.into());
    Some(request)
}

/// A store call to be relayed for another gateway.
pub struct RelayedCall {
    /// The call as the store expects it.
    pub request: Request<Bytes>,
    /// Time for which the calling gateway still waits.
    pub time_left: Duration,
}

fn unwrap_store_call(mut request: Request<Bytes>) -> Option<RelayedCall> {
    let path = request.uri().path_and_query()?.as_str();
    let uri = path.strip_prefix(RELAY_PATH_PREFIX)?.parse().ok()?;
    *request.uri_mut() = uri;
    let time_left_ms = request.headers_mut().remove(TIME_LEFT_HEADER)?;
    let time_left_ms = time_left_ms.to_str().ok()?.parse().ok()?;
    request.headers_mut().remove(hyper::header::HOST);
    Some(RelayedCall {
        request,
        time_left: Duration::from_millis(time_left_ms),
    })
}

/// Makes the response to a relayed call from the response of the store. `None`, if the store did
/// not respond, gives the status 502.
pub fn relay_response(store_response: Option<Response<Bytes>>) -> Response<Body> {
    let Some(store_response) = store_response else {
        let mut response = Response::new(Body::full(Bytes::new()));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        return response;
    };
    let (head, body) = store_response.into_parts();
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = head.status;
    let value = HeaderValue::from_static("1");
    response.headers_mut().insert(FROM_STORE_HEADER, value);
    response
}

/// Whether a peer's response to a relayed call comes from the store.
pub fn is_from_store(response: &Response<Bytes>) -> bool {
    response.headers().contains_key(FROM_STORE_HEADER)
}

/// Asks the owner of a program's account to admit a turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmitRequest {
    /// The turn, with the budget of its program.
    pub turn: TurnBudget,
    /// Time until the turn must have ended.
    pub time_left_ms: u64,
    /// The server loads that the requesting gateway knows.
    pub loads: Vec<SharedLoad>,
    /// The turn that this one continues; `None` if there is none, or if the requesting gateway has
    /// its chain cached.
    pub previous_turn_id: Option<TurnId>,
    /// Where the streams of the program begin, unless that is known already. Appended to the message
    /// like the notices.
    #[serde(skip)]
    pub proposed_origin: Option<StreamOrigin>,
    /// The place of the request in its turn, if the turn may be taken up again. Appended like the
    /// origin.
    #[serde(skip)]
    pub part: Option<TurnPart>,
    /// Whether the ids are qualified by a team. Appended like the origin, only if it is true; gateways
    /// of earlier builds pass on the ids of callers.
    #[serde(skip)]
    pub are_ids_qualified: bool,
}

/// The response to an [`AdmitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmitResponse {
    /// Whether the turn may run.
    #[serde(rename = "verdict")]
    pub result: AdmitResult,
    /// The server loads that the responding gateway knows.
    pub loads: Vec<SharedLoad>,
    /// The chain of `previous_turn_id`, if it is in the cache of the responding gateway.
    pub chain: Option<TurnChain>,
    /// The id of the server that completed the last turn of the program; `None` if it is not known.
    pub prefix_holder: Option<String>,
    /// Where the streams of the program begin that have no row of their own; `None` if it is not
    /// known. Appended to the message like the notices.
    #[serde(skip)]
    pub stream_origin: Option<StreamOrigin>,
}

/// The result of an admission at a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmitResult {
    /// The account has decided.
    Admission(Admission),
    /// The account needs a store call, and the store is unavailable.
    StoreUnavailable,
}

/// Reports the end of a turn to the gateway that admitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The program whose budget is charged.
    pub program_id: String,
    /// The turn, as numbered by the account that admitted it.
    pub grant_id: GrantId,
    /// Tokens that were sent to the caller.
    pub spent_tokens: u64,
    /// The id of the server that completed the turn; `None` if it did not complete.
    pub completed_by: Option<String>,
    /// The turn and its chain, for the turns that continue it; `None` if the turn is not durable.
    #[serde(rename = "kept")]
    pub persisted_turn: Option<(TurnId, TurnChain)>,
    /// Whether the ids are qualified by a team. Appended to the message, only if it is true; gateways
    /// of earlier builds pass on the ids of callers.
    #[serde(skip)]
    pub are_ids_qualified: bool,
}

const GOSSIP_PATH: &str = "/gateways/gossip";
/// Path of what a gateway has heard from backend servers; named after its first list.
const NOTICES_PATH: &str = "/servers/leaving";
const ALLOWANCE_PATH: &str = "/servers/allowance";
const TEAM_LIMITS_PATH: &str = "/teams/allowance";
const ADMIT_PATH: &str = "/programs/admit";
const SETTLE_PATH: &str = "/programs/settle";
const DEMAND_PATH: &str = "/overload/demand";
const HAS_BEGUN_PATH: &str = "/programs/has-begun";
const SERVER_PATH_PATH: &str = "/servers/path";
/// Path prefix of relayed requests of callers; the path of the request follows.
const REQUEST_PATH_PREFIX: &str = "/requests";
/// Path prefix of relayed requests whose [`RelayTerms`] the peer must understand. Gateways of earlier
/// builds do not know it: they would begin a stream at the origin of its program without a record,
/// so that an earlier one stays the last, or reserve tokens twice.
const STREAM_PATH_PREFIX: &str = "/streams";
/// Path prefixes of all relayed requests.
const RELAYED_PATH_PREFIXES: [&str; 3] = [
    REQUEST_PATH_PREFIX,
    STREAM_PATH_PREFIX,
    relayed_team::PATH_PREFIX,
];
/// Header of a relayed request: the address of its caller.
const CALLER_HEADER: HeaderName = HeaderName::from_static("x-caller-address");
/// Header of a relayed request: the number of servers that it may still be sent to. Gateways of
/// earlier builds send none.
const ATTEMPTS_LEFT_HEADER: HeaderName = HeaderName::from_static("x-attempts-left");
/// Header of a relayed request: the number of gateways that may have recorded an origin of its
/// stream. Gateways of earlier builds send none.
const ORIGIN_RECORDERS_HEADER: HeaderName = HeaderName::from_static("x-origin-recorders");
/// Header of a relayed request whose tokens the gateway that relays it has reserved and counts.
const TOKENS_RESERVED_HEADER: HeaderName = HeaderName::from_static("x-tokens-reserved");
/// Header of such a request: the server that has the prefix of its prompt, which the peer would learn
/// from the account otherwise.
const PREFIX_HOLDER_HEADER: HeaderName = HeaderName::from_static("x-prefix-holder");
/// Marks all responses to requests whose [`RelayTerms`] the peer must understand.
const TERMS_UNDERSTOOD_HEADER: HeaderName = HeaderName::from_static("x-terms-understood");
/// Marks the response of a peer that has not recorded an origin for a request that it did not take.
const NOTHING_RECORDED_HEADER: HeaderName = HeaderName::from_static("x-nothing-recorded");
/// Marks the response of a peer that did not take a request.
const NOT_TAKEN_HEADER: HeaderName = HeaderName::from_static("x-not-taken");
/// Marks the response of a peer to a relayed request that failed in doubt: a server may have run it.
const IN_DOUBT_HEADER: HeaderName = HeaderName::from_static("x-in-doubt");

fn post(path: &'static str, message: &impl Serialize) -> Request<Bytes> {
    // The encoding of these types cannot fail.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    request
}

/// What a gateway has heard from backend servers, told to its peers with other messages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerNotices {
    /// Servers that have said that they are about to stop.
    pub leaving: Vec<LeavingServer>,
    /// The last statements on rate limits.
    pub rate_limits: Vec<RateLimitReport>,
    /// The requests that were running when servers crashed.
    pub crash_reports: Vec<CrashReport>,
    /// Loads of servers; empty in messages that have them elsewhere.
    pub loads: Vec<SharedLoad>,
    /// Gateways that reach no server; only in the gossip.
    pub unconnected_gateways: Vec<UnconnectedGateway>,
    /// Outcomes at suspected servers, as the sender has seen them; only in the gossip.
    pub outcomes: ReportedOutcomes,
    /// Times of answers by route with and without affinity, as the gateway that reports the outcomes
    /// has measured them; only in the gossip.
    pub topic_times: Vec<(RouteHash, GroupTimes)>,
}

/// Encodes a message followed by notices.
///
/// Further fields may follow.
///
/// They are appended, not a field, because gateways of earlier builds ignore what follows the
/// message and send none, or only the first lists.
fn with_notices(message: &impl Serialize, notices: &ServerNotices) -> Bytes {
    // The encoding of these types cannot fail.
    let mut body = postcard::to_stdvec(message).unwrap_or_default();
    body.extend(postcard::to_stdvec(&notices.leaving).unwrap_or_default());
    body.extend(postcard::to_stdvec(&notices.rate_limits).unwrap_or_default());
    body.extend(postcard::to_stdvec(&notices.crash_reports).unwrap_or_default());
    body.extend(postcard::to_stdvec(&notices.loads).unwrap_or_default());
    body.extend(postcard::to_stdvec(&notices.unconnected_gateways).unwrap_or_default());
    Bytes::from(body)
}

fn split_notices<T: DeserializeOwned>(body: &[u8]) -> Option<(T, ServerNotices)> {
    let (message, notices, _) = split_message(body)?;
    Some((message, notices))
}

/// Appends the speeds of the servers to a message, in the order of its loads. 0 stands for a speed
/// that is not stated; the list is empty if none is. Gateways of earlier builds ignore it.
fn with_speeds(body: &[u8], loads: &[SharedLoad]) -> Bytes {
    let speeds = loads.iter().map(|load| load.speed_percent.unwrap_or(0));
    let mut speeds: Vec<u32> = speeds.collect();
    if speeds.iter().all(|speed| *speed == 0) {
        speeds.clear();
    }
    // The encoding of this type cannot fail.
    let speeds = postcard::to_stdvec(&speeds).unwrap_or_default();
    Bytes::from([body, &speeds].concat())
}

/// Decodes the list of [`with_speeds`], empty in messages of earlier builds, into the loads.
fn take_speeds<'a>(rest: &'a [u8], loads: &mut [SharedLoad]) -> &'a [u8] {
    let (speeds, rest): (Vec<u32>, _) = postcard::take_from_bytes(rest).unwrap_or_default();
    for (load, speed_percent) in loads.iter_mut().zip(speeds) {
        load.speed_percent = (speed_percent > 0).then_some(speed_percent);
    }
    rest
}

/// Decodes a message, the notices and what follows them.
fn split_message<T: DeserializeOwned>(body: &[u8]) -> Option<(T, ServerNotices, &[u8])> {
    let (message, rest) = postcard::take_from_bytes(body).ok()?;
    let (leaving, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    let (rate_limits, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    let (crash_reports, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    let (loads, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    let (unconnected_gateways, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    let notices = ServerNotices {
        leaving,
        rate_limits,
        crash_reports,
        loads,
        unconnected_gateways,
        outcomes: ReportedOutcomes::default(),
        topic_times: Vec::new(),
    };
    Some((message, notices, rest))
}

fn post_with_notices(
    path: &'static str,
    message: &impl Serialize,
    notices: &ServerNotices,
) -> Request<Bytes> {
    let mut request = post(path, &());
    *request.body_mut() = with_notices(message, notices);
    request
}

/// Encodes a gossip request.
pub fn gossip_request(request: &GossipRequest, notices: &ServerNotices) -> Request<Bytes> {
    let mut request = post_with_notices(GOSSIP_PATH, request, notices);
    if has_server_reports(notices) {
        *request.body_mut() = with_server_reports(request.body(), notices);
    }
    request
}

/// Precedes the age of the configuration in a response to the gossip, so that other bytes that a
/// gateway of another build may append are not taken for it.
const CONFIG_PROOF_MARK: u32 = 0x43_4f_4e_46;

/// Encodes the response to a gossip request. The age of the configuration is appended like the
/// notices.
pub fn gossip_response(
    response: &GossipResponse,
    notices: &ServerNotices,
    config_proof: Option<PeerProof>,
) -> Response<Body> {
    let body = with_notices(response, notices);
    // The age of the configuration follows the reports.
    let body = match has_server_reports(notices) || config_proof.is_some() {
        true => with_server_reports(&body, notices),
        false => body,
    };
    let body = match config_proof {
        // The encoding of these types cannot fail.
        Some(proof) => {
            let proof = postcard::to_stdvec(&(CONFIG_PROOF_MARK, proof)).unwrap_or_default();
            Bytes::from([&*body, &proof].concat())
        }
        None => body,
    };
    Response::new(Body::full(body))
}

/// Whether there is anything to append with [`with_server_reports`]. Otherwise a message is the same as
/// in earlier builds, so it does not grow where servers state no speed and no route is sticky.
fn has_server_reports(notices: &ServerNotices) -> bool {
    let mut loads = notices.loads.iter();
    let has_speeds = loads.any(|load| load.speed_percent.is_some());
    has_speeds || !notices.outcomes.by_server.is_empty() || !notices.topic_times.is_empty()
}

/// Appends the speeds and the outcomes of servers and the times of topics to a gossip message.
/// Gateways of earlier builds ignore them.
fn with_server_reports(body: &[u8], notices: &ServerNotices) -> Bytes {
    let speeds = with_speeds(body, &notices.loads);
    // The encoding of these types cannot fail.
    let outcomes = postcard::to_stdvec(&notices.outcomes).unwrap_or_default();
    let topic_times = postcard::to_stdvec(&notices.topic_times).unwrap_or_default();
    Bytes::from([&*speeds, &*outcomes, &*topic_times].concat())
}

/// Decodes a gossip message, what the peer has heard from servers, and what follows it.
fn split_gossip<T: DeserializeOwned>(body: &[u8]) -> Option<(T, ServerNotices, &[u8])> {
    let (message, mut notices, rest) = split_message(body)?;
    let rest = take_speeds(rest, &mut notices.loads);
    let (outcomes, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    notices.outcomes = outcomes;
    let (topic_times, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    notices.topic_times = topic_times;
    Some((message, notices, rest))
}

/// Decodes the response of a peer to a gossip request; `None` if the status is not 200 or the body
/// is malformed. Gateways of earlier builds do not state the age of their configuration.
pub fn decode_gossip(
    response: &Response<Bytes>,
) -> Option<(GossipResponse, ServerNotices, Option<PeerProof>)> {
    let is_ok = response.status() == StatusCode::OK;
    let (message, notices, rest) = is_ok.then(|| split_gossip(response.body()))??;
    let proof = postcard::from_bytes::<(u32, PeerProof)>(rest).ok();
    let proof = proof.filter(|(mark, _)| *mark == CONFIG_PROOF_MARK);
    Some((message, notices, proof.map(|(_, proof)| proof)))
}

/// Asks a peer what it has heard from the backend servers.
pub fn notices_request() -> Request<Bytes> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = Uri::from_static(NOTICES_PATH);
    request
}

/// Encodes the response to [`notices_request`].
pub fn notices_response(notices: &ServerNotices) -> Response<Body> {
    Response::new(Body::full(with_notices(&(), notices)))
}

/// Decodes the response to [`notices_request`]; empty if the peer does not know the call.
pub fn decode_notices(response: &Response<Bytes>) -> ServerNotices {
    if response.status() != StatusCode::OK {
        return ServerNotices::default();
    }
    let message: Option<((), _)> = split_notices(response.body());
    message.map(|((), notices)| notices).unwrap_or_default()
}

/// Tells a peer the demands at overloaded services, and asks for its own.
pub fn demand_request(demands: &ServiceDemands) -> Request<Bytes> {
    post(DEMAND_PATH, demands)
}

/// Encodes the response to [`demand_request`].
pub fn demand_response(demands: &ServiceDemands) -> Response<Body> {
    let body = postcard::to_stdvec(demands).unwrap_or_default();
    Response::new(Body::full(body))
}

/// Decodes the response to [`demand_request`]; `None` if the peer does not know the call.
pub fn decode_demands(response: &Response<Bytes>) -> Option<ServiceDemands> {
    let is_ok = response.status() == StatusCode::OK;
    is_ok.then(|| postcard::from_bytes(response.body()).ok())?
}

/// Asks a peer whether a turn of a program has completed whose account it owns.
pub fn has_begun_request(program_id: &str) -> Request<Bytes> {
    post(HAS_BEGUN_PATH, &program_id)
}

/// Encodes the response to [`has_begun_request`].
pub fn has_begun_response(has_begun: bool) -> Response<Body> {
    let body = postcard::to_stdvec(&has_begun).unwrap_or_default();
    Response::new(Body::full(body))
}

/// Decodes the response to [`has_begun_request`]; `None` if the peer does not know the call.
pub fn decode_has_begun(response: &Response<Bytes>) -> Option<bool> {
    let is_ok = response.status() == StatusCode::OK;
    is_ok.then(|| postcard::from_bytes(response.body()).ok())?
}

/// Asks a peer whether it reaches backend servers.
pub fn server_path_request() -> Request<Bytes> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = Uri::from_static(SERVER_PATH_PATH);
    request
}

/// What a gateway tells the peer that serves a relayed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayTerms<'a> {
    /// The number of servers that the request may still be sent to.
    pub attempts_left: u32,
    /// The number of gateways that may have recorded an origin of its stream.
    pub origin_recorders: u32,
    /// Whether this gateway has reserved the tokens of the stream and counts them.
    pub are_tokens_reserved: bool,
    /// The server that has the prefix of the prompt, if it is known.
    pub prefix_holder: Option<&'a str>,
    /// The team of the caller; `None` if the configuration has no teams.
    pub team: Option<RelayedTeam>,
}

impl RelayTerms<'_> {
    /// Whether a peer must not serve the request without knowing these terms.
    pub fn must_be_understood(&self) -> bool {
        self.origin_recorders > 0 || self.are_tokens_reserved || self.team.is_some()
    }
}

/// Wraps the request of a caller for a peer to serve; `None` if its path is not valid.
pub fn wrap_request(
    mut request: Request<Bytes>,
    caller: Option<SocketAddr>,
    terms: RelayTerms<'_>,
) -> Option<Request<Bytes>> {
    let path = request.uri().path_and_query()?.as_str();
    let prefix = match terms.must_be_understood() {
        true if terms.team.is_some() => relayed_team::PATH_PREFIX,
        true => STREAM_PATH_PREFIX,
        false => REQUEST_PATH_PREFIX,
    };
    let uri = format!("{prefix}{path}").parse().ok()?;
    *request.uri_mut() = uri;
    if let Some(caller) = caller.and_then(|caller| caller.to_string().parse().ok()) {
        request.headers_mut().insert(CALLER_HEADER, caller);
    }
    let headers = request.headers_mut();
    headers.insert(ATTEMPTS_LEFT_HEADER, terms.attempts_left.into());
    headers.insert(ORIGIN_RECORDERS_HEADER, terms.origin_recorders.into());
    // These are not taken from the caller, who could have its turns admitted for free.
    headers.remove(TOKENS_RESERVED_HEADER);
    headers.remove(PREFIX_HOLDER_HEADER);
    relayed_team::remove_headers(headers);
    if let Some(team) = &terms.team {
        team.insert_into(headers);
    }
    if terms.are_tokens_reserved {
        let value = HeaderValue::from_static("1");
        headers.insert(TOKENS_RESERVED_HEADER, value);
        let holder = terms.prefix_holder.map(HeaderValue::from_str);
        if let Some(Ok(holder)) = holder {
            headers.insert(PREFIX_HOLDER_HEADER, holder);
        }
    }
    Some(request)
}

/// A request of a caller, relayed by a gateway that reaches no backend server.
pub struct RelayedRequest {
    /// The request as the caller sent it.
    pub request: Request<Bytes>,
    /// The number of servers that it may still be sent to; `None` if its route alone limits it.
    pub attempts_left: Option<u32>,
    /// The number of gateways that may have recorded an origin of its stream; `None` if the gateway
    /// that relays it does not say so.
    pub origin_recorders: Option<u32>,
    /// Whether that gateway has reserved the tokens of the stream and counts them.
    pub are_tokens_reserved: bool,
    /// The server that has the prefix of the prompt, if that gateway says so.
    pub prefix_holder: Option<BackendServerId>,
    /// The team of the caller, if that gateway says so; otherwise the request has the key.
    pub team: Option<RelayedTeam>,
    /// Whether that gateway expects the mark of [`mark_terms_understood`].
    pub must_be_understood: bool,
}

fn unwrap_request(mut request: Request<Bytes>) -> Option<RelayedRequest> {
    let path = request.uri().path_and_query()?.as_str();
    let has_team = path.starts_with(relayed_team::PATH_PREFIX);
    let must_be_understood = path.starts_with(STREAM_PATH_PREFIX) || has_team;
    let path = RELAYED_PATH_PREFIXES
        .iter()
        .find_map(|prefix| path.strip_prefix(prefix))?;
    let uri = path.parse().ok()?;
    *request.uri_mut() = uri;
    let team = match has_team {
        true => Some(RelayedTeam::take_from(request.headers_mut())?),
        false => None,
    };
    relayed_team::remove_headers(request.headers_mut());
    let caller = request.headers_mut().remove(CALLER_HEADER);
    let caller = caller.and_then(|caller| caller.to_str().ok()?.parse().ok());
    if let Some(caller) = caller {
        request.extensions_mut().insert(CallerAddress(caller));
    }
    let mut take_count = |name: HeaderName| {
        let count = request.headers_mut().remove(name)?;
        count.to_str().ok()?.parse().ok()
    };
    let attempts_left = take_count(ATTEMPTS_LEFT_HEADER);
    let origin_recorders = take_count(ORIGIN_RECORDERS_HEADER);
    let are_tokens_reserved = take_count(TOKENS_RESERVED_HEADER) == Some(1) && must_be_understood;
    let prefix_holder = request.headers_mut().remove(PREFIX_HOLDER_HEADER);
    let prefix_holder = prefix_holder.and_then(|id| Some(id.to_str().ok()?.into()));
    Some(RelayedRequest {
        request,
        attempts_left,
        origin_recorders,
        are_tokens_reserved,
        prefix_holder,
        team,
        must_be_understood,
    })
}

/// Marks the response to a relayed request whose terms this gateway understands.
pub fn mark_terms_understood(response: &mut Response<Body>) {
    let value = HeaderValue::from_static("1");
    response
        .headers_mut()
        .insert(TERMS_UNDERSTOOD_HEADER, value);
}

/// Removes the mark of [`mark_terms_understood`]; returns whether the response had it.
pub fn take_terms_understood<B>(response: &mut Response<B>) -> bool {
    let mark = response.headers_mut().remove(TERMS_UNDERSTOOD_HEADER);
    mark.is_some()
}

/// The response to a relayed request that this gateway does not take.
pub fn not_taken_response() -> Response<Body> {
    let mut response = Response::new(Body::full(Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let value = HeaderValue::from_static("1");
    response.headers_mut().insert(NOT_TAKEN_HEADER, value);
    response
}

/// The response to a relayed request that this gateway does not take, without having recorded anything
/// for it.
pub fn refused_unread_response() -> Response<Body> {
    let mut response = not_taken_response();
    let value = HeaderValue::from_static("1");
    response
        .headers_mut()
        .insert(NOTHING_RECORDED_HEADER, value);
    response
}

/// Whether a peer that did not take a relayed request has certainly not recorded an origin for it.
pub fn has_recorded_nothing<B>(response: &Response<B>) -> bool {
    response.headers().contains_key(NOTHING_RECORDED_HEADER)
}

/// Whether a peer did not take a relayed request. Nothing of it has run.
pub fn is_not_taken<B>(response: &Response<B>) -> bool {
    response.headers().contains_key(NOT_TAKEN_HEADER)
}

/// Marks the response to a relayed request that failed in doubt.
pub fn mark_in_doubt(response: &mut Response<Body>) {
    let value = HeaderValue::from_static("1");
    response.headers_mut().insert(IN_DOUBT_HEADER, value);
}

/// Removes the mark of [`mark_in_doubt`]; returns whether the response had it.
pub fn take_in_doubt_mark<B>(response: &mut Response<B>) -> bool {
    response.headers_mut().remove(IN_DOUBT_HEADER).is_some()
}

/// Encodes a request to the owner of an allowance.
pub fn allowance_request(request: &AllowanceRequest) -> Request<Bytes> {
    let mut message = post(ALLOWANCE_PATH, request);
    if let Some(class) = &request.team_class {
        // The encoding of this type cannot fail.
        let class = postcard::to_stdvec(class).unwrap_or_default();
        let body = message.body_mut();
        *body = Bytes::from([&**body, &*class].concat());
    }
    message
}

fn decode_allowance_request(body: &[u8]) -> Option<AllowanceRequest> {
    let (mut request, rest) = postcard::take_from_bytes::<AllowanceRequest>(body).ok()?;
    request.team_class = postcard::from_bytes(rest).ok();
    Some(request)
}

/// Encodes the response of the owner of an allowance.
pub fn allowance_response(response: &AllowanceResponse) -> Response<Body> {
    let body = postcard::to_stdvec(response).unwrap_or_default();
    Response::new(Body::full(body))
}

/// Decodes the response of the owner of an allowance; `None` if the status is not 200 or the body
/// is malformed.
pub fn decode_allowance(response: &Response<Bytes>) -> Option<AllowanceResponse> {
    let is_ok = response.status() == StatusCode::OK;
    is_ok.then(|| postcard::from_bytes(response.body()).ok())?
}

/// Encodes a request to the owner of limits of teams.
pub fn team_limits_request(request: &LimitRequest) -> Request<Bytes> {
    post(TEAM_LIMITS_PATH, request)
}

/// Encodes the response of the owner of limits of teams.
pub fn team_limits_response(response: &LimitResponse) -> Response<Body> {
    let body = postcard::to_stdvec(response).unwrap_or_default();
    Response::new(Body::full(body))
}

/// Decodes the response of the owner of limits of teams; `None` if the status is not 200 or the body
/// is malformed. Fields may follow in later builds.
pub fn decode_team_limits(response: &Response<Bytes>) -> Option<LimitResponse> {
    if response.status() != StatusCode::OK {
        return None;
    }
    let (response, _) = postcard::take_from_bytes(response.body()).ok()?;
    Some(response)
}

impl AdmitRequest {
    /// Encodes the HTTP request to a peer, with what this gateway has heard from servers.
    pub fn encode(&self, notices: &ServerNotices) -> Request<Bytes> {
        let mut request = post_with_notices(ADMIT_PATH, self, notices);
        let body = request.body_mut();
        let part = postcard::to_stdvec(&self.part).unwrap_or_default();
        let message = [&with_origin(body, self.proposed_origin), &*part].concat();
        let message = with_speeds(&message, &self.loads);
        let mark = qualified_ids_mark(self.are_ids_qualified);
        *body = Bytes::from([&*message, mark].concat());
        request
    }

    fn decode(body: &[u8]) -> Option<(Self, ServerNotices)> {
        let (mut request, notices, rest) = split_message::<Self>(body)?;
        let (proposed_origin, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
        request.proposed_origin = proposed_origin;
        let (part, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
        request.part = part;
        let rest = take_speeds(rest, &mut request.loads);
        request.are_ids_qualified = rest == QUALIFIED_IDS_MARK;
        Some((request, notices))
    }
}

impl SettleRequest {
    /// Encodes the HTTP request to a peer.
    pub fn encode(&self) -> Request<Bytes> {
        let mut request = post(SETTLE_PATH, self);
        let body = request.body_mut();
        *body = Bytes::from([&**body, qualified_ids_mark(self.are_ids_qualified)].concat());
        request
    }

    fn decode(body: &[u8]) -> Option<Self> {
        let (mut request, rest) = postcard::take_from_bytes::<Self>(body).ok()?;
        request.are_ids_qualified = rest == QUALIFIED_IDS_MARK;
        Some(request)
    }
}

/// Follows a message whose ids are qualified by a team.
const QUALIFIED_IDS_MARK: &[u8] = &[1];

fn qualified_ids_mark(are_ids_qualified: bool) -> &'static [u8] {
    match are_ids_qualified {
        true => QUALIFIED_IDS_MARK,
        false => &[],
    }
}

impl AdmitResponse {
    /// Encodes the HTTP response to a peer, with what this gateway has heard from servers.
    pub fn encode(&self, notices: &ServerNotices) -> Response<Body> {
        let body = with_notices(self, notices);
        let body = with_origin(&body, self.stream_origin);
        Response::new(Body::full(with_speeds(&body, &self.loads)))
    }

    /// Decodes the response of a peer and what the peer has heard from servers; `None` if the
    /// status is not 200 or the body is malformed.
    pub fn decode(response: &Response<Bytes>) -> Option<(Self, ServerNotices)> {
        let body = response.body();
        let is_ok = response.status() == StatusCode::OK;
        let (mut answer, notices, rest) = is_ok.then(|| split_message::<Self>(body))??;
        let (stream_origin, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
        answer.stream_origin = stream_origin;
        take_speeds(rest, &mut answer.loads);
        Some((answer, notices))
    }
}

/// Appends an origin to a message with notices. Gateways of earlier builds ignore it.
fn with_origin(body: &[u8], origin: Option<StreamOrigin>) -> Bytes {
    // The encoding of this type cannot fail.
    let origin = postcard::to_stdvec(&origin).unwrap_or_default();
    Bytes::from([body, &origin].concat())
}

/// A decoded call of another gateway.
pub enum PeerCall {
    /// A store call to relay.
    Relay(Box<RelayedCall>),
    /// A turn to admit, and what the peer has heard from servers.
    Admit(AdmitRequest, ServerNotices),
    /// A turn to settle.
    Settle(SettleRequest),
    /// The demands that the peer knows at overloaded services.
    Demands(ServiceDemands),
    /// The peer asks whether a turn of this program has completed.
    HasBegun(String),
    /// The peer asks what this gateway has heard from servers.
    ListNotices,
    /// A gossip request, and what the peer has heard from servers.
    Gossip(GossipRequest, ServerNotices),
    /// The peer asks for a request to a server with a rate limit.
    Allowance(AllowanceRequest),
    /// The peer asks for requests of teams with a limit.
    TeamLimits(LimitRequest),
    /// The peer asks whether this gateway reaches backend servers.
    AskServerPath,
    /// A request of a caller, relayed by a gateway that reaches no backend server.
    Request(Box<RelayedRequest>),
}

/// Decodes a call of another gateway; `None` if the path is unknown or the message is malformed.
pub fn decode_call(request: Request<Bytes>) -> Option<PeerCall> {
    match request.uri().path() {
        ADMIT_PATH => AdmitRequest::decode(request.body())
            .map(|(request, notices)| PeerCall::Admit(request, notices)),
        GOSSIP_PATH => split_gossip(request.body())
            .map(|(request, notices, _)| PeerCall::Gossip(request, notices)),
        NOTICES_PATH => Some(PeerCall::ListNotices),
        SERVER_PATH_PATH => Some(PeerCall::AskServerPath),
        path if RELAYED_PATH_PREFIXES
            .iter()
            .any(|prefix| path.starts_with(prefix)) =>
        {
            unwrap_request(request).map(|request| PeerCall::Request(Box::new(request)))
        }
        ALLOWANCE_PATH => decode_allowance_request(request.body()).map(PeerCall::Allowance),
        SETTLE_PATH => SettleRequest::decode(request.body()).map(PeerCall::Settle),
        TEAM_LIMITS_PATH => postcard::take_from_bytes(request.body())
            .ok()
            .map(|(request, _)| PeerCall::TeamLimits(request)),
        DEMAND_PATH => postcard::from_bytes(request.body())
            .ok()
            .map(PeerCall::Demands),
        HAS_BEGUN_PATH => postcard::from_bytes(request.body())
            .ok()
            .map(PeerCall::HasBegun),
        _ => unwrap_store_call(request).map(|call| PeerCall::Relay(Box::new(call))),
    }
}
