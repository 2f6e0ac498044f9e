//! The HTTP/1.1 server: one task per connection.
//!
//! The server enforces size limits and timeouts of headers and bodies before it passes a request to
//! the handler. A graceful stop closes the listener, lets each connection finish the request in
//! flight, and completes when the last connection is closed.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Either, select};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::{MonoioIo, MonoioTimer};
use serde::Serialize;

use crate::connection::body::Body;
use crate::connection::body_buffer::{BodyBudget, BodyError};
use crate::connection::fair_io::{FairIo, HeadAllowance};
use crate::connection::listener::Listener;
use crate::error::{Error, ErrorKind};
use crate::process::notify::Notify;
use crate::process::task;
use crate::process::timer::TimerService;

/// The result of opening a listener.
pub type Result<T> = std::io::Result<T>;

/// Time after a stop during which connections from the backlog of the listener are still accepted.
const ACCEPT_GRACE_PERIOD: Duration = Duration::from_millis(50);
/// Time after a stop during which an idle connection may still receive a request.
const IDLE_GRACE_PERIOD: Duration = Duration::from_millis(200);

/// Size limits and timeouts of connections.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Longest request body; a longer one is rejected.
    pub max_body_bytes: usize,
    /// Longest request line with headers; values below 8 KiB have the effect of 8 KiB.
    pub max_header_bytes: usize,
    /// Longest wait for the headers of a request, which also limits how long a connection stays idle.
    pub header_timeout: Duration,
    /// Longest wait for the complete body of a request.
    pub body_timeout: Duration,
    /// Limit of open connections; further ones are closed immediately.
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

/// The address that a request came from, among the extensions of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerAddress(pub SocketAddr);

/// Processes the requests that a server receives.
pub trait Handler: 'static {
    /// Processes a request whose body has been read in full.
    fn handle(&self, request: Request<Bytes>) -> impl Future<Output = Response<Body>>;
}

/// Most bytes of long request bodies in memory at the same time.
const BODY_BUDGET_BYTES: usize = 24 << 20;

struct ServerState {
    /// Bounds the request bodies of all connections together.
    bodies: BodyBudget,
    /// Whether each connection is closed after its next response.
    is_keep_alive_disabled: Cell<bool>,
    is_stopping: Cell<bool>,
    /// Whether the accept loop has ended, after which no connection is added.
    is_listener_closed: Cell<bool>,
    open_connections: Cell<usize>,
    /// Notified when the server begins to stop, and then when the listener or a connection closes.
    changed: Notify,
}

impl Default for ServerState {
    fn default() -> Self {
        Self {
            bodies: BodyBudget::new(BODY_BUDGET_BYTES),
            is_keep_alive_disabled: Cell::default(),
            is_stopping: Cell::default(),
            is_listener_closed: Cell::default(),
            open_connections: Cell::default(),
            changed: Notify::default(),
        }
    }
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

/// A running server; clones share it.
#[derive(Clone)]
pub struct Server {
    state: Rc<ServerState>,
    address: SocketAddr,
}

impl Server {
    /// The bound address; differs from the requested one if that had port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of open connections, idle ones included.
    pub fn open_connections(&self) -> usize {
        self.state.open_connections.get()
    }

    /// Closes each connection after its next response, so that callers connect to another server.
    pub fn disable_keep_alive(&self) {
        self.state.is_keep_alive_disabled.set(true);
    }

