//! Runs the commands on data folders that need no daemon.
#![allow(clippy::unwrap_used)]

use std::process::Command;

use bilberryloft_state::document::StoredDocument;
use bilberryloft_state::folder::DataFolder;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::state_machine::StateMachine;
use bilberryloft_state::storage::Storage;
use bilberryloft_state::storage::write_snapshot;
use bilberryloft_state::wal::HardState;
use bilberryloft_testing::fleet::TempFolder;

/// Guards against a tool that can't read what a control host writes: long snapshots are compressed.
#[test]
fn export_of_a_long_snapshot_prints_the_document() {
    let folder = TempFolder::create("long-snapshot");
    let mut machine = StateMachine::default();
    machine.document.replace(StoredDocument { version: 7, text: "route;".repeat(10_000) });
    let data = machine.to_snapshot().unwrap();
    let snapshot = Snapshot { last_index: 5, last_term: 1, members: MemberSet::default(), data };
    let (mut storage, _) = Storage::open(&folder.path).unwrap();
    write_snapshot(&DataFolder::new(&folder.path), &snapshot).unwrap();
    storage.rotate(5, HardState { term: 1, vote: None }, true, &[]).unwrap();
    drop(storage);
    let output = Command::new(env!("CARGO_BIN_EXE_bilberryctl"))
        .args(["data", "export", folder.path.to_str().unwrap()])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert!(text.contains("route;route;") && text.contains("\"last_index\": 5"), "{text:.300}");
}
