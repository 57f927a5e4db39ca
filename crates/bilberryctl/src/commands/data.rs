//! `bilberryctl data`: the data folder of a control host that is not running.

use std::path::PathBuf;

use bilberryloft_state::state_machine::StateMachine;
use bilberryloft_state::storage::RecoveredState;
use bilberryloft_state::storage::inspect;
use bilberryloft_state::wal::Payload;
use clap::Subcommand;
use serde_json::json;

use crate::failure::Failure;
use crate::table::print_json;

/// Commands for data folders.
#[derive(Subcommand)]
pub enum DataCommand {
    /// Reads the whole folder and reports whether it is intact.
    Check {
        /// Data folder of the control host.
        folder: PathBuf,
    },
    /// Prints the state after the last log entry in the folder as JSON; that entry may not be committed yet.
    Export {
        /// Data folder of the control host.
        folder: PathBuf,
    },
}

impl DataCommand {
    /// Reads the folder and runs the command on it.
    pub fn run(self, json: bool) -> Result<(), Failure> {
        match self {
            DataCommand::Check { folder } => check(&inspect(&folder)?, json),
            DataCommand::Export { folder } => export(&inspect(&folder)?),
        }
    }
}

fn check(recovered: &RecoveredState, json: bool) -> Result<(), Failure> {
    let snapshot_index = recovered.snapshot.as_ref().map_or(0, |it| it.last_index);
    let last_index = recovered.entries.last().map_or(snapshot_index, |it| it.index);
    let report = json!({
        "term": recovered.hard_state.term,
        "snapshot_index": snapshot_index,
        "last_index": last_index,
        "may_vote": recovered.may_vote,
        "torn_bytes": recovered.torn_bytes,
    });
    if json {
        return print_json(&report);
    }
    println!(
        "sound: snapshot {snapshot_index}, log up to {last_index}, term {}",
        recovered.hard_state.term
    );
    if recovered.torn_bytes > 0 {
        println!("a torn tail of {} bytes will be cut at the next start", recovered.torn_bytes);
    }
    Ok(())
}

/// Prints the state after all log entries, with the index of the last one, because the entries at the end of the
/// log may not be committed.
fn export(recovered: &RecoveredState) -> Result<(), Failure> {
    let mut machine = match &recovered.snapshot {
        Some(snapshot) => StateMachine::from_snapshot(&snapshot.data).map_err(|it| {
            Failure::Invalid(format!("the state in the snapshot can't be decoded: {it}"))
        })?,
        None => StateMachine::default(),
    };
    let mut last_index = recovered.snapshot.as_ref().map_or(0, |it| it.last_index);
    for entry in &recovered.entries {
        last_index = entry.index;
        if let Payload::Command(bytes) = &entry.payload {
            machine.apply_bytes(bytes);
        }
    }
    print_json(&json!({"last_index": last_index, "state": machine}))
}
