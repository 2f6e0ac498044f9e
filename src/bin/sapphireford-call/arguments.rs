//! Parses the command line of `sapphireford-call`.

use std::fmt;
use std::io::Read;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};
use sapphireford::caller::CallerOptions;
use sapphireford::caller::script::{OutputFormat, RunReference, Script, Step, StepAction};
use serde_json::Value;

/// The result of parsing the command line.
pub type Result<T> = std::result::Result<T, ArgumentError>;

const KEY_VARIABLE: &str = "SAPPHIREFORD_KEY";

const COMMANDS: &str = "\
Commands:
    entries CONVERSATION                   list the entries of a conversation
    start CONVERSATION PROGRAM             start a run
    turn CONVERSATION RUN INPUT            run a turn; `-` reads the input from standard input
    tool CONVERSATION RUN TOOL [JSON]      call a tool with arguments
    sub-agent CONVERSATION RUN PROGRAM     start a sub-agent; needs --budget-micros
    end CONVERSATION RUN                   end a run
    cancel CONVERSATION RUN                cancel a run and its call in progress
    state CONVERSATION                     show the runs and their cost
    history CONVERSATION                   show the messages
    service SERVICE PATH [JSON]            call a plain service
    script FILE                            run the steps of a JSON file

Exit codes:
    0  success
    1  a file could not be read, or the output could not be written
    2  the command line or a script is not valid; nothing was sent
    3  the request failed and did not run; it may be sent again
    4  the request ran and failed
    5  it is not known whether the request ran; repeat it with the same --request-id
    6  a step of a script succeeded although an error was expected
";

/// Why the command line was rejected.
#[derive(Debug)]
pub enum ArgumentError {
    /// An option is unknown or has no value.
    Option(getopts::Fail),
    /// The option or argument of this name has an invalid value.
    Value(String, String),
    /// A part of the command line is missing or superfluous, or the command is unknown.
    Usage(String),
    /// A file or the standard input could not be read.
    Read(String, std::io::Error),
    /// A JSON text is invalid or not of the expected type.
    Json(String, serde_json::Error),
}

impl ArgumentError {
    /// Whether the command line is valid but a file or the standard input could not be read.
    pub fn is_io_error(&self) -> bool {
        matches!(self, ArgumentError::Read(..))
    }
}

impl fmt::Display for ArgumentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ArgumentError::Option(_) => {
                formatter.write_str("the command line is not valid; see --help")
            }
            ArgumentError::Value(name, value) => {
                write!(formatter, "`{value}` is not a valid value for {name}")
            }
            ArgumentError::Usage(text) => write!(formatter, "{text}; see --help"),
            ArgumentError::Read(path, _) => write!(formatter, "could not read `{path}`"),
            ArgumentError::Json(what, _) => write!(formatter, "{what} is not valid JSON"),
        }
    }
}

impl std::error::Error for ArgumentError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ArgumentError::Option(error) => Some(error),
            ArgumentError::Read(_, error) => Some(error),
            ArgumentError::Json(_, error) => Some(error),
            _ => None,
        }
    }
}

/// The result of a valid command line.
pub enum Invocation {
    /// Execute a command.
    Run(Box<Arguments>),
    /// Print this help text.
    Help(String),
}

/// The command to execute.
pub enum Command {
    /// One step.
    Step(Box<Step>),
    /// A list of steps.
    Script(Script),
}

/// A valid command line.
pub struct Arguments {
    /// Addresses from which the entries are discovered; never empty.
    pub entries: Vec<SocketAddr>,
    /// The team's key.
    pub key: String,
    /// Format of the results.
    pub format: OutputFormat,
    /// Limits of each call.
    pub options: CallerOptions,
    /// A single step or a script.
    pub command: Command,
}

