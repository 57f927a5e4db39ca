//! Random runs of a quorum with reordered, lost, duplicated and delayed messages, crashes, lost disks and clock drift.
//! `BILBERRYLOFT_SEEDS` sets the number of seeds; a failure prints its seed.
#![allow(clippy::unwrap_used)]

mod support;

use bilberryloft_coordination::raft::Options;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use support::Cluster;
use support::Setup;

/// Number of seeds in CI, where `BILBERRYLOFT_SEEDS` is not set.
const SEEDS: u64 = 300;
/// Number of random steps of one run.
const STEPS: usize = 800;
/// First seed.
const FIRST_SEED: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Deliver(usize),
    DeliverCopy(usize),
    DropMessage(usize),
    PassTime(u64),
    Skew(u32, u64),
    Sync(u32),
    Propose(u32),
    Read(u32),
    Compact(u32),
    Crash(u32),
    Start(u32),
    LoseDisk(u32),
    Isolate(u32),
    CutOneWay(u32, u32),
    Heal,
    ReportEnded(u32, u32),
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Step {
        let member = 1 + u32::arbitrary(random) % 3;
        let other = 1 + u32::arbitrary(random) % 3;
        let at = usize::arbitrary(random);
        match u32::arbitrary(random) % 200 {
            0..=89 => Step::Deliver(at),
            90..=94 => Step::DeliverCopy(at),
            95..=99 => Step::DropMessage(at),
            100..=129 => Step::PassTime(5 + u64::from(member) * 10),
            130..=154 => Step::Sync(member),
            155..=169 => Step::Propose(member),
            170..=178 => Step::Read(member),
            179..=181 => Step::Compact(member),
            182..=184 => Step::Crash(member),
            185..=190 => Step::Start(member),
            191 => Step::LoseDisk(member),
            192..=193 => Step::Isolate(member),
            194 => Step::CutOneWay(member, other),
            195 => Step::Skew(member, 30),
            196 => Step::ReportEnded(member, other),
            _ => Step::Heal,
        }
    }
}

fn take_step(cluster: &mut Cluster, step: Step) {
    match step {
        Step::Deliver(at) => cluster.deliver(at),
        Step::DeliverCopy(at) => cluster.deliver_copy(at),
        Step::DropMessage(at) => cluster.drop_message(at),
        Step::PassTime(time_ms) => cluster.pass_time(time_ms),
        Step::Skew(member, by_ms) => cluster.skew(member, by_ms),
        Step::Sync(member) => cluster.sync(member),
        Step::Propose(member) => drop(cluster.propose(member)),
        Step::Read(member) => cluster.read(member),
        Step::Compact(member) => cluster.compact(member),
        Step::Crash(member) => cluster.crash(member),
        Step::Start(member) => cluster.start(member),
        Step::LoseDisk(member) => cluster.lose_disk(member),
        Step::Isolate(member) => cluster.isolate(member),
        Step::CutOneWay(from, to) => cluster.cut(from, to),
        Step::Heal => cluster.heal(),
        Step::ReportEnded(member, other) => cluster.report_ended(member, other),
    }
}

/// Runs one seed and returns the first violation, if any.
fn run(setup: Setup, seed: u64, commits: &mut usize, reads: &mut u64) -> Option<String> {
    let mut random = Gen::from_size_and_seed(STEPS, seed);
    let mut cluster = Cluster::new(setup, seed);
    cluster.settle(1_000);
    let steps: Vec<Step> = (0..STEPS).map(|_| Step::arbitrary(&mut random)).collect();
    for step in steps {
        take_step(&mut cluster, step);
        if cluster.violation.is_some() {
            return cluster.violation;
        }
    }
    cluster.check_recovery();
    *commits += cluster.committed_count();
    *reads += cluster.reads_done;
    cluster.violation
}

fn seed_count() -> u64 {
    std::env::var("BILBERRYLOFT_SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(SEEDS)
}

/// Runs seeds until one finds a violation.
fn find_violation(setup: Setup, seeds: u64) -> Option<(u64, String)> {
    (FIRST_SEED..FIRST_SEED + seeds).find_map(|seed| {
        let violation = run(setup, seed, &mut 0, &mut 0)?;
        Some((seed, violation))
    })
}

#[test]
fn quorum_has_no_violations() {
    let (mut commits, mut reads) = (0, 0);
    for seed in FIRST_SEED..FIRST_SEED + seed_count() {
        let violation = run(Setup::default(), seed, &mut commits, &mut reads);
        assert_eq!(violation, None, "seed {seed}");
    }
    assert!(
        commits as u64 > 5 * seed_count(),
        "the runs commit too few entries for a meaningful test: {commits}"
    );
    assert!(
        reads > seed_count() / 2,
        "the runs confirm too few reads for a meaningful test: {reads}"
    );
}

#[test]
fn checks_find_a_quorum_without_sync() {
    let setup = Setup { skips_sync: true, ..Setup::default() };
    assert!(find_violation(setup, 3_000).is_some());
}

#[test]
fn checks_find_a_quorum_with_unconfirmed_reads() {
    let options = Options { confirm_reads: false, ..Setup::default().options };
    assert!(find_violation(Setup { options, ..Setup::default() }, 3_000).is_some());
}

#[test]
fn checks_find_a_quorum_without_abstention() {
    let options = Options { abstain_when_empty: false, ..Setup::default().options };
    let violation = find_violation(Setup { options, ..Setup::default() }, 20_000);
    assert!(violation.is_some());
}
