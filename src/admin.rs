//! Implementation of `sapphireford-admin`, the command of the operators.
//!
//! Each subcommand has a module, whose `run` function returns a [`Report`]. The report is printed
//! as text or, with `--json`, as one JSON object. The exit code is [`EXIT_SUCCESS`],
//! [`EXIT_FAILURE`] or [`EXIT_USAGE`].

use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use getopts::{Matches, Options};
use monoio::{LegacyDriver, RuntimeBuilder};
use serde_json::{Value, json};

use crate::connection::http_client::{ClientError, HttpClient};
use crate::connection::platform::{PlatformClient, PlatformError};
use crate::error::chain;
use crate::process::timer::TimerService;
use crate::version::check::CheckError;
use crate::version::merge::MergeError;
use crate::version::store::StoreError;

pub mod apply;
pub mod cancel;
pub mod certificates;
pub mod check;
pub mod check_platform_config;
pub mod diff;
pub mod drain;
pub mod key;
pub mod log;
pub mod operator;
pub mod program;
pub mod rollout;
pub mod show;
pub mod status;

/// The result of a subcommand.
pub type Result<T> = std::result::Result<T, AdminError>;

/// Exit code of a successful subcommand.
pub const EXIT_SUCCESS: u8 = 0;
/// Exit code of a subcommand that was refused, failed, or timed out waiting for the entries.
pub const EXIT_FAILURE: u8 = 1;
/// Exit code for invalid arguments; nothing was done.
pub const EXIT_USAGE: u8 = 2;

/// Environment variable with the address of the platform; `--platform` overrides it.
pub const PLATFORM_ENV_VAR: &str = "SAPPHIREFORD_PLATFORM";

const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a subcommand failed.
#[derive(Debug)]
pub enum AdminError {
    /// The arguments are invalid.
    Usage(String),
    /// The configuration folder could not be read.
    Merge(MergeError),
    /// The configuration is invalid.
    Check(CheckError),
    /// An accepted configuration version could not be read or written.
    Store(StoreError),
    /// A call to the platform failed.
    Platform(PlatformError),
    /// No complete answer was received from the entry at this address.
    Entry(SocketAddr, ClientError),
    /// The entry refused the request, or no entry can serve it.
    Refused(String),
    /// A file could not be read or written.
    File(PathBuf, std::io::Error),
    /// A key or certificate could not be generated or parsed.
    Certificate(rcgen::Error),
    /// The operating system's random number generator failed.
    Random(String),
}

impl fmt::Display for AdminError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AdminError::Usage(reason) | AdminError::Refused(reason) => formatter.write_str(reason),
            AdminError::Merge(error) => error.fmt(formatter),
            AdminError::Check(error) => error.fmt(formatter),
            AdminError::Store(error) => error.fmt(formatter),
            AdminError::Platform(_) => formatter
                .write_str("could not read the platform's table; check the address and try again"),
            AdminError::Entry(address, _) => {
                write!(formatter, "the entry at {address} gave no complete answer")
            }
            AdminError::File(path, _) => {
                write!(formatter, "could not read or write `{}`", path.display())
            }
            AdminError::Certificate(_) => formatter.write_str("could not create the certificate"),
            AdminError::Random(reason) => {
                write!(formatter, "could not generate random bytes: {reason}")
            }
        }
    }
}

impl std::error::Error for AdminError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            AdminError::Usage(_)
            | AdminError::Refused(_)
            | AdminError::Random(_)
            | AdminError::Check(_) => None,
            AdminError::Merge(error) => error.source(),
            AdminError::Store(error) => error.source(),
            AdminError::Platform(error) => Some(error),
            AdminError::Entry(_, error) => Some(error),
            AdminError::File(_, error) => Some(error),
            AdminError::Certificate(error) => Some(error),
        }
    }
}

impl From<MergeError> for AdminError {
    fn from(error: MergeError) -> Self {
        AdminError::Merge(error)
    }
}

impl From<CheckError> for AdminError {
    fn from(error: CheckError) -> Self {
        AdminError::Check(error)
    }
}

impl From<StoreError> for AdminError {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Invalid(error) => AdminError::Check(error),
            error => AdminError::Store(error),
        }
    }
}

impl From<PlatformError> for AdminError {
    fn from(error: PlatformError) -> Self {
        AdminError::Platform(error)
    }
}

/// The result of a subcommand.
#[derive(Debug)]
pub struct Report {
    /// Whether the subcommand was successful; determines the exit code.
    pub is_success: bool,
    /// Human-readable output.
    pub text: String,
    /// Machine-readable output; a JSON object.
    pub json: Value,
}

impl Report {
    /// Creates the report of a successful subcommand.
    pub fn success(text: impl Into<String>, json: Value) -> Self {
        Self {
            is_success: true,
            text: text.into(),
            json,
        }
    }
}

