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

/// Identifies requests with the same path, key and body. Their ids and their programs may differ.
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
    fn new(request: &Request<Bytes>, scope: FingerprintScope) -> Self {
        let mut digest = Sha256::new();
        let mut add = |part: &[u8]| {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        };
        let key = request.headers().get(AUTHORIZATION);
        add(key.map_or(&[], |key| key.as_bytes()));
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

/// Identifies a caller: by its key, or by its address if it sends none.
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
    /// Computes the identity of a request as its caller sent it.
    pub fn new(request: &Request<Bytes>) -> Self {
        let caller = match request.headers().get(AUTHORIZATION) {
            Some(key) => hash_bytes(key.as_bytes()),
            None => {
                let caller = request.extensions().get::<CallerAddress>();
                let ip = caller.map(|CallerAddress(address)| address.ip().to_string());
                hash_bytes(ip.unwrap_or_default().as_bytes())
            }
        };
        Self {
            exact: Fingerprint::new(request, FingerprintScope::WholeBody),
            start: Fingerprint::new(request, FingerprintScope::BodyStart),
            caller,
        }
    }

    /// Both fingerprints.
    pub fn fingerprints(&self) -> [Fingerprint; 2] {
        [self.exact, self.start]
    }
}
