//! HTTP/1.1 on plain sockets, so that a stand-in decides about every byte.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    time::{Duration, Instant},
};

#[derive(Debug, Clone)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|it| it.split_once('='));
        pairs.into_iter().find(|(it, _)| *it == name).map(|(_, value)| percent_decode(value))
    }
}

fn percent_decode(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|it| u8::from_str_radix(it, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

/// Connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    /// Reads more bytes; 0 at the end of the connection.
    fn fill(&mut self) -> io::Result<usize> {
        let mut buf = [0; 16 * 1024];
        let count = self.stream.read(&mut buf)?;
        self.rest.extend_from_slice(&buf[..count]);
        Ok(count)
    }

    fn head(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|it| it == b"\r\n\r\n") {
                let head: Vec<u8> = self.rest.drain(..end + 4).collect();
                return Ok(Some(String::from_utf8_lossy(&head).into_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.rest.drain(..count).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.rest.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let digits = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(digits, 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let data = self.exactly(size)?;
        if size == 0 {
            while !self.line()?.is_empty() {}
        } else {
            self.exactly(2)?;
        }
        Ok(data)
    }

    /// Reads a request with its body; none at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some(head) = self.head()? else { return Ok(None) };
        let (start, headers) = split_head(&head);
        let mut words = start.split(' ');
        let target = words.nth(1).unwrap_or_default().to_owned();
        let mut request = Request { target, headers, body: Vec::new() };
        if let Some(length) = request.header("content-length").and_then(|it| it.parse().ok()) {
            request.body = self.exactly(length)?;
        } else if request.header("transfer-encoding").is_some() {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    break;
                }
                request.body.extend_from_slice(&chunk);
            }
        }
        Ok(Some(request))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a response within a time limit.
    pub fn response(&mut self, limit: Duration) -> Answer {
        let until = Instant::now() + limit;
        let mut answer = Answer::default();
        let read = self.read_response(until, &mut answer);
        answer.end = match read {
            Ok(()) => End::Complete,
            Err(error) if Instant::now() >= until => {
                let _ = error;
                End::TimedOut
            }
            Err(error) => End::Broken(error.kind().to_string()),
        };
        answer
    }

    fn read_response(&mut self, until: Instant, answer: &mut Answer) -> io::Result<()> {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        self.stream.set_read_timeout(Some(left))?;
        let head = loop {
            let Some(head) = self.head()? else {
                return Err(io::ErrorKind::UnexpectedEof.into());
            };
            if !head.starts_with("HTTP/1.1 1") {
                break head;
            }
        };
        let (start, headers) = split_head(&head);
        answer.status = start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
        answer.headers = headers;
        if let Some(length) = answer.header("content-length").and_then(|it| it.parse().ok()) {
            while self.rest.len() < length {
                if self.fill()? == 0 {
                    answer.body = std::mem::take(&mut self.rest);
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            answer.body = self.rest.drain(..length).collect();
        } else if answer.header("transfer-encoding").is_some() {
            loop {
                let chunk = self.chunk()?;
                if chunk.is_empty() {
                    break;
                }
                answer.body.extend_from_slice(&chunk);
            }
        } else {
            while self.fill()? != 0 {}
            answer.body = std::mem::take(&mut self.rest);
        }
        Ok(())
    }
}

fn split_head(head: &str) -> (String, Vec<(String, String)>) {
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|it| it.split_once(':'));
    (start, headers.map(|(name, value)| (name.into(), value.trim().into())).collect())
}

#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum End {
    #[default]
    Complete,
    TimedOut,
    Broken(String),
}

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub end: End,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

pub fn request_bytes(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

pub fn response_bytes(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    [head.as_bytes(), body].concat()
}

/// Serves connections on a free port of `ip`, one thread each.
pub fn listen(ip: &str, serve: impl Fn(Connection) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("no free port");
    let addr = listener.local_addr().expect("no address");
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            std::thread::spawn(move || serve(Connection::new(stream)));
        }
    });
    addr
}

pub fn connect(addr: SocketAddr) -> io::Result<Connection> {
    TcpStream::connect_timeout(&addr, Duration::from_secs(1)).map(Connection::new)
}
