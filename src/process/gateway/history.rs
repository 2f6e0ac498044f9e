//! The turns of conversations, kept in the store.
//!
//! A turn's row holds the text of its whole chain as far as it fits, so that the next turn needs one
//! read in most cases. Where it does not fit, the row holds the end of the chain and names the turn
//! that holds what comes before.

use std::time::Instant;

use bytes::Bytes;
use sapphireford_platform::store::{RowKey, RowWrite};
use serde::{Deserialize, Serialize};

use super::store::{Result, Store, StoreError};
use super::writer::StoreWriter;
use crate::process::slots::placement::hash_bytes;

const TABLE: &str = "conversation-turns";
/// Partitions of the table.
const PARTITIONS: u64 = 64;
/// Part of a row that is left for the other fields.
const ROW_MARGIN_BYTES: usize = 512;
/// Rows that one chain may have; a longer chain is a fault of the stored data.
const CHAIN_ROWS: usize = 64;

/// Names a turn.
pub type TurnId = String;

/// What a row holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTurn {
    /// The turn whose chain comes before `text`; none if `text` is the whole chain.
    pub base: Option<TurnId>,
    /// Inputs and outputs, in the order of the chain.
    pub text: Vec<u8>,
}

/// The chain of a turn, as the next turn continues it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chain {
    /// The whole text of the chain.
    pub text: Vec<u8>,
    /// The last turn and its row; none for a chain without turns.
    last: Option<(TurnId, Option<TurnId>, usize)>,
}

impl Chain {
    /// The row of a turn that continues this chain with `input` and `output`.
    ///
    /// The text of the last row is repeated in it if both fit into `limit_bytes`.
    pub fn extended(&self, input: &[u8], output: &[u8], limit_bytes: usize) -> StoredTurn {
        let own_bytes = input.len() + output.len();
        let (base, repeated_bytes) = match &self.last {
            None => (None, 0),
            Some((last, base, row_bytes)) => {
                if row_bytes + own_bytes <= limit_bytes {
                    (base.clone(), *row_bytes)
                } else {
                    (Some(last.clone()), 0)
                }
            }
        };
        let repeated = &self.text[self.text.len() - repeated_bytes..];
        StoredTurn {
            base,
            text: [repeated, input, output].concat(),
        }
    }

    /// Joins rows, from the last one of the chain to the first.
    pub fn from_rows(last: TurnId, rows: &[StoredTurn]) -> Self {
        let text = rows.iter().rev().flat_map(|row| row.text.iter().copied());
        let text = text.collect();
        let last = rows
            .first()
            .map(|row| (last, row.base.clone(), row.text.len()));
        Self { text, last }
    }
}

/// How a look-up ended.
pub enum Lookup {
    /// The chain of the turn.
    Found(Chain),
    /// There certainly is no such turn.
    NotFound,
}

/// Keeps turns in the store.
#[derive(Clone)]
pub struct History {
    store: Store,
    writer: StoreWriter,
    row_limit_bytes: usize,
}

impl History {
    /// Makes a history in a store whose rows hold at most `row_limit_bytes`.
    pub fn new(store: Store, writer: StoreWriter, row_limit_bytes: usize) -> Self {
        Self {
            store,
            writer,
            row_limit_bytes,
        }
    }

    /// Reads the chain of a turn.
    pub async fn load(&self, turn_id: &str, deadline: Instant) -> Result<Lookup> {
        let mut rows: Vec<StoredTurn> = Vec::new();
        let mut next = Some(turn_id.to_string());
        while let Some(id) = next {
            let value = self.store.read_one(&row_key(&id), deadline).await?;
            let Some(value) = value else {
                if rows.is_empty() {
                    return Ok(Lookup::NotFound);
                }
                log::error!(turn = turn_id, missing = id; "a turn's chain is incomplete");
                return Err(StoreError::Unreachable(format!("turn `{id}` is missing")));
            };
            let row: StoredTurn = postcard::from_bytes(&value).map_err(|error| {
                log::error!(turn = id; "a stored turn could not be decoded: {error}");
                StoreError::Unreachable(format!("turn `{id}` could not be decoded"))
            })?;
            next = row.base.clone();
            rows.push(row);
            if rows.len() > CHAIN_ROWS {
                return Err(StoreError::Unreachable(format!(
                    "turn `{id}` has no first turn"
                )));
            }
        }
        Ok(Lookup::Found(Chain::from_rows(turn_id.to_string(), &rows)))
    }

    /// Makes a turn durable.
    pub async fn save(
        &self,
        turn_id: &str,
        chain: &Chain,
        input: &[u8],
        output: &[u8],
        deadline: Instant,
    ) -> Result<()> {
        let limit_bytes = self.row_limit_bytes - ROW_MARGIN_BYTES;
        let turn = chain.extended(input, output, limit_bytes);
        let value = postcard::to_stdvec(&turn)
            .map_err(|error| StoreError::Unreachable(error.to_string()))?;
        let write = RowWrite {
            row: row_key(turn_id),
            value: Some(Bytes::from(value)),
        };
        self.writer.write(write, deadline).await
    }
}

fn row_key(turn_id: &str) -> RowKey {
    let partition = hash_bytes(turn_id.as_bytes()) % PARTITIONS;
    RowKey {
        table: TABLE,
        partition: format!("{partition:02}"),
        key: turn_id.to_string(),
    }
}
