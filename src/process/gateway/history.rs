//! The turns of conversations, persisted in the store.
//!
//! A turn continues at most one other turn; the chain of a turn is the text of all turns from the
//! first one up to it. The row of a turn holds the text of the whole chain if it fits, so that the
//! next turn needs one read in most cases. If it does not fit, the row holds the end of the chain
//! and names the base turn, whose chain precedes it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use indexmap::IndexMap;
use sapphireford_platform::store::{RowKey, RowWrite};
use serde::{Deserialize, Serialize};

use super::store::{Result, Store, StoreError};
use super::writer::StoreWriter;

const TABLE: &str = "conversation-turns";
/// Key of the only row in a partition of a turn. Each turn has partitions of its own, because the
/// store serializes the transactions of one partition.
const TURN_ROW_KEY: &str = "turn";
/// Suffixes of the partitions that may hold the row of a turn. The store may be unavailable in
/// part: a turn that cannot be written to its first partition is written to the second one.
const PARTITION_SUFFIXES: [&str; 2] = ["", "~2"];
/// Bytes of a row that are set aside for the fields other than the text.
const ROW_OVERHEAD_BYTES: usize = 512;
/// Largest number of rows of one chain; a longer chain means that the stored data is corrupt.
const MAX_CHAIN_ROWS: usize = 64;

/// Identifies a turn; it is the request id of the turn, chosen by the caller.
pub type TurnId = String;

/// The value of a turn's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredTurn {
    /// The turn whose chain precedes `text`; `None` if `text` is the whole chain.
    pub base: Option<TurnId>,
    /// Inputs and outputs of turns, in the order of the chain.
    pub text: Vec<u8>,
}

/// The chain of a turn, with what the next turn needs to continue it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnChain {
    /// The whole text of the chain.
    pub text: Vec<u8>,
    /// The last turn, with the base of its row and the bytes of text in its row; `None` for a chain
    /// without turns.
    last: Option<(TurnId, Option<TurnId>, usize)>,
}

