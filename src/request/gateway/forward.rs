//! Forwards a request to a backend server and retries at others where that is safe.
//!
//! Each attempt chooses a server, sends the request and classifies the outcome by whether the
//! server may have run the request. [`retry`] decides on that basis whether another server is
//! tried, so that a request which must not run twice is never sent again in doubt.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use sapphireford_platform::answer::{self, AnswerHeaders};
use sapphireford_platform::headers::{self, CallHeaders, Forwarding, REQUEST_ID};
use sapphireford_platform::operator::{RouteKind, RouteRecord};

use super::caller::Caller;
use super::origin::{self, OriginConstraint};
use super::qualified_ids::QualifiedIds;
use super::record::RequestRecord;
use super::retry::{self, AttemptCounts, AttemptFailure, RetryDecision};
use crate::connection::http_client::ClientError;
use crate::error::{Error, ErrorKind, Result};
use crate::ids::BackendServerId;
use crate::process::gateway::budget::Reservation;
use crate::process::gateway::fingerprint::RequestIdentity;
use crate::process::gateway::running::Gateway;
use crate::process::gateway::server::{InFlightGuard, Server};
use crate::process::topics::TopicPlan;
use crate::version::route_table::RouteTable;

/// Size limit of a response that is not a stream.
pub(super) const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// Forwards one request, across all of its attempts.
pub struct RequestForwarder {
    /// State shared by all requests of the process.
    pub gateway: Rc<Gateway>,
    /// The configuration in effect when the request arrived; it stays the same for all attempts.
    pub routes: Rc<RouteTable>,
    /// The route that matched the request.
    pub route: RouteRecord,
    /// The headers of the caller that the gateway interprets, decoded.
    pub call: CallHeaders,
    /// The ids of `call` as they are stored and told to peers.
    pub ids: QualifiedIds,
    /// The caller, as its key identifies it.
    pub caller: Caller,
    /// The headers of the caller as received, without its key if the configuration has teams.
    pub caller_headers: HeaderMap,
    /// The request method, forwarded unchanged.
    pub method: Method,
    /// The path and query, forwarded unchanged.
    pub uri: Uri,
    /// The body as the caller sent it.
    pub input: Bytes,
    /// The body sent to the server: for turns the history followed by the input.
    pub body: Bytes,
    /// The address of the caller, if it is known.
    pub caller_address: Option<SocketAddr>,
    /// Whether another gateway has relayed the request. It is not relayed again.
    pub is_relayed: bool,
    /// The reserved tokens of the turn; `None` if the program has no budget.
    pub reservation: Option<Reservation>,
    /// When the response must be complete.
    pub deadline: Instant,
    /// The server that has the prefix of the prompt in its cache, if known.
    pub prefix_holder: Option<BackendServerId>,
    /// How the request is placed by its topic, once that is decided.
    pub topic_plan: OnceCell<TopicPlan>,
    /// Keeps a stream at the software version that began it.
    pub origin: OriginConstraint,
    /// Collects the log line and the metrics of the request.
    pub record: Rc<RequestRecord>,
    /// Counts of the failed attempts so far.
    pub attempts: AttemptCounts,
    /// Recognizes the request if it comes again.
    pub identity: RequestIdentity,
    /// When the request was sent to the server that was chosen last.
    pub attempt_started_at: Instant,
    /// Servers of failed attempts, whether or not the request reached them; they are not tried
    /// again.
    pub tried_servers: Vec<Rc<Server>>,
}

/// A response stream whose head has been received from a server.
pub struct ServerStream {
    /// The server that produces the stream.
    pub server: Rc<Server>,
    /// Counts the request as in flight at the server until it is dropped.
    pub in_flight: InFlightGuard,
    /// The response body, from which the events are read.
    pub body: Incoming,
}

/// The response of a server.
pub enum ServerResponse {
    /// A response whose body has been read completely.
    Buffered(Response<Bytes>),
    /// The head of a stream and the stream itself.
    Stream(Parts, ServerStream),
    /// The response of a peer that has taken the request, whose body is still to be read.
    Relayed(Response<Incoming>),
}

