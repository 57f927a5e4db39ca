//! Resuming a stream after the last event that the caller has seen, at any entry.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_protocol::problem::Problem;
use bilberryloft_state::configuration::TeamPolicy;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use tokio::time::Instant;

use crate::entry::answer::AnswerSource;
use crate::entry::answer::AttemptName;
use crate::entry::attempt::Started;
use crate::entry::attempt::start;
use crate::entry::state::Entry;

/// Position in a stream, as the ids of its events carry it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct EventId {
    pub sequence: u32,
    pub attempt: u32,
    pub target: String,
    pub request_id: String,
}

impl EventId {
    pub fn parse(text: &str) -> Option<EventId> {
        let mut parts = text.splitn(4, '/');
        let sequence = parts.next()?.parse().ok()?;
        let attempt = parts.next()?.parse().ok()?;
        let target = parts.next()?.to_string();
        let request_id = parts.next()?.to_string();
        Some(EventId { sequence, attempt, target, request_id })
    }
}

impl Entry {
    /// Joins a stream after an event.
    pub(super) async fn resume(
        self: &Arc<Self>,
        policy: &TeamPolicy,
        id: EventId,
    ) -> Result<Started, Problem> {
        self.sync_targets();
        let address = {
            let inner = self.lock();
            inner.picker.key(&id.target).map(|it| inner.picker.view(it).agent_address.clone())
        };
        let Some(address) = address else {
            let detail = format!("target {} is not known any more", id.target);
            return Err(Problem::new(Reason::NoSuchAttempt, RunState::Unknown, 0, detail));
        };
        let name = AttemptName {
            target: id.target,
            request_id: id.request_id,
            attempt: id.attempt,
            team: policy.team.clone(),
            due: Instant::now() + Duration::from_millis(policy.deadline_ms),
        };
        let client = self.client(&address);
        start(
            AnswerSource::new(self.clone(), client, None, name, None, None, id.sequence + 1),
            true,
        )
        .await
    }
}
