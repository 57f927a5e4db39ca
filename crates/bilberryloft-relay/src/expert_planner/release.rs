//! Releases a group that another planner has held, or for which a rank has refused to be armed. Why no pass then begins
//! with two maps is said in `bilberryloft-coordination`, at `expert_map/hold.rs`.

use std::time::Duration;

use bilberryloft_coordination::expert_map::BarrierOrders;
use bilberryloft_coordination::expert_map::ExpertSetMap;
use bilberryloft_coordination::expert_map::RankMaps;
use bilberryloft_coordination::expert_map::VersionKind;
use bilberryloft_coordination::expert_map::barrier_orders;
use bilberryloft_coordination::expert_map::completable_version;
use bilberryloft_coordination::expert_map::may_release;
use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_routing::document::Experts;
use bilberryloft_state::expert_map_schedule::MapSchedule;
use futures_util::future::join_all;
use tokio::time::Instant;

use crate::dialect::RankOrder;
use crate::expert_planner::Planner;
use crate::expert_planner::rank_snapshot::RankSnapshot;
use crate::expert_planner::rank_snapshot::highest_prepared;
use crate::expert_planner::rank_snapshot::is_whole_group;
use crate::expert_planner::read_map;
use crate::ranks::client::OrderOutcome;
use crate::ranks::client::order_timeout;

/// Time for which a release is tried before the next poll goes on with it.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Pause between two readings of the ranks of a held group, which stands still meanwhile.
const READ_PAUSE: Duration = Duration::from_millis(5);

/// The version that shuts out all earlier orders to arm, with the map in use, so that no rank copies experts for it.
struct Barrier {
    version: u64,
    map_version: u64,
    map: Vec<ExpertSetMap>,
}

/// Release of one held group.
struct Release<'a> {
    key: &'a str,
    epoch: u64,
    experts: Experts,
    /// Latest barrier; `None` before the first one, and after a rank has refused one.
    barrier: Option<Barrier>,
    /// Whether a rank has refused to be armed for the change that another planner has begun.
    is_refused: bool,
}

impl Planner {
    /// Reads and orders the ranks of a held group until it is released, has ended, or the time is up.
    pub(super) async fn release_group(
        &mut self,
        key: &str,
        ranks: &[RankSnapshot],
        experts: Experts,
    ) {
        let clients: Vec<_> = ranks.iter().map(|it| it.client.clone()).collect();
        let epoch = ranks[0].report.epoch;
        let mut release = Release { key, epoch, experts, barrier: None, is_refused: false };
        // A barrier is worth a second reading: some ranks may have been read before they got the former leader's orders.
        if may_need_no_barrier(ranks) {
            self.release_once(&mut release, ranks).await;
        }
        let until = Instant::now() + RELEASE_TIMEOUT;
        while Instant::now() < until && self.may_send_orders() {
            let mut ranks = self.read_ranks(clients.clone()).await;
            ranks.sort_by_key(|it| it.report.rank);
            if ranks.iter().any(|it| !it.report.is_open || it.report.epoch != release.epoch) {
                return;
            }
            if is_whole_group(&ranks) {
                if ranks.iter().all(|it| it.report.held_step.is_none()) {
                    return;
                }
                self.release_once(&mut release, &ranks).await;
            }
            tokio::time::sleep(READ_PAUSE).await;
        }
    }

    /// Sends one round of orders to the ranks of a held group.
    async fn release_once(&mut self, release: &mut Release<'_>, ranks: &[RankSnapshot]) {
        let maps: Vec<RankMaps> = ranks.iter().map(RankSnapshot::maps).collect();
        if may_release(&maps) {
            let armed = maps.iter().filter(|it| it.is_armed).count();
            return self.start_held_passes(release, ranks, armed, maps[0].prepared).await;
        }
        if !release.is_refused
            && let Some(schedule) = self.unfinished_change(release.key, ranks, &maps).await
        {
            return self.complete_change(release, schedule, ranks).await;
        }
        if !self.renew_barrier(release, ranks).await {
            return;
        }
        let Some(barrier) = release.barrier.as_ref() else {
            return;
        };
        let orders = barrier_orders(&maps, barrier.version);
        if self.send_barrier(release.epoch, barrier, ranks, &orders).await {
            // A rank has had a higher version than it shows.
            release.barrier = None;
        }
    }

