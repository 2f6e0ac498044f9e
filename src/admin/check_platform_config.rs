//! `check-platform-config FILE`: checks a configuration for the users' platform before it is sent.

use std::path::Path;

use sapphireford_platform::operator::{self, ConfigRecord};
use serde_json::json;

use crate::admin::{AdminError, Arguments, Report, Result};
use crate::version::config_check::{self, Severity};

/// Runs the subcommand.
pub fn run(arguments: &Arguments) -> Result<Report> {
    let [file] = arguments.operands()?;
    let config = read(file)?;
    let in_force = arguments.option_value("in-force");
    let in_force = in_force.map(|file| read(&file)).transpose()?;
    let mut findings = config_check::check(&config);
    if let Some(in_force) = &in_force
        && config.version <= in_force.version
    {
        let (version, version_in_force) = (config.version, in_force.version);
        let finding = config_check::Finding {
            severity: Severity::Error,
            subject: "configuration".to_string(),
            message: format!(
                "version {version} is not above version {version_in_force}, which is in force, so \
                 gateways ignore it"
            ),
        };
        findings.insert(0, finding);
    }
    let changes = in_force.map(|in_force| config_check::changes(&in_force, &config));
    let count = |severity| {
        let matching = findings.iter().filter(|found| found.severity == severity);
        matching.count()
    };
    let (errors, warnings) = (count(Severity::Error), count(Severity::Warning));
    let is_strict = arguments.matches.opt_present("strict");
    let is_success = errors == 0 && !(is_strict && warnings > 0);
    let lines = findings.iter().map(|finding| finding.to_string());
    let mut lines: Vec<String> = lines.collect();
    if let Some(changes) = &changes {
        lines.push(format!("{} changes:", changes.len()));
        lines.extend(changes.iter().map(|change| change.to_string()));
    }
    lines.push(format!("{errors} errors, {warnings} warnings"));
    Ok(Report {
        is_success,
        text: lines.join("\n"),
        json: json!({
            "done": is_success,
            "version": config.version,
            "findings": findings,
            "changes": changes,
        }),
    })
}

fn read(file: &str) -> Result<ConfigRecord> {
    let value = std::fs::read(file)
        .map_err(|error| AdminError::File(Path::new(file).to_path_buf(), error))?;
    operator::decode(&value).map_err(|error| {
        let reason = crate::error::chain(&error);
        AdminError::Refused(format!("`{file}` is not a configuration: {reason}"))
    })
}
