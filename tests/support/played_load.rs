//! A load that is played in virtual time: gateways that decide alone with stale reports, engines
//! with batches and queues, and programs of several turns.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sapphireford::ids::TeamId;
use sapphireford::process::gateway::placement::{
    Candidate, NORMAL_SPEED_PERCENT, Prefix, select_by_prefix,
};
use sapphireford::process::overload::admission::{Decision, ServiceAdmission, Turn};
use sapphireford::process::overload::demand::Urgency;
use sapphireford::process::overload::service_load::KnownLoad;

const ENGINES: usize = 20;
const SLOTS: u32 = 8;
const QUEUE_PLACES: usize = 24;
/// Length of a run.
const SECONDS: u64 = 45;
const GOSSIP_MS: u64 = 500;
const MAX_FAILURES: u32 = 3;
/// Time for which reports are used without and under overload.
const REPORT_TTLS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(4)];
/// Mean time that a program occupies a slot: 5.5 turns of 0.35 s.
const PROGRAM_SLOT_S: f64 = 5.5 * 0.35;

/// Callers with one kind of programs.
#[derive(Clone)]
pub struct Kind {
    pub team: &'static str,
    pub urgency: Urgency,
    /// Demand in parts of the capacity of all engines, at a time in seconds.
    pub demand: fn(f64) -> f64,
}

/// What became of the programs of one kind, by the second in which they came.
#[derive(Clone, Default)]
pub struct Outcome {
    pub came: Vec<f64>,
    pub in_time: Vec<f64>,
    pub refusals: Vec<f64>,
}

impl Outcome {
    fn add(counts: &mut Vec<f64>, second: usize) {
        counts.resize(counts.len().max(second + 1), 0.0);
        counts[second] += 1.0;
    }
}

/// Sums counts over a range of seconds.
pub fn sum(counts: &[f64], seconds: std::ops::Range<usize>) -> f64 {
    counts.iter().skip(seconds.start).take(seconds.len()).sum()
}

struct Program {
    kind: usize,
    gateway: usize,
    turn_ms: Vec<u64>,
    tool_ms: Vec<u64>,
    next_turn: usize,
    holder: Option<usize>,
    failures: u32,
    came_ms: u64,
    sent_ms: u64,
    time_ms: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Request(usize),
    TurnEnd(usize, usize),
    Gossip,
}

#[derive(Default)]
struct Engine {
    running: u32,
    queue: VecDeque<usize>,
}

#[derive(Clone, Copy, Default)]
struct Report {
    requests: u32,
    at_ms: Option<u64>,
    sent_since: u32,
}

struct Gateway {
    admission: ServiceAdmission,
    reports: Vec<Report>,
}

/// Settings of a run.
#[derive(Clone)]
pub struct Site {
    pub gateways: usize,
    pub seed: u64,
    /// Whether the gateways use the admission at all.
    pub is_admission_on: bool,
    /// What the first engine reports instead of its requests.
    pub lie: Option<u32>,
    /// When the last gateway starts, without any report.
    pub last_starts_at_s: u64,
}

/// A run of the load, and its results.
pub struct PlayedLoad {
    site: Site,
    kinds: Vec<Kind>,
    rng: StdRng,
    start: Instant,
    now_ms: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    programs: Vec<Program>,
    engines: Vec<Engine>,
    gateways: Vec<Gateway>,
    pub outcomes: Vec<Outcome>,
    /// Mean load in batches, every 500 ms.
    pub batches: Vec<f64>,
    /// First turns refused by the last gateway.
    pub refused_by_last: u32,
}

