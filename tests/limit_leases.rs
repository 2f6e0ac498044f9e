//! Leases of shards of the limits of teams: which writes a gateway makes in which order of answers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sapphireford::process::boot_clock::BootTime;
use sapphireford::process::teams::limit_leases::{
    GatewayStart, LeaseRow, LeaseStep, LeaseWrite, ObservedRow, ShardLease, StoreTime,
};

fn own_start() -> Rc<GatewayStart> {
    Rc::new(GatewayStart {
        gateway_id: "gateway-1".to_string(),
        start: "start-1".to_string(),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 7_000)),
    })
}

fn at(ms: u64) -> BootTime {
    BootTime::from_boot(Duration::from_millis(1_000_000 + ms))
}

/// The answer to a call that began at `ms` and took 5 ms.
fn answer(ms: u64) -> StoreTime {
    StoreTime {
        store_ms: 50_000 + ms,
        call_started: at(ms),
        answered: at(ms + 5),
    }
}

/// Reads the row at `ms` and returns the write that is the next step.
fn read_and_write(
    lease: &mut ShardLease,
    version: u64,
    row: Option<LeaseRow>,
    ms: u64,
) -> LeaseWrite {
    let time = answer(ms);
    lease.observe(ObservedRow { version, row, time });
    match lease.next_step(None, at(ms + 5)) {
        LeaseStep::Write(write) => *write,
        step => panic!("{step:?} instead of a write"),
    }
}

/// Guards against a lease that ends by itself only after 10 s: the write that takes it was in flight
/// when the gateway stopped.
#[test]
fn a_lease_that_is_taken_while_the_gateway_stops_is_released() {
    let mut lease = ShardLease::new(own_start());
    let write = read_and_write(&mut lease, 0, None, 0);
    assert!(lease.release(at(8)).is_none(), "the lease is not held yet");
    lease.committed(write, 1, answer(10));
    assert!(lease.held(at(20)).is_none(), "a stopped gateway decides");
    let release = lease
        .release(at(20))
        .expect("a write that releases the lease");
    assert!(release.row().released_store_ms.is_some());
}

/// Guards against the same gap with a renewal in flight, which makes the condition of the first write
/// that releases the lease fail.
#[test]
fn a_lease_that_is_renewed_while_the_gateway_stops_is_released() {
    let mut lease = ShardLease::new(own_start());
    let write = read_and_write(&mut lease, 0, None, 0);
    let row = write.row().clone();
    lease.committed(write, 1, answer(10));
    let renewal = read_and_write(&mut lease, 1, Some(row), 2_000);
    assert!(lease.release(at(2_008)).is_some());
    lease.committed(renewal, 2, answer(2_006));
    assert!(lease.held(at(2_020)).is_none(), "a stopped gateway decides");
    let release = lease
        .release(at(2_020))
        .expect("a write that releases the lease");
    assert!(release.row().released_store_ms.is_some());
}

/// Guards against a row that is written over after the release was performed or the lease has ended.
#[test]
fn a_released_or_ended_lease_is_not_released_again() {
    let mut lease = ShardLease::new(own_start());
    let write = read_and_write(&mut lease, 0, None, 0);
    lease.committed(write, 1, answer(10));
    let release = lease
        .release(at(20))
        .expect("a write that releases the lease");
    let (version, row) = (2, Some(release.row().clone()));
    let time = answer(30);
    lease.observe(ObservedRow { version, row, time });
    assert!(lease.release(at(40)).is_none(), "released twice");

    let mut lease = ShardLease::new(own_start());
    let write = read_and_write(&mut lease, 0, None, 0);
    lease.committed(write, 1, answer(10));
    assert!(lease.release(at(10_000)).is_none(), "the lease has ended");
}
