//! Requests of callers that a gateway without a path to the backend servers relays to a peer, and the
//! marks of the responses to them.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};

use crate::connection::body::Body;
use crate::connection::http_server::CallerAddress;
use crate::ids::BackendServerId;
use crate::process::gateway::relayed_team::{self, RelayedTeam};

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
/// Value of the headers that are marks.
const MARK: HeaderValue = HeaderValue::from_static("1");

/// Whether this is the path of a relayed request of a caller.
pub(super) fn is_request_path(path: &str) -> bool {
    RELAYED_PATH_PREFIXES
        .iter()
        .any(|prefix| path.starts_with(prefix))
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
        headers.insert(TOKENS_RESERVED_HEADER, MARK);
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

pub(super) fn unwrap_request(mut request: Request<Bytes>) -> Option<RelayedRequest> {
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
    response.headers_mut().insert(TERMS_UNDERSTOOD_HEADER, MARK);
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
    response.headers_mut().insert(NOT_TAKEN_HEADER, MARK);
    response
}

/// The response to a relayed request that this gateway does not take, without having recorded anything
/// for it.
pub fn refused_unread_response() -> Response<Body> {
    let mut response = not_taken_response();
    response.headers_mut().insert(NOTHING_RECORDED_HEADER, MARK);
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
    response.headers_mut().insert(IN_DOUBT_HEADER, MARK);
}

/// Removes the mark of [`mark_in_doubt`]; returns whether the response had it.
pub fn take_in_doubt_mark<B>(response: &mut Response<B>) -> bool {
    response.headers_mut().remove(IN_DOUBT_HEADER).is_some()
}
