//! Sets up the log of a process: one JSON line for each record with its fields.
//!
//! [`install`] writes to standard error and may block on it. [`install_bounded`] never blocks the
//! calling thread and limits the lines per second, see [`bounded`].

pub mod bounded;

use std::fmt;
use std::io;

use log::LevelFilter;
use logforth::append::Stderr;
use logforth::layout::JsonLayout;

use bounded::BoundedOutput;

/// The result of initializing the log.
pub type Result<T> = std::result::Result<T, LoggingError>;

/// Why the log could not be initialized.
#[derive(Debug)]
pub enum LoggingError {
    /// The contained name is not a log level.
    UnknownLevel(String),
    /// The process already has a logger.
    AlreadyInstalled(io::Error),
    /// The output thread could not be started.
    ThreadStart(io::Error),
}

impl fmt::Display for LoggingError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LoggingError::UnknownLevel(level) => write!(
                formatter,
                "unknown log level `{level}`; use off, error, warn, info, debug or trace"
            ),
            LoggingError::AlreadyInstalled(_) => {
                formatter.write_str("the log is already initialized")
            }
            LoggingError::ThreadStart(_) => {
                formatter.write_str("could not start the log output thread")
            }
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

/// Parses a log level as given to `--log-level`.
pub fn parse_level(level: &str) -> Result<LevelFilter> {
    level
        .parse()
        .map_err(|_| LoggingError::UnknownLevel(level.to_string()))
}

/// Writes the log of this process to standard error: records of `level` and more severe ones.
pub fn install(level: LevelFilter) -> Result<()> {
    let output = Stderr::default().with_layout(JsonLayout::default());
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(output))
        .try_apply()
        .map_err(|error| LoggingError::AlreadyInstalled(io::Error::other(error.to_string())))?;
    log::set_max_level(level);
    Ok(())
}

/// Writes the log of this process to standard output without blocking on it: records of `level` and
/// more severe ones. Excess lines are dropped.
pub fn install_bounded(level: LevelFilter) -> Result<()> {
    let output = BoundedOutput::start().map_err(LoggingError::ThreadStart)?;
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(output))
        .try_apply()
        .map_err(|error| LoggingError::AlreadyInstalled(io::Error::other(error.to_string())))?;
    log::set_max_level(level);
    Ok(())
}
