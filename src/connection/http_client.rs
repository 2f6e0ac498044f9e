//! The HTTP/1.1 client with kept-alive connections for each address.
//!
//! Its errors tell whether any byte of the request may have reached the server, because only a
//! request that certainly was not sent may be answered with `ran: no` or sent elsewhere freely.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response};
use indexmap::IndexMap;
use monoio::io::IntoPollIo;
use monoio::net::TcpStream;
use monoio_compat::hyper::MonoioIo;

use crate::process::timer::TimerService;

/// The result of a request.
pub type Result<T> = std::result::Result<T, ClientError>;

/// Why a request got no complete answer.
#[derive(Debug)]
pub enum ClientError {
    /// Nothing was written: the server certainly did not receive the request.
    NotSent(String),
    /// The request may have been received; its answer is missing or incomplete.
    Interrupted(String),
    /// The time limit passed after the request was sent.
    TimedOut(Duration),
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
        }
    }
}

impl std::error::Error for ClientError {}

type Sender = SendRequest<Full<Bytes>>;
type Pool = Rc<RefCell<IndexMap<SocketAddr, Vec<Sender>>>>;

/// Idle connections kept for one address.
const IDLE_CONNECTIONS_PER_ADDRESS: usize = 64;
/// Longest time to open a connection.
const CONNECT_TIME: Duration = Duration::from_secs(2);

/// A client with a pool of idle connections; clones share the pool.
#[derive(Clone)]
pub struct HttpClient {
    pool: Pool,
    timer: TimerService,
}

impl HttpClient {
    /// Makes a client with an empty pool.
    pub fn new(timer: TimerService) -> Self {
        Self {
            pool: Pool::default(),
            timer,
        }
    }

    /// The timer service that bounds the requests.
    pub fn timer(&self) -> &TimerService {
        &self.timer
    }

    /// Sends a request and waits at most `limit` for the head of the answer.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        limit: Duration,
    ) -> Result<Response<Incoming>> {
        let deadline = Instant::now() + limit;
        let mut request = prepare(address, request);
        while let Some(sender) = self.take_idle(address) {
            match self
                .send_on(address, sender, request, deadline, limit)
                .await
            {
                Ok(response) => return Ok(response),
                Err((error, None)) => return Err(error),
                // The server closed the idle connection before it read the request.
                Err((_, Some(unsent))) => request = unsent,
            }
        }
        let sender = self.connect(address, deadline).await?;
        let sent = self
            .send_on(address, sender, request, deadline, limit)
            .await;
        sent.map_err(|(error, _)| error)
    }

    /// Sends a request and reads the whole answer, of at most `body_limit_bytes`.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        limit: Duration,
        body_limit_bytes: usize,
    ) -> Result<Response<Bytes>> {
        let deadline = Instant::now() + limit;
        let (head, body) = self.send(address, request, limit).await?.into_parts();
        let body = self
            .timer
            .timeout_at(deadline, read_all(body, body_limit_bytes))
            .await
            .map_err(|_| ClientError::TimedOut(limit))??;
        Ok(Response::from_parts(head, body))
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut pool = self.pool.borrow_mut();
        let idle = pool.get_mut(&address)?;
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn connect(&self, address: SocketAddr, deadline: Instant) -> Result<Sender> {
        let deadline = deadline.min(Instant::now() + CONNECT_TIME);
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
        let io = stream
            .into_poll_io()
            .map_err(|error| not_sent(error.to_string()))?;
        let (sender, connection) = hyper::client::conn::http1::handshake(MonoioIo::new(io))
            .await
            .map_err(|error| not_sent(error.to_string()))?;
        monoio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        });
        Ok(sender)
    }

    async fn send_on(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        request: Request<Full<Bytes>>,
        deadline: Instant,
        limit: Duration,
    ) -> std::result::Result<Response<Incoming>, (ClientError, Option<Request<Full<Bytes>>>)> {
        let sending = sender.try_send_request(request);
        let response = match self.timer.timeout_at(deadline, sending).await {
            Err(_) => return Err((ClientError::TimedOut(limit), None)),
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
        self.return_when_idle(address, sender);
        Ok(response)
    }

    fn return_when_idle(&self, address: SocketAddr, mut sender: Sender) {
        let pool = self.pool.clone();
        monoio::spawn(async move {
            if sender.ready().await.is_err() {
                return;
            }
            let mut pool = pool.borrow_mut();
            let idle = pool.entry(address).or_default();
            if idle.len() < IDLE_CONNECTIONS_PER_ADDRESS {
                idle.push(sender);
            }
        });
    }
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

/// Reads a body of at most `limit_bytes`.
pub async fn read_all(mut body: Incoming, limit_bytes: usize) -> Result<Bytes> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ClientError::Interrupted(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            if buffer.len() + data.len() > limit_bytes {
                let reason = format!("the answer is longer than {limit_bytes} bytes");
                return Err(ClientError::Interrupted(reason));
            }
            buffer.extend_from_slice(&data);
        }
    }
    Ok(buffer.freeze())
}
