//! A site of gateways on loopback, with stand-ins for the metadata store and the backend servers.
//!
//! Each gateway has an IP address of its own and reaches the store and the backend servers through
//! a [`Proxy`] each, so that a test can break any of these connections.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use indexmap::IndexMap;
use sapphireford_platform::store::SERVER_TABLE;
use serde_json::{Value, json};

use super::process::Process;
use super::proxy::{Proxy, ProxyMode};
use super::site::next_ip;
use super::{HttpRequest, wait_until};

/// Time within which all gateways of a site become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Host name that all routes match.
pub const HOST: &str = "site.example";
/// Service whose backend servers are model engines.
pub const ENGINE_SERVICE: &str = "llm";
/// Service whose backend servers are not model engines.
pub const PLAIN_SERVICE: &str = "app";
/// Failure domain of the backend servers, and of the gateways unless a test names others.
const DEFAULT_DOMAIN: &str = "d1";
/// Software version of the backend servers of a new site.
pub const FIRST_VERSION: &str = "v1";
/// Time within which a withdrawn key must be unusable, as on the platform. It has no effect unless
/// the configuration has teams.
pub const KEY_WITHDRAWAL_LIMIT: Duration = Duration::from_millis(5_000);
/// Value of `chunkTokens` of the engine service: tokens in each event of a stream.
pub const TOKENS_PER_EVENT: u64 = 9;

/// A backend server behind a proxy.
pub struct BackendServer {
    /// The backend server itself; requests sent to it directly bypass the proxy.
    pub process: Process,
    /// Its address is the one in the row of the backend server, so gateways connect only to it.
    pub proxy: Proxy,
    id: String,
    service: &'static str,
    /// Version of its software, as in its row.
    version: &'static str,
}

/// A gateway, which may be stopped; its addresses stay the same over restarts.
pub struct GatewayProcess {
    process: Option<Process>,
    settings_path: PathBuf,
    ip: Ipv4Addr,
    /// Proxies between this gateway and each backend server, by the id of the server; empty if it
    /// shares the proxies of the servers with the other gateways.
    pub server_proxies: IndexMap<String, Proxy>,
    failure_domain: String,
    /// Proxy between this gateway and the store; its address is `store_address` in the settings.
    pub store_proxy: Proxy,
}

/// Ports are the same for all gateways, since each has an IP address of its own.
const CALLER_PORT: u16 = 7_001;
const READINESS_PORT: u16 = 7_002;
const DIRECTORY_PORT: u16 = 7_003;
const PEER_PORT: u16 = 7_004;
const METRICS_PORT: u16 = 7_005;

