//! Strict HTTP/1.1 framing: finds where requests begin and end in the input.
//!
//! The HTTP library tolerates ambiguous forms that other parsers interpret
//! differently, which allows request smuggling. A head with any such form is
//! rejected before the library receives its end. The framing also limits
//! the size of the head and detects whether the peer is between two requests.

use citrongw_protocol::code::ResultCode;

/// Maximum length of a chunk size line or a trailer line.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Largest buffer that is kept for the next head: most heads fit, and an open connection
/// does not hold the memory of its longest head.
const MAX_KEPT_BYTES: usize = 2 * 1024;

/// Framing state of the input of a connection.
#[derive(Debug)]
pub(super) struct Framing {
    state: State,
    /// Head, chunk line or trailer line read so far.
    line: Vec<u8>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Head,
    Body { remaining: u64 },
    ChunkLine,
    ChunkData { remaining: u64 },
    ChunkEnd,
    Trailers,
}

/// How the body after a head is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyFraming {
    Length(u64),
    Chunked,
}

/// Creates the framing state of a new connection.
pub(super) fn open() -> Framing {
    Framing { state: State::Head, line: Vec::new() }
}

impl Framing {
    /// Whether the next byte begins a request.
    pub(super) fn is_between_requests(&self) -> bool {
        self.state == State::Head && self.line.is_empty()
    }

    /// Whether a head is partly received.
    pub(super) fn is_in_head(&self) -> bool {
        self.state == State::Head && !self.line.is_empty()
    }

    /// Whether a body is partly received.
    pub(super) fn is_in_body(&self) -> bool {
        self.state != State::Head
    }

    /// Size of the head or line that is partly received.
    pub(super) fn partial_bytes(&self) -> usize {
        self.line.len()
    }

    /// Processes input. An error is the code with which the connection is closed.
    pub(super) fn read(
        &mut self,
        mut bytes: &[u8],
        max_head_bytes: usize,
    ) -> Result<(), ResultCode> {
        while !bytes.is_empty() {
            bytes = match self.state {
                State::Head => self.read_head(bytes, max_head_bytes)?,
                State::Body { remaining } => {
                    self.skip(bytes, remaining, State::Head, |remaining| State::Body { remaining })
                }
                State::ChunkData { remaining } => {
                    self.skip(bytes, remaining, State::ChunkEnd, |remaining| State::ChunkData {
                        remaining,
                    })
                }
                State::ChunkLine | State::ChunkEnd | State::Trailers => self.read_line(bytes)?,
            };
        }
        Ok(())
    }

