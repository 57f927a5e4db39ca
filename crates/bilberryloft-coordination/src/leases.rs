//! Leases of targets as the leader keeps them; only their beginning and end are logged.

use std::collections::BTreeMap;

/// Time for which expiries are gathered into one event, in milliseconds.
pub const GATHER_MS: u64 = 300;

#[derive(Clone, Copy, Debug)]
struct Lease {
    incarnation: u64,
    due_ms: u64,
}

/// Leases in force at one leader.
#[derive(Debug)]
pub struct LeaseTable {
    lease_ms: u64,
    leases: BTreeMap<String, Lease>,
    gather_until_ms: Option<u64>,
}

impl LeaseTable {
    /// Starts empty.
    pub fn new(lease_ms: u64) -> LeaseTable {
        LeaseTable { lease_ms, leases: BTreeMap::new(), gather_until_ms: None }
    }

    /// Gives every known target a full lease, since a new leader has heard none of them yet.
    pub fn start_term(&mut self, known: impl IntoIterator<Item = (String, u64)>, now_ms: u64) {
        self.leases.clear();
        self.gather_until_ms = None;
        for (name, incarnation) in known {
            self.leases.insert(name, Lease { incarnation, due_ms: now_ms + self.lease_ms });
        }
    }

    /// Gives a full lease to each known target that has none: a leader may be elected before it has applied
    /// the log that names them.
    pub fn grant_missing(&mut self, known: impl IntoIterator<Item = (String, u64)>, now_ms: u64) {
        for (name, incarnation) in known {
            let due_ms = now_ms + self.lease_ms;
            self.leases.entry(name).or_insert(Lease { incarnation, due_ms });
        }
    }

    /// Renews a lease; an earlier incarnation than the known one renews nothing.
    pub fn renew(&mut self, name: &str, incarnation: u64, now_ms: u64) -> bool {
        if self.leases.get(name).is_some_and(|it| it.incarnation > incarnation) {
            return false;
        }
        self.leases.insert(name.to_string(), Lease { incarnation, due_ms: now_ms + self.lease_ms });
        true
    }

    /// Takes out the leases that ran out. The first expiry opens a short window, so that a rack that
    /// goes at once makes one event.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<(String, u64)> {
        let any = self.leases.values().any(|it| it.due_ms <= now_ms);
        if !any {
            return Vec::new();
        }
        let until_ms = *self.gather_until_ms.get_or_insert(now_ms + GATHER_MS);
        if now_ms < until_ms {
            return Vec::new();
        }
        self.gather_until_ms = None;
        let mut expired = Vec::new();
        self.leases.retain(|name, lease| {
            if lease.due_ms <= now_ms {
                expired.push((name.clone(), lease.incarnation));
            }
            lease.due_ms > now_ms
        });
        expired
    }

    /// Number of leases in force.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }
}