/// A subcommand with its arguments and options.
struct Command {
    name: &'static str,
    arguments: &'static str,
    options: &'static [&'static str],
    description: &'static str,
}

const COMMANDS: &[Command] = &[
    Command {
        name: "check",
        arguments: "FOLDER",
        options: &[],
        description: "check a configuration folder without the platform",
    },
    Command {
        name: "check-platform-config",
        arguments: "FILE [--in-force FILE] [--strict]",
        options: &["in-force", "strict"],
        description: "check a configuration for the users' platform before it is sent",
    },
    Command {
        name: "diff",
        arguments: "FOLDER",
        options: &["platform"],
        description: "show the changes that applying a folder would make",
    },
    Command {
        name: "apply",
        arguments: "FOLDER --expect N --author NAME --reason TEXT [--wait-ms N]",
        options: &["platform", "expect", "author", "reason", "wait-ms"],
        description: "apply a folder as next version if N is in force, then wait for the entries",
    },
    Command {
        name: "show",
        arguments: "[--origin]",
        options: &["platform", "origin"],
        description: "print the accepted configuration, or which file set each value",
    },
    Command {
        name: "log",
        arguments: "",
        options: &["platform"],
        description: "list the accepted versions with author, reason and changes",
    },
    Command {
        name: "rollout",
        arguments: "",
        options: &["platform"],
        description: "show on which entries the accepted version is in force",
    },
    Command {
        name: "status",
        arguments: "",
        options: &["platform"],
        description: "list the entries with their state and slots",
    },
    Command {
        name: "key",
        arguments: "NAME",
        options: &[],
        description: "generate a random key for a team or an operator",
    },
    Command {
        name: "certificates",
        arguments: "FOLDER --entry ID ...",
        options: &["entry"],
        description: "create certificates for the connections between entries",
    },
    Command {
        name: "drain",
        arguments: "ENTRY",
        options: &["platform", "key-file"],
        description: "drain an entry and shut it down",
    },
    Command {
        name: "program",
        arguments: "TEAM CONVERSATION [--entry ID]",
        options: &["platform", "key-file", "entry"],
        description: "show the runs of a conversation",
    },
    Command {
        name: "cancel",
        arguments: "TEAM CONVERSATION [--entry ID]",
        options: &["platform", "key-file", "entry"],
        description: "cancel the runs of a conversation",
    },
];

/// Options that every subcommand accepts.
const COMMON_OPTIONS: &[&str] = &["json", "help"];

/// Parses the arguments, runs the subcommand on a new runtime and returns the exit code.
pub fn main(arguments: &[String]) -> u8 {
    let matches = match options().parse(arguments) {
        Ok(matches) => matches,
        Err(error) => return print_error(&AdminError::Usage(error.to_string()), false),
    };
    let json = matches.opt_present("json");
    if matches.opt_present("help") {
        println!("{}", usage());
        return EXIT_SUCCESS;
    }
    let result = run(matches);
    match result {
        Ok(report) => print_report(&report, json),
        Err(error) => print_error(&error, json),
    }
}

fn run(matches: Matches) -> Result<Report> {
    let arguments = Arguments::new(matches)?;
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_all().build();
    let mut runtime = runtime.map_err(|error| AdminError::File("the runtime".into(), error))?;
    runtime.block_on(dispatch(&arguments))
}

async fn dispatch(arguments: &Arguments) -> Result<Report> {
    match arguments.command.name {
        "check" => check::run(arguments),
        "check-platform-config" => check_platform_config::run(arguments),
        "diff" => diff::run(arguments).await,
        "apply" => apply::run(arguments).await,
        "show" => show::run(arguments).await,
        "log" => log::run(arguments).await,
        "rollout" => rollout::run(arguments).await,
        "status" => status::run(arguments).await,
        "key" => key::run(arguments),
        "certificates" => certificates::run(arguments),
        "drain" => drain::run(arguments).await,
        "program" => program::run(arguments).await,
        _ => cancel::run(arguments).await,
    }
}

fn print_report(report: &Report, json: bool) -> u8 {
    if json {
        println!("{}", report.json);
    } else {
        println!("{}", report.text.trim_end());
    }
    if report.is_success {
        EXIT_SUCCESS
    } else {
        EXIT_FAILURE
    }
}

