//! Passes the events of a stream on, and continues a broken stream at another server.

use std::pin::pin;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use sapphireford_platform::operator::RouteKind;

use super::forward::{Forward, Forwarded, Upstream};
use super::retry::{Failure, Next};
use super::turn::TurnToKeep;
use crate::connection::body::BodySender;
use crate::connection::sse::{EventSplitter, RawEvent};
use crate::process::gateway::budget::Reservation;

/// A stream that may be continued elsewhere is given up at its server after this pause. It is far
/// above the pauses of a loaded server and below the time after which callers leave.
const STALL_TIME: Duration = Duration::from_millis(1_200);

/// A stream on its way to the caller.
pub struct StreamTask {
    /// The request that the stream answers.
    pub forward: Forward,
    /// The server that produces the stream now.
    pub upstream: Upstream,
    /// Where the events go.
    pub sender: BodySender,
    /// The budget that pays for the events.
    pub reservation: Option<Reservation>,
    /// Set if the turn must be durable before the stream ends.
    pub keep: Option<TurnToKeep>,
    /// Tokens in each event.
    pub event_tokens: u64,
    /// The last event that the caller has.
    pub last_event_id: Option<u64>,
    /// The data of the events so far; only kept for turns that must be durable.
    pub output: Vec<u8>,
}

/// How one server's part of a stream ended.
enum PartEnd {
    Complete,
    CallerLeft,
    DeadlineReached,
    ServerFailed(String),
}

impl StreamTask {
    /// Passes the stream on until it ends.
    pub async fn run(mut self) {
        loop {
            match self.pass_part().await {
                PartEnd::Complete => return self.complete().await,
                PartEnd::CallerLeft => return,
                PartEnd::DeadlineReached => return self.break_off("deadline reached").await,
                PartEnd::ServerFailed(reason) => {
                    if let Err(reason) = self.resume(reason).await {
                        return self.break_off(&reason).await;
                    }
                }
            }
        }
    }

    /// Passes on what the present server produces.
    async fn pass_part(&mut self) -> PartEnd {
        let mut splitter = EventSplitter::default();
        loop {
            let stall_deadline = match self.may_resume() {
                true => self.forward.deadline.min(Instant::now() + STALL_TIME),
                false => self.forward.deadline,
            };
            let timer = self.forward.gateway.timer.clone();
            let frame = {
                let read = timer.timeout_at(stall_deadline, self.upstream.body.frame());
                let closed = pin!(self.sender.closed());
                match select(pin!(read), closed).await {
                    Either::Left((frame, _)) => frame,
                    Either::Right(_) => return PartEnd::CallerLeft,
                }
            };
            let chunk = match frame {
                Err(_) if Instant::now() >= self.forward.deadline => {
                    return PartEnd::DeadlineReached;
                }
                Err(_) => return PartEnd::ServerFailed("the stream has stalled".to_string()),
                Ok(None) if splitter.is_at_event_boundary() => return PartEnd::Complete,
                Ok(None) => {
                    let reason = "the stream ended inside an event".to_string();
                    return PartEnd::ServerFailed(reason);
                }
                Ok(Some(Err(error))) => return PartEnd::ServerFailed(error.to_string()),
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(chunk) => chunk,
                    Err(_) => continue,
                },
            };
            let events = match splitter.push(&chunk) {
                Ok(events) => events,
                Err(error) => return PartEnd::ServerFailed(error.to_string()),
            };
            for event in events {
                if let Some(end) = self.pass_event(event).await {
                    return end;
                }
            }
        }
    }

    async fn pass_event(&mut self, event: RawEvent) -> Option<PartEnd> {
        if let (Some(id), Some(last)) = (event.id, self.last_event_id) {
            if id <= last {
                return None;
            }
            if id > last + 1 {
                let reason = format!("event {id} follows event {last}");
                return Some(PartEnd::ServerFailed(reason));
            }
        }
        self.last_event_id = event.id.or(self.last_event_id);
        if let Some(reservation) = &self.reservation {
            reservation.spend(self.event_tokens);
        }
        if self.keep.is_some() {
            self.output.extend_from_slice(&event.data);
            self.output.push(b'\n');
        }
        self.forward.record.add_event();
        // A caller that does not read must not hold the request beyond its deadline.
        let timer = &self.forward.gateway.timer;
        let sent = timer.timeout_at(self.forward.deadline, self.sender.send(event.raw));
        match sent.await {
            Ok(Ok(())) => None,
            Ok(Err(_)) => Some(PartEnd::CallerLeft),
            Err(_) => Some(PartEnd::DeadlineReached),
        }
    }

    fn may_resume(&self) -> bool {
        let route = &self.forward.route;
        let is_resumable = route.kind == RouteKind::ResumableStream;
        is_resumable && self.forward.attempts.sent + 1 < route.max_attempts
    }

    /// Continues the stream at another server.
    async fn resume(&mut self, reason: String) -> std::result::Result<(), String> {
        self.upstream.server.record_failure();
        self.forward
            .record
            .note(format!("{}: {reason}", &*self.upstream.server.id));
        let kind = self.forward.route.kind;
        let max_attempts = self.forward.route.max_attempts;
        let next = self
            .forward
            .attempts
            .after(Failure::InDoubt, kind, max_attempts);
        if next != Next::TryAnother {
            return Err(reason);
        }
        self.forward.tried.push(self.upstream.server.clone());
        match self.forward.send(self.last_event_id).await {
            Ok(Forwarded::Stream(_, upstream)) => {
                self.upstream = upstream;
                Ok(())
            }
            Ok(Forwarded::Whole(response)) => Err(format!(
                "status {} on resumption",
                response.status().as_u16()
            )),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Ends a stream whose events have all been passed on. A turn of a conversation ends for its
    /// caller when it is durable, because the next turn may come at once through another gateway.
    async fn complete(mut self) {
        if let Some(turn) = self.keep.take() {
            let history = &self.forward.gateway.history;
            let deadline = self.forward.deadline;
            let saved = history.save(
                &turn.turn_id,
                &turn.chain,
                &turn.input,
                &self.output,
                deadline,
            );
            match saved.await {
                Ok(chain) => {
                    if let Some(reservation) = &self.reservation {
                        reservation.keep(turn.turn_id, chain);
                    }
                }
                Err(error) => {
                    let reason = format!("the turn is not durable: {error}");
                    return self.break_off(&reason).await;
                }
            }
        }
        if let Some(reservation) = &self.reservation {
            reservation.complete(self.upstream.server.id.clone());
        }
        self.sender.end();
        self.forward.record.finish(200, "ok");
    }

    /// Breaks the answer off, so that it does not look complete.
    async fn break_off(self, reason: &str) {
        self.forward
            .record
            .finish(200, format!("stream broken off: {reason}"));
        self.sender.abort().await;
    }
}
