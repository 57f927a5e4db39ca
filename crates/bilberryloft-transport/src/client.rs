//! Client for calls to one peer, over one connection that is opened on demand and reopened after a failure.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberryloft_protocol::PROTOCOL_VERSION;
use bilberryloft_protocol::codec::body_name;
use bilberryloft_protocol::codec::encode_frame;
use bilberryloft_protocol::wire::Body;
use bilberryloft_protocol::wire::Hello;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use parking_lot::Mutex;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::frame::OUTGOING_FRAMES_MAX;
use crate::frame::Progress;
use crate::frame::read_envelope;
use crate::frame::read_with_progress;
use crate::frame::write_frames;
use crate::socket::set_tcp_options;

/// Timeout of opening a connection, including the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Backoff after the first failed connection attempt; it doubles with each further failure.
const BACKOFF_MIN_MS: u64 = 20;
/// Longest backoff between connection attempts.
const BACKOFF_MAX_MS: u64 = 300;
/// Number of attempts to find out whether the peer refuses connections.
const REFUSAL_CHECK_ATTEMPTS: usize = 4;
/// Interval between these attempts; longer than the first backoff, during which no connection is attempted.
const REFUSAL_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Format of commands of peers that don't name one.
const FIRST_COMMAND_FORMAT: i32 = 1;
/// Largest number of response frames of one call that are queued for a slow reader before the call is closed.
const RESPONSE_FRAMES_MAX: usize = 4_096;

/// Client for calls to one peer; clones share the connection.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: String,
    hello: Hello,
    state: tokio::sync::Mutex<ConnectionState>,
    /// The peer's part of the last handshake.
    peer_hello: Mutex<Option<Hello>>,
}

#[derive(Debug, Default)]
struct ConnectionState {
    connection: Option<Arc<Connection>>,
    failures: u32,
    retry_at: Option<Instant>,
}

#[derive(Debug)]
struct Connection {
    outgoing: mpsc::Sender<Vec<u8>>,
    pending: Mutex<BTreeMap<i64, mpsc::Sender<Body>>>,
    next_call_id: AtomicI64,
    is_closed: watch::Sender<bool>,
    reader: Mutex<Option<tokio::task::AbortHandle>>,
    progress: Progress,
}

/// Stream of the response frames of one call; frames that arrive after it is dropped are discarded.
#[derive(Debug)]
pub struct ResponseStream {
    frames: mpsc::Receiver<Body>,
    connection: Arc<Connection>,
    call_id: i64,
    step: &'static str,
    peer: String,
}

impl Client {
    /// Creates a client without connecting to the peer.
    pub fn new(address: impl Into<String>, daemon: &str, incarnation: u64) -> Client {
        let hello = Hello::new(
            PROTOCOL_VERSION,
            daemon.to_string(),
            incarnation.cast_signed(),
            0,
            None,
            None,
        );
        let shared = Shared {
            address: address.into(),
            hello,
            state: tokio::sync::Mutex::default(),
            peer_hello: Mutex::default(),
        };
        Client { shared: Arc::new(shared) }
    }

    /// Address of the peer.
    pub fn address(&self) -> &str {
        &self.shared.address
    }

    /// Returns the data centre that the peer named when it was last connected, if it did.
    pub fn peer_data_center(&self) -> Option<String> {
        self.shared.peer_hello.lock().as_ref()?.data_center.clone()
    }

    /// Returns the format of commands that the peer reads; `None` if it was never connected.
    pub fn peer_command_format(&self) -> Option<i32> {
        let hello = self.shared.peer_hello.lock();
        Some(hello.as_ref()?.command_format.unwrap_or(FIRST_COMMAND_FORMAT))
    }

    /// Opens the connection, if there is none.
    pub async fn open(&self) -> Result<()> {
        self.connection("connect").await.map(drop)
    }

    /// Makes a call with a single response.
    ///
    /// Fails with [`Error::Deadline`] if there is no response within `deadline`, and with [`Error::Remote`] if the
    /// peer responds with an error.
    pub async fn call(&self, body: Body, deadline: Duration) -> Result<Body> {
        let step = body_name(&body);
        let call = async {
            let mut stream = self.open_stream(body).await?;
            stream.next().await
        };
        let result = tokio::time::timeout(deadline, call).await;
        self.checked(step, result.map_err(|_| self.deadline_error(step, deadline))??)
    }

