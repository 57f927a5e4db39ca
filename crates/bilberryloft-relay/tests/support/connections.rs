//! A listener with a table of connections, and clients of it, all on one thread.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberryloft_relay::memory::Memory;
use bilberryloft_relay::memory::connection_table::ConnectionTable;
use bilberryloft_relay::memory::serve::serve_connection;
use bilberryloft_relay::settings::ProcessLimits;
use bilberryloft_routing::document::Limits;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Time for which a request is in work.
const WORK: Duration = Duration::from_millis(5);

/// What the requests of a listener share.
#[derive(Default)]
struct Shared {
    served: Mutex<Vec<String>>,
    answer_bytes: AtomicUsize,
}

/// A listener that serves requests, each after a moment.
pub struct Listener {
    /// Connections of the listener.
    pub table: Arc<ConnectionTable>,
    listener: TcpListener,
    memory: Arc<Memory>,
    shared: Arc<Shared>,
}

impl Listener {
    /// Listens; its table holds so many connections.
    pub async fn bind(connections_max: usize) -> Listener {
        Listener {
            table: Arc::new(ConnectionTable::new(connections_max)),
            listener: TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap(),
            memory: Arc::new(Memory::new(&ProcessLimits::default())),
            shared: Arc::default(),
        }
    }

    /// Sets the size of the answers from now on.
    pub fn set_answer_bytes(&self, bytes: usize) {
        self.shared.answer_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Returns whether a request was taken into work.
    pub fn has_served(&self, id: &str) -> bool {
        self.shared.served.lock().iter().any(|it| it == id)
    }

    /// Opens a connection to the listener and serves it.
    pub async fn connect(&mut self) -> Client {
        let address: SocketAddr = self.listener.local_addr().unwrap();
        let client = TcpStream::connect(address).await.unwrap();
        let (stream, peer) = self.listener.accept().await.unwrap();
        let guard = self.table.admit(peer.ip()).await.unwrap();
        let (memory, shared) = (self.memory.clone(), self.shared.clone());
        tokio::spawn(async move {
            let serve = move |request: Request<Incoming>, _| serve(shared.clone(), request);
            let never = std::future::pending();
            serve_connection(stream, guard, &memory, &Limits::default(), serve, never).await;
        });
        Client { stream: client }
    }
}

async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    shared.served.lock().push(request.uri().path().trim_start_matches('/').to_string());
    tokio::time::sleep(WORK).await;
    Response::new(Full::new(Bytes::from(vec![b'a'; shared.answer_bytes.load(Ordering::Relaxed)])))
}

/// A client with one connection.
pub struct Client {
    stream: TcpStream,
}

impl Client {
    /// Sends a request, without giving the listener a turn.
    pub fn send(&self, id: &str) {
        let text = format!("GET /{id} HTTP/1.1\r\nhost: site\r\n\r\n");
        assert_eq!(self.stream.try_write(text.as_bytes()).unwrap(), text.len());
    }

    /// Reads an answer without a body; returns whether it has come whole.
    pub async fn read_answer(&mut self) -> bool {
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n") {
            match self.stream.read_u8().await {
                Ok(byte) => text.push(byte),
                Err(_) => return false,
            }
        }
        text.starts_with(b"HTTP/1.1 200")
    }

    /// Waits for the first bytes of an answer; returns their number.
    pub async fn read_some(&mut self) -> usize {
        self.stream.read(&mut [0; 1 << 10]).await.unwrap()
    }

    /// Reads what has arrived, without giving the listener a turn; returns the number of bytes.
    pub fn read_arrived(&self) -> usize {
        let (mut piece, mut bytes) = (vec![0; 64 << 10], 0);
        while let Ok(more @ 1..) = self.stream.try_read(&mut piece) {
            bytes += more;
        }
        bytes
    }

    /// Reads the rest of an answer; returns whether it is whole.
    pub async fn read_rest(&mut self, read_bytes: usize, whole_bytes: usize) -> bool {
        let (mut piece, mut bytes) = (vec![0; 64 << 10], read_bytes);
        while bytes < whole_bytes {
            match self.stream.read(&mut piece).await {
                Ok(0) | Err(_) => return false,
                Ok(more) => bytes += more,
            }
        }
        true
    }
}

/// A connection of its own, by which it is noticed that everything written before has arrived.
pub struct Marker {
    writer: std::net::TcpStream,
    reader: TcpStream,
}

impl Marker {
    /// Opens the connection.
    pub fn new() -> Marker {
        let listener = std::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let writer = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (reader, _) = listener.accept().unwrap();
        reader.set_nonblocking(true).unwrap();
        Marker { writer, reader: TcpStream::from_std(reader).unwrap() }
    }

    /// Waits until what was written before has arrived. The caller then goes on before the other tasks of its thread.
    pub async fn wait_until_all_has_arrived(&mut self) {
        std::io::Write::write_all(&mut self.writer, b"x").unwrap();
        assert_eq!(self.reader.read_u8().await.unwrap(), b'x');
    }
}
