//! Load generators: turns and programs from many connections at once.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Connection;
use crate::site::{filler_text, run_body, runs_path, turn_body, turns_path};

/// Stack of a client thread; small, because there are hundreds of them.
const STACK_BYTES: usize = 256 << 10;

/// Runs `work` in `workers` threads, each with its index, and waits for all of them.
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
        thread.join().expect("no client thread panicked");
    }
}

/// Results of all turns of a load.
#[derive(Default)]
pub struct TurnResults {
    /// Time from request to first token of each turn.
    pub first_token_times: Vec<Duration>,
    /// Number of tokens received.
    pub tokens: u64,
}

/// A load of turns. Each worker has a connection and a conversation of its own.
#[derive(Clone)]
pub struct TurnLoad {
    /// Address of the entry that all turns are sent to.
    pub entry: SocketAddr,
    /// Number of connections and threads.
    pub workers: usize,
    /// Output tokens of each turn.
    pub tokens: u32,
    /// Time during which turns are started; those in flight at its end are finished.
    pub duration: Duration,
    /// Turns per second over all workers, evenly spaced; with `None` each worker sends its next
    /// turn as soon as the last is finished.
    pub rate: Option<f64>,
}

impl TurnLoad {
    /// Starts a run for each worker, calls `started` once all runs have started, and then sends
    /// turns for `duration`. Returns the results and the value of `started`. Conversations are
    /// named `name-WORKER`.
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
        clients.join().expect("no client panicked");
        let turns = std::mem::take(&mut *turns.lock().expect("no client panicked"));
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
        let mut connection = Connection::open(self.entry).expect("the entry accepts connections");
        let run = connection.post(&runs_path(&conversation), &run_body());
        run.expect("the run starts");
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
            let timed = timed.expect("the turn succeeds");
            timed.assert_token_count(self.tokens);
            turns.first_token_times.push(timed.first_token);
            turns.tokens += timed.tokens;
        }
        let mut totals = totals.lock().expect("no client panicked");
        totals.first_token_times.extend(turns.first_token_times);
        totals.tokens += turns.tokens;
    }
}

/// Starts a program in each conversation `name-NUMBER` and sends it one turn with an input of about
/// `input_bytes` bytes, from 256 threads that share the entries evenly.
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
        let mut connection = Connection::open(entry).expect("the entry accepts connections");
        let input = filler_text(input_bytes);
        loop {
            let number = next.fetch_add(1, Ordering::Relaxed);
            if number >= numbers.end {
                return;
            }
            let conversation = format!("{name}-{number}");
            let run = connection.post(&runs_path(&conversation), &run_body());
            run.expect("the run starts");
            let body = turn_body("t1", &input, 1);
            let turn = connection.post(&turns_path(&conversation), &body);
            turn.expect("the turn succeeds");
        }
    });
}
