//! The event stream of a turn.
//!
//! When the stream breaks, the turn is repeated with the same request id within the limits of the
//! call, and the consumer is notified to discard the output received so far.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::caller::attempts::{Attempts, Failure};
use crate::caller::{CallError, MAX_ANSWER_BYTES, Result};
use crate::connection::http_client::ClientError;
use crate::connection::sse::{Event, Parser};
use crate::error::{ErrorBody, ErrorDetail};
use crate::request::api::{
    DoneEvent, EVENT_DONE, EVENT_ERROR, EVENT_START, EVENT_TOKEN, StartEvent, TokenEvent,
};

/// An event of a turn.
#[derive(Clone, Debug)]
pub enum TurnEvent {
    /// The entry accepted the turn.
    Start(StartEvent),
    /// A chunk of the output.
    Token(TokenEvent),
    /// The stream broke and the turn was repeated: the consumer must discard the chunks received
    /// before this event, and the output restarts at index 0.
    Restarted,
    /// The turn is complete; no event follows.
    Done(DoneEvent),
    /// The turn failed; no event follows.
    Error(ErrorDetail),
}

/// The events of a turn, with retries of broken streams.
pub struct TurnStream {
    attempts: Attempts,
    request: Request<Bytes>,
    address: SocketAddr,
    body: Incoming,
    parser: Parser,
    pending_events: VecDeque<Event>,
    /// Whether the consumer received an event of the current attempt.
    has_delivered: bool,
    is_ended: bool,
}

impl TurnStream {
    pub(super) async fn open(mut attempts: Attempts, request: Request<Bytes>) -> Result<Self> {
        let (address, body) = connect(&mut attempts, &request).await?;
        Ok(Self {
            attempts,
            request,
            address,
            body,
            parser: Parser::default(),
            pending_events: VecDeque::new(),
            has_delivered: false,
            is_ended: false,
        })
    }

    /// Returns the next event, or `None` after the final one or an error.
    pub async fn next(&mut self) -> Result<Option<TurnEvent>> {
        if self.is_ended {
            return Ok(None);
        }
        let result = self.next_turn_event().await;
        match &result {
            Ok(TurnEvent::Done(_) | TurnEvent::Error(_)) | Err(_) => self.is_ended = true,
            Ok(TurnEvent::Restarted) => self.has_delivered = false,
            Ok(_) => self.has_delivered = true,
        }
        result.map(Some)
    }

    /// Reads the stream to its end and returns the whole output and the final event. An error event
    /// is returned as an error.
    pub async fn finish(mut self) -> Result<(String, DoneEvent)> {
        let mut output = String::new();
        while let Some(event) = self.next().await? {
            match event {
                TurnEvent::Start(_) => {}
                TurnEvent::Token(token) => output.push_str(&token.text),
                TurnEvent::Restarted => output.clear(),
                TurnEvent::Done(done) => return Ok((output, done)),
                TurnEvent::Error(detail) => return Err(CallError::from(detail)),
            }
        }
        Err(CallError::Protocol(String::from(
            "the stream ended without a final event",
        )))
    }

    async fn next_turn_event(&mut self) -> Result<TurnEvent> {
        loop {
            let failure = match self.read_event().await {
                Ok(event) => match event.name.as_str() {
                    EVENT_START => return parse(&event).map(TurnEvent::Start),
                    EVENT_TOKEN => return parse(&event).map(TurnEvent::Token),
                    EVENT_DONE => return parse(&event).map(TurnEvent::Done),
                    EVENT_ERROR => Failure::Refused(200, parse::<ErrorBody>(&event)?.error),
                    // Ignore events that a later version of the protocol may add.
                    _ => continue,
                },
                Err(failure) => failure,
            };
            if let Some(event) = self.retry(failure).await? {
                return Ok(event);
            }
        }
    }

    /// Repeats the turn if the failure allows it. Returns the event to deliver, if any.
    async fn retry(&mut self, failure: Failure) -> Result<Option<TurnEvent>> {
        let is_error_event = matches!(failure, Failure::Refused(..));
        match self.attempts.prepare_retry(self.address, failure).await {
            Ok(()) => {}
            Err(CallError::Refused(_, detail)) if is_error_event => {
                return Ok(Some(TurnEvent::Error(detail)));
            }
            Err(error) => return Err(error),
        }
        (self.address, self.body) = connect(&mut self.attempts, &self.request).await?;
        self.parser = Parser::default();
        self.pending_events.clear();
        Ok(self.has_delivered.then_some(TurnEvent::Restarted))
    }

    async fn read_event(&mut self) -> std::result::Result<Event, Failure> {
        loop {
            if let Some(event) = self.pending_events.pop_front() {
                return Ok(event);
            }
            let limit = self.attempts.stream_idle_timeout();
            let timer = self.attempts.caller.http.timer().clone();
            let frame = match timer.timeout(limit, self.body.frame()).await {
                Err(_) => return Err(Failure::Client(ClientError::TimedOut(limit))),
                Ok(None) => return Err(interrupted("the stream ended without a final event")),
                Ok(Some(Err(error))) => return Err(interrupted(&crate::error::chain(&error))),
                Ok(Some(Ok(frame))) => frame,
            };
            if let Some(chunk) = frame.data_ref() {
                let events = self.parser.push(chunk);
                let events = events.map_err(|error| Failure::Protocol(error.to_string()))?;
                self.pending_events.extend(events);
            }
        }
    }
}

async fn connect(
    attempts: &mut Attempts,
    request: &Request<Bytes>,
) -> Result<(SocketAddr, Incoming)> {
    loop {
        let address = attempts.next_address().await?;
        let http = attempts.caller.http.clone();
        let limit = attempts.attempt_timeout();
        let failure = match http.send(address, request.clone(), limit).await {
            Ok(response) if response.status().is_success() => {
                return Ok((address, response.into_body()));
            }
            Ok(response) => {
                let status = response.status();
                let body = http.read_body(response.into_body(), MAX_ANSWER_BYTES);
                match http.timer().timeout(attempts.attempt_timeout(), body).await {
                    Ok(Ok(body)) => Failure::from_error_answer(status, &body),
                    Ok(Err(error)) => Failure::Client(error),
                    Err(_) => Failure::Client(ClientError::TimedOut(limit)),
                }
            }
            Err(error) => Failure::Client(error),
        };
        attempts.prepare_retry(address, failure).await?;
    }
}

fn parse<T: DeserializeOwned>(event: &Event) -> Result<T> {
    serde_json::from_str(&event.data).map_err(CallError::Decode)
}

fn interrupted(reason: &str) -> Failure {
    Failure::Client(ClientError::Interrupted(reason.to_string()))
}
