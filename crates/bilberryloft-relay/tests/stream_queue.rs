//! Tests of the queue between the task of a stream and the connection of its caller.
#![allow(clippy::unwrap_used)]

use bilberryloft_relay::answer::IncompleteAnswer;
use bilberryloft_relay::stream::queue;
use bytes::Bytes;
use http_body_util::BodyExt;

/// Guards against a stream that looks complete because the task that reads it has ended without a word.
#[tokio::test]
async fn stream_is_complete_only_if_its_task_says_so() {
    for is_whole in [true, false] {
        let (sender, mut body) = queue::open();
        sender.send(Bytes::from_static(b"id: 1")).await.unwrap();
        if is_whole {
            sender.finish();
        }
        drop(sender);
        let first = body.frame().await.unwrap().unwrap().into_data().unwrap();
        assert_eq!(first, "id: 1");
        match is_whole {
            true => assert!(body.frame().await.is_none()),
            false => assert_eq!(body.frame().await.unwrap().unwrap_err(), IncompleteAnswer),
        }
        assert!(body.frame().await.is_none());
    }
}

/// Guards against a task that works on for a caller who has left.
#[tokio::test]
async fn sender_notices_that_the_caller_has_left() {
    let (sender, body) = queue::open();
    assert!(!sender.is_closed());
    drop(body);
    sender.closed().await;
    assert_eq!(sender.send(Bytes::from_static(b"id: 1")).await, Err(queue::CallerLeft));
}
