//! Keeps a stream at the software version that began it.

use std::time::Instant;

use sapphireford_platform::headers::CallHeaders;
use sapphireford_platform::operator::{RouteKind, RouteRecord};

use crate::error::{Error, ErrorKind, Result};
use crate::process::gateway::store::StoreError;
use crate::process::gateway::stream_origins::{StreamKey, StreamOrigin, StreamOrigins};

/// The origin of the stream of one request.
#[derive(Debug, Default)]
pub struct OriginConstraint {
    /// Identifies the stream; `None` if it cannot be resumed, so its origin need not be known.
    stream: Option<StreamKey>,
    /// Where the events come from that the caller already has; `None` if it has none.
    required: Option<StreamOrigin>,
    /// The origin of the program's streams that have no row; `None` if it is not known.
    pub program_origin: Option<StreamOrigin>,
    /// Origins for which a row was written, or may have been.
    recorded: Vec<StreamOrigin>,
}

impl OriginConstraint {
    /// The constraint of a request. Fails if the request resumes a stream that cannot be resumed.
    pub async fn new(
        route: &RouteRecord,
        call: &CallHeaders,
        origins: &StreamOrigins,
        deadline: Instant,
    ) -> Result<Self> {
        match (route.kind, call.last_event_id) {
            (RouteKind::ResumableStream, None) => Ok(Self::for_new_stream(call)),
            // Without the events that the caller has, the turn would be stored in part.
            (RouteKind::ResumableStream, Some(_)) if route.has_stored_history => {
                Err(cannot_resume_error("turns of this route are stored whole"))
            }
            (RouteKind::ResumableStream, Some(_)) => {
                Self::for_resumed_stream(call, origins, deadline).await
            }
            (RouteKind::Stream, Some(_)) => Err(cannot_resume_error(
                "streams of this route cannot be resumed",
            )),
            _ => Ok(Self::default()),
        }
    }

    /// The constraint of a new stream that may be resumed later.
    fn for_new_stream(call: &CallHeaders) -> Self {
        let request_id = call.request_id.as_deref();
        Self {
            stream: request_id.map(|id| StreamKey::new(account_program(call), id)),
            ..Self::default()
        }
    }

    /// Reads where the stream began that a caller takes up, and fails if that is unknown.
    async fn for_resumed_stream(
        call: &CallHeaders,
        origins: &StreamOrigins,
        deadline: Instant,
    ) -> Result<Self> {
        if !origins.can_record() {
            return Err(unknown_origin_error(StoreError::Outage));
        }
        let request_id = call.resumed_request_id.as_deref();
        let found = origins.find(account_program(call), request_id, deadline);
        match found.await {
            Ok(Some(origin)) => Ok(Self {
                required: Some(origin),
                ..Self::default()
            }),
            Ok(None) => {
                let reason = "it is not known which software version began the stream";
                Err(cannot_resume_error(reason))
            }
            Err(error) => Err(unknown_origin_error(error)),
        }
    }

    /// Where the stream must continue; `None` if its caller has no events yet.
    pub fn required(&self) -> Option<StreamOrigin> {
        self.required
    }

    /// Whether the stream may be sent to a server of `origin`. If `can_record` is false, a new
    /// stream may begin only where no row is needed.
    pub fn allows(&self, origin: StreamOrigin, can_record: bool) -> bool {
        match self.required {
            Some(required) => required == origin,
            None => can_record || self.program_origin.is_none() || !self.needs_row(origin),
        }
    }

    fn needs_row(&self, origin: StreamOrigin) -> bool {
        let is_program_origin = self.program_origin == Some(origin) && self.recorded.is_empty();
        !is_program_origin && !self.recorded.contains(&origin)
    }

    /// Makes known where the stream may begin, before it is sent to a server of `origin`.
    pub async fn record(
        &mut self,
        origin: StreamOrigin,
        origins: &StreamOrigins,
        deadline: Instant,
    ) -> Result<()> {
        let Some(stream) = &self.stream else {
            return Ok(());
        };
        if self.required.is_some() || !self.needs_row(origin) {
            return Ok(());
        }
        self.recorded.push(origin);
        let recorded = origins.record(stream, origin, deadline).await;
        recorded.map_err(|error| {
            let message = "the store is unavailable, so the software version of the stream cannot \
                           be recorded; retry later";
            Error::new(ErrorKind::PlatformUnavailable, message).with_cause(error)
        })
    }

    /// Ties the stream to the origin of an event that is sent to the caller.
    pub fn require(&mut self, origin: StreamOrigin) {
        self.required = Some(origin);
    }
}

/// The error for a stream that cannot be resumed.
pub fn cannot_resume_error(reason: &str) -> Error {
    let message =
        format!("{reason}; send the request without `Last-Event-Id` to begin the stream anew");
    Error::new(ErrorKind::CannotResume, message)
}

/// The program of a request, if it has an account.
fn account_program(call: &CallHeaders) -> Option<&str> {
    let program = call.program.as_ref()?;
    program.budget_tokens?;
    Some(&program.program_id)
}

fn unknown_origin_error(error: StoreError) -> Error {
    let message = "the store is unavailable, so it cannot be read which software version began \
                   the stream; retry later, or begin it anew";
    Error::new(ErrorKind::PlatformUnavailable, message).with_cause(error)
}
