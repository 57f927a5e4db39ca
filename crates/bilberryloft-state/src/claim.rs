//! Claims that let a non-idempotent request run at most once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

/// Time for which a claim is kept, in milliseconds.
pub const CLAIM_RETENTION_MS: u64 = 24 * 3_600_000;
/// Number of claims kept at most; more are refused, never forgotten early.
pub const CLAIMS_MAX: usize = 1_000_000;

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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
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

/// All claims in force.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Claims {
    by_key: BTreeMap<String, Claim>,
    by_time: BTreeSet<(u64, String)>,
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
    pub fn get(&self, key: &str) -> Option<&Claim> {
        self.by_key.get(key)
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
        if let Some(held) = self.by_key.get(key) {
            return match held.fingerprint == fingerprint {
                true if held.request_id == request_id && held.attempt == 1 => {
                    ClaimOutcome::Granted { attempt: 1 }
                }
                true => ClaimOutcome::Held(held.clone()),
                false => ClaimOutcome::KeyReused,
            };
        }
        if self.by_key.len() >= CLAIMS_MAX {
            return ClaimOutcome::Full;
        }
        let claim = Claim {
            request_id: request_id.to_string(),
            fingerprint,
            attempt: 1,
            target: site.target.clone(),
            agent_address: site.agent_address.clone(),
            agent_incarnation: site.agent_incarnation,
            granted_at_ms: now_ms,
        };
        self.by_key.insert(key.to_string(), claim);
        self.by_time.insert((now_ms, key.to_string()));
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
        let Some(held) = self.by_key.get_mut(key) else {
            return ClaimOutcome::Absent;
        };
        if held.request_id != expected_request_id || held.attempt != expected_attempt {
            return ClaimOutcome::Held(held.clone());
        }
        held.request_id = request_id.to_string();
        held.attempt += 1;
        held.target = site.target.clone();
        held.agent_address = site.agent_address.clone();
        held.agent_incarnation = site.agent_incarnation;
        ClaimOutcome::Granted {
            attempt: held.attempt,
        }
    }

    /// Gives a claim back whose attempt is known never to start.
    pub fn release(&mut self, key: &str, request_id: &str, attempt: u32) {
        let matches = |it: &Claim| it.request_id == request_id && it.attempt == attempt;
        if let Some(held) = self.by_key.get(key).filter(|it| matches(it)) {
            self.by_time.remove(&(held.granted_at_ms, key.to_string()));
            self.by_key.remove(key);
        }
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some((granted_at_ms, key)) = self.by_time.first().cloned() {
            if granted_at_ms + CLAIM_RETENTION_MS > now_ms {
                break;
            }
            self.by_time.pop_first();
            self.by_key.remove(&key);
        }
    }
}