    /// Like [`Client::call`], but a response that is arriving at the deadline isn't cut off: it may take until nothing
    /// more of it has come for `stall_timeout`. So a long response passes over a slow link, and a dead peer is noticed.
    pub async fn call_while_arriving(
        &self,
        body: Body,
        deadline: Duration,
        stall_timeout: Duration,
    ) -> Result<Body> {
        let step = body_name(&body);
        let mut until = Instant::now() + deadline;
        let opened = tokio::time::timeout_at(until, self.open_stream(body)).await;
        let mut stream = opened.map_err(|_| self.deadline_error(step, deadline))??;
        let connection = stream.connection.clone();
        loop {
            let received_bytes = connection.progress.received_bytes();
            match tokio::time::timeout_at(until, stream.next()).await {
                Ok(body) => return self.checked(step, body?),
                Err(_) if connection.progress.is_arriving_since(received_bytes) => {
                    until = Instant::now() + stall_timeout;
                }
                Err(_) => return Err(self.deadline_error(step, deadline)),
            }
        }
    }

    fn deadline_error(&self, step: &'static str, deadline: Duration) -> Error {
        let (peer, deadline_ms) = (self.shared.address.clone(), deadline.as_millis() as u64);
        Error::Deadline { step, peer, deadline_ms }
    }

    /// Returns the body of a response, or the error that it reports.
    fn checked(&self, step: &'static str, body: Body) -> Result<Body> {
        match body {
            Body::Fault(fault) => Err(Error::Remote {
                step: format!("{step} ({})", fault.step),
                peer: self.shared.address.clone(),
                detail: fault.detail,
            }),
            body => Ok(body),
        }
    }

    /// Makes a call whose response is a stream of frames.
    pub async fn open_stream(&self, body: Body) -> Result<ResponseStream> {
        let step = body_name(&body);
        let connection = self.connection(step).await?;
        let call_id = connection.next_call_id.fetch_add(1, Ordering::Relaxed);
        let (sender, frames) = mpsc::channel(RESPONSE_FRAMES_MAX);
        connection.pending.lock().insert(call_id, sender);
        let peer = self.shared.address.clone();
        let stream = ResponseStream {
            frames,
            connection: connection.clone(),
            call_id,
            step,
            peer: peer.clone(),
        };
        // The connection may have closed before the call was registered; then no response would ever arrive.
        if connection.is_closed() {
            return Err(Error::Closed { step, peer });
        }
        let sent = connection.outgoing.send(encode_frame(call_id, body)).await;
        sent.map_err(|_| Error::Closed { step, peer })?;
        Ok(stream)
    }

    /// Sends a message that has no response, opening a connection if needed. The message is dropped and an error
    /// returned if there is no connection or its queue is full.
    pub async fn notify(&self, body: Body) -> Result<()> {
        let step = body_name(&body);
        let connection = self.connection(step).await?;
        let sent = connection.outgoing.try_send(encode_frame(0, body));
        sent.map_err(|_| Error::Closed { step, peer: self.shared.address.clone() })
    }

