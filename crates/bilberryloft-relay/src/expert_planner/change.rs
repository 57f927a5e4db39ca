//! Changing all ranks of a group to a map at one pass: hold, arm, go on.

use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_transport::clock::boot_ms;
use futures_util::future::join_all;
use tokio::time::Instant;

use crate::dialect::RankOrder;
use crate::expert_planner::Planner;
use crate::expert_planner::RankSnapshot;
use crate::expert_planner::STALL_MS;
use crate::rank_link::OrderOutcome;
use crate::rank_link::RankClient;
use crate::rank_link::order_timeout;

/// Time for which the order to go on is repeated; after that, the next look finds the hold.
const GO_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Tries to hold the group before a pass that has not begun.
const HOLD_ATTEMPTS_MAX: usize = 10;

/// Rounds of orders between two looks whether the group still is the same.
const ROUNDS_PER_STATE_CHECK: usize = 3;

/// A change of all ranks to a map at one pass.
#[derive(Clone, Copy, Debug)]
pub(super) struct Change {
    pub version: u64,
    pub step: u64,
    pub epoch: u64,
}

/// How the arming of all ranks ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ArmOutcome {
    /// Every rank is armed.
    Armed,
    /// No rank is armed.
    Disarmed,
    /// This host must stop giving orders, or the group has ended; the hold stays for whoever leads next.
    Interrupted,
}

impl Planner {
    /// Holds the group before a pass, arms all ranks for it, and lets the group go on. Returns the pass at
    /// which the map changed.
    pub(super) async fn switch_map(
        &mut self,
        key: &str,
        ranks: &[RankSnapshot],
        first: Change,
    ) -> Option<u64> {
        let holder = &ranks[0].client;
        let change = self.hold(key, holder, first).await?;
        let end = self.arm_all(key, ranks, change).await;
        if end != ArmOutcome::Interrupted {
            self.release_hold(holder, change.step).await;
        }
        (end == ArmOutcome::Armed).then_some(change.step)
    }

    /// Holds the group before the first pass that has not begun yet.
    async fn hold(&self, key: &str, holder: &RankClient, first: Change) -> Option<Change> {
        let dialect = self.state.dialect.as_ref();
        let mut change = first;
        for _ in 0..HOLD_ATTEMPTS_MAX {
            let hold = RankOrder::Hold { step: change.step, epoch: change.epoch };
            let timeout = order_timeout(&hold, 1);
            match holder.order(&self.state.pool, dialect, &hold, timeout).await {
                OrderOutcome::Accepted => return Some(change),
                // The pass has begun.
                OrderOutcome::Conflict => change.step += 1,
                // The same once more: the rank may hold already.
                OrderOutcome::Unknown => {}
            }
        }
        log_event!(warn, Event::ExpertMapAbandoned, group = key, ?change, at = "hold");
        self.release_hold(holder, change.step).await;
        None
    }

    /// Arms all ranks while the group is held. A rank that does not answer may have been armed, or may be
    /// later, so it is asked until it answers; the change goes back only when a rank has refused.
    pub(super) async fn arm_all(
        &self,
        key: &str,
        ranks: &[RankSnapshot],
        change: Change,
    ) -> ArmOutcome {
        let Change { version, step, epoch } = change;
        let arm = RankOrder::Arm { version, step, epoch };
        let (unanswered, refused) = self.order_until_answered(ranks, &arm).await;
        if unanswered {
            log_event!(
                warn,
                Event::ExpertMapAbandoned,
                group = key,
                ?change,
                at = "arm",
                unanswered
            );
            return ArmOutcome::Interrupted;
        }
        if refused.is_empty() {
            return ArmOutcome::Armed;
        }
        let refused: Vec<&str> = refused.iter().map(|it| it.client.id.as_str()).collect();
        log_event!(warn, Event::ExpertMapAbandoned, group = key, ?change, at = "arm", ?refused);
        let disarm = RankOrder::Disarm { version };
        match self.order_until_answered(ranks, &disarm).await.0 {
            true => ArmOutcome::Interrupted,
            false => ArmOutcome::Disarmed,
        }
    }

    /// Gives an order to all ranks until each has answered. Returns whether some have not when this host must
    /// stop giving orders or the group has ended, and the ranks that refused.
    async fn order_until_answered<'a>(
        &self,
        ranks: &'a [RankSnapshot],
        order: &RankOrder<'_>,
    ) -> (bool, Vec<&'a RankSnapshot>) {
        let mut unconfirmed: Vec<&RankSnapshot> = ranks.iter().collect();
        let mut refused = Vec::new();
        let mut previous_ms = boot_ms();
        let mut round = 0_usize;
        loop {
            round += 1;
            let ends = self.order_all(&unconfirmed, order).await;
            let mut still_unconfirmed = Vec::new();
            for (snapshot, end) in unconfirmed.into_iter().zip(ends) {
                match end {
                    OrderOutcome::Accepted => {}
                    OrderOutcome::Conflict => refused.push(snapshot),
                    OrderOutcome::Unknown => still_unconfirmed.push(snapshot),
                }
            }
            unconfirmed = still_unconfirmed;
            if unconfirmed.is_empty() {
                return (false, refused);
            }
            let now_ms = boot_ms();
            let has_stalled = now_ms - previous_ms > STALL_MS;
            previous_ms = now_ms;
            // To read all ranks takes as long as to order them again.
            let is_check_due = round.is_multiple_of(ROUNDS_PER_STATE_CHECK);
            let has_group_ended = is_check_due && self.has_group_ended(ranks).await;
            if has_stalled || !self.control.status().leads || has_group_ended {
                return (true, refused);
            }
        }
    }

    /// Whether the group has broken or formed again, which undoes all that was prepared, armed or held.
    async fn has_group_ended(&self, ranks: &[RankSnapshot]) -> bool {
        let dialect = self.state.dialect.as_ref();
        let reads = ranks.iter().map(|it| it.client.read(&self.state.pool, dialect));
        let epoch = ranks[0].report.epoch;
        let reports = join_all(reads).await.into_iter().flatten();
        reports.into_iter().any(|(report, _)| !report.is_open || report.epoch != epoch)
    }

    /// Lets a group go on; the order is repeated until the rank has taken it.
    pub(super) async fn release_hold(&self, holder: &RankClient, step: u64) {
        let until = Instant::now() + GO_TIMEOUT;
        let dialect = self.state.dialect.as_ref();
        let go = RankOrder::Go { step };
        let timeout = order_timeout(&go, 1);
        while Instant::now() < until && self.control.status().leads {
            let end = holder.order(&self.state.pool, dialect, &go, timeout).await;
            if end != OrderOutcome::Unknown {
                return;
            }
        }
    }

    /// Gives an order to some ranks at once.
    pub(super) async fn order_all(
        &self,
        ranks: &[&RankSnapshot],
        order: &RankOrder<'_>,
    ) -> Vec<OrderOutcome> {
        let (pool, dialect) = (&self.state.pool, self.state.dialect.as_ref());
        let timeout = order_timeout(order, ranks.len());
        join_all(ranks.iter().map(|it| it.client.order(pool, dialect, order, timeout))).await
    }
}
