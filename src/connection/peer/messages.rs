//! The messages between entries.
//!
//! They are encoded with postcard, so the order and the types of variants and fields are part of the
//! protocol.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

use crate::ids::{SlotId, TeamId, VersionNumber};

/// Names and values of HTTP headers; a name may occur more than once.
pub type Headers = Vec<(String, Bytes)>;

/// A request to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A caller's request, for the lease holder of the slot of its conversation.
    Forward(ForwardRequest),
    /// Announces the configuration version in effect on the sender.
    ConfigVersion(VersionNumber),
    /// Asks the lease holder of a slot to release it, because the sender is the preferred holder.
    ReleaseSlot(SlotId),
    /// Asks which of these cache keys belong to active runs.
    RunsActive(Vec<String>),
}

impl PeerRequest {
    /// The kind of request as a metric label.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerRequest::Forward(_) => "forward",
            PeerRequest::ConfigVersion(_) => "config_version",
            PeerRequest::ReleaseSlot(_) => "release_slot",
            PeerRequest::RunsActive(_) => "runs_active",
        }
    }
}

/// The response to a [`PeerRequest`] other than `Forward`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The configuration version in effect on the receiver.
    ConfigVersion(VersionNumber),
    /// Whether the receiver holds the slot and has started to release it.
    ReleaseSlot(bool),
    /// Whether the run of each cache key is active, in the order of the request.
    RunsActive(Vec<bool>),
    /// The receiver cannot process the request now, for the given reason.
    Refused(String),
}

/// A caller's request that one entry forwards to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The HTTP method.
    pub method: String,
    /// The path and the query.
    pub path: String,
    /// The team that the forwarding entry has authenticated by its key.
    pub team_id: TeamId,
    /// The headers that the lease holder needs; other headers are not forwarded.
    pub headers: Headers,
    /// The complete request body.
    pub body: Bytes,
}

/// The head of the response to a [`ForwardRequest`]; the body follows on the stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardHead {
    /// The HTTP status code.
    pub status: u16,
    /// The headers to send to the caller.
    pub headers: Headers,
}

/// Copies HTTP headers into a message.
pub fn headers_from_map(map: &HeaderMap) -> Headers {
    let copy = |(name, value): (&HeaderName, &HeaderValue)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        (name.to_string(), value)
    };
    map.iter().map(copy).collect()
}

/// Converts the headers of a message into HTTP headers; invalid ones are omitted.
pub fn headers_to_map(headers: &Headers) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_maybe_shared(value.clone());
        if let (Ok(name), Ok(value)) = (name, value) {
            map.append(name, value);
        }
    }
    map
}