    fn skip<'a>(
        &mut self,
        bytes: &'a [u8],
        remaining: u64,
        after: State,
        rest: impl Fn(u64) -> State,
    ) -> &'a [u8] {
        let count = usize::try_from(remaining).unwrap_or(usize::MAX).min(bytes.len());
        let remaining = remaining - count as u64;
        self.state = if remaining == 0 { after } else { rest(remaining) };
        &bytes[count..]
    }

    fn read_head<'a>(
        &mut self,
        bytes: &'a [u8],
        max_head_bytes: usize,
    ) -> Result<&'a [u8], ResultCode> {
        let bytes = self.skip_empty_lines(bytes);
        if bytes.is_empty() {
            return Ok(bytes);
        }
        // The end of the head may span two reads.
        let from = self.line.len().saturating_sub(3);
        let before = self.line.len();
        self.line.extend_from_slice(bytes);
        let end = self.line[from..].windows(4).position(|it| it == b"\r\n\r\n");
        let size = end.map_or(self.line.len(), |it| from + it + 4);
        if max_head_bytes < size {
            return Err(ResultCode::TooLarge);
        }
        if end.is_none() {
            check_line_ends(&self.line)?;
            return Ok(&[]);
        }
        self.line.truncate(size);
        let body = parse_head(&self.line)?;
        self.line.clear();
        self.line.shrink_to(MAX_KEPT_BYTES);
        self.state = match body {
            BodyFraming::Length(0) => State::Head,
            BodyFraming::Length(remaining) => State::Body { remaining },
            BodyFraming::Chunked => State::ChunkLine,
        };
        Ok(&bytes[size - before..])
    }

    /// Skips empty lines before a request.
    fn skip_empty_lines<'a>(&mut self, mut bytes: &'a [u8]) -> &'a [u8] {
        while let Some((first, rest)) = bytes.split_first() {
            match (self.line.as_slice(), first) {
                ([], b'\r') => self.line.push(b'\r'),
                ([b'\r'], b'\n') => self.line.clear(),
                _ => break,
            }
            bytes = rest;
        }
        bytes
    }

    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], ResultCode> {
        let count = bytes.iter().position(|it| *it == b'\n').map_or(bytes.len(), |it| it + 1);
        self.line.extend_from_slice(&bytes[..count]);
        if MAX_CHUNK_LINE_BYTES < self.line.len() {
            return Err(ResultCode::Malformed);
        }
        if self.line.ends_with(b"\n") {
            let line = self.line.strip_suffix(b"\r\n").ok_or(ResultCode::Malformed)?;
            self.state = match (self.state, line) {
                (State::ChunkLine, line) => match chunk_size(line)? {
                    0 => State::Trailers,
                    remaining => State::ChunkData { remaining },
                },
                (State::ChunkEnd, []) => State::ChunkLine,
                (State::ChunkEnd, _) => return Err(ResultCode::Malformed),
                (_, []) => State::Head,
                (_, _) => State::Trailers,
            };
            self.line.clear();
        }
        Ok(&bytes[count..])
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, ResultCode> {
    let digits = line.split(|it| *it == b';').next().unwrap_or_default();
    let is_hex = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_hex);
    text.and_then(|it| u64::from_str_radix(it, 16).ok()).ok_or(ResultCode::Malformed)
}

/// Rejects a bare CR or LF: every line must end with CRLF.
fn check_line_ends(head: &[u8]) -> Result<(), ResultCode> {
    let lone_feed = head
        .iter()
        .enumerate()
        .any(|(idx, it)| *it == b'\n' && (idx == 0 || head[idx - 1] != b'\r'));
    let lone_return = head.windows(2).any(|it| it[0] == b'\r' && it[1] != b'\n');
    if lone_feed || lone_return { Err(ResultCode::Malformed) } else { Ok(()) }
}

/// Parses a complete head, including its terminating empty line.
fn parse_head(head: &[u8]) -> Result<BodyFraming, ResultCode> {
    check_line_ends(head)?;
    let text = &head[..head.len() - 4];
    let mut lines = text.split(|it| *it == b'\n').map(|it| it.strip_suffix(b"\r").unwrap_or(it));
    let is_http_11 = lines.next().is_some_and(|it| it.ends_with(b" HTTP/1.1"));
    let (mut length, mut is_chunked) = (None, false);
    for line in lines {
        let colon = line.iter().position(|it| *it == b':').ok_or(ResultCode::Malformed)?;
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        // A line that begins with whitespace continues the previous one (obsolete
        // line folding) and is rejected.
        if name.is_empty() || name.iter().any(u8::is_ascii_whitespace) {
            return Err(ResultCode::Malformed);
        }
        if name.eq_ignore_ascii_case(b"content-length") {
            if length.replace(parse_length(value)?).is_some() {
                return Err(ResultCode::Malformed);
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            if is_chunked || !is_http_11 || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(ResultCode::Malformed);
            }
            is_chunked = true;
        }
    }
    match (length, is_chunked) {
        (Some(_), true) => Err(ResultCode::Malformed),
        (_, true) => Ok(BodyFraming::Chunked),
        (length, false) => Ok(BodyFraming::Length(length.unwrap_or(0))),
    }
}

fn parse_length(value: &[u8]) -> Result<u64, ResultCode> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_number);
    text.and_then(|it| it.parse().ok()).ok_or(ResultCode::Malformed)
}

#[cfg(test)]
mod tests;
