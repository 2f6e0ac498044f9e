//! Digests of the keys with which callers and operators authenticate.
//!
//! A configuration contains only digests, so that read access to it does not expose any key.

use std::fmt;

use sha2::{Digest, Sha256};

/// Longest key of a caller that gateways accept.
pub const MAX_KEY_BYTES: usize = 256;

/// Whether callers can send this key: gateways accept one of up to [`MAX_KEY_BYTES`] visible ASCII
/// characters.
pub fn is_valid_key(key: &str) -> bool {
    (1..=MAX_KEY_BYTES).contains(&key.len()) && key.bytes().all(|byte| byte.is_ascii_graphic())
}

/// The SHA-256 digest of a caller's key. It is passed between gateways and must not get into logs.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of_key(key: &str) -> Self {
        Self(digest(key))
    }

    /// Decodes 64 hexadecimal digits; `None` if the text is anything else.
    pub fn from_hex(text: &str) -> Option<Self> {
        decode_hex(text).map(Self)
    }

    /// Encodes the digest as 64 hexadecimal digits.
    pub fn to_hex(&self) -> String {
        encode_hex(&self.0)
    }

    /// The bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// Computes the SHA-256 digest of a key, over the bytes of the bearer token.
pub fn digest(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}

/// Encodes bytes as lowercase hexadecimal digits.
pub fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes 64 hexadecimal digits of either case; `None` if the text is anything else.
pub fn decode_hex(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}
