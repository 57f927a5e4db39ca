//! Expert maps of lock-step groups: reads how popular each expert is, plans a better map, and changes all ranks
//! to it at one pass. Only the leader of the quorum plans.
//!
//! A change holds the group before the pass at which it takes place, and lets it go on once every rank has
//! confirmed that it is armed. So whatever dies in between, no pass begins with two maps; who leads next finds
//! the hold and finishes the change.

mod change;
mod group;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_coordination::expert_map::ExpertSetMap;
use bilberryloft_coordination::expert_map::passes_ahead;
use bilberryloft_daemon::control::ControlHandle;
use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_routing::document::Experts;
use bilberryloft_transport::clock::boot_ms;
use bilberryloft_transport::clock::monotonic_ms;
use futures_util::future::join_all;
use tokio::time::Instant;

use crate::dialect::ExpertCounts;
use crate::dialect::RankOrder;
use crate::dialect::RankReport;
use crate::expert_planner::change::ArmEnd;
use crate::expert_planner::change::Change;
use crate::expert_planner::group::Group;
use crate::expert_planner::group::Pending;
use crate::rank_link::OrderEnd;
use crate::rank_link::RankLink;
use crate::rank_link::short_order_limit;
use crate::state::RelayState;

/// Time between two looks at the ranks.
const LOOK_INTERVAL: Duration = Duration::from_millis(80);
/// Time between looks while ranks copy experts.
const COPY_LOOK_INTERVAL: Duration = Duration::from_millis(30);
/// Time for the orders that a leader has given to end.
const ORDERS_END: Duration = Duration::from_millis(100);
/// Gap between two looks after which this process has stood still and must believe nothing, in milliseconds.
const STOOD_STILL_MS: u64 = 900;
/// Time after which ranks that have not copied everything are no longer waited for.
const COPY_LIMIT: Duration = Duration::from_millis(4_000);
/// Versions of one term of a leader; two leaders never give the same version to different maps.
const VERSIONS_PER_TERM: u64 = 10_000;

/// Starts planning on the current runtime; it rests while this host does not lead.
pub fn spawn_planner(state: Arc<RelayState>, control: ControlHandle) {
    let settings = &state.daemon.settings;
    let election_ms = settings.control.as_ref().map_or(0, |it| it.election_ms);
    let planner = Planner {
        settle: Duration::from_millis(2 * election_ms) + ORDERS_END,
        state,
        control,
        links: BTreeMap::new(),
        groups: BTreeMap::new(),
        led_since: None,
        looked_at_ms: boot_ms(),
        version: 0,
    };
    tokio::spawn(planner.run());
}

struct Planner {
    state: Arc<RelayState>,
    /// Time for which a new leader changes no map: the one before it stops leading at the latest twice an election
    /// timeout after it last heard a quorum.
    settle: Duration,
    control: ControlHandle,
    links: BTreeMap<String, Arc<RankLink>>,
    groups: BTreeMap<String, Group>,
    led_since: Option<Instant>,
    looked_at_ms: u64,
    version: u64,
}

/// A rank as it was read in one look.
struct Seen {
    link: Arc<RankLink>,
    report: RankReport,
    counts: Option<ExpertCounts>,
}

impl Planner {
    async fn run(mut self) {
        loop {
            let is_copying = self.groups.values().any(|it| it.pending.is_some());
            let pause = if is_copying { COPY_LOOK_INTERVAL } else { LOOK_INTERVAL };
            tokio::time::sleep(pause).await;
            if !self.may_order() {
                continue;
            }
            self.look().await;
            // A look may last: a change waits for ranks that do not answer.
            self.looked_at_ms = boot_ms();
        }
    }

    /// Whether this host leads and has not stood still.
    fn may_order(&mut self) -> bool {
        let now_ms = boot_ms();
        let stood_still = now_ms - self.looked_at_ms > STOOD_STILL_MS;
        self.looked_at_ms = now_ms;
        if !self.control.status().leads || stood_still {
            self.groups.clear();
            self.led_since = None;
            return false;
        }
        self.led_since.get_or_insert(Instant::now());
        true
    }

    /// Whether this host has led for long enough to begin something new.
    fn has_settled(&self) -> bool {
        self.led_since.is_some_and(|it| it.elapsed() >= self.settle)
    }

    async fn look(&mut self) {
        let table = self.state.table();
        for service in table.services() {
            let Some(experts) = service.engine.and_then(|it| it.experts) else {
                continue;
            };
            let mut groups: BTreeMap<String, Vec<Seen>> = BTreeMap::new();
            let ranks = self.read_ranks(&service.name).await;
            self.tell_slow_ranks(&ranks);
            for seen in ranks {
                groups.entry(seen.report.group.clone()).or_default().push(seen);
            }
            for (name, mut ranks) in groups {
                ranks.sort_by_key(|it| it.report.rank);
                let key = format!("{}/{name}", service.name);
                self.look_at_group(&key, &ranks, experts).await;
            }
        }
    }

