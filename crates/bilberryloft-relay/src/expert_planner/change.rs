//! Changing all ranks of a group to a map at one pass: hold, arm, go on.

use std::time::Duration;

use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_transport::clock::boot_ms;
use futures_util::future::join_all;
use tokio::time::Instant;

use crate::dialect::RankOrder;
use crate::expert_planner::Planner;
use crate::expert_planner::STOOD_STILL_MS;
use crate::expert_planner::Seen;
use crate::rank_link::OrderEnd;
use crate::rank_link::RankLink;
use crate::rank_link::order_limit;

/// Time for which the order to go on is repeated; after that, the next look finds the hold.
const GO_LIMIT: Duration = Duration::from_millis(3_000);
/// Tries to hold the group before a pass that has not begun.
const HOLDS_TRIED: usize = 10;

/// Rounds of orders between two looks whether the group still is the same.
const ROUNDS_BETWEEN_LOOKS: usize = 3;

/// A change of all ranks to a map at one pass.
#[derive(Clone, Copy, Debug)]
pub(super) struct Change {
    pub version: u64,
    pub step: u64,
    pub epoch: u64,
}

/// How the arming of all ranks ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ArmEnd {
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
    pub(super) async fn switch(&mut self, key: &str, ranks: &[Seen], first: Change) -> Option<u64> {
        let holder = &ranks[0].link;
        let change = self.hold(key, holder, first).await?;
        let end = self.arm_all(key, ranks, change).await;
        if end != ArmEnd::Interrupted {
            self.let_go(holder, change.step).await;
        }
        (end == ArmEnd::Armed).then_some(change.step)
    }

    /// Holds the group before the first pass that has not begun yet.
    async fn hold(&self, key: &str, holder: &RankLink, first: Change) -> Option<Change> {
        let dialect = self.state.dialect.as_ref();
        let mut change = first;
        for _ in 0..HOLDS_TRIED {
            let hold = RankOrder::Hold { step: change.step, epoch: change.epoch };
            let limit = order_limit(&hold, 1);
            match holder.order(&self.state.pool, dialect, &hold, limit).await {
                OrderEnd::Taken => return Some(change),
                // The pass has begun.
                OrderEnd::Conflict => change.step += 1,
                // The same once more: the rank may hold already.
                OrderEnd::Unknown => {}
            }
        }
        log_event!(warn, Event::ExpertMapAbandoned, group = key, ?change, at = "hold");
        self.let_go(holder, change.step).await;
        None
    }

    /// Arms all ranks while the group is held. A rank that does not answer may have been armed, or may be
    /// later, so it is asked until it answers; the change goes back only when a rank has refused.
    pub(super) async fn arm_all(&self, key: &str, ranks: &[Seen], change: Change) -> ArmEnd {
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
            return ArmEnd::Interrupted;
        }
        if refused.is_empty() {
            return ArmEnd::Armed;
        }
        let refused: Vec<&str> = refused.iter().map(|it| it.link.id.as_str()).collect();
        log_event!(warn, Event::ExpertMapAbandoned, group = key, ?change, at = "arm", ?refused);
        let disarm = RankOrder::Disarm { version };
        match self.order_until_answered(ranks, &disarm).await.0 {
            true => ArmEnd::Interrupted,
            false => ArmEnd::Disarmed,
        }
    }

    /// Gives an order to all ranks until each has answered. Returns whether some have not when this host must
    /// stop giving orders or the group has ended, and the ranks that refused.
    async fn order_until_answered<'a>(
        &self,
        ranks: &'a [Seen],
        order: &RankOrder<'_>,
    ) -> (bool, Vec<&'a Seen>) {
        let mut waiting: Vec<&Seen> = ranks.iter().collect();
        let mut refused = Vec::new();
        let mut last_ms = boot_ms();
        let mut round = 0_usize;
        loop {
            round += 1;
            let ends = self.order_all(&waiting, order).await;
            let mut rest = Vec::new();
            for (seen, end) in waiting.into_iter().zip(ends) {
                match end {
                    OrderEnd::Taken => {}
                    OrderEnd::Conflict => refused.push(seen),
                    OrderEnd::Unknown => rest.push(seen),
                }
            }
            waiting = rest;
            if waiting.is_empty() {
                return (false, refused);
            }
            let now_ms = boot_ms();
            let stood_still = now_ms - last_ms > STOOD_STILL_MS;
            last_ms = now_ms;
            // To read all ranks takes as long as to order them again.
            let looks = round.is_multiple_of(ROUNDS_BETWEEN_LOOKS);
            let has_ended = looks && self.has_ended(ranks).await;
            if stood_still || !self.control.status().leads || has_ended {
                return (true, refused);
            }
        }
    }

    /// Whether the group has broken or formed again, which undoes all that was prepared, armed or held.
    async fn has_ended(&self, ranks: &[Seen]) -> bool {
        let dialect = self.state.dialect.as_ref();
        let reads = ranks.iter().map(|it| it.link.read(&self.state.pool, dialect));
        let epoch = ranks[0].report.epoch;
        let reports = join_all(reads).await.into_iter().flatten();
        reports.into_iter().any(|(report, _)| !report.is_open || report.epoch != epoch)
    }

    /// Lets a group go on; the order is repeated until the rank has taken it.
    pub(super) async fn let_go(&self, holder: &RankLink, step: u64) {
        let until = Instant::now() + GO_LIMIT;
        let dialect = self.state.dialect.as_ref();
        let go = RankOrder::Go { step };
        let limit = order_limit(&go, 1);
        while Instant::now() < until && self.control.status().leads {
            let end = holder.order(&self.state.pool, dialect, &go, limit).await;
            if end != OrderEnd::Unknown {
                return;
            }
        }
    }

    /// Gives an order to some ranks at once.
    pub(super) async fn order_all(&self, ranks: &[&Seen], order: &RankOrder<'_>) -> Vec<OrderEnd> {
        let (pool, dialect) = (&self.state.pool, self.state.dialect.as_ref());
        let limit = order_limit(order, ranks.len());
        join_all(ranks.iter().map(|it| it.link.order(pool, dialect, order, limit))).await
    }
}
