//! Finds the gateway that owns a shard of teams and asks it; answers such calls of the others.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::limit_messages::{Issuer, LimitRequest, LimitResponse, SHARDS, TeamAnswer, TeamAsk};
use super::limit_ownership::LimitOwnership;
use crate::connection::http_client::{ClientError, HttpClient};
use crate::process::boot_clock::BootTime;
use crate::process::gateway::directory::Directory;
use crate::process::gateway::peers;
use crate::process::metrics;
use crate::process::timer::TimerService;
use crate::version::route_table::RouteTable;

/// Longest wait for a gateway that is asked. The owner answers from its memory.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);
/// Time in which an asked gateway that is not the owner answers, whether it has taken the lease or
/// not; shorter than `CALL_TIMEOUT`.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(110);
/// Time for which a gateway that did not answer is not asked again.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// The same if its connection was refused: a process that has ended is soon started again.
const REFUSED_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a gateway that does not know the call, of an earlier build, is not asked again.
const UNSUPPORTED_TIMEOUT: Duration = Duration::from_secs(30);
/// Gateways that are asked for one decision and know the call.
const MAX_ASKED: usize = 3;
/// Gateways that are asked for one decision, including those that do not know the call.
const MAX_CALLS: usize = 6;
/// Largest response that is accepted from a peer.
const RESPONSE_LIMIT_BYTES: usize = 256 << 10;
/// Pause for each registered gateway before more requests of a team are sent to an owner that has
/// denied some, and before an owner is looked for again. All gateways together then send 750 calls a
/// second, which a VM with 0.12 cores can answer.
const PAUSE_PER_GATEWAY: Duration = Duration::from_micros(1_333);
/// Bounds of that pause.
const PAUSE_RANGE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(250));
/// Shortest time between two log lines on gateways that do not answer.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Default)]
struct Shard {
    /// The gateway that last decided.
    holder: Cell<Option<SocketAddr>>,
    /// Until when no owner is looked for, because none was found.
    no_owner_until: Cell<Option<Instant>>,
}

/// Finds and calls the owners of the shards.
pub struct LimitOwners {
    http: HttpClient,
    timer: TimerService,
    directory: Rc<Directory>,
    ownership: Rc<LimitOwnership>,
    shards: Vec<Shard>,
    /// Gateways that are not asked, and until when.
    not_asked: RefCell<IndexMap<SocketAddr, Instant>>,
    /// The active configuration.
    config: RefCell<Option<Rc<RouteTable>>>,
    silence_logged_at: Cell<Option<Instant>>,
}

impl LimitOwners {
    /// Knows no owner yet. `ownership` has the shards that this gateway owns itself.
    pub fn new(http: HttpClient, directory: Rc<Directory>, ownership: Rc<LimitOwnership>) -> Self {
        Self {
            timer: http.timer().clone(),
            http,
            directory,
            ownership,
            shards: (0..SHARDS).map(|_| Shard::default()).collect(),
            not_asked: RefCell::default(),
            config: RefCell::default(),
            silence_logged_at: Cell::new(None),
        }
    }

    /// Tells the active configuration, whose limits an owner applies to gateways that lag behind.
    pub fn set_config(&self, config: Rc<RouteTable>) {
        self.config.replace(Some(config));
    }

    /// Time before an owner is asked again that has denied requests, or that was not found.
    pub fn pause(&self) -> Duration {
        let gateways = self.directory.registered_count().unwrap_or(1);
        let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
        let (shortest, longest) = PAUSE_RANGE;
        PAUSE_PER_GATEWAY
            .saturating_mul(gateways)
            .clamp(shortest, longest)
    }

    /// Decides on a call of another gateway, if this one owns the shard or may take it.
    pub async fn handle(&self, request: &LimitRequest) -> LimitResponse {
        if let Some(response) = self.decide_here(request) {
            return response;
        }
        let acquiring = self.ownership.acquire(request.shard);
        // The attempt goes on if the caller goes away or this time is over.
        let _ = self.timer.timeout(ACQUIRE_TIMEOUT, acquiring).await;
        let decided = self.decide_here(request);
        decided.unwrap_or_else(|| LimitResponse::NotOwner {
            owner: self.ownership.other_holder(request.shard),
        })
    }

