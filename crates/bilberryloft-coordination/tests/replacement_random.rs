//! Hosts of a quorum are replaced while messages and writes come in random order. At a random step of a replacement, as
//! many hosts as the quorum must tolerate fail or lose their disks; the others must have a leader with all commits.
#![allow(clippy::unwrap_used)]

mod support;

use bilberryloft_coordination::raft::Options;
use fastrand::Rng;
use support::Setup;
use support::hosts::Hosts;

/// First seed of the runs.
const FIRST_SEED: u64 = 1;
/// Number of seeds in a usual test run.
const SEEDS: u64 = 1_500;
/// Most random steps before the losses.
const STEPS_MAX: usize = 700;
/// Time that a new host has to catch up before it counts, in milliseconds.
const CATCH_UP_MS: u64 = 4_000;
/// Time after the losses within which the quorum must serve again, in milliseconds.
const RECOVER_MS: u64 = 8_000;

/// Timing and number of hosts of one run.
struct Plan {
    tolerated: usize,
    spares: u32,
    options: Options,
}

impl Plan {
    fn random(random: &mut Rng) -> Plan {
        Plan {
            tolerated: random.usize(1..=2),
            spares: random.u32(1..=2),
            options: Options { heartbeat_ms: 100, election_ms: 450, ..Options::default() },
        }
    }

    fn voters(&self) -> u32 {
        2 * self.tolerated as u32 + 1
    }

    fn start(&self, seed: u64, waits: bool) -> Hosts {
        let setup = Setup {
            members: self.voters(),
            options: self.options,
            forgets_members: seed.is_multiple_of(2),
            ..Setup::default()
        };
        let mut hosts = Hosts::start(setup, seed, waits);
        hosts.settle(2_000);
        if hosts.cluster.leader().is_none() {
            // Votes for the first leader were split.
            hosts.settle(RECOVER_MS);
        }
        assert!(hosts.cluster.leader().is_some(), "no quorum is founded, seed {seed}");
        hosts
    }

    fn add_spares(&self, hosts: &mut Hosts) {
        for spare in self.voters() + 1..=self.voters() + self.spares {
            hosts.cluster.add_empty_member(spare);
        }
    }
}

/// Takes one random step.
fn take_step(hosts: &mut Hosts, random: &mut Rng) {
    let at = random.usize(..);
    let running = hosts.running();
    let host = running[random.usize(..running.len())];
    match random.u32(..100) {
        0..=44 => hosts.cluster.deliver(at),
        45..=46 => hosts.cluster.deliver_copy(at),
        47 => hosts.cluster.drop_message(at),
        48..=69 => hosts.cluster.sync(host),
        70..=84 => hosts.cluster.pass_time(random.u64(1..=12)),
        85..=94 => hosts.report(host),
        _ => drop(hosts.cluster.propose(host)),
    }
    hosts.plan_all();
}

/// Lets some hosts fail: for good, for a while with their disks lost, or cut off.
fn lose(hosts: &mut Hosts, count: usize, random: &mut Rng) {
    let mut candidates = hosts.running();
    random.shuffle(&mut candidates);
    let lost = &candidates[..count];
    for host in lost {
        match random.u32(..4) {
            0 => hosts.end(*host),
            1 => hosts.cluster.isolate(*host),
            _ => hosts.cluster.empty_disk(*host),
        }
    }
    hosts.settle(random.u64(50..3_500));
    for host in lost {
        if !hosts.is_gone(*host) {
            hosts.cluster.start(*host);
        }
    }
}

/// Replaces one host or two as planned, with losses at a random step; returns the violation, if any.
fn run_planned(seed: u64, waits: bool) -> Option<String> {
    let mut random = Rng::with_seed(seed);
    let plan = Plan::random(&mut random);
    let mut hosts = plan.start(seed, waits);
    plan.add_spares(&mut hosts);
    hosts.settle(CATCH_UP_MS);
    let mut old: Vec<u32> = hosts.voters();
    random.shuffle(&mut old);
    old.truncate(plan.spares as usize);
    let overlap = random.u32(..4) == 0;
    for step in 0..random.usize(..STEPS_MAX) {
        if step == 0 || overlap || hosts.is_gone(old[0]) {
            let next = old.iter().position(|it| !hosts.is_gone(*it) && !hosts.is_leaving(*it));
            if let Some(at) = next {
                hosts.stop(old[at]);
            }
        }
        take_step(&mut hosts, &mut random);
    }
    lose(&mut hosts, plan.tolerated, &mut random);
    hosts.settle(RECOVER_MS);
    hosts.check_service();
    hosts.cluster.violation
}

/// Kills one host for good and starts another one; once that one has had its time, loses as many as must be tolerated.
fn run_unplanned(seed: u64) -> Option<String> {
    let mut random = Rng::with_seed(seed);
    let plan = Plan { spares: 1, ..Plan::random(&mut random) };
    let mut hosts = plan.start(seed, true);
    let voters = hosts.voters();
    hosts.end(voters[random.usize(..voters.len())]);
    hosts.settle(random.u64(..1_000));
    plan.add_spares(&mut hosts);
    hosts.settle(CATCH_UP_MS);
    lose(&mut hosts, plan.tolerated, &mut random);
    hosts.settle(RECOVER_MS);
    hosts.check_service();
    hosts.cluster.violation
}

fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("BILBERRYLOFT_SEEDS").ok().and_then(|it| it.parse().ok());
    FIRST_SEED..FIRST_SEED + count.unwrap_or(SEEDS)
}

// Guards against a quorum that tolerates fewer failures than it must while a host is replaced as planned.
#[test]
fn planned_replacement_tolerates_losses_at_each_step() {
    for seed in seeds() {
        assert_eq!(run_planned(seed, true), None, "seed {seed}");
    }
}

// Guards against a voter that is gone for good and still counts when its successor has had its time to catch up.
#[test]
fn unplanned_replacement_tolerates_losses_once_the_successor_counts() {
    for seed in seeds() {
        assert_eq!(run_unplanned(seed), None, "seed {seed}");
    }
}

#[test]
fn checks_find_hosts_that_stop_before_they_are_replaced() {
    let found = seeds().find(|seed| run_planned(*seed, false).is_some());
    assert!(found.is_some());
}
