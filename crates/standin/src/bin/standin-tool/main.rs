//! Runs the stand-in tool service of `sapphireford_standin::tool` as a process.

use std::process::ExitCode;

use sapphireford_standin::server;
use sapphireford_standin::tool::{Tool, options};

fn main() -> ExitCode {
    server::run(options(), Tool::new)
}
