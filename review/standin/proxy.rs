//! A proxy between a gateway and a server, which can be cut.

use std::io::{ErrorKind, Read, Result, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// A running proxy.
pub struct Proxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16 << 10];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        if to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

impl Proxy {
    pub fn start(server: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        listener.set_nonblocking(true)?;
        let proxy = Self {
            address: listener.local_addr()?,
            is_cut: Arc::default(),
            streams: Arc::default(),
        };
        let (is_cut, streams) = (proxy.is_cut.clone(), proxy.streams.clone());
        thread::spawn(move || -> Result<()> {
            // The end of the thread closes the listener, so that connections are refused.
            while !is_cut.load(Ordering::SeqCst) {
                let caller = match listener.accept() {
                    Ok((caller, _)) => caller,
                    Err(error) if error.kind() == ErrorKind::WouldBlock => {
                        thread::sleep(Duration::from_millis(1));
                        continue;
                    }
                    Err(error) => return Err(error),
                };
                caller.set_nonblocking(false)?;
                caller.set_nodelay(true)?;
                let called = TcpStream::connect(server)?;
                called.set_nodelay(true)?;
                let mut known = streams
                    .lock()
                    .unwrap_or_else(|poisoned| poisoned.into_inner());
                known.extend([caller.try_clone()?, called.try_clone()?]);
                let (from, to) = (caller.try_clone()?, called.try_clone()?);
                thread::spawn(move || copy(from, to));
                thread::spawn(move || copy(called, caller));
            }
            Ok(())
        });
        Ok(proxy)
    }

    /// Refuses new connections from about two milliseconds later on.
    pub fn refuse(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }

    /// Closes all connections.
    pub fn close(&self) {
        let streams = self
            .streams
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        for stream in streams.iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
