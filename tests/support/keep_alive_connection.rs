//! An HTTP/1.1 client connection that is reused for consecutive requests. The harness client opens
//! a connection for each request.

#![allow(dead_code)]

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use sapphireford_standin::harness::HOST;

/// A keep-alive connection to a gateway. It must be dropped after an error.
pub struct KeepAliveConnection {
    reader: BufReader<TcpStream>,
}

/// A response whose body was read completely.
pub struct KeepAliveResponse {
    pub status: u16,
    pub body: String,
    /// Whether the gateway closes the connection after this response.
    pub closes_connection: bool,
}

impl KeepAliveConnection {
    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        let reader = BufReader::new(stream);
        Ok(Self { reader })
    }

    pub fn send(&mut self, path: &str, id: &str, body: &str) -> Result<KeepAliveResponse> {
        let length = body.len();
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: 4000\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        self.reader.get_mut().write_all(request.as_bytes())?;
        let status = self.read_header_line()?;
        let status = status
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let status = status.ok_or_else(|| Error::from(ErrorKind::InvalidData))?;
        let mut body_bytes = 0;
        let mut closes_connection = false;
        loop {
            let line = self.read_header_line()?.to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(length) = line.strip_prefix("content-length:") {
                body_bytes = length.trim().parse().unwrap_or(0);
            }
            closes_connection |= line.starts_with("connection:") && line.contains("close");
        }
        let mut body = vec![0; body_bytes];
        self.reader.read_exact(&mut body)?;
        Ok(KeepAliveResponse {
            status,
            body: String::from_utf8_lossy(&body).into_owned(),
            closes_connection,
        })
    }

    fn read_header_line(&mut self) -> Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_string())
    }
}
