//! `key NAME`: generates a random key for a team or an operator.

use rand::TryRngCore;
use rand::rngs::OsRng;
use serde_json::json;

use crate::admin::{AdminError, Arguments, Report, Result};
use crate::version::key_digest::{digest, encode_hex};

/// Long enough that a key cannot be guessed.
const KEY_BYTES: usize = 32;

/// Runs the subcommand.
pub fn run(arguments: &Arguments) -> Result<Report> {
    let [name] = arguments.operands()?;
    let mut bytes = [0; KEY_BYTES];
    let filled = OsRng.try_fill_bytes(&mut bytes);
    filled.map_err(|error| AdminError::Random(error.to_string()))?;
    let key = encode_hex(&bytes);
    let key_sha256 = encode_hex(&digest(&key));
    let text = format!(
        "key of {name}, shown only here:\n{key}\n\nfor the configuration:\n\
         \"{name}\": {{\"key_sha256\": \"{key_sha256}\"}}\n"
    );
    let json = json!({"done": true, "name": name, "key": key, "key_sha256": key_sha256});
    Ok(Report::success(text, json))
}
