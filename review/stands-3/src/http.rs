//! Plain HTTP/1.1 over blocking sockets, as a client and as a server of one connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Head of a message with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line, without its end.
    pub first_line: String,
    /// Header fields in their order, with names in lower case.
    pub fields: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }

    /// Returns the status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the path of a request.
    pub fn method_and_path(&self) -> (&str, &str) {
        let mut words = self.first_line.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }
}

fn bad(text: String) -> std::io::Error {
    std::io::Error::new(ErrorKind::InvalidData, text)
}

/// Connection on which messages are read and written.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection.
    pub fn open(address: &str, timeout: Duration) -> std::io::Result<Connection> {
        let address: SocketAddr = address.parse().map_err(|_| bad(format!("address {address}")))?;
        Connection::of(TcpStream::connect_timeout(&address, timeout)?, timeout)
    }

    /// Wraps a stream; reads fail after the timeout.
    pub fn of(stream: TcpStream, timeout: Duration) -> std::io::Result<Connection> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        Ok(Connection { reader: BufReader::new(stream) })
    }

    /// Returns the stream.
    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads a line without its end.
    pub fn read_line(&mut self) -> std::io::Result<String> {
        let mut line = Vec::new();
        self.reader.by_ref().take(64 << 10).read_until(b'\n', &mut line)?;
        if line.is_empty() {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok(String::from_utf8_lossy(&line).trim_end().to_string())
    }

    /// Reads a head; the body is left.
    pub fn read_head(&mut self) -> std::io::Result<Message> {
        let first_line = self.read_line()?;
        let mut fields = Vec::new();
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Ok(Message { first_line, fields, body: Vec::new() });
            }
            let (name, value) = line.split_once(':').ok_or_else(|| bad(format!("field {line:?}")))?;
            fields.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }

    /// Reads so many bytes.
    pub fn read_bytes(&mut self, count: usize) -> std::io::Result<Vec<u8>> {
        let mut bytes = vec![0; count];
        self.reader.read_exact(&mut bytes)?;
        Ok(bytes)
    }

    /// Reads a body of chunks.
    pub fn read_chunks(&mut self) -> std::io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| bad(format!("chunk {line:?}")))?;
            body.extend(self.read_bytes(size)?);
            self.read_line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Reads a request with its body.
    pub fn read_request(&mut self) -> std::io::Result<Message> {
        let mut message = self.read_head()?;
        message.body = match (message.field("transfer-encoding"), message.field("content-length")) {
            (Some(_), _) => self.read_chunks()?,
            (None, Some(length)) => self.read_bytes(length.parse().unwrap_or(0))?,
            (None, None) => Vec::new(),
        };
        Ok(message)
    }

    /// Reads an answer with its body, by the rules of HTTP/1.1.
    pub fn read_answer(&mut self) -> std::io::Result<Message> {
        let mut message = self.read_head()?;
        if !message.first_line.starts_with("HTTP/1.1 ") || message.status() == 0 {
            return Err(bad(format!("no answer: {:?}", message.first_line)));
        }
        message.body = match (message.field("transfer-encoding"), message.field("content-length")) {
            (Some(_), _) => self.read_chunks()?,
            (None, Some(length)) => self.read_bytes(length.parse().unwrap_or(0))?,
            (None, None) => {
                let mut body = Vec::new();
                self.reader.read_to_end(&mut body)?;
                body
            }
        };
        Ok(message)
    }

    /// Sends a request and reads its answer.
    pub fn exchange(&mut self, request: &[u8]) -> std::io::Result<Message> {
        self.write(request)?;
        self.read_answer()
    }
}

/// Builds a request; a body gets its length.
pub fn request(method: &str, path: &str, host: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in fields {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" || method == "PUT" {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Makes a call on a connection of its own.
pub fn call(address: &str, request: &[u8], timeout: Duration) -> std::io::Result<Message> {
    Connection::open(address, timeout)?.exchange(request)
}
