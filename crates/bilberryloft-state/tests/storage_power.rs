//! What a member's folder holds after kills and losses of power at chosen moments.
#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_state::folder::DataFolder;
use bilberryloft_state::storage::RecoveredState;
use bilberryloft_state::storage::Storage;
use bilberryloft_state::storage::write_snapshot;
use bilberryloft_state::wal;
use bilberryloft_state::wal::FILE_HEADER_BYTES;
use bilberryloft_state::wal::HardState;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::WalRecord;
use bilberryloft_testing::fleet::TempFolder;
use bilberryloft_testing::memory_disk::MemoryDisk;
use bilberryloft_testing::memory_disk::Refusal;

use crate::support::model::entry;
use crate::support::model::snapshot_of;

#[allow(dead_code)]
mod support;

const FOLDER: &str = "/data/member";
const VOTED: HardState = HardState { term: 1, vote: Some(2) };

fn open(disk: &MemoryDisk) -> Result<(Storage, RecoveredState)> {
    Storage::open_folder(DataFolder::on(disk.start_process(), Path::new(FOLDER)))
}

fn append(storage: &mut Storage, entries: &[LogEntry]) {
    let records: Vec<WalRecord> = entries.iter().cloned().map(WalRecord::Entry).collect();
    storage.append(&records).unwrap();
}

fn entries(count: u64) -> Vec<LogEntry> {
    (1..=count).map(|it| entry(it, "advisory")).collect()
}

/// Guards against a member that acknowledges records which a killed process had written but not synced.
#[test]
fn storage_makes_durable_what_a_killed_process_left() {
    let disk = MemoryDisk::default();
    let (mut storage, _) = open(&disk).unwrap();
    storage.append(&[WalRecord::HardState(VOTED)]).unwrap();
    append(&mut storage, &entries(3));
    drop(storage);
    let (_, acknowledged) = open(&disk).unwrap();
    disk.lose_power(&mut fastrand::Rng::with_seed(1), true);
    let (_, recovered) = open(&disk).unwrap();
    assert_eq!(recovered.entries, acknowledged.entries);
    assert_eq!(recovered.hard_state, acknowledged.hard_state);
}

/// Guards against a member that takes records for durable whose sync has failed: the system may have given them up and show
/// them still, and the next sync succeeds.
#[test]
fn storage_does_not_recover_what_a_failed_sync_has_given_up() {
    let disk = MemoryDisk::default();
    let (mut storage, _) = open(&disk).unwrap();
    append(&mut storage, &entries(2));
    storage.sync().unwrap();
    append(&mut storage, &[entry(3, "given up")]);
    disk.fail_next_sync(true);
    assert!(storage.sync().is_err());
    drop(storage);
    let (mut storage, mut acknowledged) = open(&disk).unwrap();
    let last_index = acknowledged.entries.len() as u64;
    acknowledged.entries.push(entry(last_index + 1, "advisory"));
    append(&mut storage, &acknowledged.entries[last_index as usize..]);
    storage.sync().unwrap();
    drop(storage);
    disk.lose_power(&mut fastrand::Rng::with_seed(1), true);
    let (_, recovered) = open(&disk).unwrap();
    assert_eq!(recovered.entries, acknowledged.entries);
}

/// Guards against a member that goes on with a log file whose name may be lost, after it removed the one before.
#[test]
fn storage_makes_the_name_of_its_log_durable_before_it_removes_the_last() {
    for calls in 0..12 {
        for seed in 0..32 {
            let disk = MemoryDisk::default();
            let (mut storage, _) = open(&disk).unwrap();
            append(&mut storage, &entries(4));
            storage.sync().unwrap();
            disk.kill_after(calls);
            let _ = storage.install(&snapshot_of(&entries(4)), VOTED, true, &[]);
            drop(storage);
            let (_, _) = open(&disk).unwrap();
            disk.lose_power(&mut fastrand::Rng::with_seed(seed), false);
            let (_, recovered) = open(&disk).unwrap();
            let base = recovered.snapshot.map_or(0, |it| it.last_index);
            let last_index = base + recovered.entries.len() as u64;
            assert_eq!(last_index, 4, "killed after {calls} calls, seed {seed}");
        }
    }
}

