//! The client side: one connection and one task per peer.
//!
//! A request uses the open connection of its peer, or asks the task of the peer to open one. The
//! task opens one connection at a time, delays new attempts after failures, and closes the
//! connection when it is no longer used.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::{mpsc, oneshot};
use futures_util::StreamExt;
use indexmap::IndexMap;
use quinn::{Connection, ConnectionError, ReadError, SendStream};
use serde::de::DeserializeOwned;

use super::endpoint::PeerEndpoint;
use super::frame::{self, FrameError, FrameReader};
use super::identity::peer_entry_id;
use super::messages::{ForwardHead, ForwardRequest, PeerRequest, PeerResponse};
use super::{CODE_ABORTED, CODE_NO_ERROR, CODE_REFUSED, PeerError, Result};
use crate::ids::EntryId;
use crate::process::metrics::PEER_REQUESTS;

/// Limit for opening a connection. The latency between entries is a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit for opening a stream and writing a request.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after the first failed connection attempt; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay after a failed connection attempt, about one lease renewal interval.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// A connection is closed after this time without requests, to save its keep-alive packets.
const UNUSED_CONNECTION_TTL: Duration = Duration::from_secs(10);

/// The client for requests to all peers; clones share the connections.
#[derive(Clone)]
pub struct Peers {
    inner: Rc<Inner>,
}

struct Inner {
    endpoint: PeerEndpoint,
    peers: RefCell<IndexMap<EntryId, Rc<Peer>>>,
}

/// State shared by the task of a peer and the requests to it.
struct Peer {
    id: EntryId,
    connection: RefCell<Option<(SocketAddr, Connection)>>,
    connect_requests: mpsc::UnboundedSender<ConnectRequest>,
    in_flight: Cell<usize>,
    last_used: Cell<Instant>,
}

/// Asks the task of a peer for a connection to `address`.
struct ConnectRequest {
    address: SocketAddr,
    reply: oneshot::Sender<Result<Connection>>,
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(Rc<Peer>);

impl InFlightGuard {
    fn new(peer: Rc<Peer>) -> Self {
        peer.in_flight.set(peer.in_flight.get() + 1);
        Self(peer)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.last_used.set(Instant::now());
    }
}

impl Peer {
    fn usable_connection(&self, address: SocketAddr) -> Option<Connection> {
        let connection = self.connection.borrow();
        let (connected_address, connection) = connection.as_ref()?;
        let is_open = *connected_address == address && connection.close_reason().is_none();
        is_open.then(|| connection.clone())
    }
}

impl Peers {
    /// Creates a client; connections are opened on demand.
    pub fn new(endpoint: PeerEndpoint) -> Self {
        Self {
            inner: Rc::new(Inner {
                endpoint,
                peers: RefCell::default(),
            }),
        }
    }

