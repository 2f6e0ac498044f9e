//! Tests the platform client of the library against the stand-in platform.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use monoio::{LegacyDriver, RuntimeBuilder};
use sapphireford::connection::http_client::HttpClient;
use sapphireford::connection::platform::{
    Check, CommitOutcome, PlatformClient, PlatformError, VmState, Write,
};
use sapphireford::process::timer::TimerService;
use sapphireford_standin::harness::{Process, wait_until};
use serde_json::json;

const CALL_TIMEOUT: Duration = Duration::from_millis(500);

fn run<F: Future<Output = ()>>(platform: &Process, test: impl FnOnce(PlatformClient) -> F) {
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_all().build();
    let mut runtime = runtime.expect("a runtime");
    runtime.block_on(async {
        let http = HttpClient::new(TimerService::start());
        test(PlatformClient::new(http, platform.address(), CALL_TIMEOUT)).await;
    });
}

fn check(key: &str, version: u64) -> Check {
    Check {
        key: key.to_string(),
        version,
    }
}

fn write(key: &str, value: u64) -> Write {
    Write::put(key, &value).expect("a number is JSON")
}

/// Guards against differences between the protocol of the client and that of the stand-in, for each
/// kind of call.
#[test]
fn client_calls_succeed_against_stand_in() {
    let platform = Process::start("standin-platform", &[]);
    platform.control(&json!({"vms": [{"address": "127.0.0.1:9", "state": "leaving"}]}));
    run(&platform, async |client| {
        let outcome = client.commit(&[check("a", 0)], &[write("a", 1)]).await;
        assert!(matches!(outcome, Ok(CommitOutcome::Committed(versions)) if versions == [1]));
        let outcome = client.commit(&[check("a", 0)], &[write("a", 2)]).await;
        assert!(matches!(outcome, Ok(CommitOutcome::Conflict(rows)) if rows[0].version == 1));
        assert_eq!(client.read_one("b").await.expect("a row").version, 0);
        assert_eq!(client.scan("").await.expect("rows").len(), 1);
        let put = client.put_object("x/y", Bytes::from_static(b"0123456789"));
        put.await.expect("a write");
        let object = client.get_object("x/y").await;
        assert_eq!(
            object.expect("a read"),
            Some(Bytes::from_static(b"0123456789"))
        );
        client.delete_object("x/y").await.expect("a delete");
        assert_eq!(client.get_object("x/y").await.expect("a read"), None);
        assert_eq!(
            client.vms().await.expect("a list")[0].state,
            VmState::Leaving
        );
    });
}

/// Guards against a client that misreports a lost acknowledgement or an outage. The first commit
/// loses its acknowledgement on a new connection, the second on a reused one.
#[test]
fn injected_failures_map_to_unknown_outcome_or_status() {
    let platform = Process::start("standin-platform", &[]);
    platform.control(&json!({"lose_acknowledgements": 2}));
    run(&platform, async |client| {
        let outcome = client.commit(&[], &[write("a", 1)]).await;
        assert!(matches!(outcome, Ok(CommitOutcome::Unknown(_))));
        assert_eq!(client.read_one("a").await.expect("a row").version, 1);
        let outcome = client.commit(&[], &[write("a", 2)]).await;
        assert!(matches!(outcome, Ok(CommitOutcome::Unknown(_))));
        assert_eq!(client.read_one("a").await.expect("a row").version, 2);
        platform.control(&json!({"outage": "hang"}));
        let outcome = client.commit(&[], &[write("a", 3)]).await;
        assert!(matches!(outcome, Ok(CommitOutcome::Unknown(_))));
        platform.control(&json!({"outage": "refuse"}));
        let refused = client.read_one("a").await;
        assert!(matches!(refused, Err(PlatformError::Status(503, _))));
        platform.control(&json!({"outage": "none"}));
        assert_eq!(client.read_one("a").await.expect("a row").version, 2);
    });
}

/// Guards against a slow commit that is dropped when its caller times out: it must still take
/// effect.
#[test]
fn slow_commit_takes_effect_after_caller_timeout() {
    let platform = Process::start("standin-platform", &[]);
    platform.control(&json!({"delay_ms": 1000}));
    run(&platform, async |client| {
        let outcome = client.commit(&[], &[write("a", 1)]).await;
        assert!(matches!(outcome, Ok(CommitOutcome::Unknown(_))));
    });
    assert_eq!(platform.stats()["writes"], 0);
    let is_committed = || platform.stats()["writes"] == 1;
    assert!(wait_until(Duration::from_secs(10), is_committed));
}
