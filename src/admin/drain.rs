//! `drain ENTRY`: drains an entry and shuts it down.

use hyper::Method;

use crate::admin::operator::{call_entry, entry_address};
use crate::admin::{Arguments, Report, Result};

/// Runs the subcommand.
pub async fn run(arguments: &Arguments) -> Result<Report> {
    let [entry] = arguments.operands()?;
    let address = entry_address(arguments, entry).await?;
    call_entry(arguments, address, Method::POST, "/v1/operator/drain").await
}
