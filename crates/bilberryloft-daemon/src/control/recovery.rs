//! Recovery of a quorum member: reads its data folder and starts Raft from it.

use std::path::Path;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::TryRecvError;
use std::time::Duration;

use bilberryloft_coordination::raft::InitialState;
use bilberryloft_coordination::raft::Options;
use bilberryloft_coordination::raft::Raft;
use bilberryloft_state::error::Error;
use bilberryloft_state::error::Result;
use bilberryloft_state::folder::DataFolder;
use bilberryloft_state::founding::note_founding;
use bilberryloft_state::founding::noted_founding;
use bilberryloft_state::member_set::MemberSet;
use bilberryloft_state::state_machine::StateMachine;
use bilberryloft_state::storage::RecoveredState;
use bilberryloft_state::storage::Storage;
use bilberryloft_state::wal::HardState;
use bilberryloft_state::wal::WalRecord;
use bilberryloft_transport::clock::monotonic_ms;

use crate::events::Event;
use crate::log_event;
use crate::settings::ControlSettings;

/// Time between two looks at an opening that is not finished.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A quorum member recovered from its data folder.
pub(super) struct RecoveredMember {
    /// Storage, unless the folder could not be opened.
    pub storage: Option<Storage>,
    pub machine: StateMachine,
    pub raft: Raft,
    /// Index of the last log entry that the machine has applied.
    pub applied_index: u64,
    /// Size of the latest snapshot in bytes, 0 without one.
    pub snapshot_bytes: usize,
}

impl RecoveredMember {
    /// A member of no quorum without storage, which has to open its folder before it does anything.
    pub fn absent(settings: &ControlSettings) -> RecoveredMember {
        RecoveredMember {
            storage: None,
            machine: StateMachine::default(),
            raft: Raft::new(raft_options(settings), InitialState::default()),
            applied_index: 0,
            snapshot_bytes: 0,
        }
    }

    /// Reads the data folder, truncates a torn tail of the log and starts Raft from what is left.
    ///
    /// Fails when the folder can't be read, or when the snapshot in it can't be decoded.
    pub fn open(
        folder: &DataFolder,
        settings: &ControlSettings,
        seed: u64,
    ) -> Result<RecoveredMember> {
        if let Some(members) = told_founders(settings) {
            note_founding(folder, &members)?;
        }
        let (mut storage, mut recovered) = Storage::open_folder(folder.clone())?;
        if recovered.torn_bytes > 0 {
            log_event!(warn, Event::TornTailCut, bytes = recovered.torn_bytes);
        }
        log_recovered(settings.member, &recovered);
        record_founding(folder, settings.member, &mut storage, &mut recovered)?;
        let machine = match &recovered.snapshot {
            Some(snapshot) => decode_machine(folder.path(), &snapshot.data)?,
            None => StateMachine::default(),
        };
        let snapshot_bytes = recovered.snapshot.as_ref().map_or(0, |it| it.data.len());
        let applied_index = recovered.snapshot.as_ref().map_or(0, |it| it.last_index);
        let initial_state = InitialState {
            member: settings.member,
            members: recovered
                .founders
                .unwrap_or_else(|| MemberSet::of_voters(settings.members.clone())),
            hard_state: recovered.hard_state,
            may_vote: recovered.may_vote,
            snapshot: recovered.snapshot,
            entries: recovered.entries,
            seed,
            now_ms: monotonic_ms(),
        };
        Ok(RecoveredMember {
            storage: Some(storage),
            machine,
            raft: Raft::new(raft_options(settings), initial_state),
            applied_index,
            snapshot_bytes,
        })
    }
}

/// An opening of a data folder on a thread of its own, since the disk may hang.
pub(super) struct FolderOpening {
    result: Receiver<Result<RecoveredMember>>,
}

impl FolderOpening {
    /// Begins to open the folder; fails when no thread can be started.
    pub fn begin(
        folder: &DataFolder,
        settings: &ControlSettings,
        seed: u64,
    ) -> Result<FolderOpening> {
        let (sender, result) = std::sync::mpsc::channel();
        let (path, folder, settings) =
            (folder.path().to_path_buf(), folder.clone(), settings.clone());
        let open = move || {
            // Sending fails only when the node has stopped.
            let _ = sender.send(RecoveredMember::open(&folder, &settings, seed));
        };
        let thread = std::thread::Builder::new().name("open".to_string()).spawn(open);
        thread.map_err(|it| Error::disk("start the thread to open", path, it))?;
        Ok(FolderOpening { result })
    }

    /// Waits for the result, at most for a given time; afterwards, [`FolderOpening::finish`] waits for the rest.
    pub fn wait(&self, longest: Duration) -> Option<Result<RecoveredMember>> {
        self.result.recv_timeout(longest).ok()
    }

    /// Waits for the result without a thread that the end of the process would wait for.
    pub async fn finish(self) -> Result<RecoveredMember> {
        loop {
            match self.result.try_recv() {
                Ok(result) => return result,
                Err(TryRecvError::Empty) => tokio::time::sleep(POLL_INTERVAL).await,
                Err(TryRecvError::Disconnected) => {
                    let error = std::io::Error::other("the thread has ended");
                    return Err(Error::disk("open", "the data folder", error));
                }
            }
        }
    }
}

fn raft_options(settings: &ControlSettings) -> Options {
    Options {
        heartbeat_ms: settings.heartbeat_ms,
        election_ms: settings.election_ms,
        ..Options::default()
    }
}

/// Returns the members with which this member is told to found a quorum, if it is told so.
fn told_founders(settings: &ControlSettings) -> Option<MemberSet> {
    let is_founder =
        settings.first_start == Some(true) && settings.members.contains_key(&settings.member);
    is_founder.then(|| MemberSet::of_voters(settings.members.clone()))
}

/// Makes durable that this member founds the quorum, if it was told so at its first start and the log says nothing yet. At
/// later starts nothing but the record tells such a member from one that has lost its disk.
fn record_founding(
    folder: &DataFolder,
    member: u32,
    storage: &mut Storage,
    recovered: &mut RecoveredState,
) -> Result<()> {
    if !recovered.is_empty() {
        return Ok(());
    }
    let Some(members) = noted_founding(folder)? else {
        return Ok(());
    };
    storage.append(&[WalRecord::Founding(members.clone())])?;
    storage.sync()?;
    log_event!(info, Event::FoundingRecorded, member, ?members);
    recovered.founders = Some(members);
    recovered.may_vote = true;
    Ok(())
}

/// Logs what a member has found in its data folder, so that a later loss can be told from an earlier one.
fn log_recovered(member: u32, recovered: &RecoveredState) {
    let snapshot_index = recovered.snapshot.as_ref().map_or(0, |it| it.last_index);
    let snapshot_term = recovered.snapshot.as_ref().map_or(0, |it| it.last_term);
    let last = recovered.entries.last();
    let HardState { term, vote } = recovered.hard_state;
    log_event!(
        info,
        Event::MemberRecovered,
        member,
        term,
        vote,
        may_vote = recovered.may_vote,
        snapshot_index,
        last_index = last.map_or(snapshot_index, |it| it.index),
        last_term = last.map_or(snapshot_term, |it| it.term)
    );
}

fn decode_machine(folder: &Path, data: &[u8]) -> Result<StateMachine> {
    StateMachine::from_snapshot(data).map_err(|error| Error::Damaged {
        path: folder.to_path_buf(),
        offset: 0,
        detail: format!("the state in the snapshot can't be decoded: {error}"),
    })
}
