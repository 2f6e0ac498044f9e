//! Processor time that an entry spends on each token and each request.

use std::process::Command;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::load::TurnLoad;
use crate::process::{conditions, cpu_time, memory_kb};
use crate::site;

const LOAD_DURATION: Duration = Duration::from_secs(6);
/// A throttled entry is alternately stopped and running for this long.
const PAUSE_DURATION: Duration = Duration::from_millis(60);

/// Stops the entry for half of the time, so that tokens accumulate in the buffers of its
/// connections as they do on an entry that is short of processor time.
fn throttle(pid: u32) {
    let start = Instant::now();
    while start.elapsed() < LOAD_DURATION {
        for signal in ["-STOP", "-CONT"] {
            let sent = Command::new("kill")
                .arg(signal)
                .arg(pid.to_string())
                .status();
            assert!(
                sent.is_ok_and(|status| status.success()),
                "could not send {signal} to the entry"
            );
            thread::sleep(PAUSE_DURATION);
        }
    }
}

/// Sends turns of different lengths and token rates through one entry.
pub fn measure() {
    // Name, connections, tokens per turn, decode time in ms, whether the entry is throttled.
    let loads = [
        ("paced", 64, 300, 20.0, false),
        ("long", 256, 300, 3.0, false),
        ("behind", 128, 300, 4.0, true),
        ("short", 256, 1, 3.0, false),
    ];
    for (name, workers, tokens, decode_ms, is_throttled) in loads {
        let mut site = site::start(1, 4, decode_ms, json!({}));
        let pid = site.entry(0).id();
        let load = TurnLoad {
            entry: site.entry_address(0),
            workers,
            tokens,
            duration: LOAD_DURATION,
            rate: None,
        };
        let (turns, (cpu, start)) = load.run(name, move || {
            let throttle_thread = is_throttled.then(|| thread::spawn(move || throttle(pid)));
            drop(throttle_thread);
            (cpu_time(pid), Instant::now())
        });
        let elapsed = start.elapsed().as_secs_f64();
        let cpu = (cpu_time(pid) - cpu).as_secs_f64();
        let requests = turns.first_token_times.len() as f64;
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