    /// Arms the ranks that are not armed yet for a change that another planner has begun, and starts the pass once all are.
    async fn complete_change(
        &self,
        release: &mut Release<'_>,
        schedule: MapSchedule,
        ranks: &[RankSnapshot],
    ) {
        let MapSchedule { epoch, version, step } = schedule;
        let arm = RankOrder::Arm { version, step, epoch };
        let unarmed: Vec<&RankSnapshot> = ranks.iter().filter(|it| !it.report.is_armed).collect();
        let outcomes = self.order_all(&unarmed, &arm).await;
        release.is_refused = outcomes.contains(&OrderOutcome::Conflict);
        log_event!(
            warn,
            Event::ExpertMapCompleted,
            group = release.key,
            version,
            step,
            epoch,
            term = self.versions.term(),
            unarmed = unarmed.len(),
            is_refused = release.is_refused
        );
        // The others have stayed armed: they are disarmed only once a rank can't be armed for the version any more.
        if outcomes.iter().all(|it| *it == OrderOutcome::Accepted) {
            self.start_held_passes(release, ranks, ranks.len(), Some(version)).await;
        }
    }

    /// Assigns a barrier above all versions that the ranks show, unless the latest one still is; returns whether there is
    /// one.
    async fn renew_barrier(&mut self, release: &mut Release<'_>, ranks: &[RankSnapshot]) -> bool {
        let map_version = ranks[0].report.map_version;
        if ranks.iter().any(|it| it.report.map_version != map_version) {
            return false;
        }
        let highest = highest_prepared(ranks);
        let is_current = |it: &Barrier| it.version >= highest && it.map_version == map_version;
        if release.barrier.as_ref().is_some_and(is_current) {
            return true;
        }
        let Some(map) = read_map(&self.state, ranks, release.experts, map_version).await else {
            return false;
        };
        let version = self.versions.assign(VersionKind::Barrier, highest);
        release.barrier = version.map(|version| Barrier { version, map_version, map });
        release.barrier.is_some()
    }

    /// Sends the barrier to ranks and disarms others; returns whether a rank refused the barrier.
    async fn send_barrier(
        &self,
        epoch: u64,
        barrier: &Barrier,
        ranks: &[RankSnapshot],
        orders: &BarrierOrders,
    ) -> bool {
        let (pool, dialect) = (&self.state.call_pool, self.state.dialect.as_ref());
        let unprepared: Vec<&RankSnapshot> = orders.prepare.iter().map(|it| &ranks[*it]).collect();
        let disarms = orders.disarm.iter().map(|it| async move {
            let order = RankOrder::Disarm { version: it.version, epoch };
            let timeout = order_timeout(&order, orders.disarm.len());
            ranks[it.rank].client.order(pool, dialect, &order, timeout).await
        });
        let prepares = self.prepare_all(&unprepared, barrier.version, epoch, &barrier.map);
        // What a disarm led to shows in the next reading.
        let (prepared, _) = tokio::join!(prepares, join_all(disarms));
        prepared.contains(&OrderOutcome::Conflict)
    }

    /// Orders each rank that holds the group to start the pass; `armed` ranks switch to the version `prepared` at it.
    async fn start_held_passes(
        &self,
        release: &Release<'_>,
        ranks: &[RankSnapshot],
        armed: usize,
        prepared: Option<u64>,
    ) {
        let (pool, dialect) = (&self.state.call_pool, self.state.dialect.as_ref());
        for holder in ranks {
            let Some(step) = holder.report.held_step else {
                continue;
            };
            let go = RankOrder::Go { step, epoch: release.epoch };
            let timeout = order_timeout(&go, 1);
            let outcome = holder.client.order(pool, dialect, &go, timeout).await;
            log_event!(
                warn,
                Event::ExpertMapReleased,
                group = release.key,
                step,
                holder = holder.client.id,
                epoch = release.epoch,
                term = self.versions.term(),
                armed,
                prepared,
                ?outcome
            );
        }
    }
}

/// Returns whether a group is held and may be released, or its change completed, as far as a reading shows.
fn may_need_no_barrier(ranks: &[RankSnapshot]) -> bool {
    let maps: Vec<RankMaps> = ranks.iter().map(RankSnapshot::maps).collect();
    let is_held = ranks.iter().any(|it| it.report.held_step.is_some());
    is_held && (may_release(&maps) || completable_version(&maps).is_some())
}
