//! `diff FOLDER`: shows what applying a folder would change.

use serde_json::{Value, json};

use crate::admin::{Arguments, Report, Result};
use crate::version::config::Config;
use crate::version::diff::{Change, diff};
use crate::version::merge::MergedConfig;
use crate::version::store;

/// Runs the subcommand.
pub async fn run(arguments: &Arguments) -> Result<Report> {
    let merged = MergedConfig::read_folder(arguments.folder()?)?;
    Config::try_from(&merged)?;
    let platform = arguments.platform()?;
    let version = store::read_head(&platform)
        .await?
        .map_or(0, |head| head.version);
    let accepted = store::read_document(&platform, version).await?;
    let changes = diff(&accepted.document, &merged.document);
    let text = match changes.is_empty() {
        true => format!("no change from version {version}"),
        false => format!("changes from version {version}:\n{}", describe(&changes)),
    };
    let json = json!({"done": true, "version": version, "changes": changes});
    Ok(Report::done(text, json))
}

/// One line for each change.
pub fn describe(changes: &[Change]) -> String {
    changes.iter().map(describe_one).collect()
}

fn describe_one(change: &Change) -> String {
    let Change { path, old, new } = change;
    let show = |value: &Option<Value>| value.as_ref().map(Value::to_string).unwrap_or_default();
    match (old, new) {
        (None, _) => format!("  + {path}: {}\n", show(new)),
        (_, None) => format!("  - {path}: {}\n", show(old)),
        _ => format!("  ~ {path}: {} -> {}\n", show(old), show(new)),
    }
}
