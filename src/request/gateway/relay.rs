//! Sends the request of a caller through a peer, because this gateway reaches no backend server.
//!
//! The peer serves the whole request as if the caller had connected to it: it admits the turn,
//! chooses the server and retries. It does not relay the request again, so there is one hop at
//! most. Once a peer may have taken the request, it is sent to another one only if it is idempotent and
//! the first one was not given all attempts of the route.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap};
use hyper::{Request, Response, StatusCode};
use sapphireford_platform::answer::AnswerHeaders;
use sapphireford_platform::headers::{self, ResumedStream};
use sapphireford_platform::operator::RouteKind;

use super::forward::{ANSWER_LIMIT_BYTES, RequestForwarder, deadline_error, in_doubt_error};
use super::retry::{self, RetryDecision};
use crate::connection::body::BodySender;
use crate::connection::http_client::{ClientError, Result as ClientResult};
use crate::connection::sse::EventSplitter;
use crate::error::{Error, ErrorKind, Result};
use crate::process::gateway::peers::{self, RelayTerms};
use crate::process::gateway::relayed_team::RelayedTeam;

/// Peers that are asked to take a request. Those that do not take it answer at once.
const MAX_PEERS: usize = 3;

/// Time without the head of a response and without any answer of a server, after which it is checked
/// whether the path to the servers is lost. Servers under load take as long, so it is no failure.
pub(super) const PATH_CHECK_DELAY: Duration = Duration::from_millis(200);
/// Time for which a response is awaited after the path to the servers is lost.
const LOST_PATH_GRACE_PERIOD: Duration = Duration::from_millis(200);

/// Why a relayed stream did not end as complete.
pub(super) enum BodyEnd {
    CallerDisconnected,
    Failed(String),
}

/// The outcome of a request that was sent through a peer.
enum PeerOutcome {
    Answered(Response<Incoming>),
    /// The peer refused a request that a server may have run before, so the refusal must not reach the
    /// caller: it says that the request did not run.
    RefusedAgain(String),
    /// The peer is of an earlier build and has not read the request.
    TermsNotUnderstood,
    /// No server has run the request.
    NotTaken {
        reason: String,
        may_have_recorded_origin: bool,
    },
    /// Servers may have run the request.
    Failed(String),
}

