//! `log`: lists the accepted versions with author, reason and changes.

use serde_json::json;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::admin::diff::describe_changes;
use crate::admin::{Arguments, Report, Result};
use crate::version::store::{self, AuditRow};

/// Runs the subcommand.
pub async fn run(arguments: &Arguments) -> Result<Report> {
    let [] = arguments.operands()?;
    let platform = arguments.platform_client()?;
    let versions = store::read_audit_rows(&platform).await?;
    let text = match versions.is_empty() {
        true => "no version was accepted yet".to_string(),
        false => versions.iter().map(describe_version).collect(),
    };
    Ok(Report::success(
        text,
        json!({"done": true, "versions": versions}),
    ))
}

fn describe_version(audit: &AuditRow) -> String {
    format!(
        "version {} at {} by {}: {}\n{}",
        audit.version,
        format_time(audit.time_ms),
        audit.author,
        audit.reason,
        describe_changes(&audit.changes)
    )
}

fn format_time(millis: u64) -> String {
    let seconds = (millis / 1_000) as i64;
    let time = OffsetDateTime::from_unix_timestamp(seconds).ok();
    let text = time.and_then(|time| time.format(&Rfc3339).ok());
    text.unwrap_or_else(|| format!("{millis} ms since 1970"))
}
