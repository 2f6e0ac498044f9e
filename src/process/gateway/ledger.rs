//! The token accounts of programs at this gateway, and their rows in the store.
//!
//! One gateway owns the account of a program, chosen by rendezvous hashing over the live gateways;
//! the others ask it to admit turns. If it does not respond, a gateway opens an account of its own.
//! Any number of gateways may have an account of the same program at once, because each one
//! reserves tokens in rows of its own and counts the rows of the others as spent; see
//! [`account`](super::account).

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use indexmap::IndexMap;
use sapphireford_platform::store::{RowKey, RowWrite};
use serde::{Deserialize, Serialize};

use super::account::{self, Account, Decision, GrantId};
use super::history::TurnId;
use super::store::{Creation, Result, Store, StoreError};
use super::stream_origins::{self, StreamOrigin};
use super::writer::StoreWriter;
use crate::ids::BackendServerId;
use crate::process::notify::Notify;
use crate::process::overload::recent::{BEGUN_PERIOD, Recent};
use crate::process::slots::placement::hash_bytes;

const TABLE: &str = "program-spending";
/// Time without a turn after which an account returns its unused tokens. It is longer than the
/// pauses of most programs between two turns.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Half of the most programs that are remembered as begun: 16 bytes each.
const MAX_BEGUN: usize = 8_192;
/// Timeout of an extension that no turn waits for.
const BACKGROUND_EXTENSION_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for the end of the first part of a turn that is taken up. It is reported in a
/// millisecond, if the gateway that served it is alive.
const INTERRUPTION_TIMEOUT: Duration = Duration::from_millis(150);

/// A turn to be admitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnBudget {
    /// The program whose budget is charged.
    pub program_id: String,
    /// Largest number of tokens that the turn can generate.
    pub max_tokens: u64,
    /// Tokens that all turns of the program together may generate.
    pub budget_tokens: u64,
}

/// The place of a request in its turn, if the turn may be taken up again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnPart {
    /// Id of the attempt that began the turn.
    pub turn_id: TurnId,
    /// Tokens of the events that the caller does not have, if it takes the turn up.
    pub rest_tokens: Option<u64>,
}

/// The result of the admission of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Admission {
    /// The turn may run; it is settled under this id.
    Granted(GrantId),
    /// The budget is spent; the turn must not run.
    Exceeded {
        /// Tokens counted as spent by all gateways, including those of turns in flight.
        spent_tokens: u64,
    },
}

/// The account of a program and its rows.
struct ProgramState {
    account: RefCell<Account>,
    /// The rows written for this account, with the tokens that they reserve.
    rows: RefCell<Vec<(RowKey, u64)>>,
    /// The server that completed the last turn and has the prefix of the next one in its cache.
    prefix_holder: RefCell<Option<BackendServerId>>,
    /// The origin of the program's streams that have no row of their own, as it is in the store;
    /// `None` if it is not known.
    stream_origin: Cell<Option<StreamOrigin>>,
    /// At most one extension of an account is in flight.
    is_extending: Cell<bool>,
    /// Notified when an extension has ended.
    changed: Notify,
    /// Notified when a turn was settled.
    settled: Notify,
}

struct Shared {
    store: Store,
    writer: StoreWriter,
    /// Unique for each start of each gateway, so that no two of them write the same row.
    writer_id: String,
    next_row_number: Cell<u64>,
    programs: RefCell<IndexMap<String, Rc<ProgramState>>>,
    /// Programs of which a turn has completed, by the hashes of their ids. They are known for longer
    /// than their accounts, which are closed during long tool calls.
    begun: RefCell<Recent<()>>,
}

/// The program accounts of this gateway; clones share them.
#[derive(Clone)]
pub struct Ledger {
    shared: Rc<Shared>,
}

