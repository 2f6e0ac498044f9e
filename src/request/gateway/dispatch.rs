//! Entry point of caller requests: looks up the route, prepares turns, forwards the request and
//! builds the response.

use std::cell::OnceCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderMap};
use hyper::{Request, Response};
use sapphireford_platform::headers::{self, CallHeaders};
use sapphireford_platform::operator::{RouteKind, RouteRecord};

use super::admission;
use super::caller::{self, Caller, PresentedKey};
use super::forward::{RequestForwarder, ServerResponse};
use super::origin::{EarlierRecords, OriginConstraint};
use super::qualified_ids::{IdScope, QualifiedIds};
use super::record::RequestRecord;
use super::refusal;
use super::relay::{self, BodyEnd};
use super::retry::AttemptCounts;
use super::stream::StreamTask;
use super::turn::{self, ReservationRequest, UnsavedTurn};
use crate::connection::body::Body;
use crate::connection::http_server::{CallerAddress, Handler};
use crate::error::{Error, ErrorKind, Ran, Result};
use crate::ids::BackendServerId;
use crate::process::boot_clock::BootTime;
use crate::process::gateway::fingerprint::RequestIdentity;
use crate::process::gateway::ledger::TurnPart;
use crate::process::gateway::peers::{self, RelayedRequest};
use crate::process::gateway::relayed_team::RelayedTeam;
use crate::process::gateway::running::Gateway;
use crate::process::task;
use crate::process::teams::config_age::ConfigAge;
use crate::process::teams::limits::LimitedRequest;
use crate::version::route_table::RouteTable;
use crate::version::teams::Team;

/// Who sent a request to this gateway.
#[derive(Clone, Copy)]
enum Source {
    Caller,
    /// A gateway that reaches no backend server.
    Peer {
        /// The number of servers that it leaves to this gateway.
        attempts_left: Option<u32>,
        earlier_records: EarlierRecords,
        /// Whether it has reserved the tokens of the request and counts them.
        are_tokens_reserved: bool,
        /// The team of the caller; `None` if it says nothing, so that the request has the key.
        team: Option<RelayedTeam>,
    },
}

impl Source {
    fn earlier_records(self) -> EarlierRecords {
        match self {
            Source::Caller => EarlierRecords::None,
            Source::Peer {
                earlier_records, ..
            } => earlier_records,
        }
    }

    /// Whether this gateway must reserve the tokens of a turn.
    fn reserves_tokens(self) -> bool {
        match self {
            Source::Caller => true,
            Source::Peer {
                are_tokens_reserved,
                ..
            } => !are_tokens_reserved,
        }
    }

    /// What a peer says of the team of the caller.
    fn relayed_team(self) -> Option<RelayedTeam> {
        match self {
            Source::Caller => None,
            Source::Peer { team, .. } => team,
        }
    }

    /// The key of the caller. Only a peer may give its digest.
    fn presented_key(self, headers: &HeaderMap) -> PresentedKey {
        match self.relayed_team() {
            Some(team) => PresentedKey::from(team.key_digest),
            None => PresentedKey::decode(headers),
        }
    }
}

/// A request on its arrival, with what is known before its route is looked up.
struct Arrival {
    source: Source,
    call: CallHeaders,
    /// The active configuration.
    routes: Option<Rc<RouteTable>>,
    key: PresentedKey,
    identity: RequestIdentity,
    prefix_holder: Option<BackendServerId>,
}

impl Arrival {
    fn new(
        request: &Request<Bytes>,
        routes: Option<Rc<RouteTable>>,
        source: Source,
        prefix_holder: Option<BackendServerId>,
    ) -> Self {
        let (key, identity) = match &routes {
            Some(routes) if routes.teams.is_none() => {
                (PresentedKey::Missing, RequestIdentity::new(request))
            }
            // Without a configuration, there may be teams, and the request is refused.
            routes => {
                let key = source.presented_key(request.headers());
                let team = routes.as_ref().and_then(|routes| key.find_team(routes));
                let scope = IdScope::of_team(team.map(|team| &*team.id));
                let identity = RequestIdentity::of_team(request, scope.prefix(), team.is_some());
                (key, identity)
            }
        };
        Self {
            source,
            call: CallHeaders::decode(request.headers()),
            routes,
            key,
            identity,
            prefix_holder,
        }
    }
}

/// Handles the HTTP requests of callers.
pub struct GatewayDispatcher {
    gateway: Rc<Gateway>,
}

