//! What gateways append to their messages.
//!
//! It is appended instead of being fields of the messages because gateways of earlier builds ignore
//! what follows a message, and send none of it or only its first parts. What is missing decodes to
//! its default.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::process::gateway::crash_reports::CrashReport;
use crate::process::gateway::directory::UnconnectedGateway;
use crate::process::gateway::outcomes::ReportedOutcomes;
use crate::process::gateway::server::RateLimitReport;
use crate::process::gateway::servers::{LeavingServer, SharedLoad};
use crate::process::gateway::stream_origins::StreamOrigin;
use crate::process::teams::config_age::PeerProof;
use crate::process::topics::RouteHash;
use crate::process::topics::learning::GroupTimes;

/// What a gateway has heard from backend servers, told to its peers with other messages.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerNotices {
    /// Servers that have said that they are about to stop.
    pub leaving: Vec<LeavingServer>,
    /// The last statements on rate limits.
    pub rate_limits: Vec<RateLimitReport>,
    /// The requests that were running when servers crashed.
    pub crash_reports: Vec<CrashReport>,
    /// Loads of servers; empty in messages that have them elsewhere.
    pub loads: Vec<SharedLoad>,
    /// Gateways that reach no server; only in the gossip.
    pub unconnected_gateways: Vec<UnconnectedGateway>,
    /// Outcomes at suspected servers, as the sender has seen them; only in the gossip.
    pub outcomes: ReportedOutcomes,
    /// Times of answers by route with and without affinity, as the gateway that reports the outcomes
    /// has measured them; only in the gossip.
    pub topic_times: Vec<(RouteHash, GroupTimes)>,
}

/// Encodes a message followed by notices.
pub(super) fn with_notices(message: &impl Serialize, notices: &ServerNotices) -> Bytes {
    // The encoding of these types cannot fail.
    let mut body = postcard::to_stdvec(message).unwrap_or_default();
    body.extend(postcard::to_stdvec(&notices.leaving).unwrap_or_default());
    body.extend(postcard::to_stdvec(&notices.rate_limits).unwrap_or_default());
    body.extend(postcard::to_stdvec(&notices.crash_reports).unwrap_or_default());
    body.extend(postcard::to_stdvec(&notices.loads).unwrap_or_default());
    body.extend(postcard::to_stdvec(&notices.unconnected_gateways).unwrap_or_default());
    Bytes::from(body)
}

pub(super) fn split_notices<T: DeserializeOwned>(body: &[u8]) -> Option<(T, ServerNotices)> {
    let (message, notices, _) = split_message(body)?;
    Some((message, notices))
}

/// Appends the speeds of the servers to a message, in the order of its loads. 0 stands for a speed
/// that is not stated; the list is empty if none is. Gateways of earlier builds ignore it.
pub(super) fn with_speeds(body: &[u8], loads: &[SharedLoad]) -> Bytes {
    let speeds = loads.iter().map(|load| load.speed_percent.unwrap_or(0));
    let mut speeds: Vec<u32> = speeds.collect();
    if speeds.iter().all(|speed| *speed == 0) {
        speeds.clear();
    }
    // The encoding of this type cannot fail.
    let speeds = postcard::to_stdvec(&speeds).unwrap_or_default();
    Bytes::from([body, &speeds].concat())
}

/// Decodes the list of [`with_speeds`], empty in messages of earlier builds, into the loads.
pub(super) fn take_speeds<'a>(rest: &'a [u8], loads: &mut [SharedLoad]) -> &'a [u8] {
    let (speeds, rest): (Vec<u32>, _) = postcard::take_from_bytes(rest).unwrap_or_default();
    for (load, speed_percent) in loads.iter_mut().zip(speeds) {
        load.speed_percent = (speed_percent > 0).then_some(speed_percent);
    }
    rest
}

