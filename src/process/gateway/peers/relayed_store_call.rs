//! Store calls that a gateway relays for a peer which cannot reach the store itself.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};

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

pub(super) fn unwrap_store_call(mut request: Request<Bytes>) -> Option<RelayedCall> {
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
