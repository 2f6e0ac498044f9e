//! Memory and idle processor time of an entry with many running programs.

use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::load::start_programs;
use crate::process::{conditions, cpu_time, memory_kb};
use crate::site;

const PROGRAM_COUNTS: [u64; 4] = [0, 2_500, 5_000, 20_000];
const INPUT_BYTES: usize = 4_096;
const IDLE_DURATION: Duration = Duration::from_secs(8);

/// Starts a growing number of programs on one entry.
pub fn measure() {
    // Keeps checkpoints out of the idle time; the measurement `journal` includes their cost.
    let settings = json!({ "checkpoint_interval_ms": 600_000 });
    let mut site = site::start(1, 4, 1.0, settings);
    let pid = site.entry(0).id();
    let mut started = 0;
    for count in PROGRAM_COUNTS {
        let before = cpu_time(pid);
        start_programs(
            &[site.entry_address(0)],
            "program",
            started..count,
            INPUT_BYTES,
        );
        let starting = cpu_time(pid) - before;
        started = count;
        thread::sleep(Duration::from_secs(1));
        let before = cpu_time(pid);
        thread::sleep(IDLE_DURATION);
        let idle = (cpu_time(pid) - before).as_secs_f64() / IDLE_DURATION.as_secs_f64();
        let (resident, highest) = memory_kb(pid);
        println!(
            "{count} programs of {INPUT_BYTES} bytes: resident {:.1} MB, highest {:.1} MB, idle \
             {:.2} % of a core, starting them took {:.1} s of processor time ({})",
            resident as f64 / 1024.0,
            highest as f64 / 1024.0,
            idle * 100.0,
            starting.as_secs_f64(),
            conditions()
        );
    }
}
