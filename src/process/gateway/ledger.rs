//! What each program has spent of its token budget.
//!
//! Every attempt of a turn has a row of its own below its program. The row is written with the most
//! that the turn can generate before the turn goes to a server, and again with what it did generate.
//! An attempt reads the rows of the others after its own row is durable, so of two attempts at the
//! same time at least one sees the other.

use std::cell::Cell;
use std::time::Instant;

use bytes::Bytes;
use sapphireford_platform::store::{RowKey, RowWrite};
use serde::{Deserialize, Serialize};

use super::store::{Result, Store};
use super::writer::StoreWriter;
use crate::process::slots::placement::hash_bytes;

const TABLE: &str = "program-spending";
/// Partitions of the table. Programs are spread over them, because a partition takes a limited
/// number of transactions a second.
const PARTITIONS: u64 = 64;

/// One attempt of a turn, as its row holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spending {
    /// Tokens that the attempt may have generated, or did generate once it has ended.
    pub tokens: u64,
    /// Whether the attempt has ended, so that `tokens` is exact.
    pub is_settled: bool,
}

/// Whether a turn may run, given what the other attempts of its program have spent at the most.
///
/// The turn may exceed the budget by its own tokens, as the budget allows the last turn to.
pub fn is_within_budget(others_tokens: u64, budget_tokens: u64) -> bool {
    others_tokens < budget_tokens
}

/// Keeps the spending of programs in the store.
#[derive(Clone)]
pub struct Ledger {
    store: Store,
    writer: StoreWriter,
}

/// A turn that wants to run.
#[derive(Clone, Debug)]
pub struct TurnBudget {
    /// The program that pays.
    pub program_id: String,
    /// This attempt; unique within the program.
    pub attempt_id: String,
    /// Most tokens that the turn can generate.
    pub max_tokens: u64,
    /// Tokens that all turns of the program may generate.
    pub budget_tokens: u64,
}

/// How a reservation ended.
pub enum Admission {
    /// The turn may run.
    Reserved(Reservation),
    /// The budget is spent; the turn must not run.
    Exceeded {
        /// What the other attempts have spent at the most.
        others_tokens: u64,
    },
}

impl Ledger {
    /// Makes a ledger in a store.
    pub fn new(store: Store, writer: StoreWriter) -> Self {
        Self { store, writer }
    }

    /// Reserves the tokens of a turn.
    pub async fn reserve(&self, turn: &TurnBudget, deadline: Instant) -> Result<Admission> {
        let row = row_key(&turn.program_id, &turn.attempt_id);
        let reservation = Reservation {
            writer: self.writer.clone(),
            row: row.clone(),
            spent_tokens: Cell::new(0),
        };
        let spending = Spending {
            tokens: turn.max_tokens,
            is_settled: false,
        };
        self.writer
            .write(encode(row.clone(), spending), deadline)
            .await?;
        let prefix = format!("{}/", turn.program_id);
        let rows = self
            .store
            .read_all(TABLE, &row.partition, &prefix, deadline);
        let others = rows
            .await?
            .rows
            .into_iter()
            .filter(|other| other.key != row.key);
        let others_tokens = others
            .filter_map(|other| other.value)
            .map(|value| decode(&value).map_or(0, |spending| spending.tokens))
            .sum();
        if is_within_budget(others_tokens, turn.budget_tokens) {
            Ok(Admission::Reserved(reservation))
        } else {
            Ok(Admission::Exceeded { others_tokens })
        }
    }
}

fn row_key(program_id: &str, attempt_id: &str) -> RowKey {
    let partition = hash_bytes(program_id.as_bytes()) % PARTITIONS;
    RowKey {
        table: TABLE,
        partition: format!("{partition:02}"),
        key: format!("{program_id}/{attempt_id}"),
    }
}

fn encode(row: RowKey, spending: Spending) -> RowWrite {
    let kind = if spending.is_settled { 's' } else { 'r' };
    let value = Bytes::from(format!("{kind}{}", spending.tokens));
    RowWrite {
        row,
        value: Some(value),
    }
}

fn decode(value: &[u8]) -> Option<Spending> {
    let text = std::str::from_utf8(value).ok()?;
    let tokens = text.get(1..)?.parse().ok()?;
    let is_settled = text.starts_with('s');
    Some(Spending { tokens, is_settled })
}

/// The reserved tokens of a turn. Dropping it settles the turn with what was spent.
pub struct Reservation {
    writer: StoreWriter,
    row: RowKey,
    spent_tokens: Cell<u64>,
}

impl Reservation {
    /// Counts tokens that are about to be handed to the caller.
    pub fn spend(&self, tokens: u64) {
        self.spent_tokens.set(self.spent_tokens.get() + tokens);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let spending = Spending {
            tokens: self.spent_tokens.get(),
            is_settled: true,
        };
        self.writer.write_later(encode(self.row.clone(), spending));
    }
}
