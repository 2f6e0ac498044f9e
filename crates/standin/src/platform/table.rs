//! The transactional table.

use std::collections::BTreeMap;

use sapphireford::connection::platform::{Check, Row, Write};
use serde_json::Value;

/// The version of a row that does not exist.
const NO_VERSION: u64 = 0;

/// A row or what remains of a deleted one.
#[derive(Default)]
struct Stored {
    /// Version of the last write. Kept after a delete, so that no version is used twice.
    last_version: u64,
    /// `None` after a delete.
    value: Option<Value>,
}

/// Rows by key.
#[derive(Default)]
pub struct Table {
    /// Sorted, because a scan answers in the order of keys.
    rows: BTreeMap<String, Stored>,
}

impl Table {
    /// Number of rows that exist.
    pub fn len(&self) -> usize {
        let existing = |row: &&Stored| row.value.is_some();
        self.rows.values().filter(existing).count()
    }

    /// The rows of these keys, in the order of the keys given.
    pub fn read(&self, keys: &[String]) -> Vec<Row> {
        keys.iter().map(|key| self.row(key)).collect()
    }

    /// All existing rows whose key starts with `prefix`.
    pub fn scan(&self, prefix: &str) -> Vec<Row> {
        self.rows
            .range(prefix.to_string()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, stored)| stored.value.is_some())
            .map(|(key, stored)| to_row(key, Some(stored)))
            .collect()
    }

    /// Makes all writes if all checks hold; otherwise returns the checked rows as they are.
    ///
    /// The version of a deleted row is 0.
    pub fn commit(&mut self, checks: &[Check], writes: Vec<Write>) -> Result<Vec<u64>, Vec<Row>> {
        let holds = |check: &Check| self.row(&check.key).version == check.version;
        if !checks.iter().all(holds) {
            return Err(checks.iter().map(|check| self.row(&check.key)).collect());
        }
        Ok(writes.into_iter().map(|write| self.write(write)).collect())
    }

    fn write(&mut self, write: Write) -> u64 {
        let stored = self.rows.entry(write.key).or_default();
        stored.last_version += 1;
        stored.value = write.value;
        match stored.value {
            Some(_) => stored.last_version,
            None => NO_VERSION,
        }
    }

    fn row(&self, key: &str) -> Row {
        to_row(key, self.rows.get(key))
    }
}

fn to_row(key: &str, stored: Option<&Stored>) -> Row {
    let existing = stored.and_then(|stored| {
        let value = stored.value.clone()?;
        Some((stored.last_version, value))
    });
    let (version, value) = existing.unwrap_or((NO_VERSION, Value::Null));
    Row {
        key: key.to_string(),
        version,
        value,
    }
}
