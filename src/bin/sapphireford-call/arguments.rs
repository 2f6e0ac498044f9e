//! The command line.

use std::fmt;
use std::io::Read;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};
use sapphireford::caller::CallerOptions;
use sapphireford::caller::script::{Action, Format, RunReference, Script, Step};
use serde_json::Value;

/// The result of reading the command line.
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
    script FILE                            play the steps of a JSON file

Exit codes:
    0  success
    1  a file could not be read, or the output not written
    2  the command line or a script is not valid; nothing was sent
    3  the request failed and did not run; it may be sent again
    4  the request ran and failed
    5  it is not known whether the request ran; repeat it with the same --request-id
    6  a step of a script succeeded although the script expects an error
";

/// Why the command line was refused.
#[derive(Debug)]
pub enum ArgumentError {
    /// An option is not valid.
    Option(getopts::Fail),
    /// The value of an option or argument is not valid.
    Value(String, String),
    /// A part of the command line is missing or too much.
    Usage(String),
    /// A file could not be read.
    Read(String, std::io::Error),
    /// A JSON text is not of the expected shape.
    Json(String, serde_json::Error),
}

impl ArgumentError {
    /// Whether the command line is right but something on this machine failed.
    pub fn is_local(&self) -> bool {
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

/// What the command line asks for.
pub enum Parsed {
    /// Run a command.
    Run(Box<Arguments>),
    /// Print this text.
    Help(String),
}

/// What to do.
pub enum Work {
    /// One step.
    Step(Box<Step>),
    /// A list of steps.
    Script(Script),
}

/// A valid command line.
pub struct Arguments {
    /// At least one is needed to send anything.
    pub entries: Vec<SocketAddr>,
    /// The team's key.
    pub key: String,
    /// How to write results.
    pub format: Format,
    /// Bounds on each call.
    pub options: CallerOptions,
    /// What to do.
    pub work: Work,
}

impl Arguments {
    /// Reads the arguments after the program's name.
    pub fn parse(arguments: impl Iterator<Item = String>) -> Result<Parsed> {
        let options = options();
        let matches = options.parse(arguments).map_err(ArgumentError::Option)?;
        if matches.opt_present("help") {
            let brief = "Usage: sapphireford-call --entry ADDRESS [OPTIONS] COMMAND ...";
            return Ok(Parsed::Help(format!(
                "{}\n{COMMANDS}",
                options.usage(brief)
            )));
        }
        let entries = matches
            .opt_strs("entry")
            .iter()
            .map(|text| value("--entry", text))
            .collect::<Result<Vec<SocketAddr>>>()?;
        if entries.is_empty() {
            let text = "give the address of at least one entry with --entry ADDRESS";
            return Err(ArgumentError::Usage(String::from(text)));
        }
        let mut caller_options = CallerOptions::default();
        if let Some(limit_ms) = option(&matches, "time-limit-ms")? {
            caller_options.total_time = Duration::from_millis(limit_ms);
        }
        let format = if matches.opt_present("json") {
            Format::Json
        } else {
            Format::Text
        };
        Ok(Parsed::Run(Box::new(Self {
            entries,
            key: key(&matches)?,
            format,
            options: caller_options,
            work: work(&matches)?,
        })))
    }
}

fn options() -> Options {
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
    options.optflag("", "json", "write one JSON object a line");
    let text = "names the request; repeat a request with the id of its first attempt";
    options.optopt("", "request-id", text, "ID");
    options.optopt("", "time-limit-ms", "bound on each call", "MS");
    options.optopt("", "budget-micros", "budget of a run", "MICROS");
    let text = "most tokens that a turn generates (256)";
    options.optopt("", "max-output-tokens", text, "N");
    options.optopt("", "sequence", "number of the call in its run", "N");
    options.optopt("", "method", "method of a service call (POST)", "METHOD");
    let text = "the service call does no harm when it runs twice";
    options.optflag("", "may-repeat", text);
    options.optflag("h", "help", "print this text");
    options
}

fn key(matches: &Matches) -> Result<String> {
    if let Some(key) = matches.opt_str("key") {
        return Ok(key);
    }
    if let Some(path) = matches.opt_str("key-file") {
        let text = read_file(&path)?;
        return Ok(text.trim().to_string());
    }
    std::env::var(KEY_VARIABLE).map_err(|_| {
        let text = format!("give the team's key with --key-file, --key or ${KEY_VARIABLE}");
        ArgumentError::Usage(text)
    })
}

fn work(matches: &Matches) -> Result<Work> {
    let (command, rest) = matches
        .free
        .split_first()
        .ok_or_else(|| ArgumentError::Usage(String::from("give a command")))?;
    if command == "script" {
        let [path] = fixed(command, rest)?;
        let text = read_file(path)?;
        let script = serde_json::from_str(&text);
        return script
            .map(Work::Script)
            .map_err(|error| ArgumentError::Json(format!("the script `{path}`"), error));
    }
    Ok(Work::Step(Box::new(Step {
        request_id: matches.opt_str("request-id").map(|id| id.as_str().into()),
        expect_error: None,
        action: action(matches, command, rest)?,
    })))
}

fn action(matches: &Matches, command: &str, rest: &[String]) -> Result<Action> {
    let action = match command {
        "entries" => {
            let [conversation] = fixed(command, rest)?;
            Action::Entries {
                conversation: conversation.clone(),
            }
        }
        "start" => {
            let [conversation, program] = fixed(command, rest)?;
            Action::Start {
                conversation: conversation.clone(),
                program: program.as_str().into(),
                budget_micros: option(matches, "budget-micros")?,
                name: None,
            }
        }
        "turn" => {
            let [conversation, run, input] = fixed(command, rest)?;
            Action::Turn {
                conversation: conversation.clone(),
                run: run_reference(run)?,
                input: input_text(input)?,
                max_output_tokens: option(matches, "max-output-tokens")?,
                sequence: option(matches, "sequence")?,
            }
        }
        "tool" => {
            let (rest, arguments) = with_json(rest, 3)?;
            let [conversation, run, tool] = fixed(command, rest)?;
            Action::Tool {
                conversation: conversation.clone(),
                run: run_reference(run)?,
                tool: tool.as_str().into(),
                arguments,
                sequence: option(matches, "sequence")?,
            }
        }
        "sub-agent" => {
            let [conversation, run, program] = fixed(command, rest)?;
            let budget = option(matches, "budget-micros")?;
            Action::SubAgent {
                conversation: conversation.clone(),
                run: run_reference(run)?,
                program: program.as_str().into(),
                budget_micros: budget.ok_or_else(|| {
                    ArgumentError::Usage(String::from("`sub-agent` needs --budget-micros"))
                })?,
                name: None,
            }
        }
        "end" => {
            let [conversation, run] = fixed(command, rest)?;
            Action::End {
                conversation: conversation.clone(),
                run: run_reference(run)?,
            }
        }
        "cancel" => {
            let [conversation, run] = fixed(command, rest)?;
            Action::Cancel {
                conversation: conversation.clone(),
                run: run_reference(run)?,
            }
        }
        "state" => {
            let [conversation] = fixed(command, rest)?;
            Action::State {
                conversation: conversation.clone(),
            }
        }
        "history" => {
            let [conversation] = fixed(command, rest)?;
            Action::History {
                conversation: conversation.clone(),
            }
        }
        "service" => {
            let (rest, body) = with_json(rest, 2)?;
            let [service, path] = fixed(command, rest)?;
            Action::Service {
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

fn fixed<'a, const COUNT: usize>(command: &str, rest: &'a [String]) -> Result<&'a [String; COUNT]> {
    rest.try_into().map_err(|_| {
        let text = format!("`{command}` takes {COUNT} arguments, not {}", rest.len());
        ArgumentError::Usage(text)
    })
}

/// Splits off a last argument with JSON, which may be absent.
fn with_json(rest: &[String], fixed_count: usize) -> Result<(&[String], Value)> {
    match rest.split_last() {
        Some((text, rest)) if rest.len() == fixed_count => {
            let value = serde_json::from_str(text)
                .map_err(|error| ArgumentError::Json(format!("the argument `{text}`"), error))?;
            Ok((rest, value))
        }
        _ => Ok((rest, Value::Object(Default::default()))),
    }
}

fn run_reference(text: &str) -> Result<RunReference> {
    value("RUN", text).map(RunReference::Number)
}

fn input_text(text: &str) -> Result<String> {
    if text != "-" {
        return Ok(text.to_string());
    }
    let mut input = String::new();
    std::io::stdin()
        .read_to_string(&mut input)
        .map_err(|error| ArgumentError::Read(String::from("standard input"), error))?;
    Ok(input)
}

fn option<T: FromStr>(matches: &Matches, name: &str) -> Result<Option<T>> {
    let text = matches.opt_str(name);
    text.map(|text| value(&format!("--{name}"), &text))
        .transpose()
}

fn value<T: FromStr>(name: &str, text: &str) -> Result<T> {
    text.parse()
        .map_err(|_| ArgumentError::Value(name.to_string(), text.to_string()))
}

fn read_file(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|error| ArgumentError::Read(path.to_string(), error))
}
