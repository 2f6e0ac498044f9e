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
const ACCEPT_GRACE_PERIOD: Duration = Duration::from_millis(50);
/// Time after a stop in which the next request of an idle connection may arrive.
const IDLE_GRACE_PERIOD: Duration = Duration::from_millis(200);

/// Bounds on what a connection may send.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Longest body accepted.
    pub max_body_bytes: usize,
    /// Longest request line and headers accepted.
    pub max_header_bytes: usize,
    /// Time for the headers of a request to arrive, and for an idle connection to stay open.
    pub header_timeout: Duration,
    /// Time for the body of a request to arrive.
    pub body_timeout: Duration,
    /// Most connections open at once; further ones are closed at once.
    pub max_connections: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            max_header_bytes: 32 << 10,
            header_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(30),
            max_connections: 20_000,
        }
    }
}

/// Answers requests.
pub trait Handler: 'static {
    /// Answers one request, whose body has been read in full.
    fn handle(&self, request: Request<Bytes>) -> impl Future<Output = Response<Body>>;
}

#[derive(Default)]
struct ServerState {
    /// Whether each answer is the last one on its connection.
    is_keep_alive_disabled: Cell<bool>,
    is_stopping: Cell<bool>,
    /// Whether the accept loop has ended, so that no connection is added any more.
    is_listener_closed: Cell<bool>,
    open_connections: Cell<usize>,
    /// Notified when the server starts to stop, and when its listener or a connection ends after that.
    changed: Notify,
}

impl ServerState {
    async fn wait_for_stop(&self) {
        self.changed.until(|| self.is_stopping.get()).await;
    }

    async fn wait_until_drained(&self) {
        let is_drained = || self.is_listener_closed.get() && self.open_connections.get() == 0;
        self.changed.until(is_drained).await;
    }
}

/// A running server.
#[derive(Clone)]
pub struct Server {
    state: Rc<ServerState>,
    address: SocketAddr,
}

impl Server {
    /// The address that the listener is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.state.open_connections.get()
    }

    /// Closes each connection after its next answer, so that callers connect elsewhere.
    pub fn disable_keep_alive(&self) {
        self.state.is_keep_alive_disabled.set(true);
    }

    /// Stops accepting, lets requests in progress finish, and waits until all connections are closed.
    pub async fn stop(&self) {
        self.disable_keep_alive();
        self.state.is_stopping.set(true);
        self.state.changed.notify();
        self.state.wait_until_drained().await;
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
    let state = Rc::new(ServerState::default());
    let server = Server {
        state: state.clone(),
        address,
    };
    monoio::spawn(accept_loop(listener, limits, timer, handler, state));
    Ok(server)
}

async fn accept_loop<H: Handler>(
    listener: TcpListener,
    limits: HttpLimits,
    timer: TimerService,
    handler: Rc<H>,
    state: Rc<ServerState>,
) {
    /// Pause after a failed accept, so that running out of descriptors does not spin.
    const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
    loop {
        let stop = pin!(state.wait_for_stop());
        let accepted = match select(pin!(listener.accept()), stop).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        match accepted {
            Ok((stream, _)) => start_connection(stream, limits, &timer, &handler, &state),
            Err(error) => {
                log::warn!("accept failed: {error}");
                timer.sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Closing the listener resets the connections in its queue, whose requests may be on their way.
    let accepting_backlog = async {
        while let Ok((stream, _)) = listener.accept().await {
            start_connection(stream, limits, &timer, &handler, &state);
        }
    };
    let _ = timer.timeout(ACCEPT_GRACE_PERIOD, accepting_backlog).await;
    drop(listener);
    state.is_listener_closed.set(true);
    state.changed.notify();
}

fn start_connection<H: Handler>(
    stream: TcpStream,
    limits: HttpLimits,
    timer: &TimerService,
    handler: &Rc<H>,
    state: &Rc<ServerState>,
) {
    if state.open_connections.get() >= limits.max_connections {
        log::warn!(limit = limits.max_connections; "connection refused: too many are open");
        return;
    }
    state.open_connections.set(state.open_connections.get() + 1);
    monoio::spawn(connection_task(
        stream,
        limits,
        timer.clone(),
        handler.clone(),
        state.clone(),
    ));
}

async fn connection_task<H: Handler>(
    stream: TcpStream,
    limits: HttpLimits,
    timer: TimerService,
    handler: Rc<H>,
    state: Rc<ServerState>,
) {
    if let Err(error) = serve_connection(stream, limits, timer, handler, &state).await {
        log::debug!("connection ended: {error}");
    }
    state.open_connections.set(state.open_connections.get() - 1);
    if state.is_stopping.get() {
        state.changed.notify();
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
    state: &ServerState,
) -> std::result::Result<(), ConnectionError> {
    stream.set_nodelay(true)?;
    let io = MonoioIo::new(stream.into_poll_io()?);
    let request_timer = timer.clone();
    let service = service_fn(|request| {
        let handler = handler.clone();
        let timer = request_timer.clone();
        async move {
            let mut response = handle_request(request, limits, timer, handler).await;
            if state.is_keep_alive_disabled.get() {
                let headers = response.headers_mut();
                headers.insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(MonoioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(8 << 10))
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    let stop = pin!(state.wait_for_stop());
    match select(connection.as_mut(), stop).await {
        Either::Left((result, _)) => return Ok(result?),
        Either::Right(_) => {}
    }
    // An idle connection is closed at once by `graceful_shutdown`, with a request that was just sent.
    let grace = timer.sleep(IDLE_GRACE_PERIOD);
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
        .timeout(limits.body_timeout, read_body(body, limits.max_body_bytes))
        .await
    {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return error_response(&error),
        Err(_) => {
            let message = format!(
                "the request body did not arrive within {} ms; send it again",
                limits.body_timeout.as_millis()
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
