//! DENIED: requests within the limits of the configuration are refused.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::site::{self, HOST, Node, Record, Runs, Server};
use crate::store::Store;

pub fn run(has_trouble: bool, folder: &PathBuf) -> bool {
    let record = Record::new();
    let runs = Runs::default();
    let store = Store::new(4);
    let routes = [site::route("/quote/", "non_idempotent", "app")];
    site::configure(&store, 3, &routes, &["app"], 4 << 20);
    let servers: Vec<Server> = (1..=2)
        .map(|number| Server::start(&format!("i-{number}"), "app", 10, runs.clone(), &record))
        .collect();
    servers.iter().for_each(|server| server.beat(&store));
    let nodes: Vec<Node> = (1..=2)
        .map(|number| Node::start(&format!("edge-{number}"), &store, folder))
        .collect();
    nodes.iter().for_each(Node::wait_until_ready);
    let body_bytes = match has_trouble {
        true => {
            site::configure(&store, 7, &routes, &["app"], 8 << 20);
            record.line("configuration 7 acknowledged: maxBodyBytes 8388608");
            5_000_000
        }
        false => 4_000_000,
    };
    thread::sleep(Duration::from_secs(6));
    let (mut sent, mut denied) = (0, 0);
    for round in 0..10 {
        for node in &nodes {
            let id = format!("{sent:016x}");
            sent += 1;
            let headers = [
                ("host", HOST.to_string()),
                ("request-id", id.clone()),
                ("deadline-ms", "2000".to_string()),
            ];
            let body = vec![b'x'; body_bytes];
            let limit = Duration::from_millis(2_500);
            let reply = http::call(
                node.caller_address,
                "POST",
                "/quote/1",
                &headers,
                &body,
                Duration::ZERO,
                limit,
            );
            let status = reply.as_ref().map_or(0, |reply| reply.status);
            let is_own =
                reply.is_ok_and(|reply| http::header(&reply.headers, "server-signature").is_none());
            let is_denied =
                is_own && (300..500).contains(&status) && ![408, 421, 429].contains(&status);
            denied += usize::from(is_denied);
            record.line(&format!(
                "request {id} of {body_bytes} bytes to {}: {status}",
                node.name
            ));
        }
        let _ = round;
        thread::sleep(Duration::from_millis(100));
    }
    let allowed = 5 + sent / 500;
    record.line(&format!(
        "{denied} of {sent} requests denied with a status of the gateway; {allowed} are allowed"
    ));
    denied > allowed
}
