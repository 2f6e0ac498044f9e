//! The HTTP/1.1 server: one task for each connection.
//!
//! Limits on headers, bodies and times are enforced here, before a request reaches its handler. A
//! graceful stop closes the listener, lets each connection finish the request in progress, and
//! completes when the last connection is closed.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use monoio::io::IntoPollIo;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use monoio_compat::hyper::{MonoioIo, MonoioTimer};
use serde::Serialize;

use crate::connection::body::Body;
use crate::error::{Error, ErrorKind};
use crate::process::notify::Notify;
use crate::process::timer::TimerService;

/// The result of opening a listener.
pub type Result<T> = std::io::Result<T>;

/// Time after a stop in which connections that are already established are still accepted.
const DRAIN_TIME: Duration = Duration::from_millis(50);
/// Time after a stop in which the next request of an idle connection may arrive.
const IDLE_GRACE: Duration = Duration::from_millis(200);

/// Bounds on what a connection may send.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Longest body accepted.
    pub body_bytes: usize,
    /// Longest request line and headers accepted.
    pub header_bytes: usize,
    /// Time for the headers of a request to arrive, and for an idle connection to stay open.
    pub header_time: Duration,
    /// Time for the body of a request to arrive.
    pub body_time: Duration,
    /// Most connections open at once; further ones are closed at once.
    pub connections: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            header_bytes: 32 << 10,
            header_time: Duration::from_secs(30),
            body_time: Duration::from_secs(30),
            connections: 20_000,
        }
    }
}

/// Answers requests.
pub trait Handler: 'static {
    /// Answers one request, whose body has been read in full.
    fn handle(&self, request: Request<Bytes>) -> impl Future<Output = Response<Body>>;
}

#[derive(Default)]
struct Shared {
    /// Whether each answer is the last one on its connection.
    leaving: Cell<bool>,
    stopping: Cell<bool>,
    /// Whether the accept loop has ended, so that no connection is added any more.
    closed: Cell<bool>,
    connections: Cell<usize>,
    /// Notified when the server starts to stop, and when its listener or a connection ends after that.
    changed: Notify,
}

impl Shared {
    async fn stopping(&self) {
        self.changed.until(|| self.stopping.get()).await;
    }

    async fn drained(&self) {
        let is_drained = || self.closed.get() && self.connections.get() == 0;
        self.changed.until(is_drained).await;
    }
}

/// A running server.
#[derive(Clone)]
pub struct Server {
    shared: Rc<Shared>,
    address: SocketAddr,
}

impl Server {
    /// The address that the listener is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections.get()
    }

    /// Closes each connection after its next answer, so that callers connect elsewhere.
    pub fn leave(&self) {
        self.shared.leaving.set(true);
    }

    /// Stops accepting, lets requests in progress finish, and waits until all connections are closed.
    pub async fn stop(&self) {
        self.leave();
        self.shared.stopping.set(true);
        self.shared.changed.notify();
        self.shared.drained().await;
    }
}

/// Binds `address` and serves connections until [`Server::stop`].
pub fn serve<H: Handler>(
    address: SocketAddr,
    limits: HttpLimits,
    timer: TimerService,
    handler: Rc<H>,
) -> Result<Server> {
    let options = ListenerOpts::new()
        .reuse_port(false)
        .reuse_addr(true)
        .backlog(1024);
    let listener = TcpListener::bind_with_config(address, &options)?;
    let address = listener.local_addr()?;
    let shared = Rc::new(Shared::default());
    let server = Server {
        shared: shared.clone(),
        address,
    };
    monoio::spawn(accept_loop(listener, limits, timer, handler, shared));
    Ok(server)
}

