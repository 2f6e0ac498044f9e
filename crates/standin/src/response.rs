//! Answers that all stand-ins give, the broken and the missing ones included.

use std::future::pending;

use bytes::Bytes;
use hyper::{Response, StatusCode};
use sapphireford::connection::body::Body;
use sapphireford::connection::http_server::json_response;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;

/// A decoded request body.
pub type Result<T> = std::result::Result<T, InvalidBody>;

/// The body of a request is not what the protocol says.
#[derive(Debug)]
pub struct InvalidBody(serde_json::Error);

impl InvalidBody {
    /// The answer that refuses the request.
    pub fn response(&self) -> Response<Body> {
        let message = format!("the body is not valid: {}", self.0);
        error(StatusCode::BAD_REQUEST, &message)
    }
}

/// Answers 200 with a JSON body.
pub fn ok(value: &impl Serialize) -> Response<Body> {
    json_response(StatusCode::OK, value)
}

/// Answers with an error status and a message.
pub fn error(status: StatusCode, message: &str) -> Response<Body> {
    json_response(status, &json!({"error": {"message": message}}))
}

/// Answers 404 for a path that the stand-in does not serve.
pub fn not_found() -> Response<Body> {
    error(StatusCode::NOT_FOUND, "no such path")
}

/// Decodes a JSON body.
pub fn decode_json<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(InvalidBody)
}

/// Breaks the connection without sending any byte of an answer.
///
/// The body fails at its first poll, before the server has flushed the head.
pub async fn abort_connection() -> Response<Body> {
    let (sender, body) = Body::stream();
    sender.abort().await;
    Response::new(body)
}

/// Never answers; ends when the caller closes the connection.
pub async fn hang() -> Response<Body> {
    pending().await
}

/// An answer without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::full(Bytes::new()));
    *response.status_mut() = status;
    response
}