/// Decodes a message, the notices and what follows them.
pub(super) fn split_message<T: DeserializeOwned>(body: &[u8]) -> Option<(T, ServerNotices, &[u8])> {
    let (message, rest) = postcard::take_from_bytes(body).ok()?;
    let (leaving, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    let (rate_limits, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    let (crash_reports, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    let (loads, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    let (unconnected_gateways, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    let notices = ServerNotices {
        leaving,
        rate_limits,
        crash_reports,
        loads,
        unconnected_gateways,
        outcomes: ReportedOutcomes::default(),
        topic_times: Vec::new(),
    };
    Some((message, notices, rest))
}

/// Whether there is anything to append with [`with_server_reports`]. Otherwise a message is the same as
/// in earlier builds, so it does not grow where servers state no speed and no route is sticky.
pub(super) fn has_server_reports(notices: &ServerNotices) -> bool {
    let mut loads = notices.loads.iter();
    let has_speeds = loads.any(|load| load.speed_percent.is_some());
    has_speeds || !notices.outcomes.by_server.is_empty() || !notices.topic_times.is_empty()
}

/// Appends the speeds and the outcomes of servers and the times of topics to a gossip message.
/// Gateways of earlier builds ignore them.
pub(super) fn with_server_reports(body: &[u8], notices: &ServerNotices) -> Bytes {
    let speeds = with_speeds(body, &notices.loads);
    // The encoding of these types cannot fail.
    let outcomes = postcard::to_stdvec(&notices.outcomes).unwrap_or_default();
    let topic_times = postcard::to_stdvec(&notices.topic_times).unwrap_or_default();
    Bytes::from([&*speeds, &*outcomes, &*topic_times].concat())
}

/// Decodes a gossip message, what the peer has heard from servers, and what follows it.
pub(super) fn split_gossip<T: DeserializeOwned>(body: &[u8]) -> Option<(T, ServerNotices, &[u8])> {
    let (message, mut notices, rest) = split_message(body)?;
    let rest = take_speeds(rest, &mut notices.loads);
    let (outcomes, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    notices.outcomes = outcomes;
    let (topic_times, rest) = postcard::take_from_bytes(rest).unwrap_or_default();
    notices.topic_times = topic_times;
    Some((message, notices, rest))
}

/// Precedes the age of the configuration in a response to the gossip, so that other bytes that a
/// gateway of another build may append are not taken for it.
const CONFIG_PROOF_MARK: u32 = 0x43_4f_4e_46;

/// Appends the age of the configuration to a response to the gossip.
pub(super) fn with_config_proof(body: Bytes, proof: Option<PeerProof>) -> Bytes {
    let Some(proof) = proof else {
        return body;
    };
    // The encoding of these types cannot fail.
    let proof = postcard::to_stdvec(&(CONFIG_PROOF_MARK, proof)).unwrap_or_default();
    Bytes::from([&*body, &proof].concat())
}

/// Decodes the age of the configuration; `None` from gateways of earlier builds, which do not state
/// it.
pub(super) fn decode_config_proof(rest: &[u8]) -> Option<PeerProof> {
    let (mark, proof) = postcard::from_bytes::<(u32, PeerProof)>(rest).ok()?;
    (mark == CONFIG_PROOF_MARK).then_some(proof)
}

/// Appends an origin to a message with notices. Gateways of earlier builds ignore it.
pub(super) fn with_origin(body: &[u8], origin: Option<StreamOrigin>) -> Bytes {
    // The encoding of this type cannot fail.
    let origin = postcard::to_stdvec(&origin).unwrap_or_default();
    Bytes::from([body, &origin].concat())
}

/// Follows a message whose ids are qualified by a team.
pub(super) const QUALIFIED_IDS_MARK: &[u8] = &[1];

pub(super) fn qualified_ids_mark(are_ids_qualified: bool) -> &'static [u8] {
    match are_ids_qualified {
        true => QUALIFIED_IDS_MARK,
        false => &[],
    }
}
