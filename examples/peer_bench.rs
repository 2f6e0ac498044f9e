//! Measures requests between two entries on loopback: the latency of sequential requests, then the
//! throughput and latency of concurrent ones.
//!
//! Each entry has two threads, as in a process of its own. The constants below limit the load.

#[path = "../tests/support/peers.rs"]
mod support;

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use sapphireford::connection::body::Body;
use sapphireford::connection::peer::messages::{
    ForwardHead, ForwardRequest, PeerRequest, PeerResponse,
};
use sapphireford::connection::peer::{PeerHandler, Peers, serve};
use sapphireford::ids::EntryId;
use support::{Site, run};

const BODY_BYTES: usize = 300;
const WARM_UP_REQUESTS: usize = 500;
const SEQUENTIAL_REQUESTS: usize = 5_000;
const CONCURRENT_TASKS: usize = 32;
const CONCURRENT_DURATION: Duration = Duration::from_secs(3);

struct EchoHandler;

impl PeerHandler for EchoHandler {
    async fn call(&self, _from: EntryId, _request: PeerRequest) -> PeerResponse {
        PeerResponse::Refused("not measured".to_string())
    }

    async fn forward(&self, _from: EntryId, request: ForwardRequest) -> (ForwardHead, Body) {
        let head = ForwardHead {
            status: 200,
            headers: Vec::new(),
        };
        (head, Body::full(request.body))
    }
}

fn main() {
    let site = Arc::new(Site::new());
    let (address_sender, address) = std::sync::mpsc::channel();
    let server_site = site.clone();
    std::thread::spawn(move || {
        run(async |timer| {
            let endpoint = server_site.open_endpoint("entry-2", &timer);
            let _server = serve(&endpoint, Rc::new(EchoHandler));
            address_sender.send(endpoint.address().unwrap()).unwrap();
            std::future::pending::<()>().await;
        })
    });
    let address = address.recv().unwrap();
    run(async |timer| {
        let client = Client {
            peers: Peers::new(site.open_endpoint("entry-1", &timer)),
            address,
        };
        measure_sequential(&client).await;
        measure_concurrent(&client).await;
    });
}

#[derive(Clone)]
struct Client {
    peers: Peers,
    address: std::net::SocketAddr,
}

impl Client {
    async fn request(&self) {
        let request = ForwardRequest {
            method: "POST".to_string(),
            path: "/v1/conversations/c/runs/1/tool-calls".to_string(),
            team_id: "team".into(),
            headers: Vec::new(),
            body: Bytes::from_static(&[b'x'; BODY_BYTES]),
        };
        let id = "entry-2".into();
        let (_, mut body) = self
            .peers
            .forward(self.address, &id, request)
            .await
            .unwrap();
        let mut bytes = 0;
        while let Some(chunk) = body.next().await {
            bytes += chunk.unwrap().len();
        }
        assert_eq!(bytes, BODY_BYTES);
    }
}

async fn measure_sequential(client: &Client) {
    for _ in 0..WARM_UP_REQUESTS {
        client.request().await;
    }
    let mut latencies = Histogram::<u64>::new(3).unwrap();
    for _ in 0..SEQUENTIAL_REQUESTS {
        let start = Instant::now();
        client.request().await;
        latencies
            .record(start.elapsed().as_micros() as u64)
            .unwrap();
    }
    println!(
        "one at a time: {SEQUENTIAL_REQUESTS} requests, p50 {} us, p99 {} us, max {} us",
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        latencies.max()
    );
}

async fn measure_concurrent(client: &Client) {
    let (start, cpu_start) = (Instant::now(), cpu_time());
    let tasks: Vec<_> = (0..CONCURRENT_TASKS)
        .map(|_| {
            let client = client.clone();
            monoio::spawn(async move {
                let mut latencies = Histogram::<u64>::new(3).unwrap();
                while start.elapsed() < CONCURRENT_DURATION {
                    let start = Instant::now();
                    client.request().await;
                    latencies
                        .record(start.elapsed().as_micros() as u64)
                        .unwrap();
                }
                latencies
            })
        })
        .collect();
    let mut latencies = Histogram::<u64>::new(3).unwrap();
    for task in tasks {
        latencies.add(task.await).unwrap();
    }
    let requests = latencies.len();
    let cpu = cpu_time() - cpu_start;
    println!(
        "{CONCURRENT_TASKS} at once: {:.0} requests a second, p50 {} us, p99 {} us, {:.0} us of CPU \
         time a request (both entries, all four threads)",
        requests as f64 / start.elapsed().as_secs_f64(),
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
        cpu.as_micros() as f64 / requests as f64
    );
}

/// Returns the CPU time of all threads of this process.
fn cpu_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap()
        .split_whitespace()
        .collect();
    // Fields 14 and 15 are the user and system time, in ticks of 10 ms.
    let ticks: u64 = fields[11..13]
        .iter()
        .map(|field| field.parse::<u64>().unwrap())
        .sum();
    Duration::from_millis(ticks * 10)
}