impl GatewayProcess {
    fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }

    /// Address for the requests of callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.address(CALLER_PORT)
    }

    /// Address of the directory, where callers resolve the host name.
    pub fn directory_address(&self) -> SocketAddr {
        self.address(DIRECTORY_PORT)
    }

    /// Address for the calls of other gateways.
    pub fn peer_address(&self) -> SocketAddr {
        self.address(PEER_PORT)
    }

    /// Address of `GET /metrics`.
    pub fn metrics_address(&self) -> SocketAddr {
        self.address(METRICS_PORT)
    }

    /// The running process.
    ///
    /// # Panics
    ///
    /// Panics if the gateway has been killed and not started again.
    pub fn process(&mut self) -> &mut Process {
        self.process.as_mut().expect("the gateway is running")
    }

    /// Whether `GET /ready` answers 200 within a second.
    pub fn is_ready(&self) -> bool {
        let request = HttpRequest::get("/ready").timeout(Duration::from_secs(1));
        let answer = request.send(self.address(READINESS_PORT));
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Resolves [`HOST`] at the directory of this gateway, for its failure domain; empty if that
    /// fails.
    pub fn lookup(&self) -> Vec<SocketAddr> {
        let domain = &self.failure_domain;
        let path = format!("/resolve?name={HOST}&region=r&zone={domain}");
        let answer = HttpRequest::get(&path).send(self.directory_address());
        let Ok(answer) = answer else {
            return Vec::new();
        };
        serde_json::from_value(answer.json()["addresses"].clone()).unwrap_or_default()
    }

    /// Starts the gateway with its settings file; returns once it listens.
    pub fn start(&mut self) {
        self.start_with(&[]);
    }

    /// Like [`GatewayProcess::start`], with further options of the command line.
    pub fn start_with(&mut self, options: &[&str]) {
        let path = self.settings_path.to_string_lossy().into_owned();
        let options = [&["--settings", &path], options].concat();
        self.process = Some(Process::start("sapphireford-gateway", &options));
    }

    /// Requests a graceful shutdown (SIGTERM); returns without waiting for it.
    ///
    /// # Panics
    ///
    /// Panics if the gateway has been killed and not started again.
    pub fn terminate(&self) {
        let process = self.process.as_ref().expect("the gateway is running");
        process.terminate();
    }

    /// Sets the mode of the connections between this gateway and all backend servers.
    ///
    /// # Panics
    ///
    /// Panics if the gateway has no proxies of its own.
    pub fn set_server_paths(&self, mode: ProxyMode) {
        assert!(!self.server_proxies.is_empty(), "no proxies of its own");
        let proxies = self.server_proxies.values();
        proxies.for_each(|proxy| proxy.set_mode(mode));
    }

    /// Name of the table from which this gateway reads the backend servers.
    fn server_table(&self) -> String {
        match self.server_proxies.is_empty() {
            true => SERVER_TABLE.to_string(),
            false => format!("{SERVER_TABLE}-of-{}", self.ip),
        }
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        self.process = None;
    }
}

/// A running site: a store, two engines, two plain servers and some gateways. Dropping it kills all
/// processes.
pub struct GatewaySite {
    /// The metadata store, played by `standin-platform`.
    pub store: Process,
    /// The backend servers of the engine service, with the ids `e-0`, `e-1`, ...
    pub engines: Vec<BackendServer>,
    /// The backend servers of the plain service, with the ids `p-0`, `p-1`, ...
    pub plain_servers: Vec<BackendServer>,
    /// Gateways by index.
    pub gateways: Vec<GatewayProcess>,
    folder: PathBuf,
    /// Address of the store, the backend servers and all proxies.
    ip: Ipv4Addr,
    config_version: u64,
}

impl GatewaySite {
    /// Starts a site and waits until all gateways are ready and each resolves the addresses of all.
    ///
    /// # Panics
    ///
    /// Panics if that takes longer than 20 s.
    pub fn start(gateways: usize) -> Self {
        let domains = vec![DEFAULT_DOMAIN; gateways];
        Self::start_gateways(&domains, false)
    }

    /// Like [`GatewaySite::start`], with a gateway in each of these failure domains, and a proxy
    /// between each gateway and each backend server, so that a test can cut off a single gateway.
    pub fn start_with_own_paths(domains: &[&str]) -> Self {
        Self::start_gateways(domains, true)
    }

