//! A quorum in one process with a faulty network and faulty disks, and checks of the invariants of Raft.
#![allow(clippy::unwrap_used, dead_code)]

mod checks;
mod disk;
pub mod hosts;
mod losses;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bilberryloft_coordination::raft::InitialState;
use bilberryloft_coordination::raft::Message;
use bilberryloft_coordination::raft::Options;
use bilberryloft_coordination::raft::Outbound;
use bilberryloft_coordination::raft::Raft;
use bilberryloft_coordination::raft::Role;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::wal::Payload;
use bilberryloft_state::wal::WalRecord;

use disk::Disk;

/// Setup of a cluster and the faults that may occur in it.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Number of members.
    pub members: u32,
    /// Options of every member.
    pub options: Options,
    /// Whether records are reported as durable before they are.
    pub skips_sync: bool,
    /// Whether members may lose their disks.
    pub loses_disks: bool,
    /// Seed of all members, if they have the same one.
    pub equal_seed: Option<u64>,
    /// Whether members are told who the first members are only at the first start of all, and record it durably then.
    pub forgets_members: bool,
    /// Number of members, from the first on, that run an earlier version, which confirms no recovery.
    pub earlier_version: u32,
    /// Whether a member that starts with an empty disk is told that this is the first start, each time.
    pub founds_again: bool,
}

impl Default for Setup {
    fn default() -> Self {
        let options = Options { heartbeat_ms: 20, election_ms: 100, ..Options::default() };
        Setup {
            members: 3,
            options,
            skips_sync: false,
            loses_disks: true,
            equal_seed: None,
            forgets_members: false,
            earlier_version: 0,
            founds_again: false,
        }
    }
}

/// Pending write of a disk, with the messages to send after it.
enum Job {
    Append { number: u64, records: Vec<WalRecord>, messages: Vec<Outbound> },
    Replace { number: u64, disk: Disk, messages: Vec<Outbound> },
}

struct Member {
    raft: Option<Raft>,
    disk: Disk,
    jobs: Vec<Job>,
    applied_index: u64,
    clock_skew_ms: u64,
}

/// The quorum, its network, and the observations that the checks need.
pub struct Cluster {
    setup: Setup,
    members: BTreeMap<u32, Member>,
    network: Vec<(u32, Outbound)>,
    /// Links that are cut, as sender and receiver.
    cut: BTreeSet<(u32, u32)>,
    /// Members that have lost their disks, including those that have recovered since.
    lost_disks: BTreeSet<u32>,
    /// Members that stand still.
    frozen: BTreeSet<u32>,
    now_ms: u64,
    next_command: u64,
    next_ticket: u64,
    /// Term and content of each committed entry, by index.
    committed: BTreeMap<u64, (u64, Payload)>,
    /// Leader of each term.
    leaders: BTreeMap<u64, u32>,
    /// Index committed when each pending read was requested, by ticket.
    reads: BTreeMap<u64, u64>,
    seed: u64,
    /// Member that lost its disk last.
    lost_disk: Option<u32>,
    /// Number of confirmed reads.
    pub reads_done: u64,
    /// First violation of an invariant, if any.
    pub violation: Option<String>,
}

impl Cluster {
    pub fn new(setup: Setup, seed: u64) -> Cluster {
        let mut cluster = Cluster {
            setup,
            members: BTreeMap::new(),
            network: Vec::new(),
            cut: BTreeSet::new(),
            lost_disks: BTreeSet::new(),
            frozen: BTreeSet::new(),
            now_ms: 0,
            next_command: 0,
            next_ticket: 0,
            committed: BTreeMap::new(),
            leaders: BTreeMap::new(),
            reads: BTreeMap::new(),
            seed,
            lost_disk: None,
            reads_done: 0,
            violation: None,
        };
        for member in 1..=setup.members {
            let disk = Disk::default();
            let state =
                Member { raft: None, disk, jobs: Vec::new(), applied_index: 0, clock_skew_ms: 0 };
            cluster.members.insert(member, state);
            cluster.start(member);
        }
        cluster
    }

