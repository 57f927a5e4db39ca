//! Joins reads that wait at the same time, so that many watches cost the leader one request.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::Mutex;

/// Latest result of a read, with the number of the read that gave it.
#[derive(Clone, Copy, Debug, Default)]
struct Latest<T> {
    number: u64,
    value: T,
}

/// A read of which each result serves all callers that were waiting when it began.
#[derive(Debug, Default)]
pub struct SharedRead<T> {
    /// Number of the read that began last.
    begun: AtomicU64,
    latest: Mutex<Latest<T>>,
}

impl<T: Copy> SharedRead<T> {
    /// Returns the result of a read that began after this call: of another caller's read, or of `read`.
    pub async fn join(&self, read: impl Future<Output = T>) -> T {
        let begun = self.begun.load(Ordering::SeqCst);
        let mut latest = self.latest.lock().await;
        // A read with a higher number began after this call.
        if latest.number > begun {
            return latest.value;
        }
        let number = self.begun.fetch_add(1, Ordering::SeqCst) + 1;
        let value = read.await;
        *latest = Latest { number, value };
        value
    }
}
