//! Switches all ranks of a group to a map at the same forward pass: hold, arm, release.

use std::time::Duration;

use bilberryloft_coordination::expert_map::ExpertSetMap;
use bilberryloft_coordination::expert_map::HoldSlot;
use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_routing::document::Experts;
use futures_util::future::join_all;
use tokio::time::Instant;

use crate::dialect::RankOrder;
use crate::expert_planner::Planner;
use crate::expert_planner::rank_snapshot::RankSnapshot;
use crate::ranks::client::OrderOutcome;
use crate::ranks::client::RankClient;
use crate::ranks::client::order_timeout;
use crate::ranks::map_codec;

/// Time for which the order to start the held pass is repeated; after that, the next poll finds the hold.
const GO_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Attempts to hold the group before a pass that has not started.
const HOLD_ATTEMPTS_MAX: usize = 10;

/// Rounds of orders between two checks whether the group is still in the same epoch.
const ROUNDS_PER_STATE_CHECK: usize = 3;

/// A switch of all ranks to a map at one pass.
#[derive(Clone, Copy, Debug)]
pub(super) struct Change {
    /// Term in which this host leads.
    pub term: u64,
    pub version: u64,
    pub step: u64,
    pub epoch: u64,
    /// Rank and passes of this planner.
    pub slot: HoldSlot,
    /// Passes that the change was scheduled ahead.
    pub ahead: u64,
}

/// Outcome of arming all ranks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ArmOutcome {
    /// Every rank is armed.
    Armed,
    /// A rank has refused.
    Refused,
    /// This host must stop sending orders, or the group has ended. The hold is left to the next poll or leader.
    Interrupted,
}

impl Planner {
    /// Holds the group before a pass, arms all ranks for it, and releases the group. Returns the pass at which the map
    /// was switched.
    pub(super) async fn switch_map(
        &mut self,
        key: &str,
        ranks: &[RankSnapshot],
        experts: Experts,
        first: Change,
    ) -> Option<u64> {
        let holder = &ranks[first.slot.holder()].client;
        let change = self.hold(key, holder, first).await?;
        match self.arm_all(key, ranks, change).await {
            ArmOutcome::Armed => {
                self.start_pass(holder, change).await;
                return Some(change.step);
            }
            ArmOutcome::Refused => self.release_group(key, ranks, experts).await,
            ArmOutcome::Interrupted => {}
        }
        None
    }

    /// Holds the group before the first pass that has not started yet.
    async fn hold(&mut self, key: &str, holder: &RankClient, first: Change) -> Option<Change> {
        let mut change = first;
        let mut scheduled_step = None;
        for _ in 0..HOLD_ATTEMPTS_MAX {
            if !self.may_send_orders() || self.versions.term() != change.term {
                return None;
            }
            if scheduled_step != Some(change.step) && !self.record_schedule(key, change).await {
                return None;
            }
            scheduled_step = Some(change.step);
            self.held_steps.record(key, change.epoch, change.step);
            let dialect = self.state.dialect.as_ref();
            let hold = RankOrder::Hold { step: change.step, epoch: change.epoch };
            let timeout = order_timeout(&hold, 1);
            match holder.order(&self.state.call_pool, dialect, &hold, timeout).await {
                OrderOutcome::Accepted => return Some(change),
                // The pass has already started.
                OrderOutcome::Conflict => change.step = change.slot.step_from(change.step + 1),
                // Send the same order again, because the rank may already hold.
                OrderOutcome::Unknown => {}
            }
        }
        // One of the orders may still be carried out; the next poll then finds the hold.
        log_event!(warn, Event::ExpertMapAbandoned, group = key, ?change, at = "hold");
        None
    }

    /// Arms all ranks while the group is held. A rank that does not answer may be armed already or later, so the order
    /// is repeated until it answers.
    async fn arm_all(&mut self, key: &str, ranks: &[RankSnapshot], change: Change) -> ArmOutcome {
        let Change { version, step, epoch, .. } = change;
        let arm = RankOrder::Arm { version, step, epoch };
        let Some(refused) = self.order_until_answered(ranks, &arm).await else {
            log_event!(warn, Event::ExpertMapAbandoned, group = key, ?change, at = "arm");
            return ArmOutcome::Interrupted;
        };
        if refused.is_empty() {
            return ArmOutcome::Armed;
        }
        let refused: Vec<&str> = refused.iter().map(|it| it.client.id.as_str()).collect();
        log_event!(warn, Event::ExpertMapAbandoned, group = key, ?change, at = "arm", ?refused);
        ArmOutcome::Refused
    }