    async fn read_ranks(&mut self, service: &str) -> Vec<Seen> {
        let links = self.links_of(service);
        let (state, dialect) = (&self.state, self.state.dialect.as_ref());
        let reads = links.into_iter().map(|link| async move {
            match link.read(&state.pool, dialect).await {
                Ok((report, counts)) => Some(Seen { link, report, counts }),
                Err(error) => {
                    tracing::debug!(target_id = link.id, error, "a rank can't be read");
                    None
                }
            }
        });
        join_all(reads).await.into_iter().flatten().collect()
    }

    /// Tells this entry, and through it the others, which ranks are slow.
    fn tell_slow_ranks(&self, ranks: &[Seen]) {
        let slow = ranks.iter().filter(|it| it.report.is_slow());
        let slowness = slow.map(|it| (it.link.id.clone(), it.report.slowness)).collect();
        self.state.record_slow_ranks(&self.state.daemon.settings.daemon, slowness);
    }

    fn links_of(&mut self, service: &str) -> Vec<Arc<RankLink>> {
        let board = self.state.board.lock();
        let mut links: Vec<Arc<RankLink>> = Vec::new();
        for fact in board.eligible(service, monotonic_ms()) {
            let known = self.links.get(&fact.id).filter(|it| it.address == fact.address);
            let link = match known {
                Some(link) => link.clone(),
                None => {
                    let port = self.state.settings.agent_port;
                    let daemon = &self.state.daemon.settings.daemon;
                    let Some(link) = RankLink::new(&fact.id, &fact.address, port, daemon) else {
                        continue;
                    };
                    let link = Arc::new(link);
                    self.links.insert(fact.id.clone(), link.clone());
                    link
                }
            };
            // A target that has started again may still be known by its earlier name, too.
            if links.iter().all(|it| it.address != link.address) {
                links.push(link);
            }
        }
        links
    }

    async fn look_at_group(&mut self, key: &str, ranks: &[Seen], experts: Experts) {
        let Some(first) = ranks.first() else {
            return;
        };
        let epoch = first.report.epoch;
        let is_whole = ranks.len() == first.report.ranks
            && ranks.iter().enumerate().all(|(at, it)| it.report.rank == at)
            && ranks.iter().all(|it| it.report.epoch == epoch && it.report.is_open);
        if !is_whole {
            self.groups.remove(key);
            return;
        }
        if self.finish_held(key, ranks).await {
            return;
        }
        let group = self.groups.entry(key.to_string()).or_default();
        if !group.is_for(epoch, experts) {
            *group = Group::new(epoch, experts);
        }
        group.take_look(ranks, experts);
        if group.pending.is_some() {
            self.go_on(key, ranks).await;
        } else {
            self.plan(key, ranks, experts).await;
        }
    }

    /// Ends a hold that another planner, or an earlier life of this one, has left behind. A change that was
    /// begun goes forward: whoever else may still be at it does the same.
    async fn finish_held(&mut self, key: &str, ranks: &[Seen]) -> bool {
        let Some(holder) = ranks.iter().find(|it| it.report.held_step.is_some()) else {
            return false;
        };
        let change = Change {
            version: ranks[0].report.prepared.unwrap_or(0),
            step: holder.report.held_step.unwrap_or_default(),
            epoch: holder.report.epoch,
        };
        let same = ranks.iter().all(|it| it.report.prepared == Some(change.version));
        log_event!(warn, Event::ExpertMapResumed, group = key, ?change, same);
        if !same || self.arm_all(key, ranks, change).await != ArmEnd::Interrupted {
            self.let_go(&holder.link, change.step).await;
        }
        self.groups.remove(key);
        true
    }

