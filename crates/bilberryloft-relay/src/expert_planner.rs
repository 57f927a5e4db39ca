//! Expert maps of lock-step groups: reads how popular each expert is, plans a better map, and changes all ranks
//! to it at one pass. Only the leader of the quorum plans.
//!
//! A change holds the group before the pass at which it takes place, and lets it go on once every rank has
//! confirmed that it is armed. So whatever dies in between, no pass begins with two maps; who leads next finds
//! the hold and finishes the change.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_coordination::expert_map::Popularity;
use bilberryloft_coordination::expert_map::Reach;
use bilberryloft_coordination::expert_map::SetMap;
use bilberryloft_coordination::expert_map::copies_needed;
use bilberryloft_coordination::expert_map::improve;
use bilberryloft_coordination::expert_map::skew;
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
use crate::rank_link::OrderEnd;
use crate::rank_link::RankLink;
use crate::state::RelayState;

/// Time between two looks at the ranks.
const LOOK_INTERVAL: Duration = Duration::from_millis(80);
/// Time between looks while ranks copy experts.
const COPY_LOOK_INTERVAL: Duration = Duration::from_millis(30);
/// Time for which a new leader changes no map, so that the orders of the one before it have ended: that one
/// stops leading at the latest twice an election timeout after it last heard a quorum.
const SETTLE: Duration = Duration::from_millis(800);
/// Gap between two looks after which this process has stood still and must believe nothing, in milliseconds.
const STOOD_STILL_MS: u64 = 900;
/// Half-life of the counts of chosen experts, in milliseconds.
const POPULARITY_HALF_LIFE_MS: u64 = 500;
/// Skew of the latest look over that of the estimate from which demand has shifted, and the estimate begins
/// anew.
const SHIFT_SKEW: f64 = 0.45;
/// Choices that an estimate must rest on.
const CHOICES_MIN: f64 = 20_000.0;
/// Time that a rank may spend on copying for one change, in milliseconds: passes take longer meanwhile. One
/// expert may always be copied.
const COPY_MAX_MS: f64 = 120.0;
/// Slowness from which a rank gets less to do; smaller differences are noise.
const SLOW_FROM: f64 = 1.25;
/// Gain in skew of a set for which one more expert is copied, for each millisecond that the copy takes.
const GAIN_PER_COPY_MS: f64 = 0.000_25;
/// Gain in mean skew for which a change is made when passes take [`PASS_BUSY_MS`]; shorter ones hurt nobody,
/// so that more must be gained.
const GAIN_PER_CHANGE: f64 = 0.14;
/// Time of a pass at which pauses of streams come near their usual objective, in milliseconds.
const PASS_BUSY_MS: f64 = 70.0;
/// Bounds of the factor by which the length of passes changes what a change must gain.
const PATIENCE: std::ops::RangeInclusive<f64> = 0.5..=2.5;
/// Time after which ranks that have not copied everything are no longer waited for.
const COPY_LIMIT: Duration = Duration::from_millis(4_000);
/// Passes between the last one that was seen and the one at which a change takes place.
const STEPS_AHEAD: u64 = 1;
/// Time for which the order to go on is repeated; after that, the next look finds the hold.
const GO_LIMIT: Duration = Duration::from_millis(3_000);
/// Passes over which their length is measured.
const PASSES_TIMED: u64 = 8;
/// Tries to hold the group before a pass that has not begun.
const HOLDS_TRIED: usize = 10;
/// Versions of one term of a leader; two leaders never give the same version to different maps.
const VERSIONS_PER_TERM: u64 = 10_000;

/// Starts planning on the current runtime; it rests while this host does not lead.
pub fn spawn_planner(state: Arc<RelayState>, control: ControlHandle) {
    let planner = Planner {
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
    control: ControlHandle,
    links: BTreeMap<String, Arc<RankLink>>,
    groups: BTreeMap<String, Group>,
    led_since: Option<Instant>,
    looked_at_ms: u64,
    version: u64,
}

/// A change of all ranks to a map at one pass.
#[derive(Clone, Copy, Debug)]
struct Change {
    version: u64,
    step: u64,
    epoch: u64,
}

/// How the arming of all ranks ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ArmEnd {
    /// Every rank is armed.
    Armed,
    /// No rank is armed.
    Disarmed,
    /// This host must stop giving orders, or the group has ended; the hold stays for whoever leads next.
    Interrupted,
}

/// A map that ranks are copying.
struct Pending {
    version: u64,
    map: Vec<SetMap>,
    since: Instant,
    /// Ranks that have taken the order to copy.
    taken: Vec<bool>,
}

