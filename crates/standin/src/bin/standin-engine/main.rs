//! Runs the stand-in engine of `sapphireford_standin::engine` as a process.

use std::process::ExitCode;

use sapphireford_standin::engine::{Engine, options};
use sapphireford_standin::server;

fn main() -> ExitCode {
    server::run(options(), Engine::new)
}