impl Ledger {
    /// Makes a ledger without accounts. `writer_id` is unique for each start of each gateway.
    pub fn new(store: Store, writer: StoreWriter, writer_id: String) -> Self {
        let shared = Shared {
            store,
            writer,
            writer_id,
            next_row_number: Cell::new(1),
            programs: RefCell::default(),
            begun: RefCell::new(Recent::new(BEGUN_PERIOD, MAX_BEGUN, Instant::now())),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Admits a turn that must end by `deadline`, or the rest of one that was interrupted.
    ///
    /// If the account is opened for it, the streams of the program get `proposed_origin` unless they
    /// have one; `None` if the turn cannot be resumed.
    pub async fn admit(
        &self,
        turn: &TurnBudget,
        part: Option<&TurnPart>,
        proposed_origin: Option<StreamOrigin>,
        deadline: Instant,
    ) -> Result<Admission> {
        let program = self.program_state(turn);
        let rest = part.and_then(|part| Some((part.turn_id.as_str(), part.rest_tokens?)));
        if let Some((turn_id, rest_tokens)) = rest {
            let mut account = program.account.borrow_mut();
            let now = Instant::now();
            let decision = account.admit_rest(turn_id, rest_tokens, deadline, now);
            if let Decision::Granted(grant_id) = decision {
                return Ok(Admission::Granted(grant_id));
            }
        }
        loop {
            let now = Instant::now();
            let decision = program
                .account
                .borrow_mut()
                .admit(turn.max_tokens, deadline, now);
            let needed_tokens = match decision {
                Decision::Granted(grant_id) => {
                    if let Some(part) = part {
                        let mut account = program.account.borrow_mut();
                        account.name_turn(grant_id, &part.turn_id);
                    }
                    self.extend_in_background(&turn.program_id, &program);
                    return Ok(Admission::Granted(grant_id));
                }
                Decision::Exceeded { spent_tokens } => {
                    let Some((turn_id, rest_tokens)) = rest else {
                        return Ok(Admission::Exceeded { spent_tokens });
                    };
                    let program_id = &turn.program_id;
                    let rest =
                        self.admit_rest(program_id, &program, turn_id, rest_tokens, deadline);
                    return rest.await;
                }
                Decision::NeedsTokens(needed_tokens) => needed_tokens,
            };
            let extension = Extension {
                added_tokens: needed_tokens,
                purpose: Purpose::Turn(turn.max_tokens),
                proposed_origin,
            };
            self.extend_or_wait(&turn.program_id, &program, extension, deadline)
                .await?;
        }
    }

    /// Extends the reservation for a turn that waits, or waits for an extension that is in progress. The
    /// turn must be decided again then.
    async fn extend_or_wait(
        &self,
        program_id: &str,
        program: &Rc<ProgramState>,
        extension: Extension,
        deadline: Instant,
    ) -> Result<()> {
        if Instant::now() >= deadline || !self.shared.store.is_available() {
            return Err(StoreError::Outage);
        }
        if program.is_extending.get() {
            let seen = program.changed.changes();
            let changed = program.changed.changed_since(seen);
            let timer = self.shared.store.timer();
            // A timeout needs no handling: the check of the deadline above ends the wait.
            let _ = timer.timeout_at(deadline, changed).await;
            return Ok(());
        }
        self.extend(program_id, program, extension, deadline).await
    }

    /// Admits the rest of an interrupted turn of a program whose budget is spent.
    async fn admit_rest(
        &self,
        program_id: &str,
        program: &Rc<ProgramState>,
        turn_id: &str,
        rest_tokens: u64,
        deadline: Instant,
    ) -> Result<Admission> {
        let ended = program
            .settled
            .until(|| !program.account.borrow().is_in_flight(turn_id));
        let wait_end = deadline.min(Instant::now() + INTERRUPTION_TIMEOUT);
        let timer = self.shared.store.timer();
        // If the gateway that served the first part is dead, its tokens stay reserved, and the account
        // knows of no interruption.
        let _ = timer.timeout_at(wait_end, ended).await;
        loop {
            let (decision, left_tokens) = {
                let mut account = program.account.borrow_mut();
                let left_tokens = account.left_tokens(turn_id);
                let now = Instant::now();
                let decision = account.admit_rest(turn_id, rest_tokens, deadline, now);
                (decision, left_tokens)
            };
            let added_tokens = match decision {
                Decision::Granted(grant_id) => return Ok(Admission::Granted(grant_id)),
                Decision::Exceeded { spent_tokens } => {
                    return Ok(Admission::Exceeded { spent_tokens });
                }
                Decision::NeedsTokens(added_tokens) => added_tokens,
            };
            let extension = Extension {
                added_tokens,
                purpose: Purpose::Rest(rest_tokens.max(left_tokens)),
                proposed_origin: None,
            };
            self.extend_or_wait(program_id, program, extension, deadline)
                .await?;
        }
    }

    /// The server that completed the last turn of a program; `None` if the program has no account
    /// at this gateway, or no completed turn since the account was opened.
    pub fn prefix_holder(&self, program_id: &str) -> Option<BackendServerId> {
        let programs = self.shared.programs.borrow();
        programs.get(program_id)?.prefix_holder.borrow().clone()
    }

    /// Whether a turn of the program has completed within `BEGUN_PERIOD`, as this gateway knows.
    pub fn has_begun(&self, program_id: &str) -> bool {
        let program = hash_bytes(program_id.as_bytes());
        self.shared.begun.borrow().get(program).is_some()
    }

    /// The origin of the program's streams that have no row of their own; `None` if it is not known.
    pub fn stream_origin(&self, program_id: &str) -> Option<StreamOrigin> {
        let programs = self.shared.programs.borrow();
        programs.get(program_id)?.stream_origin.get()
    }

    /// Settles an admitted turn with the tokens it has spent. `completed_by` is the server that
    /// completed the turn, `None` if it did not complete.
    pub fn settle(
        &self,
        program_id: &str,
        grant_id: GrantId,
        spent_tokens: u64,
        completed_by: Option<BackendServerId>,
    ) {
        if completed_by.is_some() {
            let program = hash_bytes(program_id.as_bytes());
            let mut begun = self.shared.begun.borrow_mut();
            begun.set(program, (), Instant::now());
        }
        let program = self.shared.programs.borrow().get(program_id).cloned();
        if let Some(program) = program {
            let is_complete = completed_by.is_some();
            if is_complete {
                program.prefix_holder.replace(completed_by);
            }
            let now = Instant::now();
            let mut account = program.account.borrow_mut();
            if is_complete {
                account.complete(grant_id);
            }
            let is_settled = account.settle(grant_id, spent_tokens, now);
            drop(account);
            program.settled.notify();
            if !is_settled {
                log::info!(program_id = program_id, grant_id = grant_id, spent_tokens = spent_tokens; "end of a turn not charged: this account has not admitted it, or has charged its maximum");
            }
            self.extend_in_background(program_id, &program);
        }
    }

    /// Closes the accounts of idle programs and returns their unused tokens.
    pub fn close_idle(&self, now: Instant) {
        self.close_idle_for(IDLE_TIMEOUT, now);
    }

    /// Closes all accounts without turns in flight and returns their unused tokens; called on
    /// shutdown.
    pub fn close_all(&self) {
        self.close_idle_for(Duration::ZERO, Instant::now());
    }

    fn close_idle_for(&self, idle_timeout: Duration, now: Instant) {
        self.shared.programs.borrow_mut().retain(|_, program| {
            program.account.borrow_mut().expire(now);
            let is_in_use = Rc::strong_count(program) > 1;
            if is_in_use || program.is_extending.get() {
                return true;
            }
            let unused_tokens = program.account.borrow().tokens_to_return(idle_timeout, now);
            let Some(unused_tokens) = unused_tokens else {
                return true;
            };
            self.return_tokens(program, unused_tokens);
            false
        });
    }

    fn program_state(&self, turn: &TurnBudget) -> Rc<ProgramState> {
        let mut programs = self.shared.programs.borrow_mut();
        let new = || {
            let first_grant_id = account::first_grant_id(&mut rand::rng());
            let account = Account::new(turn.budget_tokens, first_grant_id, Instant::now());
            Rc::new(ProgramState {
                account: RefCell::new(account),
                rows: RefCell::default(),
                prefix_holder: RefCell::default(),
                stream_origin: Cell::new(None),
                is_extending: Cell::new(false),
                changed: Notify::default(),
                settled: Notify::default(),
            })
        };
        programs
            .entry(turn.program_id.clone())
            .or_insert_with(new)
            .clone()
    }

    /// Extends the reservation in a background task if the account runs low.
    fn extend_in_background(&self, program_id: &str, program: &Rc<ProgramState>) {
        let tokens = program.account.borrow().tokens_to_reserve_ahead();
        let Some(tokens) = tokens else { return };
        if program.is_extending.get() || !self.shared.store.is_available() {
            return;
        }
        let ledger = self.clone();
        let program_id = program_id.to_string();
        let program = program.clone();
        monoio::spawn(async move {
            let deadline = Instant::now() + BACKGROUND_EXTENSION_TIMEOUT;
            let extension = Extension {
                added_tokens: tokens,
                purpose: Purpose::Ahead,
                proposed_origin: None,
            };
            let extended = ledger.extend(&program_id, &program, extension, deadline);
            if let Err(error) = extended.await {
                log::debug!(program_id = program_id;
                    "failed to extend a reservation in the background: {error}");
            }
        });
    }

    /// Reserves more tokens, then reads what other gateways have reserved.
    async fn extend(
        &self,
        program_id: &str,
        program: &Rc<ProgramState>,
        extension: Extension,
        deadline: Instant,
    ) -> Result<()> {
        let Extension {
            added_tokens,
            purpose,
            proposed_origin,
        } = extension;
        let _guard = ExtensionGuard::start(program);
        let mut pending = PendingRow {
            writer: &self.shared.writer,
            row: self.next_row_key(program_id),
            is_counted: false,
        };
        let row = pending.row.clone();
        let write = encode_row(row.clone(), added_tokens);
        let proposed_origin = proposed_origin.filter(|_| program.stream_origin.get().is_none());
        match proposed_origin {
            Some(origin) => {
                self.write_with_origin(program_id, program, write, origin, deadline)
                    .await?;
            }
            None => self.shared.writer.write_once(write, deadline).await?,
        }
        let store = &self.shared.store;
        let read = store.read_all(TABLE, &row.partition, "", deadline);
        let page = read.await?;
        pending.is_counted = true;
        let mut own_rows = program.rows.borrow_mut();
        let is_own = |key: &str| key == row.key || own_rows.iter().any(|(own, _)| own.key == key);
        let others = page.rows.iter().filter(|row| !is_own(&row.key));
        let other_gateways_tokens = others.map(decode_tokens).fold(0, u64::saturating_add);
        let account = &mut program.account.borrow_mut();
        let returned_tokens = match purpose {
            Purpose::Turn(max_tokens) => {
                account.extend(added_tokens, other_gateways_tokens, max_tokens)
            }
            Purpose::Rest(rest_tokens) => {
                account.extend_for_rest(added_tokens, other_gateways_tokens, rest_tokens)
            }
            Purpose::Ahead => account.extend(added_tokens, other_gateways_tokens, 0),
        };
        let retained_tokens = added_tokens - returned_tokens;
        own_rows.push((row.clone(), retained_tokens));
        if returned_tokens > 0 {
            self.shared
                .writer
                .write_deferred(encode_row(row, retained_tokens));
        }
        Ok(())
    }

    /// Writes a spending row, and with it the origin of the program's streams if they have none.
    async fn write_with_origin(
        &self,
        program_id: &str,
        program: &ProgramState,
        write: RowWrite,
        origin: StreamOrigin,
        deadline: Instant,
    ) -> Result<()> {
        let origin_row = stream_origins::program_row(program_id, origin);
        let spending_row = std::slice::from_ref(&write);
        let store = &self.shared.store;
        match store.create(origin_row, spending_row, deadline).await? {
            Creation::Created => {
                program.stream_origin.set(Some(origin));
                Ok(())
            }
            Creation::Exists(value) => {
                let known = stream_origins::decode_program_origin(&value);
                program.stream_origin.set(known);
                self.shared.writer.write_once(write, deadline).await
            }
        }
    }

    /// Overwrites the rows of an account, the newest first, so that they reserve `unused_tokens`
    /// less.
    fn return_tokens(&self, program: &ProgramState, mut unused_tokens: u64) {
        for (row, tokens) in program.rows.borrow_mut().iter_mut().rev() {
            if unused_tokens == 0 {
                return;
            }
            let returned_tokens = unused_tokens.min(*tokens);
            if returned_tokens > 0 {
                *tokens -= returned_tokens;
                unused_tokens -= returned_tokens;
                self.shared
                    .writer
                    .write_deferred(encode_row(row.clone(), *tokens));
            }
        }
    }

    fn next_row_key(&self, program_id: &str) -> RowKey {
        let number = self.shared.next_row_number.get();
        self.shared.next_row_number.set(number + 1);
        RowKey {
            table: TABLE,
            // A partition for each program, because the store serializes the transactions of one
            // partition.
            partition: program_id.to_string(),
            key: format!("{}-{number}", self.shared.writer_id),
        }
    }
}

/// An extension of the reservation of an account.
struct Extension {
    added_tokens: u64,
    purpose: Purpose,
    /// The origin of the program's streams if they have none yet.
    proposed_origin: Option<StreamOrigin>,
}

/// What waits for an extension.
enum Purpose {
    /// A turn with this maximum of tokens.
    Turn(u64),
    /// The rest of an interrupted turn.
    Rest(u64),
    /// Nothing: the tokens are reserved ahead.
    Ahead,
}

/// A row that may become durable even if its write fails or is cancelled. Dropping it sets the row
/// to 0 tokens unless the account counts them.
struct PendingRow<'a> {
    writer: &'a StoreWriter,
    row: RowKey,
    is_counted: bool,
}

impl Drop for PendingRow<'_> {
    fn drop(&mut self) {
        if !self.is_counted {
            self.writer.write_deferred(encode_row(self.row.clone(), 0));
        }
    }
}

/// Marks an extension as in flight until it is dropped.
struct ExtensionGuard(Rc<ProgramState>);

impl ExtensionGuard {
    fn start(program: &Rc<ProgramState>) -> Self {
        program.is_extending.set(true);
        Self(program.clone())
    }
}

impl Drop for ExtensionGuard {
    fn drop(&mut self) {
        self.0.is_extending.set(false);
        self.0.changed.notify();
    }
}

fn encode_row(row: RowKey, tokens: u64) -> RowWrite {
    let value = Some(Bytes::from(tokens.to_string()));
    RowWrite { row, value }
}

fn decode_tokens(row: &sapphireford_platform::store::Row) -> u64 {
    let text = row
        .value
        .as_deref()
        .and_then(|value| std::str::from_utf8(value).ok());
    match text.and_then(|text| text.parse().ok()) {
        Some(tokens) => tokens,
        None => {
            log::error!(row = row.key, row_version = row.version;
                "spending row is not a number; counting it as 0 tokens");
            0
        }
    }
}
