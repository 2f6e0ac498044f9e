//! A small site: the store, the operator's configuration, and gateways as separate processes.

use std::fs::{self, File};
use std::io::{Result, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::net;
use crate::store::Store;

/// The command of the deploy file.
const GATEWAY: &str = "target/release/sapphireford-gateway";
pub const HOST: &str = "site.example";

/// Writes what is sent, answered and run to `record.txt`.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Result<Self> {
        let file = File::create(PathBuf::from(folder).join("record.txt"))?;
        Ok(Self {
            file: Mutex::new(file),
            started: Instant::now(),
        })
    }

    /// Seconds since the start of the script.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds(Instant::now()));
        let _ = std::io::stdout().write_all(line.as_bytes());
        self.write(&line);
    }

    /// Writes a line only to the file.
    pub fn detail(&self, at: Instant, text: &str) {
        self.write(&format!("{:8.3} {text}\n", self.seconds(at)));
    }

    fn write(&self, line: &str) {
        let mut file = self
            .file
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = file.write_all(line.as_bytes());
    }
}

/// The ids of the processes that run.
fn started_processes() -> MutexGuard<'static, Vec<u32>> {
    static IDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());
    IDS.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Ends this process, and those that it has started, if the case takes too long.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for id in started_processes().iter() {
            let _ = Command::new("kill")
                .arg("-KILL")
                .arg(id.to_string())
                .status();
        }
        eprintln!("the case took too long");
        std::process::exit(2);
    });
}

/// A gateway, which may be stopped; its addresses stay the same over restarts.
pub struct Gateway {
    pub name: String,
    folder: PathBuf,
    pub caller: SocketAddr,
    pub readiness: SocketAddr,
    child: Option<Child>,
}

/// An address with free ports. Each gateway has a loopback address of its own, so that no connection
/// that another process opens takes one of its ports.
fn free_addresses() -> Result<[SocketAddr; 5]> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let mut last_error = None;
    for _ in 0..100 {
        let number = NEXT.fetch_add(1, Ordering::SeqCst) + std::process::id() * 16;
        let ip = Ipv4Addr::new(127, 77, (number >> 8 & 127) as u8, (number & 255) as u8);
        let addresses = [7101, 7102, 7103, 7104, 7105].map(|port| SocketAddr::from((ip, port)));
        let listeners: Result<Vec<_>> = addresses.iter().map(TcpListener::bind).collect();
        match listeners {
            Ok(_) => return Ok(addresses),
            Err(error) => last_error = Some(error),
        }
    }
    Err(last_error.unwrap_or_else(|| std::io::Error::other("no free address")))
}

impl Gateway {
    /// Makes the settings of a gateway as the template of the deploy file does, and starts it.
    pub fn start(folder: &PathBuf, name: &str, store: SocketAddr) -> Result<Self> {
        let [caller, readiness, directory, peer, metrics] = free_addresses()?;
        let settings = format!(
            "{{\"entry_id\":\"{name}\",\"failure_domain\":\"zone-a\",\"caller_address\":\"{caller}\",\
             \"readiness_address\":\"{readiness}\",\"directory_address\":\"{directory}\",\
             \"peer_address\":\"{peer}\",\"metrics_address\":\"{metrics}\",\
             \"store_address\":\"{store}\",\"row_limit_bytes\":65536,\"shutdown_limit_s\":8,\
             \"lookup_lifetime_limit_s\":5}}"
        );
        fs::write(folder.join(format!("{name}.json")), settings)?;
        let mut gateway = Self {
            name: name.to_string(),
            folder: folder.clone(),
            caller,
            readiness,
            child: None,
        };
        gateway.restart()?;
        Ok(gateway)
    }

    /// Starts the process again, at the same addresses.
    pub fn restart(&mut self) -> Result<()> {
        let log = self.folder.join(format!("{}.log", self.name));
        let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
        let settings = self.folder.join(format!("{}.json", self.name));
        let child = Command::new(GATEWAY)
            .env_clear()
            .env("SAPPHIREFORD_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        started_processes().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let patience = Duration::from_secs(1);
        let headers = format!("Host: {HOST}\r\n");
        net::call(self.readiness, "GET", "/ready", &headers, b"", patience).status == 200
    }

    pub fn wait_until_ready(&self) -> bool {
        wait_until(Duration::from_secs(15), || self.is_ready())
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            started_processes().retain(|id| *id != child.id());
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn wait_until(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

/// A folder for settings and logs, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Result<Self> {
        let name = format!("sapphireford-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        Ok(Self(folder))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Writes the operator's configuration, with routes like those of the sites.
pub fn configure(store: &Store) {
    let config = "{\"version\":7,\"routes\":[\
        {\"name\":\"chat\",\"host\":\"site.example\",\"pathPrefix\":\"/chat/\",\"kind\":\"streaming\",\
         \"timeoutMs\":4000,\"targetLatencyMs\":200,\"priority\":0,\"service\":\"llm\",\"maxAttempts\":2,\
         \"serverHistory\":true,\"retentionS\":60.0,\"sticky\":true,\"resumable\":false,\"targetGapMs\":200},\
        {\"name\":\"quote\",\"host\":\"site.example\",\"pathPrefix\":\"/quote/\",\"kind\":\"streaming\",\
         \"timeoutMs\":4000,\"targetLatencyMs\":200,\"priority\":1,\"service\":\"llm\",\"maxAttempts\":2,\
         \"serverHistory\":false,\"retentionS\":60.0,\"sticky\":true,\"resumable\":true,\"targetGapMs\":200},\
        {\"name\":\"ping\",\"host\":\"site.example\",\"pathPrefix\":\"/ping/\",\"kind\":\"idempotent\",\
         \"timeoutMs\":1200,\"targetLatencyMs\":80,\"priority\":2,\"service\":\"app\",\"maxAttempts\":2},\
        {\"name\":\"book\",\"host\":\"site.example\",\"pathPrefix\":\"/book/\",\"kind\":\"non_idempotent\",\
         \"timeoutMs\":2000,\"targetLatencyMs\":200,\"priority\":2,\"service\":\"app\",\"maxAttempts\":1}],\
        \"services\":[{\"name\":\"llm\",\"healthPath\":\"/healthz\",\"maxConnections\":160,\"protocol\":\"h1\",\
         \"tls\":false,\"runtime\":{\"slots\":16,\"kvCapacity\":116159,\"chunkTokens\":9,\"models\":[{\"name\":\"m\"}]}},\
        {\"name\":\"app\",\"healthPath\":\"/healthz\",\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}],\
        \"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    store.put("op", "config", config);
}
