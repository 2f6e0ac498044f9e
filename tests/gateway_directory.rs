//! Which gateways a lookup returns to callers and which gateway owns a program, tested without a
//! network.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use indexmap::IndexSet;
use sapphireford::process::gateway::directory::{Directory, GatewayRow};
use sapphireford::process::gateway::settings::{GatewaySettings, RawGatewaySettings};
use sapphireford_platform::store::Row;
use serde_json::json;

fn directory(entry_id: &str, failure_domain: &str) -> Directory {
    let raw: RawGatewaySettings = serde_json::from_value(json!({
        "entry_id": entry_id, "failure_domain": failure_domain,
        "caller_address": "10.0.0.1:1", "readiness_address": "10.0.0.1:2",
        "directory_address": "10.0.0.1:3", "peer_address": "10.0.0.1:4",
        "metrics_address": "10.0.0.1:5", "store_address": "10.0.0.9:1",
    }))
    .expect("raw settings");
    let settings = GatewaySettings::try_from(raw).expect("checked settings");
    Directory::new(&settings, Rc::new(RefCell::default()))
}

fn row(number: u8, failure_domain: &str, started_unix_ms: u64, is_leaving: bool) -> Row {
    let row = GatewayRow {
        caller_address: caller_address(number),
        peer_address: SocketAddr::from(([10, 0, 1, number], 4)),
        failure_domain: failure_domain.to_string(),
        is_leaving,
        started_unix_ms,
    };
    Row {
        key: format!("g-{number}"),
        value: Some(serde_json::to_vec(&row).expect("a row").into()),
        version: 1,
    }
}

fn caller_address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 1, number], 1))
}

/// Guards against callers that are sent to another failure domain without need, and against a
/// failure domain whose few gateways get all of its callers.
#[test]
fn callers_get_gateways_of_their_failure_domain_if_there_are_enough() {
    let now = Instant::now();
    let directory = directory("g-0", "a");
    let rows = [
        row(1, "a", 1, false),
        row(2, "b", 1, false),
        row(3, "b", 1, false),
        row(4, "c", 1, false),
    ];
    directory.apply(&rows, now);
    let addresses = |domain: &str| directory.caller_addresses(domain, true, now);
    assert_eq!(addresses("b"), [caller_address(2), caller_address(3)]);
    assert_eq!(addresses("a").len(), 2);
    assert_eq!(addresses("c").len(), 5);
    assert_eq!(addresses("elsewhere").len(), 5);
}

/// Guards against callers that are sent to a gateway that is leaving or not ready.
#[test]
fn leaving_gateways_are_not_returned_to_callers() {
    let now = Instant::now();
    let directory = directory("g-0", "a");
    let rows = [row(1, "a", 1, true), row(2, "a", 1, false)];
    directory.apply(&rows, now);
    assert_eq!(
        directory.caller_addresses("a", false, now),
        [caller_address(2)]
    );
    directory.leave();
    assert_eq!(
        directory.caller_addresses("a", true, now),
        [caller_address(2)]
    );
}

/// Guards against a gateway that is not asked for help because it was leaving when it was last read.
#[test]
fn restarted_gateways_of_other_domains_may_help() {
    let now = Instant::now();
    let directory = directory("g-0", "a");
    let rows = [
        row(1, "a", 1, true),
        row(2, "b", 1, true),
        row(3, "b", 1, false),
    ];
    directory.apply(&rows, now);
    let (own_domain, others) = directory.possible_helpers(now);
    assert_eq!((own_domain.len(), others.len()), (0, 2));
}

/// Guards against two gateways that both consider themselves the owner of a program although they
/// have read the same rows.
#[test]
fn gateways_of_a_failure_domain_agree_on_the_owner_of_a_program() {
    let now = Instant::now();
    let rows = [
        row(1, "a", 1, false),
        row(2, "a", 1, false),
        row(3, "b", 1, false),
    ];
    let views = ["g-1", "g-2"].map(|id| {
        let directory = directory(id, "a");
        directory.apply(&rows, now);
        (id, directory)
    });
    for program in 0..50 {
        let key = format!("program-{program}");
        let owners = views.each_ref().map(|(id, directory)| {
            let peer = directory.owner_peer(key.as_bytes());
            peer.map_or(id.to_string(), |peer| {
                format!(
                    "g-{}",
                    peer.ip()
                        .to_string()
                        .split('.')
                        .next_back()
                        .unwrap_or_default()
                )
            })
        });
        assert_eq!(owners[0], owners[1]);
        assert_ne!(owners[0], "g-3");
    }
}

/// Guards against a restarted gateway that overwrites the rows of the start before, so that their
/// tokens count as unspent: its clock may have been set back to the same millisecond.
#[test]
fn starts_in_the_same_millisecond_write_different_rows() {
    let starts = (0..64).map(|_| directory("g-0", "a").writer_id());
    let distinct: IndexSet<String> = starts.collect();
    assert_eq!(distinct.len(), 64);
}