    /// Waits until the current connection is closed; waits forever if there is none.
    pub async fn closed(&self) {
        let connection = self.shared.state.lock().await.connection.clone();
        match connection.filter(|it| !it.is_closed()) {
            Some(connection) => connection.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Whether the peer's host refuses new connections, which means that no process listens there. `false` does not
    /// mean that the peer is alive. A stopping process may close its connections before its listener, so several
    /// attempts are made.
    pub async fn refuses_connections(&self) -> bool {
        for _ in 0..REFUSAL_CHECK_ATTEMPTS {
            match self.connection("connect").await {
                Ok(_) => return false,
                Err(error) if error.is_connection_refused() => return true,
                Err(_) => tokio::time::sleep(REFUSAL_CHECK_INTERVAL).await,
            }
        }
        false
    }

    async fn connection(&self, step: &'static str) -> Result<Arc<Connection>> {
        let mut state = self.shared.state.lock().await;
        if let Some(connection) = &state.connection
            && !connection.is_closed()
        {
            return Ok(connection.clone());
        }
        if state.retry_at.is_some_and(|it| it > Instant::now()) {
            let source = std::io::Error::other("not connected, waiting for the backoff to end");
            return Err(Error::network(step, &self.shared.address, source));
        }
        match self.connect().await {
            Ok(connection) => {
                *state = ConnectionState {
                    connection: Some(connection.clone()),
                    failures: 0,
                    retry_at: None,
                };
                Ok(connection)
            }
            Err(error) => {
                let backoff_ms = (BACKOFF_MIN_MS << state.failures.min(10)).min(BACKOFF_MAX_MS);
                let delay_ms = fastrand::u64(backoff_ms / 2..=backoff_ms);
                state.failures += 1;
                state.retry_at = Some(Instant::now() + Duration::from_millis(delay_ms));
                Err(error)
            }
        }
    }

    async fn connect(&self) -> Result<Arc<Connection>> {
        let address = &self.shared.address;
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, self.handshake()).await;
        let (reader, outgoing) = connected.map_err(|_| Error::Deadline {
            step: "connect",
            peer: address.clone(),
            deadline_ms: CONNECT_TIMEOUT.as_millis() as u64,
        })??;
        let connection = Arc::new(Connection {
            outgoing,
            pending: Mutex::default(),
            next_call_id: AtomicI64::new(1),
            is_closed: watch::Sender::new(false),
            reader: Mutex::default(),
            progress: Progress::default(),
        });
        let task = tokio::spawn(read_responses(reader, connection.clone(), address.clone()));
        *connection.reader.lock() = Some(task.abort_handle());
        Ok(connection)
    }

    async fn handshake(&self) -> Result<(BufReader<OwnedReadHalf>, mpsc::Sender<Vec<u8>>)> {
        let address = &self.shared.address;
        let stream = TcpStream::connect(address)
            .await
            .map_err(|it| Error::network("connect", address, it))?;
        set_tcp_options(&stream).map_err(|it| Error::network("connect", address, it))?;
        let (reader, writer) = stream.into_split();
        let (outgoing, queue) = mpsc::channel(OUTGOING_FRAMES_MAX);
        tokio::spawn(write_frames(writer, queue));
        let mut reader = BufReader::with_capacity(32 << 10, reader);
        let hello = encode_frame(0, Body::Hello(self.shared.hello.clone()));
        let _ = outgoing.send(hello).await;
        match read_envelope(&mut reader, address).await?.map(|it| it.body) {
            Some(Body::Hello(hello)) if hello.protocol_version == PROTOCOL_VERSION => {
                *self.shared.peer_hello.lock() = Some(hello);
                Ok((reader, outgoing))
            }
            Some(Body::Hello(hello)) => {
                let detail = format!(
                    "the peer has protocol version {}, expected {PROTOCOL_VERSION}",
                    hello.protocol_version
                );
                Err(Error::protocol("handshake", address, detail))
            }
            Some(body) => {
                let detail = format!("received {} instead of hello", body_name(&body));
                Err(Error::protocol("handshake", address, detail))
            }
            None => Err(Error::Closed { step: "handshake", peer: address.clone() }),
        }
    }
}

async fn read_responses(
    mut reader: BufReader<OwnedReadHalf>,
    connection: Arc<Connection>,
    peer: String,
) {
    let progress = &connection.progress;
    while let Ok(Some(envelope)) = read_with_progress(&mut reader, &peer, progress).await {
        let sender = connection.pending.lock().get(&envelope.call_id).cloned();
        let Some(sender) = sender else { continue };
        // A call whose reader is too slow is closed, so that it doesn't block the other calls on the connection.
        if sender.try_send(envelope.body).is_err() {
            connection.pending.lock().remove(&envelope.call_id);
        }
    }
    connection.is_closed.send_replace(true);
    connection.pending.lock().clear();
}

impl Connection {
    fn is_closed(&self) -> bool {
        *self.is_closed.borrow()
    }

    async fn closed(&self) {
        // The sender lives as long as the connection, so waiting can't fail.
        let _ = self.is_closed.subscribe().wait_for(|it| *it).await;
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        if let Some(reader) = self.reader.lock().take() {
            reader.abort();
        }
    }
}

impl ResponseStream {
    /// Waits for the next frame.
    ///
    /// Fails with [`Error::Closed`] if the connection is closed or if too many frames were queued unread.
    pub async fn next(&mut self) -> Result<Body> {
        let frame = self.frames.recv().await;
        frame.ok_or_else(|| Error::Closed { step: self.step, peer: self.peer.clone() })
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        self.connection.pending.lock().remove(&self.call_id);
    }
}
