//! Processor time, memory and traffic of idle entries.

use std::thread;
use std::time::Duration;

use sapphireford_standin::harness::Site;
use serde_json::{Value, json};

use crate::process::{conditions, cpu_time, memory_kb, tcp_bytes, udp_datagrams};
use crate::site;

/// Number of entries and number of slots of each site.
const SITE_SIZES: [(usize, u64); 6] = [
    (3, 256),
    (6, 256),
    (12, 256),
    (24, 256),
    (48, 256),
    (24, 4_096),
];
const SETTLE_DELAY: Duration = Duration::from_secs(12);
const SAMPLE_DURATION: Duration = Duration::from_secs(10);

/// Samples idle sites of different sizes.
pub fn measure() {
    for (count, slots) in SITE_SIZES {
        let site = site::start(count, 1, 10.0, json!({ "slot_count": slots }));
        // Unused connections between peers are closed after 10 seconds.
        thread::sleep(SETTLE_DELAY);
        let before = Sample::take(&site);
        thread::sleep(SAMPLE_DURATION);
        let after = Sample::take(&site);
        let seconds = SAMPLE_DURATION.as_secs_f64();
        let entries = count as f64;
        let rate = |name: &str| after.stat_since(name, &before) / seconds;
        println!(
            "{count} entries, {slots} slots: one entry {:.2} % of a core, {:.0} B/s to and {:.0} B/s from the \
             platform, resident {:.1} MB; UDP of the machine {:.1} datagrams/s; platform {:.1} \
             writes/s, {:.1} scans/s, {:.1} reads/s, {:.1} object writes/s ({})",
            (after.cpu - before.cpu).as_secs_f64() / seconds / entries * 100.0,
            (after.sent - before.sent) as f64 / seconds / entries,
            (after.received - before.received) as f64 / seconds / entries,
            after.resident_kb as f64 / 1024.0 / entries,
            (after.datagrams - before.datagrams) as f64 / seconds,
            rate("writes"),
            rate("scans"),
            rate("reads"),
            rate("object_writes"),
            conditions()
        );
    }
}

struct Sample {
    cpu: Duration,
    resident_kb: u64,
    sent: u64,
    received: u64,
    datagrams: u64,
    stats: Value,
}

impl Sample {
    /// Sums over all entries. The entries of a site connect to the platform from the same IP
    /// address, so their traffic is only known as a sum; connections of this process are not
    /// included.
    fn take(site: &Site) -> Self {
        let platform = site.platform.address();
        let stats = site.platform.stats();
        let local = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
        let (sent, received) = tcp_bytes(local, platform);
        let pids: Vec<u32> = site.running_entries().map(|entry| entry.id()).collect();
        Self {
            cpu: pids.iter().map(|pid| cpu_time(*pid)).sum(),
            resident_kb: pids.iter().map(|pid| memory_kb(*pid).0).sum(),
            sent,
            received,
            datagrams: udp_datagrams(),
            stats,
        }
    }

    fn stat_since(&self, name: &str, before: &Self) -> f64 {
        let value = |stats: &Value| stats[name].as_u64().unwrap_or(0);
        (value(&self.stats) - value(&before.stats)) as f64
    }
}
