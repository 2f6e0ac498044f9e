//! Requests between entries.

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

const LIMIT: Duration = Duration::from_secs(5);

/// Pause after an answer until the connection is quiet: four times the longest delay of a QUIC
/// acknowledgement (25 ms), and shorter than the keep-alive interval.
const QUIET_DELAY: Duration = Duration::from_millis(100);

/// Answers `ConfigVersion`, and answers a forwarded request with a body that the test produces.
#[derive(Default)]
struct Holder {
    calls: RefCell<Vec<(EntryId, PeerRequest)>>,
    forwards: RefCell<Vec<(EntryId, ForwardRequest)>>,
    body: RefCell<Option<Body>>,
    /// While set, a call waits for it.
    gate: RefCell<Option<oneshot::Receiver<()>>>,
}

impl PeerHandler for Holder {
    async fn call(&self, from: EntryId, request: PeerRequest) -> PeerResponse {
        self.calls.borrow_mut().push((from, request));
        let gate = self.gate.take();
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

/// Two entries of a site; the second one answers a forwarded request from `sender`.
struct Pair {
    site: Site,
    peers: Peers,
    endpoint: PeerEndpoint,
    at: SocketAddr,
    holder: Rc<Holder>,
    server: Rc<PeerServer>,
    sender: BodySender,
}

fn pair(timer: &TimerService) -> Pair {
    let site = Site::new();
    let (sender, body) = Body::stream();
    let holder = Rc::new(Holder::default());
    *holder.body.borrow_mut() = Some(body);
    let endpoint = site.open("entry-2", timer);
    Pair {
        peers: Peers::new(site.open("entry-1", timer)),
        at: endpoint.address().unwrap(),
        server: Rc::new(serve(&endpoint, holder.clone())),
        site,
        endpoint,
        holder,
        sender,
    }
}

impl Pair {
    async fn forward(&self, request: ForwardRequest) -> (ForwardHead, ForwardBody) {
        let id = "entry-2".into();
        self.peers.forward(self.at, &id, request).await.unwrap()
    }

    /// Makes the next call wait until the sender is used or dropped.
    fn gate(&self) -> oneshot::Sender<()> {
        let (open, gate) = oneshot::channel();
        *self.holder.gate.borrow_mut() = Some(gate);
        open
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
    peers.call(address, &id.into(), request, LIMIT).await
}

/// Guards against chunks that are held back until the answer is complete, against a request that
/// arrives changed, and against a wrong sender.
#[test]
fn forwarded_answer_streams_chunk_by_chunk() {
    run(async |timer| {
        let mut pair = pair(&timer);
        let sent = request(Bytes::from(vec![b'x'; 4 << 20]));
        let (head, mut body) = pair.forward(sent.clone()).await;
        assert_eq!((head.status, head.headers.len()), (200, 1));
        let expected = [("entry-1".into(), sent)];
        assert_eq!(*pair.holder.forwards.borrow(), expected);
        for chunk in ["one", "two", "three"] {
            pair.sender.send(chunk.into()).await.unwrap();
            let received = timer.timeout(LIMIT, body.next()).await.unwrap();
            assert_eq!(received.unwrap().unwrap(), chunk);
        }
        drop(pair.sender);
        assert!(body.next().await.is_none());
    });
}

/// Guards against a holder that keeps an engine busy for a caller that is gone.
#[test]
fn dropped_body_is_seen_by_the_holder() {
    run(async |timer| {
        let mut pair = pair(&timer);
        let (_, body) = pair.forward(request(Bytes::new())).await;
        let early = timer.timeout(Duration::from_millis(100), pair.sender.closed());
        assert!(early.await.is_err(), "closed while the body was read");
        drop(body);
        timer.timeout(LIMIT, pair.sender.closed()).await.unwrap();
    });
}

/// Guards against an answer that is cut off by a failure of the holder and looks complete.
#[test]
fn aborted_body_is_interrupted() {
    run(async |timer| {
        let mut pair = pair(&timer);
        let (_, mut body) = pair.forward(request(Bytes::new())).await;
        pair.sender.send("part".into()).await.unwrap();
        assert_eq!(body.next().await.unwrap().unwrap(), "part");
        pair.sender.abort().await;
        let end = timer.timeout(LIMIT, body.next()).await.unwrap();
        assert!(matches!(end, Some(Err(PeerError::Interrupted(_)))));
    });
}

/// Guards against entries of another site, and against an entry that poses as another one: neither
/// side may accept them, and the request must be known not to have run.
#[test]
fn wrong_authority_and_wrong_name_are_refused() {
    run(async |timer| {
        let (pair, other) = (pair(&timer), pair(&timer));
        // This client trusts the server, so only the server can refuse.
        other.site.trust(&pair.site);
        let trusting = Peers::new(other.site.open("entry-1", &timer));
        let results = [
            call(&other.peers, pair.at, "entry-2").await,
            call(&trusting, pair.at, "entry-2").await,
            call(&pair.peers, other.at, "entry-2").await,
            call(&pair.peers, pair.at, "entry-3").await,
        ];
        for result in results {
            assert!(
                result.as_ref().is_err_and(PeerError::is_not_sent),
                "{result:?}"
            );
        }
        assert!(pair.holder.calls.borrow().is_empty() && other.holder.calls.borrow().is_empty());
        pair.site.sign("entry-4", &["entry-4", "entry-5"]);
        assert!(
            pair.site.identity("entry-4").is_err(),
            "speaks for two entries"
        );
    });
}

/// Passes packets between one client and one of two servers, so that a server can vanish without a
/// word while another process takes over its address.
struct Relay {
    address: SocketAddr,
    uses_second: Arc<AtomicBool>,
}

impl Relay {
    fn start(servers: [SocketAddr; 2]) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        let address = socket.local_addr().unwrap();
        let uses_second = Arc::new(AtomicBool::new(false));
        let second = uses_second.clone();
        std::thread::spawn(move || {
            let (mut buffer, mut client) = ([0; 2048], address);
            while let Ok((length, from)) = socket.recv_from(&mut buffer) {
                let server = servers[usize::from(second.load(Ordering::Relaxed))];
                if !servers.contains(&from) {
                    client = from;
                    let _ = socket.send_to(&buffer[..length], server);
                } else if from == server {
                    let _ = socket.send_to(&buffer[..length], client);
                }
            }
        });
        Self {
            address,
            uses_second,
        }
    }
}

/// Guards against a client that keeps using the connection to the former process of a peer, which
/// has ended without a word, until the connection times out after 6 s.
#[test]
fn client_reconnects_after_the_peer_restarts() {
    run(async |timer| {
        let former = pair(&timer);
        let peers = &former.peers;
        let restarted = former.site.reopen("entry-2", &timer);
        let _server = serve(&restarted, Rc::new(Holder::default()));
        let relay = Relay::start([former.at, restarted.address().unwrap()]);
        call(peers, relay.address, "entry-2").await.unwrap();
        // A delayed acknowledgement that reaches the restarted peer gets a stateless reset. That would
        // close the connection before the second call, which would then succeed on a new one.
        timer.sleep(QUIET_DELAY).await;
        relay.uses_second.store(true, Ordering::Relaxed);
        let deadline = Instant::now() + LIMIT;
        let lost = call(peers, relay.address, "entry-2").await;
        assert!(matches!(lost, Err(PeerError::Interrupted(_))), "{lost:?}");
        while let Err(error) = call(peers, relay.address, "entry-2").await {
            assert!(Instant::now() < deadline, "still {error}");
            timer.sleep(Duration::from_millis(20)).await;
        }
        assert!(Instant::now() < deadline);
    });
}

/// Guards against a shutdown that interrupts a request in progress, and against a request that is
/// refused during the shutdown and counted as possibly run.
#[test]
fn stop_finishes_requests_and_refuses_new_ones() {
    run(async |timer| {
        let pair = pair(&timer);
        let (peers, at) = (pair.peers.clone(), pair.at);
        let open = pair.gate();
        let in_progress = monoio::spawn(async move { call(&peers, at, "entry-2").await });
        while pair.holder.calls.borrow().is_empty() {
            timer.sleep(Duration::from_millis(1)).await;
        }
        let server = pair.server.clone();
        let stop = monoio::spawn(async move { server.stop(LIMIT).await });
        timer.sleep(Duration::from_millis(20)).await;
        let refused = call(&pair.peers, at, "entry-2").await;
        assert!(
            refused.as_ref().is_err_and(PeerError::is_not_sent),
            "{refused:?}"
        );
        open.send(()).unwrap();
        assert_eq!(in_progress.await.unwrap(), PeerResponse::ConfigVersion(7));
        assert!(stop.await, "the requests ended in time");
        assert!(
            call(&pair.peers, at, "entry-2")
                .await
                .is_err_and(|error| error.is_not_sent())
        );
        assert_eq!(pair.holder.calls.borrow().len(), 1);
        pair.endpoint.close(LIMIT).await;
    });
}

/// Guards against an answer that comes too late and is reported as a request that was not sent.
#[test]
fn late_answer_is_interrupted() {
    run(async |timer| {
        let pair = pair(&timer);
        // The handshake must not use up the limit of the late answer: on a busy machine it alone took
        // longer, and the request was rightly reported as not sent.
        call(&pair.peers, pair.at, "entry-2").await.unwrap();
        let calls_before = pair.holder.calls.borrow().len();
        let _open = pair.gate();
        let limit = Duration::from_millis(200);
        let request = PeerRequest::ConfigVersion(6);
        let id = "entry-2".into();
        let result = pair.peers.call(pair.at, &id, request, limit).await;
        assert!(matches!(result, Err(PeerError::Interrupted(_))));
        assert_eq!(pair.holder.calls.borrow().len(), calls_before + 1);
    });
}

/// Guards against requests that wait for a fenced holder until its connection times out.
#[test]
fn disconnect_interrupts_requests_in_progress() {
    run(async |timer| {
        let mut pair = pair(&timer);
        let (_, mut body) = pair.forward(request(Bytes::new())).await;
        pair.peers.disconnect("entry-2");
        let end = timer.timeout(LIMIT, body.next()).await.unwrap();
        assert!(matches!(end, Some(Err(PeerError::Interrupted(_)))));
        timer.timeout(LIMIT, pair.sender.closed()).await.unwrap();
        call(&pair.peers, pair.at, "entry-2").await.unwrap();
    });
}
