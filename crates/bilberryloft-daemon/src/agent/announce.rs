//! Announcements of the target to the control hosts, which renew its lease.

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

/// Time between renewals of the lease.
const RENEW_INTERVAL: Duration = Duration::from_millis(800);
/// Time between checks while the target has not announced itself or the quorum has not confirmed the agent's
/// incarnation.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for a control host to respond to an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Spawns a task on the current runtime that renews the target's lease.
pub fn spawn_announcer(agent: Arc<Agent>) {
    tokio::spawn(async move {
        let mut previous_target: Option<Announcement> = None;
        let mut was_draining = false;
        loop {
            was_draining = agent.log_drain_change(was_draining);
            let target = agent.present_target(monotonic_ms());
            if target.is_none() && previous_target.is_some() {
                log_event!(warn, Event::TargetSilent, target_id = agent.settings.target);
            }
            // An agent that would refuse every dispatch is not announced, so that entries don't pick it.
            if let Some(target) = &target
                && !agent.is_stopping()
                && agent.view.may_serve()
            {
                let _ = announce(&agent, target, false).await;
            }
            let pause = if target.is_some() && agent.is_incarnation_confirmed() {
                RENEW_INTERVAL
            } else {
                POLL_INTERVAL
            };
            previous_target = target;
            tokio::time::sleep(pause).await;
        }
    });
}

/// Sends one announcement of the target to a control host; `leaving` says that the target is going away.
///
/// # Errors
///
/// Fails if no control host responds in time.
pub async fn announce(agent: &Agent, target: &Announcement, leaving: bool) -> Result<()> {
    let description = serde_json::to_vec(&agent.target_description(target)).unwrap_or_default();
    let incarnation = agent.incarnation().cast_signed();
    let announce =
        Announce::new(agent.settings.target.clone(), incarnation, description, leaving, false);
    let response = agent.control.call(Body::Announce(announce), ANNOUNCE_TIMEOUT).await?;
    if let Body::AnnounceReply(reply) = response {
        agent.reconcile_incarnation(reply.known_incarnation.cast_unsigned());
    }
    Ok(())
}

impl Agent {
    /// Logs when operators start or end draining the target; returns whether it is draining.
    fn log_drain_change(&self, was_draining: bool) -> bool {
        let target = &self.settings.target;
        let is_draining = self.view.configuration().is_draining(target);
        match (was_draining, is_draining) {
            (false, true) => log_event!(info, Event::TargetDraining, target),
            (true, false) => log_event!(info, Event::TargetResumed, target),
            (false, false) | (true, true) => {}
        }
        is_draining
    }

    /// Tells the control hosts that the target is leaving, so that its lease need not expire first.
    pub async fn announce_leaving(&self) {
        let target = self.lock().target.clone();
        if let Some(target) = target {
            let _ = announce(self, &target, true).await;
        }
    }
}
