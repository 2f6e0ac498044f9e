//! The admission of all engine services of a gateway, from what its registry knows of the servers.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use rand::Rng;

use super::admission::{Decision, ServiceAdmission, Turn};
use super::demand::SharedDemand;
use super::level::LevelChange;
use super::service_load::KnownLoad;
use crate::process::gateway::placement::NORMAL_SPEED_PERCENT;
use crate::process::gateway::server::Server;
use crate::process::gateway::servers::Servers;
use crate::process::metrics;

/// Highest stated speed by which a wait is corrected. A server that states a higher one is slower than
/// VMs usually are, or wrong, and its waits count in part.
const MAX_CORRECTED_SPEED_PERCENT: u32 = 400;

/// Demands by the name of the service.
pub type ServiceDemands = Vec<(String, Vec<SharedDemand>)>;

/// The admission of the engine services that teams share, or whose servers state their speed because
/// they share their VMs with others.
#[derive(Debug, Default)]
pub struct OverloadControl {
    /// Whether the configuration has teams, which compete for the servers.
    has_teams: Cell<bool>,
    services: RefCell<IndexMap<String, ServiceAdmission>>,
}

impl OverloadControl {
    /// Tells whether the active configuration has teams.
    pub fn set_has_teams(&self, has_teams: bool) {
        self.has_teams.set(has_teams);
    }

    /// Decides on the first turn of a program at a service.
    pub fn decide(
        &self,
        servers: &Servers,
        service: &str,
        turn: Turn<'_>,
        now: Instant,
    ) -> Decision {
        let (chance, spread) = (rand::rng().random(), rand::rng().random());
        let decide = |admission: &mut ServiceAdmission| admission.decide(turn, chance, spread, now);
        let decision = self.with_service(servers, service, now, decide);
        decision.unwrap_or(Decision::Admit)
    }

    /// Records a turn of a program that has begun.
    pub fn record_later_turn(
        &self,
        servers: &Servers,
        service: &str,
        turn: Turn<'_>,
        now: Instant,
    ) {
        self.with_service(servers, service, now, |admission| {
            admission.record_later_turn(turn, now);
        });
    }

    /// Whether the program has begun at this gateway.
    pub fn has_begun(&self, service: &str, program: u64) -> bool {
        let services = self.services.borrow();
        let admission = services.get(service);
        admission.is_some_and(|admission| admission.has_begun(program))
    }

    /// Whether a request that a server has refused may be sent to another one.
    pub fn may_retry(&self, service: &str, has_begun: bool) -> bool {
        let services = self.services.borrow();
        let admission = services.get(service);
        admission.is_none_or(|admission| admission.may_retry(has_begun))
    }

    /// Records the time to the first event of a turn. The time that a slow VM adds is left out, because
    /// it does not show that requests are queued.
    pub fn record_first_event(
        &self,
        service: &str,
        server: &Server,
        program: Option<u64>,
        wait: Duration,
        now: Instant,
    ) {
        let speed_percent = server.speed_percent(now).unwrap_or(NORMAL_SPEED_PERCENT);
        let speed_percent = speed_percent.clamp(NORMAL_SPEED_PERCENT, MAX_CORRECTED_SPEED_PERCENT);
        let wait = wait.mul_f64(f64::from(NORMAL_SPEED_PERCENT) / f64::from(speed_percent));
        server.record_wait(wait, now);
        if let Some(admission) = self.services.borrow_mut().get_mut(service) {
            let load = server.load_permille(now);
            admission.waits.record_first_event(wait, load, now);
            if let Some(program) = program {
                admission.record_begun(program, now);
            }
        }
    }

    /// Records the end of a complete turn that took `time` at a server.
    pub fn record_turn_end(
        &self,
        service: &str,
        server: &Server,
        program: Option<u64>,
        time: Duration,
        now: Instant,
    ) {
        if let Some(admission) = self.services.borrow_mut().get_mut(service) {
            let load = server.load_permille(now);
            admission.waits.record_turn(time, load);
            if let Some(program) = program {
                admission.record_turn_end(program, now);
            }
        }
    }

