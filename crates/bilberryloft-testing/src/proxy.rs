//! A TCP proxy that injects faults between real processes.

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

/// What happens to bytes on their way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    Pass,
    /// They are held back until the fault ends; connections stay open.
    Hold,
    /// Those from the connecting side are held back.
    HoldToServer,
    /// Those from the listening side are held back.
    HoldToClient,
    /// They come later by some milliseconds.
    DelayMs(u64),
    /// Every connection is broken, and new ones too.
    Reset,
}

/// A running proxy; it ends with the value.
#[derive(Debug)]
pub struct Proxy {
    fault: watch::Sender<Fault>,
    accepted: Arc<Mutex<u64>>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Listens on an address and passes everything on to another.
    pub async fn bind(listen_address: &str, server_address: &str) -> std::io::Result<Proxy> {
        let listener = TcpListener::bind(listen_address).await?;
        let (fault, faults) = watch::channel(Fault::Pass);
        let accepted = Arc::new(Mutex::new(0));
        let task =
            tokio::spawn(accept(listener, server_address.to_string(), faults, accepted.clone()));
        Ok(Proxy { fault, accepted, task })
    }

    /// Sets the fault from now on.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.send_replace(fault);
    }

    /// Connections taken so far.
    pub fn accepted(&self) -> u64 {
        *self.accepted.lock()
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    server_address: String,
    faults: watch::Receiver<Fault>,
    accepted: Arc<Mutex<u64>>,
) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        *accepted.lock() += 1;
        connections.spawn(connect(client, server_address.clone(), faults.clone()));
    }
}

async fn connect(client: TcpStream, server_address: String, mut faults: watch::Receiver<Fault>) {
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
    let to_server = pump(client_reader, server_writer, faults.clone(), Fault::HoldToServer);
    let to_client = pump(server_reader, client_writer, faults.clone(), Fault::HoldToClient);
    tokio::select! {
        () = to_server => {}
        () = to_client => {}
        _ = faults.wait_for(|it| *it == Fault::Reset) => {}
    }
}

async fn pump(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    mut faults: watch::Receiver<Fault>,
    own_hold: Fault,
) {
    let mut buffer = vec![0; 64 << 10];
    loop {
        let Ok(length) = reader.read(&mut buffer).await else {
            return;
        };
        if length == 0 {
            return;
        }
        let is_open = |it: &Fault| *it != Fault::Hold && *it != own_hold;
        let fault = match faults.wait_for(is_open).await {
            Ok(fault) => *fault,
            Err(_) => return,
        };
        if let Fault::DelayMs(delay_ms) = fault {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if writer.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
