//! The digests of the keys that callers and operators present.
//!
//! A configuration holds digests only, so reading it gives nobody a key.

use sha2::{Digest, Sha256};

/// The SHA-256 of a key, over the bytes of the text that is presented as the bearer token.
pub fn digest(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}

/// Writes bytes as lowercase hexadecimal digits.
pub fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Reads 64 hexadecimal digits.
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