impl GatewayDispatcher {
    /// Creates the dispatcher of a gateway process.
    pub fn new(gateway: Rc<Gateway>) -> Self {
        Self { gateway }
    }

    async fn respond(
        &self,
        request: Request<Bytes>,
        arrival: Arrival,
        record: Rc<RequestRecord>,
    ) -> Result<Response<Body>> {
        let Arrival {
            source,
            call,
            routes,
            key,
            identity,
            prefix_holder,
        } = arrival;
        let routes = routes.filter(|_| self.gateway.is_informed()).ok_or_else(|| {
            let message = "this gateway has not read its configuration, the backend servers and \
                           the other gateways yet; retry at another gateway";
            Error::new(ErrorKind::NotReady, message)
        })?;
        if routes.teams.is_none() && source.relayed_team().is_some() {
            let message = "this gateway has not read the configuration with the teams yet";
            return Err(Error::new(ErrorKind::NotReady, message));
        }
        let mut route = find_route(&routes, &request, &self.gateway.config_age)?;
        if let Source::Peer { attempts_left, .. } = source {
            route.max_attempts = attempts_left.unwrap_or(u32::MAX).min(route.max_attempts);
        }
        record.set_route(&route.name, routes.version);
        let caller = Caller::identify(&routes, &route, key, &self.gateway.config_age)?;
        let ids = QualifiedIds::new(&caller.id_scope, &call);
        if let Some(team) = &caller.team {
            record.set_team(team.id.clone());
        }
        if let Some(error) = self.gateway.crash_refusal(&identity) {
            return Err(error);
        }
        let deadline = deadline(&route, &call, record.started_at());
        let caller_address = request.extensions().get::<CallerAddress>();
        let caller_address = caller_address.map(|CallerAddress(address)| *address);
        let (mut head, input) = request.into_parts();
        if routes.teams.is_some() {
            headers::remove_team_headers(&mut head.headers);
        }
        let may_begin_program = may_begin_program(&route, &call);
        // A gateway without a path to servers knows no loads; the peer that serves the request decides.
        if !self.gateway.server_path.is_lost() {
            admission::admit(
                &self.gateway,
                &routes,
                &route,
                &call,
                &ids,
                &caller,
                may_begin_program,
            )
            .await?;
        }
        let is_limit_counted = source
            .relayed_team()
            .is_some_and(|team| team.is_limit_counted);
        if let Some(team) = caller.team.as_ref().filter(|_| !is_limit_counted) {
            let limited = LimitedRequest {
                program_id: ids.program_id.as_deref(),
                may_begin_program,
                config_version: routes.version,
                deadline,
            };
            self.gateway.team_limits.admit(team, limited).await?;
        }
        let counted_team = caller.team.clone().filter(|_| !is_limit_counted);
        let counted = counted_team.as_deref();
        let counted = counted.map(|team| (team, BootTime::now()));
        let last_event_id = call.last_event_id;
        let mut forwarder = RequestForwarder {
            gateway: self.gateway.clone(),
            routes,
            route,
            call,
            ids,
            caller,
            caller_headers: head.headers,
            method: head.method,
            uri: head.uri,
            body: input.clone(),
            input,
            caller_address,
            is_relayed: matches!(source, Source::Peer { .. }),
            reservation: None,
            deadline,
            prefix_holder,
            topic_plan: OnceCell::new(),
            origin: OriginConstraint::default(),
            record: record.clone(),
            attempts: AttemptCounts::default(),
            identity,
            attempt_started_at: record.started_at(),
            tried_servers: Vec::new(),
        };
        if forwarder.must_relay() {
            let relayed = forwarder.relay(last_event_id).await;
            let response = relayed.inspect_err(|error| self.return_limit_token(counted, error))?;
            return self.pass_on(forwarder, response).await;
        }
        let is_stream = matches!(
            forwarder.route.kind,
            RouteKind::Stream | RouteKind::ResumableStream
        );
        let prepared = match is_stream {
            true => self.prepare_turn(&mut forwarder, source).await,
            false => Ok(None),
        };
        let unsaved_turn = prepared.inspect_err(|error| self.return_limit_token(counted, error))?;
        let sent = forwarder.send(last_event_id).await;
        match sent.inspect_err(|error| self.return_limit_token(counted, error))? {
            ServerResponse::Buffered(response) => {
                let (head, body) = response.into_parts();
                record.finish(head.status.as_u16(), "answered");
                Ok(Response::from_parts(head, Body::full(body)))
            }
            ServerResponse::Stream(head, upstream) => {
                let (sender, body) = Body::stream();
                let stream = StreamTask {
                    tokens_per_event: forwarder.tokens_per_event(),
                    forwarder,
                    upstream,
                    sender,
                    unsaved_turn,
                    last_event_id,
                    output: Vec::new(),
                };
                monoio::spawn(task::isolate("stream", stream.run()));
                Ok(Response::from_parts(head, body))
            }
            ServerResponse::Relayed(response) => self.pass_on(forwarder, response).await,
        }
    }

