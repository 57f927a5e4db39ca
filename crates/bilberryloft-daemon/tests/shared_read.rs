//! Tests of reads that are joined.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberryloft_daemon::control::shared_read::SharedRead;

/// Counts what has happened, and reads it after a pause.
async fn read_after_pause(count: Arc<AtomicU64>, reads: Arc<AtomicU64>) -> u64 {
    reads.fetch_add(1, Ordering::SeqCst);
    let seen = count.load(Ordering::SeqCst);
    tokio::time::sleep(Duration::from_millis(20)).await;
    seen
}

/// Guards against a leader that answers a request for each follower and version: 55 watches at once cost two reads.
#[tokio::test]
async fn reads_that_wait_at_the_same_time_are_joined() {
    let shared = Arc::new(SharedRead::default());
    let (count, reads) = (Arc::new(AtomicU64::new(7)), Arc::new(AtomicU64::new(0)));
    let tasks: Vec<_> = (0..55)
        .map(|_| {
            let (shared, count, reads) = (shared.clone(), count.clone(), reads.clone());
            tokio::spawn(async move { shared.join(read_after_pause(count, reads)).await })
        })
        .collect();
    for task in tasks {
        assert_eq!(task.await.unwrap(), 7);
    }
    assert!(reads.load(Ordering::SeqCst) <= 2);
}

/// Guards against a confirmation that is older than the question: a read that had begun before doesn't count.
#[tokio::test]
async fn read_that_began_before_the_call_does_not_serve_it() {
    let shared = Arc::new(SharedRead::default());
    let (count, reads) = (Arc::new(AtomicU64::new(1)), Arc::new(AtomicU64::new(0)));
    let first = {
        let (shared, count, reads) = (shared.clone(), count.clone(), reads.clone());
        tokio::spawn(async move { shared.join(read_after_pause(count, reads)).await })
    };
    while reads.load(Ordering::SeqCst) == 0 {
        tokio::task::yield_now().await;
    }
    count.store(2, Ordering::SeqCst);
    assert_eq!(shared.join(read_after_pause(count, reads)).await, 2);
    assert_eq!(first.await.unwrap(), 1);
}

/// Guards against callers that wait for ever for a read whose caller is gone.
#[tokio::test]
async fn read_whose_caller_is_gone_is_begun_again() {
    let shared = Arc::new(SharedRead::default());
    let (count, reads) = (Arc::new(AtomicU64::new(3)), Arc::new(AtomicU64::new(0)));
    let abandoned = shared.join(read_after_pause(count.clone(), reads.clone()));
    assert!(tokio::time::timeout(Duration::from_millis(5), abandoned).await.is_err());
    assert_eq!(shared.join(read_after_pause(count, reads)).await, 3);
}
