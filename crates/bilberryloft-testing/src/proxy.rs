//! A TCP proxy that injects faults between two processes.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Most bytes that are passed on at once.
const CHUNK_BYTES: usize = 64 << 10;
/// Bytes that a slow link passes at once.
const PACKET_BYTES: usize = 1 << 10;

/// Fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault: bytes are passed on at once.
    Pass,
    /// Bytes in both directions are held back until the fault ends; connections stay open.
    Hold,
    /// Bytes from the client to the server are held back.
    HoldToServer,
    /// Bytes from the server to the client are held back.
    HoldToClient,
    /// Each chunk of bytes is delayed by this time in milliseconds.
    DelayMs(u64),
    /// Each connection passes this many bytes a second in each direction.
    BytesPerS(u64),
    /// Open connections are closed, and so are new ones.
    Reset,
}

impl Fault {
    /// Returns the time for which some bytes are held back.
    fn delay(self, bytes: usize) -> Duration {
        match self {
            Fault::DelayMs(delay_ms) => Duration::from_millis(delay_ms),
            Fault::BytesPerS(bytes_per_s) => {
                Duration::from_micros(bytes as u64 * 1_000_000 / bytes_per_s.max(1))
            }
            Fault::Pass
            | Fault::Hold
            | Fault::HoldToServer
            | Fault::HoldToClient
            | Fault::Reset => Duration::ZERO,
        }
    }
}

/// A running proxy; dropping it stops it and closes its connections.
#[derive(Debug)]
pub struct Proxy {
    fault: watch::Sender<Fault>,
    accepted: Arc<Mutex<u64>>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy that listens on one address and connects to another.
    pub async fn bind(listen_address: &str, server_address: &str) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(listen_address).await?;
        let (fault, faults) = watch::channel(Fault::Pass);
        let accepted = Arc::new(Mutex::new(0));
        let task = tokio::spawn(accept_connections(
            listener,
            server_address.to_string(),
            faults,
            accepted.clone(),
        ));
        Ok(Proxy { fault, accepted, task })
    }

    /// Sets the fault of all open and new connections.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        *self.accepted.lock()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(
    listener: TcpListener,
    server_address: String,
    faults: watch::Receiver<Fault>,
    accepted: Arc<Mutex<u64>>,
) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        *accepted.lock() += 1;
        connections.spawn(proxy_connection(client, server_address.clone(), faults.clone()));
    }
}

async fn proxy_connection(
    client: TcpStream,
    server_address: String,
    mut faults: watch::Receiver<Fault>,
) {
    if *faults.borrow() == Fault::Reset {
        return;
    }
    let Ok(server) = TcpStream::connect(server_address).await else {
        return;
    };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let to_server = forward(client_reader, server_writer, faults.clone(), Fault::HoldToServer);
    let to_client = forward(server_reader, client_writer, faults.clone(), Fault::HoldToClient);
    tokio::select! {
        () = to_server => {}
        () = to_client => {}
        _ = faults.wait_for(|it| *it == Fault::Reset) => {}
    }
}

async fn forward(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut faults: watch::Receiver<Fault>,
    direction_hold: Fault,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let Ok(len) = reader.read(&mut buffer).await else {
            return;
        };
        if len == 0 {
            return;
        }
        let is_passing = |it: &Fault| *it != Fault::Hold && *it != direction_hold;
        let fault = match faults.wait_for(is_passing).await {
            Ok(fault) => *fault,
            Err(_) => return,
        };
        let packet_bytes = match fault {
            Fault::BytesPerS(_) => PACKET_BYTES,
            _ => CHUNK_BYTES,
        };
        for packet in buffer[..len].chunks(packet_bytes) {
            tokio::time::sleep(fault.delay(packet.len())).await;
            if writer.write_all(packet).await.is_err() {
                return;
            }
        }
    }
}