/// The outcome of one attempt at one server.
enum AttemptOutcome {
    Answered(ServerResponse),
    /// The server failed the request with status 500 or above. The response goes to the caller
    /// unless the request is retried.
    ServerError(Response<Bytes>),
    Failed(AttemptFailure, String),
}

impl RequestForwarder {
    /// Tries servers until one responds or no further attempt is allowed. `last_event_id` is the
    /// last stream event that the caller has received.
    pub async fn send(&mut self, last_event_id: Option<u64>) -> Result<ServerResponse> {
        loop {
            if let Some(error) = self.crash_refusal() {
                return Err(error);
            }
            self.require_valid_key()?;
            if self.must_relay() {
                return self.relay(last_event_id).await.map(ServerResponse::Relayed);
            }
            if self.is_helper_without_path() {
                return Err(self.helper_without_path_error());
            }
            let Some(server) = self.choose_permitted_server().await else {
                self.confirm_path().await;
                if self.must_relay() || self.is_helper_without_path() {
                    continue;
                }
                return Err(self.no_server_error());
            };
            if let Err(error) = self.record_origin(&server).await {
                return Err(match self.attempts.may_have_run {
                    true => in_doubt_error(&error.message),
                    false => error,
                });
            }
            if !self.gateway.servers.is_in_service(&server) {
                // It has left while the origin was recorded.
                self.tried_servers.push(server);
                continue;
            }
            self.attempt_started_at = Instant::now();
            let time_left = self
                .deadline
                .saturating_duration_since(self.attempt_started_at);
            if time_left.is_zero() {
                return Err(deadline_error(&self.attempts));
            }
            let (failure, reason) = match self.attempt(&server, time_left, last_event_id).await {
                AttemptOutcome::Answered(response) => return Ok(response),
                AttemptOutcome::ServerError(response) => {
                    let may_retry = self.route.kind == RouteKind::Idempotent;
                    let decision = self.record_failed_attempt(AttemptFailure::InDoubt);
                    if !may_retry || decision != RetryDecision::RetryElsewhere {
                        return Ok(ServerResponse::Buffered(response));
                    }
                    self.record
                        .note(format!("status {}", response.status().as_u16()));
                    self.tried_servers.push(server);
                    continue;
                }
                AttemptOutcome::Failed(failure, reason) => (failure, reason),
            };
            self.record.note(format!("{}: {reason}", &*server.id));
            self.tried_servers.push(server.clone());
            let decision = self.record_failed_attempt(failure);
            if self.must_relay() || self.is_helper_without_path() {
                continue;
            }
            match decision {
                RetryDecision::RetryElsewhere if failure == AttemptFailure::NotExecuted => {
                    if let Some(error) = self.retry_refusal(&server) {
                        return Err(error);
                    }
                }
                RetryDecision::RetryElsewhere => {}
                RetryDecision::FailNotExecuted => return Err(not_executed_error(failure, &reason)),
                RetryDecision::FailInDoubt if Instant::now() >= self.deadline => {
                    return Err(deadline_error(&self.attempts));
                }
                RetryDecision::FailInDoubt => return Err(in_doubt_error(&reason)),
            }
        }
    }

    /// Fails if the key of the caller was withdrawn, or may have been, since the request arrived.
    fn require_valid_key(&self) -> Result<()> {
        let newest = self.gateway.routes();
        let newest = newest.as_ref().unwrap_or(&self.routes);
        let checked = self.caller.require_valid(newest, &self.gateway.config_age);
        checked.map_err(|error| match self.attempts.may_have_run {
            true => in_doubt_error(&error.message),
            false => error,
        })
    }

    /// Tokens in each event of a stream.
    pub fn tokens_per_event(&self) -> u64 {
        let targets = self.route.targets.iter();
        let services = targets.filter_map(|target| self.routes.service(&target.service));
        let engines = services.filter_map(|service| service.engine.as_ref());
        // The server may not be chosen yet. If the services of the route differ, the largest value
        // ensures that the budget is not exceeded.
        engines
            .map(|engine| engine.tokens_per_event)
            .max()
            .unwrap_or(0)
    }

