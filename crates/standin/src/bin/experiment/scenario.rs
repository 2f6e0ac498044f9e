//! Scenarios: the engines of the site, its workloads, and the arrival rate that counts as 100 %.

use std::ops::RangeInclusive;

use sapphireford::version::key_digest::{digest, encode_hex};
use serde_json::{Map, Value, json};

/// Number of engines of the site.
pub const ENGINES: usize = 6;
/// Number of entries of the site.
pub const ENTRIES: usize = 3;
/// Requests that an engine decodes in one batch.
const MAX_BATCH: u64 = 8;
/// Duration of a decode step for a batch of one request.
const DECODE_MS: f64 = 10.0;
/// Relative increase of the step duration for each further request of the batch.
const BATCH_SLOWDOWN: f64 = 0.02;
/// An engine prefills prompts one after the other at this rate.
const PREFILL_TOKENS_PER_SECOND: f64 = 4_000.0;
/// Delay of each tool action.
pub const TOOL_DELAY_MS: u64 = 200;
/// Lag of the load reports of engines in runs without faults.
const REPORT_LAG_MS: u64 = 500;
/// Lag of the load reports of engines in runs with faults.
const SLOW_REPORT_LAG_MS: u64 = 2_000;
/// Tokens that the engine counts for each message in addition to its words.
const TOKENS_PER_MESSAGE: f64 = 4.0;
/// Longest wait of a call for an engine.
const QUEUE_TIMEOUT_MS: u64 = 15_000;

/// A workload whose classes arrive in fixed proportions, at any total rate.
pub struct Scenario {
    /// Name of the workload, on the command line and in reports.
    pub name: &'static str,
    /// Capacity of the prefix cache of an engine.
    pub cache_tokens: u64,
    teams: usize,
    classes: Vec<Class>,
}

struct Class {
    program: &'static str,
    priority: &'static str,
    /// Share of the arrivals of all classes; the shares add up to 1.
    share: f64,
    system_prompt_words: u64,
    turns: RangeInclusive<u64>,
    input_words: RangeInclusive<u64>,
    output_tokens: RangeInclusive<u64>,
    think_ms: RangeInclusive<u64>,
    tool_percent: u64,
}

impl Scenario {
    /// Returns the scenario `division` or `verfwerk`.
    pub fn by_name(name: &str) -> Option<Self> {
        match name {
            "division" => Some(Self::division()),
            "verfwerk" => Some(Self::verfwerk()),
            _ => None,
        }
    }

    fn division() -> Self {
        let urgent = Class {
            program: "urgent-order",
            priority: "urgent",
            share: 0.4,
            system_prompt_words: 300,
            turns: 2..=4,
            input_words: 10..=40,
            output_tokens: 10..=30,
            think_ms: 50..=200,
            tool_percent: 60,
        };
        let normal = Class {
            program: "conversation",
            priority: "normal",
            share: 0.6,
            system_prompt_words: 300,
            turns: 3..=6,
            input_words: 20..=80,
            output_tokens: 20..=60,
            think_ms: 100..=500,
            tool_percent: 0,
        };
        Self {
            name: "division",
            cache_tokens: 12_000,
            teams: 1,
            classes: vec![urgent, normal],
        }
    }

    fn verfwerk() -> Self {
        let advice = Class {
            program: "advice",
            priority: "normal",
            share: 0.8,
            system_prompt_words: 100,
            turns: 6..=12,
            input_words: 40..=200,
            output_tokens: 30..=90,
            think_ms: 100..=700,
            tool_percent: 20,
        };
        let order = Class {
            program: "job-order",
            priority: "urgent",
            share: 0.2,
            system_prompt_words: 100,
            turns: 2..=4,
            input_words: 20..=60,
            output_tokens: 20..=60,
            think_ms: 100..=300,
            tool_percent: 80,
        };
        Self {
            name: "verfwerk",
            cache_tokens: 16_000,
            teams: 24,
            classes: vec![advice, order],
        }
    }

    /// Arrivals per second at which the engines are saturated if they compute each prompt token
    /// only once. The limit is either prefill or the number of requests in a batch, whichever is
    /// reached first.
    pub fn saturation_rate(&self) -> f64 {
        let mut prefill_seconds = 0.0;
        let mut batch_seconds = 0.0;
        let step_ms = DECODE_MS * (1.0 + BATCH_SLOWDOWN * (MAX_BATCH - 1) as f64);
        for class in &self.classes {
            let turns = mean(&class.turns);
            let system = class.system_prompt_words as f64 + TOKENS_PER_MESSAGE;
            let prompt = system + turns * (mean(&class.input_words) + TOKENS_PER_MESSAGE);
            let prefill = prompt / PREFILL_TOKENS_PER_SECOND;
            let decode = turns * mean(&class.output_tokens) * step_ms / 1000.0;
            prefill_seconds += class.share * prefill;
            batch_seconds += class.share * (prefill + decode);
        }
        let engine_seconds = prefill_seconds.max(batch_seconds / MAX_BATCH as f64);
        ENGINES as f64 / engine_seconds
    }

