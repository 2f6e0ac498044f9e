//! `check FOLDER`: checks a configuration folder without the platform.

use serde_json::json;

use crate::admin::{Arguments, Report, Result};
use crate::version::config::Config;
use crate::version::merge::MergedConfig;

/// Runs the subcommand.
pub fn run(arguments: &Arguments) -> Result<Report> {
    let merged = MergedConfig::read_folder(arguments.folder_operand()?)?;
    let config = Config::try_from(&merged)?;
    let text = format!(
        "the configuration is valid: {} teams, {} operators, {} models, {} backend servers, \
         {} tools, {} services, {} programs",
        config.teams.len(),
        config.operators.len(),
        config.models.len(),
        config.backend_servers.len(),
        config.tools.len(),
        config.services.len(),
        config.programs.len(),
    );
    let json = json!({
        "done": true,
        "teams": config.teams.len(),
        "operators": config.operators.len(),
        "models": config.models.len(),
        "backend_servers": config.backend_servers.len(),
        "tools": config.tools.len(),
        "services": config.services.len(),
        "programs": config.programs.len(),
    });
    Ok(Report::success(text, json))
}
