//! Renewing the target's lease with control.

use std::sync::Arc;
use std::time::Duration;

use bilberryloft_protocol::wire::Announce;
use bilberryloft_protocol::wire::Body;
use bilberryloft_state::error::Result;
use bilberryloft_transport::clock::monotonic_ms;

use crate::agent::Agent;
use crate::agent::Announcement;
use crate::events::Event;
use crate::log_event;

/// Time between renewals.
const RENEW_EVERY: Duration = Duration::from_millis(800);
/// Time between looks at a target that has not announced itself yet.
const LOOK_EVERY: Duration = Duration::from_millis(50);
/// Time for control to answer.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Starts renewing on the current runtime.
pub fn spawn_announcer(agent: Arc<Agent>) {
    tokio::spawn(async move {
        let mut announced: Option<Announcement> = None;
        let mut was_draining = false;
        loop {
            was_draining = agent.log_drain(was_draining);
            let target = agent.present_target(monotonic_ms());
            if target.is_none() && announced.is_some() {
                log_event!(warn, Event::TargetSilent, target_id = agent.settings.target);
            }
            // An agent that could only refuse must not be found yet.
            if let Some(target) = &target
                && !agent.is_stopping()
                && agent.view.may_serve()
            {
                let _ = announce(&agent, target, false).await;
            }
            let pause =
                if target.is_some() && agent.is_settled() { RENEW_EVERY } else { LOOK_EVERY };
            announced = target;
            tokio::time::sleep(pause).await;
        }
    });
}

/// Announces once, or says that the target leaves.
pub async fn announce(agent: &Agent, target: &Announcement, leaving: bool) -> Result<()> {
    let description = serde_json::to_vec(&agent.description(target)).unwrap_or_default();
    let incarnation = agent.incarnation() as i64;
    let announce =
        Announce::new(agent.settings.target.clone(), incarnation, description, leaving, false);
    let answer = agent.control.call(Body::Announce(announce), ANNOUNCE_TIMEOUT).await?;
    if let Body::AnnounceReply(reply) = answer {
        agent.settle(reply.known_incarnation as u64);
    }
    Ok(())
}

impl Agent {
    /// Logs when operators take the target out of use or back into it; returns which it is.
    fn log_drain(&self, was_draining: bool) -> bool {
        let target = &self.settings.target;
        let is_draining = self.view.configuration().is_draining(target);
        match (was_draining, is_draining) {
            (false, true) => log_event!(info, Event::TargetDraining, target),
            (true, false) => log_event!(info, Event::TargetResumed, target),
            (false, false) | (true, true) => {}
        }
        is_draining
    }

    /// Tells control that the target leaves, so that nobody waits for its lease to run out.
    pub async fn announce_leaving(&self) {
        let target = self.lock().target.clone();
        if let Some(target) = target {
            let _ = announce(self, &target, true).await;
        }
    }
}
