//! Compares policies at different load levels, with and without faults, for `docs/experiments.md`.
//!
//! The program makes a run for each combination of seed, level and policy on its command line. A
//! run starts a site of its own, drives it with `sapphireford-load` and adds an object to the JSON
//! report. At the end a Markdown table with a row for each run is printed. The exit code is 3 if a
//! run violated an invariant.

mod scenario;
mod table;

use std::process::{Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use getopts::{Matches, Options};
use sapphireford_standin::harness::{HttpRequest, Process, Site, SiteOptions};
use serde_json::{Value, json};

use scenario::{ENGINES, ENTRIES, Scenario, TOOL_DELAY_MS};

/// Time that programs in flight get to finish after the last arrival.
const DEFAULT_DRAIN_MS: u64 = 20_000;
/// Delay before the engines are read, in which entries release the cache of programs that have
/// ended.
const CACHE_RELEASE_DELAY: Duration = Duration::from_secs(1);

/// Parameters of a run.
struct Run {
    workload: String,
    placement: String,
    queue: String,
    level: u32,
    seed: u64,
    duration_ms: u64,
    drain_ms: u64,
    has_faults: bool,
}

fn main() {
    let mut options = Options::new();
    options.optopt("", "workload", "division or verfwerk", "NAME");
    options.optmulti("", "policy", "placement and queue; repeated", "NAME/NAME");
    options.optmulti("", "level", "percent of the full rate; repeated", "PERCENT");
    options.optmulti("", "seed", "seed of the workload; repeated", "N");
    options.optopt("", "duration-ms", "time in which programs arrive", "MS");
    let text = "time for programs in flight after the last arrival (20000)";
    options.optopt("", "drain-ms", text, "MS");
    let text = "an engine leaves, an entry is killed, and load reports are 2 s late";
    options.optflag("", "faults", text);
    options.optopt("", "jobs", "runs at the same time (1)", "N");
    options.optopt("", "report", "write the report as JSON", "FILE");
    options.optflag("h", "help", "print this text");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) if !matches.opt_present("help") => matches,
        Ok(_) => return print!("{}", options.usage("Usage: experiment [OPTIONS]")),
        Err(error) => {
            eprintln!("error: {error}");
            std::process::exit(2);
        }
    };
    let runs = parse_runs(&matches);
    let jobs = matches.opt_get_default("jobs", 1).expect("--jobs N");
    let mut reports = run_all(runs, jobs);
    reports.sort_by_key(|report| report["number"].as_u64());
    if let Some(path) = matches.opt_str("report") {
        let text = serde_json::to_vec_pretty(&reports).expect("a report is JSON");
        std::fs::write(path, text).expect("the report can be written");
    }
    print!("{}", table::render(&reports));
    let passed = |report: &Value| report["load"]["checks"]["passed"] == true;
    if !reports.iter().all(passed) {
        eprintln!("error: a check of an invariant failed");
        std::process::exit(3);
    }
}

fn parse_runs(matches: &Matches) -> Vec<Run> {
    let workload = matches
        .opt_str("workload")
        .unwrap_or_else(|| "verfwerk".to_string());
    let duration_ms = matches.opt_get_default("duration-ms", 30_000);
    let duration_ms = duration_ms.expect("--duration-ms MS");
    let drain_ms = matches.opt_get_default("drain-ms", DEFAULT_DRAIN_MS);
    let drain_ms = drain_ms.expect("--drain-ms MS");
    let mut runs = Vec::new();
    for seed in matches.opt_strs("seed") {
        for level in matches.opt_strs("level") {
            for policy in matches.opt_strs("policy") {
                let (placement, queue) = policy.split_once('/').expect("--policy NAME/NAME");
                runs.push(Run {
                    workload: workload.clone(),
                    placement: placement.to_string(),
                    queue: queue.to_string(),
                    level: level.parse().expect("--level PERCENT"),
                    seed: seed.parse().expect("--seed N"),
                    duration_ms,
                    drain_ms,
                    has_faults: matches.opt_present("faults"),
                });
            }
        }
    }
    runs
}

fn run_all(runs: Vec<Run>, jobs: usize) -> Vec<Value> {
    let pending = Mutex::new(runs.into_iter().enumerate());
    let reports = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..jobs {
            scope.spawn(|| {
                loop {
                    let next = pending.lock().expect("no run panicked").next();
                    let Some((number, run)) = next else {
                        return;
                    };
                    let mut report = run.execute();
                    report["number"] = json!(number);
                    eprint!("{}", table::render_row(&report));
                    reports.lock().expect("no run panicked").push(report);
                }
            });
        }
    });
    reports.into_inner().expect("no run panicked")
}

