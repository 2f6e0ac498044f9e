//! The command line.

use std::fmt;
use std::rc::Rc;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};
use indexmap::IndexMap;
use sapphireford::caller::Caller;
use sapphireford::load::experiment::Experiment;
use sapphireford::load::workload::{Workload, WorkloadError};

/// The result of reading the command line.
pub type Result<T> = std::result::Result<T, ArgumentError>;

const DEFAULT_DRAIN: Duration = Duration::from_secs(60);

const EXIT_CODES: &str = "
Exit codes:
    0  success
    1  the report could not be written
    2  the command line, the workload or a key file is not valid; nothing was sent
    3  a check of an invariant failed
    4  no program finished
";

/// Why the command line was refused.
#[derive(Debug)]
pub enum ArgumentError {
    /// An option is not valid.
    Option(getopts::Fail),
    /// The value of an option is not valid.
    Value(String, String),
    /// A part of the command line is missing or too much.
    Usage(&'static str),
    /// A file could not be read.
    Read(String, std::io::Error),
    /// A file is not JSON of the expected shape.
    Json(String, serde_json::Error),
    /// The workload was refused.
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

/// What the command line asks for.
pub enum Parsed {
    /// Run a workload.
    Run(Box<Arguments>),
    /// Print this text.
    Help(String),
}

/// A valid command line.
pub struct Arguments {
    /// What to run.
    pub experiment: Experiment,
    /// The file for the JSON report.
    pub report: Option<String>,
}

impl Arguments {
    /// Reads the arguments after the program's name.
    pub fn parse(arguments: impl Iterator<Item = String>) -> Result<Parsed> {
        let options = options();
        let matches = options.parse(arguments).map_err(ArgumentError::Option)?;
        if matches.opt_present("help") {
            let brief = "Usage: sapphireford-load --workload NAME|FILE --entry ADDRESS [OPTIONS]";
            let text = format!("{}{EXIT_CODES}", options.usage(brief));
            return Ok(Parsed::Help(text));
        }
        if !matches.free.is_empty() {
            return Err(ArgumentError::Usage("there are only options, no arguments"));
        }
        let entries = values(&matches, "entry")?;
        let direct = one(&matches, "direct")?;
        if entries.is_empty() && direct.is_none() {
            let text = "give the address of an entry with --entry, or of an engine with --direct";
            return Err(ArgumentError::Usage(text));
        }
        let drain = one(&matches, "drain-ms")?.map(Duration::from_millis);
        let key = key(&matches)?;
        if key.is_empty() && !entries.is_empty() && !matches.opt_present("team-keys") {
            let text = "give the team's key with --key-file, --key or --team-keys";
            return Err(ArgumentError::Usage(text));
        }
        let experiment = Experiment {
            entries,
            key,
            team_keys: team_keys(&matches)?,
            engines: values(&matches, "engine")?,
            tools: values(&matches, "tool")?,
            direct,
            workload: Rc::new(workload(&matches)?),
            drain: drain.unwrap_or(DEFAULT_DRAIN),
            run_name: Caller::new_request_id()[..12].to_string(),
        };
        Ok(Parsed::Run(Box::new(Self {
            experiment,
            report: matches.opt_str("report"),
        })))
    }
}

fn options() -> Options {
    let mut options = Options::new();
    let text = "`division`, `verfwerk` or a JSON file";
    options.optopt("", "workload", text, "NAME|FILE");
    options.optopt("", "seed", "in place of the workload's", "N");
    options.optopt("", "duration-ms", "in place of the workload's", "MS");
    options.optopt("", "max-in-flight", "in place of the workload's", "N");
    options.optopt("", "scale", "multiplies all arrival rates", "FACTOR");
    let text = "time for programs in flight after the last arrival (60000)";
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
    let text = "also run each program directly at this engine, and at the first tool";
    options.optopt("", "direct", text, "ADDRESS");
    options.optopt("", "report", "write the report as JSON", "FILE");
    options.optflag("h", "help", "print this text");
    options
}

fn workload(matches: &Matches) -> Result<Workload> {
    let name = matches
        .opt_str("workload")
        .ok_or(ArgumentError::Usage("give a workload with --workload"))?;
    let mut workload = Workload::load(&name).map_err(ArgumentError::Workload)?;
    workload.seed = one(matches, "seed")?.unwrap_or(workload.seed);
    let duration = one(matches, "duration-ms")?.map(Duration::from_millis);
    let in_flight = one(matches, "max-in-flight")?;
    let scale = one(matches, "scale")?.unwrap_or(1.0);
    workload
        .adjust(duration, in_flight, scale)
        .map_err(ArgumentError::Workload)
}

fn key(matches: &Matches) -> Result<String> {
    match (matches.opt_str("key"), matches.opt_str("key-file")) {
        (Some(key), _) => Ok(key),
        (None, Some(path)) => Ok(read_file(&path)?.trim().to_string()),
        (None, None) => Ok(String::new()),
    }
}

fn team_keys(matches: &Matches) -> Result<IndexMap<String, String>> {
    let Some(path) = matches.opt_str("team-keys") else {
        return Ok(IndexMap::new());
    };
    let text = read_file(&path)?;
    serde_json::from_str(&text).map_err(|error| ArgumentError::Json(path, error))
}

fn values<T: FromStr>(matches: &Matches, name: &str) -> Result<Vec<T>> {
    let texts = matches.opt_strs(name);
    texts.iter().map(|text| value(name, text)).collect()
}

fn one<T: FromStr>(matches: &Matches, name: &str) -> Result<Option<T>> {
    let text = matches.opt_str(name);
    text.map(|text| value(name, &text)).transpose()
}

fn value<T: FromStr>(name: &str, text: &str) -> Result<T> {
    text.parse()
        .map_err(|_| ArgumentError::Value(name.to_string(), text.to_string()))
}

fn read_file(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|error| ArgumentError::Read(path.to_string(), error))
}
