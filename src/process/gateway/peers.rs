//! The calls between gateways.
//!
//! A gateway passes on store calls of another one, and admits turns of the programs that it looks
//! after. Both sides of an admission tell each other the loads of servers that they know,
//! and the gateway that looks after a program keeps the chains of its last turns in memory.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use serde::{Deserialize, Serialize};

use super::account::GrantId;
use super::history::{Chain, TurnId};
use super::ledger::{Admission, TurnBudget};
use super::servers::SharedLoad;
use crate::connection::body::Body;

/// Paths that start with it are store calls of another gateway.
const RELAY_PREFIX: &str = "/store";
/// Time that the other gateway waits, in milliseconds.
const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
/// Marks an answer of the store, as opposed to one of the peer.
const FROM_STORE: HeaderName = HeaderName::from_static("x-from-store");

/// Wraps a store call for a peer.
pub fn relayed(mut request: Request<Bytes>, time_left: Duration) -> Option<Request<Bytes>> {
    let path = request.uri().path_and_query()?.as_str();
    let uri = format!("{RELAY_PREFIX}{path}").parse().ok()?;
    *request.uri_mut() = uri;
    let left_ms = time_left.as_millis() as u64;
    request.headers_mut().insert(TIME_LEFT, left_ms.into());
    Some(request)
}

/// A store call that another gateway wants to be passed on.
pub struct RelayedCall {
    /// The call as the store expects it.
    pub request: Request<Bytes>,
    /// Time that the other gateway waits.
    pub time_left: Duration,
}

fn unwrap_relayed(mut request: Request<Bytes>) -> Option<RelayedCall> {
    let path = request.uri().path_and_query()?.as_str();
    let uri = path.strip_prefix(RELAY_PREFIX)?.parse().ok()?;
    *request.uri_mut() = uri;
    let left_ms = request.headers_mut().remove(TIME_LEFT)?;
    let left_ms = left_ms.to_str().ok()?.parse().ok()?;
    request.headers_mut().remove(hyper::header::HOST);
    Some(RelayedCall {
        request,
        time_left: Duration::from_millis(left_ms),
    })
}

/// The answer to a relayed call: what the store said, or that it did not answer.
pub fn relay_answer(answer: Option<Response<Bytes>>) -> Response<Body> {
    let Some(answer) = answer else {
        let mut response = Response::new(Body::full(Bytes::new()));
        *response.status_mut() = StatusCode::BAD_GATEWAY;
        return response;
    };
    let (head, body) = answer.into_parts();
    let mut response = Response::new(Body::full(body));
    *response.status_mut() = head.status;
    let value = HeaderValue::from_static("1");
    response.headers_mut().insert(FROM_STORE, value);
    response
}

/// Whether a peer's answer is one of the store.
pub fn is_from_store(answer: &Response<Bytes>) -> bool {
    answer.headers().contains_key(FROM_STORE)
}

/// Asks a peer to admit a turn of a program that it looks after.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmitRequest {
    /// The turn.
    pub turn: TurnBudget,
    /// Time until the turn must have ended.
    pub time_left_ms: u64,
    /// The loads of servers as the asking gateway knows them.
    pub loads: Vec<SharedLoad>,
    /// The turn that this one continues, if the asking gateway does not have its chain.
    pub previous_turn_id: Option<TurnId>,
}

/// The answer of a peer to [`AdmitRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdmitAnswer {
    /// What the account of the program says.
    pub verdict: AdmitVerdict,
    /// The loads of servers as the peer knows them.
    pub loads: Vec<SharedLoad>,
    /// The chain of the turn that the admitted one continues, if the peer has it.
    pub chain: Option<Chain>,
    /// The server that completed the last turn of the program, if the peer knows it.
    pub prefix_holder: Option<String>,
}

/// What the account of a program says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AdmitVerdict {
    /// The account was asked.
    Admission(Admission),
    /// The account needs the store, which does not answer.
    StoreUnavailable,
}

/// Tells a peer what a turn has spent that it admitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettleRequest {
    /// The program that pays.
    pub program_id: String,
    /// The turn.
    pub grant_id: GrantId,
    /// Tokens that were handed to the caller.
    pub spent_tokens: u64,
    /// The server that completed the turn.
    pub completed_by: Option<String>,
    /// The turn, if it is durable, with its chain for the turns that follow.
    pub kept: Option<(TurnId, Chain)>,
}

const ADMIT_PATH: &str = "/programs/admit";
const SETTLE_PATH: &str = "/programs/settle";

fn post(path: &'static str, message: &impl Serialize) -> Request<Bytes> {
    // These types have no values that cannot be encoded.
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static(path);
    request
}

impl AdmitRequest {
    /// The call for a peer.
    pub fn encode(&self) -> Request<Bytes> {
        post(ADMIT_PATH, self)
    }
}

impl SettleRequest {
    /// The call for a peer.
    pub fn encode(&self) -> Request<Bytes> {
        post(SETTLE_PATH, self)
    }
}

impl AdmitAnswer {
    /// The answer to a peer.
    pub fn encode(&self) -> Response<Body> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        Response::new(Body::full(body))
    }

    /// Decodes the answer of a peer; `None` if it is not one.
    pub fn decode(response: &Response<Bytes>) -> Option<Self> {
        let is_ok = response.status() == StatusCode::OK;
        is_ok.then(|| postcard::from_bytes(response.body()).ok())?
    }
}

/// A call of another gateway.
pub enum PeerCall {
    /// A store call to pass on.
    Relay(Box<RelayedCall>),
    /// A turn to admit.
    Admit(AdmitRequest),
    /// Spending to record.
    Settle(SettleRequest),
}

/// Decodes a call of another gateway; `None` if it is not one.
pub fn decode_call(request: Request<Bytes>) -> Option<PeerCall> {
    match request.uri().path() {
        ADMIT_PATH => postcard::from_bytes(request.body())
            .ok()
            .map(PeerCall::Admit),
        SETTLE_PATH => postcard::from_bytes(request.body())
            .ok()
            .map(PeerCall::Settle),
        _ => unwrap_relayed(request).map(|call| PeerCall::Relay(Box::new(call))),
    }
}
