//! Requests that crash each server that runs them, and innocent ones that were running there.

#[path = "support/gateway.rs"]
mod gateway;

use std::thread;
use std::time::Duration;

use gateway::{Turn, WAIT_TIMEOUT, caller_request, new_request_id, recorded_runs};
use sapphireford_standin::harness::{
    Answer, GatewayProcess, GatewaySite, HttpRequest, PLAIN_SERVICE, Process, wait_until,
};
use serde_json::json;

const SERVERS: usize = 4;
const DEADLY: &str = "deadly";
/// Time in which a gateway hears of the crashes that others have seen, and decides.
const REPORTING_TIME: Duration = Duration::from_millis(1_500);

/// Servers that gateways reach without a proxy, so that a crashed one refuses connections.
struct CrashableServers {
    processes: Vec<Process>,
    /// Their current ids, by index.
    ids: Vec<String>,
    starts: usize,
    crash_on: Option<&'static str>,
}

impl CrashableServers {
    /// Replaces the plain servers of a site.
    fn start(site: &GatewaySite, crash_on: Option<&'static str>) -> Self {
        site.deregister_service(PLAIN_SERVICE);
        let mut servers = Self {
            processes: Vec::new(),
            ids: Vec::new(),
            starts: 0,
            crash_on,
        };
        for _ in 0..SERVERS {
            let (id, process) = servers.start_process(site, "127.0.0.1:0");
            servers.processes.push(process);
            servers.ids.push(id);
        }
        thread::sleep(REPORTING_TIME);
        servers
    }

    fn start_process(&mut self, site: &GatewaySite, listen: &str) -> (String, Process) {
        self.starts += 1;
        let id = format!("c-{}", self.starts);
        let arguments = ["--listen", listen, "--id", &id, "--event-ms", "50"];
        let process = Process::start("standin-backend", &arguments);
        if let Some(text) = self.crash_on {
            process.control(&json!({ "crash_on": text }));
        }
        site.register_address(&id, PLAIN_SERVICE, process.address(), "ready");
        (id, process)
    }

    /// Starts a server again that has ended, under a new id.
    fn restart(&mut self, site: &GatewaySite, index: usize) {
        site.deregister_id(&self.ids[index]);
        let address = self.processes[index].address().to_string();
        (self.ids[index], self.processes[index]) = self.start_process(site, &address);
    }

    /// Starts the servers that have crashed again, under new ids; returns how many these are.
    fn restart_crashed(&mut self, site: &GatewaySite) -> usize {
        let mut restarted = 0;
        for index in 0..self.processes.len() {
            if self.processes[index]
                .wait(Duration::from_millis(20))
                .is_some()
            {
                self.restart(site, index);
                restarted += 1;
            }
        }
        thread::sleep(REPORTING_TIME);
        restarted
    }

    fn kill(&mut self, index: usize) {
        self.processes[index].kill();
    }
}

fn request(body: &str, key: &str) -> HttpRequest {
    caller_request("POST", "/ping/a", &new_request_id())
        .bearer(key)
        .body(body)
}

fn send(gateway: &GatewayProcess, body: &str) -> Answer {
    let request = request(body, "key-1");
    request.send(gateway.caller_address()).expect("an answer")
}

fn is_refused_for_good(answer: &Answer) -> bool {
    answer.status == 502
        && answer.header("retry-after").is_none()
        && answer.text().contains("crashes_servers")
}

/// Sends a deadly request until it is refused for good, and returns the number of crashes.
fn crashes_until_refused(site: &GatewaySite, servers: &mut CrashableServers) -> usize {
    let mut crashes = 0;
    for attempt in 0..6 {
        let gateway = &site.gateways[attempt % site.gateways.len()];
        let answer = send(gateway, DEADLY);
        assert_eq!(send(gateway, "innocent").status, 200);
        if is_refused_for_good(&answer) {
            return crashes;
        }
        crashes += servers.restart_crashed(site);
    }
    panic!("the request is never refused; {crashes} crashes");
}

