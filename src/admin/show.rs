//! `show`: prints the accepted configuration, or which file set each of its values.

use serde_json::json;

use crate::admin::{Arguments, Report, Result};
use crate::version::merge::MergedConfig;
use crate::version::store;

/// Runs the subcommand.
pub async fn run(arguments: &Arguments) -> Result<Report> {
    let [] = arguments.operands()?;
    let platform = arguments.platform_client()?;
    let head = store::read_head(&platform).await?;
    let version = head.as_ref().map_or(0, |head| head.version);
    let merged = store::read_document(&platform, version).await?;
    let text = match arguments.matches.opt_present("origin") {
        true => describe_origins(&merged),
        false => format!("{:#}", merged.document),
    };
    let json = json!({
        "done": true,
        "version": version,
        "author": head.as_ref().map(|head| &head.author),
        "applied_at_ms": head.as_ref().map(|head| head.applied_at_ms),
        "document": merged.document,
        "origins": merged.origins,
    });
    let text = format!("version {version}\n{text}");
    Ok(Report::success(text, json))
}

fn describe_origins(merged: &MergedConfig) -> String {
    let mut paths: Vec<&String> = merged.origins.keys().collect();
    paths.sort();
    let mut text = String::new();
    for path in paths {
        let origin = &merged.origins[path];
        let value = merged.document.pointer(path).cloned().unwrap_or_default();
        text.push_str(&format!("{path} = {value}  ({}", origin.file));
        if !origin.overrode.is_empty() {
            text.push_str(&format!(", overrides {}", origin.overrode.join(", ")));
        }
        text.push_str(")\n");
    }
    text
}