    /// Returns the token of a request that was refused after the limit of its team counted it.
    fn return_limit_token(&self, counted: Option<(&Team, BootTime)>, error: &Error) {
        if let Some((team, counted_at)) = counted
            && error.kind.answer().ran == Ran::No
        {
            self.gateway.team_limits.give_back(team, counted_at);
        }
    }

    /// Passes the response of a peer on to the caller.
    async fn pass_on(
        &self,
        forwarder: RequestForwarder,
        response: Response<Incoming>,
    ) -> Result<Response<Body>> {
        let (head, upstream) = response.into_parts();
        let status = head.status.as_u16();
        if relay::has_length(&head.headers) {
            let body = forwarder.read_relayed_body(upstream).await?;
            forwarder.record.finish(status, "relayed");
            return Ok(Response::from_parts(head, Body::full(body)));
        }
        let (mut sender, body) = Body::stream();
        let passing_on = async move {
            match forwarder.pass_on_body(upstream, &mut sender).await {
                Ok(()) => {
                    sender.end();
                    forwarder.record.finish(status, "relayed");
                }
                Err(BodyEnd::CallerDisconnected) => {}
                Err(BodyEnd::Failed(reason)) => {
                    let outcome = format!("stream broken off: {reason}");
                    forwarder.record.finish(status, outcome);
                    sender.abort().await;
                }
            }
        };
        monoio::spawn(task::isolate("stream", passing_on));
        Ok(Response::from_parts(head, body))
    }

    /// Reserves the tokens of a turn, completes its request with the history of the conversation, and
    /// finds out where it must continue if it resumes a stream.
    async fn prepare_turn(
        &self,
        forwarder: &mut RequestForwarder,
        source: Source,
    ) -> Result<Option<UnsavedTurn>> {
        let origins = &self.gateway.stream_origins;
        let (route, call, ids) = (&forwarder.route, &forwarder.call, &forwarder.ids);
        let deadline = forwarder.deadline;
        let earlier_records = source.earlier_records();
        let origin = OriginConstraint::new(route, call, ids, earlier_records, origins, deadline);
        forwarder.origin = origin.await?;
        if let Some(origin) = forwarder.origin.required() {
            let note = format!("the stream began at origin {origin:016x}");
            forwarder.record.note(note);
        }
        let is_new = forwarder.call.last_event_id.is_none();
        let may_be_resumed = is_new && forwarder.route.kind == RouteKind::ResumableStream;
        let reservation_request = source.reserves_tokens().then(|| ReservationRequest {
            part: turn_part(forwarder),
            proposed_origin: may_be_resumed.then(|| forwarder.predict_origin()).flatten(),
        });
        let input = std::mem::take(&mut forwarder.body);
        let prepared = turn::prepare(
            &self.gateway,
            &forwarder.route,
            &forwarder.call,
            &forwarder.ids,
            input,
            reservation_request,
            forwarder.deadline,
        );
        let prepared = prepared.await.map_err(|error| match error.kind {
            ErrorKind::NotFound => forwarder.caller.not_found_error(error),
            _ => error,
        });
        let prepared = prepared?;
        forwarder.record.mark_prepared();
        forwarder.body = prepared.body;
        if source.reserves_tokens() {
            forwarder.prefix_holder = prepared.prefix_holder;
        }
        forwarder.origin.program_origin = prepared.stream_origin;
        forwarder.reservation = prepared.reservation;
        Ok(prepared.unsaved_turn)
    }
}

impl Handler for GatewayDispatcher {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        self.serve(request, Source::Caller, None).await
    }
}

