//! Runs the stand-in backend server of `sapphireford_standin::backend_server` as a process.

use std::process::ExitCode;

use sapphireford_standin::backend_server::{BackendServer, options};
use sapphireford_standin::server;

fn main() -> ExitCode {
    server::run(options(), BackendServer::new)
}
