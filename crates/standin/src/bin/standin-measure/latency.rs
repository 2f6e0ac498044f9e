//! Latency that an entry adds to a model call.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::client::{Connection, TimedAnswer};
use crate::process::{conditions, p50_and_p99_ms};
use crate::site;

const CALL_COUNT: usize = 120;
const TOKENS_PER_TURN: u32 = 40;
const DECODE_MS: f64 = 2.0;
/// Delay between the start of a run and its turn. Longer than the interval between commits, so that
/// the turn does not wait for the commit of the run.
const TURN_DELAY: Duration = Duration::from_millis(120);

/// Compares calls sent directly to the engine, to the lease holder, and to another entry that
/// forwards them. The three kinds of calls alternate.
pub fn measure() {
    let site = site::start(3, 1, DECODE_MS, json!({}));
    let mut direct = Series::new("direct", site.engines[0].address());
    let mut entries: Vec<Connection> = (0..3)
        .map(|entry| {
            Connection::open(site.entry_address(entry)).expect("the server accepts connections")
        })
        .collect();
    let mut lease_holder = Series::new("holder", site.entry_address(0));
    let mut forwarded = Series::new("forwarded", site.entry_address(0));
    for number in 0..CALL_COUNT {
        direct.call("/v1/chat/completions", &direct_body(number));
        for (series, is_forwarded) in [(&mut lease_holder, false), (&mut forwarded, true)] {
            let conversation = format!("{}-{number}", series.name);
            let run = entries[0].post(&site::runs_path(&conversation), &site::run_body());
            run.expect("the run starts");
            let holder = site
                .lease_holder_of("team-one", &conversation)
                .expect("the slot has a lease holder");
            let entry = (holder + usize::from(is_forwarded)) % entries.len();
            thread::sleep(TURN_DELAY);
            let body = site::turn_body("t1", "one turn", TOKENS_PER_TURN);
            let timed = entries[entry].post(&site::turns_path(&conversation), &body);
            series.push(timed.expect("the turn succeeds"));
        }
    }
    for series in [direct, lease_holder, forwarded] {
        series.print();
    }
}

fn direct_body(number: usize) -> Value {
    json!({
        "model": "small", "max_tokens": TOKENS_PER_TURN, "stream": true,
        "cache_key": format!("direct-{number}"),
        "messages": [
            { "role": "system", "content": "You help." },
            { "role": "user", "content": "one turn" },
        ],
    })
}

struct Series {
    name: &'static str,
    connection: Connection,
    first_token_times: Vec<Duration>,
    total_times: Vec<Duration>,
}

impl Series {
    fn new(name: &'static str, address: SocketAddr) -> Self {
        Self {
            name,
            connection: Connection::open(address).expect("the server accepts connections"),
            first_token_times: Vec::new(),
            total_times: Vec::new(),
        }
    }

    fn call(&mut self, path: &str, body: &Value) {
        let timed = self.connection.post(path, body).expect("the call succeeds");
        self.push(timed);
    }

    fn push(&mut self, timed: TimedAnswer) {
        timed.assert_token_count(TOKENS_PER_TURN);
        self.first_token_times.push(timed.first_token);
        self.total_times.push(timed.total);
    }

    fn print(mut self) {
        let (first_p50, first_p99) = p50_and_p99_ms(&mut self.first_token_times);
        let (total_p50, total_p99) = p50_and_p99_ms(&mut self.total_times);
        println!(
            "{:9} calls {CALL_COUNT}, first token p50 {first_p50:.2} ms p99 {first_p99:.2} ms, \
             whole call p50 {total_p50:.2} ms p99 {total_p99:.2} ms ({})",
            self.name,
            conditions()
        );
    }
}