    /// The workload file of the load tool for a total of `rate` arrivals per second.
    pub fn workload(&self, rate: f64) -> Value {
        let teams = 0..self.teams;
        let classes = teams.flat_map(|team| {
            let classes = self.classes.iter();
            classes.map(move |class| class.workload(team, rate * self.team_share(team)))
        });
        json!({ "name": self.name, "seed": 1, "duration_ms": 1_000, "max_in_flight": 5_000, "classes": classes.collect::<Vec<_>>() })
    }

    /// Share of a team in the arrivals. The shares are harmonic (1, 1/2, 1/3, ...), so the first
    /// team sends as much as several of the last ones together.
    fn team_share(&self, team: usize) -> f64 {
        let total: f64 = (1..=self.teams).map(|rank| 1.0 / rank as f64).sum();
        1.0 / (team + 1) as f64 / total
    }

    /// Maps team ids to keys, as the load tool reads them from `--team-keys`.
    pub fn team_keys(&self) -> Map<String, Value> {
        let teams = 0..self.teams;
        teams
            .map(|team| (team_id(team), json!(team_key(team))))
            .collect()
    }

    /// Overrides of the base configuration of the site.
    pub fn config(&self, placement: &str, queue: &str) -> Value {
        let engines = (0..ENGINES).map(|engine| {
            let limits =
                json!({"max_concurrent_calls": MAX_BATCH, "cache_tokens": self.cache_tokens});
            (format!("engine-{engine}"), limits)
        });
        let teams = (0..self.teams).map(|team| {
            let key_sha256 = encode_hex(&digest(&team_key(team)));
            (team_id(team), json!({"key_sha256": key_sha256}))
        });
        let programs = (0..self.teams).flat_map(|team| {
            let classes = self.classes.iter();
            classes.map(move |class| (class.program_id(team), class.config(team)))
        });
        json!({ "backend_servers": engines.collect::<Map<_, _>>(), "teams": teams.collect::<Map<_, _>>(), "programs": programs.collect::<Map<_, _>>(), "limits": {"queue_time_ms": QUEUE_TIMEOUT_MS}, "policy": {"placement": placement, "queue": queue} })
    }

    /// Command-line arguments of each engine. `has_slow_reports` selects the lag of load reports
    /// for runs with faults.
    pub fn engine_arguments(&self, has_slow_reports: bool) -> Vec<String> {
        let lag = if has_slow_reports {
            SLOW_REPORT_LAG_MS
        } else {
            REPORT_LAG_MS
        };
        let arguments = [
            ("--max-batch", MAX_BATCH.to_string()),
            ("--decode-ms", DECODE_MS.to_string()),
            ("--batch-slowdown", BATCH_SLOWDOWN.to_string()),
            (
                "--prefill-tokens-per-second",
                PREFILL_TOKENS_PER_SECOND.to_string(),
            ),
            ("--cache-tokens", self.cache_tokens.to_string()),
            ("--report-lag-ms", lag.to_string()),
        ];
        let arguments = arguments.into_iter();
        arguments
            .flat_map(|(name, value)| [name.to_string(), value])
            .collect()
    }
}

impl Class {
    fn program_id(&self, team: usize) -> String {
        format!("{}-{team}", self.program)
    }

    fn workload(&self, team: usize, rate: f64) -> Value {
        let mut class = json!({ "program": self.program_id(team), "team": team_id(team), "model": "small", "priority": self.priority, "arrivals_per_second": rate * self.share, "turns": range_json(&self.turns), "input_words": range_json(&self.input_words), "output_tokens": range_json(&self.output_tokens), "think_ms": range_json(&self.think_ms) });
        if self.tool_percent > 0 {
            class["tool"] = json!({"tool": "book", "percent": self.tool_percent});
        }
        class
    }

    fn config(&self, team: usize) -> Value {
        let system_prompt = vec!["rule"; self.system_prompt_words as usize].join(" ");
        json!({ "team": team_id(team), "model": "small", "priority": self.priority, "budget_micros": 100_000, "tools": ["book"], "max_calls": 100, "system_prompt": system_prompt })
    }
}

fn mean(range: &RangeInclusive<u64>) -> f64 {
    (range.start() + range.end()) as f64 / 2.0
}

fn range_json(range: &RangeInclusive<u64>) -> Value {
    json!({"min": range.start(), "max": range.end()})
}

fn team_id(team: usize) -> String {
    format!("firm-{team}")
}

fn team_key(team: usize) -> String {
    format!("key-of-firm-{team}")
}
