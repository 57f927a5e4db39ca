//! Server that takes calls from peers.

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
use bilberryloft_state::state_machine::COMMAND_FORMAT;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::frame::OUTGOING_FRAMES_MAX;
use crate::frame::read_envelope;
use crate::frame::write_frames;
use crate::socket::set_tcp_options;

/// Timeout of the handshake: the time for a peer to send its hello message.
const HELLO_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The peer at the other end of a connection.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the peer's daemon.
    pub daemon: String,
    /// Incarnation of the peer's daemon.
    pub incarnation: u64,
    /// Address that the peer connects from.
    pub address: String,
}

/// One call from a peer.
#[derive(Debug)]
pub struct Call {
    /// Peer that makes the call.
    pub peer: Arc<Peer>,
    /// Body of the call.
    pub body: Body,
    /// Sends the response frames of the call.
    pub responder: Responder,
}

/// Sends the response frames of one call.
#[derive(Clone, Debug)]
pub struct Responder {
    call_id: i64,
    outgoing: mpsc::Sender<Vec<u8>>,
}

impl Responder {
    /// Sends a frame, waiting while the outgoing queue is full.
    ///
    /// Fails with [`Disconnected`] if the connection has closed.
    pub async fn send(&self, body: Body) -> std::result::Result<(), Disconnected> {
        self.outgoing.send(encode_frame(self.call_id, body)).await.map_err(|_| Disconnected)
    }

    /// Responds to the call with an error; does nothing if the connection has closed.
    pub async fn fail(&self, step: &str, detail: impl Into<String>) {
        let _ = self.send(Body::Fault(Fault::new(step.to_string(), detail.into()))).await;
    }

    /// Waits until the connection has closed.
    pub async fn closed(&self) {
        self.outgoing.closed().await;
    }

    /// Whether the connection has closed.
    pub fn is_closed(&self) -> bool {
        self.outgoing.is_closed()
    }
}

/// Error of sending on a connection that has closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnected;

/// Handles the calls that a process receives from its peers.
pub trait Handler: Send + Sync + 'static {
    /// Handles one call; runs in a separate task for each call.
    fn handle(self: Arc<Self>, call: Call) -> impl Future<Output = ()> + Send;
}

/// A running server; dropping it closes the listener and its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on an address and passes the calls of each connection to the handler. Peers are told the data centre, if
    /// one is given.
    ///
    /// Fails with [`Error::Network`] if it can't listen on the address.
    pub async fn bind<H: Handler>(
        address: &str,
        daemon: &str,
        incarnation: u64,
        data_center: Option<&str>,
        handler: Arc<H>,
    ) -> Result<Server> {
        let listener =
            TcpListener::bind(address).await.map_err(|it| Error::network("listen", address, it))?;
        let local_address =
            listener.local_addr().map_err(|it| Error::network("listen", address, it))?;
        let data_center = data_center.map(str::to_string);
        let hello = Hello {
            protocol_version: PROTOCOL_VERSION,
            daemon: daemon.to_string(),
            incarnation: incarnation as i64,
            configuration_version: 0,
            data_center,
            command_format: Some(COMMAND_FORMAT),
        };
        let task = tokio::spawn(accept_connections(listener, hello, handler));
        Ok(Server { address: local_address, task })
    }

    /// Address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections<H: Handler>(listener: TcpListener, hello: Hello, handler: Arc<H>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, address)) => {
                let connection =
                    serve_connection(stream, address.to_string(), hello.clone(), handler.clone());
                connections.spawn(connection);
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    address: String,
    hello: Hello,
    handler: Arc<H>,
) {
    // Without the options, a connection whose network path is lost stays open until the peer calls again.
    let _ = set_tcp_options(&stream);
    let (reader, writer) = stream.into_split();
    let mut reader = BufReader::with_capacity(32 << 10, reader);
    let (outgoing, queue) = mpsc::channel(OUTGOING_FRAMES_MAX);
    tokio::spawn(write_frames(writer, queue));
    let first = tokio::time::timeout(HELLO_TIMEOUT, read_envelope(&mut reader, &address)).await;
    let Ok(Ok(Some(first))) = first else { return };
    let responder = Responder { call_id: 0, outgoing: outgoing.clone() };
    let peer = match first.body {
        Body::Hello(peer_hello) if peer_hello.protocol_version == PROTOCOL_VERSION => Peer {
            daemon: peer_hello.daemon,
            incarnation: peer_hello.incarnation as u64,
            address: address.clone(),
        },
        Body::Hello(peer_hello) => {
            let detail = format!(
                "the peer has protocol version {}, expected {PROTOCOL_VERSION}",
                peer_hello.protocol_version
            );
            return responder.fail("handshake", detail).await;
        }
        body => {
            return responder
                .fail("handshake", format!("received {} instead of hello", body_name(&body)))
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
