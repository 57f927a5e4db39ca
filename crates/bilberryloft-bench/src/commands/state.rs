//! `state`: memory of a control host's state by teams, targets and claims, and the time of its restart.

use std::time::Instant;

use bilberryloft_state::claim::ClaimSite;
use bilberryloft_state::configuration::ChangeKind;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::snapshot::Snapshot;
use bilberryloft_state::state_machine::Command;
use bilberryloft_state::state_machine::StampedCommand;
use bilberryloft_state::state_machine::StateMachine;
use bilberryloft_state::storage::Storage;
use bilberryloft_state::wal::HardState;
use bilberryloft_state::wal::LogEntry;
use bilberryloft_state::wal::Payload;
use bilberryloft_state::wal::WalRecord;
use bilberryloft_testing::fleet::TempFolder;
use bilberryloft_testing::fleet::change_request;
use bilberryloft_testing::fleet::depot_template;
use clap::Args;

use crate::fixtures::target_description;
use crate::fixtures::team_change;
use crate::usage::resident_kib;

/// Arguments of the `state` subcommand.
#[derive(Args)]
pub struct StateCommand {
    /// Numbers of teams to measure.
    #[arg(long, value_delimiter = ',', default_value = "2900,29000")]
    teams: Vec<usize>,
    /// Numbers of targets to measure.
    #[arg(long, value_delimiter = ',', default_value = "260,2600")]
    targets: Vec<usize>,
    /// Numbers of claims to measure.
    #[arg(long, value_delimiter = ',', default_value = "10000,100000")]
    claims: Vec<usize>,
    /// Number of changes in the log that is replayed at the restart.
    #[arg(long, default_value_t = 100_000)]
    changes: usize,
}

impl StateCommand {
    /// Runs the benchmark and prints its tables.
    pub fn run(self) -> eyre::Result<()> {
        println!(
            "what | count | resident KiB added | bytes each | snapshot bytes | encode ms | decode ms"
        );
        for count in &self.teams {
            measure("teams", *count, |it| Command::Change(team_change(it)))?;
        }
        for count in &self.targets {
            measure("targets", *count, target_command)?;
        }
        for count in &self.claims {
            measure("claims", *count, claim_command)?;
        }
        self.measure_restart()
    }

    /// Measures a restart that replays the whole log, then one from a snapshot.
    fn measure_restart(&self) -> eyre::Result<()> {
        println!("restart with {} changes | log read ms | applied ms", self.changes);
        let folder = TempFolder::create("bench-restart");
        let (mut storage, _) = Storage::open(&folder.path)?;
        let mut machine = StateMachine::default();
        let mut records = vec![WalRecord::MayVote];
        for number in 0..self.changes {
            let kind = ChangeKind::SetTarget {
                name: format!("target-{}", number % 2_600),
                draining: true,
            };
            let stamped =
                StampedCommand { at_ms: 1, command: Command::Change(change_request(kind)) };
            let command = serde_json::to_vec(&stamped)?;
            machine.apply_bytes(&command);
            let entry =
                LogEntry { term: 1, index: number as u64 + 1, payload: Payload::Command(command) };
            records.push(WalRecord::Entry(entry));
        }
        storage.append(&records)?;
        storage.sync()?;
        drop(storage);
        let mut storage = self.restart("without snapshot", &folder)?;
        let snapshot = Snapshot {
            last_index: self.changes as u64,
            last_term: 1,
            members: MemberSet::default(),
            data: serde_json::to_vec(&machine)?,
        };
        storage.install(&snapshot, HardState::default(), true, &[])?;
        drop(storage);
        self.restart("with snapshot", &folder)?;
        Ok(())
    }

    /// Opens the storage, rebuilds the state machine from the snapshot and the log, and prints the times of both steps.
    fn restart(&self, label: &str, folder: &TempFolder) -> eyre::Result<Storage> {
        let began = Instant::now();
        let (storage, recovered) = Storage::open(&folder.path)?;
        let read_ms = began.elapsed().as_millis();
        let began = Instant::now();
        let mut machine = match &recovered.snapshot {
            Some(snapshot) => StateMachine::from_snapshot(&snapshot.data)?,
            None => StateMachine::default(),
        };
        for entry in &recovered.entries {
            if let Payload::Command(command) = &entry.payload {
                machine.apply_bytes(command);
            }
        }
        println!("{label} | {read_ms} | {}", began.elapsed().as_millis());
        Ok(storage)
    }
}

/// Measures the memory and the snapshot of a state machine to which a number of commands were applied.
fn measure(label: &str, count: usize, build_command: fn(usize) -> Command) -> eyre::Result<()> {
    let pid = std::process::id();
    let mut machine = StateMachine::default();
    let template = Command::Change(change_request(ChangeKind::ApplyTemplate(depot_template())));
    machine.apply(StampedCommand { at_ms: 1, command: template });
    let before_kib = resident_kib(pid);
    for number in 0..count {
        machine.apply(StampedCommand { at_ms: 1, command: build_command(number) });
    }
    let added_kib = resident_kib(pid).saturating_sub(before_kib);
    let began = Instant::now();
    let bytes = serde_json::to_vec(&machine)?;
    let encode_ms = began.elapsed().as_millis();
    let began = Instant::now();
    let copy: StateMachine = serde_json::from_slice(&bytes)?;
    let decode_ms = began.elapsed().as_millis();
    println!(
        "{label} | {count} | {added_kib} | {} | {} | {encode_ms} | {decode_ms}",
        added_kib * 1_024 / count as u64,
        bytes.len()
    );
    if label == "teams" {
        let follower_bytes = serde_json::to_vec(&machine.configuration.for_followers())?.len();
        println!("  of these, sent to a daemon that starts anew: {follower_bytes} bytes");
    }
    // Leaked on purpose: the next measurement would reuse freed memory and report too small a growth.
    std::mem::forget((machine, copy, bytes));
    Ok(())
}

fn target_command(number: usize) -> Command {
    Command::Register {
        name: format!("target-{number}"),
        incarnation: 1_796_330_957_045,
        description: target_description(),
    }
}

fn claim_command(number: usize) -> Command {
    Command::Claim {
        key: format!("asahikawa/key/advisory-{number}"),
        request_id: format!("entry-1-1a23dab28f5-{number:x}"),
        fingerprint: i64::try_from(number).unwrap_or(i64::MAX),
        site: ClaimSite {
            target: format!("target-{}", number % 2_600),
            agent_address: "10.100.100.100:7402".to_string(),
            agent_incarnation: 1_796_330_957_045,
        },
    }
}
