//! Workloads: deserialized from JSON, validated, and expanded into a plan of programs.
//!
//! The plan depends only on the workload and its seed.

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use serde_json::Value;

use crate::ids::{Micros, ModelId, ProgramId, TeamId, ToolId};
use crate::request::api::{InvalidBody, check_id};

/// The result of loading a workload.
pub type Result<T> = std::result::Result<T, WorkloadError>;

/// Limit on the programs of one plan.
const MAX_PROGRAMS: usize = 200_000;
/// Limit on the duration of a workload's arrivals.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);

/// Why a workload was rejected.
#[derive(Debug)]
pub enum WorkloadError {
    /// The file could not be read.
    Read(PathBuf, std::io::Error),
    /// The text is not valid JSON of the expected type.
    Parse(serde_json::Error),
    /// The field of this name is out of range, for this reason.
    Invalid(&'static str, String),
    /// A program or a tool is not a valid id.
    Id(InvalidBody),
}

impl fmt::Display for WorkloadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WorkloadError::Read(path, _) => {
                write!(
                    formatter,
                    "could not read the workload `{}`",
                    path.display()
                )
            }
            WorkloadError::Parse(_) => formatter.write_str("the workload is not valid"),
            WorkloadError::Invalid(field, reason) => {
                write!(
                    formatter,
                    "`{field}` of the workload is not valid: {reason}"
                )
            }
            WorkloadError::Id(_) => formatter.write_str("a name in the workload is not valid"),
        }
    }
}

impl std::error::Error for WorkloadError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            WorkloadError::Read(_, error) => Some(error),
            WorkloadError::Parse(error) => Some(error),
            WorkloadError::Id(error) => Some(error),
            WorkloadError::Invalid(..) => None,
        }
    }
}

/// A workload as deserialized from its file, not validated.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawWorkload {
    name: String,
    seed: u64,
    duration_ms: u64,
    max_in_flight: usize,
    classes: Vec<RawClass>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawClass {
    program: ProgramId,
    #[serde(default)]
    team: Option<TeamId>,
    #[serde(default)]
    model: Option<ModelId>,
    priority: String,
    #[serde(default)]
    budget_micros: Option<Micros>,
    arrivals_per_second: f64,
    turns: Range,
    input_words: Range,
    output_tokens: Range,
    think_ms: Range,
    #[serde(default)]
    tool: Option<ToolUse>,
}

/// A range of integers that is sampled uniformly.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// The smallest value.
    pub min: u64,
    /// The largest value; at least `min`.
    pub max: u64,
}

impl Range {
    fn sample(self, rng: &mut StdRng) -> u64 {
        rng.random_range(self.min..=self.max)
    }
}

/// The tool calls that follow the turns of a program.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ToolUse {
    /// Id of the tool.
    pub tool: ToolId,
    /// Percentage of the turns that are followed by a call; at most 100.
    pub percent: u32,
    /// Forwarded to the tool unchanged.
    #[serde(default)]
    pub arguments: Value,
}

/// A validated workload.
#[derive(Clone, Debug)]
pub struct Workload {
    /// Label in the report.
    pub name: String,
    /// Seed of all random choices of the plan.
    pub seed: u64,
    /// Period in which programs arrive; at most a day.
    pub duration: Duration,
    /// Limit on the programs in flight per route; at least 1.
    pub max_in_flight: usize,
    /// The program classes; never empty.
    pub classes: Vec<Class>,
}

