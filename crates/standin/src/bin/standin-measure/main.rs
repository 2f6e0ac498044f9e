//! Measures the processes of a local site, for `docs/CAPACITY.md`.
//!
//! Each measurement starts its own site on loopback and prints one line for each figure, headed by
//! the time and the load average of the machine. `scripts/measure` builds and starts it.

mod client;
mod config;
mod idle;
mod journal;
mod latency;
mod load;
mod process;
mod programs;
mod recovery;
mod site;
mod throughput;

use std::process::ExitCode;

/// A measurement and its name on the command line.
type Measurement = (&'static str, fn());

const MEASUREMENTS: [Measurement; 7] = [
    ("latency", latency::measure),
    ("throughput", throughput::measure),
    ("programs", programs::measure),
    ("idle", idle::measure),
    ("config", config::measure),
    ("recovery", recovery::measure),
    ("journal", journal::measure),
];

fn main() -> ExitCode {
    let names: Vec<String> = std::env::args().skip(1).collect();
    let known = |name: &String| MEASUREMENTS.iter().any(|(known, _)| known == name);
    if let Some(unknown) = names.iter().find(|name| !known(name)) {
        let known: Vec<&str> = MEASUREMENTS.iter().map(|(name, _)| *name).collect();
        eprintln!(
            "error: no measurement `{unknown}`; use {}",
            known.join(", ")
        );
        return ExitCode::from(2);
    }
    for (name, measure) in MEASUREMENTS {
        if names.is_empty() || names.iter().any(|wanted| wanted == name) {
            println!("## {name}: {}", process::conditions());
            measure();
        }
    }
    ExitCode::SUCCESS
}
