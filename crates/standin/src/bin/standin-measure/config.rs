//! Time and bytes of configuration changes.

use std::time::{Duration, Instant};

use sapphireford::version::key_digest;
use sapphireford_standin::harness::{HttpRequest, OPERATOR_KEY, Site, wait_until};
use serde_json::{Map, Value, json};

use crate::process::{conditions, cpu_time, memory_kb};
use crate::site;

const TEAMS: [usize; 4] = [10, 1_000, 10_000, 41_000];
/// Entries of the site on which a change spreads.
const ENTRIES: usize = 24;
/// Time before and after the change.
const SETTLE: Duration = Duration::from_secs(3);
const LONGEST: Duration = Duration::from_secs(60);

/// Applies configurations with more and more teams, and to each a change of one team; then a change
/// that many entries have to learn.
pub fn measure() {
    measure_teams();
    measure_spread();
}

/// Counts the messages between entries about one change.
fn measure_spread() {
    let site = site::start(ENTRIES, 1, 10.0, json!({}));
    let addresses: Vec<_> = (0..ENTRIES)
        .map(|entry| site.entry_address(entry))
        .collect();
    std::thread::sleep(SETTLE);
    let before = peer_requests(&addresses);
    let start = Instant::now();
    let change = json!({ "teams": team_rows(1, 2) });
    site.apply(1, &[site.base_config(), change]);
    let everywhere = start.elapsed();
    std::thread::sleep(SETTLE);
    println!(
        "{ENTRIES} entries, one change: in force on all after {:.2} s, {} messages between entries \
         ({})",
        everywhere.as_secs_f64(),
        peer_requests(&addresses) - before,
        conditions()
    );
}

/// Requests that the entries have sent to each other.
fn peer_requests(entries: &[std::net::SocketAddr]) -> u64 {
    let count = |entry: &std::net::SocketAddr| -> u64 {
        let answer = HttpRequest::get("/metrics")
            .bearer(OPERATOR_KEY)
            .send(*entry);
        let text = answer.expect("the metrics").text();
        let lines = text.lines().filter(|line| line.contains("peer_requests"));
        lines
            .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
            .sum()
    };
    entries.iter().map(count).sum()
}

fn measure_teams() {
    let mut site = site::start(3, 1, 10.0, json!({}));
    let mut version = 1;
    for teams in TEAMS {
        let base = site.base_config();
        let all = json!({ "teams": team_rows(teams, 1) });
        apply(
            &mut site,
            &mut version,
            "all teams",
            teams,
            &[base.clone(), all.clone()],
        );
        let change = json!({ "teams": team_rows(1, 2) });
        apply(
            &mut site,
            &mut version,
            "one team",
            teams,
            &[base, all, change],
        );
    }
}

fn team_rows(count: usize, weight: u32) -> Map<String, Value> {
    (0..count)
        .map(|number| {
            let digest = key_digest::digest(&format!("team-{number}-key"));
            let key: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
            (
                format!("team-{number}"),
                json!({ "key_sha256": key, "weight": weight }),
            )
        })
        .collect()
}

fn apply(site: &mut Site, version: &mut u64, name: &str, teams: usize, files: &[Value]) {
    let stats = site.platform.stats();
    let pid = site.entry(0).id();
    let cpu = cpu_time(pid);
    let start = Instant::now();
    let output = site.try_apply(*version, files, &["--wait-ms", "0"]);
    let applied = start.elapsed();
    assert!(output.status.success(), "apply failed: {output:?}");
    *version += 1;
    let in_force = wait_until(LONGEST, || {
        (0..3).all(|entry| {
            let status = site.status(site.entry_address(entry));
            status.is_some_and(|status| status["config_version"] == json!(*version))
        })
    });
    assert!(
        in_force,
        "version {version} is not in force after {LONGEST:?}"
    );
    let everywhere = start.elapsed();
    std::thread::sleep(Duration::from_millis(500));
    let after = site.platform.stats();
    let difference =
        |name: &str| after[name].as_u64().unwrap_or(0) - stats[name].as_u64().unwrap_or(0);
    println!(
        "{teams} teams, change of {name}: apply {:.2} s, in force on all 3 entries after {:.2} s, \
         object bytes written {}, read by 3 entries and the command {}; entry: {:.0} ms of \
         processor time, resident {:.1} MB ({})",
        applied.as_secs_f64(),
        everywhere.as_secs_f64(),
        difference("bytes_written"),
        difference("bytes_read"),
        (cpu_time(pid) - cpu).as_secs_f64() * 1e3,
        memory_kb(pid).0 as f64 / 1024.0,
        conditions()
    );
}
