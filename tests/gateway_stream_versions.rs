//! Streams while servers of several software versions serve side by side.

#[path = "support/gateway.rs"]
mod gateway;
#[path = "support/server_paths.rs"]
mod server_paths;

use std::thread;
use std::time::{Duration, Instant};

use gateway::{
    Turn, WAIT_TIMEOUT, caller_request, expected_stream_data, new_request_id, recorded_runs,
};
use sapphireford_standin::harness::{
    Answer, ENGINE_SERVICE, EventStream, GatewayProcess, GatewaySite, HttpRequest, ProxyMode,
    default_routes, route, wait_until,
};
use serde_json::{Value, json};
use server_paths::{Cut, cut_off, find_out};

/// Events of a stream that is broken off.
const EVENTS: u64 = 12;
/// Time in which gateways learn of changed registrations.
const REGISTRATION_TIME: Duration = Duration::from_millis(500);
/// A refusal that waits for nothing.
const REFUSAL_LIMIT: Duration = Duration::from_secs(1);

/// A site with two engines of each of these versions beside those of the first one.
fn site_with_versions(gateways: usize, versions: &[&'static str]) -> GatewaySite {
    let mut site = GatewaySite::start(gateways);
    for version in versions {
        site.add_engine(version);
        site.add_engine(version);
    }
    thread::sleep(REGISTRATION_TIME);
    site
}

fn turn<'a>(id: &'a str, program: &'a str) -> Turn<'a> {
    Turn {
        id,
        program,
        events: EVENTS,
        ..Turn::default()
    }
}

/// The versions of the engines that have sent events for a request. Engines come in pairs.
fn versions_of(site: &GatewaySite, id: &str) -> Vec<usize> {
    let engines = site.engines.iter().enumerate();
    let sent_events = engines.filter(|(_, engine)| {
        let runs = recorded_runs(std::slice::from_ref(*engine), id);
        runs.iter().any(|run| run["events"] != 0)
    });
    let mut versions: Vec<usize> = sent_events.map(|(index, _)| index / 2).collect();
    versions.dedup();
    versions
}

fn control_all(site: &GatewaySite, control: &Value) {
    for engine in &site.engines {
        engine.process.control(control);
    }
}

fn restart_all_gateways(site: &mut GatewaySite) {
    site.gateways.iter_mut().for_each(GatewayProcess::kill);
    site.gateways.iter_mut().for_each(GatewayProcess::start);
    for gateway in &site.gateways {
        assert!(wait_until(WAIT_TIMEOUT, || gateway.is_ready()));
    }
}

/// A stream that a caller has begun to read and whose gateways were killed.
struct BrokenStream {
    id: String,
    program: String,
    received: Vec<String>,
}

/// Opens a stream for each program, through the gateways in turn, and reads two events of each.
fn open_streams(site: &GatewaySite, programs: usize) -> Vec<BrokenStream> {
    control_all(site, &json!({ "stall_after_events": 4 }));
    let streams = (0..programs).map(|index| {
        let (id, program) = (new_request_id(), format!("program-{index}"));
        let gateway = &site.gateways[index % site.gateways.len()];
        let mut stream = turn(&id, &program).open(gateway).expect("an answer");
        let received = next_events(&mut stream, 2);
        (
            stream,
            BrokenStream {
                id,
                program,
                received,
            },
        )
    });
    // The connections stay open until all streams have begun.
    let (_open, streams): (Vec<EventStream>, Vec<BrokenStream>) = streams.unzip();
    streams
}

fn next_events(stream: &mut EventStream, count: usize) -> Vec<String> {
    let mut next = || stream.next_event().expect("an event").expect("an event");
    (0..count).map(|_| next().data).collect()
}

impl BrokenStream {
    fn request(&self, attempt_id: &str) -> HttpRequest {
        turn(attempt_id, &self.program)
            .request()
            .header("last-event-id", &self.received.len().to_string())
            .header("resumes", &self.id)
    }

    /// Takes the stream up and reads it to its end; the error is the answer if it is refused.
    fn take_up(&self, gateway: &GatewayProcess, attempt_id: &str) -> Result<Vec<String>, Answer> {
        let request = self.request(attempt_id);
        let mut stream = request.open(gateway.caller_address()).expect("an answer");
        if stream.status() != 200 {
            return Err(stream.into_answer().expect("an answer"));
        }
        let rest = stream.remaining_events().expect("a complete stream");
        let received = self.received.iter().cloned();
        Ok(received
            .chain(rest.into_iter().map(|event| event.data))
            .collect())
    }

    /// Asserts that the stream goes on at the version that began it.
    fn assert_goes_on(&self, site: &GatewaySite, gateway: &GatewayProcess) {
        let attempt_id = new_request_id();
        let received = self.take_up(gateway, &attempt_id);
        let received = received.unwrap_or_else(|answer| panic!("{}", answer.text()));
        assert_eq!(received, expected_stream_data("how much", EVENTS));
        assert_eq!(
            versions_of(site, &attempt_id),
            versions_of(site, &self.id),
            "the versions of request {}",
            self.id
        );
    }

    /// Asserts that no server runs the rest of the stream and the caller is told so at once.
    fn assert_is_refused(&self, site: &GatewaySite, gateway: &GatewayProcess) {
        let attempt_id = new_request_id();
        let started = Instant::now();
        let answer = self.take_up(gateway, &attempt_id).expect_err("a refusal");
        assert_eq!(answer.status, 503, "{}", answer.text());
        assert!(started.elapsed() < REFUSAL_LIMIT);
        assert!(recorded_runs(&site.engines, &attempt_id).is_empty());
    }
}

#[test]
fn a_gateway_resumes_a_stream_only_at_the_version_that_began_it() {
    let site = site_with_versions(1, &["v2", "v3"]);
    control_all(&site, &json!({ "cut_after_events": 4 }));
    for index in 0..24 {
        let (id, program) = (new_request_id(), format!("program-{index}"));
        let turn = Turn {
            events: 7,
            ..turn(&id, &program)
        };
        let data = turn.run(&site.gateways[0]);
        assert_eq!(data, expected_stream_data(turn.input, 7));
        assert_eq!(versions_of(&site, &id).len(), 1, "request {id}");
    }
}

#[test]
fn a_stream_whose_version_has_no_other_server_breaks_off_visibly() {
    let mut site = GatewaySite::start(1);
    site.deregister(&site.engines[1]);
    site.add_engine("v2");
    thread::sleep(REGISTRATION_TIME);
    control_all(&site, &json!({ "cut_after_events": 4 }));
    for index in 0..6 {
        let (id, program) = (new_request_id(), format!("program-{index}"));
        let mut stream = turn(&id, &program)
            .open(&site.gateways[0])
            .expect("an answer");
        assert!(stream.remaining_events().is_err());
        assert_eq!(recorded_runs(&site.engines, &id).len(), 1);
    }
}

#[test]
fn a_stream_goes_on_at_its_version_after_the_kill_of_all_gateways() {
    let mut site = site_with_versions(3, &["v2", "v3"]);
    let streams = open_streams(&site, 18);
    let began_at = |stream: &BrokenStream| versions_of(&site, &stream.id);
    let mut versions: Vec<_> = streams.iter().flat_map(began_at).collect();
    versions.sort_unstable();
    versions.dedup();
    assert!(versions.len() > 1, "all streams began at one version");
    restart_all_gateways(&mut site);
    for (index, stream) in streams.iter().enumerate() {
        // The engine that began the stream does not take it again.
        for engine in &site.engines {
            let began = !recorded_runs(std::slice::from_ref(engine), &stream.id).is_empty();
            engine.process.control(&json!({ "full": began }));
        }
        stream.assert_goes_on(&site, &site.gateways[(index + 1) % 3]);
    }
}

#[test]
fn a_program_that_changed_its_version_goes_on_where_each_stream_began() {
    let mut site = GatewaySite::start(2);
    let programs: Vec<String> = (0..6).map(|index| format!("program-{index}")).collect();
    for program in &programs {
        turn(&new_request_id(), program).run(&site.gateways[0]);
    }
    for engine in &site.engines {
        site.register(engine, "draining");
    }
    site.add_engine("v2");
    site.add_engine("v2");
    thread::sleep(REGISTRATION_TIME);
    let streams = open_streams(&site, programs.len());
    for engine in &site.engines[..2] {
        site.deregister(engine);
        site.register(engine, "ready");
    }
    restart_all_gateways(&mut site);
    control_all(&site, &json!({}));
    for stream in &streams {
        assert_eq!(versions_of(&site, &stream.id), [1]);
        stream.assert_goes_on(&site, &site.gateways[1]);
    }
}

#[test]
fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let mut site = GatewaySite::start(1);
    let streams = open_streams(&site, 4);
    restart_all_gateways(&mut site);
    site.engines
        .iter()
        .for_each(|engine| site.deregister(engine));
    site.add_engine("v2");
    thread::sleep(REGISTRATION_TIME);
    for stream in &streams {
        stream.assert_is_refused(&site, &site.gateways[0]);
    }
}