    fn start_gateways(domains: &[&str], has_own_paths: bool) -> Self {
        let ip = next_ip();
        let folder = std::env::temp_dir().join(format!("sapphireford-gateways-{ip}"));
        fs::create_dir_all(&folder).expect("the temporary folder can be created");
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
            site.add_engine(FIRST_VERSION);
            let id = format!("p-{index}");
            let plain_server = site.start_backend_server(&id, PLAIN_SERVICE, FIRST_VERSION);
            site.register(&plain_server, "ready");
            site.plain_servers.push(plain_server);
        }
        site.configure(default_routes());
        for domain in domains {
            site.add_gateway(domain, has_own_paths);
        }
        site.wait_until_ready();
        site
    }

    /// Starts and registers another engine, whose software has this version.
    pub fn add_engine(&mut self, version: &'static str) {
        let id = format!("e-{}", self.engines.len());
        let engine = self.start_backend_server(&id, ENGINE_SERVICE, version);
        let has_own_paths = |gateway: &&mut GatewayProcess| !gateway.server_proxies.is_empty();
        for gateway in self.gateways.iter_mut().filter(has_own_paths) {
            let proxy = Proxy::start(self.ip, engine.process.address());
            gateway.server_proxies.insert(id.clone(), proxy);
        }
        self.register(&engine, "ready");
        self.engines.push(engine);
    }

    fn start_backend_server(
        &self,
        id: &str,
        service: &'static str,
        version: &'static str,
    ) -> BackendServer {
        let listen = format!("{}:0", self.ip);
        let arguments = ["--listen", &listen, "--id", id, "--version", version];
        let process = Process::start("standin-backend", &arguments);
        let proxy = Proxy::start(self.ip, process.address());
        BackendServer {
            process,
            proxy,
            id: id.to_string(),
            service,
            version,
        }
    }

    /// Sets the mode of the connections between all gateways and a backend server.
    pub fn set_path_to(&self, server: &BackendServer, mode: ProxyMode) {
        server.proxy.set_mode(mode);
        for gateway in &self.gateways {
            if let Some(proxy) = gateway.server_proxies.get(&server.id) {
                proxy.set_mode(mode);
            }
        }
    }

    /// Writes the row of a backend server with `state`, such as `ready` or `draining`.
    pub fn register(&self, server: &BackendServer, state: &str) {
        self.put_server(
            &server.id,
            server.service,
            server.version,
            server.proxy.address(),
            state,
            1,
        );
    }

    /// Writes the row of a backend server that a test runs itself.
    pub fn register_address(&self, id: &str, service: &str, address: SocketAddr, state: &str) {
        self.put_server(id, service, FIRST_VERSION, address, state, 1);
    }

    /// Writes the row of a backend server as after a restart with the same id and address.
    pub fn register_restarted(&self, server: &BackendServer) {
        self.put_server(
            &server.id,
            server.service,
            server.version,
            server.proxy.address(),
            "ready",
            2,
        );
    }

    fn put_server(
        &self,
        id: &str,
        service: &str,
        version: &str,
        address: SocketAddr,
        state: &str,
        born: u64,
    ) {
        let row = |address: SocketAddr| {
            json!({
                "service": service, "address": address, "zone": DEFAULT_DOMAIN, "version": version,
                "slots": 16, "state": state, "coldRemainingMs": 0, "seq": 0, "born": born,
            })
        };
        self.put_row(SERVER_TABLE, id, &row(address));
        for gateway in &self.gateways {
            if let Some(proxy) = gateway.server_proxies.get(id) {
                self.put_row(&gateway.server_table(), id, &row(proxy.address()));
            }
        }
    }

    fn put_row(&self, table: &str, id: &str, value: &Value) {
        let put = json!({ "table": table, "key": id, "value": value });
        self.store.control(&json!({ "put": put }));
    }

    /// Removes the rows of all backend servers of a service.
    pub fn deregister_service(&self, service: &str) {
        let servers = self.engines.iter().chain(&self.plain_servers);
        for server in servers.filter(|server| server.service == service) {
            self.deregister(server);
        }
    }

    /// Removes the row of a backend server.
    pub fn deregister(&self, server: &BackendServer) {
        self.deregister_id(&server.id);
    }

    /// Removes the row of a backend server for one gateway, until the server is registered again.
    ///
    /// # Panics
    ///
    /// Panics if the gateway has no proxies of its own.
    pub fn hide_from(&self, gateway: &GatewayProcess, server: &BackendServer) {
        assert!(!gateway.server_proxies.is_empty(), "no proxies of its own");
        let row = json!({ "table": gateway.server_table(), "key": server.id });
        self.store.control(&json!({ "remove": row }));
    }

    /// Removes the row of a backend server with this id.
    pub fn deregister_id(&self, id: &str) {
        let own_tables = self.gateways.iter().map(GatewayProcess::server_table);
        let tables = std::iter::once(SERVER_TABLE.to_string()).chain(own_tables);
        for table in tables {
            let row = json!({ "table": table, "key": id });
            self.store.control(&json!({ "remove": row }));
        }
    }

    /// Writes a configuration with these routes and a higher version.
    pub fn configure(&mut self, routes: Value) {
        self.configure_with(routes, json!({}));
    }

    /// Like [`GatewaySite::configure`], with further fields, such as `tenants`.
    pub fn configure_with(&mut self, routes: Value, fields: Value) {
        self.config_version += 3;
        let mut value = json!({
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
        if let (Some(value), Some(fields)) = (value.as_object_mut(), fields.as_object()) {
            value.extend(fields.clone());
        }
        let put = json!({ "table": "op", "key": "config", "value": value });
        self.store.control(&json!({ "put": put }));
    }

    fn add_gateway(&mut self, failure_domain: &str, has_own_paths: bool) {
        let index = self.gateways.len();
        let ip = next_ip();
        let store_proxy = Proxy::start(self.ip, self.store.address());
        let settings = json!({
            "entry_id": format!("gateway-{index}"),
            "failure_domain": failure_domain,
            "caller_address": format!("{ip}:{CALLER_PORT}"),
            "readiness_address": format!("{ip}:{READINESS_PORT}"),
            "directory_address": format!("{ip}:{DIRECTORY_PORT}"),
            "peer_address": format!("{ip}:{PEER_PORT}"),
            "metrics_address": format!("{ip}:{METRICS_PORT}"),
            "store_address": store_proxy.address(),
            "key_withdrawal_limit_ms": KEY_WITHDRAWAL_LIMIT.as_millis() as u64,
            "team_limit_window_s": 5.0,
            "team_limit_excess_share": 0.1,
            "team_limit_excess_requests": 20.0,
        });
        let settings_path = self.folder.join(format!("gateway-{index}.json"));
        fs::write(&settings_path, settings.to_string()).expect("the settings file can be written");
        let mut gateway = GatewayProcess {
            process: None,
            settings_path,
            ip,
            server_proxies: IndexMap::new(),
            failure_domain: failure_domain.to_string(),
            store_proxy,
        };
        if has_own_paths {
            let servers = self.engines.iter().chain(&self.plain_servers);
            let proxies = servers.map(|server| {
                let proxy = Proxy::start(self.ip, server.process.address());
                (server.id.clone(), proxy)
            });
            gateway.server_proxies = proxies.collect();
            let host = gateway.store_proxy.address().to_string();
            let server_table = json!({ "host": host, "table": gateway.server_table() });
            self.store.control(&json!({ "server_table": server_table }));
        }
        self.gateways.push(gateway);
        if has_own_paths {
            for server in self.engines.iter().chain(&self.plain_servers) {
                self.register(server, "ready");
            }
        }
        self.gateways[index].start();
    }

    fn wait_until_ready(&self) {
        let gateways_in = |domain: &str| {
            let gateways = self.gateways.iter();
            gateways
                .filter(|gateway| gateway.failure_domain == domain)
                .count()
        };
        let is_ready = || {
            let knows_all_gateways = |gateway: &GatewayProcess| {
                gateway.lookup().len() >= gateways_in(&gateway.failure_domain)
            };
            self.gateways
                .iter()
                .all(|gateway| gateway.is_ready() && knows_all_gateways(gateway))
        };
        assert!(
            wait_until(READY_TIMEOUT, is_ready),
            "the gateways did not become ready in time"
        );
    }
}

impl Drop for GatewaySite {
    fn drop(&mut self) {
        // A failure only leaves files in the temporary folder.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// One route of each kind: `/chat/` streams with server-side history, `/quote/` is a resumable
/// stream, `/ping/` is idempotent and `/book/` is not.
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

/// Builds a route of [`HOST`]; `fields` are added to it or override its defaults.
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
