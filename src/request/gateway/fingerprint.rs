//! Recognizes a request that a caller sends again.

use std::fmt;

use bytes::Bytes;
use hyper::Request;
use hyper::header::AUTHORIZATION;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::connection::http_server::CallerAddress;

/// Identifies requests with the same path, caller and body. Their ids and their programs may
/// differ.
///
/// The digest is cryptographic, so that no caller can make a request with the fingerprint of
/// another caller's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; 16]);

impl RequestFingerprint {
    /// Computes the fingerprint of a request as its caller sent it. The caller is known by its key,
    /// or by its address if it sent none.
    pub fn new(request: &Request<Bytes>) -> Self {
        let mut digest = Sha256::new();
        let mut add = |part: &[u8]| {
            digest.update((part.len() as u64).to_le_bytes());
            digest.update(part);
        };
        match request.headers().get(AUTHORIZATION) {
            Some(key) => add(key.as_bytes()),
            None => {
                let caller = request.extensions().get::<CallerAddress>();
                let ip = caller.map(|CallerAddress(address)| address.ip().to_string());
                add(ip.unwrap_or_default().as_bytes());
            }
        }
        let path = request.uri().path_and_query();
        add(path.map_or("", |path| path.as_str()).as_bytes());
        add(request.body());
        let digest = digest.finalize();
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        Self(bytes)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}
