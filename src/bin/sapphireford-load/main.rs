//! The load and experiment tool.

mod arguments;

use std::cell::RefCell;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Instant;

use indexmap::IndexMap;
use monoio::{LegacyDriver, RuntimeBuilder};
use sapphireford::caller::{CallError, Caller};
use sapphireford::connection::http_client::HttpClient;
use sapphireford::error::chain;
use sapphireford::load::checks::Checks;
use sapphireford::load::report::{AddedLatency, Report, RouteReport};
use sapphireford::load::route::{DirectRoute, EntryRoute, Route};
use sapphireford::load::runner::Runner;
use sapphireford::load::stats::Baseline;
use sapphireford::load::workload::PlannedProgram;
use sapphireford::process::timer::TimerService;

use crate::arguments::{Arguments, Parsed};

/// A file could not be read or written.
const EXIT_LOCAL: u8 = 1;
/// The command line, a workload or a key is not valid; nothing was sent.
const EXIT_USAGE: u8 = 2;
/// A check of an invariant failed.
const EXIT_CHECK: u8 = 3;
/// No program finished.
const EXIT_NOTHING: u8 = 4;

fn main() -> ExitCode {
    let arguments = match Arguments::parse(std::env::args().skip(1)) {
        Ok(Parsed::Run(arguments)) => arguments,
        Ok(Parsed::Help(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("error: {}", chain(&error));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let mut runtime = match RuntimeBuilder::<LegacyDriver>::new().enable_timer().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: the runtime could not be started: {error}");
            return ExitCode::from(EXIT_LOCAL);
        }
    };
    let report = match runtime.block_on(run(&arguments)) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("error: {}", chain(&error));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    print!("{}", report.table());
    if let Some(path) = &arguments.report {
        let written = serde_json::to_vec_pretty(&report)
            .map_err(std::io::Error::from)
            .and_then(|bytes| std::fs::write(path, bytes));
        if let Err(error) = written {
            eprintln!("error: could not write the report `{path}`: {error}");
            return ExitCode::from(EXIT_LOCAL);
        }
    }
    exit_code(&report)
}

fn exit_code(report: &Report) -> ExitCode {
    if !report.checks.passed {
        return ExitCode::from(EXIT_CHECK);
    }
    let routes = [&report.entry, &report.direct];
    let finished =
        |route: &RouteReport| route.groups.get("all").is_some_and(|all| all.finished > 0);
    if report.planned > 0 && !routes.into_iter().flatten().any(finished) {
        return ExitCode::from(EXIT_NOTHING);
    }
    ExitCode::SUCCESS
}

/// One route with all that its run needs.
struct Experiment<'a> {
    arguments: &'a Arguments,
    plan: Rc<Vec<PlannedProgram>>,
    checks: Rc<RefCell<Checks>>,
    timer: TimerService,
    start: Instant,
}

impl Experiment<'_> {
    async fn route<R: Route>(&self, route: Option<R>, name: &str) -> Option<RouteReport> {
        // Conversations of an earlier run with the same seed must not be continued.
        let prefix = format!("load-{}-{name}", self.arguments.run_name);
        let runner = Runner::new(
            route?,
            self.arguments.workload.clone(),
            prefix,
            self.timer.clone(),
            self.checks.clone(),
        );
        let drain = self.arguments.drain;
        let unfinished = runner.run(&self.plan, self.start, drain).await;
        Some(runner.with_measures(|measures| RouteReport::new(measures, unfinished)))
    }
}

async fn run(arguments: &Arguments) -> Result<Report, CallError> {
    let timer = TimerService::start();
    let http = HttpClient::new(timer.clone());
    let entry = entry_route(arguments, &http)?;
    let direct = arguments.direct.map(|engine| {
        let tool = arguments.tools.first().copied();
        DirectRoute::new(http.clone(), engine, tool)
    });
    let engines = Baseline::read(&http, &arguments.engines).await;
    let tools = Baseline::read(&http, &arguments.tools).await;
    let experiment = Experiment {
        arguments,
        plan: Rc::new(arguments.workload.plan()),
        checks: Rc::default(),
        timer,
        start: Instant::now(),
    };
    let (entry, direct) = futures_util::join!(
        experiment.route(entry, "entry"),
        experiment.route(direct, "direct")
    );
    let engines = engines.compare(&http).await;
    let tools = tools.compare(&http).await;
    let checks = experiment.checks.borrow().finish(&tools);
    let routes = entry.as_ref().zip(direct.as_ref());
    Ok(Report {
        workload: arguments.workload.name.clone(),
        seed: arguments.workload.seed,
        duration_ms: arguments.workload.duration.as_millis() as u64,
        planned: experiment.plan.len(),
        added: routes.and_then(|(entry, direct)| AddedLatency::between(entry, direct)),
        entry,
        direct,
        engines,
        tools,
        checks,
    })
}

fn entry_route(arguments: &Arguments, http: &HttpClient) -> Result<Option<EntryRoute>, CallError> {
    if arguments.entries.is_empty() {
        return Ok(None);
    }
    let caller = |key: &str| Caller::new(http.clone(), arguments.entries.clone(), key);
    let mut teams = IndexMap::new();
    for (team, key) in &arguments.team_keys {
        teams.insert(team.as_str().into(), caller(key)?);
    }
    Ok(Some(EntryRoute::new(caller(&arguments.key)?, teams)))
}
