//! HTTP/1.1 over blocking sockets: what the stand-ins of the review need of it.

use std::io::{BufRead, BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A request or the head of a response. Header names are in lower case.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

fn broken(reason: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::UnexpectedEof, reason)
}

fn read_line(reader: &mut impl BufRead) -> Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(broken("the connection was closed"));
    }
    Ok(line.trim_end().to_string())
}

fn read_head(reader: &mut impl BufRead) -> Result<Message> {
    let mut message = Message {
        first: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            return Ok(message);
        };
        let header = (name.to_ascii_lowercase(), value.trim().to_string());
        message.headers.push(header);
    }
}

/// Reads one chunk of a chunked body; `None` at its end.
fn read_chunk(reader: &mut impl BufRead) -> Result<Option<Vec<u8>>> {
    let line = read_line(reader)?;
    let length = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
    let length = length.map_err(|_| broken("not the length of a chunk"))?;
    let mut chunk = vec![0; length];
    reader.read_exact(&mut chunk)?;
    read_line(reader)?;
    Ok((length > 0).then_some(chunk))
}

fn read_body(reader: &mut impl BufRead, head: &Message) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else if let Some(length) = head.header("content-length") {
        body.resize(length.parse().unwrap_or(0), 0);
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

/// Writes a response with a body of known length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n");
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// Writes a chunk of a response; an empty one ends it.
pub fn write_chunk(stream: &mut TcpStream, data: &[u8]) -> Result<()> {
    let head = format!("{:x}\r\n", data.len());
    stream.write_all(&[head.as_bytes(), data, b"\r\n"].concat())
}

/// Serves each connection in a thread until the process ends. A handler that fails closes the
/// connection.
pub fn serve<F>(listener: TcpListener, handler: F)
where
    F: Fn(&Message, &mut TcpStream) -> Result<()> + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = handler.clone();
            thread::spawn(move || -> Result<()> {
                stream.set_nodelay(true)?;
                let mut reader = BufReader::new(stream.try_clone()?);
                loop {
                    let mut request = read_head(&mut reader)?;
                    request.body = read_body(&mut reader, &request)?;
                    handler(&request, &mut stream)?;
                }
            });
        }
    });
}

/// What a client has received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 without a head.
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the answer ended as complete.
    pub is_complete: bool,
    pub took: Duration,
}

/// A connection of a client.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request and reads the answer; the client leaves after `patience`, or after two
    /// seconds without a byte.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &str,
        body: &[u8],
        patience: Duration,
    ) -> Answer {
        let started = Instant::now();
        let length = body.len();
        let head = format!("{method} {path} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n");
        let mut answer = Answer::default();
        if self
            .stream
            .write_all(&[head.as_bytes(), body].concat())
            .is_ok()
        {
            let read = self.read(&mut answer, started + patience);
            answer.is_complete = read.is_ok();
        }
        answer.took = started.elapsed();
        answer
    }

    fn read(&mut self, answer: &mut Answer, deadline: Instant) -> Result<()> {
        let limit = |stream: &TcpStream| {
            let left = deadline.saturating_duration_since(Instant::now());
            let wait = left.clamp(Duration::from_millis(1), Duration::from_secs(2));
            stream.set_read_timeout(Some(wait))
        };
        limit(&self.stream)?;
        let head = read_head(&mut self.reader)?;
        answer.status = head.status();
        if head.header("transfer-encoding").is_none() {
            answer.body = read_body(&mut self.reader, &head)?;
            return Ok(());
        }
        loop {
            limit(&self.stream)?;
            match read_chunk(&mut self.reader)? {
                Some(chunk) => answer.body.extend(chunk),
                None => return Ok(()),
            }
        }
    }
}

/// Sends a request on a connection of its own.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    patience: Duration,
) -> Answer {
    match Client::connect(address) {
        Ok(mut client) => client.send(method, path, headers, body, patience),
        Err(_) => Answer::default(),
    }
}
