//! Requests between entries over peer connections: streaming, interruption, authentication, restart
//! and shutdown of a peer.

#[path = "support/peers.rs"]
mod support;

use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::oneshot;
use sapphireford::connection::body::{Body, BodySender};
use sapphireford::connection::peer::messages::{
    ForwardHead, ForwardRequest, PeerRequest, PeerResponse,
};
use sapphireford::connection::peer::{
    ForwardBody, PeerEndpoint, PeerError, PeerHandler, PeerServer, Peers, serve,
};
use sapphireford::ids::EntryId;
use sapphireford::process::timer::TimerService;
use support::{Site, run};

/// Longest wait for one step of a test.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a response until the connection is quiet: four times the longest delay of a QUIC
/// acknowledgement (25 ms), and shorter than the keep-alive interval.
const QUIET_DELAY: Duration = Duration::from_millis(100);

/// Records the requests that a peer receives. Answers a call with `ConfigVersion(7)` and the first
/// forwarded request with `body`, which the test can stream.
#[derive(Default)]
struct RecordingHandler {
    calls: RefCell<Vec<(EntryId, PeerRequest)>>,
    forwards: RefCell<Vec<(EntryId, ForwardRequest)>>,
    body: RefCell<Option<Body>>,
    /// Delays the response to the next call until its sender is used or dropped.
    response_gate: RefCell<Option<oneshot::Receiver<()>>>,
}

impl PeerHandler for RecordingHandler {
    async fn call(&self, from: EntryId, request: PeerRequest) -> PeerResponse {
        self.calls.borrow_mut().push((from, request));
        let gate = self.response_gate.take();
        if let Some(gate) = gate {
            let _ = gate.await;
        }
        PeerResponse::ConfigVersion(7)
    }

    async fn forward(&self, from: EntryId, request: ForwardRequest) -> (ForwardHead, Body) {
        self.forwards.borrow_mut().push((from, request));
        let headers = vec![("content-type".to_string(), "text/event-stream".into())];
        let head = ForwardHead {
            status: 200,
            headers,
        };
        (head, self.body.take().unwrap_or_else(|| Body::full("")))
    }
}

/// A client (`entry-1`) and a server (`entry-2`) of one site. `body_sender` streams the body of the
/// first forwarded response.
struct PeerPair {
    site: Site,
    peers: Peers,
    server_endpoint: PeerEndpoint,
    server_address: SocketAddr,
    handler: Rc<RecordingHandler>,
    server: Rc<PeerServer>,
    body_sender: BodySender,
}

fn start_pair(timer: &TimerService) -> PeerPair {
    let site = Site::new();
    let (body_sender, body) = Body::stream();
    let handler = Rc::new(RecordingHandler::default());
    *handler.body.borrow_mut() = Some(body);
    let server_endpoint = site.open_endpoint("entry-2", timer);
    PeerPair {
        peers: Peers::new(site.open_endpoint("entry-1", timer)),
        server_address: server_endpoint.address().unwrap(),
        server: Rc::new(serve(&server_endpoint, handler.clone())),
        site,
        server_endpoint,
        handler,
        body_sender,
    }
}

impl PeerPair {
    async fn forward(&self, request: ForwardRequest) -> (ForwardHead, ForwardBody) {
        let id = "entry-2".into();
        self.peers
            .forward(self.server_address, &id, request)
            .await
            .unwrap()
    }

    /// Delays the response to the next call until the returned sender is used or dropped.
    fn block_next_call(&self) -> oneshot::Sender<()> {
        let (release, gate) = oneshot::channel();
        *self.handler.response_gate.borrow_mut() = Some(gate);
        release
    }
}

fn request(body: Bytes) -> ForwardRequest {
    ForwardRequest {
        method: "POST".to_string(),
        path: "/v1/conversations/c/runs".to_string(),
        team_id: "team".into(),
        headers: vec![("content-type".to_string(), "application/json".into())],
        body,
    }
}

async fn call(peers: &Peers, address: SocketAddr, id: &str) -> Result<PeerResponse, PeerError> {
    let request = PeerRequest::ConfigVersion(6);
    peers.call(address, &id.into(), request, TIMEOUT).await
}

