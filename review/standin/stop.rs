//! The only gateway of a small site is stopped by SIGTERM. A client asks it where to connect, sends a
//! turn there, and gets a part of the answer.

use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::net::{self, Answer};
use crate::server::{self, Runs};
use crate::site::{self, Folder, Gateway, HOST, Record};
use crate::store::Store;

/// From SIGTERM to the lookups of the clients; each sends its turn at once.
const LOOKUPS: [Duration; 3] = [
    Duration::from_millis(3_250),
    Duration::from_millis(3_350),
    Duration::from_millis(3_450),
];
/// A stream of 20 events takes 3.86 s. All pauses are within `targetGapMs`.
const EVENTS: u64 = 20;
const GAP_MS: u64 = 193;
const DEADLINE: Duration = Duration::from_millis(4_000);
/// `graceS` of the site file.
const GRACE: Duration = Duration::from_secs(8);
/// Requests that were sent no later than this after SIGTERM may be cut off.
const EXCUSED: Duration = Duration::from_secs(3);

/// Looks up the address of the host, and sends a turn there. Returns when it was sent, and the answer.
fn look_up_and_send(gateway: &Gateway, id: &str) -> (Option<Instant>, Answer) {
    let headers = format!("Host: {HOST}\r\n");
    let path = format!("/resolve?name={HOST}&region=r&zone=zone-a");
    let answer = net::call(
        gateway.directory,
        "GET",
        &path,
        &headers,
        b"",
        Duration::from_secs(1),
    );
    let text = String::from_utf8_lossy(&answer.body);
    if answer.status != 200 || !text.contains(&gateway.caller.to_string()) {
        return (None, answer);
    }
    let headers = format!(
        "Host: {HOST}\r\nRequest-Id: {id}\r\nProgram-Id: p-{id}\r\nSession-Id: s-{id}\r\n\
         Program-Deadline-Ms: 8000\r\nToken-Budget: 2304\r\nModel: m\r\nToken-Usage: 600,{}\r\n\
         Deadline-Ms: {}\r\n",
        EVENTS * 9,
        DEADLINE.as_millis()
    );
    let body = format!("input of {id}\nevents={EVENTS} gap={GAP_MS}\n");
    let at = Instant::now();
    (
        Some(at),
        net::call(
            gateway.caller,
            "POST",
            "/chat/t",
            &headers,
            body.as_bytes(),
            DEADLINE,
        ),
    )
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let failed = |error: std::io::Error| error.to_string();
    let folder = Folder::create().map_err(failed)?;
    let store = Store::start().map_err(failed)?;
    let runs = Runs::default();
    for id in ["i-llm-1", "i-llm-2", "i-llm-3"] {
        let address = server::start(id, &runs).map_err(failed)?;
        store.put("servers", id, &server::row("llm", address, "ready", 1, 1));
    }
    site::configure(&store);
    let mut gateway = Gateway::start(&folder.0, "edge-1", store.address).map_err(failed)?;
    if !gateway.wait_until_ready() {
        return Err("the gateway is not ready".to_string());
    }
    thread::sleep(Duration::from_secs(4));
    let stopped_at = Instant::now();
    if has_trouble {
        record.line("SIGTERM to edge-1");
        gateway.terminate();
    }
    let served = &gateway;
    let answers = thread::scope(|scope| {
        let clients: Vec<_> = LOOKUPS
            .iter()
            .enumerate()
            .map(|(index, delay)| {
                scope.spawn(move || {
                    thread::sleep((stopped_at + *delay).saturating_duration_since(Instant::now()));
                    let id = format!("{index:016x}");
                    let (at, answer) = look_up_and_send(served, &id);
                    (id, at, answer, Instant::now())
                })
            })
            .collect();
        clients
            .into_iter()
            .filter_map(|client| client.join().ok())
            .collect::<Vec<_>>()
    });
    if has_trouble {
        let end = stopped_at + GRACE;
        while !gateway.has_ended() && Instant::now() < end {
            thread::sleep(Duration::from_millis(10));
        }
        record.line(&format!("edge-1 has ended: {}", gateway.has_ended()));
    }
    let runs = runs.all();
    let mut cut_off = 0;
    for (id, at, answer, ended_at) in answers {
        let after = |at: Instant| at.saturating_duration_since(stopped_at).as_secs_f64();
        let Some(at) = at else {
            record.line(&format!(
                "{id}: the lookup names no address, status {}",
                answer.status
            ));
            continue;
        };
        let events = String::from_utf8_lossy(&answer.body)
            .matches("\n\n")
            .count();
        let run = runs.iter().find(|run| run.request_id == id);
        record.line(&format!(
            "{id}: sent {:.2} s after SIGTERM, run: {:?}, status {}, {events} of {EVENTS} events, whole: {}, ended {:.2} s \
             after SIGTERM; its deadline was at {:.2} s",
            after(at),
            run.map(|run| &run.server),
            answer.status,
            answer.is_complete,
            after(ended_at),
            after(at + DEADLINE)
        ));
        let is_excused = at <= stopped_at + EXCUSED;
        let is_late = ended_at >= at + DEADLINE;
        cut_off += usize::from(run.is_some() && !answer.is_complete && !is_excused && !is_late);
    }
    record.line(&format!("turns that were passed on and cut off: {cut_off}"));
    Ok(cut_off == 0)
}
