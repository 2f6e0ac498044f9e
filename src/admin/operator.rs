//! Client of the operators' HTTP interface of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response};
use serde_json::{Value, json};

use crate::admin::{AdminError, Arguments, Report, Result};
use crate::connection::http_client::HttpClient;
use crate::error::ErrorBody;
use crate::process::rows::{ENTRY_PREFIX, EntryRow, EntryState, entry_key};
use crate::process::timer::TimerService;

/// Environment variable with the operator key; `--key-file` overrides it.
pub const OPERATOR_KEY_ENV_VAR: &str = "SAPPHIREFORD_OPERATOR_KEY";

/// Timeout of one call. The entry may wait up to 8 s until a slot has a holder.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Sends a request to an entry and reports its answer; fails unless the status is a success.
pub async fn call_entry(
    arguments: &Arguments,
    address: SocketAddr,
    method: Method,
    path: &str,
) -> Result<Report> {
    let key = operator_key(arguments)?;
    let request = build_request(method, path, &key)?;
    let http = HttpClient::new(TimerService::start());
    let answer = http.fetch(address, request, CALL_TIMEOUT, MAX_ANSWER_BYTES);
    let answer = answer
        .await
        .map_err(|error| AdminError::Entry(address, error))?;
    build_report(address, &answer)
}

/// Returns the address of an entry given by id or by address. Only an id is looked up in the
/// platform.
pub async fn entry_address(arguments: &Arguments, entry: &str) -> Result<SocketAddr> {
    if let Ok(address) = entry.parse() {
        return Ok(address);
    }
    let row = arguments
        .platform_client()?
        .read_one(&entry_key(entry))
        .await?;
    if row.version == 0 {
        let reason = format!("there is no entry `{entry}`; `status` lists the entries");
        return Err(AdminError::Refused(reason));
    }
    Ok(row.decode::<EntryRow>()?.http_address)
}

/// Returns the address of the entry given with `--entry`, or of any live entry. Any entry can be
/// used, because it forwards the request to the holder of the conversation.
pub async fn select_entry_address(arguments: &Arguments) -> Result<SocketAddr> {
    if let Some(entry) = arguments.matches.opt_strs("entry").first() {
        return entry_address(arguments, entry).await;
    }
    for row in arguments.platform_client()?.scan(ENTRY_PREFIX).await? {
        let entry: EntryRow = row.decode()?;
        if entry.state == EntryState::Live {
            return Ok(entry.http_address);
        }
    }
    Err(AdminError::Refused("no entry is live".into()))
}

/// Returns the path of a conversation in the operators' interface.
pub fn program_path(team: &str, conversation: &str) -> Result<String> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    for id in [team, conversation] {
        if id.is_empty() || !id.chars().all(is_allowed) {
            return Err(AdminError::Usage(format!("`{id}` is not a valid id")));
        }
    }
    Ok(format!("/v1/operator/programs/{team}/{conversation}"))
}

fn operator_key(arguments: &Arguments) -> Result<String> {
    if let Some(path) = arguments.option_value("key-file") {
        let text = std::fs::read_to_string(&path);
        let text = text.map_err(|error| AdminError::File(path.into(), error))?;
        return Ok(text.trim().to_string());
    }
    std::env::var(OPERATOR_KEY_ENV_VAR).map_err(|_| {
        let reason =
            format!("specify the operator key with `--key-file` or {OPERATOR_KEY_ENV_VAR}");
        AdminError::Usage(reason)
    })
}

fn build_request(method: Method, path: &str, key: &str) -> Result<Request<Bytes>> {
    let invalid = |_| AdminError::Usage("the operator key contains invalid characters".into());
    let mut authorization = HeaderValue::from_str(&format!("Bearer {key}")).map_err(invalid)?;
    authorization.set_sensitive(true);
    let body = match method {
        Method::POST => Bytes::from_static(b"{}"),
        _ => Bytes::new(),
    };
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = path
        .parse()
        .map_err(|_| AdminError::Usage(format!("`{path}` is not a valid path")))?;
    let headers = request.headers_mut();
    headers.insert(AUTHORIZATION, authorization);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(request)
}

fn build_report(address: SocketAddr, answer: &Response<Bytes>) -> Result<Report> {
    let status = answer.status();
    if status.is_success() {
        let body: Value = serde_json::from_slice(answer.body()).unwrap_or(Value::Null);
        let text = format!("the entry at {address} answered:\n{body:#}");
        return Ok(Report::success(text, json!({"done": true, "answer": body})));
    }
    let reason = match serde_json::from_slice::<ErrorBody>(answer.body()) {
        Ok(ErrorBody { error }) => format!(
            "the entry at {address} refused: {} ({}, ran: {})",
            error.message,
            error.kind,
            json!(error.ran).as_str().unwrap_or_default()
        ),
        Err(_) => format!("the entry at {address} answered with status {status}"),
    };
    Err(AdminError::Refused(reason))
}
