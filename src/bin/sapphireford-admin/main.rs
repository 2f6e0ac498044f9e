//! `sapphireford-admin`: the command with which operators configure and inspect a site.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    ExitCode::from(sapphireford::admin::main(&arguments))
}
