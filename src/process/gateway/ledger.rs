//! What each program has spent of its token budget.
//!
//! One gateway looks after each program, found by rendezvous hashing over the live gateways; the
//! others ask it to admit turns. If it does not answer, a gateway looks after the program itself: any
//! number of gateways may do so at once, because each one counts in rows of its own and takes the rows
//! of the others into account, see [`account`](super::account).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use indexmap::IndexMap;
use sapphireford_platform::store::{RowKey, RowWrite};
use serde::{Deserialize, Serialize};

use super::account::{Account, GrantId, Verdict};
use super::store::{Result, Store, StoreError};
use super::writer::StoreWriter;
use crate::ids::BackendServerId;
use crate::process::notify::Notify;

const TABLE: &str = "program-spending";
/// Time without a turn after which an account returns what it does not need. It is longer than the
/// pauses of most programs between two turns.
const IDLE_TIME: Duration = Duration::from_secs(3);
/// Time for an extension ahead of need.
const AHEAD_TIME: Duration = Duration::from_secs(3);

/// A turn that wants to run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnBudget {
    /// The program that pays.
    pub program_id: String,
    /// Most tokens that the turn can generate.
    pub max_tokens: u64,
    /// Tokens that all turns of the program may generate.
    pub budget_tokens: u64,
}

/// How the admission of a turn ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// The turn may run.
    Granted(GrantId),
    /// The budget is spent; the turn must not run.
    Exceeded {
        /// Tokens that count as spent.
        spent_tokens: u64,
    },
}

/// The account of a program and its rows.
struct Holding {
    account: RefCell<Account>,
    /// The rows of this account, with their tokens.
    rows: RefCell<Vec<(RowKey, u64)>>,
    /// The server that completed the last turn, which has the prefix of the next one in its cache.
    prefix_holder: RefCell<Option<BackendServerId>>,
    /// Whether an extension is in progress.
    is_extending: Cell<bool>,
    changed: Notify,
}

struct Book {
    store: Store,
    writer: StoreWriter,
    /// Unique for each start of each gateway, so that no two write the same row.
    writer_id: String,
    next_row: Cell<u64>,
    holdings: RefCell<IndexMap<String, Rc<Holding>>>,
}

/// The accounts that this gateway looks after; clones share them.
#[derive(Clone)]
pub struct Ledger {
    book: Rc<Book>,
}

impl Ledger {
    /// Makes a ledger without accounts. `writer_id` is unique for each start of each gateway.
    pub fn new(store: Store, writer: StoreWriter, writer_id: String) -> Self {
        let book = Book {
            store,
            writer,
            writer_id,
            next_row: Cell::new(1),
            holdings: RefCell::default(),
        };
        Self {
            book: Rc::new(book),
        }
    }

    /// Admits a turn that must end by `deadline`.
    pub async fn admit(&self, turn: &TurnBudget, deadline: Instant) -> Result<Admission> {
        let holding = self.holding(turn);
        loop {
            let now = Instant::now();
            let verdict = holding
                .account
                .borrow_mut()
                .admit(turn.max_tokens, deadline, now);
            let needed = match verdict {
                Verdict::Granted(grant_id) => {
                    self.extend_ahead(&turn.program_id, &holding);
                    return Ok(Admission::Granted(grant_id));
                }
                Verdict::Exceeded { spent_tokens } => {
                    return Ok(Admission::Exceeded { spent_tokens });
                }
                Verdict::NeedsTokens(needed) => needed,
            };
            if now >= deadline || !self.book.store.is_available() {
                return Err(StoreError::Outage);
            }
            if holding.is_extending.get() {
                let seen = holding.changed.changes();
                let changed = holding.changed.changed_since(seen);
                let timer = self.book.store.timer();
                // At the deadline, the loop ends above.
                let _ = timer.timeout_at(deadline, changed).await;
                continue;
            }
            let program_id = &turn.program_id;
            self.extend(program_id, &holding, needed, turn.max_tokens, deadline)
                .await?;
        }
    }

    /// The server that completed the last turn of a program, if that was a short time ago.
    pub fn prefix_holder(&self, program_id: &str) -> Option<BackendServerId> {
        let holdings = self.book.holdings.borrow();
        holdings.get(program_id)?.prefix_holder.borrow().clone()
    }

    /// Records what an admitted turn has spent, and the server that completed it.
    pub fn settle(
        &self,
        program_id: &str,
        grant_id: GrantId,
        spent_tokens: u64,
        completed_by: Option<BackendServerId>,
    ) {
        let holding = self.book.holdings.borrow().get(program_id).cloned();
        if let Some(holding) = holding {
            if completed_by.is_some() {
                holding.prefix_holder.replace(completed_by);
            }
            let now = Instant::now();
            holding
                .account
                .borrow_mut()
                .settle(grant_id, spent_tokens, now);
            self.extend_ahead(program_id, &holding);
        }
    }

    /// Returns what idle programs do not need.
    pub fn close_idle(&self, now: Instant) {
        self.close_after(IDLE_TIME, now);
    }

    /// Returns all that is not in use, because this gateway stops.
    pub fn close_all(&self) {
        self.close_after(Duration::ZERO, Instant::now());
    }

