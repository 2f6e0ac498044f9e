//! Entry point of all requests: routing, authentication, admission, and the answers that need no
//! conversation.
//!
//! Callers and operators arrive through [`Handler`], other entries through [`PeerHandler`].
//! Requests about a conversation continue in [`forward`].

use std::rc::Rc;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};

use crate::connection::body::Body;
use crate::connection::http_server::{Handler, error_response, json_response};
use crate::connection::peer::PeerHandler;
use crate::connection::peer::messages::{
    ForwardHead, ForwardRequest, PeerRequest, PeerResponse, headers_from_map, headers_to_map,
};
use crate::error::{Error, ErrorKind, Result};
use crate::ids::{ConversationKey, EntryId, TeamId};
use crate::process::entry::Entry;
use crate::process::metrics::{REQUEST_SECONDS, REQUESTS};
use crate::request::api::{EntriesAnswer, EntryAddress};
use crate::request::conversation_request::{ConversationRequest, bearer_key};
use crate::request::forward::{CONFIG_VERSION_HEADER, ForwardedCaller};
use crate::request::{forward, operator, service_call};
use crate::version::config::Config;
use crate::version::key_index::Principal;

/// Time for which callers may cache a list of entries.
const ENTRIES_TTL_MS: u64 = 5_000;

/// Answers the requests of callers, operators and peers.
pub struct Dispatcher {
    entry: Rc<Entry>,
}

impl Dispatcher {
    /// Creates the dispatcher that serves the requests of `entry`.
    pub fn new(entry: Rc<Entry>) -> Self {
        Self { entry }
    }

    async fn dispatch(&self, request: Request<Bytes>) -> Result<Response<Body>> {
        let path = request.uri().path();
        match path {
            "/healthz" => return Ok(text_response(StatusCode::OK, "ok")),
            "/readyz" => return Ok(self.readiness()),
            "/metrics" => return Ok(text_response(StatusCode::OK, self.entry.metrics.render())),
            _ => {}
        }
        let config = self.entry.config.for_request().await;
        let config = config.ok_or_else(not_ready)?;
        let principal = self.authenticate(&config, &request)?;
        if let Some(rest) = path.strip_prefix("/v1/operator/") {
            let Principal::Operator(name) = principal else {
                return Err(forbidden("this path requires an operator key"));
            };
            let rest = rest.to_string();
            return operator::respond(&self.entry, &config, &name, &rest, request).await;
        }
        let Principal::Team(team_id) = principal else {
            return Err(forbidden("this path requires a team key"));
        };
        self.dispatch_team(config, team_id, request).await
    }

    async fn dispatch_team(
        &self,
        config: Rc<Config>,
        team_id: TeamId,
        request: Request<Bytes>,
    ) -> Result<Response<Body>> {
        let limit = config.limits.requests_per_entry;
        let _guard = InFlightGuard::acquire(&self.entry, limit)?;
        self.entry
            .retry_budget
            .record_request(config.limits.retry_percent);
        let path = request.uri().path();
        if path == "/v1/entries" {
            return Ok(self.entries(&team_id, request.uri().query().unwrap_or("")));
        }
        if let Some(rest) = path.strip_prefix("/v1/services/") {
            let rest = rest.to_string();
            return service_call::respond(&self.entry, &config, &team_id, &rest, request).await;
        }
        let request = ConversationRequest::parse(team_id, request)?;
        forward::respond(&self.entry, config, request).await
    }

    fn authenticate(&self, config: &Config, request: &Request<Bytes>) -> Result<Principal> {
        let key = bearer_key(request.headers());
        let key = key.ok_or_else(|| unauthorized("send the header `authorization: Bearer KEY`"))?;
        let keys = self.entry.keys.get(config);
        keys.find(key).cloned().ok_or_else(unknown_key)
    }

    fn readiness(&self) -> Response<Body> {
        let entry = &self.entry;
        if entry.config.current().is_none() {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet");
        }
        if entry.journal.own_incarnation().is_none() {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "the entry has no lease");
        }
        if entry.slot_manager.is_leaving() {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "the entry is leaving");
        }
        text_response(StatusCode::OK, "ready")
    }

    fn entries(&self, team_id: &TeamId, query: &str) -> Response<Body> {
        let conversation = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("conversation="));
        let key = ConversationKey {
            team_id: team_id.clone(),
            conversation_id: conversation.unwrap_or_default().into(),
        };
        let slot = self.entry.slots.slot_of(&key);
        let rows = self.entry.slot_manager.ranked_candidates(slot).into_iter();
        let rows = rows.filter_map(|entry_id| self.entry.membership.get(&entry_id));
        let entries = rows.map(|row| EntryAddress {
            entry_id: row.entry_id,
            address: row.http_address,
            failure_domain: row.failure_domain,
        });
        let answer = EntriesAnswer {
            entries: entries.collect(),
            ttl_ms: ENTRIES_TTL_MS,
        };
        json_response(StatusCode::OK, &answer)
    }
}

impl Handler for Dispatcher {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        let route = route_name(request.uri().path());
        let started = self.entry.timer.now();
        let result = self.dispatch(request).await;
        metrics::histogram!(REQUEST_SECONDS, "route" => route).record(started.elapsed());
        match result {
            Ok(response) => {
                metrics::counter!(REQUESTS, "route" => route, "outcome" => "ok").increment(1);
                response
            }
            Err(error) => {
                record_error(route, &error);
                error_response(&error)
            }
        }
    }
}

