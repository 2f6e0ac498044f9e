//! Admits the requests of teams within the limits that the configuration sets for all gateways
//! together.
//!
//! One gateway owns the limits of a shard of teams and counts for all of them. The others ask it for
//! tokens: one for each request that waits, and some more while most of the limit is unused. There
//! is at most one call for a shard in flight; requests that come meanwhile are in the next one.

use std::cell::{Cell, RefCell};
use std::ops::Range;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use indexmap::IndexMap;
use sapphireford_platform::operator::TeamLimit;

use super::limit_bucket::GRANT_VALIDITY;
use super::limit_holdings::TeamHoldings;
use super::limit_messages::{
    Issuer, LimitRequest, LimitResponse, ProgramDigest, SHARDS, ShardId, TeamAnswer, Verdict,
};
use super::limit_owners::LimitOwners;
use super::limit_ownership::LimitOwnership;
use super::limit_report::{LimitReport, limit_reached, no_owner, random_ms};
use crate::connection::http_client::HttpClient;
use crate::error::{ErrorKind, Result};
use crate::ids::{TeamId, VersionNumber};
use crate::process::boot_clock::BootTime;
use crate::process::gateway::directory::Directory;
use crate::process::gateway::settings::TeamLimitTolerance;
use crate::process::gateway::store::Store;
use crate::process::metrics;
use crate::process::notify::Notify;
use crate::process::slots::placement::hash_bytes;
use crate::process::task;
use crate::process::timer::TimerService;
use crate::version::route_table::RouteTable;
use crate::version::teams::Team;

/// Requests of one team in one call. Other teams do not wait for those of a flood.
const MAX_REQUESTS_IN_CALL: usize = 256;
/// Teams in one call.
const MAX_TEAMS_IN_CALL: usize = 256;
/// Requests of one team that wait for a decision; further ones are refused.
const MAX_WAITING: usize = 1_024;
/// Range of the retry delay of requests beyond `MAX_WAITING`.
const FLOOD_DELAY_MS: Range<u64> = 1_000..4_000;
/// Interval at which tokens are returned and leases renewed, while teams are active.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Rounds of upkeep between two searches for idle teams.
const ROUNDS_PER_SWEEP: u32 = 20;

/// A request that counts against the limit of its team.
#[derive(Clone, Copy, Debug)]
pub struct LimitedRequest<'a> {
    /// The program that the request belongs to, qualified by its team; `None` if it belongs to none.
    pub program_id: Option<&'a str>,
    /// Whether the request may be the first one of its program: a turn that continues no other.
    pub may_begin_program: bool,
    /// The version of the configuration that the team is taken from.
    pub config_version: VersionNumber,
    /// When the request must be answered.
    pub deadline: Instant,
}

/// What has become of a request that waited.
enum Outcome {
    Granted {
        delay: Duration,
        /// End of the validity of the grant.
        valid_until: BootTime,
    },
    Denied {
        retry_after: Duration,
    },
    NoOwner,
}

struct Waiter {
    program: ProgramDigest,
    may_begin_program: bool,
    outcome: oneshot::Sender<Outcome>,
}

#[derive(Default)]
struct Shard {
    waiting: RefCell<IndexMap<TeamId, Vec<Waiter>>>,
    /// Teams of which requests were denied, and until when no more are sent.
    paused: RefCell<IndexMap<TeamId, Instant>>,
    /// Notified when requests wait or tokens are to go back.
    added: Notify,
    /// Teams with tokens that are to go back.
    returning: RefCell<Vec<TeamId>>,
    /// Whether the task that makes the calls is running.
    is_calling: Cell<bool>,
}

/// Admits requests within the limits of their teams.
pub struct TeamLimits {
    shared: Rc<Shared>,
}

struct Shared {
    tolerance: TeamLimitTolerance,
    timer: TimerService,
    directory: Rc<Directory>,
    ownership: Rc<LimitOwnership>,
    owners: LimitOwners,
    shards: Vec<Shard>,
    teams: RefCell<IndexMap<TeamId, TeamHoldings>>,
    is_upkeep_running: Cell<bool>,
    report: LimitReport,
}