/// Guards against a member that doesn't start because a loss of power kept a later write and lost an earlier one.
#[test]
fn storage_opens_after_a_later_write_outlived_an_earlier_one() {
    for seed in 0..64 {
        let disk = MemoryDisk::default();
        let (mut storage, _) = open(&disk).unwrap();
        append(&mut storage, &entries(2));
        storage.sync().unwrap();
        for index in 3..=5 {
            append(&mut storage, &[entry(index, "advisory")]);
        }
        drop(storage);
        disk.lose_power(&mut fastrand::Rng::with_seed(seed), false);
        let opened = open(&disk);
        let (_, recovered) = opened.unwrap_or_else(|it| panic!("seed {seed}: {it}"));
        let found = recovered.entries.len();
        assert!(found >= 2, "seed {seed}: synced entries are lost");
        assert_eq!(recovered.entries, entries(5)[..found], "seed {seed}");
    }
}

/// Guards against a member that doesn't start because a loss of power kept a later part of a write only.
#[test]
fn storage_opens_after_a_write_lost_an_earlier_part() {
    for seed in 0..256 {
        let disk = MemoryDisk::default();
        let (mut storage, _) = open(&disk).unwrap();
        append(&mut storage, &[entry(1, &"a".repeat(seed as usize * 3))]);
        storage.sync().unwrap();
        append(&mut storage, &[entry(2, &"b".repeat(1_500)), entry(3, &"c".repeat(1_500))]);
        drop(storage);
        disk.lose_power(&mut fastrand::Rng::with_seed(seed), false);
        let opened = open(&disk);
        let (_, recovered) = opened.unwrap_or_else(|it| panic!("seed {seed}: {it}"));
        assert!(!recovered.entries.is_empty(), "seed {seed}: a synced entry is lost");
    }
}

/// Guards against a start that loses synced records: a hole is damage if a later write shows that it was synced.
#[test]
fn storage_rejects_a_hole_in_what_a_later_write_shows_to_be_synced() {
    let folder = TempFolder::create("hole");
    let (mut storage, _) = Storage::open(&folder.path).unwrap();
    let mut lengths = Vec::new();
    let wal = folder.path.join("wal-00000000000000000001.log");
    for index in 1..=3 {
        append(&mut storage, &[entry(index, &"a".repeat(700))]);
        storage.sync().unwrap();
        lengths.push(std::fs::metadata(&wal).unwrap().len() as usize);
    }
    drop(storage);
    let whole = std::fs::read(&wal).unwrap();
    for (from, to) in [(lengths[0], lengths[1]), (lengths[0], lengths[1] - 1), (512, 1_024)] {
        let mut bytes = whole.clone();
        bytes[from..to].fill(0);
        std::fs::write(&wal, &bytes).unwrap();
        let opened = Storage::open(&folder.path);
        assert!(matches!(opened, Err(Error::Damaged { .. })), "{from} to {to}: {opened:?}");
    }
}

/// Guards against a start that drops a record for a flipped bit because the record's data holds zeros.
#[test]
fn storage_rejects_flipped_bits_in_a_last_write_of_several_sectors() {
    let folder = TempFolder::create("flipped-sectors");
    let (mut storage, _) = Storage::open(&folder.path).unwrap();
    append(&mut storage, &[entry(1, &"a\0\0\0".repeat(300)), entry(2, "b")]);
    storage.sync().unwrap();
    drop(storage);
    let wal = folder.path.join("wal-00000000000000000001.log");
    let whole = std::fs::read(&wal).unwrap();
    for at in FILE_HEADER_BYTES..whole.len() {
        let mut bytes = whole.clone();
        bytes[at] ^= 1 << (at % 8);
        std::fs::write(&wal, &bytes).unwrap();
        let opened = Storage::open(&folder.path);
        assert!(matches!(opened, Err(Error::Damaged { .. })), "byte {at}: {opened:?}");
    }
}

/// Guards against a member that can't read its folder after an update: earlier versions wrote records alone.
#[test]
fn storage_reads_and_continues_a_log_of_an_earlier_version() {
    let folder = TempFolder::create("earlier-version");
    let mut bytes = wal::encode_file_header(0);
    wal::encode_record(&WalRecord::HardState(VOTED), &mut bytes);
    for entry in entries(3) {
        wal::encode_record(&WalRecord::Entry(entry), &mut bytes);
    }
    std::fs::write(folder.path.join("wal-00000000000000000001.log"), &bytes).unwrap();
    let (mut storage, recovered) = Storage::open(&folder.path).unwrap();
    assert_eq!((recovered.entries, recovered.hard_state), (entries(3), VOTED));
    append(&mut storage, &entries(5)[3..]);
    storage.sync().unwrap();
    drop(storage);
    let (_, recovered) = Storage::open(&folder.path).unwrap();
    assert_eq!((recovered.entries, recovered.hard_state), (entries(5), VOTED));
}

