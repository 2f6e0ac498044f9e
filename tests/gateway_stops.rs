//! Planned stops of a gateway under load.

#[path = "support/gateway.rs"]
mod gateway;
#[path = "support/keep_alive_connection.rs"]
mod keep_alive_connection;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use gateway::{Turn, expected_stream_data, new_request_id};
use keep_alive_connection::KeepAliveConnection;
use sapphireford_standin::harness::GatewaySite;

const CALLERS: usize = 8;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(4);
/// From the settings of the harness: the time from the signal to the end of the process.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(8);
/// Events of a stream that is in progress when the stop begins; it takes about two seconds.
const LONG_STREAM_EVENTS: u64 = 200;

/// Guards against requests that were accepted just before or during a planned stop and are cut off
/// without an answer, on kept connections and on new ones, and against a stop that takes too long.
#[test]
fn a_planned_stop_under_load_cuts_no_request_off() {
    let mut site = GatewaySite::start(1);
    let address = site.gateways[0].caller_address();
    let answered_after_stop = AtomicUsize::new(0);
    let stop_started = std::sync::OnceLock::new();
    let stop_started = &stop_started;
    let answered = &answered_after_stop;
    let cut_off = thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|caller| {
                scope.spawn(move || {
                    let mut cut_off = Vec::new();
                    // The end of the listener ends the caller.
                    while let Ok(mut connection) =
                        KeepAliveConnection::open(address, CONNECT_TIMEOUT)
                    {
                        loop {
                            let id = new_request_id();
                            match connection.send("/book/a", &id, "slot") {
                                Ok(answer) => {
                                    if stop_started.get().is_some() {
                                        answered.fetch_add(1, Ordering::Relaxed);
                                    }
                                    if answer.closes_connection {
                                        break;
                                    }
                                }
                                Err(error) => {
                                    cut_off.push(format!("{caller}: {error}"));
                                    break;
                                }
                            }
                        }
                    }
                    cut_off
                })
            })
            .collect();
        let gateway = &site.gateways[0];
        let stream = scope.spawn(move || {
            let id = new_request_id();
            let turn = Turn {
                id: &id,
                program: "p-stop",
                events: LONG_STREAM_EVENTS,
                ..Turn::default()
            };
            turn.run(gateway) == expected_stream_data(turn.input, LONG_STREAM_EVENTS)
        });
        thread::sleep(Duration::from_millis(1_000));
        gateway.terminate();
        stop_started.get_or_init(Instant::now);
        assert!(stream.join().expect("a finished stream"));
        let cut_off = callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("a finished caller"));
        cut_off.collect::<Vec<String>>()
    });
    assert_eq!(cut_off, Vec::<String>::new());
    assert!(answered_after_stop.load(Ordering::Relaxed) > 0);
    let started = stop_started.get().expect("the stop has started");
    let time_left = SHUTDOWN_LIMIT.saturating_sub(started.elapsed());
    let exited = site.gateways[0].process().wait(time_left);
    assert!(exited.is_some(), "the gateway is still running");
}
