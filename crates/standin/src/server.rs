//! Entry point of the stand-in binaries: parses the command line, binds the listener and serves
//! requests until SIGTERM.

use std::error::Error;
use std::future::pending;
use std::io::Write;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use getopts::Options;
use monoio::{LegacyDriver, RuntimeBuilder};
use sapphireford::connection::http_server::{Handler, HttpLimits, serve};
use sapphireford::process::timer::TimerService;

use crate::arguments::Arguments;

/// Equal to the response limit of the platform client, so that every object that can be written can
/// also be read.
const BODY_LIMIT_BYTES: usize = 256 << 20;
/// Longer than any test, so that no test fails on a connection closed for idleness.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// Serves requests with the handler that `build_handler` returns. Prints `listening on ADDRESS`
/// once connections are accepted.
///
/// SIGTERM ends the process by its default action, because there is no state to persist.
pub fn run<H: Handler>(
    options: Options,
    build_handler: impl FnOnce(&Arguments, TimerService) -> crate::arguments::Result<H>,
) -> ExitCode {
    match try_run(options, build_handler) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn try_run<H: Handler>(
    options: Options,
    build_handler: impl FnOnce(&Arguments, TimerService) -> crate::arguments::Result<H>,
) -> Result<(), Box<dyn Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let arguments = Arguments::parse(options, &args)?;
    let listen_address = arguments.listen_address()?;
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_all().build()?;
    runtime.block_on(async {
        let timer = TimerService::start();
        let handler = Rc::new(build_handler(&arguments, timer.clone())?);
        let server = serve(listen_address, limits(), timer, handler)?;
        println!("listening on {}", server.address());
        std::io::stdout().flush()?;
        pending::<()>().await;
        Ok(())
    })
}

fn limits() -> HttpLimits {
    HttpLimits {
        max_body_bytes: BODY_LIMIT_BYTES,
        header_timeout: IDLE_TIMEOUT,
        ..HttpLimits::default()
    }
}
