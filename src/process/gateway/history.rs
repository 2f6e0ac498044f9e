//! The turns of conversations, kept in the store.
//!
//! A turn's row holds the text of its whole chain as far as it fits, so that the next turn needs one
//! read in most cases. Where it does not fit, the row holds the end of the chain and names the turn
//! that holds what comes before.

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
/// The key of the only row in a partition of a turn. Each turn has partitions of its own, because
/// the transactions of one partition wait for each other.
const KEY: &str = "turn";
/// Partitions that a turn may lie in. The store may be down in part: a turn that cannot be written
/// to its first partition is written to the other one.
const PLACES: [&str; 2] = ["", "~2"];
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
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
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

    /// The chain after a turn that was kept as `row`.
    pub fn continued(
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
    Found(Rc<Chain>),
    /// There certainly is no such turn.
    NotFound,
}

/// Chains of the last turns that this gateway has served, so that a program that comes back through
/// it needs no read.
#[derive(Default)]
pub struct ChainCache {
    /// In the order in which they were added.
    chains: IndexMap<TurnId, Rc<Chain>>,
    bytes: usize,
}

/// Shortest and longest pause before a turn is written again to all its places.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));
/// Text that a cache holds.
const CACHE_BYTES: usize = 4 << 20;

impl ChainCache {
    /// Adds the chain of a turn, in place of the oldest ones.
    pub fn insert(&mut self, turn_id: TurnId, chain: Rc<Chain>) {
        self.bytes += chain.text.len();
        if let Some(previous) = self.chains.insert(turn_id, chain) {
            self.bytes -= previous.text.len();
        }
        while self.bytes > CACHE_BYTES
            && let Some((_, oldest)) = self.chains.shift_remove_index(0)
        {
            self.bytes -= oldest.text.len();
        }
    }

    /// The chain of a turn.
    pub fn get(&self, turn_id: &str) -> Option<Rc<Chain>> {
        self.chains.get(turn_id).cloned()
    }
}

/// Keeps turns in the store.
#[derive(Clone)]
pub struct History {
    store: Store,
    writer: StoreWriter,
    row_limit_bytes: usize,
    cache: Rc<RefCell<ChainCache>>,
}

impl History {
    /// Makes a history in a store whose rows hold at most `row_limit_bytes`.
    pub fn new(store: Store, writer: StoreWriter, row_limit_bytes: usize) -> Self {
        Self {
            store,
            writer,
            row_limit_bytes,
            cache: Rc::default(),
        }
    }

    /// Reads the chain of a turn.
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
        let chain = Chain::from_rows(turn_id.to_string(), &rows);
        Ok(Lookup::Found(Rc::new(chain)))
    }

    /// Reads the row of a turn; `None` if it certainly is in none of its places.
    async fn read(&self, turn_id: &str, deadline: Instant) -> Result<Option<Bytes>> {
        let mut failure = None;
        for place in PLACES {
            let row = row_key(turn_id, place);
            match self.store.read_row(&row, deadline).await {
                Ok(Some(value)) => return Ok(Some(value)),
                Ok(None) => {}
                Err(error) => failure = Some(error),
            }
        }
        failure.map_or(Ok(None), Err)
    }

    /// Makes a turn durable; returns its chain.
    pub async fn save(
        &self,
        turn_id: &str,
        chain: &Chain,
        input: &[u8],
        output: &[u8],
        deadline: Instant,
    ) -> Result<Rc<Chain>> {
        let limit_bytes = self.row_limit_bytes - ROW_MARGIN_BYTES;
        let turn = chain.extended(input, output, limit_bytes);
        let value = postcard::to_stdvec(&turn)
            .map_err(|error| StoreError::Unreachable(error.to_string()))?;
        self.write(turn_id, value.into(), deadline).await?;
        let chain = chain.continued(turn_id.to_string(), &turn, input, output);
        let chain = Rc::new(chain);
        let mut cache = self.cache.borrow_mut();
        cache.insert(turn_id.to_string(), chain.clone());
        Ok(chain)
    }

    /// Writes the row of a turn to one place after the other until one of them takes it.
    async fn write(&self, turn_id: &str, value: Bytes, deadline: Instant) -> Result<()> {
        let mut pause = RETRY_PAUSES.0;
        loop {
            let mut failure = StoreError::Outage;
            for place in PLACES {
                let write = RowWrite {
                    row: row_key(turn_id, place),
                    value: Some(value.clone()),
                };
                match self.writer.write_once(write, deadline).await {
                    Ok(()) => return Ok(()),
                    Err(error) => failure = error,
                }
            }
            if Instant::now() + pause >= deadline {
                return Err(failure);
            }
            self.store.timer().sleep(pause).await;
            pause = (pause * 2).min(RETRY_PAUSES.1);
        }
    }

    /// The chains in memory, shared with the admission of turns.
    pub fn cache(&self) -> Rc<RefCell<ChainCache>> {
        self.cache.clone()
    }
}

fn row_key(turn_id: &str, place: &str) -> RowKey {
    RowKey {
        table: TABLE,
        partition: format!("{turn_id}{place}"),
        key: KEY.to_string(),
    }
}
