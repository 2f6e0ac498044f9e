//! Parses the command line of `sapphireford-load`.

use std::fmt;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};
use indexmap::IndexMap;
use sapphireford::caller::Caller;
use sapphireford::load::experiment::Experiment;
use sapphireford::load::workload::{Workload, WorkloadError};

/// The result of parsing the command line.
pub type Result<T> = std::result::Result<T, ArgumentError>;

const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

const EXIT_CODES: &str = "
Exit codes:
    0  success
    1  the report could not be written
    2  the command line, the workload or a key file is not valid; nothing was sent
    3  a check of an invariant failed
    4  no program finished
";

/// Why the command line was rejected.
#[derive(Debug)]
pub enum ArgumentError {
    /// An option is unknown or has no value.
    Option(getopts::Fail),
    /// The option of this name has an invalid value.
    Value(String, String),
    /// A part of the command line is missing or superfluous.
    Usage(&'static str),
    /// A file could not be read.
    Read(String, std::io::Error),
    /// A file is not valid JSON of the expected type.
    Json(String, serde_json::Error),
    /// The workload could not be loaded or is invalid.
    Workload(WorkloadError),
}

impl fmt::Display for ArgumentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ArgumentError::Option(_) => {
                formatter.write_str("the command line is not valid; see --help")
            }
            ArgumentError::Value(name, value) => {
                write!(formatter, "`{value}` is not a valid value for --{name}")
            }
            ArgumentError::Usage(text) => write!(formatter, "{text}; see --help"),
            ArgumentError::Read(path, _) => write!(formatter, "could not read `{path}`"),
            ArgumentError::Json(path, _) => write!(formatter, "`{path}` is not valid JSON"),
            ArgumentError::Workload(_) => formatter.write_str("the workload cannot be used"),
        }
    }
}

impl std::error::Error for ArgumentError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ArgumentError::Option(error) => Some(error),
            ArgumentError::Read(_, error) => Some(error),
            ArgumentError::Json(_, error) => Some(error),
            ArgumentError::Workload(error) => Some(error),
            ArgumentError::Value(..) | ArgumentError::Usage(_) => None,
        }
    }
}

/// The result of a valid command line.
pub enum Invocation {
    /// Run a workload.
    Run(Box<Arguments>),
    /// Print this help text.
    Help(String),
}

/// A valid command line.
pub struct Arguments {
    /// Parameters of the experiment to run.
    pub experiment: Experiment,
    /// Path of the JSON report; not written if absent.
    pub report: Option<String>,
}

impl Arguments {
    /// Parses the arguments that follow the program name, and reads the files that they name.
    pub fn parse(arguments: impl Iterator<Item = String>) -> Result<Invocation> {
        let options = option_definitions();
        let matches = options.parse(arguments).map_err(ArgumentError::Option)?;
        if matches.opt_present("help") {
            let brief = "Usage: sapphireford-load --workload NAME|FILE --entry ADDRESS [OPTIONS]";
            let text = format!("{}{EXIT_CODES}", options.usage(brief));
            return Ok(Invocation::Help(text));
        }
        if !matches.free.is_empty() {
            return Err(ArgumentError::Usage(
                "positional arguments are not accepted",
            ));
        }
        let entries = parse_values(&matches, "entry")?;
        let direct = parse_option(&matches, "direct")?;
        if entries.is_empty() && direct.is_none() {
            let text =
                "an address is required; use --entry for an entry, or --direct for an engine";
            return Err(ArgumentError::Usage(text));
        }
        let drain_timeout = parse_option(&matches, "drain-ms")?.map(Duration::from_millis);
        let key = read_key(&matches)?;
        if key.is_empty() && !entries.is_empty() && !matches.opt_present("team-keys") {
            let text = "the team's key is required; use --key-file, --key or --team-keys";
            return Err(ArgumentError::Usage(text));
        }
        let experiment = Experiment {
            entries,
            key,
            team_keys: read_team_keys(&matches)?,
            engines: parse_values(&matches, "engine")?,
            tools: parse_values(&matches, "tool")?,
            direct,
            workload: Rc::new(load_workload(&matches)?),
            drain_timeout: drain_timeout.unwrap_or(DEFAULT_DRAIN_TIMEOUT),
            run_name: Caller::new_request_id()[..12].to_string(),
        };
        Ok(Invocation::Run(Box::new(Self {
            experiment,
            report: matches.opt_str("report"),
        })))
    }
}

