//! Gateways that count the requests of teams, without a network: the decisions of the gateways with
//! a store, links and a clock that the test controls. All teams are in one shard.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use indexmap::IndexMap;
use sapphireford::process::boot_clock::BootTime;
use sapphireford::process::gateway::settings::TeamLimitTolerance;
use sapphireford::process::teams::limit_holdings::TeamHoldings;
use sapphireford::process::teams::limit_leases::{
    GatewayStart, LeaseRow, LeaseStep, ObservedRow, Probe, ShardLease, StoreTime,
};
use sapphireford::process::teams::limit_messages::{LimitRequest, LimitResponse, Verdict};
use sapphireford::process::teams::limit_owner::ShardBuckets;
use sapphireford_platform::operator::TeamLimit;

pub const WINDOW: Duration = Duration::from_secs(5);
pub const TOLERANCE: TeamLimitTolerance = TeamLimitTolerance {
    window: WINDOW,
    excess_share: 0.1,
    excess_requests: 20.0,
};

pub fn limit(rate_per_s: f64, burst: f64) -> TeamLimit {
    TeamLimit { rate_per_s, burst }
}

/// The most requests that may run in a window.
pub fn most_in_a_window(limit: TeamLimit) -> usize {
    ((limit.rate_per_s * 5.0 + limit.burst) * 1.1 + 20.0) as usize
}

/// The most runs in any window.
pub fn busiest_window(runs: &[BootTime]) -> usize {
    let mut runs = runs.to_vec();
    runs.sort_unstable();
    let mut first = 0;
    let mut most = 0;
    for (index, run) in runs.iter().enumerate() {
        while run.saturating_duration_since(runs[first]) > WINDOW {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

/// What the store does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    Up,
    Down,
    /// Calls are performed, and every other answer is lost.
    LosesAnswers,
    /// Every other write is performed up to 4 s later without an answer, if its condition still holds.
    DelaysWrites,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    Runs,
    Denied(Duration),
    NoOwner,
}

pub struct SimGateway {
    pub lease: ShardLease,
    buckets: Option<(u64, ShardBuckets)>,
    holdings: IndexMap<String, TeamHoldings>,
    own: Rc<GatewayStart>,
    probe: Option<Probe>,
    pub is_alive: bool,
    pub is_frozen: bool,
    pub reaches_store: bool,
    /// Gateways on the same side of a partition reach each other.
    pub side: u8,
}

impl SimGateway {
    fn new(index: usize, start: u64) -> Self {
        let own = Rc::new(GatewayStart {
            gateway_id: format!("g-{index}"),
            start: format!("g-{index}-{start}"),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 7_000 + index as u16)),
        });
        Self {
            lease: ShardLease::new(own.clone()),
            buckets: None,
            holdings: IndexMap::new(),
            own,
            probe: None,
            is_alive: true,
            is_frozen: false,
            reaches_store: true,
            side: 0,
        }
    }

    pub fn active_teams(&self) -> usize {
        let buckets = self.buckets.as_ref();
        buckets.map_or(0, |(_, buckets)| buckets.active_teams())
    }

    fn decide(&mut self, request: &LimitRequest, now: BootTime) -> Option<LimitResponse> {
        let tenure = self.lease.held(now)?;
        let is_same = |(number, _): &(u64, ShardBuckets)| *number == tenure.number;
        if !self.buckets.as_ref().is_some_and(is_same) {
            let issuer = rand::random_range(1..=u64::MAX);
            let buckets = ShardBuckets::new(issuer, tenure.start, TOLERANCE, now);
            self.buckets = Some((tenure.number, buckets));
        }
        let (_, buckets) = self.buckets.as_mut()?;
        Some(buckets.decide(request, now))
    }
}

pub struct TeamSite {
    pub now: BootTime,
    pub store_mode: StoreMode,
    store_calls: u64,
    row: Option<(u64, LeaseRow)>,
    version: u64,
    /// Writes that are performed later: when, their conditions and their rows.
    delayed: Vec<(BootTime, u64, LeaseRow)>,
    starts: u64,
    pub gateways: Vec<SimGateway>,
    pub limits: IndexMap<String, (TeamLimit, u64)>,
    pub runs: IndexMap<String, Vec<BootTime>>,
    pub calls: u64,
}

impl TeamSite {
    pub fn new(gateways: usize, teams: &[(&str, TeamLimit)]) -> Self {
        let limits = teams.iter();
        Self {
            now: BootTime::from_boot(Duration::from_secs(1_000)),
            store_mode: StoreMode::Up,
            store_calls: 0,
            row: None,
            version: 0,
            delayed: Vec::new(),
            starts: 0,
            gateways: (0..gateways)
                .map(|index| SimGateway::new(index, 0))
                .collect(),
            limits: limits
                .map(|(name, limit)| (name.to_string(), (*limit, 1)))
                .collect(),
            runs: IndexMap::new(),
            calls: 0,
        }
    }

