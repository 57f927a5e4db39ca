//! Recovery of logs, snapshots and data folders after interrupted writes, damage and disk failures.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::path::Path;
use std::path::PathBuf;

use bilberryloft_state::error::Error;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::storage::Storage;
use bilberryloft_state::storage::inspect;
use bilberryloft_state::wal::FILE_HEADER_BYTES;
use bilberryloft_state::wal::HardState;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::Payload;
use bilberryloft_state::wal::WalRecord;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Path of a temporary data folder, which is removed when the value is dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    fn create(name: &str) -> TempFolder {
        let path = std::env::temp_dir()
            .join(format!("bilberryloft-storage-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        TempFolder(path)
    }

    fn wal(&self) -> PathBuf {
        let mut names: Vec<PathBuf> =
            std::fs::read_dir(&self.0).unwrap().map(|it| it.unwrap().path()).collect();
        names.retain(|it| it.file_name().unwrap().to_string_lossy().starts_with("wal-"));
        names.pop().unwrap()
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn entry(index: u64, text: &str) -> LogEntry {
    LogEntry { term: 1, index, payload: Payload::Command(text.as_bytes().to_vec()) }
}

fn write_entries(path: &Path, count: u64) {
    let (mut storage, _) = Storage::open(path).unwrap();
    let state = HardState { term: 1, vote: Some(2) };
    storage.append(&[WalRecord::HardState(state), WalRecord::MayVote]).unwrap();
    for index in 1..=count {
        storage.append(&[WalRecord::Entry(entry(index, "advisory"))]).unwrap();
    }
    storage.sync().unwrap();
}

#[test]
fn storage_recovers_synced_records() {
    let folder = TempFolder::create("reads-back");
    write_entries(&folder.0, 3);
    let (_, recovered) = Storage::open(&folder.0).unwrap();
    assert_eq!(recovered.hard_state, HardState { term: 1, vote: Some(2) });
    assert!(recovered.may_vote);
    assert_eq!(
        recovered.entries,
        [entry(1, "advisory"), entry(2, "advisory"), entry(3, "advisory")]
    );
}

// Guards against a founder that looks like a member without its disk, because it was killed before the first entry.
#[test]
fn storage_recovers_what_a_founder_was_told() {
    let folder = TempFolder::create("founding");
    let members = MemberSet::of_voters([(1, "10.0.0.1:7400".to_string())].into());
    {
        let (mut storage, recovered) = Storage::open(&folder.0).unwrap();
        assert!(recovered.is_empty());
        storage.append(&[WalRecord::Founding(members.clone())]).unwrap();
        storage.sync().unwrap();
    }
    let (_, recovered) = Storage::open(&folder.0).unwrap();
    assert!(!recovered.is_empty());
    assert!(recovered.may_vote);
    assert_eq!(recovered.founders, Some(members));
}

/// A process that stops during a write leaves a record cut off at any byte.
#[test]
fn storage_truncates_a_torn_tail_of_any_length() {
    let folder = TempFolder::create("torn");
    write_entries(&folder.0, 3);
    let whole = std::fs::read(folder.wal()).unwrap();
    for length in FILE_HEADER_BYTES..whole.len() {
        std::fs::write(folder.wal(), &whole[..length]).unwrap();
        let (_, recovered) = Storage::open(&folder.0).unwrap();
        assert!(recovered.entries.len() < 3, "length {length}");
        let truncated = std::fs::read(folder.wal()).unwrap();
        assert_eq!(truncated.len() as u64 + recovered.torn_bytes, length as u64);
    }
}

/// An interrupted write can leave zeros up to the end of the file.
#[test]
fn storage_truncates_a_tail_of_zeros() {
    let folder = TempFolder::create("zeros");
    write_entries(&folder.0, 2);
    let mut bytes = std::fs::read(folder.wal()).unwrap();
    bytes.extend([0; 4_096]);
    std::fs::write(folder.wal(), &bytes).unwrap();
    let (_, recovered) = Storage::open(&folder.0).unwrap();
    assert_eq!((recovered.entries.len(), recovered.torn_bytes), (2, 4_096));
}

/// Damage in the middle of the log must not be taken for a torn tail, which would lose acknowledged entries.
#[test]
fn storage_rejects_any_flipped_bit() {
    let folder = TempFolder::create("flipped");
    write_entries(&folder.0, 3);
    let whole = std::fs::read(folder.wal()).unwrap();
    for at in FILE_HEADER_BYTES..whole.len() {
        let mut bytes = whole.clone();
        bytes[at] ^= 1 << (at % 8);
        std::fs::write(folder.wal(), &bytes).unwrap();
        match Storage::open(&folder.0) {
            Err(Error::Damaged { path, offset, .. }) => {
                assert_eq!(path, folder.wal());
                assert!(offset <= at as u64);
            }
            other => panic!("byte {at}: {other:?}"),
        }
    }
}

#[test]
fn storage_snapshot_replaces_the_log() {
    let folder = TempFolder::create("snapshot");
    write_entries(&folder.0, 10);
    let members = MemberSet::of_voters(BTreeMap::from([(1, "127.0.0.1:7400".to_string())]));
    let snapshot = Snapshot { last_index: 8, last_term: 1, members, data: b"state".to_vec() };
    let (mut storage, _) = Storage::open(&folder.0).unwrap();
    let state = HardState { term: 3, vote: None };
    storage.install(&snapshot, state, true, &[entry(9, "a"), entry(10, "b")]).unwrap();
    storage.append(&[WalRecord::Entry(entry(11, "c"))]).unwrap();
    storage.sync().unwrap();
    drop(storage);
    let recovered = inspect(&folder.0).unwrap();
    assert_eq!(recovered.snapshot, Some(snapshot));
    assert_eq!(recovered.hard_state, state);
    assert_eq!(recovered.entries.iter().map(|it| it.index).collect::<Vec<u64>>(), [9, 10, 11]);
    let files = std::fs::read_dir(&folder.0).unwrap().count();
    assert_eq!(files, 3, "lock, log and snapshot");
}

/// A process that stops while it writes a snapshot leaves files that no log refers to.
#[test]
fn storage_recovers_from_an_interrupted_snapshot() {
    let folder = TempFolder::create("half-snapshot");
    write_entries(&folder.0, 10);
    std::fs::write(
        folder.0.join("snapshot-00000000000000000008.bin"),
        b"written, but no log refers to it",
    )
    .unwrap();
    std::fs::write(folder.0.join("wal-00000000000000000002.log.tmp"), b"half").unwrap();
    let (_, recovered) = Storage::open(&folder.0).unwrap();
    assert_eq!((recovered.entries.len(), recovered.snapshot), (10, None));
}

#[test]
fn storage_rejects_a_damaged_snapshot() {
    let folder = TempFolder::create("damaged-snapshot");
    write_entries(&folder.0, 10);
    let snapshot = Snapshot {
        last_index: 10,
        last_term: 1,
        members: MemberSet::default(),
        data: b"state".to_vec(),
    };
    let (mut storage, _) = Storage::open(&folder.0).unwrap();
    storage.install(&snapshot, HardState::default(), true, &[]).unwrap();
    drop(storage);
    let path = folder.0.join("snapshot-00000000000000000010.bin");
    let mut bytes = std::fs::read(&path).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    std::fs::write(&path, bytes).unwrap();
    assert!(matches!(Storage::open(&folder.0), Err(Error::Damaged { .. })));
}

#[test]
fn storage_opens_in_one_process_only() {
    let folder = TempFolder::create("lock");
    let (_first, _) = Storage::open(&folder.0).unwrap();
    assert!(matches!(Storage::open(&folder.0), Err(Error::FolderInUse { .. })));
}

/// After a failed write, a later write or sync must not succeed and so acknowledge the lost record.
#[test]
fn storage_acknowledges_nothing_after_a_full_disk() {
    let folder = TempFolder::create("full");
    write_entries(&folder.0, 1);
    // Writes to /dev/full fail as on a full disk.
    let wal = folder.wal();
    let header = std::fs::read(&wal).unwrap();
    let (mut storage, _) = Storage::open(&folder.0).unwrap();
    storage.swap_file_for_test(std::fs::OpenOptions::new().append(true).open("/dev/full").unwrap());
    assert!(storage.append(&[WalRecord::Entry(entry(2, "lost"))]).is_err());
    assert!(storage.sync().is_err(), "a sync after the failed write must fail too");
    assert!(storage.append(&[WalRecord::Entry(entry(2, "again"))]).is_err());
    assert_eq!(std::fs::read(&wal).unwrap(), header);
}

/// Recovery must give the same entries after any sequence of appends, truncations, snapshots and restarts.
#[test]
fn storage_recovers_any_sequence_of_operations() {
    fn property(steps: Vec<u8>) -> bool {
        let folder = TempFolder::create("history");
        let (mut storage, _) = Storage::open(&folder.0).unwrap();
        let mut expected: Vec<LogEntry> = Vec::new();
        let mut base = 0;
        for step in steps {
            let last = base + expected.len() as u64;
            match step % 8 {
                0 if !expected.is_empty() => {
                    let keep = usize::from(step) % expected.len();
                    let from_index = base + keep as u64 + 1;
                    storage.append(&[WalRecord::Truncate { from_index }]).unwrap();
                    expected.truncate(keep);
                }
                1 if !expected.is_empty() => {
                    let covered = 1 + usize::from(step) % expected.len();
                    base += covered as u64;
                    expected.drain(..covered);
                    let snapshot = Snapshot {
                        last_index: base,
                        last_term: 1,
                        members: MemberSet::default(),
                        data: vec![step],
                    };
                    storage.install(&snapshot, HardState::default(), false, &expected).unwrap();
                }
                2 => {
                    storage.sync().unwrap();
                    drop(storage);
                    storage = Storage::open(&folder.0).unwrap().0;
                }
                _ => {
                    let entry = entry(last + 1, &step.to_string());
                    storage.append(&[WalRecord::Entry(entry.clone())]).unwrap();
                    expected.push(entry);
                }
            }
        }
        storage.sync().unwrap();
        drop(storage);
        let (_, recovered) = Storage::open(&folder.0).unwrap();
        recovered.entries == expected && recovered.snapshot.map_or(0, |it| it.last_index) == base
    }
    let random = Gen::from_size_and_seed(60, 23);
    QuickCheck::new().rng(random).tests(60).quickcheck(property as fn(Vec<u8>) -> bool);
}
