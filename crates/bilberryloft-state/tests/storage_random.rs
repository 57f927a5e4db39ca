//! Random operations of a member's storage on a simulated disk that is full, is killed and loses power.
//! `BILBERRYLOFT_SEEDS` sets the number of seeds; a failure prints its seed and step.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::sync::Mutex;

use bilberryloft_state::folder::DataFolder;
use bilberryloft_state::storage::write_snapshot;

use crate::support::member::Member;
use crate::support::member::SnapshotTask;

mod support;

/// Number of seeds in CI, where `BILBERRYLOFT_SEEDS` is not set.
const SEEDS: u64 = 300;
/// Steps of one seed.
const STEPS: u64 = 300;
/// Most snapshots that are being written at the same time, all but one for a member that has reopened its folder since.
const SNAPSHOTS_MAX: usize = 3;

/// Guards against a member that a loss of power takes acknowledged records from, or that doesn't start after it.
#[test]
fn storage_keeps_what_it_reported_durable_at_random_losses_of_power() {
    let count = std::env::var("BILBERRYLOFT_SEEDS").ok().and_then(|it| it.parse().ok());
    let mut opened = 0;
    for seed in 0..count.unwrap_or(SEEDS) {
        let member = Arc::new(Mutex::new(Member::start(seed, STEPS)));
        while member.lock().unwrap().has_steps_left() {
            turn(&member, 0);
        }
        opened += member.lock().unwrap().opened();
    }
    assert!(opened > SEEDS, "too few starts for a meaningful test: {opened}");
}

/// Runs one step; a snapshot that it starts is written here, with further steps between the calls of its writer.
fn turn(member: &Arc<Mutex<Member>>, depth: usize) {
    let task = member.lock().unwrap().step(depth < SNAPSHOTS_MAX);
    let Some(SnapshotTask { snapshot, disk, folder, epoch }) = task else {
        return;
    };
    let beside = member.clone();
    let view = disk.with_hook(move || {
        let turns = beside.lock().unwrap().turns_beside_a_snapshot();
        for _ in 0..turns {
            turn(&beside, depth + 1);
        }
    });
    let written = write_snapshot(&DataFolder::on(view, &folder), &snapshot);
    member.lock().unwrap().finish_snapshot(&snapshot, written, epoch);
}
