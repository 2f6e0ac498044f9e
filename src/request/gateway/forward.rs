//! Sends a request to a backend server, and to another one where that is allowed.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use rand::Rng;
use sapphireford_platform::answer::{self, AnswerHeaders};
use sapphireford_platform::headers::{self, CallHeaders, Forwarding, REQUEST_ID};
use sapphireford_platform::operator::{RouteKind, RouteRecord};

use super::record::{RequestRecord, ServerChoice};
use super::retry::{self, Attempts, Failure, Next};
use crate::connection::http_client::{ClientError, read_body};
use crate::error::{Error, ErrorKind, Result};
use crate::ids::BackendServerId;
use crate::process::gateway::placement::{self, Prefix};
use crate::process::gateway::running::Gateway;
use crate::process::gateway::servers::{InFlight, Server};
use crate::process::slots::placement::hash_bytes;
use crate::version::route_table::{RouteTable, choose_target};

/// Longest answer that is not a stream.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// A request on its way to a backend server.
pub struct Forward {
    /// What all requests of the process share.
    pub gateway: Rc<Gateway>,
    /// The configuration that the request arrived under.
    pub routes: Rc<RouteTable>,
    /// The route of the request.
    pub route: RouteRecord,
    /// The decoded headers of the caller.
    pub call: CallHeaders,
    /// The headers of the caller.
    pub caller_headers: HeaderMap,
    /// The method of the caller.
    pub method: Method,
    /// The path and query of the caller.
    pub uri: Uri,
    /// What the server receives.
    pub body: Bytes,
    /// When the request must have its final answer.
    pub deadline: Instant,
    /// The server that has the start of the prompt in its cache, if it is known.
    pub prefix_holder: Option<BackendServerId>,
    /// The log of the request.
    pub record: Rc<RequestRecord>,
    /// The attempts so far.
    pub attempts: Attempts,
    /// Servers that the request was sent to or that could not be reached.
    pub tried: Vec<Rc<Server>>,
}

/// A stream that a server has started.
pub struct Upstream {
    /// The server.
    pub server: Rc<Server>,
    /// Counts the request as in progress.
    pub in_flight: InFlight,
    /// The rest of the answer.
    pub body: Incoming,
}

/// The answer of a server.
pub enum Forwarded {
    /// A whole answer.
    Whole(Response<Bytes>),
    /// The head of a stream whose events follow.
    Stream(Parts, Upstream),
}

/// What an attempt at one server led to.
enum Attempted {
    Answered(Forwarded),
    /// The server failed the request itself; the answer may be passed on if nothing better comes.
    ServerError(Response<Bytes>),
    Failed(Failure, String),
}

