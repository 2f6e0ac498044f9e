//! Keeps a stream at the software version that began it.

use std::time::Instant;

use sapphireford_platform::headers::CallHeaders;
use sapphireford_platform::operator::{RouteKind, RouteRecord};

use super::qualified_ids::QualifiedIds;
use crate::error::{Error, ErrorKind, Result};
use crate::process::gateway::store::StoreError;
use crate::process::gateway::stream_origins::{
    RecordOrder, RecordPlace, StreamKey, StreamOrigin, StreamOrigins,
};

/// What other gateways may have recorded for a stream before this one got its request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EarlierRecords {
    /// Nothing.
    #[default]
    None,
    /// This many gateways may have made records.
    ByGateways(u32),
    /// The gateway that relays the request is of an earlier build, which does not say so.
    Unknown,
}

impl EarlierRecords {
    /// The records before a relayed request. `gateways` is what the gateway that relays it says;
    /// `None` if it says nothing.
    pub fn of_relayed(gateways: Option<u32>) -> Self {
        match gateways {
            None => Self::Unknown,
            Some(0) => Self::None,
            Some(gateways) => Self::ByGateways(gateways),
        }
    }
}

/// The origin of the stream of one request.
#[derive(Debug, Default)]
pub struct OriginConstraint {
    /// Identifies the stream; `None` if it cannot be resumed, so its origin need not be known.
    stream: Option<StreamKey>,
    /// Where the events come from that the caller already has; `None` if it has none.
    required: Option<StreamOrigin>,
    /// The origin of the program's streams that have no row; `None` if it is not known.
    pub program_origin: Option<StreamOrigin>,
    /// Records of other gateways, which come before those of this one.
    earlier: EarlierRecords,
    /// Origins that this gateway has recorded, or may have, in this order. Unless it is empty, the
    /// stream was sent last to a server of the last one.
    recorded: Vec<StreamOrigin>,
    /// Peers that may have made records before they did not take the request.
    recording_peers: u32,
}

impl OriginConstraint {
    /// The constraint of a request. Fails if the request resumes a stream that cannot be resumed.
    pub async fn new(
        route: &RouteRecord,
        call: &CallHeaders,
        ids: &QualifiedIds,
        earlier: EarlierRecords,
        origins: &StreamOrigins,
        deadline: Instant,
    ) -> Result<Self> {
        match (route.kind, call.last_event_id) {
            (RouteKind::ResumableStream, None) => Ok(Self::for_new_stream(call, ids, earlier)),
            // Without the events that the caller has, the turn would be stored in part.
            (RouteKind::ResumableStream, Some(_)) if route.has_stored_history => {
                Err(cannot_resume_error("turns of this route are stored whole"))
            }
            (RouteKind::ResumableStream, Some(_)) => {
                Self::for_resumed_stream(call, ids, origins, deadline).await
            }
            (RouteKind::Stream, Some(_)) => Err(cannot_resume_error(
                "streams of this route cannot be resumed",
            )),
            _ => Ok(Self::default()),
        }
    }

    /// The constraint of a new stream that may be resumed later.
    fn for_new_stream(call: &CallHeaders, ids: &QualifiedIds, earlier: EarlierRecords) -> Self {
        let request_id = ids.turn_id.as_deref();
        Self {
            stream: request_id.map(|id| StreamKey::new(ids.account_program(call), id)),
            earlier,
            ..Self::default()
        }
    }

    /// Reads where the stream began that a caller takes up, and fails if that is unknown.
    async fn for_resumed_stream(
        call: &CallHeaders,
        ids: &QualifiedIds,
        origins: &StreamOrigins,
        deadline: Instant,
    ) -> Result<Self> {
        if !origins.can_record() {
            return Err(unknown_origin_error(StoreError::Outage));
        }
        let request_id = ids.resumed_turn_id.as_deref();
        let found = origins.find(ids.account_program(call), request_id, deadline);
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

    /// Whether `origin` must be recorded, so that the last record of the stream names it.
    fn needs_row(&self, origin: StreamOrigin) -> bool {
        match self.recorded.last() {
            Some(last) => *last != origin,
            None => self.earlier != EarlierRecords::None || self.program_origin != Some(origin),
        }
    }

    /// The place of the next record among those of the stream.
    fn next_place(&self) -> RecordPlace {
        let earlier_gateways = match self.earlier {
            EarlierRecords::Unknown => return RecordPlace::Unknown,
            EarlierRecords::None if self.recorded.is_empty() => return RecordPlace::First,
            EarlierRecords::None => 0,
            EarlierRecords::ByGateways(gateways) => gateways,
        };
        RecordPlace::Later(RecordOrder {
            earlier_gateways,
            earlier_records: self.recorded.len() as u32,
        })
    }

    /// The number of gateways that may have made records of a new stream before a peer gets its
    /// request from this gateway.
    pub fn gateways_before_peer(&self) -> u32 {
        u32::from(!self.recorded.is_empty()) + self.recording_peers
    }

    /// Whether this gateway has made records that another one must not miss, and cannot say so.
    pub fn has_unordered_records(&self) -> bool {
        self.earlier == EarlierRecords::Unknown && !self.recorded.is_empty()
    }

    /// Counts a peer that may have made records and has not taken the request.
    pub fn add_recording_peer(&mut self) {
        self.recording_peers += 1;
    }

    /// Makes known where the stream may begin, before it is sent to a server of `origin`. Returns the
    /// place of the record; `None` if none is needed.
    pub async fn record(
        &mut self,
        origin: StreamOrigin,
        origins: &StreamOrigins,
        deadline: Instant,
    ) -> Result<Option<RecordPlace>> {
        let Some(stream) = &self.stream else {
            return Ok(None);
        };
        if self.required.is_some() || !self.needs_row(origin) {
            return Ok(None);
        }
        let place = self.next_place();
        self.recorded.push(origin);
        let recorded = origins.record(stream, origin, place, deadline).await;
        recorded.map(|()| Some(place)).map_err(|error| {
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

fn unknown_origin_error(error: StoreError) -> Error {
    let message = "the store is unavailable, so it cannot be read which software version began \
                   the stream; retry later, or begin it anew";
    Error::new(ErrorKind::PlatformUnavailable, message).with_cause(error)
}