/// Guards against a log that refers to a snapshot which an earlier switch, held up by a slow disk, has removed.
#[test]
fn storage_keeps_a_snapshot_that_a_later_switch_refers_to() {
    let disk = MemoryDisk::default();
    let file_system = disk.start_process();
    let folder = DataFolder::on(file_system, Path::new(FOLDER));
    let (mut storage, _) = Storage::open_folder(folder.clone()).unwrap();
    append(&mut storage, &entries(6));
    write_snapshot(&folder, &snapshot_of(&entries(3))).unwrap();
    write_snapshot(&folder, &snapshot_of(&entries(5))).unwrap();
    storage.rotate(3, VOTED, true, &entries(6)[3..]).unwrap();
    storage.rotate(5, VOTED, true, &entries(6)[5..]).unwrap();
    drop(storage);
    let (_, recovered) = open(&disk).unwrap();
    assert_eq!(recovered.snapshot, Some(snapshot_of(&entries(5))));
    assert_eq!(recovered.entries, entries(6)[5..]);
}

/// Guards against a snapshot that can't be written because a switch of the log removes the file that it is written to.
#[test]
fn storage_keeps_a_snapshot_that_is_being_written() {
    let disk = MemoryDisk::default();
    let folder = DataFolder::on(disk.start_process(), Path::new(FOLDER));
    let (mut storage, _) = Storage::open_folder(folder.clone()).unwrap();
    append(&mut storage, &entries(6));
    write_snapshot(&folder, &snapshot_of(&entries(3))).unwrap();
    let storage = Arc::new(Mutex::new(storage));
    let beside = storage.clone();
    let view = disk.with_hook(move || {
        let mut storage = beside.lock().unwrap();
        storage.rotate(3, VOTED, true, &entries(6)[3..]).unwrap();
    });
    let written =
        write_snapshot(&DataFolder::on(view, Path::new(FOLDER)), &snapshot_of(&entries(5)));
    written.unwrap();
    storage.lock().unwrap().rotate(5, VOTED, true, &entries(6)[5..]).unwrap();
    drop(storage);
    let (_, recovered) = open(&disk).unwrap();
    assert_eq!(recovered.snapshot, Some(snapshot_of(&entries(5))));
}

/// Guards against a log that refers to a snapshot which another writer of the same index, begun before the folder was
/// opened again, was overwriting when it took its name.
#[test]
fn storage_snapshot_is_whole_beside_another_writer_of_the_same_index() {
    for calls in 0..5 {
        let disk = MemoryDisk::default();
        let folder = DataFolder::on(disk.start_process(), Path::new(FOLDER));
        let (mut storage, _) = Storage::open_folder(folder.clone()).unwrap();
        append(&mut storage, &entries(6));
        let (other_disk, other_folder, made) = (disk.clone(), folder.clone(), AtomicU64::new(0));
        let view = disk.with_hook(move || {
            if made.fetch_add(1, Ordering::SeqCst) == calls {
                other_disk.refuse(Refusal::Writes);
                write_snapshot(&other_folder, &snapshot_of(&entries(5))).unwrap_err();
                other_disk.refuse(Refusal::Nothing);
            }
        });
        let view = DataFolder::on(view, Path::new(FOLDER));
        write_snapshot(&view, &snapshot_of(&entries(5))).unwrap();
        storage.rotate(5, VOTED, true, &entries(6)[5..]).unwrap();
        drop(storage);
        let (_, recovered) = open(&disk).unwrap();
        assert_eq!(recovered.snapshot, Some(snapshot_of(&entries(5))), "at call {calls}");
    }
}

/// Guards against a full disk that stays full: a snapshot that can't be written leaves nothing behind.
#[test]
fn storage_removes_what_it_wrote_of_a_snapshot_on_a_full_disk() {
    let disk = MemoryDisk::default();
    let folder = DataFolder::on(disk.start_process(), Path::new(FOLDER));
    let (mut storage, _) = Storage::open_folder(folder.clone()).unwrap();
    append(&mut storage, &entries(6));
    storage.sync().unwrap();
    let paths = disk.paths();
    disk.set_room(Some(60));
    write_snapshot(&folder, &snapshot_of(&entries(6))).unwrap_err();
    assert_eq!(disk.paths(), paths);
    append(&mut storage, &[entry(7, "a")]);
    storage.sync().unwrap();
}
