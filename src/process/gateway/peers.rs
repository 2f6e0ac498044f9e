//! The messages between gateways, sent over HTTP to the peer listener.
//!
//! A gateway relays store calls of a peer that cannot reach the store itself, and admits turns of
//! the programs whose accounts it owns. Both sides of an admission exchange the server loads that
//! they know. The owner of a program's account caches the chains of its last turns, so that most
//! turns can run at any gateway without a read from the store.

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode, Uri};
use serde::Serialize;

use super::gossip::{GossipRequest, GossipResponse};
use super::rate_limits::{AllowanceRequest, AllowanceResponse};
use crate::connection::body::Body;
use crate::process::overload::control::ServiceDemands;
use crate::process::teams::config_age::PeerProof;
use crate::process::teams::limit_messages::{LimitRequest, LimitResponse};
use trailing_fields::{
    decode_config_proof, has_server_reports, split_gossip, split_notices, with_config_proof,
    with_notices, with_server_reports,
};

mod admission;
mod relayed_request;
mod relayed_store_call;
mod trailing_fields;

pub use admission::{AdmitRequest, AdmitResponse, AdmitResult, SettleRequest};
pub use relayed_request::{
    RelayTerms, RelayedRequest, has_recorded_nothing, is_not_taken, mark_in_doubt,
    mark_terms_understood, not_taken_response, refused_unread_response, take_in_doubt_mark,
    take_terms_understood, wrap_request,
};
pub use relayed_store_call::{RelayedCall, is_from_store, relay_response, wrap_store_call};
pub use trailing_fields::ServerNotices;

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

fn post(path: &'static str, message: &impl Serialize) -> Request<Bytes> {
    // The encoding of these types cannot fail.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    request
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
    Response::new(Body::full(with_config_proof(body, config_proof)))
}

/// Decodes the response of a peer to a gossip request; `None` if the status is not 200 or the body
/// is malformed. Gateways of earlier builds do not state the age of their configuration.
pub fn decode_gossip(
    response: &Response<Bytes>,
) -> Option<(GossipResponse, ServerNotices, Option<PeerProof>)> {
    let is_ok = response.status() == StatusCode::OK;
    let (message, notices, rest) = is_ok.then(|| split_gossip(response.body()))??;
    Some((message, notices, decode_config_proof(rest)))
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
        path if relayed_request::is_request_path(path) => relayed_request::unwrap_request(request)
            .map(|request| PeerCall::Request(Box::new(request))),
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
        _ => relayed_store_call::unwrap_store_call(request)
            .map(|call| PeerCall::Relay(Box::new(call))),
    }
}