impl GatewayDispatcher {
    /// Serves a request that another gateway has relayed.
    pub async fn handle_relayed(&self, relayed: RelayedRequest) -> Response<Body> {
        let source = Source::Peer {
            attempts_left: relayed.attempts_left,
            earlier_records: EarlierRecords::of_relayed(relayed.origin_recorders),
            are_tokens_reserved: relayed.are_tokens_reserved,
            team: relayed.team,
        };
        self.serve(relayed.request, source, relayed.prefix_holder)
            .await
    }

    async fn serve(
        &self,
        request: Request<Bytes>,
        source: Source,
        prefix_holder: Option<BackendServerId>,
    ) -> Response<Body> {
        let arrival = Arrival::new(&request, self.gateway.routes(), source, prefix_holder);
        let call = &arrival.call;
        let program_id = call
            .program
            .as_ref()
            .map(|program| program.program_id.clone());
        let request_id = call.request_id.clone().unwrap_or_default();
        let caller = request.extensions().get::<CallerAddress>();
        let caller = caller.map(|CallerAddress(address)| address.ip().to_string());
        let record = Rc::new(RequestRecord::new(
            request_id,
            program_id,
            caller.unwrap_or_default(),
            arrival.identity.exact,
        ));
        if let Some(last_event_id) = call.last_event_id {
            record.set_resumed_stream(call.resumed_request_id.as_deref(), last_event_id);
        }
        if let Source::Peer { .. } = source {
            record.note("relayed by a gateway without a path to servers");
        }
        match self.respond(request, arrival, record.clone()).await {
            Ok(response) => response,
            Err(error) => {
                let status = error.kind.answer().status;
                record.finish(status, crate::error::chain(&error));
                self.error_response(&error, source)
            }
        }
    }

    fn error_response(&self, error: &Error, source: Source) -> Response<Body> {
        let gateway = &self.gateway;
        let mut response = refusal::refusal_response(error, gateway.store.outage_age());
        let Source::Peer { .. } = source else {
            return response;
        };
        match error.kind {
            // Another peer may reach a server.
            ErrorKind::NoBackendServer if gateway.server_path.is_lost() => {
                return peers::not_taken_response();
            }
            // Another peer may have a newer configuration, or proof that its own is current. The
            // gateway that relays the request has the key, so a 401 would be final too early.
            ErrorKind::NotReady | ErrorKind::Unauthorized if source.relayed_team().is_some() => {
                return peers::not_taken_response();
            }
            ErrorKind::ServiceInDoubt => peers::mark_in_doubt(&mut response),
            _ => {}
        }
        response
    }
}

/// The place of a request in its turn; `None` if the turn cannot be taken up.
fn turn_part(forwarder: &RequestForwarder) -> Option<TurnPart> {
    let (call, ids) = (&forwarder.call, &forwarder.ids);
    let turn_id = match call.last_event_id {
        None => ids.turn_id.as_ref(),
        Some(_) => ids.resumed_turn_id.as_ref(),
    };
    let turn_id = turn_id.filter(|_| forwarder.route.kind == RouteKind::ResumableStream)?;
    // Events are numbered from 1.
    let rest_tokens = call.last_event_id.map(|last| {
        let sent_tokens = last.saturating_mul(forwarder.tokens_per_event());
        call.prompt.max_output_tokens.saturating_sub(sent_tokens)
    });
    Some(TurnPart {
        turn_id: turn_id.clone(),
        rest_tokens,
    })
}

/// Whether a request may be the first one of a program: a turn that continues no other one.
fn may_begin_program(route: &RouteRecord, call: &CallHeaders) -> bool {
    let is_turn = matches!(route.kind, RouteKind::Stream | RouteKind::ResumableStream);
    is_turn && call.previous_turn_id.is_none() && call.last_event_id.is_none()
}

fn find_route(
    routes: &RouteTable,
    request: &Request<Bytes>,
    config_age: &ConfigAge,
) -> Result<RouteRecord> {
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = host.or(request.uri().host()).unwrap_or_default();
    let path = request.uri().path();
    let route = routes.find(host, path).cloned();
    route.ok_or_else(|| caller::unknown_route_error(routes, config_age, (host, path)))
}

/// The earlier of the caller's deadline and the route's timeout, both counted from the arrival of
/// the request.
fn deadline(route: &RouteRecord, call: &CallHeaders, started_at: Instant) -> Instant {
    let timeout: Duration = match call.timeout {
        Some(deadline) => deadline.min(route.timeout),
        None => route.timeout,
    };
    started_at + timeout
}
