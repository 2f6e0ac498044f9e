//! The command line shared by the server processes.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use getopts::Options;

use crate::error::chain;

/// The result of a command; an error is printed with its chain of causes.
pub type Result = std::result::Result<(), Box<dyn Error>>;

/// Exit code for an invalid command line.
const EXIT_USAGE: u8 = 2;
const DEFAULT_LOG_LEVEL: &str = "info";

/// The parts of a server process that its command line needs.
pub struct ServerBinary {
    /// The name of the binary, for the help text.
    pub name: &'static str,
    /// The environment variable with the path of the settings file, used without `--settings`;
    /// `None` if the option is required.
    pub settings_variable: Option<&'static str>,
    /// Loads and validates the settings without side effects.
    pub check: fn(settings: &Path) -> Result,
    /// Runs the process until a graceful stop is requested.
    pub run: fn(settings: &Path, log_level: &str) -> Result,
}

/// A parsed command line.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Run the server.
    Run {
        /// Path of the settings file.
        settings: PathBuf,
        /// The name of the log level, not validated yet.
        log_level: String,
    },
    /// Validate the settings and exit.
    Check {
        /// Path of the settings file.
        settings: PathBuf,
    },
    /// Print the contained help text and exit.
    Help(String),
}

impl ServerBinary {
    /// Parses the command line of this process and executes it. The exit code is 2 for an invalid
    /// command line and 1 for other failures.
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

    /// Parses `arguments`, which exclude the program name. `default_settings` is the path used
    /// without `--settings`. The error is a message for the user.
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
