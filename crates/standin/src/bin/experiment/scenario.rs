//! The model of the site: engines, workloads, and the rate that counts as 100 %.

use std::ops::RangeInclusive;

use sapphireford::version::key_digest::{digest, encode_hex};
use serde_json::{Map, Value, json};

/// Engines of the site.
pub const ENGINES: usize = 6;
/// Entries of the site.
pub const ENTRIES: usize = 3;
/// Requests that an engine decodes together.
const MAX_BATCH: u64 = 8;
/// Time of a decode step for a batch of one.
const DECODE_MS: f64 = 10.0;
/// Share added to a step by each further request.
const BATCH_SLOWDOWN: f64 = 0.02;
/// Prompt tokens that an engine computes in a second, one prompt after the other.
const PREFILL_TOKENS_PER_SECOND: f64 = 4_000.0;
/// Time of one tool action.
pub const TOOL_MS: u64 = 200;
/// Lag of the load reports outside of the fault scenario.
const REPORT_LAG_MS: u64 = 500;
/// Lag of the load reports in the fault scenario.
const SLOW_REPORT_LAG_MS: u64 = 2_000;
/// Tokens that the engine counts for each message besides its words.
const MESSAGE_TOKENS: f64 = 4.0;
/// Calls wait at most this long for an engine.
const QUEUE_TIME_MS: u64 = 15_000;

/// A workload with the arrival rates of its classes relative to each other.
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// Tokens in the prefix cache of an engine.
    pub cache_tokens: u64,
    teams: usize,
    classes: Vec<Class>,
}

struct Class {
    program: &'static str,
    priority: &'static str,
    /// Share of the arrivals.
    share: f64,
    system_words: u64,
    turns: RangeInclusive<u64>,
    input_words: RangeInclusive<u64>,
    output_tokens: RangeInclusive<u64>,
    think_ms: RangeInclusive<u64>,
    tool_percent: u64,
}

impl Scenario {
    /// Finds a scenario by its name.
    pub fn find(name: &str) -> Option<Self> {
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
            system_words: 300,
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
            system_words: 300,
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
            system_words: 100,
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
            system_words: 100,
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

    /// Arrivals a second at which the engines are busy all the time, if they compute each prompt
    /// token once: either their prefills, or the places in their batches.
    pub fn full_rate(&self) -> f64 {
        let mut prefill_seconds = 0.0;
        let mut place_seconds = 0.0;
        let step_ms = DECODE_MS * (1.0 + BATCH_SLOWDOWN * (MAX_BATCH - 1) as f64);
        for class in &self.classes {
            let turns = mean(&class.turns);
            let system = class.system_words as f64 + MESSAGE_TOKENS;
            let prompt = system + turns * (mean(&class.input_words) + MESSAGE_TOKENS);
            let prefill = prompt / PREFILL_TOKENS_PER_SECOND;
            let decode = turns * mean(&class.output_tokens) * step_ms / 1000.0;
            prefill_seconds += class.share * prefill;
            place_seconds += class.share * (prefill + decode);
        }
        let engine_seconds = prefill_seconds.max(place_seconds / MAX_BATCH as f64);
        ENGINES as f64 / engine_seconds
    }

    /// The workload file of the load tool.
    pub fn workload(&self, rate: f64) -> Value {
        let teams = 0..self.teams;
        let classes = teams.flat_map(|team| {
            let classes = self.classes.iter();
            classes.map(move |class| class.workload(team, rate * self.team_share(team)))
        });
        json!({
            "name": self.name, "seed": 1, "duration_ms": 1_000, "max_in_flight": 5_000,
            "classes": classes.collect::<Vec<_>>(),
        })
    }

    /// Teams differ: the first sends as much as the last ones together (harmonic shares).
    fn team_share(&self, team: usize) -> f64 {
        let total: f64 = (1..=self.teams).map(|rank| 1.0 / rank as f64).sum();
        1.0 / (team + 1) as f64 / total
    }

    /// The keys of the teams.
    pub fn team_keys(&self) -> Map<String, Value> {
        let teams = 0..self.teams;
        teams
            .map(|team| (team_id(team), json!(team_key(team))))
            .collect()
    }

    /// The configuration, merged over that of every site.
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
        json!({
            "backend_servers": engines.collect::<Map<_, _>>(),
            "teams": teams.collect::<Map<_, _>>(),
            "programs": programs.collect::<Map<_, _>>(),
            "limits": {"queue_time_ms": QUEUE_TIME_MS},
            "policy": {"placement": placement, "queue": queue},
        })
    }

    /// The arguments of each engine.
    pub fn engine_arguments(&self, slow_reports: bool) -> Vec<String> {
        let lag = if slow_reports {
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
        let mut class = json!({
            "program": self.program_id(team), "team": team_id(team), "model": "small",
            "priority": self.priority, "arrivals_per_second": rate * self.share,
            "turns": range(&self.turns), "input_words": range(&self.input_words),
            "output_tokens": range(&self.output_tokens), "think_ms": range(&self.think_ms),
        });
        if self.tool_percent > 0 {
            class["tool"] = json!({"tool": "book", "percent": self.tool_percent});
        }
        class
    }

    fn config(&self, team: usize) -> Value {
        let system_prompt = vec!["rule"; self.system_words as usize].join(" ");
        json!({
            "team": team_id(team), "model": "small", "priority": self.priority,
            "budget_micros": 100_000, "tools": ["book"], "max_calls": 100,
            "system_prompt": system_prompt,
        })
    }
}

fn mean(range: &RangeInclusive<u64>) -> f64 {
    (range.start() + range.end()) as f64 / 2.0
}

fn range(range: &RangeInclusive<u64>) -> Value {
    json!({"min": range.start(), "max": range.end()})
}

fn team_id(team: usize) -> String {
    format!("firm-{team}")
}

fn team_key(team: usize) -> String {
    format!("key-of-firm-{team}")
}
