//! Workloads: raw from JSON, checked, and planned from a seed.

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use serde_json::Value;

use crate::ids::{Micros, ModelId, ProgramId, TeamId, ToolId};
use crate::request::api::{InvalidBody, check_id};

/// The result of reading a workload.
pub type Result<T> = std::result::Result<T, WorkloadError>;

/// Most programs that one workload may plan.
const PROGRAMS_LIMIT: usize = 200_000;
/// Longest duration of a workload's arrivals.
const DURATION_LIMIT: Duration = Duration::from_secs(24 * 3600);

/// Why a workload was refused.
#[derive(Debug)]
pub enum WorkloadError {
    /// The file could not be read.
    Read(PathBuf, std::io::Error),
    /// The text is not JSON of the expected shape.
    Parse(serde_json::Error),
    /// A value is out of its range.
    Invalid(&'static str, String),
    /// A name is not an id.
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

/// A workload as it stands in its file.
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

/// Numbers that are drawn from, all equally likely.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Range {
    /// The smallest.
    pub min: u64,
    /// The largest; not below `min`.
    pub max: u64,
}

impl Range {
    fn draw(self, random: &mut StdRng) -> u64 {
        random.random_range(self.min..=self.max)
    }
}

/// The tool calls between the turns of a program.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ToolUse {
    /// The tool.
    pub tool: ToolId,
    /// How many of 100 turns are followed by a call.
    pub percent: u32,
    /// Passed to the tool unchanged.
    #[serde(default)]
    pub arguments: Value,
}

/// A checked workload.
#[derive(Clone, Debug)]
pub struct Workload {
    /// For the report.
    pub name: String,
    /// Decides all draws.
    pub seed: u64,
    /// How long programs arrive; at most a day.
    pub duration: Duration,
    /// Programs of one route in flight at once; at least 1.
    pub max_in_flight: usize,
    /// At least one.
    pub classes: Vec<Class>,
}

/// Programs of one kind.
#[derive(Clone, Debug)]
pub struct Class {
    /// The program to run.
    pub program: ProgramId,
    /// Whose key is presented; the default key if absent.
    pub team: Option<TeamId>,
    /// The model that a direct route asks for.
    pub model: ModelId,
    /// A label for the report; the configuration of the site decides the real priority.
    pub priority: String,
    /// Lowers the program's budget.
    pub budget_micros: Option<Micros>,
    /// Positive and finite.
    pub arrivals_per_second: f64,
    /// At least 1.
    pub turns: Range,
    /// At least 1.
    pub input_words: Range,
    /// At least 1; fits 32 bits.
    pub output_tokens: Range,
    /// The pause before each turn but the first.
    pub think_ms: Range,
    /// Calls between the turns.
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
        workload.checked()
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
    /// Finds a built-in workload by its name, or reads a file.
    pub fn load(name: &str) -> Result<Self> {
        let text = match name {
            "division" => String::from(include_str!("workloads/division.json")),
            "verfwerk" => String::from(include_str!("workloads/verfwerk.json")),
            path => std::fs::read_to_string(path)
                .map_err(|error| WorkloadError::Read(Path::new(path).to_path_buf(), error))?,
        };
        Self::parse(&text)
    }

    /// Reads and checks a workload.
    pub fn parse(text: &str) -> Result<Self> {
        let raw: RawWorkload = serde_json::from_str(text).map_err(WorkloadError::Parse)?;
        raw.try_into()
    }

    /// Replaces the duration and the bound on programs in flight, and multiplies the arrival rates.
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
        self.checked()
    }

    fn checked(self) -> Result<Self> {
        if self.duration.is_zero() || self.duration > DURATION_LIMIT {
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
        // Arrivals are random; half of the limit leaves room for an unlikely draw.
        let most = PROGRAMS_LIMIT / 2;
        if rates.sum::<f64>() * self.duration.as_secs_f64() > most as f64 {
            let reason = format!("plans more than {most} programs; lower it or the duration");
            return invalid("arrivals_per_second", &reason);
        }
        Ok(self)
    }

    /// Plans all programs, in the order of their arrivals.
    pub fn plan(&self) -> Vec<PlannedProgram> {
        let mut planned = Vec::new();
        for (index, class) in self.classes.iter().enumerate() {
            // One generator for each class, so that a change of one leaves the others as they are.
            let mut random = StdRng::seed_from_u64(self.seed ^ ((index as u64 + 1) << 48));
            let mut at = 0.0;
            loop {
                // The gaps of a Poisson process are distributed exponentially.
                let uniform: f64 = random.random_range(f64::EPSILON..1.0);
                at -= uniform.ln() / class.arrivals_per_second;
                if at >= self.duration.as_secs_f64() || planned.len() >= PROGRAMS_LIMIT {
                    break;
                }
                let steps = plan_steps(class, &mut random);
                planned.push(PlannedProgram {
                    at: Duration::from_secs_f64(at),
                    class: index,
                    steps,
                });
            }
        }
        planned.sort_by_key(|program| program.at);
        planned
    }
}

fn plan_steps(class: &Class, random: &mut StdRng) -> Vec<PlannedStep> {
    let turns = class.turns.draw(random);
    let mut steps = Vec::new();
    for turn in 0..turns {
        if turn > 0 {
            let pause = Duration::from_millis(class.think_ms.draw(random));
            steps.push(PlannedStep::Pause(pause));
        }
        let words = class.input_words.draw(random);
        steps.push(PlannedStep::Turn {
            input: words_of(words, random),
            max_output_tokens: class.output_tokens.draw(random) as u32,
        });
        if let Some(tool) = &class.tool
            && random.random_range(0..100) < tool.percent
        {
            steps.push(PlannedStep::Tool);
        }
    }
    steps
}

fn words_of(count: u64, random: &mut StdRng) -> String {
    /// Distinct words of the inputs.
    const VOCABULARY: u32 = 5_000;
    let words = (0..count).map(|_| format!("w{}", random.random_range(0..VOCABULARY)));
    words.collect::<Vec<_>>().join(" ")
}

/// A program of the plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedProgram {
    /// Its arrival after the start of the workload.
    pub at: Duration,
    /// Index into the classes of the workload.
    pub class: usize,
    /// In order.
    pub steps: Vec<PlannedStep>,
}

/// A step of a planned program.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannedStep {
    /// The caller thinks.
    Pause(Duration),
    /// A turn.
    Turn {
        /// The new message.
        input: String,
        /// Most tokens to generate.
        max_output_tokens: u32,
    },
    /// A call of the class's tool.
    Tool,
}