/// Guards against buffering of a forwarded response until it is complete, against a changed
/// request, and against a request that is attributed to the wrong entry.
#[test]
fn forwarded_response_arrives_chunk_by_chunk() {
    run(async |timer| {
        let mut pair = start_pair(&timer);
        let sent = request(Bytes::from(vec![b'x'; 4 << 20]));
        let (head, mut body) = pair.forward(sent.clone()).await;
        assert_eq!((head.status, head.headers.len()), (200, 1));
        let expected = [("entry-1".into(), sent)];
        assert_eq!(*pair.handler.forwards.borrow(), expected);
        for chunk in ["one", "two", "three"] {
            pair.body_sender.send(chunk.into()).await.unwrap();
            let received = timer.timeout(TIMEOUT, body.next()).await.unwrap();
            assert_eq!(received.unwrap().unwrap(), chunk);
        }
        pair.body_sender.end();
        assert!(body.next().await.is_none());
    });
}

/// Guards against a server that keeps an engine generating after the client dropped the response
/// body.
#[test]
fn body_dropped_by_the_client_closes_the_sender() {
    run(async |timer| {
        let mut pair = start_pair(&timer);
        let (_, body) = pair.forward(request(Bytes::new())).await;
        let closed_early = timer.timeout(Duration::from_millis(100), pair.body_sender.closed());
        assert!(
            closed_early.await.is_err(),
            "body closed while the client still holds it"
        );
        drop(body);
        timer
            .timeout(TIMEOUT, pair.body_sender.closed())
            .await
            .unwrap();
    });
}

/// Guards against a truncated response that looks complete because the server aborted its body.
#[test]
fn body_aborted_by_the_server_is_interrupted() {
    run(async |timer| {
        let mut pair = start_pair(&timer);
        let (_, mut body) = pair.forward(request(Bytes::new())).await;
        pair.body_sender.send("part".into()).await.unwrap();
        assert_eq!(body.next().await.unwrap().unwrap(), "part");
        pair.body_sender.abort().await;
        let next = timer.timeout(TIMEOUT, body.next()).await.unwrap();
        assert!(matches!(next, Some(Err(PeerError::Interrupted(_)))));
    });
}

/// Guards against connections between entries of different sites, and against an entry that poses
/// as another one. Client and server each have to refuse them, and the error has to state that the
/// request did not run.
#[test]
fn wrong_authority_or_name_is_refused_as_not_sent() {
    run(async |timer| {
        let (pair, other_pair) = (start_pair(&timer), start_pair(&timer));
        // This client trusts the authority of the server, so only the server can refuse the
        // connection.
        other_pair.site.trust_authority_of(&pair.site);
        let trusting_peers = Peers::new(other_pair.site.open_endpoint("entry-1", &timer));
        let results = [
            call(&other_pair.peers, pair.server_address, "entry-2").await,
            call(&trusting_peers, pair.server_address, "entry-2").await,
            call(&pair.peers, other_pair.server_address, "entry-2").await,
            call(&pair.peers, pair.server_address, "entry-3").await,
        ];
        for result in results {
            assert!(
                result.as_ref().is_err_and(PeerError::is_not_sent),
                "{result:?}"
            );
        }
        assert!(
            pair.handler.calls.borrow().is_empty() && other_pair.handler.calls.borrow().is_empty()
        );
        pair.site
            .issue_certificate("entry-4", &["entry-4", "entry-5"]);
        assert!(
            pair.site.load_identity("entry-4").is_err(),
            "accepted a certificate for two entries"
        );
    });
}

/// A UDP relay between one client and one of two servers. Switching it to the second server makes
/// the first one disappear without closing its connections while another process takes over its
/// address.
struct Relay {
    address: SocketAddr,
    /// Whether packets go to and come from the second server.
    is_switched: Arc<AtomicBool>,
}

impl Relay {
    fn start(server_addresses: [SocketAddr; 2]) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        let is_switched = Arc::new(AtomicBool::new(false));
        let switched = is_switched.clone();
        std::thread::spawn(move || {
            let (mut buffer, mut client_address) = ([0; 2048], address);
            while let Ok((length, from)) = socket.recv_from(&mut buffer) {
                let server_address =
                    server_addresses[usize::from(switched.load(Ordering::Relaxed))];
                if !server_addresses.contains(&from) {
                    client_address = from;
                    let _ = socket.send_to(&buffer[..length], server_address);
                } else if from == server_address {
                    let _ = socket.send_to(&buffer[..length], client_address);
                }
            }
        });
        Self {
            address,
            is_switched,
        }
    }
}

