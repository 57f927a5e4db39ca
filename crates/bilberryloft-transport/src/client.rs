//! Calls to one peer over one connection that is made when needed and made again after it broke.

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
use crate::frame::read_envelope;
use crate::frame::write_frames;
use crate::socket::set_tcp_options;

/// Time for a connection to be made, handshake included.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// First pause after a failed connection; doubles up to the longest.
const BACKOFF_FIRST_MS: u64 = 20;
/// Longest pause after a failed connection.
const BACKOFF_LAST_MS: u64 = 300;
/// Tries to find out whether a connection is refused, and the pause between them, longer than the first backoff.
const REFUSAL_TRIES: usize = 4;
const REFUSAL_PAUSE: Duration = Duration::from_millis(25);
/// Frames of one answer that wait for a slow reader before the call is given up.
const ANSWER_FRAMES_MAX: usize = 4_096;

/// Calls to one peer; clones share the connection.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    address: String,
    hello: Hello,
    slot: tokio::sync::Mutex<Slot>,
}

#[derive(Debug, Default)]
struct Slot {
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
}

/// Frames that answer one call.
#[derive(Debug)]
pub struct ResponseStream {
    frames: mpsc::Receiver<Body>,
    connection: Arc<Connection>,
    call_id: i64,
    step: &'static str,
    peer: String,
}

impl Client {
    /// Makes a client; nothing is connected yet.
    pub fn new(address: impl Into<String>, daemon: &str, incarnation: u64) -> Client {
        let hello = Hello::new(PROTOCOL_VERSION, daemon.to_string(), incarnation as i64, 0);
        let shared = Shared { address: address.into(), hello, slot: tokio::sync::Mutex::default() };
        Client { shared: Arc::new(shared) }
    }

    /// Address of the peer.
    pub fn address(&self) -> &str {
        &self.shared.address
    }

    /// Makes a call with one answer.
    pub async fn call(&self, body: Body, deadline: Duration) -> Result<Body> {
        let step = body_name(&body);
        let call = async {
            let mut answer = self.open_stream(body).await?;
            answer.next().await
        };
        let answered = tokio::time::timeout(deadline, call).await;
        let body = answered.map_err(|_| Error::Deadline {
            step,
            peer: self.shared.address.clone(),
            deadline_ms: deadline.as_millis() as u64,
        })??;
        match body {
            Body::Fault(fault) => Err(Error::Remote {
                step: format!("{step} ({})", fault.step),
                peer: self.shared.address.clone(),
                detail: fault.detail,
            }),
            body => Ok(body),
        }
    }

    /// Makes a call whose answer is a row of frames.
    pub async fn open_stream(&self, body: Body) -> Result<ResponseStream> {
        let step = body_name(&body);
        let connection = self.connection(step).await?;
        let call_id = connection.next_call_id.fetch_add(1, Ordering::Relaxed);
        let (sender, frames) = mpsc::channel(ANSWER_FRAMES_MAX);
        connection.pending.lock().insert(call_id, sender);
        let peer = self.shared.address.clone();
        let answer = ResponseStream {
            frames,
            connection: connection.clone(),
            call_id,
            step,
            peer: peer.clone(),
        };
        // The reader may have ended between the look-up and the insertion.
        if connection.is_closed() {
            return Err(Error::Closed { step, peer });
        }
        let sent = connection.outgoing.send(encode_frame(call_id, body)).await;
        sent.map_err(|_| Error::Closed { step, peer })?;
        Ok(answer)
    }

    /// Sends a message that has no answer; it is dropped when the queue is full or nothing is connected.
    pub async fn notify(&self, body: Body) -> Result<()> {
        let step = body_name(&body);
        let connection = self.connection(step).await?;
        let sent = connection.outgoing.try_send(encode_frame(0, body));
        sent.map_err(|_| Error::Closed { step, peer: self.shared.address.clone() })
    }

    /// Waits until the present connection has ended; without one, for ever.
    pub async fn closed(&self) {
        let connection = self.shared.slot.lock().await.connection.clone();
        match connection.filter(|it| !it.is_closed()) {
            Some(connection) => connection.closed().await,
            None => std::future::pending().await,
        }
    }

    /// Whether the peer's host refuses a new connection, so that no process listens there; any other outcome tells
    /// nothing. A process that ends may close its connections before its listener, so it is tried a few times.
    pub async fn refuses_connections(&self) -> bool {
        for _ in 0..REFUSAL_TRIES {
            match self.connection("connect").await {
                Ok(_) => return false,
                Err(error) if error.is_connection_refused() => return true,
                Err(_) => tokio::time::sleep(REFUSAL_PAUSE).await,
            }
        }
        false
    }

    async fn connection(&self, step: &'static str) -> Result<Arc<Connection>> {
        let mut slot = self.shared.slot.lock().await;
        if let Some(connection) = &slot.connection
            && !connection.is_closed()
        {
            return Ok(connection.clone());
        }
        if slot.retry_at.is_some_and(|it| it > Instant::now()) {
            let source = std::io::Error::other("waiting to connect again");
            return Err(Error::network(step, &self.shared.address, source));
        }
        match self.connect().await {
            Ok(connection) => {
                *slot = Slot { connection: Some(connection.clone()), failures: 0, retry_at: None };
                Ok(connection)
            }
            Err(error) => {
                let pause_ms = (BACKOFF_FIRST_MS << slot.failures.min(10)).min(BACKOFF_LAST_MS);
                let jitter_ms = fastrand::u64(pause_ms / 2..=pause_ms);
                slot.failures += 1;
                slot.retry_at = Some(Instant::now() + Duration::from_millis(jitter_ms));
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
        });
        let task = tokio::spawn(read_answers(reader, connection.clone(), address.clone()));
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
                Ok((reader, outgoing))
            }
            Some(Body::Hello(hello)) => {
                let detail = format!(
                    "protocol version {} is not {PROTOCOL_VERSION}",
                    hello.protocol_version
                );
                Err(Error::protocol("handshake", address, detail))
            }
            Some(body) => {
                let detail = format!("{} in place of hello", body_name(&body));
                Err(Error::protocol("handshake", address, detail))
            }
            None => Err(Error::Closed { step: "handshake", peer: address.clone() }),
        }
    }
}

async fn read_answers(
    mut reader: BufReader<OwnedReadHalf>,
    connection: Arc<Connection>,
    peer: String,
) {
    while let Ok(Some(envelope)) = read_envelope(&mut reader, &peer).await {
        let sender = connection.pending.lock().get(&envelope.call_id).cloned();
        let Some(sender) = sender else { continue };
        // A reader that lags so far behind loses the call rather than hold up all others.
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
        // The sender lives as long as the connection, so that waiting can't fail.
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
    /// Waits for the next frame; fails when the connection ended.
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