impl TeamLimits {
    /// Makes the limits of a gateway, which has admitted nothing yet.
    pub fn new(
        tolerance: TeamLimitTolerance,
        http: HttpClient,
        store: Store,
        directory: Rc<Directory>,
    ) -> Self {
        let ownership = LimitOwnership::new(directory.limit_owner_start(), store, tolerance);
        let ownership = Rc::new(ownership);
        let shared = Shared {
            tolerance,
            timer: http.timer().clone(),
            owners: LimitOwners::new(http, directory.clone(), ownership.clone()),
            directory,
            ownership,
            shards: (0..SHARDS).map(|_| Shard::default()).collect(),
            teams: RefCell::default(),
            is_upkeep_running: Cell::new(false),
            report: LimitReport::default(),
        };
        Self {
            shared: Rc::new(shared),
        }
    }

    /// Tells the active configuration, whose limits an owner applies to gateways that lag behind.
    pub fn set_config(&self, config: Rc<RouteTable>) {
        self.shared.owners.set_config(config);
    }

    /// Counts a request against the limit of its team; fails if the limit is used up, or if it is
    /// not known whether it is.
    pub async fn admit(&self, team: &Team, request: LimitedRequest<'_>) -> Result<()> {
        let Some(limit) = team.limit else {
            return Ok(());
        };
        let shared = &self.shared;
        let outcome = shared.decide(team, limit, request).await;
        let name = match &outcome {
            Ok(name) => name,
            Err(error) if error.kind == ErrorKind::TeamLimitReached => "limit reached",
            Err(_) => "no owner",
        };
        ::metrics::counter!(metrics::TEAM_LIMIT_DECISIONS, "outcome" => name).increment(1);
        outcome.map(drop).inspect_err(|error| {
            let level = shared.ownership.level(shard_of(&team.id), &team.id);
            let refusal = (name, error.retry_after, level);
            shared.report.record_refusal(&team.id, limit, refusal);
        })
    }

    /// Gives back the token of a request that was admitted at `admitted_at` and then refused for another
    /// reason, so that it did not run.
    pub fn give_back(&self, team: &Team, admitted_at: BootTime) {
        if let Some(holdings) = self.shared.teams.borrow_mut().get_mut(&team.id) {
            holdings.record_refused(admitted_at, BootTime::now());
        }
    }

    /// Decides on a call of another gateway, if this one owns the shard or may take it.
    pub async fn handle(&self, request: LimitRequest) -> LimitResponse {
        self.shared.start_upkeep();
        self.shared.owners.handle(&request).await
    }

    /// Ends the leases of this gateway. It asks the next owner from then on.
    pub async fn release(&self) {
        self.shared.ownership.release().await;
    }
}

/// The shard of a team.
pub fn shard_of(team: &str) -> ShardId {
    (hash_bytes(team.as_bytes()) % u64::from(SHARDS)) as ShardId
}

/// The digest by which a program is named in calls; not 0.
fn program_digest(program_id: &str) -> ProgramDigest {
    hash_bytes(program_id.as_bytes()).max(1)
}

impl Shared {
    fn shard(&self, id: ShardId) -> &Shard {
        &self.shards[usize::from(id % SHARDS)]
    }

