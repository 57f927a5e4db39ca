//! Hosts around the quorum: their reports to the leader, the changes of members that it plans, and replacements.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bilberryloft_coordination::member_planner::MemberPlanner;
use bilberryloft_coordination::raft::Raft;
use bilberryloft_coordination::raft::Role;

use super::Cluster;
use super::Setup;

/// Time between two rounds of reports of all hosts in a calm period, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 50;

/// Quorum whose leader replaces members by itself.
pub struct Hosts {
    /// The members.
    pub cluster: Cluster,
    /// Planner of each host that leads, with its term.
    planners: BTreeMap<u32, (u64, MemberPlanner)>,
    voters_wanted: usize,
    /// Whether a stopping host waits until the leader lets it go.
    waits: bool,
    leaving: BTreeSet<u32>,
    gone: BTreeSet<u32>,
}

impl Hosts {
    /// Starts a quorum that consists of all members of the setup.
    pub fn start(setup: Setup, seed: u64, waits: bool) -> Hosts {
        Hosts {
            cluster: Cluster::new(setup, seed),
            planners: BTreeMap::new(),
            voters_wanted: setup.members as usize,
            waits,
            leaving: BTreeSet::new(),
            gone: BTreeSet::new(),
        }
    }

    /// Returns the hosts whose processes run.
    pub fn running(&self) -> Vec<u32> {
        self.cluster.running()
    }

    /// Returns the members that vote according to the leader.
    pub fn voters(&self) -> Vec<u32> {
        let leader = self.cluster.leader().and_then(|it| self.cluster.raft(it));
        leader.map_or(Vec::new(), |it| it.members().voters.keys().copied().collect())
    }

    /// Returns whether a host has stopped for good.
    pub fn is_gone(&self, host: u32) -> bool {
        self.gone.contains(&host)
    }

    /// Returns whether a host is stopping.
    pub fn is_leaving(&self, host: u32) -> bool {
        self.leaving.contains(&host)
    }

    /// Stops a host for good, as planned.
    pub fn stop(&mut self, host: u32) {
        if self.waits {
            self.leaving.insert(host);
        } else {
            self.end(host);
        }
    }

    /// Ends the process of a host for good.
    pub fn end(&mut self, host: u32) {
        self.cluster.crash(host);
        self.leaving.remove(&host);
        self.gone.insert(host);
    }

    /// Delivers a report of a host to the leader, and the leader's answer.
    pub fn report(&mut self, host: u32) {
        let Some(leader) = self.cluster.leader() else {
            return;
        };
        let is_cut = self.cluster.cut.contains(&(host, leader))
            || self.cluster.cut.contains(&(leader, host));
        if is_cut || self.cluster.raft(host).is_none() {
            return;
        }
        self.plan(leader);
        let now_ms = self.cluster.clock_of(leader);
        let is_leaving = self.leaving.contains(&host);
        let raft = self.cluster.members[&leader].raft.as_ref().unwrap();
        let (_, planner) = self.planners.get_mut(&leader).unwrap();
        let address = format!("member-{host}");
        if !is_leaving {
            return planner.note_alive(host, address, now_ms);
        }
        planner.note_leaving(host, address, now_ms);
        let (members, index) = raft.log().members();
        if index <= raft.commit_index() && planner.may_stop(host, members, now_ms) {
            self.end(host);
        }
    }

    /// Lets each leader propose the change of members that it has planned.
    pub fn plan_all(&mut self) {
        let leads =
            |it: &u32| self.cluster.raft(*it).is_some_and(|raft| raft.role() == Role::Leader);
        let leaders: Vec<u32> = self.running().into_iter().filter(leads).collect();
        leaders.into_iter().for_each(|it| self.plan(it));
    }

    fn plan(&mut self, leader: u32) {
        let raft = self.cluster.members[&leader].raft.as_ref().unwrap();
        let now_ms = raft.now_ms();
        let is_current = self.planners.get(&leader).is_some_and(|it| it.0 == raft.term());
        if !is_current {
            let planner = self.start_term(leader, raft, now_ms);
            self.planners.insert(leader, (raft.term(), planner));
        }
        let (_, planner) = &self.planners[&leader];
        let raft = self.cluster.members[&leader].raft.as_ref().unwrap();
        let next = planner.next_members(raft.members(), |it| raft.is_in_sync(it), now_ms);
        if let Some(next) = next {
            self.cluster.propose_members(leader, next);
        }
    }

    fn start_term(&self, leader: u32, raft: &Raft, now_ms: u64) -> MemberPlanner {
        let mut planner = MemberPlanner::new(leader, self.voters_wanted);
        planner.start_term(raft.members(), raft.heard_leader(), now_ms);
        planner
    }

    /// Advances the time without faults: messages and writes take less than 10 ms, all hosts report.
    pub fn settle(&mut self, time_ms: u64) {
        let until_ms = self.cluster.now_ms + time_ms;
        let mut reports_ms = self.cluster.now_ms;
        while self.cluster.now_ms < until_ms {
            self.cluster.settle(10);
            self.plan_all();
            if self.cluster.now_ms >= reports_ms {
                reports_ms += REPORT_INTERVAL_MS;
                self.running().into_iter().for_each(|it| self.report(it));
            }
        }
    }

    /// Checks that the running members have a leader that holds all that was committed, and can commit more.
    pub fn check_service(&mut self) {
        let Some(leader) = self.cluster.leader() else {
            return self.cluster.record_violation("no leader".to_string());
        };
        let last = self.cluster.committed.last_key_value().map_or(0, |(index, _)| *index);
        let applied = self.cluster.members[&leader].applied_index;
        if applied < last {
            let text = format!("leader {leader} has applied {applied} of {last} committed entries");
            self.cluster.record_violation(text);
        }
        let before = self.cluster.committed_count();
        self.cluster.propose(leader);
        self.settle(1_000);
        if self.cluster.committed_count() <= before {
            self.cluster.record_violation("a proposal is not committed".to_string());
        }
    }
}
