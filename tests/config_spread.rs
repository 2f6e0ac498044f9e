//! How a new configuration version reaches all entries of a site.

use std::time::Duration;

use sapphireford_standin::harness::{HttpRequest, OPERATOR_KEY, Site, SiteOptions, wait_until};
use serde_json::json;

/// Enough that telling all others takes more messages than telling three.
const ENTRIES: usize = 8;
/// Peers that an entry tells about a version.
const TOLD: u64 = 3;

/// Messages about configuration versions that an entry has sent.
fn messages(site: &Site, entry: usize) -> u64 {
    let answer = HttpRequest::get("/metrics")
        .bearer(OPERATOR_KEY)
        .send(site.entry_address(entry));
    let text = answer.expect("the metrics").text();
    let lines = text.lines().filter(|line| {
        line.starts_with("sapphireford_peer_requests_total") && line.contains("config_version")
    });
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok())
        .sum()
}

/// Guards against messages about a new version that grow with the square of the entries.
#[test]
fn an_entry_tells_few_peers_about_a_version() {
    let site = Site::with_options(SiteOptions {
        entries: ENTRIES,
        ..SiteOptions::default()
    });
    let before: Vec<u64> = (0..ENTRIES).map(|entry| messages(&site, entry)).collect();
    let limits = json!({ "limits": { "retry_percent": 20 } });
    site.apply(1, &[site.base_config(), limits]);
    let in_force = wait_until(Duration::from_secs(10), || {
        (0..ENTRIES).all(|entry| {
            let status = site.status(site.entry_address(entry));
            status.is_some_and(|status| status["config_version"] == json!(2))
        })
    });
    assert!(in_force, "the version has not reached all entries");
    let sent = |entry: usize| messages(&site, entry) - before[entry];
    assert!((0..ENTRIES).all(|entry| sent(entry) <= TOLD));
    let any = wait_until(Duration::from_secs(10), || {
        (0..ENTRIES).any(|entry| sent(entry) > 0)
    });
    assert!(any, "no entry told another one");
}
