//! The messages by which a gateway has turns admitted by the owner of a program's account, and
//! reports their end.

use bytes::Bytes;
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::trailing_fields::{
    QUALIFIED_IDS_MARK, ServerNotices, qualified_ids_mark, split_message, take_speeds,
    with_notices, with_origin, with_speeds,
};
use super::{ADMIT_PATH, SETTLE_PATH, post, post_with_notices};
use crate::connection::body::Body;
use crate::process::gateway::account::GrantId;
use crate::process::gateway::history::{TurnChain, TurnId};
use crate::process::gateway::ledger::{Admission, TurnBudget, TurnPart};
use crate::process::gateway::servers::SharedLoad;
use crate::process::gateway::stream_origins::StreamOrigin;

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

    pub(super) fn decode(body: &[u8]) -> Option<(Self, ServerNotices)> {
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

    pub(super) fn decode(body: &[u8]) -> Option<Self> {
        let (mut request, rest) = postcard::take_from_bytes::<Self>(body).ok()?;
        request.are_ids_qualified = rest == QUALIFIED_IDS_MARK;
        Some(request)
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