    fn close_after(&self, idle_time: Duration, now: Instant) {
        self.book.holdings.borrow_mut().retain(|_, holding| {
            holding.account.borrow_mut().expire(now);
            let is_in_use = Rc::strong_count(holding) > 1;
            if is_in_use || holding.is_extending.get() {
                return true;
            }
            let unused = holding.account.borrow().tokens_to_return(idle_time, now);
            let Some(unused) = unused else {
                return true;
            };
            self.give_back(holding, unused);
            false
        });
    }

    fn holding(&self, turn: &TurnBudget) -> Rc<Holding> {
        let mut holdings = self.book.holdings.borrow_mut();
        let new = || {
            Rc::new(Holding {
                account: RefCell::new(Account::new(turn.budget_tokens, Instant::now())),
                rows: RefCell::default(),
                prefix_holder: RefCell::default(),
                is_extending: Cell::new(false),
                changed: Notify::default(),
            })
        };
        holdings
            .entry(turn.program_id.clone())
            .or_insert_with(new)
            .clone()
    }

    /// Starts an extension if the next turn would have to wait for one.
    fn extend_ahead(&self, program_id: &str, holding: &Rc<Holding>) {
        let ahead = holding.account.borrow().tokens_to_reserve_ahead();
        let Some(ahead) = ahead else { return };
        if holding.is_extending.get() || !self.book.store.is_available() {
            return;
        }
        let ledger = self.clone();
        let program_id = program_id.to_string();
        let holding = holding.clone();
        monoio::spawn(async move {
            let deadline = Instant::now() + AHEAD_TIME;
            let extended = ledger.extend(&program_id, &holding, ahead, 0, deadline);
            if let Err(error) = extended.await {
                log::debug!(program_id = program_id; "reservation not extended: {error}");
            }
        });
    }

    /// Reserves `added` more tokens, and reads what others have reserved.
    async fn extend(
        &self,
        program_id: &str,
        holding: &Rc<Holding>,
        added: u64,
        max_tokens: u64,
        deadline: Instant,
    ) -> Result<()> {
        let _extending = Extending::start(holding);
        let mut pending = PendingRow {
            writer: &self.book.writer,
            row: self.new_row(program_id),
            is_kept: false,
        };
        let row = pending.row.clone();
        let write = encode(row.clone(), added);
        self.book.writer.write_once(write, deadline).await?;
        let store = &self.book.store;
        let read = store.read_all(TABLE, &row.partition, "", deadline);
        let page = read.await?;
        pending.is_kept = true;
        let mut own_rows = holding.rows.borrow_mut();
        let is_own = |key: &str| key == row.key || own_rows.iter().any(|(own, _)| own.key == key);
        let others = page.rows.iter().filter(|row| !is_own(&row.key));
        let others_tokens = others.map(decode).sum();
        let account = &mut holding.account.borrow_mut();
        let returned = account.extend(added, others_tokens, max_tokens);
        let kept = added - returned;
        own_rows.push((row.clone(), kept));
        if returned > 0 {
            self.book.writer.write_later(encode(row, kept));
        }
        Ok(())
    }

    /// Writes the rows of an account again so that they hold `unused` tokens less.
    fn give_back(&self, holding: &Holding, mut unused: u64) {
        for (row, tokens) in holding.rows.borrow_mut().iter_mut().rev() {
            if unused == 0 {
                return;
            }
            let returned = unused.min(*tokens);
            if returned > 0 {
                *tokens -= returned;
                unused -= returned;
                self.book.writer.write_later(encode(row.clone(), *tokens));
            }
        }
    }

    fn new_row(&self, program_id: &str) -> RowKey {
        let number = self.book.next_row.get();
        self.book.next_row.set(number + 1);
        RowKey {
            table: TABLE,
            // The transactions of one partition wait for each other.
            partition: program_id.to_string(),
            key: format!("{}-{number}", self.book.writer_id),
        }
    }
}

/// A row that may become durable although the call that writes it fails or is given up. Dropping it
/// takes its tokens back unless the account counts them.
struct PendingRow<'a> {
    writer: &'a StoreWriter,
    row: RowKey,
    is_kept: bool,
}

impl Drop for PendingRow<'_> {
    fn drop(&mut self) {
        if !self.is_kept {
            self.writer.write_later(encode(self.row.clone(), 0));
        }
    }
}

/// Marks an extension as in progress until it is dropped.
struct Extending(Rc<Holding>);

impl Extending {
    fn start(holding: &Rc<Holding>) -> Self {
        holding.is_extending.set(true);
        Self(holding.clone())
    }
}

impl Drop for Extending {
    fn drop(&mut self) {
        self.0.is_extending.set(false);
        self.0.changed.notify();
    }
}

fn encode(row: RowKey, tokens: u64) -> RowWrite {
    let value = Some(Bytes::from(tokens.to_string()));
    RowWrite { row, value }
}

fn decode(row: &sapphireford_platform::store::Row) -> u64 {
    let text = row
        .value
        .as_deref()
        .and_then(|value| std::str::from_utf8(value).ok());
    match text.and_then(|text| text.parse().ok()) {
        Some(tokens) => tokens,
        None => {
            log::error!(row = row.key, row_version = row.version; "spending row is not a number");
            0
        }
    }
}