    fn initial_members(&self) -> MemberSet {
        MemberSet::of_voters(
            (1..=self.setup.members).map(|it| (it, format!("member-{it}"))).collect(),
        )
    }

    fn record_violation(&mut self, text: String) {
        self.violation.get_or_insert(text);
    }

    pub fn start(&mut self, member: u32) {
        self.seed += 1;
        let initial = self.initial_members();
        let (mut options, now_ms) = (self.setup.options, self.now_ms);
        options.confirm_recovery &= member > self.setup.earlier_version;
        let seed = self.setup.equal_seed.unwrap_or(self.seed);
        let state = self.members.get_mut(&member).unwrap();
        if state.raft.is_some() {
            return;
        }
        let is_empty = state.disk.hard_state.term == 0 && state.disk.founders.is_none();
        let is_told = now_ms == 0 || (self.setup.founds_again && is_empty);
        if self.setup.forgets_members && is_told {
            state.disk.write(&WalRecord::Founding(initial.clone()));
        }
        let members = match self.setup.forgets_members {
            true => state.disk.founders.clone().unwrap_or_default(),
            false => initial,
        };
        state.applied_index = state.disk.snapshot.as_ref().map_or(0, |it| it.last_index);
        let start = InitialState {
            member,
            members,
            hard_state: state.disk.hard_state,
            may_vote: state.disk.may_vote,
            snapshot: state.disk.snapshot.clone(),
            entries: state.disk.entries.clone(),
            seed,
            now_ms: now_ms + state.clock_skew_ms,
        };
        state.raft = Some(Raft::new(options, start));
    }

    /// Crashes a member; it loses what it has not synced.
    pub fn crash(&mut self, member: u32) {
        self.frozen.remove(&member);
        let state = self.members.get_mut(&member).unwrap();
        state.raft = None;
        state.jobs.clear();
    }

    /// Reports to a running member that the process of another one has ended, whether this is true or not.
    pub fn report_ended(&mut self, member: u32, ended: u32) {
        if self.raft(member).is_none() {
            return;
        }
        let now_ms = self.clock_of(member);
        self.raft_mut(member).peer_ended(ended, now_ms);
        self.collect(member);
    }

    /// Crashes a member and empties its disk.
    pub fn empty_disk(&mut self, member: u32) {
        self.crash(member);
        self.members.get_mut(&member).unwrap().disk = Disk::default();
    }

    /// Crashes a member and empties its disk, unless another member has not recovered from a lost disk yet.
    pub fn lose_disk(&mut self, member: u32) {
        let has_recovered = self.lost_disk.is_none_or(|it| self.members[&it].disk.may_vote);
        let others_have_recovered =
            self.members.iter().all(|(it, state)| *it == member || state.disk.may_vote);
        if !self.setup.loses_disks || !has_recovered || !others_have_recovered {
            return;
        }
        self.empty_disk(member);
        self.lost_disk = Some(member);
    }

    pub fn cut(&mut self, from: u32, to: u32) {
        self.cut.insert((from, to));
    }

    pub fn isolate(&mut self, member: u32) {
        let others: Vec<u32> = self.members.keys().copied().collect();
        for other in others {
            self.cut.insert((member, other));
            self.cut.insert((other, member));
        }
    }

    pub fn heal(&mut self) {
        self.cut.clear();
    }

    pub fn pass_time(&mut self, time_ms: u64) {
        self.now_ms += time_ms;
        for member in self.running() {
            let now_ms = self.clock_of(member);
            self.raft_mut(member).tick(now_ms);
            self.collect(member);
        }
    }

    /// Moves the clock of one member ahead.
    pub fn skew(&mut self, member: u32, by_ms: u64) {
        self.members.get_mut(&member).unwrap().clock_skew_ms += by_ms;
    }

