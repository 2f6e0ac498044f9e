//! A server leaves while a gateway that has just started reads the table of servers.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::net;
use crate::server::{self, Runs};
use crate::site::{self, Folder, Gateway, HOST, Record, wait_until};
use crate::store::Store;

/// Servers of the site; most belong to other services. The size to design for.
const SERVERS: usize = 12_000;
/// Delay from the first answer of the read to the removal of the row.
const REMOVAL_DELAY: Duration = Duration::from_millis(60);
/// `drainMs` and `stableWindowMs` of the site file.
const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// Time for which the server that has left still serves, and in which requests are sent.
const LINGER: Duration = Duration::from_secs(15);
/// Servers of the service that is called; one of them leaves.
const APP_SERVERS: usize = 8;
const LEAVING: &str = "i-app-2";

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let failed = |error: std::io::Error| error.to_string();
    let folder = Folder::create().map_err(failed)?;
    let store = Store::start().map_err(failed)?;
    let runs = Runs::default();
    for number in 1..=APP_SERVERS {
        let id = format!("i-app-{number}");
        let id = id.as_str();
        let address = server::start(id, &runs).map_err(failed)?;
        store.put("servers", id, &server::row("app", address, "ready", 1, 1));
    }
    // The servers of the other services accept connections and get no requests.
    let listener = TcpListener::bind("0.0.0.0:0").map_err(failed)?;
    let port = listener.local_addr().map_err(failed)?.port();
    net::serve(listener, |_, _| Ok(()));
    for number in 0..SERVERS - APP_SERVERS {
        let ip = Ipv4Addr::new(127, 200, (number / 250) as u8, (number % 250 + 1) as u8);
        let service = format!("other-{}", number % 40);
        let row = server::row(&service, SocketAddr::from((ip, port)), "ready", 1, 1);
        store.put("servers", &format!("i-other-{number:05}"), &row);
    }
    site::configure(&store);
    let mut gateways = Vec::new();
    for name in ["edge-1", "edge-2"] {
        gateways.push(Gateway::start(&folder.0, name, store.address).map_err(failed)?);
    }
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Err("the gateways are not ready".to_string());
    }
    thread::sleep(Duration::from_secs(2));

    // A machine is added. With the disruption, a server leaves meanwhile; otherwise, it leaves later.
    store.watch_server_reads();
    let added = Gateway::start(&folder.0, "edge-3", store.address).map_err(failed)?;
    if !wait_until(Duration::from_secs(5), || store.server_reads().0.is_some()) {
        return Err("the added gateway does not read the table of servers".to_string());
    }
    if !has_trouble {
        if !added.wait_until_ready() {
            return Err("the added gateway is not ready".to_string());
        }
        thread::sleep(Duration::from_secs(1));
    }
    let first_read = store.server_reads().0.unwrap_or_else(Instant::now);
    thread::sleep((first_read + REMOVAL_DELAY).saturating_duration_since(Instant::now()));
    let pages_before = store.server_reads().1;
    store.remove("servers", LEAVING);
    let removed_at = Instant::now();
    record.line(&format!(
        "the row of {LEAVING} is removed, {} ms after the added gateway began to read, after {pages_before} pages",
        (removed_at - first_read).as_millis()
    ));
    if !added.wait_until_ready() {
        return Err("the added gateway is not ready".to_string());
    }
    let ready_at = Instant::now();
    record.line(&format!(
        "the added gateway is ready; it read {} pages",
        store.server_reads().1
    ));

    // Requests count that are sent when the gateway is in touch and the server has drained.
    let counted_from = (removed_at + DRAIN).max(ready_at + STABLE_WINDOW);
    let mut sent = Vec::new();
    let mut number = 0;
    while Instant::now() < removed_at + LINGER {
        for gateway in [&gateways[0], &gateways[1], &added] {
            number += 1;
            let id = format!("{number:016x}");
            let headers = format!("Host: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 1200\r\n");
            let at = Instant::now();
            let patience = Duration::from_millis(1_200);
            let answer = net::call(gateway.caller, "GET", "/ping/a", &headers, b"", patience);
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            record.detail(
                at,
                &format!(
                    "{id} sent to {}: status {}, {text}",
                    gateway.name, answer.status
                ),
            );
            sent.push((id, gateway.name.clone(), at));
        }
        thread::sleep(Duration::from_millis(25));
    }
    let mut late = 0;
    let mut first_late = None;
    for run in runs.all().iter().filter(|run| run.server == LEAVING) {
        record.detail(run.at, &format!("{LEAVING} runs {}", run.request_id));
        let of_run = sent.iter().find(|(id, _, _)| *id == run.request_id);
        if let Some((_, gateway, at)) = of_run.filter(|(_, _, at)| *at >= counted_from) {
            late += 1;
            first_late.get_or_insert((gateway.clone(), (*at - removed_at).as_secs_f64()));
        }
    }
    record.line(&format!(
        "{} requests sent; {late} of those sent later than drainMs after the removal, by gateways in touch, reached \
         {LEAVING}: first {first_late:?}",
        sent.len()
    ));
    Ok(late == 0)
}
