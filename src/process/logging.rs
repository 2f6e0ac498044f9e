//! The log: JSON lines with the key-values of each record, on standard error or standard output.

pub mod bounded;

use std::fmt;
use std::io;

use log::LevelFilter;
use logforth::append::Stderr;
use logforth::layout::JsonLayout;

use bounded::BoundedOutput;

/// The result of setting up the log.
pub type Result<T> = std::result::Result<T, LoggingError>;

/// Why the log could not be set up.
#[derive(Debug)]
pub enum LoggingError {
    /// There is no level of this name.
    UnknownLevel(String),
    /// The process has set up its log before.
    AlreadyInstalled(io::Error),
    /// The thread that writes the log could not be started.
    ThreadStart(io::Error),
}

impl fmt::Display for LoggingError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoggingError::UnknownLevel(level) => write!(
                formatter,
                "there is no log level `{level}`; use off, error, warn, info, debug or trace"
            ),
            LoggingError::AlreadyInstalled(_) => formatter.write_str("the log is already set up"),
            LoggingError::ThreadStart(_) => formatter.write_str("could not start the log thread"),
        }
    }
}

impl std::error::Error for LoggingError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            LoggingError::UnknownLevel(_) => None,
            LoggingError::AlreadyInstalled(error) | LoggingError::ThreadStart(error) => Some(error),
        }
    }
}

/// Parses the level of an option such as `--log-level`.
pub fn parse_level(level: &str) -> Result<LevelFilter> {
    level
        .parse()
        .map_err(|_| LoggingError::UnknownLevel(level.to_string()))
}

/// Sends the log of this process to standard error, from `level` up.
pub fn install(level: LevelFilter) -> Result<()> {
    let output = Stderr::default().with_layout(JsonLayout::default());
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(output))
        .try_apply()
        .map_err(|error| LoggingError::AlreadyInstalled(io::Error::other(error.to_string())))?;
    log::set_max_level(level);
    Ok(())
}

/// Sends the log of this process to standard output, from `level` up, without ever blocking on it.
pub fn install_bounded(level: LevelFilter) -> Result<()> {
    let output = BoundedOutput::start().map_err(LoggingError::ThreadStart)?;
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(output))
        .try_apply()
        .map_err(|error| LoggingError::AlreadyInstalled(io::Error::other(error.to_string())))?;
    log::set_max_level(level);
    Ok(())
}
