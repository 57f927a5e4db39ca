//! Stream that records when bytes arrive, when none can be written and when all were, and resets a connection whose answer
//! would look whole.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::memory::caller_connection::CallerConnection;

/// Stream of a client.
#[derive(Debug)]
pub struct WatchedStream {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
}

impl WatchedStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, connection: Arc<CallerConnection>) -> WatchedStream {
        WatchedStream { stream, connection }
    }

    fn record_write(&self, polled: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.connection.record_write(polled.is_pending());
        polled
    }
}

impl Drop for WatchedStream {
    fn drop(&mut self) {
        if self.connection.must_reset()
            && let Err(error) = self.stream.set_zero_linger()
        {
            tracing::warn!(%error, "a connection whose answer broke off ends without a reset, so the answer looks whole");
        }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.connection.record_read();
        }
        polled
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(polled)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.record_write(polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes when it has written all that it was given.
        let polled = Pin::new(&mut self.stream).poll_flush(context);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.connection.record_flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
