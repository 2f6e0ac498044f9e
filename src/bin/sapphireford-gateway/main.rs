//! `sapphireford-gateway`: the server process of a gateway, one on each VM of the users' platform.
//!
//! SIGHUP reloads the settings; if the new ones are invalid, the current ones stay in effect.

use std::path::Path;
use std::process::ExitCode;

use sapphireford::error::chain;
use sapphireford::process::command_line::{self, ServerBinary};
use sapphireford::process::gateway::running::RunningGateway;
use sapphireford::process::gateway::settings::GatewaySettings;
use sapphireford::process::metrics::Metrics;
use sapphireford::process::timer::TimerService;
use sapphireford::process::{logging, shutdown};

fn main() -> ExitCode {
    let program = ServerBinary {
        name: "sapphireford-gateway",
        settings_variable: Some("SAPPHIREFORD_SETTINGS"),
        check: |settings| Ok(GatewaySettings::load(settings).map(drop)?),
        run,
    };
    program.main()
}

fn run(path: &Path, log_level: &str) -> command_line::Result {
    let settings = GatewaySettings::load(path)?;
    logging::install_bounded(logging::parse_level(log_level)?)?;
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
            match shutdown::wait_for_request(&timer).await {
                shutdown::ControlRequest::Stop => break,
                shutdown::ControlRequest::Reload => match GatewaySettings::load(path) {
                    Ok(settings) => gateway.reload(settings),
                    Err(error) => log::error!("could not reload the settings: {}", chain(&error)),
                },
            }
        }
        log::info!("stop requested");
        gateway.shut_down().await;
        log::logger().flush();
        Ok(())
    })
}
