//! Gateways on loopback with the stand-ins of the users' platform.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use serde_json::{Value, json};

use super::process::Process;
use super::proxy::Proxy;
use super::site::next_ip;
use super::{HttpRequest, wait_until};

/// Longest start of a site.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// The host of all routes.
pub const HOST: &str = "site.example";
/// The service of model engines.
const ENGINE_SERVICE: &str = "llm";
/// The plain service.
const PLAIN_SERVICE: &str = "app";
/// Tokens in each event of a stream.
pub const TOKENS_PER_EVENT: u64 = 9;

/// A backend server with its proxy.
pub struct BackendServer {
    /// The process.
    pub process: Process,
    /// What gateways connect to.
    pub proxy: Proxy,
    id: String,
    service: &'static str,
}

/// A gateway and its addresses.
pub struct GatewayProcess {
    process: Option<Process>,
    settings_path: PathBuf,
    ip: Ipv4Addr,
    /// What the gateway takes for the store.
    pub store_proxy: Proxy,
}

/// The ports of a gateway; each gateway has an IP address of its own.
const CALLER_PORT: u16 = 7_001;
const READINESS_PORT: u16 = 7_002;
const DIRECTORY_PORT: u16 = 7_003;
const PEER_PORT: u16 = 7_004;
const METRICS_PORT: u16 = 7_005;

impl GatewayProcess {
    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    /// Where callers send requests.
    pub fn caller_address(&self) -> SocketAddr {
        self.address(CALLER_PORT)
    }

    /// Where callers look up addresses.
    pub fn directory_address(&self) -> SocketAddr {
        self.address(DIRECTORY_PORT)
    }

    /// Where metrics are served.
    pub fn metrics_address(&self) -> SocketAddr {
        self.address(METRICS_PORT)
    }

    /// The process.
    ///
    /// # Panics
    ///
    /// Panics if it was killed.
    pub fn process(&mut self) -> &mut Process {
        self.process.as_mut().expect("the gateway runs")
    }

    /// Whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = HttpRequest::get("/ready").timeout(Duration::from_secs(1));
        let answer = request.send(self.address(READINESS_PORT));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// The addresses that the gateway hands out.
    pub fn lookup(&self) -> Vec<SocketAddr> {
        let path = format!("/resolve?name={HOST}&region=r&zone=d1");
        let answer = HttpRequest::get(&path).send(self.directory_address());
        let Ok(answer) = answer else {
            return Vec::new();
        };
        serde_json::from_value(answer.json()["addresses"].clone()).unwrap_or_default()
    }

    /// Starts the process.
    pub fn start(&mut self) {
        let path = self.settings_path.to_string_lossy().into_owned();
        self.process = Some(Process::start(
            "sapphireford-gateway",
            &["--settings", &path],
        ));
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        self.process = None;
    }
}

/// A running site; all its processes are killed when it is dropped.
pub struct GatewaySite {
    /// The metadata store.
    pub store: Process,
    /// The model engines `e-0`, `e-1`, ...
    pub engines: Vec<BackendServer>,
    /// The servers of the plain service, `p-0`, `p-1`, ...
    pub plain_servers: Vec<BackendServer>,
    /// The gateways.
    pub gateways: Vec<GatewayProcess>,
    folder: PathBuf,
    ip: Ipv4Addr,
    config_version: u64,
}

impl GatewaySite {
    /// Starts a site and waits until all gateways are ready.
    ///
    /// # Panics
    ///
    /// Panics if they are not ready in time.
    pub fn start(gateways: usize) -> Self {
        let ip = next_ip();
        let folder = std::env::temp_dir().join(format!("sapphireford-gateways-{ip}"));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let store = Process::start("standin-platform", &["--listen", &format!("{ip}:0")]);
        let mut site = Self {
            store,
            engines: Vec::new(),
            plain_servers: Vec::new(),
            gateways: Vec::new(),
            folder,
            ip,
            config_version: 0,
        };
        for index in 0..2 {
            let engine = site.start_backend_server(&format!("e-{index}"), ENGINE_SERVICE);
            site.engines.push(engine);
            let plain_server = site.start_backend_server(&format!("p-{index}"), PLAIN_SERVICE);
            site.plain_servers.push(plain_server);
        }
        site.configure(default_routes());
        for index in 0..gateways {
            site.add_gateway(index);
        }
        site.wait_until_ready();
        site
    }

