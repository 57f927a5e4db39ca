//! Note of what a member was told at its first start. It is there before the first sync of the data folder, which a slow
//! disk may delay, so that a process which is killed meanwhile finds it again. A loss of power may take the note; the
//! record in the log, which is synced before the member takes part, replaces it.

use crate::error::Result;
use crate::folder::DataFolder;
use crate::member_set::MemberSet;
use crate::wal::encode_members;

/// Name of the file that holds the note.
const NOTE_NAME: &str = "founding.json";

/// Notes in an empty data folder that the member founds a quorum of these members. Does not need the folder's lock.
///
/// Fails when the folder can't be created or written.
pub fn note_founding(folder: &DataFolder, members: &MemberSet) -> Result<()> {
    folder.create()?;
    let is_empty = folder.file_names("wal-", ".log")?.is_empty();
    match is_empty {
        true => folder.write_unsynced(NOTE_NAME, &encode_members(members)),
        false => Ok(()),
    }
}

/// Returns the members that were noted; `None` without a note, or if a loss of power has left it incomplete.
///
/// Fails when the folder can't be read.
pub fn noted_founding(folder: &DataFolder) -> Result<Option<MemberSet>> {
    if folder.file_names(NOTE_NAME, "")?.is_empty() {
        return Ok(None);
    }
    let bytes = folder.read(NOTE_NAME)?;
    Ok(serde_json::from_slice(&bytes).ok())
}