impl RequestForwarder {
    /// Waits for the head of a response. If it takes long and no server answers anything, finds out
    /// whether the path to the servers is lost. The request is given up then: it may be sent again, or
    /// its caller may repeat the turn. A non-idempotent request that is no turn is not, because its
    /// caller can do nothing but wait for the answer.
    pub(super) async fn watch_server_path<F>(&self, sent: F) -> ClientResult<Response<Incoming>>
    where
        F: Future<Output = ClientResult<Response<Incoming>>>,
    {
        let timer = &self.gateway.timer;
        let server_path = &self.gateway.server_path;
        let mut sent = pin!(sent);
        if let Ok(result) = timer.timeout(PATH_CHECK_DELAY, &mut sent).await {
            return result;
        }
        if !server_path.has_answer_within(PATH_CHECK_DELAY) {
            server_path.check_in_background();
        }
        if self.route.kind == RouteKind::NonIdempotent {
            return sent.await;
        }
        let lost = async {
            server_path.lost().await;
            // The connection may be one that lives on while new ones are refused.
            timer.sleep(LOST_PATH_GRACE_PERIOD).await;
        };
        match select(sent, pin!(lost)).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => {
                let reason = "the path to the servers is lost".to_string();
                Err(ClientError::Interrupted(reason))
            }
        }
    }

    /// Sends the request through a peer. `last_event_id` is the last event that the caller has
    /// received.
    pub(super) async fn relay(&mut self, last_event_id: Option<u64>) -> Result<Response<Incoming>> {
        // A peer that begins the stream admits the turn, because it needs what the account knows of
        // the program. The rest of a stream keeps the tokens that it was admitted with: the budget may
        // be spent by now.
        if last_event_id.is_none() {
            self.reservation = None;
        }
        let server_path = self.gateway.server_path.clone();
        if let Some(response) = self.relay_to_helpers(last_event_id).await? {
            return Ok(response);
        }
        // The helpers may have lost their path or stopped since they were asked.
        server_path.refresh_helpers().await;
        if let Some(response) = self.relay_to_helpers(last_event_id).await? {
            return Ok(response);
        }
        if self.attempts.may_have_run {
            return Err(in_doubt_error("no gateway reaches another backend server"));
        }
        let message = "neither this gateway nor its peers reach a backend server; retry at another \
                       gateway";
        Err(Error::new(ErrorKind::NoBackendServer, message))
    }

    /// Sends the request through one of the known helpers; `None` if none of them has taken it.
    async fn relay_to_helpers(
        &mut self,
        last_event_id: Option<u64>,
    ) -> Result<Option<Response<Incoming>>> {
        let server_path = self.gateway.server_path.clone();
        let (kind, max_attempts) = (self.route.kind, self.route.max_attempts);
        let mut asked_peers = 0;
        for peer in server_path.helpers() {
            if asked_peers == MAX_PEERS {
                break;
            }
            asked_peers += 1;
            let attempts = self.attempts.left_to_peer(kind, max_attempts);
            let mut outcome = self.attempt_at_peer(peer, attempts, last_event_id).await;
            let may_reserve = self.reservation.is_some() && self.relayed_team().is_none();
            if matches!(outcome, PeerOutcome::TermsNotUnderstood) && may_reserve {
                // A gateway of an earlier build reserves the tokens itself.
                self.reservation = None;
                outcome = self.attempt_at_peer(peer, attempts, last_event_id).await;
            }
            let reason = match outcome {
                PeerOutcome::Answered(response) => {
                    self.record.note(format!("relayed through {peer}"));
                    return Ok(Some(response));
                }
                PeerOutcome::RefusedAgain(reason) => {
                    return Err(in_doubt_error(&format!("relayed: {reason}")));
                }
                PeerOutcome::TermsNotUnderstood => {
                    let reason = "its build does not know teams or the order of origins";
                    self.record.note(format!("{peer}: {reason}"));
                    server_path.remove_helper(peer);
                    // Among many gateways of earlier builds, one of this build is still found.
                    asked_peers -= 1;
                    continue;
                }
                PeerOutcome::NotTaken {
                    reason,
                    may_have_recorded_origin,
                } => {
                    if may_have_recorded_origin && self.begins_stream(last_event_id) {
                        self.origin.add_recording_peer();
                    }
                    self.record.note(format!("{peer}: {reason}"));
                    server_path.remove_helper(peer);
                    continue;
                }
                PeerOutcome::Failed(reason) => reason,
            };
            let decision = self
                .attempts
                .record_failed_peer(attempts, kind, max_attempts);
            if Instant::now() >= self.deadline {
                return Err(deadline_error(&self.attempts));
            }
            if decision != RetryDecision::RetryElsewhere {
                return Err(in_doubt_error(&format!("relayed: {reason}")));
            }
            self.record.note(format!("{peer}: {reason}"));
        }
        Ok(None)
    }

    /// Sends the request through a peer, which may send it to up to `attempts` servers.
    async fn attempt_at_peer(
        &self,
        peer: SocketAddr,
        attempts: u32,
        last_event_id: Option<u64>,
    ) -> PeerOutcome {
        let terms = RelayTerms {
            attempts_left: attempts,
            origin_recorders: match self.begins_stream(last_event_id) {
                true => self.origin.gateways_before_peer(),
                false => 0,
            },
            are_tokens_reserved: self.reservation.is_some(),
            prefix_holder: self.prefix_holder.as_deref(),
            team: self.relayed_team(),
        };
        let sent = self.send_to_peer(peer, terms, last_event_id);
        let mut response = match sent.await {
            Ok(response) => response,
            Err(error) if error.is_not_sent() => {
                return PeerOutcome::NotTaken {
                    reason: error.to_string(),
                    may_have_recorded_origin: false,
                };
            }
            Err(error) => return PeerOutcome::Failed(error.to_string()),
        };
        let are_terms_understood = peers::take_terms_understood(&mut response);
        if terms.must_be_understood() && !are_terms_understood {
            return PeerOutcome::TermsNotUnderstood;
        }
        if peers::is_not_taken(&response) {
            return PeerOutcome::NotTaken {
                reason: "the request was not taken".to_string(),
                may_have_recorded_origin: !peers::has_recorded_nothing(&response),
            };
        }
        let is_in_doubt = peers::take_in_doubt_mark(&mut response);
        let status = response.status();
        let is_from_server = AnswerHeaders::decode(response.headers()).is_signed;
        let is_failed = is_in_doubt || (is_from_server && status.is_server_error());
        let has_attempts_left = attempts < self.attempts.left(self.route.max_attempts);
        if is_failed && has_attempts_left {
            return PeerOutcome::Failed(format!("status {}", status.as_u16()));
        }
        // These two say that it is not known whether the request ran.
        let leaves_open = is_in_doubt || status == StatusCode::GATEWAY_TIMEOUT;
        let is_refused = !is_from_server && !status.is_success() && !leaves_open;
        if is_refused && self.attempts.may_have_run {
            return PeerOutcome::RefusedAgain(format!("refused with status {}", status.as_u16()));
        }
        PeerOutcome::Answered(without_hop_by_hop_headers(response))
    }

    async fn send_to_peer(
        &self,
        peer: SocketAddr,
        terms: RelayTerms<'_>,
        last_event_id: Option<u64>,
    ) -> ClientResult<Response<Incoming>> {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let mut request = Request::new(self.input.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.relayed_headers(last_event_id);
        let wrapped = peers::wrap_request(request, self.caller_address, terms);
        let Some(request) = wrapped else {
            let reason = "the request cannot be relayed".to_string();
            return Err(ClientError::NotSent(reason));
        };
        let attempts_left = self.attempts.left(self.route.max_attempts);
        let attempts = terms.attempts_left;
        let head_timeout =
            retry::response_head_timeout(self.route.kind, attempts, attempts_left, time_left);
        self.gateway.http.send(peer, request, head_timeout).await
    }

    /// Reads a relayed response that is not a stream.
    pub(super) async fn read_relayed_body(&self, body: Incoming) -> Result<Bytes> {
        let read = self.gateway.http.read_body(body, ANSWER_LIMIT_BYTES);
        match self.gateway.timer.timeout_at(self.deadline, read).await {
            Ok(Ok(body)) => Ok(body),
            Ok(Err(error)) => Err(in_doubt_error(&format!("relayed: {error}"))),
            Err(elapsed) => Err(in_doubt_error(&format!("relayed: {elapsed}"))),
        }
    }

    /// Passes the body of a relayed stream on to the caller until it ends, and counts its tokens if the
    /// peer does not.
    pub(super) async fn pass_on_body(
        &self,
        mut body: Incoming,
        sender: &mut BodySender,
    ) -> std::result::Result<(), BodyEnd> {
        let timer = &self.gateway.timer;
        let tokens_per_event = self.tokens_per_event();
        let mut splitter = EventSplitter::default();
        loop {
            let frame = {
                let read = timer.timeout_at(self.deadline, body.frame());
                match select(pin!(read), pin!(sender.closed())).await {
                    Either::Left((frame, _)) => frame,
                    Either::Right(_) => return Err(BodyEnd::CallerDisconnected),
                }
            };
            let chunk = match frame {
                Err(_) => return Err(BodyEnd::Failed("deadline reached".to_string())),
                Ok(None) => return Ok(()),
                Ok(Some(Err(error))) => return Err(BodyEnd::Failed(error.to_string())),
                Ok(Some(Ok(frame))) => frame.into_data(),
            };
            let Ok(chunk) = chunk else { continue };
            if let Some(reservation) = &self.reservation {
                let events = splitter
                    .push(&chunk)
                    .map_err(|error| BodyEnd::Failed(error.to_string()))?;
                reservation.spend(events.len() as u64 * tokens_per_event);
            }
            // A caller that does not read must not keep the request alive beyond its deadline.
            match timer.timeout_at(self.deadline, sender.send(chunk)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return Err(BodyEnd::CallerDisconnected),
                Err(_) => return Err(BodyEnd::Failed("deadline reached".to_string())),
            }
        }
    }

    /// What a peer is told of the team of the caller; `None` if the configuration has no teams.
    fn relayed_team(&self) -> Option<RelayedTeam> {
        let caller = &self.caller;
        self.routes.teams.is_some().then(|| RelayedTeam {
            key_digest: caller.key_digest,
            is_limit_counted: caller.team.is_some(),
        })
    }

    /// Whether a peer would begin a stream whose origin is recorded.
    fn begins_stream(&self, last_event_id: Option<u64>) -> bool {
        self.route.kind == RouteKind::ResumableStream && last_event_id.is_none()
    }

    fn relayed_headers(&self, last_event_id: Option<u64>) -> HeaderMap {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let resumed = last_event_id.map(|last_event_id| ResumedStream {
            // The peer resumes the stream of this request, or the one that its caller resumes.
            request_id: match self.call.last_event_id {
                None => self.call.request_id.as_deref(),
                Some(_) => self.call.resumed_request_id.as_deref(),
            },
            last_event_id,
        });
        headers::relayed_request_headers(&self.caller_headers, time_left, resumed)
    }
}

fn without_hop_by_hop_headers(response: Response<Incoming>) -> Response<Incoming> {
    let (mut head, body) = response.into_parts();
    head.headers = headers::without_hop_by_hop_headers(&head.headers);
    Response::from_parts(head, body)
}

/// Whether the body of a relayed response has a known length, so it is not a stream.
pub(super) fn has_length(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH)
}
