//! Reports of a host that can be a member of the quorum: that it is alive, and that it is leaving when its process stops.

use std::time::Duration;

use bilberryloft_protocol::codec::body_name;
use bilberryloft_protocol::wire;
use bilberryloft_protocol::wire::Body;
use tokio::sync::watch;

use crate::control_client::ControlClient;

/// Time between two reports to the leader.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reports to the leader while the host is leaving.
const LEAVE_INTERVAL: Duration = Duration::from_millis(50);
/// Time for one report to reach the leader.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which a control host tells the seeds that it is one.
const SEED_NOTICE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Running reports of one control host.
#[derive(Debug)]
pub struct HostReporter {
    is_leaving: watch::Sender<bool>,
    may_stop: watch::Receiver<bool>,
}

/// The host, as its reports describe it.
#[derive(Clone, Debug)]
struct ReportedHost {
    member: u32,
    address: String,
}

impl ReportedHost {
    fn join(&self, is_leaving: bool) -> Body {
        Body::Join(wire::Join {
            member: self.member.cast_signed(),
            address: self.address.clone(),
            forwarded: false,
            leaving: Some(is_leaving),
        })
    }
}

impl HostReporter {
    /// Starts reports to the leader, and to seeds that may not know any control host, on the current runtime.
    pub fn spawn(control: ControlClient, member: u32, address: String) -> HostReporter {
        let (is_leaving, leaving) = watch::channel(false);
        let (released, may_stop) = watch::channel(false);
        let host = ReportedHost { member, address };
        tokio::spawn(report(control.clone(), host.clone(), leaving.clone(), released));
        tokio::spawn(notify_seeds(control, host, leaving));
        HostReporter { is_leaving, may_stop }
    }

    /// Reports from now on that the host is leaving.
    pub fn begin_leave(&self) {
        self.is_leaving.send_replace(true);
    }

    /// Returns whether the leader's latest answer was that the quorum doesn't need this host any more.
    pub fn may_stop(&self) -> bool {
        *self.may_stop.borrow()
    }
}

/// Periodically tells the leader that the host can be a member of the quorum, or that it is leaving. The leader's answer
/// may change as long as the process runs, for example when a spare host has just started.
async fn report(
    control: ControlClient,
    host: ReportedHost,
    mut leaving: watch::Receiver<bool>,
    released: watch::Sender<bool>,
) {
    loop {
        let is_leaving = *leaving.borrow_and_update();
        match control.call(host.join(is_leaving), REPORT_TIMEOUT).await {
            Ok(answer) if is_leaving => drop(released.send_replace(may_stop(&answer))),
            Ok(_) => {}
            Err(error) => {
                tracing::debug!(%error, is_leaving, "the leader was not told of this control host; retrying");
            }
        }
        let pause = if is_leaving { LEAVE_INTERVAL } else { REPORT_INTERVAL };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            Ok(()) = leaving.changed() => {}
        }
    }
}

/// Returns whether an answer to a leaving host lets its process stop. A leader of an earlier version knows no leaving
/// hosts, so waiting for it is pointless.
fn may_stop(answer: &Body) -> bool {
    match answer {
        Body::LeaveReply(reply) => reply.may_stop,
        Body::Done(_) => true,
        other => {
            tracing::debug!(answer = body_name(other), "unexpected answer to a leaving host");
            false
        }
    }
}

/// Periodically tells each seed of this host. A seed that is no control host and starts later than all of them learns from
/// this that there are any; other calls go to hosts that have answered, and these need not be seeds.
async fn notify_seeds(
    control: ControlClient,
    host: ReportedHost,
    mut leaving: watch::Receiver<bool>,
) {
    loop {
        for seed in control.seeds().into_iter().filter(|it| it.address() != host.address) {
            if *leaving.borrow() {
                return;
            }
            if let Err(error) = seed.call(host.join(false), REPORT_TIMEOUT).await {
                tracing::debug!(%error, "a seed was not told of this control host; retrying");
            }
        }
        tokio::select! {
            () = tokio::time::sleep(SEED_NOTICE_INTERVAL) => {}
            _ = leaving.wait_for(|it| *it) => return,
        }
    }
}
