//! Forwards the events of a stream to the caller and resumes a broken stream at another server.
//!
//! Events of resumable streams are numbered. After a resumption, events that the caller already has
//! are skipped, and a gap in the numbers counts as a failure of the server, so the caller receives
//! each event once and in order. It is resumed only at a server of the software version that began
//! it, because the output of two versions does not fit together.

use std::pin::pin;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use sapphireford_platform::operator::RouteKind;

use super::forward::{RequestForwarder, ServerResponse, ServerStream};
use super::relay::{BodyEnd, PATH_CHECK_DELAY};
use super::retry::{AttemptFailure, RetryDecision};
use super::turn::UnsavedTurn;
use crate::connection::body::BodySender;
use crate::connection::sse::{EventSplitter, RawEvent};

/// Longest wait for the next event of a stream that can be resumed at another server. It is far
/// above the pauses between events of a loaded server, and above a second or so for which a sound
/// server may be silent. Callers disconnect after two seconds at the earliest.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Longest wait for the next event of such a stream after the path to the servers is lost.
const LOST_PATH_STALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Forwards one stream to its caller; runs as a task of its own.
pub struct StreamTask {
    /// The forwarder of the request, used again for resumptions.
    pub forwarder: RequestForwarder,
    /// The stream of the current server.
    pub upstream: ServerStream,
    /// Sends the response body to the caller.
    pub sender: BodySender,
    /// The turn to be made durable before the stream ends; `None` if it is not part of a
    /// conversation history.
    pub unsaved_turn: Option<UnsavedTurn>,
    /// Tokens charged for each event.
    pub tokens_per_event: u64,
    /// The last event that the caller has received or is being sent; `None` before the first
    /// numbered event.
    pub last_event_id: Option<u64>,
    /// The data of the events so far; collected only if `unsaved_turn` is set.
    pub output: Vec<u8>,
}

/// Why forwarding from the current server ended.
enum ServerStreamEnd {
    Complete,
    CallerDisconnected,
    DeadlineReached,
    ServerFailed(String),
}

impl StreamTask {
    /// Forwards the stream until it is complete, the caller disconnects, the deadline is reached or
    /// the stream breaks and cannot be resumed.
    pub async fn run(mut self) {
        loop {
            match self.forward_server_stream().await {
                ServerStreamEnd::Complete => return self.complete().await,
                ServerStreamEnd::CallerDisconnected => return,
                ServerStreamEnd::DeadlineReached => {
                    return self.abort_stream("deadline reached").await;
                }
                ServerStreamEnd::ServerFailed(reason) => match self.resume(reason).await {
                    Ok(None) => {}
                    Ok(Some(rest)) => return self.pass_on_rest(rest).await,
                    Err(reason) => return self.abort_stream(&reason).await,
                },
            }
        }
    }

