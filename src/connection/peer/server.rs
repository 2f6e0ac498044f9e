//! The server side: one task for each connection and each stream.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{Either, select};
use indexmap::IndexMap;
use quinn::{Connection, Incoming, RecvStream, SendStream};
use serde::Serialize;

use super::endpoint::PeerEndpoint;
use super::frame::{self, FrameError, FrameReader};
use super::identity::peer_name;
use super::messages::{ForwardHead, ForwardRequest, PeerRequest, PeerResponse};
use super::{CODE_ABORTED, CODE_REFUSED};
use crate::connection::body::Body;
use crate::ids::EntryId;
use crate::process::notify::Notify;

/// Longest time for the handshake of a connection.
const HANDSHAKE_TIME: Duration = Duration::from_secs(5);
/// Most handshakes at once; further connections are refused.
const HANDSHAKES_AT_ONCE: usize = 256;
/// Longest time for a request to arrive.
const REQUEST_TIME: Duration = Duration::from_secs(30);
/// Longest time until the peer has confirmed the last byte of an answer.
const CONFIRM_TIME: Duration = Duration::from_secs(10);

/// Answers the requests of peers.
pub trait PeerHandler: 'static {
    /// Answers a request other than `Forward`. The future is never dropped early.
    fn call(&self, from: EntryId, request: PeerRequest) -> impl Future<Output = PeerResponse>;

    /// Answers a caller's request that a peer has passed on. The future, and then the body, is
    /// dropped when the caller is disconnected.
    fn forward(
        &self,
        from: EntryId,
        request: ForwardRequest,
    ) -> impl Future<Output = (ForwardHead, Body)>;
}

#[derive(Default)]
struct Shared {
    stopping: Cell<bool>,
    stopped: Cell<bool>,
    handshakes: Cell<usize>,
    streams: Cell<usize>,
    last_reset: Cell<Option<Instant>>,
    connections: RefCell<IndexMap<usize, Connection>>,
    /// Notified when a request ends while the server stops.
    changed: Notify,
}

/// A running server.
pub struct PeerServer {
    endpoint: PeerEndpoint,
    shared: Rc<Shared>,
}

impl PeerServer {
    /// The number of requests in progress.
    pub fn requests(&self) -> usize {
        self.shared.streams.get()
    }

    /// Refuses new requests, waits at most `limit` for those in progress, and closes the
    /// connections. Returns whether all requests ended in time. The client side goes on.
    pub async fn stop(&self, limit: Duration) -> bool {
        self.shared.stopping.set(true);
        let shared = &self.shared;
        let drained = shared.changed.until(|| shared.streams.get() == 0);
        let in_time = self.endpoint.timer().timeout(limit, drained).await.is_ok();
        self.shared.stopped.set(true);
        // The end of a connection may overtake the reset of a request that did run.
        let last_reset = self.shared.last_reset.get();
        let reset_is_known = last_reset.is_none_or(|at| at.elapsed() > CONFIRM_TIME);
        let code = match in_time && reset_is_known {
            true => CODE_REFUSED,
            false => CODE_ABORTED,
        };
        for connection in self.shared.connections.take().into_values() {
            connection.close(code, b"stopped");
        }
        in_time
    }
}

/// Serves the connections of peers.
pub fn serve<H: PeerHandler>(endpoint: &PeerEndpoint, handler: Rc<H>) -> PeerServer {
    let shared = Rc::<Shared>::default();
    let server = Rc::new(Serving {
        endpoint: endpoint.clone(),
        handler,
        shared: shared.clone(),
    });
    monoio::spawn(accept_task(server));
    PeerServer {
        endpoint: endpoint.clone(),
        shared,
    }
}

/// What the tasks of a server share.
struct Serving<H> {
    endpoint: PeerEndpoint,
    handler: Rc<H>,
    shared: Rc<Shared>,
}

async fn accept_task<H: PeerHandler>(server: Rc<Serving<H>>) {
    // It goes on after a stop, until the endpoint closes: a refusal spares clients their time limit.
    while let Some(incoming) = server.endpoint.accept().await {
        let shared = &server.shared;
        if shared.stopping.get() || shared.handshakes.get() >= HANDSHAKES_AT_ONCE {
            incoming.refuse();
            continue;
        }
        shared.handshakes.set(shared.handshakes.get() + 1);
        monoio::spawn(connection_task(server.clone(), incoming));
    }
}

async fn connection_task<H: PeerHandler>(server: Rc<Serving<H>>, incoming: Incoming) {
    let address = incoming.remote_address();
    let handshake = handshake(&server.endpoint, incoming).await;
    let shared = &server.shared;
    shared.handshakes.set(shared.handshakes.get() - 1);
    let (connection, from) = match handshake {
        Ok(accepted) => accepted,
        Err(reason) => {
            log::warn!("connection of a peer at {address} refused: {reason}");
            return;
        }
    };
    let key = connection.stable_id();
    shared
        .connections
        .borrow_mut()
        .insert(key, connection.clone());
    if shared.stopped.get() {
        connection.close(CODE_REFUSED, b"stopped");
    }
    let reason = accept_streams(&server, &connection, &from).await;
    log::debug!("connection of peer `{from}` ended: {reason}");
    shared.connections.borrow_mut().swap_remove(&key);
}

