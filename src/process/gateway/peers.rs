//! The calls between gateways: a gateway passes store calls of another one on.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};

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

/// Unwraps a store call of a peer; `None` for other requests.
pub fn unwrap_relayed(mut request: Request<Bytes>) -> Option<RelayedCall> {
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

/// Where a peer listens, and since when its row has not changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerAddress {
    /// Where it takes requests of other gateways.
    pub peer_address: SocketAddr,
}
