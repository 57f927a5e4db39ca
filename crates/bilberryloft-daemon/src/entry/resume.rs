//! Resuming a stream after the last event that the caller received; any entry can do it.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_protocol::problem::Problem;
use bilberryloft_state::configuration::TeamPolicy;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use tokio::time::Instant;

use crate::entry::answer_reader::AnswerReader;
use crate::entry::answer_reader::AttemptRef;
use crate::entry::started_answer::StartedAnswer;
use crate::entry::started_answer::read_answer_start;
use crate::entry::state::Entry;

/// Position in a stream, encoded in the id of each event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct EventId {
    pub sequence: u32,
    pub attempt: u32,
    pub target: String,
    pub request_id: String,
}

impl EventId {
    /// Parses `SEQUENCE/ATTEMPT/TARGET/REQUEST_ID`.
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
    /// Joins the stream of an attempt after the given event.
    pub(super) async fn resume(
        self: &Arc<Self>,
        policy: &TeamPolicy,
        id: EventId,
    ) -> Result<StartedAnswer, Problem> {
        self.sync_targets();
        let address = {
            let inner = self.lock();
            inner.picker.key(&id.target).map(|key| inner.picker.view(key).agent_address.clone())
        };
        let Some(address) = address else {
            let detail = format!("target {} is not known any more", id.target);
            return Err(Problem::new(Reason::NoSuchAttempt, RunState::Unknown, 0, detail));
        };
        let attempt_ref = AttemptRef {
            target: id.target,
            request_id: id.request_id,
            attempt: id.attempt,
            team: policy.team.clone(),
            deadline: Instant::now() + Duration::from_millis(policy.deadline_ms),
        };
        let client = self.client(&address);
        read_answer_start(
            AnswerReader::new(self.clone(), client, None, attempt_ref, None, None, id.sequence + 1),
            true,
        )
        .await
    }
}
