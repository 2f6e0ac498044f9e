//! A TCP proxy on loopback that injects connection faults between two processes.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How a proxy treats its connections. Bytes that it holds are sent once the mode allows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards both directions.
    Forward,
    /// Closes open connections, and new ones as soon as they are accepted.
    Reset,
    /// Accepts connections and holds all bytes of both directions.
    Stall,
    /// Forwards requests to the server and holds the responses.
    StallResponses,
    /// Holds all bytes of both directions; new connections are not established.
    Partition,
    /// Forwards both directions of open connections and refuses new ones.
    Refuse,
}

const MODES: [ProxyMode; 6] = [
    ProxyMode::Forward,
    ProxyMode::Reset,
    ProxyMode::Stall,
    ProxyMode::StallResponses,
    ProxyMode::Partition,
    ProxyMode::Refuse,
];

/// Interval at which a connection that holds bytes checks the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the listener is checked for connections and the mode for changes.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);
/// Time in which a change of the mode reaches the listener.
const LISTENER_CHANGE_TIME: Duration = Duration::from_millis(6);
/// Connections of the proxy itself that fill the backlog of a listener with the length 0.
const BACKLOG_FILLERS: usize = 2;
/// Longest wait until such a connection is established; the last one is not.
const FILLER_TIMEOUT: Duration = Duration::from_millis(20);
/// Backlog of a listener that accepts connections.
const BACKLOG: i32 = 128;
/// Longest chunk that is read and forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;

#[derive(Default)]
struct Shared {
    mode: AtomicU8,
    delay_ms: AtomicU64,
    is_closed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Shared {
    fn mode(&self) -> ProxyMode {
        MODES[usize::from(self.mode.load(Ordering::Relaxed))]
    }

    fn connections(&self) -> std::sync::MutexGuard<'_, Vec<TcpStream>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running proxy. Dropping it stops the proxy and closes its connections.
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Starts a proxy on `ip` in front of `target`.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn start(ip: Ipv4Addr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let shared = Arc::new(Shared::default());
        let accept_shared = shared.clone();
        thread::spawn(move || accept_connections(listener, target, &accept_shared));
        Self { address, shared }
    }

    /// The address to connect to instead of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of open and new connections; returns when it is in effect.
    pub fn set_mode(&self, mode: ProxyMode) {
        let previous = self.shared.mode();
        self.shared.mode.store(mode as u8, Ordering::Relaxed);
        if changes_listener(previous) || changes_listener(mode) {
            thread::sleep(LISTENER_CHANGE_TIME);
        }
        if mode == ProxyMode::Reset {
            self.reset_connections();
        }
    }

    /// Sets the delay of each chunk of up to 16 KiB, in both directions.
    pub fn set_delay(&self, delay: Duration) {
        let delay_ms = delay.as_millis() as u64;
        self.shared.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Closes all open connections; new ones are not affected.
    pub fn reset_connections(&self) {
        for connection in self.shared.connections().drain(..) {
            // Fails if the connection is already closed.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.is_closed.store(true, Ordering::Relaxed);
        self.reset_connections();
    }
}

/// The listener of a proxy, in the state that the mode asks for.
struct ModalListener {
    address: SocketAddr,
    /// `None` while connections are refused.
    listener: Option<TcpListener>,
    /// Fill the backlog while connections are not established.
    fillers: Vec<TcpStream>,
    is_partitioned: bool,
}

impl ModalListener {
    fn apply(&mut self, mode: ProxyMode) {
        if mode == ProxyMode::Refuse {
            self.listener = None;
            return;
        }
        if self.listener.is_none() {
            self.listener = TcpListener::bind(self.address).ok();
        }
        let Some(listener) = &self.listener else {
            return;
        };
        // Fails only if the listener has failed.
        let _ = listener.set_nonblocking(true);
        let is_partitioned = mode == ProxyMode::Partition;
        if is_partitioned == self.is_partitioned {
            return;
        }
        self.is_partitioned = is_partitioned;
        let backlog = if is_partitioned { 0 } else { BACKLOG };
        let _ = socket2::SockRef::from(listener).listen(backlog);
        self.fillers.clear();
        if is_partitioned {
            let fill = |_| TcpStream::connect_timeout(&self.address, FILLER_TIMEOUT).ok();
            self.fillers = (0..BACKLOG_FILLERS).filter_map(fill).collect();
        }
    }

    fn accept(&self) -> Option<TcpStream> {
        let listener = self.listener.as_ref().filter(|_| !self.is_partitioned)?;
        let (caller, _) = listener.accept().ok()?;
        caller.set_nonblocking(false).ok()?;
        Some(caller)
    }
}

fn accept_connections(listener: TcpListener, target: SocketAddr, shared: &Arc<Shared>) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    let mut listener = ModalListener {
        address,
        listener: Some(listener),
        fillers: Vec::new(),
        is_partitioned: false,
    };
    while !shared.is_closed.load(Ordering::Relaxed) {
        listener.apply(shared.mode());
        let Some(caller) = listener.accept() else {
            thread::sleep(ACCEPT_INTERVAL);
            continue;
        };
        if shared.mode() == ProxyMode::Reset {
            continue;
        }
        let shared = shared.clone();
        thread::spawn(move || {
            if let Ok(server) = TcpStream::connect(target) {
                relay_connection(caller, server, &shared);
            }
        });
    }
}

fn relay_connection(caller: TcpStream, server: TcpStream, shared: &Arc<Shared>) {
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let copies = [caller.try_clone(), server.try_clone()];
    let [Ok(caller_copy), Ok(server_copy)] = copies else {
        return;
    };
    for stream in [&caller, &server] {
        shared.connections().extend(stream.try_clone());
    }
    let to_server_shared = shared.clone();
    thread::spawn(move || relay(caller_copy, server_copy, &to_server_shared, true));
    relay(server, caller, shared, false);
}

/// Forwards one direction of a connection until a side closes it.
fn relay(mut from: TcpStream, mut to: TcpStream, shared: &Shared, is_to_server: bool) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length) = from.read(&mut chunk) {
        if length == 0 {
            break;
        }
        let delay_ms = shared.delay_ms.load(Ordering::Relaxed);
        thread::sleep(Duration::from_millis(delay_ms));
        while is_stalled(shared.mode(), is_to_server) {
            if shared.is_closed.load(Ordering::Relaxed) {
                return;
            }
            thread::sleep(POLL_INTERVAL);
        }
        if to.write_all(&chunk[..length]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
}

/// Whether connections are not accepted in this mode.
fn changes_listener(mode: ProxyMode) -> bool {
    matches!(mode, ProxyMode::Partition | ProxyMode::Refuse)
}

fn is_stalled(mode: ProxyMode, is_to_server: bool) -> bool {
    match mode {
        ProxyMode::Stall | ProxyMode::Partition => true,
        ProxyMode::StallResponses => !is_to_server,
        ProxyMode::Forward | ProxyMode::Reset | ProxyMode::Refuse => false,
    }
}