impl PlayedLoad {
    pub fn run(site: Site, kinds: &[Kind]) -> Self {
        let start = Instant::now() + Duration::from_secs(60);
        let gateway = || Gateway {
            admission: ServiceAdmission::new(start),
            reports: vec![Report::default(); ENGINES],
        };
        let mut load = Self {
            kinds: kinds.to_vec(),
            rng: StdRng::seed_from_u64(site.seed),
            start,
            now_ms: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            programs: Vec::new(),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            gateways: (0..site.gateways).map(|_| gateway()).collect(),
            outcomes: vec![Outcome::default(); kinds.len()],
            batches: Vec::new(),
            refused_by_last: 0,
            site,
        };
        load.schedule(0, Event::Gossip);
        for kind in 0..kinds.len() {
            load.schedule(0, Event::Arrival(kind));
        }
        while let Some(Reverse((at_ms, _, event))) = load.events.pop() {
            if at_ms >= SECONDS * 1_000 {
                break;
            }
            load.now_ms = at_ms;
            match event {
                Event::Arrival(kind) => load.arrive(kind),
                Event::Request(program) => load.request(program),
                Event::TurnEnd(engine, program) => load.end_turn(engine, program),
                Event::Gossip => load.gossip(),
            }
        }
        load
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.sequence += 1;
        let at_ms = self.now_ms + delay_ms;
        self.events.push(Reverse((at_ms, self.sequence, event)));
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.now_ms)
    }

    fn arrive(&mut self, kind: usize) {
        let demand = (self.kinds[kind].demand)(self.now_ms as f64 / 1_000.0);
        let slots = ENGINES as f64 * f64::from(SLOTS);
        // A kind without demand is looked at again after 100 ms.
        let rate_per_ms = demand * slots / PROGRAM_SLOT_S / 1_000.0;
        let gap_ms = match rate_per_ms > 0.0 {
            true => -(1.0 - self.rng.random::<f64>()).ln() / rate_per_ms,
            false => 100.0,
        };
        self.schedule(gap_ms.min(100.0).round() as u64, Event::Arrival(kind));
        if gap_ms >= 100.0 {
            return;
        }
        let turns = self.rng.random_range(4..=7);
        let mut times = |range: std::ops::RangeInclusive<u64>| -> Vec<u64> {
            let times = (0..turns).map(|_| self.rng.random_range(range.clone()));
            times.collect()
        };
        let (turn_ms, tool_ms) = (times(200..=500), times(100..=400));
        let idle_ms: u64 = turn_ms.iter().chain(&tool_ms).sum();
        let gateways = match self.now_ms < self.site.last_starts_at_s * 1_000 {
            true => self.site.gateways - 1,
            false => self.site.gateways,
        };
        self.programs.push(Program {
            kind,
            gateway: self.rng.random_range(0..gateways),
            turn_ms,
            tool_ms,
            next_turn: 0,
            holder: None,
            failures: 0,
            came_ms: self.now_ms,
            sent_ms: 0,
            time_ms: idle_ms * 3 / 2,
        });
        let second = (self.now_ms / 1_000) as usize;
        Outcome::add(&mut self.outcomes[kind].came, second);
        self.request(self.programs.len() - 1);
    }

    fn request(&mut self, index: usize) {
        self.programs[index].sent_ms = self.now_ms;
        let late_ms = self.programs[index].came_ms + 2 * self.programs[index].time_ms;
        // Callers give up at twice the time.
        if self.now_ms > late_ms || !self.admit(index) {
            return;
        }
        match self.place(index) {
            Some(engine) => self.start_or_queue(engine, index),
            None => self.fail(index, Duration::from_millis(100)),
        }
    }

    fn admit(&mut self, index: usize) -> bool {
        if !self.site.is_admission_on {
            return true;
        }
        let now = self.now();
        let program = &self.programs[index];
        let kind = &self.kinds[program.kind];
        let team = TeamId::from(kind.team);
        let end_ms = program.came_ms + program.time_ms;
        let turn = Turn {
            program: Some(index as u64),
            urgency: kind.urgency,
            team: &team,
            tokens: 1_000,
            time_left: Some(Duration::from_millis(end_ms.saturating_sub(self.now_ms))),
        };
        let is_first = program.next_turn == 0;
        let gateway = &mut self.gateways[program.gateway];
        if gateway.admission.is_update_due(now) {
            let now_ms = self.now_ms;
            let ttl = REPORT_TTLS[usize::from(gateway.admission.level().is_overloaded())];
            let known = gateway.reports.iter().map(|report| {
                let age = |at_ms: u64| Duration::from_millis(now_ms - at_ms);
                let age = report.at_ms.map(age).filter(|age| *age < ttl);
                KnownLoad {
                    slots: SLOTS,
                    report: age.map(|age| (report.requests.saturating_add(report.sent_since), age)),
                    ..KnownLoad::default()
                }
            });
            let known: Vec<_> = known.collect();
            gateway.admission.update(known, now);
        }
        if !is_first {
            gateway.admission.record_later_turn(turn, now);
            return true;
        }
        let (chance, spread) = (self.rng.random(), self.rng.random());
        let Decision::Refuse { retry_after, .. } =
            gateway.admission.decide(turn, chance, spread, now)
        else {
            return true;
        };
        let (kind, gateway) = (program.kind, program.gateway);
        let second = (self.now_ms / 1_000) as usize;
        Outcome::add(&mut self.outcomes[kind].refusals, second);
        self.refused_by_last += u32::from(gateway + 1 == self.site.gateways);
        self.fail(index, retry_after);
        false
    }

    fn fail(&mut self, index: usize, retry_after: Duration) {
        let program = &mut self.programs[index];
        program.failures += 1;
        if program.failures < MAX_FAILURES {
            self.schedule(retry_after.as_millis() as u64, Event::Request(index));
        }
    }

    /// Chooses an engine with a free place, three at most are tried.
    fn place(&mut self, index: usize) -> Option<usize> {
        let program = &self.programs[index];
        let ids: Vec<String> = (0..ENGINES).map(|id| format!("e{id}")).collect();
        let reports = &self.gateways[program.gateway].reports;
        let candidate = |(id, report): (usize, &Report)| Candidate {
            speed_percent: NORMAL_SPEED_PERCENT,
            is_load_known: true,
            server_id: &ids[id],
            load: report
                .requests
                .saturating_add(report.sent_since)
                .saturating_mul(1_000)
                / SLOTS,
            is_eligible: true,
            is_same_domain: false,
        };
        let mut candidates: Vec<_> = reports.iter().enumerate().map(candidate).collect();
        let prefix = Prefix {
            key: index as u64,
            holder: program.holder.map(|holder| &*ids[holder]),
            is_growing: false,
        };
        for _ in 0..3 {
            let chosen = select_by_prefix(prefix, &candidates)?;
            if self.engines[chosen].queue.len() < QUEUE_PLACES {
                return Some(chosen);
            }
            candidates[chosen].is_eligible = false;
        }
        None
    }

    fn start_or_queue(&mut self, engine: usize, index: usize) {
        self.gateways[self.programs[index].gateway].reports[engine].sent_since += 1;
        if self.engines[engine].running < SLOTS {
            self.start_turn(engine, index);
        } else {
            self.engines[engine].queue.push_back(index);
        }
    }

    /// The head of the response goes to the gateway with the load of the engine.
    fn start_turn(&mut self, engine: usize, index: usize) {
        self.engines[engine].running += 1;
        let queued = self.engines[engine].queue.len() as u32;
        let requests = self.engines[engine].running + queued;
        let gateway = self.programs[index].gateway;
        self.gateways[gateway].reports[engine] = Report {
            requests: self.site.lie.filter(|_| engine == 0).unwrap_or(requests),
            at_ms: Some(self.now_ms),
            sent_since: 0,
        };
        // The admission of a turn exchanges the loads with another gateway.
        let other = self.rng.random_range(0..self.site.gateways);
        self.exchange(gateway, other);
        let turn_ms = self.programs[index].turn_ms[self.programs[index].next_turn];
        let wait = Duration::from_millis(self.now_ms - self.programs[index].sent_ms + 30);
        let load_permille = requests * 1_000 / SLOTS;
        let now = self.now();
        let waits = &mut self.gateways[gateway].admission.waits;
        waits.record_first_event(wait, load_permille, now);
        waits.record_turn(wait + Duration::from_millis(turn_ms), load_permille);
        self.schedule(turn_ms, Event::TurnEnd(engine, index));
    }

    fn end_turn(&mut self, engine: usize, index: usize) {
        self.engines[engine].running -= 1;
        if let Some(next) = self.engines[engine].queue.pop_front() {
            self.start_turn(engine, next);
        }
        let now = self.now();
        let program = &mut self.programs[index];
        let admission = &mut self.gateways[program.gateway].admission;
        admission.record_turn_end(index as u64, now);
        program.holder = Some(engine);
        program.failures = 0;
        let pause_ms = program.tool_ms[program.next_turn];
        program.next_turn += 1;
        if program.next_turn < program.turn_ms.len() {
            self.schedule(pause_ms, Event::Request(index));
        } else if self.now_ms <= program.came_ms + program.time_ms {
            let second = (program.came_ms / 1_000) as usize;
            Outcome::add(&mut self.outcomes[program.kind].in_time, second);
        }
    }

    fn gossip(&mut self) {
        for gateway in 0..self.site.gateways {
            for _ in 0..2 {
                let other = self.rng.random_range(0..self.site.gateways);
                self.exchange(gateway, other);
            }
            let other = self.rng.random_range(0..self.site.gateways);
            self.average_demands(gateway, other);
        }
        let engines = self.engines.iter();
        let requests = engines.map(|engine| engine.running + engine.queue.len() as u32);
        let slots = ENGINES as f64 * f64::from(SLOTS);
        let batches = f64::from(requests.sum::<u32>()) / slots;
        self.batches.push(batches);
        self.schedule(GOSSIP_MS, Event::Gossip);
    }

    fn average_demands(&mut self, one: usize, other: usize) {
        if one == other || !self.gateways[one].admission.level().is_overloaded() {
            return;
        }
        let told = self.gateways[one].admission.demand.shared(&[]);
        let other = &mut self.gateways[other].admission.demand;
        let answer = other.shared(&told);
        other.average(&answer, &told);
        self.gateways[one].admission.demand.average(&told, &answer);
    }

    /// Both gateways keep the newer report of each engine.
    fn exchange(&mut self, one: usize, other: usize) {
        for engine in 0..ENGINES {
            let reports = [one, other].map(|gateway| self.gateways[gateway].reports[engine]);
            let (older, newer) = match reports[0].at_ms < reports[1].at_ms {
                true => (one, reports[1]),
                false => (other, reports[0]),
            };
            if self.gateways[older].reports[engine].at_ms < newer.at_ms {
                self.gateways[older].reports[engine] = Report {
                    sent_since: 0,
                    ..newer
                };
            }
        }
    }
}
