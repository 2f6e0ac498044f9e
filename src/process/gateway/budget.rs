//! Admits turns against the token budget of their program.
//!
//! One gateway owns the account of a program, chosen by rendezvous hashing. The other gateways send
//! it an [`AdmitRequest`] before a turn and a [`SettleRequest`] after it. If the owner does not
//! respond, a gateway admits the turn from an account of its own, so that a dead owner does not
//! block the program; see [`ledger`](super::ledger). The response of the owner also carries what it
//! knows of the program's last turn, which often saves a read from the store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::account::{GrantId, MIN_UNIQUE_GRANT_ID};
use super::directory::Directory;
use super::history::{TurnChain, TurnChainCache, TurnId};
use super::ledger::{Admission, Ledger, TurnBudget, TurnPart};
use super::peers::{self, AdmitRequest, AdmitResponse, AdmitResult, ServerNotices, SettleRequest};
use super::servers::Servers;
use super::store::{Result, StoreError};
use super::stream_origins::StreamOrigin;
use crate::connection::http_client::HttpClient;
use crate::ids::BackendServerId;

/// Longest wait for the response of a peer that needs no store call.
const PEER_TIMEOUT: Duration = Duration::from_millis(150);
/// Added to `PEER_TIMEOUT` for the store calls that a peer may need to admit a turn. A peer that
/// takes longer is not asked for `PEER_RETRY_DELAY`.
const PEER_STORE_TIMEOUT: Duration = Duration::from_millis(850);
/// Time for which a peer that did not respond to an admission is not asked again.
const PEER_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Largest response accepted from a peer.
const RESPONSE_LIMIT_BYTES: usize = 1 << 20;
/// Attempts to report the tokens spent by a turn to a peer.
const MAX_SETTLE_ATTEMPTS: u32 = 3;

/// The gateway whose account admits a turn and counts its tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccountLocation {
    /// This gateway.
    Local,
    /// A peer, named by the address of its peer listener.
    Peer(SocketAddr),
}

/// Admits turns from accounts of this gateway or of its peers; clones share their state.
#[derive(Clone)]
pub struct AdmissionController {
    shared: Rc<Shared>,
}

struct Shared {
    ledger: Ledger,
    http: HttpClient,
    directory: Rc<Directory>,
    servers: Rc<Servers>,
    chains: Rc<RefCell<TurnChainCache>>,
    /// Peers that did not respond to an admission, and when.
    unresponsive_peers: RefCell<IndexMap<SocketAddr, Instant>>,
}

/// The result of a reservation.
pub enum ReservationOutcome {
    /// The tokens of the turn are reserved; the turn may run.
    Reserved(Box<AdmittedTurn>),
    /// The budget is spent; the turn must not run.
    Exceeded {
        /// Tokens counted as spent by all gateways, including those of turns in flight.
        spent_tokens: u64,
    },
}

/// A turn that may run, with what the account owner knows of the turns before it.
pub struct AdmittedTurn {
    /// Must live as long as the turn: dropping it settles the turn.
    pub reservation: Reservation,
    /// The chain that the turn continues, if a peer admitted the turn and has the chain cached;
    /// `None` does not mean that there is no chain.
    pub chain: Option<TurnChain>,
    /// The server that completed the last turn of the program and is likely to have the prefix of
    /// the prompt in its cache; `None` if it is not known.
    pub prefix_holder: Option<BackendServerId>,
    /// Where the streams of the program begin that have no row of their own; `None` if it is not
    /// known.
    pub stream_origin: Option<StreamOrigin>,
}

/// The answer of the account that admits a turn, at this gateway or at a peer.
struct AccountAnswer {
    admission: Admission,
    chain: Option<TurnChain>,
    prefix_holder: Option<BackendServerId>,
    stream_origin: Option<StreamOrigin>,
}

/// A turn that asks for admission.
pub struct TurnAdmission<'a> {
    /// The turn and the budget of its program.
    pub turn: TurnBudget,
    /// The place of the request in its turn, if the turn may be taken up again.
    pub part: Option<TurnPart>,
    /// Whether the ids are qualified by a team.
    pub are_ids_qualified: bool,
    /// The turn that it continues, if there is one with a stored history.
    pub previous_turn_id: Option<&'a str>,
    /// Where the turn will begin if it can be resumed later, as far as that can be predicted.
    pub proposed_origin: Option<StreamOrigin>,
    /// When the turn must have ended.
    pub deadline: Instant,
}

