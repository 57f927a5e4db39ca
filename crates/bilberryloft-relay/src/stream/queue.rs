//! Queue of the events of a stream between the task that reads them and the connection of their caller.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::poll_fn;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use tokio::sync::mpsc;

use crate::answer::AnswerBody;
use crate::answer::IncompleteAnswer;

/// Frames that are buffered for a slow caller.
const QUEUED_FRAMES_MAX: usize = 8;

/// Error of sending to a caller who has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLeft;

/// Sends events to the caller. Unless it is told that the stream is whole, the body ends with an error when it is dropped.
#[derive(Debug)]
pub struct EventSender {
    frames: mpsc::Sender<Bytes>,
    is_whole: Arc<AtomicBool>,
}

/// Opens a queue; returns its two ends.
pub fn open() -> (EventSender, AnswerBody) {
    let (frames, mut queue) = mpsc::channel(QUEUED_FRAMES_MAX);
    let is_whole = Arc::new(AtomicBool::new(false));
    let sender = EventSender { frames, is_whole: is_whole.clone() };
    let events = poll_fn(move |context| queue.poll_recv(context));
    let events = events.map(|it| Ok(Frame::data(it)));
    let end = poll_fn(move |_| {
        let is_whole = is_whole.swap(true, Ordering::SeqCst);
        std::task::Poll::Ready((!is_whole).then_some(Err(IncompleteAnswer)))
    });
    (sender, BodyExt::boxed(StreamBody::new(events.chain(end).fuse())))
}

impl EventSender {
    /// Sends events, waiting while the queue is full.
    pub async fn send(&self, events: Bytes) -> Result<(), CallerLeft> {
        self.frames.send(events).await.map_err(|_| CallerLeft)
    }

    /// Records that all events of the stream have been sent.
    pub fn finish(&self) {
        self.is_whole.store(true, Ordering::SeqCst);
    }

    /// Returns whether the caller has disconnected.
    pub fn is_closed(&self) -> bool {
        self.frames.is_closed()
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.frames.closed().await;
    }
}
