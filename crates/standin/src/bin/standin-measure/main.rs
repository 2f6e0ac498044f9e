//! Measures latency, processor time, memory and store traffic of the processes of a local site.
//!
//! Each measurement starts a site of its own on loopback and prints one line for each case that it
//! measures, with the time and the load average of the machine. The results go into
//! `docs/CAPACITY.md`. `scripts/measure` builds and runs this program; arguments select measurements
//! by name.

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

/// The name on the command line, and the function that runs the measurement.
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