impl Arguments {
    /// Parses the arguments that follow the program name, and reads the files that they name.
    pub fn parse(arguments: impl Iterator<Item = String>) -> Result<Invocation> {
        let options = option_definitions();
        let matches = options.parse(arguments).map_err(ArgumentError::Option)?;
        if matches.opt_present("help") {
            let brief = "Usage: sapphireford-call --entry ADDRESS [OPTIONS] COMMAND ...";
            return Ok(Invocation::Help(format!(
                "{}\n{COMMANDS}",
                options.usage(brief)
            )));
        }
        let entries = matches
            .opt_strs("entry")
            .iter()
            .map(|text| parse_value("--entry", text))
            .collect::<Result<Vec<SocketAddr>>>()?;
        if entries.is_empty() {
            let text = "at least one entry address is required; use --entry ADDRESS";
            return Err(ArgumentError::Usage(String::from(text)));
        }
        let mut caller_options = CallerOptions::default();
        if let Some(limit_ms) = parse_option(&matches, "time-limit-ms")? {
            caller_options.call_timeout = Duration::from_millis(limit_ms);
        }
        let format = if matches.opt_present("json") {
            OutputFormat::Json
        } else {
            OutputFormat::Text
        };
        Ok(Invocation::Run(Box::new(Self {
            entries,
            key: read_key(&matches)?,
            format,
            options: caller_options,
            command: parse_command(&matches)?,
        })))
    }
}

fn option_definitions() -> Options {
    let mut options = Options::new();
    options.optmulti(
        "",
        "entry",
        "address of an entry; may be repeated",
        "ADDRESS",
    );
    options.optopt("", "key", "the team's key; prefer --key-file", "KEY");
    let text = format!("file with the team's key; without it and --key: ${KEY_VARIABLE}");
    options.optopt("", "key-file", &text, "FILE");
    options.optflag("", "json", "write one JSON object per line");
    let text = "id of the request; to repeat a request, use the id of its first attempt";
    options.optopt("", "request-id", text, "ID");
    options.optopt("", "time-limit-ms", "timeout of each call", "MS");
    options.optopt("", "budget-micros", "budget of a run", "MICROS");
    let text = "limit on the tokens that a turn generates (256)";
    options.optopt("", "max-output-tokens", text, "N");
    options.optopt("", "sequence", "position of the call in its run", "N");
    options.optopt("", "method", "method of a service call (POST)", "METHOD");
    let text = "the service call is idempotent and may run twice";
    options.optflag("", "may-repeat", text);
    options.optflag("h", "help", "print this text");
    options
}

fn read_key(matches: &Matches) -> Result<String> {
    if let Some(key) = matches.opt_str("key") {
        return Ok(key);
    }
    if let Some(path) = matches.opt_str("key-file") {
        let text = read_file(&path)?;
        return Ok(text.trim().to_string());
    }
    std::env::var(KEY_VARIABLE).map_err(|_| {
        let text = format!("the team's key is required; use --key-file, --key or ${KEY_VARIABLE}");
        ArgumentError::Usage(text)
    })
}

fn parse_command(matches: &Matches) -> Result<Command> {
    let (command, rest) = matches
        .free
        .split_first()
        .ok_or_else(|| ArgumentError::Usage(String::from("a command is required")))?;
    if command == "script" {
        let [path] = exact_arguments(command, rest)?;
        let text = read_file(path)?;
        let script = serde_json::from_str(&text);
        return script
            .map(Command::Script)
            .map_err(|error| ArgumentError::Json(format!("the script `{path}`"), error));
    }
    Ok(Command::Step(Box::new(Step {
        request_id: matches.opt_str("request-id").map(|id| id.as_str().into()),
        expect_error: None,
        action: parse_action(matches, command, rest)?,
    })))
}