fn option_definitions() -> Options {
    let mut options = Options::new();
    let text = "`division`, `verfwerk` or a JSON file";
    options.optopt("", "workload", text, "NAME|FILE");
    options.optopt("", "seed", "overrides the value of the workload", "N");
    options.optopt(
        "",
        "duration-ms",
        "overrides the value of the workload",
        "MS",
    );
    options.optopt(
        "",
        "max-in-flight",
        "overrides the value of the workload",
        "N",
    );
    options.optopt("", "scale", "multiplies all arrival rates", "FACTOR");
    let text = "longest wait for programs in flight after the workload's end (60000)";
    options.optopt("", "drain-ms", text, "MS");
    options.optmulti(
        "",
        "entry",
        "address of an entry; may be repeated",
        "ADDRESS",
    );
    options.optopt("", "key", "the team's key; prefer --key-file", "KEY");
    options.optopt("", "key-file", "file with the team's key", "FILE");
    options.optopt(
        "",
        "team-keys",
        "JSON file with an object of keys by team",
        "FILE",
    );
    let text = "engine whose counters are read; may be repeated";
    options.optmulti("", "engine", text, "ADDRESS");
    let text = "tool whose counters are read; may be repeated";
    options.optmulti("", "tool", text, "ADDRESS");
    let text = "also run each program directly against this engine and the first tool";
    options.optopt("", "direct", text, "ADDRESS");
    options.optopt("", "report", "write the report as JSON", "FILE");
    options.optflag("h", "help", "print this text");
    options
}

fn load_workload(matches: &Matches) -> Result<Workload> {
    let name = matches.opt_str("workload").ok_or(ArgumentError::Usage(
        "a workload is required; use --workload",
    ))?;
    let mut workload = Workload::load(&name).map_err(ArgumentError::Workload)?;
    workload.seed = parse_option(matches, "seed")?.unwrap_or(workload.seed);
    let duration = parse_option(matches, "duration-ms")?.map(Duration::from_millis);
    let max_in_flight = parse_option(matches, "max-in-flight")?;
    let scale = parse_option(matches, "scale")?.unwrap_or(1.0);
    workload
        .adjust(duration, max_in_flight, scale)
        .map_err(ArgumentError::Workload)
}

fn read_key(matches: &Matches) -> Result<String> {
    match (matches.opt_str("key"), matches.opt_str("key-file")) {
        (Some(key), _) => Ok(key),
        (None, Some(path)) => Ok(read_file(&path)?.trim().to_string()),
        (None, None) => Ok(String::new()),
    }
}

fn read_team_keys(matches: &Matches) -> Result<IndexMap<String, String>> {
    let Some(path) = matches.opt_str("team-keys") else {
        return Ok(IndexMap::new());
    };
    let text = read_file(&path)?;
    serde_json::from_str(&text).map_err(|error| ArgumentError::Json(path, error))
}

fn parse_values<T: FromStr>(matches: &Matches, name: &str) -> Result<Vec<T>> {
    let texts = matches.opt_strs(name);
    texts.iter().map(|text| parse_value(name, text)).collect()
}

fn parse_option<T: FromStr>(matches: &Matches, name: &str) -> Result<Option<T>> {
    let text = matches.opt_str(name);
    text.map(|text| parse_value(name, &text)).transpose()
}

fn parse_value<T: FromStr>(name: &str, text: &str) -> Result<T> {
    text.parse()
        .map_err(|_| ArgumentError::Value(name.to_string(), text.to_string()))
}

fn read_file(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|error| ArgumentError::Read(path.to_string(), error))
}