/// Guards against a request that crashes server after server, through all gateways, also through
/// one that was not running when the servers crashed; and against a refusal that hits others.
#[test]
fn a_request_that_crashed_three_servers_is_refused_by_all_gateways() {
    let mut site = GatewaySite::start(3);
    let mut servers = CrashableServers::start(&site, Some(DEADLY));
    let crashes = crashes_until_refused(&site, &mut servers);
    assert!((3..=4).contains(&crashes), "{crashes} crashes");
    for gateway in &site.gateways {
        assert!(is_refused_for_good(&send(gateway, DEADLY)));
    }
    site.gateways[2].kill();
    thread::sleep(Duration::from_millis(200));
    site.gateways[2].start();
    let restarted = &site.gateways[2];
    assert!(wait_until(WAIT_TIMEOUT, || restarted.is_ready()));
    assert!(is_refused_for_good(&send(restarted, DEADLY)));
    assert_eq!(servers.restart_crashed(&site), 0);
    assert_eq!(send(restarted, "innocent").status, 200);
}

/// Guards against a caller that has the requests of another one refused by sending the same ones.
#[test]
fn the_request_of_another_caller_is_not_refused() {
    let site = GatewaySite::start(1);
    let gateway = &site.gateways[0];
    let mut servers = CrashableServers::start(&site, Some(DEADLY));
    crashes_until_refused(&site, &mut servers);
    for server in &servers.processes {
        server.control(&json!({}));
    }
    let other = request(DEADLY, "key-2").send(gateway.caller_address());
    assert_eq!(other.expect("an answer").status, 200);
    assert!(is_refused_for_good(&send(gateway, DEADLY)));
}

/// Guards against an innocent request that is refused because the server that runs it crashes by
/// itself, time and again.
#[test]
fn a_server_that_crashes_by_itself_makes_no_request_guilty() {
    let site = GatewaySite::start(1);
    let gateway = &site.gateways[0];
    let mut servers = CrashableServers::start(&site, None);
    for _ in 0..4 {
        // One of the requests runs at the server when it is killed.
        thread::scope(|scope| {
            for _ in 0..2 * SERVERS {
                scope.spawn(|| {
                    let answer = send(gateway, "innocent");
                    assert_eq!(answer.status, 200, "{}", answer.text());
                });
            }
            thread::sleep(Duration::from_millis(25));
            servers.kill(0);
        });
        servers.restart(&site, 0);
        thread::sleep(REPORTING_TIME);
    }
    assert_eq!(send(gateway, "innocent").status, 200);
}

/// Guards against a turn whose bytes change when it is sent again: each server gets the inputs and
/// outputs of the chain and then the new input, also on tries that break.
#[test]
fn a_turn_that_breaks_servers_is_sent_with_the_bytes_of_its_chain() {
    let site = GatewaySite::start(2);
    let turn = |id: &str, previous: Option<&str>, input: &str, gateway: usize| {
        let turn = Turn {
            path: "/chat/a",
            id,
            program: "p-bytes",
            previous,
            input,
            ..Turn::default()
        };
        let mut stream = turn.open(&site.gateways[gateway]).expect("an answer");
        stream.remaining_events()
    };
    let mut chain = String::new();
    let mut previous: Option<String> = None;
    for number in 0..4 {
        let input = format!("input {number};");
        let sent = format!("{chain}{input}");
        for engine in &site.engines {
            engine.process.control(&json!({ "cut_after_events": 0 }));
        }
        let mut ids: Vec<String> = (0..3).map(|_| new_request_id()).collect();
        for (try_number, id) in ids.iter().enumerate() {
            let broken = turn(id, previous.as_deref(), &input, try_number % 2);
            assert!(broken.is_err(), "the stream is complete");
        }
        for engine in &site.engines {
            engine.process.control(&json!({}));
        }
        let id = new_request_id();
        let events = turn(&id, previous.as_deref(), &input, number % 2);
        let outputs = events.expect("a complete stream").into_iter();
        let output: String = outputs.map(|event| format!("{}\n", event.data)).collect();
        ids.push(id.clone());
        for id in &ids {
            let runs = recorded_runs(&site.engines, id);
            assert!(!runs.is_empty(), "turn {number}, request {id}");
            for run in runs {
                assert_eq!(run["body"], sent.as_str(), "turn {number}, request {id}");
            }
        }
        chain = sent + &output;
        previous = Some(id);
    }
}