    /// Asks the owner of a shard; `None` if no owner answers.
    pub async fn ask(&self, request: &LimitRequest) -> Option<(Issuer, Vec<TeamAnswer>)> {
        let id = request.shard;
        if let Some(LimitResponse::Decided { issuer, teams }) = self.decide_here(request) {
            return Some((issuer, teams));
        }
        let own = self.ownership.own_address();
        let shard = &self.shards[usize::from(id % SHARDS)];
        let now = Instant::now();
        let no_owner_until = shard.no_owner_until.get();
        if no_owner_until.is_some_and(|until| now < until) {
            return None;
        }
        self.not_asked.borrow_mut().retain(|_, until| now < *until);
        let mut tried: Vec<SocketAddr> = Vec::new();
        let mut asked = 0;
        let mut named = shard.holder.get();
        let mut candidates = self.directory.limit_owners(u64::from(id), now).into_iter();
        while asked < MAX_ASKED && tried.len() < MAX_CALLS {
            let may_ask = |address: &SocketAddr| {
                !tried.contains(address) && !self.not_asked.borrow().contains_key(address)
            };
            let target = named.take().filter(|address| may_ask(address));
            let Some(target) = target.or_else(|| candidates.find(|address| may_ask(address)))
            else {
                break;
            };
            tried.push(target);
            if target == own {
                asked += 1;
                let acquiring = self.ownership.acquire(id);
                let _ = self.timer.timeout(ACQUIRE_TIMEOUT, acquiring).await;
                if let Some(LimitResponse::Decided { issuer, teams }) = self.decide_here(request) {
                    return Some((issuer, teams));
                }
                named = self.ownership.other_holder(id);
                continue;
            }
            match self.call(target, request).await {
                Called::Answered(LimitResponse::Decided { issuer, teams }) => {
                    shard.holder.set(Some(target));
                    return Some((issuer, teams));
                }
                Called::Answered(LimitResponse::NotOwner { owner }) => {
                    asked += 1;
                    named = owner;
                }
                Called::Unsupported => {}
                Called::Silent => asked += 1,
            }
        }
        shard.holder.set(None);
        let pause_end = Instant::now() + self.pause();
        shard.no_owner_until.set(Some(pause_end));
        None
    }

    fn decide_here(&self, request: &LimitRequest) -> Option<LimitResponse> {
        let mut request = request.clone();
        self.apply_newer_limits(&mut request);
        self.ownership.decide(&request, BootTime::now())
    }

    async fn call(&self, peer: SocketAddr, request: &LimitRequest) -> Called {
        let started = Instant::now();
        let call = peers::team_limits_request(request);
        let sent = self
            .http
            .fetch(peer, call, CALL_TIMEOUT, RESPONSE_LIMIT_BYTES);
        let (called, outcome, pause) = match sent.await {
            Ok(response) => match peers::decode_team_limits(&response) {
                Some(response) => {
                    let is_decided = matches!(response, LimitResponse::Decided { .. });
                    let outcome = if is_decided { "decided" } else { "not owner" };
                    (Called::Answered(response), outcome, None)
                }
                None => (
                    Called::Unsupported,
                    "unsupported",
                    Some(UNSUPPORTED_TIMEOUT),
                ),
            },
            Err(error) => {
                self.record_silence(peer, &error);
                let pause = match error.is_not_sent() && started.elapsed() < CALL_TIMEOUT / 2 {
                    true => REFUSED_TIMEOUT,
                    false => SILENCE_TIMEOUT,
                };
                (Called::Silent, "no answer", Some(pause))
            }
        };
        if let Some(pause) = pause {
            let until = Instant::now() + pause;
            self.not_asked.borrow_mut().insert(peer, until);
        }
        ::metrics::counter!(metrics::TEAM_LIMIT_CALLS, "outcome" => outcome).increment(1);
        called
    }

    /// Replaces limits of an earlier configuration than the active one, as far as the owner does not
    /// have a later limit already.
    fn apply_newer_limits(&self, request: &mut LimitRequest) {
        let config = self.config.borrow();
        let Some(config) = config.as_ref() else {
            return;
        };
        let Some(teams) = &config.teams else { return };
        let is_older = |ask: &&mut TeamAsk| ask.config_version < config.version;
        for ask in request.teams.iter_mut().filter(is_older) {
            let applied = self.ownership.config_version(request.shard, &ask.team);
            if applied.is_some_and(|applied| applied >= config.version) {
                continue;
            }
            let limit = teams.find_name(&ask.team).and_then(|team| team.limit);
            if let Some(limit) = limit {
                ask.config_version = config.version;
                ask.rate_per_s = limit.rate_per_s;
                ask.burst = limit.burst;
            }
        }
    }

    fn record_silence(&self, peer: SocketAddr, error: &ClientError) {
        let now = Instant::now();
        let logged_at = self.silence_logged_at.get();
        if logged_at.is_none_or(|logged| now.saturating_duration_since(logged) >= LOG_INTERVAL) {
            self.silence_logged_at.set(Some(now));
            log::info!(peer:% = peer; "peer did not answer for limits of teams: {error}");
        }
    }
}

enum Called {
    Answered(LimitResponse),
    /// The peer does not know the call.
    Unsupported,
    Silent,
}