fn parse_action(matches: &Matches, command: &str, rest: &[String]) -> Result<StepAction> {
    let action = match command {
        "entries" => {
            let [conversation] = exact_arguments(command, rest)?;
            StepAction::Entries {
                conversation: conversation.clone(),
            }
        }
        "start" => {
            let [conversation, program] = exact_arguments(command, rest)?;
            StepAction::Start {
                conversation: conversation.clone(),
                program: program.as_str().into(),
                budget_micros: parse_option(matches, "budget-micros")?,
                name: None,
            }
        }
        "turn" => {
            let [conversation, run, input] = exact_arguments(command, rest)?;
            StepAction::Turn {
                conversation: conversation.clone(),
                run: parse_run(run)?,
                input: read_input(input)?,
                max_output_tokens: parse_option(matches, "max-output-tokens")?,
                sequence: parse_option(matches, "sequence")?,
            }
        }
        "tool" => {
            let (rest, arguments) = split_optional_json(rest, 3)?;
            let [conversation, run, tool] = exact_arguments(command, rest)?;
            StepAction::Tool {
                conversation: conversation.clone(),
                run: parse_run(run)?,
                tool: tool.as_str().into(),
                arguments,
                sequence: parse_option(matches, "sequence")?,
            }
        }
        "sub-agent" => {
            let [conversation, run, program] = exact_arguments(command, rest)?;
            let budget = parse_option(matches, "budget-micros")?;
            StepAction::SubAgent {
                conversation: conversation.clone(),
                run: parse_run(run)?,
                program: program.as_str().into(),
                budget_micros: budget.ok_or_else(|| {
                    ArgumentError::Usage(String::from("`sub-agent` needs --budget-micros"))
                })?,
                name: None,
            }
        }
        "end" => {
            let [conversation, run] = exact_arguments(command, rest)?;
            StepAction::End {
                conversation: conversation.clone(),
                run: parse_run(run)?,
            }
        }
        "cancel" => {
            let [conversation, run] = exact_arguments(command, rest)?;
            StepAction::Cancel {
                conversation: conversation.clone(),
                run: parse_run(run)?,
            }
        }
        "state" => {
            let [conversation] = exact_arguments(command, rest)?;
            StepAction::State {
                conversation: conversation.clone(),
            }
        }
        "history" => {
            let [conversation] = exact_arguments(command, rest)?;
            StepAction::History {
                conversation: conversation.clone(),
            }
        }
        "service" => {
            let (rest, body) = split_optional_json(rest, 2)?;
            let [service, path] = exact_arguments(command, rest)?;
            StepAction::Service {
                service: service.clone(),
                path: path.clone(),
                method: matches.opt_str("method"),
                body,
                may_repeat: matches.opt_present("may-repeat"),
            }
        }
        _ => {
            let text = format!("there is no command `{command}`");
            return Err(ArgumentError::Usage(text));
        }
    };
    Ok(action)
}

fn exact_arguments<'a, const COUNT: usize>(
    command: &str,
    rest: &'a [String],
) -> Result<&'a [String; COUNT]> {
    rest.try_into().map_err(|_| {
        let text = format!("`{command}` takes {COUNT} arguments, not {}", rest.len());
        ArgumentError::Usage(text)
    })
}

/// Splits off the optional JSON argument that may follow the required ones; an empty object if
/// absent.
fn split_optional_json(rest: &[String], required_count: usize) -> Result<(&[String], Value)> {
    match rest.split_last() {
        Some((text, rest)) if rest.len() == required_count => {
            let value = serde_json::from_str(text)
                .map_err(|error| ArgumentError::Json(format!("the argument `{text}`"), error))?;
            Ok((rest, value))
        }
        _ => Ok((rest, Value::Object(Default::default()))),
    }
}

fn parse_run(text: &str) -> Result<RunReference> {
    parse_value("RUN", text).map(RunReference::Number)
}

fn read_input(text: &str) -> Result<String> {
    if text != "-" {
        return Ok(text.to_string());
    }
    let mut input = String::new();
    std::io::stdin()
        .read_to_string(&mut input)
        .map_err(|error| ArgumentError::Read(String::from("standard input"), error))?;
    Ok(input)
}

fn parse_option<T: FromStr>(matches: &Matches, name: &str) -> Result<Option<T>> {
    let text = matches.opt_str(name);
    text.map(|text| parse_value(&format!("--{name}"), &text))
        .transpose()
}

fn parse_value<T: FromStr>(name: &str, text: &str) -> Result<T> {
    text.parse()
        .map_err(|_| ArgumentError::Value(name.to_string(), text.to_string()))
}

fn read_file(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|error| ArgumentError::Read(path.to_string(), error))
}