#[test]
fn a_stream_whose_version_cannot_be_read_is_refused_at_once() {
    let mut site = site_with_versions(1, &["v2"]);
    let streams = open_streams(&site, 4);
    restart_all_gateways(&mut site);
    control_all(&site, &json!({}));
    site.gateways[0].store_proxy.set_mode(ProxyMode::Reset);
    thread::sleep(Duration::from_millis(600));
    for stream in &streams {
        stream.assert_is_refused(&site, &site.gateways[0]);
    }
}

#[test]
fn a_stream_that_no_gateway_began_is_refused() {
    let site = site_with_versions(1, &["v2"]);
    let stream = BrokenStream {
        id: "unknown".to_string(),
        program: "program".to_string(),
        received: vec![String::new(); 2],
    };
    stream.assert_is_refused(&site, &site.gateways[0]);
}

#[test]
fn a_stream_without_a_program_goes_on_at_its_version() {
    let mut site = site_with_versions(2, &["v2"]);
    control_all(&site, &json!({ "stall_after_events": 4 }));
    let request = |id: &str| {
        let request = caller_request("POST", "/quote/a", id).body("how much");
        request.header("x-events", &EVENTS.to_string())
    };
    let mut streams = Vec::new();
    for index in 0..6 {
        let id = new_request_id();
        let gateway = &site.gateways[index % 2];
        let mut stream = request(&id).open(gateway.caller_address()).expect("open");
        next_events(&mut stream, 2);
        streams.push((id, stream));
    }
    restart_all_gateways(&mut site);
    control_all(&site, &json!({}));
    for (id, _) in &streams {
        let attempt_id = new_request_id();
        let request = request(&attempt_id).header("resumes", id);
        let request = request.header("last-event-id", "2");
        let address = site.gateways[0].caller_address();
        let mut stream = request.open(address).expect("an answer");
        assert_eq!(stream.status(), 200);
        stream.remaining_events().expect("a complete stream");
        assert_eq!(versions_of(&site, &attempt_id), versions_of(&site, id));
    }
}