    /// Sends a request other than `Forward` and waits at most `timeout` for its response.
    pub async fn call(
        &self,
        address: SocketAddr,
        id: &EntryId,
        request: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerResponse> {
        let timer = self.inner.endpoint.timer();
        let deadline = timer.now() + timeout;
        let kind = request.kind();
        let response = self
            .send_and_receive(address, id, request, deadline, timeout)
            .await;
        record_outcome(kind, &response);
        response
    }

    async fn send_and_receive(
        &self,
        address: SocketAddr,
        id: &EntryId,
        request: PeerRequest,
        deadline: Instant,
        timeout: Duration,
    ) -> Result<PeerResponse> {
        let timer = self.inner.endpoint.timer();
        let sending = timer.timeout_at(deadline, self.send_request(address, id, &request));
        let (mut reader, _in_flight_guard) = sending
            .await
            .map_err(|_| PeerError::NotSent(timeout_reason(timeout)))??;
        match timer.timeout_at(deadline, read_response(&mut reader)).await {
            Ok(response) => response,
            Err(_) => Err(PeerError::Interrupted(timeout_reason(timeout))),
        }
    }

    /// Forwards a caller's request to a peer and waits for the head of the response, without a
    /// timeout for the response. Dropping the future or the body stops the stream, which notifies
    /// the peer that the caller has disconnected.
    pub async fn forward(
        &self,
        address: SocketAddr,
        id: &EntryId,
        request: ForwardRequest,
    ) -> Result<(ForwardHead, ForwardBody)> {
        let request = PeerRequest::Forward(request);
        let response = self.open_forward(address, id, &request).await;
        record_outcome(request.kind(), &response);
        response
    }

    async fn open_forward(
        &self,
        address: SocketAddr,
        id: &EntryId,
        request: &PeerRequest,
    ) -> Result<(ForwardHead, ForwardBody)> {
        let (mut reader, in_flight_guard) = self.send_request(address, id, request).await?;
        let head = read_response(&mut reader).await?;
        let body = ForwardBody {
            reader,
            _in_flight_guard: in_flight_guard,
        };
        Ok((head, body))
    }

    /// Closes the connection to a peer immediately. Requests in flight fail with
    /// [`PeerError::Interrupted`]. Used for an entry that was fenced and
    /// therefore cannot acknowledge anything.
    pub fn disconnect(&self, id: &str) {
        let peer = self.inner.peers.borrow().get(id).cloned();
        let connection = peer.and_then(|peer| peer.connection.take());
        if let Some((_, connection)) = connection {
            connection.close(CODE_NO_ERROR, b"disconnected");
        }
    }

    /// Sends a complete request on a new stream. The peer reads the whole request before processing
    /// it, so any failure before the last byte is written means [`PeerError::NotSent`].
    async fn send_request(
        &self,
        address: SocketAddr,
        id: &EntryId,
        request: &PeerRequest,
    ) -> Result<(FrameReader, InFlightGuard)> {
        let message = frame::encode(request).map_err(not_sent)?;
        let peer = self.get_or_create_peer(id);
        let in_flight_guard = InFlightGuard::new(peer.clone());
        let connection = self.connection_to(&peer, address).await?;
        let timer = self.inner.endpoint.timer();
        let reader = timer
            .timeout(SEND_TIMEOUT, write_request(&connection, message))
            .await
            .map_err(not_sent)??;
        Ok((reader, in_flight_guard))
    }

    async fn connection_to(&self, peer: &Peer, address: SocketAddr) -> Result<Connection> {
        if let Some(connection) = peer.usable_connection(address) {
            return Ok(connection);
        }
        let (reply, connected) = oneshot::channel();
        let request = ConnectRequest { address, reply };
        // Fails only if the task of the peer has ended; `connected` then fails as well.
        let _ = peer.connect_requests.unbounded_send(request);
        connected.await.map_err(not_sent)?
    }

    fn get_or_create_peer(&self, id: &EntryId) -> Rc<Peer> {
        let mut peers = self.inner.peers.borrow_mut();
        if let Some(peer) = peers.get(id) {
            return peer.clone();
        }
        let (connect_requests, receiver) = mpsc::unbounded();
        let peer = Rc::new(Peer {
            id: id.clone(),
            connection: RefCell::default(),
            connect_requests,
            in_flight: Cell::new(0),
            last_used: Cell::new(Instant::now()),
        });
        peers.insert(id.clone(), peer.clone());
        monoio::spawn(peer_task(self.clone(), peer.clone(), receiver));
        peer
    }
}

/// Opens the connection to a peer on demand and closes it when it is unused.
async fn peer_task(
    peers: Peers,
    peer: Rc<Peer>,
    mut connect_requests: mpsc::UnboundedReceiver<ConnectRequest>,
) {
    let timer = peers.inner.endpoint.timer();
    let mut backoff = Backoff::default();
    loop {
        if let Ok(request) = timer
            .timeout(UNUSED_CONNECTION_TTL, connect_requests.next())
            .await
        {
            let Some(request) = request else { return };
            let connection =
                connect_with_backoff(&peers.inner.endpoint, &peer, request.address, &mut backoff);
            let _ = request.reply.send(connection.await);
            continue;
        }
        let is_unused =
            peer.in_flight.get() == 0 && peer.last_used.get().elapsed() >= UNUSED_CONNECTION_TTL;
        if is_unused {
            peers.inner.peers.borrow_mut().swap_remove(&peer.id);
            if let Some((_, connection)) = peer.connection.take() {
                connection.close(CODE_NO_ERROR, b"unused");
            }
            return;
        }
    }
}

/// Delays connection attempts after failures. Requests during the delay fail immediately, so that
/// the sender can look up the lease holder of the slot again.
#[derive(Default)]
struct Backoff {
    failures: u32,
    last_failure: Option<(SocketAddr, Instant, PeerError)>,
}

impl Backoff {
    fn check(&self, address: SocketAddr) -> Result<()> {
        match &self.last_failure {
            Some((failed_address, retry_at, error))
                if *failed_address == address && Instant::now() < *retry_at =>
            {
                Err(error.clone())
            }
            _ => Ok(()),
        }
    }