async fn handshake(
    endpoint: &PeerEndpoint,
    incoming: Incoming,
) -> Result<(Connection, EntryId), String> {
    let connecting = endpoint.accept_incoming(incoming)?;
    let connected = endpoint.timer().timeout(HANDSHAKE_TIME, connecting).await;
    let connection = connected
        .map_err(|error| error.to_string())?
        .map_err(|error| error.to_string())?;
    match peer_name(&connection) {
        Ok(name) => Ok((connection, name.into())),
        Err(reason) => {
            connection.close(CODE_REFUSED, b"wrong name");
            Err(reason)
        }
    }
}

async fn accept_streams<H: PeerHandler>(
    server: &Rc<Serving<H>>,
    connection: &Connection,
    from: &EntryId,
) -> quinn::ConnectionError {
    loop {
        let (mut send, mut receive) = match connection.accept_bi().await {
            Ok(stream) => stream,
            Err(error) => return error,
        };
        if server.shared.stopping.get() {
            // Both fail only if the peer has already given up the stream.
            let _ = send.reset(CODE_REFUSED);
            let _ = receive.stop(CODE_REFUSED);
            continue;
        }
        let streams = &server.shared.streams;
        streams.set(streams.get() + 1);
        monoio::spawn(stream_task(server.clone(), from.clone(), send, receive));
    }
}

async fn stream_task<H: PeerHandler>(
    server: Rc<Serving<H>>,
    from: EntryId,
    mut send: SendStream,
    receive: RecvStream,
) {
    let shared = &server.shared;
    match serve_stream(&server, &from, &mut send, receive).await {
        Ok(()) => await_confirmation(&server, &from, &send).await,
        Err(reason) => {
            log::debug!("request of peer `{from}` ended early: {reason}");
            // Fails if the request was refused already.
            let _ = send.reset(CODE_ABORTED);
            shared.last_reset.set(Some(Instant::now()));
        }
    }
    shared.streams.set(shared.streams.get() - 1);
    if shared.stopping.get() {
        shared.changed.notify();
    }
}

/// Waits until the peer has the whole answer. The request counts as in progress until then, because
/// the end of the connection would lose the rest.
async fn await_confirmation<H>(server: &Serving<H>, from: &EntryId, send: &SendStream) {
    let confirmed = server
        .endpoint
        .timer()
        .timeout(CONFIRM_TIME, send.stopped());
    if confirmed.await.is_err() {
        log::debug!("peer `{from}` did not confirm an answer");
    }
}

async fn serve_stream<H: PeerHandler>(
    server: &Serving<H>,
    from: &EntryId,
    send: &mut SendStream,
    receive: RecvStream,
) -> Result<(), String> {
    let mut reader = FrameReader::new(receive);
    let reading = reader.read::<PeerRequest>();
    let request = match server.endpoint.timer().timeout(REQUEST_TIME, reading).await {
        Ok(Ok(request)) => request,
        // The check of a new connection.
        Ok(Err(FrameError::Empty)) => return finish(send),
        Ok(Err(error)) => {
            refuse(send, &mut reader);
            return Err(error.to_string());
        }
        Err(error) => {
            refuse(send, &mut reader);
            return Err(error.to_string());
        }
    };
    match request {
        PeerRequest::Forward(request) => forward(server, from, send, request).await,
        request => {
            let response = server.handler.call(from.clone(), request).await;
            write_message(send, &response).await?;
            finish(send)
        }
    }
}

/// Tells the peer that no work on its request has started.
fn refuse(send: &mut SendStream, reader: &mut FrameReader) {
    let _ = send.reset(CODE_REFUSED);
    reader.stop(CODE_REFUSED);
}

async fn forward<H: PeerHandler>(
    server: &Serving<H>,
    from: &EntryId,
    send: &mut SendStream,
    request: ForwardRequest,
) -> Result<(), String> {
    // Completes when the peer resets the stream or the connection ends.
    let mut disconnected = pin!(send.stopped());
    let answer = pin!(server.handler.forward(from.clone(), request));
    let (head, mut body) = match select(answer, disconnected.as_mut()).await {
        Either::Left((answer, _)) => answer,
        Either::Right(_) => return Err("the caller is disconnected".to_string()),
    };
    write_message(send, &head).await?;
    loop {
        let chunk = match select(pin!(next_chunk(&mut body)), disconnected.as_mut()).await {
            Either::Left((chunk, _)) => chunk?,
            Either::Right(_) => return Err("the caller is disconnected".to_string()),
        };
        match chunk {
            Some(chunk) => write(send, chunk).await?,
            None => return finish(send),
        }
    }
}

async fn next_chunk(body: &mut Body) -> Result<Option<Bytes>, String> {
    match body {
        Body::Full(bytes) => Ok(bytes.take()),
        Body::Stream(receiver) => {
            let chunk = receiver.next().await.transpose();
            chunk.map_err(|error| error.to_string())
        }
    }
}

async fn write_message(send: &mut SendStream, message: &impl Serialize) -> Result<(), String> {
    let message = frame::encode(message).map_err(|error| error.to_string())?;
    write(send, message).await
}

async fn write(send: &mut SendStream, bytes: Bytes) -> Result<(), String> {
    let written = send.write_chunk(bytes).await;
    written.map_err(|error| error.to_string())
}

fn finish(send: &mut SendStream) -> Result<(), String> {
    send.finish().map_err(|error| error.to_string())
}
