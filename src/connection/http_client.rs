//! HTTP/1.1 client with a pool of idle connections per address.
//!
//! A request takes an idle connection of its address or opens a new one; the connection returns to
//! the pool when the answer has been read.
//!
//! [`ClientError`] states whether any byte of the request may have reached the server, because only
//! a request that certainly was not sent may be answered with `ran: no` or be sent to another
//! server without further conditions.

use std::cell::RefCell;
use std::fmt;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Request, Response};
use indexmap::IndexMap;
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;

use crate::connection::body_buffer::BodyBudget;
use crate::connection::fair_io::{FairIo, HeadAllowance};
use crate::process::timer::TimerService;

/// The result of a request.
pub type Result<T> = std::result::Result<T, ClientError>;

/// Why a request did not get a complete answer.
#[derive(Debug)]
pub enum ClientError {
    /// Nothing was written to a connection: the server certainly did not receive the request.
    NotSent(String),
    /// The server may have received the request; the answer is missing, incomplete or too long.
    Interrupted(String),
    /// The timeout, which it holds, expired after sending had started; the server may have received
    /// the request.
    TimedOut(Duration),
    /// The answer belongs to another request; the server may have received this one.
    Mismatched,
}

impl ClientError {
    /// Whether the server certainly did not receive the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(self, ClientError::NotSent(_))
    }
}

impl fmt::Display for ClientError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ClientError::NotSent(reason) => write!(formatter, "the request was not sent: {reason}"),
            ClientError::Interrupted(reason) => {
                write!(
                    formatter,
                    "the connection broke before the answer was complete: {reason}"
                )
            }
            ClientError::TimedOut(limit) => {
                write!(formatter, "no answer within {} ms", limit.as_millis())
            }
            ClientError::Mismatched => formatter.write_str("the answer belongs to another request"),
        }
    }
}

impl std::error::Error for ClientError {}

/// An open connection to a server.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    head: HeadAllowance,
    /// Whether it has carried a request before. Bytes of an earlier response may still arrive.
    is_reused: bool,
}

type Pool = Rc<RefCell<IndexMap<SocketAddr, Vec<IdleConnection>>>>;

/// A connection in the pool.
struct IdleConnection {
    connection: Connection,
    /// The connection is not used from this time on; `None` if the server gave no idle timeout.
    expires: Option<Instant>,
}

/// A pooled connection expires this long before the idle timeout of the server, because a request
/// could cross the server's close on the way.
const IDLE_EXPIRY_MARGIN: Duration = Duration::from_millis(500);

/// Timeouts and limits of a client's connections.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Longest wait for a new connection.
    pub connect_timeout: Duration,
    /// Idle time before the first TCP keep-alive probe, and interval between probes. A connection
    /// that leaves `KEEPALIVE_PROBES` of them unanswered is closed. `None` sends no probes.
    pub keepalive_interval: Option<Duration>,
    /// Most idle connections in the pool for one address.
    pub max_idle_per_address: usize,
}

/// Longest head of a response, interim responses included.
const RESPONSE_HEAD_LIMIT_BYTES: usize = 256 << 10;
/// Unanswered TCP keep-alive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(2),
            keepalive_interval: None,
            max_idle_per_address: 64,
        }
    }
}

/// Most bytes of long response bodies in memory at the same time.
const BODY_BUDGET_BYTES: usize = 24 << 20;

/// An HTTP client. Clones share the pool of idle connections and the budget of response bodies.
#[derive(Clone)]
pub struct HttpClient {
    pool: Pool,
    bodies: BodyBudget,
    timer: TimerService,
    limits: ClientLimits,
}

impl HttpClient {
    /// Creates a client with an empty pool and the default limits.
    pub fn new(timer: TimerService) -> Self {
        Self::with_limits(timer, ClientLimits::default())
    }

    /// Creates a client with an empty pool and the given limits.
    pub fn with_limits(timer: TimerService, limits: ClientLimits) -> Self {
        Self {
            pool: Pool::default(),
            bodies: BodyBudget::new(BODY_BUDGET_BYTES),
            timer,
            limits,
        }
    }

