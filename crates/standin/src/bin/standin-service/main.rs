//! Runs the stand-in plain service of `sapphireford_standin::service` as a process.

use std::process::ExitCode;

use sapphireford_standin::server;
use sapphireford_standin::service::{Service, options};

fn main() -> ExitCode {
    server::run(options(), Service::new)
}