impl Forward {
    /// Sends the request until a server answers it or it must be given up. `last_event_id` is the
    /// last stream event that the caller has.
    pub async fn send(&mut self, last_event_id: Option<u64>) -> Result<Forwarded> {
        loop {
            let left = self.deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(self.timed_out());
            }
            let Some(server) = self.choose_server() else {
                return Err(self.no_server());
            };
            let (failure, reason) = match self.attempt(&server, left, last_event_id).await {
                Attempted::Answered(forwarded) => return Ok(forwarded),
                Attempted::ServerError(response) => {
                    let may_repeat = self.route.kind == RouteKind::Idempotent;
                    let next = self.after(Failure::InDoubt);
                    if !may_repeat || next != Next::TryAnother {
                        return Ok(Forwarded::Whole(response));
                    }
                    self.record
                        .note(format!("status {}", response.status().as_u16()));
                    self.tried.push(server);
                    continue;
                }
                Attempted::Failed(failure, reason) => (failure, reason),
            };
            self.record.note(format!("{}: {reason}", &*server.id));
            self.tried.push(server);
            match self.after(failure) {
                Next::TryAnother => {}
                Next::RefuseNotRun => return Err(not_run(failure, &reason)),
                Next::FailInDoubt if Instant::now() >= self.deadline => {
                    return Err(self.timed_out());
                }
                Next::FailInDoubt => return Err(in_doubt(&reason)),
            }
        }
    }

    fn after(&mut self, failure: Failure) -> Next {
        self.attempts
            .after(failure, self.route.kind, self.route.max_attempts)
    }

    /// Chooses a server of the route's services that was not tried yet.
    fn choose_server(&self) -> Option<Rc<Server>> {
        let point = rand::rng().random::<f64>();
        let target = choose_target(&self.route.targets, point)?;
        let service = self.routes.service(&target.service);
        let gateways = self.gateway.directory.live_count();
        let connections = service.map_or(u32::MAX, |service| service.max_connections);
        let connection_limit = (connections / gateways).max(1);
        let servers = self.gateway.servers.of_service(&target.service);
        let is_untried =
            |server: &Rc<Server>| !self.tried.iter().any(|tried| tried.id == server.id);
        let now = Instant::now();
        let candidates: Vec<_> = servers
            .iter()
            .map(|server| {
                let registry = &self.gateway.servers;
                let mut candidate = registry.candidate(server, connection_limit, now);
                candidate.is_allowed &= is_untried(server);
                candidate
            })
            .collect();
        let is_engine = service.is_some_and(|service| service.engine.is_some());
        let chosen = if is_engine {
            let prefix = Prefix {
                key: self.affinity_key(),
                holder: self.prefix_holder.as_deref(),
                grows: self.route.has_stored_history,
            };
            placement::by_prefix(prefix, &candidates)
        } else {
            placement::by_load(rand::rng().random(), &candidates)
        }?;
        let report_age = servers[chosen].reported_load(now).map(|(_, age)| age);
        self.record.add_server(&ServerChoice {
            server_id: &servers[chosen].id,
            load: candidates[chosen].load,
            report_age,
            holds_prefix: self.prefix_holder.as_ref() == Some(&servers[chosen].id),
        });
        Some(servers[chosen].clone())
    }

    /// Requests with the same key share a prefix.
    fn affinity_key(&self) -> u64 {
        if let Some(program) = &self.call.program {
            return hash_bytes(program.program_id.as_bytes());
        }
        if let Some(part) = self.call.prompt.parts.first() {
            return part.id;
        }
        let request_id = self.call.request_id.as_deref().unwrap_or_default();
        hash_bytes(request_id.as_bytes())
    }

    async fn attempt(
        &self,
        server: &Rc<Server>,
        left: Duration,
        last_event_id: Option<u64>,
    ) -> Attempted {
        let in_flight = server.start_request();
        let forwarding = Forwarding {
            server_id: &server.id,
            time_left: left,
            last_event_id,
        };
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() =
            headers::forwarded_request_headers(&self.caller_headers, &forwarding);
        let limit = retry::head_time(
            self.route.kind,
            &self.attempts,
            self.route.max_attempts,
            left,
        );
        let own_id = self.call.request_id.as_deref();
        let is_own = |headers: &HeaderMap| {
            let echoed = headers.get(REQUEST_ID).and_then(|id| id.to_str().ok());
            echoed.is_none() || echoed == own_id
        };
        let http = &self.gateway.http;
        let sent = http.send_matched(server.address(), request, limit, is_own);
        let response = match sent.await {
            Ok(response) => response,
            Err(error) => {
                server.record_failure();
                return Attempted::Failed(failure_of(&error), error.to_string());
            }
        };
        self.judge(server, in_flight, response).await
    }

    async fn judge(
        &self,
        server: &Rc<Server>,
        in_flight: InFlight,
        response: Response<Incoming>,
    ) -> Attempted {
        let answer = AnswerHeaders::decode(response.headers());
        if let Some(load) = answer.load {
            server.record_load(load);
        }
        let status = response.status();
        let is_promise = answer.is_not_executed || status == StatusCode::MISDIRECTED_REQUEST;
        if is_promise {
            let reason = format!("refused with status {}", status.as_u16());
            return Attempted::Failed(Failure::NotExecuted, reason);
        }
        if status.is_success() && !answer.is_signed {
            server.record_failure();
            let reason = "the answer is not signed".to_string();
            return Attempted::Failed(Failure::InDoubt, reason);
        }
        let is_stream = matches!(
            self.route.kind,
            RouteKind::Stream | RouteKind::ResumableStream
        );
        let (mut head, body) = response.into_parts();
        if is_stream && status.is_success() {
            server.record_success();
            head.headers = answer::returned_answer_headers(&head.headers);
            let upstream = Upstream {
                server: server.clone(),
                in_flight,
                body,
            };
            return Attempted::Answered(Forwarded::Stream(head, upstream));
        }
        let read = read_body(body, ANSWER_LIMIT_BYTES);
        let timer = &self.gateway.timer;
        let body = match timer.timeout_at(self.deadline, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                server.record_failure();
                return Attempted::Failed(Failure::InDoubt, error.to_string());
            }
            Err(elapsed) => return Attempted::Failed(Failure::InDoubt, elapsed.to_string()),
        };
        head.headers = answer::returned_answer_headers(&head.headers);
        let response = Response::from_parts(head, body);
        match status.as_u16() {
            // Callers read these statuses as a promise that the server did not make.
            408 | 429 | 503 => {
                let reason = format!("status {} without a statement", status.as_u16());
                Attempted::Failed(Failure::InDoubt, reason)
            }
            500.. => {
                server.record_failure();
                Attempted::ServerError(response)
            }
            _ => {
                server.record_success();
                Attempted::Answered(Forwarded::Whole(response))
            }
        }
    }

    fn timed_out(&self) -> Error {
        if self.attempts.may_have_run {
            let message = "the request was not answered before its deadline";
            Error::new(ErrorKind::DeadlineExceeded, message)
        } else {
            let message = "the request was not sent to a server before its deadline";
            Error::new(ErrorKind::QueueTimeout, message)
        }
    }

    fn no_server(&self) -> Error {
        if self.attempts.may_have_run {
            in_doubt("no other server takes it")
        } else {
            let message = "no backend server of the route takes requests now; come back later";
            Error::new(ErrorKind::NoBackendServer, message)
        }
    }
}

fn failure_of(error: &ClientError) -> Failure {
    if error.is_not_sent() {
        Failure::NotSent
    } else {
        Failure::InDoubt
    }
}

fn not_run(failure: Failure, reason: &str) -> Error {
    let kind = match failure {
        Failure::NotExecuted => ErrorKind::Overloaded,
        _ => ErrorKind::NoBackendServer,
    };
    let message = format!("the backend servers did not take the request: {reason}");
    Error::new(kind, message)
}

fn in_doubt(reason: &str) -> Error {
    let message = format!("a backend server may have run the request: {reason}");
    Error::new(ErrorKind::ServiceInDoubt, message)
}
