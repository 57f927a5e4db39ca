//! Leases of targets, kept by the leader. Only the start and the end of a lease are written to the replicated log.

use std::collections::BTreeMap;

/// Time for which expiries are batched into one event, in milliseconds.
pub const EXPIRY_BATCH_MS: u64 = 300;

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
    batch_until_ms: Option<u64>,
}

impl LeaseTable {
    /// Creates an empty table.
    pub fn new(lease_ms: u64) -> LeaseTable {
        LeaseTable { lease_ms, leases: BTreeMap::new(), batch_until_ms: None }
    }

    /// Grants every known target a full lease, since a new leader has not heard from any of them yet.
    pub fn start_term(&mut self, known: impl IntoIterator<Item = (String, u64)>, now_ms: u64) {
        self.leases.clear();
        self.batch_until_ms = None;
        for (name, incarnation) in known {
            self.leases.insert(name, Lease { incarnation, due_ms: now_ms + self.lease_ms });
        }
    }

    /// Grants a full lease to each known target that has none: a leader may be elected before it has applied the log
    /// entries that name the targets.
    pub fn grant_missing(&mut self, known: impl IntoIterator<Item = (String, u64)>, now_ms: u64) {
        for (name, incarnation) in known {
            let due_ms = now_ms + self.lease_ms;
            self.leases.entry(name).or_insert(Lease { incarnation, due_ms });
        }
    }

    /// Renews a lease and returns whether it did; an earlier incarnation than the known one does not renew it.
    pub fn renew(&mut self, name: &str, incarnation: u64, now_ms: u64) -> bool {
        if self.leases.get(name).is_some_and(|it| it.incarnation > incarnation) {
            return false;
        }
        self.leases.insert(name.to_string(), Lease { incarnation, due_ms: now_ms + self.lease_ms });
        true
    }

    /// Removes and returns the expired leases. The first expiry opens a short window, so that the targets of a rack
    /// that fail together expire in one event.
    pub fn take_expired(&mut self, now_ms: u64) -> Vec<(String, u64)> {
        let has_expired = self.leases.values().any(|it| it.due_ms <= now_ms);
        if !has_expired {
            return Vec::new();
        }
        let until_ms = *self.batch_until_ms.get_or_insert(now_ms + EXPIRY_BATCH_MS);
        if now_ms < until_ms {
            return Vec::new();
        }
        self.batch_until_ms = None;
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

    /// Whether no lease is in force.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }
}
