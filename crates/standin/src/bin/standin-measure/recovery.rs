//! Duration of the recovery after the loss of an entry, and the platform operations that it takes.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use sapphireford_standin::harness::{Site, wait_until};
use serde_json::{Value, json};

use crate::load::start_programs;
use crate::process::conditions;
use crate::site;

const PROGRAMS_PER_ENTRY: [u64; 3] = [100, 1_000, 2_500];
const ENTRY_COUNT: u64 = 3;
const INPUT_BYTES: usize = 4_096;
const SLOT_COUNT: u64 = 256;
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);
/// Time over which the operations of the idle site are counted, to subtract them.
const BASELINE_DURATION: Duration = Duration::from_secs(3);

/// Kills one of three entries and waits until the others hold all slots. The lease TTL is the
/// default of 4 seconds.
pub fn measure() {
    for programs in PROGRAMS_PER_ENTRY {
        let mut site = site::start(ENTRY_COUNT as usize, 4, 1.0, json!({}));
        let entries: Vec<SocketAddr> = (0..ENTRY_COUNT as usize)
            .map(|entry| site.entry_address(entry))
            .collect();
        let balanced = wait_until(RECOVERY_TIMEOUT, || {
            let held = entries.iter().map(|entry| status(&site, *entry, "slots"));
            held.min() >= Some(SLOT_COUNT / ENTRY_COUNT / 2)
        });
        assert!(
            balanced,
            "the slots were not spread over the entries in time"
        );
        start_programs(&entries, "program", 0..programs * ENTRY_COUNT, INPUT_BYTES);
        let lost_programs = status(&site, entries[0], "conversations");
        let segments = status(&site, entries[0], "committed_segment");
        let baseline_start = site.platform.stats();
        thread::sleep(BASELINE_DURATION);
        let before = site.platform.stats();
        site.kill_entry(0);
        let start = Instant::now();
        let recovered = wait_until(RECOVERY_TIMEOUT, || {
            entries[1..]
                .iter()
                .map(|entry| status(&site, *entry, "slots"))
                .sum::<u64>()
                == SLOT_COUNT
        });
        assert!(
            recovered,
            "the slots were not taken over within {RECOVERY_TIMEOUT:?}"
        );
        let elapsed = start.elapsed();
        let after = site.platform.stats();
        let count = |name: &str| {
            let value = |stats: &Value| stats[name].as_u64().unwrap_or(0) as f64;
            let baseline_rate =
                (value(&before) - value(&baseline_start)) / BASELINE_DURATION.as_secs_f64();
            (value(&after) - value(&before) - baseline_rate * elapsed.as_secs_f64() * 2.0 / 3.0)
                .max(0.0)
        };
        println!(
            "{lost_programs} programs, {segments} segments: all slots taken over after {:.2} s; above the \
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
