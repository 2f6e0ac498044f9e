//! How a new configuration version reaches all entries of a site.

use std::time::Duration;

use sapphireford_standin::harness::{HttpRequest, OPERATOR_KEY, Site, SiteOptions, wait_until};
use serde_json::json;

/// Enough entries that announcing a version to all peers exceeds the limit of three messages.
const ENTRIES: usize = 8;
/// Maximum number of peers to which an entry announces a version.
const ANNOUNCED_PEERS: u64 = 3;

/// Returns how many messages about configuration versions an entry has sent, by its metrics.
fn version_messages_sent(site: &Site, entry: usize) -> u64 {
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

/// Guards against announcements of a new version whose number grows with the square of the number of
/// entries, because each entry sends one to all others.
#[test]
fn each_entry_announces_new_version_to_at_most_three_peers() {
    let site = Site::with_options(SiteOptions {
        entries: ENTRIES,
        ..SiteOptions::default()
    });
    let before: Vec<u64> = (0..ENTRIES)
        .map(|entry| version_messages_sent(&site, entry))
        .collect();
    let limits = json!({ "limits": { "retry_percent": 20 } });
    site.apply(1, &[site.base_config(), limits]);
    let in_force = wait_until(Duration::from_secs(10), || {
        (0..ENTRIES).all(|entry| {
            let status = site.status(site.entry_address(entry));
            status.is_some_and(|status| status["config_version"] == json!(2))
        })
    });
    assert!(in_force, "the version has not reached all entries");
    let sent = |entry: usize| version_messages_sent(&site, entry) - before[entry];
    assert!((0..ENTRIES).all(|entry| sent(entry) <= ANNOUNCED_PEERS));
    let was_announced = wait_until(Duration::from_secs(10), || {
        (0..ENTRIES).any(|entry| sent(entry) > 0)
    });
    assert!(was_announced, "no entry announced the version");
}
