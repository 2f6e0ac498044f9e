//! Asks the gateway that looks after a program to admit its turns.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::account::GrantId;
use super::directory::Directory;
use super::history::{Chain, ChainCache, TurnId};
use super::ledger::{Admission, Ledger, TurnBudget};
use super::peers::{AdmitAnswer, AdmitRequest, AdmitVerdict, SettleRequest};
use super::servers::Servers;
use super::store::{Result, StoreError};
use crate::connection::http_client::HttpClient;
use crate::ids::BackendServerId;

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
    chains: Rc<RefCell<ChainCache>>,
    suspects: RefCell<IndexMap<SocketAddr, Instant>>,
}

/// How a turn was admitted.
pub enum Outcome {
    /// The turn may run.
    Reserved(Box<Admitted>),
    /// The budget is spent; the turn must not run.
    Exceeded {
        /// Tokens that count as spent.
        spent_tokens: u64,
    },
}

/// A turn that may run, with what the gateway that looks after its program knows.
pub struct Admitted {
    /// Holds the tokens of the turn.
    pub reservation: Reservation,
    /// The chain that the turn continues, if a peer has it.
    pub chain: Option<Chain>,
    /// The server that completed the last turn of the program.
    pub prefix_holder: Option<BackendServerId>,
}

/// The answer of the gateway that looks after a program.
struct Answer {
    admission: Admission,
    chain: Option<Chain>,
    prefix_holder: Option<BackendServerId>,
}