    /// Returns how the request was admitted.
    async fn decide(
        self: &Rc<Self>,
        team: &Team,
        limit: TeamLimit,
        request: LimitedRequest<'_>,
    ) -> Result<&'static str> {
        let now = BootTime::now();
        let program = request.program_id.map_or(0, program_digest);
        let may_begin_program = request.may_begin_program && program != 0;
        let is_held = self.with_holdings(&team.id, limit, request.config_version, |holdings| {
            holdings.record_request(limit, request.config_version, may_begin_program, now);
            holdings.take(program, may_begin_program, now)
        });
        self.start_upkeep();
        if is_held {
            return Ok("held");
        }
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            program,
            may_begin_program,
            outcome: sender,
        };
        let id = shard_of(&team.id);
        {
            let mut waiting = self.shard(id).waiting.borrow_mut();
            let waiting = waiting.entry(team.id.clone()).or_default();
            if waiting.len() >= MAX_WAITING {
                return Err(limit_reached(limit, random_ms(FLOOD_DELAY_MS)));
            }
            waiting.push(waiter);
        }
        self.start_calls(id);
        let outcome = self.timer.timeout_at(request.deadline, receiver).await;
        match outcome {
            Ok(Ok(Outcome::Granted { delay, valid_until })) => {
                if !delay.is_zero() {
                    self.timer.sleep(delay).await;
                }
                // The process may have been frozen since the token was counted.
                match BootTime::now() < valid_until + delay {
                    true => Ok("granted"),
                    false => Err(no_owner()),
                }
            }
            Ok(Ok(Outcome::Denied { retry_after })) => Err(limit_reached(limit, retry_after)),
            Ok(Ok(Outcome::NoOwner)) => {
                let now = BootTime::now();
                let gateways = self.directory.registered_count();
                let has_share = gateways.is_some_and(|gateways| {
                    self.with_holdings(&team.id, limit, request.config_version, |holdings| {
                        holdings.take_without_owner(self.tolerance, gateways, now)
                    })
                });
                match has_share {
                    true => Ok("no owner share"),
                    false => Err(no_owner()),
                }
            }
            Ok(Err(_)) | Err(_) => Err(no_owner()),
        }
    }

    fn with_holdings<R>(
        &self,
        team: &TeamId,
        limit: TeamLimit,
        version: VersionNumber,
        use_holdings: impl FnOnce(&mut TeamHoldings) -> R,
    ) -> R {
        let mut teams = self.teams.borrow_mut();
        let holdings = teams
            .entry(team.clone())
            .or_insert_with(|| TeamHoldings::new(team.clone(), limit, version, BootTime::now()));
        use_holdings(holdings)
    }

    fn start_calls(self: &Rc<Self>, id: ShardId) {
        self.shard(id).added.notify();
        if self.shard(id).is_calling.replace(true) {
            return;
        }
        let shared = self.clone();
        monoio::spawn(async move {
            task::isolate("team-limit-calls", shared.run_calls(id)).await;
            shared.shard(id).is_calling.set(false);
        });
    }

    /// Makes calls for a shard as long as requests wait or tokens are to go back.
    async fn run_calls(&self, id: ShardId) {
        let shard = self.shard(id);
        loop {
            let seen = shard.added.changes();
            let Some(batch) = self.next_batch(id) else {
                let pause_end = shard.paused.borrow().values().min().copied();
                let Some(pause_end) = pause_end.filter(|_| !shard.waiting.borrow().is_empty())
                else {
                    return;
                };
                let added = shard.added.changed_since(seen);
                let _ = self.timer.timeout_at(pause_end, added).await;
                continue;
            };
            let call_started = BootTime::now();
            match self.owners.ask(&batch.request).await {
                Some((issuer, answers)) => {
                    self.distribute(batch, issuer, answers, call_started);
                }
                None => {
                    let waiters = batch.waiters.into_iter().flatten();
                    for waiter in waiters {
                        let _ = waiter.outcome.send(Outcome::NoOwner);
                    }
                }
            }
        }
    }

    /// Takes the next requests and tokens that are to go back; `None` if there are none.
    fn next_batch(&self, id: ShardId) -> Option<Batch> {
        let shard = self.shard(id);
        let now = BootTime::now();
        let instant = Instant::now();
        let mut paused = shard.paused.borrow_mut();
        paused.retain(|_, until| instant < *until);
        let mut waiting = shard.waiting.borrow_mut();
        let mut batch: IndexMap<TeamId, Vec<Waiter>> = IndexMap::new();
        let mut behind = Vec::new();
        for (team, mut waiters) in std::mem::take(&mut *waiting) {
            if batch.len() >= MAX_TEAMS_IN_CALL || paused.contains_key(&team) {
                waiting.insert(team, waiters);
                continue;
            }
            let later = waiters.split_off(waiters.len().min(MAX_REQUESTS_IN_CALL));
            if !later.is_empty() {
                behind.push((team.clone(), later));
            }
            batch.insert(team, waiters);
        }
        waiting.extend(behind);
        for team in shard.returning.take() {
            batch.entry(team).or_default();
        }
        if batch.is_empty() {
            return None;
        }
        let mut teams = self.teams.borrow_mut();
        // Tokens of one issuer go back in a call; others are of an owner that is gone.
        let issuers = batch.keys().filter_map(|team| teams.get(team));
        let issuer = issuers
            .map(TeamHoldings::issuer)
            .find(|issuer| *issuer != 0);
        let issuer = issuer.unwrap_or_default();
        let mut request = LimitRequest {
            shard: id,
            issuer,
            teams: Vec::with_capacity(batch.len()),
        };
        let mut names = Vec::with_capacity(batch.len());
        let mut all_waiters = Vec::with_capacity(batch.len());
        for (team, mut waiters) in batch {
            let Some(holdings) = teams.get_mut(&team) else {
                continue;
            };
            // Stable, so that the answers are in the order of the requests.
            waiters.sort_by_key(|waiter| waiter.may_begin_program);
            let programs = |may_begin_program: bool| {
                let waiters = waiters.iter();
                let kind = waiters.filter(|waiter| waiter.may_begin_program == may_begin_program);
                kind.map(|waiter| waiter.program).collect()
            };
            let ask = holdings.ask(issuer, programs(false), programs(true), now);
            request.teams.push(ask);
            names.push(team);
            all_waiters.push(waiters);
        }
        Some(Batch {
            request,
            names,
            waiters: all_waiters,
        })
    }

    /// Tells the waiting requests what was decided.
    fn distribute(
        &self,
        batch: Batch,
        issuer: Issuer,
        answers: Vec<TeamAnswer>,
        call_started: BootTime,
    ) {
        let shard = self.shard(batch.request.shard);
        let pause_end = Instant::now() + self.owners.pause();
        let mut teams = self.teams.borrow_mut();
        let parts = batch.names.into_iter().zip(batch.waiters).zip(answers);
        for ((team, waiters), answer) in parts {
            let Some(holdings) = teams.get_mut(&team) else {
                continue;
            };
            holdings.record_issuer(issuer, BootTime::now());
            let mut unused = 0;
            let verdicts = answer.waiting.into_iter().chain(answer.waiting_first);
            for (waiter, verdict) in waiters.into_iter().zip(verdicts) {
                let outcome = match verdict {
                    Verdict::Granted { delay_ms } => Outcome::Granted {
                        delay: Duration::from_millis(u64::from(delay_ms)),
                        valid_until: call_started + GRANT_VALIDITY,
                    },
                    Verdict::Denied { retry_after_ms } => {
                        shard.paused.borrow_mut().insert(team.clone(), pause_end);
                        let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                        Outcome::Denied { retry_after }
                    }
                };
                if let Outcome::Granted { .. } = outcome {
                    holdings.record_run(waiter.program, BootTime::now());
                }
                // The caller of a request that is gone does not use its token.
                if let Err(Outcome::Granted { .. }) = waiter.outcome.send(outcome) {
                    unused += 1;
                }
            }
            let tokens = answer.extra.saturating_add(unused);
            if tokens > 0 || answer.extra_first > 0 {
                holdings.keep(issuer, tokens, answer.extra_first, call_started);
            }
        }
    }

    /// Starts the task that returns tokens and renews leases, which ends when no team is active.
    fn start_upkeep(self: &Rc<Self>) {
        if self.is_upkeep_running.replace(true) {
            return;
        }
        let shared = self.clone();
        monoio::spawn(async move {
            task::isolate("team-limit-upkeep", shared.run_upkeep()).await;
            shared.is_upkeep_running.set(false);
        });
    }

    async fn run_upkeep(self: &Rc<Self>) {
        let mut ticks = self.timer.subscribe(UPKEEP_INTERVAL);
        let mut round: u32 = 0;
        loop {
            ticks.tick().await;
            round = round.wrapping_add(1);
            let now = BootTime::now();
            self.return_unused(now);
            let is_owner_active = self.ownership.maintain(now);
            if round.is_multiple_of(ROUNDS_PER_SWEEP) {
                self.ownership.remove_idle(now);
                let mut teams = self.teams.borrow_mut();
                teams.retain(|_, holdings| !holdings.is_idle(now));
                teams
                    .values_mut()
                    .for_each(|team| team.forget_ended_programs(now));
                if teams.is_empty() {
                    teams.shrink_to_fit();
                }
            }
            if !is_owner_active && self.teams.borrow().is_empty() {
                return;
            }
        }
    }

    fn return_unused(self: &Rc<Self>, now: BootTime) {
        let mut due = Vec::new();
        for (team, holdings) in &*self.teams.borrow() {
            if holdings.must_return(now) {
                due.push(team.clone());
            }
        }
        for team in due {
            let id = shard_of(&team);
            self.shard(id).returning.borrow_mut().push(team);
            self.start_calls(id);
        }
    }
}

/// One call and the requests that wait for it.
struct Batch {
    request: LimitRequest,
    /// The teams of the request, in its order.
    names: Vec<TeamId>,
    /// The requests of each team, in the order of its verdicts.
    waiters: Vec<Vec<Waiter>>,
}
