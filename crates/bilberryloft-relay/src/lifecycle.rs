//! Open requests, stages of the stop and stalls of this process.

use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bilberryloft_transport::clock::boot_ms;
use parking_lot::Mutex;
use tokio::sync::watch;

use crate::stop_times::StopTimes;

/// Time between two ticks of this process above which it counts as stalled, in milliseconds.
const STALL_MS: u64 = 300;
/// Pause after a stall, in which the other tasks run.
const STALL_PAUSE: Duration = Duration::from_millis(50);
/// Time after a stall in which calls may still be read that arrived during it, in milliseconds.
const UNREAD_AFTER_STALL_MS: u64 = 2_000;

/// Time in which the process was stalled, in milliseconds since the host's boot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stall {
    began_ms: u64,
    ended_ms: u64,
}

/// Stage of the stop of this process. Stages follow each other in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Connections are accepted and kept open.
    #[default]
    Serving,
    /// Connections are still accepted, but each is closed after its next answer.
    Closing,
    /// No connections are accepted, idle ones are closed, and requests that arrive are refused.
    Closed,
    /// Requests that are still arriving are refused, and the stop does not wait for the heads of others.
    Refusing,
    /// Requests that still wait for a slot or an answer of a target get a final answer.
    Answering,
    /// Streams are broken off.
    Breaking,
}

/// Open requests, stage of the stop and last tick of the process.
pub struct Lifecycle {
    last_tick_ms: AtomicU64,
    last_stall: Mutex<Option<Stall>>,
    open_requests: AtomicUsize,
    stage: watch::Sender<Stage>,
    stop_times: OnceLock<StopTimes>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle {
            last_tick_ms: AtomicU64::new(boot_ms()),
            last_stall: Mutex::default(),
            open_requests: AtomicUsize::new(0),
            stage: watch::Sender::default(),
            stop_times: OnceLock::new(),
        }
    }
}

impl Lifecycle {
    /// Records that this process is running, to detect stalls.
    pub fn record_tick(&self) {
        let ended_ms = boot_ms();
        let began_ms = self.last_tick_ms.swap(ended_ms, Ordering::Relaxed);
        if ended_ms.saturating_sub(began_ms) > STALL_MS {
            *self.last_stall.lock() = Some(Stall { began_ms, ended_ms });
        }
    }

    /// Returns for how long a call that is read now may have waited in this host, in milliseconds.
    pub fn unread_ms(&self) -> u64 {
        let now_ms = boot_ms();
        let since_tick_ms = now_ms.saturating_sub(self.last_tick_ms.load(Ordering::Relaxed));
        if since_tick_ms > STALL_MS {
            return since_tick_ms;
        }
        let stall = self.last_stall.lock();
        let lately = stall.filter(|it| now_ms.saturating_sub(it.ended_ms) < UNREAD_AFTER_STALL_MS);
        lately.map_or(0, |it| now_ms.saturating_sub(it.began_ms))
    }

    /// Lets the other tasks run first if the process has just been stalled, because callers may have disconnected
    /// meanwhile and their connections have not been read yet.
    pub async fn wait_after_stall(&self) {
        while self.was_just_stalled() {
            tokio::time::sleep(STALL_PAUSE).await;
        }
    }

    /// Returns whether the process has been stalled and has noticed it less than a pause ago, or not yet.
    fn was_just_stalled(&self) -> bool {
        let now_ms = boot_ms();
        let since_tick_ms = now_ms.saturating_sub(self.last_tick_ms.load(Ordering::Relaxed));
        let ended_ms = self.last_stall.lock().map(|it| it.ended_ms);
        let pause_ms = STALL_PAUSE.as_millis() as u64;
        let has_just_noticed = ended_ms.is_some_and(|it| now_ms.saturating_sub(it) < pause_ms);
        since_tick_ms > STALL_MS || has_just_noticed
    }

    /// Counts a request as open until the returned guard is dropped. An open request may need a connection to a target;
    /// its answer may still be on the way to the caller when it is not open any more.
    pub fn track_request(self: &Arc<Self>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::SeqCst);
        OpenRequest { lifecycle: self.clone() }
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::SeqCst)
    }

    /// Returns the stage of the stop.
    pub fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    /// Returns whether the relay is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.stage() > Stage::Serving
    }

    /// Begins the stop.
    pub fn begin_stop(&self, times: StopTimes) {
        // Setting them fails only for a second stop; a process stops once.
        let _ = self.stop_times.set(times);
        self.set_stage(Stage::Closing);
    }

    /// Returns the times of the stop, once it has begun.
    pub fn stop_times(&self) -> Option<&StopTimes> {
        self.stop_times.get()
    }

    /// Advances the stop to a later stage.
    pub fn set_stage(&self, stage: Stage) {
        self.stage.send_if_modified(|it| {
            let is_later = stage > *it;
            *it = stage.max(*it);
            is_later
        });
    }

    /// Waits until the stop has reached a stage.
    pub async fn wait_for_stage(&self, stage: Stage) {
        // The sender lives as long as this value, so waiting cannot fail.
        let _ = self.stage.subscribe().wait_for(|it| *it >= stage).await;
    }
}

/// Guard that counts a request as open.
pub struct OpenRequest {
    lifecycle: Arc<Lifecycle>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.lifecycle.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}