impl PeerHandler for Dispatcher {
    async fn call(&self, _from: EntryId, request: PeerRequest) -> PeerResponse {
        match request {
            PeerRequest::ConfigVersion(version) => {
                self.entry.config.observe_peer_version(version);
                PeerResponse::ConfigVersion(self.entry.config.version())
            }
            PeerRequest::ReleaseSlot(slot) => {
                PeerResponse::ReleaseSlot(self.entry.slots.is_held(slot))
            }
            PeerRequest::RunsActive(cache_keys) => {
                let keys = cache_keys.iter();
                let active =
                    keys.map(|key| crate::request::call::is_cache_key_active(&self.entry, key));
                PeerResponse::RunsActive(active.collect())
            }
            PeerRequest::Forward(_) => {
                PeerResponse::Refused("forwarded requests are not accepted as calls".to_string())
            }
        }
    }

    async fn forward(&self, _from: EntryId, forwarded: ForwardRequest) -> (ForwardHead, Body) {
        let response = match self.serve_forwarded(forwarded).await {
            Ok(response) => response,
            Err(error) => error_response(&error),
        };
        let (head, body) = response.into_parts();
        let mut headers = headers_from_map(&head.headers);
        let version = self.entry.config.version().to_string();
        headers.push((CONFIG_VERSION_HEADER.to_string(), version.into()));
        (
            ForwardHead {
                status: head.status.as_u16(),
                headers,
            },
            body,
        )
    }
}

impl Dispatcher {
    async fn serve_forwarded(&self, forwarded: ForwardRequest) -> Result<Response<Body>> {
        let caller = ForwardedCaller::from_headers(&forwarded.headers);
        self.entry
            .config
            .observe_peer_version(caller.config_version);
        let config = self.entry.config.for_request().await;
        let config = config.ok_or_else(not_ready)?;
        self.check_caller(&config, &forwarded.team_id, &caller)?;
        let bad_request = |reason: &str| Error::new(ErrorKind::BadRequest, reason);
        let mut request = Request::new(forwarded.body);
        *request.method_mut() = Method::from_bytes(forwarded.method.as_bytes())
            .map_err(|_| bad_request("the forwarded method is not valid"))?;
        *request.uri_mut() = forwarded
            .path
            .parse()
            .map_err(|_| bad_request("the forwarded path is not valid"))?;
        *request.headers_mut() = headers_to_map(&forwarded.headers);
        let request = ConversationRequest::parse(forwarded.team_id, request)?;
        forward::respond_for_peer(&self.entry, config, request).await
    }
}

impl Dispatcher {
    /// Checks the caller's key again if the forwarding entry has an older configuration.
    fn check_caller(
        &self,
        config: &Config,
        team_id: &TeamId,
        caller: &ForwardedCaller,
    ) -> Result<()> {
        if caller.config_version >= config.version {
            return Ok(());
        }
        let digest = caller.key_digest.as_ref().ok_or_else(not_ready)?;
        let keys = self.entry.keys.get(config);
        match keys.find_digest(digest) {
            Some(Principal::Team(owner)) if owner == team_id => Ok(()),
            _ => Err(unknown_key()),
        }
    }
}

/// Counts a request as in flight, up to the point where its response begins.
struct InFlightGuard<'a> {
    entry: &'a Entry,
}

impl<'a> InFlightGuard<'a> {
    fn acquire(entry: &'a Entry, limit: usize) -> Result<Self> {
        if entry.in_flight_requests.get() >= limit {
            let message =
                format!("{limit} requests are already in flight on this entry; retry later");
            return Err(Error::new(ErrorKind::Overloaded, message));
        }
        entry
            .in_flight_requests
            .set(entry.in_flight_requests.get() + 1);
        Ok(Self { entry })
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.entry
            .in_flight_requests
            .set(self.entry.in_flight_requests.get() - 1);
    }
}

fn record_error(route: &'static str, error: &Error) {
    let kind = error.kind.answer().name;
    metrics::counter!(REQUESTS, "route" => route, "outcome" => kind).increment(1);
    let message = crate::error::chain(error);
    log::info!(route, kind; "request failed: {message}");
}

/// The value of the metrics label `route`; paths would have too many values.
fn route_name(path: &str) -> &'static str {
    const SUFFIXES: &[(&str, &str)] = &[
        ("/turns", "turn"),
        ("/tool-calls", "tool_call"),
        ("/sub-agents", "sub_agent"),
        ("/runs", "run"),
        ("/end", "end"),
        ("/cancel", "cancel"),
        ("/history", "history"),
    ];
    match path {
        "/healthz" | "/readyz" | "/metrics" => "probe",
        "/v1/entries" => "entries",
        _ if path.starts_with("/v1/services/") => "service",
        _ if path.starts_with("/v1/operator/") => "operator",
        _ => SUFFIXES
            .iter()
            .find(|(end, _)| path.ends_with(end))
            .map_or("state", |(_, name)| name),
    }
}

fn not_ready() -> Error {
    let message = "the entry has not read the configuration in force yet; retry soon, or use \
                   another entry";
    Error::new(ErrorKind::NotReady, message)
}

fn unauthorized(message: &str) -> Error {
    Error::new(ErrorKind::Unauthorized, message)
}

fn unknown_key() -> Error {
    unauthorized("unknown key; ask an operator for a new one")
}

fn forbidden(message: &str) -> Error {
    Error::new(ErrorKind::Forbidden, message)
}

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::full(text));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
