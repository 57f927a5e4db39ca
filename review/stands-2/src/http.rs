//! A small HTTP/1.1 client, which tells whether an answer is complete by its framing.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// Time within which a connection must open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An answer as it arrived.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Status; 0 if no head arrived.
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body, without the framing of chunks.
    pub body: Vec<u8>,
    /// Whether the framing says that the whole answer has arrived.
    pub is_complete: bool,
    /// How the connection ended, if not with a complete answer.
    pub fault: String,
}

impl Answer {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Describes the answer in a few words.
    pub fn describe(&self) -> String {
        match self.status {
            0 => format!("no answer ({})", self.fault),
            status if self.is_complete => format!("status {status}, {} bytes", self.body.len()),
            status => format!("status {status}, {} bytes, cut ({})", self.body.len(), self.fault),
        }
    }
}

/// Returns the value of a header.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
}

/// Parses the lines of a head; returns the first line and the headers.
pub fn parse_head(head: &[u8]) -> (String, Vec<(String, String)>) {
    let text = String::from_utf8_lossy(head).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_string();
    let headers = lines.filter_map(|it| it.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_string()));
    (first, headers.collect())
}

/// Returns the end of the head, if it is whole.
pub fn head_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|it| it == b"\r\n\r\n").map(|it| it + 4)
}

/// Sends one request on a connection of its own and reads its answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Answer {
    let mut stream = match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
        Ok(stream) => stream,
        Err(error) => return Answer { fault: error.to_string(), ..Answer::default() },
    };
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|it| it.0.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let sent = stream.write_all(&[head.as_bytes(), body].concat());
    if let Err(error) = sent {
        return Answer { fault: error.to_string(), ..Answer::default() };
    }
    read_answer(&mut stream, timeout)
}

/// Reads an answer until its framing ends, the connection ends or the time runs out.
fn read_answer(stream: &mut TcpStream, timeout: Duration) -> Answer {
    let until = Instant::now() + timeout;
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 << 10];
    loop {
        if let Some(answer) = parse(&bytes, None) {
            return answer;
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return parse(&bytes, Some("timed out")).unwrap_or_default();
        }
        // Setting a timeout fails only for zero.
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) => return parse(&bytes, Some("closed")).unwrap_or_default(),
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => return parse(&bytes, Some(&error.to_string())).unwrap_or_default(),
        }
    }
}

/// Parses what has arrived; `None` if more may come. With an `end`, nothing more comes.
fn parse(bytes: &[u8], end: Option<&str>) -> Option<Answer> {
    let Some(head_end) = head_end(bytes) else {
        return end.map(|it| Answer { fault: it.to_string(), ..Answer::default() });
    };
    let (first, headers) = parse_head(&bytes[..head_end - 4]);
    let status = first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    let rest = &bytes[head_end..];
    let (body, is_complete) = if header(&headers, "transfer-encoding").is_some() {
        decode_chunks(rest)
    } else if let Some(length) = header(&headers, "content-length") {
        let length = length.parse().unwrap_or(usize::MAX);
        (rest[..rest.len().min(length)].to_vec(), rest.len() >= length)
    } else {
        // It ends with its connection, unless that is reset.
        (rest.to_vec(), end == Some("closed") || status == 204)
    };
    if !is_complete && end.is_none() {
        return None;
    }
    let fault = if is_complete { String::new() } else { end.unwrap_or_default().to_string() };
    Some(Answer { status, headers, body, is_complete, fault })
}

/// Decodes chunks; returns what has arrived, and whether the last chunk has.
fn decode_chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    while let Some(at) = rest.windows(2).position(|it| it == b"\r\n") {
        let size = String::from_utf8_lossy(&rest[..at]);
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break };
        let data = &rest[at + 2..];
        if size == 0 {
            return (body, data.starts_with(b"\r\n"));
        }
        if data.len() < size + 2 {
            body.extend_from_slice(&data[..data.len().min(size)]);
            break;
        }
        body.extend_from_slice(&data[..size]);
        rest = &data[size + 2..];
    }
    (body, false)
}