/// A class of programs with the same parameters.
#[derive(Clone, Debug)]
pub struct Class {
    /// Id of the program to run.
    pub program: ProgramId,
    /// Team whose key authenticates the calls; the default key if absent.
    pub team: Option<TeamId>,
    /// The model that the direct route requests; `default` if absent in the file.
    pub model: ModelId,
    /// Label in the report; the actual priority is set in the configuration of the site.
    pub priority: String,
    /// Lowers the budget of each run below that of the program.
    pub budget_micros: Option<Micros>,
    /// Mean arrival rate of the Poisson process; positive and finite.
    pub arrivals_per_second: f64,
    /// Number of turns of a program; at least 1.
    pub turns: Range,
    /// Number of words of each input; at least 1.
    pub input_words: Range,
    /// Limit on the output tokens of each turn; at least 1, fits 32 bits.
    pub output_tokens: Range,
    /// Pause before each turn except the first.
    pub think_ms: Range,
    /// Tool calls that follow the turns, if any.
    pub tool: Option<ToolUse>,
}

impl TryFrom<RawWorkload> for Workload {
    type Error = WorkloadError;

    fn try_from(raw: RawWorkload) -> Result<Self> {
        let classes: Vec<Class> = raw
            .classes
            .into_iter()
            .map(Class::try_from)
            .collect::<Result<_>>()?;
        let workload = Self {
            name: raw.name,
            seed: raw.seed,
            duration: Duration::from_millis(raw.duration_ms),
            max_in_flight: raw.max_in_flight,
            classes,
        };
        workload.validated()
    }
}

impl TryFrom<RawClass> for Class {
    type Error = WorkloadError;

    fn try_from(raw: RawClass) -> Result<Self> {
        check_id("program", &raw.program).map_err(WorkloadError::Id)?;
        check_range("turns", raw.turns, 1, 10_000)?;
        check_range("input_words", raw.input_words, 1, 1_000_000)?;
        check_range("output_tokens", raw.output_tokens, 1, u32::MAX.into())?;
        check_range("think_ms", raw.think_ms, 0, 3_600_000)?;
        if let Some(tool) = &raw.tool {
            check_id("tool", &tool.tool).map_err(WorkloadError::Id)?;
            check_range(
                "percent",
                Range {
                    min: 0,
                    max: tool.percent.into(),
                },
                0,
                100,
            )?;
        }
        Ok(Self {
            program: raw.program,
            team: raw.team,
            model: raw.model.unwrap_or_else(|| "default".into()),
            priority: raw.priority,
            budget_micros: raw.budget_micros,
            arrivals_per_second: raw.arrivals_per_second,
            turns: raw.turns,
            input_words: raw.input_words,
            output_tokens: raw.output_tokens,
            think_ms: raw.think_ms,
            tool: raw.tool,
        })
    }
}

fn check_range(field: &'static str, range: Range, least: u64, most: u64) -> Result<()> {
    if range.min > range.max {
        return invalid(field, "`min` must not be above `max`");
    }
    if range.min < least || range.max > most {
        return invalid(field, &format!("must be from {least} to {most}"));
    }
    Ok(())
}

fn invalid<T>(field: &'static str, reason: &str) -> Result<T> {
    Err(WorkloadError::Invalid(field, reason.to_string()))
}

impl Workload {
    /// Loads a built-in workload by its name, or else from the file of that path.
    pub fn load(name: &str) -> Result<Self> {
        let text = match name {
            "division" => String::from(include_str!("workloads/division.json")),
            "verfwerk" => String::from(include_str!("workloads/verfwerk.json")),
            path => std::fs::read_to_string(path)
                .map_err(|error| WorkloadError::Read(Path::new(path).to_path_buf(), error))?,
        };
        Self::parse(&text)
    }

    /// Parses and validates a workload.
    pub fn parse(text: &str) -> Result<Self> {
        let raw: RawWorkload = serde_json::from_str(text).map_err(WorkloadError::Parse)?;
        raw.try_into()
    }

    /// Replaces the duration and the limit on programs in flight if given, multiplies the arrival
    /// rates by `scale`, and validates the result.
    pub fn adjust(
        mut self,
        duration: Option<Duration>,
        max_in_flight: Option<usize>,
        scale: f64,
    ) -> Result<Self> {
        self.duration = duration.unwrap_or(self.duration);
        self.max_in_flight = max_in_flight.unwrap_or(self.max_in_flight);
        for class in &mut self.classes {
            class.arrivals_per_second *= scale;
        }
        self.validated()
    }