    /// Adapts the levels. Called several times a second, so that an overload ends without requests
    /// as well.
    pub fn update(&self, servers: &Servers, now: Instant) {
        let mut services = self.services.borrow_mut();
        for (service, admission) in services.iter_mut() {
            update(admission, servers, service, self.has_teams.get(), now);
        }
        let mut all = services.values();
        servers.set_overloaded(all.any(|admission| admission.level().is_overloaded()));
    }

    /// The demands at overloaded services, to be told to another gateway.
    pub fn shared_demands(&self) -> ServiceDemands {
        let services = self.services.borrow();
        let overloaded = services
            .iter()
            .filter(|(_, admission)| admission.level().is_overloaded());
        let demands =
            overloaded.map(|(service, admission)| (service.clone(), admission.demand.shared(&[])));
        demands.collect()
    }

    /// Averages the demands with those of another gateway, and returns the own ones from before.
    pub fn answer_demands(&self, theirs: &ServiceDemands) -> ServiceDemands {
        let mut services = self.services.borrow_mut();
        let mut answer = ServiceDemands::new();
        for (service, theirs) in theirs {
            if let Some(admission) = services.get_mut(service) {
                let own = admission.demand.shared(theirs);
                admission.demand.average(&own, theirs);
                answer.push((service.clone(), own));
            }
        }
        answer
    }

    /// Averages the demands with the answer of another gateway to `told`.
    pub fn adopt_demands(&self, told: &ServiceDemands, answer: &ServiceDemands) {
        let mut services = self.services.borrow_mut();
        for (service, theirs) in answer {
            let own = told.iter().find(|(told, _)| told == service);
            if let (Some((_, own)), Some(admission)) = (own, services.get_mut(service)) {
                admission.demand.average(own, theirs);
            }
        }
    }

    /// Calls `use_admission` with the admission of a service, brought up to date. `None` if there are
    /// no teams and no server of the service states its speed.
    fn with_service<T>(
        &self,
        servers: &Servers,
        service: &str,
        now: Instant,
        use_admission: impl FnOnce(&mut ServiceAdmission) -> T,
    ) -> Option<T> {
        let mut services = self.services.borrow_mut();
        if !services.contains_key(service) {
            let of_service = servers.for_service(service);
            let is_shared =
                self.has_teams.get() || of_service.iter().any(|server| server.states_speed(now));
            if !is_shared {
                return None;
            }
            services.insert(service.to_string(), ServiceAdmission::new(now));
        }
        let admission = services.get_mut(service)?;
        update(admission, servers, service, self.has_teams.get(), now);
        Some(use_admission(admission))
    }
}

fn update(
    admission: &mut ServiceAdmission,
    servers: &Servers,
    service: &str,
    has_teams: bool,
    now: Instant,
) {
    if !admission.is_update_due(now) {
        return;
    }
    let of_service = servers.for_service(service);
    let ttl = servers.load_report_ttl();
    let is_shared = has_teams || of_service.iter().any(|server| server.states_speed(now));
    let in_service = of_service
        .iter()
        .filter(|server| is_shared && servers.is_in_service(server));
    let known = in_service.map(|server| {
        let wait = server.recent_wait(now);
        let excess = wait.and_then(|wait| admission.waits.excess_permille(wait));
        KnownLoad {
            excess_wait_permille: excess,
            ..server.known_load(ttl, now)
        }
    });
    // Without teams and without a server that states its speed, the load is 0 and an overload ends.
    let known: Vec<KnownLoad> = known.collect();
    let change = admission.update(known, now);
    let share = admission.level().share();
    let label = service.to_string();
    ::metrics::gauge!(metrics::ADMITTED_SHARE, "service" => label).set(share);
    let Some(change) = change else { return };
    let load = admission.load();
    let ages = load.report_ages.unwrap_or_default();
    let (oldest_ms, newest_ms) = (ages.0.as_millis() as u64, ages.1.as_millis() as u64);
    let excess_wait_permille = admission.waits.recent_excess_permille(now);
    let message = match change {
        LevelChange::Begins => "service is overloaded, first turns of programs are refused",
        LevelChange::Ends => "service is no longer overloaded",
    };
    log::info!(service = service, batches = load.batches, free_share = load.free_share, slots = load.slots, known_share = load.known_share, slowdown = load.slowdown, oldest_report_ms = oldest_ms, newest_report_ms = newest_ms, excess_wait_permille = excess_wait_permille, admitted_share = share; "{message}");
}
