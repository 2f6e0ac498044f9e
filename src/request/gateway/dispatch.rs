//! Finds the route of a request and answers it.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::header::HOST;
use hyper::{Request, Response};
use sapphireford_platform::headers::CallHeaders;
use sapphireford_platform::operator::{RouteKind, RouteRecord};

use super::forward::{Forward, Forwarded};
use super::record::RequestRecord;
use super::refusal;
use super::retry::Attempts;
use super::stream::StreamTask;
use super::turn::{self, PreparedTurn};
use crate::connection::body::Body;
use crate::connection::http_server::Handler;
use crate::error::{Error, ErrorKind, Result};
use crate::process::gateway::running::Gateway;
use crate::version::route_table::RouteTable;

/// Answers the requests of callers.
pub struct GatewayDispatcher {
    gateway: Rc<Gateway>,
}

impl GatewayDispatcher {
    /// Makes a dispatcher for a process.
    pub fn new(gateway: Rc<Gateway>) -> Self {
        Self { gateway }
    }

    async fn respond(
        &self,
        request: Request<Bytes>,
        call: CallHeaders,
        record: Rc<RequestRecord>,
    ) -> Result<Response<Body>> {
        let routes = self.gateway.routes().ok_or_else(|| {
            let message = "this gateway has no configuration yet; ask another one";
            Error::new(ErrorKind::NotReady, message)
        })?;
        let route = find_route(&routes, &request)?;
        record.set_route(&route.name, routes.version);
        let deadline = deadline(&route, &call, record.started());
        let (head, input) = request.into_parts();
        let is_stream = matches!(route.kind, RouteKind::Stream | RouteKind::ResumableStream);
        let prepared = if is_stream {
            let prepared = turn::prepare(&self.gateway, &route, &call, input, deadline).await?;
            record.set_prepared();
            prepared
        } else {
            PreparedTurn {
                body: input,
                reservation: None,
                prefix_holder: None,
                record: None,
            }
        };
        let last_event_id = call.last_event_id;
        let mut forward = Forward {
            gateway: self.gateway.clone(),
            routes,
            route,
            call,
            caller_headers: head.headers,
            method: head.method,
            uri: head.uri,
            body: prepared.body,
            deadline,
            prefix_holder: prepared.prefix_holder,
            record: record.clone(),
            attempts: Attempts::default(),
            tried: Vec::new(),
        };
        match forward.send(last_event_id).await? {
            Forwarded::Whole(response) => {
                let (head, body) = response.into_parts();
                record.finish(head.status.as_u16(), "answered");
                Ok(Response::from_parts(head, Body::full(body)))
            }
            Forwarded::Stream(head, upstream) => {
                let (sender, body) = Body::stream();
                let task = StreamTask {
                    event_tokens: event_tokens(&forward),
                    forward,
                    upstream,
                    sender,
                    reservation: prepared.reservation,
                    keep: prepared.record,
                    last_event_id,
                    output: Vec::new(),
                };
                monoio::spawn(task.run());
                Ok(Response::from_parts(head, body))
            }
        }
    }
}

impl Handler for GatewayDispatcher {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        let call = CallHeaders::decode(request.headers());
        let program_id = call
            .program
            .as_ref()
            .map(|program| program.program_id.clone());
        let request_id = call.request_id.clone().unwrap_or_default();
        let record = Rc::new(RequestRecord::new(request_id, program_id));
        match self.respond(request, call, record.clone()).await {
            Ok(response) => response,
            Err(error) => {
                let status = error.kind.answer().status;
                record.finish(status, crate::error::chain(&error));
                refusal::refuse(&error, self.gateway.store.outage_age())
            }
        }
    }
}

fn find_route(routes: &RouteTable, request: &Request<Bytes>) -> Result<RouteRecord> {
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = host.or(request.uri().host()).unwrap_or_default();
    let path = request.uri().path();
    let route = routes.find(host, path).ok_or_else(|| {
        let message = format!("no route of the host `{host}` matches `{path}`");
        Error::new(ErrorKind::NotFound, message)
    })?;
    Ok(route.clone())
}

/// The earlier of the caller's deadline and the route's time-out.
fn deadline(route: &RouteRecord, call: &CallHeaders, started: Instant) -> Instant {
    let limit: Duration = match call.timeout {
        Some(deadline) => deadline.min(route.timeout),
        None => route.timeout,
    };
    started + limit
}

fn event_tokens(forward: &Forward) -> u64 {
    let targets = forward.route.targets.iter();
    let services = targets.filter_map(|target| forward.routes.service(&target.service));
    let engines = services.filter_map(|service| service.engine.as_ref());
    // Where the services of a route differ, the largest events keep the budget safe.
    engines
        .map(|engine| engine.tokens_per_event)
        .max()
        .unwrap_or(0)
}
