//! Recognizes a request that comes again.

use std::fmt;

use bytes::Bytes;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::connection::http_server::CallerAddress;
use crate::process::slots::placement::hash_bytes;

/// Bytes of the body that [`FingerprintScope::BodyStart`] covers.
const BODY_START_BYTES: usize = 128;

/// How much of the body a fingerprint covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FingerprintScope {
    /// The whole body.
    WholeBody,
    /// The start of the body. The turn of a program may come again with a longer prompt.
    BodyStart,
}

/// Identifies requests with the same path, caller and body. Their ids and their programs may differ.
///
/// The digest is cryptographic, so that no request can be made to have the fingerprint of another
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    /// What the digest covers.
    pub scope: FingerprintScope,
    digest: [u8; 16],
}

impl Fingerprint {
    /// `caller` is the header with the key, or the team.
    fn new(request: &Request<Bytes>, caller: &[u8], scope: FingerprintScope) -> Self {
        let mut digest = Sha256::new();
        let mut add = |part: &[u8]| {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        };
        add(caller);
        let path = request.uri().path_and_query();
        add(path.map_or("", |path| path.as_str()).as_bytes());
        let body = request.body();
        add(match scope {
            FingerprintScope::WholeBody => body,
            FingerprintScope::BodyStart => &body[..body.len().min(BODY_START_BYTES)],
        });
        let digest = digest.finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        Self {
            scope,
            digest: bytes,
        }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.digest
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

/// Identifies a caller: by its team or key, or by its address if it has none.
pub type CallerHash = u64;

/// What recognizes a request and its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIdentity {
    /// Covers the whole body.
    pub exact: Fingerprint,
    /// Covers the start of the body.
    pub start: Fingerprint,
    /// The caller of this try.
    pub caller: CallerHash,
}

impl RequestIdentity {
    /// Computes the identity of a request as its caller sent it, if the configuration has no teams.
    pub fn new(request: &Request<Bytes>) -> Self {
        let key = request.headers().get(AUTHORIZATION);
        let key = key.map(|key| key.as_bytes());
        Self::of_caller(request, key.unwrap_or_default(), key)
    }

    /// Computes the identity of a request if the configuration has teams. `scope` is what qualifies
    /// the ids of the team; `is_known` says whether there is a team, not only a caller of a public
    /// route. Neither the key nor its digest is part of it, because fingerprints are logged.
    pub fn of_team(request: &Request<Bytes>, scope: &str, is_known: bool) -> Self {
        let scope = scope.as_bytes();
        Self::of_caller(request, scope, is_known.then_some(scope))
    }

    /// `caller` tells callers apart; without it, their addresses do.
    fn of_caller(request: &Request<Bytes>, scope: &[u8], caller: Option<&[u8]>) -> Self {
        let caller = match caller {
            Some(caller) => hash_bytes(caller),
            None => {
                let caller = request.extensions().get::<CallerAddress>();
                let ip = caller.map(|CallerAddress(address)| address.ip().to_string());
                hash_bytes(ip.unwrap_or_default().as_bytes())
            }
        };
        Self {
            exact: Fingerprint::new(request, scope, FingerprintScope::WholeBody),
            start: Fingerprint::new(request, scope, FingerprintScope::BodyStart),
            caller,
        }
    }

    /// Both fingerprints.
    pub fn fingerprints(&self) -> [Fingerprint; 2] {
        [self.exact, self.start]
    }
}
