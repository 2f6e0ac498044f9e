//! Membership: observation of the entries' leases, and placement of slots on entries.

#[path = "support/peers.rs"]
mod support;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use hyper::{Request, Response, StatusCode};
use sapphireford::connection::body::Body;
use sapphireford::connection::http_client::HttpClient;
use sapphireford::connection::http_server::{self, Handler, HttpLimits, json_response};
use sapphireford::connection::platform::PlatformClient;
use sapphireford::ids::ConversationKey;
use sapphireford::process::membership::{Membership, Observations};
use sapphireford::process::rows::{EntryRow, EntryState};
use sapphireford::process::slots::placement::{preferred, preferred_recoverer, rank, slot_of};
use serde_json::json;
use support::run;

/// Entries of a [`ScanHistory`] that do not renew their lease and are neither fenced nor closed.
const EXPIRING_ENTRIES: [&str; 2] = ["live", "leaving"];
const LEASE_TTL: Duration = Duration::from_secs(4);

fn entry_row(entry_id: &str, renewal: u64) -> EntryRow {
    EntryRow {
        entry_id: entry_id.into(),
        incarnation: 1,
        http_address: "127.0.0.1:8001".parse().unwrap(),
        peer_address: "127.0.0.1:9001".parse().unwrap(),
        failure_domain: "brasov-a".into(),
        state: EntryState::Live,
        renewal,
        segment: 0,
        first_segment: 1,
        config_version: 0,
    }
}

/// Records scans at given times, in milliseconds. Each shows one entry that renews its lease and, for
/// each state, one that does not.
struct ScanHistory {
    start: Instant,
    observations: Observations,
}

impl ScanHistory {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            observations: Observations::new(Duration::from_secs(1)),
        }
    }

    fn scan(&mut self, started_ms: u64, ended_ms: u64) {
        let at = |ms| self.start + Duration::from_millis(ms);
        let unchanged = [
            ("live", EntryState::Live),
            ("leaving", EntryState::Leaving),
            ("fenced", EntryState::Fenced),
            ("closed", EntryState::Closed),
        ];
        let mut rows = vec![entry_row("renewing", started_ms)];
        rows.extend(unchanged.map(|(id, state)| EntryRow {
            state,
            ..entry_row(id, 1)
        }));
        self.observations
            .record_scan(at(started_ms), at(ended_ms), rows);
    }

    fn expired(&self) -> Vec<String> {
        let expired = self.observations.expired(LEASE_TTL);
        expired
            .map(|entry_row| entry_row.entry_id.to_string())
            .collect()
    }
}

/// Guards against a dead entry that never expires, an entry that expires before its row was observed
/// unchanged for the whole lease TTL, and the recovery of an entry that is closed or already fenced.
#[test]
fn unchanged_row_expires_after_lease_ttl() {
    let mut history = ScanHistory::new();
    for second in 0..=4 {
        history.scan(second * 1000, second * 1000 + 10);
        assert!(history.expired().is_empty(), "at {second} s");
    }
    // The first scan ended at 10 ms, so a scan that starts at 4,000 ms does not prove the expiry; one
    // that starts at 4,010 ms does.
    let next = history.observations.next_scan(LEASE_TTL).unwrap() - history.start;
    assert!(next <= Duration::from_millis(4_100), "{next:?}");
    history.scan(4_030, 4_040);
    assert_eq!(history.expired(), EXPIRING_ENTRIES);
}

/// Guards against healthy entries that count as expired because the platform was unavailable.
#[test]
fn failed_scan_restarts_lease_observation() {
    let mut history = ScanHistory::new();
    for second in 0..=5 {
        history.scan(second * 1000, second * 1000 + 10);
    }
    assert_eq!(history.expired(), EXPIRING_ENTRIES);
    history.observations.record_failure();
    assert!(history.expired().is_empty());
    for second in 6..=10 {
        history.scan(second * 1000, second * 1000 + 10);
        assert!(history.expired().is_empty(), "at {second} s");
    }
    history.scan(11_000, 11_010);
    assert_eq!(history.expired(), EXPIRING_ENTRIES);
}

/// Guards against a paused process that treats the other entries as expired when it resumes.
#[test]
fn pause_between_or_within_scans_restarts_lease_observation() {
    let mut history = ScanHistory::new();
    history.scan(0, 10);
    history.scan(1_000, 1_010);
    history.scan(60_000, 60_010);
    assert!(history.expired().is_empty());
    // A pause within a scan counts as well.
    history.scan(61_000, 90_000);
    history.scan(90_020, 90_030);
    assert!(history.expired().is_empty());
}

/// Serves entry rows, two more rows that cannot be decoded, and a list of VMs.
#[derive(Default)]
struct FakePlatform {
    rows: RefCell<Vec<EntryRow>>,
    leaving: RefCell<Vec<&'static str>>,
    is_unavailable: Cell<bool>,
}

