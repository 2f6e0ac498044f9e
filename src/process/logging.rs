//! The log: JSON lines on standard error, with the key-values of each record.

use std::fmt;
use std::io;

use log::LevelFilter;
use logforth::append::{Stderr, Stdout};
use logforth::layout::JsonLayout;

/// The result of setting up the log.
pub type Result<T> = std::result::Result<T, LoggingError>;

/// Why the log could not be set up.
#[derive(Debug)]
pub enum LoggingError {
    /// There is no level of this name.
    Level(String),
    /// The process has set up its log before.
    Installed(io::Error),
}

impl fmt::Display for LoggingError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoggingError::Level(level) => write!(
                formatter,
                "there is no log level `{level}`; use off, error, warn, info, debug or trace"
            ),
            LoggingError::Installed(_) => formatter.write_str("the log is already set up"),
        }
    }
}

impl std::error::Error for LoggingError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            LoggingError::Level(_) => None,
            LoggingError::Installed(error) => Some(error),
        }
    }
}

/// Parses the level of an option such as `--log-level`.
pub fn parse_level(level: &str) -> Result<LevelFilter> {
    level
        .parse()
        .map_err(|_| LoggingError::Level(level.to_string()))
}

/// Sends the log of this process to standard error, from `level` up.
pub fn install(level: LevelFilter) -> Result<()> {
    let output = Stderr::default().with_layout(JsonLayout::default());
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(output))
        .try_apply()
        .map_err(|error| LoggingError::Installed(io::Error::other(error.to_string())))?;
    log::set_max_level(level);
    Ok(())
}

/// Sends the log of this process to standard output, from `level` up.
pub fn install_stdout(level: LevelFilter) -> Result<()> {
    let output = Stdout::default().with_layout(JsonLayout::default());
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(output))
        .try_apply()
        .map_err(|error| LoggingError::Installed(io::Error::other(error.to_string())))?;
    log::set_max_level(level);
    Ok(())
}
