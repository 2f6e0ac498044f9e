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
}

const MODES: [ProxyMode; 4] = [
    ProxyMode::Forward,
    ProxyMode::Reset,
    ProxyMode::Stall,
    ProxyMode::StallResponses,
];

/// Interval at which a connection that holds bytes checks the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
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
        thread::spawn(move || accept_connections(&listener, target, &accept_shared));
        Self { address, shared }
    }

    /// The address to connect to instead of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of open and new connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.shared.mode.store(mode as u8, Ordering::Relaxed);
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
        // Wakes the accept thread, which then sees `is_closed`.
        let _ = TcpStream::connect(self.address);
    }
}

fn accept_connections(listener: &TcpListener, target: SocketAddr, shared: &Arc<Shared>) {
    for accepted in listener.incoming() {
        if shared.is_closed.load(Ordering::Relaxed) {
            return;
        }
        let Ok(caller) = accepted else { continue };
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

fn is_stalled(mode: ProxyMode, is_to_server: bool) -> bool {
    match mode {
        ProxyMode::Stall => true,
        ProxyMode::StallResponses => !is_to_server,
        ProxyMode::Forward | ProxyMode::Reset => false,
    }
}
