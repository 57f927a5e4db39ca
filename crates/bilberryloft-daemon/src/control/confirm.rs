//! One confirmation by the quorum for all watches that wait for one.

use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::sync::Notify;
use tokio::sync::oneshot;

/// Watches that wait for the next confirmation. One that arrives while a confirmation is under way waits
/// for the one after it, since only a confirmation that begins later covers it.
#[derive(Debug, Default)]
pub struct ConfirmQueue {
    waiting: Mutex<Vec<oneshot::Sender<bool>>>,
    arrived: Notify,
}

impl ConfirmQueue {
    /// Waits for a confirmation that begins after this call.
    pub async fn wait(&self) -> bool {
        let (sender, confirmed) = oneshot::channel();
        self.waiting
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(sender);
        self.arrived.notify_one();
        confirmed.await.unwrap_or(false)
    }

    /// Waits until somebody waits, and takes all who do; they must be told the outcome of a confirmation
    /// that begins after this.
    pub async fn take_waiting(&self) -> Vec<oneshot::Sender<bool>> {
        loop {
            let waiting =
                std::mem::take(&mut *self.waiting.lock().unwrap_or_else(PoisonError::into_inner));
            if !waiting.is_empty() {
                return waiting;
            }
            self.arrived.notified().await;
        }
    }
}
