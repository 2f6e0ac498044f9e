//! A site of entries on loopback, with stand-ins for the platform, engines, tools and a service.
//!
//! Each site has an IP address of its own in 127.0.0.0/8, derived from the process id and a
//! counter. Sites of tests that run at the same time therefore share no ports (for the exceptions
//! see `next_ip`), and an entry keeps its ports over a restart.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use sapphireford::process::rows::SLOT_PREFIX;
use sapphireford::process::slots::placement::preferred;
use serde_json::{Value, json};

use super::entry_state;
use super::process::binary_path;
use super::{Answer, EventStream, HttpRequest, Process, wait_until};

/// Key of the team `team-one` of every site.
pub const TEAM_ONE_KEY: &str = "team-one-key";
/// Key of the team `team-two` of every site.
pub const TEAM_TWO_KEY: &str = "team-two-key";
/// Key of the operator of every site.
pub const OPERATOR_KEY: &str = "operator-key";

/// Time within which all entries of a site are ready and the slots are balanced.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// HTTP port of entry 0; each further entry has the next port. Peers use the same port by UDP.
const FIRST_ENTRY_PORT: u16 = 9_000;

static NEXT_SITE: AtomicU8 = AtomicU8::new(1);

/// The processes of a site, their arguments and settings.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// Number of entries; 3 by default.
    pub entries: usize,
    /// Number of engines; 2 by default.
    pub engines: usize,
    /// Command-line arguments of each engine besides `--listen`.
    pub engine_arguments: Vec<String>,
    /// Command-line arguments of the platform besides `--listen`.
    pub platform_arguments: Vec<String>,
    /// Command-line arguments of [`Site::tool`] besides `--listen`.
    pub tool_arguments: Vec<String>,
    /// Overrides settings of all entries, for instance to shorten intervals and timeouts.
    pub settings: Value,
    /// Overrides the base configuration; applied as the second file of the folder.
    pub config: Value,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            entries: 3,
            engines: 2,
            engine_arguments: ["--decode-ms", "2"].map(String::from).to_vec(),
            platform_arguments: ["--weights-per-second", "0"].map(String::from).to_vec(),
            tool_arguments: Vec::new(),
            settings: json!({}),
            config: json!({}),
        }
    }
}

/// A running site. Dropping it kills all processes.
pub struct Site {
    /// The platform with the store; it keeps running when entries are killed.
    pub platform: Process,
    /// The backend servers `engine-0`, `engine-1`, ... of the configuration.
    pub engines: Vec<Process>,
    /// Serves the tools `book` (not idempotent, with a status query) and `search` (idempotent).
    pub tool: Process,
    /// Serves the tool `charge` (not idempotent, without a status query).
    pub tool_without_status: Process,
    /// Serves the service `orders`.
    pub service: Process,
    entries: Vec<Option<Process>>,
    folder: PathBuf,
    ip: Ipv4Addr,
    /// Overrides settings of all entries.
    settings: Value,
    /// Overrides settings of single entries, by index; takes precedence over `settings`.
    entry_overrides: Vec<Value>,
}

impl Site {
    /// Starts a site with the default options.
    pub fn start() -> Self {
        Self::with_options(SiteOptions::default())
    }

    /// Starts a site and waits until it is ready, see [`Site::wait_until_ready`].
    pub fn with_options(options: SiteOptions) -> Self {
        let ip = next_ip();
        let folder = std::env::temp_dir().join(format!("sapphireford-test-{ip}"));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be created");
        let listen = format!("{ip}:0");
        let listen = ["--listen", listen.as_str()];
        let platform_arguments = options.platform_arguments.iter().map(String::as_str);
        let platform_arguments: Vec<&str> = listen.into_iter().chain(platform_arguments).collect();
        let platform = Process::start("standin-platform", &platform_arguments);
        let engine_arguments = options.engine_arguments.iter().map(String::as_str);
        let engine_arguments: Vec<&str> = listen.into_iter().chain(engine_arguments).collect();
        let engines = (0..options.engines)
            .map(|_| Process::start("standin-engine", &engine_arguments))
            .collect();
        let tool_arguments = options.tool_arguments.iter().map(String::as_str);
        let tool_arguments: Vec<&str> = listen.into_iter().chain(tool_arguments).collect();
        let tool = Process::start("standin-tool", &tool_arguments);
        let without_status_arguments = [&listen[..], &["--no-status-query"]].concat();
        let tool_without_status = Process::start("standin-tool", &without_status_arguments);
        let service = Process::start("standin-service", &listen);
        let mut site = Self {
            platform,
            engines,
            tool,
            tool_without_status,
            service,
            entries: (0..options.entries).map(|_| None).collect(),
            folder,
            ip,
            settings: options.settings,
            entry_overrides: vec![json!({}); options.entries],
        };
        site.make_certificates();
        site.apply(0, &[site.base_config(), options.config]);
        for index in 0..options.entries {
            site.start_entry(index);
        }
        site.wait_until_ready();
        site
    }

