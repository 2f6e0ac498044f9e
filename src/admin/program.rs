//! `program TEAM CONVERSATION`: shows the runs of a conversation.

use hyper::Method;

use crate::admin::operator::{call_entry, program_path, select_entry_address};
use crate::admin::{Arguments, Report, Result};

/// Runs the subcommand.
pub async fn run(arguments: &Arguments) -> Result<Report> {
    let [team, conversation] = arguments.operands()?;
    let path = program_path(team, conversation)?;
    let address = select_entry_address(arguments).await?;
    call_entry(arguments, address, Method::GET, &path).await
}
