//! DRAIN: a server that has said that it leaves is used again after the store performs its last heartbeat
//! late.

use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http;
use crate::site::{self, HOST, Node, Record, Runs, Server};
use crate::store::Store;

/// Bound of the pages.
const DRAIN_S: f64 = 2.0;
/// Time after which the store performs the call that it has not answered: 1 to 6 s by the pages.
const LATE_S: f64 = 5.0;

/// A request, and what its client got.
struct Sent {
    id: String,
    node: usize,
    at: f64,
    status: u16,
    says_leaving: bool,
    answered_at: f64,
}

pub fn run(has_trouble: bool, folder: &PathBuf) -> bool {
    let record = Record::new();
    let runs = Runs::default();
    let store = Store::new(4);
    site::configure(
        &store,
        3,
        &[site::route("/stock/", "idempotent", "app")],
        &["app"],
        4_194_304,
    );
    let servers: Vec<Arc<Server>> = (1..=3)
        .map(|number| {
            Arc::new(Server::start(
                &format!("i-{number}"),
                "app",
                10,
                runs.clone(),
                &record,
            ))
        })
        .collect();
    servers.iter().for_each(|server| server.beat(&store));
    let nodes: Vec<Node> = (1..=2)
        .map(|number| Node::start(&format!("edge-{number}"), &store, folder))
        .collect();
    nodes.iter().for_each(Node::wait_until_ready);
    record.line("2 gateways are ready, 3 servers are registered");

    let (stays, leaves) = (servers[1..].to_vec(), servers[0].clone());
    let heartbeats = store.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(1_200));
            stays.iter().for_each(|server| server.beat(&heartbeats));
        }
    });
    let operator = store.clone();
    let events = record.clone();
    let leaving_server = leaves.clone();
    let leave = thread::spawn(move || {
        for _ in 0..2 {
            thread::sleep(Duration::from_millis(1_200));
            leaving_server.beat(&operator);
        }
        thread::sleep(Duration::from_millis(1_200));
        let last_entry = leaving_server.next_entry();
        let seq = leaving_server.seq();
        match has_trouble {
            true => events.line(&format!(
                "i-1 sends heartbeat {seq}; the store does not answer, and has not performed it"
            )),
            false => {
                operator.put("servers", "i-1", Some(&last_entry));
                events.line(&format!(
                    "i-1 sends heartbeat {seq}; the store performs and answers it"
                ));
            }
        }
        let lost_at = events.at();
        thread::sleep(Duration::from_millis(200));
        leaving_server.is_leaving.store(true, Ordering::SeqCst);
        events.line("i-1 leaves: its answers say `Server-Leaving: 1`, it goes on serving");
        thread::sleep(Duration::from_millis(600));
        operator.put("servers", "i-1", None);
        events.line("the entry of i-1 is removed, and the store acknowledges it");
        thread::sleep(Duration::from_secs_f64(lost_at + LATE_S - events.at()));
        if has_trouble {
            operator.put("servers", "i-1", Some(&last_entry));
            events.line(&format!("the store performs heartbeat {seq} of i-1 late"));
        }
    });

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    while record.at() < 14.0 {
        for (node, gateway) in nodes.iter().enumerate() {
            let number = clients.len();
            let (address, events, sent) = (gateway.caller_address, record.clone(), sent.clone());
            clients.push(thread::spawn(move || {
                let id = format!("{number:016x}");
                let headers = [
                    ("host", HOST.to_string()),
                    ("request-id", id.clone()),
                    ("deadline-ms", "1200".to_string()),
                ];
                let at = events.at();
                let limit = Duration::from_millis(1_500);
                let reply = http::call(
                    address,
                    "GET",
                    "/stock/1",
                    &headers,
                    b"",
                    Duration::ZERO,
                    limit,
                );
                let status = reply.as_ref().map_or(0, |reply| reply.status);
                let leaving = reply.ok().and_then(|reply| {
                    http::header(&reply.headers, "server-leaving").map(str::to_string)
                });
                sent.lock().expect("no thread has panicked").push(Sent {
                    id,
                    node,
                    at,
                    status,
                    says_leaving: leaving.as_deref() == Some("1"),
                    answered_at: events.at(),
                });
            }));
        }
        thread::sleep(Duration::from_millis(25));
    }
    for client in clients {
        let _ = client.join();
    }
    let _ = leave.join();

    let mut sent = sent.lock().expect("no thread has panicked");
    sent.sort_by(|first, second| first.at.total_cmp(&second.at));
    let runs = runs.lock().expect("no thread has panicked");
    for request in sent.iter() {
        let run = runs.iter().find(|run| run.request_id == request.id);
        let ran = run.map_or("not run".to_string(), |run| {
            format!("run by {} at {:.3}", run.server_id, run.at)
        });
        let leaving = if request.says_leaving {
            ", Server-Leaving: 1"
        } else {
            ""
        };
        println!(
            "request {} sent {:.3} to {}: {ran}; answered {:.3}: {}{leaving}",
            request.id, request.at, nodes[request.node].name, request.answered_at, request.status
        );
    }
    let mut is_broken = false;
    let mut nodes_told = 0;
    for (index, node) in nodes.iter().enumerate() {
        let told = sent
            .iter()
            .filter(|request| request.node == index && request.says_leaving);
        let Some(told_at) = told.map(|request| request.answered_at).reduce(f64::min) else {
            // It has heard from the other gateway that the server leaves.
            record.line(&format!("{} passed on no such answer", node.name));
            continue;
        };
        nodes_told += 1;
        let late: Vec<&Sent> = sent
            .iter()
            .filter(|request| request.node == index && request.at > told_at + DRAIN_S)
            .filter(|request| {
                runs.iter()
                    .any(|run| run.request_id == request.id && run.server_id == "i-1")
            })
            .collect();
        record.line(&format!(
            "{} passed on `Server-Leaving: 1` of i-1 at {told_at:.3}; requests sent later than {DRAIN_S} s after it that it sent to i-1: {}",
            node.name,
            late.len()
        ));
        is_broken |= !late.is_empty();
    }
    if nodes_told == 0 {
        site::cannot_run("no gateway passed on an answer that says that the server leaves");
    }
    is_broken
}
