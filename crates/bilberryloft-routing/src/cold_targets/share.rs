//! This entry's share of the requests that a cold target may get.

use bilberryloft_state::key::digest;

use crate::sharing_entries::Members;
use crate::sharing_entries::own_part;

/// Entries that are assumed by one that does not know the others yet: as many as the largest fleet has.
const ENTRIES_ASSUMED: u64 = 320;
/// Time from the first sign of another entry until this one has heard of all of them, in milliseconds. They report every
/// 400 ms and tell how many others they know.
const SETTLING_MS: u64 = 1_500;

/// Entries with which an entry shares the bound of cold targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ColdShare {
    /// It has heard of all of them, as far as it can tell.
    Known {
        /// Its name.
        own: String,
        /// Entries that it has heard within a day, including itself.
        members: Members,
        /// Number of entries, including those that only others have heard.
        count: usize,
    },
    /// It has no part.
    NoPart,
    /// It has just started or has heard no other entry.
    Unsettled {
        /// Its name.
        own: String,
    },
}

/// Returns the requests that an entry may send to a cold target within a window, if all entries together plan to send
/// `planned`.
///
/// As long as there are no more entries than planned requests, each has the same number of them. Otherwise each request
/// belongs to one entry by rendezvous hashing. Entries that know different sets exceed the plan by at most one request for
/// each member that they miss.
pub fn allowance(share: &ColdShare, target: &str, planned: usize) -> usize {
    match share {
        ColdShare::Known { own, members, count } => {
            let count = (*count).max(members.len()).max(1);
            if count <= planned {
                return planned / count;
            }
            // Members that only others know could rank before this entry.
            let missing = (count - members.len()).min(planned / 2);
            usize::from(own_part(members, own, target, planned - missing).is_some())
        }
        ColdShare::NoPart => 0,
        ColdShare::Unsettled { own } => {
            let place =
                digest(&[target.as_bytes(), own.as_bytes()]).unsigned_abs() % ENTRIES_ASSUMED;
            usize::from(place < planned as u64)
        }
    }
}

/// Whether an entry has had the time to hear of the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct Settling {
    first_heard_ms: Option<u64>,
}

impl Settling {
    /// Records that another entry was heard.
    pub fn record_heard(&mut self, now_ms: u64) {
        self.first_heard_ms.get_or_insert(now_ms);
    }

    /// Returns whether this entry has heard of all others. One that hears none may be cut off; it is alone only if
    /// `is_only_host`.
    pub fn is_settled(&self, is_only_host: bool, now_ms: u64) -> bool {
        match self.first_heard_ms {
            Some(first_heard_ms) => now_ms >= first_heard_ms + SETTLING_MS,
            None => is_only_host,
        }
    }
}