impl Budgets {
    /// Makes an admission that uses the ledger of this gateway and those of its peers.
    pub fn new(
        ledger: Ledger,
        http: HttpClient,
        directory: Rc<Directory>,
        servers: Rc<Servers>,
        chains: Rc<RefCell<ChainCache>>,
    ) -> Self {
        let shared = Shared {
            ledger,
            http,
            directory,
            servers,
            chains,
            suspects: RefCell::default(),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Admits a turn that must end by `deadline`, and looks for the chain that it continues.
    pub async fn reserve(
        &self,
        turn: TurnBudget,
        previous_turn_id: Option<&str>,
        deadline: Instant,
    ) -> Result<Outcome> {
        let keeper = self.keeper_of(&turn.program_id);
        let answer = match keeper {
            Keeper::Own => None,
            Keeper::Peer(peer) => self.ask(peer, &turn, previous_turn_id, deadline).await?,
        };
        let (keeper, answer) = match answer {
            Some(answer) => (keeper, answer),
            None => {
                let ledger = &self.shared.ledger;
                let answer = Answer {
                    admission: ledger.admit(&turn, deadline).await?,
                    chain: None,
                    prefix_holder: ledger.prefix_holder(&turn.program_id),
                };
                (Keeper::Own, answer)
            }
        };
        match answer.admission {
            Admission::Granted(grant_id) => {
                let reservation = Reservation {
                    budgets: self.clone(),
                    keeper,
                    program_id: turn.program_id,
                    grant_id,
                    spent_tokens: Cell::new(0),
                    completed_by: RefCell::default(),
                    kept: RefCell::default(),
                };
                Ok(Outcome::Reserved(Box::new(Admitted {
                    reservation,
                    chain: answer.chain,
                    prefix_holder: answer.prefix_holder,
                })))
            }
            Admission::Exceeded { spent_tokens } => Ok(Outcome::Exceeded { spent_tokens }),
        }
    }

    fn keeper_of(&self, program_id: &str) -> Keeper {
        let now = Instant::now();
        let mut suspects = self.shared.suspects.borrow_mut();
        suspects.retain(|_, since| now.saturating_duration_since(*since) < SUSPECT_TIME);
        match self.shared.directory.owner_peer(program_id.as_bytes()) {
            Some(peer) if !suspects.contains_key(&peer) => Keeper::Peer(peer),
            _ => Keeper::Own,
        }
    }

    /// Asks a peer; `None` if it does not answer.
    async fn ask(
        &self,
        peer: SocketAddr,
        turn: &TurnBudget,
        previous_turn_id: Option<&str>,
        deadline: Instant,
    ) -> Result<Option<Answer>> {
        let left = deadline.saturating_duration_since(Instant::now());
        let request = AdmitRequest {
            turn: turn.clone(),
            time_left_ms: left.as_millis() as u64,
            loads: self.shared.servers.shared_loads(Instant::now()),
            previous_turn_id: previous_turn_id
                .filter(|id| self.shared.chains.borrow().get(id).is_none())
                .map(str::to_string),
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
        match answer {
            Some(answer) => match answer.verdict {
                AdmitVerdict::Admission(admission) => Ok(Some(Answer {
                    admission,
                    chain: answer.chain,
                    prefix_holder: answer.prefix_holder.map(BackendServerId::from),
                })),
                AdmitVerdict::StoreUnavailable => Err(StoreError::Outage),
            },
            None => {
                log::info!(peer:% = peer, program_id = turn.program_id;
                    "peer did not admit a turn in time, counting at this gateway");
                let mut suspects = self.shared.suspects.borrow_mut();
                suspects.insert(peer, Instant::now());
                Ok(None)
            }
        }
    }

    fn settle(&self, keeper: Keeper, request: SettleRequest) {
        let peer = match keeper {
            Keeper::Own => {
                self.record(request);
                return;
            }
            Keeper::Peer(peer) => peer,
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
        let chains = self.shared.chains.borrow();
        let previous = request.previous_turn_id;
        let chain = previous.and_then(|previous| chains.get(&previous));
        let prefix_holder = self.shared.ledger.prefix_holder(&request.turn.program_id);
        AdmitAnswer {
            verdict,
            loads: self.shared.servers.shared_loads(Instant::now()),
            chain: chain.map(|chain| (*chain).clone()),
            prefix_holder: prefix_holder.map(|id| id.to_string()),
        }
    }

    /// Records what a peer reports.
    pub fn record(&self, report: SettleRequest) {
        let ledger = &self.shared.ledger;
        let completed_by = report.completed_by.map(BackendServerId::from);
        ledger.settle(
            &report.program_id,
            report.grant_id,
            report.spent_tokens,
            completed_by,
        );
        if let Some((turn_id, chain)) = report.kept {
            let mut chains = self.shared.chains.borrow_mut();
            chains.insert(turn_id, Rc::new(chain));
        }
    }
}

/// The reserved tokens of a turn. Dropping it settles the turn with what was spent.
pub struct Reservation {
    budgets: Budgets,
    keeper: Keeper,
    program_id: String,
    grant_id: GrantId,
    spent_tokens: Cell<u64>,
    /// The server, once the turn is complete.
    completed_by: RefCell<Option<BackendServerId>>,
    /// The turn once it is durable.
    kept: RefCell<Option<(TurnId, Rc<Chain>)>>,
}

impl Reservation {
    /// Counts tokens that are about to be handed to the caller.
    pub fn spend(&self, tokens: u64) {
        self.spent_tokens.set(self.spent_tokens.get() + tokens);
    }

    /// Records the server that has completed the turn, so that the next one may go there.
    pub fn complete(&self, server_id: BackendServerId) {
        self.completed_by.replace(Some(server_id));
    }

    /// Records that the turn is durable, so that the gateway that looks after the program has its
    /// chain for the next turn.
    pub fn keep(&self, turn_id: TurnId, chain: Rc<Chain>) {
        self.kept.replace(Some((turn_id, chain)));
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let is_own = self.keeper == Keeper::Own;
        // The chain is in the memory of this gateway already.
        let kept = self.kept.take().filter(|_| !is_own);
        let report = SettleRequest {
            program_id: std::mem::take(&mut self.program_id),
            grant_id: self.grant_id,
            spent_tokens: self.spent_tokens.get(),
            completed_by: self.completed_by.take().map(|id| id.to_string()),
            kept: kept.map(|(turn_id, chain)| (turn_id, (*chain).clone())),
        };
        self.budgets.settle(self.keeper, report);
    }
}