    fn record_failure(&mut self, address: SocketAddr, error: &PeerError) {
        let delay = INITIAL_BACKOFF * 2u32.saturating_pow(self.failures.min(16));
        let retry_at = Instant::now() + delay.min(MAX_BACKOFF);
        self.failures += 1;
        self.last_failure = Some((address, retry_at, error.clone()));
    }
}

async fn connect_with_backoff(
    endpoint: &PeerEndpoint,
    peer: &Peer,
    address: SocketAddr,
    backoff: &mut Backoff,
) -> Result<Connection> {
    if let Some(connection) = peer.usable_connection(address) {
        return Ok(connection);
    }
    backoff.check(address)?;
    let connecting = connect(endpoint, address, &peer.id);
    let connected = match endpoint.timer().timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(connected) => connected,
        Err(elapsed) => Err(elapsed.to_string()),
    };
    match connected {
        Ok(connection) => {
            *backoff = Backoff::default();
            *peer.connection.borrow_mut() = Some((address, connection.clone()));
            Ok(connection)
        }
        Err(reason) => {
            let reason = format!(
                "could not connect to peer `{}` at {address}: {reason}",
                peer.id
            );
            log::debug!("{reason}");
            let error = PeerError::NotSent(reason);
            backoff.record_failure(address, &error);
            Err(error)
        }
    }
}

async fn connect(
    endpoint: &PeerEndpoint,
    address: SocketAddr,
    id: &EntryId,
) -> std::result::Result<Connection, String> {
    let connecting = endpoint.connect(address, id)?;
    let connection = connecting.await.map_err(|error| error.to_string())?;
    let peer_id = peer_entry_id(&connection)?;
    if !peer_id.eq_ignore_ascii_case(id) {
        connection.close(CODE_NO_ERROR, b"wrong name");
        return Err(format!("the certificate is for entry `{peer_id}`"));
    }
    // The handshake completes on this side before the peer has verified this entry's certificate.
    // The response to an empty stream proves that the peer has accepted it; otherwise the
    // outcome of the first request could be unknown.
    let (mut send, mut receive) = connection.open_bi().await.map_err(|e| e.to_string())?;
    send.finish().map_err(|error| error.to_string())?;
    let response = receive.read_to_end(0).await;
    response.map_err(|error| error.to_string())?;
    Ok(connection)
}

async fn write_request(connection: &Connection, message: Bytes) -> Result<FrameReader> {
    let (sender, receiver) = connection.open_bi().await.map_err(not_sent)?;
    let mut sender = ResetOnDrop(sender, true);
    sender.0.write_chunk(message).await.map_err(not_sent)?;
    sender.1 = false;
    // Fails only if the peer has stopped the stream; reading the response then reports the error.
    let _ = sender.0.finish();
    Ok(FrameReader::new(receiver))
}

/// Resets the stream on drop while the flag is set, i.e. until the request is written in full.
struct ResetOnDrop(SendStream, bool);

impl Drop for ResetOnDrop {
    fn drop(&mut self) {
        if self.1 {
            let _ = self.0.reset(CODE_ABORTED);
        }
    }
}

async fn read_response<T: DeserializeOwned>(reader: &mut FrameReader) -> Result<T> {
    let response = reader.read().await;
    response.map_err(|error| match error {
        error if error.reset_code() == Some(CODE_REFUSED) => not_sent(error),
        FrameError::Read(ReadError::ConnectionLost(ConnectionError::ApplicationClosed(close)))
            if close.error_code == CODE_REFUSED && !reader.has_buffered_bytes() =>
        {
            not_sent("the peer is shutting down")
        }
        error => PeerError::Interrupted(error.to_string()),
    })
}

fn record_outcome<T>(kind: &'static str, response: &Result<T>) {
    let outcome = match response {
        Ok(_) => "ok",
        Err(PeerError::NotSent(_)) => "not_sent",
        Err(PeerError::Interrupted(_)) => "interrupted",
    };
    metrics::counter!(PEER_REQUESTS, "kind" => kind, "outcome" => outcome).increment(1);
}

fn not_sent(reason: impl std::fmt::Display) -> PeerError {
    PeerError::NotSent(reason.to_string())
}

fn timeout_reason(timeout: Duration) -> String {
    format!("no response within {} ms", timeout.as_millis())
}

/// The body of a forwarded response. Dropping it before its end notifies the peer that the caller
/// has disconnected.
pub struct ForwardBody {
    /// Stops the stream if it is dropped before the end.
    reader: FrameReader,
    _in_flight_guard: InFlightGuard,
}

impl ForwardBody {
    /// Returns the next bytes as they arrive, or `None` at the end of the response.
    pub async fn next(&mut self) -> Option<Result<Bytes>> {
        let chunk = self.reader.next_chunk().await;
        chunk
            .map_err(|error| PeerError::Interrupted(error.to_string()))
            .transpose()
    }
}
