//! What the listeners of a gateway answer, except that of callers.

use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use hyper::{Request, Response, StatusCode};
use sapphireford_platform::directory::{
    Lookup, LookupAnswer, MAX_ADDRESSES, READY_PATH, RESOLVE_PATH,
};

use super::Gateway;
use crate::connection::body::Body;
use crate::connection::http_server::{Handler, json_response};
use crate::process::gateway::peers::{self, PeerCall};
use crate::request::gateway::dispatch::GatewayDispatcher;

/// Answers the readiness checks of the platform.
pub(super) struct ReadinessHandler(pub Rc<Gateway>);

impl Handler for ReadinessHandler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        match request.uri().path() {
            READY_PATH if self.0.is_ready() => status(StatusCode::OK),
            READY_PATH => status(StatusCode::SERVICE_UNAVAILABLE),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

/// Answers lookups of callers for gateway addresses.
pub(super) struct DirectoryHandler(pub Rc<Gateway>);

impl Handler for DirectoryHandler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        if request.uri().path() != RESOLVE_PATH {
            return status(StatusCode::NOT_FOUND);
        }
        let gateway = &self.0;
        let lookup = Lookup::decode(request.uri().query().unwrap_or_default());
        let now = Instant::now();
        let domain = &lookup.failure_domain;
        let can_serve = gateway.can_serve(now);
        let directory = &gateway.directory;
        let mut addresses = directory.caller_addresses(domain, can_serve, now);
        log::debug!(host = lookup.host, failure_domain = lookup.failure_domain, addresses = addresses.len(); "caller lookup answered with gateway addresses");
        addresses.truncate(MAX_ADDRESSES);
        let answer = LookupAnswer::new(addresses, gateway.lookup_ttl);
        json_response(StatusCode::OK, &answer)
    }
}

/// Answers calls of the other gateways.
pub(super) struct PeerHandler {
    pub gateway: Rc<Gateway>,
    pub dispatcher: GatewayDispatcher,
}

impl Handler for PeerHandler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        let gateway = &self.gateway;
        match peers::decode_call(request) {
            Some(PeerCall::Relay(call)) => peers::relay_response(gateway.store.relay(*call).await),
            // The ids of callers that a gateway of an earlier build passes on could be those of any
            // team. It admits the turn itself, from an account that no team uses.
            Some(PeerCall::Admit(request, _))
                if !gateway.accepts_ids(request.are_ids_qualified) =>
            {
                status(StatusCode::NOT_FOUND)
            }
            Some(PeerCall::Admit(request, notices)) => {
                gateway.servers.merge_notices(&notices, Instant::now());
                let response = gateway.budgets.handle_admit(request).await;
                response.encode(&gateway.servers.notices(Instant::now()))
            }
            Some(PeerCall::Settle(mut report)) => {
                if !gateway.accepts_ids(report.are_ids_qualified) {
                    report.persisted_turn = None;
                }
                gateway.budgets.apply_settlement(report);
                status(StatusCode::OK)
            }
            Some(PeerCall::Demands(theirs)) => {
                peers::demand_response(&gateway.overload.answer_demands(&theirs))
            }
            Some(PeerCall::HasBegun(program_id)) => {
                let has_begun = gateway.budgets.handle_has_begun(&program_id);
                peers::has_begun_response(has_begun)
            }
            Some(PeerCall::Gossip(request, notices)) => {
                let now = Instant::now();
                gateway.servers.merge_notices(&notices, now);
                let directory = &gateway.directory;
                directory.learn_unconnected(&notices.unconnected_gateways, now);
                let response = directory.handle_gossip(&request, now);
                let mut notices = gateway.servers.gossip_notices(now);
                notices.unconnected_gateways = directory.unconnected_gateways(now);
                peers::gossip_response(&response, &notices, gateway.config_age.peer_proof())
            }
            Some(PeerCall::ListNotices) => {
                peers::notices_response(&gateway.servers.gossip_notices(Instant::now()))
            }
            Some(PeerCall::AskServerPath) => match gateway.can_help().await {
                true => status(StatusCode::OK),
                false => status(StatusCode::SERVICE_UNAVAILABLE),
            },
            Some(PeerCall::Request(relayed)) => {
                let must_be_understood = relayed.must_be_understood;
                let mut response = match gateway.is_ready() && !gateway.server_path.is_lost() {
                    true => self.dispatcher.handle_relayed(*relayed).await,
                    false => peers::refused_unread_response(),
                };
                if must_be_understood {
                    peers::mark_terms_understood(&mut response);
                }
                response
            }
            Some(PeerCall::Allowance(request)) => {
                peers::allowance_response(&gateway.rate_limits.handle(request))
            }
            Some(PeerCall::TeamLimits(request)) => {
                peers::team_limits_response(&gateway.team_limits.handle(request).await)
            }
            None => status(StatusCode::NOT_FOUND),
        }
    }
}

/// Serves metrics.
pub(super) struct MetricsHandler(pub Rc<Gateway>);

impl Handler for MetricsHandler {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        match request.uri().path() {
            "/metrics" => Response::new(Body::full(self.0.metrics.render())),
            _ => status(StatusCode::NOT_FOUND),
        }
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::full(Bytes::new()));
    *response.status_mut() = status;
    response
}