async fn accept_loop<H: Handler>(
    listener: TcpListener,
    limits: HttpLimits,
    timer: TimerService,
    handler: Rc<H>,
    shared: Rc<Shared>,
) {
    /// Pause after a failed accept, so that running out of descriptors does not spin.
    const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
    loop {
        let stop = pin!(shared.stopping());
        let accepted = match select(pin!(listener.accept()), stop).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        match accepted {
            Ok((stream, _)) => start_connection(stream, limits, &timer, &handler, &shared),
            Err(error) => {
                log::warn!("accept failed: {error}");
                timer.sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Closing the listener resets the connections in its queue, whose requests may be on their way.
    let draining = async {
        while let Ok((stream, _)) = listener.accept().await {
            start_connection(stream, limits, &timer, &handler, &shared);
        }
    };
    let _ = timer.timeout(DRAIN_TIME, draining).await;
    drop(listener);
    shared.closed.set(true);
    shared.changed.notify();
}

fn start_connection<H: Handler>(
    stream: TcpStream,
    limits: HttpLimits,
    timer: &TimerService,
    handler: &Rc<H>,
    shared: &Rc<Shared>,
) {
    if shared.connections.get() >= limits.connections {
        log::warn!(limit = limits.connections; "connection refused: too many are open");
        return;
    }
    shared.connections.set(shared.connections.get() + 1);
    monoio::spawn(connection_task(
        stream,
        limits,
        timer.clone(),
        handler.clone(),
        shared.clone(),
    ));
}

async fn connection_task<H: Handler>(
    stream: TcpStream,
    limits: HttpLimits,
    timer: TimerService,
    handler: Rc<H>,
    shared: Rc<Shared>,
) {
    if let Err(error) = serve_connection(stream, limits, timer, handler, &shared).await {
        log::debug!("connection ended: {error}");
    }
    shared.connections.set(shared.connections.get() - 1);
    if shared.stopping.get() {
        shared.changed.notify();
    }
}

/// Why a connection ended early.
enum ConnectionError {
    Io(std::io::Error),
    Http(hyper::Error),
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConnectionError::Io(error) => error.fmt(formatter),
            ConnectionError::Http(error) => error.fmt(formatter),
        }
    }
}

impl From<std::io::Error> for ConnectionError {
    fn from(error: std::io::Error) -> Self {
        ConnectionError::Io(error)
    }
}

impl From<hyper::Error> for ConnectionError {
    fn from(error: hyper::Error) -> Self {
        ConnectionError::Http(error)
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    limits: HttpLimits,
    timer: TimerService,
    handler: Rc<H>,
    shared: &Shared,
) -> std::result::Result<(), ConnectionError> {
    stream.set_nodelay(true)?;
    let io = MonoioIo::new(stream.into_poll_io()?);
    let request_timer = timer.clone();
    let service = service_fn(|request| {
        let handler = handler.clone();
        let timer = request_timer.clone();
        async move {
            let mut response = handle_request(request, limits, timer, handler).await;
            if shared.leaving.get() {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(limits.header_time)
        .max_buf_size(limits.header_bytes.max(8 << 10))
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let stop = pin!(shared.stopping());
    match select(connection.as_mut(), stop).await {
        Either::Left((result, _)) => return Ok(result?),
        Either::Right(_) => {}
    }
    // An idle connection is closed at once by `graceful_shutdown`, with a request that was just sent.
    let grace = timer.sleep(IDLE_GRACE);
    if let Either::Left((result, _)) = select(connection.as_mut(), grace).await {
        return Ok(result?);
    }
    connection.as_mut().graceful_shutdown();
    Ok(connection.await?)
}

async fn handle_request<H: Handler>(
    request: Request<Incoming>,
    limits: HttpLimits,
    timer: TimerService,
    handler: Rc<H>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let body = match timer
        .timeout(limits.body_time, read_body(body, limits.body_bytes))
        .await
    {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return error_response(&error),
        Err(_) => {
            let message = format!(
                "the request body did not arrive within {} ms; send it again",
                limits.body_time.as_millis()
            );
            return error_response(&Error::new(ErrorKind::BodyTimeout, message));
        }
    };
    handler.handle(Request::from_parts(head, body)).await
}

async fn read_body(mut body: Incoming, limit_bytes: usize) -> crate::error::Result<Bytes> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            Error::new(ErrorKind::BadRequest, "the request body is incomplete").with_cause(error)
        })?;
        if let Ok(data) = frame.into_data() {
            if buffer.len() + data.len() > limit_bytes {
                let message = format!("the request body is longer than {limit_bytes} bytes");
                return Err(Error::new(ErrorKind::BodyTooLarge, message));
            }
            buffer.extend_from_slice(&data);
        }
    }
    Ok(buffer.freeze())
}

/// Turns an error into its answer by the table of error kinds.
pub fn error_response(error: &Error) -> Response<Body> {
    let answer = error.kind.answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json_response(status, &error.to_body());
    if let Some(delay) = answer.retry_after {
        // The header has whole seconds only; the body has the exact time.
        let seconds = delay.as_millis().div_ceil(1000) as u64;
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}

/// An answer with a JSON body.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = Response::new(Body::full(bytes));
            *response.status_mut() = status;
            let content_type = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            response
        }
        Err(error) => {
            log::error!("an answer could not be encoded: {error}");
            let mut response = Response::new(Body::full(Bytes::new()));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
