//! What a gateway that relays the request of a caller tells its peer about the team of the caller.
//!
//! The key itself is not passed on. The peer finds the team by the digest of the key in its own
//! configuration, and checks for itself that this configuration is current.

use hyper::header::{HeaderMap, HeaderName, HeaderValue};

use crate::version::key_digest::KeyDigest;

/// Path prefix of relayed requests if the configuration has teams. Gateways of earlier builds answer
/// it with 404: they would serve the request without a key.
pub const PATH_PREFIX: &str = "/team-requests";
/// Header with the digest of the caller's key, as 64 hexadecimal digits; missing without a key.
const KEY_DIGEST_HEADER: HeaderName = HeaderName::from_static("x-key-digest");
/// Header of a request that the gateway which relays it has counted against the limit of its team.
const LIMIT_COUNTED_HEADER: HeaderName = HeaderName::from_static("x-limit-counted");

/// The team of a relayed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayedTeam {
    /// The digest of the caller's key; `None` if it has none.
    pub key_digest: Option<KeyDigest>,
    /// Whether the gateway that relays the request has counted it against the limit of the team.
    pub is_limit_counted: bool,
}

impl RelayedTeam {
    /// Adds the headers for the peer.
    pub fn insert_into(&self, headers: &mut HeaderMap) {
        let digest = self.key_digest.map(|digest| digest.to_hex());
        if let Some(Ok(digest)) = digest.map(HeaderValue::try_from) {
            headers.insert(KEY_DIGEST_HEADER, digest);
        }
        if self.is_limit_counted {
            headers.insert(LIMIT_COUNTED_HEADER, HeaderValue::from_static("1"));
        }
    }

    /// Takes the headers of another gateway; `None` if the digest is malformed.
    pub fn take_from(headers: &mut HeaderMap) -> Option<Self> {
        let counted = headers.get(LIMIT_COUNTED_HEADER);
        let is_limit_counted = counted.is_some_and(|counted| counted == "1");
        let key_digest = match headers.get(KEY_DIGEST_HEADER) {
            Some(digest) => Some(KeyDigest::from_hex(digest.to_str().ok()?)?),
            None => None,
        };
        remove_headers(headers);
        Some(Self {
            key_digest,
            is_limit_counted,
        })
    }
}

/// Removes the headers that only gateways may set. A caller could otherwise pass for another team, or
/// have its requests not counted.
pub fn remove_headers(headers: &mut HeaderMap) {
    headers.remove(KEY_DIGEST_HEADER);
    headers.remove(LIMIT_COUNTED_HEADER);
}