    /// Sends an order to all ranks until each has answered. Returns the ranks that refused; `None` if it stopped before
    /// that, because this host may no longer send orders or the group has ended.
    async fn order_until_answered<'a>(
        &mut self,
        ranks: &'a [RankSnapshot],
        order: &RankOrder<'_>,
    ) -> Option<Vec<&'a RankSnapshot>> {
        let mut unconfirmed: Vec<&RankSnapshot> = ranks.iter().collect();
        let mut refused = Vec::new();
        let mut round = 0_usize;
        while !unconfirmed.is_empty() {
            // Reading all ranks takes as long as another round of orders, so it is not done in every round.
            let is_check_due = round > 0 && round.is_multiple_of(ROUNDS_PER_STATE_CHECK);
            if is_check_due && self.has_group_ended(ranks).await || !self.may_send_orders() {
                return None;
            }
            round += 1;
            let started = Instant::now();
            let outcomes = self.order_all(&unconfirmed, order).await;
            if round == 1 && !outcomes.contains(&OrderOutcome::Unknown) {
                self.round_ms = started.elapsed().as_secs_f64() * 1_000.0;
            }
            let mut still_unconfirmed = Vec::new();
            for (snapshot, outcome) in unconfirmed.into_iter().zip(outcomes) {
                match outcome {
                    OrderOutcome::Accepted => {}
                    OrderOutcome::Conflict => refused.push(snapshot),
                    OrderOutcome::Unknown => still_unconfirmed.push(snapshot),
                }
            }
            unconfirmed = still_unconfirmed;
        }
        Some(refused)
    }

    /// Returns whether the group has failed or formed again, which resets all prepared maps, armed ranks and holds.
    async fn has_group_ended(&self, ranks: &[RankSnapshot]) -> bool {
        let dialect = self.state.dialect.as_ref();
        let reads = ranks.iter().map(|it| it.client.read(&self.state.call_pool, dialect));
        let epoch = ranks[0].report.epoch;
        let reports = join_all(reads).await.into_iter().flatten();
        reports.into_iter().any(|(report, _)| !report.is_open || report.epoch != epoch)
    }

    /// Orders a rank to start the held pass, for which every rank is armed; repeats the order until the rank answers.
    /// However late it is carried out, it releases no later hold, as the ranks stay armed until that pass.
    async fn start_pass(&mut self, holder: &RankClient, change: Change) {
        let until = Instant::now() + GO_TIMEOUT;
        let go = RankOrder::Go { step: change.step, epoch: change.epoch };
        let timeout = order_timeout(&go, 1);
        while Instant::now() < until && self.may_send_orders() {
            let dialect = self.state.dialect.as_ref();
            let outcome = holder.order(&self.state.call_pool, dialect, &go, timeout).await;
            if outcome != OrderOutcome::Unknown {
                return;
            }
        }
    }

    /// Sends an order to the given ranks concurrently.
    pub(super) async fn order_all(
        &self,
        ranks: &[&RankSnapshot],
        order: &RankOrder<'_>,
    ) -> Vec<OrderOutcome> {
        let (pool, dialect) = (&self.state.call_pool, self.state.dialect.as_ref());
        let timeout = order_timeout(order, ranks.len());
        join_all(ranks.iter().map(|it| it.client.order(pool, dialect, order, timeout))).await
    }

    /// Sends the order to copy experts for a map to the given ranks concurrently.
    pub(super) async fn prepare_all(
        &self,
        ranks: &[&RankSnapshot],
        version: u64,
        epoch: u64,
        map: &[ExpertSetMap],
    ) -> Vec<OrderOutcome> {
        let (pool, dialect) = (&self.state.call_pool, self.state.dialect.as_ref());
        let order = RankOrder::Prepare { version, epoch, map };
        let compact = map_codec::encode(map);
        let timeout = order_timeout(&order, ranks.len());
        let prepare = |it: &&RankSnapshot| {
            let client = it.client.clone();
            let (order, compact) = (&order, &compact);
            async move { client.prepare(pool, dialect, order, compact, timeout).await }
        };
        join_all(ranks.iter().map(prepare)).await
    }
}
