//! A small HTTP/1.1 client with one connection a call.

use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }
}

pub fn encode_request(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|it| it.0.eq_ignore_ascii_case("host")) {
        text.push_str(&format!("Host: {address}\r\n"));
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Parses the head of an answer; `None` while it is incomplete. Returns it with an empty body, and its length.
pub fn parse_head(bytes: &[u8]) -> Option<(Answer, usize)> {
    let end = bytes.windows(4).position(|it| it == b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = text.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers = lines.filter_map(|it| it.split_once(':'));
    let headers = headers.map(|it| (it.0.trim().to_string(), it.1.trim().to_string())).collect();
    Some((Answer { status, headers, body: Vec::new() }, end))
}

/// Returns the body once it is complete: by its length, its chunks, or the end of the connection.
pub fn whole_body(head: &Answer, bytes: &[u8], is_closed: bool) -> Option<Vec<u8>> {
    if let Some(length) = head.header("content-length").and_then(|it| it.parse::<usize>().ok()) {
        return (bytes.len() >= length).then(|| bytes[..length].to_vec());
    }
    if head.header("transfer-encoding").is_some() {
        let mut body = Vec::new();
        let mut rest = bytes;
        loop {
            let end = rest.windows(2).position(|it| it == b"\r\n")?;
            let size = std::str::from_utf8(&rest[..end]).ok()?;
            let size = usize::from_str_radix(size.trim(), 16).ok()?;
            rest = &rest[end + 2..];
            if size == 0 {
                return (rest.len() >= 2).then_some(body);
            }
            if rest.len() < size + 2 {
                return None;
            }
            body.extend_from_slice(&rest[..size]);
            rest = &rest[size + 2..];
        }
    }
    is_closed.then(|| bytes.to_vec())
}

/// Makes a call on a connection of its own and returns the whole answer.
pub fn call(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Answer, String> {
    let until = Instant::now() + timeout;
    let parsed: SocketAddr = address.parse().map_err(|_| "bad address".to_string())?;
    let mut stream =
        TcpStream::connect_timeout(&parsed, timeout).map_err(|it| format!("connect: {it}"))?;
    let request = encode_request(address, method, path, headers, body);
    stream.write_all(&request).map_err(|it| format!("send: {it}"))?;
    let mut bytes = Vec::new();
    let mut piece = [0; 16 << 10];
    let mut is_closed = false;
    loop {
        if let Some((mut head, end)) = parse_head(&bytes)
            && let Some(body) = whole_body(&head, &bytes[end..], is_closed)
        {
            head.body = body;
            return Ok(head);
        }
        if is_closed {
            return Err("the connection ended before the answer was complete".to_string());
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err("timeout".to_string());
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut piece) {
            Ok(0) => is_closed = true,
            Ok(count) => bytes.extend_from_slice(&piece[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                return Err("timeout".to_string());
            }
            Err(error) => return Err(format!("read: {error}")),
        }
    }
}