fn print_error(error: &AdminError, json: bool) -> u8 {
    let text = chain(error);
    let is_usage_error = matches!(error, AdminError::Usage(_));
    if json {
        let mut body = json!({"done": false, "error": text});
        if let AdminError::Check(error) = error {
            body["problems"] = json!(error.problems);
        }
        println!("{body}");
    } else {
        eprintln!("error: {text}");
        if is_usage_error {
            eprintln!("see `sapphireford-admin --help`");
        }
    }
    if is_usage_error {
        EXIT_USAGE
    } else {
        EXIT_FAILURE
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "platform", "address of the platform", "ADDRESS");
    options.optflag("", "json", "print one JSON object");
    options.optflag("h", "help", "print this help");
    options.optopt("", "expect", "the version that must be in force", "N");
    options.optopt("", "author", "name of the operator who applies", "NAME");
    options.optopt("", "reason", "reason for the change", "TEXT");
    let description = "timeout of the wait for the entries; 0 to return at once (default 10000)";
    options.optopt("", "wait-ms", description, "N");
    options.optflag("", "origin", "show which file set each value");
    options.optmulti("", "entry", "id or address of an entry", "ID");
    let description = "the configuration in force, to list the changes from it";
    options.optopt("", "in-force", description, "FILE");
    options.optflag("", "strict", "fail on warnings as well");
    let description = "file with the operator key (default: SAPPHIREFORD_OPERATOR_KEY)";
    options.optopt("", "key-file", description, "FILE");
    options
}

/// Returns the help text, which lists the subcommands and options.
pub fn usage() -> String {
    let mut text = String::from("usage: sapphireford-admin COMMAND [OPTIONS]\n\nCommands:\n");
    for command in COMMANDS {
        let invocation = format!("{} {}", command.name, command.arguments);
        text.push_str(&format!(
            "    {}\n        {}\n",
            invocation.trim(),
            command.description
        ));
    }
    text.push_str("\nExit codes: 0 success, 1 refused or failed, 2 invalid arguments");
    options().usage(&text)
}

/// The parsed arguments of one invocation.
pub struct Arguments {
    command: &'static Command,
    /// The positional arguments after the name of the subcommand.
    operands: Vec<String>,
    matches: Matches,
}

impl Arguments {
    fn new(mut matches: Matches) -> Result<Self> {
        if matches.free.is_empty() {
            return Err(AdminError::Usage("no command was given".into()));
        }
        let name = matches.free.remove(0);
        let Some(command) = COMMANDS.iter().find(|command| command.name == name) else {
            return Err(AdminError::Usage(format!("there is no command `{name}`")));
        };
        let arguments = Self {
            command,
            operands: std::mem::take(&mut matches.free),
            matches,
        };
        arguments.reject_unsupported_options()?;
        Ok(arguments)
    }

    fn reject_unsupported_options(&self) -> Result<()> {
        let known_options = COMMANDS.iter().flat_map(|command| command.options);
        for option in known_options {
            let is_allowed =
                self.command.options.contains(option) || COMMON_OPTIONS.contains(option);
            if !is_allowed && self.matches.opt_present(option) {
                let name = self.command.name;
                let reason = format!("the command `{name}` has no option `--{option}`");
                return Err(AdminError::Usage(reason));
            }
        }
        Ok(())
    }

    /// Returns the operands; fails unless there are exactly `N`.
    fn operands<const N: usize>(&self) -> Result<[&str; N]> {
        let operands: Vec<&str> = self.operands.iter().map(String::as_str).collect();
        operands.try_into().map_err(|_| {
            let Command {
                name, arguments, ..
            } = self.command;
            AdminError::Usage(format!("invalid operands; expected `{name} {arguments}`"))
        })
    }

    /// Returns the only operand as a path.
    fn folder_operand(&self) -> Result<&Path> {
        let [folder] = self.operands()?;
        Ok(Path::new(folder))
    }

    fn option_value(&self, option: &str) -> Option<String> {
        self.matches.opt_str(option)
    }

    fn required_option(&self, option: &str) -> Result<String> {
        let text = self.option_value(option).filter(|text| !text.is_empty());
        text.ok_or_else(|| AdminError::Usage(format!("the option `--{option}` is missing")))
    }

    fn parse_number(&self, option: &str, text: &str) -> Result<u64> {
        let invalid = |_| AdminError::Usage(format!("`--{option}` needs a number, not `{text}`"));
        text.parse().map_err(invalid)
    }

    /// Creates a client of the platform whose address is in the arguments or the environment.
    fn platform_client(&self) -> Result<PlatformClient> {
        let text = self.option_value("platform");
        let Some(text) = text.or_else(|| std::env::var(PLATFORM_ENV_VAR).ok()) else {
            let reason = format!("specify the platform with `--platform` or {PLATFORM_ENV_VAR}");
            return Err(AdminError::Usage(reason));
        };
        let address = text.parse().map_err(|_| {
            AdminError::Usage(format!("`{text}` is not an address such as 127.0.0.1:7000"))
        })?;
        let http = HttpClient::new(TimerService::start());
        Ok(PlatformClient::new(http, address, PLATFORM_CALL_TIMEOUT))
    }
}

/// Formats rows as lines with aligned columns.
fn align_columns(rows: &[Vec<String>]) -> String {
    let mut text = String::new();
    for row in rows {
        let mut line = String::new();
        for (column, cell) in row.iter().enumerate() {
            let widths = rows.iter().filter_map(|row| row.get(column));
            let width = widths.map(|cell| cell.chars().count()).max().unwrap_or(0);
            line.push_str(&format!("{cell:width$}  "));
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
