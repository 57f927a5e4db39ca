//! Service for calls from entries to an agent.

use std::sync::Arc;

use bilberryloft_coordination::attempts::AttemptState;
use bilberryloft_coordination::attempts::VoidAnswer;
use bilberryloft_protocol::codec::body_name;
use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::refusal::Reason;
use bilberryloft_state::refusal::RunState;
use bilberryloft_transport::clock::monotonic_ms;
use bilberryloft_transport::server::Call;
use bilberryloft_transport::server::Handler;
use bilberryloft_transport::server::Responder;

use crate::agent::Agent;
use crate::agent::answer_sender::Refusal;

/// Serves the dispatch address of an agent.
pub struct AgentService {
    agent: Arc<Agent>,
}

impl AgentService {
    /// Creates the service of an agent.
    pub fn new(agent: Arc<Agent>) -> AgentService {
        AgentService { agent }
    }
}

impl Handler for AgentService {
    async fn handle(self: Arc<Self>, call: Call) {
        let responder = call.responder;
        match call.body {
            Body::Dispatch(dispatch) => self.agent.clone().dispatch(dispatch, responder).await,
            Body::Attach(attach) => self.agent.attach(attach, &responder).await,
            Body::Cancel(cancel) => self.agent.cancel(&cancel),
            Body::VoidAttempt(void) => self.agent.void(&void, &responder).await,
            Body::Explain(explain) => {
                let records = self.agent.records_of(&explain.request_id);
                let _ = responder.send(Body::Records(wire::Records::new(records))).await;
            }
            other => responder.fail(body_name(&other), "an agent does not serve this call").await,
        }
    }
}

impl Agent {
    async fn attach(&self, attach: wire::Attach, responder: &Responder) {
        let attempt = attach.attempt.cast_unsigned();
        let buffer = self.lock().answers.get(&(attach.request_id.clone(), attempt)).cloned();
        // Another team's attempt is handled like one whose answer is no longer buffered, because a caller is not
        // to learn of other teams' attempts. The refusal still shows whether the agent knows the attempt.
        let Some(buffer) = buffer.filter(|it| it.team == attach.team) else {
            let state = self.lock().attempts.state(&attach.request_id, attempt);
            let refusal = match state {
                Some(AttemptState::NotStarted) => refusal(
                    Reason::Voided,
                    RunState::NotRun,
                    "the attempt never started and is void",
                ),
                Some(_) => {
                    refusal(Reason::AnswerGone, RunState::Ran, "the answer is no longer buffered")
                }
                None => refusal(
                    Reason::NoSuchAttempt,
                    RunState::Unknown,
                    "the agent has no such attempt",
                ),
            };
            return self.refuse(attempt, refusal, responder).await;
        };
        let from = attach.from_sequence.max(0).cast_unsigned();
        self.send_answer(&attach.request_id, attempt, &buffer, from, responder).await;
    }

    fn cancel(&self, cancel: &wire::Cancel) {
        let key = (cancel.request_id.clone(), cancel.attempt.cast_unsigned());
        let buffer = self.lock().answers.get(&key).cloned();
        if let Some(buffer) = buffer {
            buffer.cancel();
        }
    }

    async fn void(&self, void: &wire::Void, responder: &Responder) {
        let incarnation = void.agent_incarnation.cast_unsigned();
        let answer = self.lock().attempts.void(
            &void.request_id,
            void.attempt.cast_unsigned(),
            incarnation,
            monotonic_ms(),
        );
        let state = encode_void_answer(answer);
        let reply = wire::VoidReply::new(state, self.incarnation().cast_signed());
        let _ = responder.send(Body::VoidReply(reply)).await;
    }

    /// Returns the encoded decision records of a request.
    pub fn records_of(&self, request_id: &str) -> Vec<Vec<u8>> {
        let records = self.lock().records.find(request_id);
        records.iter().filter_map(|it| serde_json::to_vec(it).ok()).collect()
    }
}

fn refusal(reason: Reason, run: RunState, detail: &str) -> Refusal {
    Refusal { reason, run, retry_after_ms: 0, detail: detail.to_string() }
}

/// Returns the wire number of a void answer.
pub fn encode_void_answer(answer: VoidAnswer) -> i32 {
    match answer {
        VoidAnswer::NotStarted => 0,
        VoidAnswer::Running => 1,
        VoidAnswer::Finished => 2,
        VoidAnswer::Failed => 3,
        VoidAnswer::OtherIncarnation => 4,
        VoidAnswer::Forgotten => 5,
    }
}

/// Returns the void answer of a wire number; `None` for a number that only a later release knows.
pub fn decode_void_answer(number: i32) -> Option<VoidAnswer> {
    match number {
        0 => Some(VoidAnswer::NotStarted),
        1 => Some(VoidAnswer::Running),
        2 => Some(VoidAnswer::Finished),
        3 => Some(VoidAnswer::Failed),
        4 => Some(VoidAnswer::OtherIncarnation),
        5 => Some(VoidAnswer::Forgotten),
        _ => None,
    }
}
