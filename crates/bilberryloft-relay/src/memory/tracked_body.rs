//! Body of an answer that records when it has been handed over whole.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::memory::caller_connection::CallerConnection;
use crate::memory::caller_connection::Phase;

/// Body that is handed over whole when it is dropped.
#[derive(Debug)]
pub struct TrackedBody<B> {
    inner: B,
    connection: Arc<CallerConnection>,
}

impl<B> TrackedBody<B> {
    /// Wraps a body.
    pub fn new(inner: B, connection: Arc<CallerConnection>) -> TrackedBody<B> {
        TrackedBody { inner, connection }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.connection.set_phase(Phase::Flushing);
    }
}
