//! The client side: one kept connection and one task for each peer.

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

/// Longest time to open a connection. Entries are a few milliseconds from each other.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time to open a stream and to hand over a request.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after the first failed connection; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest pause after a failed connection, about one renewal of a lease.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// A connection without requests is closed after this time, which saves its keep-alive packets.
const UNUSED_CONNECTION_TTL: Duration = Duration::from_secs(10);

/// The connections to all peers; clones share them.
#[derive(Clone)]
pub struct Peers {
    inner: Rc<Inner>,
}

struct Inner {
    endpoint: PeerEndpoint,
    peers: RefCell<IndexMap<EntryId, Rc<Peer>>>,
}

/// What the task of a peer and the requests to it share.
struct Peer {
    id: EntryId,
    connection: RefCell<Option<(SocketAddr, Connection)>>,
    connect_requests: mpsc::UnboundedSender<ConnectRequest>,
    in_flight: Cell<usize>,
    last_used: Cell<Instant>,
}

/// A request waits for a connection.
struct ConnectRequest {
    address: SocketAddr,
    reply: oneshot::Sender<Result<Connection>>,
}

/// Counts a request of a peer while it lives.
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
    /// Makes a client without connections; they are opened when they are needed.
    pub fn new(endpoint: PeerEndpoint) -> Self {
        Self {
            inner: Rc::new(Inner {
                endpoint,
                peers: RefCell::default(),
            }),
        }
    }

    /// Sends a request other than `Forward` and waits at most `limit` for its answer.
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

    /// Passes a caller's request to a peer and waits for the head of the answer, without a time
    /// limit of its own. Dropping the future or the body tells the peer that the caller is gone.
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

    /// Closes the connection to a peer at once. Requests in progress end as interrupted, which is
    /// right for an entry that was fenced: it can acknowledge nothing any more.
    pub fn disconnect(&self, id: &str) {
        let peer = self.inner.peers.borrow().get(id).cloned();
        let connection = peer.and_then(|peer| peer.connection.take());
        if let Some((_, connection)) = connection {
            connection.close(CODE_NO_ERROR, b"disconnected");
        }
    }

    /// Sends a whole request on a new stream. The peer reads a request in full before it starts to
    /// work on it, so every failure up to the last byte means that the request was not sent.
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
        let connect_request = ConnectRequest { address, reply };
        // Fails, like the reply, only if the task of the peer has ended.
        let _ = peer.connect_requests.unbounded_send(connect_request);
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

/// Opens the connection of a peer on demand and closes it when it is not used.
async fn peer_task(
    peers: Peers,
    peer: Rc<Peer>,
    mut connect_requests: mpsc::UnboundedReceiver<ConnectRequest>,
) {
    let timer = peers.inner.endpoint.timer();
    let mut backoff = Backoff::default();
    loop {
        if let Ok(connect_request) = timer
            .timeout(UNUSED_CONNECTION_TTL, connect_requests.next())
            .await
        {
            let Some(connect_request) = connect_request else {
                return;
            };
            let connection = connect_with_backoff(
                &peers.inner.endpoint,
                &peer,
                connect_request.address,
                &mut backoff,
            );
            let _ = connect_request.reply.send(connection.await);
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

/// Delays connections after failures. Requests in the pause fail at once, so that their callers can
/// ask again who holds the slot.
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
            let reason = format!("connect to `{}` at {address}: {reason}", peer.id);
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
        return Err(format!("the entry there is `{peer_id}`"));
    }
    // The handshake ends on this side before the peer has checked this entry's certificate. An
    // empty sending shows that the peer accepts it, so no request is at risk.
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
    // Fails only if the peer has stopped the stream, which its answer tells.
    let _ = sender.0.finish();
    Ok(FrameReader::new(receiver))
}

/// Resets the stream if its request was not written in full.
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
    format!("no answer within {} ms", timeout.as_millis())
}

/// The body of a forwarded answer. Dropping it before its end tells the peer that the caller is
/// gone.
pub struct ForwardBody {
    /// Its stream tells the peer to stop when it is dropped before the end.
    reader: FrameReader,
    _in_flight_guard: InFlightGuard,
}

impl ForwardBody {
    /// The next bytes as they arrive, or `None` at the end of the answer.
    pub async fn next(&mut self) -> Option<Result<Bytes>> {
        let chunk = self.reader.next_chunk().await;
        chunk
            .map_err(|error| PeerError::Interrupted(error.to_string()))
            .transpose()
    }
}
