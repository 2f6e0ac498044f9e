//! The server side: one task per connection and one per stream.
//!
//! A stream carries one request and its response. A request that is refused before processing is
//! reset with a separate code, so that the client knows that it may send the request elsewhere.

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
use super::identity::peer_entry_id;
use super::messages::{ForwardHead, ForwardRequest, PeerRequest, PeerResponse};
use super::{CODE_ABORTED, CODE_REFUSED};
use crate::connection::body::Body;
use crate::ids::EntryId;
use crate::process::notify::Notify;

/// Limit for the handshake of a connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit of handshakes in progress; further connections are refused.
const MAX_CONCURRENT_HANDSHAKES: usize = 256;
/// Limit for reading a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest wait for the peer to acknowledge the last byte of a response.
const ACK_TIMEOUT: Duration = Duration::from_secs(10);

/// Processes the requests of peers.
pub trait PeerHandler: 'static {
    /// Processes a request other than `Forward`. The future always runs to completion.
    fn call(&self, from: EntryId, request: PeerRequest) -> impl Future<Output = PeerResponse>;

    /// Processes a caller's request that a peer has forwarded. The future, or later the body, is
    /// dropped when the caller disconnects.
    fn forward(
        &self,
        from: EntryId,
        request: ForwardRequest,
    ) -> impl Future<Output = (ForwardHead, Body)>;
}

#[derive(Default)]
struct ServerState {
    is_stopping: Cell<bool>,
    is_stopped: Cell<bool>,
    pending_handshakes: Cell<usize>,
    in_flight_requests: Cell<usize>,
    last_reset: Cell<Option<Instant>>,
    connections: RefCell<IndexMap<usize, Connection>>,
    /// Notified when a request ends while the server is stopping.
    request_ended: Notify,
}

/// A running server for requests of peers.
pub struct PeerServer {
    endpoint: PeerEndpoint,
    state: Rc<ServerState>,
}

impl PeerServer {
    /// The number of requests in flight. A request counts until the peer has acknowledged its
    /// response.
    pub fn in_flight_requests(&self) -> usize {
        self.state.in_flight_requests.get()
    }

    /// Refuses new requests, waits at most `timeout` for those in flight, and closes the accepted
    /// connections. Returns whether all requests ended in time. The client side of the endpoint
    /// keeps running.
    pub async fn stop(&self, timeout: Duration) -> bool {
        self.state.is_stopping.set(true);
        let state = &self.state;
        let drained = state
            .request_ended
            .until(|| state.in_flight_requests.get() == 0);
        let is_drained = self
            .endpoint
            .timer()
            .timeout(timeout, drained)
            .await
            .is_ok();
        self.state.is_stopped.set(true);
        // The close of a connection may arrive before the reset of a request that was processed.
        // After a recent reset, `CODE_REFUSED` could therefore make this request look not sent.
        let last_reset = self.state.last_reset.get();
        let is_reset_delivered = last_reset.is_none_or(|at| at.elapsed() > ACK_TIMEOUT);
        let code = match is_drained && is_reset_delivered {
            true => CODE_REFUSED,
            false => CODE_ABORTED,
        };
        for connection in self.state.connections.take().into_values() {
            connection.close(code, b"stopped");
        }
        is_drained
    }
}

/// Starts to accept connections from peers and passes their requests to `handler`.
pub fn serve<H: PeerHandler>(endpoint: &PeerEndpoint, handler: Rc<H>) -> PeerServer {
    let state = Rc::<ServerState>::default();
    let server = Rc::new(ServerContext {
        endpoint: endpoint.clone(),
        handler,
        state: state.clone(),
    });
    monoio::spawn(accept_task(server));
    PeerServer {
        endpoint: endpoint.clone(),
        state,
    }
}

/// State shared by the tasks of a server.
struct ServerContext<H> {
    endpoint: PeerEndpoint,
    handler: Rc<H>,
    state: Rc<ServerState>,
}

async fn accept_task<H: PeerHandler>(server: Rc<ServerContext<H>>) {
    // Runs until the endpoint is closed, also after a stop: a refused client fails immediately
    // instead of waiting for its timeout.
    while let Some(incoming) = server.endpoint.accept().await {
        let state = &server.state;
        if state.is_stopping.get() || state.pending_handshakes.get() >= MAX_CONCURRENT_HANDSHAKES {
            incoming.refuse();
            continue;
        }
        state
            .pending_handshakes
            .set(state.pending_handshakes.get() + 1);
        monoio::spawn(connection_task(server.clone(), incoming));
    }
}

