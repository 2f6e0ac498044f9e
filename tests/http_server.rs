//! The end of the listener of the HTTP server.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use hyper::{Request, Response};
use sapphireford::connection::body::Body;
use sapphireford::connection::http_server::{Handler, HttpLimits, serve};
use sapphireford::process::timer::TimerService;

/// Servers that stop at the same time. A connection meets the end of a listener by chance.
const SERVERS: usize = 30;
const CALLERS: usize = 4;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(4);
/// Pauses of a server that stops. They extend beyond the moment at which its listener is closed.
const PAUSES: usize = 20;
const PAUSE: Duration = Duration::from_millis(5);

struct Echo;

impl Handler for Echo {
    async fn handle(&self, request: Request<Bytes>) -> Response<Body> {
        Response::new(Body::full(request.into_body()))
    }
}

/// Runs a server that stops after a while, and runs only at times while it stops, like a process on
/// a busy machine.
fn run_until_stopped(address_sender: mpsc::Sender<SocketAddr>) {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .expect("build a runtime");
    runtime.block_on(async {
        let timer = TimerService::start();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let limits = HttpLimits::default();
        let server = serve(address, limits, timer.clone(), Rc::new(Echo)).expect("listen");
        address_sender.send(server.address()).expect("a receiver");
        timer.sleep(Duration::from_millis(300)).await;
        let pause_timer = timer.clone();
        monoio::spawn(async move {
            for _ in 0..PAUSES {
                thread::sleep(PAUSE);
                pause_timer.sleep(Duration::from_millis(1)).await;
            }
        });
        server.stop().await;
    });
}

fn send_request(connection: &mut TcpStream) -> std::io::Result<String> {
    connection.write_all(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")?;
    let mut response = String::new();
    connection.read_to_string(&mut response)?;
    Ok(response)
}

/// Calls a server until its listener is closed; returns what failed.
fn call_until_refused(address: SocketAddr) -> Vec<String> {
    let mut failures = Vec::new();
    while let Ok(mut connection) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
        match send_request(&mut connection) {
            Ok(response) if response.starts_with("HTTP/1.1 200") => {}
            Ok(response) => failures.push(response),
            Err(error) => failures.push(error.to_string()),
        }
    }
    failures
}

/// Guards against connections that are established while the listener closes, and reset with the
/// request unread.
#[test]
fn an_established_connection_is_served_while_the_listener_closes() {
    let mut servers = Vec::new();
    let mut callers = Vec::new();
    for _ in 0..SERVERS {
        let (address_sender, addresses) = mpsc::channel();
        servers.push(thread::spawn(move || run_until_stopped(address_sender)));
        let address = addresses.recv().expect("the server listens");
        let new_caller = |_| thread::spawn(move || call_until_refused(address));
        callers.extend((0..CALLERS).map(new_caller));
    }
    let failures = callers
        .into_iter()
        .flat_map(|caller| caller.join().expect("no panic"));
    assert_eq!(failures.collect::<Vec<_>>(), Vec::<String>::new());
    for server in servers {
        server.join().expect("the server has stopped");
    }
}
