//! The stand-in of `sapphireford_standin::row_store` as a process.

use std::process::ExitCode;

use sapphireford_standin::row_store::{RowStore, options};
use sapphireford_standin::server;

fn main() -> ExitCode {
    server::run(options(), RowStore::new)
}