impl AdmissionController {
    /// Makes a controller that uses the ledger of this gateway and those of its peers. `chains` is
    /// the cache of the [`History`](super::history::History) of this gateway.
    pub fn new(
        ledger: Ledger,
        http: HttpClient,
        directory: Rc<Directory>,
        servers: Rc<Servers>,
        chains: Rc<RefCell<TurnChainCache>>,
    ) -> Self {
        let shared = Shared {
            ledger,
            http,
            directory,
            servers,
            chains,
            unresponsive_peers: RefCell::default(),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Reserves the tokens of a turn. The account owner also returns the chain of the previous turn
    /// if it has it cached and this gateway has not.
    pub async fn reserve(&self, admission: TurnAdmission<'_>) -> Result<ReservationOutcome> {
        let location = self.account_location(&admission.turn.program_id);
        // Before the admission: a start that is out of date only leaves the turn unsettled.
        let owner_start = match location {
            AccountLocation::Local => None,
            AccountLocation::Peer(peer) => self.shared.directory.start_at(peer, Instant::now()),
        };
        let answer = match location {
            AccountLocation::Local => None,
            AccountLocation::Peer(peer) => self.admit_at_peer(peer, &admission).await?,
        };
        let TurnAdmission {
            turn,
            part,
            are_ids_qualified,
            proposed_origin,
            deadline,
            ..
        } = admission;
        let (location, answer) = match answer {
            Some(answer) => (location, answer),
            None => {
                let ledger = &self.shared.ledger;
                let answer = AccountAnswer {
                    admission: ledger
                        .admit(&turn, part.as_ref(), proposed_origin, deadline)
                        .await?,
                    chain: None,
                    prefix_holder: ledger.prefix_holder(&turn.program_id),
                    stream_origin: ledger.stream_origin(&turn.program_id),
                };
                (AccountLocation::Local, answer)
            }
        };
        match answer.admission {
            Admission::Granted(grant_id) => {
                let reservation = Reservation {
                    controller: self.clone(),
                    location,
                    owner_start,
                    program_id: turn.program_id,
                    are_ids_qualified,
                    grant_id,
                    spent_tokens: Cell::new(0),
                    completed_by: RefCell::default(),
                    persisted_turn: RefCell::default(),
                };
                Ok(ReservationOutcome::Reserved(Box::new(AdmittedTurn {
                    reservation,
                    chain: answer.chain,
                    prefix_holder: answer.prefix_holder,
                    stream_origin: answer.stream_origin,
                })))
            }
            Admission::Exceeded { spent_tokens } => {
                Ok(ReservationOutcome::Exceeded { spent_tokens })
            }
        }
    }

    /// Whether a turn of the program may have completed, as its account owner knows. The account is
    /// not opened. Without an answer, as from a gateway of an earlier build, it may have.
    pub async fn may_have_begun(&self, program_id: &str) -> bool {
        let peer = match self.account_location(program_id) {
            AccountLocation::Local => return self.shared.ledger.has_begun(program_id),
            AccountLocation::Peer(peer) => peer,
        };
        let request = peers::has_begun_request(program_id);
        let http = &self.shared.http;
        let sent = http.fetch(peer, request, PEER_TIMEOUT, RESPONSE_LIMIT_BYTES);
        let response = sent.await.ok();
        let has_begun = response.and_then(|response| peers::decode_has_begun(&response));
        has_begun.unwrap_or(true)
    }

    /// Whether a turn of the program has completed, asked by a peer.
    pub fn handle_has_begun(&self, program_id: &str) -> bool {
        self.shared.ledger.has_begun(program_id)
    }

    /// Returns the account owner, or this gateway while the owner is unresponsive.
    fn account_location(&self, program_id: &str) -> AccountLocation {
        let now = Instant::now();
        let mut unresponsive_peers = self.shared.unresponsive_peers.borrow_mut();
        unresponsive_peers
            .retain(|_, failed_at| now.saturating_duration_since(*failed_at) < PEER_RETRY_DELAY);
        match self.shared.directory.owner_peer(program_id.as_bytes()) {
            Some(peer) if !unresponsive_peers.contains_key(&peer) => AccountLocation::Peer(peer),
            _ => AccountLocation::Local,
        }
    }

    /// Asks a peer to admit a turn; `None` if it does not respond.
    async fn admit_at_peer(
        &self,
        peer: SocketAddr,
        admission: &TurnAdmission<'_>,
    ) -> Result<Option<AccountAnswer>> {
        let TurnAdmission {
            turn,
            part,
            are_ids_qualified,
            previous_turn_id,
            proposed_origin,
            deadline,
        } = admission;
        let time_left = deadline.saturating_duration_since(Instant::now());
        let request = AdmitRequest {
            turn: turn.clone(),
            time_left_ms: time_left.as_millis() as u64,
            loads: self.shared.servers.shared_loads(Instant::now()),
            previous_turn_id: previous_turn_id
                .filter(|id| self.shared.chains.borrow().get(id).is_none())
                .map(str::to_string),
            proposed_origin: *proposed_origin,
            part: part.clone(),
            are_ids_qualified: *are_ids_qualified,
        };
        let timeout = (PEER_TIMEOUT + PEER_STORE_TIMEOUT).min(time_left);
        let http = &self.shared.http;
        let servers = &self.shared.servers;
        let response = http
            .fetch(
                peer,
                request.encode(&servers.notices(Instant::now())),
                timeout,
                RESPONSE_LIMIT_BYTES,
            )
            .await;
        let response = response
            .ok()
            .and_then(|response| AdmitResponse::decode(&response));
        if let Some((response, notices)) = &response {
            servers.merge_loads(&response.loads, Instant::now());
            servers.merge_notices(notices, Instant::now());
        }
        match response {
            Some((response, _)) => match response.result {
                AdmitResult::Admission(admission) => Ok(Some(AccountAnswer {
                    admission,
                    chain: response.chain,
                    prefix_holder: response.prefix_holder.map(BackendServerId::from),
                    stream_origin: response.stream_origin,
                })),
                AdmitResult::StoreUnavailable => Err(StoreError::Outage),
            },
            None => {
                log::info!(peer:% = peer, program_id = turn.program_id; "peer did not respond to an admission request; admitting the turn locally");
                let mut unresponsive_peers = self.shared.unresponsive_peers.borrow_mut();
                unresponsive_peers.insert(peer, Instant::now());
                Ok(None)
            }
        }
    }

    /// Reports the end of a turn to its account. `owner_start` identifies the start of the peer that
    /// has the account, if it is known.
    fn settle(&self, location: AccountLocation, owner_start: Option<u64>, request: SettleRequest) {
        let peer = match location {
            AccountLocation::Local => {
                self.apply_settlement(request);
                return;
            }
            AccountLocation::Peer(peer) => peer,
        };
        let controller = self.clone();
        let is_ambiguous = request.grant_id < MIN_UNIQUE_GRANT_ID;
        monoio::spawn(async move {
            let http = &controller.shared.http;
            for _ in 0..MAX_SETTLE_ATTEMPTS {
                if is_ambiguous {
                    match controller.ask_start(peer).await {
                        None => continue,
                        start if start != owner_start => {
                            log::info!(peer:% = peer, program_id = request.program_id; "spent tokens not reported: the peer has restarted, and would charge another turn");
                            return;
                        }
                        Some(_) => {}
                    }
                }
                let sent = http.fetch(peer, request.encode(), PEER_TIMEOUT, RESPONSE_LIMIT_BYTES);
                if sent.await.is_ok() {
                    return;
                }
            }
            // The peer charges the turn's `max_tokens` when the grant expires.
            log::info!(peer:% = peer, program_id = request.program_id; "failed to report spent tokens; peer will charge the maximum of the turn");
        });
    }

    /// Asks a peer which start of it is running; `None` if it does not respond.
    ///
    /// Gateways of earlier builds number the turns of each account from 1, so after a restart the end
    /// of a turn from before would settle another one, with fewer tokens.
    async fn ask_start(&self, peer: SocketAddr) -> Option<u64> {
        let directory = &self.shared.directory;
        let request = directory.gossip_request(Instant::now());
        let request = peers::gossip_request(&request, &ServerNotices::default());
        let http = &self.shared.http;
        let response = http.fetch(peer, request, PEER_TIMEOUT, RESPONSE_LIMIT_BYTES);
        let (response, _, _) = peers::decode_gossip(&response.await.ok()?)?;
        let start = response.heartbeats.first()?.start_hash;
        directory.apply_gossip(response, Instant::now());
        Some(start)
    }

    /// Admits a turn for a peer, and exchanges server loads with it.
    pub async fn handle_admit(&self, request: AdmitRequest) -> AdmitResponse {
        let now = Instant::now();
        let deadline = now + Duration::from_millis(request.time_left_ms);
        self.shared.servers.merge_loads(&request.loads, now);
        let ledger = &self.shared.ledger;
        let part = request.part.as_ref();
        let admission = ledger.admit(&request.turn, part, request.proposed_origin, deadline);
        let result = match admission.await {
            Ok(admission) => AdmitResult::Admission(admission),
            Err(error) => {
                log::debug!(program_id = request.turn.program_id; "failed to admit a turn for a peer: {error}");
                AdmitResult::StoreUnavailable
            }
        };
        let chains = self.shared.chains.borrow();
        let previous = request.previous_turn_id;
        let chain = previous.and_then(|previous| chains.get(&previous));
        let prefix_holder = ledger.prefix_holder(&request.turn.program_id);
        AdmitResponse {
            result,
            loads: self.shared.servers.shared_loads(Instant::now()),
            chain: chain.map(|chain| (*chain).clone()),
            prefix_holder: prefix_holder.map(|id| id.to_string()),
            stream_origin: ledger.stream_origin(&request.turn.program_id),
        }
    }

    /// Settles a turn that the ledger of this gateway has admitted, and caches its chain if the
    /// request has one.
    pub fn apply_settlement(&self, request: SettleRequest) {
        let ledger = &self.shared.ledger;
        let completed_by = request.completed_by.map(BackendServerId::from);
        ledger.settle(
            &request.program_id,
            request.grant_id,
            request.spent_tokens,
            completed_by,
        );
        if let Some((turn_id, chain)) = request.persisted_turn {
            let mut chains = self.shared.chains.borrow_mut();
            chains.insert(turn_id, Rc::new(chain));
        }
    }
}

/// The reserved tokens of a turn in flight. Dropping it settles the turn with the tokens spent.
pub struct Reservation {
    controller: AdmissionController,
    location: AccountLocation,
    /// Identifies the start of the peer that has the account, as of the admission; `None` if the
    /// account is here or the start is not known.
    owner_start: Option<u64>,
    program_id: String,
    are_ids_qualified: bool,
    grant_id: GrantId,
    spent_tokens: Cell<u64>,
    /// The server that completed the turn; `None` until then.
    completed_by: RefCell<Option<BackendServerId>>,
    /// The turn and its chain, once they are durable.
    persisted_turn: RefCell<Option<(TurnId, Rc<TurnChain>)>>,
}

impl Reservation {
    /// Counts tokens as spent; called before they are sent to the caller.
    pub fn spend(&self, tokens: u64) {
        self.spent_tokens.set(self.spent_tokens.get() + tokens);
    }

    /// Records the server that completed the turn. The next turn of the program prefers it, because
    /// it has the prefix in its cache.
    pub fn record_completion(&self, server_id: BackendServerId) {
        self.completed_by.replace(Some(server_id));
    }

    /// Records that the turn is durable. Its chain is sent to the account owner on settlement, so
    /// that the next turn of the program needs no read from the store.
    pub fn record_persisted_turn(&self, turn_id: TurnId, chain: Rc<TurnChain>) {
        self.persisted_turn.replace(Some((turn_id, chain)));
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let is_local = self.location == AccountLocation::Local;
        // The cache of this gateway has the chain already.
        let persisted_turn = self.persisted_turn.take().filter(|_| !is_local);
        let request = SettleRequest {
            program_id: std::mem::take(&mut self.program_id),
            grant_id: self.grant_id,
            spent_tokens: self.spent_tokens.get(),
            completed_by: self.completed_by.take().map(|id| id.to_string()),
            persisted_turn: persisted_turn.map(|(turn_id, chain)| (turn_id, (*chain).clone())),
            are_ids_qualified: self.are_ids_qualified,
        };
        self.controller
            .settle(self.location, self.owner_start, request);
    }
}
