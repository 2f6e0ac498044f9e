//! A report of a server gets no answer from the store, which performs it seconds later, when the
//! server has reported in the meantime that it is draining.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::net;
use crate::server::{self, Runs};
use crate::site::{self, Folder, Gateway, HOST, Record};
use crate::store::Store;

/// `heartbeatMs`, `drainMs` and `stableWindowMs` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// The store loses answers for this time, of one write among those of all servers, and performs it
/// up to six seconds later.
const DISRUPTION: Duration = Duration::from_millis(1_200);
const LATE_BY: Duration = Duration::from_millis(5_700);
/// From the end of the disruption to the report that the server is draining.
const DRAINING_AFTER: Duration = Duration::from_millis(3_150);
/// Servers of the service; each reports, and one of them leaves.
const APP_SERVERS: usize = 8;
const LEAVING: &str = "i-app-2";

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let failed = |error: std::io::Error| error.to_string();
    let folder = Folder::create().map_err(failed)?;
    let store = Store::start().map_err(failed)?;
    let runs = Runs::default();
    let mut leaving_address = None;
    let mut others = Vec::new();
    for number in 1..=APP_SERVERS {
        let id = format!("i-app-{number}");
        let address = server::start(&id, &runs).map_err(failed)?;
        store.put("servers", &id, &server::row("app", address, "ready", 1, 1));
        match id == LEAVING {
            true => leaving_address = Some(address),
            false => others.push((id, address)),
        }
    }
    let address = leaving_address.ok_or("no address")?;
    site::configure(&store);
    let mut gateways = Vec::new();
    for name in ["edge-1", "edge-2", "edge-3"] {
        gateways.push(Gateway::start(&folder.0, name, store.address).map_err(failed)?);
    }
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Err("the gateways are not ready".to_string());
    }
    thread::sleep(STABLE_WINDOW + Duration::from_millis(500));

    let has_ended = AtomicBool::new(false);
    let sent = thread::scope(|scope| {
        let clients: Vec<_> = gateways
            .iter()
            .enumerate()
            .map(|(index, gateway)| {
                let has_ended = &has_ended;
                scope.spawn(move || send_requests(record, gateway, index, has_ended))
            })
            .collect();
        let (reporting, has_ended_ref) = (&store, &has_ended);
        scope.spawn(move || report_others(record, reporting, &others, has_ended_ref));
        let acknowledged = report(record, &store, address, has_trouble);
        has_ended.store(true, Ordering::SeqCst);
        let sent = clients.into_iter().filter_map(|client| client.join().ok());
        (acknowledged, sent.flatten().collect::<Vec<_>>())
    });
    let (acknowledged, sent) = sent;
    let mut late = Vec::new();
    for run in runs.all().iter().filter(|run| run.server == LEAVING) {
        record.detail(run.at, &format!("{LEAVING} runs {}", run.request_id));
        let of_run = sent.iter().find(|(id, _)| *id == run.request_id);
        late.extend(
            of_run
                .filter(|(_, at)| *at > acknowledged + DRAIN)
                .map(|(_, at)| *at),
        );
    }
    let after = |at: &Instant| (*at - acknowledged).as_secs_f64();
    record.line(&format!(
        "{} requests sent; {} of those sent later than drainMs after the acknowledgement reached {LEAVING}: \
         {:?} to {:?} s after it",
        sent.len(),
        late.len(),
        late.first().map(after),
        late.last().map(after)
    ));
    Ok(late.is_empty())
}

/// Reports as the server does. Returns when the store acknowledged that it is draining.
fn report(record: &Record, store: &Store, address: SocketAddr, has_trouble: bool) -> Instant {
    let seq = AtomicU64::new(1);
    let write = |state: &str| {
        let seq = seq.fetch_add(1, Ordering::SeqCst) + 1;
        store.put_report(LEAVING, &server::row("app", address, state, 1, seq));
        record.line(&format!(
            "{LEAVING} reports {state}, seq {seq}: acknowledged"
        ));
    };
    write("ready");
    thread::sleep(HEARTBEAT);
    // The disruption ends just after the next report.
    if has_trouble {
        let lost_seq = seq.fetch_add(1, Ordering::SeqCst) + 1;
        let row = server::row("app", address, "ready", 1, lost_seq);
        record.line(&format!(
            "{LEAVING} reports ready, seq {lost_seq}: no answer; the store loses answers for {} ms until now",
            DISRUPTION.as_millis()
        ));
        let store = store.clone();
        thread::spawn(move || {
            thread::sleep(LATE_BY);
            store.put_report(LEAVING, &row);
        });
    } else {
        write("ready");
    }
    let disrupted_until = Instant::now() + Duration::from_millis(20);
    let draining_at = disrupted_until + DRAINING_AFTER;
    while Instant::now() + HEARTBEAT < draining_at {
        thread::sleep(HEARTBEAT);
        write("ready");
    }
    thread::sleep(draining_at.saturating_duration_since(Instant::now()));
    write("draining");
    let acknowledged = Instant::now();
    // It serves for some seconds more, and reports as before.
    for _ in 0..5 {
        thread::sleep(HEARTBEAT);
        write("draining");
    }
    acknowledged
}

/// Reports for the other servers, each of them once in a heartbeat interval.
fn report_others(
    record: &Record,
    store: &Store,
    others: &[(String, SocketAddr)],
    has_ended: &AtomicBool,
) {
    let mut seq = 1;
    while !has_ended.load(Ordering::SeqCst) {
        seq += 1;
        for (id, address) in others {
            store.put_report(id, &server::row("app", *address, "ready", 1, seq));
            record.detail(
                Instant::now(),
                &format!("{id} reports ready, seq {seq}: acknowledged"),
            );
            thread::sleep(HEARTBEAT / others.len() as u32);
        }
    }
}

/// Sends requests through a gateway; returns their ids and when they were sent.
fn send_requests(
    record: &Record,
    gateway: &Gateway,
    index: usize,
    has_ended: &AtomicBool,
) -> Vec<(String, Instant)> {
    let mut sent = Vec::new();
    while !has_ended.load(Ordering::SeqCst) {
        let id = format!("{index:02x}{:014x}", sent.len());
        let headers = format!("Host: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1200\r\n");
        let at = Instant::now();
        let patience = Duration::from_millis(1_200);
        let answer = net::call(gateway.caller, "GET", "/ping/a", &headers, b"", patience);
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let line = format!(
            "{id} sent to {}: status {}, {text}",
            gateway.name, answer.status
        );
        record.detail(at, &line);
        sent.push((id, at));
        thread::sleep(Duration::from_millis(15));
    }
    sent
}
