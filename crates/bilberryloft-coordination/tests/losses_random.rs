//! Right after an acknowledgement all processes end at the same moment, disks of as many members as must be tolerated are gone, and
//! unsynced writes of the others, too. Before that, from the first start on, members are cut from each other, stand still, lose their
//! disks one after the other and are replaced, and messages are late, lost or come twice.
//! `BILBERRYLOFT_SEEDS` sets the number of seeds; a failure prints its seed.
#![allow(clippy::unwrap_used)]

mod support;

use std::panic::AssertUnwindSafe;

use bilberryloft_coordination::raft::Options;
use fastrand::Rng;
use support::Cluster;
use support::Setup;

/// First seed.
const FIRST_SEED: u64 = 1;
/// Number of seeds in a usual test run.
const SEEDS: u64 = 1_200;
/// Number of seeds in which a planted fault must be found.
const FAULT_SEEDS: u64 = 6_000;
/// Most random steps before a loss of power.
const STEPS_MAX: usize = 500;
/// Most further random steps until an acknowledgement.
const STEPS_TO_COMMIT_MAX: usize = 200;
/// Time after the losses within which the quorum must serve again, in milliseconds.
const RECOVER_MS: u64 = 4_000;
/// Number of messages in the network above which the next ones are delivered first.
const IN_FLIGHT_MAX: usize = 400;

/// One run: the members, and how many of them may be lost.
struct Run {
    cluster: Cluster,
    random: Rng,
    tolerated: usize,
    hosts: u32,
    commits: usize,
}

impl Run {
    fn start(setup: Setup, seed: u64) -> Run {
        let mut random = Rng::with_seed(seed);
        let tolerated = random.usize(1..=2);
        let voters = 2 * tolerated as u32 + 1;
        let hosts = voters + random.u32(..=2);
        let mut cluster = Cluster::new(Setup { members: voters, ..setup }, seed);
        for host in 1..=voters {
            if random.bool() {
                cluster.crash(host);
            }
        }
        cluster.pass_time(1);
        (voters + 1..=hosts).for_each(|it| cluster.add_empty_member(it));
        Run { cluster, random, tolerated, hosts, commits: 0 }
    }

    fn any_host(&mut self) -> u32 {
        self.random.u32(1..=self.hosts)
    }

    /// Takes one random step.
    fn step(&mut self) {
        let (host, other, at) = (self.any_host(), self.any_host(), self.random.usize(..));
        let is_full = self.cluster.in_flight() > IN_FLIGHT_MAX;
        match self.random.u32(..200) {
            0..=79 => self.cluster.deliver(at),
            80..=84 => self.cluster.deliver_copy(at),
            85..=94 if is_full => (0..IN_FLIGHT_MAX).for_each(|_| self.cluster.deliver(at)),
            85..=88 => self.cluster.drop_message(at),
            89..=119 => self.cluster.sync(host),
            120..=144 => self.cluster.pass_time(1 + at as u64 % 30),
            145..=165 => drop(self.cluster.leader().map(|it| self.cluster.propose(it))),
            166..=170 => self.propose_at(host),
            171..=172 => self.cluster.compact(host),
            173..=174 => self.cluster.crash(host),
            175..=180 => self.cluster.start(host),
            181..=182 => drop(self.cluster.lose_disks(&[host], self.tolerated)),
            183..=185 => self.change_members(),
            _ => self.disturb(host, other),
        }
    }

    /// Proposes at a member that may be a deposed leader.
    fn propose_at(&mut self, host: u32) {
        if self.cluster.is_running(host) {
            self.cluster.propose(host);
        }
    }

    fn change_members(&mut self) {
        self.cluster.change_members(2 * self.tolerated + 1, &mut self.random);
    }

    /// Cuts members from each other, lets one stand still, or ends that.
    fn disturb(&mut self, host: u32, other: u32) {
        match self.random.u32(..10) {
            0 => self.cluster.isolate(host),
            1 => self.cluster.cut(host, other),
            2 => self.cluster.freeze(host),
            3..=4 => self.cluster.thaw(),
            5 => self.cluster.report_ended_to_all(host),
            6 => self.depose_unnoticed(),
            7 => self.meet_deposed_leader(),
            8 => self.cluster.skew(host, 30),
            _ => self.cluster.heal(),
        }
    }

    /// Cuts the leader off from all others, which elect one of them at once.
    fn depose_unnoticed(&mut self) {
        if let Some(leader) = self.cluster.leader() {
            self.cluster.isolate(leader);
            self.cluster.report_ended_to_all(leader);
            self.cluster.settle(30);
        }
    }