/// Guards against a client that keeps using the connection to the old process of a restarted peer
/// until the connection times out after 6 s. The old process ended without closing the connection.
#[test]
fn client_reconnects_after_the_peer_restarts() {
    run(async |timer| {
        let pair = start_pair(&timer);
        let peers = &pair.peers;
        let restarted_endpoint = pair.site.reopen_endpoint("entry-2", &timer);
        let _server = serve(&restarted_endpoint, Rc::new(RecordingHandler::default()));
        let relay = Relay::start([pair.server_address, restarted_endpoint.address().unwrap()]);
        call(peers, relay.address, "entry-2").await.unwrap();
        // A delayed acknowledgement that reaches the restarted peer gets a stateless reset. That
        // would close the connection before the second call, which would then succeed on a new one.
        timer.sleep(QUIET_DELAY).await;
        relay.is_switched.store(true, Ordering::Relaxed);
        let deadline = Instant::now() + TIMEOUT;
        let interrupted = call(peers, relay.address, "entry-2").await;
        assert!(
            matches!(interrupted, Err(PeerError::Interrupted(_))),
            "{interrupted:?}"
        );
        while let Err(error) = call(peers, relay.address, "entry-2").await {
            assert!(Instant::now() < deadline, "still {error}");
            timer.sleep(Duration::from_millis(20)).await;
        }
        assert!(Instant::now() < deadline);
    });
}

/// Guards against a shutdown that interrupts a request in progress, and against a request that is
/// refused during the shutdown but reported as possibly run.
#[test]
fn stop_finishes_requests_and_refuses_new_ones() {
    run(async |timer| {
        let pair = start_pair(&timer);
        let (peers, server_address) = (pair.peers.clone(), pair.server_address);
        let release = pair.block_next_call();
        let in_progress =
            monoio::spawn(async move { call(&peers, server_address, "entry-2").await });
        while pair.handler.calls.borrow().is_empty() {
            timer.sleep(Duration::from_millis(1)).await;
        }
        let server = pair.server.clone();
        let stop = monoio::spawn(async move { server.stop(TIMEOUT).await });
        timer.sleep(Duration::from_millis(20)).await;
        let refused = call(&pair.peers, server_address, "entry-2").await;
        assert!(
            refused.as_ref().is_err_and(PeerError::is_not_sent),
            "{refused:?}"
        );
        release.send(()).unwrap();
        assert_eq!(in_progress.await.unwrap(), PeerResponse::ConfigVersion(7));
        assert!(
            stop.await,
            "the request in progress did not finish before the shutdown timeout"
        );
        assert!(
            call(&pair.peers, server_address, "entry-2")
                .await
                .is_err_and(|error| error.is_not_sent())
        );
        assert_eq!(pair.handler.calls.borrow().len(), 1);
        pair.server_endpoint.close(TIMEOUT).await;
    });
}

/// Guards against a request that ran, but is reported as not sent because its response missed the
/// timeout.
#[test]
fn response_after_the_timeout_is_interrupted() {
    run(async |timer| {
        let pair = start_pair(&timer);
        // Connects first, because the handshake counts against the timeout of the call. On a busy
        // machine it alone took longer than the timeout, and the request was correctly reported as
        // not sent.
        call(&pair.peers, pair.server_address, "entry-2")
            .await
            .unwrap();
        let calls_before = pair.handler.calls.borrow().len();
        let _release = pair.block_next_call();
        let timeout = Duration::from_millis(200);
        let request = PeerRequest::ConfigVersion(6);
        let id = "entry-2".into();
        let result = pair
            .peers
            .call(pair.server_address, &id, request, timeout)
            .await;
        assert!(matches!(result, Err(PeerError::Interrupted(_))));
        assert_eq!(pair.handler.calls.borrow().len(), calls_before + 1);
    });
}

/// Guards against requests that wait for a fenced lease holder until the connection to it times
/// out.
#[test]
fn disconnect_interrupts_requests_in_progress() {
    run(async |timer| {
        let mut pair = start_pair(&timer);
        let (_, mut body) = pair.forward(request(Bytes::new())).await;
        pair.peers.disconnect("entry-2");
        let next = timer.timeout(TIMEOUT, body.next()).await.unwrap();
        assert!(matches!(next, Some(Err(PeerError::Interrupted(_)))));
        timer
            .timeout(TIMEOUT, pair.body_sender.closed())
            .await
            .unwrap();
        call(&pair.peers, pair.server_address, "entry-2")
            .await
            .unwrap();
    });
}