impl Run {
    fn execute(&self) -> Value {
        let scenario = Scenario::by_name(&self.workload).expect("the workload is known");
        let rate = scenario.saturation_rate() * f64::from(self.level) / 100.0;
        let mut site = Site::with_options(SiteOptions {
            entries: ENTRIES,
            engines: ENGINES,
            engine_arguments: scenario.engine_arguments(self.has_faults),
            config: scenario.config(&self.placement, &self.queue),
            ..SiteOptions::default()
        });
        site.tool.control(&json!({"delay_ms": TOOL_DELAY_MS}));
        let load_average = load_average();
        let load = self.run_load(&mut site, &scenario, rate);
        thread::sleep(CACHE_RELEASE_DELAY);
        let engines: Vec<Value> = site.engines.iter().map(Process::stats).collect();
        let sum = |name: &str| -> u64 {
            let values = engines.iter().filter_map(|stats| stats[name].as_u64());
            values.sum()
        };
        json!({
            "workload": self.workload, "placement": self.placement, "queue": self.queue,
            "level": self.level, "seed": self.seed, "duration_ms": self.duration_ms, "drain_ms": self.drain_ms,
            "faults": self.has_faults, "rate": rate, "load_average": load_average,
            "wasted": {
                "recomputed": load["entry"]["tokens"]["wasted_tokens"],
                "held_by_ended": sum("cache_used_tokens"),
                "unread": sum("tokens_generated_without_reader"),
            },
            "recomputed_after_eviction": sum("tokens_recomputed_after_eviction"),
            "evicted": sum("tokens_evicted"),
            "started_while_leaving": sum("calls_started_while_leaving"),
            "held": site.engines.iter().map(cache_contents).collect::<Vec<_>>(),
            "load": load,
        })
    }

    /// Runs the load tool and returns its report. With faults, an engine starts to leave at 33 % of
    /// the duration and an entry is killed at 50 %.
    fn run_load(&self, site: &mut Site, scenario: &Scenario, rate: f64) -> Value {
        let folder = std::env::temp_dir().join(format!(
            "sapphireford-experiment-{}",
            site.entry_address(0).ip()
        ));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be created");
        let file = |name: &str, content: &Value| {
            let path = folder.join(name);
            std::fs::write(&path, content.to_string()).expect("the file can be written");
            path.display().to_string()
        };
        let keys = Value::Object(scenario.team_keys());
        let report_path = folder.join("report.json");
        let mut command = Command::new(load_tool());
        command
            .args([
                "--workload",
                &file("workload.json", &scenario.workload(rate)),
            ])
            .args(["--team-keys", &file("keys.json", &keys)])
            .args(["--seed", &self.seed.to_string()])
            .args(["--duration-ms", &self.duration_ms.to_string()])
            .args(["--drain-ms", &self.drain_ms.to_string()])
            .args(["--tool", &site.tool.address().to_string()])
            .arg("--report")
            .arg(&report_path)
            .stdout(Stdio::null());
        for entry in 0..ENTRIES {
            command.args(["--entry", &site.entry_address(entry).to_string()]);
        }
        for engine in &site.engines {
            command.args(["--engine", &engine.address().to_string()]);
        }
        let started = Instant::now();
        let mut child = command.spawn().expect("the load tool can be started");
        if self.has_faults {
            let at_percent = |percent: u64| Duration::from_millis(self.duration_ms * percent / 100);
            thread::sleep(at_percent(33).saturating_sub(started.elapsed()));
            site.engines[0].control(&json!({"leaving": true}));
            thread::sleep(at_percent(50).saturating_sub(started.elapsed()));
            site.kill_entry(0);
        }
        let _ = child.wait().expect("the load tool ends");
        let report = std::fs::read(&report_path).expect("the load tool wrote its report");
        let _ = std::fs::remove_dir_all(&folder);
        serde_json::from_slice(&report).expect("the report is JSON")
    }
}

/// The entries in the cache of an engine; null if it does not answer.
fn cache_contents(engine: &Process) -> Value {
    let answer = HttpRequest::get("/v1/cache").send(engine.address());
    answer.map_or(Value::Null, |answer| answer.json())
}

fn load_tool() -> std::path::PathBuf {
    let this = std::env::current_exe().expect("the path of this program is known");
    this.with_file_name("sapphireford-load")
}

/// Load average of the machine over the last minute; 0 if it cannot be read.
fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|text| text.parse().ok()).unwrap_or_default()
}
