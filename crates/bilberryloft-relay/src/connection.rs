//! A connection to a target, which carries one request at a time and bounds the bytes that bring no answer on.
//!
//! The HTTP library skips informational answers until the final one comes, and reads the size of a chunk until it ends. A
//! target in trouble may send either without end, and the thread would read nothing else. So the bytes that arrive
//! without a head or a piece of a body are counted.

use std::io;
use std::net::IpAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bilberryloft_transport::account::Account;
use bilberryloft_transport::account::Reservation;
use bilberryloft_transport::account::Shortage;
use bilberryloft_transport::held_blocks::HeldBlocks;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::headers::HEADERS_MAX;
use crate::headers::charged_bytes;
use crate::memory::report::Report;
use crate::read_hold::ReadHold;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest head of an answer, and the most that is read ahead of the reader of a body, in bytes.
const BUFFER_BYTES_MAX: usize = 64 << 10;
/// Most bytes that are read at once, and so are in the hands of a reader before the account holds them.
const READ_BYTES_MAX: usize = 16 << 10;
/// Largest number of bytes that arrive without a head or a piece of a body.
const BYTES_WITHOUT_PROGRESS_MAX: usize = 4 * BUFFER_BYTES_MAX;

/// Counts the bytes of the answer that arrive without progress, and those that its reader has not taken.
///
/// The HTTP library reads on in a body only when it has handed over all that it has read of it. So when it reads, the head
/// so far is untaken, or the pieces that the reader holds.
#[derive(Debug, Default)]
struct Progress {
    bytes: AtomicUsize,
    untaken_bytes: AtomicUsize,
    is_answer_due: AtomicBool,
    /// Whether the head of that answer has arrived.
    has_head: AtomicBool,
}

impl Progress {
    /// Begins to wait for an answer.
    fn begin(&self) {
        self.record_head(0);
        self.has_head.store(false, Ordering::Relaxed);
        self.is_answer_due.store(true, Ordering::Relaxed);
    }

    /// Records that a head has arrived, of which so many bytes stay until the answer ends.
    fn record_head(&self, held_bytes: usize) {
        self.record_piece(0);
        self.untaken_bytes.store(held_bytes, Ordering::Relaxed);
        self.has_head.store(true, Ordering::Relaxed);
    }

    /// Records that the reader has got a piece of a body.
    fn record_piece(&self, bytes: usize) {
        self.bytes.store(0, Ordering::Relaxed);
        self.untaken_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Records that the reader of the answer no longer holds so many bytes.
    fn record_taken(&self, bytes: usize) {
        let untaken_bytes = self.untaken_bytes.load(Ordering::Relaxed);
        self.untaken_bytes.store(untaken_bytes.saturating_sub(bytes), Ordering::Relaxed);
    }

    /// Records that the answer is complete.
    fn end(&self) {
        self.is_answer_due.store(false, Ordering::Relaxed);
    }

    /// Returns the bytes of an answer that is due that nobody has taken.
    fn untaken_bytes(&self) -> usize {
        match self.is_answer_due.load(Ordering::Relaxed) {
            true => self.untaken_bytes.load(Ordering::Relaxed),
            false => 0,
        }
    }

    /// Counts bytes; returns whether they are too many.
    fn add(&self, bytes: usize) -> bool {
        if !self.has_head.load(Ordering::Relaxed) {
            self.untaken_bytes.fetch_add(bytes, Ordering::Relaxed);
        }
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        let is_due = self.is_answer_due.load(Ordering::Relaxed);
        is_due && before + bytes > BYTES_WITHOUT_PROGRESS_MAX
    }
}

/// Stream that fails when too many bytes arrive without progress of the answer, and reads only what the account has room
/// for.
struct LimitedStream {
    stream: TcpStream,
    progress: Arc<Progress>,
    hold: ReadHold,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // What has arrived is held before more is read. A request that waits for its answer holds nothing.
        let untaken_bytes = self.progress.untaken_bytes();
        ready!(self.hold.poll_room(context, untaken_bytes))?;
        let part_bytes = buffer.remaining().min(READ_BYTES_MAX);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(part_bytes));
        let polled = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let bytes = part.filled().len();
        buffer.advance(bytes);
        if bytes > 0 && self.progress.add(bytes) {
            let error = "the target sends bytes without end that are no answer";
            return Poll::Ready(Err(io::Error::other(error)));
        }
        polled
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// An open connection, which closes on drop.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    peer: IpAddr,
    progress: Arc<Progress>,
    requests_sent: u64,
}

