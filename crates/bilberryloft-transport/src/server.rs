//! Taking calls from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_protocol::PROTOCOL_VERSION;
use bilberryloft_protocol::codec::body_name;
use bilberryloft_protocol::codec::encode_frame;
use bilberryloft_protocol::wire::Body;
use bilberryloft_protocol::wire::Fault;
use bilberryloft_protocol::wire::Hello;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::frame::OUTGOING_FRAMES_MAX;
use crate::frame::read_envelope;
use crate::frame::write_frames;
use crate::socket::set_tcp_options;

/// Time for a peer to say hello.
const HELLO_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Who is at the other end of a connection.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the daemon.
    pub daemon: String,
    /// Its life.
    pub incarnation: u64,
    /// Address that it connects from.
    pub address: String,
}

/// One call from a peer.
#[derive(Debug)]
pub struct Call {
    /// Who calls.
    pub peer: Arc<Peer>,
    /// What is asked.
    pub body: Body,
    /// Where answers go.
    pub responder: Responder,
}

/// Sends the frames that answer one call.
#[derive(Clone, Debug)]
pub struct Responder {
    call_id: i64,
    outgoing: mpsc::Sender<Vec<u8>>,
}

impl Responder {
    /// Sends a frame, waiting while the connection is slow; fails when it has ended.
    pub async fn send(&self, body: Body) -> std::result::Result<(), Disconnected> {
        self.outgoing.send(encode_frame(self.call_id, body)).await.map_err(|_| Disconnected)
    }

    /// Answers that the call could not be served.
    pub async fn fail(&self, step: &str, detail: impl Into<String>) {
        let _ = self.send(Body::Fault(Fault::new(step.to_string(), detail.into()))).await;
    }

    /// Waits until the connection has ended.
    pub async fn closed(&self) {
        self.outgoing.closed().await;
    }

    /// Whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.outgoing.is_closed()
    }
}

/// The connection has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

/// Serves calls; the edge between a process and its peers.
pub trait Handler: Send + Sync + 'static {
    /// Serves one call in a task of its own.
    fn handle(self: Arc<Self>, call: Call) -> impl Future<Output = ()> + Send;
}

/// A running listener; it ends with the value.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on an address and serves each connection with the handler.
    pub async fn bind<H: Handler>(
        address: &str,
        daemon: &str,
        incarnation: u64,
        handler: Arc<H>,
    ) -> Result<Server> {
        let listener =
            TcpListener::bind(address).await.map_err(|it| Error::network("listen", address, it))?;
        let local = listener.local_addr().map_err(|it| Error::network("listen", address, it))?;
        let hello = Hello::new(PROTOCOL_VERSION, daemon.to_string(), incarnation as i64, 0);
        let task = tokio::spawn(accept(listener, hello, handler));
        Ok(Server { address: local, task })
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept<H: Handler>(listener: TcpListener, hello: Hello, handler: Arc<H>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, address)) => {
                let served = serve(stream, address.to_string(), hello.clone(), handler.clone());
                connections.spawn(served);
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve<H: Handler>(stream: TcpStream, address: String, hello: Hello, handler: Arc<H>) {
    // Without the options, a connection whose path is lost stays open until its peer calls again.
    let _ = set_tcp_options(&stream);
    let (reader, writer) = stream.into_split();
    let mut reader = BufReader::with_capacity(32 << 10, reader);
    let (outgoing, queue) = mpsc::channel(OUTGOING_FRAMES_MAX);
    tokio::spawn(write_frames(writer, queue));
    let first = tokio::time::timeout(HELLO_TIMEOUT, read_envelope(&mut reader, &address)).await;
    let Ok(Ok(Some(first))) = first else { return };
    let responder = Responder { call_id: 0, outgoing: outgoing.clone() };
    let peer = match first.body {
        Body::Hello(it) if it.protocol_version == PROTOCOL_VERSION => {
            Peer { daemon: it.daemon, incarnation: it.incarnation as u64, address: address.clone() }
        }
        Body::Hello(it) => {
            let detail =
                format!("protocol version {} is not {PROTOCOL_VERSION}", it.protocol_version);
            return responder.fail("handshake", detail).await;
        }
        body => {
            return responder
                .fail("handshake", format!("{} in place of hello", body_name(&body)))
                .await;
        }
    };
    let _ = responder.send(Body::Hello(hello)).await;
    let peer = Arc::new(peer);
    while let Ok(Some(envelope)) = read_envelope(&mut reader, &address).await {
        let responder = Responder { call_id: envelope.call_id, outgoing: outgoing.clone() };
        let call = Call { peer: peer.clone(), body: envelope.body, responder };
        tokio::spawn(handler.clone().handle(call));
    }
}
