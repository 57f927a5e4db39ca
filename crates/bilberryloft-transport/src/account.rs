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
const ANSWER_EIGHTHS: u64 = 6;
/// Part of the account that unread bytes of targets may fill, in eighths.
const READING_EIGHTHS: u64 = 2;

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
    /// What targets send and nobody has taken yet, and answers that are read on the process's own behalf.
    Reading,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Purpose; 7] = [
        Purpose::Body,
        Purpose::Answer,
        Purpose::Stream,
        Purpose::Document,
        Purpose::Heartbeat,
        Purpose::Frame,
        Purpose::Reading,
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
            Purpose::Reading => "reading",
        }
    }

    /// Returns how much of an account may be held in all if a reservation for this purpose grows to `bytes`.
    fn ceiling(self, bytes: u64, total: u64) -> u64 {
        match self {
            // Their number is bounded by that of their connections, and targets and the quorum depend on them.
            Purpose::Heartbeat | Purpose::Frame if bytes <= SMALL_BYTES => u64::MAX,
            // Also small ones, as there are many.
            Purpose::Reading => total / 8 * READING_EIGHTHS,
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
    purpose: Purpose,
    holder: Holder,
    bytes: u64,
    eviction: Arc<Eviction>,
    is_evicted: bool,
}

impl Unfinished {
    /// Returns whether it may be dropped for bytes of a purpose. Those of targets give way to all, and nobody to them.
    fn may_give_way_to(&self, purpose: Purpose) -> bool {
        match self.purpose {
            Purpose::Reading => self.bytes > 0,
            _ => purpose != Purpose::Reading,
        }
    }
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

    /// Returns the bytes that count towards the ceiling of a purpose.
    fn counted_bytes(&self, purpose: Purpose) -> u64 {
        match purpose {
            Purpose::Reading => self.held[Purpose::Reading as usize],
            _ => self.held_bytes(),
        }
    }

    /// Chooses who is dropped so that `bytes` are released, as if `own` had grown by them. Fails if that is `own` itself.
    fn make_room(
        &mut self,
        purpose: Purpose,
        own: Option<u64>,
        bytes: u64,
    ) -> Result<u64, Shortage> {
        let mut evicted = 0;
        let releasing = self.unfinished.values().filter(|it| it.is_evicted);
        let mut releasing: u64 =
            releasing.filter(|it| it.may_give_way_to(purpose)).map(|it| it.bytes).sum();
        while releasing < bytes {
            let Some(id) = self.largest(purpose, own, bytes) else {
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
    fn largest(&self, purpose: Purpose, own: Option<u64>, bytes: u64) -> Option<u64> {
        let size = |id: u64, it: &Unfinished| it.bytes + if own == Some(id) { bytes } else { 0 };
        let candidates = || {
            let left = self.unfinished.iter().filter(|(_, it)| !it.is_evicted);
            left.filter(|(id, it)| own == Some(**id) || it.may_give_way_to(purpose))
        };
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
        let entry =
            Unfinished { purpose, holder, bytes: 0, eviction: eviction.clone(), is_evicted: false };
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
        let counted = state.counted_bytes(reservation.purpose) + bytes;
        let all = state.held_bytes() + bytes;
        let excess = counted.saturating_sub(ceiling);
        if excess > 0 || (reservation.purpose == Purpose::Reading && all > self.total_bytes) {
            let dropped = state.make_room(reservation.purpose, own, bytes.min(excess));
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

    /// Adds bytes if there is room for them now; returns whether there was. Otherwise room is being made, if it can be.
    pub fn try_grow(&mut self, bytes: u64) -> Result<bool, Shortage> {
        let account = self.account.clone();
        let is_added = account.try_add(self, bytes)?;
        if is_added {
            self.bytes += bytes;
        }
        Ok(is_added)
    }

    /// Returns a future that ends when this unfinished body must be dropped, and does not borrow the reservation.
    pub fn when_evicted(&self) -> impl Future<Output = ()> + Send + 'static {
        let eviction = self.unfinished.as_ref().map(|it| it.1.clone());
        async move {
            match eviction {
                Some(eviction) => eviction.wait().await,
                None => std::future::pending().await,
            }
        }
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