    fn clock_of(&self, member: u32) -> u64 {
        self.now_ms + self.members[&member].clock_skew_ms
    }

    fn running(&self) -> Vec<u32> {
        let runs = |it: &u32| self.raft(*it).is_some() && !self.frozen.contains(it);
        self.members.keys().copied().filter(runs).collect()
    }

    fn raft_mut(&mut self, member: u32) -> &mut Raft {
        self.members.get_mut(&member).unwrap().raft.as_mut().unwrap()
    }

    pub fn raft(&self, member: u32) -> Option<&Raft> {
        self.members[&member].raft.as_ref()
    }

    pub fn leader(&self) -> Option<u32> {
        let leads = |it: &&u32| self.raft(**it).is_some_and(|raft| raft.role() == Role::Leader);
        let running = self.running();
        running.iter().filter(leads).max_by_key(|it| self.raft(**it).unwrap().term()).copied()
    }

    pub fn propose(&mut self, member: u32) -> bool {
        if self.raft(member).is_none() {
            return false;
        }
        self.next_command += 1;
        let command = self.next_command.to_le_bytes().to_vec();
        let is_accepted = self.raft_mut(member).propose(command).is_ok();
        self.collect(member);
        is_accepted
    }

    pub fn read(&mut self, member: u32) {
        if self.raft(member).is_none() {
            return;
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let committed = self.committed.last_key_value().map_or(0, |(index, _)| *index);
        if self.raft_mut(member).read(ticket).is_ok() {
            self.reads.insert(ticket, committed);
        }
        self.collect(member);
    }

    pub fn propose_members(&mut self, member: u32, members: MemberSet) -> bool {
        let is_accepted = matches!(self.raft_mut(member).propose_members(members), Ok(Some(_)));
        self.collect(member);
        is_accepted
    }

    /// Adds a member with an empty disk.
    pub fn add_empty_member(&mut self, member: u32) {
        let disk = Disk::default();
        let state =
            Member { raft: None, disk, jobs: Vec::new(), applied_index: 0, clock_skew_ms: 0 };
        self.members.insert(member, state);
        self.start(member);
    }

    pub fn deliver(&mut self, at: usize) {
        if self.network.is_empty() {
            return;
        }
        let at = at % self.network.len();
        let (from, outbound) = self.network.swap_remove(at);
        self.receive(from, outbound);
    }

    pub fn deliver_copy(&mut self, at: usize) {
        if self.network.is_empty() {
            return;
        }
        let (from, outbound) = self.network[at % self.network.len()].clone();
        self.receive(from, outbound);
    }

    pub fn drop_message(&mut self, at: usize) {
        if !self.network.is_empty() {
            let at = at % self.network.len();
            self.network.swap_remove(at);
        }
    }

    fn receive(&mut self, from: u32, outbound: Outbound) {
        let is_cut = self.cut.contains(&(from, outbound.to));
        let runs = self.members.get(&outbound.to).is_some_and(|it| it.raft.is_some());
        if is_cut || !runs {
            return;
        }
        if self.frozen.contains(&outbound.to) {
            return self.network.push((from, outbound));
        }
        let now_ms = self.clock_of(outbound.to);
        self.raft_mut(outbound.to).receive(outbound.message, now_ms);
        self.collect(outbound.to);
    }

    /// Performs the oldest pending write of a member's disk.
    pub fn sync(&mut self, member: u32) {
        let state = self.members.get_mut(&member).unwrap();
        if state.raft.is_none() || state.jobs.is_empty() {
            return;
        }
        let (number, messages) = match state.jobs.remove(0) {
            Job::Append { number, records, messages } => {
                records.iter().for_each(|it| state.disk.write(it));
                (number, messages)
            }
            Job::Replace { number, disk, messages } => {
                state.disk = disk;
                (number, messages)
            }
        };
        self.report_durable(member, number, messages);
    }

    fn report_durable(&mut self, member: u32, number: u64, messages: Vec<Outbound>) {
        self.network.extend(messages.into_iter().map(|it| (member, it)));
        if number > 0 {
            self.raft_mut(member).persisted(number);
            self.collect(member);
        }
    }

    fn collect(&mut self, member: u32) {
        loop {
            let output = self.raft_mut(member).take_output();
            if output.is_empty() {
                break;
            }
            let raft = self.members[&member].raft.as_ref().unwrap();
            let job = match output.install {
                Some(snapshot) => {
                    let disk = Disk {
                        hard_state: raft.hard_state(),
                        may_vote: raft.may_vote(),
                        founders: None,
                        entries: raft.log().entries().to_vec(),
                        snapshot: Some(snapshot.clone()),
                    };
                    self.check_install(member, &snapshot);
                    Job::Replace {
                        number: output.persist_number,
                        disk,
                        messages: output.after_sync,
                    }
                }
                None => Job::Append {
                    number: output.persist_number,
                    records: output.records,
                    messages: output.after_sync,
                },
            };
            self.network.extend(output.now.into_iter().map(|it| (member, it)));
            for entry in output.committed {
                self.check_applied(member, entry);
            }
            for (ticket, index) in output.confirmed_reads {
                self.check_read(ticket, index);
            }
            for ticket in output.failed_reads {
                self.reads.remove(&ticket);
            }
            self.queue_job(member, job);
            self.check_leader(member);
        }
    }

    fn queue_job(&mut self, member: u32, job: Job) {
        let skips_sync = self.setup.skips_sync;
        let state = self.members.get_mut(&member).unwrap();
        match job {
            Job::Append { number, records, messages } if skips_sync => {
                // The records stay in memory although they are reported as durable.
                state.jobs.push(Job::Append { number: 0, records, messages: Vec::new() });
                self.report_durable(member, number, messages);
            }
            Job::Append { number: 0, messages, .. } if state.jobs.is_empty() => {
                self.network.extend(messages.into_iter().map(|it| (member, it)));
            }
            job => state.jobs.push(job),
        }
    }

    /// Replaces the applied entries of a member with a snapshot.
    pub fn compact(&mut self, member: u32) {
        let state = self.members.get_mut(&member).unwrap();
        let applied_index = state.applied_index;
        let Some(raft) = state.raft.as_mut() else {
            return;
        };
        if applied_index <= raft.log().snapshot_index() {
            return;
        }
        let snapshot = Snapshot {
            last_index: applied_index,
            last_term: raft.log().term_at(applied_index).unwrap(),
            members: raft.log().members_up_to(applied_index).0.clone(),
            data: Vec::new(),
        };
        raft.compact(snapshot.clone());
        let disk = Disk {
            hard_state: raft.hard_state(),
            may_vote: raft.may_vote(),
            founders: None,
            entries: raft.log().entries().to_vec(),
            snapshot: Some(snapshot),
        };
        state.jobs.push(Job::Replace { number: 0, disk, messages: Vec::new() });
    }

    /// Advances the time in steps of 10 ms, in each of which all messages are delivered and all writes performed.
    pub fn settle(&mut self, time_ms: u64) {
        let until_ms = self.now_ms + time_ms;
        while self.now_ms < until_ms {
            self.pass_time(10);
            for _ in 0..4 {
                for member in self.running() {
                    while !self.members[&member].jobs.is_empty() {
                        self.sync(member);
                    }
                }
                for (from, outbound) in std::mem::take(&mut self.network) {
                    self.receive(from, outbound);
                }
            }
        }
    }

    /// Number of entries committed so far.
    pub fn committed_count(&self) -> usize {
        self.committed.len()
    }

    /// Number of messages in the network.
    pub fn in_flight(&self) -> usize {
        self.network.len()
    }

    /// Sends a message in the name of a member.
    pub fn inject(&mut self, from: u32, to: u32, message: Message) {
        self.network.push((from, Outbound { to, message }));
    }
}
