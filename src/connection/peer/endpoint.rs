//! The QUIC endpoint and the thread that drives it.
//!
//! `quinn` needs a `tokio` runtime for its socket and timers. A dedicated thread runs this runtime;
//! streams are read and written by tasks of the main thread.

use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

use futures_channel::oneshot;
use quinn::{
    ClientConfig, Connecting, ConnectionId, ConnectionIdGenerator, Endpoint, EndpointConfig,
    Incoming, ServerConfig, TokioRuntime, TransportConfig, VarInt,
};

use super::identity::PeerIdentity;
use super::{CODE_NO_ERROR, EndpointError};
use crate::process::timer::TimerService;

/// A connection is closed as lost after this time without packets. It is longer than a lease,
/// whose default is 4 s, because only the expiry of the lease decides that a lease holder has
/// failed.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(6);
/// Interval of the keep-alive packets that the client side sends on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Initial estimate of the round-trip time; the latency between entries is a few milliseconds.
const INITIAL_RTT: Duration = Duration::from_millis(20);
/// Limit of requests in flight on a connection: one entry may forward all of its requests to one
/// peer.
const MAX_STREAMS_PER_CONNECTION: u32 = 4_096;
/// Limit of unread bytes on one stream.
const STREAM_WINDOW_BYTES: u32 = 256 << 10;
/// Limit of unread bytes on one connection. It covers the windows of many streams, so that streams
/// with slow readers do not block the others.
const CONNECTION_WINDOW_BYTES: u32 = 64 << 20;
/// Limit of unacknowledged bytes on one connection.
const SEND_WINDOW_BYTES: u64 = 16 << 20;
const CONNECTION_ID_BYTES: usize = 8;

/// The QUIC endpoint of this entry, for outgoing and incoming connections; clones share it.
#[derive(Clone)]
pub struct PeerEndpoint {
    inner: Rc<Inner>,
}

struct Inner {
    endpoint: Endpoint,
    runtime: tokio::runtime::Handle,
    client_config: ClientConfig,
    timer: TimerService,
    thread: RefCell<Option<EndpointThread>>,
}

struct EndpointThread {
    stop: oneshot::Sender<()>,
    handle: JoinHandle<()>,
}

impl PeerEndpoint {
    /// Binds the UDP address and starts the endpoint thread.
    pub fn open(
        address: SocketAddr,
        identity: &PeerIdentity,
        timer: TimerService,
    ) -> Result<Self, EndpointError> {
        let socket = UdpSocket::bind(address).map_err(EndpointError::Io)?;
        let mut config = EndpointConfig::new(Arc::new(identity.stateless_reset_key()));
        config.cid_generator(|| Box::new(RandomConnectionIds));
        let mut server_config = ServerConfig::with_crypto(Arc::new(identity.server_config()?));
        server_config.transport_config(Arc::new(transport_config(None)));
        // Entries have fixed addresses, so a connection never changes its address.
        server_config.migration(false);
        let mut client_config = ClientConfig::new(Arc::new(identity.client_config()?));
        client_config.transport_config(Arc::new(transport_config(Some(KEEP_ALIVE_INTERVAL))));
        let (endpoint, runtime, thread) = spawn_runtime_thread(move || {
            let runtime = Arc::new(TokioRuntime);
            Endpoint::new(config, Some(server_config), socket, runtime)
        })
        .map_err(EndpointError::Io)?;
        Ok(Self {
            inner: Rc::new(Inner {
                endpoint,
                runtime,
                client_config,
                timer,
                thread: RefCell::new(Some(thread)),
            }),
        })
    }

    /// The bound address; differs from the requested one if that had port 0.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.inner.endpoint.local_addr()
    }

    /// The timer service for the timeouts of this endpoint and its clients and servers.
    pub fn timer(&self) -> &TimerService {
        &self.inner.timer
    }

    /// Closes all connections, waits at most `timeout` until the peers have acknowledged it, and
    /// stops the endpoint thread.
    pub async fn close(&self, timeout: Duration) {
        self.inner.endpoint.close(CODE_NO_ERROR, b"closed");
        let idle = self.inner.endpoint.wait_idle();
        if self.inner.timer.timeout(timeout, idle).await.is_err() {
            log::debug!(
                "timed out waiting for peers to acknowledge that their connections are closed"
            );
        }
        let thread = self.inner.thread.borrow_mut().take();
        if let Some(thread) = thread {
            let _ = thread.stop.send(());
            // Joining is fast: the thread only drops its runtime, which has no blocking work.
            let _ = thread.handle.join();
        }
    }

    pub(super) fn connect(&self, address: SocketAddr, name: &str) -> Result<Connecting, String> {
        let _context = self.inner.runtime.enter();
        let config = self.inner.client_config.clone();
        let connecting = self.inner.endpoint.connect_with(config, address, name);
        connecting.map_err(|error| error.to_string())
    }

    pub(super) async fn accept(&self) -> Option<Incoming> {
        self.inner.endpoint.accept().await
    }

    pub(super) fn accept_incoming(&self, incoming: Incoming) -> Result<Connecting, String> {
        let _context = self.inner.runtime.enter();
        incoming.accept().map_err(|error| error.to_string())
    }
}

fn spawn_runtime_thread(
    open: impl FnOnce() -> std::io::Result<Endpoint> + Send + 'static,
) -> std::io::Result<(Endpoint, tokio::runtime::Handle, EndpointThread)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let handle = runtime.handle().clone();
    let endpoint = {
        let _context = handle.enter();
        open()?
    };
    let (stop, stopped) = oneshot::channel::<()>();
    let thread = std::thread::Builder::new()
        .name("peer-endpoint".to_string())
        .spawn(move || {
            // Also returns when the sender is dropped.
            let _ = runtime.block_on(stopped);
        })?;
    let thread = EndpointThread {
        stop,
        handle: thread,
    };
    Ok((endpoint, handle, thread))
}

fn transport_config(keep_alive_interval: Option<Duration>) -> TransportConfig {
    let mut config = TransportConfig::default();
    let idle_ms = VarInt::from_u32(MAX_IDLE_TIMEOUT.as_millis() as u32);
    config
        .max_idle_timeout(Some(idle_ms.into()))
        .keep_alive_interval(keep_alive_interval)
        .initial_rtt(INITIAL_RTT)
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS_PER_CONNECTION))
        .max_concurrent_uni_streams(VarInt::from_u32(0))
        .datagram_receive_buffer_size(None)
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES))
        .send_window(SEND_WINDOW_BYTES);
    config
}

/// Issues random connection ids and accepts all ids. The default generator of `quinn` drops packets
/// whose id was issued by an earlier process of this entry; these must get a stateless reset.
struct RandomConnectionIds;

impl ConnectionIdGenerator for RandomConnectionIds {
    fn generate_cid(&mut self) -> ConnectionId {
        ConnectionId::new(&rand::random::<[u8; CONNECTION_ID_BYTES]>())
    }

    fn cid_len(&self) -> usize {
        CONNECTION_ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
