//! Calls to plain services.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Response};

use crate::caller::attempts::{Failure, Repeat};
use crate::caller::{ANSWER_LIMIT_BYTES, CallError, Caller, Result};
use crate::error::{ErrorBody, ErrorKind};
use crate::request::api::check_id;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// The service.
    pub service: String,
    /// The method.
    pub method: Method,
    /// The path within the service, without a leading slash, escaped where needed.
    pub path: String,
    /// The type of the body.
    pub content_type: String,
    /// Passed to the service unchanged.
    pub body: Bytes,
    /// Whether a second execution does no harm. Otherwise the call is repeated only if it certainly
    /// did not run.
    pub may_repeat: bool,
}

/// The answer of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The type of the body, if the service names one.
    pub content_type: Option<String>,
    /// The body.
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
    let repeat = if call.may_repeat {
        Repeat::Safe
    } else {
        Repeat::Unsafe
    };
    // A service call belongs to no conversation. The service's name stands in for one, because
    // the list of entries is asked for by conversation.
    let mut attempts = caller.attempts(&call.service, repeat)?;
    loop {
        let address = attempts.next_address().await?;
        let fetch = caller.http.fetch(
            address,
            request.clone(),
            attempts.time_limit(),
            ANSWER_LIMIT_BYTES,
        );
        let failure = match fetch.await {
            Ok(response) if is_from_entry(&response) => {
                Failure::from_answer(response.status(), response.body())
            }
            Ok(response) => return Ok(answer(response)),
            Err(error) => Failure::Client(error),
        };
        attempts.recover(address, failure).await?;
    }
}

/// Tells an error of the entry from an answer of the service: its body has the form of the
/// protocol, and its status is that of its kind.
fn is_from_entry(response: &Response<Bytes>) -> bool {
    let Ok(body) = serde_json::from_slice::<ErrorBody>(response.body()) else {
        return false;
    };
    ErrorKind::ALL
        .iter()
        .map(|kind| kind.answer())
        .any(|answer| answer.name == body.error.kind && answer.status == response.status().as_u16())
}

fn answer(response: Response<Bytes>) -> ServiceAnswer {
    let content_type = response.headers().get(CONTENT_TYPE);
    ServiceAnswer {
        status: response.status().as_u16(),
        content_type: content_type
            .and_then(|value| value.to_str().ok())
            .map(String::from),
        body: response.into_body(),
    }
}
