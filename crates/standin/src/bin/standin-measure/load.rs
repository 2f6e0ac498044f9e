//! Turns from many connections at once.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Connection;
use crate::site::{filler_text, run_body, runs_path, turn_body, turns_path};

/// Stack of a client thread, so that some hundred of them stay small.
const STACK_BYTES: usize = 256 << 10;

/// Runs `work` in `workers` threads and waits for all of them.
pub fn run_in_threads(workers: usize, work: impl Fn(usize) + Send + Sync + 'static) {
    let work = Arc::new(work);
    let threads: Vec<_> = (0..workers)
        .map(|worker| {
            let work = work.clone();
            let builder = thread::Builder::new().stack_size(STACK_BYTES);
            let thread = builder.spawn(move || work(worker));
            thread.expect("a thread can be started")
        })
        .collect();
    for thread in threads {
        thread.join().expect("a client thread failed");
    }
}

/// What the turns of a load have shown.
#[derive(Default)]
pub struct TurnResults {
    /// Times to the first token.
    pub first_token_times: Vec<Duration>,
    /// Tokens received.
    pub tokens: u64,
}

/// A load of turns, each worker with a conversation of its own.
#[derive(Clone)]
pub struct TurnLoad {
    /// Where the turns are sent.
    pub entry: SocketAddr,
    /// Connections.
    pub workers: usize,
    /// Output tokens of each turn.
    pub tokens: u32,
    /// How long new turns are started.
    pub duration: Duration,
    /// Turns a second of all workers together; `None` for one after the other.
    pub rate: Option<f64>,
}

impl TurnLoad {
    /// Starts the runs, calls `started`, and sends turns until the time is over.
    pub fn run<T: Send + Sync + 'static>(
        &self,
        name: &'static str,
        started: impl FnOnce() -> T + Send + 'static,
    ) -> (TurnResults, T) {
        let turns = Arc::new(Mutex::new(TurnResults::default()));
        let ready = Arc::new(std::sync::Barrier::new(self.workers + 1));
        let load = self.clone();
        let (shared, barrier) = (turns.clone(), ready.clone());
        let clients = thread::spawn(move || {
            let workers = load.workers;
            run_in_threads(workers, move |worker| {
                load.work(name, worker, &barrier, &shared);
            });
        });
        ready.wait();
        let state = started();
        ready.wait();
        clients.join().expect("the clients failed");
        let turns = std::mem::take(&mut *turns.lock().expect("no client failed"));
        (turns, state)
    }

    fn work(
        &self,
        name: &str,
        worker: usize,
        ready: &std::sync::Barrier,
        totals: &Mutex<TurnResults>,
    ) {
        let conversation = format!("{name}-{worker}");
        let mut connection = Connection::open(self.entry).expect("connect");
        let run = connection.post(&runs_path(&conversation), &run_body());
        run.expect("a run");
        let mut turns = TurnResults::default();
        ready.wait();
        ready.wait();
        let start = Instant::now();
        let interval = self.rate.map(|rate| self.workers as f64 / rate);
        for number in 0.. {
            if let Some(interval) = interval {
                let phase = worker as f64 / self.workers as f64;
                let due = Duration::from_secs_f64(interval * (f64::from(number) + phase));
                thread::sleep(due.saturating_sub(start.elapsed()));
            }
            if start.elapsed() >= self.duration {
                break;
            }
            let body = turn_body(&format!("t{number}"), "one turn", self.tokens);
            let timed = connection.post(&turns_path(&conversation), &body);
            let timed = timed.expect("a turn");
            timed.assert_token_count(self.tokens);
            turns.first_token_times.push(timed.first_token);
            turns.tokens += timed.tokens;
        }
        let mut totals = totals.lock().expect("no client failed");
        totals.first_token_times.extend(turns.first_token_times);
        totals.tokens += turns.tokens;
    }
}

/// Starts the programs `name-FROM..name-TO`, each with one turn of `input_bytes` bytes.
pub fn start_programs(
    entries: &[SocketAddr],
    name: &'static str,
    numbers: std::ops::Range<u64>,
    input_bytes: usize,
) {
    const WORKERS: usize = 256;
    let next = AtomicU64::new(numbers.start);
    let entries = entries.to_vec();
    run_in_threads(WORKERS, move |worker| {
        let entry = entries[worker % entries.len()];
        let mut connection = Connection::open(entry).expect("connect");
        let input = filler_text(input_bytes);
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= numbers.end {
                return;
            }
            let conversation = format!("{name}-{number}");
            let run = connection.post(&runs_path(&conversation), &run_body());
            run.expect("a run");
            let body = turn_body("t1", &input, 1);
            let turn = connection.post(&turns_path(&conversation), &body);
            turn.expect("a turn");
        }
    });
}
