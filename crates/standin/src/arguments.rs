//! Command line options of the stand-ins.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};

/// The result of reading options.
pub type Result<T> = std::result::Result<T, ArgumentError>;

/// Why the command line was refused.
#[derive(Debug)]
pub enum ArgumentError {
    /// An option is unknown or lacks its value.
    Syntax(getopts::Fail),
    /// The value of an option cannot be parsed.
    Value(&'static str, String),
}

impl fmt::Display for ArgumentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ArgumentError::Syntax(error) => error.fmt(formatter),
            ArgumentError::Value(name, value) => {
                write!(formatter, "the value `{value}` of --{name} is not valid")
            }
        }
    }
}

impl std::error::Error for ArgumentError {}

/// Option that each stand-in has: the address to listen on.
const LISTEN_OPTION: &str = "listen";
const DEFAULT_LISTEN_ADDRESS: &str = "127.0.0.1:0";

/// The parsed command line.
pub struct Arguments {
    matches: Matches,
}

impl Arguments {
    /// Parses the words after the program name. `--listen` is added to `options`.
    pub fn parse(mut options: Options, args: &[String]) -> Result<Self> {
        options.optopt(
            "",
            LISTEN_OPTION,
            "address to listen on; port 0 chooses a free one",
            "ADDRESS",
        );
        let matches = options.parse(args).map_err(ArgumentError::Syntax)?;
        Ok(Self { matches })
    }

    /// The address to listen on.
    pub fn listen_address(&self) -> Result<SocketAddr> {
        let text = self
            .matches
            .opt_str(LISTEN_OPTION)
            .unwrap_or_else(|| DEFAULT_LISTEN_ADDRESS.to_string());
        text.parse()
            .map_err(|_| ArgumentError::Value(LISTEN_OPTION, text))
    }

    /// The value of an option, or `default` if it is absent.
    pub fn value_or<T: FromStr>(&self, name: &'static str, default: T) -> Result<T> {
        match self.matches.opt_str(name) {
            None => Ok(default),
            Some(text) => text.parse().map_err(|_| ArgumentError::Value(name, text)),
        }
    }

    /// The value of an option in milliseconds, fractions allowed.
    pub fn millis_or(&self, name: &'static str, default_ms: f64) -> Result<Duration> {
        let value_ms = self.value_or(name, default_ms)?;
        Duration::try_from_secs_f64(value_ms / 1000.0)
            .map_err(|_| ArgumentError::Value(name, value_ms.to_string()))
    }

    /// Whether a flag is given.
    pub fn flag(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }
}