    /// A client that opens a connection for each request, with the same limits and body budget.
    ///
    /// For servers whose answers do not tell which request they belong to: a second, late copy of
    /// an answer on a connection that is in use again would be taken for the next answer.
    pub fn without_reuse(&self) -> Self {
        Self {
            pool: Pool::default(),
            limits: ClientLimits {
                max_idle_per_address: 0,
                ..self.limits
            },
            ..self.clone()
        }
    }

    /// Closes the idle connections to an address. Requests in flight are not affected.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.borrow_mut().swap_remove(&address);
    }

    /// Whether a new connection to an address is refused, which means that no process listens there.
    /// Without an answer within `timeout` it is not known, and false.
    pub async fn is_refused(&self, address: SocketAddr, timeout: Duration) -> bool {
        let connecting = TcpStream::connect_addr(address);
        let connected = self.timer.timeout(timeout, connecting).await;
        matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
    }

    /// Whether a new connection to an address is established within `timeout`. It is closed again.
    pub async fn can_connect(&self, address: SocketAddr, timeout: Duration) -> bool {
        let connecting = TcpStream::connect_addr(address);
        matches!(self.timer.timeout(timeout, connecting).await, Ok(Ok(_)))
    }

    /// The timer service that enforces the timeouts.
    pub fn timer(&self) -> &TimerService {
        &self.timer
    }

    /// Sends a request and waits at most `timeout` for the head of the answer. The timeout does not
    /// cover the body.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Response<Incoming>> {
        self.send_matched(address, request, timeout, |_, _| true)
            .await
    }

    /// Like [`HttpClient::send`], for servers that may answer late or twice. `is_expected` gets the
    /// headers of the answer, and whether its connection has carried a request before. If it
    /// returns false, the request fails with [`ClientError::Mismatched`] and the connection is
    /// closed.
    pub async fn send_matched(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout: Duration,
        is_expected: impl Fn(&HeaderMap, bool) -> bool,
    ) -> Result<Response<Incoming>> {
        let deadline = Instant::now() + timeout;
        let mut request = prepare(address, request);
        while let Some(connection) = self.take_idle(address) {
            let sent = self.send_on(
                address,
                connection,
                request,
                deadline,
                timeout,
                &is_expected,
            );
            match sent.await {
                Ok(response) => return Ok(response),
                Err((error, None)) => return Err(error),
                // The server closed the idle connection before any of the request was sent, so the
                // request can be sent again.
                Err((_, Some(unsent))) => request = unsent,
            }
        }
        let connection = self.connect(address, deadline).await?;
        let sent = self.send_on(
            address,
            connection,
            request,
            deadline,
            timeout,
            &is_expected,
        );
        sent.await.map_err(|(error, _)| error)
    }

    /// Sends a request and reads the whole answer, all within `timeout`. An answer whose body
    /// exceeds `body_limit_bytes` is an error.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeout: Duration,
        body_limit_bytes: usize,
    ) -> Result<Response<Bytes>> {
        let deadline = Instant::now() + timeout;
        let (head, body) = self.send(address, request, timeout).await?.into_parts();
        let body = self
            .timer
            .timeout_at(deadline, self.read_body(body, body_limit_bytes))
            .await
            .map_err(|_| ClientError::TimedOut(timeout))??;
        Ok(Response::from_parts(head, body))
    }

    /// Reads the whole body of a response; one that exceeds `limit_bytes` is an error.
    pub async fn read_body(&self, body: Incoming, limit_bytes: usize) -> Result<Bytes> {
        let read = self.bodies.read(body, limit_bytes).await;
        read.map_err(|error| ClientError::Interrupted(error.to_string()))
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut pool = self.pool.borrow_mut();
        let idle = pool.get_mut(&address)?;
        let now = Instant::now();
        while let Some(idle) = idle.pop() {
            let is_expired = idle.expires.is_some_and(|expires| expires <= now);
            if idle.connection.sender.is_ready() && !is_expired {
                return Some(idle.connection);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr, deadline: Instant) -> Result<Connection> {
        let deadline = deadline.min(Instant::now() + self.limits.connect_timeout);
        let not_sent =
            |reason: String| ClientError::NotSent(format!("connect to {address}: {reason}"));
        let stream = self
            .timer
            .timeout_at(deadline, TcpStream::connect_addr(address))
            .await
            .map_err(|elapsed| not_sent(elapsed.to_string()))?
            .map_err(|error| not_sent(error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| not_sent(error.to_string()))?;
        if let Some(interval) = self.limits.keepalive_interval {
            stream
                .set_tcp_keepalive(Some(interval), Some(interval), Some(KEEPALIVE_PROBES))
                .map_err(|error| not_sent(error.to_string()))?;
        }
        let io = stream
            .into_poll_io()
            .map_err(|error| not_sent(error.to_string()))?;
        let head = HeadAllowance::default();
        let io = MonoioIo::new(FairIo::new(io, head.clone()));
        let (sender, connection) = hyper::client::conn::http1::handshake(io)
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        monoio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} failed: {error}");
            }
        });
        Ok(Connection {
            sender,
            head,
            is_reused: false,
        })
    }

    async fn send_on(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        deadline: Instant,
        timeout: Duration,
        is_expected: &impl Fn(&HeaderMap, bool) -> bool,
    ) -> std::result::Result<Response<Incoming>, (ClientError, Option<Request<Full<Bytes>>>)> {
        connection.head.start(RESPONSE_HEAD_LIMIT_BYTES);
        let sending = connection.sender.try_send_request(request);
        let response = match self.timer.timeout_at(deadline, sending).await {
            Err(_) => return Err((ClientError::TimedOut(timeout), None)),
            Ok(Ok(response)) => response,
            Ok(Err(mut error)) => {
                let unsent = error.take_message();
                let reason = crate::error::chain(error.error());
                let error = match unsent {
                    Some(_) => ClientError::NotSent(reason),
                    None => ClientError::Interrupted(reason),
                };
                return Err((error, unsent));
            }
        };
        connection.head.end();
        if !is_expected(response.headers(), connection.is_reused) {
            return Err((ClientError::Mismatched, None));
        }
        let idle_timeout = advertised_idle_timeout(response.headers());
        self.return_to_pool_when_idle(address, connection, idle_timeout);
        Ok(response)
    }

    fn return_to_pool_when_idle(
        &self,
        address: SocketAddr,
        mut connection: Connection,
        idle_timeout: Option<Duration>,
    ) {
        let pool = self.pool.clone();
        let max_idle = self.limits.max_idle_per_address;
        connection.is_reused = true;
        monoio::spawn(async move {
            if connection.sender.ready().await.is_err() {
                return;
            }
            let mut pool = pool.borrow_mut();
            let idle = pool.entry(address).or_default();
            if idle.len() < max_idle {
                let usable = idle_timeout.map(|time| time.saturating_sub(IDLE_EXPIRY_MARGIN));
                // A timeout beyond the range of the clock is none.
                let expires = usable.and_then(|time| Instant::now().checked_add(time));
                idle.push(IdleConnection {
                    connection,
                    expires,
                });
            }
        });
    }
}

/// The idle timeout of the server's connections, if the header `keep-alive` has one.
fn advertised_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let mut parameters = text.split(',').map(str::trim);
    let seconds = parameters.find_map(|parameter| parameter.strip_prefix("timeout="))?;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}

fn prepare(address: SocketAddr, request: Request<Bytes>) -> Request<Full<Bytes>> {
    let (mut head, body) = request.into_parts();
    if !head.headers.contains_key(HOST)
        && let Ok(host) = HeaderValue::from_str(&address.to_string())
    {
        head.headers.insert(HOST, host);
    }
    Request::from_parts(head, Full::new(body))
}