#[test]
fn a_turn_is_not_stored_without_the_events_before_it_was_taken_up() {
    let mut site = GatewaySite::start(1);
    let mut routes = default_routes();
    let fields = json!({ "resumable": true, "serverHistory": true, "retentionS": 60.0,
                         "maxAttempts": 2 });
    let stored = route("/stored/", "streaming", ENGINE_SERVICE, fields);
    routes.as_array_mut().expect("routes").push(stored);
    site.configure(routes);
    thread::sleep(REGISTRATION_TIME);
    let (id, attempt_id) = (new_request_id(), new_request_id());
    control_all(&site, &json!({ "stall_after_events": 4 }));
    let first = Turn {
        path: "/stored/a",
        ..turn(&id, "program")
    };
    let mut stream = first.open(&site.gateways[0]).expect("an answer");
    next_events(&mut stream, 2);
    drop(stream);
    control_all(&site, &json!({}));
    let taken_up = Turn {
        path: "/stored/a",
        ..turn(&attempt_id, "program")
    };
    let request = taken_up.request().header("resumes", &id);
    let request = request.header("last-event-id", "2");
    let address = site.gateways[0].caller_address();
    let mut stream = request.open(address).expect("an answer");
    if stream.status() == 200 {
        stream.remaining_events().expect("a complete stream");
        let next_id = new_request_id();
        let next = Turn {
            path: "/stored/a",
            previous: Some(&attempt_id),
            input: "next",
            ..turn(&next_id, "program")
        };
        next.run(&site.gateways[0]);
        let run = &recorded_runs(&site.engines, &next_id)[0];
        let output = expected_stream_data("how much", EVENTS).join("\n");
        assert_eq!(run["body"], format!("how much{output}\nnext"));
    } else {
        assert_eq!(stream.status(), 503);
        assert!(recorded_runs(&site.engines, &attempt_id).is_empty());
    }
}

/// A site with a proxy for each gateway and server, where a program has begun at the first version,
/// and another version has come since then.
fn site_with_old_program(gateways: usize) -> GatewaySite {
    let mut site = GatewaySite::start_with_own_paths(&vec!["d1"; gateways]);
    turn(&new_request_id(), "program").run(&site.gateways[0]);
    site.add_engine("v2");
    site.add_engine("v2");
    site
}

/// Leaves a gateway only the engines of one version, counted from 0.
fn show_only(site: &GatewaySite, gateway: usize, version: usize) {
    for (index, engine) in site.engines.iter().enumerate() {
        if index / 2 != version {
            site.hide_from(&site.gateways[gateway], engine);
        }
    }
}

/// Engines of the first version send four events of a stream, those of the second one none.
fn stall_second_version_at_once(site: &GatewaySite) {
    for (index, engine) in site.engines.iter().enumerate() {
        let events = if index < 2 { 4 } else { 0 };
        let control = json!({ "stall_after_events": events });
        engine.process.control(&control);
    }
    thread::sleep(REGISTRATION_TIME);
}