    async fn plan(&mut self, key: &str, ranks: &[Seen], experts: Experts) {
        let map_version = ranks[0].report.map_version;
        let same = ranks.iter().all(|it| it.report.map_version == map_version);
        let Some(group) = self.groups.get_mut(key) else {
            return;
        };
        if !same || ranks.iter().any(|it| it.report.is_armed) {
            return;
        }
        if group.map_version != Some(map_version) {
            match read_map(&self.state, ranks, experts, map_version).await {
                Some(map) => {
                    group.map = map;
                    group.map_version = Some(map_version);
                }
                None => return,
            }
        }
        let Some(better) = group.better_map(ranks.len(), experts) else {
            return;
        };
        let (epoch, pass_ms) = (group.epoch, group.pass_ms);
        let version = self.next_version(ranks);
        log_event!(
            info,
            Event::ExpertMapPlanned,
            group = key,
            version,
            epoch,
            before = better.before,
            after = better.after,
            copies = better.copies,
            pass_ms
        );
        let map = better.map;
        let order = RankOrder::Prepare { version, epoch, map: &map };
        let ends = self.order_all(&ranks.iter().collect::<Vec<_>>(), &order).await;
        let refused = ends.iter().filter(|it| **it == OrderEnd::Conflict).count();
        if refused > 0 {
            let at = "prepare";
            log_event!(warn, Event::ExpertMapAbandoned, group = key, version, refused, at);
            return;
        }
        let taken: Vec<bool> = ends.iter().map(|it| *it == OrderEnd::Taken).collect();
        let unanswered = taken.iter().filter(|it| !**it).count();
        if let Some(group) = self.groups.get_mut(key) {
            group.pending =
                Some(Pending { version, map, since: Instant::now(), taken, unanswered });
        }
    }

    /// A version above all that this leader, those before it and the ranks have had.
    fn next_version(&mut self, ranks: &[Seen]) -> u64 {
        let term = self.control.status().term;
        let highest = ranks.iter().map(|it| it.report.prepared.unwrap_or(0)).max().unwrap_or(0);
        self.version = (self.version + 1).max(term * VERSIONS_PER_TERM).max(highest + 1);
        self.version
    }

    /// Repeats the order to copy at ranks that have not answered it; it is the same order, so that it does no
    /// harm when the first one is carried out, too.
    async fn prepare_again(&self, ranks: &[Seen], pending: &mut Pending, epoch: u64) {
        let order = RankOrder::Prepare { version: pending.version, epoch, map: &pending.map };
        let waiting: Vec<usize> = (0..ranks.len()).filter(|it| !pending.taken[*it]).collect();
        let asked: Vec<&Seen> = waiting.iter().map(|it| &ranks[*it]).collect();
        let ends = self.order_all(&asked, &order).await;
        for (rank, end) in waiting.into_iter().zip(ends) {
            // A refusal says that the first order has been carried out; the report will tell.
            pending.taken[rank] = end != OrderEnd::Unknown;
        }
    }

    /// Changes to a map once all ranks have copied what it needs.
    async fn go_on(&mut self, key: &str, ranks: &[Seen]) {
        let settled = self.has_settled();
        let Some(group) = self.groups.get_mut(key) else {
            return;
        };
        let Some(mut pending) = group.pending.take() else {
            return;
        };
        let (version, epoch, pass_ms) = (pending.version, group.epoch, group.pass_ms);
        self.prepare_again(ranks, &mut pending, epoch).await;
        let Some(group) = self.groups.get_mut(key) else {
            return;
        };
        let is_prepared = ranks.iter().all(|it| it.report.prepared == Some(version));
        if !is_prepared || !settled {
            if pending.since.elapsed() < COPY_LIMIT {
                group.pending = Some(pending);
            } else {
                log_event!(warn, Event::ExpertMapAbandoned, group = key, version, at = "copy");
            }
            return;
        }
        let copied_ms = pending.since.elapsed().as_millis() as u64;
        let seen_step = ranks.iter().filter_map(|it| it.counts.as_ref().map(|it| it.step)).max();
        let Some(seen_step) = seen_step else {
            return;
        };
        let order_ms = short_order_limit(ranks.len()).as_secs_f64() * 1_000.0;
        let ahead = passes_ahead(ranks.len(), pending.unanswered, order_ms, pass_ms);
        let change = Change { version, step: seen_step + ahead, epoch };
        if let Some(step) = self.switch(key, ranks, change).await {
            log_event!(
                info,
                Event::ExpertMapSwitched,
                group = key,
                version,
                step,
                ahead,
                copied_ms
            );
            if let Some(group) = self.groups.get_mut(key) {
                group.map = pending.map;
                group.map_version = Some(version);
            }
        }
    }
}

async fn read_map(
    state: &Arc<RelayState>,
    ranks: &[Seen],
    experts: Experts,
    version: u64,
) -> Option<Vec<ExpertSetMap>> {
    let dialect = state.dialect.as_ref();
    let reads = ranks.iter().map(|it| it.link.experts(&state.pool, dialect));
    let mut map = vec![vec![Vec::new(); ranks.len()]; experts.sets];
    for (rank, read) in join_all(reads).await.into_iter().enumerate() {
        let read = read.ok().filter(|it| it.version == version && it.sets.len() == experts.sets)?;
        for (set, held) in read.sets.into_iter().enumerate() {
            map[set][rank] = held;
        }
    }
    Some(map)
}
