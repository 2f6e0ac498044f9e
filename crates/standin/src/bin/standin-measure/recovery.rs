//! Time and platform operations of a recovery.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use sapphireford_standin::harness::{Site, wait_until};
use serde_json::{Value, json};

use crate::load::start_programs;
use crate::process::conditions;
use crate::site;

const PROGRAMS: [u64; 3] = [100, 1_000, 2_500];
const ENTRIES: u64 = 3;
const INPUT_BYTES: usize = 4_096;
const SLOTS: u64 = 256;
const LONGEST: Duration = Duration::from_secs(60);
/// Time over which the reads and writes of the idle site are counted.
const BASELINE: Duration = Duration::from_secs(3);

/// Kills one of three entries, with the default lease of 4 seconds.
pub fn measure() {
    for programs in PROGRAMS {
        let mut site = site::start(ENTRIES as usize, 4, 1.0, json!({}));
        let entries: Vec<SocketAddr> = (0..ENTRIES as usize)
            .map(|entry| site.entry_address(entry))
            .collect();
        let balanced = wait_until(LONGEST, || {
            let held = entries.iter().map(|entry| status(&site, *entry, "slots"));
            held.min() >= Some(SLOTS / ENTRIES / 2)
        });
        assert!(balanced, "the slots are not spread over the entries");
        start_programs(&entries, "program", 0..programs * ENTRIES, INPUT_BYTES);
        let lost = status(&site, entries[0], "conversations");
        let segments = status(&site, entries[0], "committed_segment");
        let idle = site.platform.stats();
        thread::sleep(BASELINE);
        let before = site.platform.stats();
        site.kill_entry(0);
        let start = Instant::now();
        let recovered = wait_until(LONGEST, || {
            entries[1..]
                .iter()
                .map(|entry| status(&site, *entry, "slots"))
                .sum::<u64>()
                == SLOTS
        });
        assert!(
            recovered,
            "the slots were not taken over within {LONGEST:?}"
        );
        let elapsed = start.elapsed();
        let after = site.platform.stats();
        let count = |name: &str| {
            let value = |stats: &Value| stats[name].as_u64().unwrap_or(0) as f64;
            let usual = (value(&before) - value(&idle)) / BASELINE.as_secs_f64();
            (value(&after) - value(&before) - usual * elapsed.as_secs_f64() * 2.0 / 3.0).max(0.0)
        };
        println!(
            "{lost} programs, {segments} segments: all slots taken over after {:.2} s; above the \
             idle rate {:.0} reads, {:.0} scans, {:.0} writes, {:.0} object reads, {:.0} object \
             writes, {:.2} MB read, {:.2} MB written ({})",
            elapsed.as_secs_f64(),
            count("reads"),
            count("scans"),
            count("writes"),
            count("object_reads"),
            count("object_writes"),
            count("bytes_read") / 1e6,
            count("bytes_written") / 1e6,
            conditions()
        );
    }
}

fn status(site: &Site, entry: SocketAddr, name: &str) -> u64 {
    let status = site.status(entry);
    status.and_then(|status| status[name].as_u64()).unwrap_or(0)
}
