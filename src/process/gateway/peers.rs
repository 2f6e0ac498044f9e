//! The messages between gateways, sent over HTTP to the peer listener.
//!
//! A gateway relays store calls of a peer that cannot reach the store itself, and admits turns of
//! the programs whose accounts it owns. Both sides of an admission exchange the server loads that
//! they know. The owner of a program's account caches the chains of its last turns, so that most
//! turns can run at any gateway without a read from the store.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::account::GrantId;
use super::gossip::{GossipRequest, GossipResponse};
use super::history::{TurnChain, TurnId};
use super::ledger::{Admission, TurnBudget};
use super::servers::{LeavingServer, SharedLoad};
use crate::connection::body::Body;

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
}

const GOSSIP_PATH: &str = "/gateways/gossip";
/// Path of the servers that are about to stop.
const LEAVING_PATH: &str = "/servers/leaving";
const ADMIT_PATH: &str = "/programs/admit";
const SETTLE_PATH: &str = "/programs/settle";

fn post(path: &'static str, message: &impl Serialize) -> Request<Bytes> {
    // The encoding of these types cannot fail.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    request
}

/// A message that is followed by the servers that its sender knows to be leaving.
///
/// They are appended, not a field, because gateways of earlier builds ignore what follows the
/// message and send none.
fn with_leaving(message: &impl Serialize, leaving: &[LeavingServer]) -> Bytes {
    // The encoding of these types cannot fail.
    let mut body = postcard::to_stdvec(message).unwrap_or_default();
    body.extend(postcard::to_stdvec(leaving).unwrap_or_default());
    Bytes::from(body)
}

fn split_leaving<T: DeserializeOwned>(body: &[u8]) -> Option<(T, Vec<LeavingServer>)> {
    let (message, rest) = postcard::take_from_bytes(body).ok()?;
    Some((message, postcard::from_bytes(rest).unwrap_or_default()))
}

/// Encodes a gossip request.
pub fn gossip_request(request: &GossipRequest) -> Request<Bytes> {
    post(GOSSIP_PATH, request)
}

/// Encodes the response to a gossip request.
pub fn gossip_response(response: &GossipResponse) -> Response<Body> {
    let body = postcard::to_stdvec(response).unwrap_or_default();
    Response::new(Body::full(body))
}

/// Decodes the response of a peer to a gossip request; `None` if the status is not 200 or the body is malformed.
pub fn decode_gossip(response: &Response<Bytes>) -> Option<GossipResponse> {
    let is_ok = response.status() == StatusCode::OK;
    is_ok.then(|| postcard::from_bytes(response.body()).ok())?
}

/// Asks a peer which servers it knows to be leaving.
pub fn leaving_request() -> Request<Bytes> {
    let mut request = Request::new(Bytes::new());
    *request.uri_mut() = Uri::from_static(LEAVING_PATH);
    request
}

/// Encodes the response to [`leaving_request`].
pub fn leaving_response(leaving: &[LeavingServer]) -> Response<Body> {
    Response::new(Body::full(with_leaving(&(), leaving)))
}

/// Decodes the response to [`leaving_request`]; empty if the peer does not know the call.
pub fn decode_leaving(response: &Response<Bytes>) -> Vec<LeavingServer> {
    if response.status() != StatusCode::OK {
        return Vec::new();
    }
    let message: Option<((), _)> = split_leaving(response.body());
    message.map(|((), leaving)| leaving).unwrap_or_default()
}

impl AdmitRequest {
    /// Encodes the HTTP request to a peer, with the servers that this gateway knows to be leaving.
    pub fn encode(&self, leaving: &[LeavingServer]) -> Request<Bytes> {
        let mut request = post(ADMIT_PATH, &());
        *request.body_mut() = with_leaving(self, leaving);
        request
    }
}

impl SettleRequest {
    /// Encodes the HTTP request to a peer.
    pub fn encode(&self) -> Request<Bytes> {
        post(SETTLE_PATH, self)
    }
}

impl AdmitResponse {
    /// Encodes the HTTP response to a peer, with the servers that this gateway knows to be leaving.
    pub fn encode(&self, leaving: &[LeavingServer]) -> Response<Body> {
        Response::new(Body::full(with_leaving(self, leaving)))
    }

    /// Decodes the response of a peer and the servers that the peer knows to be leaving; `None` if
    /// the status is not 200 or the body is malformed.
    pub fn decode(response: &Response<Bytes>) -> Option<(Self, Vec<LeavingServer>)> {
        let is_ok = response.status() == StatusCode::OK;
        is_ok.then(|| split_leaving(response.body()))?
    }
}

/// A decoded call of another gateway.
pub enum PeerCall {
    /// A store call to relay.
    Relay(Box<RelayedCall>),
    /// A turn to admit, and the servers that the peer knows to be leaving.
    Admit(AdmitRequest, Vec<LeavingServer>),
    /// A turn to settle.
    Settle(SettleRequest),
    /// The peer asks for the servers that are leaving.
    ListLeaving,
    /// A gossip request.
    Gossip(GossipRequest),
}

/// Decodes a call of another gateway; `None` if the path is unknown or the message is malformed.
pub fn decode_call(request: Request<Bytes>) -> Option<PeerCall> {
    match request.uri().path() {
        ADMIT_PATH => split_leaving(request.body())
            .map(|(request, leaving)| PeerCall::Admit(request, leaving)),
        GOSSIP_PATH => postcard::from_bytes(request.body())
            .ok()
            .map(PeerCall::Gossip),
        LEAVING_PATH => Some(PeerCall::ListLeaving),
        SETTLE_PATH => postcard::from_bytes(request.body())
            .ok()
            .map(PeerCall::Settle),
        _ => unwrap_store_call(request).map(|call| PeerCall::Relay(Box::new(call))),
    }
}