    /// The entries that are running, in the order of their indexes.
    pub fn running_entries(&self) -> impl Iterator<Item = &Process> {
        self.entries.iter().flatten()
    }

    /// The process of a running entry; panics if the entry has been killed.
    pub fn entry(&mut self, index: usize) -> &mut Process {
        self.entries[index].as_mut().expect("the entry is running")
    }

    /// The HTTP address of an entry, which need not be running.
    pub fn entry_address(&self, index: usize) -> SocketAddr {
        self.client().entry_address(index)
    }

    /// Overrides settings of one entry; takes effect when the entry is started the next time.
    pub fn set_entry_settings(&mut self, index: usize, settings: Value) {
        self.entry_overrides[index] = settings;
    }

    /// Number of entries, running or not.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Starts or restarts an entry; returns once it listens, before it is ready.
    pub fn start_entry(&mut self, index: usize) {
        let path = self.folder.join(format!("entry-{index}.json"));
        std::fs::write(&path, self.entry_settings(index).to_string())
            .expect("the settings file can be written");
        let path = path.display().to_string();
        let level = std::env::var("SAPPHIREFORD_TEST_LOG").unwrap_or_else(|_| "error".to_string());
        let arguments = ["--settings", path.as_str(), "--log-level", level.as_str()];
        self.entries[index] = Some(Process::start("sapphireford-entry", &arguments));
    }

    /// Kills an entry with SIGKILL; does nothing if it is not running.
    pub fn kill_entry(&mut self, index: usize) {
        if let Some(mut process) = self.entries[index].take() {
            process.kill();
        }
    }

    /// Waits until all running entries are ready, each slot is held by its preferred entry and all
    /// engines have their models. From then on no slot moves until an entry starts or stops.
    pub fn wait_until_ready(&self) {
        let ready = wait_until(READY_TIMEOUT, || {
            let held_slots: Option<u64> = self
                .running_entries()
                .map(|entry| slots_held(entry.address()))
                .sum();
            held_slots == Some(self.slot_count())
                && self.is_balanced()
                && self.engines_have_models()
        });
        assert!(
            ready,
            "the site did not become ready within {READY_TIMEOUT:?}"
        );
    }

    /// Whether the lease of each slot is held by the running entry that placement prefers for it.
    fn is_balanced(&self) -> bool {
        let running = (0..self.entries.len()).filter(|index| self.entries[*index].is_some());
        let running: Vec<String> = running.map(|index| format!("entry-{index}")).collect();
        let rows = entry_state::scan(self.platform.address(), SLOT_PREFIX);
        rows.iter().all(|row| {
            let row = &row["value"];
            let slot = row["slot"].as_u64().unwrap_or_default() as u32;
            let ids = running.iter().map(String::as_str);
            preferred(slot, ids) == row["holder"]["entry_id"].as_str()
        })
    }

    /// Whether all orders to load models have been carried out. A test that injects commit faults
    /// would otherwise hit the commit of such an order instead of the one it means.
    fn engines_have_models(&self) -> bool {
        let rows = entry_state::scan(self.platform.address(), "orders/");
        rows.len() >= self.engines.len() && rows.iter().all(|row| row["value"]["holder"].is_null())
    }

    /// Reads `/v1/operator/status` of an entry; `None` if it does not answer with 200 within 2 s.
    pub fn status(&self, address: SocketAddr) -> Option<Value> {
        operator_status(address)
    }

    /// Index of the entry that holds the lease of a conversation's slot, according to the slot row
    /// in the store; `None` if nobody holds it.
    pub fn lease_holder_of(&self, team: &str, conversation: &str) -> Option<usize> {
        let key = sapphireford::ids::ConversationKey {
            team_id: team.into(),
            conversation_id: conversation.into(),
        };
        let count = self.slot_count() as u32;
        let slot = sapphireford::process::slots::placement::slot_of(&key, count);
        let key = sapphireford::process::rows::slot_key(slot);
        let row = entry_state::read(self.platform.address(), &key);
        let holder = row["value"]["holder"]["entry_id"].as_str()?;
        holder.strip_prefix("entry-")?.parse().ok()
    }

