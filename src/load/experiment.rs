//! One experiment: the programs of a workload over one or two routes, with counters before and after.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::caller::{Caller, Result};
use crate::connection::http_client::HttpClient;
use crate::load::checks::Checks;
use crate::load::report::{AddedLatency, Report, RouteReport};
use crate::load::route::{DirectRoute, EntryRoute, Route};
use crate::load::runner::Runner;
use crate::load::stats::Baseline;
use crate::load::workload::{PlannedProgram, Workload};
use crate::process::timer::TimerService;

/// What to run, and where.
pub struct Experiment {
    /// Entries to ask for addresses; empty for a direct run only.
    pub entries: Vec<SocketAddr>,
    /// The key of classes without a team, and of teams without a key of their own.
    pub key: String,
    /// Keys by team.
    pub team_keys: IndexMap<String, String>,
    /// Engines whose counters are read.
    pub engines: Vec<SocketAddr>,
    /// Tools whose counters are read.
    pub tools: Vec<SocketAddr>,
    /// The engine of the direct route; its tool calls go to the first of `tools`.
    pub direct: Option<SocketAddr>,
    /// The workload.
    pub workload: Rc<Workload>,
    /// Time for programs in flight after the last arrival.
    pub drain: Duration,
    /// Starts the names of all conversations, so that those of an earlier run with the same seed
    /// are not continued.
    pub run_name: String,
}

/// What the routes of one experiment share.
struct Running<'a> {
    experiment: &'a Experiment,
    plan: Rc<Vec<PlannedProgram>>,
    checks: Rc<RefCell<Checks>>,
    timer: TimerService,
    start: Instant,
}

impl Running<'_> {
    async fn route<R: Route>(&self, route: Option<R>, name: &str) -> Option<RouteReport> {
        let runner = Runner::new(
            route?,
            self.experiment.workload.clone(),
            format!("load-{}-{name}", self.experiment.run_name),
            self.timer.clone(),
            self.checks.clone(),
        );
        let drain = self.experiment.drain;
        let unfinished = runner.run(&self.plan, self.start, drain).await;
        Some(runner.with_measures(|measures| RouteReport::new(measures, unfinished)))
    }
}

/// Runs an experiment to its end.
pub async fn run(experiment: &Experiment) -> Result<Report> {
    let timer = TimerService::start();
    let http = HttpClient::new(timer.clone());
    let entry = entry_route(experiment, &http)?;
    let direct = experiment.direct.map(|engine| {
        let tool = experiment.tools.first().copied();
        DirectRoute::new(http.clone(), engine, tool)
    });
    let engines = Baseline::read(&http, &experiment.engines).await;
    let tools = Baseline::read(&http, &experiment.tools).await;
    let running = Running {
        experiment,
        plan: Rc::new(experiment.workload.plan()),
        checks: Rc::default(),
        timer,
        start: Instant::now(),
    };
    let (entry, direct) = futures_util::join!(
        running.route(entry, "entry"),
        running.route(direct, "direct")
    );
    let engines = engines.compare(&http).await;
    let tools = tools.compare(&http).await;
    let checks = running.checks.borrow().finish(&tools);
    let routes = entry.as_ref().zip(direct.as_ref());
    Ok(Report {
        workload: experiment.workload.name.clone(),
        seed: experiment.workload.seed,
        duration_ms: experiment.workload.duration.as_millis() as u64,
        planned: running.plan.len(),
        added: routes.and_then(|(entry, direct)| AddedLatency::between(entry, direct)),
        entry,
        direct,
        engines,
        tools,
        checks,
    })
}

fn entry_route(experiment: &Experiment, http: &HttpClient) -> Result<Option<EntryRoute>> {
    if experiment.entries.is_empty() {
        return Ok(None);
    }
    let caller = |key: &str| Caller::new(http.clone(), experiment.entries.clone(), key);
    let mut teams = IndexMap::new();
    for (team, key) in &experiment.team_keys {
        teams.insert(team.as_str().into(), caller(key)?);
    }
    let default = caller(&experiment.key)?;
    Ok(Some(EntryRoute::new(default, teams)))
}