fn register_all_engines(site: &GatewaySite) {
    for engine in &site.engines {
        site.register(engine, "ready");
    }
    control_all(site, &json!({}));
    thread::sleep(REGISTRATION_TIME);
}

/// Guards against a take-up at the version of a server that never answered: a peer that gets a new
/// stream by relay must know that its origin was recorded before.
#[test]
fn a_stream_that_a_peer_began_after_a_cut_goes_on_at_its_version() {
    let mut site = site_with_old_program(3);
    show_only(&site, 0, 1);
    show_only(&site, 1, 0);
    show_only(&site, 2, 0);
    stall_second_version_at_once(&site);
    let id = new_request_id();
    let mut stream = turn(&id, "program")
        .open(&site.gateways[0])
        .expect("an answer");
    cut_off(&site.gateways[0], Cut::Reset);
    let received = next_events(&mut stream, 2);
    assert_eq!(versions_of(&site, &id), [0]);
    site.gateways[0].kill();
    register_all_engines(&site);
    let stream = BrokenStream {
        id,
        program: "program".to_string(),
        received,
    };
    stream.assert_goes_on(&site, &site.gateways[1]);
}

/// Guards against the same after two relays: the first peer records an origin, loses its path as
/// well and does not take the request.
#[test]
fn a_stream_that_a_second_peer_began_goes_on_at_its_version() {
    let mut site = site_with_old_program(3);
    show_only(&site, 1, 1);
    show_only(&site, 2, 0);
    stall_second_version_at_once(&site);
    // The first peer becomes the only known helper.
    site.gateways[2].process().pause();
    cut_off(&site.gateways[0], Cut::Reset);
    find_out(&[&site.gateways[0]]);
    site.gateways[2].process().resume();
    cut_off(&site.gateways[1], Cut::Reset);
    let id = new_request_id();
    let mut stream = turn(&id, "program")
        .open(&site.gateways[0])
        .expect("an answer");
    let received = next_events(&mut stream, 2);
    assert_eq!(versions_of(&site, &id), [0]);
    site.gateways[0].kill();
    register_all_engines(&site);
    let stream = BrokenStream {
        id,
        program: "program".to_string(),
        received,
    };
    stream.assert_goes_on(&site, &site.gateways[2]);
}

/// Guards against the same beside gateways of earlier builds, which relay a stream without saying
/// that its origin may have been recorded.
#[test]
fn a_stream_relayed_by_an_earlier_build_does_not_go_on_at_another_version() {
    let site = site_with_old_program(2);
    show_only(&site, 0, 1);
    show_only(&site, 1, 0);
    stall_second_version_at_once(&site);
    let id = new_request_id();
    let relay_to = |gateway: &GatewayProcess| {
        let request = Turn {
            path: "/requests/quote/a",
            ..turn(&id, "program")
        };
        let request = request.request().header("x-attempts-left", "2");
        request.open(gateway.peer_address()).expect("an answer")
    };
    let silent = relay_to(&site.gateways[0]);
    let mut stream = relay_to(&site.gateways[1]);
    let received = next_events(&mut stream, 2);
    drop((silent, stream));
    register_all_engines(&site);
    let stream = BrokenStream {
        id,
        program: "program".to_string(),
        received,
    };
    stream.assert_is_refused(&site, &site.gateways[1]);
}

/// Guards against a first event from a version whose record is not durable, while a durable record
/// names another one.
#[test]
fn a_stream_without_a_program_does_not_change_its_version_while_the_store_is_away() {
    let mut site = GatewaySite::start(1);
    for engine in &site.engines {
        site.deregister(engine);
    }
    site.add_engine("v2");
    site.engines[2]
        .process
        .control(&json!({ "stall_after_events": 0 }));
    thread::sleep(REGISTRATION_TIME);
    let request = caller_request("POST", "/quote/a", &new_request_id()).body("how much");
    let request = request.header("x-events", &EVENTS.to_string());
    let address = site.gateways[0].caller_address();
    let mut stream = request.open(address).expect("an answer");
    assert_eq!(stream.status(), 200);
    site.deregister(&site.engines[2]);
    for engine in &site.engines[..2] {
        site.register(engine, "ready");
    }
    thread::sleep(REGISTRATION_TIME);
    site.gateways[0].store_proxy.set_mode(ProxyMode::Reset);
    let rest = stream.remaining_events();
    assert!(
        rest.is_err(),
        "{} events",
        rest.map_or(0, |rest| rest.len())
    );
}
