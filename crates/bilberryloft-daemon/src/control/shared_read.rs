//! Joins reads that wait at the same time, so that many watches cost the leader one request.

use tokio::sync::Mutex;
use tokio::sync::watch;

/// Latest result of a read, with the number of the read that gave it.
#[derive(Clone, Copy, Debug, Default)]
struct Latest<T> {
    number: u64,
    value: T,
}

/// A read of which each result serves all callers that were waiting when it began.
#[derive(Debug)]
pub struct SharedRead<T> {
    begun: watch::Sender<u64>,
    latest: Mutex<Latest<T>>,
}

impl<T: Default> Default for SharedRead<T> {
    fn default() -> Self {
        SharedRead { begun: watch::Sender::new(0), latest: Mutex::default() }
    }
}

impl<T: Copy + Default> SharedRead<T> {
    /// Returns the result of a read that began after this call: of another caller's read, or of `read`.
    pub async fn join(&self, read: impl Future<Output = T>) -> T {
        let begun = *self.begun.borrow();
        let mut latest = self.latest.lock().await;
        // A read with a higher number began after this call.
        if latest.number > begun {
            return latest.value;
        }
        let number = *self.begun.borrow() + 1;
        self.begun.send_replace(number);
        let value = read.await;
        *latest = Latest { number, value };
        value
    }
}
