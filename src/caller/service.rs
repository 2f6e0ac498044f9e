//! Calls to plain services.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Response};

use crate::caller::attempts::{Failure, RetrySafety};
use crate::caller::{CallError, Caller, MAX_ANSWER_BYTES, Result};
use crate::error::{ErrorBody, ErrorKind};
use crate::request::api::check_id;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Id of the service in the configuration.
    pub service: String,
    /// HTTP method of the request to the service.
    pub method: Method,
    /// The path within the service, percent-encoded; leading slashes are ignored.
    pub path: String,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Forwarded to the service unchanged.
    pub body: Bytes,
    /// Whether the call is idempotent. Otherwise it is repeated only if it certainly did not run.
    pub may_repeat: bool,
}

/// The answer of a plain service, whatever its status.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// The HTTP status that the service returned.
    pub status: u16,
    /// Value of the `Content-Type` header, if present and valid text.
    pub content_type: Option<String>,
    /// Returned by the service; at most 64 MiB.
    pub body: Bytes,
}

pub(super) async fn call(caller: &Caller, call: ServiceCall) -> Result<ServiceAnswer> {
    check_id("service", &call.service)?;
    let path = format!(
        "/v1/services/{}/{}",
        call.service,
        call.path.trim_start_matches('/')
    );
    let mut request = caller.request(call.method, &path, call.body)?;
    let content_type = HeaderValue::from_str(&call.content_type)
        .map_err(|_| CallError::InvalidPath(call.content_type.clone()))?;
    request.headers_mut().insert(CONTENT_TYPE, content_type);
    let retry_safety = if call.may_repeat {
        RetrySafety::Safe
    } else {
        RetrySafety::Unsafe
    };
    // A service call belongs to no conversation, but the list of entries is requested per
    // conversation, so the service id is used as the key.
    let mut attempts = caller.attempts(&call.service, retry_safety)?;
    loop {
        let address = attempts.next_address().await?;
        let fetch = caller.http.fetch(
            address,
            request.clone(),
            attempts.attempt_timeout(),
            MAX_ANSWER_BYTES,
        );
        let failure = match fetch.await {
            Ok(response) if is_entry_error(&response) => {
                Failure::from_error_answer(response.status(), response.body())
            }
            Ok(response) => return Ok(service_answer(response)),
            Err(error) => Failure::Client(error),
        };
        attempts.prepare_retry(address, failure).await?;
    }
}

/// Whether an answer is an error of the entry and not an answer of the service: its body is an
/// error of the protocol, and its status is the one that belongs to the error kind.
fn is_entry_error(response: &Response<Bytes>) -> bool {
    let Ok(body) = serde_json::from_slice::<ErrorBody>(response.body()) else {
        return false;
    };
    ErrorKind::ALL
        .iter()
        .map(|kind| kind.answer())
        .any(|answer| answer.name == body.error.kind && answer.status == response.status().as_u16())
}

fn service_answer(response: Response<Bytes>) -> ServiceAnswer {
    let content_type = response.headers().get(CONTENT_TYPE);
    ServiceAnswer {
        status: response.status().as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .map(String::from),
        body: response.into_body(),
    }
}
