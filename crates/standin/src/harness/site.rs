//! A whole site on loopback for tests: platform, engines, tools, a plain service and entries.
//!
//! Each site has an IP address of its own in 127.0.0.0/8, derived from the process id and a counter,
//! so that sites of tests that run at the same time do not meet and an entry keeps its ports when it
//! is started again.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use sapphireford::process::rows::SLOT_PREFIX;
use sapphireford::process::slots::placement::preferred;
use serde_json::{Value, json};

use super::process::binary_path;
use super::table;
use super::{Answer, EventStream, HttpRequest, Process, wait_until};

/// Key of the team `team-one` of every site.
pub const TEAM_ONE_KEY: &str = "team-one-key";
/// Key of the team `team-two` of every site.
pub const TEAM_TWO_KEY: &str = "team-two-key";
/// Key of the operator of every site.
pub const OPERATOR_KEY: &str = "operator-key";

/// Longest start of a site.
const READY_TIME: Duration = Duration::from_secs(20);
/// First port of the entries' HTTP interfaces; their peer ports are the same by UDP.
const FIRST_ENTRY_PORT: u16 = 9_000;

static NEXT_SITE: AtomicU8 = AtomicU8::new(1);

/// What a site consists of.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// Number of entries.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Further arguments of each engine.
    pub engine_arguments: Vec<String>,
    /// Further arguments of the platform.
    pub platform_arguments: Vec<String>,
    /// Further arguments of the tool service.
    pub tool_arguments: Vec<String>,
    /// Merged over the settings of each entry, so that tests can shorten its times.
    pub settings: Value,
    /// Merged over the configuration, as a second file of the folder.
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

/// A running site; all its processes are killed when it is dropped.
pub struct Site {
    /// The platform.
    pub platform: Process,
    /// The engines `engine-0`, `engine-1`, ...
    pub engines: Vec<Process>,
    /// Serves the tools `book` (not idempotent, with a status query) and `search` (idempotent).
    pub tool: Process,
    /// Serves the tool `charge` (not idempotent, without a status query).
    pub mute_tool: Process,
    /// Serves the plain service `orders`.
    pub service: Process,
    entries: Vec<Option<Process>>,
    folder: PathBuf,
    ip: Ipv4Addr,
    settings: Value,
    /// Merged over the settings of single entries when they start.
    entry_settings: Vec<Value>,
}

impl Site {
    /// Starts a site with default options.
    pub fn start() -> Self {
        Self::with(SiteOptions::default())
    }

    /// Starts a site and waits until all entries are ready and all slots are held.
    pub fn with(options: SiteOptions) -> Self {
        let ip = next_ip();
        let folder = std::env::temp_dir().join(format!("sapphireford-test-{ip}"));
        std::fs::create_dir_all(&folder).expect("a temporary folder can be made");
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
        let mute_arguments = [&listen[..], &["--no-status-query"]].concat();
        let mute_tool = Process::start("standin-tool", &mute_arguments);
        let service = Process::start("standin-service", &listen);
        let mut site = Self {
            platform,
            engines,
            tool,
            mute_tool,
            service,
            entries: (0..options.entries).map(|_| None).collect(),
            folder,
            ip,
            settings: options.settings,
            entry_settings: vec![json!({}); options.entries],
        };
        site.make_certificates();
        site.apply(0, &[site.base_config(), options.config]);
        for index in 0..options.entries {
            site.start_entry(index);
        }
        site.wait_ready();
        site
    }

    /// The processes of the entries that run.
    pub fn running(&self) -> impl Iterator<Item = &Process> {
        self.entries.iter().flatten()
    }

    /// The process of an entry.
    pub fn entry(&mut self, index: usize) -> &mut Process {
        self.entries[index].as_mut().expect("the entry runs")
    }

    /// The HTTP address of an entry, whether it runs or not.
    pub fn entry_address(&self, index: usize) -> SocketAddr {
        self.client().entry_address(index)
    }

    /// Sets what is merged over the settings of one entry when it is started the next time.
    pub fn set_entry_settings(&mut self, index: usize, settings: Value) {
        self.entry_settings[index] = settings;
    }

    /// Number of entries, whether they run or not.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Starts an entry (again), without waiting until it is ready.
    pub fn start_entry(&mut self, index: usize) {
        let path = self.folder.join(format!("entry-{index}.json"));
        std::fs::write(&path, self.entry_settings(index).to_string())
            .expect("the settings can be written");
        let path = path.display().to_string();
        let level = std::env::var("SAPPHIREFORD_TEST_LOG").unwrap_or_else(|_| "error".to_string());
        let arguments = ["--settings", path.as_str(), "--log-level", level.as_str()];
        self.entries[index] = Some(Process::start("sapphireford-entry", &arguments));
    }

