//! The messages between entries.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

use crate::ids::{SlotId, TeamId, VersionNumber};

/// Names and values of HTTP headers.
pub type Headers = Vec<(String, Bytes)>;

/// A request to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A caller's request, for the holder of its conversation.
    Forward(ForwardRequest),
    /// The configuration version in effect on the sender.
    ConfigVersion(VersionNumber),
    /// Asks the holder of a slot to release it, because the sender is its preferred holder.
    ReleaseSlot(SlotId),
    /// Asks which of these cache keys belong to active runs.
    RunsActive(Vec<String>),
}

impl PeerRequest {
    /// The name of the kind of request, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerRequest::Forward(_) => "forward",
            PeerRequest::ConfigVersion(_) => "config_version",
            PeerRequest::ReleaseSlot(_) => "release_slot",
            PeerRequest::RunsActive(_) => "runs_active",
        }
    }
}

/// The answer to a [`PeerRequest`] other than `Forward`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The configuration version in effect on the receiver.
    ConfigVersion(VersionNumber),
    /// Whether the receiver holds the slot and starts to release it.
    ReleaseSlot(bool),
    /// For each cache key of the request, in its order: whether its run is active.
    RunsActive(Vec<bool>),
    /// The receiver cannot answer now; the text says why.
    Refused(String),
}

/// A caller's request as one entry passes it to another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardRequest {
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The team whose key the first entry has checked.
    pub team_id: TeamId,
    /// The headers that matter to the holder.
    pub headers: Headers,
    /// The whole body.
    pub body: Bytes,
}

/// The head of the answer to a [`ForwardRequest`]; the body follows on the stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ForwardHead {
    /// The HTTP status.
    pub status: u16,
    /// The headers for the caller.
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

/// Turns the headers of a message into HTTP headers; invalid ones are left out.
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
