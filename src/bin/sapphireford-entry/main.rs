//! `sapphireford-entry`: the server process of an entry, one on each entry VM.

use std::path::Path;
use std::process::ExitCode;

use sapphireford::process::command_line::{self, ServerBinary};
use sapphireford::process::entry::RunningEntry;
use sapphireford::process::metrics::Metrics;
use sapphireford::process::settings::Settings;
use sapphireford::process::timer::TimerService;
use sapphireford::process::{invariant, logging, shutdown};

fn main() -> ExitCode {
    let program = ServerBinary {
        name: "sapphireford-entry",
        settings_variable: None,
        check: |settings| Ok(Settings::load(settings).map(drop)?),
        run,
    };
    program.main()
}

fn run(path: &Path, log_level: &str) -> command_line::Result {
    let settings = Settings::load(path)?;
    logging::install(logging::parse_level(log_level)?)?;
    let metrics = Metrics::install()?;
    shutdown::install()?;
    if settings.abort_on_violation {
        invariant::abort_on_violation();
    }
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let timer = TimerService::start();
        let entry_id = settings.entry_id.clone();
        let entry = RunningEntry::start(settings, metrics)?;
        println!("listening on {}", entry.address());
        log::info!(entry = &*entry_id; "entry started");
        shutdown::wait_for_stop(&timer).await;
        log::info!("shutdown requested; stopping the entry");
        entry.shut_down().await;
        Ok(())
    })
}