impl TurnChain {
    /// Makes the row of a turn that continues this chain with `input` and `output`.
    ///
    /// The text of the last row is repeated in it if both fit into `limit_bytes`. The
    /// row of a turn that does not fit by itself exceeds the limit.
    pub fn next_row(&self, input: &[u8], output: &[u8], limit_bytes: usize) -> StoredTurn {
        let turn_bytes = input.len() + output.len();
        let (base, repeated_bytes) = match &self.last {
            None => (None, 0),
            Some((last, base, row_bytes)) => {
                if row_bytes + turn_bytes <= limit_bytes {
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

    /// Returns the chain extended by a turn that is stored as `row`.
    pub fn with_turn(
        &self,
        turn_id: TurnId,
        row: &StoredTurn,
        input: &[u8],
        output: &[u8],
    ) -> Self {
        Self {
            text: [self.text.as_slice(), input, output].concat(),
            last: Some((turn_id, row.base.clone(), row.text.len())),
        }
    }

    /// Joins the rows of a chain. The rows are in reverse order: that of the turn `last` comes
    /// first.
    pub fn from_rows(last: TurnId, rows: &[StoredTurn]) -> Self {
        let text = rows.iter().rev().flat_map(|row| row.text.iter().copied());
        let text = text.collect();
        let last = rows
            .first()
            .map(|row| (last, row.base.clone(), row.text.len()));
        Self { text, last }
    }
}

/// The result of a lookup.
pub enum Lookup {
    /// The turn exists; this is its chain.
    Found(Rc<TurnChain>),
    /// There is no such turn; all partitions that may hold it were read.
    NotFound,
}

/// Chains of recent turns in memory, so that a program whose next turn arrives at the same gateway
/// needs no read from the store.
#[derive(Default)]
pub struct TurnChainCache {
    /// In the order of insertion.
    chains: IndexMap<TurnId, Rc<TurnChain>>,
    /// Total length of the texts.
    bytes: usize,
}

/// Shortest and longest delay before the write of a turn is retried on all its partitions.
const RETRY_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(400));
/// Largest total length of the texts in a cache.
const CACHE_LIMIT_BYTES: usize = 4 << 20;

impl TurnChainCache {
    /// Adds the chain of a turn, and evicts the oldest chains beyond the size limit.
    pub fn insert(&mut self, turn_id: TurnId, chain: Rc<TurnChain>) {
        self.bytes += chain.text.len();
        if let Some(previous) = self.chains.insert(turn_id, chain) {
            self.bytes -= previous.text.len();
        }
        while self.bytes > CACHE_LIMIT_BYTES
            && let Some((_, oldest)) = self.chains.shift_remove_index(0)
        {
            self.bytes -= oldest.text.len();
        }
    }

    /// Returns the chain of a turn; `None` if it is not cached.
    pub fn get(&self, turn_id: &str) -> Option<Rc<TurnChain>> {
        self.chains.get(turn_id).cloned()
    }
}

/// Reads and writes turns in the store; clones share their cache.
#[derive(Clone)]
pub struct History {
    store: Store,
    writer: StoreWriter,
    row_limit_bytes: usize,
    cache: Rc<RefCell<TurnChainCache>>,
}

impl History {
    /// Makes a history with an empty cache, in a store whose rows hold at most `row_limit_bytes`.
    pub fn new(store: Store, writer: StoreWriter, row_limit_bytes: usize) -> Self {
        Self {
            store,
            writer,
            row_limit_bytes,
            cache: Rc::default(),
        }
    }

    /// Reads the chain of a turn, from the cache or from the store.
    pub async fn load(&self, turn_id: &str, deadline: Instant) -> Result<Lookup> {
        if let Some(chain) = self.cache.borrow().get(turn_id) {
            return Ok(Lookup::Found(chain));
        }
        let mut rows: Vec<StoredTurn> = Vec::new();
        let mut next = Some(turn_id.to_string());
        while let Some(id) = next {
            let value = self.read(&id, deadline).await?;
            let Some(value) = value else {
                if rows.is_empty() {
                    return Ok(Lookup::NotFound);
                }
                log::error!(turn = turn_id, missing = id; "chain of a turn is incomplete: one of its rows is missing");
                return Err(StoreError::Unreachable(format!(
                    "row of turn `{id}` is missing"
                )));
            };
            let row: StoredTurn = postcard::from_bytes(&value).map_err(|error| {
                log::error!(turn = id; "failed to decode the row of a turn: {error}");
                StoreError::Unreachable(format!("row of turn `{id}` could not be decoded"))
            })?;
            next = row.base.clone();
            rows.push(row);
            if rows.len() > MAX_CHAIN_ROWS {
                return Err(StoreError::Unreachable(format!(
                    "chain has too many rows at turn `{id}`"
                )));
            }
        }
        let chain = TurnChain::from_rows(turn_id.to_string(), &rows);
        Ok(Lookup::Found(Rc::new(chain)))
    }

    /// Reads the row of a turn; `None` if all its partitions were read and none has the row.
    async fn read(&self, turn_id: &str, deadline: Instant) -> Result<Option<Bytes>> {
        let mut last_error = None;
        for partition_suffix in PARTITION_SUFFIXES {
            let row = row_key(turn_id, partition_suffix);
            match self.store.read_row(&row, deadline).await {
                Ok(Some(value)) => return Ok(Some(value)),
                Ok(None) => {}
                Err(error) => last_error = Some(error),
            }
        }
        last_error.map_or(Ok(None), Err)
    }

    /// Makes a turn durable, caches its chain and returns it.
    pub async fn save(
        &self,
        turn_id: &str,
        chain: &TurnChain,
        input: &[u8],
        output: &[u8],
        deadline: Instant,
    ) -> Result<Rc<TurnChain>> {
        let limit_bytes = self.row_limit_bytes - ROW_OVERHEAD_BYTES;
        let turn = chain.next_row(input, output, limit_bytes);
        let value = postcard::to_stdvec(&turn)
            .map_err(|error| StoreError::Unreachable(error.to_string()))?;
        self.write(turn_id, value.into(), deadline).await?;
        let chain = chain.with_turn(turn_id.to_string(), &turn, input, output);
        let chain = Rc::new(chain);
        let mut cache = self.cache.borrow_mut();
        cache.insert(turn_id.to_string(), chain.clone());
        Ok(chain)
    }

    /// Writes the row of a turn to one of its partitions, trying each in turn until `deadline`.
    async fn write(&self, turn_id: &str, value: Bytes, deadline: Instant) -> Result<()> {
        let mut retry_delay = RETRY_DELAY_RANGE.0;
        loop {
            let mut last_error = StoreError::Outage;
            for partition_suffix in PARTITION_SUFFIXES {
                let write = RowWrite {
                    row: row_key(turn_id, partition_suffix),
                    value: Some(value.clone()),
                };
                match self.writer.write_once(write, deadline).await {
                    Ok(()) => return Ok(()),
                    Err(error) => last_error = error,
                }
            }
            if Instant::now() + retry_delay >= deadline {
                return Err(last_error);
            }
            self.store.timer().sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(RETRY_DELAY_RANGE.1);
        }
    }

    /// The cache, which the admission of turns reads and fills as well.
    pub fn cache(&self) -> Rc<RefCell<TurnChainCache>> {
        self.cache.clone()
    }
}

fn row_key(turn_id: &str, partition_suffix: &str) -> RowKey {
    RowKey {
        table: TABLE,
        partition: format!("{turn_id}{partition_suffix}"),
        key: TURN_ROW_KEY.to_string(),
    }
}
