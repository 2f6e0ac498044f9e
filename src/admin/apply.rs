//! `apply FOLDER`: applies a folder as the next version and waits until the version is in force on
//! the entries.

use std::time::Duration;

use serde_json::json;

use crate::admin::diff::describe_changes;
use crate::admin::rollout::{self, Rollout};
use crate::admin::{Arguments, Report, Result};
use crate::connection::platform::PlatformClient;
use crate::ids::VersionNumber;
use crate::version::diff::Change;
use crate::version::merge::MergedConfig;
use crate::version::store::{self, ApplyOutcome};

/// Default timeout of the wait for the entries. The design requires a version to be in force within
/// 7 s.
const DEFAULT_ROLLOUT_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between reads of the entry rows.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Runs the subcommand.
pub async fn run(arguments: &Arguments) -> Result<Report> {
    let merged = MergedConfig::read_folder(arguments.folder_operand()?)?;
    let expected = arguments.parse_number("expect", &arguments.required_option("expect")?)?;
    let author = arguments.required_option("author")?;
    let reason = arguments.required_option("reason")?;
    let timeout = match arguments.option_value("wait-ms") {
        Some(text) => Duration::from_millis(arguments.parse_number("wait-ms", &text)?),
        None => DEFAULT_ROLLOUT_TIMEOUT,
    };
    let platform = arguments.platform_client()?;
    match store::apply(&platform, expected, &merged, &author, &reason).await? {
        ApplyOutcome::Refused {
            current,
            difference,
        } => Ok(refused_report(expected, current, &difference)),
        ApplyOutcome::Applied { version, changes } => {
            let rollout = wait_for_entries(&platform, version, timeout).await;
            Ok(applied_report(version, &changes, rollout, timeout))
        }
    }
}

fn refused_report(
    expected: VersionNumber,
    current: VersionNumber,
    difference: &[Change],
) -> Report {
    let text = format!(
        "refused: version {current} is in force, not {expected}; nothing was changed\n\
         see `log` for the changes since {expected}, then apply with `--expect {current}`\n\
         changes that the folder would make to version {current}:\n{}",
        describe_changes(difference)
    );
    Report {
        is_success: false,
        text,
        json: json!({
            "done": false,
            "applied": false,
            "expected": expected,
            "current": current,
            "difference": difference,
        }),
    }
}

/// Waits until the version is in force on all live entries, or until the timeout expires. A failed
/// read of the rows does not end the wait, because the version is already accepted.
async fn wait_for_entries(
    platform: &PlatformClient,
    version: VersionNumber,
    timeout: Duration,
) -> Result<Rollout> {
    let timer = platform.timer();
    let deadline = timer.now().checked_add(timeout);
    let mut first = None;
    loop {
        let rollout = rollout::read(platform, version).await;
        let is_complete = rollout.as_ref().is_ok_and(Rollout::is_complete);
        let is_timed_out = deadline.is_some_and(|deadline| timer.now() >= deadline);
        if let Ok(rollout) = &rollout
            && first.is_none()
        {
            first = Some(rollout.clone());
        }
        if is_complete || is_timed_out {
            return rollout.map(|rollout| match &first {
                Some(first) => rollout.with_unrenewed_leases(first, timeout),
                None => rollout,
            });
        }
        timer.sleep(POLL_INTERVAL).await;
    }
}

fn applied_report(
    version: VersionNumber,
    changes: &[Change],
    rollout: Result<Rollout>,
    timeout: Duration,
) -> Report {
    let mut text = format!(
        "version {version} is accepted\n{}",
        describe_changes(changes)
    );
    let mut json = json!({"applied": true, "version": version, "changes": changes});
    let is_success = match &rollout {
        Ok(rollout) if rollout.is_complete() => {
            text.push_str(&format!(
                "it is in force on {}\n",
                rollout.describe_live_entries()
            ));
            true
        }
        // With a timeout of 0 the state of the rollout does not affect the result.
        _ if timeout.is_zero() => true,
        Ok(rollout) => {
            text.push_str("not yet in force on all entries; do not apply again\n");
            text.push_str(&rollout.describe_pending_entries());
            false
        }
        Err(error) => {
            text.push_str(&format!(
                "could not read the entries: {error}; do not apply again, check `rollout`\n"
            ));
            json["error"] = json!(crate::error::chain(error));
            false
        }
    };
    json["done"] = json!(is_success);
    if let Ok(rollout) = &rollout {
        json["entries"] = json!(rollout.entries);
    }
    Report {
        is_success,
        text,
        json,
    }
}