impl Handler for FakePlatform {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        if self.is_unavailable.get() {
            return json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        let body = match request.uri().path() {
            "/vms" => {
                let vm = |address: &&str| json!({"address": address, "state": "leaving"});
                json!({ "vms": self.leaving.borrow().iter().map(vm).collect::<Vec<_>>() })
            }
            _ => {
                let row = |key: &str, value: &str| json!({"key": key, "rowVersion": 1, "value": STANDARD.encode(value)});
                let entry = |entry: &EntryRow| row("k", &json!(entry).to_string());
                let mut rows: Vec<_> = self.rows.borrow().iter().map(entry).collect();
                rows.push(row("entries/bad", "5"));
                rows.push(row("entries/worse", "not JSON"));
                json!({ "rows": rows })
            }
        };
        json_response(StatusCode::OK, &body)
    }
}

/// Guards against subscribers that miss a new entry, a leaving VM or an expiry, and against known
/// entries that disappear because of an undecodable row or an outage.
#[test]
fn membership_reports_new_leaving_and_expired_entries() {
    run(async |timer| {
        let platform = Rc::new(FakePlatform::default());
        let listen_address = "127.0.0.1:0".parse().unwrap();
        let limits = HttpLimits::default();
        let server =
            http_server::serve(listen_address, limits, timer.clone(), platform.clone()).unwrap();
        let address = server.address();
        let limit = Duration::from_secs(5);
        let client = PlatformClient::new(HttpClient::new(timer.clone()), address, limit);
        let interval = Duration::from_millis(100);
        let ttl = Duration::from_secs(1);
        let membership = Membership::start(client, timer.clone(), interval, ttl);
        let mut changes = membership.subscribe();
        *platform.rows.borrow_mut() = vec![entry_row("a", 1)];
        timer.timeout(limit, changes.changed()).await.unwrap();
        assert_eq!(membership.live(), [entry_row("a", 1)]);
        platform.leaving.borrow_mut().push("127.0.0.1:8001");
        timer.timeout(limit, changes.changed()).await.unwrap();
        assert!(membership.live().is_empty() && membership.get("a").is_some());
        assert!(membership.expired(ttl).is_empty());
        timer.timeout(limit, changes.changed()).await.unwrap();
        assert_eq!(membership.expired(ttl), [entry_row("a", 1)]);
        platform.is_unavailable.set(true);
        timer.timeout(limit, changes.changed()).await.unwrap();
        assert!(membership.expired(ttl).is_empty());
        assert_eq!(membership.entries(), [entry_row("a", 1)]);
        let age = membership.time_since_scan().unwrap();
        timer.sleep(interval * 3).await;
        assert!(membership.time_since_scan().unwrap() > age);
    });
}

/// Guards against the removal of one entry moving slots of the others, and against slots that are
/// unevenly distributed over the entries.
#[test]
fn removing_an_entry_moves_only_its_slots() {
    let entries: Vec<_> = (0..10).map(|number| format!("entry-{number}")).collect();
    let all = || entries.iter().map(String::as_str);
    let mut slot_counts = HashMap::<_, u32>::new();
    for slot in 0..16_384 {
        let ranked = rank(slot, all());
        assert_eq!(rank(slot, all().rev()), ranked);
        assert_eq!(preferred(slot, all()), Some(ranked[0]));
        *slot_counts.entry(ranked[0].to_string()).or_default() += 1;
        for removed in &ranked {
            let rest = rank(slot, all().filter(|id| id != removed));
            let expected: Vec<_> = ranked.iter().filter(|id| *id != removed).collect();
            assert!(rest.iter().eq(expected));
        }
    }
    // The mean is 1,638; a uniform hash stays within six standard deviations of 38 each.
    assert!(
        slot_counts.len() == 10
            && slot_counts
                .values()
                .all(|count| (1_410..=1_866).contains(count))
    );
}

/// Guards against a recovery that waits for the lost entry itself: its row remains live until it is
/// fenced, and the other entries start the recovery only after two more lease TTLs.
#[test]
fn lost_entry_is_not_its_own_preferred_recoverer() {
    let entries: Vec<String> = (0..20).map(|number| format!("entry-{number}")).collect();
    for count in 2..=entries.len() {
        for lost in &entries[..count] {
            let first = preferred_recoverer(lost, entries[..count].iter().map(String::as_str));
            let is_other = first.is_some_and(|first| first != lost);
            assert!(is_other, "{lost} of {count}: {first:?}");
        }
    }
    assert_eq!(preferred_recoverer("entry-0", ["entry-0"]), None);
}

/// Guards against a build that places slots or conversations differently from earlier builds. The
/// expected values come from a separate implementation of the same functions.
#[test]
fn placement_matches_reference_values() {
    let key = |team: &str, conversation: &str| ConversationKey {
        team_id: team.into(),
        conversation_id: conversation.into(),
    };
    assert_eq!(slot_of(&key("team", "conversation"), 256), 214);
    assert_ne!(
        slot_of(&key("a", "bc"), u32::MAX),
        slot_of(&key("ab", "c"), u32::MAX)
    );
    let ranked = rank(5, ["entry-1", "entry-2", "entry-3"]);
    assert_eq!(ranked, ["entry-2", "entry-3", "entry-1"]);
}
