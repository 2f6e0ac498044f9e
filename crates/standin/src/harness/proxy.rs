//! A TCP proxy on loopback that injects connection faults between two processes.
//!
//! Each proxy serves its connections on one thread. With a thread for each direction of each
//! connection, a test process spent so much time in mapping and unmapping stacks that requests took
//! over a second.

use std::cell::Cell;
use std::future::pending;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::Duration;

use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use futures_util::future::{Either, join, select};
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt, Splitable};
use monoio::{LegacyDriver, RuntimeBuilder};
use sapphireford::process::notify::Notify;

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

/// Connections of the proxy itself that fill the backlog of a listener with the length 0.
const BACKLOG_FILLERS: usize = 2;
/// Longest wait until such a connection is established; the last one is not.
const FILLER_TIMEOUT: Duration = Duration::from_millis(20);
/// Backlog of a listener that accepts connections.
const BACKLOG: i32 = 128;
/// Longest chunk that is read and forwarded at once.
const CHUNK_BYTES: usize = 16 << 10;

enum Change {
    Mode(ProxyMode),
    Delay(Duration),
    ResetConnections,
}

/// A change of a running proxy.
struct Command {
    change: Change,
    /// Notified when the change is in effect.
    applied: Sender<()>,
}

/// A running proxy. Dropping it stops the proxy and closes its connections.
pub struct Proxy {
    address: SocketAddr,
    commands: UnboundedSender<Command>,
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
        let (commands, received) = unbounded();
        thread::spawn(move || {
            let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_all().build();
            let mut runtime = runtime.expect("a runtime can be built");
            runtime.block_on(async {
                let proxy = RunningProxy::new(listener, address, target);
                proxy.run(received).await;
            });
        });
        Self { address, commands }
    }

    /// The address to connect to instead of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode of open and new connections; returns when it is in effect.
    pub fn set_mode(&self, mode: ProxyMode) {
        self.apply(Change::Mode(mode));
    }

    /// Sets the delay of each chunk of up to 16 KiB, in both directions.
    pub fn set_delay(&self, delay: Duration) {
        self.apply(Change::Delay(delay));
    }

    /// Closes all open connections, and returns when they are closed; new ones are not affected.
    pub fn reset_connections(&self) {
        self.apply(Change::ResetConnections);
    }

    fn apply(&self, change: Change) {
        let (applied, wait) = channel();
        let command = Command { change, applied };
        let sent = self.commands.unbounded_send(command);
        sent.expect("the thread of the proxy runs");
        wait.recv().expect("the thread of the proxy runs");
    }
}

/// The proxy on its thread.
struct RunningProxy {
    address: SocketAddr,
    target: SocketAddr,
    /// `None` while connections are refused.
    listener: Option<Listener>,
    /// Fill the backlog while connections are not established.
    fillers: Vec<TcpStream>,
    state: Rc<State>,
}

/// What the connections of a proxy share.
struct State {
    mode: Cell<ProxyMode>,
    delay: Cell<Duration>,
    /// How often all open connections were closed.
    resets: Cell<u64>,
    open_connections: Cell<usize>,
    changed: Notify,
}

impl RunningProxy {
    fn new(listener: TcpListener, address: SocketAddr, target: SocketAddr) -> Self {
        let state = State {
            mode: Cell::new(ProxyMode::Forward),
            delay: Cell::new(Duration::ZERO),
            resets: Cell::new(0),
            open_connections: Cell::new(0),
            changed: Notify::default(),
        };
        Self {
            address,
            target,
            listener: Some(Listener::new(listener)),
            fillers: Vec::new(),
            state: Rc::new(state),
        }
    }

    /// Accepts connections and applies changes until the proxy is dropped.
    async fn run(mut self, mut commands: UnboundedReceiver<Command>) {
        loop {
            let next = match select(commands.next(), pin!(self.accept())).await {
                Either::Left((command, _)) => Either::Left(command),
                Either::Right((caller, _)) => Either::Right(caller),
            };
            match next {
                Either::Left(None) => return,
                Either::Left(Some(command)) => {
                    self.apply(command.change).await;
                    // Fails if the test does not wait, because it has panicked.
                    let _ = command.applied.send(());
                }
                Either::Right(caller) => self.start_connection(caller),
            }
        }
    }

    /// Waits for a connection that the mode lets through.
    async fn accept(&self) -> monoio::net::TcpStream {
        loop {
            match &self.listener {
                Some(listener) if self.state.mode.get() != ProxyMode::Partition => {
                    let accepted = listener.accepting.accept().await;
                    let (caller, _) = accepted.expect("connections can be accepted");
                    if self.state.mode.get() != ProxyMode::Reset {
                        return caller;
                    }
                }
                // A change of the mode cancels this wait.
                _ => pending().await,
            }
        }
    }

