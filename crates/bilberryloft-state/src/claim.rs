//! Claims, which ensure that a non-idempotent request runs at most once.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::intern::InternKey;
use crate::intern::Interner;
use crate::key::digest_pair;

/// Time for which a claim is kept after it was granted, in milliseconds.
pub const CLAIM_RETENTION_MS: u64 = 24 * 3_600_000;
/// Largest number of claims. When it is reached, new claims are refused rather than old ones dropped early.
pub const CLAIMS_MAX: usize = 320_000;

/// Exclusive right of one attempt to run a request at one incarnation of one agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the request that holds the claim.
    pub request_id: String,
    /// Digest of the request; a resend with the same key must have the same digest.
    pub fingerprint: i64,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Name of the target that may run the request.
    pub target: String,
    /// Address of the target's agent.
    pub agent_address: String,
    /// Incarnation of the agent that may run the request.
    pub agent_incarnation: u64,
    /// Time at which the claim was first granted, in milliseconds since the epoch.
    pub granted_at_ms: u64,
}

/// Target and agent incarnation at which an attempt is to run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimSite {
    /// Name of the target.
    pub target: String,
    /// Address of the target's agent.
    pub agent_address: String,
    /// Incarnation of the target's agent.
    pub agent_incarnation: u64,
}

/// Outcome of claiming a request or moving a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimOutcome {
    /// The claim is granted to the given attempt.
    Granted {
        /// Number of the attempt.
        attempt: u32,
    },
    /// Another request or attempt holds the claim.
    Held(Claim),
    /// The key was already used with a different request.
    KeyReused,
    /// The limit of [`CLAIMS_MAX`] claims is reached.
    Full,
    /// There is no claim with the key.
    Absent,
}

/// Digest of a claim's key.
type KeyDigest = (u64, u64);

/// A claim in compact form: its issuer and site are interned, so that each is stored once for all claims that use it.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct InternedClaim {
    issuer: InternKey,
    number: u64,
    attempt: u32,
    site: InternKey,
    fingerprint: i64,
    granted_at_ms: u64,
}

/// All claims in force. Keys are stored as digests; two keys with the same digest are treated as the same key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(from = "StoredClaims", into = "StoredClaims")]
pub struct Claims {
    by_key: BTreeMap<KeyDigest, InternedClaim>,
    /// Grants in the order of their times; some of the claims may have been released since.
    by_time: VecDeque<(u64, KeyDigest)>,
    sites: Interner<ClaimSite>,
    issuers: Interner<String>,
}

/// Serialized form of the claims in a snapshot.
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

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Claim with the given key, if there is one.
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

    /// Grants a new claim, unless the key is already claimed or the limit is reached. Repeating the first claim
    /// of a request grants it again.
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

    /// Moves a claim to the next attempt, if the expected request and attempt still hold it.
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

    /// Releases a claim; ignored unless the given request and attempt hold it.
    ///
    /// The attempt must be known never to start, or its request must be allowed to run again.
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
            // The key may have been released and claimed again since this grant.
            if self.by_key.get(&digest).is_some_and(|it| it.granted_at_ms == granted_at_ms) {
                self.remove(&digest);
            }
        }
    }
}

/// Value in place of a sequence number for a request id that does not end in one.
const NO_NUMBER: u64 = u64::MAX;

/// Splits a request id into its issuer and the issuer's sequence number.
fn split_request_id(request_id: &str) -> (&str, u64) {
    let split = request_id.rsplit_once('-').and_then(|(issuer, text)| {
        let number = u64::from_str_radix(text, 16).ok()?;
        // The text is stored as a number only if formatting that number gives back the same text.
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