    pub fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        for (due, condition, row) in std::mem::take(&mut self.delayed) {
            match due <= self.now {
                true => drop(self.write(condition, row)),
                false => self.delayed.push((due, condition, row)),
            }
        }
        for index in 0..self.gateways.len() {
            let gateway = &mut self.gateways[index];
            if !gateway.is_alive || gateway.is_frozen {
                continue;
            }
            if gateway.lease.must_renew(self.now) {
                self.run_steps(index, true);
            }
            self.return_unused(index);
        }
    }

    /// Starts a gateway again that was killed, or kills it and starts it again.
    pub fn restart(&mut self, index: usize) {
        self.starts += 1;
        self.gateways[index] = SimGateway::new(index, self.starts);
    }

    pub fn holders(&self) -> usize {
        let holds =
            |gateway: &&SimGateway| gateway.is_alive && gateway.lease.held(self.now).is_some();
        self.gateways.iter().filter(holds).count()
    }

    pub fn holder(&self) -> Option<usize> {
        let holds =
            |gateway: &SimGateway| gateway.is_alive && gateway.lease.held(self.now).is_some();
        self.gateways.iter().position(holds)
    }

    pub fn busiest_window(&self, team: &str) -> usize {
        busiest_window(self.runs.get(team).map_or(&[], Vec::as_slice))
    }

    /// The answer of the store to a call; `None` if it is lost. `perform` is not called if the store
    /// does not get the call.
    fn call_store<R>(&mut self, index: usize, perform: impl FnOnce(&mut Self) -> R) -> Option<R> {
        let is_reached = self.gateways[index].reaches_store && self.store_mode != StoreMode::Down;
        if !is_reached {
            return None;
        }
        self.store_calls += 1;
        let answer = perform(self);
        let is_lost =
            self.store_mode == StoreMode::LosesAnswers && self.store_calls.is_multiple_of(2);
        (!is_lost).then_some(answer)
    }

    fn store_time(&self) -> StoreTime {
        // The store has another epoch than the gateways.
        let since_boot = self.now.saturating_duration_since(BootTime::default());
        StoreTime {
            store_ms: since_boot.as_millis() as u64 - 500_000,
            call_started: self.now,
            answered: self.now,
        }
    }

    fn observed(&self) -> ObservedRow {
        ObservedRow {
            version: self.row.as_ref().map_or(0, |(version, _)| *version),
            row: self.row.as_ref().map(|(_, row)| row.clone()),
            time: self.store_time(),
        }
    }

    /// Performs a conditional write; returns the row instead if the condition does not hold.
    fn write(
        &mut self,
        condition: u64,
        row: LeaseRow,
    ) -> Result<(u64, StoreTime), Box<ObservedRow>> {
        let current = self.row.as_ref().map_or(0, |(version, _)| *version);
        if current != condition {
            return Err(Box::new(self.observed()));
        }
        self.version += 1;
        self.row = Some((self.version, row));
        Ok((self.version, self.store_time()))
    }

    /// Stops a gateway, which releases its lease.
    pub fn stop(&mut self, index: usize) {
        let gateway = &mut self.gateways[index];
        let released = gateway.lease.release(self.now);
        assert_eq!(
            gateway.lease.held(self.now),
            None,
            "it decides after its release"
        );
        if let Some(write) = released {
            let (condition, _) = write.transaction(0).expect("a row");
            let _ = self.write(condition.version, write.row().clone());
        }
        self.gateways[index].is_alive = false;
    }

    fn run_steps(&mut self, index: usize, is_renewal: bool) {
        for _ in 0..7 {
            let now = self.now;
            let gateway = &mut self.gateways[index];
            if gateway.lease.held(now).is_some() && !is_renewal {
                return;
            }
            let probe = gateway.probe.filter(|probe| probe.ended_at == now);
            match gateway.lease.next_step(probe, now) {
                LeaseStep::HeldBy(_) => return,
                LeaseStep::Probe(address) => {
                    let process = self.gateways.iter();
                    let mut process = process.filter(|other| other.own.peer_address == address);
                    let is_refused = process.next().is_some_and(|other| !other.is_alive);
                    self.gateways[index].probe = Some(Probe {
                        address,
                        is_refused,
                        ended_at: now,
                    });
                }
                LeaseStep::Read => {
                    let answer = self.call_store(index, |site| site.observed());
                    let gateway = &mut self.gateways[index];
                    match answer {
                        Some(observed) => gateway.lease.observe(observed),
                        None => return gateway.lease.unanswered(now),
                    }
                }
                LeaseStep::Write(write) => {
                    let (condition, _) = write.transaction(0).expect("a row");
                    let row = write.row().clone();
                    let is_delayed = self.store_mode == StoreMode::DelaysWrites
                        && self.store_calls.is_multiple_of(2);
                    let answer = self.call_store(index, |site| match is_delayed {
                        true => {
                            let due = now + Duration::from_secs(1 + site.store_calls % 4);
                            site.delayed.push((due, condition.version, row));
                            None
                        }
                        false => Some(site.write(condition.version, row)),
                    });
                    let answer = answer.flatten();
                    let gateway = &mut self.gateways[index];
                    match answer {
                        None => return gateway.lease.unanswered(now),
                        Some(Err(observed)) => gateway.lease.observe(*observed),
                        Some(Ok((version, time))) => {
                            gateway.lease.committed(*write, version, time);
                            return;
                        }
                    }
                }
            }
        }
    }

    /// Sends a request of a team to a gateway.
    pub fn request(&mut self, index: usize, team: &str, program: u64, may_begin: bool) -> Reply {
        let (now, (limit, version)) = (self.now, self.limits[team]);
        let holdings = self.gateways[index].holdings.entry(team.to_string());
        let holdings =
            holdings.or_insert_with(|| TeamHoldings::new(team.into(), limit, version, now));
        holdings.record_request(limit, version, may_begin, now);
        if holdings.take(program, may_begin, now) {
            self.record_run(team, Duration::ZERO);
            return Reply::Runs;
        }
        let (waiting, first) = match may_begin {
            true => (Vec::new(), vec![program]),
            false => (vec![program], Vec::new()),
        };
        let verdict = self.call_owner(index, team, waiting, first);
        match verdict.and_then(|verdicts| verdicts.first().copied()) {
            Some(Verdict::Granted { delay_ms }) => {
                self.record_run(team, Duration::from_millis(u64::from(delay_ms)));
                Reply::Runs
            }
            Some(Verdict::Denied { retry_after_ms }) => {
                Reply::Denied(Duration::from_millis(u64::from(retry_after_ms)))
            }
            None => {
                let registered = self.gateways.len();
                let holdings = &mut self.gateways[index].holdings[team];
                match holdings.take_without_owner(TOLERANCE, registered, now) {
                    true => {
                        self.record_run(team, Duration::ZERO);
                        Reply::Runs
                    }
                    false => Reply::NoOwner,
                }
            }
        }
    }

    fn record_run(&mut self, team: &str, delay: Duration) {
        let at = self.now + delay;
        self.runs.entry(team.to_string()).or_default().push(at);
    }

    fn call_owner(
        &mut self,
        index: usize,
        team: &str,
        waiting: Vec<u64>,
        first: Vec<u64>,
    ) -> Option<Vec<Verdict>> {
        let now = self.now;
        let holdings = self.gateways[index].holdings.get_mut(team)?;
        let issuer = holdings.issuer();
        let request = LimitRequest {
            shard: 0,
            issuer,
            teams: vec![holdings.ask(issuer, waiting, first, now)],
        };
        self.calls += 1;
        let side = self.gateways[index].side;
        let is_asked =
            |gateway: &SimGateway| gateway.is_alive && !gateway.is_frozen && gateway.side == side;
        let asked: Vec<usize> = (0..self.gateways.len())
            .filter(|other| is_asked(&self.gateways[*other]))
            .collect();
        let holders = asked.iter().copied();
        let holder = { holders }.find(|other| self.gateways[*other].lease.held(now).is_some());
        let owner = holder.or_else(|| {
            let mut takers = asked.into_iter().take(3);
            takers.find(|taker| {
                self.run_steps(*taker, false);
                self.gateways[*taker].lease.held(now).is_some()
            })
        })?;
        let response = self.gateways[owner].decide(&request, now)?;
        let LimitResponse::Decided { issuer, teams } = response else {
            return None;
        };
        let answer = teams.into_iter().next()?;
        let holdings = self.gateways[index].holdings.get_mut(team)?;
        holdings.record_issuer(issuer, now);
        let asked = &request.teams[0];
        let programs = asked.waiting.iter().chain(&asked.waiting_first);
        let verdicts = [answer.waiting, answer.waiting_first].concat();
        for (program, verdict) in programs.zip(&verdicts) {
            if let Verdict::Granted { .. } = verdict {
                holdings.record_run(*program, now);
            }
        }
        holdings.keep(issuer, answer.extra, answer.extra_first, now);
        Some(verdicts)
    }

    fn return_unused(&mut self, index: usize) {
        let now = self.now;
        let teams = self.gateways[index].holdings.iter();
        let due = teams.filter(|(_, holdings)| holdings.must_return(now));
        let due: Vec<String> = due.map(|(team, _)| team.clone()).collect();
        for team in due {
            self.call_owner(index, &team, Vec::new(), Vec::new());
        }
    }

    /// Sends a request of each of `teams` to every gateway that runs, every `interval` for `time`.
    pub fn flood(&mut self, teams: &[&str], interval: Duration, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            for index in 0..self.gateways.len() {
                let gateway = &self.gateways[index];
                if gateway.is_alive && !gateway.is_frozen {
                    for team in teams {
                        self.request(index, team, 0, false);
                    }
                }
            }
            self.advance(interval);
        }
    }
}
