//! The idle connections in the pool of the HTTP client.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use hyper::{Request, Response};
use sapphireford::connection::body::Body;
use sapphireford::connection::http_client::{ClientLimits, HttpClient};
use sapphireford::connection::http_server::{Handler, HttpLimits, serve};
use sapphireford::process::timer::TimerService;

/// Echoes the body after a delay, so that concurrent requests need a connection each.
struct DelayedEcho(TimerService);

impl Handler for DelayedEcho {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        self.0.sleep(Duration::from_millis(50)).await;
        Response::new(Body::full(request.into_body()))
    }
}

/// Guards against idle connections that use up the connection limit of a server: after a power loss
/// the server still counted the connections of all former processes and reset new ones for 15 s.
#[test]
fn a_burst_leaves_few_idle_connections() {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .expect("build a runtime");
    runtime.block_on(async {
        let timer = TimerService::start();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let handler = Rc::new(DelayedEcho(timer.clone()));
        let server = serve(address, HttpLimits::default(), timer.clone(), handler).expect("listen");
        let limits = ClientLimits {
            max_idle_per_address: 4,
            ..ClientLimits::default()
        };
        let client = HttpClient::with_limits(timer.clone(), limits);
        let send = |_| {
            let request = Request::new(Bytes::from_static(b"x"));
            client.fetch(server.address(), request, Duration::from_secs(5), 100)
        };
        let answers = join_all((0..12).map(send)).await;
        assert!(answers.iter().all(Result::is_ok));
        timer.sleep(Duration::from_millis(200)).await;
        assert!(
            server.open_connections() <= 4,
            "{} are open",
            server.open_connections()
        );
    });
}
