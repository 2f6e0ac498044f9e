//! Runs the stand-in platform of `sapphireford_standin::platform` as a process.

use std::process::ExitCode;

use sapphireford_standin::platform::{Platform, options};
use sapphireford_standin::server;

fn main() -> ExitCode {
    server::run(options(), Platform::new)
}
