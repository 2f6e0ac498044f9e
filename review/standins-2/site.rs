//! A small deployment on loopback: the store, servers and nodes.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Headers, Request};
use crate::store::{Door, Store};

/// Host of all routes.
pub const HOST: &str = "site.example";
pub const ZONE: &str = "brasov-a";

/// Lines with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    pub fn at(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        println!("{:8.3} {text}", self.at());
    }
}

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub request_id: String,
    pub server_id: String,
    pub service: String,
    pub at: f64,
}

/// All runs of all servers.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A server of a service without models.
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    born: u64,
    seq: AtomicU64,
    pub is_leaving: Arc<AtomicBool>,
}

impl Server {
    pub fn start(id: &str, service: &str, work_ms: u64, runs: Runs, record: &Record) -> Self {
        let is_leaving = Arc::new(AtomicBool::new(false));
        let (own_id, own_service) = (id.to_string(), service.to_string());
        let (leaving, record) = (is_leaving.clone(), record.clone());
        let address = http::serve("127.0.0.1:0", move |request: Request, _| {
            let text = |name| {
                http::header(&request.headers, name)
                    .unwrap_or_default()
                    .to_string()
            };
            let request_id = text("request-id");
            let mut headers: Headers = vec![
                ("request-id".into(), request_id.clone()),
                ("instance-id".into(), own_id.clone()),
                ("server-load".into(), "1,0,16".into()),
                ("keep-alive".into(), "timeout=10".into()),
            ];
            if text("expect-instance") != own_id {
                headers.push(("not-executed".into(), "1".into()));
                return Answer::Full(421, headers, Vec::new());
            }
            runs.lock().expect("no thread has panicked").push(Run {
                request_id: request_id.clone(),
                server_id: own_id.clone(),
                service: own_service.clone(),
                at: record.at(),
            });
            thread::sleep(Duration::from_millis(work_ms));
            if leaving.load(Ordering::SeqCst) {
                headers.push(("server-leaving".into(), "1".into()));
            }
            headers.push(("server-signature".into(), format!("{own_id}.{request_id}")));
            Answer::Full(200, headers, request_id.into_bytes())
        });
        let since_epoch = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
        Self {
            id: id.to_string(),
            service: service.to_string(),
            address,
            born: since_epoch.as_millis() as u64,
            seq: AtomicU64::new(0),
            is_leaving,
        }
    }

    /// The entry of the next heartbeat.
    pub fn next_entry(&self) -> String {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{ZONE}\",\"version\":\"v1\",\"slots\":16,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"seq\":{seq},\"born\":{}}}",
            self.service, self.address, self.born
        )
    }

    pub fn seq(&self) -> u64 {
        self.seq.load(Ordering::SeqCst)
    }

    pub fn beat(&self, store: &Store) {
        store.put("servers", &self.id, Some(&self.next_entry()));
    }
}

/// A route of the configuration.
pub fn route(prefix: &str, kind: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"r{}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeoutMs\":2000,\"targetLatencyMs\":200,\"priority\":0,\"service\":\"{service}\",\"maxAttempts\":2}}",
        prefix.replace('/', "-")
    )
}

/// Writes a configuration.
pub fn configure(
    store: &Store,
    version: u64,
    routes: &[String],
    services: &[&str],
    max_body_bytes: u64,
) {
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConnections\":96}}")
        })
        .collect();
    let value = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":{max_body_bytes},\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    );
    store.put("op", "config", Some(&value));
}

/// A gateway process.
pub struct Node {
    pub name: String,
    child: Child,
    pub caller_address: SocketAddr,
    readiness_address: SocketAddr,
    pub door: Door,
}

/// A free port below those that the system gives to connections.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let first = u64::from(std::process::id()) * 17 % 19_000;
    loop {
        let port = 10_000 + (first + NEXT.fetch_add(1, Ordering::SeqCst)) % 20_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Node {
    /// Starts the program of the deploy file with settings from its template.
    pub fn start(name: &str, store: &Store, folder: &PathBuf) -> Self {
        let door = store.open_door();
        let [caller, readiness, directory, peer, metrics] = [(); 5].map(|()| free_address());
        let settings = format!(
            "{{\"entry_id\":\"{name}\",\"failure_domain\":\"{ZONE}\",\"caller_address\":\"{caller}\",\
             \"readiness_address\":\"{readiness}\",\"directory_address\":\"{directory}\",\
             \"peer_address\":\"{peer}\",\"metrics_address\":\"{metrics}\",\"store_address\":\"{}\",\
             \"row_limit_bytes\":65536,\"shutdown_limit_s\":8,\"lookup_lifetime_limit_s\":5}}",
            door.address
        );
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the settings can be written");
        let log =
            fs::File::create(folder.join(format!("{name}.log"))).expect("the log can be written");
        let child = Command::new("target/release/sapphireford-gateway")
            .env("SAPPHIREFORD_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn();
        Self {
            name: name.to_string(),
            child: child
                .unwrap_or_else(|error| cannot_run(&format!("the gateway did not start: {error}"))),
            caller_address: caller,
            readiness_address: readiness,
            door,
        }
    }

    pub fn wait_until_ready(&self) {
        let give_up_at = Instant::now() + Duration::from_secs(15);
        while Instant::now() < give_up_at {
            let host = [("host", "node".to_string())];
            let second = Duration::from_secs(1);
            let reply = http::call(
                self.readiness_address,
                "GET",
                "/ready",
                &host,
                b"",
                Duration::ZERO,
                second,
            );
            if reply.is_ok_and(|reply| reply.status == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        cannot_run("a gateway did not become ready");
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Node {
    /// Asks the process to stop (SIGTERM).
    pub fn terminate(&self) {
        let id = self.child.id().to_string();
        let ended = Command::new("kill").args(["-TERM", &id]).status();
        if !ended.is_ok_and(|status| status.success()) {
            cannot_run("the signal was not sent");
        }
    }
}

/// Ends the case as one that could not run.
pub fn cannot_run(reason: &str) -> ! {
    println!("the case could not run: {reason}");
    // A panic drops the nodes, which ends their processes.
    std::panic::panic_any(2_i32)
}

/// A folder of this process for settings and logs.
pub fn make_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("sapphireford-review-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the temporary folder can be made");
    folder
}
