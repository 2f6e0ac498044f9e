//! Command-line client for callers: executes one call or a script of calls, and reports in the exit
//! code whether a failed request ran.

mod arguments;

use std::process::ExitCode;

use monoio::{LegacyDriver, RuntimeBuilder};
use sapphireford::caller::Caller;
use sapphireford::caller::script::{ScriptRunner, StepError};
use sapphireford::connection::http_client::HttpClient;
use sapphireford::error::{Ran, chain};
use sapphireford::process::timer::TimerService;

use crate::arguments::{Arguments, Command, Invocation};

/// A file could not be read, the output could not be written, or the runtime could not be started.
const EXIT_IO: u8 = 1;
/// The command line or a script is not valid; nothing was sent.
const EXIT_USAGE: u8 = 2;
/// The request failed and did not run, so it may be sent again.
const EXIT_NOT_RUN: u8 = 3;
/// The request ran and failed.
const EXIT_FAILED: u8 = 4;
/// It is unknown whether the request ran; it must be repeated with the same request id.
const EXIT_UNKNOWN: u8 = 5;
/// A step of a script succeeded although an error was expected.
const EXIT_UNEXPECTED_SUCCESS: u8 = 6;

fn main() -> ExitCode {
    let arguments = match Arguments::parse(std::env::args().skip(1)) {
        Ok(Invocation::Run(arguments)) => *arguments,
        Ok(Invocation::Help(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("error: {}", chain(&error));
            return ExitCode::from(if error.is_io_error() {
                EXIT_IO
            } else {
                EXIT_USAGE
            });
        }
    };
    let mut runtime = match RuntimeBuilder::<LegacyDriver>::new().enable_timer().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: the runtime could not be started: {error}");
            return ExitCode::from(EXIT_IO);
        }
    };
    runtime.block_on(run(arguments))
}

async fn run(arguments: Arguments) -> ExitCode {
    let http = HttpClient::new(TimerService::start());
    let caller = match Caller::new(http, arguments.entries, &arguments.key) {
        Ok(caller) => caller.with_options(arguments.options),
        Err(error) => {
            eprintln!("error: {}", chain(&error));
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let mut runner = ScriptRunner::new(caller, std::io::stdout(), arguments.format);
    let result = match arguments.command {
        Command::Step(step) => runner.run_step(*step).await,
        Command::Script(script) => runner.run_script(script).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {}", chain(&error));
            ExitCode::from(exit_code(&error))
        }
    }
}

fn exit_code(error: &StepError) -> u8 {
    match error {
        StepError::Call(_, error) => match error.ran() {
            Ran::No => EXIT_NOT_RUN,
            Ran::Yes => EXIT_FAILED,
            Ran::Unknown => EXIT_UNKNOWN,
        },
        StepError::UnknownRun(_) | StepError::InvalidMethod(_) => EXIT_USAGE,
        StepError::UnexpectedSuccess(_) => EXIT_UNEXPECTED_SUCCESS,
        StepError::Output(_) => EXIT_IO,
    }
}
