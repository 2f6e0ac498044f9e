//! The command line that the server processes have in common.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use getopts::Options;

use crate::error::chain;

/// The result of a command; the error is printed with its causes.
pub type Result = std::result::Result<(), Box<dyn Error>>;

/// Exit code for wrong usage.
const EXIT_USAGE: u8 = 2;
/// Level of logs without an option.
const DEFAULT_LOG_LEVEL: &str = "info";

/// A server process as its command line sees it.
pub struct ServerBinary {
    /// The name of the binary.
    pub name: &'static str,
    /// The environment variable that names the settings file where no option does.
    pub settings_variable: Option<&'static str>,
    /// Reads the settings and does nothing else.
    pub check: fn(settings: &Path) -> Result,
    /// Runs the process until it is told to stop.
    pub run: fn(settings: &Path, log_level: &str) -> Result,
}

/// What the command line asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the process.
    Run {
        /// The settings file.
        settings: PathBuf,
        /// The level of logs.
        log_level: String,
    },
    /// Check the settings and exit.
    Check {
        /// The settings file.
        settings: PathBuf,
    },
    /// Print this help and exit.
    Help(String),
}

impl ServerBinary {
    /// Does what the command line of this process asks for.
    pub fn main(&self) -> ExitCode {
        let arguments: Vec<String> = std::env::args().skip(1).collect();
        let variable = self.settings_variable;
        let default = variable.and_then(|variable| std::env::var(variable).ok());
        match self.parse(&arguments, default) {
            Ok(Command::Run {
                settings,
                log_level,
            }) => exit_code((self.run)(&settings, &log_level)),
            Ok(Command::Check { settings }) => exit_code((self.check)(&settings).map(|()| {
                println!("the settings are valid");
            })),
            Ok(Command::Help(text)) => {
                println!("{text}");
                ExitCode::SUCCESS
            }
            Err(message) => {
                eprintln!("error: {message}");
                ExitCode::from(EXIT_USAGE)
            }
        }
    }

    /// Parses arguments. `default_settings` is the settings file without an option.
    pub fn parse(
        &self,
        arguments: &[String],
        default_settings: Option<String>,
    ) -> std::result::Result<Command, String> {
        let or_variable = match self.settings_variable {
            Some(variable) => format!(" or ${variable}"),
            None => String::new(),
        };
        let mut options = Options::new();
        let settings_help = match self.settings_variable {
            Some(variable) => format!("JSON file with the settings; default: ${variable}"),
            None => "JSON file with the settings".to_string(),
        };
        options.optopt("s", "settings", &settings_help, "FILE");
        options.optopt(
            "l",
            "log-level",
            "error, warn, info (default), debug or trace",
            "LEVEL",
        );
        options.optflag("", "check", "check the settings and exit");
        options.optflag("h", "help", "print this help");
        let matches = options
            .parse(arguments)
            .map_err(|error| format!("{error}; see --help"))?;
        if matches.opt_present("help") {
            let usage = format!("usage: {} --settings FILE", self.name);
            return Ok(Command::Help(options.usage(&usage)));
        }
        let settings = matches
            .opt_str("settings")
            .or(default_settings)
            .ok_or_else(|| format!("`--settings FILE`{or_variable} is missing; see --help"))?;
        let settings = PathBuf::from(settings);
        if matches.opt_present("check") {
            return Ok(Command::Check { settings });
        }
        let log_level = matches
            .opt_str("log-level")
            .unwrap_or_else(|| DEFAULT_LOG_LEVEL.to_string());
        Ok(Command::Run {
            settings,
            log_level,
        })
    }
}

fn exit_code(result: Result) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {}", chain(&*error));
            ExitCode::FAILURE
        }
    }
}