    /// Kills an entry with SIGKILL.
    pub fn kill_entry(&mut self, index: usize) {
        if let Some(mut process) = self.entries[index].take() {
            process.kill();
        }
    }

    /// Waits until all running entries are ready and hold the slots that prefer them, so that no
    /// slot moves any more.
    pub fn wait_ready(&self) {
        let ready = wait_until(READY_TIME, || {
            let held: Option<u64> = self
                .running()
                .map(|entry| slots_held(entry.address()))
                .sum();
            held == Some(self.slot_count()) && self.is_balanced() && self.engines_have_models()
        });
        assert!(ready, "the site was not ready within {READY_TIME:?}");
    }

    /// Whether each slot is held by the running entry that it prefers.
    fn is_balanced(&self) -> bool {
        let running = (0..self.entries.len()).filter(|index| self.entries[*index].is_some());
        let running: Vec<String> = running.map(|index| format!("entry-{index}")).collect();
        let rows = table::scan(self.platform.address(), SLOT_PREFIX);
        rows.iter().all(|row| {
            let row = &row["value"];
            let slot = row["slot"].as_u64().unwrap_or_default() as u32;
            let ids = running.iter().map(String::as_str);
            preferred(slot, ids) == row["holder"]["entry_id"].as_str()
        })
    }

    /// Whether all engines have been ordered to load their models, so that no commit of an order
    /// meets a failure that a test injects for other commits.
    fn engines_have_models(&self) -> bool {
        let rows = table::scan(self.platform.address(), "orders/");
        rows.len() >= self.engines.len() && rows.iter().all(|row| row["value"]["holder"].is_null())
    }

    /// What an entry tells operators about itself; `None` if it does not answer.
    pub fn status(&self, address: SocketAddr) -> Option<Value> {
        operator_status(address)
    }

    /// Index of the entry that holds a conversation of `team-one`, by the slot rows of the platform.
    pub fn holder_of(&self, team: &str, conversation: &str) -> Option<usize> {
        let key = sapphireford::ids::ConversationKey {
            team_id: team.into(),
            conversation_id: conversation.into(),
        };
        let count = self.slot_count() as u32;
        let slot = sapphireford::process::slots::placement::slot_of(&key, count);
        let key = sapphireford::process::rows::slot_key(slot);
        let row = table::read(self.platform.address(), &key);
        let holder = row["value"]["holder"]["entry_id"].as_str()?;
        holder.strip_prefix("entry-")?.parse().ok()
    }

    /// Applies a configuration: the first file is the base, the others override it.
    pub fn apply(&self, expect: u64, files: &[Value]) {
        let output = self.try_apply(expect, files, &[]);
        assert!(output.status.success(), "apply failed: {output:?}");
    }

    /// Runs `sapphireford-admin apply` and returns its output.
    pub fn try_apply(
        &self,
        expect: u64,
        files: &[Value],
        arguments: &[&str],
    ) -> std::process::Output {
        static NEXT_FOLDER: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let folder = self.folder.join(format!("config-{number}"));
        std::fs::create_dir_all(&folder).expect("the folder can be made");
        for (index, file) in files.iter().enumerate() {
            let path = folder.join(format!("{index:02}.json"));
            std::fs::write(path, file.to_string()).expect("the file can be written");
        }
        let folder = folder.display().to_string();
        let expect = expect.to_string();
        let command = ["apply", &folder, "--expect", &expect, "--author", "test"];
        let command = [&command[..], &["--reason", "test"], arguments].concat();
        self.admin(&command)
    }

    /// Runs `sapphireford-admin` against the platform of this site.
    pub fn admin(&self, arguments: &[&str]) -> std::process::Output {
        let platform = self.platform.address().to_string();
        let mut command = Command::new(binary_path("sapphireford-admin"));
        // These commands work without a platform and refuse the option.
        if !matches!(arguments[0], "certificates" | "check" | "key") {
            command.args(["--platform", platform.as_str()]);
        }
        command
            .args(arguments)
            .env("SAPPHIREFORD_OPERATOR_KEY", OPERATOR_KEY)
            .output()
            .expect("sapphireford-admin can be started")
    }

