//! The stream of a turn.

use std::collections::VecDeque;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::caller::attempts::{Attempts, Failure};
use crate::caller::{ANSWER_LIMIT_BYTES, CallError, Result};
use crate::connection::http_client::{ClientError, read_body};
use crate::connection::sse::{Event, Parser};
use crate::error::{ErrorBody, ErrorDetail};
use crate::request::api::{
    DoneEvent, EVENT_DONE, EVENT_ERROR, EVENT_START, EVENT_TOKEN, StartEvent, TokenEvent,
};

/// What happens in a turn.
#[derive(Clone, Debug)]
pub enum TurnEvent {
    /// The turn was accepted.
    Start(StartEvent),
    /// A piece of output.
    Token(TokenEvent),
    /// The stream broke and the turn was repeated: the pieces before this event are void, and the
    /// output starts again from index 0.
    Restarted,
    /// The turn is complete; no event follows.
    Done(DoneEvent),
    /// The turn failed; no event follows.
    Error(ErrorDetail),
}

/// The events of a turn.
pub struct TurnStream {
    attempts: Attempts,
    request: Request<Bytes>,
    address: SocketAddr,
    body: Incoming,
    parser: Parser,
    waiting: VecDeque<Event>,
    /// Whether an event of the present attempt was passed on.
    delivered: bool,
    ended: bool,
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
            waiting: VecDeque::new(),
            delivered: false,
            ended: false,
        })
    }

    /// The next event, or `None` after the last one.
    pub async fn next(&mut self) -> Result<Option<TurnEvent>> {
        if self.ended {
            return Ok(None);
        }
        let result = self.advance().await;
        match &result {
            Ok(TurnEvent::Done(_) | TurnEvent::Error(_)) | Err(_) => self.ended = true,
            Ok(TurnEvent::Restarted) => self.delivered = false,
            Ok(_) => self.delivered = true,
        }
        result.map(Some)
    }

    /// Reads the stream to its end; returns the output and the final event.
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
            "the stream has no last event",
        )))
    }

    async fn advance(&mut self) -> Result<TurnEvent> {
        loop {
            let failure = match self.read_event().await {
                Ok(event) => match event.name.as_str() {
                    EVENT_START => return parse(&event).map(TurnEvent::Start),
                    EVENT_TOKEN => return parse(&event).map(TurnEvent::Token),
                    EVENT_DONE => return parse(&event).map(TurnEvent::Done),
                    EVENT_ERROR => Failure::Refused(200, parse::<ErrorBody>(&event)?.error),
                    // An event that a later version of the protocol adds.
                    _ => continue,
                },
                Err(failure) => failure,
            };
            if let Some(event) = self.restart(failure).await? {
                return Ok(event);
            }
        }
    }

    /// Repeats the turn if the failure allows it.
    async fn restart(&mut self, failure: Failure) -> Result<Option<TurnEvent>> {
        let in_stream = matches!(failure, Failure::Refused(..));
        match self.attempts.recover(self.address, failure).await {
            Ok(()) => {}
            Err(CallError::Refused(_, detail)) if in_stream => {
                return Ok(Some(TurnEvent::Error(detail)));
            }
            Err(error) => return Err(error),
        }
        (self.address, self.body) = connect(&mut self.attempts, &self.request).await?;
        self.parser = Parser::default();
        self.waiting.clear();
        Ok(self.delivered.then_some(TurnEvent::Restarted))
    }

    async fn read_event(&mut self) -> std::result::Result<Event, Failure> {
        loop {
            if let Some(event) = self.waiting.pop_front() {
                return Ok(event);
            }
            let limit = self.attempts.gap_limit();
            let timer = self.attempts.caller.http.timer().clone();
            let frame = match timer.timeout(limit, self.body.frame()).await {
                Err(_) => return Err(Failure::Client(ClientError::TimedOut(limit))),
                Ok(None) => return Err(interrupted("the stream ended without a last event")),
                Ok(Some(Err(error))) => return Err(interrupted(&crate::error::chain(&error))),
                Ok(Some(Ok(frame))) => frame,
            };
            if let Some(chunk) = frame.data_ref() {
                let events = self.parser.push(chunk);
                let events = events.map_err(|error| Failure::Protocol(error.to_string()))?;
                self.waiting.extend(events);
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
        let limit = attempts.time_limit();
        let failure = match http.send(address, request.clone(), limit).await {
            Ok(response) if response.status().is_success() => {
                return Ok((address, response.into_body()));
            }
            Ok(response) => {
                let status = response.status();
                let body = read_body(response.into_body(), ANSWER_LIMIT_BYTES);
                match http.timer().timeout(attempts.time_limit(), body).await {
                    Ok(Ok(body)) => Failure::from_answer(status, &body),
                    Ok(Err(error)) => Failure::Client(error),
                    Err(_) => Failure::Client(ClientError::TimedOut(limit)),
                }
            }
            Err(error) => Failure::Client(error),
        };
        attempts.recover(address, failure).await?;
    }
}

fn parse<T: DeserializeOwned>(event: &Event) -> Result<T> {
    serde_json::from_str(&event.data).map_err(CallError::Decode)
}

fn interrupted(reason: &str) -> Failure {
    Failure::Client(ClientError::Interrupted(reason.to_string()))
}