impl Connection {
    /// Opens a connection; fails if that takes longer than 400 ms. What arrives on it is held in the account.
    pub async fn open(
        address: &str,
        account: &Arc<Account>,
        report: &Arc<Report>,
    ) -> io::Result<Connection> {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let progress = Arc::new(Progress::default());
            let peer = stream.peer_addr()?.ip();
            let hold = ReadHold::new(account.clone(), report.clone(), peer);
            let limited = LimitedStream { stream, progress: progress.clone(), hold };
            let limited = TokioIo::new(limited);
            let handshake = http1::Builder::new()
                .max_headers(HEADERS_MAX)
                .max_buf_size(BUFFER_BYTES_MAX)
                .handshake(limited)
                .await;
            let (sender, connection) = handshake.map_err(io::Error::other)?;
            tokio::spawn(async move {
                // A request on the connection gets the error itself.
                let _ = connection.await;
            });
            Ok(Connection { sender, peer, progress, requests_sent: 0 })
        });
        opened.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// Sends a request and waits for the head of its answer. The error holds the request if no byte of it was written.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.progress.begin();
        self.requests_sent += 1;
        let result = self.sender.try_send_request(request).await;
        let headers = result.as_ref().map(Response::headers);
        self.progress.record_head(headers.map_or(0, charged_bytes));
        result
    }

    /// Records that so many bytes of pieces are no longer held, or are held in the account elsewhere.
    pub fn record_taken(&self, bytes: usize) {
        self.progress.record_taken(bytes);
    }

    /// Waits for the next piece of the body of an answer on this connection; `None` at its end.
    pub async fn next_frame(&self, body: &mut Incoming) -> Option<hyper::Result<Frame<Bytes>>> {
        let frame = body.frame().await;
        match &frame {
            Some(Ok(it)) => self.progress.record_piece(it.data_ref().map_or(0, Bytes::len)),
            Some(Err(_)) => self.progress.record_piece(0),
            None => self.progress.end(),
        }
        frame
    }

    /// Reads the body of an answer on this connection into memory of an account; fails if it is larger than `bytes_max`.
    /// Waits for room until the deadline.
    pub async fn read_held_body(
        &self,
        mut body: Incoming,
        bytes_max: usize,
        reservation: Reservation,
        deadline: Instant,
    ) -> io::Result<HeldBlocks> {
        let expected = body.size_hint().exact().map_or(bytes_max, |it| it as usize);
        let mut held = HeldBlocks::new(reservation, expected.min(bytes_max));
        loop {
            let frame = tokio::select! {
                () = held.reservation().evicted() => return Err(io::Error::other(Shortage::Dropped)),
                frame = self.next_frame(&mut body) => frame,
            };
            let Some(frame) = frame else {
                return Ok(held);
            };
            let piece = frame.map_err(io::Error::other)?.into_data().unwrap_or_default();
            if held.len() + piece.len() > bytes_max {
                return Err(io::Error::other("the answer is too large"));
            }
            held.push(&piece, deadline).await.map_err(io::Error::other)?;
            self.record_taken(piece.len());
        }
    }

    /// Returns the address of the target's host.
    pub fn peer(&self) -> IpAddr {
        self.peer
    }

    /// Returns whether at most one request has been sent on this connection.
    pub fn is_first_request(&self) -> bool {
        self.requests_sent <= 1
    }

    /// Returns whether a request can be sent at once.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}
