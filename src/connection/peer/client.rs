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
use super::identity::peer_name;
use super::messages::{ForwardHead, ForwardRequest, PeerRequest, PeerResponse};
use super::{CODE_ABORTED, CODE_DONE, CODE_REFUSED, PeerError, Result};
use crate::ids::EntryId;
use crate::process::metrics::PEER_REQUESTS;

/// Longest time to open a connection. Entries are a few milliseconds from each other.
const CONNECT_TIME: Duration = Duration::from_secs(2);
/// Longest time to open a stream and to hand over a request.
const SEND_TIME: Duration = Duration::from_secs(10);
/// Pause after the first failed connection; it doubles with each further one.
const BACKOFF_FIRST: Duration = Duration::from_millis(50);
/// Longest pause after a failed connection, about one renewal of a lease.
const BACKOFF_MOST: Duration = Duration::from_secs(1);
/// A connection without requests is closed after this time, which saves its keep-alive packets.
const UNUSED_TIME: Duration = Duration::from_secs(10);

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
    demands: mpsc::UnboundedSender<Demand>,
    requests: Cell<usize>,
    last_used: Cell<Instant>,
}

/// A request waits for a connection.
struct Demand {
    address: SocketAddr,
    reply: oneshot::Sender<Result<Connection>>,
}

/// Counts a request of a peer while it lives.
struct InProgress(Rc<Peer>);

impl InProgress {
    fn new(peer: Rc<Peer>) -> Self {
        peer.requests.set(peer.requests.get() + 1);
        Self(peer)
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
        self.0.last_used.set(Instant::now());
    }
}