    /// Whether a peer must serve the request, because this gateway reaches no server.
    pub fn must_relay(&self) -> bool {
        let may_run_again = !self.attempts.may_have_run || retry::is_retryable(self.route.kind);
        let may_be_sent = may_run_again && self.attempts.left(self.route.max_attempts) > 0;
        self.gateway.server_path.is_lost() && !self.is_relayed && may_be_sent
    }

    /// Finds out whether no server takes the request because the path to all of them is lost. The
    /// failures that made the servers unavailable may be those of other requests.
    async fn confirm_path(&self) {
        let check = self.gateway.server_path.check_since_last_failure();
        // Without a result by the deadline, the path counts as before.
        let _ = self.gateway.timer.timeout_at(self.deadline, check).await;
    }

    /// Whether a peer has relayed the request to this gateway, which has lost its path since then.
    fn is_helper_without_path(&self) -> bool {
        self.is_relayed && self.gateway.server_path.is_lost()
    }

    fn helper_without_path_error(&self) -> Error {
        let message = "this gateway has lost its path to the backend servers";
        match self.attempts.may_have_run {
            true => in_doubt_error(message),
            // The gateway that relays the request would give it to another peer without saying so.
            false if self.origin.has_unordered_records() => {
                Error::new(ErrorKind::NotReady, message)
            }
            false => Error::new(ErrorKind::NoBackendServer, message),
        }
    }

    /// Makes known where a new stream may begin, before it is sent to a server.
    async fn record_origin(&mut self, server: &Server) -> Result<()> {
        let origins = &self.gateway.stream_origins;
        let origin = server.stream_origin();
        let recorded = self.origin.record(origin, origins, self.deadline).await?;
        if let Some(place) = recorded {
            self.record
                .note(format!("origin {origin:016x} recorded, place: {place:?}"));
        }
        Ok(())
    }

    fn record_failed_attempt(&mut self, failure: AttemptFailure) -> RetryDecision {
        self.attempts
            .record_failed_attempt(failure, self.route.kind, self.route.max_attempts)
    }

    async fn attempt(
        &self,
        server: &Rc<Server>,
        time_left: Duration,
        last_event_id: Option<u64>,
    ) -> AttemptOutcome {
        let in_flight = server.start_request();
        let forwarding = Forwarding {
            server_id: &server.id,
            team: self.caller.team.as_ref().map(|team| &*team.id),
            time_left,
            last_event_id,
        };
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() =
            headers::forwarded_request_headers(&self.caller_headers, &forwarding);
        let attempts_left = self.attempts.left(self.route.max_attempts);
        let head_timeout =
            retry::response_head_timeout(self.route.kind, 1, attempts_left, time_left);
        let request_id = self.call.request_id.as_deref();
        let matches_request = |headers: &HeaderMap, is_reused: bool| {
            match headers.get(REQUEST_ID).and_then(|id| id.to_str().ok()) {
                // On a connection that was in use before, this may be a late copy of the answer to
                // an earlier request. A refusal among them would say falsely that this one did not
                // run.
                None => !is_reused,
                echoed => echoed == request_id,
            }
        };
        let http = &self.gateway.http;
        let sent = http.send_matched(server.address(), request, head_timeout, matches_request);
        let response = match self.watch_server_path(sent).await {
            Ok(response) => {
                self.gateway.server_path.record_answer();
                response
            }
            Err(error) => {
                in_flight.record_failure();
                match error {
                    ClientError::Interrupted(_) => self.report_if_crashed(server).await,
                    // The server is reached.
                    ClientError::Mismatched => {}
                    ClientError::NotSent(_) | ClientError::TimedOut(_) => {
                        self.gateway.server_path.record_failure();
                        self.gateway.server_path.check().await;
                    }
                }
                return AttemptOutcome::Failed(classify_client_error(&error), error.to_string());
            }
        };
        self.interpret_response(server, in_flight, response).await
    }

