//! `sapphireford-entry`: the process on each entry VM.

use std::path::PathBuf;
use std::process::ExitCode;

use getopts::Options;
use sapphireford::error::chain;
use sapphireford::process::entry::RunningEntry;
use sapphireford::process::metrics::Metrics;
use sapphireford::process::settings::Settings;
use sapphireford::process::{invariant, logging, shutdown};

/// Exit code for wrong usage.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match parse(&arguments) {
        Ok(Command::Run { settings, level }) => run(&settings, &level),
        Ok(Command::Check { settings }) => check(&settings),
        Ok(Command::Help(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("error: {message}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

enum Command {
    Run { settings: PathBuf, level: String },
    Check { settings: PathBuf },
    Help(String),
}

fn parse(arguments: &[String]) -> Result<Command, String> {
    let mut options = Options::new();
    options.optopt(
        "s",
        "settings",
        "JSON file with the settings of this entry",
        "FILE",
    );
    options.optopt(
        "l",
        "log-level",
        "error, warn, info (default), debug or trace",
        "LEVEL",
    );
    options.optflag("", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help");
    let matches = options
        .parse(arguments)
        .map_err(|error| format!("{error}; see --help"))?;
    if matches.opt_present("help") {
        return Ok(Command::Help(
            options.usage("usage: sapphireford-entry --settings FILE"),
        ));
    }
    let settings = matches
        .opt_str("settings")
        .ok_or("`--settings FILE` is missing; see --help")?;
    let settings = PathBuf::from(settings);
    if matches.opt_present("check") {
        return Ok(Command::Check { settings });
    }
    let level = matches
        .opt_str("log-level")
        .unwrap_or_else(|| "info".to_string());
    Ok(Command::Run { settings, level })
}

fn check(path: &std::path::Path) -> ExitCode {
    match Settings::load(path) {
        Ok(_) => {
            println!("the settings are valid");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: {}", chain(&error));
            ExitCode::FAILURE
        }
    }
}

fn run(path: &std::path::Path, level: &str) -> ExitCode {
    match start(path, level) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {}", chain(&*error));
            ExitCode::FAILURE
        }
    }
}

fn start(path: &std::path::Path, level: &str) -> Result<(), Box<dyn std::error::Error>> {
    let settings = Settings::load(path)?;
    logging::install(logging::parse_level(level)?)?;
    let metrics = Metrics::install()?;
    shutdown::install()?;
    if settings.abort_on_violation {
        invariant::abort_on_violation();
    }
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let timer = sapphireford::process::timer::TimerService::start();
        let entry_id = settings.entry_id.clone();
        let entry = RunningEntry::start(settings, metrics)?;
        println!("listening on {}", entry.address());
        log::info!(entry = &*entry_id; "entry started");
        shutdown::requested(&timer).await;
        log::info!("shutting down");
        entry.shut_down().await;
        Ok(())
    })
}