impl Peer {
    fn open_connection(&self, address: SocketAddr) -> Option<Connection> {
        let connection = self.connection.borrow();
        let (connected, connection) = connection.as_ref()?;
        let open = *connected == address && connection.close_reason().is_none();
        open.then(|| connection.clone())
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
        limit: Duration,
    ) -> Result<PeerResponse> {
        let timer = self.inner.endpoint.timer();
        let deadline = timer.now() + limit;
        let kind = request.kind();
        let answer = self.exchange(address, id, request, deadline, limit).await;
        count(kind, &answer);
        answer
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        id: &EntryId,
        request: PeerRequest,
        deadline: Instant,
        limit: Duration,
    ) -> Result<PeerResponse> {
        let timer = self.inner.endpoint.timer();
        let exchange = timer.timeout_at(deadline, self.start(address, id, &request));
        let (mut reader, _in_progress) = exchange
            .await
            .map_err(|_| PeerError::NotSent(no_answer(limit)))??;
        match timer.timeout_at(deadline, read_answer(&mut reader)).await {
            Ok(answer) => answer,
            Err(_) => Err(PeerError::Interrupted(no_answer(limit))),
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
        let answer = self.open(address, id, &request).await;
        count(request.kind(), &answer);
        answer
    }

    async fn open(
        &self,
        address: SocketAddr,
        id: &EntryId,
        request: &PeerRequest,
    ) -> Result<(ForwardHead, ForwardBody)> {
        let (mut reader, in_progress) = self.start(address, id, request).await?;
        let head = read_answer(&mut reader).await?;
        let body = ForwardBody {
            reader,
            _in_progress: in_progress,
        };
        Ok((head, body))
    }

    /// Closes the connection to a peer at once. Requests in progress end as interrupted, which is
    /// right for an entry that was fenced: it can acknowledge nothing any more.
    pub fn disconnect(&self, id: &str) {
        let peer = self.inner.peers.borrow().get(id).cloned();
        let connection = peer.and_then(|peer| peer.connection.take());
        if let Some((_, connection)) = connection {
            connection.close(CODE_DONE, b"disconnected");
        }
    }

    /// Sends a whole request on a new stream. The peer reads a request in full before it starts to
    /// work on it, so every failure up to the last byte means that the request was not sent.
    async fn start(
        &self,
        address: SocketAddr,
        id: &EntryId,
        request: &PeerRequest,
    ) -> Result<(FrameReader, InProgress)> {
        let message = frame::encode(request).map_err(not_sent)?;
        let peer = self.peer(id);
        let in_progress = InProgress::new(peer.clone());
        let connection = self.connection(&peer, address).await?;
        let timer = self.inner.endpoint.timer();
        let reader = timer
            .timeout(SEND_TIME, send(&connection, message))
            .await
            .map_err(not_sent)??;
        Ok((reader, in_progress))
    }

    async fn connection(&self, peer: &Peer, address: SocketAddr) -> Result<Connection> {
        if let Some(connection) = peer.open_connection(address) {
            return Ok(connection);
        }
        let (reply, connected) = oneshot::channel();
        let demand = Demand { address, reply };
        // Fails, like the reply, only if the task of the peer has ended.
        let _ = peer.demands.unbounded_send(demand);
        connected.await.map_err(not_sent)?
    }

    fn peer(&self, id: &EntryId) -> Rc<Peer> {
        let mut peers = self.inner.peers.borrow_mut();
        if let Some(peer) = peers.get(id) {
            return peer.clone();
        }
        let (demands, receiver) = mpsc::unbounded();
        let peer = Rc::new(Peer {
            id: id.clone(),
            connection: RefCell::default(),
            demands,
            requests: Cell::new(0),
            last_used: Cell::new(Instant::now()),
        });
        peers.insert(id.clone(), peer.clone());
        monoio::spawn(peer_task(self.clone(), peer.clone(), receiver));
        peer
    }
}

/// Opens the connection of a peer on demand and closes it when it is not used.
async fn peer_task(peers: Peers, peer: Rc<Peer>, mut demands: mpsc::UnboundedReceiver<Demand>) {
    let timer = peers.inner.endpoint.timer();
    let mut backoff = Backoff::default();
    loop {
        if let Ok(demand) = timer.timeout(UNUSED_TIME, demands.next()).await {
            let Some(demand) = demand else { return };
            let connection = provide(&peers.inner.endpoint, &peer, demand.address, &mut backoff);
            let _ = demand.reply.send(connection.await);
            continue;
        }
        let unused = peer.requests.get() == 0 && peer.last_used.get().elapsed() >= UNUSED_TIME;
        if unused {
            peers.inner.peers.borrow_mut().swap_remove(&peer.id);
            if let Some((_, connection)) = peer.connection.take() {
                connection.close(CODE_DONE, b"unused");
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
    failed: Option<(SocketAddr, Instant, PeerError)>,
}

impl Backoff {
    fn check(&self, address: SocketAddr) -> Result<()> {
        match &self.failed {
            Some((failed, until, error)) if *failed == address && Instant::now() < *until => {
                Err(error.clone())
            }
            _ => Ok(()),
        }
    }

    fn record_failure(&mut self, address: SocketAddr, error: &PeerError) {
        let pause = BACKOFF_FIRST * 2u32.saturating_pow(self.failures.min(16));
        let until = Instant::now() + pause.min(BACKOFF_MOST);
        self.failures += 1;
        self.failed = Some((address, until, error.clone()));
    }
}

async fn provide(
    endpoint: &PeerEndpoint,
    peer: &Peer,
    address: SocketAddr,
    backoff: &mut Backoff,
) -> Result<Connection> {
    if let Some(connection) = peer.open_connection(address) {
        return Ok(connection);
    }
    backoff.check(address)?;
    let connecting = connect(endpoint, address, &peer.id);
    let connected = match endpoint.timer().timeout(CONNECT_TIME, connecting).await {
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
    let name = peer_name(&connection)?;
    if !name.eq_ignore_ascii_case(id) {
        connection.close(CODE_DONE, b"wrong name");
        return Err(format!("the entry there is `{name}`"));
    }
    // The handshake ends on this side before the peer has checked this entry's certificate. An
    // empty exchange shows that the peer accepts it, so no request is at risk.
    let (mut send, mut receive) = connection.open_bi().await.map_err(|e| e.to_string())?;
    send.finish().map_err(|error| error.to_string())?;
    let answer = receive.read_to_end(0).await;
    answer.map_err(|error| error.to_string())?;
    Ok(connection)
}

async fn send(connection: &Connection, message: Bytes) -> Result<FrameReader> {
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

async fn read_answer<T: DeserializeOwned>(reader: &mut FrameReader) -> Result<T> {
    let answer = reader.read().await;
    answer.map_err(|error| match error {
        error if error.reset_code() == Some(CODE_REFUSED) => not_sent(error),
        FrameError::Read(ReadError::ConnectionLost(ConnectionError::ApplicationClosed(close)))
            if close.error_code == CODE_REFUSED && !reader.has_bytes() =>
        {
            not_sent("the peer is shutting down")
        }
        error => PeerError::Interrupted(error.to_string()),
    })
}

fn count<T>(kind: &'static str, answer: &Result<T>) {
    let outcome = match answer {
        Ok(_) => "ok",
        Err(PeerError::NotSent(_)) => "not_sent",
        Err(PeerError::Interrupted(_)) => "interrupted",
    };
    metrics::counter!(PEER_REQUESTS, "kind" => kind, "outcome" => outcome).increment(1);
}

fn not_sent(reason: impl std::fmt::Display) -> PeerError {
    PeerError::NotSent(reason.to_string())
}

fn no_answer(limit: Duration) -> String {
    format!("no answer within {} ms", limit.as_millis())
}

/// The body of a forwarded answer. Dropping it before its end tells the peer that the caller is
/// gone.
pub struct ForwardBody {
    /// Its stream tells the peer to stop when it is dropped before the end.
    reader: FrameReader,
    _in_progress: InProgress,
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
