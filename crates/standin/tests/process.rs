//! Tests the signals that the test harness sends to processes.

use std::time::Duration;

use sapphireford_standin::harness::{HttpRequest, Process};

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against a paused process that responds, a resumed one that does not, and a process that
/// does not exit on SIGTERM.
#[test]
fn process_is_paused_resumed_and_terminated() {
    let mut service = Process::start("standin-service", &[]);
    let request = HttpRequest::get("/").timeout(Duration::from_millis(200));
    service.pause();
    request.send(service.address()).expect_err("no answer");
    service.resume();
    HttpRequest::get("/")
        .send(service.address())
        .expect("an answer");
    service.terminate();
    assert!(service.wait(WAIT_TIMEOUT).is_some());
}
