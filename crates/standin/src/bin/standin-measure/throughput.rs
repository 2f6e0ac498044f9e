//! Processor time of an entry for each token and each request.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::load::TurnLoad;
use crate::process::{conditions, cpu_time, memory_kb};
use crate::site;

const DURATION: Duration = Duration::from_secs(6);

/// Relays long and short turns through one entry.
pub fn measure() {
    // Name, connections, tokens of a turn, decode time.
    let loads = [
        ("paced", 64, 300, 20.0),
        ("long", 256, 300, 3.0),
        ("short", 256, 1, 3.0),
    ];
    for (name, workers, tokens, decode_ms) in loads {
        let mut site = site::start(1, 4, decode_ms, json!({}));
        let pid = site.entry(0).id();
        let load = TurnLoad {
            entry: site.entry_address(0),
            workers,
            tokens,
            duration: DURATION,
            rate: None,
        };
        let (turns, (cpu, start)) = load.run(name, move || (cpu_time(pid), Instant::now()));
        let elapsed = start.elapsed().as_secs_f64();
        let cpu = (cpu_time(pid) - cpu).as_secs_f64();
        let requests = turns.first.len() as f64;
        let tokens = turns.tokens as f64;
        let (_, peak_kb) = memory_kb(pid);
        println!(
            "{name:6} {workers} connections: {:.0} tokens/s, {:.0} requests/s, cores used {:.2}; \
             for one core {:.0} tokens/s, {:.0} requests/s; {:.2} us/token if all time is for \
             tokens; highest memory {} MB ({})",
            tokens / elapsed,
            requests / elapsed,
            cpu / elapsed,
            tokens / cpu,
            requests / cpu,
            cpu / tokens * 1e6,
            peak_kb / 1024,
            conditions()
        );
    }
}
