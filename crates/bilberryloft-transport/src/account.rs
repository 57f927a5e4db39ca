//! Account of the memory that clients and peers make a process hold.
//!
//! Bytes are reserved before they are kept, and a [`Reservation`] releases them when it is dropped. If there is no room,
//! whoever holds the most in unfinished bodies and frames loses the largest of them.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Largest reservation that may use the whole account, in bytes. Ordinary requests, orders of operators, heartbeats and
/// messages of the quorum are smaller.
pub const SMALL_BYTES: u64 = 64 << 10;
/// Part of the account that unfinished and finished bodies may fill, in eighths; answers need the rest to make progress.
const BODY_EIGHTHS: u64 = 5;
/// Part of the account that answers may fill as well, in eighths; the rest is for small reservations.
const ANSWER_EIGHTHS: u64 = 7;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Body of a caller's request.
    Body,
    /// Answer that is read whole before it is sent.
    Answer,
    /// Events of streams that their callers have not taken yet.
    Stream,
    /// Document from an operator.
    Document,
    /// Announcement of a target.
    Heartbeat,
    /// Frame from another daemon.
    Frame,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Purpose; 6] = [
        Purpose::Body,
        Purpose::Answer,
        Purpose::Stream,
        Purpose::Document,
        Purpose::Heartbeat,
        Purpose::Frame,
    ];

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Purpose::Body => "body",
            Purpose::Answer => "answer",
            Purpose::Stream => "stream",
            Purpose::Document => "document",
            Purpose::Heartbeat => "heartbeat",
            Purpose::Frame => "frame",
        }
    }

    /// Returns how much of an account may be held in all if a reservation for this purpose grows to `bytes`.
    fn ceiling(self, bytes: u64, total: u64) -> u64 {
        match self {
            // Their number is bounded by that of their connections, and targets and the quorum depend on them.
            Purpose::Heartbeat | Purpose::Frame if bytes <= SMALL_BYTES => u64::MAX,
            _ if bytes <= SMALL_BYTES => total,
            Purpose::Answer | Purpose::Stream => total / 8 * ANSWER_EIGHTHS,
            Purpose::Body | Purpose::Document | Purpose::Heartbeat | Purpose::Frame => {
                total / 8 * BODY_EIGHTHS
            }
        }
    }
}

/// On whose behalf an unfinished body or frame is held.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder {
    /// Address of the client.
    pub address: IpAddr,
    /// Name of its team or daemon; empty if it has none.
    pub name: String,
}

/// Reason for which bytes can't be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Shortage {
    /// The holder has the most in unfinished bodies, and this one is the largest of them.
    #[error("dropped as the largest unfinished body of the largest holder")]
    Dropped,
    /// Nothing could be dropped, and nothing was released in time.
    #[error("no memory was released in time")]
    NoRoom,
}

/// Tells the reader of an unfinished body that it is dropped.
#[derive(Debug, Default)]
struct Eviction {
    is_evicted: AtomicBool,
    notify: Notify,
}

impl Eviction {
    fn evict(&self) {
        self.is_evicted.store(true, Ordering::SeqCst);
        self.notify.notify_one();
    }

    async fn wait(&self) {
        while !self.is_evicted.load(Ordering::SeqCst) {
            self.notify.notified().await;
        }
    }
}

#[derive(Debug)]
struct Unfinished {
    holder: Holder,
    bytes: u64,
    eviction: Arc<Eviction>,
    is_evicted: bool,
}

/// What an account holds.
#[derive(Debug, Default)]
struct AccountState {
    held: [u64; Purpose::ALL.len()],
    unfinished: BTreeMap<u64, Unfinished>,
    next_id: u64,
}

impl AccountState {
    fn held_bytes(&self) -> u64 {
        self.held.iter().sum()
    }

    /// Chooses who is dropped so that `bytes` are released, as if `own` had grown by them. Fails if that is `own` itself.
    fn make_room(&mut self, own: Option<u64>, bytes: u64) -> Result<u64, Shortage> {
        let mut evicted = 0;
        let mut releasing: u64 =
            self.unfinished.values().filter(|it| it.is_evicted).map(|it| it.bytes).sum();
        while releasing < bytes {
            let Some(id) = self.largest(own, bytes) else {
                return Ok(evicted);
            };
            if own == Some(id) {
                return Err(Shortage::Dropped);
            }
            if let Some(victim) = self.unfinished.get_mut(&id) {
                victim.is_evicted = true;
                victim.eviction.evict();
                releasing += victim.bytes;
                evicted += 1;
            }
        }
        Ok(evicted)
    }

    /// Returns the largest unfinished body of the largest holder, the oldest of equals; none if only `own` is left.
    fn largest(&self, own: Option<u64>, bytes: u64) -> Option<u64> {
        let size = |id: u64, it: &Unfinished| it.bytes + if own == Some(id) { bytes } else { 0 };
        let candidates = || self.unfinished.iter().filter(|(_, it)| !it.is_evicted);
        if candidates().all(|(id, _)| own == Some(*id)) {
            return None;
        }
        let mut sums: BTreeMap<&Holder, u64> = BTreeMap::new();
        for (id, it) in candidates() {
            *sums.entry(&it.holder).or_default() += size(*id, it);
        }
        let (holder, _) = sums.into_iter().max_by_key(|it| it.1)?;
        let of_holder = candidates().filter(|(_, it)| it.holder == *holder);
        of_holder.max_by_key(|(id, it)| (size(**id, it), u64::MAX - **id)).map(|it| *it.0)
    }
}

