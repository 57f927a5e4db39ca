//! Server that takes calls from peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_protocol::PROTOCOL_VERSION;
use bilberryloft_protocol::codec::FRAME_MAX_BYTES;
use bilberryloft_protocol::codec::body_name;
use bilberryloft_protocol::codec::encode_frame;
use bilberryloft_protocol::wire::Body;
use bilberryloft_protocol::wire::Fault;
use bilberryloft_protocol::wire::Hello;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_state::state_machine::COMMAND_FORMAT;
use parking_lot::Mutex;
use tokio::io::BufReader;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio::task::JoinHandle;

use crate::account::Account;
use crate::account::Holder;
use crate::frame::FrameLimits;
use crate::frame::OUTGOING_FRAMES_MAX;
use crate::frame::read_limited;
use crate::frame::write_frames;
use crate::socket::set_tcp_options;

/// Timeout of the handshake: the time for a peer to send its hello message.
const HELLO_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Largest frame of a peer that has not said hello, in bytes. The message holds a name and a few numbers.
const HELLO_BYTES_MAX: usize = 4 << 10;
/// Size of the account of a process whose host states no limit: sixteen of the largest frames.
const ACCOUNT_BYTES_DEFAULT: u64 = 1 << 30;
/// Connections that may be open if the host states no limit; the largest planned fleet has 320 daemons.
const CONNECTIONS_MAX_DEFAULT: usize = 16_384;
/// Part of the connections that may be open without a hello, as a divisor.
const GREETING_DIVISOR: usize = 4;
/// Size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 32 << 10;
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limits on what peers may make the process hold.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Account that is charged for their frames.
    pub account: Arc<Account>,
    /// Connections that may be open.
    pub connections_max: usize,
}

impl Default for ServerLimits {
    /// Limits for a process whose host states none.
    fn default() -> Self {
        ServerLimits {
            account: Account::new(ACCOUNT_BYTES_DEFAULT),
            connections_max: CONNECTIONS_MAX_DEFAULT,
        }
    }
}

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
        let limits = ServerLimits::default();
        Server::bind_within(address, daemon, incarnation, data_center, handler, limits).await
    }

    /// Like [`Server::bind`], under limits on what peers may make the process hold.
    pub async fn bind_within<H: Handler>(
        address: &str,
        daemon: &str,
        incarnation: u64,
        data_center: Option<&str>,
        handler: Arc<H>,
        limits: ServerLimits,
    ) -> Result<Server> {
        let listener =
            TcpListener::bind(address).await.map_err(|it| Error::network("listen", address, it))?;
        let local_address =
            listener.local_addr().map_err(|it| Error::network("listen", address, it))?;
        let data_center = data_center.map(str::to_string);
        let hello = Hello {
            protocol_version: PROTOCOL_VERSION,
            daemon: daemon.to_string(),
            incarnation: incarnation.cast_signed(),
            configuration_version: 0,
            data_center,
            command_format: Some(COMMAND_FORMAT),
        };
        let shared = Arc::new(Acceptor { hello, limits, greeting: Mutex::default() });
        let task = tokio::spawn(accept_connections(listener, shared, handler));
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

/// What the connections of a server share.
struct Acceptor {
    hello: Hello,
    limits: ServerLimits,
    /// Connections whose peers have not said hello, in the order in which they were opened.
    greeting: Mutex<BTreeMap<u64, AbortHandle>>,
}

impl Acceptor {
    /// Adds a connection, and closes the oldest one without a hello if there are too many of these.
    fn begin_greeting(&self, number: u64, spawn: impl FnOnce() -> AbortHandle) {
        // The lock is held while the task starts, so that it can't end its greeting before it has been added.
        let mut greeting = self.greeting.lock();
        greeting.insert(number, spawn());
        if greeting.len() > (self.limits.connections_max / GREETING_DIVISOR).max(1)
            && let Some((_, oldest)) = greeting.pop_first()
        {
            oldest.abort();
        }
    }

    fn end_greeting(&self, number: u64) {
        self.greeting.lock().remove(&number);
    }
}

async fn accept_connections<H: Handler>(
    listener: TcpListener,
    acceptor: Arc<Acceptor>,
    handler: Arc<H>,
) {
    let mut connections = tokio::task::JoinSet::new();
    for number in 0_u64.. {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            // Peers open the connection again.
            Ok(_) if connections.len() >= acceptor.limits.connections_max => {}
            Ok((stream, address)) => {
                let (acceptor_of_one, handler) = (acceptor.clone(), handler.clone());
                acceptor.begin_greeting(number, || {
                    connections.spawn(async move {
                        serve_connection(stream, address, number, &acceptor_of_one, handler).await;
                        acceptor_of_one.end_greeting(number);
                    })
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    address: SocketAddr,
    number: u64,
    acceptor: &Acceptor,
    handler: Arc<H>,
) {
    // Without the options, a connection whose network path is lost stays open until the peer calls again.
    let _ = set_tcp_options(&stream);
    let peer_address = address.to_string();
    let (reader, writer) = stream.into_split();
    let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, reader);
    let (outgoing, queue) = mpsc::channel(OUTGOING_FRAMES_MAX);
    tokio::spawn(write_frames(writer, queue));
    let mut limits = FrameLimits {
        bytes_max: HELLO_BYTES_MAX,
        account: acceptor.limits.account.clone(),
        holder: Holder { address: address.ip(), name: String::new() },
    };
    let first = read_limited(&mut reader, &peer_address, &limits);
    let first = tokio::time::timeout(HELLO_TIMEOUT, first).await;
    let Ok(Ok(Some(first))) = first else { return };
    let responder = Responder { call_id: 0, outgoing: outgoing.clone() };
    let peer = match check_hello(first.body, &peer_address) {
        Ok(peer) => Arc::new(peer),
        Err(detail) => return responder.fail("handshake", detail).await,
    };
    acceptor.end_greeting(number);
    let _ = responder.send(Body::Hello(acceptor.hello.clone())).await;
    limits.bytes_max = FRAME_MAX_BYTES;
    limits.holder.name = peer.daemon.clone();
    while let Ok(Some(envelope)) = read_limited(&mut reader, &peer_address, &limits).await {
        let responder = Responder { call_id: envelope.call_id, outgoing: outgoing.clone() };
        let call = Call { peer: peer.clone(), body: envelope.body, responder };
        tokio::spawn(handler.clone().handle(call));
    }
}

/// Returns the peer that a first message introduces, or why it does not.
fn check_hello(first: Body, address: &str) -> std::result::Result<Peer, String> {
    match first {
        Body::Hello(hello) if hello.protocol_version == PROTOCOL_VERSION => Ok(Peer {
            daemon: hello.daemon,
            incarnation: hello.incarnation.cast_unsigned(),
            address: address.to_string(),
        }),
        Body::Hello(hello) => Err(format!(
            "the peer has protocol version {}, expected {PROTOCOL_VERSION}",
            hello.protocol_version
        )),
        body => Err(format!("received {} instead of hello", body_name(&body))),
    }
}
