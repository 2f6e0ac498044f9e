//! A gateway loses its path to the servers while streams begin that peers then serve, at servers of
//! two software versions. Then it is killed, and the clients take their streams up elsewhere.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::net::{self, Answer};
use crate::proxy::Proxy;
use crate::server::{self, Runs};
use crate::site::{self, Folder, Gateway, HOST, Record};
use crate::store::Store;

const PROGRAMS: usize = 28;
/// Events of the streams, the time to the first one and between them.
const EVENTS: u64 = 14;
const FIRST_MS: u64 = 500;
const GAP_MS: u64 = 150;
/// From the start of the streams to the cut, and to the kill of the gateway.
const CUT_AFTER: Duration = Duration::from_millis(200);
const KILL_AFTER: Duration = Duration::from_millis(1_700);
/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;
/// Table of the servers as the gateway that is cut off reaches them.
const OWN_TABLE: &str = "servers-of-edge-1";

/// A turn, or the rest of one that broke off.
struct Turn<'a> {
    program: &'a str,
    id: &'a str,
    work: &'a str,
    /// The first attempt, and the last event that the client has.
    resumes: Option<(&'a str, u64)>,
}

impl Turn<'_> {
    fn send(&self, gateway: SocketAddr) -> Answer {
        let Self { program, id, .. } = self;
        let resumed = self.resumes.map_or(String::new(), |(first, event)| {
            format!("Resumes: {first}\r\nLast-Event-Id: {event}\r\n")
        });
        let headers = format!(
            "Host: {HOST}\r\nRequest-Id: {id}\r\nProgram-Id: {program}\r\nSession-Id: s-{program}\r\n\
             Program-Deadline-Ms: 20000\r\nToken-Budget: 2304\r\nModel: m\r\nToken-Usage: 600,{}\r\n\
             Deadline-Ms: 4000\r\n{resumed}",
            EVENTS * 9
        );
        let body = format!("input of {program}\n{}\n", self.work);
        let patience = Duration::from_millis(4_000);
        net::call(
            gateway,
            "POST",
            "/quote/t",
            &headers,
            body.as_bytes(),
            patience,
        )
    }
}

