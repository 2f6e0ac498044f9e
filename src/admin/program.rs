//! `program TEAM CONVERSATION`: shows the runs of a conversation.

use hyper::Method;

use crate::admin::operator::{any_entry_address, call, program_path};
use crate::admin::{Arguments, Report, Result};

/// Runs the subcommand.
pub async fn run(arguments: &Arguments) -> Result<Report> {
    let [team, conversation] = arguments.operands()?;
    let path = program_path(team, conversation)?;
    let address = any_entry_address(arguments).await?;
    call(arguments, address, Method::GET, &path).await
}