    async fn interpret_response(
        &self,
        server: &Rc<Server>,
        in_flight: InFlightGuard,
        response: Response<Incoming>,
    ) -> AttemptOutcome {
        let answer = AnswerHeaders::decode(response.headers());
        if let Some(load) = answer.load {
            server.record_load(load);
        }
        let status = response.status();
        // At an address that was assigned again, another server answers, whose state is its own.
        let is_addressee = status != StatusCode::MISDIRECTED_REQUEST
            && answer
                .server_id
                .as_deref()
                .is_none_or(|id| id == &*server.id);
        if is_addressee {
            server.record_rate_limit(answer.rate_limit);
            if answer.is_leaving {
                server.record_leaving();
            }
        }
        let was_not_executed = answer.is_not_executed || status == StatusCode::MISDIRECTED_REQUEST;
        if was_not_executed {
            let reason = format!("refused with status {}", status.as_u16());
            return AttemptOutcome::Failed(AttemptFailure::NotExecuted, reason);
        }
        if status.is_success() && !answer.is_signed {
            in_flight.record_failure();
            let reason = "the answer is not signed".to_string();
            return AttemptOutcome::Failed(AttemptFailure::InDoubt, reason);
        }
        let is_stream = matches!(
            self.route.kind,
            RouteKind::Stream | RouteKind::ResumableStream
        );
        let (mut head, body) = response.into_parts();
        if is_stream && status.is_success() {
            server.record_success();
            head.headers = answer::returned_answer_headers(&head.headers);
            let upstream = ServerStream {
                server: server.clone(),
                in_flight,
                body,
            };
            return AttemptOutcome::Answered(ServerResponse::Stream(head, upstream));
        }
        let read = self.gateway.http.read_body(body, ANSWER_LIMIT_BYTES);
        let timer = &self.gateway.timer;
        let body = match timer.timeout_at(self.deadline, read).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                in_flight.record_failure();
                self.report_if_crashed(server).await;
                return AttemptOutcome::Failed(AttemptFailure::InDoubt, error.to_string());
            }
            Err(elapsed) => {
                return AttemptOutcome::Failed(AttemptFailure::InDoubt, elapsed.to_string());
            }
        };
        self.record_answered();
        head.headers = answer::returned_answer_headers(&head.headers);
        let response = Response::from_parts(head, body);
        match status.as_u16() {
            // Callers take these statuses to mean that the request did not run. The server did not
            // state that, so the status is not passed on.
            408 | 429 | 503 => {
                let reason = format!(
                    "status {} without a statement that the request did not run",
                    status.as_u16()
                );
                AttemptOutcome::Failed(AttemptFailure::InDoubt, reason)
            }
            500.. => {
                in_flight.record_failure();
                AttemptOutcome::ServerError(response)
            }
            _ => {
                server.record_success();
                self.record_answer_time(server, &in_flight);
                AttemptOutcome::Answered(ServerResponse::Buffered(response))
            }
        }
    }

    fn no_server_error(&self) -> Error {
        if self.attempts.may_have_run {
            in_doubt_error("no other backend server accepts requests")
        } else if self.is_origin_gone() {
            let reason = "no server of the software version that began the stream is in service";
            origin::cannot_resume_error(reason)
        } else if let Some(delay) = self.schedule_return() {
            let message = "the backend servers of the route limit their request rates, and the \
                           limits are used up; retry later";
            Error::new(ErrorKind::RateLimited, message).with_retry_after(delay)
        } else {
            let message = "no backend server of the route takes requests now; retry later";
            Error::new(ErrorKind::NoBackendServer, message)
        }
    }
}

pub(super) fn deadline_error(attempts: &AttemptCounts) -> Error {
    if attempts.may_have_run {
        let message = "the request was not answered before its deadline";
        Error::new(ErrorKind::DeadlineExceeded, message)
    } else {
        let message = "the request was not sent to a server before its deadline";
        Error::new(ErrorKind::QueueTimeout, message)
    }
}

fn classify_client_error(error: &ClientError) -> AttemptFailure {
    if error.is_not_sent() {
        AttemptFailure::NotSent
    } else {
        AttemptFailure::InDoubt
    }
}

fn not_executed_error(failure: AttemptFailure, reason: &str) -> Error {
    let kind = match failure {
        AttemptFailure::NotExecuted => ErrorKind::Overloaded,
        _ => ErrorKind::NoBackendServer,
    };
    let message = format!("no backend server accepted the request: {reason}");
    Error::new(kind, message)
}

pub(super) fn in_doubt_error(reason: &str) -> Error {
    let message = format!("a backend server may have run the request: {reason}");
    Error::new(ErrorKind::ServiceInDoubt, message)
}