    /// Applies a configuration on the condition that the current version is `expect`; panics on
    /// failure. Each file overrides the ones before it.
    pub fn apply(&self, expect: u64, files: &[Value]) {
        let output = self.try_apply(expect, files, &[]);
        assert!(
            output.status.success(),
            "`sapphireford-admin apply` failed: {output:?}"
        );
    }

    /// Runs `sapphireford-admin apply` with further arguments and returns its output, also on
    /// failure.
    pub fn try_apply(
        &self,
        expect: u64,
        files: &[Value],
        arguments: &[&str],
    ) -> std::process::Output {
        static NEXT_FOLDER: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let folder = self.folder.join(format!("config-{number}"));
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        for (index, file) in files.iter().enumerate() {
            let path = folder.join(format!("{index:02}.json"));
            std::fs::write(path, file.to_string()).expect("the configuration file can be written");
        }
        let folder = folder.display().to_string();
        let expect = expect.to_string();
        let command = ["apply", &folder, "--expect", &expect, "--author", "test"];
        let command = [&command[..], &["--reason", "test"], arguments].concat();
        self.admin(&command)
    }

    /// Runs `sapphireford-admin` with the platform and the operator key of this site.
    pub fn admin(&self, arguments: &[&str]) -> std::process::Output {
        let platform = self.platform.address().to_string();
        let mut command = Command::new(binary_path("sapphireford-admin"));
        // These commands need no platform and reject the option.
        if !matches!(arguments[0], "certificates" | "check" | "key") {
            command.args(["--platform", platform.as_str()]);
        }
        command
            .args(arguments)
            .env("SAPPHIREFORD_OPERATOR_KEY", OPERATOR_KEY)
            .output()
            .expect("sapphireford-admin can be started")
    }

    /// The configuration that every site starts with, before the overrides of its options.
    pub fn base_config(&self) -> Value {
        let engines = self.engines.iter().enumerate().map(|(index, engine)| { let server = json!({ "address": engine.address(), "failure_domain": format!("domain-{}", index % 3), "models": ["small"], "max_concurrent_calls": 8, "cache_tokens": 100_000 }); (format!("engine-{index}"), server) });
        let engines: serde_json::Map<String, Value> = engines.collect();
        let tool = |address: SocketAddr, idempotent: bool, has_status_query: bool| json!({ "address": address, "price_limit_micros": 1_000, "time_limit_ms": 1_000, "idempotent": idempotent, "has_status_query": has_status_query });
        let program = |team: &str| json!({ "team": team, "model": "small", "budget_micros": 1_000_000, "tools": ["book", "search", "charge"], "max_calls": 1_000, "max_sub_agents": 8, "max_depth": 2, "system_prompt": "You help." });
        json!({ "teams": { "team-one": { "key_sha256": sha256(TEAM_ONE_KEY) }, "team-two": { "key_sha256": sha256(TEAM_TWO_KEY) } }, "operators": { "operator": { "key_sha256": sha256(OPERATOR_KEY) } }, "models": { "small": { "prompt_micros_per_1k_tokens": 1_000, "output_micros_per_1k_tokens": 4_000, "context_tokens": 100_000 } }, "backend_servers": engines, "tools": { "book": tool(self.tool.address(), false, true), "search": tool(self.tool.address(), true, true), "charge": tool(self.tool_without_status.address(), false, false) }, "services": { "orders": { "addresses": [self.service.address()], "time_limit_ms": 1_000, "routes": [ { "method": "GET", "path_prefix": "/", "repeatable": true }, { "method": "POST", "path_prefix": "/", "repeatable": false } ] } }, "programs": { "assistant": program("team-one"), "advice": program("team-two") } })
    }

    /// Creates a client of `team-one`. It does not borrow the site, so it can be used while a test
    /// starts and kills processes.
    pub fn client(&self) -> SiteClient {
        SiteClient { ip: self.ip }
    }

    /// Sends a POST request of `team-one`; see [`SiteClient::post`].
    pub fn post(&self, entry: usize, path: &str, body: &Value) -> std::io::Result<Answer> {
        self.client().post(entry, path, body)
    }

    /// Sends a POST request of `team-one` with a streamed answer; see [`SiteClient::open`].
    pub fn open(&self, entry: usize, path: &str, body: &Value) -> std::io::Result<EventStream> {
        self.client().open(entry, path, body)
    }

