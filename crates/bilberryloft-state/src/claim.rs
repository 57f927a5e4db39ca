//! Claims that let a non-idempotent request run at most once.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::intern::InternKey;
use crate::intern::Interner;
use crate::key::digest_pair;

/// Time for which a claim is kept, in milliseconds.
pub const CLAIM_RETENTION_MS: u64 = 24 * 3_600_000;
/// Number of claims kept at most; more are refused, never forgotten early.
pub const CLAIMS_MAX: usize = 320_000;

/// The right to run one piece of work, given to one attempt at one life of one agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Request that holds the claim.
    pub request_id: String,
    /// Digest of the work; a resend must carry the same.
    pub fingerprint: i64,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Target that may run it.
    pub target: String,
    /// Address of the target's agent.
    pub agent_address: String,
    /// Life of the agent that may run it.
    pub agent_incarnation: u64,
    /// Time of the first grant, in milliseconds since the epoch.
    pub granted_at_ms: u64,
}

/// Where an attempt shall run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimSite {
    /// Target.
    pub target: String,
    /// Address of its agent.
    pub agent_address: String,
    /// Life of its agent.
    pub agent_incarnation: u64,
}

/// Answer to a claim or to its move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// The asker holds the claim with this attempt.
    Granted {
        /// Number of the attempt.
        attempt: u32,
    },
    /// Another request or attempt holds it.
    Held(Claim),
    /// The key was used with other work.
    KeyReused,
    /// The table is full.
    Full,
    /// The claim is gone.
    Absent,
}

/// Digest of a claim's key.
type KeyDigest = (u64, u64);

/// A claim as it is kept: names stand once, whatever the number of claims that use them.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct InternedClaim {
    issuer: InternKey,
    number: u64,
    attempt: u32,
    site: InternKey,
    fingerprint: i64,
    granted_at_ms: u64,
}

/// All claims in force. A key is kept as a digest; two keys of one digest are taken for one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "StoredClaims", into = "StoredClaims")]
pub struct Claims {
    by_key: BTreeMap<KeyDigest, InternedClaim>,
    /// Grants in the order of their times; some may have been released since.
    by_time: VecDeque<(u64, KeyDigest)>,
    sites: Interner<ClaimSite>,
    issuers: Interner<String>,
}

/// Claims as a snapshot has them.
#[derive(Serialize, Deserialize)]
struct StoredClaims {
    claims: Vec<(KeyDigest, InternedClaim)>,
    sites: Interner<ClaimSite>,
    issuers: Interner<String>,
}

impl From<Claims> for StoredClaims {
    fn from(claims: Claims) -> Self {
        StoredClaims {
            claims: claims.by_key.into_iter().collect(),
            sites: claims.sites,
            issuers: claims.issuers,
        }
    }
}

impl From<StoredClaims> for Claims {
    fn from(stored: StoredClaims) -> Self {
        let by_key: BTreeMap<KeyDigest, InternedClaim> = stored.claims.into_iter().collect();
        let mut by_time: Vec<(u64, KeyDigest)> =
            by_key.iter().map(|(key, claim)| (claim.granted_at_ms, *key)).collect();
        by_time.sort_unstable();
        Claims { by_key, by_time: by_time.into(), sites: stored.sites, issuers: stored.issuers }
    }
}

impl Claims {
    /// Number of claims.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Claim of a key.
    pub fn get(&self, key: &str) -> Option<Claim> {
        self.by_key.get(&digest_pair(key)).and_then(|it| self.expand(it))
    }

    fn expand(&self, interned: &InternedClaim) -> Option<Claim> {
        let site = self.sites.get(interned.site)?;
        let issuer = self.issuers.get(interned.issuer)?;
        Some(Claim {
            request_id: join_request_id(issuer, interned.number),
            fingerprint: interned.fingerprint,
            attempt: interned.attempt,
            target: site.target.clone(),
            agent_address: site.agent_address.clone(),
            agent_incarnation: site.agent_incarnation,
            granted_at_ms: interned.granted_at_ms,
        })
    }