    /// Empties the disk of a member and lets it talk to one leader only, which may be deposed.
    fn meet_deposed_leader(&mut self) {
        let leaders = self.cluster.all_leaders();
        let host = self.any_host();
        let Some(oldest) = leaders.first().copied().filter(|it| *it != host) else {
            return;
        };
        if self.cluster.lose_disks(&[host], self.tolerated) == 0 {
            return;
        }
        self.cluster.isolate(host);
        self.cluster.join(host, oldest);
        self.cluster.start(host);
        self.cluster.propose(oldest);
        self.cluster.settle(20);
    }

    /// Takes random steps, at least some, until an entry is acknowledged.
    fn step_until_acknowledged(&mut self) {
        for _ in 0..self.random.usize(..STEPS_MAX) {
            self.step();
        }
        let before = self.cluster.committed_count();
        for _ in 0..STEPS_TO_COMMIT_MAX {
            if self.cluster.committed_count() > before {
                return;
            }
            self.step();
        }
    }

    /// Ends all processes, empties disks, and starts all hosts again in random order.
    fn lose_power_and_disks(&mut self) {
        let mut hosts: Vec<u32> = (1..=self.hosts).collect();
        self.cluster.lose_power(&mut self.random);
        self.random.shuffle(&mut hosts);
        if self.random.u32(..4) > 0 {
            self.cluster.lose_disks(&hosts, self.tolerated);
        }
        self.random.shuffle(&mut hosts);
        for host in hosts {
            self.cluster.start(host);
            for _ in 0..self.random.usize(..20) {
                self.cluster.deliver(self.random.usize(..));
                self.cluster.sync(self.random.u32(1..=self.hosts));
            }
        }
        self.cluster.heal();
        self.cluster.settle(RECOVER_MS);
        self.cluster.check_nothing_is_lost();
    }
}

/// Runs one seed and returns the first violation, if any.
fn run(setup: Setup, seed: u64, commits: &mut usize) -> Option<String> {
    let setup = Setup { forgets_members: true, ..setup };
    let found = std::panic::catch_unwind(AssertUnwindSafe(|| {
        let mut run = Run::start(setup, seed);
        for _ in 0..run.random.usize(1..=3) {
            run.step_until_acknowledged();
            run.lose_power_and_disks();
            if run.cluster.violation.is_some() {
                break;
            }
        }
        run.commits += run.cluster.committed_count();
        (run.cluster.violation, run.commits)
    }));
    let (violation, count) = found.unwrap_or_else(|_| (Some("a member has panicked".into()), 0));
    *commits += count;
    violation
}

/// Runs seeds until one finds a violation.
fn find_violation(setup: Setup) -> Option<(u64, String)> {
    let mut seeds = FIRST_SEED..FIRST_SEED + FAULT_SEEDS;
    seeds.find_map(|seed| Some((seed, run(setup, seed, &mut 0)?)))
}

fn seed_count() -> u64 {
    std::env::var("BILBERRYLOFT_SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(SEEDS)
}

// Guards against an acknowledged entry that is gone or overwritten after tolerated losses at any moment.
#[test]
fn nothing_acknowledged_is_lost_with_power_and_disks() {
    let mut commits = 0;
    for seed in FIRST_SEED..FIRST_SEED + seed_count() {
        assert_eq!(run(Setup::default(), seed, &mut commits), None, "seed {seed}");
    }
    let least = 5 * seed_count() as usize;
    assert!(commits > least, "too few entries are committed for a meaningful test: {commits}");
}

#[test]
fn checks_find_an_acknowledgement_before_the_sync() {
    assert!(find_violation(Setup { skips_sync: true, ..Setup::default() }).is_some());
}

#[test]
fn checks_find_a_vote_without_a_log() {
    let options = Options { abstain_when_empty: false, ..Setup::default().options };
    assert!(find_violation(Setup { options, ..Setup::default() }).is_some());
}

#[test]
fn checks_find_a_vote_before_the_goal_is_confirmed() {
    let options = Options { confirm_recovery: false, ..Setup::default().options };
    assert!(find_violation(Setup { options, ..Setup::default() }).is_some());
}

#[test]
fn checks_find_a_wiped_member_that_helps_to_found() {
    assert!(find_violation(Setup { founds_again: true, ..Setup::default() }).is_some());
}
