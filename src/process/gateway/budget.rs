//! Asks the gateway that looks after a program to admit its turns.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::account::GrantId;
use super::directory::Directory;
use super::ledger::{Admission, Ledger, TurnBudget};
use super::peers::{AdmitAnswer, AdmitRequest, AdmitVerdict, SettleRequest};
use super::servers::Servers;
use super::store::{Result, StoreError};
use crate::connection::http_client::HttpClient;

/// Longest time for the answer of a peer that does not need the store. A peer that takes longer is
/// not asked for `SUSPECT_TIME`.
const PEER_TIME: Duration = Duration::from_millis(150);
/// Time added for the store calls of the peer.
const STORE_TIME: Duration = Duration::from_millis(850);
/// Time for which a peer that did not answer is not asked.
const SUSPECT_TIME: Duration = Duration::from_secs(2);
/// Longest answer of a peer.
const ANSWER_LIMIT_BYTES: usize = 1 << 20;
/// Attempts to report what a turn has spent.
const SETTLE_ATTEMPTS: u32 = 3;

/// Where a turn's tokens are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keeper {
    /// At this gateway.
    Own,
    /// At a peer.
    Peer(SocketAddr),
}

/// Admits turns, at this gateway or through a peer; clones share their state.
#[derive(Clone)]
pub struct Budgets {
    shared: Rc<Shared>,
}

struct Shared {
    ledger: Ledger,
    http: HttpClient,
    directory: Rc<Directory>,
    servers: Rc<Servers>,
    suspects: RefCell<IndexMap<SocketAddr, Instant>>,
}

/// How a turn was admitted.
pub enum Outcome {
    /// The turn may run.
    Reserved(Reservation),
    /// The budget is spent; the turn must not run.
    Exceeded {
        /// Tokens that count as spent.
        spent_tokens: u64,
    },
}

impl Budgets {
    /// Makes an admission that uses the ledger of this gateway and those of its peers.
    pub fn new(
        ledger: Ledger,
        http: HttpClient,
        directory: Rc<Directory>,
        servers: Rc<Servers>,
    ) -> Self {
        let shared = Shared {
            ledger,
            http,
            directory,
            servers,
            suspects: RefCell::default(),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Admits a turn that must end by `deadline`.
    pub async fn reserve(&self, turn: TurnBudget, deadline: Instant) -> Result<Outcome> {
        let keeper = self.keeper_of(&turn.program_id);
        let admission = match keeper {
            Keeper::Own => None,
            Keeper::Peer(peer) => self.ask(peer, &turn, deadline).await?,
        };
        let (keeper, admission) = match admission {
            Some(admission) => (keeper, admission),
            None => {
                let ledger = &self.shared.ledger;
                (Keeper::Own, ledger.admit(&turn, deadline).await?)
            }
        };
        match admission {
            Admission::Granted(grant_id) => Ok(Outcome::Reserved(Reservation {
                budgets: self.clone(),
                keeper,
                program_id: turn.program_id,
                grant_id,
                spent_tokens: Cell::new(0),
            })),
            Admission::Exceeded { spent_tokens } => Ok(Outcome::Exceeded { spent_tokens }),
        }
    }

    fn keeper_of(&self, program_id: &str) -> Keeper {
        let now = Instant::now();
        let mut suspects = self.shared.suspects.borrow_mut();
        suspects.retain(|_, since| now.saturating_duration_since(*since) < SUSPECT_TIME);
        match self.shared.directory.peer_for(program_id.as_bytes()) {
            Some(peer) if !suspects.contains_key(&peer) => Keeper::Peer(peer),
            _ => Keeper::Own,
        }
    }

    /// Asks a peer; `None` if it does not answer.
    async fn ask(
        &self,
        peer: SocketAddr,
        turn: &TurnBudget,
        deadline: Instant,
    ) -> Result<Option<Admission>> {
        let left = deadline.saturating_duration_since(Instant::now());
        let request = AdmitRequest {
            turn: turn.clone(),
            time_left_ms: left.as_millis() as u64,
            loads: self.shared.servers.shared_loads(Instant::now()),
        };
        let limit = (PEER_TIME + STORE_TIME).min(left);
        let http = &self.shared.http;
        let answer = http
            .fetch(peer, request.encode(), limit, ANSWER_LIMIT_BYTES)
            .await;
        let answer = answer.ok().and_then(|answer| AdmitAnswer::decode(&answer));
        if let Some(answer) = &answer {
            let servers = &self.shared.servers;
            servers.merge_loads(&answer.loads, Instant::now());
        }
        match answer.map(|answer| answer.verdict) {
            Some(AdmitVerdict::Admission(admission)) => Ok(Some(admission)),
            Some(AdmitVerdict::StoreUnavailable) => Err(StoreError::Outage),
            None => {
                log::info!(peer:% = peer, program_id = turn.program_id;
                    "peer did not admit a turn in time, counting at this gateway");
                let mut suspects = self.shared.suspects.borrow_mut();
                suspects.insert(peer, Instant::now());
                Ok(None)
            }
        }
    }

    fn settle(&self, keeper: Keeper, program_id: String, grant_id: GrantId, spent_tokens: u64) {
        let peer = match keeper {
            Keeper::Own => {
                self.shared
                    .ledger
                    .settle(&program_id, grant_id, spent_tokens);
                return;
            }
            Keeper::Peer(peer) => peer,
        };
        let request = SettleRequest {
            program_id,
            grant_id,
            spent_tokens,
        };
        let http = self.shared.http.clone();
        monoio::spawn(async move {
            for _ in 0..SETTLE_ATTEMPTS {
                let sent = http.fetch(peer, request.encode(), PEER_TIME, ANSWER_LIMIT_BYTES);
                if sent.await.is_ok() {
                    return;
                }
            }
            // The peer counts the turn as having spent all it could.
            log::info!(peer:% = peer, program_id = request.program_id;
                "spending could not be reported");
        });
    }

    /// Answers a peer that asks to admit a turn.
    pub async fn answer(&self, request: AdmitRequest) -> AdmitAnswer {
        let now = Instant::now();
        let deadline = now + Duration::from_millis(request.time_left_ms);
        self.shared.servers.merge_loads(&request.loads, now);
        let verdict = match self.shared.ledger.admit(&request.turn, deadline).await {
            Ok(admission) => AdmitVerdict::Admission(admission),
            Err(error) => {
                log::debug!(program_id = request.turn.program_id; "turn not admitted: {error}");
                AdmitVerdict::StoreUnavailable
            }
        };
        let loads = self.shared.servers.shared_loads(Instant::now());
        AdmitAnswer { verdict, loads }
    }

    /// Records what a peer reports.
    pub fn record(&self, report: &SettleRequest) {
        let ledger = &self.shared.ledger;
        ledger.settle(&report.program_id, report.grant_id, report.spent_tokens);
    }
}

/// The reserved tokens of a turn. Dropping it settles the turn with what was spent.
pub struct Reservation {
    budgets: Budgets,
    keeper: Keeper,
    program_id: String,
    grant_id: GrantId,
    spent_tokens: Cell<u64>,
}

impl Reservation {
    /// Counts tokens that are about to be handed to the caller.
    pub fn spend(&self, tokens: u64) {
        self.spent_tokens.set(self.spent_tokens.get() + tokens);
    }

    /// Where the tokens are counted.
    pub fn keeper(&self) -> Keeper {
        self.keeper
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let program_id = std::mem::take(&mut self.program_id);
        let spent_tokens = self.spent_tokens.get();
        self.budgets
            .settle(self.keeper, program_id, self.grant_id, spent_tokens);
    }
}