/// The ids of the whole events of an answer, with the version of the server that made each.
fn events(answer: &Answer) -> Vec<(u64, String)> {
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    let events = whole.split("\n\n").filter_map(|event| {
        let (id, data) = event.strip_prefix("id: ")?.split_once("\ndata: ")?;
        let (version, _) = data.split_once(' ')?;
        Some((id.parse().ok()?, version.to_string()))
    });
    events.collect()
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let failed = |error: std::io::Error| error.to_string();
    // To see one of the two disruptions alone.
    let only = std::env::var("ONLY").unwrap_or_default();
    let has_cut = has_trouble && only != "kill";
    let has_kill = has_trouble && only != "cut";
    let folder = Folder::create().map_err(failed)?;
    let store = Store::start().map_err(failed)?;
    let own_store = store.serve_own_servers(OWN_TABLE).map_err(failed)?;
    let runs = Runs::default();
    let mut proxies = Vec::new();
    let mut add_server = |id: &str, version: &'static str| -> std::io::Result<()> {
        let address = server::start_version(id, version, &runs)?;
        let proxy = Proxy::start(address)?;
        let row = |address| server::version_row("llm", version, address, "ready", 1, 1);
        store.put("servers", id, &row(address));
        store.put(OWN_TABLE, id, &row(proxy.address));
        proxies.push(proxy);
        Ok(())
    };
    for id in ["i-llm-1", "i-llm-2"] {
        add_server(id, "v1").map_err(failed)?;
    }
    site::configure(&store);
    let mut gateways = Vec::new();
    for (name, store) in [
        ("edge-1", own_store),
        ("edge-2", store.address),
        ("edge-3", store.address),
    ] {
        gateways.push(Gateway::start(&folder.0, name, store).map_err(failed)?);
    }
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Err("the gateways are not ready".to_string());
    }
    thread::sleep(Duration::from_secs(2));
    let (cut_off, other) = (gateways[0].caller, gateways[1].caller);

    // The programs begin while one version serves.
    for number in 0..PROGRAMS {
        let program = format!("{number:02x}b7");
        let id = format!("{program}first");
        let turn = Turn {
            program: &program,
            id: &id,
            work: "events=1 gap=5",
            resumes: None,
        };
        if !turn.send(cut_off).is_complete {
            return Err("the first turns fail".to_string());
        }
    }
    // A newer version comes beside it.
    for id in ["i-llm-3", "i-llm-4"] {
        add_server(id, "v2").map_err(failed)?;
    }
    thread::sleep(Duration::from_millis(500));

    let work = format!("events={EVENTS} first={FIRST_MS} gap={GAP_MS}");
    let work = work.as_str();
    let started = Instant::now();
    let answers = thread::scope(|scope| {
        let clients: Vec<_> = (0..PROGRAMS)
            .map(|number| {
                scope.spawn(move || {
                    let program = format!("{number:02x}b7");
                    let id = format!("{program}turn");
                    let turn = Turn {
                        program: &program,
                        id: &id,
                        work,
                        resumes: None,
                    };
                    let first = turn.send(cut_off);
                    let mut rest = None;
                    let seen = events(&first);
                    if let Some((last, _)) = seen.last().filter(|_| !first.is_complete) {
                        let next_id = format!("{program}next");
                        let resumes = Some((id.as_str(), *last));
                        rest = Some(
                            Turn {
                                id: &next_id,
                                resumes,
                                ..turn
                            }
                            .send(other),
                        );
                    }
                    (program, first, rest)
                })
            })
            .collect();
        thread::sleep((started + CUT_AFTER).saturating_duration_since(Instant::now()));
        if has_cut {
            record.line("edge-1 is cut off from all servers");
            proxies.iter().for_each(Proxy::refuse);
            thread::sleep(Duration::from_millis(20));
            proxies.iter().for_each(Proxy::close);
        }
        thread::sleep((started + KILL_AFTER).saturating_duration_since(Instant::now()));
        if has_kill {
            record.line("SIGKILL to edge-1");
            gateways[0].kill();
        }
        clients
            .into_iter()
            .filter_map(|client| client.join().ok())
            .collect::<Vec<_>>()
    });

    for run in runs.all() {
        record.detail(run.at, &format!("{} runs {}", run.server, run.request_id));
    }
    let mut joined = 0;
    let mut taken_up = 0;
    for (program, first, rest) in &answers {
        let seen = events(first);
        let then = rest.as_ref().map(events).unwrap_or_default();
        let name = |events: &[(u64, String)]| {
            let mut versions: Vec<&str> =
                events.iter().map(|(_, version)| version.as_str()).collect();
            versions.dedup();
            format!("{} events of {versions:?}", events.len())
        };
        let mut versions: Vec<&str> = seen
            .iter()
            .chain(&then)
            .map(|(_, version)| version.as_str())
            .collect();
        versions.sort_unstable();
        versions.dedup();
        joined += usize::from(versions.len() > 1);
        taken_up += usize::from(!then.is_empty());
        record.line(&format!(
            "{program}: status {}, {}, whole: {}; taken up: status {:?}, {}, whole: {:?}",
            first.status,
            name(&seen),
            first.is_complete,
            rest.as_ref().map(|rest| rest.status),
            name(&then),
            rest.as_ref().map(|rest| rest.is_complete)
        ));
    }
    record.line(&format!(
        "{PROGRAMS} streams; {taken_up} went on after a take-up; {joined} hold events of two versions, {ALLOWED} are \
         allowed"
    ));
    if has_trouble && only.is_empty() && taken_up == 0 {
        return Err("no stream was taken up".to_string());
    }
    Ok(joined <= ALLOWED)
}