    fn start_backend_server(&self, id: &str, service: &'static str) -> BackendServer {
        let listen = format!("{}:0", self.ip);
        let process = Process::start("standin-backend", &["--listen", &listen, "--id", id]);
        let proxy = Proxy::start(self.ip, process.address());
        let server = BackendServer {
            process,
            proxy,
            id: id.to_string(),
            service,
        };
        self.register(&server, "ready");
        server
    }

    /// Writes the row of a backend server.
    pub fn register(&self, server: &BackendServer, state: &str) {
        let value = json!({
            "service": server.service, "address": server.proxy.address(), "zone": "d1",
            "version": "v1", "slots": 16, "state": state, "coldRemainingMs": 0, "seq": 0, "born": 1,
        });
        let put = json!({ "table": "servers", "key": server.id, "value": value });
        self.store.control(&json!({ "put": put }));
    }

    /// Removes the row of a backend server.
    pub fn deregister(&self, server: &BackendServer) {
        let row = json!({ "table": "servers", "key": server.id });
        self.store.control(&json!({ "remove": row }));
    }

    /// Writes a new configuration with these routes.
    pub fn configure(&mut self, routes: Value) {
        self.config_version += 3;
        let value = json!({
            "version": self.config_version,
            "routes": routes,
            "services": [
                { "name": ENGINE_SERVICE, "healthPath": "/healthz", "maxConnections": 160,
                  "runtime": { "slots": 16, "kvCapacity": 100_000, "chunkTokens": TOKENS_PER_EVENT } },
                { "name": PLAIN_SERVICE, "healthPath": "/healthz", "maxConnections": 96 },
            ],
            "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                        "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        });
        let put = json!({ "table": "op", "key": "config", "value": value });
        self.store.control(&json!({ "put": put }));
    }

    fn add_gateway(&mut self, index: usize) {
        let ip = next_ip();
        let store_proxy = Proxy::start(self.ip, self.store.address());
        let settings = json!({
            "entry_id": format!("gateway-{index}"),
            "failure_domain": "d1",
            "caller_address": format!("{ip}:{CALLER_PORT}"),
            "readiness_address": format!("{ip}:{READINESS_PORT}"),
            "directory_address": format!("{ip}:{DIRECTORY_PORT}"),
            "peer_address": format!("{ip}:{PEER_PORT}"),
            "metrics_address": format!("{ip}:{METRICS_PORT}"),
            "store_address": store_proxy.address(),
        });
        let settings_path = self.folder.join(format!("gateway-{index}.json"));
        fs::write(&settings_path, settings.to_string()).expect("the settings can be written");
        let mut gateway = GatewayProcess {
            process: None,
            settings_path,
            ip,
            store_proxy,
        };
        gateway.start();
        self.gateways.push(gateway);
    }

    fn wait_until_ready(&self) {
        let is_ready = || {
            let knows_all_gateways =
                |gateway: &GatewayProcess| gateway.lookup().len() == self.gateways.len();
            self.gateways
                .iter()
                .all(|gateway| gateway.is_ready() && knows_all_gateways(gateway))
        };
        assert!(
            wait_until(READY_TIMEOUT, is_ready),
            "the gateways are not ready"
        );
    }
}

impl Drop for GatewaySite {
    fn drop(&mut self) {
        // What is left lies in a temporary folder.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// One route of each kind: `/chat/` keeps history, `/quote/` may be resumed, `/ping/` is
/// idempotent, `/book/` is not.
pub fn default_routes() -> Value {
    json!([
        route(
            "/chat/",
            "streaming",
            ENGINE_SERVICE,
            json!({ "serverHistory": true, "retentionS": 60.0, "maxAttempts": 2 })
        ),
        route(
            "/quote/",
            "streaming",
            ENGINE_SERVICE,
            json!({ "resumable": true, "maxAttempts": 2 })
        ),
        route(
            "/ping/",
            "idempotent",
            PLAIN_SERVICE,
            json!({ "maxAttempts": 2 })
        ),
        route(
            "/book/",
            "non_idempotent",
            PLAIN_SERVICE,
            json!({ "maxAttempts": 2 })
        ),
    ])
}

/// A route with further fields.
pub fn route(prefix: &str, kind: &str, service: &str, fields: Value) -> Value {
    let mut route = json!({
        "name": prefix, "host": HOST, "pathPrefix": prefix, "kind": kind, "service": service,
        "timeoutMs": 4000, "targetLatencyMs": 200, "priority": 0,
    });
    if let (Some(route), Some(fields)) = (route.as_object_mut(), fields.as_object()) {
        route.extend(fields.clone());
    }
    route
}
