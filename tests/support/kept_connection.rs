//! A connection that is used for one request after the other until it breaks.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use sapphireford_standin::harness::HOST;

/// An open connection to a gateway.
pub struct KeptConnection {
    reader: BufReader<TcpStream>,
}

/// A whole answer.
pub struct KeptAnswer {
    pub status: u16,
    pub body: String,
    /// Whether the gateway closes the connection after this answer.
    pub closes: bool,
}

impl KeptConnection {
    pub fn open(address: SocketAddr, time: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, time)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(time))?;
        let reader = BufReader::new(stream);
        Ok(Self { reader })
    }

    pub fn send(&mut self, path: &str, id: &str, body: &str) -> Result<KeptAnswer> {
        let length = body.len();
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: 4000\r\n\
             content-length: {length}\r\n\r\n{body}"
        );
        self.reader.get_mut().write_all(request.as_bytes())?;
        let status = self.line()?;
        let status = status
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok());
        let status = status.ok_or_else(|| Error::from(ErrorKind::InvalidData))?;
        let mut body_bytes = 0;
        let mut closes = false;
        loop {
            let line = self.line()?.to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(length) = line.strip_prefix("content-length:") {
                body_bytes = length.trim().parse().unwrap_or(0);
            }
            closes |= line.starts_with("connection:") && line.contains("close");
        }
        let mut body = vec![0; body_bytes];
        self.reader.read_exact(&mut body)?;
        Ok(KeptAnswer {
            status,
            body: String::from_utf8_lossy(&body).into_owned(),
            closes,
        })
    }

    fn line(&mut self) -> Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end().to_string())
    }
}
