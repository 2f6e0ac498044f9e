//! `sapphireford-gateway`: the process on each VM of the users' platform.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use getopts::Options;
use sapphireford::error::chain;
use sapphireford::process::gateway::running::RunningGateway;
use sapphireford::process::gateway::settings::GatewaySettings;
use sapphireford::process::metrics::Metrics;
use sapphireford::process::timer::TimerService;
use sapphireford::process::{logging, shutdown};

/// Exit code for wrong usage.
const EXIT_USAGE: u8 = 2;
/// Names the settings file where no option does.
const SETTINGS_VARIABLE: &str = "SAPPHIREFORD_SETTINGS";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match parse(&arguments) {
        Ok(Command::Run { settings, level }) => report(run(&settings, &level)),
        Ok(Command::Check { settings }) => report(check(&settings)),
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
    let settings_help = format!("JSON file with the settings; default: ${SETTINGS_VARIABLE}");
    options.optopt("s", "settings", &settings_help, "FILE");
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
            options.usage("usage: sapphireford-gateway [--settings FILE]"),
        ));
    }
    let settings = matches
        .opt_str("settings")
        .or_else(|| std::env::var(SETTINGS_VARIABLE).ok())
        .ok_or_else(|| {
            format!("`--settings FILE` or ${SETTINGS_VARIABLE} is missing; see --help")
        })?;
    let settings = PathBuf::from(settings);
    if matches.opt_present("check") {
        return Ok(Command::Check { settings });
    }
    let level = matches
        .opt_str("log-level")
        .unwrap_or_else(|| "info".to_string());
    Ok(Command::Run { settings, level })
}

fn report(result: Result<(), Box<dyn std::error::Error>>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {}", chain(&*error));
            ExitCode::FAILURE
        }
    }
}

fn check(path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    GatewaySettings::load(path)?;
    println!("the settings are valid");
    Ok(())
}

fn run(path: &Path, level: &str) -> Result<(), Box<dyn std::error::Error>> {
    let settings = GatewaySettings::load(path)?;
    logging::install_bounded(logging::parse_level(level)?)?;
    let metrics = Metrics::install()?;
    shutdown::install()?;
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let timer = TimerService::start();
        let entry_id = settings.entry_id.clone();
        let mut gateway = RunningGateway::start(settings, metrics, timer.clone())?;
        println!("listening on {}", gateway.address());
        log::info!(gateway = &*entry_id; "gateway started");
        loop {
            match shutdown::requested_or_reload(&timer).await {
                shutdown::Request::Stop => break,
                shutdown::Request::Reload => match GatewaySettings::load(path) {
                    Ok(settings) => gateway.reload(settings),
                    Err(error) => log::error!("settings not reloaded: {}", chain(&error)),
                },
            }
        }
        log::info!("stop requested");
        gateway.shut_down().await;
        Ok(())
    })
}
