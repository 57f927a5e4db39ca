//! What a planner does while ranks copy the experts of a map, until it switches them to it.

use std::time::Duration;

use bilberryloft_coordination::expert_map::ExpertSetMap;
use bilberryloft_coordination::expert_map::HoldSlot;
use bilberryloft_coordination::expert_map::OrderTiming;
use bilberryloft_coordination::expert_map::passes_ahead;
use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_routing::document::Experts;
use tokio::time::Instant;

use crate::expert_planner::Planner;
use crate::expert_planner::change::Change;
use crate::expert_planner::group::PendingMap;
use crate::expert_planner::rank_snapshot::RankSnapshot;
use crate::ranks::client::OrderOutcome;
use crate::ranks::client::short_order_timeout;

/// Time after which a change is abandoned if not all ranks have copied their experts.
const COPY_TIMEOUT: Duration = Duration::from_millis(4_000);

/// What to do about a map for which ranks copy experts.
enum Next {
    /// Read the ranks again.
    Wait,
    /// Not all ranks have copied their experts in time.
    Abandon,
    /// All ranks have copied their experts.
    Switch(Change),
}

impl Planner {
    /// Orders all ranks to copy the experts that they need for a map.
    pub(super) async fn order_copies(
        &mut self,
        key: &str,
        ranks: &[RankSnapshot],
        version: u64,
        map: Vec<ExpertSetMap>,
    ) {
        let epoch = ranks[0].report.epoch;
        let all: Vec<&RankSnapshot> = ranks.iter().collect();
        let outcomes = self.prepare_all(&all, version, epoch, &map).await;
        let refused = outcomes.iter().filter(|it| **it == OrderOutcome::Conflict).count();
        if refused > 0 {
            let at = "prepare";
            log_event!(warn, Event::ExpertMapAbandoned, group = key, version, refused, at);
            return;
        }
        let answered: Vec<bool> = outcomes.iter().map(|it| *it == OrderOutcome::Accepted).collect();
        let unanswered = answered.iter().filter(|it| !**it).count();
        let since = Instant::now();
        if let Some(group) = self.groups.get_mut(key) {
            let pending = PendingMap { version, map, since, answered, unanswered };
            group.pending = Some(pending);
        }
    }

    /// Sends the order to copy again to ranks that have not answered. It is the same order, so carrying out both is
    /// harmless.
    async fn resend_prepare(&self, ranks: &[RankSnapshot], pending: &mut PendingMap, epoch: u64) {
        let unconfirmed: Vec<usize> =
            (0..ranks.len()).filter(|it| !pending.answered[*it]).collect();
        let selected: Vec<&RankSnapshot> = unconfirmed.iter().map(|it| &ranks[*it]).collect();
        let outcomes = self.prepare_all(&selected, pending.version, epoch, &pending.map).await;
        for (rank, outcome) in unconfirmed.into_iter().zip(outcomes) {
            // A conflict means that the rank has carried out the first order, which its report will show.
            pending.answered[rank] = outcome != OrderOutcome::Unknown;
        }
    }

    /// Switches to the pending map once all ranks have copied the experts that they need for it.
    pub(super) async fn continue_change(
        &mut self,
        key: &str,
        ranks: &[RankSnapshot],
        experts: Experts,
    ) {
        let Some(group) = self.groups.get_mut(key) else {
            return;
        };
        let Some(mut pending) = group.pending.take() else {
            return;
        };
        let epoch = group.epoch;
        self.resend_prepare(ranks, &mut pending, epoch).await;
        match self.next_switch(key, ranks, &pending) {
            Next::Wait => {
                if let Some(group) = self.groups.get_mut(key) {
                    group.pending = Some(pending);
                }
            }
            Next::Abandon => {
                let version = pending.version;
                log_event!(warn, Event::ExpertMapAbandoned, group = key, version, at = "copy");
            }
            Next::Switch(change) => self.carry_out(key, ranks, experts, pending, change).await,
        }
    }

    /// Decides whether all ranks have copied their experts, and before which pass the group is held.
    fn next_switch(&self, key: &str, ranks: &[RankSnapshot], pending: &PendingMap) -> Next {
        let is_prepared = ranks.iter().all(|it| it.report.prepared == Some(pending.version));
        if !is_prepared {
            let is_late = pending.since.elapsed() >= COPY_TIMEOUT;
            return if is_late { Next::Abandon } else { Next::Wait };
        }
        self.change_to(key, ranks, pending).map_or(Next::Wait, Next::Switch)
    }

    /// Switches all ranks to the pending map, and takes note of it if that was done.
    async fn carry_out(
        &mut self,
        key: &str,
        ranks: &[RankSnapshot],
        experts: Experts,
        pending: PendingMap,
        change: Change,
    ) {
        let copied_ms = pending.since.elapsed().as_millis() as u64;
        let Some(step) = self.switch_map(key, ranks, experts, change).await else {
            return;
        };
        let (version, ahead) = (pending.version, change.ahead);
        log_event!(info, Event::ExpertMapSwitched, group = key, version, step, ahead, copied_ms);
        if let Some(group) = self.groups.get_mut(key) {
            group.map = pending.map;
            group.map_version = Some(version);
        }
    }

    /// Returns the change to the pending map; `None` if no rank's latest pass is known.
    fn change_to(&self, key: &str, ranks: &[RankSnapshot], pending: &PendingMap) -> Option<Change> {
        let (epoch, pass_ms) = (ranks[0].report.epoch, self.groups.get(key)?.pass_ms);
        let current_step = ranks.iter().filter_map(|it| it.current_step(pass_ms)).max()?;
        let orders = OrderTiming {
            ranks: ranks.len(),
            unanswered: pending.unanswered,
            round_ms: self.round_ms,
            timeout_ms: short_order_timeout(ranks.len()).as_secs_f64() * 1_000.0,
        };
        let ahead = passes_ahead(orders, pass_ms);
        let term = self.versions.term();
        let slot = HoldSlot::new(term, ranks.len());
        let earliest = (current_step + ahead).max(self.held_steps.next_after(key, epoch));
        let step = slot.step_from(earliest);
        Some(Change { term, version: pending.version, step, epoch, slot, ahead })
    }
}
