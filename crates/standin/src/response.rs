//! Responses shared by all stand-ins, including injected failures: aborted connections and requests
//! that never get a response.

use std::future::pending;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use sapphireford::connection::body::Body;
use sapphireford::connection::http_server::json_response;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

/// Result of decoding a request body.
pub type Result<T> = std::result::Result<T, InvalidBody>;

/// The request body does not match the protocol.
#[derive(Debug)]
pub struct InvalidBody(serde_json::Error);

impl InvalidBody {
    /// Returns a 400 response that names the decoding error.
    pub fn response(&self) -> Response<Body> {
        let message = format!("invalid request body: {}", self.0);
        error(StatusCode::BAD_REQUEST, &message)
    }
}

/// Returns a 200 response with a JSON body.
pub fn ok(value: &impl Serialize) -> Response<Body> {
    json_response(StatusCode::OK, value)
}

/// Returns an error response with the message as JSON.
pub fn error(status: StatusCode, message: &str) -> Response<Body> {
    json_response(status, &json!({"error": {"message": message}}))
}

/// Returns a 404 response for a path that the stand-in does not serve.
pub fn not_found() -> Response<Body> {
    error(StatusCode::NOT_FOUND, "no such path")
}

/// Decodes a JSON request body.
pub fn decode_json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(InvalidBody)
}

/// Aborts the connection before any byte of the response is sent.
///
/// The body fails at its first poll, before the server has flushed the response head.
pub async fn abort_connection() -> Response<Body> {
    let (sender, body) = Body::stream();
    sender.abort().await;
    Response::new(body)
}

/// Never resolves; the server drops the future when the client closes the connection.
pub async fn hang() -> Response<Body> {
    pending().await
}

/// Returns a response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::full(Bytes::new()));
    *response.status_mut() = status;
    response
}