    /// Sends a GET request of `team-one`; see [`SiteClient::get`].
    pub fn get(&self, entry: usize, path: &str) -> std::io::Result<Answer> {
        self.client().get(entry, path)
    }

    /// `slot_count` in the settings of all entries.
    pub fn slot_count(&self) -> u64 {
        self.settings["slot_count"]
            .as_u64()
            .unwrap_or(DEFAULT_SLOT_COUNT)
    }

    fn make_certificates(&self) {
        let folder = self.folder.join("certificates").display().to_string();
        let ids: Vec<String> = (0..self.entries.len())
            .map(|n| format!("entry-{n}"))
            .collect();
        let mut arguments = vec!["certificates", folder.as_str()];
        for id in &ids {
            arguments.extend(["--entry", id.as_str()]);
        }
        let output = self.admin(&arguments);
        assert!(
            output.status.success(),
            "`sapphireford-admin certificates` failed: {output:?}"
        );
    }

    fn entry_settings(&self, index: usize) -> Value {
        let certificates = self.folder.join("certificates");
        let mut settings = json!({ "entry_id": format!("entry-{index}"), "failure_domain": format!("domain-{}", index % 3), "http_address": self.entry_address(index), "peer_address": self.entry_address(index), "platform_address": self.platform.address(), "peer_certificate": certificates.join(format!("entry-{index}.pem")), "peer_key": certificates.join(format!("entry-{index}.key")), "peer_authority": certificates.join("authority.pem"), "slot_count": DEFAULT_SLOT_COUNT, "abort_on_violation": true });
        for overrides in [&self.settings, &self.entry_overrides[index]] {
            if let (Some(settings), Some(overrides)) =
                (settings.as_object_mut(), overrides.as_object())
            {
                settings.extend(overrides.clone());
            }
        }
        settings
    }
}

/// Sends requests of `team-one` to the entries of a site.
#[derive(Clone, Copy, Debug)]
pub struct SiteClient {
    ip: Ipv4Addr,
}

impl SiteClient {
    /// The HTTP address of an entry, which need not be running.
    pub fn entry_address(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.ip, FIRST_ENTRY_PORT + index as u16))
    }

    /// Sends a POST request. `path` follows `/v1/conversations/` and starts with the conversation
    /// id, as in the other methods.
    pub fn post(&self, entry: usize, path: &str, body: &Value) -> std::io::Result<Answer> {
        self.request(path, body).send(self.entry_address(entry))
    }

    /// Sends a POST request and returns after the head of the answer, for instance of a turn.
    pub fn open(&self, entry: usize, path: &str, body: &Value) -> std::io::Result<EventStream> {
        self.request(path, body).open(self.entry_address(entry))
    }

    /// Sends a GET request and reads the whole answer.
    pub fn get(&self, entry: usize, path: &str) -> std::io::Result<Answer> {
        let path = format!("/v1/conversations/{path}");
        HttpRequest::get(&path)
            .bearer(TEAM_ONE_KEY)
            .send(self.entry_address(entry))
    }

    fn request(&self, path: &str, body: &Value) -> HttpRequest {
        HttpRequest::post(&format!("/v1/conversations/{path}"))
            .bearer(TEAM_ONE_KEY)
            .json(body)
    }
}

/// Fewer slots than in production, so that a site starts quickly.
const DEFAULT_SLOT_COUNT: u64 = 32;

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns a loopback address for a site or a gateway: the second and third octets come from the
/// process id, the last one from a counter.
///
/// Addresses are not unique between processes whose ids are equal in the lowest 15 bits, nor after
/// the first 254 addresses of a process.
pub(super) fn next_ip() -> Ipv4Addr {
    let pid = std::process::id();
    let site = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
    // The second octet is odd, so that no address is in 127.0.0.0/16. The last one is not 0 or 255.
    Ipv4Addr::new(127, (pid >> 7) as u8 | 1, pid as u8, site.clamp(1, 254))
}

fn operator_status(address: SocketAddr) -> Option<Value> {
    let request = HttpRequest::get("/v1/operator/status").bearer(OPERATOR_KEY);
    let answer = request.timeout(Duration::from_secs(2)).send(address).ok()?;
    (answer.status == 200).then(|| answer.json())
}

fn slots_held(address: SocketAddr) -> Option<u64> {
    operator_status(address)?["slots"].as_u64()
}

fn sha256(key: &str) -> String {
    sapphireford::version::key_digest::digest(key)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