    /// Stops accepting connections, lets requests in flight finish, and waits until all connections
    /// are closed.
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
    let listener = Listener::bind(address)?;
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
    listener: Listener,
    limits: HttpLimits,
    timer: TimerService,
    handler: Rc<H>,
    state: Rc<ServerState>,
) {
    /// Delay after a failed accept, which avoids a busy loop when no file descriptors are left.
    const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
    loop {
        let stop = pin!(state.wait_for_stop());
        let accepted = match select(pin!(listener.accept()), stop).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        match accepted {
            Ok((stream, caller)) => {
                start_connection(stream, caller, limits, &timer, &handler, &state);
            }
            Err(error) => {
                log::warn!("could not accept a connection: {error}");
                timer.sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if let Err(error) = listener.ignore_new_connections() {
        log::debug!("connections may be reset when the listener closes: {error}");
    }
    let accepting_backlog = async {
        while let Ok((stream, caller)) = listener.accept().await {
            start_connection(stream, caller, limits, &timer, &handler, &state);
        }
    };
    let _ = timer.timeout(ACCEPT_GRACE_PERIOD, accepting_backlog).await;
    drop(listener);
    state.is_listener_closed.set(true);
    state.changed.notify();
}

fn start_connection<H: Handler>(
    stream: TcpStream,
    caller: SocketAddr,
    limits: HttpLimits,
    timer: &TimerService,
    handler: &Rc<H>,
    state: &Rc<ServerState>,
) {
    if state.open_connections.get() >= limits.max_connections {
        log::warn!(limit = limits.max_connections; "refused connection: too many connections are open");
        return;
    }
    state.open_connections.set(state.open_connections.get() + 1);
    monoio::spawn(connection_task(
        stream,
        caller,
        limits,
        timer.clone(),
        handler.clone(),
        state.clone(),
    ));
}

async fn connection_task<H: Handler>(
    stream: TcpStream,
    caller: SocketAddr,
    limits: HttpLimits,
    timer: TimerService,
    handler: Rc<H>,
    state: Rc<ServerState>,
) {
    let serving = serve_connection(stream, caller, limits, timer, handler, &state);
    if let Some(Err(error)) = task::isolate("connection", serving).await {
        log::debug!("connection failed: {error}");
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
    caller: SocketAddr,
    limits: HttpLimits,
    timer: TimerService,
    handler: Rc<H>,
    state: &ServerState,
) -> std::result::Result<(), ConnectionError> {
    stream.set_nodelay(true)?;
    let io = FairIo::new(stream.into_poll_io()?, HeadAllowance::default());
    let io = MonoioIo::new(io);
    let request_timer = timer.clone();
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(CallerAddress(caller));
        let handler = handler.clone();
        let timer = request_timer.clone();
        let bodies = state.bodies.clone();
        async move {
            let mut response = handle_request(request, limits, timer, bodies, handler).await;
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
    // `graceful_shutdown` closes an idle connection immediately and would lose a request that has
    // just been sent.
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
    bodies: BodyBudget,
    handler: Rc<H>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    let body = match timer
        .timeout(
            limits.body_timeout,
            bodies.read(body, limits.max_body_bytes),
        )
        .await
    {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return error_response(&body_error(error)),
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

fn body_error(error: BodyError) -> Error {
    match error {
        BodyError::Broken(cause) => {
            Error::new(ErrorKind::BadRequest, "the request body is incomplete").with_cause(cause)
        }
        BodyError::TooLong(limit_bytes) => {
            let message = format!("the request body is longer than {limit_bytes} bytes");
            Error::new(ErrorKind::BodyTooLarge, message)
        }
        BodyError::BudgetExhausted => {
            let message = "too many long request bodies are being read; retry later";
            Error::new(ErrorKind::Overloaded, message)
        }
    }
}

/// Converts an error into the response defined for its kind in [`crate::error`].
pub fn error_response(error: &Error) -> Response<Body> {
    let answer = error.kind.answer();
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json_response(status, &error.to_body());
    if let Some(delay) = answer.retry_after {
        // The header allows whole seconds only; the body has the delay in milliseconds.
        let seconds = delay.as_millis().div_ceil(1000) as u64;
        response.headers_mut().insert(RETRY_AFTER, seconds.into());
    }
    response
}

/// A response with a JSON body; status 500 with an empty body if `value` cannot be encoded.
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
            log::error!("could not encode a response: {error}");
            let mut response = Response::new(Body::full(Bytes::new()));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
