//! Planner for the expert maps of lock-step groups: measures how often each expert is chosen, plans a better map, and
//! switches all ranks to it at the same forward pass. Only the leader of the quorum plans.
//!
//! A switch holds the group before the pass at which it takes effect, and releases it once every rank has confirmed
//! that it is armed. A planner that finds the hold of another completes the change, if the quorum's log says for which pass
//! it was meant. Otherwise, or if a rank refuses, the group is released only behind a barrier that shuts out late orders. So
//! no pass starts with two different maps, even if planners overlap.

mod change;
mod copies;
mod group;
mod held_steps;
mod rank_snapshot;
mod release;
mod schedule;
mod versions;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bilberryloft_coordination::expert_map::ExpertSetMap;
use bilberryloft_coordination::expert_map::VersionKind;
use bilberryloft_daemon::control::ControlHandle;
use bilberryloft_daemon::events::Event;
use bilberryloft_daemon::log_event;
use bilberryloft_routing::document::Experts;
use bilberryloft_transport::clock::boot_ms;
use bilberryloft_transport::clock::monotonic_ms;
use futures_util::future::join_all;
use tokio::time::Instant;

use crate::expert_planner::group::BetterMap;
use crate::expert_planner::group::Group;
use crate::expert_planner::held_steps::HeldSteps;
use crate::expert_planner::rank_snapshot::RankSnapshot;
use crate::expert_planner::rank_snapshot::highest_prepared;
use crate::expert_planner::rank_snapshot::is_whole_group;
use crate::expert_planner::versions::MapVersions;
use crate::ranks::client::RankClient;
use crate::state::RelayState;

/// Interval at which the ranks are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(80);
/// Interval at which the ranks are polled while they copy experts.
const COPY_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Time that is added to both intervals for each rank, as each read costs the planner's host processor time.
const POLL_INTERVAL_PER_RANK: Duration = Duration::from_micros(500);
/// Time between two checks whether orders may be sent above which this process counts as stalled and discards all that
/// it knows, in milliseconds.
const STALL_MS: u64 = 900;

/// Starts the planner on the current runtime; it is idle while this host is not the leader.
pub fn spawn_planner(state: Arc<RelayState>, control: ControlHandle) {
    let planner = Planner {
        state,
        control,
        clients: BTreeMap::new(),
        groups: BTreeMap::new(),
        last_check_ms: boot_ms(),
        versions: MapVersions::default(),
        held_steps: HeldSteps::default(),
        round_ms: 0.0,
    };
    tokio::spawn(planner.run());
}

/// State of the planner.
struct Planner {
    state: Arc<RelayState>,
    control: ControlHandle,
    clients: BTreeMap<String, Arc<RankClient>>,
    groups: BTreeMap<String, Group>,
    last_check_ms: u64,
    versions: MapVersions,
    held_steps: HeldSteps,
    /// Time of the latest round of orders that all ranks of a group answered, in milliseconds; 0 before the first one.
    round_ms: f64,
}

impl Planner {
    async fn run(mut self) {
        let mut status = self.control.status_changes();
        loop {
            if self.control.status().leads {
                tokio::time::sleep(self.poll_interval()).await;
            } else {
                self.discard_state();
                // The first poll comes at once, as a former leader may have left a group held.
                if status.wait_for(|it| it.leads).await.is_err() {
                    return;
                }
                self.last_check_ms = boot_ms();
            }
            if !self.may_send_orders() {
                continue;
            }
            self.poll().await;
            // A poll may take long, because a change waits for ranks that do not answer.
            self.last_check_ms = boot_ms();
        }
    }

    fn poll_interval(&self) -> Duration {
        let is_copying = self.groups.values().any(|it| it.pending.is_some());
        let pause = if is_copying { COPY_POLL_INTERVAL } else { POLL_INTERVAL };
        let ranks = u32::try_from(self.clients.len()).unwrap_or(u32::MAX);
        pause + POLL_INTERVAL_PER_RANK.saturating_mul(ranks)
    }

    /// Returns whether this host is the leader and has not stalled since the last check. Otherwise discards the state of
    /// all groups. It spares ranks useless orders; that maps stay equal doesn't rest on it, as the host may stall after
    /// any check.
    fn may_send_orders(&mut self) -> bool {
        let now_ms = boot_ms();
        let has_stalled = now_ms - self.last_check_ms > STALL_MS;
        self.last_check_ms = now_ms;
        let status = self.control.status();
        if !status.leads || has_stalled {
            self.discard_state();
            return false;
        }
        self.versions.set_term(status.term);
        true
    }

    /// Discards the state of all groups, which other planners may change.
    fn discard_state(&mut self) {
        self.groups.clear();
        self.versions.end_leadership();
    }

    /// Reads all ranks of all lock-step groups and plans or continues a change for each group.
    async fn poll(&mut self) {
        let routes = self.state.routes();
        let mut polled = BTreeSet::new();
        for service in routes.services() {
            let Some(experts) = service.engine.and_then(|it| it.experts) else {
                continue;
            };
            let mut groups: BTreeMap<String, Vec<RankSnapshot>> = BTreeMap::new();
            let clients = self.clients_of(&service.name);
            polled.extend(clients.iter().map(|it| it.id.clone()));
            let ranks = self.read_ranks(clients).await;
            self.report_slow_ranks(&ranks);
            if !self.may_send_orders() {
                return;
            }
            for snapshot in ranks {
                groups.entry(snapshot.report.group.clone()).or_default().push(snapshot);
            }
            for (name, mut ranks) in groups {
                ranks.sort_by_key(|it| it.report.rank);
                let key = format!("{}/{name}", service.name);
                self.poll_group(&key, &ranks, experts).await;
            }
        }
        // Ranks that have been replaced don't come back under the same name.
        self.clients.retain(|id, _| polled.contains(id));
    }

