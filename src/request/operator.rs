//! Requests of operators to one entry: its status, its drain, and programs of any team.

use std::rc::Rc;

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;

use crate::connection::body::Body;
use crate::connection::http_server::json_response;
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{EntryId, Incarnation, VersionNumber};
use crate::process::audit;
use crate::process::entry::Entry;
use crate::process::timer::unix_ms;
use crate::request::api::EndRunBody;
use crate::request::conversation_request::ConversationRequest;
use crate::request::forward;
use crate::version::config::Config;

/// The response to `/v1/operator/status`.
#[derive(Serialize)]
struct Status {
    entry_id: EntryId,
    incarnation: Option<Incarnation>,
    leaving: bool,
    config_version: VersionNumber,
    config_confirmed_ms: Option<u64>,
    slots: usize,
    conversations: usize,
    requests: usize,
    waiting_calls: usize,
    committed_segment: u64,
    journal_queue_bytes: usize,
    commits_failing_ms: Option<u64>,
    engines: Vec<EngineStatus>,
}

#[derive(Serialize)]
struct EngineStatus {
    backend_server_id: crate::ids::BackendServerId,
    in_service: bool,
    in_flight_calls: u32,
    load_permille: u64,
}

/// Answers a request under `/v1/operator/`.
pub async fn respond(
    entry: &Rc<Entry>,
    config: &Rc<Config>,
    operator: &str,
    rest: &str,
    request: Request<Bytes>,
) -> Result<Response<Body>> {
    let parts: Vec<&str> = rest.split('/').collect();
    match (request.method(), parts.as_slice()) {
        (&Method::GET, ["status"]) => Ok(json_response(StatusCode::OK, &status(entry))),
        (&Method::POST, ["drain"]) => {
            audit::operator_action(operator, "drain", &entry.settings.entry_id);
            crate::process::shutdown::request_stop();
            Ok(json_response(StatusCode::ACCEPTED, &status(entry)))
        }
        (&Method::GET, ["programs", team_id, conversation]) => {
            let path = format!("/v1/conversations/{conversation}");
            forward_to_conversation(entry, config, team_id, Method::GET, path, Bytes::new()).await
        }
        (&Method::POST, ["programs", team_id, conversation, "cancel"]) => {
            audit::operator_action(operator, "cancel", &format!("{team_id}/{conversation}"));
            let path = format!("/v1/conversations/{conversation}/cancel");
            forward_to_conversation(entry, config, team_id, Method::POST, path, cancel_body()).await
        }
        _ => Err(Error::new(
            ErrorKind::NotFound,
            format!("unknown operator path `{rest}`"),
        )),
    }
}

/// Each cancellation gets its own request id; cancelling a run that has ended changes nothing.
fn cancel_body() -> Bytes {
    let request_id = format!("operator-cancel-{}", unix_ms()).into();
    serde_json::to_vec(&EndRunBody { request_id })
        .unwrap_or_default()
        .into()
}

async fn forward_to_conversation(
    entry: &Rc<Entry>,
    config: &Rc<Config>,
    team_id: &str,
    method: Method,
    path: String,
    body: Bytes,
) -> Result<Response<Body>> {
    let mut request = Request::new(body);
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().map_err(|_| {
        Error::new(
            ErrorKind::BadRequest,
            format!("`{path}` is not a valid path"),
        )
    })?;
    let request = ConversationRequest::parse(team_id.into(), request)?;
    forward::respond(entry, config.clone(), request).await
}

fn status(entry: &Entry) -> Status {
    let millis = |duration: std::time::Duration| duration.as_millis() as u64;
    let engines = entry
        .router
        .engine_status()
        .into_iter()
        .map(|engine| EngineStatus {
            backend_server_id: engine.backend_server_id,
            in_service: engine.is_in_service,
            in_flight_calls: engine.in_flight_calls,
            load_permille: engine.load_permille,
        });
    Status {
        entry_id: entry.settings.entry_id.clone(),
        incarnation: entry
            .journal
            .own_incarnation()
            .map(|holder| holder.incarnation),
        leaving: entry.slot_manager.is_leaving(),
        config_version: entry.config.version(),
        config_confirmed_ms: entry.config.confirmed_age().map(millis),
        slots: entry.slots.held().len(),
        conversations: entry.slots.conversation_count(),
        requests: entry.in_flight_requests.get(),
        waiting_calls: entry.router.waiting_calls(),
        committed_segment: entry.journal.committed_segment(),
        journal_queue_bytes: entry.journal.queued_bytes(),
        commits_failing_ms: entry.journal.commits_failing_for().map(millis),
        engines: engines.collect(),
    }
}