async fn connection_task<H: PeerHandler>(server: Rc<ServerContext<H>>, incoming: Incoming) {
    let address = incoming.remote_address();
    let handshake = handshake(&server.endpoint, incoming).await;
    let state = &server.state;
    state
        .pending_handshakes
        .set(state.pending_handshakes.get() - 1);
    let (connection, from) = match handshake {
        Ok(accepted) => accepted,
        Err(reason) => {
            log::warn!("refused connection from peer at {address}: {reason}");
            return;
        }
    };
    let connection_id = connection.stable_id();
    state
        .connections
        .borrow_mut()
        .insert(connection_id, connection.clone());
    if state.is_stopped.get() {
        connection.close(CODE_REFUSED, b"stopped");
    }
    let reason = accept_streams(&server, &connection, &from).await;
    log::debug!("connection from peer `{from}` closed: {reason}");
    state.connections.borrow_mut().swap_remove(&connection_id);
}

async fn handshake(
    endpoint: &PeerEndpoint,
    incoming: Incoming,
) -> Result<(Connection, EntryId), String> {
    let connecting = endpoint.accept_incoming(incoming)?;
    let connected = endpoint
        .timer()
        .timeout(HANDSHAKE_TIMEOUT, connecting)
        .await;
    let connection = connected
        .map_err(|error| error.to_string())?
        .map_err(|error| error.to_string())?;
    match peer_entry_id(&connection) {
        Ok(peer_id) => Ok((connection, peer_id.into())),
        Err(reason) => {
            connection.close(CODE_REFUSED, b"wrong name");
            Err(reason)
        }
    }
}

async fn accept_streams<H: PeerHandler>(
    server: &Rc<ServerContext<H>>,
    connection: &Connection,
    from: &EntryId,
) -> quinn::ConnectionError {
    loop {
        let (mut send, mut receive) = match connection.accept_bi().await {
            Ok(stream) => stream,
            Err(error) => return error,
        };
        if server.state.is_stopping.get() {
            // Both fail only if the peer has already closed the stream.
            let _ = send.reset(CODE_REFUSED);
            let _ = receive.stop(CODE_REFUSED);
            continue;
        }
        let in_flight_requests = &server.state.in_flight_requests;
        in_flight_requests.set(in_flight_requests.get() + 1);
        monoio::spawn(stream_task(server.clone(), from.clone(), send, receive));
    }
}

async fn stream_task<H: PeerHandler>(
    server: Rc<ServerContext<H>>,
    from: EntryId,
    mut send: SendStream,
    receive: RecvStream,
) {
    let state = &server.state;
    match serve_stream(&server, &from, &mut send, receive).await {
        Ok(()) => wait_for_acknowledgement(&server, &from, &send).await,
        Err(reason) => {
            log::debug!("request from peer `{from}` failed: {reason}");
            // Fails if the stream was already reset by `refuse`.
            let _ = send.reset(CODE_ABORTED);
            state.last_reset.set(Some(Instant::now()));
        }
    }
    state
        .in_flight_requests
        .set(state.in_flight_requests.get() - 1);
    if state.is_stopping.get() {
        state.request_ended.notify();
    }
}

/// Waits until the peer has acknowledged the whole response. The request counts as in flight until
/// then, because closing the connection would discard the rest.
async fn wait_for_acknowledgement<H>(server: &ServerContext<H>, from: &EntryId, send: &SendStream) {
    let acknowledged = server.endpoint.timer().timeout(ACK_TIMEOUT, send.stopped());
    if acknowledged.await.is_err() {
        log::debug!("timed out waiting for peer `{from}` to acknowledge a response");
    }
}

async fn serve_stream<H: PeerHandler>(
    server: &ServerContext<H>,
    from: &EntryId,
    send: &mut SendStream,
    receive: RecvStream,
) -> Result<(), String> {
    let mut reader = FrameReader::new(receive);
    let reading = reader.read::<PeerRequest>();
    let request = match server
        .endpoint
        .timer()
        .timeout(REQUEST_TIMEOUT, reading)
        .await
    {
        Ok(Ok(request)) => request,
        // The client opens an empty stream to check a new connection.
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

/// Resets the stream with the code for a request whose processing has not started.
fn refuse(send: &mut SendStream, reader: &mut FrameReader) {
    let _ = send.reset(CODE_REFUSED);
    reader.stop(CODE_REFUSED);
}

async fn forward<H: PeerHandler>(
    server: &ServerContext<H>,
    from: &EntryId,
    send: &mut SendStream,
    request: ForwardRequest,
) -> Result<(), String> {
    // Completes when the peer stops the stream or the connection is closed.
    let mut disconnected = pin!(send.stopped());
    let response = pin!(server.handler.forward(from.clone(), request));
    let (head, mut body) = match select(response, disconnected.as_mut()).await {
        Either::Left((response, _)) => response,
        Either::Right(_) => return Err("the caller disconnected".to_string()),
    };
    write_message(send, &head).await?;
    loop {
        let chunk = match select(pin!(next_chunk(&mut body)), disconnected.as_mut()).await {
            Either::Left((chunk, _)) => chunk?,
            Either::Right(_) => return Err("the caller disconnected".to_string()),
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
