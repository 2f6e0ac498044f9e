//! A listening socket that can be closed without resetting connections.
//!
//! Closing a listener resets the connections in its backlog, for which requests may already have
//! been sent. Accepting them first is not enough: others may be established before the close.

use std::io::Result;
use std::net::SocketAddr;

use monoio::net::{TcpListener, TcpStream};
use socket2::{Domain, SockFilter, SockRef, Socket, Type};

/// Connections that the system establishes before they are accepted.
const BACKLOG: i32 = 1024;

/// A listening TCP socket.
pub struct Listener {
    accepting: TcpListener,
    /// The same socket, for its options.
    socket: std::net::TcpListener,
}

impl Listener {
    /// Binds `address` and starts to listen.
    pub fn bind(address: SocketAddr) -> Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_nonblocking(true)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        socket.listen(BACKLOG)?;
        let socket: std::net::TcpListener = socket.into();
        let accepting = TcpListener::from_std(socket.try_clone()?)?;
        Ok(Self { accepting, socket })
    }

    /// The bound address; differs from the requested one if that had port 0.
    pub fn local_addr(&self) -> Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Waits for the next connection.
    pub async fn accept(&self) -> Result<(TcpStream, SocketAddr)> {
        self.accepting.accept().await
    }

    /// Lets no further connection be established, while those that are being established can still
    /// be accepted. The callers of the others try again, and are refused once the listener is closed.
    pub fn ignore_new_connections(&self) -> Result<()> {
        SockRef::from(&self.socket).attach_filter(&drop_syn_packets())
    }
}

/// A packet filter that drops the opening packet of a connection, which has the flag SYN and not ACK,
/// and passes any other.
fn drop_syn_packets() -> [SockFilter; 5] {
    const LOAD_BYTE: u16 = 0x30;
    const AND: u16 = 0x54;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    const FLAGS_OFFSET: u32 = 13;
    const SYN: u32 = 0x02;
    const ACK: u32 = 0x10;
    [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ]
}