    /// Grants a new claim, unless the key is held.
    pub fn claim(
        &mut self,
        key: &str,
        request_id: &str,
        fingerprint: i64,
        site: &ClaimSite,
        now_ms: u64,
    ) -> ClaimOutcome {
        self.expire(now_ms);
        let digest = digest_pair(key);
        if let Some(held) = self.get(key) {
            return match held.fingerprint == fingerprint {
                true if held.request_id == request_id && held.attempt == 1 => {
                    ClaimOutcome::Granted { attempt: 1 }
                }
                true => ClaimOutcome::Held(held),
                false => ClaimOutcome::KeyReused,
            };
        }
        if self.by_key.len() >= CLAIMS_MAX {
            return ClaimOutcome::Full;
        }
        let (issuer, number) = split_request_id(request_id);
        let interned = InternedClaim {
            issuer: self.issuers.acquire(&issuer.to_string()),
            number,
            attempt: 1,
            site: self.sites.acquire(site),
            fingerprint,
            granted_at_ms: now_ms,
        };
        self.by_key.insert(digest, interned);
        self.by_time.push_back((now_ms, digest));
        ClaimOutcome::Granted { attempt: 1 }
    }

    /// Moves a claim to a next attempt, if the expected attempt still holds it.
    pub fn move_claim(
        &mut self,
        key: &str,
        expected_request_id: &str,
        expected_attempt: u32,
        request_id: &str,
        site: &ClaimSite,
    ) -> ClaimOutcome {
        let Some(held) = self.get(key) else {
            return ClaimOutcome::Absent;
        };
        if held.request_id != expected_request_id || held.attempt != expected_attempt {
            return ClaimOutcome::Held(held);
        }
        let (issuer, number) = split_request_id(request_id);
        let issuer = self.issuers.acquire(&issuer.to_string());
        let site = self.sites.acquire(site);
        let Some(interned) = self.by_key.get_mut(&digest_pair(key)) else {
            return ClaimOutcome::Absent;
        };
        let previous = *interned;
        *interned =
            InternedClaim { issuer, number, site, attempt: previous.attempt + 1, ..previous };
        let attempt = interned.attempt;
        self.release_names(&previous);
        ClaimOutcome::Granted { attempt }
    }

    /// Gives a claim back whose attempt is known never to start.
    pub fn release(&mut self, key: &str, request_id: &str, attempt: u32) {
        let matches = |it: &Claim| it.request_id == request_id && it.attempt == attempt;
        if self.get(key).is_some_and(|it| matches(&it)) {
            self.remove(&digest_pair(key));
        }
    }

    fn remove(&mut self, digest: &KeyDigest) {
        if let Some(interned) = self.by_key.remove(digest) {
            self.release_names(&interned);
        }
    }

    fn release_names(&mut self, interned: &InternedClaim) {
        self.issuers.release(interned.issuer);
        self.sites.release(interned.site);
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some((granted_at_ms, digest)) = self.by_time.front().copied() {
            if granted_at_ms + CLAIM_RETENTION_MS > now_ms {
                break;
            }
            self.by_time.pop_front();
            // The key may have been released and granted again since.
            if self.by_key.get(&digest).is_some_and(|it| it.granted_at_ms == granted_at_ms) {
                self.remove(&digest);
            }
        }
    }
}

/// Number that stands for a request id without a running number.
const NO_NUMBER: u64 = u64::MAX;

/// Splits a request id into its issuer and the issuer's running number.
fn split_request_id(request_id: &str) -> (&str, u64) {
    let split = request_id.rsplit_once('-').and_then(|(issuer, text)| {
        let number = u64::from_str_radix(text, 16).ok()?;
        // Only a number that is written back the same way may be kept as one.
        (number != NO_NUMBER && format!("{number:x}") == text).then_some((issuer, number))
    });
    split.unwrap_or((request_id, NO_NUMBER))
}

fn join_request_id(issuer: &str, number: u64) -> String {
    match number {
        NO_NUMBER => issuer.to_string(),
        number => format!("{issuer}-{number:x}"),
    }
}
