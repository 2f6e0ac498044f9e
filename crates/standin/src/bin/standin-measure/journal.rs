//! Commits, object writes and bytes of the journal under a steady load.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sapphireford_standin::harness::HttpRequest;
use serde_json::{Value, json};

use crate::load::TurnLoad;
use crate::process::{conditions, cpu_time, p50_and_p99_ms};
use crate::site;

const TURNS_PER_SECOND: [f64; 3] = [50.0, 100.0, 200.0];
const TOKENS_PER_TURN: u32 = 20;
const WORKERS: usize = 160;
const LOAD_DURATION: Duration = Duration::from_secs(10);

/// Sends turns to one entry at several fixed rates, with a checkpoint every 4 seconds.
pub fn measure() {
    for rate in TURNS_PER_SECOND {
        let settings = json!({ "checkpoint_interval_ms": 4_000 });
        let mut site = site::start(1, 4, 5.0, settings);
        let pid = site.entry(0).id();
        let platform = site.platform.address();
        let load = TurnLoad {
            entry: site.entry_address(0),
            workers: WORKERS,
            tokens: TOKENS_PER_TURN,
            duration: LOAD_DURATION,
            rate: Some(rate),
        };
        let (mut turns, (before, cpu, start)) = load.run("journal", move || {
            (stats(platform), cpu_time(pid), Instant::now())
        });
        let elapsed = start.elapsed().as_secs_f64();
        let cpu = (cpu_time(pid) - cpu).as_secs_f64();
        let after = stats(platform);
        let per_second = |name: &str| {
            let value = |stats: &Value| stats[name].as_u64().unwrap_or(0) as f64;
            (value(&after) - value(&before)) / elapsed
        };
        let completed_rate = turns.first_token_times.len() as f64 / elapsed;
        let (p50, p99) = p50_and_p99_ms(&mut turns.first_token_times);
        println!(
            "{rate} turns/s wanted, {completed_rate:.1} done: {:.1} commits/s, {:.1} object writes/s, {:.0} \
             bytes/s written ({:.0} for a turn), first token p50 {p50:.1} ms p99 {p99:.1} ms, \
             {:.1} % of a core ({})",
            per_second("writes"),
            per_second("object_writes"),
            per_second("bytes_written"),
            per_second("bytes_written") / completed_rate,
            cpu / elapsed * 100.0,
            conditions()
        );
    }
}

fn stats(platform: SocketAddr) -> Value {
    let answer = HttpRequest::get("/stats").send(platform);
    answer.expect("the platform answers GET /stats").json()
}
