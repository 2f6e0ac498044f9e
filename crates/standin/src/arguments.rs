//! Command line parsing shared by the stand-in binaries.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};

/// Result of parsing the command line.
pub type Result<T> = std::result::Result<T, ArgumentError>;

/// Reason why the command line is invalid.
#[derive(Debug)]
pub enum ArgumentError {
    /// An option is unknown, repeated or lacks its value.
    Syntax(getopts::Fail),
    /// The value of an option cannot be parsed: the option name and the value.
    Value(&'static str, String),
}

impl fmt::Display for ArgumentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ArgumentError::Syntax(error) => error.fmt(formatter),
            ArgumentError::Value(name, value) => {
                write!(formatter, "invalid value `{value}` for option --{name}")
            }
        }
    }
}

impl std::error::Error for ArgumentError {}

/// Option that every stand-in accepts.
const LISTEN_OPTION: &str = "listen";
const DEFAULT_LISTEN_ADDRESS: &str = "127.0.0.1:0";

/// The parsed options; their values are parsed when they are read.
pub struct Arguments {
    matches: Matches,
}

impl Arguments {
    /// Parses the arguments after the program name. Adds `--listen` to `options`.
    pub fn parse(mut options: Options, args: &[String]) -> Result<Self> {
        options.optopt(
            "",
            LISTEN_OPTION,
            "address to listen on; port 0 selects a free port",
            "ADDRESS",
        );
        let matches = options.parse(args).map_err(ArgumentError::Syntax)?;
        Ok(Self { matches })
    }

    /// Returns the address to listen on; a free port of the loopback interface by default.
    pub fn listen_address(&self) -> Result<SocketAddr> {
        let text = self
            .matches
            .opt_str(LISTEN_OPTION)
            .unwrap_or_else(|| DEFAULT_LISTEN_ADDRESS.to_string());
        text.parse()
            .map_err(|_| ArgumentError::Value(LISTEN_OPTION, text))
    }

    /// Returns the value of an option, or `default` if the option is absent.
    pub fn value_or<T: FromStr>(&self, name: &'static str, default: T) -> Result<T> {
        match self.matches.opt_str(name) {
            None => Ok(default),
            Some(text) => text.parse().map_err(|_| ArgumentError::Value(name, text)),
        }
    }

    /// Returns the value of an option in milliseconds, which may have a fraction, or `default_ms`
    /// if the option is absent.
    pub fn millis_or(&self, name: &'static str, default_ms: f64) -> Result<Duration> {
        let value_ms = self.value_or(name, default_ms)?;
        Duration::try_from_secs_f64(value_ms / 1000.0)
            .map_err(|_| ArgumentError::Value(name, value_ms.to_string()))
    }

    /// Returns whether a flag is present.
    pub fn flag(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }
}
