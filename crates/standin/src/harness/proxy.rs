//! A loopback proxy that makes connections fail from outside the processes of a test.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// What a proxy does with connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyMode {
    /// Passes everything on.
    Forward,
    /// Resets open connections, and new ones at once.
    Reset,
    /// Accepts connections and passes nothing on, in either direction.
    Stall,
    /// Passes on what callers send, and nothing of what comes back.
    StallResponses,
}

const MODES: [ProxyMode; 4] = [
    ProxyMode::Forward,
    ProxyMode::Reset,
    ProxyMode::Stall,
    ProxyMode::StallResponses,
];

/// Pause between two looks at the mode while nothing is passed on.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Bytes that are passed on at a time.
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

/// A running proxy; it ends when this is dropped.
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
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let shared = Arc::new(Shared::default());
        let accept_shared = shared.clone();
        thread::spawn(move || accept_connections(&listener, target, &accept_shared));
        Self { address, shared }
    }

    /// Where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the proxy does with open and new connections.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.shared.mode.store(mode as u8, Ordering::Relaxed);
        if mode == ProxyMode::Reset {
            self.reset_connections();
        }
    }

    /// Delays each chunk in each direction.
    pub fn set_delay(&self, delay: Duration) {
        let delay_ms = delay.as_millis() as u64;
        self.shared.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    /// Breaks all open connections.
    pub fn reset_connections(&self) {
        for connection in self.shared.connections().drain(..) {
            // A connection that has ended before cannot be shut down again.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.shared.is_closed.store(true, Ordering::Relaxed);
        self.reset_connections();
        // Wakes the accepting thread.
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

/// Passes bytes on in one direction until a side closes.
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