/// Memory of one process that clients and peers may make it hold.
#[derive(Debug)]
pub struct Account {
    total_bytes: u64,
    state: Mutex<AccountState>,
    released: Notify,
    waiting: AtomicU64,
    dropped: AtomicU64,
}

impl Account {
    /// Creates an account of a size.
    pub fn new(total_bytes: u64) -> Arc<Account> {
        Arc::new(Account {
            total_bytes,
            state: Mutex::default(),
            released: Notify::new(),
            waiting: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        })
    }

    /// Returns its size.
    pub fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Returns the bytes that are held for a purpose.
    pub fn held_bytes(&self, purpose: Purpose) -> u64 {
        self.state.lock().held[purpose as usize]
    }

    /// Returns the number of unfinished bodies and frames.
    pub fn unfinished(&self) -> usize {
        self.state.lock().unfinished.len()
    }

    /// Returns whether somebody waits for room.
    pub fn is_short(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > 0
    }

    /// Returns the number of unfinished bodies and frames that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Opens an empty reservation for bytes that are whole when they are reserved.
    pub fn open(self: &Arc<Self>, purpose: Purpose) -> Reservation {
        Reservation { account: self.clone(), purpose, bytes: 0, unfinished: None }
    }

    /// Opens an empty reservation for a body or frame whose end has not arrived, which may be dropped.
    pub fn open_unfinished(self: &Arc<Self>, purpose: Purpose, holder: Holder) -> Reservation {
        let eviction = Arc::new(Eviction::default());
        let entry = Unfinished { holder, bytes: 0, eviction: eviction.clone(), is_evicted: false };
        let mut state = self.state.lock();
        state.next_id += 1;
        let id = state.next_id;
        state.unfinished.insert(id, entry);
        Reservation { account: self.clone(), purpose, bytes: 0, unfinished: Some((id, eviction)) }
    }

    /// Adds bytes to a reservation, or makes room for them; returns whether they were added.
    fn try_add(&self, reservation: &Reservation, bytes: u64) -> Result<bool, Shortage> {
        let mut state = self.state.lock();
        let ceiling = reservation.purpose.ceiling(reservation.bytes + bytes, self.total_bytes);
        let own = reservation.unfinished.as_ref().map(|it| it.0);
        let wanted = state.held_bytes() + bytes;
        if wanted > ceiling {
            let dropped = state.make_room(own, bytes.min(wanted - ceiling));
            // The reservation itself counts as dropped if it is the one.
            self.dropped.fetch_add(dropped.unwrap_or(1), Ordering::Relaxed);
            return dropped.map(|_| false);
        }
        state.held[reservation.purpose as usize] += bytes;
        if let Some(entry) = own.and_then(|it| state.unfinished.get_mut(&it)) {
            entry.bytes += bytes;
        }
        Ok(true)
    }
}

/// Bytes that are held until this value is dropped.
#[derive(Debug)]
pub struct Reservation {
    account: Arc<Account>,
    purpose: Purpose,
    bytes: u64,
    /// Number and eviction of an unfinished body.
    unfinished: Option<(u64, Arc<Eviction>)>,
}

impl Reservation {
    /// Returns its size in bytes.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Adds bytes, waiting for room if need be.
    pub async fn grow(&mut self, bytes: u64, until: Instant) -> Result<(), Shortage> {
        let account = self.account.clone();
        while !account.try_add(self, bytes)? {
            let released = account.released.notified();
            tokio::pin!(released);
            released.as_mut().enable();
            // What was released between the first attempt and now would not be noticed.
            if account.try_add(self, bytes)? {
                break;
            }
            account.waiting.fetch_add(1, Ordering::Relaxed);
            let _waiting = Waiting { account: &account };
            tokio::select! {
                () = released => {}
                () = self.evicted() => return Err(Shortage::Dropped),
                () = tokio::time::sleep_until(until) => return Err(Shortage::NoRoom),
            }
        }
        self.bytes += bytes;
        Ok(())
    }

    /// Waits until this unfinished body must be dropped; for ever if it is whole.
    pub async fn evicted(&self) {
        match &self.unfinished {
            Some((_, eviction)) => eviction.wait().await,
            None => std::future::pending().await,
        }
    }

    /// Marks a body as whole, after which it is not dropped any more.
    pub fn finish(&mut self) {
        if let Some((id, _)) = self.unfinished.take() {
            self.account.state.lock().unfinished.remove(&id);
        }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut state = self.account.state.lock();
        state.held[self.purpose as usize] -= self.bytes;
        if let Some((id, _)) = self.unfinished.take() {
            state.unfinished.remove(&id);
        }
        drop(state);
        self.account.released.notify_waiters();
    }
}

/// Counts one that waits for room.
struct Waiting<'a> {
    account: &'a Account,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.account.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}