    /// Forwards the events of the current server until its stream ends or fails.
    async fn forward_server_stream(&mut self) -> ServerStreamEnd {
        let mut splitter = EventSplitter::default();
        // Only events count: a stalled server may still send a byte now and then.
        let mut last_event_at = Instant::now();
        loop {
            let stall_deadline = match self.can_resume() {
                true => self.forwarder.deadline.min(last_event_at + STALL_TIMEOUT),
                false => self.forwarder.deadline,
            };
            let timer = self.forwarder.gateway.timer.clone();
            let frame = {
                let wait_end = stall_deadline.min(Instant::now() + PATH_CHECK_DELAY);
                let read = timer.timeout_at(wait_end, self.upstream.body.frame());
                let closed = pin!(self.sender.closed());
                match select(pin!(read), closed).await {
                    Either::Left((frame, _)) => frame,
                    Either::Right(_) => return ServerStreamEnd::CallerDisconnected,
                }
            };
            let chunk = match frame {
                Err(_) if Instant::now() >= self.forwarder.deadline => {
                    return ServerStreamEnd::DeadlineReached;
                }
                Err(_) if Instant::now() >= stall_deadline => {
                    return ServerStreamEnd::ServerFailed("the stream has stalled".to_string());
                }
                Err(_) if self.has_lost_path(last_event_at) => {
                    let reason = "the path to the servers is lost".to_string();
                    return ServerStreamEnd::ServerFailed(reason);
                }
                Err(_) => continue,
                Ok(None) if splitter.is_at_event_boundary() => return ServerStreamEnd::Complete,
                Ok(None) => {
                    let reason = "the stream ended inside an event".to_string();
                    return ServerStreamEnd::ServerFailed(reason);
                }
                Ok(Some(Err(error))) => return ServerStreamEnd::ServerFailed(error.to_string()),
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(chunk) => chunk,
                    Err(_) => continue,
                },
            };
            let events = match splitter.push(&chunk) {
                Ok(events) => events,
                Err(error) => return ServerStreamEnd::ServerFailed(error.to_string()),
            };
            for event in events {
                last_event_at = Instant::now();
                if let Some(end) = self.forward_event(event).await {
                    return end;
                }
            }
        }
    }

    async fn forward_event(&mut self, event: RawEvent) -> Option<ServerStreamEnd> {
        if let (Some(id), Some(last)) = (event.id, self.last_event_id) {
            if id <= last {
                return None;
            }
            if id > last.saturating_add(1) {
                let reason = format!("gap in the stream: event {id} follows event {last}");
                return Some(ServerStreamEnd::ServerFailed(reason));
            }
        }
        self.last_event_id = event.id.or(self.last_event_id);
        let origin = self.upstream.server.stream_origin();
        self.forwarder.origin.require(origin);
        if let Some(reservation) = &self.forwarder.reservation {
            reservation.spend(self.tokens_per_event);
        }
        if self.unsaved_turn.is_some() {
            self.output.extend_from_slice(&event.data);
            self.output.push(b'\n');
        }
        let ServerStream {
            server, in_flight, ..
        } = &self.upstream;
        self.forwarder.record_answer_time(server, in_flight);
        if !self.forwarder.record.has_events() {
            self.forwarder.record_first_event(&self.upstream.server);
        }
        self.forwarder.record.add_event();
        self.forwarder.gateway.server_path.record_answer();
        // A caller that does not read must not keep the request alive beyond its deadline.
        let timer = &self.forwarder.gateway.timer;
        let sent = timer.timeout_at(self.forwarder.deadline, self.sender.send(event.raw));
        match sent.await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(ServerStreamEnd::CallerDisconnected),
            Err(_) => Some(ServerStreamEnd::DeadlineReached),
        }
    }

    /// Whether the stream is given up, because this gateway has lost its path to the servers. It goes
    /// on through a peer if it is resumable and not relayed. Finds the loss out if no server answers
    /// anything.
    fn has_lost_path(&self, last_event_at: Instant) -> bool {
        let server_path = &self.forwarder.gateway.server_path;
        if !server_path.has_answer_within(PATH_CHECK_DELAY) {
            server_path.check_in_background();
        }
        server_path.is_lost() && last_event_at.elapsed() >= LOST_PATH_STALL_TIMEOUT
    }

    fn can_resume(&self) -> bool {
        let route = &self.forwarder.route;
        let is_resumable = route.kind == RouteKind::ResumableStream;
        is_resumable && self.forwarder.attempts.sent + 1 < route.max_attempts
    }

    /// Resumes the stream at another server. Returns the rest of the stream if a peer serves it; the
    /// error is the reason why it cannot be resumed.
    async fn resume(&mut self, reason: String) -> std::result::Result<Option<Incoming>, String> {
        self.upstream.in_flight.record_failure();
        self.forwarder
            .report_if_crashed(&self.upstream.server)
            .await;
        self.forwarder
            .record
            .note(format!("{}: {reason}", &*self.upstream.server.id));
        let kind = self.forwarder.route.kind;
        let max_attempts = self.forwarder.route.max_attempts;
        let decision = self.forwarder.attempts.record_failed_attempt(
            AttemptFailure::InDoubt,
            kind,
            max_attempts,
        );
        if decision != RetryDecision::RetryElsewhere && !self.forwarder.must_relay() {
            return Err(reason);
        }
        self.forwarder
            .tried_servers
            .push(self.upstream.server.clone());
        match self.forwarder.send(self.last_event_id).await {
            Ok(ServerResponse::Stream(_, upstream)) => {
                self.upstream = upstream;
                Ok(None)
            }
            Ok(ServerResponse::Relayed(response)) if response.status().is_success() => {
                Ok(Some(response.into_body()))
            }
            Ok(ServerResponse::Relayed(response)) => Err(format!(
                "resuming the stream through a peer failed with status {}",
                response.status().as_u16()
            )),
            Ok(ServerResponse::Buffered(response)) => Err(format!(
                "resuming the stream failed with status {}",
                response.status().as_u16()
            )),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Passes on the rest of a stream that a peer serves.
    async fn pass_on_rest(mut self, rest: Incoming) {
        match self.forwarder.pass_on_body(rest, &mut self.sender).await {
            Ok(()) => {
                self.sender.end();
                self.forwarder.record.finish(200, "resumed through a peer");
            }
            Err(BodyEnd::CallerDisconnected) => {}
            Err(BodyEnd::Failed(reason)) => self.abort_stream(&reason).await,
        }
    }

    /// Ends a stream whose events have all been forwarded. For a turn of a conversation, the stream
    /// ends only when the turn is durable, because the caller may send the next turn immediately
    /// through another gateway.
    async fn complete(mut self) {
        self.forwarder.record_answered();
        self.forwarder.record_turn_end(&self.upstream.server);
        if let Some(turn) = self.unsaved_turn.take() {
            let history = &self.forwarder.gateway.history;
            let deadline = self.forwarder.deadline;
            let saved = history.save(
                &turn.turn_id,
                &turn.chain,
                &turn.input,
                &self.output,
                deadline,
            );
            match saved.await {
                Ok(chain) => {
                    if let Some(reservation) = &self.forwarder.reservation {
                        reservation.record_persisted_turn(turn.turn_id, chain);
                    }
                }
                Err(error) => {
                    let reason = format!("the turn is not durable: {error}");
                    return self.abort_stream(&reason).await;
                }
            }
        }
        if let Some(reservation) = &self.forwarder.reservation {
            reservation.record_completion(self.upstream.server.id.clone());
        }
        self.sender.end();
        self.forwarder.record.finish(200, "ok");
    }

    /// Aborts the response body, so that the caller does not take it for complete.
    async fn abort_stream(mut self, reason: &str) {
        // The account hears of it before the caller does, who may take the stream up at once.
        self.forwarder.reservation = None;
        self.forwarder
            .record
            .finish(200, format!("stream broken off: {reason}"));
        self.sender.abort().await;
    }
}