    fn validated(self) -> Result<Self> {
        if self.duration.is_zero() || self.duration > MAX_DURATION {
            return invalid("duration_ms", "must be from 1 ms to a day");
        }
        if self.max_in_flight == 0 {
            return invalid("max_in_flight", "must be at least 1");
        }
        if self.classes.is_empty() {
            return invalid("classes", "must not be empty");
        }
        let rates = self.classes.iter().map(|class| class.arrivals_per_second);
        if !rates.clone().all(|rate| rate.is_finite() && rate > 0.0) {
            return invalid("arrivals_per_second", "must be a positive number");
        }
        // Arrivals are random; limiting the expected number to half of the maximum leaves room for
        // an unlikely plan.
        let max_expected = MAX_PROGRAMS / 2;
        if rates.sum::<f64>() * self.duration.as_secs_f64() > max_expected as f64 {
            let reason =
                format!("plans more than {max_expected} programs; lower it or the duration");
            return invalid("arrivals_per_second", &reason);
        }
        Ok(self)
    }

    /// Generates the plan: all programs in the order of their arrivals.
    pub fn plan(&self) -> Vec<PlannedProgram> {
        let mut programs = Vec::new();
        for (index, class) in self.classes.iter().enumerate() {
            // Each class has its own generator, so that changing one class does not affect the
            // others.
            let mut rng = StdRng::seed_from_u64(self.seed ^ ((index as u64 + 1) << 48));
            let mut arrival_seconds = 0.0;
            loop {
                // The times between arrivals of a Poisson process are distributed exponentially.
                let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
                arrival_seconds -= uniform.ln() / class.arrivals_per_second;
                if arrival_seconds >= self.duration.as_secs_f64() || programs.len() >= MAX_PROGRAMS
                {
                    break;
                }
                let steps = plan_steps(class, &mut rng);
                programs.push(PlannedProgram {
                    arrival_offset: Duration::from_secs_f64(arrival_seconds),
                    class: index,
                    steps,
                });
            }
        }
        programs.sort_by_key(|program| program.arrival_offset);
        programs
    }
}

fn plan_steps(class: &Class, rng: &mut StdRng) -> Vec<PlannedStep> {
    let turns = class.turns.sample(rng);
    let mut steps = Vec::new();
    for turn in 0..turns {
        if turn > 0 {
            let pause = Duration::from_millis(class.think_ms.sample(rng));
            steps.push(PlannedStep::Pause(pause));
        }
        let words = class.input_words.sample(rng);
        steps.push(PlannedStep::Turn {
            input: random_words(words, rng),
            max_output_tokens: class.output_tokens.sample(rng) as u32,
        });
        if let Some(tool) = &class.tool
            && rng.random_range(0..100) < tool.percent
        {
            steps.push(PlannedStep::Tool);
        }
    }
    steps
}

fn random_words(count: u64, rng: &mut StdRng) -> String {
    /// Number of distinct words in the inputs.
    const VOCABULARY: u32 = 5_000;
    let words = (0..count).map(|_| format!("w{}", rng.random_range(0..VOCABULARY)));
    words.collect::<Vec<_>>().join(" ")
}

/// A program of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedProgram {
    /// Arrival time, relative to the start of the workload.
    pub arrival_offset: Duration,
    /// Index into [`Workload::classes`].
    pub class: usize,
    /// Executed in order.
    pub steps: Vec<PlannedStep>,
}

/// A step of a planned program.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannedStep {
    /// The think time of the caller before the next turn.
    Pause(Duration),
    /// A turn with generated input.
    Turn {
        /// The new user message.
        input: String,
        /// Limit on the generated tokens.
        max_output_tokens: u32,
    },
    /// A call of the class's tool.
    Tool,
}