    /// The configuration that every site starts with.
    pub fn base_config(&self) -> Value {
        let engines = self.engines.iter().enumerate().map(|(index, engine)| {
            let server = json!({
                "address": engine.address(),
                "failure_domain": format!("domain-{}", index % 3),
                "models": ["small"],
                "max_concurrent_calls": 8,
                "cache_tokens": 100_000,
            });
            (format!("engine-{index}"), server)
        });
        let engines: serde_json::Map<String, Value> = engines.collect();
        let tool = |address: SocketAddr, idempotent: bool, has_status_query: bool| {
            json!({
                "address": address, "price_limit_micros": 1_000, "time_limit_ms": 1_000,
                "idempotent": idempotent, "has_status_query": has_status_query,
            })
        };
        let program = |team: &str| {
            json!({
                "team": team, "model": "small", "budget_micros": 1_000_000,
                "tools": ["book", "search", "charge"], "max_calls": 1_000,
                "max_sub_agents": 8, "max_depth": 2, "system_prompt": "You help.",
            })
        };
        json!({
            "teams": {
                "team-one": { "key_sha256": sha256(TEAM_ONE_KEY) },
                "team-two": { "key_sha256": sha256(TEAM_TWO_KEY) },
            },
            "operators": { "operator": { "key_sha256": sha256(OPERATOR_KEY) } },
            "models": { "small": {
                "prompt_micros_per_1k_tokens": 1_000,
                "output_micros_per_1k_tokens": 4_000,
                "context_tokens": 100_000,
            } },
            "backend_servers": engines,
            "tools": {
                "book": tool(self.tool.address(), false, true),
                "search": tool(self.tool.address(), true, true),
                "charge": tool(self.mute_tool.address(), false, false),
            },
            "services": { "orders": {
                "addresses": [self.service.address()],
                "time_limit_ms": 1_000,
                "routes": [
                    { "method": "GET", "path_prefix": "/", "repeatable": true },
                    { "method": "POST", "path_prefix": "/", "repeatable": false },
                ],
            } },
            "programs": { "assistant": program("team-one"), "advice": program("team-two") },
        })
    }

    /// A handle for callers of `team-one`, which can be used while the site's processes change.
    pub fn client(&self) -> SiteClient {
        SiteClient { ip: self.ip }
    }

    /// Sends a request of `team-one` about a conversation to an entry.
    pub fn post(&self, entry: usize, path: &str, body: &Value) -> std::io::Result<Answer> {
        self.client().post(entry, path, body)
    }

    /// Starts a turn of `team-one` and returns its stream.
    pub fn open(&self, entry: usize, path: &str, body: &Value) -> std::io::Result<EventStream> {
        self.client().open(entry, path, body)
    }

    /// Reads something of `team-one` from an entry.
    pub fn get(&self, entry: usize, path: &str) -> std::io::Result<Answer> {
        self.client().get(entry, path)
    }

    /// Number of slots of the site.
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
        assert!(output.status.success(), "no certificates: {output:?}");
    }

    fn entry_settings(&self, index: usize) -> Value {
        let certificates = self.folder.join("certificates");
        let mut settings = json!({
            "entry_id": format!("entry-{index}"),
            "failure_domain": format!("domain-{}", index % 3),
            "http_address": self.entry_address(index),
            "peer_address": self.entry_address(index),
            "platform_address": self.platform.address(),
            "peer_certificate": certificates.join(format!("entry-{index}.pem")),
            "peer_key": certificates.join(format!("entry-{index}.key")),
            "peer_authority": certificates.join("authority.pem"),
            "slot_count": DEFAULT_SLOT_COUNT,
            "abort_on_violation": true,
        });
        for other in [&self.settings, &self.entry_settings[index]] {
            if let (Some(settings), Some(other)) = (settings.as_object_mut(), other.as_object()) {
                settings.extend(other.clone());
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
    /// The HTTP address of an entry, whether it runs or not.
    pub fn entry_address(&self, index: usize) -> SocketAddr {
        SocketAddr::from((self.ip, FIRST_ENTRY_PORT + index as u16))
    }

    /// Sends a request about a conversation to an entry.
    pub fn post(&self, entry: usize, path: &str, body: &Value) -> std::io::Result<Answer> {
        self.request(path, body).send(self.entry_address(entry))
    }

    /// Starts a turn and returns its stream.
    pub fn open(&self, entry: usize, path: &str, body: &Value) -> std::io::Result<EventStream> {
        self.request(path, body).open(self.entry_address(entry))
    }

    /// Reads something about a conversation from an entry.
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

/// Slots of a test site; fewer than in production, so that it starts quickly.
const DEFAULT_SLOT_COUNT: u64 = 32;

impl Drop for Site {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An IP address that no other site of this machine uses.
pub(super) fn next_ip() -> Ipv4Addr {
    let pid = std::process::id();
    let site = NEXT_SITE.fetch_add(1, Ordering::Relaxed);
    // The first and the last address of each block are left alone.
    Ipv4Addr::new(127, (pid >> 8) as u8 | 1, pid as u8, site.clamp(1, 254))
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