    fn start_connection(&self, caller: monoio::net::TcpStream) {
        let open = OpenConnection::new(&self.state);
        let target = self.target;
        let resets = self.state.resets.get();
        monoio::spawn(async move {
            let state = &open.0;
            let reset = state.changed.until(|| state.resets.get() > resets);
            let relayed = async {
                if let Ok(server) = monoio::net::TcpStream::connect_addr(target).await {
                    relay_connection(caller, server, state).await;
                }
            };
            select(pin!(reset), pin!(relayed)).await;
        });
    }

    async fn apply(&mut self, change: Change) {
        let resets = self.state.resets.get();
        match change {
            Change::Mode(mode) => self.set_mode(mode),
            Change::Delay(delay) => self.state.delay.set(delay),
            Change::ResetConnections => self.reset_connections(),
        }
        self.state.changed.notify();
        if self.state.resets.get() > resets {
            let are_closed = || self.state.open_connections.get() == 0;
            self.state.changed.until(are_closed).await;
        }
    }

    fn set_mode(&mut self, mode: ProxyMode) {
        let previous = self.state.mode.replace(mode);
        if mode == ProxyMode::Reset {
            self.reset_connections();
        }
        if mode == ProxyMode::Refuse {
            self.listener = None;
        } else if self.listener.is_none() {
            let listener = TcpListener::bind(self.address).expect("the address is still free");
            self.listener = Some(Listener::new(listener));
        }
        if mode == previous {
            return;
        }
        self.fillers.clear();
        let Some(listener) = &self.listener else {
            return;
        };
        if mode == ProxyMode::Partition {
            listener.set_backlog(0);
            let fill = |_| TcpStream::connect_timeout(&self.address, FILLER_TIMEOUT).ok();
            self.fillers = (0..BACKLOG_FILLERS).filter_map(fill).collect();
        } else if previous == ProxyMode::Partition {
            listener.set_backlog(BACKLOG);
        }
    }

    fn reset_connections(&self) {
        self.state.resets.set(self.state.resets.get() + 1);
    }
}

/// Counts a connection as open until it is dropped.
struct OpenConnection(Rc<State>);

impl OpenConnection {
    fn new(state: &Rc<State>) -> Self {
        state.open_connections.set(state.open_connections.get() + 1);
        Self(state.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let open = &self.0.open_connections;
        open.set(open.get() - 1);
        self.0.changed.notify();
    }
}

struct Listener {
    accepting: monoio::net::TcpListener,
    /// The same socket, to change its backlog.
    socket: TcpListener,
}

impl Listener {
    fn new(socket: TcpListener) -> Self {
        let accepting = Self::accepting(&socket).expect("a listener can be duplicated");
        Self { accepting, socket }
    }

    fn accepting(socket: &TcpListener) -> io::Result<monoio::net::TcpListener> {
        socket.set_nonblocking(true)?;
        monoio::net::TcpListener::from_std(socket.try_clone()?)
    }

    fn set_backlog(&self, backlog: i32) {
        // Fails only if the listener has failed.
        let _ = socket2::SockRef::from(&self.socket).listen(backlog);
    }
}

async fn relay_connection(
    caller: monoio::net::TcpStream,
    server: monoio::net::TcpStream,
    state: &State,
) {
    let _ = caller.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (from_caller, to_caller) = caller.into_split();
    let (from_server, to_server) = server.into_split();
    join(
        relay(from_caller, to_server, state, true),
        relay(from_server, to_caller, state, false),
    )
    .await;
}

/// Forwards one direction of a connection until a side closes it.
async fn relay(
    mut from: impl AsyncReadRent,
    mut to: impl AsyncWriteRent,
    state: &State,
    is_to_server: bool,
) {
    let mut buffer = Vec::with_capacity(CHUNK_BYTES);
    loop {
        let (read, chunk) = from.read(buffer).await;
        if !matches!(read, Ok(1..)) {
            break;
        }
        let delay = state.delay.get();
        if !delay.is_zero() {
            monoio::time::sleep(delay).await;
        }
        let is_forwarded = || !is_stalled(state.mode.get(), is_to_server);
        state.changed.until(is_forwarded).await;
        let (written, chunk) = to.write_all(chunk).await;
        if written.is_err() {
            break;
        }
        buffer = chunk;
        buffer.clear();
    }
    // Fails if the connection is already closed.
    let _ = to.shutdown().await;
}

fn is_stalled(mode: ProxyMode, is_to_server: bool) -> bool {
    match mode {
        ProxyMode::Stall | ProxyMode::Partition => true,
        ProxyMode::StallResponses => !is_to_server,
        ProxyMode::Forward | ProxyMode::Reset | ProxyMode::Refuse => false,
    }
}
