//! A small HTTP/1.1 client and server with threads, for the stand-ins.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Names in lower case, in the order in which they came.
pub type Headers = Vec<(String, String)>;

pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(known, _)| known == name)
        .map(|(_, value)| value.as_str())
}

/// A request that a stand-in received.
pub struct Request {
    pub method: String,
    /// Path with the query.
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// When the body was complete.
    pub read_at: Instant,
}

/// What a stand-in answers.
pub enum Answer {
    Full(u16, Headers, Vec<u8>),
    /// Close the connection without an answer.
    Close,
    /// The handler has written the whole answer.
    Written,
}

pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<(String, Headers)>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.trim_end().to_string();
    let mut headers = Headers::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some((first, headers)));
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
        }
    }
}

pub fn read_body(reader: &mut BufReader<TcpStream>, headers: &Headers) -> io::Result<Vec<u8>> {
    let is_chunked = header(headers, "transfer-encoding").is_some_and(|value| value == "chunked");
    let mut body = Vec::new();
    if !is_chunked {
        let length = header(headers, "content-length").and_then(|text| text.parse().ok());
        body.resize(length.unwrap_or(0), 0);
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let start = body.len();
        body.resize(start + length, 0);
        reader.read_exact(&mut body[start..])?;
        line.clear();
        reader.read_line(&mut line)?;
        if length == 0 {
            return Ok(body);
        }
    }
}

/// Serves connections until the process ends, with a thread for each connection.
pub fn serve(
    address: &str,
    handler: impl Fn(Request, &mut TcpStream) -> Answer + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("the address is free");
    let address = listener.local_addr().expect("the listener has an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    address
}

fn serve_connection(
    stream: TcpStream,
    handler: &(impl Fn(Request, &mut TcpStream) -> Answer + ?Sized),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers)) = read_head(&mut reader)? {
        let body = read_body(&mut reader, &headers)?;
        let mut words = first.split(' ');
        let request = Request {
            method: words.next().unwrap_or_default().to_string(),
            target: words.next().unwrap_or_default().to_string(),
            headers,
            body,
            read_at: Instant::now(),
        };
        match handler(request, &mut writer) {
            Answer::Close => return Ok(()),
            Answer::Written => {}
            Answer::Full(status, headers, body) => {
                let mut head = format!("HTTP/1.1 {status} -\r\ncontent-length: {}\r\n", body.len());
                for (name, value) in headers {
                    head.push_str(&format!("{name}: {value}\r\n"));
                }
                head.push_str("\r\n");
                writer.write_all(&[head.as_bytes(), &body].concat())?;
            }
        }
    }
    Ok(())
}

/// What a client got.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// Sends a request on a connection of its own. The body is sent in two halves with a pause between them.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    pause: Duration,
    timeout: Duration,
) -> io::Result<Reply> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        head.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut writer = stream.try_clone()?;
    writer.write_all(head.as_bytes())?;
    let sent = if pause.is_zero() {
        writer.write_all(body)
    } else {
        let (first, second) = body.split_at(body.len() / 2);
        let first = writer.write_all(first);
        thread::sleep(pause);
        first.and_then(|()| writer.write_all(second))
    };
    // A node may answer before it has read the whole body.
    let mut reader = BufReader::new(stream);
    let answered = read_reply(&mut reader);
    match (sent, answered) {
        (_, Ok(reply)) => Ok(reply),
        (Err(error), Err(_)) => Err(error),
        (Ok(()), Err(error)) => Err(error),
    }
}

fn read_reply(reader: &mut BufReader<TcpStream>) -> io::Result<Reply> {
    let (first, headers) =
        read_head(reader)?.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
    let body = read_body(reader, &headers)?;
    Ok(Reply {
        status,
        headers,
        body,
    })
}
