//! Command-line load generator: runs a workload against a site and reports latencies and checks.

mod arguments;

use std::process::ExitCode;

use monoio::{LegacyDriver, RuntimeBuilder};
use sapphireford::error::chain;
use sapphireford::load::experiment;
use sapphireford::load::report::{Report, RouteReport};

use crate::arguments::{Arguments, Invocation};

/// The report could not be written, or the runtime could not be started.
const EXIT_IO: u8 = 1;
/// The command line, the workload or a key is not valid, or a file that they name could not be
/// read; nothing was sent.
const EXIT_USAGE: u8 = 2;
/// A check of an invariant failed.
const EXIT_CHECK_FAILED: u8 = 3;
/// No program finished.
const EXIT_NONE_FINISHED: u8 = 4;

fn main() -> ExitCode {
    let arguments = match Arguments::parse(std::env::args().skip(1)) {
        Ok(Invocation::Run(arguments)) => arguments,
        Ok(Invocation::Help(text)) => {
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
            return ExitCode::from(EXIT_IO);
        }
    };
    let report = match runtime.block_on(experiment::run(&arguments.experiment)) {
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
            return ExitCode::from(EXIT_IO);
        }
    }
    exit_code(&report)
}

fn exit_code(report: &Report) -> ExitCode {
    if !report.checks.passed {
        return ExitCode::from(EXIT_CHECK_FAILED);
    }
    let routes = [&report.entry, &report.direct];
    let finished =
        |route: &RouteReport| route.groups.get("all").is_some_and(|all| all.finished > 0);
    if report.planned > 0 && !routes.into_iter().flatten().any(finished) {
        return ExitCode::from(EXIT_NONE_FINISHED);
    }
    ExitCode::SUCCESS
}
