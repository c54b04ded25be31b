//! HTTP/1.1 server and client of the stand-ins, one thread for each connection.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval between checks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// Request or response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived to its end.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// Value of a field of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let found = query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('='))?;
        Some(percent_decode(found))
    }

    /// Status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or_default()
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn percent_decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let Some((first, after)) = rest.split_first() {
        let code = (*first == b'%').then(|| std::str::from_utf8(after.get(..2)?).ok()).flatten();
        match code.and_then(|it| u8::from_str_radix(it, 16).ok()) {
            Some(byte) => (bytes, rest) = ([bytes, vec![byte]].concat(), &after[2..]),
            None => (bytes, rest) = ([bytes, vec![*first]].concat(), after),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Response of a server.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Reply {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, headers: Vec::new(), body: body.into() }
    }

    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }
}

/// What a server does with a request. None closes the connection without a response.
pub type Handler = Arc<dyn Fn(Message) -> Option<Reply> + Send + Sync>;

/// Running server.
#[derive(Clone)]
pub struct Server {
    pub addr: SocketAddr,
    has_ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Ends as a process that is killed: connections break, and the port is closed.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for stream in self.streams.lock().unwrap_or_else(PoisonError::into_inner).iter() {
            // The peer may have closed it already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves on a free port of an address until it is ended.
pub fn serve(ip: Ipv4Addr, handler: Handler) -> io::Result<Server> {
    let listener = TcpListener::bind((ip, 0))?;
    listener.set_nonblocking(true)?;
    let server =
        Server { addr: listener.local_addr()?, has_ended: Arc::default(), streams: Arc::default() };
    let accepting = server.clone();
    thread::spawn(move || {
        while !accepting.has_ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            if let Ok(copy) = stream.try_clone() {
                accepting.streams.lock().unwrap_or_else(PoisonError::into_inner).push(copy);
            }
            let handler = Arc::clone(&handler);
            thread::spawn(move || drop(serve_connection(stream, &handler)));
        }
    });
    Ok(server)
}

fn serve_connection(stream: TcpStream, handler: &Handler) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream;
    while let Some(request) = read_message(&mut reader, false)? {
        let Some(reply) = handler(request) else {
            return writer.shutdown(Shutdown::Both);
        };
        let mut head = format!("HTTP/1.1 {} status\r\n", reply.status);
        for (name, value) in &reply.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", reply.body.len()));
        writer.write_all(&[head.as_bytes(), &reply.body].concat())?;
    }
    Ok(())
}

/// Reads a message. None at the end of the connection. A response without a length
/// ends with its connection.
fn read_message(
    reader: &mut BufReader<TcpStream>,
    is_response: bool,
) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                message.headers.push((name.to_owned(), value.trim().to_owned()));
            }
            None => break,
        }
    }
    let is_chunked =
        message.header("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
    let length = message.header("content-length").and_then(|it| it.parse::<usize>().ok());
    let read = if is_chunked {
        read_chunks(reader, &mut message.body)
    } else if let Some(length) = length {
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)
    } else if is_response {
        reader.read_to_end(&mut message.body).map(drop)
    } else {
        Ok(())
    };
    message.is_complete = read.is_ok();
    Ok(Some(message))
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or_default(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk[..size]);
        if size == 0 {
            return Ok(());
        }
    }
}

/// Connection of a client that is kept for several requests.
pub struct Client {
    reader: BufReader<TcpStream>,
    host: String,
}

impl Client {
    pub fn connect(addr: SocketAddr, host: &str, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self { reader: BufReader::new(stream), host: host.to_owned() })
    }

    /// Sends a request and reads the response.
    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> io::Result<Message> {
        let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {}\r\n", self.host);
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
        self.reader.get_mut().write_all(head.as_bytes())?;
        let response = read_message(&mut self.reader, true)?;
        response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
