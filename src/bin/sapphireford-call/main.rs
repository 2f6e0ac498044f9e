//! The command for callers.

mod arguments;

use std::process::ExitCode;

use monoio::{LegacyDriver, RuntimeBuilder};
use sapphireford::caller::Caller;
use sapphireford::caller::script::{Player, StepError};
use sapphireford::connection::http_client::HttpClient;
use sapphireford::error::{Ran, chain};
use sapphireford::process::timer::TimerService;

use crate::arguments::{Arguments, Parsed, Work};

/// A file could not be read, or the output not written.
const EXIT_LOCAL: u8 = 1;
/// The command line or a script is not valid; nothing was sent.
const EXIT_USAGE: u8 = 2;
/// The request failed and did not run.
const EXIT_NOT_RUN: u8 = 3;
/// The request ran and failed.
const EXIT_RAN: u8 = 4;
/// It is not known whether the request ran.
const EXIT_UNKNOWN: u8 = 5;
/// A step of a script did not end as the script expects.
const EXIT_UNEXPECTED: u8 = 6;

fn main() -> ExitCode {
    let arguments = match Arguments::parse(std::env::args().skip(1)) {
        Ok(Parsed::Run(arguments)) => *arguments,
        Ok(Parsed::Help(text)) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("error: {}", chain(&error));
            return ExitCode::from(if error.is_local() {
                EXIT_LOCAL
            } else {
                EXIT_USAGE
            });
        }
    };
    let mut runtime = match RuntimeBuilder::<LegacyDriver>::new().enable_timer().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: the runtime could not be started: {error}");
            return ExitCode::from(EXIT_LOCAL);
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
    let mut player = Player::new(caller, std::io::stdout(), arguments.format);
    let result = match arguments.work {
        Work::Step(step) => player.play(*step).await,
        Work::Script(script) => player.play_script(script).await,
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
            Ran::Yes => EXIT_RAN,
            Ran::Unknown => EXIT_UNKNOWN,
        },
        StepError::UnknownRun(_) | StepError::InvalidMethod(_) => EXIT_USAGE,
        StepError::UnexpectedSuccess(_) => EXIT_UNEXPECTED,
        StepError::Output(_) => EXIT_LOCAL,
    }
}
