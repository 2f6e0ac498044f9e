//! `diff FOLDER`: shows the changes that applying a folder would make.

use serde_json::{Value, json};

use crate::admin::{Arguments, Report, Result};
use crate::version::config::Config;
use crate::version::diff::{Change, diff};
use crate::version::merge::MergedConfig;
use crate::version::store;

/// Runs the subcommand.
pub async fn run(arguments: &Arguments) -> Result<Report> {
    let merged = MergedConfig::read_folder(arguments.folder_operand()?)?;
    Config::try_from(&merged)?;
    let platform = arguments.platform_client()?;
    let version = store::read_head(&platform)
        .await?
        .map_or(0, |head| head.version);
    let accepted = store::read_document(&platform, version).await?;
    let changes = diff(&accepted.document, &merged.document);
    let text = match changes.is_empty() {
        true => format!("no change from version {version}"),
        false => format!(
            "changes from version {version}:\n{}",
            describe_changes(&changes)
        ),
    };
    let json = json!({"done": true, "version": version, "changes": changes});
    Ok(Report::success(text, json))
}

/// Formats changes as one line each: `+` added, `-` removed, `~` changed.
pub fn describe_changes(changes: &[Change]) -> String {
    changes.iter().map(describe_change).collect()
}

fn describe_change(change: &Change) -> String {
    let Change { path, old, new } = change;
    let format_value =
        |value: &Option<Value>| value.as_ref().map(Value::to_string).unwrap_or_default();
    match (old, new) {
        (None, _) => format!("  + {path}: {}\n", format_value(new)),
        (_, None) => format!("  - {path}: {}\n", format_value(old)),
        _ => format!(
            "  ~ {path}: {} -> {}\n",
            format_value(old),
            format_value(new)
        ),
    }
}