#[derive(Default)]
struct Group {
    epoch: u64,
    map_version: Option<u64>,
    map: Vec<SetMap>,
    popularity: Vec<Popularity>,
    counts: BTreeMap<usize, Vec<u64>>,
    pending: Option<Pending>,
    /// How many times as long as usual each rank takes.
    slowness: Vec<f64>,
    /// Length of the latest passes in milliseconds; 0 before it is known.
    pass_ms: f64,
    timed_from: Option<(Instant, u64)>,
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
        self.led_since.is_some_and(|it| it.elapsed() >= SETTLE)
    }

    async fn look(&mut self) {
        let table = self.state.table();
        for service in table.services() {
            let Some(experts) = service.engine.and_then(|it| it.experts) else {
                continue;
            };
            let mut groups: BTreeMap<String, Vec<Seen>> = BTreeMap::new();
            for seen in self.read_ranks(&service.name).await {
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

    fn links_of(&mut self, service: &str) -> Vec<Arc<RankLink>> {
        let board = self.state.board.lock();
        let mut links: Vec<Arc<RankLink>> = Vec::new();
        for fact in board.present(service, monotonic_ms()) {
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
        if group.epoch != epoch || group.popularity.len() != experts.sets {
            *group = Group::new(epoch, experts);
        }
        group.slowness = ranks.iter().map(|it| slowness_of(&it.report)).collect();
        group.count(ranks, experts);
        group.time_passes(ranks);
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
        let Some((map, before, after, copies)) = group.better_map(ranks.len(), experts) else {
            return;
        };
        let term = self.control.status().term;
        let highest = ranks.iter().map(|it| it.report.prepared.unwrap_or(0)).max().unwrap_or(0);
        self.version = (self.version + 1).max(term * VERSIONS_PER_TERM).max(highest + 1);
        let (version, epoch, pass_ms) = (self.version, group.epoch, group.pass_ms);
        log_event!(
            info,
            Event::ExpertMapPlanned,
            group = key,
            version,
            epoch,
            before,
            after,
            copies,
            pass_ms
        );
        let order = RankOrder::Prepare { version, epoch, map: &map };
        let ends = self.order_all(ranks, &order).await;
        let refused = ends.iter().filter(|it| **it == OrderEnd::Conflict).count();
        if refused > 0 {
            let at = "prepare";
            log_event!(warn, Event::ExpertMapAbandoned, group = key, version, refused, at);
            return;
        }
        let taken = ends.iter().map(|it| *it == OrderEnd::Taken).collect();
        if let Some(group) = self.groups.get_mut(key) {
            group.pending = Some(Pending { version, map, since: Instant::now(), taken });
        }
    }

    /// Repeats the order to copy at ranks that have not answered it; it is the same order, so that it does no
    /// harm when the first one is carried out, too.
    async fn prepare_again(&self, ranks: &[Seen], pending: &mut Pending, epoch: u64) {
        let order = RankOrder::Prepare { version: pending.version, epoch, map: &pending.map };
        let dialect = self.state.dialect.as_ref();
        let waiting: Vec<usize> = (0..ranks.len()).filter(|it| !pending.taken[*it]).collect();
        let orders =
            waiting.iter().map(|it| ranks[*it].link.order(&self.state.pool, dialect, &order));
        let ends = join_all(orders).await;
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
        let (version, epoch) = (pending.version, group.epoch);
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
        let change = Change { version, step: seen_step + STEPS_AHEAD, epoch };
        if let Some(step) = self.switch(key, ranks, change).await {
            log_event!(info, Event::ExpertMapSwitched, group = key, version, step, copied_ms);
            if let Some(group) = self.groups.get_mut(key) {
                group.map = pending.map;
                group.map_version = Some(version);
            }
        }
    }

    /// Holds the group before a pass, arms all ranks for it, and lets the group go on. Returns the pass at
    /// which the map changed.
    async fn switch(&mut self, key: &str, ranks: &[Seen], first: Change) -> Option<u64> {
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
            match holder.order(&self.state.pool, dialect, &hold).await {
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
    async fn arm_all(&self, key: &str, ranks: &[Seen], change: Change) -> ArmEnd {
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
        loop {
            let dialect = self.state.dialect.as_ref();
            let orders = waiting.iter().map(|it| it.link.order(&self.state.pool, dialect, order));
            let ends = join_all(orders).await;
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
            if stood_still || !self.control.status().leads || self.has_ended(ranks).await {
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
    async fn let_go(&self, holder: &RankLink, step: u64) {
        let until = Instant::now() + GO_LIMIT;
        let dialect = self.state.dialect.as_ref();
        while Instant::now() < until && self.control.status().leads {
            let end = holder.order(&self.state.pool, dialect, &RankOrder::Go { step }).await;
            if end != OrderEnd::Unknown {
                return;
            }
        }
    }

    async fn order_all(&self, ranks: &[Seen], order: &RankOrder<'_>) -> Vec<OrderEnd> {
        let dialect = self.state.dialect.as_ref();
        let orders = ranks.iter().map(|it| it.link.order(&self.state.pool, dialect, order));
        join_all(orders).await
    }
}

fn slowness_of(report: &RankReport) -> f64 {
    if report.slowness >= SLOW_FROM { report.slowness } else { 1.0 }
}

/// Experts of all sets that one change may bring to a rank.
fn new_per_rank(experts: Experts) -> usize {
    ((COPY_MAX_MS / experts.copy_ms.max(1.0)) as usize).max(1)
}

async fn read_map(
    state: &Arc<RelayState>,
    ranks: &[Seen],
    experts: Experts,
    version: u64,
) -> Option<Vec<SetMap>> {
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

impl Group {
    fn new(epoch: u64, experts: Experts) -> Group {
        let estimate = Popularity::new(experts.experts, POPULARITY_HALF_LIFE_MS);
        Group { epoch, popularity: vec![estimate; experts.sets], ..Group::default() }
    }

    /// Adds what was chosen since the last look.
    fn count(&mut self, ranks: &[Seen], experts: Experts) {
        let size = experts.sets * experts.experts;
        let mut chosen = vec![0_u64; size];
        for seen in ranks {
            let Some(counts) = seen.counts.as_ref().filter(|it| it.counts.len() == size) else {
                continue;
            };
            if let Some(before) = self.counts.get(&seen.report.rank) {
                for (at, count) in counts.counts.iter().enumerate() {
                    chosen[at] += count.saturating_sub(before[at]);
                }
            }
            self.counts.insert(seen.report.rank, counts.counts.clone());
        }
        if self.has_shifted(&chosen, experts) {
            let fresh = Popularity::new(experts.experts, POPULARITY_HALF_LIFE_MS);
            self.popularity = vec![fresh; experts.sets];
        }
        let now_ms = monotonic_ms();
        for (popularity, chosen) in self.popularity.iter_mut().zip(chosen.chunks(experts.experts)) {
            popularity.add(chosen, now_ms);
        }
    }

    /// Whether the latest choices fit the map in use much worse than those before.
    fn has_shifted(&self, chosen: &[u64], experts: Experts) -> bool {
        if self.map.len() != experts.sets || self.popularity.iter().any(|it| it.weight() < 1.0) {
            return false;
        }
        let mut rise = 0.0;
        for ((map, popularity), chosen) in
            self.map.iter().zip(&self.popularity).zip(chosen.chunks(experts.experts))
        {
            let latest: Vec<f64> = chosen.iter().map(|it| *it as f64).collect();
            rise += skew(map, &latest, &self.slowness)
                - skew(map, &popularity.shares(), &self.slowness);
        }
        rise / experts.sets as f64 > SHIFT_SKEW
    }

    /// A map that pays, with the mean skew before and after and the experts to copy.
    fn better_map(&self, ranks: usize, experts: Experts) -> Option<(Vec<SetMap>, f64, f64, usize)> {
        let shares: Vec<Vec<f64>> = self.popularity.iter().map(Popularity::shares).collect();
        if self.popularity.iter().any(|it| it.weight() < CHOICES_MIN) {
            return None;
        }
        let skews: Vec<f64> =
            self.map.iter().zip(&shares).map(|(map, it)| skew(map, it, &self.slowness)).collect();
        let mut order: Vec<usize> = (0..experts.sets).collect();
        order.sort_by(|a, b| skews[*b].total_cmp(&skews[*a]));
        let reach = Reach {
            slots: experts.slots,
            new_max: experts.new_max,
            gain_min: GAIN_PER_COPY_MS * experts.copy_ms * self.patience(),
        };
        let mut allowance = vec![new_per_rank(experts); ranks];
        let mut map = self.map.clone();
        for set in order {
            map[set] = improve(&self.map[set], &shares[set], &self.slowness, reach, &mut allowance);
        }
        let mean = |map: &[SetMap]| {
            let skews = map.iter().zip(&shares).map(|(map, it)| skew(map, it, &self.slowness));
            skews.sum::<f64>() / experts.sets as f64
        };
        let (before, after) = (mean(&self.map), mean(&map));
        let copies = self.map.iter().zip(&map).map(|(from, to)| copies_needed(from, to)).sum();
        (before - after >= self.gain_asked()).then_some((map, before, after, copies))
    }

    fn gain_asked(&self) -> f64 {
        GAIN_PER_CHANGE * self.patience()
    }

    /// How much more than usual a change must gain: short passes hurt nobody, long ones everyone.
    fn patience(&self) -> f64 {
        let relative = PASS_BUSY_MS / self.pass_ms.max(1.0);
        (relative * relative).clamp(*PATIENCE.start(), *PATIENCE.end())
    }

    /// Follows the length of passes by their numbers and the time between two looks.
    fn time_passes(&mut self, ranks: &[Seen]) {
        let step = ranks.iter().filter_map(|it| it.counts.as_ref().map(|it| it.step)).max();
        let (Some(step), now) = (step, Instant::now()) else {
            return;
        };
        let Some((since, first)) = self.timed_from else {
            self.timed_from = Some((now, step));
            return;
        };
        if step >= first + PASSES_TIMED {
            let passed_ms = (now - since).as_secs_f64() * 1_000.0;
            self.pass_ms = passed_ms / (step - first) as f64;
            self.timed_from = Some((now, step));
        }
    }
}
