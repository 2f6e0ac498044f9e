//! What a gateway believes of the backend servers, without a network.

use std::time::{Duration, Instant};

use sapphireford::process::gateway::servers::{Servers, SharedLoad};
use sapphireford::process::gateway::watch::TableChange;
use sapphireford_platform::store::Row;

fn row(id: &str, state: &str, version: u64) -> Row {
    let value = format!(
        "{{\"service\":\"llm\",\"address\":\"10.1.0.9:80\",\"zone\":\"d1\",\"slots\":4,\
         \"state\":\"{state}\",\"born\":1}}"
    );
    Row {
        key: id.to_string(),
        value: Some(value.into()),
        version,
    }
}

fn removed(id: &str) -> Row {
    Row {
        key: id.to_string(),
        value: None,
        version: 9,
    }
}

fn with_two_servers(now: Instant) -> Servers {
    let servers = Servers::new("d1".into());
    let rows = vec![row("i-1", "ready", 1), row("i-2", "ready", 2)];
    servers.apply(TableChange::Snapshot(rows), None, now);
    servers
}

fn ids(servers: &Servers) -> Vec<String> {
    let servers = servers.for_service("llm");
    servers.iter().map(|server| server.id.to_string()).collect()
}

/// Guards against requests to a server whose row was removed without a notice before.
#[test]
fn a_removed_server_is_not_used() {
    let now = Instant::now();
    let servers = with_two_servers(now);
    servers.apply(TableChange::Rows(vec![removed("i-1")]), None, now);
    assert_eq!(ids(&servers), ["i-2"]);
}

/// Guards against requests to a server that drains.
#[test]
fn a_draining_server_takes_no_requests() {
    let now = Instant::now();
    let servers = with_two_servers(now);
    let change = TableChange::Rows(vec![row("i-1", "draining", 3)]);
    servers.apply(change, None, now);
    let all = servers.for_service("llm");
    let allowed = |index: usize| servers.candidate(&all[index], 10, now).is_eligible;
    assert!(!allowed(0));
    assert!(allowed(1));
}

/// Guards against an empty list of servers after an outage of the store in which all rows expired.
#[test]
fn servers_whose_rows_expired_in_an_outage_are_kept_until_they_can_be_back() {
    let now = Instant::now();
    let servers = with_two_servers(now);
    let returned = now + Duration::from_secs(9);
    let seen = returned + Duration::from_millis(50);
    servers.apply(TableChange::Snapshot(Vec::new()), Some(returned), seen);
    assert_eq!(ids(&servers), ["i-1", "i-2"]);
    let back = returned + Duration::from_millis(1_500);
    servers.apply(
        TableChange::Rows(vec![row("i-1", "ready", 8)]),
        Some(returned),
        back,
    );
    servers.remove_expired(returned + Duration::from_millis(2_100));
    assert_eq!(ids(&servers), ["i-1"]);
}

/// Guards against work for leaving servers: a removal that has nothing to do with the outage was
/// taken for an expired row, and the server got requests for two more seconds.
#[test]
fn a_row_removed_a_while_after_an_outage_is_gone_at_once() {
    let now = Instant::now();
    let servers = with_two_servers(now);
    let returned = now + Duration::from_secs(9);
    let seen = returned + Duration::from_millis(2_800);
    servers.apply(
        TableChange::Rows(vec![removed("i-1")]),
        Some(returned),
        seen,
    );
    assert_eq!(ids(&servers), ["i-2"]);
}

/// Guards against rows of other writers that hide the servers beside them.
#[test]
fn unreadable_rows_are_skipped() {
    let now = Instant::now();
    let servers = Servers::new("d1".into());
    let broken = Row {
        key: "i-0".to_string(),
        value: Some("{\"service\":7}".into()),
        version: 1,
    };
    let unknown_state = row("i-3", "resting", 2);
    let rows = vec![broken, unknown_state, row("i-1", "ready", 3)];
    servers.apply(TableChange::Snapshot(rows), None, now);
    assert_eq!(ids(&servers), ["i-1"]);
}

/// Guards against gateways that choose servers blindly, because each one hears too seldom from each
/// server.
#[test]
fn loads_that_other_gateways_have_seen_count() {
    let now = Instant::now();
    let servers = with_two_servers(now);
    let load = |running, age_ms| SharedLoad {
        server_id: "i-1".to_string(),
        running,
        waiting: 0,
        slots: 4,
        age_ms,
    };
    let permille = || {
        let all = servers.for_service("llm");
        servers.candidate(&all[0], 10, now).load
    };
    assert_eq!(permille(), 0);
    servers.merge_loads(&[load(2, 300)], now);
    assert_eq!(permille(), 500);
    servers.merge_loads(&[load(4, 600)], now);
    assert_eq!(permille(), 500, "an older report replaced a newer one");
    servers.merge_loads(&[load(3, 100)], now);
    assert_eq!(permille(), 750);
    let later = now + Duration::from_secs(2);
    let all = servers.for_service("llm");
    assert_eq!(servers.candidate(&all[0], 10, later).load, 0);
}

/// Guards against a herd on a server between two of its reports.
#[test]
fn requests_sent_since_the_report_count() {
    let now = Instant::now();
    let servers = with_two_servers(now);
    let load = SharedLoad {
        server_id: "i-1".to_string(),
        running: 2,
        waiting: 0,
        slots: 4,
        age_ms: 0,
    };
    servers.merge_loads(&[load], now);
    let all = servers.for_service("llm");
    let _running = [all[0].start_request(), all[0].start_request()];
    assert_eq!(servers.candidate(&all[0], 10, now).load, 1_000);
}

/// Guards against messages between gateways that grow with the site: with 3,000 servers, each
/// admission carried the loads of hundreds of them.
#[test]
fn a_message_carries_the_most_recent_loads_only() {
    let now = Instant::now();
    let servers = Servers::new("d1".into());
    let ids: Vec<String> = (0..200).map(|number| format!("i-{number}")).collect();
    let rows = ids.iter().map(|id| row(id, "ready", 1)).collect();
    servers.apply(TableChange::Snapshot(rows), None, now);
    let loads: Vec<SharedLoad> = ids
        .iter()
        .enumerate()
        .map(|(number, id)| SharedLoad {
            server_id: id.clone(),
            running: 1,
            waiting: 0,
            slots: 4,
            age_ms: 1 + (number as u32 * 37) % 200,
        })
        .collect();
    servers.merge_loads(&loads, now);
    let shared = servers.shared_loads(now);
    assert_eq!(shared.len(), 64);
    assert!(shared.iter().all(|load| load.age_ms <= 64));
}
