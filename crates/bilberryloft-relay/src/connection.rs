//! A connection to a target, which carries one request at a time and bounds the bytes that bring no answer on.
//!
//! The HTTP library skips informational answers until the final one comes, and reads the size of a chunk until it ends. A
//! target in trouble may send either without end, and the thread would read nothing else. So the bytes that arrive
//! without a head or a piece of a body are counted.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bilberryloft_transport::account::Reservation;
use bilberryloft_transport::held_bytes::HeldBytes;
use bytes::Bytes;
use bytes::BytesMut;
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

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest head of an answer, and the most that is read ahead of the reader of a body, in bytes.
const BUFFER_BYTES_MAX: usize = 64 << 10;
/// Largest number of bytes that arrive without a head or a piece of a body.
const BYTES_WITHOUT_PROGRESS_MAX: usize = 4 * BUFFER_BYTES_MAX;

/// Counts the bytes that arrive without progress of the answer.
#[derive(Debug, Default)]
struct Progress {
    bytes: AtomicUsize,
    is_answer_due: AtomicBool,
}

impl Progress {
    /// Begins to wait for an answer.
    fn begin(&self) {
        self.record();
        self.is_answer_due.store(true, Ordering::Relaxed);
    }

    /// Records that a head or a piece of a body has arrived.
    fn record(&self) {
        self.bytes.store(0, Ordering::Relaxed);
    }

    /// Records that the answer is complete.
    fn end(&self) {
        self.is_answer_due.store(false, Ordering::Relaxed);
    }

    /// Counts bytes; returns whether they are too many.
    fn add(&self, bytes: usize) -> bool {
        let before = self.bytes.fetch_add(bytes, Ordering::Relaxed);
        let is_due = self.is_answer_due.load(Ordering::Relaxed);
        is_due && before + bytes > BYTES_WITHOUT_PROGRESS_MAX
    }
}

/// Stream that fails when too many bytes arrive without progress of the answer.
struct LimitedStream {
    stream: TcpStream,
    progress: Arc<Progress>,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
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
    progress: Arc<Progress>,
    requests_sent: u64,
}

impl Connection {
    /// Opens a connection; fails if that takes longer than 400 ms.
    pub async fn open(address: &str) -> io::Result<Connection> {
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let progress = Arc::new(Progress::default());
            let limited = TokioIo::new(LimitedStream { stream, progress: progress.clone() });
            let handshake =
                http1::Builder::new().max_buf_size(BUFFER_BYTES_MAX).handshake(limited).await;
            let (sender, connection) = handshake.map_err(io::Error::other)?;
            tokio::spawn(async move {
                // A request on the connection gets the error itself.
                let _ = connection.await;
            });
            Ok(Connection { sender, progress, requests_sent: 0 })
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
        self.progress.record();
        result
    }

    /// Waits for the next piece of the body of an answer on this connection; `None` at its end.
    pub async fn next_frame(&self, body: &mut Incoming) -> Option<hyper::Result<Frame<Bytes>>> {
        let frame = body.frame().await;
        match &frame {
            Some(_) => self.progress.record(),
            None => self.progress.end(),
        }
        frame
    }

    /// Reads the body of an answer on this connection; fails if it is larger than `bytes_max`.
    pub async fn read_body(&self, mut body: Incoming, bytes_max: usize) -> io::Result<Bytes> {
        let mut bytes = BytesMut::new();
        while let Some(frame) = self.next_frame(&mut body).await {
            let Ok(piece) = frame.map_err(io::Error::other)?.into_data() else {
                continue;
            };
            if bytes.len() + piece.len() > bytes_max {
                return Err(io::Error::other("the answer is too large"));
            }
            bytes.extend_from_slice(&piece);
        }
        Ok(bytes.freeze())
    }

    /// Reads the body of an answer like [`Connection::read_body`], into memory of an account. Waits for room until the
    /// deadline.
    pub async fn read_held_body(
        &self,
        mut body: Incoming,
        bytes_max: usize,
        reservation: Reservation,
        deadline: Instant,
    ) -> io::Result<Bytes> {
        let expected = body.size_hint().exact().map_or(bytes_max, |it| it as usize);
        let mut held = HeldBytes::new(reservation, expected.min(bytes_max));
        while let Some(frame) = self.next_frame(&mut body).await {
            let piece = frame.map_err(io::Error::other)?.into_data().unwrap_or_default();
            if held.len() + piece.len() > bytes_max {
                return Err(io::Error::other("the answer is too large"));
            }
            held.push(&piece, deadline).await.map_err(io::Error::other)?;
        }
        Ok(held.into_bytes())
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