    async fn read_ranks(&self, clients: Vec<Arc<RankClient>>) -> Vec<RankSnapshot> {
        let (state, dialect) = (&self.state, self.state.dialect.as_ref());
        let reads = clients.into_iter().map(|client| async move {
            match client.read(&state.call_pool, dialect).await {
                Ok((report, choices)) => {
                    Some(RankSnapshot { client, read_at: Instant::now(), report, choices })
                }
                Err(error) => {
                    tracing::debug!(target_id = client.id, error, "failed to read a rank");
                    None
                }
            }
        });
        join_all(reads).await.into_iter().flatten().collect()
    }

    /// Records which ranks are slow at this entry, which reports it to the others.
    fn report_slow_ranks(&self, ranks: &[RankSnapshot]) {
        let slow = ranks.iter().filter(|it| it.report.is_slow());
        let slowness = slow.map(|it| (it.client.id.clone(), it.report.slowness)).collect();
        self.state.services.record_slow_ranks(&self.state.daemon.settings.daemon, slowness);
    }

    fn clients_of(&mut self, service: &str) -> Vec<Arc<RankClient>> {
        let targets = self.state.services.targets.lock();
        let mut clients: Vec<Arc<RankClient>> = Vec::new();
        for target in targets.eligible(service, monotonic_ms()) {
            let known = self.clients.get(&target.id).filter(|it| it.address == target.address);
            let client = match known {
                Some(client) => client.clone(),
                None => {
                    let port = self.state.settings.agent_port;
                    let daemon = &self.state.daemon.settings.daemon;
                    let Some(client) = RankClient::new(&target.id, &target.address, port, daemon)
                    else {
                        continue;
                    };
                    let client = Arc::new(client);
                    self.clients.insert(target.id.clone(), client.clone());
                    client
                }
            };
            // A restarted target may still be listed under its previous name, too.
            if clients.iter().all(|it| it.address != client.address) {
                clients.push(client);
            }
        }
        clients
    }

    async fn poll_group(&mut self, key: &str, ranks: &[RankSnapshot], experts: Experts) {
        let Some(first) = ranks.first() else {
            return;
        };
        if !is_whole_group(ranks) {
            self.groups.remove(key);
            return;
        }
        let epoch = first.report.epoch;
        if let Some(step) = ranks.iter().find_map(|it| it.report.held_step) {
            log_event!(warn, Event::ExpertMapResumed, group = key, step, epoch);
            self.groups.remove(key);
            self.release_group(key, ranks, experts).await;
            return;
        }
        let fresh = || Group::new(epoch, experts);
        let group = self.groups.entry(key.to_string()).or_insert_with(fresh);
        if !group.matches(epoch, experts) {
            *group = fresh();
        }
        group.update(ranks, experts);
        if group.pending.is_some() {
            self.continue_change(key, ranks, experts).await;
        } else {
            self.plan(key, ranks, experts).await;
        }
    }

    /// Plans a better map for a group whose ranks all use the same one, and orders the ranks to copy experts for it.
    async fn plan(&mut self, key: &str, ranks: &[RankSnapshot], experts: Experts) {
        let Some(better) = self.find_better_map(key, ranks, experts).await else {
            return;
        };
        let Some(group) = self.groups.get(key) else {
            return;
        };
        let (epoch, pass_ms) = (group.epoch, group.pass_ms);
        let Some(version) = self.versions.assign(VersionKind::Change, highest_prepared(ranks))
        else {
            log_event!(warn, Event::ExpertMapAbandoned, group = key, epoch, at = "version");
            return;
        };
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
        self.order_copies(key, ranks, version, better.map).await;
    }

    /// Returns a map that is worth a change, if all ranks use the same one and none is armed for another.
    async fn find_better_map(
        &mut self,
        key: &str,
        ranks: &[RankSnapshot],
        experts: Experts,
    ) -> Option<BetterMap> {
        let map_version = ranks[0].report.map_version;
        let same = ranks.iter().all(|it| it.report.map_version == map_version);
        if !same || ranks.iter().any(|it| it.report.is_armed) {
            return None;
        }
        let group = self.groups.get_mut(key)?;
        if group.map_version != Some(map_version) {
            group.map = read_map(&self.state, ranks, experts, map_version).await?;
            group.map_version = Some(map_version);
        }
        group.better_map(ranks.len(), experts)
    }
}

/// Reads the map in use from the ranks; returns `None` unless all answer with the given version.
async fn read_map(
    state: &Arc<RelayState>,
    ranks: &[RankSnapshot],
    experts: Experts,
    version: u64,
) -> Option<Vec<ExpertSetMap>> {
    let dialect = state.dialect.as_ref();
    let reads = ranks.iter().map(|it| it.client.experts(&state.call_pool, dialect));
    let mut map = vec![vec![Vec::new(); ranks.len()]; experts.sets];
    for (rank, read) in join_all(reads).await.into_iter().enumerate() {
        let read = read.ok().filter(|it| it.version == version && it.sets.len() == experts.sets)?;
        for (set, rank_experts) in read.sets.into_iter().enumerate() {
            map[set][rank] = rank_experts;
        }
    }
    Some(map)
}
