//! Body of an answer that records when it has been handed over whole.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::memory::caller_connection::AnswerEnd;
use crate::memory::caller_connection::CallerConnection;
use crate::memory::caller_connection::Phase;

/// Body that is dropped when all of it has been handed over to be written.
#[derive(Debug)]
pub struct TrackedBody<B> {
    inner: B,
    connection: Arc<CallerConnection>,
    /// Whether the client learns only from the end of the connection where the body ends.
    ends_with_connection: bool,
}

impl<B: Body> TrackedBody<B> {
    /// Wraps a body; `marks_end` says whether its end is marked by its head or by chunks, though its size may not be known.
    pub fn new(inner: B, connection: Arc<CallerConnection>, marks_end: bool) -> TrackedBody<B> {
        let ends_with_connection = !marks_end && inner.size_hint().exact().is_none();
        if ends_with_connection {
            connection.set_answer_end(AnswerEnd::Open);
        }
        TrackedBody { inner, connection, ends_with_connection }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        if matches!(polled, Poll::Ready(None)) && self.ends_with_connection {
            self.connection.set_answer_end(AnswerEnd::HandedOver);
        }
        polled
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
