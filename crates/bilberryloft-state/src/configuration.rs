//! The versioned configuration: templates, teams and drain settings of targets. Each accepted change creates the next
//! version.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

/// Number of recent changes kept for deltas and the history.
pub const RECENT_CHANGES_MAX: usize = 4_096;
/// Number of change ids whose outcome is kept, so that resends get it again.
pub const CHANGE_OUTCOMES_MAX: usize = 16_384;
/// Number of recent changes that a following daemon gets with a snapshot.
pub const FOLLOWER_CHANGES_MAX: usize = 64;
/// Largest weight of a team.
pub const WEIGHT_MAX: u32 = 1_000;
/// Longest deadline that a template may set, in milliseconds.
pub const DEADLINE_MAX_MS: u64 = 3_600_000;

/// Default settings for teams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Unique name.
    pub name: String,
    /// Models that its teams may call.
    #[serde(default)]
    pub models: Vec<String>,
    /// Plain services that its teams may call.
    #[serde(default)]
    pub services: Vec<String>,
    /// Fair-share weight of each team under contention, 1 to [`WEIGHT_MAX`].
    pub weight: u32,
    /// Priority class, 0 (most urgent) to 9.
    pub priority: u8,
    /// Whether requests run at most once unless they say otherwise.
    #[serde(default)]
    pub non_idempotent: bool,
    /// Default deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// Largest number of requests that a team may have open at one entry.
    pub in_flight_max: u32,
}

/// A team and the settings in which it overrides its template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name.
    pub name: String,
    /// Name of the team's template.
    pub template: String,
    /// Hexadecimal SHA-256 digests of the tokens that authenticate the team.
    pub token_sha256: Vec<String>,
    /// Weight that overrides the template's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<u32>,
    /// Models that override the template's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<Vec<String>>,
    /// Limit of open requests that overrides the template's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_flight_max: Option<u32>,
}

/// Operation of a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ChangeKind {
    /// Creates or replaces a template.
    ApplyTemplate(Template),
    /// Creates or replaces a team.
    SetTeam(Team),
    /// Removes a team.
    RemoveTeam {
        /// Name of the team.
        name: String,
    },
    /// Drains a target or puts it back into service.
    SetTarget {
        /// Name of the target.
        name: String,
        /// Whether the target is drained and gets no new requests.
        draining: bool,
    },
}

impl ChangeKind {
    /// Key of the object that the change modifies; two changes conflict only on the same object.
    pub fn object(&self) -> String {
        match self {
            ChangeKind::ApplyTemplate(it) => format!("template/{}", it.name),
            ChangeKind::SetTeam(it) => format!("team/{}", it.name),
            ChangeKind::RemoveTeam { name } => format!("team/{name}"),
            ChangeKind::SetTarget { name, .. } => format!("target/{name}"),
        }
    }
}

/// A configuration change as an operator requests it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Idempotency id chosen by the operator; a resend with the same id gets the first outcome.
    pub change_id: String,
    /// Configuration version that the change is based on; without one, conflicts are not checked.
    #[serde(default)]
    pub base_version: Option<u64>,
    /// Operator that requests the change.
    pub author: String,
    /// Reason for the change.
    #[serde(default)]
    pub reason: String,
    /// Operation to perform.
    pub kind: ChangeKind,
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Configuration version that the change created.
    pub version: u64,
    /// Idempotency id chosen by the operator.
    pub change_id: String,
    /// Operator that requested the change.
    pub author: String,
    /// Reason for the change.
    pub reason: String,
    /// Leader's time of the change, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Operation that was performed.
    pub kind: ChangeKind,
}

/// Outcome of a [`ChangeRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeOutcome {
    /// The change is committed.
    Accepted {
        /// Configuration version that the change created.
        version: u64,
    },
    /// The object was changed after the base version.
    Conflict {
        /// Version at which the object last changed.
        object_version: u64,
        /// Id of the change that came first.
        winner_change_id: String,
        /// Author of the change that came first.
        winner_author: String,
    },
    /// The change failed validation.
    Invalid {
        /// Names the field, its value and the allowed values.
        detail: String,
    },
}

/// Effective settings of a team: its template with the team's own settings applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamPolicy {
    /// Name of the team.
    pub team: String,
    /// Models that the team may call.
    pub models: Vec<String>,
    /// Plain services that the team may call.
    pub services: Vec<String>,
    /// Fair-share weight under contention.
    pub weight: u32,
    /// Priority class, 0 (most urgent) to 9.
    pub priority: u8,
    /// Whether requests run at most once unless they say otherwise.
    pub non_idempotent: bool,
    /// Default deadline in milliseconds.
    pub deadline_ms: u64,
    /// Largest number of requests that may be open at one entry.
    pub in_flight_max: u32,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct ObjectVersion {
    version: u64,
    change_id: String,
    author: String,
}

