//! Runs one experiment: sends the programs of a workload over one or two routes, and reads the
//! counters of the servers before and after.

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

/// The parameters of an experiment.
pub struct Experiment {
    /// Entries from which addresses are discovered; if empty, only the direct route runs.
    pub entries: Vec<SocketAddr>,
    /// Key for classes without a team, and for teams without a key in `team_keys`.
    pub key: String,
    /// Keys by team id.
    pub team_keys: IndexMap<String, String>,
    /// Engines whose counters are read.
    pub engines: Vec<SocketAddr>,
    /// Tools whose counters are read.
    pub tools: Vec<SocketAddr>,
    /// The engine of the direct route; its tool calls go to the first of `tools`.
    pub direct: Option<SocketAddr>,
    /// The workload to plan and send.
    pub workload: Rc<Workload>,
    /// Longest wait for the programs in flight after the duration of the workload.
    pub drain_timeout: Duration,
    /// Part of the id of each conversation, so that a run does not continue the conversations of
    /// an earlier run with the same seed.
    pub run_name: String,
}

/// State shared by the routes of one experiment.
struct RunContext<'a> {
    experiment: &'a Experiment,
    plan: Rc<Vec<PlannedProgram>>,
    checks: Rc<RefCell<Checks>>,
    timer: TimerService,
    start: Instant,
}

impl RunContext<'_> {
    async fn run_route<R: Route>(&self, route: Option<R>, name: &str) -> Option<RouteReport> {
        let runner = Runner::new(
            route?,
            self.experiment.workload.clone(),
            format!("load-{}-{name}", self.experiment.run_name),
            self.timer.clone(),
            self.checks.clone(),
        );
        let drain_timeout = self.experiment.drain_timeout;
        let unfinished = runner.run(&self.plan, self.start, drain_timeout).await;
        Some(runner.with_measures(|measures| RouteReport::new(measures, unfinished)))
    }
}

/// Runs an experiment and returns its report.
pub async fn run(experiment: &Experiment) -> Result<Report> {
    let timer = TimerService::start();
    let http = HttpClient::new(timer.clone());
    let entry = build_entry_route(experiment, &http)?;
    let direct = experiment.direct.map(|engine| {
        let tool = experiment.tools.first().copied();
        DirectRoute::new(http.clone(), engine, tool)
    });
    let engines = Baseline::read(&http, &experiment.engines).await;
    let tools = Baseline::read(&http, &experiment.tools).await;
    let context = RunContext {
        experiment,
        plan: Rc::new(experiment.workload.plan()),
        checks: Rc::default(),
        timer,
        start: Instant::now(),
    };
    let (entry, direct) = futures_util::join!(
        context.run_route(entry, "entry"),
        context.run_route(direct, "direct")
    );
    let engines = engines.compare(&http).await;
    let tools = tools.compare(&http).await;
    let checks = context.checks.borrow().finish(&tools);
    let routes = entry.as_ref().zip(direct.as_ref());
    Ok(Report {
        workload: experiment.workload.name.clone(),
        seed: experiment.workload.seed,
        duration_ms: experiment.workload.duration.as_millis() as u64,
        planned: context.plan.len(),
        added: routes.and_then(|(entry, direct)| AddedLatency::between(entry, direct)),
        entry,
        direct,
        engines,
        tools,
        checks,
    })
}

fn build_entry_route(experiment: &Experiment, http: &HttpClient) -> Result<Option<EntryRoute>> {
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
