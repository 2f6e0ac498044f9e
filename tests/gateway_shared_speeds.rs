//! What servers showed, in the messages between gateways of this build and of earlier ones.

use std::time::Duration;

use sapphireford::process::gateway::directory::GatewayRow;
use sapphireford::process::gateway::gossip::GossipRequest;
use sapphireford::process::gateway::ledger::TurnBudget;
use sapphireford::process::gateway::outcomes::{OutcomeCounts, ReportedOutcomes, SharedOutcomes};
use sapphireford::process::gateway::peers::{
    AdmitRequest, PeerCall, ServerNotices, decode_call, gossip_request,
};
use sapphireford::process::gateway::servers::SharedLoad;
use sapphireford::process::topics::Topics;
use sapphireford::process::topics::learning::Group;

fn loads(speeds: &[Option<u32>]) -> Vec<SharedLoad> {
    let load = |speed_percent: &Option<u32>| SharedLoad {
        server_id: "i-1".to_string(),
        running: 2,
        waiting: 1,
        slots: 4,
        age_ms: 30,
        speed_percent: *speed_percent,
    };
    speeds.iter().map(load).collect()
}

/// Guards against speeds that belong to another server after the transfer, and against admissions
/// that fail while gateways of the build before run, which send none.
#[test]
fn speeds_arrive_with_their_loads() {
    let received = |speeds: &[Option<u32>], lost_bytes: usize| {
        let sent = AdmitRequest {
            are_ids_qualified: false,
            turn: TurnBudget {
                program_id: "program".to_string(),
                max_tokens: 100,
                budget_tokens: 1_000,
            },
            time_left_ms: 500,
            loads: loads(speeds),
            previous_turn_id: None,
            proposed_origin: Some(7),
            part: None,
        };
        let mut encoded = sent.encode(&ServerNotices::default());
        let length = encoded.body().len() - lost_bytes;
        encoded.body_mut().truncate(length);
        match decode_call(encoded) {
            Some(PeerCall::Admit(received, _)) => (received, sent),
            _ => panic!("the message is not decoded as an admission"),
        }
    };
    for speeds in [&[Some(250), Some(120)], &[None, Some(90)], &[None, None]] {
        let (received, sent) = received(speeds, 0);
        assert_eq!(received, sent);
    }
    // The list takes a byte for its length, and one or two for each speed.
    for lost_bytes in 1..=4 {
        let (received, sent) = received(&[Some(250), Some(120)], lost_bytes);
        let loads = loads(&[None, None]);
        assert_eq!(received, AdmitRequest { loads, ..sent });
    }
}

fn request() -> GossipRequest {
    let address = "127.0.0.1:1".parse().expect("an address");
    let row = GatewayRow {
        caller_address: address,
        peer_address: address,
        failure_domain: "d1".to_string(),
        is_leaving: false,
        started_unix_ms: 1,
    };
    GossipRequest {
        gateway_id: "g-1".to_string(),
        row,
        heartbeats: Vec::new(),
    }
}

/// Guards against outcomes, speeds and times of topics that are read as those of another field of the
/// gossip.
#[test]
fn the_gossip_carries_what_servers_and_topics_showed() {
    let topics = Topics::default();
    topics.plan(5, 1, 0.9, Duration::ZERO);
    topics.record_time(5, Group::Topic, Duration::from_millis(70));
    let outcomes = SharedOutcomes {
        server_id: "i-1".to_string(),
        counts: OutcomeCounts { good: 4, bad: 9 },
    };
    let notices = ServerNotices {
        loads: loads(&[None, Some(170)]),
        outcomes: ReportedOutcomes {
            reporter: 11,
            by_server: vec![outcomes],
        },
        topic_times: topics.reports(),
        ..ServerNotices::default()
    };
    let request = request();
    match decode_call(gossip_request(&request, &notices)) {
        Some(PeerCall::Gossip(_, received)) => assert_eq!(received, notices),
        _ => panic!("the message is not decoded as gossip"),
    }
}

/// Guards against gossip that grows in deployments whose servers state no speed and whose routes are
/// not sticky: a message there is the same as that of the build before.
#[test]
fn the_gossip_is_unchanged_without_speeds_and_topics() {
    let notices = ServerNotices {
        loads: loads(&[None, None]),
        outcomes: ReportedOutcomes {
            reporter: 11,
            by_server: Vec::new(),
        },
        ..ServerNotices::default()
    };
    let encoded = gossip_request(&request(), &notices);
    // The build before sends the message and five lists.
    let lists = (
        &notices.leaving,
        &notices.rate_limits,
        &notices.crash_reports,
        &notices.loads,
        &notices.unconnected_gateways,
    );
    let before = postcard::to_stdvec(&(&request(), lists)).expect("a message");
    assert_eq!(&**encoded.body(), before);
}