/// The configuration at one version, with its recent history.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Configuration {
    version: u64,
    templates: BTreeMap<String, Template>,
    teams: BTreeMap<String, Team>,
    team_of_token: BTreeMap<String, String>,
    draining: BTreeMap<String, bool>,
    object_versions: BTreeMap<String, ObjectVersion>,
    outcomes: BTreeMap<String, ChangeOutcome>,
    outcome_order: VecDeque<String>,
    recent: VecDeque<ChangeRecord>,
}

/// Hexadecimal SHA-256 digest of a caller's token.
pub fn token_digest(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

impl Configuration {
    /// Number of accepted changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// All templates by name.
    pub fn templates(&self) -> &BTreeMap<String, Template> {
        &self.templates
    }

    /// All teams by name.
    pub fn teams(&self) -> &BTreeMap<String, Team> {
        &self.teams
    }

    /// Recent accepted changes, oldest first.
    pub fn history(&self) -> &VecDeque<ChangeRecord> {
        &self.recent
    }

    /// Whether operators have drained the target.
    pub fn is_draining(&self, target: &str) -> bool {
        self.draining.get(target).copied().unwrap_or(false)
    }

    /// Policy of the team that a token digest belongs to.
    pub fn policy_of_digest(&self, digest: &str) -> Option<TeamPolicy> {
        let name = self.team_of_token.get(digest)?;
        self.policy(name)
    }

    /// Policy of a team.
    pub fn policy(&self, name: &str) -> Option<TeamPolicy> {
        let team = self.teams.get(name)?;
        let template = self.templates.get(&team.template)?;
        Some(TeamPolicy {
            team: team.name.clone(),
            models: team.models.clone().unwrap_or_else(|| template.models.clone()),
            services: template.services.clone(),
            weight: team.weight.unwrap_or(template.weight),
            priority: template.priority,
            non_idempotent: template.non_idempotent,
            deadline_ms: template.deadline_ms,
            in_flight_max: team.in_flight_max.unwrap_or(template.in_flight_max),
        })
    }

    /// Validates and applies a change. A known change id gets its first outcome again and changes nothing.
    pub fn decide(&mut self, request: &ChangeRequest, at_ms: u64) -> ChangeOutcome {
        if let Some(first) = self.outcomes.get(&request.change_id) {
            return first.clone();
        }
        let outcome = self.decide_new(request, at_ms);
        self.store_outcome(&request.change_id, outcome.clone());
        outcome
    }

    fn decide_new(&mut self, request: &ChangeRequest, at_ms: u64) -> ChangeOutcome {
        if let Some(conflict) = self.find_conflict(request) {
            return conflict;
        }
        if let Err(detail) = self.validate(&request.kind) {
            return ChangeOutcome::Invalid { detail };
        }
        let record = ChangeRecord {
            version: self.version + 1,
            change_id: request.change_id.clone(),
            author: request.author.clone(),
            reason: request.reason.clone(),
            at_ms,
            kind: request.kind.clone(),
        };
        self.apply(record);
        ChangeOutcome::Accepted { version: self.version }
    }

    fn find_conflict(&self, request: &ChangeRequest) -> Option<ChangeOutcome> {
        let base = request.base_version?;
        let last = self.object_versions.get(&request.kind.object())?;
        (last.version > base).then(|| ChangeOutcome::Conflict {
            object_version: last.version,
            winner_change_id: last.change_id.clone(),
            winner_author: last.author.clone(),
        })
    }

    fn store_outcome(&mut self, change_id: &str, outcome: ChangeOutcome) {
        self.outcomes.insert(change_id.to_string(), outcome);
        self.outcome_order.push_back(change_id.to_string());
        if self.outcome_order.len() > CHANGE_OUTCOMES_MAX
            && let Some(oldest) = self.outcome_order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
    }

    fn validate(&self, kind: &ChangeKind) -> Result<(), String> {
        match kind {
            ChangeKind::ApplyTemplate(template) => validate_template(template),
            ChangeKind::SetTeam(team) => self.validate_team(team),
            ChangeKind::RemoveTeam { name } if !self.teams.contains_key(name) => {
                Err(format!("name: {name:?} is not a team"))
            }
            ChangeKind::RemoveTeam { .. } => Ok(()),
            ChangeKind::SetTarget { name, .. } => validate_name(name),
        }
    }

    fn validate_team(&self, team: &Team) -> Result<(), String> {
        validate_name(&team.name)?;
        if !self.templates.contains_key(&team.template) {
            return Err(format!("template: {:?} does not exist", team.template));
        }
        if let Some(weight) = team.weight {
            validate_weight(weight)?;
        }
        for digest in &team.token_sha256 {
            if digest.len() != 64 || !digest.bytes().all(|it| it.is_ascii_hexdigit()) {
                return Err(format!("token_sha256: {digest:?} is not 64 hexadecimal digits"));
            }
            if let Some(owner) = self.team_of_token.get(digest)
                && *owner != team.name
            {
                return Err(format!("token_sha256: the token already names team {owner:?}"));
            }
        }
        Ok(())
    }

    /// Applies an accepted change. Records must be applied in the order of their versions.
    ///
    /// Returns false and changes nothing if the record is not of the next version.
    pub fn apply(&mut self, record: ChangeRecord) -> bool {
        if record.version != self.version + 1 {
            return false;
        }
        self.version = record.version;
        let object_version = ObjectVersion {
            version: record.version,
            change_id: record.change_id.clone(),
            author: record.author.clone(),
        };
        self.object_versions.insert(record.kind.object(), object_version);
        self.apply_kind(&record.kind);
        self.recent.push_back(record);
        if self.recent.len() > RECENT_CHANGES_MAX {
            self.recent.pop_front();
        }
        true
    }

    fn apply_kind(&mut self, kind: &ChangeKind) {
        match kind {
            ChangeKind::ApplyTemplate(template) => {
                self.templates.insert(template.name.clone(), template.clone());
            }
            ChangeKind::SetTeam(team) => {
                self.remove_tokens(&team.name);
                for digest in &team.token_sha256 {
                    self.team_of_token.insert(digest.clone(), team.name.clone());
                }
                self.teams.insert(team.name.clone(), team.clone());
            }
            ChangeKind::RemoveTeam { name } => {
                self.remove_tokens(name);
                self.teams.remove(name);
            }
            ChangeKind::SetTarget { name, draining } => {
                self.draining.insert(name.clone(), *draining);
            }
        }
    }

    fn remove_tokens(&mut self, team: &str) {
        let Some(team) = self.teams.get(team) else {
            return;
        };
        for digest in &team.token_sha256 {
            self.team_of_token.remove(digest);
        }
    }

    /// Copy for a daemon that only follows: without object versions and the outcomes kept for resends, and with at most
    /// [`FOLLOWER_CHANGES_MAX`] recent changes.
    pub fn for_followers(&self) -> Configuration {
        let skipped = self.recent.len().saturating_sub(FOLLOWER_CHANGES_MAX);
        Configuration {
            version: self.version,
            templates: self.templates.clone(),
            teams: self.teams.clone(),
            team_of_token: self.team_of_token.clone(),
            draining: self.draining.clone(),
            object_versions: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            outcome_order: VecDeque::new(),
            recent: self.recent.iter().skip(skipped).cloned().collect(),
        }
    }

    /// Changes after a version, or `None` if some of them are no longer kept.
    pub fn changes_after(&self, version: u64) -> Option<Vec<ChangeRecord>> {
        if version >= self.version {
            return Some(Vec::new());
        }
        let oldest = self.recent.front()?.version;
        if oldest > version + 1 {
            return None;
        }
        Some(self.recent.iter().filter(|it| it.version > version).cloned().collect())
    }
}

fn validate_template(template: &Template) -> Result<(), String> {
    validate_name(&template.name)?;
    validate_weight(template.weight)?;
    if template.priority > 9 {
        return Err(format!("priority: {} is not in 0..=9", template.priority));
    }
    if template.deadline_ms == 0 || template.deadline_ms > DEADLINE_MAX_MS {
        return Err(format!(
            "deadline_ms: {} is not in 1..={DEADLINE_MAX_MS}",
            template.deadline_ms
        ));
    }
    if template.in_flight_max == 0 {
        return Err("in_flight_max: 0 is not allowed, it must be at least 1".to_string());
    }
    Ok(())
}

fn validate_weight(weight: u32) -> Result<(), String> {
    if weight == 0 || weight > WEIGHT_MAX {
        return Err(format!("weight: {weight} is not in 1..={WEIGHT_MAX}"));
    }
    Ok(())
}

fn validate_name(name: &str) -> Result<(), String> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > 64 || !name.bytes().all(is_allowed) {
        return Err(format!("name: {name:?} must be 1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'"));
    }
    Ok(())
}
